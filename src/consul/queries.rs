//! The queries for one service: its health, continuously, and the catalogue when it has to confirm a mass
//! withdrawal.

use super::agent::{AgentConnection, QueryCounts, QueryError};
use super::services::WatchedServices;
use super::{query, read};
use crate::backends::entries::{BackendList, TopologyNames};
use crate::backends::membership::merged_list::Slot;
use crate::backends::membership::query_schedule::{AgentRotation, Cursor, QueryLimiter};
use crate::config::{ConsulConfig, ConsulService};
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::pacing::Pacing;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// The shortest pause after a failed health query, in milliseconds.
const HEALTH_MIN_BACKOFF: Millis = 100.0;
/// The longest pause after a failed health query, in milliseconds; longer if the size of the fleet needs it.
const HEALTH_MAX_BACKOFF: Millis = 10_000.0;
/// The shortest pause after a failed catalogue query, in milliseconds.
const CATALOGUE_MIN_BACKOFF: Millis = 100.0;
/// The longest pause after a failed catalogue query, in milliseconds; longer if the size of the fleet needs
/// it. It is shorter than that for health, since a withdrawal waits for the answer.
const CATALOGUE_MAX_BACKOFF: Millis = 2000.0;
/// The bounds of the pause after a failed health query, in milliseconds.
pub(super) const HEALTH_BACKOFF: [Millis; 2] = [HEALTH_MIN_BACKOFF, HEALTH_MAX_BACKOFF];
/// The bounds of the pause after a failed catalogue query, in milliseconds.
const CATALOGUE_BACKOFF: [Millis; 2] = [CATALOGUE_MIN_BACKOFF, CATALOGUE_MAX_BACKOFF];

/// The queries for one service, shared by its health task and its catalogue task.
pub(super) struct ServiceQueries<T> {
    /// The state of all services, which answers are applied to.
    pub(super) services: Rc<RefCell<WatchedServices<T>>>,
    /// The configuration.
    pub(super) consul: Arc<ConsulConfig>,
    /// The service to query.
    pub(super) service: ConsulService,
    /// The service's slot.
    pub(super) slot: Slot,
    /// The names of zones and of kinds of machine.
    pub(super) places: TopologyNames,
    /// The number of ingresses that send the same queries.
    pub(super) ingress_count: u16,
    /// The clock and timers.
    pub(super) deadlines: Deadlines,
    /// The seed of random pauses.
    pub(super) seed: u64,
    /// The counts of queries and received bytes.
    pub(super) counts: Rc<QueryCounts>,
    /// Wakes the catalogue task.
    pub(super) confirm: Notify,
    /// Logs confirmed and unconfirmed withdrawals.
    pub(super) log: Logger,
}

impl<T: FnMut(BackendList)> ServiceQueries<T> {
    /// Returns the time in milliseconds on the clock.
    pub(super) fn now(&self) -> Millis {
        self.deadlines.clock().now()
    }

    /// Returns the address of the agent whose turn it is.
    pub(super) fn agent(&self, agents: AgentRotation) -> SocketAddr {
        self.consul.agents[agents.current(self.consul.agents.len())]
    }

    /// Queries the health of the service forever.
    pub(super) async fn watch_health(&self) {
        let mut pacing = Pacing::new(self.ingress_count, HEALTH_BACKOFF, self.seed ^ self.slot);
        let mut limiter = QueryLimiter::new(self.ingress_count, self.now());
        let (mut cursor, mut agents) = (Cursor::default(), AgentRotation::default());
        let mut connection = AgentConnection::new(self.deadlines.clone(), self.counts.clone());
        let mut pause = 0.0;
        loop {
            self.deadlines.sleep(pause).await;
            let agent = self.agent(agents);
            let target = query::health_target(&self.consul, &self.service, cursor);
            let timeout = query::health_timeout(&self.consul, cursor);
            let answer = connection.get(&self.consul, agent, &target, timeout).await;
            let answer = answer.and_then(|answer| {
                let parsed =
                    read::health(&answer.body, &self.service, &self.places).map_err(QueryError::from)?;
                Ok((answer.index, parsed))
            });
            match answer {
                Ok((index, parsed)) => {
                    pacing.succeeded();
                    cursor.advance(index);
                    if self.services.borrow_mut().apply_answer(self.slot, agent, self.now(), parsed) {
                        self.confirm.notify_one();
                    }
                    pause = limiter.reserve(self.now());
                }
                Err(QueryError { reason, retry_after }) => {
                    self.services.borrow_mut().record_failure(self.slot, agent, &reason);
                    // Each agent counts its index on its own, and anew after a restart.
                    cursor.reset();
                    agents.fail();
                    connection.close();
                    pause = pacing.next_delay().max(retry_after);
                }
            }
        }
    }

    /// Queries the catalogue, until it answers, whenever a health answer lacks so many instances that the
    /// withdrawal needs confirmation. Health queries continue meanwhile.
    pub(super) async fn confirm_withdrawals(&self) {
        let mut pacing = Pacing::new(self.ingress_count, CATALOGUE_BACKOFF, !self.seed ^ self.slot);
        let mut limiter = QueryLimiter::new(self.ingress_count, self.now());
        let mut connection = AgentConnection::new(self.deadlines.clone(), self.counts.clone());
        let mut agents = AgentRotation::default();
        let target = query::catalogue_target(&self.consul, &self.service);
        loop {
            self.confirm.notified().await;
            let mut logged = false;
            // Ends without a query once a health answer lists the missing instances again.
            while let Some(round) = self.unconfirmed_round() {
                self.deadlines.sleep(limiter.reserve(self.now())).await;
                let healthy =
                    self.services.borrow().by_slot.get(&self.slot).and_then(|service| service.healthy_agent);
                let agent = healthy
                    .filter(|_| agents == AgentRotation::default())
                    .unwrap_or_else(|| self.agent(agents));
                let answer = connection.get(&self.consul, agent, &target, self.consul.timeout).await;
                let listed = answer.and_then(|answer| Ok(read::catalogue(&answer.body, &self.service)?));
                match listed {
                    Ok(listed) => {
                        (agents, logged) = (AgentRotation::default(), false);
                        pacing.succeeded();
                        let mut services = self.services.borrow_mut();
                        let Some(service) = services.by_slot.get_mut(&self.slot) else { return };
                        let gone = service.members.apply_catalogue(self.now(), round, &listed);
                        let remaining = service.members.len();
                        if !gone.is_empty() {
                            info!(self.log, "a mass withdrawal is confirmed by the catalogue"; "service" => &self.service.name, "gone" => gone.len(), "stay" => remaining);
                        }
                        services.apply(self.slot, gone);
                    }
                    Err(QueryError { reason, retry_after }) => {
                        agents.fail();
                        connection.close();
                        if !std::mem::replace(&mut logged, true) {
                            warn!(self.log, "a mass withdrawal is not believed"; "service" => &self.service.name, "agent" => %agent, "why" => reason);
                        }
                        self.deadlines.sleep(pacing.next_delay().max(retry_after)).await;
                    }
                }
            }
        }
    }

    /// Returns the round whose withdrawal the catalogue has to confirm; `None` if there is none.
    pub(super) fn unconfirmed_round(&self) -> Option<u64> {
        self.services.borrow().by_slot.get(&self.slot).and_then(|service| service.members.unconfirmed_round())
    }
}
