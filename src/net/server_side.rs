//! The server side of the platform front: accepts clients' connections, reads their HTTP/1.1 requests, awaits
//! the final answers from the exchange and writes them. What a request means is decided by the front, in
//! `fronts::platform`.

use super::body_channel::{self, BodyPiece, BodyReceiver, MAX_PIECE_BYTES, SingleUseBody};
use super::budget::{MemoryBudget, Reservation};
use super::client_side::{Answer, Question};
use super::http::{
    BodyDecoder, Head, MAX_BODY_BYTES, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES, MessageKind,
    ParseError, peek_head,
};
use super::stream::{has_unread_bytes, is_closed, read_more};
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, FinalAnswer, RequestInfo};
use crate::interface::Millis;
use crate::stats::{RequestInProgress, RequestOutcome, Stats};
use bytes::{BufMut, Bytes, BytesMut};
use slog::{Logger, info, warn};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// A client's connection is closed when it has been idle for this long. Many clients send one request and
/// keep the connection open.
const IDLE_TIMEOUT: Millis = 5000.0;
/// The time within which a head must be complete: the first one counted from the start of the connection, any
/// other from its first byte. A misbehaving client must get an error or a close within 3 seconds, even if it
/// is silent.
const HEAD_TIMEOUT: Millis = 2850.0;
/// The time after its head within which the first bytes of a body must arrive. Later ones have this time in
/// addition to what [`MIN_BODY_BYTES_PER_MS`] allows.
const BODY_GRACE_PERIOD: Millis = 2500.0;
/// The minimum average rate at which a client must send a body after the grace period, in bytes per
/// millisecond.
const MIN_BODY_BYTES_PER_MS: f64 = 16.0;
/// A client that accepts no bytes of its answer for this long is dropped.
const WRITE_TIMEOUT: Millis = 5000.0;
/// After its last answer a connection is read until it has been silent for this long.
const LINGER_SILENCE_TIMEOUT: Millis = 500.0;
/// The maximum time for which a connection is read after its last answer.
const LINGER_TIMEOUT: Millis = 5000.0;
/// The minimum age at which a connection without a complete message may be evicted for new ones. A usual
/// client has sent its message by then.
const MIN_EVICTION_AGE: Millis = 100.0;
/// Eviction starts when fewer than this many connections are left below the limit.
const EVICTION_HEADROOM: usize = 4;
/// The number of bytes that are read and discarded at a time.
const SCRATCH_BYTES: usize = 64 * 1024;
/// The time to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Millis = 50.0;
/// The buffer space reserved for the head of a backend's answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 192;
/// The maximum number of bytes that are read from a client that waits for its answer, or of a body that waits
/// for its first attempt. A system buffers fewer bytes for a connection, so that the end of the stream is
/// reached behind all that a client sent before it left.
const MAX_READ_AHEAD_BYTES: usize = 8 << 20;
/// The interval at which a connection that is not read is checked for whether its client has left. No attempt
/// may start more than 0.1 s after that.
const CLOSE_POLL_INTERVAL: Millis = 20.0;

/// The front's reading of a message.
#[derive(Debug)]
pub enum ParsedRequest {
    /// A request: what the engine needs to know of it, what is sent to a backend, and the request's id.
    Request(RequestInfo, Question, Bytes),
    /// A readiness check.
    Readiness,
    /// Not a valid request. It is answered with this status code and text.
    Invalid(u16, &'static str),
}

/// The phase of the process, in the order in which it passes through them.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// Not ready yet.
    Starting,
    /// Ready and serving.
    Serving,
    /// Told to stop: not ready any more, and still serving new requests.
    Stopping,
    /// Closes every connection after its answer.
    Draining,
}

/// Whether an operator drains this instance of its clients.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drain {
    /// No drain.
    Inactive,
    /// `/ready` reports that the instance is not ready. Connections are served as before.
    Announced,
    /// Every connection is closed after its answer, and idle ones are closed at once.
    Closing,
}

/// The role of this process in an upgrade, in which two processes share one address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// The next process, which waits for the state of the active one.
    Standby,
    /// The process that accepts connections and decides.
    Active,
    /// The previous process, which has handed everything over and finishes its attempts in flight.
    Retiring,
    /// The previous process, told to stop, whose successor ended before it: it can hand nothing over any more,
    /// and closes each connection that it still has after its answer.
    Detached,
}

/// The state of the process that a front follows.
#[derive(Debug, Clone)]
pub struct Signals {
    /// The role of this process. Only an active one accepts connections.
    pub role: watch::Receiver<Role>,
    /// The phase of the process.
    pub phase: watch::Receiver<Phase>,
    /// The operator's drain.
    pub drain: watch::Receiver<Drain>,
    /// Whether a predecessor process may still hand connections over.
    pub predecessor: watch::Receiver<bool>,
}

/// A client's connection that is handed over to another process, between answers.
#[derive(Debug)]
pub struct ConnectionHandover {
    /// The connection.
    pub stream: TcpStream,
    /// The received bytes of an incomplete message.
    pub bytes: BytesMut,
    /// Whether the connection has carried a request.
    pub has_carried_request: bool,
    /// The time since the message began, or `None` if none has begun.
    pub message_age: Option<Millis>,
}

/// The server side of the platform's front.
#[derive(Debug)]
pub struct ServerSide<F> {
    shared: Rc<Shared<F>>,
}

#[derive(Debug)]
struct Shared<F> {
    /// Reads a message: its head, its body as far as received, and whether that is the whole body.
    parse: F,
    exchange: Exchange<Question, Answer>,
    deadlines: Deadlines,
    signals: Signals,
    stats: Arc<Stats>,
    limits: ServerLimits,
    /// The value of `Retry-After` in answers of status 503 that the server side gives by itself.
    retry_after: Millis,
    /// The number of open connections.
    open: Cell<usize>,
    /// Notified when a connection has closed.
    closed: Notify,
    /// The connections that may be closed to make room for others, oldest first. Index 0: those that have not
    /// carried a request and have sent no complete message, and those whose bytes are only discarded. Index
    /// 1: those that are idle after a request.
    evictable: RefCell<[BTreeMap<u64, Evictable>; 2]>,
    /// The key of the next evictable connection.
    next_key: Cell<u64>,
    /// Receives the connections that are handed over to another process.
    handover: mpsc::UnboundedSender<ConnectionHandover>,
    /// The ids of the open requests.
    open_ids: RefCell<HashSet<Bytes>>,
    /// A buffer for bytes that are discarded.
    scratch: RefCell<Vec<u8>>,
    /// While this process drains, the time by which every request must be answered. Infinite before that.
    drain_deadline: watch::Sender<Millis>,
    /// The number of connections with a long answer that is not finished.
    long_answers: watch::Sender<usize>,
    log: Logger,
}

/// The limits of the server side.
#[derive(Debug)]
pub struct ServerLimits {
    /// The maximum number of connections whose requests are served.
    pub max_connections: usize,
    /// The maximum number of connections beyond these. Their requests are rejected with status 503.
    pub max_rejected_connections: usize,
    /// The maximum number of connections that are idle after a request.
    pub max_idle_connections: usize,
    /// The bytes of messages that all connections may buffer.
    pub memory_budget: MemoryBudget,
    /// The time within which every request that is read while the process drains must be answered, in
    /// milliseconds from the start of the drain.
    pub drain_timeout: Millis,
}

#[derive(Debug)]
struct Evictable {
    /// The time from which its age is counted, or 0 if no message has begun.
    since: Millis,
    /// Whether no byte of a message has been received.
    idle: bool,
    /// Closes the connection gracefully if a value is sent, and at once if it is dropped.
    close: oneshot::Sender<()>,
}

impl Evictable {
    /// Closes the connection gracefully: bytes that are still on their way do not reset it.
    fn close(self) {
        let _ = self.close.send(());
    }
}

/// Closes the idle ones of these connections gracefully.
fn close_idle(evictable: &mut BTreeMap<u64, Evictable>) {
    evictable.extract_if(.., |_, entry| entry.idle).for_each(|(_, entry)| entry.close());
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest + 'static> ServerSide<F> {
    /// Creates a server side. `parse` reads a message from its head, its body as far as received, and whether
    /// that is the whole body. `handover` receives the connections for another process. `retry_after` is the
    /// `Retry-After` of the requests that are rejected for lack of room.
    pub fn new(
        parse: F,
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        (signals, handover): (Signals, mpsc::UnboundedSender<ConnectionHandover>),
        stats: Arc<Stats>,
        (limits, retry_after): (ServerLimits, Millis),
        log: Logger,
    ) -> Self {
        let (open, closed, evictable, next_key, open_ids) = Default::default();
        let scratch = RefCell::new(vec![0; SCRATCH_BYTES]);
        Self {
            shared: Rc::new(Shared {
                parse,
                exchange,
                deadlines,
                signals,
                stats,
                limits,
                retry_after,
                open,
                closed,
                evictable,
                next_key,
                handover,
                open_ids,
                scratch,
                drain_deadline: watch::Sender::new(f64::INFINITY),
                long_answers: watch::Sender::new(0),
                log,
            }),
        }
    }

    /// Returns the number of connections with a long answer that is not finished. Such an answer is forwarded
    /// as its backend sends it and its client takes it, however long after the request's deadline.
    pub fn long_answers(&self) -> watch::Receiver<usize> {
        self.shared.long_answers.subscribe()
    }

    /// Serves the connections that `listener` accepts and those that another process hands over. Returns once
    /// the process drains and the last connection is closed.
    pub async fn run(self, listener: TcpListener, mut adopted: mpsc::UnboundedReceiver<ConnectionHandover>) {
        let shared = self.shared;
        let Signals { mut role, mut phase, mut drain, mut predecessor } = shared.signals.clone();
        let max_open = shared.limits.max_connections + shared.limits.max_rejected_connections;
        loop {
            let active = *role.borrow_and_update() == Role::Active;
            let excess = shared.excess();
            if excess > 0 && shared.evict(excess) {
                // The evicted connections close before others are accepted.
                tokio::task::yield_now().await;
            }
            tokio::select! {
                // The limit prevents a flood of connections from using up the descriptors reserved for
                // backends. No connection is accepted for rejection while a place is about to become free.
                accepted = listener.accept(),
                if active && shared.open.get() < max_open && !shared.eviction_pending() => match accepted {
                    Ok((stream, _)) => Self::accept(&shared, stream),
                    Err(e) => {
                        warn!(shared.log, "a connection could not be accepted"; "error" => %e);
                        shared.deadlines.sleep(ACCEPT_RETRY_DELAY).await;
                    }
                },
                Some(handover) = adopted.recv() => Self::adopt(&shared, handover),
                Ok(()) = role.changed() => {}
                () = shared.closed.notified(), if shared.open.get() >= max_open => {}
                // More connections are old enough for eviction then.
                () = shared.deadlines.sleep(MIN_EVICTION_AGE / 4.0), if excess > 0 => {}
                Ok(()) = drain.changed() => {
                    if *drain.borrow_and_update() == Drain::Closing {
                        info!(shared.log, "clients are sent away"; "connections" => shared.open.get());
                        close_idle(&mut shared.evictable.borrow_mut()[1]);
                    }
                }
                _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            }
        }
        let now = shared.deadlines.clock().now();
        shared.drain_deadline.send_replace(now + shared.limits.drain_timeout);
        shared.evictable.borrow_mut().iter_mut().for_each(close_idle);
        info!(shared.log, "draining"; "connections" => shared.open.get());
        // Prevents connections that wait in the system's backlog from being reset unread: they are accepted
        // as places become free. If another process has taken over, it accepts them.
        let mut backlog = listener.into_std().ok().filter(|_| *role.borrow() == Role::Active);
        loop {
            while shared.open.get() < max_open
                && let Some(listener) = &backlog
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                        stream.into_iter().for_each(|stream| Self::accept(&shared, stream));
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                    // The backlog is empty.
                    Err(_) => backlog = None,
                }
            }
            // A predecessor passes on the connections whose answers it still waits for: they are served here, or
            // passed on in turn.
            if shared.open.get() == 0 && !*predecessor.borrow_and_update() {
                return;
            }
            tokio::select! {
                biased;
                Some(handover) = adopted.recv() => Self::adopt(&shared, handover),
                () = shared.closed.notified() => {}
                Ok(()) = predecessor.changed() => {}
            }
        }
    }

    /// Serves a connection that another process has handed over.
    fn adopt(shared: &Rc<Shared<F>>, handover: ConnectionHandover) {
        let ConnectionHandover { stream, bytes, has_carried_request, message_age } = handover;
        shared.open.set(shared.open.get() + 1);
        let message_start = message_age.map(|age| shared.deadlines.clock().now() - age);
        let connection = Connection {
            shared: shared.clone(),
            over_limit: false,
            has_carried_request: Cell::new(has_carried_request),
        };
        spawn_local(connection.run(stream, bytes, message_start));
    }

    /// Serves a connection that a client has opened.
    fn accept(shared: &Rc<Shared<F>>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let over_limit = shared.open.get() >= shared.limits.max_connections;
        shared.open.set(shared.open.get() + 1);
        let message_start = Some(shared.deadlines.clock().now());
        let connection =
            Connection { shared: shared.clone(), over_limit, has_carried_request: Cell::new(false) };
        spawn_local(connection.run(stream, BytesMut::new(), message_start));
    }
}

impl<F> Shared<F> {
    /// Returns the number of connections to evict so that [`EVICTION_HEADROOM`] more can be accepted.
    fn excess(&self) -> usize {
        (self.open.get() + EVICTION_HEADROOM).saturating_sub(self.limits.max_connections)
    }

    /// Evicts up to `count` connections, and returns whether it evicted any. Prevents clients that connect
    /// and send nothing, or an incomplete message, from crowding out usual clients. Recent connections may be
    /// those of usual clients and stay. Connections that are idle after a request are usual clients' as well,
    /// and are evicted only while no others are evictable.
    fn evict(&self, count: usize) -> bool {
        let (mut evictable, started_before) =
            (self.evictable.borrow_mut(), self.deadlines.clock().now() - MIN_EVICTION_AGE);
        let [silent, idle] = &mut *evictable;
        let before = silent.len() + idle.len();
        for _ in 0..count {
            match (silent.first_entry(), idle.first_entry()) {
                (Some(first), _) if first.get().since < started_before => drop(first.remove()),
                (None, Some(first)) => drop(first.remove()),
                _ => break,
            }
        }
        silent.len() + idle.len() < before
    }

    /// Returns whether all places are taken, and some of them by connections that will be old enough for
    /// eviction shortly.
    fn eviction_pending(&self) -> bool {
        !self.evictable.borrow()[0].is_empty() && self.open.get() >= self.limits.max_connections
    }

    /// Lists a connection as evictable. Returns its key, and a receiver that resolves when the connection is
    /// to be closed. If too many connections are idle after a request, the oldest of them is closed: clients
    /// that send one request and stay connected would leave no places to others.
    fn add_evictable(
        &self,
        (has_carried_request, idle): (bool, bool),
        since: Millis,
    ) -> (EvictableKey, oneshot::Receiver<()>) {
        let (close, closing) = oneshot::channel();
        let key = self.next_key.replace(self.next_key.get() + 1);
        let evictable = &mut self.evictable.borrow_mut()[usize::from(has_carried_request)];
        evictable.insert(key, Evictable { since, idle, close });
        if has_carried_request
            && evictable.len() > self.limits.max_idle_connections
            && let Some((_, oldest)) = evictable.pop_first()
        {
            oldest.close();
        }
        ((has_carried_request, key), closing)
    }

    /// Returns the time within which a request must be answered before this process ends, in milliseconds.
    /// Infinite before this process drains.
    fn drain_time_left(&self) -> Millis {
        (*self.drain_deadline.borrow() - self.deadlines.clock().now()).max(1.0)
    }

    /// Resolves once this process drains and the time by which every request must be answered has come.
    async fn drain_timed_out(&self) {
        let mut deadline = self.drain_deadline.subscribe();
        if deadline.wait_for(|deadline| deadline.is_finite()).await.is_ok() {
            self.deadlines.sleep(self.drain_time_left()).await;
        }
    }

    /// Removes a connection from the evictable ones.
    fn remove_evictable(&self, (has_carried_request, key): EvictableKey) {
        self.evictable.borrow_mut()[usize::from(has_carried_request)].remove(&key);
    }
}

/// The key of an evictable connection: whether it has carried a request, and its number.
type EvictableKey = (bool, u64);

/// A message as far as it has been read.
struct Message {
    head: Head,
    /// The body, or its first bytes.
    body: Bytes,
    /// The decoder of the rest of the body, or `None` if `body` is complete.
    rest: Option<BodyDecoder>,
}

/// The status code and the text of an answer to a message that is not a valid request.
type ErrorAnswer = (u16, &'static str);

/// The answer to a request for which there is no connection or memory left.
const NO_ROOM: ErrorAnswer = (503, "no room");
/// The answer to a request that did not arrive in time.
const TOO_SLOW: ErrorAnswer = (408, "the request took too long to come in");
/// The interim response that asks a client for the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The next step of a connection.
enum Step {
    /// A message is to be answered. A short one is complete.
    Message(Message),
    /// The connection is dropped: it has ended between messages, or its place is needed.
    Drop,
    /// The connection is closed gracefully between messages.
    Close,
    /// The connection is handed over to another process.
    HandOver,
}

/// A client's connection.
struct Connection<F> {
    shared: Rc<Shared<F>>,
    /// Whether it was accepted over the limit: its request is rejected.
    over_limit: bool,
    /// Whether it has carried a request.
    has_carried_request: Cell<bool>,
}

/// Counts a connection with a long answer until it is dropped.
struct LongAnswer<'a>(&'a watch::Sender<usize>);

impl<'a> LongAnswer<'a> {
    fn begin(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for LongAnswer<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// The id of an open request, which is freed on drop.
struct OpenId<'a, F>(&'a Shared<F>, Bytes);

impl<F> Drop for OpenId<'_, F> {
    fn drop(&mut self) {
        self.0.open_ids.borrow_mut().remove(&self.1);
    }
}

impl<F> Drop for Connection<F> {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.closed.notify_one();
    }
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest> Connection<F> {
    /// Serves the connection until it ends. `buffer` holds bytes that were received before, and
    /// `message_start` is the time at which the first message began, or `None` if none has begun.
    async fn run(self, mut stream: TcpStream, mut buffer: BytesMut, mut message_start: Option<Millis>) {
        let mut out = BytesMut::new();
        // Counts until the next message, or until the connection is closed: the end of the process would cut off
        // what the system has not sent yet.
        let mut long_answer = None;
        loop {
            out.clear();
            let mut reservation = self.shared.limits.memory_budget.reserve();
            let prepared =
                match self.next_step(&mut stream, &mut buffer, &mut reservation, &mut message_start).await {
                    Ok(Step::Message(message)) => {
                        drop(long_answer.take());
                        let prepared =
                            self.answer(message, &mut stream, &mut buffer, &mut reservation, &mut out).await;
                        let Some(prepared) = prepared else { return };
                        prepared
                    }
                    Ok(Step::Drop) => return,
                    Ok(Step::Close) => {
                        let _ = stream.shutdown().await;
                        drop((buffer, out));
                        return self.linger(stream).await;
                    }
                    Ok(Step::HandOver) => {
                        let message_age =
                            message_start.map(|start| self.shared.deadlines.clock().now() - start);
                        let (bytes, has_carried_request) = (buffer, self.has_carried_request.get());
                        let handover = ConnectionHandover { stream, bytes, has_carried_request, message_age };
                        let _ = self.shared.handover.send(handover);
                        return;
                    }
                    Err(error) => self.answer_error(&mut out, error),
                };
            drop(reservation);
            let PreparedAnswer { mut close, outcome, rest, unread, mut ahead } = prepared;
            if !self.write(&mut stream, &out).await {
                return;
            }
            if let Some((rest, chunked)) = rest {
                long_answer = Some(LongAnswer::begin(&self.shared.long_answers));
                match self.forward_answer(&mut stream, &mut buffer, &mut ahead, rest, chunked).await {
                    Forwarded::Complete => {}
                    Forwarded::Incomplete => {
                        if let Some((request, _)) = outcome {
                            request.ended(RequestOutcome::Failed);
                        }
                        // A reset prevents an answer that lasts until the connection closes from looking
                        // complete.
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Forwarded::ClientLeft => return,
                }
            }
            if let Some((request, end)) = outcome {
                request.ended(end);
            }
            if let Some(unread) = unread {
                close |= !self.discard_body(&mut stream, &mut buffer, unread).await;
            }
            if close || ahead.overflowed {
                let _ = stream.shutdown().await;
                drop((buffer, out));
                return self.linger(stream).await;
            }
            message_start = None;
        }
    }

    /// Writes bytes as fast as the client accepts them. Returns `false` if it accepts none any more.
    async fn write(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.shared.deadlines.within(WRITE_TIMEOUT, stream.write(bytes)).await {
                Some(Ok(n)) if n > 0 => bytes = &bytes[n..],
                _ => return false,
            }
        }
        true
    }

    /// Forwards the rest of an answer from the backend to the client.
    async fn forward_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        ahead: &mut ReadAhead,
        mut rest: BodyReceiver,
        chunked: bool,
    ) -> Forwarded {
        let mut bytes = BytesMut::new();
        loop {
            let piece = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                connected = self.watch_client(stream, buffer, ahead, None) => match connected {
                    true => continue,
                    false => return Forwarded::ClientLeft,
                },
            };
            bytes.clear();
            match piece {
                Some(BodyPiece::Data(data)) => {
                    put_data(&mut bytes, &data, chunked);
                    if !self.write(stream, &bytes).await {
                        return Forwarded::ClientLeft;
                    }
                }
                Some(BodyPiece::End) => {
                    let end: &[u8] = if chunked { b"0\r\n\r\n" } else { b"" };
                    return if self.write(stream, end).await {
                        Forwarded::Complete
                    } else {
                        Forwarded::ClientLeft
                    };
                }
                None => return Forwarded::Incomplete,
            }
        }
    }

    /// Writes the answer to an invalid message. The connection closes after it, as the start of the next
    /// message is unknown.
    fn answer_error(&self, out: &mut BytesMut, (status, text): ErrorAnswer) -> PreparedAnswer {
        let retry_after = (status == 503).then_some(self.shared.retry_after);
        put_text_answer(out, status, text, retry_after, true);
        PreparedAnswer { close: true, outcome: None, rest: None, unread: None, ahead: ReadAhead::default() }
    }

    /// Reads from a client that waits for its answer, to notice when it leaves. Returns `false` if it has
    /// left. The bytes are kept for the next message, up to the size of one. If there are more, they are all
    /// dropped, and the connection closes after the answer. Prevents a client that has sent much and left
    /// from being taken for one that waits. `reserved` is the reservation for the buffered bytes, with the
    /// length of the body that it covers as well.
    async fn watch_client(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        ahead: &mut ReadAhead,
        reserved: Option<(&mut Reservation<'_>, usize)>,
    ) -> bool {
        let fits = buffer.len() < MAX_BUFFERED_MESSAGE_BYTES
            && reserved.is_none_or(|(reservation, body)| reservation.try_resize(body + buffer.len()));
        if fits && !ahead.overflowed {
            return read_more(stream, buffer).await.unwrap_or(false);
        }
        if !ahead.overflowed {
            ahead.overflowed = true;
            *buffer = BytesMut::new();
        }
        if ahead.dropped_bytes > MAX_READ_AHEAD_BYTES {
            self.client_left(stream).await;
            return false;
        }
        // Prevents a client that floods this connection from blocking the thread.
        tokio::task::yield_now().await;
        if stream.readable().await.is_err() {
            return false;
        }
        match stream.try_read(&mut self.shared.scratch.borrow_mut()) {
            Ok(n) => {
                ahead.dropped_bytes += n;
                n > 0
            }
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Reads and discards what still arrives after the last answer. Prevents a reset, which a close over
    /// unread bytes causes, from overtaking the answer.
    async fn linger(&self, stream: TcpStream) {
        let shared = &self.shared;
        let now = shared.deadlines.clock().now();
        let (key, closing) = shared.add_evictable((false, false), now);
        let discard = async {
            let mut read = 0;
            while read < MAX_BODY_BYTES
                && let Some(Ok(())) = shared.deadlines.within(LINGER_SILENCE_TIMEOUT, stream.readable()).await
            {
                // Prevents a client that floods this connection from blocking the thread.
                tokio::task::yield_now().await;
                match stream.try_read(&mut shared.scratch.borrow_mut()) {
                    Ok(0) => return,
                    Ok(n) => read += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            _ = shared.deadlines.within(LINGER_TIMEOUT, discard) => {}
            _ = closing => {}
        }
        shared.remove_evictable(key);
    }

    /// Returns whether the connection closes after its answer because the process or the operator drains.
    fn is_draining(&self) -> bool {
        let Signals { role, phase, drain, .. } = &self.shared.signals;
        let drains = *phase.borrow() == Phase::Draining || *drain.borrow() == Drain::Closing;
        // If another process has taken over, the connection is handed over instead.
        drains && *role.borrow() != Role::Retiring
    }

    /// Reads the next message: a short one completely, of a long one the head and the first bytes of the
    /// body. Returns another step if the connection ends, closes or is handed over before that.
    async fn next_step(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation<'_>,
        message_start: &mut Option<Millis>,
    ) -> Result<Step, ErrorAnswer> {
        let shared = &self.shared;
        let is_first_message = message_start.is_some() && !self.has_carried_request.get();
        let mut role = shared.signals.role.clone();
        let head = loop {
            if *role.borrow() == Role::Retiring && !self.over_limit {
                return Ok(Step::HandOver);
            }
            match peek_head(buffer, MessageKind::Request) {
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    break head;
                }
                Ok(None) => {}
                Err(error) => return Err(error_answer(error)),
            }
            let (now, idle) = (shared.deadlines.clock().now(), buffer.is_empty());
            if idle {
                // Prevents idle connections from holding memory.
                *buffer = BytesMut::new();
            } else if !reservation.try_resize(buffer.len()) {
                return Err(NO_ROOM);
            }
            let deadline = match (idle, *message_start) {
                (true, None) => now + IDLE_TIMEOUT,
                _ => *message_start.get_or_insert(now) + HEAD_TIMEOUT,
            };
            let deadline = deadline.min(now + shared.drain_time_left());
            // A message that has begun on a connection that has carried a request is a usual client's, and is
            // not evicted. During an operator's drain the first message of a new connection is still read.
            let closes = self.is_draining()
                && (!is_first_message || *shared.signals.phase.borrow() == Phase::Draining);
            let is_evictable = if idle { !closes } else { !self.has_carried_request.get() };
            let mut evictable = is_evictable.then(|| {
                shared.add_evictable((self.has_carried_request.get(), idle), message_start.unwrap_or(0.0))
            });
            let at_once = Cell::new(false);
            let closing = async {
                match &mut evictable {
                    Some((_, closing)) => at_once.set(closing.await.is_err()),
                    // While draining, only bytes that have already been received are read.
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
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.over_limit => Some(true),
                () = shared.deadlines.sleep(deadline - now) => None,
            };
            if let Some((key, _)) = evictable {
                shared.remove_evictable(key);
            }
            let evicted = match more {
                Some(true) => continue,
                Some(false) => return Ok(Step::Drop),
                None if !idle => return Err(TOO_SLOW),
                None => at_once.get(),
            };
            // The system is asked, as the runtime may not have seen bytes that arrived since it last waited,
            // and a close over unread bytes would reset the connection.
            if !has_unread_bytes(stream) {
                return Ok(if evicted { Step::Drop } else { Step::Close });
            }
            if !read_more(stream, buffer).await.unwrap_or(false) {
                return Ok(Step::Drop);
            }
        };
        let mut body = BodyDecoder::new(&head);
        let (mut decoded, mut read, started) = (BytesMut::new(), 0, shared.deadlines.clock().now());
        loop {
            match body.take(buffer, MAX_BUFFERED_BODY_BYTES) {
                Ok(Some(data)) => {
                    decoded.extend_from_slice(&data);
                    if decoded.len() <= MAX_BUFFERED_BODY_BYTES
                        && reservation.try_resize(decoded.len() + buffer.len())
                    {
                        continue;
                    }
                }
                Ok(None) => {}
                Err(error) => return Err(error_answer(error)),
            }
            let complete = body.is_done();
            if complete && decoded.len() <= MAX_BUFFERED_BODY_BYTES {
                return Ok(Step::Message(Message { head, body: decoded.freeze(), rest: None }));
            }
            if decoded.len() > MAX_BUFFERED_BODY_BYTES
                || !reservation.try_resize(decoded.len() + buffer.len())
            {
                return Ok(Step::Message(Message { head, body: decoded.freeze(), rest: Some(body) }));
            }
            if read == 0 {
                // A body that will not be used is not requested from the client.
                if let ParsedRequest::Invalid(status, text) = (shared.parse)(&head, Bytes::new(), false) {
                    return Err((status, text));
                }
                if self.over_limit {
                    return Err(NO_ROOM);
                }
                if head.expects_continue() && decoded.is_empty() && !self.write(stream, CONTINUE).await {
                    return Ok(Step::Drop);
                }
            }
            // As with an incomplete head, the connection may be evicted.
            let mut evictable =
                (!self.has_carried_request.get()).then(|| shared.add_evictable((false, false), started));
            let closing = async {
                match &mut evictable {
                    Some((_, closing)) => drop(closing.await),
                    None => std::future::pending().await,
                }
            };
            let more = tokio::select! {
                biased;
                more = read_more(stream, buffer) => Ok(more.unwrap_or(false)),
                () = closing => Err(TOO_SLOW),
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.over_limit => Ok(true),
                () = shared.deadlines.sleep(self.body_time_left(started, read)) => Err(TOO_SLOW),
                () = shared.drain_timed_out() => Err(TOO_SLOW),
            };
            if let Some((key, _)) = evictable {
                shared.remove_evictable(key);
            }
            if !more? {
                return Ok(Step::Drop);
            }
            if *role.borrow() == Role::Retiring && !self.over_limit {
                let mut received = body.reencode(&head, &decoded);
                received.extend_from_slice(buffer);
                *buffer = received;
                *message_start = Some(started);
                return Ok(Step::HandOver);
            }
            read += buffer.len();
        }
    }

    /// Returns the time left for the next bytes of a body that started at `started` and of which `bytes`
    /// bytes have been received.
    fn body_time_left(&self, started: Millis, bytes: usize) -> Millis {
        started + BODY_GRACE_PERIOD + bytes as f64 / MIN_BODY_BYTES_PER_MS
            - self.shared.deadlines.clock().now()
    }

    /// Forwards the rest of a request's body to its attempt, until it is complete. If the attempt receives no
    /// more, the rest is discarded. `read` is the number of body bytes received so far.
    async fn forward_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation<'_>,
        (body, read): (&mut BodyDecoder, &mut usize),
        pieces: mpsc::Sender<BodyPiece>,
    ) -> UploadResult {
        let mut started = self.shared.deadlines.clock().now();
        let mut upload = Upload { pieces, sent: 0 };
        let mut receiver_closed = false;
        loop {
            let piece = match body.take(buffer, MAX_PIECE_BYTES) {
                Ok(Some(data)) => Some(BodyPiece::Data(data)),
                Ok(None) if body.is_done() => Some(BodyPiece::End),
                Ok(None) => None,
                Err(error) => return UploadResult::Invalid(error_answer(error)),
            };
            if let Some(piece) = piece {
                let (before, is_end) = (self.shared.deadlines.clock().now(), piece == BodyPiece::End);
                // The rest is read all the same: the request's deadlines start with its last byte, and the end
                // of the client's stream is only seen behind what it sent.
                if receiver_closed {
                    match is_end {
                        true => return UploadResult::Complete,
                        false => continue,
                    }
                }
                match self
                    .send_piece(stream, buffer, reservation, (&mut upload, piece, body.is_done()), read)
                    .await
                {
                    // An attempt whose body has a known length reads no `End`, and may have dropped its
                    // receiver.
                    SendResult::Sent | SendResult::ReceiverClosed if is_end => return UploadResult::Complete,
                    SendResult::Sent => {}
                    SendResult::ClientLeft => return UploadResult::ClientLeft,
                    SendResult::ReceiverClosed => receiver_closed = true,
                }
                // The time for which the backend did not read is not counted against the client.
                started += self.shared.deadlines.clock().now() - before;
                continue;
            }
            let within = self.body_time_left(started, *read);
            buffer.reserve(MAX_PIECE_BYTES);
            let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
            match self.shared.deadlines.within(within, stream.read_buf(&mut limited)).await {
                Some(Ok(n)) if n > 0 => *read += n,
                None => return UploadResult::Invalid(TOO_SLOW),
                _ => return UploadResult::ClientLeft,
            }
        }
    }

    /// Sends the next piece of a body once the channel has room for it. Until an attempt has received the
    /// first piece, the request waits for its first attempt. Meanwhile the body is read ahead, because only
    /// behind it can the end of the client's stream be seen. The last piece is held back if the client has
    /// left by then: a backend never runs an incomplete request.
    async fn send_piece(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation<'_>,
        (upload, piece, last): (&mut Upload, BodyPiece, bool),
        read: &mut usize,
    ) -> SendResult {
        let permit = loop {
            let waits = upload.waits_for_attempt();
            tokio::select! {
                biased;
                permit = upload.pieces.reserve() => break permit,
                connected = self.watch_uploading_client(stream, buffer, reservation, (waits, read)) => {
                    if !connected {
                        return SendResult::ClientLeft;
                    }
                }
            }
        };
        let Ok(permit) = permit else { return SendResult::ReceiverClosed };
        if last && is_closed(stream) {
            return SendResult::ClientLeft;
        }
        permit.send(piece);
        upload.sent += 1;
        reservation.try_resize_read_ahead(MAX_BUFFERED_BODY_BYTES + buffer.len());
        SendResult::Sent
    }

    /// Waits until the client of a body leaves, or more of the body has been read. Returns `false` if the
    /// client has left. The body is read only while it waits for its first attempt, and only as far as the
    /// memory budget allows.
    async fn watch_uploading_client(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation<'_>,
        (waits_for_attempt, read): (bool, &mut usize),
    ) -> bool {
        let reads = waits_for_attempt
            && buffer.len() <= MAX_READ_AHEAD_BYTES
            && reservation.try_resize_read_ahead(MAX_BUFFERED_BODY_BYTES + buffer.len() + MAX_PIECE_BYTES);
        if !reads {
            self.client_left(stream).await;
            return false;
        }
        buffer.reserve(MAX_PIECE_BYTES);
        let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
        let more = stream.read_buf(&mut limited).await.unwrap_or(0);
        *read += more;
        more > 0
    }

    /// Resolves once a client whose bytes are not read has left. Prevents a request from being sent for a
    /// client that left while it waited: the system reports the end of the stream even if unread bytes
    /// precede it.
    async fn client_left(&self, stream: &TcpStream) {
        loop {
            self.shared.deadlines.sleep(CLOSE_POLL_INTERVAL).await;
            if stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
                return;
            }
        }
    }

    /// Reads and discards the rest of a body whose request was answered before it was complete, as long as it
    /// arrives at the required rate. Returns whether it was completed, so that the connection can be used
    /// again. Prevents a reset from cutting off a client that sends its whole body before it reads the
    /// answer. The connection may be evicted meanwhile.
    async fn discard_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        mut body: BodyDecoder,
    ) -> bool {
        let started = self.shared.deadlines.clock().now();
        let (key, mut closing) = self.shared.add_evictable((false, false), started);
        let (mut read, mut drain) = (0, self.shared.signals.drain.clone());
        let complete = loop {
            match body.take(buffer, usize::MAX) {
                Ok(Some(_)) => continue,
                Ok(None) if body.is_done() => break true,
                Ok(None) => {}
                Err(_) => break false,
            }
            buffer.reserve(MAX_PIECE_BYTES);
            let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
            let within = self.body_time_left(started, read);
            let more = tokio::select! {
                more = self.shared.deadlines.within(within, stream.read_buf(&mut limited)) => more,
                _ = &mut closing => break false,
                _ = drain.wait_for(|drain| *drain == Drain::Closing) => break false,
            };
            match more {
                Some(Ok(n)) if n > 0 => read += n,
                _ => break false,
            }
        };
        self.shared.remove_evictable(key);
        complete
    }

    /// Answers a message. Writes the head and the first bytes of the body to `out`. Returns `None` if the
    /// client has left.
    async fn answer(
        &self,
        message: Message,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation<'_>,
        out: &mut BytesMut,
    ) -> Option<PreparedAnswer> {
        let shared = &self.shared;
        let Message { head, body, rest } = message;
        let read = body.len();
        let unread = rest.is_some();
        let is_head = head.request_line().0 == b"HEAD";
        let closes = |close: bool| close || head.close || self.over_limit || self.is_draining();
        let mut ahead = ReadAhead::default();
        let prepared = |close: bool, outcome| {
            Some(PreparedAnswer { close, outcome, rest: None, unread: None, ahead: ReadAhead::default() })
        };
        match (shared.parse)(&head, body, !unread) {
            ParsedRequest::Invalid(status, text) => {
                let close = closes(unread);
                put_text_answer(out, status, text, None, close);
                prepared(close, None)
            }
            ParsedRequest::Readiness => {
                let close = closes(unread);
                let before = out.len();
                match (*shared.signals.phase.borrow(), *shared.signals.drain.borrow()) {
                    (Phase::Serving, Drain::Inactive) => put_text_answer(out, 200, "ready", None, close),
                    _ => put_text_answer(out, 503, "not ready", None, close),
                }
                if is_head {
                    strip_body(out, before);
                }
                prepared(close, None)
            }
            ParsedRequest::Request(info, ..) if self.over_limit => {
                put_text_answer(out, 503, "no room", Some(shared.retry_after), true);
                prepared(true, Some((shared.stats.request_started(info.class), RequestOutcome::Rejected)))
            }
            ParsedRequest::Request(mut info, mut question, id) => {
                // Prevents a client from receiving another's answer, and an id from being in flight twice.
                if !shared.open_ids.borrow_mut().insert(id.clone()) {
                    let close = closes(unread);
                    put_text_answer(out, 409, "the id is that of an open flow", None, close);
                    return prepared(close, None);
                }
                let _id = OpenId(shared, id);
                self.has_carried_request.set(true);
                // Prevents a request that arrives late while this process drains from being lost when it
                // exits.
                info.time_left = info.time_left.min(shared.drain_time_left());
                let request = shared.stats.request_started(info.class);
                let upload = rest.map(|body| {
                    let (sender, pieces) = body_channel::channel();
                    question.rest = Some(SingleUseBody::new(pieces));
                    (body, sender)
                });
                let mut pending = shared.exchange.submit(info, question);
                let (mut early, mut unread) = (None, None);
                if let Some((mut body, sender)) = upload {
                    let mut read = read;
                    let upload =
                        self.forward_body(stream, buffer, reservation, (&mut body, &mut read), sender);
                    let result = tokio::select! {
                        biased;
                        final_answer = &mut pending => {
                            early = Some(final_answer);
                            UploadResult::Complete
                        }
                        result = upload => result,
                        // The process ends soon after, and the last byte might come unseen.
                        () = shared.drain_timed_out() => UploadResult::Invalid(TOO_SLOW),
                    };
                    match result {
                        UploadResult::Complete => {}
                        UploadResult::Invalid(error) => return Some(self.answer_error(out, error)),
                        UploadResult::ClientLeft => return None,
                    }
                    pending.body_received(shared.drain_time_left());
                    unread = early.is_some().then_some(body);
                }
                let final_answer = match early {
                    Some(final_answer) => final_answer,
                    None => loop {
                        tokio::select! {
                            biased;
                            final_answer = &mut pending => break final_answer,
                            // A client that closes its connection has left. Dropping `pending` tells the
                            // engine.
                            connected =
                                self.watch_client(stream, buffer, &mut ahead, Some((reservation, read))) =>
                            {
                                if !connected {
                                    return None;
                                }
                            }
                        }
                    },
                };
                let close = closes(ahead.overflowed);
                let (mut close, end, before, mut rest) = (close, final_answer.outcome(), out.len(), None);
                match final_answer {
                    FinalAnswer::Served(answer) => {
                        // Without a length and without chunks, the body lasts until the connection closes.
                        let chunked =
                            answer.rest.is_some() && answer.content_length.is_none() && !head.is_http_1_0;
                        close |= answer.rest.is_some() && answer.content_length.is_none() && head.is_http_1_0;
                        put_served_answer(out, &answer, chunked, is_head, close);
                        rest = answer.rest.map(|rest| (rest, chunked));
                    }
                    FinalAnswer::Rejected(retry_after) => {
                        put_text_answer(out, 429, "turned down", Some(retry_after), close)
                    }
                    FinalAnswer::NoRoom(retry_after) => {
                        put_text_answer(out, 503, "no room", Some(retry_after), close)
                    }
                    FinalAnswer::Failed { timed_out: true } => {
                        put_text_answer(out, 504, "no answer in time", None, close)
                    }
                    FinalAnswer::Failed { timed_out: false } => {
                        put_text_answer(out, 502, "failed", None, close)
                    }
                }
                if is_head {
                    strip_body(out, before);
                }
                if head.is_http_1_0 && !close {
                    insert_keep_alive(out, before);
                }
                Some(PreparedAnswer { close, outcome: Some((request, end)), rest, unread, ahead })
            }
        }
    }
}

/// The rest of a request's body that is forwarded to the attempt that reads it.
struct Upload {
    pieces: mpsc::Sender<BodyPiece>,
    /// The number of pieces sent to the channel, which buffers one that the attempt has not received.
    sent: usize,
}

impl Upload {
    /// Returns whether, as far as is known, no attempt has received any of the body.
    fn waits_for_attempt(&self) -> bool {
        self.sent <= 1
    }
}

/// The result of sending a piece of a body.
enum SendResult {
    /// The piece is in the channel.
    Sent,
    /// The attempt has ended and receives no more.
    ReceiverClosed,
    /// The client has left. Nothing was sent.
    ClientLeft,
}

/// The result of forwarding the rest of a request's body.
enum UploadResult {
    /// The body was forwarded completely, or the request was answered before.
    Complete,
    /// The body is invalid or too slow, and is answered with this.
    Invalid(ErrorAnswer),
    /// The client has left.
    ClientLeft,
}

/// The result of forwarding the rest of an answer.
enum Forwarded {
    /// The answer was forwarded completely.
    Complete,
    /// The backend broke off.
    Incomplete,
    /// The client has left, or accepts no more bytes.
    ClientLeft,
}

/// An answer that is ready to be written, and what follows it.
struct PreparedAnswer {
    /// Whether the connection closes after the answer.
    close: bool,
    /// The request, and how it is counted once the answer is written. `None` if the message was not a
    /// request.
    outcome: Option<(RequestInProgress, RequestOutcome)>,
    /// The rest of the answer's body, and whether it is sent in chunks.
    rest: Option<(BodyReceiver, bool)>,
    /// The part of the request's body that is not read yet, before the next message.
    unread: Option<BodyDecoder>,
    /// What was read ahead while the client waited.
    ahead: ReadAhead,
}

/// The state of reading ahead while a client waits for its answer.
#[derive(Debug, Default)]
struct ReadAhead {
    /// Whether more bytes were received than are kept. None are kept then.
    overflowed: bool,
    /// The number of bytes dropped since.
    dropped_bytes: usize,
}

/// Returns the answer to a message that cannot be parsed.
fn error_answer(error: ParseError) -> ErrorAnswer {
    match error {
        ParseError::Malformed => (400, "malformed request"),
        ParseError::BodyTooLarge => (413, "the body is too large"),
        ParseError::HeadTooLarge => (431, "the head is too large"),
    }
}

/// Removes the body of the answer that begins at `from`.
fn strip_body(out: &mut BytesMut, from: usize) {
    let head = out[from..].windows(4).position(|end| end == b"\r\n\r\n");
    head.inspect(|end| out.truncate(from + end + 4));
}

/// Adds `Connection: keep-alive` to the head that begins at `from`. Without it, an HTTP/1.0 client assumes
/// that the connection closes.
fn insert_keep_alive(out: &mut BytesMut, from: usize) {
    if let Some(end) = out[from..].windows(2).position(|end| end == b"\r\n") {
        let rest = out.split_off(from + end + 2);
        out.put_slice(b"Connection: keep-alive\r\n");
        out.unsplit(rest);
    }
}

/// Appends data of a body, as a chunk if `chunked`.
fn put_data(bytes: &mut BytesMut, data: &[u8], chunked: bool) {
    if chunked {
        bytes.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    }
    bytes.put_slice(data);
    if chunked {
        bytes.put_slice(b"\r\n");
    }
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
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

/// Appends the status line and the fields that frame the answer, without the empty line.
fn put_head(out: &mut BytesMut, status: u16, length: Option<usize>, close: bool) {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = length.map(|length| format!("Content-Length: {length}\r\n")).unwrap_or_default();
    let text = format!("HTTP/1.1 {status} {}\r\n{length}{connection}", reason_phrase(status));
    out.put_slice(text.as_bytes());
}

/// Appends a backend's answer, or its first part if the rest is forwarded later. `is_head` says that the
/// request was `HEAD`.
fn put_served_answer(out: &mut BytesMut, answer: &Answer, chunked: bool, is_head: bool, close: bool) {
    out.reserve(answer.body.len() + ANSWER_HEAD_BYTES);
    let length = (answer.rest.is_none() && !is_head).then_some(answer.body.len());
    put_head(out, 200, length.or(answer.content_length), close);
    if let Some(content_type) = &answer.content_type {
        out.put_slice(b"Content-Type: ");
        out.put_slice(content_type);
        out.put_slice(b"\r\n");
    }
    out.put_slice(if chunked { b"Transfer-Encoding: chunked\r\n\r\n".as_slice() } else { b"\r\n" });
    if !answer.body.is_empty() {
        put_data(out, &answer.body, chunked);
    }
}

/// Appends an answer with a text as its body.
fn put_text_answer(out: &mut BytesMut, status: u16, text: &str, retry_after: Option<Millis>, close: bool) {
    put_head(out, status, Some(text.len() + 1), close);
    if let Some(retry_after) = retry_after {
        out.put_slice(format!("Retry-After: {}\r\n", retry_after_seconds(retry_after)).as_bytes());
    }
    out.put_slice(format!("Content-Type: text/plain\r\n\r\n{text}\n").as_bytes());
}

/// Converts a time to the value of `Retry-After`: in seconds, with a fraction, rounded up to a whole
/// millisecond and at least 1 ms.
pub fn retry_after_seconds(span: Millis) -> f64 {
    let span = Duration::from_millis(span.max(1.0).ceil() as u64);
    span.as_secs_f64()
}
