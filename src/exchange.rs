//! The messages between the engine and the sides that do I/O: the server side submits requests and waits for
//! final answers; the client side carries out attempts by the engine's commands and reports how they end.
//! Neither side knows the other. `Q` is the question that a front asks backends, `A` their answer.

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

/// The properties of a request that a front reads.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RequestInfo {
    /// The request's class.
    pub class: ClassId,
    /// The customer's plan.
    pub plan: PlanId,
    /// The customer that the request is accounted to.
    pub customer: CustomerId,
    /// How long the client waits for the answer after the last byte of the request, in milliseconds.
    pub time_left: Millis,
    /// The units that the request consumes.
    pub units: f64,
    /// The number of ingresses that receive this customer's requests.
    pub spread: u16,
    /// The first of these ingresses; the others follow by number, wrapping around at the end of the fleet.
    pub first_ingress: IngressId,
    /// Whether the client marks the request as a retry.
    pub is_retry: bool,
    /// What identifies the request at its client, however often it comes; `None` if nothing does.
    pub identity: Option<u64>,
    /// Whether the body is still being received. If so, `time_left` runs from its last byte, and the request
    /// can be sent only once.
    pub body_pending: bool,
}

/// The final answer to a request.
#[derive(Debug, Clone, PartialEq)]
pub enum FinalAnswer<A> {
    /// A backend's answer.
    Served(A),
    /// The decision module rejected the request; the client may retry after this time, in milliseconds.
    Rejected(Millis),
    /// The table of requests is full, and the request was not considered; the client may retry after this
    /// time, in milliseconds.
    NoRoom(Millis),
    /// The request failed; a backend may or may not have processed it.
    Failed {
        /// Whether its deadline has passed, or the attempt that ended last timed out.
        timed_out: bool,
    },
}

impl<A> FinalAnswer<A> {
    /// Returns the outcome that the metrics count.
    pub fn outcome(&self) -> RequestOutcome {
        match self {
            Self::Served(_) => RequestOutcome::Completed,
            Self::Rejected(_) | Self::NoRoom(_) => RequestOutcome::Rejected,
            Self::Failed { .. } => RequestOutcome::Failed,
        }
    }
}

/// The report of the client side that an attempt has ended.
#[derive(Debug)]
pub struct AttemptReport<A> {
    /// The request.
    pub request: RequestId,
    /// The attempt of that request.
    pub attempt: AttemptIndex,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The load that the backend reported.
    pub load: Load,
    /// The answer, or `None` if there is none or it was passed on by [`EngineEvent::AnswerStarted`].
    pub answer: Option<A>,
}

/// What is known of the body of a request that is still being received.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum BodyProgress {
    /// The client has not written its last byte.
    Pending,
    /// The client may have written its last byte, which has not been received.
    MayBeWritten(Written),
    /// The last byte has been received.
    Received(Written),
}

/// When the client of a request wrote the last byte of its body, and what follows for its final answer.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Written {
    /// The earliest time at which it may have done so, in Unix milliseconds. Its timeout runs from then.
    pub at: Millis,
    /// The final answer is due within this time from now, in milliseconds, whatever the client's timeout.
    pub max_time: Millis,
}

/// An event for the engine.
#[derive(Debug)]
pub enum EngineEvent<Q, A> {
    /// A request has arrived; the sender takes its final answer.
    RequestArrived(RequestId, RequestInfo, Q, oneshot::Sender<FinalAnswer<A>>),
    /// The client of a request has left without waiting for the answer.
    ClientLeft(RequestId),
    /// What is known of the body of a request that is still being received.
    BodyProgress(RequestId, BodyProgress),
    /// The answer of an attempt has begun to arrive. It is the request's final answer, however the attempt
    /// ends.
    AnswerStarted(RequestId, AttemptIndex, A),
    /// An attempt has ended.
    AttemptEnded(AttemptReport<A>),
    /// Discovery has sent a list of backends, or changes to it.
    BackendList(BackendList),
    /// A message from a peer has arrived.
    PeerMessage(IngressId, Vec<u8>),
    /// The counter has answered the call with this [`CounterCall::seq`].
    CounterAnswered(u64, CounterAnswer),
    /// Another process decides from now on; the sender takes this engine's state.
    HandOver(oneshot::Sender<EngineState>),
    /// The live ingresses have changed: for each ingress number, whether it is live; `None` if that is not
    /// known.
    LiveIngresses(Option<Vec<bool>>),
    /// An operator has disabled (`true`) or enabled the backend of this name at another ingress's admin
    /// interface.
    DisabledElsewhere(String, bool),
    /// The process that took over has ended: this one decides again.
    Resume,
    /// The state of a process that has stopped deciding; the sender confirms that the state is in use.
    Inherit(EngineState, oneshot::Sender<()>),
    /// An attempt of that process has ended.
    PredecessorAttemptEnded(AttemptEnd),
    /// That process has ended, and its attempts with it.
    PredecessorGone,
    /// An operation on the disabled backends; the sender takes the result. Nothing is done if nobody waits for it any
    /// more.
    Operate(Operation, oneshot::Sender<OperationResult>),
}

/// The state of an engine, which passes to the next process in an upgrade. Written by postcard: the order and
/// the types of the fields are the format.
#[derive(Debug, Clone, PartialEq, Default, Serialize, Deserialize)]
pub struct EngineState {
    /// The serialized state of the limiter.
    pub limiter: Vec<u8>,
    /// The names of the backends that operators have disabled.
    pub disabled: Vec<String>,
    /// The list of backends as discovery sent it.
    pub list: BackendList,
}

/// An operation on the backends that operators have disabled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Returns the status without changing anything.
    Inspect,
    /// Disables the backend of this name, as an operator requested, and publishes a notice of it.
    Disable(String),
    /// Enables the backend of this name, as an operator requested, and publishes a notice of it.
    Enable(String),
    /// Disables (`true`) or enables the backend of this name, listed or not, as another process at this address has
    /// done. That one publishes the notice.
    Follow(String, bool),
    /// Disables exactly the backends of these names, as another process at this address has done.
    Replace(Vec<String>),
}

/// The result of an operation: the status after it, or the reason for which it was rejected.
pub type OperationResult = Result<BackendStatus, &'static str>;

/// The status of the backends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BackendStatus {
    /// The numbers of backends.
    pub counts: BackendCounts,
    /// The names of the backends that operators have disabled.
    pub disabled: Vec<String>,
}

/// A command of the engine to the client side, to be carried out in the order sent.
#[derive(Debug)]
pub enum ClientSideCommand<Q> {
    /// Starts an attempt, which the engine ends after `timeout`.
    Start {
        /// The request.
        request: RequestId,
        /// The attempt of that request.
        attempt: AttemptIndex,
        /// The backend to send it to.
        backend: BackendId,
        /// The question to send.
        question: Q,
        /// How long the engine waits for the answer, in milliseconds. If the body is still being received, the
        /// engine waits from its last byte, and until then the backend may stall for this long.
        timeout: Millis,
        /// The time, in Unix milliseconds, by which the question must be written completely, or else is not
        /// sent at all; `None` for no limit.
        send_by: Option<Millis>,
    },
    /// Aborts an attempt and reports it ended with this outcome, unless it has ended already.
    GiveUp(RequestId, AttemptIndex, Outcome),
    /// Aborts an attempt if nothing of it has been written yet, as its client has left.
    Withdraw(RequestId, AttemptIndex),
    /// The list of backends, or changes to it.
    BackendList(BackendList),
}

/// A call to the fleet's shared counter, which adds to a number.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CounterCall {
    /// The number of the call, unique in the engine.
    pub seq: u64,
    /// The name of the number to add to.
    pub name: CounterName,
    /// The amount to add.
    pub amount: f64,
    /// How long the counter keeps a number that this call creates, in milliseconds.
    pub lifetime: Millis,
}

/// A handle that submits requests and sends events to the engine.
#[derive(Debug)]
pub struct Exchange<Q, A> {
    events: mpsc::UnboundedSender<EngineEvent<Q, A>>,
    next_id: Arc<AtomicU64>,
}

impl<Q, A> Clone for Exchange<Q, A> {
    fn clone(&self) -> Self {
        Self { events: self.events.clone(), next_id: self.next_id.clone() }
    }
}

impl<Q, A> Exchange<Q, A> {
    /// Creates an exchange and the receiver for the engine.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<EngineEvent<Q, A>>) {
        Self::starting_at(0)
    }

    /// Creates an exchange whose requests are numbered from `first_id`, and the receiver for the engine.
    pub fn starting_at(first_id: u64) -> (Self, mpsc::UnboundedReceiver<EngineEvent<Q, A>>) {
        let (events, receiver) = mpsc::unbounded_channel();
        (Self { events, next_id: Arc::new(AtomicU64::new(first_id)) }, receiver)
    }

    /// Sends an event to the engine. Does nothing once the engine has ended.
    pub fn send(&self, event: EngineEvent<Q, A>) {
        let _ = self.events.send(event);
    }

    /// Submits a request. The returned future resolves to its final answer; dropping it earlier means that
    /// the client has left.
    pub fn submit(&self, info: RequestInfo, question: Q) -> PendingAnswer<Q, A> {
        let id = RequestId(self.next_id.fetch_add(1, Ordering::Relaxed));
        let (sender, answer) = oneshot::channel();
        self.send(EngineEvent::RequestArrived(id, info, question, sender));
        PendingAnswer { exchange: self.clone(), id, answer, answered: false }
    }
}

/// The future final answer to a submitted request.
#[derive(Debug)]
pub struct PendingAnswer<Q, A> {
    exchange: Exchange<Q, A>,
    id: RequestId,
    answer: oneshot::Receiver<FinalAnswer<A>>,
    answered: bool,
}

impl<Q, A> PendingAnswer<Q, A> {
    /// Returns a handle that reports the progress of the request's body.
    pub fn body_reporter(&self) -> BodyReporter<Q, A> {
        BodyReporter { exchange: self.exchange.clone(), id: self.id }
    }
}

/// Reports the progress of the body of a submitted request.
#[derive(Debug)]
pub struct BodyReporter<Q, A> {
    exchange: Exchange<Q, A>,
    id: RequestId,
}

impl<Q, A> BodyReporter<Q, A> {
    /// Reports the progress of the body.
    pub fn report(&self, progress: BodyProgress) {
        self.exchange.send(EngineEvent::BodyProgress(self.id, progress));
    }
}

impl<Q, A> Future for PendingAnswer<Q, A> {
    type Output = FinalAnswer<A>;

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<FinalAnswer<A>> {
        let answer = std::task::ready!(Pin::new(&mut self.answer).poll(cx));
        self.answered = true;
        Poll::Ready(answer.unwrap_or(FinalAnswer::Failed { timed_out: false }))
    }
}

impl<Q, A> Drop for PendingAnswer<Q, A> {
    fn drop(&mut self) {
        if !self.answered {
            self.exchange.send(EngineEvent::ClientLeft(self.id));
        }
    }
}
