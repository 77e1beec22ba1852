//! Bounded subsets: each ingress of a large fleet goes by some of the backends, not by all. Pure: it lies between the
//! list with its bans and the decisions, which see a shorter list and nothing else.
//!
//! Each backend is held by the first living ingresses of its line ([`Line`]), by as many as give each ingress about the
//! configured number of backends. So backends are held by equally many ingresses, one that comes or goes concerns only
//! those that hold it, and an ingress that dies leaves its places to the next in line. `docs/subset.md` tells more.

mod line;

pub use line::Line;

use crate::entries::{BackendList, ServiceEntry};
use crate::interface::{BackendId, BackendState, IngressId, Millis, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// Holders are counted anew once their right number is beyond this multiple of what it was, or below its inverse.
/// Prevents each change of the list from moving the subsets of the whole fleet.
const DRIFT: f64 = 1.25;
/// An ingress that chance gives fewer than this part of its share of a zone holds more of that zone.
const LEAST: f64 = 0.5;
/// When a backend has been listed that was there before this ingress.
const ALWAYS: Millis = f64::MIN;

/// A backend on the whole list.
#[derive(Debug, Clone)]
struct Listed {
    entry: ServiceEntry,
    /// Since when it has been listed. Prevents one that is warm and comes into the subset later from being taken for a
    /// newcomer by the decisions.
    since: Millis,
}

impl Listed {
    fn ready(&self) -> bool {
        self.entry.entry.state == BackendState::Ready
    }

    fn told(&self) -> ServiceEntry {
        let mut entry = self.entry.clone();
        entry.entry.last_start = entry.entry.last_start.or(Some(self.since));
        entry
    }
}

/// The ready backends of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct Zone {
    ready: usize,
    /// Those of them that this ingress holds.
    held: usize,
    /// The first so many in line hold each of them, as far as this ingress is concerned.
    holders: u16,
}

/// The subset of one ingress.
#[derive(Debug, Clone)]
pub struct Subset {
    line: Line,
    size: usize,
    listed: BTreeMap<BackendId, Listed>,
    zones: BTreeMap<ZoneId, Zone>,
    /// Those that the decisions know.
    told: BTreeSet<BackendId>,
    /// The right number of holders when they were last counted.
    settled: f64,
    generation: u64,
    /// A list has come.
    begun: bool,
}

impl Subset {
    /// The subset, of about so many backends, of one of so many ingresses.
    pub fn new(me: IngressId, ingresses: u16, size: usize) -> Self {
        Self {
            line: Line::new(me, ingresses),
            size,
            listed: BTreeMap::new(),
            zones: BTreeMap::new(),
            told: BTreeSet::new(),
            settled: 0.0,
            generation: 0,
            begun: false,
        }
    }

    /// Takes in a list or its changes; tells what the decisions are to go by.
    pub fn listed(&mut self, now: Millis, list: BackendList) -> BackendList {
        self.generation = list.generation;
        if list.complete {
            return self.whole(now, list);
        }
        let mut changed = BTreeMap::new();
        for entry in list.entries {
            changed.insert(entry.entry.backend, entry.clone());
            self.take(now, entry);
        }
        self.begun = true;
        let entries = match self.drifted() {
            true => self.settle_and_tell(&changed),
            false => changed.iter().filter_map(|(id, entry)| self.tell(*id, Some(entry))).collect(),
        };
        // What was told may leave too few.
        let entries = if self.drifted() { self.also(entries) } else { entries };
        BackendList { generation: self.generation, complete: false, entries }
    }

    /// Takes in which ingresses live, by number; the changes for the decisions, if there are any.
    pub fn living(&mut self, living: Option<&[bool]>) -> Option<BackendList> {
        self.line.living(living);
        let entries = self.settle_and_tell(&BTreeMap::new());
        let generation = self.generation;
        (!entries.is_empty()).then_some(BackendList { generation, complete: false, entries })
    }

    /// The backends that this ingress sends to.
    pub fn held(&self) -> impl Iterator<Item = BackendId> {
        self.told.iter().copied().filter(|id| self.listed.get(id).is_some_and(Listed::ready))
    }

    fn whole(&mut self, now: Millis, list: BackendList) -> BackendList {
        let before = std::mem::take(&mut self.listed);
        self.zones.clear();
        for entry in list.entries {
            let known = before.get(&entry.entry.backend).map(|listed| listed.since);
            self.take(known.unwrap_or(now), entry);
        }
        self.begun = true;
        self.told.clear();
        self.settle();
        let ids: Vec<BackendId> = self.listed.keys().copied().collect();
        let entries = ids.into_iter().filter_map(|id| self.tell(id, None)).collect();
        BackendList { generation: self.generation, complete: true, entries }
    }

    /// Puts an entry on the whole list, or takes it off.
    fn take(&mut self, now: Millis, entry: ServiceEntry) {
        let id = entry.entry.backend;
        let before = self.listed.remove(&id);
        if let Some(before) = before.as_ref().filter(|before| before.ready()) {
            self.count(before.entry.entry.zone, |zone| zone.ready -= 1);
            if self.told.contains(&id) {
                self.count(before.entry.entry.zone, |zone| zone.held -= 1);
            }
        }
        if entry.entry.state == BackendState::Gone {
            return;
        }
        let newcomer = if self.begun { now } else { ALWAYS };
        let listed = Listed { since: before.map_or(newcomer, |before| before.since), entry };
        if listed.ready() {
            let told = usize::from(self.told.contains(&id));
            self.count(listed.entry.entry.zone, |zone| {
                zone.ready += 1;
                zone.held += told;
            });
        }
        self.listed.insert(id, listed);
    }

    fn count(&mut self, zone: ZoneId, change: impl FnOnce(&mut Zone)) {
        change(self.zones.entry(zone).or_default());
    }

    /// What the decisions are to be told of a backend, if anything; `changed` is what its list has just said of it.
    fn tell(&mut self, id: BackendId, changed: Option<&ServiceEntry>) -> Option<ServiceEntry> {
        let known = self.told.contains(&id);
        let listed = self.listed.get(&id);
        if let Some(listed) = listed.filter(|listed| listed.ready() && self.holds(listed)) {
            let (zone, told) = (listed.entry.entry.zone, listed.told());
            if !known {
                self.told.insert(id);
                self.count(zone, |zone| zone.held += 1);
            }
            return (!known || changed.is_some()).then_some(told);
        }
        if !known {
            return None;
        }
        if let Some(listed) = listed.filter(|listed| !listed.ready()) {
            return changed.map(|_| listed.told());
        }
        let (zone, entry) = match listed {
            Some(listed) => (Some(listed.entry.entry.zone), Some(listed.entry.clone())),
            None => (None, changed.cloned()),
        };
        self.told.remove(&id);
        zone.into_iter().for_each(|zone| self.count(zone, |zone| zone.held -= 1));
        entry.map(|mut entry| {
            entry.entry.state = BackendState::Gone;
            entry.address = None;
            entry
        })
    }

    fn holds(&self, listed: &Listed) -> bool {
        let zone = self.zones.get(&listed.entry.entry.zone);
        zone.is_some_and(|zone| self.line.place(listed.entry.entry.backend) < zone.holders)
    }

    /// How many are to hold each backend, so that each ingress has about the configured number; no backend is without.
    fn right_holders(&self) -> f64 {
        let ready: usize = self.zones.values().map(|zone| zone.ready).sum();
        let all = f64::from(self.line.count());
        (all * self.size as f64 / ready.max(1) as f64).clamp(1.0, all)
    }

    /// The least that this ingress is to hold of a zone.
    fn least(&self, zone: &Zone) -> usize {
        let ready: usize = self.zones.values().map(|zone| zone.ready).sum();
        let share = self.size as f64 * zone.ready as f64 / ready.max(1) as f64;
        ((share * LEAST).ceil() as usize).min(zone.ready)
    }

    fn drifted(&self) -> bool {
        let right = self.right_holders();
        let moved = right > self.settled * DRIFT || right * DRIFT < self.settled;
        moved || self.zones.values().any(|zone| zone.held < self.least(zone))
    }

    /// Counts the holders of each zone anew.
    fn settle(&mut self) {
        let right = self.right_holders();
        if right > self.settled * DRIFT || right * DRIFT < self.settled {
            self.settled = right;
        }
        let usual = self.settled.round() as u16;
        let mut places: BTreeMap<ZoneId, Vec<u16>> = BTreeMap::new();
        for listed in self.listed.values().filter(|listed| listed.ready()) {
            let place = self.line.place(listed.entry.entry.backend);
            places.entry(listed.entry.entry.zone).or_default().push(place);
        }
        for (id, mut places) in places {
            let least = self.zones.get(&id).map_or(0, |zone| self.least(zone));
            places.sort_unstable();
            let enough = least.checked_sub(1).and_then(|last| places.get(last)).map_or(0, |place| place + 1);
            self.count(id, |zone| zone.holders = usual.max(enough));
        }
    }

    fn settle_and_tell(&mut self, changed: &BTreeMap<BackendId, ServiceEntry>) -> Vec<ServiceEntry> {
        self.settle();
        let ids: BTreeSet<BackendId> = self.listed.keys().chain(changed.keys()).copied().collect();
        ids.into_iter().filter_map(|id| self.tell(id, changed.get(&id))).collect()
    }

    /// Settles once more; of what is told twice the later goes before.
    fn also(&mut self, entries: Vec<ServiceEntry>) -> Vec<ServiceEntry> {
        let mut all: BTreeMap<BackendId, ServiceEntry> =
            entries.into_iter().map(|entry| (entry.entry.backend, entry)).collect();
        let more = self.settle_and_tell(&BTreeMap::new());
        all.extend(more.into_iter().map(|entry| (entry.entry.backend, entry)));
        all.into_values().collect()
    }
}
