//! The server side: takes flows in from clients over HTTP/1.1, awaits their verdicts at the exchange and writes
//! the answers. What a flow means is read by the front, in `fronts::platform`.

use super::client_side::{Answer, Question};
use super::http::{Bad, Kind, MESSAGE, Message, take_message};
use super::stream::read_more;
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, Terms, Verdict};
use crate::interface::Millis;
use bytes::{BufMut, BytesMut};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;

/// A client's connection is closed when idle for this long, or when a message takes this long to come in.
const IDLE: Millis = 60_000.0;
const SLOW: Millis = 10_000.0;
/// A client that takes no bytes of its answer for this long is done without.
const STALLED: Millis = 5000.0;
/// So far below the most idle connections begin to be closed for new ones.
const HEADROOM: usize = 4;
/// Connections beyond the most that are still taken, for turning their flows away.
const TURNED_AWAY: usize = 24;

/// What the front makes of a message.
#[derive(Debug)]
pub enum Asked {
    /// A flow.
    Flow(Terms, Question),
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
    phase: watch::Receiver<Phase>,
    most: usize,
    retry_after: Millis,
    open: Cell<usize>,
    closed: Notify,
    /// Idle connections, oldest first; one is closed by dropping its sender.
    idle: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
    turns: Cell<u64>,
    log: Logger,
}

impl<F: Fn(&Message) -> Asked + 'static> ServerSide<F> {
    /// A server side that reads messages by `read` and holds `most` connections.
    pub fn new(
        read: F,
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        phase: watch::Receiver<Phase>,
        (most, retry_after): (usize, Millis),
        log: Logger,
    ) -> Self {
        let (open, closed, idle, turns) = Default::default();
        let shared =
            Shared { read, exchange, deadlines, phase, most, retry_after, open, closed, idle, turns, log };
        Self { shared: Rc::new(shared) }
    }

    /// Takes connections in until it drains and the last one is closed.
    pub async fn run(self, listener: TcpListener) {
        let shared = self.shared;
        let mut phase = shared.phase.clone();
        let hard = shared.most + TURNED_AWAY;
        loop {
            if shared.open.get() + HEADROOM >= shared.most {
                // The oldest idle connection makes room: between flows it may be closed.
                drop(shared.idle.borrow_mut().pop_first());
            }
            tokio::select! {
                // Prevents a flood of connections from using up the descriptors kept for real servers.
                accepted = listener.accept(), if shared.open.get() < hard => match accepted {
                    Ok((stream, _)) => {
                        let _ = stream.set_nodelay(true);
                        let full = shared.open.get() >= shared.most;
                        shared.open.set(shared.open.get() + 1);
                        spawn_local(Connection { shared: shared.clone(), full }.run(stream));
                    }
                    Err(e) => {
                        warn!(shared.log, "a connection could not be accepted"; "error" => %e);
                        shared.deadlines.sleep(50.0).await;
                    }
                },
                () = shared.closed.notified(), if shared.open.get() >= hard => {}
                _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            }
        }
        drop(listener);
        shared.idle.borrow_mut().clear();
        info!(shared.log, "draining"; "connections" => shared.open.get());
        while shared.open.get() > 0 {
            shared.closed.notified().await;
        }
    }
}

/// A client's connection.
struct Connection<F> {
    shared: Rc<Shared<F>>,
    /// It came when there was no room: its flow is turned away.
    full: bool,
}

impl<F> Drop for Connection<F> {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.closed.notify_one();
    }
}

impl<F: Fn(&Message) -> Asked> Connection<F> {
    async fn run(self, mut stream: TcpStream) {
        let (mut buffer, mut out) = (BytesMut::new(), BytesMut::new());
        loop {
            out.clear();
            let again = match self.next(&mut stream, &mut buffer).await {
                Ok(Some(message)) => {
                    let Some(close) = self.answer(&message, &mut stream, &mut buffer, &mut out).await else {
                        return;
                    };
                    !close
                }
                Ok(None) => return,
                Err((status, text)) => {
                    plain(&mut out, status, text, None, true);
                    false
                }
            };
            match self.shared.deadlines.within(STALLED, stream.write_all(&out)).await {
                Some(Ok(())) if again => {}
                Some(Ok(())) => {
                    let _ = stream.shutdown().await;
                    return self.linger(stream, buffer).await;
                }
                _ => return,
            }
        }
    }

    /// Reads on for a moment after the last answer: prevents a reset from overtaking it.
    async fn linger(&self, mut stream: TcpStream, mut buffer: BytesMut) {
        let read_out = async {
            while let Ok(true) = read_more(&mut stream, &mut buffer).await {
                buffer.clear();
            }
        };
        self.shared.deadlines.within(200.0, read_out).await;
    }

    fn draining(&self) -> bool {
        *self.shared.phase.borrow() == Phase::Draining
    }

    /// The next whole message; none where the connection ends between messages.
    async fn next(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
    ) -> Result<Option<Message>, (u16, &'static str)> {
        let shared = &self.shared;
        let mut slow = None;
        loop {
            match take_message(buffer, Kind::Request, false) {
                Ok(Some(message)) => return Ok(Some(message)),
                Ok(None) => {}
                Err(Bad::Malformed) => return Err((400, "malformed request")),
                Err(Bad::BodyTooLarge) => return Err((413, "the body is larger than 64 KiB")),
                Err(Bad::HeadTooLarge) => return Err((431, "the head is too large")),
            }
            if buffer.is_empty() {
                let (close, closing) = oneshot::channel();
                let turn = shared.turns.get();
                shared.turns.set(turn + 1);
                // While draining it is dropped at once: only what has come already is still read.
                if !self.draining() {
                    shared.idle.borrow_mut().insert(turn, close);
                } else {
                    drop(close);
                }
                let more = tokio::select! {
                    biased;
                    more = read_more(stream, buffer) => more.unwrap_or(false),
                    _ = closing => false,
                    () = shared.deadlines.sleep(IDLE) => false,
                };
                shared.idle.borrow_mut().remove(&turn);
                if !more {
                    return Ok(None);
                }
            } else {
                let slow = slow.get_or_insert_with(|| Box::pin(shared.deadlines.sleep(SLOW)));
                tokio::select! {
                    biased;
                    more = read_more(stream, buffer) => match more {
                        Ok(true) => {}
                        _ => return Ok(None),
                    },
                    () = slow => return Err((408, "the request took too long to come in")),
                }
            }
        }
    }

    /// Answers a message; tells whether the connection is to be closed then, or none where the client left.
    async fn answer(
        &self,
        message: &Message,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        out: &mut BytesMut,
    ) -> Option<bool> {
        let shared = &self.shared;
        let closes = |close: bool| close || message.head.close || self.full || self.draining();
        match (shared.read)(message) {
            Asked::Wrong(status, text) => {
                let close = closes(false);
                plain(out, status, text, None, close);
                Some(close)
            }
            Asked::Ready => {
                let close = closes(false);
                match *shared.phase.borrow() {
                    Phase::Serving => plain(out, 200, "ready", None, close),
                    _ => plain(out, 503, "not ready", None, close),
                }
                Some(close)
            }
            Asked::Flow(..) if self.full => {
                plain(out, 503, "no room", Some(shared.retry_after), true);
                Some(true)
            }
            Asked::Flow(terms, question) => {
                let mut waiting = shared.exchange.arrive(terms, question);
                let verdict = loop {
                    tokio::select! {
                        biased;
                        verdict = &mut waiting => break verdict,
                        // A client that ends its connection has left; dropping `waiting` says so. A next message
                        // that comes early waits.
                        more = read_more(stream, buffer), if buffer.len() < MESSAGE => {
                            if !more.unwrap_or(false) {
                                return None;
                            }
                        }
                    }
                };
                let close = closes(false);
                match verdict {
                    Verdict::Served(answer) => served(out, &answer, close),
                    Verdict::TurnDown(after) => plain(out, 429, "turned down", Some(after), close),
                    Verdict::NoRoom(after) => plain(out, 503, "no room", Some(after), close),
                    Verdict::Failed { timed_out: true } => plain(out, 504, "no answer in time", None, close),
                    Verdict::Failed { timed_out: false } => plain(out, 502, "failed", None, close),
                }
                Some(close)
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
