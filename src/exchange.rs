//! Where the server side and the client side meet: flows and news go in, verdicts and orders come out. Neither
//! side knows the other; the engine stands between them. `Q` is a front's question, `A` its answer.

use crate::backends::entries::BackendList;
use crate::interface::*;
use crate::stats::{BackendCounts, RequestOutcome};
use serde::{Deserialize, Serialize};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tokio::sync::{mpsc, oneshot};

/// What a front tells of a flow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestInfo {
    /// Its class.
    pub class: ClassId,
    /// Its customer's plan.
    pub plan: PlanId,
    /// Its customer.
    pub customer: CustomerId,
    /// How long the client waits, from the last byte of the flow.
    pub time_left: Millis,
    /// Units it draws.
    pub units: f64,
    /// Over how many ingresses the customer's flows come ...
    pub spread: u16,
    /// ... counted round from this one.
    pub first_ingress: IngressId,
    /// The client says that it has asked for this before.
    pub is_retry: bool,
    /// Its body still comes: `time_left` runs from that one's last byte, and it can be sent once only.
    pub body_pending: bool,
}

/// The final answer of a flow.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer<A> {
    /// What a real server answered.
    Served(A),
    /// The decisions refuse it: come again after this time.
    Rejected(Millis),
    /// The table of flows is full: it was never looked at.
    NoRoom(Millis),
    /// It failed; no promise either way.
    Failed {
        /// Its time ran out, or that of its last scheduling.
        timed_out: bool,
    },
}

impl<A> FinalAnswer<A> {
    /// What it counts as.
    pub fn end(&self) -> RequestOutcome {
        match self {
            Self::Served(_) => RequestOutcome::Completed,
            Self::Rejected(_) | Self::NoRoom(_) => RequestOutcome::Rejected,
            Self::Failed { .. } => RequestOutcome::Failed,
        }
    }
}

/// How a scheduling ended.
#[derive(Debug)]
pub struct AttemptReport<A> {
    /// Whose scheduling.
    pub request: RequestId,
    /// Which.
    pub attempt: AttemptIndex,
    /// How it ended.
    pub outcome: Outcome,
    /// What the real server said of its load.
    pub load: Load,
    /// The answer, where it was served.
    pub answer: Option<A>,
}

/// What reaches the engine.
#[derive(Debug)]
pub enum EngineEvent<Q, A> {
    /// A flow has come in whole.
    RequestArrived(RequestId, RequestInfo, Q, oneshot::Sender<FinalAnswer<A>>),
    /// Its client has left.
    ClientLeft(RequestId),
    /// The last byte of a flow's body has come.
    BodyReceived(RequestId),
    /// A scheduling's answer has begun to pass on: it is the flow's, however it ends.
    AnswerStarted(RequestId, AttemptIndex, A),
    /// A scheduling has ended.
    AttemptEnded(AttemptReport<A>),
    /// Service entries.
    BackendList(BackendList),
    /// A peer's message.
    PeerMessage(IngressId, Vec<u8>),
    /// The counter answered a call.
    CounterAnswered(u64, CounterAnswer),
    /// Another process is to decide from now on: it is owed what is known.
    HandOver(oneshot::Sender<EngineState>),
    /// Which ingresses live, by number; none where that is not known.
    LiveIngresses(Option<Vec<bool>>),
    /// An operator has taken a real server out, or put it back, at another ingress's door.
    DisabledElsewhere(String, bool),
    /// That process is gone: this one decides again.
    Resume,
    /// What another process knew, which has stopped deciding.
    Inherit(EngineState, oneshot::Sender<()>),
    /// An attempt of that process has ended.
    PredecessorAttemptEnded(AttemptEnd),
    /// That process is gone: so are its attempts.
    PredecessorGone,
    /// An operator wants something, and is owed an answer.
    Operate(Operation, oneshot::Sender<OperationResult>),
}

/// What an engine knows.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// The limiter.
    pub limiter: Vec<u8>,
    /// The real servers that are out by hand.
    pub disabled: Vec<String>,
    /// The list, as it was told.
    pub list: BackendList,
}

/// What an operator may want of the engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Operation {
    /// To see how things stand.
    Inspect,
    /// To take the real server of this name out.
    Disable(String),
    /// To put it back.
    Enable(String),
}

/// What the engine makes of an operation: how things stand after it, or why it was refused.
pub type OperationResult = Result<BackendStatus, &'static str>;

/// How things stand.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// The real servers.
    pub counts: BackendCounts,
    /// The names of those that are out by hand.
    pub disabled: Vec<String>,
}

/// What the engine wants of the client side, in order.
#[derive(Debug)]
pub enum ClientSideCommand<Q> {
    /// Start a scheduling, which the engine gives up after `timeout`.
    Start {
        /// Whose scheduling.
        request: RequestId,
        /// Which.
        attempt: AttemptIndex,
        /// The real server.
        backend: BackendId,
        /// What to ask.
        question: Q,
        /// How long the engine will wait.
        timeout: Millis,
        /// The moment by which it must have left whole, or never does.
        send_by: Option<Millis>,
    },
    /// Give a scheduling up and report it ended like this, unless it ended before.
    GiveUp(RequestId, AttemptIndex, Outcome),
    /// Give a scheduling up of which nothing was written yet: nobody waits for it any more.
    Withdraw(RequestId, AttemptIndex),
    /// Service entries.
    BackendList(BackendList),
}

/// A call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterCall {
    /// The engine's number of it.
    pub seq: u64,
    /// The number's name.
    pub name: CounterName,
    /// What to add.
    pub amount: f64,
    /// How long a new name is kept.
    pub keep: Millis,
}

/// The exchange's way in.
#[derive(Debug)]
pub struct Exchange<Q, A> {
    inbox: mpsc::UnboundedSender<EngineEvent<Q, A>>,
    next: Arc<AtomicU64>,
}

impl<Q, A> Clone for Exchange<Q, A> {
    fn clone(&self) -> Self {
        Self { inbox: self.inbox.clone(), next: self.next.clone() }
    }
}

impl<Q, A> Exchange<Q, A> {
    /// An exchange and the engine's end of it.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<EngineEvent<Q, A>>) {
        Self::starting_at(0)
    }

    /// One whose flows are numbered from here on.
    pub fn starting_at(first: u64) -> (Self, mpsc::UnboundedReceiver<EngineEvent<Q, A>>) {
        let (inbox, news) = mpsc::unbounded_channel();
        (Self { inbox, next: Arc::new(AtomicU64::new(first)) }, news)
    }

    /// Tells the engine something; once the engine is gone nothing matters any more.
    pub fn send(&self, news: EngineEvent<Q, A>) {
        let _ = self.inbox.send(news);
    }

    /// Hands in a flow; its verdict is to be awaited, and who drops that has left.
    pub fn submit(&self, terms: RequestInfo, question: Q) -> PendingAnswer<Q, A> {
        let flow = RequestId(self.next.fetch_add(1, Ordering::Relaxed));
        let (sender, verdict) = oneshot::channel();
        self.send(EngineEvent::RequestArrived(flow, terms, question, sender));
        PendingAnswer { exchange: self.clone(), flow, verdict, over: false }
    }
}

/// A flow's verdict to come.
#[derive(Debug)]
pub struct PendingAnswer<Q, A> {
    exchange: Exchange<Q, A>,
    flow: RequestId,
    verdict: oneshot::Receiver<FinalAnswer<A>>,
    over: bool,
}

impl<Q, A> PendingAnswer<Q, A> {
    /// The last byte of the flow's body has come.
    pub fn uploaded(&self) {
        self.exchange.send(EngineEvent::BodyReceived(self.flow));
    }
}

impl<Q, A> Future for PendingAnswer<Q, A> {
    type Output = FinalAnswer<A>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FinalAnswer<A>> {
        let verdict = std::task::ready!(Pin::new(&mut self.verdict).poll(cx));
        self.over = true;
        Poll::Ready(verdict.unwrap_or(FinalAnswer::Failed { timed_out: false }))
    }
}

impl<Q, A> Drop for PendingAnswer<Q, A> {
    fn drop(&mut self) {
        if !self.over {
            self.exchange.send(EngineEvent::ClientLeft(self.flow));
        }
    }
}
