//! The schedulings that are out and the real servers they may go to: what the client sides of all fronts share.
//! Each scheduling is reported ended once, and none starts on a real server that is not ready.

use crate::deadlines::Clock;
use crate::entries::BackendList;
use crate::exchange::{AttemptReport, ClientSideCommand, EngineEvent, Exchange};
use crate::interface::*;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// How far a scheduling has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Stage {
    /// Nothing was written yet: it waits for its connection.
    Waiting,
    /// Part of it may be written.
    Writing,
    /// All of it may be written: it may run.
    Written,
}

/// A flow and which of its schedulings.
pub type Id = (RequestId, AttemptIndex);

/// A scheduling to carry out.
#[derive(Debug)]
pub struct Job<Q> {
    /// Which.
    pub id: Id,
    /// What to ask.
    pub question: Q,
    /// How long the engine waits.
    pub wait: Millis,
    /// The moment by which it must have left whole, or never does.
    pub by: Option<Millis>,
    /// How far it has come, to be kept up by who carries it.
    pub stage: Rc<Cell<Stage>>,
    /// Resolves once it is given up: nothing more is to be done for it.
    pub given_up: oneshot::Receiver<()>,
}

impl<Q> Job<Q> {
    /// How long it may still take until it has left whole; none where that is not bound.
    pub fn time_left(&self, clock: &Clock) -> Option<Millis> {
        self.by.map(|by| by - clock.now())
    }
}

#[derive(Debug)]
struct Running {
    server: BackendId,
    stage: Rc<Cell<Stage>>,
    _go_on: oneshot::Sender<()>,
}

/// A ready real server, with what a front keeps for it.
#[derive(Debug)]
pub struct Pool<P> {
    /// Where it listens.
    pub at: SocketAddr,
    started: Option<Millis>,
    /// The front's own.
    pub kept: P,
}

/// How a scheduling ended.
#[derive(Debug)]
pub struct Ending<A> {
    /// How.
    pub outcome: Outcome,
    /// What the real server said of its load.
    pub load: Load,
    /// The answer of one that was served.
    pub answer: Option<A>,
}

impl<A> Ending<A> {
    /// One without an answer.
    pub fn badly(outcome: Outcome) -> Self {
        Self { outcome, load: Load::default(), answer: None }
    }
}

/// All schedulings that are out, and the ready real servers.
#[derive(Debug)]
pub struct Schedulings<Q, A, P> {
    running: RefCell<HashMap<Id, Running>>,
    /// The ready real servers; to be borrowed only for a moment.
    pub pools: RefCell<BTreeMap<BackendId, Pool<P>>>,
    exchange: Exchange<Q, A>,
}

impl<Q, A, P: Default> Schedulings<Q, A, P> {
    /// None yet.
    pub fn new(exchange: Exchange<Q, A>) -> Self {
        Self { running: RefCell::default(), pools: RefCell::default(), exchange }
    }

    /// Carries out orders until there are no more; `start` is to begin a job.
    pub async fn run(
        &self,
        mut orders: mpsc::UnboundedReceiver<ClientSideCommand<Q>>,
        start: impl Fn(BackendId, Job<Q>),
    ) {
        while let Some(order) = orders.recv().await {
            match order {
                ClientSideCommand::Start {
                    request: flow,
                    attempt: no,
                    backend: server,
                    question,
                    timeout: wait,
                    send_by: by,
                } => {
                    let id = (flow, no);
                    let stage = Rc::new(Cell::new(Stage::Waiting));
                    let (go_on, given_up) = oneshot::channel();
                    let running = Running { server, stage: stage.clone(), _go_on: go_on };
                    self.running.borrow_mut().insert(id, running);
                    start(server, Job { id, question, wait, by, stage, given_up });
                }
                ClientSideCommand::GiveUp(flow, no, outcome) => self.give_up((flow, no), outcome),
                ClientSideCommand::Withdraw(flow, no) => {
                    let id = (flow, no);
                    let waits =
                        self.running.borrow().get(&id).is_some_and(|r| r.stage.get() == Stage::Waiting);
                    if waits {
                        self.give_up(id, Outcome::Cancelled);
                    }
                }
                ClientSideCommand::BackendList(list) => self.list(&list),
            }
        }
    }

    /// Who carries a job tells that its answer begins to pass on; false where it was given up.
    pub fn began(&self, (flow, no): Id, answer: A) -> bool {
        let runs = self.running.borrow().contains_key(&(flow, no));
        if runs {
            self.exchange.send(EngineEvent::AnswerStarted(flow, no, answer));
        }
        runs
    }

    /// Who carries a job tells how it ended; one that was given up has been reported.
    pub fn ended(&self, id: Id, ending: Ending<A>) {
        if self.running.borrow_mut().remove(&id).is_some() {
            self.report(id, ending);
        }
    }

    fn report(&self, (flow, no): Id, Ending { outcome, load, answer }: Ending<A>) {
        self.exchange.send(EngineEvent::AttemptEnded(AttemptReport {
            request: flow,
            attempt: no,
            outcome,
            load,
            answer,
        }));
    }

    fn give_up(&self, id: Id, outcome: Outcome) {
        let Some(running) = self.running.borrow_mut().remove(&id) else { return };
        // What was not written whole has never run, whatever it was given up for.
        let unwritten = running.stage.get() != Stage::Written && outcome == Outcome::TimedOut;
        self.report(id, Ending::badly(if unwritten { Outcome::ConnectFailed } else { outcome }));
    }

    fn list(&self, list: &BackendList) {
        let mut pools = self.pools.borrow_mut();
        if list.complete {
            pools.retain(|id, _| list.entries.iter().any(|e| e.entry.backend == *id));
        }
        for e in &list.entries {
            let (server, started) = (e.entry.backend, e.entry.last_start);
            match e.address.filter(|_| e.entry.state == BackendState::Ready) {
                Some(at) if pools.get(&server).is_some_and(|p| (p.at, p.started) == (at, started)) => {}
                // A real server that moved or started anew has none of the connections any more.
                Some(at) => drop(pools.insert(server, Pool { at, started, kept: P::default() })),
                None => drop(pools.remove(&server)),
            }
        }
        // Prevents what still waits for its connection from starting on a drained real server.
        let mut drained: Vec<Id> = Vec::new();
        for (id, running) in self.running.borrow().iter() {
            if running.stage.get() == Stage::Waiting && !pools.contains_key(&running.server) {
                drained.push(*id);
            }
        }
        drop(pools);
        drained.into_iter().for_each(|id| self.give_up(id, Outcome::TimedOut));
    }
}
