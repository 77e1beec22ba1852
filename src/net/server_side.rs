//! The server side: takes flows in from clients over HTTP/1.1, awaits their verdicts at the exchange and writes
//! the answers. What a flow means is read by the front, in `fronts::platform`.

use super::budget::{Budget, Held};
use super::client_side::{Answer, Question};
use super::http::{Bad, HEAD, Kind, Message, take_message};
use super::stream::read_more;
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, Terms, Verdict};
use crate::interface::Millis;
use crate::stats::{End, Stats, Taken};
use bytes::{BufMut, Bytes, BytesMut};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// A client's connection is closed when idle for this long: many ask once and stay.
const IDLE: Millis = 5000.0;
/// A client's first message is to be whole so long after it has connected, any other after its first byte. Bad
/// clients are owed an error or a close within 3 s, silence included.
const SLOW: Millis = 2500.0;
/// A client that takes no bytes of its answer for this long is done without.
const STALLED: Millis = 5000.0;
/// After its last answer a connection is read out until it is silent for the first, at the most for the second.
const LINGER: [Millis; 2] = [500.0, 5000.0];
/// Nothing is sent this fast but by the way: what has no whole message after this may be closed for new ones.
const YOUNG: Millis = 100.0;
/// So far below the most spare connections begin to be closed for new ones.
const HEADROOM: usize = 4;
/// Bytes read out at a time.
const SCRATCH: usize = 64 * 1024;

/// What the front makes of a message.
#[derive(Debug)]
pub enum Asked {
    /// A flow, and its id.
    Flow(Terms, Question, Bytes),
    /// Whether the program is ready.
    Ready,
    /// It is answered with this status: no flow, or one that cannot be read.
    Wrong(u16, &'static str),
}

/// How far the program is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It starts: not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to stop and still serves what comes.
    Stopping,
    /// It closes every connection after its answer.
    Draining,
}

/// Whether an operator sends the clients of this instance away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drain {
    /// No.
    No,
    /// Yes, and so far only `/ready` says it.
    Announced,
    /// Every connection is closed after its answer, and idle ones at once.
    Closing,
}

/// Which of two processes at one address this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It comes next, and waits for what the other one has.
    Waiting,
    /// It decides.
    Active,
    /// It has handed all over, and ends what it has out.
    Gone,
}

/// What the server side goes by.
#[derive(Debug, Clone)]
pub struct Signals {
    /// Whether this process takes flows.
    pub role: watch::Receiver<Role>,
    /// How far the program is.
    pub phase: watch::Receiver<Phase>,
    /// Whether clients are sent away.
    pub drain: watch::Receiver<Drain>,
}

/// A client's connection between answers, on its way to another process.
#[derive(Debug)]
pub struct Passing {
    /// The connection.
    pub stream: TcpStream,
    /// What has come of a message.
    pub bytes: BytesMut,
    /// It has brought flows.
    pub flows: bool,
    /// How long ago its message began, where one has.
    pub age: Option<Millis>,
}

/// The server side of the platform's front.
#[derive(Debug)]
pub struct ServerSide<F> {
    shared: Rc<Shared<F>>,
}

#[derive(Debug)]
struct Shared<F> {
    read: F,
    exchange: Exchange<Question, Answer>,
    deadlines: Deadlines,
    signals: Signals,
    stats: Arc<Stats>,
    room: Room,
    retry_after: Millis,
    open: Cell<usize>,
    closed: Notify,
    /// Connections that may be closed for others, the oldest first: those that never brought a flow, and those that
    /// are idle after one. One is closed by dropping its sender.
    spare: RefCell<[BTreeMap<u64, Spare>; 2]>,
    turns: Cell<u64>,
    /// Where connections go that another process is to have.
    passing: mpsc::UnboundedSender<Passing>,
    /// The ids of the flows that are open.
    ids: RefCell<HashSet<Bytes>>,
    /// Where bytes go that nobody wants.
    scratch: RefCell<Vec<u8>>,
    log: Logger,
}

/// What the server side may hold.
#[derive(Debug)]
pub struct Room {
    /// Connections whose flows are taken.
    pub connections: usize,
    /// Connections beyond these, for turning their flows away.
    pub turned_away: usize,
    /// Connections that are idle after a flow.
    pub idle: usize,
    /// Bytes of messages.
    pub budget: Budget,
}

#[derive(Debug)]
struct Spare {
    since: Millis,
    /// Nothing of a message has come.
    idle: bool,
    _close: oneshot::Sender<()>,
}

impl<F: Fn(&Message) -> Asked + 'static> ServerSide<F> {
    /// A server side that reads messages by `read` and holds `most` connections.
    pub fn new(
        read: F,
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        (signals, passing): (Signals, mpsc::UnboundedSender<Passing>),
        stats: Arc<Stats>,
        (room, retry_after): (Room, Millis),
        log: Logger,
    ) -> Self {
        let (open, closed, spare, turns, ids) = Default::default();
        let scratch = RefCell::new(vec![0; SCRATCH]);
        Self {
            shared: Rc::new(Shared {
                read,
                exchange,
                deadlines,
                signals,
                stats,
                room,
                retry_after,
                open,
                closed,
                spare,
                turns,
                passing,
                ids,
                scratch,
                log,
            }),
        }
    }

    /// Takes connections in, and those that another process passes on, until it drains and the last one is closed.
    pub async fn run(self, listener: TcpListener, mut passed: mpsc::UnboundedReceiver<Passing>) {
        let shared = self.shared;
        let Signals { mut role, mut phase, mut drain } = shared.signals.clone();
        let hard = shared.room.connections + shared.room.turned_away;
        loop {
            let active = *role.borrow_and_update() == Role::Active;
            let crowded = shared.crowded();
            if crowded > 0 && shared.make_room(crowded) {
                // They close before others are taken.
                tokio::task::yield_now().await;
            }
            tokio::select! {
                // Prevents a flood of connections from using up the descriptors kept for real servers.
                // Nor are flows turned away while room is soon to be had.
                accepted = listener.accept(), if active && shared.open.get() < hard && !shared.waits() => match accepted {
                    Ok((stream, _)) => {
                        let _ = stream.set_nodelay(true);
                        let full = shared.open.get() >= shared.room.connections;
                        shared.open.set(shared.open.get() + 1);
                        let began = Some(shared.deadlines.clock().now());
                        let (flows, shared) = (Cell::new(false), shared.clone());
                        let connection = Connection { shared, full, flows };
                        spawn_local(connection.run(stream, BytesMut::new(), began));
                    }
                    Err(e) => {
                        warn!(shared.log, "a connection could not be accepted"; "error" => %e);
                        shared.deadlines.sleep(50.0).await;
                    }
                },
                Some(Passing { stream, bytes, flows, age }) = passed.recv() => {
                    shared.open.set(shared.open.get() + 1);
                    let began = age.map(|age| shared.deadlines.clock().now() - age);
                    let connection = Connection { shared: shared.clone(), full: false, flows: Cell::new(flows) };
                    spawn_local(connection.run(stream, bytes, began));
                }
                Ok(()) = role.changed() => {}
                () = shared.closed.notified(), if shared.open.get() >= hard => {}
                // The spare ones of now are old enough then.
                () = shared.deadlines.sleep(YOUNG / 4.0), if crowded > 0 => {}
                Ok(()) = drain.changed() => {
                    if *drain.borrow_and_update() == Drain::Closing {
                        info!(shared.log, "clients are sent away"; "connections" => shared.open.get());
                        shared.spare.borrow_mut()[1].retain(|_, spare| !spare.idle);
                    }
                }
                _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            }
        }
        drop(listener);
        shared.spare.borrow_mut().iter_mut().for_each(|spare| spare.retain(|_, spare| !spare.idle));
        info!(shared.log, "draining"; "connections" => shared.open.get());
        while shared.open.get() > 0 {
            shared.closed.notified().await;
        }
    }
}

impl<F> Shared<F> {
    /// How many connections too many are open for taking the next ones with some headroom.
    fn crowded(&self) -> usize {
        (self.open.get() + HEADROOM).saturating_sub(self.room.connections)
    }

    /// Closes up to `many` spare connections: between messages, and before a whole one, they may be closed. Prevents
    /// those who connect and say nothing, or half of it, from crowding out usual clients; what has only just come may
    /// be one of these, and so are those that are idle after a flow, which go only where no other is spare.
    fn make_room(&self, many: usize) -> bool {
        let (mut spare, old) = (self.spare.borrow_mut(), self.deadlines.clock().now() - YOUNG);
        let [silent, idle] = &mut *spare;
        let before = silent.len() + idle.len();
        for _ in 0..many {
            match (silent.first_entry(), idle.first_entry()) {
                (Some(first), _) if first.get().since < old => drop(first.remove()),
                (None, Some(first)) => drop(first.remove()),
                _ => break,
            }
        }
        silent.len() + idle.len() < before
    }

    /// Whether the table is full, and connections are open that will be old enough for being closed in a moment.
    fn waits(&self) -> bool {
        !self.spare.borrow()[0].is_empty() && self.open.get() >= self.room.connections
    }

    /// Lists a connection as spare; it is to be closed when this resolves. Too many that are idle after a flow are not
    /// kept: clients hold only so many connections, and those that ask once and stay would leave none to the others.
    fn spare(&self, (flows, idle): (bool, bool), since: Millis) -> ((bool, u64), oneshot::Receiver<()>) {
        let (_close, closing) = oneshot::channel();
        let turn = self.turns.replace(self.turns.get() + 1);
        let spare = &mut self.spare.borrow_mut()[usize::from(flows)];
        spare.insert(turn, Spare { since, idle, _close });
        if flows && spare.len() > self.room.idle {
            spare.pop_first();
        }
        ((flows, turn), closing)
    }

    /// It is spare no more.
    fn keep(&self, (flows, turn): (bool, u64)) {
        self.spare.borrow_mut()[usize::from(flows)].remove(&turn);
    }
}

/// What follows on a connection.
enum Next {
    /// A whole message.
    Message(Message),
    /// It ends between messages, or is closed there.
    Over,
    /// Another process is to have it.
    Pass,
}

/// A client's connection.
struct Connection<F> {
    shared: Rc<Shared<F>>,
    /// It came when there was no room: its flow is turned away.
    full: bool,
    /// It has brought a flow.
    flows: Cell<bool>,
}

/// An open flow's id.
struct Id<'a, F>(&'a Shared<F>, Bytes);

impl<F> Drop for Id<'_, F> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

impl<F> Drop for Connection<F> {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.closed.notify_one();
    }
}

impl<F: Fn(&Message) -> Asked> Connection<F> {
    async fn run(self, mut stream: TcpStream, mut buffer: BytesMut, mut began: Option<Millis>) {
        let mut out = BytesMut::new();
        loop {
            out.clear();
            let mut held = self.shared.room.budget.hold();
            let mut counts = None;
            let again = match self.next(&mut stream, &mut buffer, &mut held, &mut began).await {
                Ok(Next::Message(message)) => {
                    let said = self.answer(&message, &mut stream, &mut buffer, &mut out).await;
                    let Some((close, count)) = said else { return };
                    counts = count;
                    !close
                }
                Ok(Next::Over) => return,
                Ok(Next::Pass) => {
                    let age = began.map(|began| self.shared.deadlines.clock().now() - began);
                    let (bytes, flows) = (buffer, self.flows.get());
                    let _ = self.shared.passing.send(Passing { stream, bytes, flows, age });
                    return;
                }
                Err((status, text)) => {
                    let after = (status == 503).then_some(self.shared.retry_after);
                    plain(&mut out, status, text, after, true);
                    false
                }
            };
            drop(held);
            let written = self.shared.deadlines.within(STALLED, stream.write_all(&out)).await;
            if let (Some(Ok(())), Some((taken, end))) = (&written, counts) {
                Taken::ended(taken, end);
            }
            match written {
                Some(Ok(())) if again => began = None,
                Some(Ok(())) => {
                    let _ = stream.shutdown().await;
                    drop((buffer, out));
                    return self.linger(stream).await;
                }
                _ => return,
            }
        }
    }

    /// Reads on after the last answer, whatever still comes: prevents a reset from overtaking it. Nothing of it is
    /// looked at.
    async fn linger(&self, stream: TcpStream) {
        let shared = &self.shared;
        let now = shared.deadlines.clock().now();
        let (place, closing) = shared.spare((false, false), now);
        let read_out = async {
            while let Some(Ok(())) = shared.deadlines.within(LINGER[0], stream.readable()).await {
                match stream.try_read(&mut shared.scratch.borrow_mut()) {
                    Ok(0) => return,
                    Ok(_) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            _ = shared.deadlines.within(LINGER[1], read_out) => {}
            _ = closing => {}
        }
        shared.keep(place);
    }

    fn draining(&self) -> bool {
        let Signals { role, phase, drain } = &self.shared.signals;
        let ends = *phase.borrow() == Phase::Draining || *drain.borrow() == Drain::Closing;
        // Where another process has taken over, it has the connection next.
        ends && *role.borrow() != Role::Gone
    }

    /// The next whole message, if the connection neither ends nor is closed nor passes on before it.
    async fn next(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        began: &mut Option<Millis>,
    ) -> Result<Next, (u16, &'static str)> {
        let shared = &self.shared;
        let first = began.is_some() && !self.flows.get();
        let mut role = shared.signals.role.clone();
        loop {
            if *role.borrow() == Role::Gone && !self.full {
                return Ok(Next::Pass);
            }
            match take_message(buffer, Kind::Request, false) {
                Ok(Some(message)) => return Ok(Next::Message(message)),
                Ok(None) => {}
                Err(Bad::Malformed) => return Err((400, "malformed request")),
                Err(Bad::BodyTooLarge) => return Err((413, "the body is larger than 64 KiB")),
                Err(Bad::HeadTooLarge) => return Err((431, "the head is too large")),
            }
            let (now, idle) = (shared.deadlines.clock().now(), buffer.is_empty());
            if idle {
                // Prevents idle connections from holding memory.
                *buffer = BytesMut::new();
            } else if !held.grow(buffer.len()) {
                return Err((503, "no room"));
            }
            let ends = match (idle, *began) {
                (true, None) => now + IDLE,
                _ => *began.get_or_insert(now) + SLOW,
            };
            // A message that has begun on a connection that brought flows is a usual client's.
            // While an operator's drain lasts, who has just come is still heard.
            let closes =
                self.draining() && (!first || *self.shared.signals.phase.borrow() == Phase::Draining);
            let spared = if idle { !closes } else { !self.flows.get() };
            let mut spare = spared.then(|| shared.spare((self.flows.get(), idle), began.unwrap_or(0.0)));
            let closing = async {
                match &mut spare {
                    Some((_, closing)) => drop(closing.await),
                    // While draining only what has come already is still read.
                    None if idle => {}
                    None => std::future::pending().await,
                }
            };
            let more = async {
                if idle {
                    stream.readable().await?;
                }
                read_more(stream, buffer).await
            };
            let more = tokio::select! {
                biased;
                more = more => Some(more.unwrap_or(false)),
                () = closing => None,
                Ok(_) = role.wait_for(|role| *role == Role::Gone), if !self.full => Some(true),
                () = shared.deadlines.sleep(ends - now) => None,
            };
            if let Some((place, _)) = spare {
                shared.keep(place);
            }
            match more {
                Some(true) => {}
                None if !idle => return Err((408, "the request took too long to come in")),
                _ => return Ok(Next::Over),
            }
        }
    }

    /// Answers a message; tells whether the connection is to be closed then and how a flow ends once that is written,
    /// or none where the client left.
    async fn answer(
        &self,
        message: &Message,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Option<(bool, Option<(Taken, End)>)> {
        let shared = &self.shared;
        let closes = |close: bool| close || message.head.close || self.full || self.draining();
        match (shared.read)(message) {
            Asked::Wrong(status, text) => {
                let close = closes(false);
                plain(out, status, text, None, close);
                Some((close, None))
            }
            Asked::Ready => {
                let close = closes(false);
                match (*shared.signals.phase.borrow(), *shared.signals.drain.borrow()) {
                    (Phase::Serving, Drain::No) => plain(out, 200, "ready", None, close),
                    _ => plain(out, 503, "not ready", None, close),
                }
                Some((close, None))
            }
            Asked::Flow(terms, ..) if self.full => {
                plain(out, 503, "no room", Some(shared.retry_after), true);
                Some((true, Some((shared.stats.take(terms.class), End::Rejected))))
            }
            Asked::Flow(terms, question, id) => {
                // Prevents a client from taking another's answer, and one id from being out twice.
                if !shared.ids.borrow_mut().insert(id.clone()) {
                    let close = closes(false);
                    plain(out, 409, "the id is that of an open flow", None, close);
                    return Some((close, None));
                }
                let _id = Id(shared, id);
                self.flows.set(true);
                let taken = shared.stats.take(terms.class);
                let mut waiting = shared.exchange.arrive(terms, question);
                let verdict = loop {
                    tokio::select! {
                        biased;
                        verdict = &mut waiting => break verdict,
                        // A client that ends its connection has left; dropping `waiting` says so. What comes early
                        // waits, and no more of it is taken in than a head may hold.
                        more = read_more(stream, buffer), if buffer.len() < HEAD => {
                            if !more.unwrap_or(false) {
                                return None;
                            }
                        }
                    }
                };
                let close = closes(false);
                let end = verdict.end();
                match verdict {
                    Verdict::Served(answer) => served(out, &answer, close),
                    Verdict::TurnDown(after) => plain(out, 429, "turned down", Some(after), close),
                    Verdict::NoRoom(after) => plain(out, 503, "no room", Some(after), close),
                    Verdict::Failed { timed_out: true } => plain(out, 504, "no answer in time", None, close),
                    Verdict::Failed { timed_out: false } => plain(out, 502, "failed", None, close),
                }
                Some((close, Some((taken, end))))
            }
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

fn head(out: &mut BytesMut, status: u16, length: usize, close: bool) {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let text = format!("HTTP/1.1 {status} {}\r\nContent-Length: {length}\r\n{connection}", reason(status));
    out.put_slice(text.as_bytes());
}

fn served(out: &mut BytesMut, answer: &Answer, close: bool) {
    out.reserve(answer.body.len() + 192);
    head(out, 200, answer.body.len(), close);
    if let Some(content_type) = &answer.content_type {
        out.put_slice(b"Content-Type: ");
        out.put_slice(content_type);
        out.put_slice(b"\r\n");
    }
    out.put_slice(b"\r\n");
    out.put_slice(&answer.body);
}

fn plain(out: &mut BytesMut, status: u16, text: &str, retry_after: Option<Millis>, close: bool) {
    head(out, status, text.len() + 1, close);
    if let Some(after) = retry_after {
        out.put_slice(format!("Retry-After: {}\r\n", seconds(after)).as_bytes());
    }
    out.put_slice(format!("Content-Type: text/plain\r\n\r\n{text}\n").as_bytes());
}

/// Seconds, as a decimal number where they are not whole.
pub fn seconds(span: Millis) -> f64 {
    let span = Duration::from_millis(span.max(1.0).ceil() as u64);
    span.as_secs_f64()
}
