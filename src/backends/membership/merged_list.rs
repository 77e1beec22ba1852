//! One list of several services. An instance may have work where every service that lists it says so, and of two at
//! one address only the one that was registered last: work for both would be twice the work for one real server.

use super::Observation;
use crate::backends::entries::ServiceEntry;
use crate::interface::{BackendId, BackendState};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// Which service said something: by the order in which they came to be asked for.
pub type Slot = u64;

/// The services' lists, and what was told of them.
#[derive(Debug, Default)]
pub struct MergedList {
    /// What each service lists, by instance.
    listed: BTreeMap<(BackendId, Slot), Observation>,
    reported: BTreeMap<BackendId, ServiceEntry>,
    /// In which order they came; those that are listed only.
    order: BTreeMap<BackendId, u64>,
    next: u64,
}

impl MergedList {
    /// Takes in what changed of a service.
    pub fn apply(&mut self, slot: Slot, changes: Vec<Observation>) {
        for change in changes {
            self.next += 1;
            self.order.entry(change.id()).or_insert(self.next);
            match change.entry.entry.state {
                BackendState::Gone => drop(self.listed.remove(&(change.id(), slot))),
                _ => drop(self.listed.insert((change.id(), slot), change)),
            }
        }
    }

    /// A service is no longer asked for: what only it listed is gone.
    pub fn retain(&mut self, slots: &BTreeSet<Slot>) {
        self.listed.retain(|(_, slot), _| slots.contains(slot));
    }

    /// The whole list as it is to be told.
    fn view(&self) -> BTreeMap<BackendId, ServiceEntry> {
        let mut view: BTreeMap<BackendId, ServiceEntry> = BTreeMap::new();
        let mut owners: BTreeMap<SocketAddr, (u64, u64, BackendId)> = BTreeMap::new();
        for ((id, _), observation) in &self.listed {
            let entry = view.entry(*id).or_insert_with(|| observation.entry.clone());
            if !observation.ready() {
                entry.entry.state = BackendState::Draining;
            }
            // Where neither says when it was registered, the one that came here later is the later one.
            let this = (observation.registered, self.order.get(id).copied().unwrap_or(0), *id);
            if let Some(at) = observation.entry.address {
                let owner = owners.entry(at).or_insert(this);
                *owner = (*owner).max(this);
            }
        }
        for (id, entry) in &mut view {
            if entry.address.and_then(|at| owners.get(&at)).is_some_and(|(.., owner)| owner != id) {
                entry.entry.state = BackendState::Draining;
            }
        }
        view
    }

    /// What has changed since this was asked last.
    pub fn changes(&mut self) -> Vec<ServiceEntry> {
        let view = self.view();
        let mut changes = Vec::new();
        for (id, entry) in &self.reported {
            if !view.contains_key(id) {
                let mut gone = entry.clone();
                gone.entry.state = BackendState::Gone;
                changes.push(gone);
            }
        }
        changes
            .extend(view.iter().filter(|(id, e)| self.reported.get(id) != Some(e)).map(|(_, e)| e.clone()));
        self.order.retain(|id, _| view.contains_key(id));
        self.reported = view;
        changes
    }

    /// How many were told.
    pub fn len(&self) -> usize {
        self.reported.len()
    }

    /// Whether none was told.
    pub fn is_empty(&self) -> bool {
        self.reported.is_empty()
    }
}

#[cfg(test)]
mod tests;
