//! Which of the listed backends an address belongs to. A new process may come up at the address of one that has gone
//! before the list says that it has gone: what is sent there for the old one would reach the new one. No I/O.

use super::entries::{BackendList, ServiceEntry};
use crate::interface::{BackendId, BackendState, Millis};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

/// A listed backend.
#[derive(Debug)]
struct Listed {
    entry: ServiceEntry,
    /// The number of the list that first told of this process at this address. One that a full list adds beside another
    /// at the same address counts as told of with that one.
    told_in: u64,
}

impl Listed {
    /// Returns what tells this process from others: its address and its start.
    fn process(&self) -> (Option<SocketAddr>, Option<Millis>) {
        (self.entry.address, self.entry.entry.last_start)
    }
}

/// The listed backends, and the lists that told of them.
#[derive(Debug, Default)]
pub struct AddressOwners {
    listed: BTreeMap<BackendId, Listed>,
    /// The backends whose address belongs to one that was told of later.
    superseded: BTreeSet<BackendId>,
    lists: u64,
}

impl AddressOwners {
    /// Applies a full list or changes. Returns the same, in which a backend is gone while its address belongs to one that
    /// was told of in a later list.
    pub fn apply_list(&mut self, mut list: BackendList) -> BackendList {
        self.lists += 1;
        self.remember(&list);
        let superseded = self.find_superseded();
        let in_list: BTreeSet<BackendId> = list.entries.iter().map(|entry| entry.entry.backend).collect();
        // A backend that loses its address, or gets it back, has changed even if the list does not name it.
        let changed = superseded.symmetric_difference(&self.superseded).filter(|id| !in_list.contains(id));
        let unnamed = changed.filter_map(|id| self.listed.get(id)).map(|listed| listed.entry.clone());
        list.entries.extend(unnamed);
        for entry in &mut list.entries {
            if superseded.contains(&entry.entry.backend) {
                entry.entry.state = BackendState::Gone;
            }
        }
        self.superseded = superseded;
        list
    }

    fn remember(&mut self, list: &BackendList) {
        if list.complete {
            let in_list: BTreeSet<BackendId> = list.entries.iter().map(|entry| entry.entry.backend).collect();
            self.listed.retain(|id, _| in_list.contains(id));
        }
        let told_before: HashMap<SocketAddr, u64> = match list.complete {
            true => self.listed.values().filter_map(|l| Some((l.entry.address?, l.told_in))).collect(),
            false => HashMap::new(),
        };
        for entry in &list.entries {
            let id = entry.entry.backend;
            if entry.entry.state == BackendState::Gone {
                self.listed.remove(&id);
                continue;
            }
            let beside = entry.address.and_then(|address| told_before.get(&address));
            let mut listed = Listed { entry: entry.clone(), told_in: *beside.unwrap_or(&self.lists) };
            if let Some(known) = self.listed.get(&id).filter(|known| known.process() == listed.process()) {
                listed.told_in = known.told_in;
            }
            self.listed.insert(id, listed);
        }
    }

    /// Returns the backends whose address belongs to one that was told of in a later list, or that started later.
    fn find_superseded(&self) -> BTreeSet<BackendId> {
        let mut last: HashMap<SocketAddr, (u64, Option<Millis>)> = HashMap::with_capacity(self.listed.len());
        for listed in self.listed.values() {
            if let Some(address) = listed.entry.address {
                let told = (listed.told_in, listed.entry.entry.last_start);
                let last = last.entry(address).or_insert(told);
                if told > *last {
                    *last = told;
                }
            }
        }
        let is_superseded = |listed: &Listed| {
            let Some((told_in, start)) = listed.entry.address.and_then(|address| last.get(&address)) else {
                return false;
            };
            let started_before = listed.entry.entry.last_start.is_some_and(|own| Some(own) < *start);
            *told_in > listed.told_in || started_before
        };
        self.listed.iter().filter(|(_, listed)| is_superseded(listed)).map(|(id, _)| *id).collect()
    }
}

#[cfg(test)]
mod tests;
