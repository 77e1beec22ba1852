//! The attempts in flight and the backends that they may go to, shared by the client sides of all fronts. The
//! end of every attempt is reported exactly once, and no attempt starts on a backend that is not ready.

use crate::deadlines::Clock;
use crate::entries::BackendList;
use crate::exchange::{AttemptReport, ClientSideCommand, EngineEvent, Exchange};
use crate::interface::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{Notify, mpsc, oneshot};

/// How much of an attempt has been written to its backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Nothing yet: the attempt waits for its connection.
    Connecting,
    /// A part may have been written, but not the last byte: the backend cannot run the request yet.
    Writing,
    /// The whole request may have been written: the backend may run it.
    Written,
    /// A successful answer has begun that can be passed on as it comes. It belongs to the client: the attempt no longer
    /// times out.
    Answering,
}

/// Identifies an attempt: its request and its index among the attempts of that request.
pub type AttemptId = (RequestId, AttemptIndex);

/// An attempt that a front is to carry out.
#[derive(Debug)]
pub struct Job<Q> {
    /// The attempt.
    pub id: AttemptId,
    /// The request to send to the backend.
    pub question: Q,
    /// How long the engine waits for the answer, in milliseconds. While the body is still being received, the
    /// engine does not wait yet, and the front ends an attempt whose backend stalls for this long.
    pub timeout: Millis,
    /// The time by which the whole request must have been written, or else it must never be. `None` if there
    /// is no such bound.
    pub send_by: Option<Millis>,
    /// How far the attempt has come; kept up to date by the front.
    pub stage: Rc<Cell<Stage>>,
    /// Notified when an attempt at [`Stage::Answering`] would time out: the front passes its answer on from now on.
    pub pass_on: Rc<Notify>,
    /// Resolves once the attempt is cancelled or timed out. Its end has been reported by then, so the front
    /// stops without calling [`Attempts::finish`].
    pub cancelled: oneshot::Receiver<()>,
}

impl<Q> Job<Q> {
    /// Returns the milliseconds left until [`Job::send_by`], or `None` if there is no such bound.
    pub fn time_left(&self, clock: &Clock) -> Option<Millis> {
        self.send_by.map(|send_by| send_by - clock.now())
    }
}

/// What tells a process of a backend from another one, before it or elsewhere.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct BackendProcess {
    /// The address that it listens at.
    pub address: SocketAddr,
    /// When it started, as the list says.
    pub last_start: Option<Millis>,
}

#[derive(Debug)]
struct Running {
    backend: BackendId,
    /// The process that it goes to; `None` if the backend was not ready.
    process: Option<BackendProcess>,
    stage: Rc<Cell<Stage>>,
    pass_on: Rc<Notify>,
    /// Dropped with this entry, which resolves [`Job::cancelled`].
    _cancel_on_drop: oneshot::Sender<()>,
}

/// A ready backend, with the connections that a front has to it.
#[derive(Debug)]
pub struct Pool<C> {
    /// The process of the backend.
    pub process: BackendProcess,
    /// The front's connections.
    pub connections: C,
}

/// The result of an attempt.
#[derive(Debug)]
pub struct AttemptResult<A> {
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The load that the backend reported.
    pub load: Load,
    /// The answer, if the outcome is [`Outcome::Served`] and the answer has not been passed on yet.
    pub answer: Option<A>,
}

impl<A> AttemptResult<A> {
    /// A result without an answer or a load report.
    pub fn failed(outcome: Outcome) -> Self {
        Self { outcome, load: Load::default(), answer: None }
    }
}

/// All attempts in flight, and the ready backends. `Q` is a front's request to a backend, `A` a backend's
/// answer, `C` a front's connections to one backend.
#[derive(Debug)]
pub struct Attempts<Q, A, C> {
    running: RefCell<HashMap<AttemptId, Running>>,
    /// The ready backends. A borrow must not be held across an await point.
    pub pools: RefCell<BTreeMap<BackendId, Pool<C>>>,
    exchange: Exchange<Q, A>,
}

impl<Q, A, C: Default> Attempts<Q, A, C> {
    /// Creates a set without attempts or backends.
    pub fn new(exchange: Exchange<Q, A>) -> Self {
        Self { running: RefCell::default(), pools: RefCell::default(), exchange }
    }

    /// Executes commands until the channel closes. Calls `start` to begin an attempt on a backend.
    pub async fn run(
        &self,
        mut commands: mpsc::UnboundedReceiver<ClientSideCommand<Q>>,
        start: impl Fn(BackendId, Job<Q>),
    ) {
        while let Some(command) = commands.recv().await {
            match command {
                ClientSideCommand::Start { request, attempt, backend, question, timeout, send_by } => {
                    let id = (request, attempt);
                    let stage = Rc::new(Cell::new(Stage::Connecting));
                    let (cancel, cancelled) = oneshot::channel();
                    let pass_on = Rc::<Notify>::default();
                    let running = Running {
                        backend,
                        process: self.pools.borrow().get(&backend).map(|pool| pool.process),
                        stage: stage.clone(),
                        pass_on: pass_on.clone(),
                        _cancel_on_drop: cancel,
                    };
                    self.running.borrow_mut().insert(id, running);
                    start(backend, Job { id, question, timeout, send_by, stage, pass_on, cancelled });
                }
                ClientSideCommand::GiveUp(request, attempt, outcome) => {
                    let id = (request, attempt);
                    if outcome != Outcome::TimedOut || !self.pass_on(id) {
                        self.cancel(id, outcome);
                    }
                }
                ClientSideCommand::Withdraw(request, attempt) => {
                    let id = (request, attempt);
                    let unwritten =
                        self.running.borrow().get(&id).is_some_and(|r| r.stage.get() == Stage::Connecting);
                    if unwritten {
                        self.cancel(id, Outcome::Cancelled);
                    }
                }
                ClientSideCommand::BackendList(list) => self.update_backends(&list),
            }
        }
    }

    /// Reports that the answer of an attempt has begun and is passed on as it comes. Returns `false` if the
    /// attempt is no longer in flight; the answer is dropped then.
    pub fn answer_started(&self, (request, attempt): AttemptId, answer: A) -> bool {
        let in_flight = self.running.borrow().contains_key(&(request, attempt));
        if in_flight {
            self.exchange.send(EngineEvent::AnswerStarted(request, attempt, answer));
        }
        in_flight
    }

    /// Reports the end of an attempt. Does nothing if the attempt was cancelled or timed out, as that has
    /// been reported already.
    pub fn finish(&self, id: AttemptId, result: AttemptResult<A>) {
        if self.running.borrow_mut().remove(&id).is_some() {
            self.report(id, result);
        }
    }

    fn report(
        &self,
        (request, attempt): AttemptId,
        AttemptResult { outcome, load, answer }: AttemptResult<A>,
    ) {
        self.exchange.send(EngineEvent::AttemptEnded(AttemptReport {
            request,
            attempt,
            outcome,
            load,
            answer,
        }));
    }

    /// Has the answer of an attempt passed on as it comes. Returns `false` if it has not begun.
    fn pass_on(&self, id: AttemptId) -> bool {
        let running = self.running.borrow();
        let Some(running) = running.get(&id).filter(|r| r.stage.get() == Stage::Answering) else {
            return false;
        };
        running.pass_on.notify_one();
        true
    }

    fn cancel(&self, id: AttemptId, outcome: Outcome) {
        let Some(running) = self.running.borrow_mut().remove(&id) else { return };
        // A request that was not written to its last byte has not run, so its time-out counts as a failed
        // connection.
        let unwritten = running.stage.get() < Stage::Written && outcome == Outcome::TimedOut;
        self.report(id, AttemptResult::failed(if unwritten { Outcome::ConnectFailed } else { outcome }));
    }

    fn update_backends(&self, list: &BackendList) {
        let mut pools = self.pools.borrow_mut();
        if list.complete {
            pools.retain(|id, _| list.entries.iter().any(|e| e.entry.backend == *id));
        }
        for e in &list.entries {
            let (backend, last_start) = (e.entry.backend, e.entry.last_start);
            match e.address.filter(|_| e.entry.state == BackendState::Ready) {
                Some(address) => {
                    let process = BackendProcess { address, last_start };
                    // A backend that moved or restarted no longer has any of the connections.
                    if pools.get(&backend).is_none_or(|pool| pool.process != process) {
                        pools.insert(backend, Pool { process, connections: C::default() });
                    }
                }
                None => drop(pools.remove(&backend)),
            }
        }
        // Prevents attempts that still wait for a connection from starting on a drained backend, or on a process that
        // has taken over the address.
        let mut outdated: Vec<AttemptId> = Vec::new();
        for (id, running) in self.running.borrow().iter() {
            let process = pools.get(&running.backend).map(|pool| pool.process);
            if running.stage.get() == Stage::Connecting && process != running.process {
                outdated.push(*id);
            }
        }
        drop(pools);
        outdated.into_iter().for_each(|id| self.cancel(id, Outcome::TimedOut));
    }
}
