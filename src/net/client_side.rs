//! The client side: carries schedulings to real servers over pools of connections, one at a time on each, and
//! reports how each ended, once. Nothing is ever sent a second time here.

use super::http::{Bad, Head, Kind, Message, take_message};
use super::stream::{connect, read_more};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, News, Order, Report};
use crate::interface::*;
use crate::net::discovery::List;
use bytes::{Bytes, BytesMut};
use slog::{Logger, debug};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio::task::spawn_local;

/// An idle connection is closed after this part of the time after which a real server may close it.
const IDLE_PART: f64 = 0.8;

/// What is asked of a real server: the head up to its last fields, and the body.
#[derive(Debug, Clone)]
pub struct Question {
    /// Request line and the fields that pass on, each line with its end.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
}

/// A real server's answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Answer {
    /// Its body, as it came.
    pub body: Bytes,
    /// What the body is.
    pub content_type: Option<Bytes>,
}

type Flows = Exchange<Question, Answer>;
type Id = (RequestId, AttemptNo);

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Stage {
    /// Nothing was written yet: it waits for its connection.
    Waiting,
    /// Part of it may be written.
    Writing,
    /// Its last byte is written: it may run.
    Written,
}

#[derive(Debug)]
struct Job {
    id: Id,
    question: Question,
    wait: Millis,
    stage: Rc<Cell<Stage>>,
    given_up: oneshot::Receiver<()>,
}

#[derive(Debug)]
struct Running {
    server: ServerId,
    stage: Rc<Cell<Stage>>,
    /// Once this is dropped its connection is closed, before anything else is done on it.
    _go_on: oneshot::Sender<()>,
}

/// The way to an idle connection; once it is dropped the connection is closed.
type Idle = oneshot::Sender<Job>;

#[derive(Debug)]
struct Pool {
    at: SocketAddr,
    started: Option<Millis>,
    idle: Vec<Idle>,
}

#[derive(Debug)]
struct Inner {
    pools: RefCell<BTreeMap<ServerId, Pool>>,
    running: RefCell<HashMap<Id, Running>>,
    open: Cell<usize>,
    most: usize,
    exchange: Flows,
    deadlines: Deadlines,
    site: Site,
    log: Logger,
}

/// The client side of the platform's front.
#[derive(Debug)]
pub struct ClientSide(Rc<Inner>);

impl ClientSide {
    /// A client side that opens this many connections at the most.
    pub fn new(exchange: Flows, deadlines: Deadlines, site: Site, most: usize, log: Logger) -> Self {
        let (pools, running, open) = Default::default();
        Self(Rc::new(Inner { pools, running, open, most, exchange, deadlines, site, log }))
    }

    /// Carries out orders until there are no more.
    pub async fn run(self, mut orders: mpsc::UnboundedReceiver<Order<Question>>) {
        while let Some(order) = orders.recv().await {
            match order {
                Order::Start { flow, no, server, question, wait } => {
                    let stage = Rc::new(Cell::new(Stage::Waiting));
                    let (go_on, given_up) = oneshot::channel();
                    let running = Running { server, stage: stage.clone(), _go_on: go_on };
                    self.0.running.borrow_mut().insert((flow, no), running);
                    Inner::start(&self.0, server, Job { id: (flow, no), question, wait, stage, given_up });
                }
                Order::GiveUp(flow, no, outcome) => self.0.give_up((flow, no), outcome),
                Order::List(list) => self.0.list(&list),
            }
        }
    }
}

impl Inner {
    fn start(this: &Rc<Self>, server: ServerId, mut job: Job) {
        let mut pools = this.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else {
            return this.ended(job.id, Outcome::ConnectFailed, Load::default(), None);
        };
        while let Some(idle) = pool.idle.pop() {
            // One that has just ended gives the job back, unwritten.
            match idle.send(job) {
                Ok(()) => return,
                Err(back) => job = back,
            }
        }
        let at = pool.at;
        if this.open.get() >= this.most && !evict(&mut pools) {
            debug!(this.log, "no descriptor for a connection to a real server"; "real_server" => %at);
            return this.ended(job.id, Outcome::ConnectFailed, Load::default(), None);
        }
        this.open.set(this.open.get() + 1);
        spawn_local(connection(Open(this.clone()), server, at, job));
    }

    fn give_up(&self, id: Id, outcome: Outcome) {
        let Some(running) = self.running.borrow_mut().remove(&id) else { return };
        // What was not written whole has never run, whatever it was given up for.
        let unwritten = running.stage.get() != Stage::Written && outcome == Outcome::TimedOut;
        let outcome = if unwritten { Outcome::ConnectFailed } else { outcome };
        self.report(id, outcome, Load::default(), None);
    }

    /// Reports the end of a scheduling that is no longer running.
    fn report(&self, id: Id, outcome: Outcome, load: Load, answer: Option<Answer>) {
        let (flow, no) = id;
        self.exchange.tell(News::Ended(Report { flow, no, outcome, load, answer }));
    }

    /// A connection tells how its job ended, unless that was given up meanwhile.
    fn ended(&self, id: Id, outcome: Outcome, load: Load, answer: Option<Answer>) {
        if self.running.borrow_mut().remove(&id).is_some() {
            self.report(id, outcome, load, answer);
        }
    }

    fn list(&self, list: &List) {
        let mut pools = self.pools.borrow_mut();
        if list.whole {
            pools.retain(|id, _| list.entries.iter().any(|e| e.entry.server == *id));
        }
        for e in &list.entries {
            let (server, started) = (e.entry.server, e.entry.last_start);
            match e.at.filter(|_| e.entry.state == ServerState::Ready) {
                Some(at) if pools.get(&server).is_some_and(|p| (p.at, p.started) == (at, started)) => {}
                // A real server that moved or started anew has none of the connections any more.
                Some(at) => drop(pools.insert(server, Pool { at, started, idle: Vec::new() })),
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

    /// Puts a connection by for the next job; none where its real server is not to have any.
    fn park(&self, server: ServerId, at: SocketAddr) -> Option<oneshot::Receiver<Job>> {
        let mut pools = self.pools.borrow_mut();
        let pool = pools.get_mut(&server).filter(|pool| pool.at == at)?;
        let (idle, next) = oneshot::channel();
        pool.idle.retain(|idle| !idle.is_closed());
        pool.idle.push(idle);
        Some(next)
    }
}

/// Closes the oldest idle connection of the pool that has most; false where none is idle.
fn evict(pools: &mut BTreeMap<ServerId, Pool>) -> bool {
    let most = pools.values_mut().max_by_key(|pool| pool.idle.len()).filter(|pool| !pool.idle.is_empty());
    most.map(|pool| pool.idle.remove(0)).is_some()
}

/// An open connection's share in the count.
struct Open(Rc<Inner>);

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
    }
}

/// How a job went on a connection.
struct Went {
    outcome: Outcome,
    load: Load,
    answer: Option<Answer>,
    /// The connection can carry another.
    reusable: bool,
}

impl Went {
    fn badly(outcome: Outcome) -> Self {
        Self { outcome, load: Load::default(), answer: None, reusable: false }
    }
}

/// A connection's life: its first job, and those that come while it is idle.
async fn connection(open: Open, server: ServerId, at: SocketAddr, mut job: Job) {
    let side = open.0.clone();
    let connected = tokio::select! {
        biased;
        _ = &mut job.given_up => return,
        connected = side.deadlines.within(side.site.connect_timeout, connect(at)) => connected,
    };
    let Some(Ok(mut stream)) = connected else {
        return side.ended(job.id, Outcome::ConnectFailed, Load::default(), None);
    };
    let mut buffer = BytesMut::new();
    loop {
        let id = job.id;
        let went = tokio::select! {
            biased;
            _ = &mut job.given_up => return,
            went = carry(&mut stream, &mut buffer, at, &job.question, job.wait, &job.stage, &side.site) => went,
        };
        let next = if went.reusable { side.park(server, at) } else { None };
        side.ended(id, went.outcome, went.load, went.answer);
        let Some(mut next) = next else { return };
        tokio::select! {
            biased;
            // The real server closes it, or says what nobody asked.
            _ = read_more(&mut stream, &mut buffer) => {}
            coming = &mut next => match coming {
                Ok(coming) => {
                    job = coming;
                    continue;
                }
                Err(_) => return,
            },
            () = side.deadlines.sleep(side.site.conn_idle * IDLE_PART) => {}
        }
        // A job that was handed over as the connection ended: nothing of it was written.
        next.close();
        if let Ok(job) = next.try_recv() {
            Inner::start(&side, server, job);
        }
        return;
    }
}

/// Writes a question and reads its answer.
async fn carry(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    at: SocketAddr,
    question: &Question,
    wait: Millis,
    stage: &Cell<Stage>,
    site: &Site,
) -> Went {
    let rest = format!("Host: {at}\r\nRequest-Timeout-Ms: {}\r\n\r\n", wait.max(1.0) as u64);
    let mut bytes = BytesMut::with_capacity(question.head.len() + rest.len() + question.body.len());
    bytes.extend_from_slice(&question.head);
    bytes.extend_from_slice(rest.as_bytes());
    bytes.extend_from_slice(&question.body);
    stage.set(Stage::Writing);
    if stream.write_all(&bytes).await.is_err() {
        return Went::badly(Outcome::ConnectFailed);
    }
    stage.set(Stage::Written);
    loop {
        let ended = match read_more(stream, buffer).await {
            Ok(more) => !more,
            Err(_) => return Went::badly(Outcome::Reset),
        };
        match take_message(buffer, Kind::Response, ended) {
            Ok(Some(message)) => return judge(message, buffer.is_empty(), site),
            Ok(None) if ended => return Went::badly(Outcome::Reset),
            Ok(None) => {}
            // Garbage, or more than a body may hold: it may have run.
            Err(Bad::Malformed | Bad::BodyTooLarge | Bad::HeadTooLarge) => {
                return Went::badly(Outcome::Error);
            }
        }
    }
}

fn judge(message: Message, nothing_left: bool, site: &Site) -> Went {
    let head = &message.head;
    let never_ran = head.get("not-started").is_some_and(|value| value.trim_ascii() == b"1");
    let outcome = match head.status() {
        200 => Outcome::Served,
        503 | 504 if never_ran => Outcome::Full,
        _ => Outcome::Error,
    };
    let content_type = head.get("content-type").map(Bytes::copy_from_slice);
    let load = load(head, &site.load_names);
    let reusable = !head.close && nothing_left;
    let answer = (outcome == Outcome::Served).then_some(Answer { body: message.body, content_type });
    Went { outcome, load, answer, reusable }
}

/// The load report that an answer carries, as far as it can be read.
fn load(head: &Head, names: &[String]) -> Load {
    let mut load = Load::default();
    let Some(text) = head.get("server-load").and_then(|value| std::str::from_utf8(value).ok()) else {
        return load;
    };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else { continue };
        // The settings and the header may call the same thing by its long or its short name.
        let (short, field) = match name.trim() {
            "inflight" | "rif" => ("rif", &mut load.in_flight),
            "queue" | "q" => ("q", &mut load.queued),
            "util" | "busy" => ("busy", &mut load.busy),
            "latency_ms" | "lat_ms" => ("lat_ms", &mut load.latency),
            "qps" | "rate" => ("rate", &mut load.rate),
            "eps" | "fail_rate" => ("fail_rate", &mut load.error_rate),
            _ => continue,
        };
        if names.iter().any(|known| known == short || known == name.trim()) {
            *field = Some(value);
        }
    }
    load
}
