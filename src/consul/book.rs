//! What is known of all services that Consul is asked for.

use super::read;
use crate::backends::entries::BackendList;
use crate::backends::membership::Observation;
use crate::backends::membership::members::{HealthUpdate, Members};
use crate::backends::membership::merged_list::{MergedList, Slot};
use crate::interface::{BackendId, BackendState, Millis};
use crate::stats::Stats;
use slog::{Logger, info, warn};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// The most log lines about one answer; the rest is counted in one line.
const MAX_LOG_LINES: usize = 16;

/// What is known of a service.
#[derive(Debug, Default)]
pub(super) struct KnownService {
    pub(super) members: Members,
    /// The instances of its last answer that cannot be read, each with the key at fault.
    pub(super) faults: BTreeSet<(String, &'static str)>,
    /// The agent that answered last; none while the query fails.
    pub(super) healthy_agent: Option<SocketAddr>,
    /// It was logged that the query fails.
    pub(super) silence_logged: bool,
    /// It has answered since the configuration was read.
    pub(super) answered: bool,
}

/// What is known of all services; borrowed for a moment only.
pub(super) struct ServiceBook<T> {
    pub(super) report: T,
    pub(super) list: MergedList,
    pub(super) services: BTreeMap<Slot, KnownService>,
    pub(super) slots: BTreeMap<(String, String), Slot>,
    pub(super) last_slot: Slot,
    pub(super) generation: u64,
    /// The first list was reported.
    pub(super) first_reported: bool,
    /// A list that has any entries was reported.
    pub(super) entries_reported: bool,
    /// Wakes the watch, since a hold-down may be over earlier than it knew.
    pub(super) wake: Rc<Notify>,
    pub(super) stats: Arc<Stats>,
    pub(super) log: Logger,
}

impl<T: FnMut(BackendList)> ServiceBook<T> {
    /// A book of no service, which reports lists to `report`.
    pub(super) fn new(report: T, wake: Rc<Notify>, stats: Arc<Stats>, log: Logger) -> Self {
        Self {
            report,
            list: MergedList::default(),
            services: BTreeMap::new(),
            slots: BTreeMap::new(),
            last_slot: 0,
            generation: 0,
            first_reported: false,
            entries_reported: false,
            wake,
            stats,
            log,
        }
    }

    /// The slot of a service by its prefix and name, which it keeps from one configuration to the next.
    pub(super) fn slot_of(&mut self, before: Option<Slot>) -> Slot {
        before.unwrap_or_else(|| {
            self.last_slot += 1;
            self.last_slot
        })
    }

    /// When the next hold-down is over.
    pub(super) fn next_return(&self) -> Option<Millis> {
        self.services.values().filter_map(|known| known.members.next_hold_down_end()).reduce(f64::min)
    }

    /// Reports the instances whose hold-down is over.
    pub(super) fn report_returns(&mut self, now: Millis) {
        for slot in self.all_slots() {
            let Some(known) = self.services.get_mut(&slot) else { continue };
            let returned = known.members.end_hold_downs(now);
            if !returned.is_empty() {
                self.apply(slot, returned);
            }
        }
    }

    /// Reports the instances that no answer vouches for and that connections fail to.
    pub(super) fn report_unreachable(&mut self, now: Millis, suspects: &BTreeSet<BackendId>) {
        for slot in self.all_slots() {
            let Some(known) = self.services.get_mut(&slot) else { continue };
            let unreachable =
                suspects.iter().filter_map(|id| known.members.mark_unreachable(now, *id)).collect();
            self.apply(slot, unreachable);
        }
    }

    fn all_slots(&self) -> Vec<Slot> {
        self.services.keys().copied().collect()
    }

    /// Forgets services that are no longer configured once all others have answered, or once `overdue` and any of the
    /// others has instances; returns whether it did.
    pub(super) fn retire(&mut self, overdue: bool) -> bool {
        let current: BTreeSet<Slot> = self.slots.values().copied().collect();
        let all_answered = current.iter().all(|slot| self.services[slot].answered);
        let any_instances = current.iter().any(|slot| !self.services[slot].members.is_empty());
        let retires = all_answered || overdue && any_instances;
        if !retires {
            return false;
        }
        self.services.retain(|slot, _| current.contains(slot));
        self.list.retain_slots(&current);
        self.report_changes(false);
        self.update_stats();
        true
    }

    /// Reports what has changed since the last time; the first list of all only once all services have answered, or where it
    /// is due.
    pub(super) fn report_changes(&mut self, due: bool) {
        if !self.first_reported && !due && !self.services.values().all(|known| known.answered) {
            return;
        }
        let entries = self.list.take_changes();
        if !entries.is_empty() || !self.first_reported {
            self.generation += 1;
            // The first list with any entries replaces the whole one that the process before had.
            let whole = !self.entries_reported && !entries.is_empty();
            self.first_reported = true;
            self.entries_reported |= whole;
            (self.report)(BackendList { generation: self.generation, complete: whole, entries });
        }
    }

    /// Applies changes of a service, logs them, and reports the list.
    pub(super) fn apply(&mut self, slot: Slot, changes: Vec<Observation>) {
        let first = !self.first_reported;
        for change in changes.iter().take(if first { 0 } else { MAX_LOG_LINES }) {
            let state = match change.entry.entry.state {
                BackendState::Ready => "ready",
                BackendState::Draining => "drains",
                BackendState::Gone => "gone",
            };
            let why = change.reason.as_str();
            info!(self.log, "a real server's state by Consul"; "id" => &change.name, "state" => state, "why" => why);
        }
        let more = changes.len().saturating_sub(if first { 0 } else { MAX_LOG_LINES });
        if more > 0 {
            let ready = changes.iter().filter(|change| change.is_ready()).count();
            info!(self.log, "Consul lists real servers"; "changed" => changes.len(), "ready" => ready);
        }
        self.list.apply(slot, changes);
        self.report_changes(false);
        self.wake.notify_one();
    }

    /// Counts the services, and those whose queries fail.
    pub(super) fn update_stats(&self) {
        let silent = self.services.values().filter(|known| known.healthy_agent.is_none()).count();
        let heard = self.services.values().map(|known| known.members.answered_at().unwrap_or(0.0));
        self.stats.set_consul(self.services.len(), silent, heard.fold(f64::INFINITY, f64::min));
    }

    /// Takes in an answer; returns whether the catalogue is to confirm what it lacks.
    pub(super) fn answered(&mut self, slot: Slot, at: SocketAddr, now: Millis, read: read::Read) -> bool {
        let Some(known) = self.services.get_mut(&slot) else { return false };
        known.answered = true;
        known.healthy_agent = Some(at);
        if std::mem::take(&mut known.silence_logged) {
            let silent = known.members.answered_at().map_or(0.0, |heard| now - heard);
            info!(self.log, "Consul answers again"; "agent" => %at, "age_ms" => silent.round());
        }
        for (id, key) in read.faults.difference(&known.faults).take(MAX_LOG_LINES) {
            warn!(self.log, "consul entry passed over"; "id" => id, "key" => key);
        }
        known.faults = read.faults;
        let (changes, confirm) = match known.members.apply_health(now, read.seen) {
            HealthUpdate::Complete(changes) => (changes, false),
            HealthUpdate::NeedsConfirmation(changes) => (changes, true),
        };
        self.update_stats();
        self.apply(slot, changes);
        confirm
    }

    /// Takes in that a query failed.
    pub(super) fn query_failed(&mut self, slot: Slot, at: SocketAddr, why: &str) {
        let Some(known) = self.services.get_mut(&slot) else { return };
        known.members.set_query_failed();
        known.healthy_agent = None;
        // Logged once when it begins, and once when it ends.
        if !std::mem::replace(&mut known.silence_logged, true) {
            warn!(self.log, "Consul does not answer"; "agent" => %at, "why" => why, "kept" => known.members.len());
        }
        self.update_stats();
    }
}
