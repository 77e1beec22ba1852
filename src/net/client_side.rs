//! The client side: carries schedulings to real servers over pools of connections, one at a time on each, and
//! reports how each ended, once. Nothing is ever sent a second time here.

use super::budget::{Budget, Elsewhere};
use super::http::{Bad, Head, Kind, MESSAGE, Message, take_message};
use super::schedulings::{Ending, Job, Pool, Schedulings, Stage};
use super::server_side::Role;
use super::stream::{connect, read_more};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, Order};
use crate::interface::*;
use crate::stats::Stats;
use bytes::{Bytes, BytesMut};
use slog::{Logger, debug};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
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
type Work = Job<Question>;
/// The ways to idle connections; once one is dropped, its connection is closed.
type Idle = Vec<oneshot::Sender<Work>>;

/// What passes between processes at one address.
#[derive(Debug)]
pub struct Links {
    /// Whether this process decides.
    pub role: watch::Receiver<Role>,
    /// Where idle connections go that another process is to have.
    pub passing: mpsc::UnboundedSender<(ServerId, TcpStream)>,
    /// What another process has still open.
    pub elsewhere: Elsewhere,
    /// What is open here.
    pub open: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Inner {
    schedulings: Schedulings<Question, Answer, Idle>,
    links: Links,
    most: usize,
    budget: Budget,
    deadlines: Deadlines,
    site: Site,
    stats: Arc<Stats>,
    log: Logger,
}

/// The client side of the platform's front.
#[derive(Debug)]
pub struct ClientSide(Rc<Inner>);

impl ClientSide {
    /// A client side that opens this many connections at the most, whose answers fit a budget.
    pub fn new(
        exchange: Flows,
        deadlines: Deadlines,
        site: Site,
        (most, budget): (usize, Budget),
        stats: Arc<Stats>,
        links: Links,
        log: Logger,
    ) -> Self {
        let schedulings = Schedulings::new(exchange);
        Self(Rc::new(Inner { schedulings, links, most, budget, deadlines, site, stats, log }))
    }

    /// Carries out orders until there are no more.
    pub async fn run(
        self,
        orders: mpsc::UnboundedReceiver<Order<Question>>,
        mut passed: mpsc::UnboundedReceiver<(ServerId, TcpStream)>,
    ) {
        let adopting = async {
            while let Some((server, stream)) = passed.recv().await {
                Inner::adopt(&self.0, server, stream);
            }
            std::future::pending().await
        };
        let orders = self.0.schedulings.run(orders, |server, job| Inner::start(&self.0, server, job));
        tokio::select! {
            () = orders => {}
            () = adopting => {}
        }
    }
}

impl Inner {
    fn start(this: &Rc<Self>, server: ServerId, mut job: Work) {
        let mut pools = this.schedulings.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else {
            return this.schedulings.ended(job.id, Ending::badly(Outcome::ConnectFailed));
        };
        while let Some(idle) = pool.kept.pop() {
            // One that has just ended gives the job back, unwritten.
            match idle.send(job) {
                Ok(()) => return,
                Err(back) => job = back,
            }
        }
        let at = pool.at;
        // What another process still holds counts here, too, but must not take all.
        let most = this.most - this.links.elsewhere.get().min(this.most * 3 / 4);
        if this.links.open.get() >= most && !evict(&mut pools) {
            debug!(this.log, "no descriptor for a connection to a real server"; "real_server" => %at);
            // Prevents a real server from being taken for unreachable, or full, for want of room here.
            return this.schedulings.ended(job.id, Ending::badly(Outcome::Moot));
        }
        spawn_local(connection(Open::new(this), server, at, job));
    }

    /// Keeps an idle connection that another process had.
    fn adopt(this: &Rc<Self>, server: ServerId, stream: TcpStream) {
        let at = this.schedulings.pools.borrow().get(&server).map(|pool| pool.at);
        if let Some(at) = at.filter(|at| stream.peer_addr().is_ok_and(|peer| peer == *at))
            && let Some(next) = this.park(server, at)
        {
            spawn_local(life(Open::new(this), (server, at), stream, Then::Wait(next)));
        }
    }

    /// Puts a connection by for the next job; none where its real server is not to have any.
    fn park(&self, server: ServerId, at: SocketAddr) -> Option<oneshot::Receiver<Work>> {
        let mut pools = self.schedulings.pools.borrow_mut();
        let pool = pools.get_mut(&server).filter(|pool| pool.at == at)?;
        let (idle, next) = oneshot::channel();
        pool.kept.retain(|idle| !idle.is_closed());
        pool.kept.push(idle);
        Some(next)
    }
}

/// Closes the oldest idle connection of the pool that has most; false where none is idle.
fn evict(pools: &mut BTreeMap<ServerId, Pool<Idle>>) -> bool {
    let most = pools.values_mut().max_by_key(|pool| pool.kept.len()).filter(|pool| !pool.kept.is_empty());
    most.map(|pool| pool.kept.remove(0)).is_some()
}

/// An open connection's share in the count.
struct Open(Rc<Inner>);

impl Open {
    fn new(side: &Rc<Inner>) -> Self {
        side.links.open.set(side.links.open.get() + 1);
        Self(side.clone())
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.links.open.set(self.0.links.open.get() - 1);
    }
}

/// How a job went on a connection, and whether that can carry another.
type Went = (Ending<Answer>, bool);

fn badly(outcome: Outcome) -> Went {
    (Ending::badly(outcome), false)
}

/// What follows on a connection.
enum Then {
    /// It carries a job.
    Carry(Work),
    /// It waits for the next one.
    Wait(oneshot::Receiver<Work>),
    /// Another process is to have it.
    Pass,
    /// It ends.
    End,
}

/// Opens a connection for its first job.
async fn connection(open: Open, server: ServerId, at: SocketAddr, mut job: Work) {
    let side = open.0.clone();
    let connected = tokio::select! {
        biased;
        _ = &mut job.given_up => return,
        connected = side.deadlines.within(side.site.connect_timeout, connect(at)) => connected,
    };
    match connected {
        Some(Ok(stream)) => life(open, (server, at), stream, Then::Carry(job)).await,
        _ => side.schedulings.ended(job.id, Ending::badly(Outcome::ConnectFailed)),
    }
}

/// A connection's life: jobs, and the time between them.
async fn life(open: Open, (server, at): (ServerId, SocketAddr), mut stream: TcpStream, mut then: Then) {
    let side = open.0.clone();
    let mut buffer = BytesMut::new();
    loop {
        then = match then {
            Then::Carry(mut job) => {
                let (ending, reusable) = tokio::select! {
                    biased;
                    _ = &mut job.given_up => return,
                    went = side.carry(&mut stream, &mut buffer, at, (&job.question, job.wait, &job.stage)) => went,
                };
                let next = if reusable { side.park(server, at) } else { None };
                side.schedulings.ended(job.id, ending);
                next.map_or(Then::End, Then::Wait)
            }
            Then::Wait(next) => wait(&side, server, &mut stream, &mut buffer, next).await,
            Then::Pass => return drop(side.links.passing.send((server, stream))),
            Then::End => return,
        };
    }
}

/// Waits on an idle connection for the next job that it is to carry.
async fn wait(
    side: &Rc<Inner>,
    server: ServerId,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    mut next: oneshot::Receiver<Work>,
) -> Then {
    let mut role = side.links.role.clone();
    let then = tokio::select! {
        biased;
        // The real server closes it, or says what nobody asked.
        _ = read_more(stream, buffer) => Then::End,
        coming = &mut next => return match coming {
            Ok(coming) if quiet(stream) => Then::Carry(coming),
            // Prevents what came behind the last answer from being taken for the next flow's.
            Ok(coming) => {
                Inner::start(side, server, coming);
                Then::End
            }
            Err(_) => Then::End,
        },
        Ok(_) = role.wait_for(|role| *role == Role::Gone) => Then::Pass,
        () = side.deadlines.sleep(side.site.conn_idle * IDLE_PART) => Then::End,
    };
    // A job that was handed over as the connection ended: nothing of it was written.
    next.close();
    if let Ok(job) = next.try_recv() {
        Inner::start(side, server, job);
    }
    then
}

/// Whether nothing has come on an idle connection, asked of the system itself: the runtime may not have seen yet
/// what came since it last waited.
fn quiet(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

impl Inner {
    /// Writes a question and reads its answer.
    async fn carry(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        at: SocketAddr,
        (question, wait, stage): (&Question, Millis, &Cell<Stage>),
    ) -> Went {
        let wait = wait.max(1.0) as u64;
        let rest = format!("Host: {at}\r\nRequest-Timeout-Ms: {wait}\r\n\r\n");
        let mut bytes = BytesMut::with_capacity(question.head.len() + rest.len() + question.body.len());
        bytes.extend_from_slice(&question.head);
        bytes.extend_from_slice(rest.as_bytes());
        bytes.extend_from_slice(&question.body);
        stage.set(Stage::Writing);
        if stream.write_all(&bytes).await.is_err() {
            return badly(Outcome::ConnectFailed);
        }
        drop(bytes);
        stage.set(Stage::Written);
        self.stats.written();
        let (mut held, mut read) = (self.budget.hold(), 0);
        loop {
            let before = buffer.len();
            let ended = match read_more(stream, buffer).await {
                Ok(more) => !more,
                Err(_) => return badly(Outcome::Reset),
            };
            read += buffer.len() - before;
            match take_message(buffer, Kind::Response, ended) {
                Ok(Some(message)) => return judge(message, buffer.is_empty(), &self.site),
                Ok(None) if ended => return badly(Outcome::Reset),
                // Prevents answers that go on for ever, if only ahead of themselves, from taking time or memory.
                Ok(None) if read <= MESSAGE && held.grow(buffer.len()) => {}
                // Garbage, or more than fits: it may have run.
                Ok(None) | Err(Bad::Malformed | Bad::BodyTooLarge | Bad::HeadTooLarge) => {
                    return badly(Outcome::Error);
                }
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
    // A status that no real server has to give is garbage: nobody knows what follows it.
    let known = matches!(head.status(), 200 | 500 | 503 | 504);
    let reusable = !head.close && nothing_left && known;
    let answer = (outcome == Outcome::Served).then_some(Answer { body: message.body, content_type });
    (Ending { outcome, load, answer }, reusable)
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
