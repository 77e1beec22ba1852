//! Merges the instances of several Consul services into one backend list. An instance is ready only if every
//! service that lists it has it ready. Of several instances at one address only the one that was registered
//! last is ready: otherwise that backend would get several shares of the requests.

use super::Observation;
use crate::backends::entries::ServiceEntry;
use crate::interface::{BackendId, BackendState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Identifies a queried service; assigned in the order in which services are first queried.
pub type Slot = u64;

/// The instances of all services, and the merged list that was last reported.
#[derive(Debug, Default)]
pub struct MergedList {
    /// The instances that each service lists.
    listed: BTreeMap<(BackendId, Slot), Observation>,
    reported: BTreeMap<BackendId, ServiceEntry>,
    /// The order in which the listed instances were first seen.
    arrival_order: BTreeMap<BackendId, u64>,
    /// The last number given out in `arrival_order`.
    last_arrival: u64,
}

impl MergedList {
    /// Applies the changes of one service.
    pub fn apply(&mut self, slot: Slot, changes: Vec<Observation>) {
        for change in changes {
            self.last_arrival += 1;
            self.arrival_order.entry(change.id()).or_insert(self.last_arrival);
            match change.entry.entry.state {
                BackendState::Gone => drop(self.listed.remove(&(change.id(), slot))),
                _ => drop(self.listed.insert((change.id(), slot), change)),
            }
        }
    }

    /// Keeps only these services; the others are no longer queried, and instances that only they list are
    /// removed.
    pub fn retain_slots(&mut self, slots: &BTreeSet<Slot>) {
        self.listed.retain(|(_, slot), _| slots.contains(slot));
    }

    /// Returns the merged list.
    fn merge(&self) -> BTreeMap<BackendId, ServiceEntry> {
        let mut merged: BTreeMap<BackendId, ServiceEntry> = BTreeMap::new();
        let mut owners: BTreeMap<SocketAddr, (u64, u64, BackendId)> = BTreeMap::new();
        for ((id, _), observation) in &self.listed {
            let entry = merged.entry(*id).or_insert_with(|| observation.entry.clone());
            if !observation.is_ready() {
                entry.entry.state = BackendState::Draining;
            }
            // Where the registration indexes do not decide, the instance that was seen later owns the
            // address.
            let candidate = (observation.create_index, self.arrival_order.get(id).copied().unwrap_or(0), *id);
            if let Some(address) = observation.entry.address {
                let owner = owners.entry(address).or_insert(candidate);
                *owner = (*owner).max(candidate);
            }
        }
        for (id, entry) in &mut merged {
            if entry.address.and_then(|address| owners.get(&address)).is_some_and(|(.., owner)| owner != id) {
                entry.entry.state = BackendState::Draining;
            }
        }
        merged
    }

    /// Returns what has changed in the merged list since the last call.
    pub fn take_changes(&mut self) -> Vec<ServiceEntry> {
        let merged = self.merge();
        let mut changes = Vec::new();
        for (id, entry) in &self.reported {
            if !merged.contains_key(id) {
                let mut gone = entry.clone();
                gone.entry.state = BackendState::Gone;
                changes.push(gone);
            }
        }
        let changed = merged.iter().filter(|(id, entry)| self.reported.get(id) != Some(entry));
        changes.extend(changed.map(|(_, entry)| entry.clone()));
        self.arrival_order.retain(|id, _| merged.contains_key(id));
        self.reported = merged;
        changes
    }

    /// Returns the number of instances last reported.
    pub fn len(&self) -> usize {
        self.reported.len()
    }

    /// Returns whether no instance was last reported.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }
}

#[cfg(test)]
mod tests;
