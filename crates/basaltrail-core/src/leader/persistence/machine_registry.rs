//! The machine registry: the durable list of machines, each marked as free if it certainly holds no
//! tasks and as in use otherwise, and as terminating before a request to terminate it is sent.
//!
//! A machine is removed from the registry only once it has certainly terminated, and no stored
//! segment lists a machine as free while tasks may run on it.

use crate::io::KeyValue;
use crate::leader::{Context, Leader};
use crate::machines::{Decommission, Machine};
use crate::model::MachineId;
use crate::store::calls::Calls;
use crate::store::pending_transaction::WrittenSegment;
use crate::store::records::{decode, encode, MachineRecord, MACHINE_REGISTRY_PREFIX};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::ops::Bound::{Excluded, Unbounded};

/// Maximum number of segments; a stored segment whose number is not below it is logged as
/// unreadable. 1,000 full segments hold far more machines than a leader tracks, so no leader writes
/// more.
const MAX_SEGMENTS: usize = 1000;
/// Encoded size of an empty list, in bytes: two brackets.
const EMPTY_LIST_BYTES: usize = 2;

/// Encoded size of the mark of a terminating machine, in bytes: `,"t":true`.
const TERMINATING_MARK_BYTES: usize = 9;

/// Machines known to this leader, by ID.
type Machines = BTreeMap<MachineId, Machine>;

/// The durable list of machines, in segments that each fit into one value of the store.
#[derive(Default)]
pub struct MachineRegistry {
    /// Records of each segment.
    segments: Vec<Vec<MachineRecord>>,
    /// Approximate encoded size of each segment, in bytes. It may be off by about one byte per
    /// record, since "false" is longer than "true".
    segment_bytes: Vec<usize>,
    /// Segments with changes that are neither stored nor in the transaction in flight.
    pub(in crate::leader) dirty: BTreeSet<usize>,
    /// Segment that was last added to a transaction; the next transaction continues after it.
    pub(in crate::leader) last_written: usize,
    /// Segments that must not be written yet, each with the segments that must be stored before it.
    write_dependencies: BTreeMap<usize, BTreeSet<usize>>,
}

impl MachineRegistry {
    /// Returns the records of one segment.
    pub(in crate::leader) fn records(&self, segment: usize) -> &[MachineRecord] {
        &self.segments[segment]
    }

    /// Returns the approximate encoded size of one segment, in bytes.
    pub(in crate::leader) fn segment_bytes(&self, segment: usize) -> usize {
        self.segment_bytes[segment]
    }

    /// Returns the machines of a segment that may hold tasks.
    pub(in crate::leader) fn in_use(&self, segment: usize) -> impl Iterator<Item = &MachineId> {
        self.segments[segment]
            .iter()
            .filter(|record| !record.holds_no_tasks)
            .map(|record| &record.id)
    }

    /// Returns the machines of a segment that are listed as terminating.
    pub(in crate::leader) fn terminating(
        &self,
        segment: usize,
    ) -> impl Iterator<Item = &MachineId> {
        self.segments[segment].iter().filter(|record| record.terminating).map(|record| &record.id)
    }

    /// Returns whether other segments must be stored before this one is written.
    pub(in crate::leader) fn is_write_deferred(&self, segment: usize) -> bool {
        self.write_dependencies.get(&segment).is_some_and(|others| !others.is_empty())
    }

    /// Returns the dirty segments in round-robin order, so that each is written in turn. Only a few
    /// fit into one transaction, and no task starts on a machine before its segment is stored.
    pub(in crate::leader) fn write_order(&self) -> Vec<usize> {
        let after = self.dirty.range((Excluded(self.last_written), Unbounded));
        after.chain(self.dirty.range(..=self.last_written)).copied().collect()
    }

    /// Adds a segment read from the store; returns its number, or `None` if it cannot be decoded.
    pub(in crate::leader) fn load_segment(&mut self, item: &KeyValue) -> Option<usize> {
        let segment: usize = item.key.strip_prefix(MACHINE_REGISTRY_PREFIX)?.parse().ok()?;
        let records: Vec<MachineRecord> = decode(&item.value)?;
        if segment >= MAX_SEGMENTS {
            return None;
        }
        if self.segments.len() <= segment {
            self.segments.resize(segment + 1, Vec::new());
            self.segment_bytes.resize(segment + 1, 0);
        }
        self.segment_bytes[segment] = item.value.len();
        self.segments[segment] = records;
        Some(segment)
    }

    fn push_segment(&mut self) -> usize {
        self.segments.push(Vec::new());
        self.segment_bytes.push(EMPTY_LIST_BYTES);
        self.segments.len() - 1
    }

    fn update_segment_bytes(&mut self, segment: usize) {
        self.segment_bytes[segment] = encode(&self.segments[segment]).len();
    }

    /// Adds a machine as free, unless the registry lists it already. `max_value_bytes` is the
    /// maximum size of a value of the store.
    fn add(&mut self, machine: &mut Machine, max_value_bytes: usize) {
        if machine.registry_segment.is_some() {
            return;
        }
        let mut record = MachineRecord {
            id: machine.id.clone(),
            machine_type: machine.machine_type.clone(),
            zone: machine.zone.clone(),
            spot: machine.spot,
            holds_no_tasks: false,
            terminating: false,
        };
        let record_bytes = max_record_bytes(&record);
        let limit = max_segment_bytes(max_value_bytes);
        let segment =
            match self.segment_bytes.iter().position(|bytes| bytes + record_bytes <= limit) {
                Some(segment) => segment,
                None => self.push_segment(),
            };
        record.holds_no_tasks = true;
        self.segments[segment].push(record);
        self.segment_bytes[segment] += record_bytes;
        self.dirty.insert(segment);
        machine.registry_segment = Some(segment);
    }

    /// Records whether a machine is free. No task starts on the machine until it is stored as in
    /// use: the stored registry or a write in flight may list it as free, and the next leader does
    /// not wait for a heartbeat of a free machine.
    fn set_free(&mut self, machine: &mut Machine, free: bool) {
        let Some(segment) = machine.registry_segment else { return };
        let record = self.segments[segment].iter_mut().find(|record| record.id == machine.id);
        let Some(record) = record.filter(|record| record.holds_no_tasks != free) else { return };
        record.holds_no_tasks = free;
        machine.registered_in_use = false;
        self.dirty.insert(segment);
    }

    /// Lists a machine as terminating. Returns false if it cannot be recorded: the registry does not
    /// list the machine, or the mark does not fit into the value of its segment.
    fn set_terminating(&mut self, machine: &Machine, max_value_bytes: usize) -> bool {
        let Some(segment) = machine.registry_segment else { return false };
        let bytes = self.segment_bytes[segment] + TERMINATING_MARK_BYTES;
        let record = self.segments[segment].iter_mut().find(|record| record.id == machine.id);
        let Some(record) = record.filter(|_| bytes <= max_value_bytes) else { return false };
        record.terminating = true;
        self.segment_bytes[segment] = bytes;
        self.dirty.insert(segment);
        true
    }

    /// Removes a machine that has certainly terminated.
    fn remove(&mut self, machine: &Machine) {
        let Some(segment) = machine.registry_segment else { return };
        self.segments[segment].retain(|record| record.id != machine.id);
        self.update_segment_bytes(segment);
        self.dirty.insert(segment);
    }

    /// Merges duplicate records and splits segments that exceed the size limit of a value.
    ///
    /// Segments may be too large if an earlier version wrote them or the limit was lowered. They
    /// are split before records are added to them. The new segments are written before the old one
    /// is overwritten, so the store lists each machine at all times; a leader elected in between
    /// reads some machines twice.
    pub(in crate::leader) fn repair(&mut self, machines: &mut Machines, max_value_bytes: usize) {
        self.merge_duplicates(machines);
        for segment in 0..self.segments.len() {
            if self.segment_bytes[segment] > max_value_bytes {
                self.split(segment, machines, max_value_bytes);
            }
        }
    }

    /// Splits a segment: the first chunk remains in it, and the others become new segments that
    /// must be stored before it.
    fn split(&mut self, segment: usize, machines: &mut Machines, max_value_bytes: usize) {
        let records = std::mem::take(&mut self.segments[segment]);
        for (index, chunk) in
            split_records(records, max_segment_bytes(max_value_bytes)).into_iter().enumerate()
        {
            let target = if index == 0 { segment } else { self.push_segment() };
            if index > 0 {
                self.write_dependencies.entry(segment).or_default().insert(target);
                for record in &chunk {
                    let Some(machine) = machines.get_mut(&record.id) else { continue };
                    machine.registry_segment = Some(target);
                    machine
                        .listed_free_in_segments
                        .extend(record.holds_no_tasks.then_some(segment));
                }
            }
            self.segments[target] = chunk;
            self.update_segment_bytes(target);
            self.dirty.insert(target);
        }
    }

    /// Merges the records of each machine that is listed more than once into the first of them,
    /// which lists the machine as free only if all of them do, and as terminating if any does.
    fn merge_duplicates(&mut self, machines: &mut Machines) {
        for (first, second, duplicate) in self.remove_duplicates() {
            let kept = self.segments[first].iter_mut().find(|record| record.id == duplicate.id);
            let Some(kept) = kept else { continue };
            let kept_free = kept.holds_no_tasks;
            kept.holds_no_tasks &= duplicate.holds_no_tasks;
            kept.terminating |= duplicate.terminating;
            let (free, terminating) = (kept.holds_no_tasks, kept.terminating);
            if let Some(machine) = machines.get_mut(&duplicate.id) {
                if terminating {
                    machine.decommission = Decommission::Terminating;
                    machine.termination_recorded = true;
                }
                machine.reconciled = free;
                machine.in_use_before_failover = !free;
                // Either stored segment may still list the machine as free.
                machine.registered_in_use = !kept_free && !duplicate.holds_no_tasks;
                machine.registry_segment = Some(first);
                machine.listed_free_in_segments.extend(kept_free.then_some(first));
                machine.listed_free_in_segments.extend(duplicate.holds_no_tasks.then_some(second));
            }
            self.dirty.extend([first, second]);
            if first != second {
                self.write_dependencies.entry(second).or_default().insert(first);
            }
            self.update_segment_bytes(first);
            self.update_segment_bytes(second);
        }
    }

    /// Removes all records of each machine but the first. Returns for each removed record the
    /// segment of the first record, the segment of the removed one, and the removed record.
    fn remove_duplicates(&mut self) -> Vec<(usize, usize, MachineRecord)> {
        let mut first_segments: HashMap<MachineId, usize> = HashMap::new();
        let mut duplicates = Vec::new();
        for (segment, records) in self.segments.iter_mut().enumerate() {
            records.retain(|record| match first_segments.get(&record.id) {
                Some(first) => {
                    duplicates.push((*first, segment, record.clone()));
                    false
                }
                None => {
                    first_segments.insert(record.id.clone(), segment);
                    true
                }
            });
        }
        duplicates
    }

    /// Records that a segment was stored. Tasks may start on those of its machines that both the
    /// stored and the current records list as in use and that no stored segment lists as free.
    /// Those listed as terminating may be terminated. Returns whether a machine is among them on which tasks could not start before.
    pub(in crate::leader) fn record_committed_segment(
        &mut self,
        written: &WrittenSegment,
        machines: &mut Machines,
    ) -> bool {
        self.release_dependents(written.segment, machines);
        for id in &written.terminating {
            if let Some(machine) = machines.get_mut(id) {
                machine.termination_recorded = true;
            }
        }
        let in_use: HashSet<&MachineId> = self.in_use(written.segment).collect();
        let mut any_newly_usable = false;
        for id in written.in_use.iter().filter(|id| in_use.contains(id)) {
            let machine = machines.get_mut(id).filter(|m| m.listed_free_in_segments.is_empty());
            if let Some(machine) = machine {
                any_newly_usable |= !machine.registered_in_use;
                machine.registered_in_use = true;
            }
        }
        any_newly_usable
    }

    /// Releases the segments and machines that depend on the write of a segment: the segments that
    /// must be stored after it, and the machines that its previous content listed as free. The
    /// segments that now list these machines are written again, so that tasks may start on them.
    fn release_dependents(&mut self, segment: usize, machines: &mut Machines) {
        for others in self.write_dependencies.values_mut() {
            others.remove(&segment);
        }
        self.write_dependencies.retain(|_, others| !others.is_empty());
        for machine in machines.values_mut() {
            if machine.listed_free_in_segments.remove(&segment) {
                self.dirty.extend(machine.registry_segment);
            }
        }
    }
}

/// Returns the size up to which segments are filled, in bytes. A tenth of a value is reserved for
/// records that grow.
fn max_segment_bytes(max_value_bytes: usize) -> usize {
    max_value_bytes * 9 / 10
}

/// Returns the maximum encoded size of a record with its comma, in bytes. "false" is longer than
/// "true", and a terminating machine has a mark.
fn max_record_bytes(record: &MachineRecord) -> usize {
    let longest = MachineRecord { holds_no_tasks: false, terminating: true, ..record.clone() };
    encode(&longest).len() + 1
}

/// Splits records into chunks of at most `limit` encoded bytes each. A larger record gets a chunk
/// of its own.
fn split_records(records: Vec<MachineRecord>, limit: usize) -> Vec<Vec<MachineRecord>> {
    let mut chunks: Vec<Vec<MachineRecord>> = vec![Vec::new()];
    let mut bytes = EMPTY_LIST_BYTES;
    for record in records {
        let record_bytes = max_record_bytes(&record);
        if bytes + record_bytes > limit {
            chunks.push(Vec::new());
            bytes = EMPTY_LIST_BYTES;
        }
        bytes += record_bytes;
        if let Some(chunk) = chunks.last_mut() {
            chunk.push(record);
        }
    }
    chunks
}

impl Leader {
    /// Adds a machine to the registry as free, unless it is listed already.
    pub(in crate::leader) fn add_to_registry(&mut self, ctx: &Context, machine: &MachineId) {
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            self.registry.add(machine, ctx.cfg.max_value_bytes);
        }
    }

    /// Records in the registry whether a machine is free.
    pub(in crate::leader) fn set_registered_free(&mut self, machine: &MachineId, free: bool) {
        if let Some(machine) = self.cluster.machines.get_mut(machine) {
            self.registry.set_free(machine, free);
        }
    }

    /// Records in the registry that a machine is about to be terminated. If that is not possible,
    /// it is terminated without the record.
    pub(in crate::leader) fn set_registered_terminating(&mut self, ctx: &Context, id: &MachineId) {
        let Some(machine) = self.cluster.machines.get_mut(id) else { return };
        if !self.registry.set_terminating(machine, ctx.cfg.max_value_bytes) {
            machine.termination_recorded = true;
        }
    }

    /// Removes a machine that has certainly terminated: the cloud confirmed its termination, or no
    /// longer lists it.
    pub(in crate::leader) fn remove_terminated(
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
        self.scheduler.cycle_due = true;
    }
}

#[cfg(test)]
#[path = "machine_registry_tests.rs"]
mod tests;
