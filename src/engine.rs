//! The engine of an ingress: passes events to the decision module and carries out the actions that it
//! returns. It knows no wire protocol. It ensures that every request gets exactly one final answer, before
//! its deadline.

mod operations;

use crate::backends::address_owners::AddressOwners;
use crate::backends::start_times::StartTimes;
use crate::cluster::notices::LocalNotice;
use crate::deadlines::{DeadlineKey, Deadlines, Expiry, wall_clock};
use crate::entries::BackendList;
use crate::exchange::{
    AttemptReport, BodyProgress, ClientSideCommand, CounterCall, EngineEvent, EngineState, FinalAnswer,
};
use crate::interface::*;
use crate::maintenance::Maintenance;
use crate::membership::connection_failures::FailureMonitor;
use crate::state::Limiter;
use crate::stats::{RefusalReason, Stats};
use crate::subset::Subset;
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};

/// The attempts of a request end this many milliseconds before its deadline, so that the decision module can
/// still answer.
const DECISION_SLACK: Millis = 20.0;
/// A request that has no answer this many milliseconds before its deadline fails, so that the failure can
/// still be written in time.
const ANSWER_SLACK: Millis = 10.0;
/// The largest fraction of a request's time that either slack may take, so that short deadlines leave time
/// for attempts.
const MAX_SLACK_FRACTION: f64 = 0.2;
/// The longest time that a request's body may take, in milliseconds. The server side closes stalled uploads
/// much earlier.
const MAX_UPLOAD_TIME: Millis = 3_600_000.0;
/// The interval between the log's summaries of requests, in milliseconds.
const SUMMARY_INTERVAL: Millis = 10_000.0;

/// The channels that the engine's actions are sent to.
#[derive(Debug)]
pub struct Outputs<Q> {
    /// Commands to the client side.
    pub commands: mpsc::UnboundedSender<ClientSideCommand<Q>>,
    /// Calls to the counter, or `None` if there is no counter.
    pub counter: Option<mpsc::UnboundedSender<CounterCall>>,
    /// Ends of this process's attempts, for the process that decides in its place after an upgrade.
    pub successor: mpsc::UnboundedSender<AttemptEnd>,
    /// Messages to peers, or `None` if messages between ingresses are disabled.
    pub peers: Option<mpsc::UnboundedSender<(IngressId, Vec<u8>)>>,
    /// Notices to the other ingresses about backends that an operator disables or enables here, or `None` if
    /// there is no membership of a fleet.
    pub local_notices: Option<mpsc::UnboundedSender<LocalNotice>>,
    /// Observes how attempts end, for the state of backends by Consul; `None` if Consul is not used.
    pub witness: Option<Rc<FailureMonitor>>,
}

/// Limits of the engine.
#[derive(Debug, Clone, Copy)]
pub struct EngineLimits {
    /// The maximum number of concurrent requests; further ones are rejected without a decision.
    pub max_requests: usize,
    /// The maximum number of attempts per request.
    pub max_attempts: u16,
    /// The time after which a call to the counter counts as unanswered, in milliseconds.
    pub counter_timeout: Millis,
    /// When a rejected client is told to retry if the decision module does not say, in milliseconds from the
    /// rejection.
    pub retry_after: Millis,
}

#[derive(Debug)]
struct Attempt {
    index: AttemptIndex,
    backend: BackendId,
    sent_at: Millis,
    /// When its answer began to be forwarded, or `None` if it has not.
    answered_at: Option<Millis>,
    deadline: DeadlineKey,
}

#[derive(Debug)]
struct PendingRequest<Q, A> {
    question: Q,
    /// The receiver of the final answer, or `None` once the request is closed.
    client: Option<oneshot::Sender<FinalAnswer<A>>>,
    /// How long the client waits after the last byte of the body, in milliseconds, or `None` if the body is
    /// complete.
    timeout_after_body: Option<Millis>,
    /// When the last attempt must end.
    attempts_end: Millis,
    answer_deadline: DeadlineKey,
    /// The number of attempts started so far.
    started: u16,
    in_flight: Vec<Attempt>,
    /// How the attempt that ended last ended.
    last_outcome: Option<Outcome>,
}

/// Returns how long the attempts of a request may run, and when its final answer is due, both in milliseconds
/// from now, if its client waits for `time_left`.
fn time_limits(time_left: Millis) -> [Millis; 2] {
    [DECISION_SLACK, ANSWER_SLACK].map(|slack| time_left - slack.min(time_left * MAX_SLACK_FRACTION))
}

/// The numbers of requests by their end, and of attempts, since the last summary in the log.
#[derive(Debug, Default, PartialEq, Eq)]
struct Summary {
    served: u64,
    rejected: u64,
    no_room: u64,
    failed: u64,
    client_left: u64,
    attempts: u64,
    /// Attempts after the first one of their request.
    retries: u64,
}

/// The engine of one ingress. `Q` is the question that a front asks backends, `A` their answer.
pub struct Engine<Q, A> {
    limiter: Limiter,
    maintenance: Maintenance,
    /// Which listed backend an address belongs to; `None` if several may share one.
    address_owners: Option<AddressOwners>,
    start_times: StartTimes,
    /// The subset of the list that this ingress uses, or `None` if it uses the whole list.
    subset: Option<Subset>,
    deadlines: Deadlines,
    events: mpsc::UnboundedReceiver<EngineEvent<Q, A>>,
    outputs: Outputs<Q>,
    limits: EngineLimits,
    requests: HashMap<RequestId, PendingRequest<Q, A>>,
    /// Calls to the counter that are neither answered nor timed out, by their number.
    counter_calls: HashMap<u64, CounterName>,
    last_call: u64,
    now: Millis,
    /// Events that follow from actions at once.
    follow_ups: VecDeque<Event>,
    summary: Summary,
    /// Another process decides in place of this one.
    retired: bool,
    /// Attempts that a predecessor process still has in flight.
    predecessor_attempts: BTreeMap<(RequestId, AttemptIndex), BackendId>,
    /// Discovery has sent a list.
    list_received: bool,
    stats: Arc<Stats>,
    log: Logger,
}

impl<Q: Clone, A> Engine<Q, A> {
    /// Creates an engine around a decision module (`limiter`), with the backends that operators have
    /// disabled.
    pub fn new(
        (limiter, maintenance): (Limiter, Maintenance),
        deadlines: Deadlines,
        events: mpsc::UnboundedReceiver<EngineEvent<Q, A>>,
        outputs: Outputs<Q>,
        limits: EngineLimits,
        log: Logger,
    ) -> Self {
        let now = deadlines.clock().now();
        let (requests, counter_calls, follow_ups, summary) = Default::default();
        Self {
            limiter,
            maintenance,
            address_owners: None,
            start_times: StartTimes::default(),
            subset: None,
            deadlines,
            events,
            outputs,
            limits,
            requests,
            counter_calls,
            last_call: 0,
            now,
            follow_ups,
            summary,
            retired: false,
            predecessor_attempts: BTreeMap::new(),
            list_received: false,
            stats: Stats::new([]),
            log,
        }
    }

    /// Restricts the engine to a subset of the list, if one is given.
    pub fn with_subset(mut self, subset: Option<Subset>) -> Self {
        self.subset = subset;
        self
    }

    /// Has an address belong to the backend that the list told of last. Services of Consul may share one.
    pub fn with_address_owners(mut self, exclusive: bool) -> Self {
        self.address_owners = exclusive.then(AddressOwners::default);
        self
    }

    fn apply_owners(&mut self, list: BackendList) -> BackendList {
        match &mut self.address_owners {
            Some(owners) => owners.apply_list(list),
            None => list,
        }
    }

    /// Counts refusals, retries and ends of attempts in `stats`.
    pub fn with_stats(mut self, stats: Arc<Stats>) -> Self {
        self.stats = stats;
        self
    }

    /// Starts from the list that an earlier process knew, if any, and runs until every [`EngineEvent`] sender
    /// is dropped.
    pub async fn run(mut self, known: Option<BackendList>) {
        self.now = self.deadlines.clock().now();
        self.deadlines.add(self.now + SUMMARY_INTERVAL, Expiry::RequestSummary);
        self.decide(Event::Start);
        // Prevents the backends of the first list from being treated as new ones, which get little load while
        // they are cold.
        if let Some(known) = known.filter(|known| !known.entries.is_empty()) {
            self.apply_list(known, ListKind::Cached);
        }
        loop {
            let first = tokio::select! {
                event = self.events.recv() => match event {
                    None => return,
                    event => event,
                },
                () = self.deadlines.next_expiry() => {
                    // Prevents timeouts from overtaking answers that arrived while the process was suspended.
                    tokio::task::yield_now().await;
                    None
                }
            };
            self.now = self.deadlines.clock().now();
            first.into_iter().for_each(|event| self.handle(event));
            while let Ok(event) = self.events.try_recv() {
                self.handle(event);
            }
            self.deadlines.take_expired(self.now).into_iter().for_each(|expiry| self.expire(expiry));
        }
    }

    /// Passes an event to the decision module and carries out its actions, then the events that follow from
    /// these.
    fn decide(&mut self, event: Event) {
        let mut actions = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next {
            self.limiter.handle(self.now, event, &mut actions);
            for action in actions.drain(..) {
                self.carry_out(action);
            }
            next = self.follow_ups.pop_front();
        }
    }

    fn handle(&mut self, event: EngineEvent<Q, A>) {
        match event {
            EngineEvent::RequestArrived(id, info, question, client) => {
                if self.requests.len() >= self.limits.max_requests {
                    return self.answer(client, FinalAnswer::NoRoom(self.limits.retry_after));
                }
                let timeout_after_body = info.body_pending.then_some(info.time_left);
                let [attempts_time, answer_time] =
                    time_limits(if info.body_pending { MAX_UPLOAD_TIME } else { info.time_left });
                let answer_deadline = self.deadlines.add(self.now + answer_time, Expiry::Request(id));
                let request = PendingRequest {
                    question,
                    client: Some(client),
                    timeout_after_body,
                    attempts_end: self.now + attempts_time,
                    answer_deadline,
                    started: 0,
                    in_flight: Vec::new(),
                    last_outcome: None,
                };
                self.requests.insert(id, request);
                self.decide(Event::Request(Request {
                    id,
                    class: info.class,
                    plan: info.plan,
                    customer: info.customer,
                    time_left: attempts_time,
                    units: info.units,
                    spread: info.spread,
                    first_ingress: info.first_ingress,
                    is_retry: info.is_retry,
                    identity: info.identity,
                }));
            }
            EngineEvent::ClientLeft(id) => {
                // A request that has its answer is closed already.
                if self.close(id).is_some() {
                    self.summary.client_left += 1;
                    self.decide(Event::ClientLeft(id));
                    // Even if cancellation is disabled, an attempt of which nothing is written yet must not
                    // be sent any more.
                    let request = self.requests.get(&id).into_iter();
                    let indexes =
                        request.flat_map(|request| request.in_flight.iter().map(|attempt| attempt.index));
                    indexes.for_each(|index| self.command(ClientSideCommand::Withdraw(id, index)));
                }
            }
            EngineEvent::BodyProgress(id, progress) => self.body_progressed(id, progress),
            EngineEvent::AnswerStarted(id, index, answer) => self.answer_started((id, index), answer),
            EngineEvent::AttemptEnded(report) => self.attempt_ended(report),
            EngineEvent::BackendList(list) => {
                self.list_received = true;
                let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
                self.apply_list(list, kind);
            }
            EngineEvent::PeerMessage(from, bytes) => self.decide(Event::PeerMessage(from, bytes)),
            EngineEvent::CounterAnswered(seq, answer) => {
                // A call that timed out has been reported as unknown.
                if let Some(name) = self.counter_calls.remove(&seq) {
                    self.decide(Event::CounterAnswered(name, answer));
                }
            }
            EngineEvent::LiveIngresses(live) => {
                let change =
                    self.subset.as_mut().and_then(|subset| subset.set_live_ingresses(live.as_deref()));
                self.limiter.set_live_ingresses(live);
                if let Some(change) = change {
                    self.publish_list(change, ListKind::Changes);
                }
            }
            EngineEvent::DisabledElsewhere(name, disabled) => {
                self.follow(&name, disabled);
            }
            EngineEvent::HandOver(reply) => {
                self.retired = true;
                self.limiter.note_handover(self.now);
                let (list, disabled) = (self.maintenance.discovered_list(), self.maintenance.disabled());
                let _ = reply.send(EngineState { limiter: self.limiter.hand_over(), disabled, list });
            }
            EngineEvent::Resume => {
                self.retired = false;
                self.limiter.resume();
            }
            EngineEvent::Inherit(state, reply) => {
                self.inherit(state);
                let _ = reply.send(());
            }
            EngineEvent::PredecessorAttemptEnded(end) => self.predecessor_attempt_ended(end),
            EngineEvent::PredecessorGone => {
                for ((request, index), backend) in std::mem::take(&mut self.predecessor_attempts) {
                    let end = (Outcome::Cancelled, 0.0);
                    self.decide(attempt_end_event((request, index), backend, end, true, Load::default()));
                }
            }
            EngineEvent::Operate(operation, reply) => {
                // An operator who was told that there is no answer must find nothing changed later.
                if !reply.is_closed() {
                    // The operator gets the result only after all consequences are carried out.
                    let result = self.operate(operation);
                    let _ = reply.send(result);
                }
            }
        }
    }

    fn predecessor_attempt_ended(&mut self, end: AttemptEnd) {
        if self.predecessor_attempts.remove(&(end.request, end.attempt)).is_some() {
            if self.retired {
                let _ = self.outputs.successor.send(end);
            }
            self.decide(Event::AttemptEnded(AttemptEnd { request_closed: true, ..end }));
        }
    }

    /// Applies a list from discovery, without the backends that operators have disabled.
    fn apply_list(&mut self, mut list: BackendList, kind: ListKind) {
        self.start_times.convert(&mut list, self.deadlines.clock().now(), wall_clock());
        let list = self.apply_owners(list);
        let list = self.maintenance.apply_list(list);
        self.apply_change(list, kind);
    }

    /// Restricts a list, or changes to it, to this ingress's subset and publishes the result.
    fn apply_change(&mut self, list: BackendList, kind: ListKind) {
        let list = match &mut self.subset {
            Some(subset) => subset.apply_list(self.now, list),
            None => list,
        };
        self.publish_list(list, kind);
    }

    /// Sends a list, or changes to it, to the client side and to the decision module.
    fn publish_list(&mut self, list: BackendList, kind: ListKind) {
        let entries = list.entries.iter().map(|e| e.entry).collect();
        // The client side must know the list first, or an attempt that waits there could start on a draining
        // backend.
        self.command(ClientSideCommand::BackendList(list));
        self.decide(Event::BackendList(kind, entries));
    }

    fn expire(&mut self, expiry: Expiry) {
        match expiry {
            Expiry::Timer(key) => self.decide(Event::Timer(key)),
            Expiry::Attempt(id, index) => {
                self.command(ClientSideCommand::GiveUp(id, index, Outcome::TimedOut));
            }
            Expiry::CounterCall(seq) => {
                if let Some(name) = self.counter_calls.remove(&seq) {
                    self.decide(Event::CounterAnswered(name, CounterAnswer::Unknown));
                }
            }
            Expiry::Request(id) => {
                // The last safeguard: a request that the decision module has not answered fails now.
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Failed { timed_out: true });
                    debug!(self.log, "flow failed at its deadline"; "flow" => id.0);
                    self.decide(Event::ClientLeft(id));
                }
            }
            Expiry::RequestSummary => {
                self.deadlines.add(self.now + SUMMARY_INTERVAL, Expiry::RequestSummary);
                let summary = std::mem::take(&mut self.summary);
                if summary != Summary::default() || !self.requests.is_empty() {
                    info!(self.log, "tally";
                        "served" => summary.served, "rejected" => summary.rejected,
                        "no_room" => summary.no_room, "failed" => summary.failed,
                        "left" => summary.client_left, "schedulings" => summary.attempts,
                        "retried" => summary.retries, "open" => self.requests.len());
                }
            }
            Expiry::Wake(waker) => waker.wake(),
        }
    }

    /// Sends and counts a final answer. All final answers pass through here; a client that has left needs
    /// none.
    fn answer(&mut self, client: oneshot::Sender<FinalAnswer<A>>, answer: FinalAnswer<A>) {
        match answer {
            FinalAnswer::Served(_) => self.summary.served += 1,
            FinalAnswer::Rejected(_) => {
                self.summary.rejected += 1;
                self.stats.refused(RefusalReason::Rejected);
            }
            FinalAnswer::NoRoom(_) => {
                self.summary.no_room += 1;
                self.stats.refused(RefusalReason::TableFull);
            }
            FinalAnswer::Failed { .. } => self.summary.failed += 1,
        }
        let _ = client.send(answer);
    }

    fn command(&self, command: ClientSideCommand<Q>) {
        let _ = self.outputs.commands.send(command);
    }

    /// Closes a request, and returns the receiver of its answer, or `None` if the request is closed already.
    fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalAnswer<A>>> {
        let request = self.requests.get_mut(&id)?;
        let client = request.client.take()?;
        self.deadlines.remove(request.answer_deadline);
        if request.in_flight.is_empty() {
            self.requests.remove(&id);
        }
        Some(client)
    }

    /// Starts a request's deadlines when its client has written its last byte, or may have, and stops them if it turns
    /// out that it has not.
    fn body_progressed(&mut self, id: RequestId, progress: BodyProgress) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id).filter(|request| request.client.is_some()) else {
            return;
        };
        let Some(timeout) = request.timeout_after_body else { return };
        let [attempts_end, answer_at] = match progress {
            BodyProgress::Pending => time_limits(MAX_UPLOAD_TIME).map(|limit| now + limit),
            BodyProgress::MayBeWritten(written) | BodyProgress::Received(written) => {
                time_limits(timeout.min(now - written.at + written.max_time)).map(|limit| written.at + limit)
            }
        };
        if matches!(progress, BodyProgress::Received(_)) {
            request.timeout_after_body = None;
        }
        self.deadlines.remove(request.answer_deadline);
        request.answer_deadline = self.deadlines.add(answer_at, Expiry::Request(id));
        request.attempts_end = attempts_end;
        for attempt in &mut request.in_flight {
            self.deadlines.remove(attempt.deadline);
            attempt.deadline = self.deadlines.add(attempts_end, Expiry::Attempt(id, attempt.index));
            attempt.sent_at = now;
        }
    }

    /// Passes on the answer of an attempt, which becomes the request's final answer however the attempt ends.
    fn answer_started(&mut self, (id, index): (RequestId, AttemptIndex), answer: A) {
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(attempt) = request.in_flight.iter_mut().find(|attempt| attempt.index == index) else {
            return;
        };
        self.deadlines.remove(attempt.deadline);
        attempt.answered_at = Some(self.now);
        if let Some(client) = self.close(id) {
            self.answer(client, FinalAnswer::Served(answer));
        }
        self.decide(Event::StreamStarted(id, index));
    }

    fn attempt_ended(&mut self, report: AttemptReport<A>) {
        let AttemptReport { request: id, attempt: index, mut outcome, load, answer } = report;
        let Some(request) = self.requests.get_mut(&id) else { return };
        let Some(position) = request.in_flight.iter().position(|attempt| attempt.index == index) else {
            return;
        };
        let ended = request.in_flight.swap_remove(position);
        self.deadlines.remove(ended.deadline);
        request.last_outcome = Some(outcome);
        match answer {
            Some(answer) if outcome == Outcome::Served => {
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Served(answer));
                }
            }
            None if outcome == Outcome::Served && ended.answered_at.is_none() => outcome = Outcome::Error,
            _ => {}
        }
        self.stats.attempt_ended(outcome);
        if let Some(witness) = &self.outputs.witness {
            witness.record(ended.backend, outcome);
        }
        let closed = self.requests.get(&id).is_none_or(|request| request.client.is_none());
        let elapsed = ended.answered_at.unwrap_or(self.now) - ended.sent_at;
        let end = attempt_end_event((id, index), ended.backend, (outcome, elapsed), closed, load);
        if let (true, Event::AttemptEnded(end)) = (self.retired, &end) {
            let _ = self.outputs.successor.send(*end);
        }
        self.decide(end);
        if self
            .requests
            .get(&id)
            .is_some_and(|request| request.client.is_none() && request.in_flight.is_empty())
        {
            self.requests.remove(&id);
        }
    }

    fn carry_out(&mut self, action: Action) {
        match action {
            Action::Send { request, backend, timeout, send_within } => {
                self.start_attempt(request, backend, timeout, send_within)
            }
            Action::Reject(id, after) => {
                if let Some(client) = self.close(id) {
                    let after = after.filter(|after| *after > 0.0).unwrap_or(self.limits.retry_after);
                    self.answer(client, FinalAnswer::Rejected(after));
                }
            }
            Action::Fail(id) => {
                let last_outcome = self.requests.get(&id).and_then(|request| request.last_outcome);
                let timed_out = last_outcome == Some(Outcome::TimedOut);
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Failed { timed_out });
                }
            }
            Action::Cancel(id, index) => {
                self.command(ClientSideCommand::GiveUp(id, index, Outcome::Cancelled));
            }
            // The decision module requests no probes; if it did, the answer would carry no information.
            Action::Probe(backend) => {
                self.follow_ups.push_back(Event::ProbeEnded(backend, Outcome::NotSent, Load::default()));
            }
            Action::SendToPeer(to, bytes) => {
                if let Some(peers) = self.outputs.peers.as_ref().filter(|_| !self.retired) {
                    let _ = peers.send((to, bytes));
                }
            }
            Action::AddToCounter(name, amount, lifetime) => {
                self.last_call += 1;
                let call = CounterCall { seq: self.last_call, name, amount, lifetime };
                let counter = self.outputs.counter.as_ref().filter(|_| !self.retired);
                let sent = counter.is_some_and(|counter| counter.send(call).is_ok());
                if sent {
                    self.counter_calls.insert(call.seq, name);
                    let expires_at = self.now + self.limits.counter_timeout;
                    self.deadlines.add(expires_at, Expiry::CounterCall(call.seq));
                } else {
                    self.follow_ups.push_back(Event::CounterAnswered(name, CounterAnswer::NotAdded));
                }
            }
            Action::SetTimer(after, key) => {
                self.deadlines.add(self.now + after.max(0.0), Expiry::Timer(key));
            }
            // The engine's subscription to discovery is always open.
            Action::Subscribe => {}
        }
    }

    /// Starts an attempt that ends after `timeout`, and that must be sent within `send_within`, both in
    /// milliseconds.
    fn start_attempt(
        &mut self,
        id: RequestId,
        backend: BackendId,
        timeout: Option<Millis>,
        send_within: Option<Millis>,
    ) {
        let Some(request) = self.requests.get_mut(&id) else {
            warn!(self.log, "scheduling for a flow that is over"; "flow" => id.0);
            return;
        };
        let index = AttemptIndex(request.started);
        request.started += 1;
        // The timeout is for the answer: it does not run while the body is still being received.
        let timeout = timeout.filter(|_| request.timeout_after_body.is_none()).unwrap_or(f64::INFINITY);
        let timeout = timeout.min(request.attempts_end - self.now);
        if request.client.is_none() || index.0 >= self.limits.max_attempts || timeout <= 0.0 {
            let (closed, load) = (request.client.is_none(), Load::default());
            let end = attempt_end_event((id, index), backend, (Outcome::NotSent, 0.0), closed, load);
            self.follow_ups.push_back(end);
            return;
        }
        self.summary.attempts += 1;
        self.summary.retries += u64::from(index.0 > 0);
        if let Some(outcome) = request.last_outcome {
            self.stats.retried_after(outcome);
            debug!(self.log, "retry"; "request" => id.0, "attempt" => index.0, "after" => ?outcome);
        }
        let deadline = self.deadlines.add(self.now + timeout, Expiry::Attempt(id, index));
        request.in_flight.push(Attempt { index, backend, sent_at: self.now, answered_at: None, deadline });
        let question = request.question.clone();
        let timeout = request.timeout_after_body.map_or(timeout, |time_left| time_limits(time_left)[0]);
        if request.timeout_after_body.is_some() {
            // The backend does no work for the request before the body is complete.
            self.follow_ups.push_back(Event::StreamStarted(id, index));
        }
        let send_by = send_within.map(|send_within| self.now + send_within);
        self.command(ClientSideCommand::Start {
            request: id,
            attempt: index,
            backend,
            question,
            timeout,
            send_by,
        });
    }
}

/// Returns the event that tells the decision module how an attempt ended. `elapsed` is in milliseconds.
fn attempt_end_event(
    (request, attempt): (RequestId, AttemptIndex),
    backend: BackendId,
    (outcome, elapsed): (Outcome, Millis),
    request_closed: bool,
    load: Load,
) -> Event {
    let (metered_use, settled_units) = (None, None);
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt,
        backend,
        outcome,
        elapsed,
        request_closed,
        metered_use,
        settled_units,
        load,
    })
}
