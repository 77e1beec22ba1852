//! Consul: finds backends by blocking queries on the health of services, and asks the catalogue to confirm a mass withdrawal.
//! `membership` decides what is believed; this module asks and reports.

pub mod agent;
mod book;
mod queries;
pub mod query;
pub mod read;

use crate::backends::entries::{BackendList, Places};
use crate::backends::membership::members::Members;
use crate::backends::membership::merged_list::Slot;
use crate::backends::membership::traffic::Witness;
use crate::config::{ConsulConfig, ConsulService, ReloadableConfig};
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::pacing::Pacing;
use crate::stats::Stats;
use agent::Counts;
use book::{KnownService, ServiceBook};
use queries::{HEALTH_BACKOFF, ServiceQueries};
use slog::Logger;
use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;

/// A fleet that starts together, or gets a new configuration, spreads its first queries over so many milliseconds.
pub const START: Millis = 2000.0;
/// The first list waits for the answers of all services, but no longer than this, in milliseconds.
const FIRST: Millis = 800.0;
/// A service that is no longer configured is kept until all others have answered, or for so many milliseconds where any
/// of the others has instances.
const RETIRE: Millis = 3000.0;
/// The longest sleep, in milliseconds.
const FOREVER: Millis = 3_600_000.0;
/// A watch on the services that are configured.
#[derive(Debug)]
pub struct Watch {
    /// The agents, and what to ask them.
    pub consul: Arc<ConsulConfig>,
    /// New configurations.
    pub ways: watch::Receiver<ReloadableConfig>,
    /// The zones and kinds of machine that instances name.
    pub places: Places,
    /// How many ingresses ask the same.
    pub instances: u16,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// The seed of this instance's pauses, so that a fleet does not ask together.
    pub seed: u64,
    /// The failed connections of requests.
    pub witness: Rc<Witness>,
    /// The metrics.
    pub stats: Arc<Stats>,
    /// Counts of queries.
    pub counts: Rc<Counts>,
    /// Changes are logged.
    pub log: Logger,
}

impl Watch {
    /// Watches for ever, and reports every change. Failed queries and answers that cannot be read leave the list as it is,
    /// and a new configuration is taken in without losing it.
    pub async fn run(self, report: impl FnMut(BackendList) + 'static) {
        let mut consul = self.consul.clone();
        let wake = Rc::new(Notify::new());
        let book = ServiceBook::new(report, wake.clone(), self.stats.clone(), self.log.clone());
        let book = Rc::new(RefCell::new(book));
        let mut start = Pacing::new(self.instances, HEALTH_BACKOFF, self.seed);
        // Prevents a fleet that starts together from asking together.
        self.deadlines.sleep(start.first_within(START)).await;
        let mut tasks = self.begin(&book, None, &consul);
        let mut ways = self.ways.clone();
        let first_due = self.now() + FIRST;
        let mut retire_due = None;
        loop {
            let due = next_due(&book.borrow(), first_due, retire_due);
            tokio::select! {
                () = self.deadlines.sleep((due - self.now()).clamp(0.0, FOREVER)) => {}
                () = wake.notified() => {}
                suspects = self.witness.suspects() => {
                    book.borrow_mut().report_unreachable(self.now(), &suspects);
                }
                new = changed(&mut ways, &consul) => {
                    // The queries go on meanwhile.
                    self.deadlines.sleep(start.first_within(START)).await;
                    tasks.abort_all();
                    tasks = self.begin(&book, Some(&consul), &new);
                    consul = new;
                    retire_due = Some(self.now() + RETIRE);
                }
            }
            let now = self.now();
            let mut book = book.borrow_mut();
            book.report_returns(now);
            if !book.first_reported && now >= first_due {
                book.report_changes(true);
            }
            if retire_due.is_some_and(|due| book.retire(now >= due)) {
                retire_due = None;
            }
        }
    }

    fn now(&self) -> Millis {
        self.deadlines.clock().now()
    }

    /// Begins the queries of a configuration; services that were asked for before keep what is known of them.
    fn begin<T: FnMut(BackendList) + 'static>(
        &self,
        book: &Rc<RefCell<ServiceBook<T>>>,
        before: Option<&Arc<ConsulConfig>>,
        consul: &Arc<ConsulConfig>,
    ) -> JoinSet<()> {
        self.witness.suspect_after(consul.membership.unreachable_after);
        let mut tasks = JoinSet::new();
        let mut open = book.borrow_mut();
        let slots_before = std::mem::take(&mut open.slots);
        for service in &consul.services {
            let key = (service.prefix.clone(), service.name.clone());
            let slot = open.slot_of(slots_before.get(&key).copied());
            let new = || KnownService { members: Members::new(consul.membership), ..KnownService::default() };
            let known = open.services.entry(slot).or_insert_with(new);
            known.answered = false;
            known.members.set_policy(consul.membership);
            if before.is_some_and(|before| has_changed(&before.services, service)) {
                known.members.query_has_changed();
            }
            open.slots.insert(key, slot);
            let queries = Rc::new(self.queries(book.clone(), consul.clone(), service.clone(), slot));
            let same = queries.clone();
            tasks.spawn_local(async move { queries.health().await });
            tasks.spawn_local(async move { same.catalogue().await });
        }
        open.update_stats();
        tasks
    }

    fn queries<T: FnMut(BackendList)>(
        &self,
        book: Rc<RefCell<ServiceBook<T>>>,
        consul: Arc<ConsulConfig>,
        service: ConsulService,
        slot: Slot,
    ) -> ServiceQueries<T> {
        ServiceQueries {
            book,
            consul,
            service,
            slot,
            places: self.places.clone(),
            instances: self.instances,
            deadlines: self.deadlines.clone(),
            seed: self.seed,
            counts: self.counts.clone(),
            confirm: Notify::new(),
            log: self.log.clone(),
        }
    }
}

/// When something is due without an answer: the first list, the end of a hold-down, or that services are forgotten.
fn next_due<T: FnMut(BackendList)>(
    book: &ServiceBook<T>,
    first_due: Millis,
    retire_due: Option<Millis>,
) -> Millis {
    let first = (!book.first_reported).then_some(first_due);
    [first, retire_due, book.next_return()].into_iter().flatten().fold(f64::INFINITY, f64::min)
}

/// Whether the operator asks for this service otherwise than before.
fn has_changed(before: &[ConsulService], service: &ConsulService) -> bool {
    before.iter().any(|was| was.name == service.name && was != service)
}

/// Resolves once another configuration is there; never where none can come any more.
async fn changed(ways: &mut watch::Receiver<ReloadableConfig>, now: &Arc<ConsulConfig>) -> Arc<ConsulConfig> {
    let other = |ways: &ReloadableConfig| ways.consul.as_ref().is_some_and(|consul| consul != now);
    match ways.wait_for(other).await.ok().and_then(|ways| ways.consul.clone()) {
        Some(consul) => consul,
        None => std::future::pending().await,
    }
}
