//! The core: feeds the decisions each turn's events and carries out their actions. It knows no wire. It sees to
//! it that every flow gets one final answer, before its deadline.

use crate::cluster::notices::{LocalNotice, Subject};
use crate::deadlines::{DeadlineKey, Deadlines, Expiry};
use crate::entries::BackendList;
use crate::exchange::{
    AttemptReport, BackendStatus, ClientSideCommand, CounterCall, EngineEvent, EngineState, FinalAnswer,
    Operation,
};
use crate::interface::*;
use crate::maintenance::Maintenance;
use crate::membership::connection_failures::FailureMonitor;
use crate::state::Limiter;
use crate::subset::Subset;
use slog::{Logger, debug, info, warn};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// Before a flow's deadline its schedulings end, so that the decisions can still answer ...
const SLACK: Millis = 20.0;
/// ... and by then, whatever they do, it has its answer, with time left to write it.
const GUARD: Millis = 10.0;
/// Short deadlines give up no more than this part of their time for either.
const SLACK_PART: f64 = 0.2;

/// Where the engine's actions go.
#[derive(Debug)]
pub struct Outlets<Q> {
    /// To the client side.
    pub orders: mpsc::UnboundedSender<ClientSideCommand<Q>>,
    /// To the counter, where there is one.
    pub counter: Option<mpsc::UnboundedSender<CounterCall>>,
    /// To the process that decides in place of this one, how its attempts end.
    pub successor: mpsc::UnboundedSender<AttemptEnd>,
    /// To the peers, where messages are allowed.
    pub peers: Option<mpsc::UnboundedSender<(IngressId, Vec<u8>)>>,
    /// To the other ingresses, which real servers an operator takes out here or puts back, where they tell each other.
    pub said: Option<mpsc::UnboundedSender<LocalNotice>>,
    /// To the membership, how schedulings end, where it wants to know.
    pub witness: Option<Rc<FailureMonitor>>,
}

/// Bounds of the engine.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// The most flows at once; more are turned away unseen.
    pub flows: usize,
    /// The most schedulings of a flow.
    pub schedulings: u16,
    /// A call to the counter that is not answered by then is taken for unanswered.
    pub counter_timeout: Millis,
    /// When a rejected client is to come back where the decisions do not say.
    pub retry_after: Millis,
}

#[derive(Debug)]
struct Scheduling {
    no: AttemptIndex,
    server: BackendId,
    sent: Millis,
    /// When its answer began to pass on.
    began: Option<Millis>,
    deadline: DeadlineKey,
}

#[derive(Debug)]
struct Flow<Q, A> {
    question: Q,
    /// Whom to answer; gone once it is over.
    client: Option<oneshot::Sender<FinalAnswer<A>>>,
    /// How long the client waits once its body has come; none where it has.
    uploads: Option<Millis>,
    /// When the last scheduling ends.
    until: Millis,
    guard: DeadlineKey,
    started: u16,
    out: Vec<Scheduling>,
    timed_out: bool,
}

/// The longest time that a flow's body may take; the server side ends those that stall long before.
const UPLOAD: Millis = 3_600_000.0;

/// When a flow's schedulings end, and when the flow does, if a client waits for so long.
fn parts(left: Millis) -> [Millis; 2] {
    [SLACK, GUARD].map(|slack| left - slack.min(left * SLACK_PART))
}

/// So often the log tells what became of the flows.
const TALLY: Millis = 10_000.0;

/// What became of the flows since the last line in the log.
#[derive(Debug, Default, PartialEq, Eq)]
struct Tally {
    served: u64,
    rejected: u64,
    no_room: u64,
    failed: u64,
    left: u64,
    schedulings: u64,
    retried: u64,
}

/// The engine of one ingress.
pub struct Engine<Q, A> {
    limiter: Limiter,
    maintenance: Maintenance,
    /// The part of the list that this ingress goes by; none where it goes by all of it.
    subset: Option<Subset>,
    deadlines: Deadlines,
    news: mpsc::UnboundedReceiver<EngineEvent<Q, A>>,
    outlets: Outlets<Q>,
    bounds: Bounds,
    flows: HashMap<RequestId, Flow<Q, A>>,
    calls: HashMap<u64, CounterName>,
    next_call: u64,
    now: Millis,
    /// Events that actions bring about at once.
    own: VecDeque<Event>,
    tally: Tally,
    /// Another process decides.
    retired: bool,
    /// Attempts that are out at a process before.
    elsewhere: BTreeMap<(RequestId, AttemptIndex), BackendId>,
    /// Discovery has told a list.
    told: bool,
    log: Logger,
}

impl<Q: Clone, A> Engine<Q, A> {
    /// An engine round a limiter, with the bans that hold.
    pub fn new(
        (limiter, maintenance): (Limiter, Maintenance),
        deadlines: Deadlines,
        news: mpsc::UnboundedReceiver<EngineEvent<Q, A>>,
        outlets: Outlets<Q>,
        bounds: Bounds,
        log: Logger,
    ) -> Self {
        let now = deadlines.clock().now();
        let (flows, calls, own, tally) = Default::default();
        Self {
            limiter,
            maintenance,
            subset: None,
            deadlines,
            news,
            outlets,
            bounds,
            flows,
            calls,
            next_call: 0,
            now,
            own,
            tally,
            retired: false,
            elsewhere: BTreeMap::new(),
            told: false,
            log,
        }
    }

    /// Goes by a part of the list only, where there is one.
    pub fn with_subset(mut self, subset: Option<Subset>) -> Self {
        self.subset = subset;
        self
    }

    /// Starts from the list that was known last, if any, and runs until every way in is closed.
    pub async fn run(mut self, known: Option<BackendList>) {
        self.now = self.deadlines.clock().now();
        self.deadlines.add(self.now + TALLY, Expiry::RequestSummary);
        self.feed(Event::Start);
        // Prevents the first list of all from being taken for one of newcomers, which are spared as cold.
        if let Some(known) = known.filter(|known| !known.entries.is_empty()) {
            self.listed(known, ListKind::Cached);
        }
        loop {
            let first = tokio::select! {
                news = self.news.recv() => match news {
                    None => return,
                    news => news,
                },
                () = self.deadlines.first_due() => {
                    // Prevents answers that have come in from losing to their time-outs after a standstill.
                    tokio::task::yield_now().await;
                    None
                }
            };
            self.now = self.deadlines.clock().now();
            first.into_iter().for_each(|news| self.take(news));
            while let Ok(news) = self.news.try_recv() {
                self.take(news);
            }
            self.deadlines.take_expired(self.now).into_iter().for_each(|due| self.due(due));
        }
    }

    /// Gives the decisions an event and carries out what they want, and what that brings about.
    fn feed(&mut self, event: Event) {
        let mut acts = Vec::new();
        let mut next = Some(event);
        while let Some(event) = next {
            self.limiter.handle(self.now, event, &mut acts);
            for act in acts.drain(..) {
                self.carry_out(act);
            }
            next = self.own.pop_front();
        }
    }

    fn take(&mut self, news: EngineEvent<Q, A>) {
        match news {
            EngineEvent::RequestArrived(id, terms, question, client) => {
                if self.flows.len() >= self.bounds.flows {
                    return self.answer(client, FinalAnswer::NoRoom(self.bounds.retry_after));
                }
                let uploads = terms.body_pending.then_some(terms.time_left);
                let [left, last] = parts(if terms.body_pending { UPLOAD } else { terms.time_left });
                let guard = self.deadlines.add(self.now + last, Expiry::Request(id));
                let (client, until) = (Some(client), self.now + left);
                let (out, started, timed_out) = (Vec::new(), 0, false);
                let flow = Flow { question, client, uploads, until, guard, started, out, timed_out };
                self.flows.insert(id, flow);
                self.feed(Event::Request(Request {
                    id,
                    class: terms.class,
                    plan: terms.plan,
                    customer: terms.customer,
                    time_left: left,
                    units: terms.units,
                    spread: terms.spread,
                    first_ingress: terms.first_ingress,
                    is_retry: terms.is_retry,
                }));
            }
            EngineEvent::ClientLeft(id) => {
                // One that has had its answer is over already.
                if self.close(id).is_some() {
                    self.tally.left += 1;
                    self.feed(Event::ClientLeft(id));
                    // Also where the decisions may not cancel: what has not begun to leave never will.
                    let out = self.flows.get(&id).into_iter().flat_map(|flow| flow.out.iter().map(|s| s.no));
                    out.for_each(|no| self.order(ClientSideCommand::Withdraw(id, no)));
                }
            }
            EngineEvent::BodyReceived(id) => self.uploaded(id),
            EngineEvent::AnswerStarted(id, no, answer) => self.began((id, no), answer),
            EngineEvent::AttemptEnded(report) => self.ended(report),
            EngineEvent::BackendList(list) => {
                self.told = true;
                let kind = if list.complete { ListKind::Full } else { ListKind::Changes };
                self.listed(list, kind);
            }
            EngineEvent::PeerMessage(from, bytes) => self.feed(Event::PeerMessage(from, bytes)),
            EngineEvent::CounterAnswered(seq, answer) => {
                // One that timed out has been told as unknown.
                if let Some(name) = self.calls.remove(&seq) {
                    self.feed(Event::CounterAnswered(name, answer));
                }
            }
            EngineEvent::LiveIngresses(living) => {
                let change =
                    self.subset.as_mut().and_then(|subset| subset.set_live_ingresses(living.as_deref()));
                self.limiter.living(living);
                if let Some(change) = change {
                    self.tell(change, ListKind::Changes);
                }
            }
            EngineEvent::DisabledElsewhere(name, out) => {
                if let Some(change) = self.maintenance.apply_notice(&name, out) {
                    self.believe(change, ListKind::Changes);
                }
            }
            EngineEvent::HandOver(reply) => {
                self.retired = true;
                let (list, bans) = (self.maintenance.discovered_list(), self.maintenance.disabled());
                let _ = reply.send(EngineState { limiter: self.limiter.hand_over(), disabled: bans, list });
            }
            EngineEvent::Resume => {
                self.retired = false;
                self.limiter.take_back();
            }
            EngineEvent::Inherit(estate, reply) => {
                self.inherit(estate);
                let _ = reply.send(());
            }
            EngineEvent::PredecessorAttemptEnded(end) => self.ended_elsewhere(end),
            EngineEvent::PredecessorGone => {
                for ((request, attempt), server) in std::mem::take(&mut self.elsewhere) {
                    let end = (Outcome::Cancelled, 0.0);
                    self.feed(attempt_ended((request, attempt), server, end, true, Load::default()));
                }
            }
            EngineEvent::Operate(operation, reply) => {
                // Whoever asked has its answer after all that follows is carried out.
                let done = self.operate(operation);
                let _ = reply.send(done);
            }
        }
    }

    /// Goes on from what another process knew. What cannot be read leaves this one as after a restart.
    fn inherit(&mut self, estate: EngineState) {
        self.maintenance.replace_disabled(estate.disabled);
        match self.limiter.inherit(&estate.limiter) {
            Ok(out) => {
                self.elsewhere =
                    out.into_iter().map(|(request, no, server)| ((request, no), server)).collect();
                info!(self.log, "took over"; "attempts_out" => self.elsewhere.len());
            }
            Err(why) => warn!(self.log, "what the old process knew was passed over"; "why" => why),
        }
        if !self.told && !estate.list.entries.is_empty() {
            self.maintenance.apply_list(estate.list);
        }
        let mut list = self.maintenance.discovered_list();
        if !list.entries.is_empty() {
            list = self.maintenance.apply_list(list);
            self.believe(list, ListKind::Full);
        }
    }

    fn ended_elsewhere(&mut self, end: AttemptEnd) {
        if self.elsewhere.remove(&(end.request, end.attempt)).is_some() {
            if self.retired {
                let _ = self.outlets.successor.send(end);
            }
            self.feed(Event::AttemptEnded(AttemptEnd { request_closed: true, ..end }));
        }
    }

    fn operate(&mut self, operation: Operation) -> Result<BackendStatus, &'static str> {
        let (change, said) = match operation {
            Operation::Inspect => (None, None),
            Operation::Disable(name) => (self.maintenance.disable(&name)?, Some((name, true))),
            Operation::Enable(name) => (self.maintenance.enable(&name)?, Some((name, false))),
        };
        if let (Some(out), Some((name, holds))) = (&self.outlets.said, said) {
            let _ = out.send(LocalNotice::Published(Subject::Backend(name), holds));
        }
        if let Some(change) = change {
            self.believe(change, ListKind::Changes);
        }
        Ok(BackendStatus { counts: self.limiter.members(self.now), disabled: self.maintenance.disabled() })
    }

    fn listed(&mut self, list: BackendList, kind: ListKind) {
        let list = self.maintenance.apply_list(list);
        self.believe(list, kind);
    }

    fn believe(&mut self, list: BackendList, kind: ListKind) {
        let list = match &mut self.subset {
            Some(subset) => subset.apply_list(self.now, list),
            None => list,
        };
        self.tell(list, kind);
    }

    fn tell(&mut self, list: BackendList, kind: ListKind) {
        let entries = list.entries.iter().map(|e| e.entry).collect();
        // The client side learns it first: nothing that waits there starts on a drained real server.
        self.order(ClientSideCommand::BackendList(list));
        self.feed(Event::BackendList(kind, entries));
    }

    fn due(&mut self, due: Expiry) {
        match due {
            Expiry::Timer(key) => self.feed(Event::Timer(key)),
            Expiry::Attempt(flow, no) => self.order(ClientSideCommand::GiveUp(flow, no, Outcome::TimedOut)),
            Expiry::CounterCall(seq) => {
                if let Some(name) = self.calls.remove(&seq) {
                    self.feed(Event::CounterAnswered(name, CounterAnswer::Unknown));
                }
            }
            Expiry::Request(id) => {
                // The last guard: a flow that the decisions still hold gets its one final answer.
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Failed { timed_out: true });
                    debug!(self.log, "flow failed at its deadline"; "flow" => id.0);
                    self.feed(Event::ClientLeft(id));
                }
            }
            Expiry::RequestSummary => {
                self.deadlines.add(self.now + TALLY, Expiry::RequestSummary);
                let tally = std::mem::take(&mut self.tally);
                if tally != Tally::default() || !self.flows.is_empty() {
                    info!(self.log, "tally";
                        "served" => tally.served, "rejected" => tally.rejected,
                        "no_room" => tally.no_room, "failed" => tally.failed, "left" => tally.left,
                        "schedulings" => tally.schedulings, "retried" => tally.retried,
                        "open" => self.flows.len());
                }
            }
            Expiry::Wake(waker) => waker.wake(),
        }
    }

    /// The one place where a flow's verdict goes out; a client that has left needs none.
    fn answer(&mut self, client: oneshot::Sender<FinalAnswer<A>>, verdict: FinalAnswer<A>) {
        match verdict {
            FinalAnswer::Served(_) => self.tally.served += 1,
            FinalAnswer::Rejected(_) => self.tally.rejected += 1,
            FinalAnswer::NoRoom(_) => self.tally.no_room += 1,
            FinalAnswer::Failed { .. } => self.tally.failed += 1,
        }
        let _ = client.send(verdict);
    }

    fn order(&self, order: ClientSideCommand<Q>) {
        let _ = self.outlets.orders.send(order);
    }

    /// Ends a flow; tells whom to answer where that is still owed.
    fn close(&mut self, id: RequestId) -> Option<oneshot::Sender<FinalAnswer<A>>> {
        let flow = self.flows.get_mut(&id)?;
        let client = flow.client.take()?;
        self.deadlines.remove(flow.guard);
        if flow.out.is_empty() {
            self.flows.remove(&id);
        }
        Some(client)
    }

    /// A flow's body has come: its time runs from now on.
    fn uploaded(&mut self, id: RequestId) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some([left, last]) = flow.uploads.take().map(parts) else { return };
        self.deadlines.remove(flow.guard);
        flow.guard = self.deadlines.add(self.now + last, Expiry::Request(id));
        flow.until = self.now + left;
        for s in &mut flow.out {
            self.deadlines.remove(s.deadline);
            s.deadline = self.deadlines.add(flow.until, Expiry::Attempt(id, s.no));
            s.sent = self.now;
        }
    }

    /// A scheduling's answer passes on: the client has it, and no time is set for its end.
    fn began(&mut self, (id, no): (RequestId, AttemptIndex), answer: A) {
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(s) = flow.out.iter_mut().find(|s| s.no == no) else { return };
        self.deadlines.remove(s.deadline);
        s.began = Some(self.now);
        if let Some(client) = self.close(id) {
            self.answer(client, FinalAnswer::Served(answer));
        }
        self.feed(Event::StreamStarted(id, no));
    }

    fn ended(&mut self, report: AttemptReport<A>) {
        let AttemptReport { request: id, attempt: no, mut outcome, load, answer } = report;
        let Some(flow) = self.flows.get_mut(&id) else { return };
        let Some(at) = flow.out.iter().position(|s| s.no == no) else { return };
        let ended = flow.out.swap_remove(at);
        self.deadlines.remove(ended.deadline);
        flow.timed_out = outcome == Outcome::TimedOut;
        match answer {
            Some(answer) if outcome == Outcome::Served => {
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Served(answer));
                }
            }
            None if outcome == Outcome::Served && ended.began.is_none() => outcome = Outcome::Error,
            _ => {}
        }
        if let Some(witness) = &self.outlets.witness {
            witness.record(ended.server, outcome);
        }
        let closed = self.flows.get(&id).is_none_or(|flow| flow.client.is_none());
        let spent = ended.began.unwrap_or(self.now) - ended.sent;
        let end = attempt_ended((id, no), ended.server, (outcome, spent), closed, load);
        if let (true, Event::AttemptEnded(end)) = (self.retired, &end) {
            let _ = self.outlets.successor.send(*end);
        }
        self.feed(end);
        if self.flows.get(&id).is_some_and(|flow| flow.client.is_none() && flow.out.is_empty()) {
            self.flows.remove(&id);
        }
    }

    fn carry_out(&mut self, act: Action) {
        match act {
            Action::Send { request, backend: server, timeout: wait, send_within: within } => {
                self.start(request, server, (wait, within))
            }
            Action::Reject(id, after) => {
                if let Some(client) = self.close(id) {
                    let after = after.filter(|after| *after > 0.0).unwrap_or(self.bounds.retry_after);
                    self.answer(client, FinalAnswer::Rejected(after));
                }
            }
            Action::Fail(id) => {
                let timed_out = self.flows.get(&id).is_some_and(|flow| flow.timed_out);
                if let Some(client) = self.close(id) {
                    self.answer(client, FinalAnswer::Failed { timed_out });
                }
            }
            Action::Cancel(id, no) => self.order(ClientSideCommand::GiveUp(id, no, Outcome::Cancelled)),
            // The decisions ask for no probes; one that they should ask for tells them nothing.
            Action::Probe(server) => {
                self.own.push_back(Event::ProbeEnded(server, Outcome::NotSent, Load::default()));
            }
            Action::SendToPeer(to, bytes) => {
                if let Some(peers) = self.outlets.peers.as_ref().filter(|_| !self.retired) {
                    let _ = peers.send((to, bytes));
                }
            }
            Action::AddToCounter(name, amount, keep) => {
                self.next_call += 1;
                let call = CounterCall { seq: self.next_call, name, amount, keep };
                let counter = self.outlets.counter.as_ref().filter(|_| !self.retired);
                let sent = counter.is_some_and(|counter| counter.send(call).is_ok());
                if sent {
                    self.calls.insert(call.seq, name);
                    self.deadlines.add(self.now + self.bounds.counter_timeout, Expiry::CounterCall(call.seq));
                } else {
                    self.own.push_back(Event::CounterAnswered(name, CounterAnswer::NotAdded));
                }
            }
            Action::SetTimer(after, key) => {
                self.deadlines.add(self.now + after.max(0.0), Expiry::Timer(key));
            }
            // The watch on discovery is open all the time.
            Action::Subscribe => {}
        }
    }

    fn start(&mut self, id: RequestId, server: BackendId, (wait, within): (Option<Millis>, Option<Millis>)) {
        let Some(flow) = self.flows.get_mut(&id) else {
            warn!(self.log, "scheduling for a flow that is over"; "flow" => id.0);
            return;
        };
        let no = AttemptIndex(flow.started);
        flow.started += 1;
        // Patience is for answers: while a body still comes, nothing is late.
        let wait = wait.filter(|_| flow.uploads.is_none()).unwrap_or(f64::INFINITY);
        let wait = wait.min(flow.until - self.now);
        if flow.client.is_none() || no.0 >= self.bounds.schedulings || wait <= 0.0 {
            let (closed, load) = (flow.client.is_none(), Load::default());
            self.own.push_back(attempt_ended((id, no), server, (Outcome::NotSent, 0.0), closed, load));
            return;
        }
        self.tally.schedulings += 1;
        self.tally.retried += u64::from(no.0 > 0);
        let deadline = self.deadlines.add(self.now + wait, Expiry::Attempt(id, no));
        flow.out.push(Scheduling { no, server, sent: self.now, began: None, deadline });
        let question = flow.question.clone();
        let wait = flow.uploads.unwrap_or(wait);
        if flow.uploads.is_some() {
            // The real server has no work with it until its body has come.
            self.own.push_back(Event::StreamStarted(id, no));
        }
        let by = within.map(|within| self.now + within);
        self.order(ClientSideCommand::Start {
            request: id,
            attempt: no,
            backend: server,
            question,
            timeout: wait,
            send_by: by,
        });
    }
}

/// The end of a scheduling, in the decisions' words.
fn attempt_ended(
    (request, attempt): (RequestId, AttemptIndex),
    server: BackendId,
    (outcome, spent): (Outcome, Millis),
    closed: bool,
    load: Load,
) -> Event {
    let (metered_use, settled_units) = (None, None);
    Event::AttemptEnded(AttemptEnd {
        request,
        attempt,
        backend: server,
        outcome,
        elapsed: spent,
        request_closed: closed,
        metered_use,
        settled_units,
        load,
    })
}
