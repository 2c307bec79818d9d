//! The machine registry: which machines may hold tasks. A name leaves it only when its machine is gone
//! for certain, and no part of it says that nothing runs where something may.

use crate::leader::*;

/// The durable list of machines, cut into parts that a value of the store may hold.
#[derive(Default)]
pub struct MachineRegistry {
    /// The records of each part.
    pub(in crate::leader) parts: Vec<Vec<MachineRecord>>,
    /// Encoded size of each part.
    pub(in crate::leader) bytes: Vec<usize>,
    /// Parts that have to be written.
    pub(in crate::leader) dirty: BTreeSet<usize>,
    /// The part after which the next transaction goes on.
    pub(in crate::leader) last_written: usize,
    /// Parts that are written only after these others were.
    pub(in crate::leader) waits: BTreeMap<usize, BTreeSet<usize>>,
}

impl Leader {
    /// Puts a machine on the machine registry, as one where nothing runs yet.
    pub(in crate::leader) fn add_to_registry(&mut self, ctx: &Context, machine: &MachineId) {
        let Some(m) =
            self.cluster.machines.get_mut(machine).filter(|m| m.registry_segment.is_none())
        else {
            return;
        };
        let mut entry = MachineRecord {
            id: m.id.clone(),
            machine_type: m.machine_type.clone(),
            zone: m.zone.clone(),
            spot: m.spot,
            free: false,
        };
        let most = ctx.cfg.value_bytes * 9 / 10;
        let size = encode(&entry).len() + 1;
        let part = self
            .registry
            .bytes
            .iter()
            .position(|bytes| bytes + size <= most)
            .unwrap_or(self.registry.parts.len());
        if part == self.registry.parts.len() {
            self.registry.parts.push(Vec::new());
            self.registry.bytes.push(2);
        }
        entry.free = true;
        self.registry.parts[part].push(entry);
        self.registry.bytes[part] += size;
        self.registry.dirty.insert(part);
        m.registry_segment = Some(part);
    }

    /// Notes on the machine registry whether anything may run on a machine. As long as it says that
    /// nothing does, or may come to say so, nothing is started there: the next leader
    /// does not wait for a word of it.
    pub(in crate::leader) fn note_free(&mut self, machine: &MachineId, free: bool) {
        let Some(m) = self.cluster.machines.get_mut(machine) else { return };
        let Some(part) = m.registry_segment else { return };
        let entry = self.registry.parts[part].iter_mut().find(|e| e.id == *machine);
        let Some(entry) = entry.filter(|e| e.free != free) else { return };
        entry.free = free;
        m.registered_in_use = false;
        self.registry.dirty.insert(part);
    }

    /// The machine is gone for certain: its release was answered.
    pub(in crate::leader) fn remove_gone(
        &mut self,
        ctx: &Context,
        calls: &mut Calls,
        machine: &MachineId,
    ) {
        let Some(mut m) = self.cluster.machines.remove(machine) else { return };
        let changes = m.expire_lease();
        self.apply(ctx, calls, machine, changes);
        if let Some(part) = m.registry_segment {
            self.registry.parts[part].retain(|e| e.id != *machine);
            self.registry.bytes[part] = encode(&self.registry.parts[part]).len();
            self.registry.dirty.insert(part);
        }
        self.autoscaler.returned.add(machine);
        self.scheduler.changed = true;
    }

    /// Brings what was read into a form that the limits allow. An earlier version, or limits
    /// since lowered, may have left parts larger than a value may be now; they are cut before
    /// anything is added to them. What moves is written in its new place first, and only
    /// then is the old one overwritten, so that each name is somewhere at any moment; a
    /// leader that comes in between finds some twice.
    pub(in crate::leader) fn repair_registry(&mut self, ctx: &Context) {
        self.join_twice_named();
        let most = ctx.cfg.value_bytes * 9 / 10;
        for part in 0..self.registry.parts.len() {
            if self.registry.bytes[part] <= ctx.cfg.value_bytes {
                continue;
            }
            let mut chunks: Vec<Vec<MachineRecord>> = vec![Vec::new()];
            let mut bytes = 2;
            for e in std::mem::take(&mut self.registry.parts[part]) {
                let size = encode(&MachineRecord { free: false, ..e.clone() }).len() + 1;
                if bytes + size > most {
                    chunks.push(Vec::new());
                    bytes = 2;
                }
                bytes += size;
                if let Some(chunk) = chunks.last_mut() {
                    chunk.push(e);
                }
            }
            for (n, chunk) in chunks.into_iter().enumerate() {
                let to = if n == 0 { part } else { self.registry.parts.len() };
                if n > 0 {
                    self.registry.parts.push(Vec::new());
                    self.registry.bytes.push(2);
                    self.registry.waits.entry(part).or_default().insert(to);
                    for e in &chunk {
                        let Some(m) = self.cluster.machines.get_mut(&e.id) else { continue };
                        m.registry_segment = Some(to);
                        m.free_in_segments.extend(e.free.then_some(part));
                    }
                }
                self.registry.bytes[to] = encode(&chunk).len();
                self.registry.parts[to] = chunk;
                self.registry.dirty.insert(to);
            }
        }
    }

    /// A name that stands in two parts stays in the first of them, as one that may hold
    /// something unless both say that it does not.
    fn join_twice_named(&mut self) {
        let mut first: HashMap<MachineId, usize> = HashMap::new();
        let mut twice: Vec<(usize, usize, MachineRecord)> = Vec::new();
        for (part, entries) in self.registry.parts.iter_mut().enumerate() {
            entries.retain(|e| match first.get(&e.id) {
                Some(at) => {
                    twice.push((*at, part, e.clone()));
                    false
                }
                None => {
                    first.insert(e.id.clone(), part);
                    true
                }
            });
        }
        for (at, part, second) in twice {
            let Some(e) = self.registry.parts[at].iter_mut().find(|e| e.id == second.id) else {
                continue;
            };
            let kept_free = e.free;
            e.free &= second.free;
            let free = e.free;
            if let Some(m) = self.cluster.machines.get_mut(&second.id) {
                (m.reconciled, m.in_use_before_failover) = (free, !free);
                // What is there now may say that nothing runs, in the one part or the other.
                m.registered_in_use = !kept_free && !second.free;
                m.registry_segment = Some(at);
                m.free_in_segments.extend(kept_free.then_some(at));
                m.free_in_segments.extend(second.free.then_some(part));
            }
            self.registry.dirty.extend([at, part]);
            if at != part {
                self.registry.waits.entry(part).or_default().insert(at);
            }
            self.registry.bytes[at] = encode(&self.registry.parts[at]).len();
            self.registry.bytes[part] = encode(&self.registry.parts[part]).len();
        }
    }

    /// A part was written: those that waited for it may follow, and what it said before
    /// stands no more.
    pub(in crate::leader) fn registry_written(&mut self, part: usize) {
        for waits in self.registry.waits.values_mut() {
            waits.remove(&part);
        }
        self.registry.waits.retain(|_, waits| !waits.is_empty());
        for m in self.cluster.machines.values_mut() {
            if m.free_in_segments.remove(&part) {
                self.registry.dirty.extend(m.registry_segment);
            }
        }
    }
}

#[cfg(test)]
#[path = "machine_registry_tests.rs"]
mod tests;
