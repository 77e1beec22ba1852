//! Ingresses: the events that their decision modules get, the actions that they carry out, and their
//! restarts.

use super::decisions::DecisionModule;
use super::event::EventKind;
use super::settings::ingress_settings;
use super::{DISCOVERY_TIMEOUT_MS, EPOCH_MS, MIN_CHECKED_TIMEOUT_MS, World};
use crate::backend::AttemptId;
use crate::check::Rule;
use crate::script::DiscoverySource;
use crate::shared::{CounterReply, RateLimiter};
use std::collections::{HashMap, VecDeque};
use weldhub::interface::{
    BackendId, BackendState, CounterAnswer, CounterName, IngressId, ListKind, Load, MAX_PEER_MESSAGE_BYTES,
    Outcome, RequestId,
};
use weldhub::maintenance::Maintenance;
use weldhub::membership::MembershipPolicy;
use weldhub::membership::members::Members;
use weldhub::{Action, Event};
use weldhub_client::policy::TryOutcome;

/// The time from the start of a restarted ingress until discovery sends it the complete list, on top of the
/// usual delay of discovery, in milliseconds.
const RESTARTED_LIST_DELAY_MS: f64 = 50.0;

/// A try of a client request at an ingress, which is one request to the decision module.
pub(super) struct IngressRequest {
    /// The index of the client request.
    pub(super) client_request: usize,
    pub(super) try_number: u32,
    /// When the last attempt must end, in milliseconds.
    pub(super) deadline: f64,
    /// The number of attempts that were started, including those that were not sent.
    pub(super) attempts_started: u16,
    pub(super) in_flight: Vec<AttemptId>,
    /// Whether the client still waits for an answer.
    pub(super) open: bool,
    /// Whether an attempt has reached its backend.
    pub(super) reached_backend: bool,
    /// The send time and the cell of the earliest attempt that ended and may have been executed.
    pub(super) maybe_executed: Option<(f64, u16)>,
}

/// The state of a backend as an ingress was notified of it.
#[derive(Clone, Copy)]
pub(super) struct KnownState {
    pub(super) state: BackendState,
    /// When the backend last became ready or stopped being ready, in milliseconds.
    pub(super) since: f64,
}

/// The tries that arrived at an ingress since the previous sample.
#[derive(Default)]
pub(super) struct TryCounts {
    pub(super) arrived: u64,
    /// Tries inside the quota that were rejected on arrival for lack of capacity.
    pub(super) rejected_for_capacity: u64,
    /// Tries inside the quota that were rejected on arrival for another reason.
    pub(super) rejected_otherwise: u64,
}

/// An ingress.
pub(super) struct Ingress {
    pub(super) decisions: Box<dyn DecisionModule>,
    /// Incremented when its process ends.
    pub(super) incarnation: u32,
    pub(super) up: bool,
    /// When its process last started, in milliseconds.
    pub(super) up_since: f64,
    /// When its process last ended, in milliseconds.
    pub(super) down_since: f64,
    /// When clients that do not track the ingresses themselves begin to avoid it, in milliseconds.
    pub(super) known_down_at: f64,
    pub(super) zone: u8,
    pub(super) maintenance: Maintenance,
    pub(super) members: Members,
    /// Whether it gets changes from discovery.
    pub(super) subscribed: bool,
    pub(super) known_states: HashMap<BackendId, KnownState>,
    /// By request id.
    pub(super) requests: HashMap<u64, IngressRequest>,
    /// The number of idle connections, by backend and its incarnation.
    pub(super) idle_connections: HashMap<(BackendId, u64), u32>,
    pub(super) message_limiter: RateLimiter,
    /// The counter name of each call that is not answered yet, by call.
    pub(super) counter_calls: HashMap<u64, u64>,
    pub(super) try_counts: TryCounts,
}

impl Ingress {
    /// Returns whether the process of `incarnation` runs.
    pub(super) fn is_live(&self, incarnation: u32) -> bool {
        self.up && self.incarnation == incarnation
    }
}

impl World<'_> {
    /// Passes an event to the decision module of an ingress and carries out its actions, including the events
    /// that these cause at once.
    pub(super) fn dispatch(&mut self, ingress: usize, event: Event) {
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.ingresses[ingress].decisions.handle(EPOCH_MS + self.now, event, &mut actions);
            for action in std::mem::take(&mut actions) {
                self.perform(ingress, action, &mut events);
            }
        }
    }

    /// Carries out an action. Events that it causes at once are added to `events`.
    pub(super) fn perform(&mut self, ingress: usize, action: Action, events: &mut VecDeque<Event>) {
        let incarnation = self.ingresses[ingress].incarnation;
        match action {
            Action::Send { request, backend, timeout, .. } => {
                self.send_attempt(ingress, request.0, backend, timeout, events)
            }
            Action::Reject(id, retry_after) => {
                self.answer_client(ingress, id.0, TryOutcome::Rejected { retry_after })
            }
            Action::Fail(id) => self.answer_client(ingress, id.0, TryOutcome::Failed),
            Action::Cancel(id, attempt_index) => {
                let request = self.ingresses[ingress].requests.get(&id.0);
                let found = request.and_then(|request| {
                    request
                        .in_flight
                        .iter()
                        .copied()
                        .find(|attempt| self.attempts[*attempt].attempt_index == attempt_index.0)
                });
                if let Some(attempt) = found {
                    self.schedule_at(self.now, EventKind::AttemptAbandoned(attempt, Outcome::Cancelled));
                }
            }
            Action::Probe(backend) => {
                events.push_back(Event::ProbeEnded(backend, Outcome::NotSent, Load::default()))
            }
            Action::SetTimer(delay, key) => {
                self.schedule_after(delay.max(0.0), EventKind::Timer(ingress, incarnation, key))
            }
            Action::SendToPeer(to, bytes) => self.send_peer_message(ingress, usize::from(to.0), bytes),
            Action::AddToCounter(name, amount, lifetime) => {
                let Some(config) = &self.script.counter else {
                    return events.push_back(Event::CounterAnswered(name, CounterAnswer::NotAdded));
                };
                self.seq += 1;
                let call = self.seq;
                self.ingresses[ingress].counter_calls.insert(call, name.0);
                let timeout = config.timeout;
                // The counter is in zone 0.
                let hop = self.draw_hop(self.ingresses[ingress].zone, 0);
                self.schedule_after(
                    timeout,
                    EventKind::CounterCallEnds(ingress, incarnation, call, name.0, CounterAnswer::Unknown),
                );
                if !self.is_partitioned(self.ingresses[ingress].zone, 0) {
                    self.schedule_after(
                        hop,
                        EventKind::CounterCallArrives(ingress, incarnation, call, name.0, amount, lifetime),
                    );
                }
            }
            Action::Subscribe => {
                let interval = 1000.0 / self.script.discovery.asks_per_second;
                let starts_at = self.discovery_free_at.max(self.now);
                if starts_at - self.now > DISCOVERY_TIMEOUT_MS {
                    self.schedule_after(
                        DISCOVERY_TIMEOUT_MS,
                        EventKind::ListArrives(ingress, incarnation, ListKind::Failed, Vec::new()),
                    );
                } else {
                    self.discovery_free_at = starts_at + interval;
                    self.schedule_at(starts_at + interval, EventKind::CompleteListRead(ingress, incarnation));
                }
            }
        }
    }

    /// Sends a peer message, which may be lost. Messages over the size limit or to no other ingress are
    /// dropped.
    pub(super) fn send_peer_message(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        let Some(config) = &self.script.peers else { return };
        if to == from || to >= self.ingresses.len() || bytes.len() > MAX_PEER_MESSAGE_BYTES {
            return;
        }
        self.totals.messages += 1;
        let loss =
            if self.now < self.peer_loss_until { config.loss.max(self.peer_loss) } else { config.loss };
        let lost =
            self.rng.f64() < loss || self.is_partitioned(self.ingresses[from].zone, self.ingresses[to].zone);
        let delay = self.draw(config.delay);
        if !lost {
            self.schedule_after(delay, EventKind::PeerMessageArrives(to, from, bytes));
        }
    }

    /// Sends the final answer of a request to its client. Does nothing if the request is not open.
    pub(super) fn answer_client(&mut self, ingress: usize, id: u64, outcome: TryOutcome) {
        let Some(request) = self.ingresses[ingress].requests.get_mut(&id) else { return };
        if !std::mem::take(&mut request.open) {
            return;
        }
        let (client_request, try_number) = (request.client_request, request.try_number);
        if request.in_flight.is_empty() {
            self.ingresses[ingress].requests.remove(&id);
        }
        let delay = self.draw(self.script.network.client);
        self.schedule_after(delay, EventKind::TryAnswered(client_request, try_number, outcome));
    }

    /// Starts the decision module of an ingress with the last list that it knows. A restarted ingress gets
    /// the complete list soon after, unless it queries discovery for it.
    pub(super) fn start_ingress(&mut self, ingress: usize) {
        let incarnation = self.ingresses[ingress].incarnation;
        let known = self.ingresses[ingress].maintenance.discovered_list();
        self.dispatch(ingress, Event::Start);
        let first = if known.entries.is_empty() {
            let published = self.published.iter();
            published.map(|(backend, state)| self.service_entry(*backend, *state)).collect()
        } else {
            known.entries
        };
        self.list_received(ingress, ListKind::Cached, first);
        if incarnation > 0 && self.script.discovery.by != DiscoverySource::OnRequest {
            let delay = RESTARTED_LIST_DELAY_MS + self.draw(self.script.discovery.spread);
            self.schedule_after(delay, EventKind::CompleteListRead(ingress, incarnation));
        }
    }

    /// Ends the process of an ingress. Its clients lose their connections; its backends finish the requests
    /// they have.
    pub(super) fn stop_ingress(&mut self, ingress: usize) {
        if !self.ingresses[ingress].up {
            return;
        }
        let notice = self.draw(self.script.ingresses.notice);
        let now = self.now;
        let node = &mut self.ingresses[ingress];
        (node.up, node.down_since, node.known_down_at, node.incarnation) =
            (false, now, now + notice, node.incarnation + 1);
        node.idle_connections.clear();
        node.counter_calls.clear();
        let requests = std::mem::take(&mut node.requests);
        let mut requests: Vec<_> = requests.into_iter().collect();
        // The order of a hash map differs between runs, and random numbers are drawn for each request.
        requests.sort_by_key(|(id, _)| *id);
        for (_, request) in requests {
            for attempt in request.in_flight {
                if !std::mem::replace(&mut self.attempts[attempt].ended, true)
                    && self.attempts[attempt].accepted_at.is_some()
                {
                    let customer = self.client_requests[request.client_request].customer;
                    let (id, plan) = (self.customers[customer].id, self.customers[customer].plan);
                    self.checker.attempt_in_flight(now, id, plan, false, self.script);
                }
            }
            if request.open {
                let delay = self.draw(self.script.network.client);
                self.schedule_after(
                    delay,
                    EventKind::TryAnswered(
                        request.client_request,
                        request.try_number,
                        TryOutcome::ConnectionLost,
                    ),
                );
            }
        }
    }

    /// Starts a new process of an ingress, with nothing but the last backend list and the disabled backends.
    pub(super) fn restart_ingress(&mut self, ingress: usize) {
        if self.ingresses[ingress].up {
            return;
        }
        let seed = self.rng.u64(..);
        let messages_per_second = self.script.peers.as_ref().map_or(0.0, |p| p.per_second);
        let Ok(decisions) = (self.factory)(ingress_settings(self.script, ingress as u16), seed) else {
            return;
        };
        let now = self.now;
        let node = &mut self.ingresses[ingress];
        (node.decisions, node.up, node.known_down_at, node.subscribed) =
            (decisions, true, f64::INFINITY, false);
        (node.message_limiter, node.try_counts, node.up_since) =
            (RateLimiter::new(messages_per_second, now), TryCounts::default(), now);
        node.members = Members::new(MembershipPolicy::default());
        self.start_ingress(ingress);
    }

    /// The answer to a request is due. Without one, the ingress fails the request and records a breach if the
    /// client's timeout is long enough for the decision module to have answered.
    pub(super) fn answer_due(&mut self, ingress: usize, incarnation: u32, id: u64) {
        let open = self.ingresses[ingress].incarnation == incarnation
            && self.ingresses[ingress].requests.get(&id).is_some_and(|request| request.open);
        if open {
            let give_up = self.ingresses[ingress].requests.get(&id).map_or(0.0, |request| {
                self.script.classes[self.client_requests[request.client_request].class].give_up
            });
            if give_up >= MIN_CHECKED_TIMEOUT_MS {
                self.checker.record(Rule::Answer, self.now, || {
                    format!("ingress {ingress} has no answer to request {id} of its own")
                });
            }
            self.answer_client(ingress, id, TryOutcome::Failed);
            self.dispatch(ingress, Event::ClientLeft(RequestId(id)));
        }
    }

    /// A peer message arrives at an ingress, which drops it if too many arrive.
    pub(super) fn peer_message_arrives(&mut self, to: usize, from: usize, bytes: Vec<u8>) {
        let (now, per_second) = (self.now, self.script.peers.as_ref().map_or(0.0, |p| p.per_second));
        if self.ingresses[to].up {
            if self.ingresses[to].message_limiter.admit(now, per_second) {
                self.dispatch(to, Event::PeerMessage(IngressId(from as u16), bytes));
            } else {
                self.totals.messages_dropped += 1;
            }
        }
    }

    /// The answer to a call to the counter, or its timeout, reaches the ingress. Only the first of them
    /// counts.
    pub(super) fn counter_call_ends(
        &mut self,
        ingress: usize,
        incarnation: u32,
        call: u64,
        name: u64,
        answer: CounterAnswer,
    ) {
        if self.ingresses[ingress].incarnation == incarnation
            && self.ingresses[ingress].counter_calls.remove(&call).is_some()
        {
            self.dispatch(ingress, Event::CounterAnswered(CounterName(name), answer));
        }
    }

    /// A call arrives at the counter.
    pub(super) fn counter_call_arrives(
        &mut self,
        ingress: usize,
        incarnation: u32,
        call: u64,
        name: u64,
        amount: f64,
        lifetime: f64,
    ) {
        let Some(config) = &self.script.counter else { return };
        let (service_time, hop) = (self.draw(config.time), self.draw_hop(self.ingresses[ingress].zone, 0));
        let Some(counter) = &mut self.counter else { return };
        let (at, answer) = match counter.add(self.now, name, amount, lifetime, config, service_time) {
            CounterReply::Total { total, ready_at } => (ready_at, CounterAnswer::Total(total)),
            CounterReply::Busy => (self.now, CounterAnswer::NotAdded),
            CounterReply::Lost => return,
        };
        if !self.is_partitioned(self.ingresses[ingress].zone, 0) {
            self.schedule_at(at + hop, EventKind::CounterCallEnds(ingress, incarnation, call, name, answer));
        }
    }
}
