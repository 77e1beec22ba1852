//! The client side: carries schedulings to real servers over pools of connections, one at a time on each, and
//! reports how each ended, once. Nothing is ever sent a second time here.

use super::budget::{Budget, Elsewhere};
use super::http::{BODY, Bad, Body, Head, Kind, MESSAGE, peek_head};
use super::pieces::{self, Once, PIECE, Piece, Pieces};
use super::schedulings::{Ending, Id, Job, Pool, Schedulings, Stage};
use super::server_side::Role;
use super::stream::{connect, read_more};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{ClientSideCommand, Exchange};
use crate::interface::*;
use crate::stats::Stats;
use bytes::{BufMut, Bytes, BytesMut};
use slog::{Logger, debug};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// An idle connection is closed after this part of the time after which a real server may close it.
const IDLE_PART: f64 = 0.8;
/// A connection carries nothing for so long after an answer. Prevents a second answer, which some real servers give
/// milliseconds later (4 at the most were seen), from being taken for that of the next flow: nothing tells whose it is.
const REST: Millis = 20.0;
/// An answer whose length is not told is taken whole if it comes within this, or else passes on as it comes.
const PATIENCE: Millis = 150.0;
/// An answer that passes on and brings nothing for so long has broken off.
const SILENT: Millis = 15_000.0;

/// What is asked of a real server: the head up to its last fields, and the body.
#[derive(Debug, Clone)]
pub struct Question {
    /// Request line and the fields that pass on, each line with its end.
    pub head: Bytes,
    /// The body, or what has come of it.
    pub body: Bytes,
    /// The answer has no body, whatever its head says: it is to HEAD.
    pub bodiless: bool,
    /// How long the body is; where that is not told ahead, its rest goes on in chunks.
    pub length: Option<usize>,
    /// What is still to come of the body.
    pub rest: Option<Once>,
}

/// A real server's answer.
#[derive(Debug)]
pub struct Answer {
    /// Its body, as it came, or the first of it.
    pub body: Bytes,
    /// What the body is.
    pub content_type: Option<Bytes>,
    /// How long the body is, where that is told.
    pub length: Option<usize>,
    /// What is still to come of the body.
    pub rest: Option<Pieces>,
}

type Flows = Exchange<Question, Answer>;
type Work = Job<Question>;
/// The idle connections, the longest idle first.
type Idle = Vec<Resting>;

/// An idle connection.
#[derive(Debug)]
struct Resting {
    since: Millis,
    /// The way to it; once this is dropped, the connection is closed.
    next: oneshot::Sender<Work>,
}

/// What passes between processes at one address.
#[derive(Debug)]
pub struct Links {
    /// Whether this process decides.
    pub role: watch::Receiver<Role>,
    /// Where idle connections go that another process is to have.
    pub passing: mpsc::UnboundedSender<(BackendId, TcpStream)>,
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
        orders: mpsc::UnboundedReceiver<ClientSideCommand<Question>>,
        mut passed: mpsc::UnboundedReceiver<(BackendId, TcpStream)>,
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
    fn start(this: &Rc<Self>, server: BackendId, mut job: Work) {
        let mut pools = this.schedulings.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&server) else {
            return this.schedulings.ended(job.id, Ending::badly(Outcome::ConnectFailed));
        };
        // The one that was used last of those that have rested: others grow old and close.
        let rested = this.deadlines.clock().now() - REST;
        while let Some(i) = pool.kept.iter().rposition(|idle| idle.since <= rested) {
            // One that has just ended gives the job back, unwritten.
            match pool.kept.remove(i).next.send(job) {
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
            return this.schedulings.ended(job.id, Ending::badly(Outcome::NotSent));
        }
        spawn_local(connection(Open::new(this), server, at, job));
    }

    /// Keeps an idle connection that another process had.
    fn adopt(this: &Rc<Self>, server: BackendId, stream: TcpStream) {
        let at = this.schedulings.pools.borrow().get(&server).map(|pool| pool.at);
        if let Some(at) = at.filter(|at| stream.peer_addr().is_ok_and(|peer| peer == *at))
            && let Some(next) = this.park(server, at, this.deadlines.clock().now())
        {
            spawn_local(life(Open::new(this), (server, at), stream, Then::Wait(next)));
        }
    }

    /// Puts a connection by that has been idle since then; none where its real server is not to have any.
    fn park(&self, server: BackendId, at: SocketAddr, since: Millis) -> Option<oneshot::Receiver<Work>> {
        let mut pools = self.schedulings.pools.borrow_mut();
        let pool = pools.get_mut(&server).filter(|pool| pool.at == at)?;
        let (next, coming) = oneshot::channel();
        pool.kept.retain(|idle| !idle.next.is_closed());
        let place = pool.kept.partition_point(|idle| idle.since <= since);
        pool.kept.insert(place, Resting { since, next });
        Some(coming)
    }
}

/// Closes the oldest idle connection of the pool that has most; false where none is idle.
fn evict(pools: &mut BTreeMap<BackendId, Pool<Idle>>) -> bool {
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

/// A job as a connection carries it.
struct Carried<'a> {
    id: Id,
    question: &'a Question,
    wait: Millis,
    by: Option<Millis>,
    stage: &'a Cell<Stage>,
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
async fn connection(open: Open, server: BackendId, at: SocketAddr, mut job: Work) {
    let side = open.0.clone();
    let within = job.time_left(&side.deadlines.clock()).unwrap_or(f64::INFINITY);
    let within = within.min(side.site.connect_timeout);
    let connected = tokio::select! {
        biased;
        _ = &mut job.given_up => return,
        connected = side.deadlines.within(within, connect(at)) => connected,
    };
    match connected {
        Some(Ok(stream)) => life(open, (server, at), stream, Then::Carry(job)).await,
        _ => side.schedulings.ended(job.id, Ending::badly(Outcome::ConnectFailed)),
    }
}

/// A connection's life: jobs, and the time between them.
async fn life(open: Open, (server, at): (BackendId, SocketAddr), mut stream: TcpStream, mut then: Then) {
    let side = open.0.clone();
    let mut buffer = BytesMut::new();
    loop {
        then = match then {
            Then::Carry(mut job) => {
                let Job { id, ref question, wait, by, ref stage, .. } = job;
                let carried = Carried { id, question, wait, by, stage };
                let (ending, reusable) = tokio::select! {
                    biased;
                    _ = &mut job.given_up => return,
                    went = side.carry(&mut stream, &mut buffer, at, &carried) => went,
                };
                let now = side.deadlines.clock().now();
                let next = if reusable { side.park(server, at, now) } else { None };
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
    server: BackendId,
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
        Ok(_) = role.wait_for(|role| *role == Role::Retiring) => Then::Pass,
        () = side.deadlines.sleep(side.site.backend_idle_timeout * IDLE_PART) => Then::End,
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
        job: &Carried<'_>,
    ) -> Went {
        let mut early = false;
        match self.ask(stream, buffer, at, job).await {
            Ok(Asked::Whole) => {}
            Ok(Asked::Early) => early = true,
            Err(outcome) => return badly(outcome),
        }
        let (ending, reusable) = self.hear(stream, buffer, job.id, job.question).await;
        if early && ending.outcome == Outcome::Served {
            // Nobody can have made it for a request that had not come.
            return badly(Outcome::Error);
        }
        (ending, reusable && !early)
    }

    /// Writes a question, to its last byte unless it is answered before.
    async fn ask(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        at: SocketAddr,
        Carried { question, wait, by, stage, .. }: &Carried<'_>,
    ) -> Result<Asked, Outcome> {
        let rest = match &question.rest {
            // What has gone once is not kept.
            Some(once) => Some(once.take().ok_or(Outcome::NotSent)?),
            None => None,
        };
        let wait = wait.max(1.0) as u64;
        let fields = format!("Host: {at}\r\nRequest-Timeout-Ms: {wait}\r\n\r\n");
        let chunked = rest.is_some() && question.length.is_none();
        let mut bytes =
            BytesMut::with_capacity(question.head.len() + fields.len() + question.body.len() + 16);
        bytes.extend_from_slice(&question.head);
        bytes.extend_from_slice(fields.as_bytes());
        frame(&mut bytes, &question.body, chunked);
        // Prevents a repeat that waited for its connection, or for the real server to read, from running too late.
        let left = by.map(|by| by - self.deadlines.clock().now());
        if left.is_some_and(|left| left <= 0.0) {
            return Err(Outcome::ConnectFailed);
        }
        stage.set(Stage::Writing);
        let written = match left {
            Some(left) => self.deadlines.within(left, stream.write_all(&bytes)).await,
            None => Some(stream.write_all(&bytes).await),
        };
        drop(bytes);
        if !matches!(written, Some(Ok(()))) {
            return Err(Outcome::ConnectFailed);
        }
        if let Some(mut rest) = rest {
            let mut missing = question.length.map(|length| length.saturating_sub(question.body.len()));
            // With its last byte written it may run, whether or not its client has said yet that it is the last.
            while missing != Some(0) {
                let piece = tokio::select! {
                    biased;
                    piece = rest.recv() => piece,
                    more = read_more(stream, buffer) => match more {
                        Ok(true) => return Ok(Asked::Early),
                        _ => return Err(Outcome::ConnectFailed),
                    },
                };
                let mut bytes = BytesMut::new();
                match &piece {
                    Some(Piece::Data(data)) => {
                        frame(&mut bytes, data, chunked);
                        missing = missing.map(|missing| missing.saturating_sub(data.len()));
                    }
                    Some(Piece::End) => {
                        bytes.extend_from_slice(if chunked { b"0\r\n\r\n" } else { b"" });
                        missing = Some(0);
                    }
                    // Its client has broken off.
                    None => return Err(Outcome::ConnectFailed),
                }
                stream.write_all(&bytes).await.map_err(|_| Outcome::ConnectFailed)?;
            }
        }
        stage.set(Stage::Written);
        self.stats.written();
        Ok(Asked::Whole)
    }

    /// Reads an answer: a short one whole, of a long one the first pieces go on while the others come.
    async fn hear(&self, stream: &mut TcpStream, buffer: &mut BytesMut, id: Id, question: &Question) -> Went {
        let (mut held, mut ahead) = (self.budget.hold(), 0);
        let head = loop {
            match peek_head(buffer, Kind::Response) {
                // What a server says ahead of its answer is no answer; 101 would leave HTTP, which nobody asked for.
                Ok(Some((head, length))) if matches!(head.status(), 100 | 102..200) => {
                    drop(buffer.split_to(length));
                    ahead += length;
                    continue;
                }
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    break head;
                }
                // Prevents what goes on for ever ahead of an answer from taking time or memory.
                Ok(None) if ahead <= MESSAGE => {}
                // Garbage: it may have run.
                Ok(None) | Err(Bad::Malformed | Bad::BodyTooLarge | Bad::HeadTooLarge) => {
                    return badly(Outcome::Error);
                }
            }
            match read_more(stream, buffer).await {
                Ok(true) => {}
                _ => return badly(Outcome::Reset),
            }
        };
        let mut body = if question.bodiless { Body::none() } else { Body::of(&head) };
        let (mut taken, long) = (BytesMut::new(), head.length().is_some_and(|length| length > BODY));
        let mut patience = std::pin::pin!(self.deadlines.sleep(PATIENCE));
        let mut waited = false;
        loop {
            match body.take(buffer, BODY) {
                Ok(Some(data)) => {
                    taken.extend_from_slice(&data);
                    if taken.len() <= BODY && !long {
                        continue;
                    }
                }
                Ok(None) if body.done() => {
                    return judge(&head, taken.freeze(), buffer.is_empty(), &self.site);
                }
                Ok(None) => {}
                Err(_) => return badly(Outcome::Error),
            }
            let some = !taken.is_empty() && (long || taken.len() > BODY || waited && head.length().is_none());
            if some || !held.grow(taken.len() + buffer.len()) {
                if head.status() != 200 {
                    return badly(Outcome::Error);
                }
                drop(held);
                let went = (body, taken.freeze());
                return self.pass_on(stream, buffer, id, &head, went).await;
            }
            let more = tokio::select! {
                more = read_more(stream, buffer) => more,
                () = &mut patience, if !waited => {
                    waited = true;
                    continue;
                }
            };
            match more {
                Ok(true) => {}
                Ok(false) if body.ended() => {}
                _ => return badly(Outcome::Reset),
            }
        }
    }

    /// Passes an answer on in pieces, as fast as its client takes them.
    async fn pass_on(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        id: Id,
        head: &Head,
        (mut body, first): (Body, Bytes),
    ) -> Went {
        let (pieces, rest) = pieces::way();
        let load = load(head, &self.site.load_report_names);
        let answer =
            Answer { body: first, content_type: kind(head), length: head.length(), rest: Some(rest) };
        if !self.schedulings.began(id, answer) {
            return badly(Outcome::Cancelled);
        }
        let end = |outcome| Ending { outcome, load, answer: None };
        loop {
            match body.take(buffer, PIECE) {
                Ok(Some(data)) => {
                    if pieces.send(Piece::Data(data)).await.is_err() {
                        return (end(Outcome::Cancelled), false);
                    }
                    continue;
                }
                Ok(None) if body.done() => {
                    let _ = pieces.send(Piece::End).await;
                    return (end(Outcome::Served), !head.close && buffer.is_empty());
                }
                Ok(None) => {}
                Err(_) => return (end(Outcome::Error), false),
            }
            buffer.reserve(PIECE);
            let mut room = (&mut *buffer).limit(PIECE);
            let read = tokio::select! {
                read = self.deadlines.within(SILENT, stream.read_buf(&mut room)) => read,
                () = pieces.closed() => return (end(Outcome::Cancelled), false),
            };
            match read {
                Some(Ok(n)) if n > 0 => {}
                Some(Ok(_)) if body.ended() => {}
                _ => return (end(Outcome::Reset), false),
            }
        }
    }
}

/// How far a question was written.
enum Asked {
    /// To its last byte.
    Whole,
    /// Not so far: something was answered before.
    Early,
}

/// Appends data, as a chunk of its own where the body comes in such.
fn frame(bytes: &mut BytesMut, data: &[u8], chunked: bool) {
    if !chunked {
        return bytes.extend_from_slice(data);
    }
    if !data.is_empty() {
        bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn kind(head: &Head) -> Option<Bytes> {
    head.get("content-type").map(Bytes::copy_from_slice)
}

fn judge(head: &Head, body: Bytes, nothing_left: bool, site: &Site) -> Went {
    let never_ran = head.get("not-started").is_some_and(|value| value.trim_ascii() == b"1");
    let outcome = match head.status() {
        200 => Outcome::Served,
        503 | 504 if never_ran => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let load = load(head, &site.load_report_names);
    // A status that no real server has to give is garbage: nobody knows what follows it.
    let known = matches!(head.status(), 200 | 500 | 503 | 504);
    let reusable = !head.close && nothing_left && known;
    let answer = Answer { body, content_type: kind(head), length: head.length(), rest: None };
    (Ending { outcome, load, answer: (outcome == Outcome::Served).then_some(answer) }, reusable)
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
