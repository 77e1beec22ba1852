//! Subsetting: each ingress of a large fleet sends to a bounded subset of the backends instead of all of
//! them. No I/O: the subset is applied to the backend list, after disabled backends were marked in it; the
//! decision module sees only the shorter list.
//!
//! Each backend is held by the first live ingresses of its [`IngressOrder`]. Their number is chosen so that
//! each ingress holds about the configured number of backends. All backends are thus held by equally many
//! ingresses, adding or removing a backend concerns only its holders, and a dead ingress is replaced by the
//! next one in the order. See `docs/subset.md`.

mod ingress_order;

pub use ingress_order::IngressOrder;

use crate::entries::{BackendList, ServiceEntry};
use crate::interface::{BackendId, BackendState, IngressId, Millis, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// The number of holders per backend is recomputed once the target is more than this factor above or below
/// the number in use. Without this margin each change of the list would move the subsets of the whole fleet.
const HOLDERS_DRIFT_FACTOR: f64 = 1.25;
/// The least fraction of its fair share of a zone that an ingress holds; below it, the ingress holds backends
/// of the zone for which it ranks lower.
const MIN_ZONE_SHARE: f64 = 0.5;
/// The listing time, in milliseconds, of a backend that was listed before this ingress started.
const LISTED_BEFORE_START: Millis = f64::MIN;

/// A backend on the full list.
#[derive(Debug, Clone)]
struct Listed {
    entry: ServiceEntry,
    /// When it was first listed, in milliseconds. Passed on as its start: without it the decision module
    /// would treat a warm backend that enters the subset later as newly started.
    listed_at: Millis,
}

impl Listed {
    fn is_ready(&self) -> bool {
        self.entry.entry.state == BackendState::Ready
    }

    /// Returns the entry for the decision module.
    fn to_entry(&self) -> ServiceEntry {
        let mut entry = self.entry.clone();
        entry.entry.last_start = entry.entry.last_start.or(Some(self.listed_at));
        entry
    }
}

/// Counts of the ready backends of a zone.
#[derive(Debug, Clone, Copy, Default)]
struct Zone {
    /// The number of ready backends.
    ready: usize,
    /// The number of ready backends in the subset of this ingress.
    held: usize,
    /// This ingress holds the zone's backends for which its rank is below this number.
    holders: u16,
}

/// The subset of one ingress, kept up to date with the backend list and the live ingresses.
#[derive(Debug, Clone)]
pub struct Subset {
    order: IngressOrder,
    /// The number of backends that an ingress should hold.
    target_size: usize,
    /// The full backend list.
    listed: BTreeMap<BackendId, Listed>,
    zones: BTreeMap<ZoneId, Zone>,
    /// The backends that were passed to the decision module and not withdrawn since.
    reported: BTreeSet<BackendId>,
    /// The number of holders per backend in use; see `target_holders`.
    holders: f64,
    /// The version of the last list.
    generation: u64,
    /// Whether a list has been applied.
    initialized: bool,
}

impl Subset {
    /// Creates the subset of `ingress`, one of `ingress_count` ingresses, with about `target_size` backends.
    pub fn new(ingress: IngressId, ingress_count: u16, target_size: usize) -> Self {
        Self {
            order: IngressOrder::new(ingress, ingress_count),
            target_size,
            listed: BTreeMap::new(),
            zones: BTreeMap::new(),
            reported: BTreeSet::new(),
            holders: 0.0,
            generation: 0,
            initialized: false,
        }
    }

    /// Applies a full list or changes to it; returns the full list or the changes for the decision module.
    pub fn apply_list(&mut self, now: Millis, list: BackendList) -> BackendList {
        self.generation = list.generation;
        if list.complete {
            return self.apply_full_list(now, list);
        }
        let mut changed = BTreeMap::new();
        for entry in list.entries {
            changed.insert(entry.entry.backend, entry.clone());
            self.update_entry(now, entry);
        }
        self.initialized = true;
        let entries = match self.needs_recompute() {
            true => self.recompute_and_report(&changed),
            false => changed.iter().filter_map(|(id, entry)| self.report(*id, Some(entry))).collect(),
        };
        // The reported changes may leave this ingress with too few backends of a zone.
        let entries = if self.needs_recompute() { self.recompute_and_append(entries) } else { entries };
        BackendList { generation: self.generation, complete: false, entries }
    }

    /// Sets which ingresses are live, indexed by ingress number; `None` if that is not known. Returns the
    /// changes for the decision module, or `None` if the subset stays the same.
    pub fn set_live_ingresses(&mut self, live: Option<&[bool]>) -> Option<BackendList> {
        self.order.set_live(live);
        let entries = self.recompute_and_report(&BTreeMap::new());
        let generation = self.generation;
        (!entries.is_empty()).then_some(BackendList { generation, complete: false, entries })
    }

    /// Returns the ready backends of the subset.
    pub fn ready_backends(&self) -> impl Iterator<Item = BackendId> {
        self.reported.iter().copied().filter(|id| self.listed.get(id).is_some_and(Listed::is_ready))
    }

    fn apply_full_list(&mut self, now: Millis, list: BackendList) -> BackendList {
        let before = std::mem::take(&mut self.listed);
        self.zones.clear();
        for entry in list.entries {
            let known = before.get(&entry.entry.backend).map(|listed| listed.listed_at);
            self.update_entry(known.unwrap_or(now), entry);
        }
        self.initialized = true;
        self.reported.clear();
        self.recompute_holders();
        let ids: Vec<BackendId> = self.listed.keys().copied().collect();
        let entries = ids.into_iter().filter_map(|id| self.report(id, None)).collect();
        BackendList { generation: self.generation, complete: true, entries }
    }

    /// Adds an entry to the full list, or replaces or removes it.
    fn update_entry(&mut self, now: Millis, entry: ServiceEntry) {
        let id = entry.entry.backend;
        let before = self.listed.remove(&id);
        if let Some(before) = before.as_ref().filter(|before| before.is_ready()) {
            self.update_zone(before.entry.entry.zone, |zone| zone.ready -= 1);
            if self.reported.contains(&id) {
                self.update_zone(before.entry.entry.zone, |zone| zone.held -= 1);
            }
        }
        if entry.entry.state == BackendState::Gone {
            return;
        }
        let first_listed_at = if self.initialized { now } else { LISTED_BEFORE_START };
        let listed = Listed { listed_at: before.map_or(first_listed_at, |before| before.listed_at), entry };
        if listed.is_ready() {
            let held = usize::from(self.reported.contains(&id));
            self.update_zone(listed.entry.entry.zone, |zone| {
                zone.ready += 1;
                zone.held += held;
            });
        }
        self.listed.insert(id, listed);
    }

    fn update_zone(&mut self, zone: ZoneId, change: impl FnOnce(&mut Zone)) {
        change(self.zones.entry(zone).or_default());
    }

    /// Brings a backend's membership in the subset up to date. Returns the entry for the decision module, or
    /// `None` if it needs none. `changed` is the backend's entry if it has just changed on the list.
    fn report(&mut self, id: BackendId, changed: Option<&ServiceEntry>) -> Option<ServiceEntry> {
        let was_reported = self.reported.contains(&id);
        let listed = self.listed.get(&id);
        if let Some(listed) = listed.filter(|listed| listed.is_ready() && self.holds(listed)) {
            let (zone, entry) = (listed.entry.entry.zone, listed.to_entry());
            if !was_reported {
                self.reported.insert(id);
                self.update_zone(zone, |zone| zone.held += 1);
            }
            return (!was_reported || changed.is_some()).then_some(entry);
        }
        if !was_reported {
            return None;
        }
        if let Some(listed) = listed.filter(|listed| !listed.is_ready()) {
            return changed.map(|_| listed.to_entry());
        }
        let (zone, entry) = match listed {
            Some(listed) => (Some(listed.entry.entry.zone), Some(listed.entry.clone())),
            None => (None, changed.cloned()),
        };
        self.reported.remove(&id);
        zone.into_iter().for_each(|zone| self.update_zone(zone, |zone| zone.held -= 1));
        entry.map(|mut entry| {
            entry.entry.state = BackendState::Gone;
            entry.address = None;
            entry
        })
    }

    /// Returns whether this ingress is to hold the backend.
    fn holds(&self, listed: &Listed) -> bool {
        let zone = self.zones.get(&listed.entry.entry.zone);
        zone.is_some_and(|zone| self.order.rank(listed.entry.entry.backend) < zone.holders)
    }

    /// Returns the number of holders per backend, at least 1, at which each ingress holds about `target_size`
    /// backends.
    fn target_holders(&self) -> f64 {
        let ready: usize = self.zones.values().map(|zone| zone.ready).sum();
        let ingresses = f64::from(self.order.live_count());
        (ingresses * self.target_size as f64 / ready.max(1) as f64).clamp(1.0, ingresses)
    }

    /// Returns the least number of backends of a zone that this ingress is to hold.
    fn min_held(&self, zone: &Zone) -> usize {
        let ready: usize = self.zones.values().map(|zone| zone.ready).sum();
        let share = self.target_size as f64 * zone.ready as f64 / ready.max(1) as f64;
        ((share * MIN_ZONE_SHARE).ceil() as usize).min(zone.ready)
    }

    /// Returns whether the number of holders has drifted too far from its target, or a zone has too few held
    /// backends.
    fn needs_recompute(&self) -> bool {
        let target = self.target_holders();
        let drifted =
            target > self.holders * HOLDERS_DRIFT_FACTOR || target * HOLDERS_DRIFT_FACTOR < self.holders;
        drifted || self.zones.values().any(|zone| zone.held < self.min_held(zone))
    }

    /// Recomputes the number of holders of each zone.
    fn recompute_holders(&mut self) {
        let target = self.target_holders();
        if target > self.holders * HOLDERS_DRIFT_FACTOR || target * HOLDERS_DRIFT_FACTOR < self.holders {
            self.holders = target;
        }
        let holders = self.holders.round() as u16;
        let mut ranks: BTreeMap<ZoneId, Vec<u16>> = BTreeMap::new();
        for listed in self.listed.values().filter(|listed| listed.is_ready()) {
            let rank = self.order.rank(listed.entry.entry.backend);
            ranks.entry(listed.entry.entry.zone).or_default().push(rank);
        }
        for (id, mut ranks) in ranks {
            let min_held = self.zones.get(&id).map_or(0, |zone| self.min_held(zone));
            ranks.sort_unstable();
            // The number of holders at which this ingress holds `min_held` backends of the zone.
            let min_holders =
                min_held.checked_sub(1).and_then(|last| ranks.get(last)).map_or(0, |rank| rank + 1);
            self.update_zone(id, |zone| zone.holders = holders.max(min_holders));
        }
    }

    /// Recomputes the holders; returns the entries for the decision module that follow from this and from
    /// `changed`.
    fn recompute_and_report(&mut self, changed: &BTreeMap<BackendId, ServiceEntry>) -> Vec<ServiceEntry> {
        self.recompute_holders();
        let ids: BTreeSet<BackendId> = self.listed.keys().chain(changed.keys()).copied().collect();
        ids.into_iter().filter_map(|id| self.report(id, changed.get(&id))).collect()
    }

    /// Recomputes the holders again and adds the resulting entries to `entries`; for a backend in both the
    /// later entry wins.
    fn recompute_and_append(&mut self, entries: Vec<ServiceEntry>) -> Vec<ServiceEntry> {
        let mut all: BTreeMap<BackendId, ServiceEntry> =
            entries.into_iter().map(|entry| (entry.entry.backend, entry)).collect();
        let more = self.recompute_and_report(&BTreeMap::new());
        all.extend(more.into_iter().map(|entry| (entry.entry.backend, entry)));
        all.into_values().collect()
    }
}
