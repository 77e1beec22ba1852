//! The state of all watched services, and the merged backend list that is reported from it.

use super::read::HealthAnswer;
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

/// The most log lines about the changes of one answer; beyond it, one more line gives the counts.
const MAX_LOG_LINES: usize = 16;

/// The state of a watched service.
#[derive(Debug, Default)]
pub(super) struct WatchedService {
    /// The service's instances.
    pub(super) members: Members,
    /// The instances that were skipped in the last answer, each with its invalid key. Logged once, while they
    /// stay.
    pub(super) skipped: BTreeSet<(String, &'static str)>,
    /// The agent that answered last; `None` while the query fails.
    pub(super) healthy_agent: Option<SocketAddr>,
    /// Whether the current failure of the query was logged.
    pub(super) failure_logged: bool,
    /// Whether a health answer has come since the configuration was applied.
    pub(super) answered: bool,
}

/// The state of all watched services. The tasks share it in a `RefCell`, which they must not keep borrowed
/// across an await.
pub(super) struct WatchedServices<T> {
    /// Receives every change of the list.
    pub(super) report: T,
    /// The merged list of all services.
    pub(super) list: MergedList,
    /// The services by slot, including those that are no longer configured until they are retired.
    pub(super) by_slot: BTreeMap<Slot, WatchedService>,
    /// The slots of the configured services, by prefix and name.
    pub(super) slots: BTreeMap<(String, String), Slot>,
    /// The slot that was assigned last.
    pub(super) last_slot: Slot,
    /// The generation of the list that was reported last.
    pub(super) generation: u64,
    /// Whether the first list was reported.
    pub(super) first_reported: bool,
    /// Whether a list with at least one entry was reported.
    pub(super) entries_reported: bool,
    /// Wakes the watch when the end of a hold-down may have become earlier.
    pub(super) wake: Rc<Notify>,
    /// The metrics.
    pub(super) stats: Arc<Stats>,
    /// Logs changes and failures.
    pub(super) log: Logger,
}

impl<T: FnMut(BackendList)> WatchedServices<T> {
    /// Creates a set of no services that reports lists to `report`.
    pub(super) fn new(report: T, wake: Rc<Notify>, stats: Arc<Stats>, log: Logger) -> Self {
        Self {
            report,
            list: MergedList::default(),
            by_slot: BTreeMap::new(),
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

    /// Returns a service's slot: the one it had in the previous configuration, or a new one.
    pub(super) fn slot_or_new(&mut self, previous: Option<Slot>) -> Slot {
        previous.unwrap_or_else(|| {
            self.last_slot += 1;
            self.last_slot
        })
    }

    /// Returns when the next hold-down ends, in milliseconds on the clock; `None` if there is none.
    pub(super) fn next_hold_down_end(&self) -> Option<Millis> {
        self.by_slot.values().filter_map(|service| service.members.next_hold_down_end()).reduce(f64::min)
    }

    /// Reports the instances whose hold-down has ended.
    pub(super) fn report_hold_down_ends(&mut self, now: Millis) {
        for slot in self.all_slots() {
            let Some(service) = self.by_slot.get_mut(&slot) else { continue };
            let returned = service.members.end_hold_downs(now);
            if !returned.is_empty() {
                self.apply(slot, returned);
            }
        }
    }

    /// Reports those of `suspects` as draining whose connections fail while no current answer lists them.
    pub(super) fn report_unreachable(&mut self, now: Millis, suspects: &BTreeSet<BackendId>) {
        for slot in self.all_slots() {
            let Some(service) = self.by_slot.get_mut(&slot) else { continue };
            let unreachable =
                suspects.iter().filter_map(|id| service.members.mark_unreachable(now, *id)).collect();
            self.apply(slot, unreachable);
        }
    }

    /// Returns the slots of all services, so that the services can be changed while iterating.
    fn all_slots(&self) -> Vec<Slot> {
        self.by_slot.keys().copied().collect()
    }

    /// Retires (drops) the services that are no longer configured, if all others have answered, or if it is
    /// `overdue` and any of the others has instances. Returns whether it did.
    pub(super) fn retire_unconfigured(&mut self, overdue: bool) -> bool {
        let current: BTreeSet<Slot> = self.slots.values().copied().collect();
        let all_answered = current.iter().all(|slot| self.by_slot[slot].answered);
        let any_instances = current.iter().any(|slot| !self.by_slot[slot].members.is_empty());
        let droppable = all_answered || overdue && any_instances;
        if !droppable {
            return false;
        }
        self.by_slot.retain(|slot, _| current.contains(slot));
        self.list.retain_slots(&current);
        self.report_changes(false);
        self.update_stats();
        true
    }

    /// Reports the changes since the last report. The first report waits until all services have answered, or
    /// until it is `overdue`.
    pub(super) fn report_changes(&mut self, overdue: bool) {
        if !self.first_reported && !overdue && !self.by_slot.values().all(|service| service.answered) {
            return;
        }
        let entries = self.list.take_changes();
        if !entries.is_empty() || !self.first_reported {
            self.generation += 1;
            // The first list with entries is complete: it replaces the list of the previous process.
            let complete = !self.entries_reported && !entries.is_empty();
            self.first_reported = true;
            self.entries_reported |= complete;
            (self.report)(BackendList { generation: self.generation, complete, entries });
        }
    }

    /// Applies changes of a service's instances, logs them and reports the changes of the list.
    pub(super) fn apply(&mut self, slot: Slot, changes: Vec<Observation>) {
        let first = !self.first_reported;
        for change in changes.iter().take(if first { 0 } else { MAX_LOG_LINES }) {
            let state = match change.entry.entry.state {
                BackendState::Ready => "ready",
                BackendState::Draining => "drains",
                BackendState::Gone => "gone",
            };
            let reason = change.reason.as_str();
            info!(self.log, "a real server's state by Consul"; "id" => &change.name, "state" => state, "why" => reason);
        }
        let unlogged = changes.len().saturating_sub(if first { 0 } else { MAX_LOG_LINES });
        if unlogged > 0 {
            let ready = changes.iter().filter(|change| change.is_ready()).count();
            info!(self.log, "Consul lists real servers"; "changed" => changes.len(), "ready" => ready);
        }
        self.list.apply(slot, changes);
        self.report_changes(false);
        self.wake.notify_one();
    }

    /// Updates the metrics: the services, those whose queries fail, and the oldest answer.
    pub(super) fn update_stats(&self) {
        let failing = self.by_slot.values().filter(|service| service.healthy_agent.is_none()).count();
        let answered_at = self.by_slot.values().map(|service| service.members.answered_at().unwrap_or(0.0));
        self.stats.set_consul(self.by_slot.len(), failing, answered_at.fold(f64::INFINITY, f64::min));
    }

    /// Applies a health answer of `agent`. Returns whether the catalogue has to confirm that missing
    /// instances are gone.
    pub(super) fn apply_answer(
        &mut self,
        slot: Slot,
        agent: SocketAddr,
        now: Millis,
        answer: HealthAnswer,
    ) -> bool {
        let Some(service) = self.by_slot.get_mut(&slot) else { return false };
        service.answered = true;
        service.healthy_agent = Some(agent);
        if std::mem::take(&mut service.failure_logged) {
            let age = service.members.answered_at().map_or(0.0, |answered_at| now - answered_at);
            info!(self.log, "Consul answers again"; "agent" => %agent, "age_ms" => age.round());
        }
        for (id, key) in answer.skipped.difference(&service.skipped).take(MAX_LOG_LINES) {
            warn!(self.log, "consul entry passed over"; "id" => id, "key" => key);
        }
        service.skipped = answer.skipped;
        let (changes, confirm) = match service.members.apply_health(now, answer.instances) {
            HealthUpdate::Complete(changes) => (changes, false),
            HealthUpdate::NeedsConfirmation(changes) => (changes, true),
        };
        self.update_stats();
        self.apply(slot, changes);
        confirm
    }

    /// Records that a health query to `agent` failed.
    pub(super) fn record_failure(&mut self, slot: Slot, agent: SocketAddr, reason: &str) {
        let Some(service) = self.by_slot.get_mut(&slot) else { return };
        service.members.set_query_failed();
        service.healthy_agent = None;
        // Logged when the failures begin; their end is logged by `apply_answer`.
        if !std::mem::replace(&mut service.failure_logged, true) {
            warn!(self.log, "Consul does not answer"; "agent" => %agent, "why" => reason, "kept" => service.members.len());
        }
        self.update_stats();
    }
}
