//! The server side of the platform front: accepts clients' connections, reads their HTTP/1.1 requests, awaits
//! the final answers from the exchange and writes them. What a request means is decided by the front, in
//! `fronts::platform`.

mod arrivals;
mod connection;
mod eviction;
mod message;
mod response;
mod upload;
mod upload_progress;
mod write_time;

pub use response::retry_after_seconds;

use super::budget::MemoryBudget;
use super::client_side::{Answer, Question};
use super::http::Head;
use super::socket_buffers::SocketBuffers;
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, RequestInfo};
use crate::interface::Millis;
use crate::stats::Stats;
use bytes::{Bytes, BytesMut};
use connection::Connection;
use eviction::{Evictable, MIN_EVICTION_AGE, close_idle};
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, watch};
use tokio::task::spawn_local;

/// The maximum number of bytes that are read from a client that waits for its answer, or of a body that waits
/// for its first attempt. A system buffers fewer bytes for a connection, so that the end of the stream is
/// reached behind all that a client sent before it left.
const MAX_READ_AHEAD_BYTES: usize = 8 << 20;
/// The number of bytes that are read and discarded at a time.
const SCRATCH_BYTES: usize = 64 * 1024;
/// The time to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Millis = 50.0;

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
    /// The number of connections whose client has stopped in the middle of a body.
    stopped_bodies: Cell<usize>,
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
    /// The bytes of bodies that may be read ahead besides, where the client might otherwise be answered too late.
    pub urgent_budget: MemoryBudget,
    /// The system's buffers for the connections.
    pub socket_buffers: SocketBuffers,
    /// The time within which every request that is read while the process drains must be answered, in
    /// milliseconds from the start of the drain.
    pub drain_timeout: Millis,
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
        let (open, closed, stopped_bodies, evictable, next_key, open_ids) = Default::default();
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
                stopped_bodies,
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
                    Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
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
            let mut accept_failed = false;
            while shared.open.get() < max_open
                && !accept_failed
                && let Some(listener) = &backlog
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                        stream.into_iter().for_each(|stream| Self::accept(&shared, stream));
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                    Err(e) if e.kind() == ErrorKind::WouldBlock => backlog = None,
                    Err(e) => {
                        warn!(shared.log, "a connection could not be accepted"; "error" => %e);
                        accept_failed = true;
                    }
                }
            }
            // A predecessor passes on the connections whose answers it still waits for: they are served here, or
            // passed on in turn.
            if shared.open.get() == 0 && !accept_failed && !*predecessor.borrow_and_update() {
                return;
            }
            tokio::select! {
                biased;
                () = shared.deadlines.sleep(ACCEPT_RETRY_DELAY), if accept_failed => {}
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
            buffers: RefCell::new(shared.limits.socket_buffers.adopt(&stream)),
            over_limit: false,
            has_carried_request: Cell::new(has_carried_request),
            has_read: Cell::default(),
        };
        spawn_local(connection.run(stream, bytes, message_start));
    }

    /// Serves a connection that a client has opened.
    fn accept(shared: &Rc<Shared<F>>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let over_limit = shared.open.get() >= shared.limits.max_connections;
        shared.open.set(shared.open.get() + 1);
        let message_start = Some(shared.deadlines.clock().now());
        let connection = Connection {
            shared: shared.clone(),
            buffers: RefCell::new(shared.limits.socket_buffers.new_connection()),
            over_limit,
            has_carried_request: Cell::new(false),
            has_read: Cell::default(),
        };
        spawn_local(connection.run(stream, BytesMut::new(), message_start));
    }
}

impl<F> Shared<F> {
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
}
