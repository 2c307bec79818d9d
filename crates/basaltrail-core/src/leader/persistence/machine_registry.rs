//! The machine registry: the durable list of machines that may hold tasks.
//!
//! A machine leaves it only when it is gone for certain, and no segment of it says that nothing
//! runs where something may.

use crate::io::KeyValue;
use crate::leader::{Context, Leader};
use crate::machines::Machine;
use crate::model::MachineId;
use crate::store::calls::Calls;
use crate::store::pending_transaction::WrittenSegment;
use crate::store::records::{decode, encode, MachineRecord, MACHINE_REGISTRY_PREFIX};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Segments beyond this one are not ours: 1,000 segments of full values hold far more machines
/// than a leader keeps account of.
const MAX_SEGMENTS: usize = 1000;
/// Encoded bytes of a list without records: its two brackets.
const EMPTY_LIST_BYTES: usize = 2;

/// The machines that are known to this leader.
type Machines = BTreeMap<MachineId, Machine>;

/// The durable list of machines, cut into segments that a value of the store may hold.
#[derive(Default)]
pub struct MachineRegistry {
    /// The records of each segment.
    segments: Vec<Vec<MachineRecord>>,
    /// Encoded size of each segment, in bytes.
    bytes: Vec<usize>,
    /// Segments that have to be written.
    pub(in crate::leader) dirty: BTreeSet<usize>,
    /// The segment after which the next transaction continues.
    pub(in crate::leader) last_written: usize,
    /// Segments that are written only after these others were.
    waits: BTreeMap<usize, BTreeSet<usize>>,
}

impl MachineRegistry {
    /// The records of one segment.
    pub(in crate::leader) fn records(&self, segment: usize) -> &[MachineRecord] {
        &self.segments[segment]
    }

    /// Encoded size of one segment, in bytes.
    pub(in crate::leader) fn segment_bytes(&self, segment: usize) -> usize {
        self.bytes[segment]
    }

    /// Machines of a segment that may hold tasks.
    pub(in crate::leader) fn in_use(&self, segment: usize) -> impl Iterator<Item = &MachineId> {
        self.segments[segment].iter().filter(|record| !record.free).map(|record| &record.id)
    }

    /// Whether a segment must not be written yet.
    pub(in crate::leader) fn must_wait(&self, segment: usize) -> bool {
        self.waits.get(&segment).is_some_and(|others| !others.is_empty())
    }

    /// The segments to write, in turn: few fit into one transaction, and each has machines that
    /// wait for it.
    pub(in crate::leader) fn write_order(&self) -> Vec<usize> {
        let after = self.dirty.range((Excluded(self.last_written), Unbounded));
        after.chain(self.dirty.range(..=self.last_written)).copied().collect()
    }

    /// Takes a segment as it was read; returns its number, or `None` if it cannot be read.
    pub(in crate::leader) fn load_segment(&mut self, item: &KeyValue) -> Option<usize> {
        let segment: usize = item.key.strip_prefix(MACHINE_REGISTRY_PREFIX)?.parse().ok()?;
        let records: Vec<MachineRecord> = decode(&item.value)?;
        if segment >= MAX_SEGMENTS {
            return None;
        }
        if self.segments.len() <= segment {
            self.segments.resize(segment + 1, Vec::new());
            self.bytes.resize(segment + 1, 0);
        }
        self.bytes[segment] = item.value.len();
        self.segments[segment] = records;
        Some(segment)
    }

    fn push_segment(&mut self) -> usize {
        self.segments.push(Vec::new());
        self.bytes.push(EMPTY_LIST_BYTES);
        self.segments.len() - 1
    }

    fn measure(&mut self, segment: usize) {
        self.bytes[segment] = encode(&self.segments[segment]).len();
    }

    /// Lists a machine, as one where nothing runs yet; one that is listed stays as it is. A
    /// value of the store holds `value_bytes` bytes.
    fn add(&mut self, machine: &mut Machine, value_bytes: usize) {
        if machine.registry_segment.is_some() {
            return;
        }
        let mut record = MachineRecord {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            free: false,
        };
        let record_bytes = record_bytes(&mut record);
        let limit = segment_limit(value_bytes);
        let segment = match self.bytes.iter().position(|bytes| bytes + record_bytes <= limit) {
            Some(segment) => segment,
            None => self.push_segment(),
        };
        record.free = true;
        self.segments[segment].push(record);
        self.bytes[segment] += record_bytes;
        self.dirty.insert(segment);
        machine.registry_segment = Some(segment);
    }

    /// Records whether anything may run on a machine. As long as the registry says that nothing
    /// does, or may come to say so, nothing is started there: the next leader does not wait for
    /// its heartbeat.
    fn set_free(&mut self, machine: &mut Machine, free: bool) {
        let Some(segment) = machine.registry_segment else { return };
        let record = self.segments[segment].iter_mut().find(|record| record.id == machine.id);
        let Some(record) = record.filter(|record| record.free != free) else { return };
        record.free = free;
        machine.registered_in_use = false;
        self.dirty.insert(segment);
    }

    /// Removes a machine that is gone for certain.
    fn remove(&mut self, machine: &Machine) {
        let Some(segment) = machine.registry_segment else { return };
        self.segments[segment].retain(|record| record.id != machine.id);
        self.measure(segment);
        self.dirty.insert(segment);
    }

    /// Brings what was read into a form that the limits allow.
    ///
    /// An earlier version, or limits since lowered, may have left segments larger than a value
    /// may be now; they are cut before anything is added to them. What moves is written in its
    /// new place first, and only then is the old one overwritten, so that each machine is listed
    /// at any moment; a leader that is elected in between finds some twice.
    pub(in crate::leader) fn repair(&mut self, machines: &mut Machines, value_bytes: usize) {
        self.join_duplicates(machines);
        for segment in 0..self.segments.len() {
            if self.bytes[segment] > value_bytes {
                self.split(segment, machines, value_bytes);
            }
        }
    }

    /// Cuts a segment; all but the first piece go to new segments.
    fn split(&mut self, segment: usize, machines: &mut Machines, value_bytes: usize) {
        let records = std::mem::take(&mut self.segments[segment]);
        for (n, piece) in pieces(records, segment_limit(value_bytes)).into_iter().enumerate() {
            let to = if n == 0 { segment } else { self.push_segment() };
            if n > 0 {
                self.waits.entry(segment).or_default().insert(to);
                for record in &piece {
                    let Some(machine) = machines.get_mut(&record.id) else { continue };
                    machine.registry_segment = Some(to);
                    machine.free_in_segments.extend(record.free.then_some(segment));
                }
            }
            self.segments[to] = piece;
            self.measure(to);
            self.dirty.insert(to);
        }
    }

    /// A machine that is listed in two segments stays in the first of them, as one that may hold
    /// something unless both say that it does not.
    fn join_duplicates(&mut self, machines: &mut Machines) {
        for (first, second, duplicate) in self.remove_duplicates() {
            let kept = self.segments[first].iter_mut().find(|record| record.id == duplicate.id);
            let Some(kept) = kept else { continue };
            let kept_free = kept.free;
            kept.free &= duplicate.free;
            let free = kept.free;
            if let Some(machine) = machines.get_mut(&duplicate.id) {
                machine.reconciled = free;
                machine.in_use_before_failover = !free;
                // What is stored now may say that nothing runs, in the one segment or the other.
                machine.registered_in_use = !kept_free && !duplicate.free;
                machine.registry_segment = Some(first);
                machine.free_in_segments.extend(kept_free.then_some(first));
                machine.free_in_segments.extend(duplicate.free.then_some(second));
            }
            self.dirty.extend([first, second]);
            if first != second {
                self.waits.entry(second).or_default().insert(first);
            }
            self.measure(first);
            self.measure(second);
        }
    }

    /// Removes every listing of a machine but the first; returns the segment of the first, the
    /// segment of the removed one, and its record.
    fn remove_duplicates(&mut self) -> Vec<(usize, usize, MachineRecord)> {
        let mut first: HashMap<MachineId, usize> = HashMap::new();
        let mut duplicates = Vec::new();
        for (segment, records) in self.segments.iter_mut().enumerate() {
            records.retain(|record| match first.get(&record.id) {
                Some(first) => {
                    duplicates.push((*first, segment, record.clone()));
                    false
                }
                None => {
                    first.insert(record.id.clone(), segment);
                    true
                }
            });
        }
        duplicates
    }

    /// A segment was written with these machines in use: what is still in use by all that is
    /// stored may hold tasks. True if a machine has become one to place on.
    pub(in crate::leader) fn segment_committed(
        &mut self,
        written: &WrittenSegment,
        machines: &mut Machines,
    ) -> bool {
        self.release_waiting(written.segment, machines);
        let in_use: HashSet<&MachineId> = self.in_use(written.segment).collect();
        let mut became_usable = false;
        for id in written.in_use.iter().filter(|id| in_use.contains(id)) {
            let machine = machines.get_mut(id).filter(|m| m.free_in_segments.is_empty());
            if let Some(machine) = machine {
                became_usable |= !machine.registered_in_use;
                machine.registered_in_use = true;
            }
        }
        became_usable
    }

    /// A segment was written: those that waited for it may follow, and what it said before
    /// counts no more.
    fn release_waiting(&mut self, segment: usize, machines: &mut Machines) {
        for others in self.waits.values_mut() {
            others.remove(&segment);
        }
        self.waits.retain(|_, others| !others.is_empty());
        for machine in machines.values_mut() {
            if machine.free_in_segments.remove(&segment) {
                self.dirty.extend(machine.registry_segment);
            }
        }
    }
}

/// Bytes up to which a segment is filled: a tenth of a value is left for records that grow.
fn segment_limit(value_bytes: usize) -> usize {
    value_bytes * 9 / 10
}

/// Encoded bytes of a record with the comma after it, in its longest form: "false" is longer
/// than "true".
fn record_bytes(record: &mut MachineRecord) -> usize {
    let free = std::mem::replace(&mut record.free, false);
    let bytes = encode(record).len() + 1;
    record.free = free;
    bytes
}

/// Cuts records into pieces of at most `limit` encoded bytes each.
fn pieces(records: Vec<MachineRecord>, limit: usize) -> Vec<Vec<MachineRecord>> {
    let mut pieces: Vec<Vec<MachineRecord>> = vec![Vec::new()];
    let mut bytes = EMPTY_LIST_BYTES;
    for mut record in records {
        let size = record_bytes(&mut record);
        if bytes + size > limit {
            pieces.push(Vec::new());
            bytes = EMPTY_LIST_BYTES;
        }
        bytes += size;
        if let Some(piece) = pieces.last_mut() {
            piece.push(record);
        }
    }
    pieces
}

impl Leader {
    /// Lists a machine in the registry, as one where nothing runs yet.
    pub(in crate::leader) fn add_to_registry(&mut self, ctx: &Context, machine: &MachineId) {
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            self.registry.add(machine, ctx.cfg.value_bytes);
        }
    }

    /// Records in the registry whether anything may run on a machine.
    pub(in crate::leader) fn set_registered_free(&mut self, machine: &MachineId, free: bool) {
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            self.registry.set_free(machine, free);
        }
    }

    /// The machine is gone for certain: the request to terminate it was answered, or the cloud
    /// lists it no more.
    pub(in crate::leader) fn remove_gone(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machine: &MachineId,
    ) {
        let Some(mut removed) = self.cluster.machines.remove(machine) else { return };
        let changes = removed.expire_lease();
        self.reconcile_all(ctx, calls, machine, changes);
        self.registry.remove(&removed);
        self.autoscaler.terminated.add(machine);
        self.scheduler.changed = true;
    }
}

#[cfg(test)]
#[path = "machine_registry_tests.rs"]
mod tests;
