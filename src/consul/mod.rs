//! Finds backends through Consul: blocking queries on the health of services, and catalogue queries that
//! confirm a mass withdrawal. [`crate::backends::membership`] decides how an answer changes the membership;
//! this module sends the queries and reports the list.

pub mod agent;
mod queries;
pub mod query;
pub mod read;
mod services;

use crate::backends::entries::{BackendList, TopologyNames};
use crate::backends::membership::connection_failures::FailureMonitor;
use crate::backends::membership::members::Members;
use crate::backends::membership::merged_list::Slot;
use crate::config::{ConsulConfig, ConsulService, ReloadableConfig};
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::pacing::Pacing;
use crate::stats::Stats;
use agent::QueryCounts;
use queries::{HEALTH_BACKOFF, ServiceQueries};
use services::{WatchedService, WatchedServices};
use slog::Logger;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

/// The longest delay, in milliseconds, before the first queries after a start or a new configuration. The
/// delay is random, so that a fleet does not query all at once.
pub const MAX_START_DELAY: Millis = 2000.0;
/// How long the first list waits for the answers of all services, in milliseconds.
const FIRST_LIST_TIMEOUT: Millis = 800.0;
/// How long a service that is no longer configured is kept at most while others have not answered, in
/// milliseconds; longer if none of the others has instances.
const RETIRE_TIMEOUT: Millis = 3000.0;
/// The longest sleep of the watch, in milliseconds.
const MAX_SLEEP: Millis = 3_600_000.0;

/// A watch on the configured services.
#[derive(Debug)]
pub struct Watch {
    /// The configuration to start with.
    pub consul: Arc<ConsulConfig>,
    /// Receives new configurations.
    pub config_updates: watch::Receiver<ReloadableConfig>,
    /// The names of zones and of kinds of machine, which instances refer to.
    pub places: TopologyNames,
    /// The number of ingresses that send the same queries.
    pub ingress_count: u16,
    /// The clock and timers.
    pub deadlines: Deadlines,
    /// The seed of this ingress's random delays. Each ingress needs its own, so that a fleet does not query
    /// all at once.
    pub seed: u64,
    /// The failed connections of requests, by backend.
    pub witness: Rc<FailureMonitor>,
    /// The metrics.
    pub stats: Arc<Stats>,
    /// The counts of queries and received bytes.
    pub counts: Rc<QueryCounts>,
    /// Logs changes and failures.
    pub log: Logger,
}

impl Watch {
    /// Watches forever and reports every change of the list. Failed queries and unreadable answers leave the
    /// list as it is, and so does a new configuration until its services have answered.
    pub async fn run(self, report: impl FnMut(BackendList) + 'static) {
        let mut consul = self.consul.clone();
        let wake = Rc::new(Notify::new());
        let services = WatchedServices::new(report, wake.clone(), self.stats.clone(), self.log.clone());
        let services = Rc::new(RefCell::new(services));
        let mut start_pacing = Pacing::new(self.ingress_count, HEALTH_BACKOFF, self.seed);
        // Keeps a fleet that starts together from querying all at once.
        self.deadlines.sleep(start_pacing.initial_delay_within(MAX_START_DELAY)).await;
        let mut tasks = self.start_queries(&services, None, &consul);
        let mut config_updates = self.config_updates.clone();
        let first_due = self.now() + FIRST_LIST_TIMEOUT;
        let mut retire_due = None;
        loop {
            let due = next_due(&services.borrow(), first_due, retire_due);
            tokio::select! {
                () = self.deadlines.sleep((due - self.now()).clamp(0.0, MAX_SLEEP)) => {}
                () = wake.notified() => {}
                suspects = self.witness.wait_for_suspects() => {
                    services.borrow_mut().report_unreachable(self.now(), &suspects);
                }
                new = config_change(&mut config_updates, &consul) => {
                    // The old queries continue during the delay.
                    self.deadlines.sleep(start_pacing.initial_delay_within(MAX_START_DELAY)).await;
                    tasks.abort_all();
                    tasks = self.start_queries(&services, Some(&consul), &new);
                    consul = new;
                    retire_due = Some(self.now() + RETIRE_TIMEOUT);
                }
            }
            let now = self.now();
            let mut services = services.borrow_mut();
            services.report_hold_down_ends(now);
            if !services.first_reported && now >= first_due {
                services.report_changes(true);
            }
            if retire_due.is_some_and(|due| services.retire_unconfigured(now >= due)) {
                retire_due = None;
            }
        }
    }

    /// Returns the time in milliseconds on the clock.
    fn now(&self) -> Millis {
        self.deadlines.clock().now()
    }

    /// Starts the queries of a configuration. Services that the `previous` configuration had too keep their
    /// state.
    fn start_queries<T: FnMut(BackendList) + 'static>(
        &self,
        services: &Rc<RefCell<WatchedServices<T>>>,
        previous: Option<&Arc<ConsulConfig>>,
        consul: &Arc<ConsulConfig>,
    ) -> JoinSet<()> {
        self.witness.set_threshold(consul.membership.unreachable_after);
        let mut tasks = JoinSet::new();
        let mut watched = services.borrow_mut();
        let previous_slots = std::mem::take(&mut watched.slots);
        for service in &consul.services {
            let key = (service.prefix.clone(), service.name.clone());
            let slot = watched.slot_or_new(previous_slots.get(&key).copied());
            let new =
                || WatchedService { members: Members::new(consul.membership), ..WatchedService::default() };
            let state = watched.by_slot.entry(slot).or_insert_with(new);
            state.answered = false;
            state.members.set_policy(consul.membership);
            if previous.is_some_and(|previous| has_changed(&previous.services, service)) {
                state.members.set_query_changed();
            }
            watched.slots.insert(key, slot);
            let health = Rc::new(self.queries(services.clone(), consul.clone(), service.clone(), slot));
            let catalogue = health.clone();
            tasks.spawn_local(async move { health.watch_health().await });
            tasks.spawn_local(async move { catalogue.confirm_withdrawals().await });
        }
        watched.update_stats();
        tasks
    }

    /// Creates the queries for one service.
    fn queries<T: FnMut(BackendList)>(
        &self,
        services: Rc<RefCell<WatchedServices<T>>>,
        consul: Arc<ConsulConfig>,
        service: ConsulService,
        slot: Slot,
    ) -> ServiceQueries<T> {
        ServiceQueries {
            services,
            consul,
            service,
            slot,
            places: self.places.clone(),
            ingress_count: self.ingress_count,
            deadlines: self.deadlines.clone(),
            seed: self.seed,
            counts: self.counts.clone(),
            confirm: Notify::new(),
            log: self.log.clone(),
        }
    }
}

/// Returns the time of the next event that needs no answer, in milliseconds on the clock: the first list, the
/// end of a hold-down, or the retirement of services that are no longer configured.
fn next_due<T: FnMut(BackendList)>(
    services: &WatchedServices<T>,
    first_due: Millis,
    retire_due: Option<Millis>,
) -> Millis {
    let first = (!services.first_reported).then_some(first_due);
    [first, retire_due, services.next_hold_down_end()].into_iter().flatten().fold(f64::INFINITY, f64::min)
}

/// Returns whether a service of the same name was configured differently before.
fn has_changed(previous: &[ConsulService], service: &ConsulService) -> bool {
    previous.iter().any(|old| old.name == service.name && old != service)
}

/// Resolves to a configuration that differs from `current`; never if the sender is gone.
async fn config_change(
    updates: &mut watch::Receiver<ReloadableConfig>,
    current: &Arc<ConsulConfig>,
) -> Arc<ConsulConfig> {
    let differs = |new: &ReloadableConfig| new.consul.as_ref().is_some_and(|consul| consul != current);
    match updates.wait_for(differs).await.ok().and_then(|new| new.consul.clone()) {
        Some(consul) => consul,
        None => std::future::pending().await,
    }
}
