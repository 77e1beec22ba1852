//! The queries for one service: its health for ever, and the catalogue where that is to confirm a withdrawal.

use super::agent::{Counts, Line, Refusal};
use super::book::ServiceBook;
use super::{query, read};
use crate::backends::entries::{BackendList, Places};
use crate::backends::membership::asking::{AgentRotation, Cursor, QueryLimiter};
use crate::backends::membership::merged_list::Slot;
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

/// A query that failed is asked again after the first span at the soonest, and later up to the second, or up to what the
/// size of the fleet needs. In milliseconds.
pub(super) const HEALTH_BACKOFF: [Millis; 2] = [100.0, 10_000.0];
/// The same for the catalogue, which a withdrawal waits for.
const CATALOGUE_BACKOFF: [Millis; 2] = [100.0, 2000.0];

/// The queries for one service, which two tasks share.
pub(super) struct ServiceQueries<T> {
    pub(super) book: Rc<RefCell<ServiceBook<T>>>,
    pub(super) consul: Arc<ConsulConfig>,
    pub(super) service: ConsulService,
    pub(super) slot: Slot,
    pub(super) places: Places,
    pub(super) instances: u16,
    pub(super) deadlines: Deadlines,
    pub(super) seed: u64,
    pub(super) counts: Rc<Counts>,
    /// Wakes the task that asks the catalogue.
    pub(super) confirm: Notify,
    pub(super) log: Logger,
}

impl<T: FnMut(BackendList)> ServiceQueries<T> {
    pub(super) fn now(&self) -> Millis {
        self.deadlines.clock().now()
    }

    pub(super) fn agent(&self, agents: AgentRotation) -> SocketAddr {
        self.consul.agents[agents.current(self.consul.agents.len())]
    }

    /// Asks for the health of the service, for ever.
    pub(super) async fn health(&self) {
        let mut pacing = Pacing::new(self.instances, HEALTH_BACKOFF, self.seed ^ self.slot);
        let mut limiter = QueryLimiter::new(self.instances, self.now());
        let (mut cursor, mut agents) = (Cursor::default(), AgentRotation::default());
        let mut line = Line::new(self.deadlines.clone(), self.counts.clone());
        let mut pause = 0.0;
        loop {
            self.deadlines.sleep(pause).await;
            let at = self.agent(agents);
            let target = query::health(&self.consul, &self.service, cursor);
            let answer = line.get(&self.consul, at, &target, query::patience(&self.consul, cursor)).await;
            let answer = answer.and_then(|answer| {
                let read = read::health(&answer.body, &self.service, &self.places).map_err(Refusal::from)?;
                Ok((answer.index, read))
            });
            match answer {
                Ok((index, read)) => {
                    pacing.heard();
                    cursor.advance(index);
                    if self.book.borrow_mut().answered(self.slot, at, self.now(), read) {
                        self.confirm.notify_one();
                    }
                    pause = limiter.reserve(self.now());
                }
                Err(Refusal { why, keep_away }) => {
                    self.book.borrow_mut().query_failed(self.slot, at, &why);
                    // Another agent counts its index by itself, and so does this one once it is back.
                    cursor.reset();
                    agents.fail();
                    line.close();
                    pause = pacing.again().max(keep_away);
                }
            }
        }
    }

    /// Asks the catalogue whenever an answer about health lacks more than is believed, until it has answered. Health is
    /// asked meanwhile.
    pub(super) async fn catalogue(&self) {
        let mut pacing = Pacing::new(self.instances, CATALOGUE_BACKOFF, !self.seed ^ self.slot);
        let mut limiter = QueryLimiter::new(self.instances, self.now());
        let mut line = Line::new(self.deadlines.clone(), self.counts.clone());
        let mut agents = AgentRotation::default();
        let target = query::catalogue(&self.consul, &self.service);
        loop {
            self.confirm.notified().await;
            let mut logged = false;
            // Those that are back meanwhile are not asked for.
            while let Some(round) = self.unconfirmed_round() {
                self.deadlines.sleep(limiter.reserve(self.now())).await;
                let healthy =
                    self.book.borrow().services.get(&self.slot).and_then(|known| known.healthy_agent);
                let at = healthy
                    .filter(|_| agents == AgentRotation::default())
                    .unwrap_or_else(|| self.agent(agents));
                let answer = line.get(&self.consul, at, &target, self.consul.timeout).await;
                let held = answer.and_then(|answer| Ok(read::catalogue(&answer.body, &self.service)?));
                match held {
                    Ok(held) => {
                        (agents, logged) = (AgentRotation::default(), false);
                        pacing.heard();
                        let mut book = self.book.borrow_mut();
                        let Some(known) = book.services.get_mut(&self.slot) else { return };
                        let gone = known.members.catalogue(self.now(), round, &held);
                        let stay = known.members.len();
                        if !gone.is_empty() {
                            info!(self.log, "a mass withdrawal is confirmed by the catalogue"; "service" => &self.service.name, "gone" => gone.len(), "stay" => stay);
                        }
                        book.apply(self.slot, gone);
                    }
                    Err(Refusal { why, keep_away }) => {
                        agents.fail();
                        line.close();
                        if !std::mem::replace(&mut logged, true) {
                            warn!(self.log, "a mass withdrawal is not believed"; "service" => &self.service.name, "agent" => %at, "why" => why);
                        }
                        self.deadlines.sleep(pacing.again().max(keep_away)).await;
                    }
                }
            }
        }
    }

    pub(super) fn unconfirmed_round(&self) -> Option<u64> {
        self.book.borrow().services.get(&self.slot).and_then(|known| known.members.unconfirmed_round())
    }
}
