//! The memory that callers make the front hold, in two budgets: one for streams that wait for their callers, whose heads,
//! bodies or answers are incomplete, and one for checks that wait for the engine. Callers that stop half way can take
//! up the first one only, so usual checks are answered beside them.

use super::service::CheckLimits;
use crate::net::budget::{MemoryBudget, PredecessorConnections, Reservation};
use crate::stats::{MemoryOwner, Stats};
use http::HeaderMap;
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use tokio::sync::Notify;

/// The memory of a stream without its head and body, in bytes: its task, its state in the HTTP/2 connection, and a read
/// buffer that a part of its head keeps.
pub(super) const STREAM_BYTES: usize = 8 * 1024;
/// The memory of a header field without its name and value, in bytes: its entry, in a map that has room for twice as many.
const FIELD_BYTES: usize = 256;
/// A check of up to this many bytes is always taken: the engine's table bounds their number.
const SMALL_CHECK_BYTES: usize = 24 * 1024;
/// The head of a check is held twice: as received, and for the authoriser.
const HEAD_COPIES: usize = 2;

/// Returns the memory of a stream with this head, in bytes.
pub(super) fn stream_bytes(head: &HeaderMap) -> usize {
    let text: usize = head.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    STREAM_BYTES + HEAD_COPIES * (head.len() * FIELD_BYTES + text)
}

/// The budgets of all callers. Clones share them.
#[derive(Debug, Clone)]
pub(super) struct CallerMemory {
    /// For streams that wait for their callers.
    waiting: MemoryBudget,
    /// For checks that wait for the engine.
    checks: MemoryBudget,
    /// What the waiting streams of one connection may take in any case, in bytes.
    connection_share: usize,
}

impl CallerMemory {
    /// Creates the budgets for these limits.
    pub(super) fn new(limits: &CheckLimits, stats: &Arc<Stats>) -> Self {
        let budget = |owner| {
            let no_predecessor = PredecessorConnections::default();
            MemoryBudget::with_gauge(limits.max_bytes, no_predecessor, stats.clone(), owner)
        };
        Self {
            waiting: budget(MemoryOwner::WaitingStreams),
            checks: budget(MemoryOwner::Checks),
            connection_share: limits.max_bytes / 2 / limits.max_connections.max(1),
        }
    }

    /// Returns the account of a new connection.
    pub(super) fn connection(&self) -> Rc<ConnectionMemory> {
        let (waiting_bytes, is_evicted, evicted) = Default::default();
        Rc::new(ConnectionMemory { memory: self.clone(), waiting_bytes, is_evicted, evicted })
    }
}

/// What the waiting streams of one connection hold.
#[derive(Debug)]
pub(super) struct ConnectionMemory {
    memory: CallerMemory,
    waiting_bytes: Cell<usize>,
    /// Whether it takes no more checks, as its streams held too much for too long.
    is_evicted: Cell<bool>,
    /// Wakes the streams that wait for their caller then.
    evicted: Notify,
}

impl ConnectionMemory {
    /// Returns whether the waiting streams hold more than the share of the connection.
    pub(super) fn is_beyond_share(&self) -> bool {
        self.waiting_bytes.get() > self.memory.connection_share
    }

    /// Returns whether `more` bytes of waiting streams are more than this connection may hold now: half of the budget is
    /// taken, and they are beyond its share.
    pub(super) fn exceeds_share(&self, more: usize) -> bool {
        let is_beyond_share = self.waiting_bytes.get() + more > self.memory.connection_share;
        is_beyond_share && self.memory.waiting.is_half_taken()
    }

    /// Has the streams end that wait for their caller, now or later. Returns `false` if they were told before.
    pub(super) fn evict(&self) -> bool {
        self.evicted.notify_waiters();
        !self.is_evicted.replace(true)
    }

    /// Returns whether the streams that wait for their caller end.
    pub(super) fn is_evicted(&self) -> bool {
        self.is_evicted.get()
    }

    /// Resolves once the streams that wait for their caller must end.
    pub(super) async fn evicted(&self) {
        if !self.is_evicted() {
            self.evicted.notified().await;
        }
    }

    /// Returns a reservation for a stream that waits for its caller and holds `bytes` already.
    pub(super) fn hold_waiting(self: &Rc<Self>, bytes: usize) -> WaitingStream {
        let reservation = self.memory.waiting.reserve();
        let mut stream = WaitingStream { connection: self.clone(), reservation };
        stream.hold(bytes);
        stream
    }

    /// Reserves the memory of a check that waits for the engine; `None` if there is none.
    pub(super) fn hold_check(&self, bytes: usize) -> Option<Rc<Reservation>> {
        let mut reservation = self.memory.checks.reserve();
        if !reservation.try_resize(bytes) {
            if bytes > SMALL_CHECK_BYTES {
                return None;
            }
            reservation.hold(bytes);
        }
        Some(Rc::new(reservation))
    }
}

/// What a stream holds that waits for its caller.
#[derive(Debug)]
pub(super) struct WaitingStream {
    connection: Rc<ConnectionMemory>,
    reservation: Reservation,
}

impl WaitingStream {
    /// Returns the bytes that are held.
    pub(super) fn bytes(&self) -> usize {
        self.reservation.bytes()
    }

    /// Changes what is held to `bytes` in total: they are in memory already.
    pub(super) fn hold(&mut self, bytes: usize) {
        let others = self.connection.waiting_bytes.get() - self.reservation.bytes();
        self.connection.waiting_bytes.set(others + bytes);
        self.reservation.hold(bytes);
    }

    /// Changes what is held to `bytes` in total, unless that is more than the connection may hold.
    pub(super) fn try_hold(&mut self, bytes: usize) -> bool {
        let is_granted = !self.connection.exceeds_share(bytes.saturating_sub(self.bytes()));
        if is_granted {
            self.hold(bytes);
        }
        is_granted
    }
}

impl Drop for WaitingStream {
    fn drop(&mut self) {
        self.hold(0);
    }
}
