//! When the client of a request wrote the last byte of its body, as far as this side can tell. The time of the request
//! runs from then, not from when this process got round to reading that byte.

use crate::interface::Millis;
use std::collections::VecDeque;
use std::ops::Range;

/// The most bytes that a client's own system holds for a connection before it sends them: the largest that Linux chooses
/// by itself (`net.ipv4.tcp_wmem`).
const MAX_SENDER_BUFFER_BYTES: usize = 4 << 20;
/// The number of bytes that are received between two samples.
const SAMPLE_INTERVAL_BYTES: usize = 64 * 1024;

/// Bytes that the client's system holds arrive within this time, in milliseconds, if the receive window is open.
const MAX_TRANSIT_TIME: Millis = 2.0;
/// They arrive within this time in milliseconds if the receive window has been closed.
const MAX_WINDOW_UPDATE_TIME: Millis = 10.0;
/// Waits are summed over this time, in milliseconds.
const WAIT_SUM_TIME: Millis = 50.0;
/// The receive window may have been closed if this fraction of the receive buffer arrived between two waits: the system
/// counts its own overhead in the buffer, and opens the window in large steps.
const CLOSED_WINDOW_DIVISOR: usize = 4;

/// How far the client of a body was known to have written, and since when.
#[derive(Debug)]
pub(super) struct WriteTime {
    /// The times, and the bytes that the client had written by then at least. The first is that at which this process
    /// waited for the client: then the client had written no more.
    samples: VecDeque<(Millis, usize)>,
    /// The number of bytes that had been received at the last sample.
    sampled_at: usize,
    /// The size of the receive buffer in bytes.
    receive_buffer_bytes: usize,
    /// The number of bytes that had been received when this process last began to wait for more.
    received_before_wait: usize,
    /// When waits began to be summed, and their sum.
    recent_waits: (Millis, Millis),
}

impl WriteTime {
    /// Begins with `received` bytes that were received by `now` through a receive buffer of this size.
    pub(super) fn new(now: Millis, received: usize, receive_buffer_bytes: usize) -> Self {
        Self {
            samples: VecDeque::from([(now, received)]),
            sampled_at: received,
            receive_buffer_bytes,
            received_before_wait: received,
            recent_waits: (now, 0.0),
        }
    }

    /// Returns how long this process must wait for the client from `now` on, in milliseconds, until it is known to have
    /// written no more than the `received` bytes. Its own system may hold more for a moment, above all while the receive
    /// window is small.
    pub(super) fn conclusive_wait(&self, now: Millis, received: usize) -> Millis {
        let arrived = received - self.received_before_wait;
        if arrived < self.receive_buffer_bytes / CLOSED_WINDOW_DIVISOR {
            return MAX_TRANSIT_TIME;
        }
        let (_, sum) = self.recent_waits_at(now);
        (MAX_WINDOW_UPDATE_TIME - sum).max(MAX_TRANSIT_TIME)
    }

    /// Returns the waits that are summed at `now`: those of long ago no longer count.
    fn recent_waits_at(&self, now: Millis) -> (Millis, Millis) {
        let (since, _) = self.recent_waits;
        if now - since > WAIT_SUM_TIME { (now, 0.0) } else { self.recent_waits }
    }

    /// Records that nothing was unread at the start of `wait`, when `received` bytes had been received, and that `more`
    /// had arrived by its end.
    pub(super) fn waited(&mut self, wait: Range<Millis>, received: usize, more: usize) {
        let Range { start, end } = wait;
        let is_conclusive = end - start >= self.conclusive_wait(start, received);
        let (since, sum) = self.recent_waits_at(start);
        self.recent_waits = (since, sum + end - start);
        self.received_before_wait = received;
        if is_conclusive {
            self.samples.clear();
            self.samples.push_back((end, received + more));
            self.sampled_at = received + more;
        } else {
            self.received(end, received + more, || 0);
        }
    }

    /// Records that by `now` `received` bytes have been received, and that `unread` returns how many more the client had
    /// written at least. It is called only if a sample is due.
    pub(super) fn received(&mut self, now: Millis, received: usize, unread: impl FnOnce() -> usize) {
        if received < self.sampled_at + SAMPLE_INTERVAL_BYTES {
            return;
        }
        self.sampled_at = received;
        self.push(now, received + unread());
    }

    /// Records that by `now` the client had written `written` bytes at least, some of which are unread.
    pub(super) fn unread(&mut self, now: Millis, written: usize) {
        if self.samples.back().is_none_or(|(_, last)| written >= last + SAMPLE_INTERVAL_BYTES) {
            self.push(now, written);
        }
    }

    fn push(&mut self, now: Millis, written: usize) {
        self.samples.push_back((now, written));
        while self.samples.get(1).is_some_and(|(_, second)| second + MAX_SENDER_BUFFER_BYTES < written) {
            self.samples.pop_front();
        }
    }

    /// Returns the earliest time at which the client may have written the last of `length` bytes; `None` if it cannot
    /// have written it yet.
    pub(super) fn earliest_end(&self, length: usize) -> Option<Millis> {
        // A client may have written nearly as much more as is between two samples.
        let margin = MAX_SENDER_BUFFER_BYTES + SAMPLE_INTERVAL_BYTES;
        let may_hold_rest = |sample: &&(Millis, usize)| sample.1 + margin >= length;
        self.samples.iter().find(may_hold_rest).map(|(at, _)| *at)
    }
}

#[cfg(test)]
mod tests;
