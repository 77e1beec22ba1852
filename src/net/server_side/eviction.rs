//! The connections that may be closed to make room for others.

use super::Shared;
use crate::interface::Millis;
use std::cell::Cell;
use std::collections::BTreeMap;
use tokio::sync::oneshot;

/// The minimum age at which a connection without a complete message may be evicted for new ones. A usual
/// client has sent its message by then.
pub(super) const MIN_EVICTION_AGE: Millis = 100.0;
/// Eviction starts when fewer than this many connections are left below the limit.
const EVICTION_HEADROOM: usize = 4;

/// A body of which nothing has come for this long counts as stopped.
const STOPPED_BODY_SILENCE: Millis = 100.0;
/// A client whose body has stopped for this long gives up its place if that is needed.
const EVICTABLE_BODY_SILENCE: Millis = 500.0;

/// Counts a body that has stopped until it is dropped.
struct StoppedBody<'a>(&'a Cell<usize>);

impl<'a> StoppedBody<'a> {
    fn begin(count: &'a Cell<usize>) -> Self {
        count.set(count.get() + 1);
        Self(count)
    }
}

impl Drop for StoppedBody<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

#[derive(Debug)]
pub(super) struct Evictable {
    /// The time from which its age is counted, or 0 if no message has begun.
    pub(super) since: Millis,
    /// Whether no byte of a message has been received.
    pub(super) idle: bool,
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
pub(super) fn close_idle(evictable: &mut BTreeMap<u64, Evictable>) {
    evictable.extract_if(.., |_, entry| entry.idle).for_each(|(_, entry)| entry.close());
}

/// The key of an evictable connection: whether it has carried a request, and its number.
pub(super) type EvictableKey = (bool, u64);

impl<F> Shared<F> {
    /// Returns the number of connections to evict so that [`EVICTION_HEADROOM`] more can be accepted.
    pub(super) fn excess(&self) -> usize {
        (self.open.get() + EVICTION_HEADROOM).saturating_sub(self.limits.max_connections)
    }

    /// Evicts up to `count` connections, and returns whether it evicted any. Prevents clients that connect
    /// and send nothing, or an incomplete message, from crowding out usual clients. Recent connections may be
    /// those of usual clients and stay. Connections that are idle after a request are usual clients' as well,
    /// and are evicted only while no others are evictable.
    pub(super) fn evict(&self, count: usize) -> bool {
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
    /// eviction shortly, or whose body has stopped.
    pub(super) fn eviction_pending(&self) -> bool {
        let pending = !self.evictable.borrow()[0].is_empty() || self.stopped_bodies.get() > 0;
        pending && self.open.get() >= self.limits.max_connections
    }

    /// Waits for as long as a client may send nothing in the middle of a body: for `limit` milliseconds, or until its place
    /// is needed.
    pub(super) async fn body_silence(&self, limit: Millis) {
        let clock = self.deadlines.clock();
        let began = clock.now();
        self.deadlines.sleep(limit.min(STOPPED_BODY_SILENCE)).await;
        let _stopped = StoppedBody::begin(&self.stopped_bodies);
        loop {
            let silence = clock.now() - began;
            if silence >= limit || silence >= EVICTABLE_BODY_SILENCE && self.excess() > 0 {
                return;
            }
            self.deadlines.sleep((limit - silence).min(STOPPED_BODY_SILENCE)).await;
        }
    }

    /// Lists a connection as evictable. Returns its key, and a receiver that resolves when the connection is
    /// to be closed. If too many connections are idle after a request, the oldest of them is closed: clients
    /// that send one request and stay connected would leave no places to others.
    pub(super) fn add_evictable(
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

    /// Removes a connection from the evictable ones.
    pub(super) fn remove_evictable(&self, (has_carried_request, key): EvictableKey) {
        self.evictable.borrow_mut()[usize::from(has_carried_request)].remove(&key);
    }
}
