//! The clock, and the sorted timer queue of all deadlines. The engine takes the expired ones in each turn of
//! its loop.

use crate::interface::{AttemptIndex, Millis, RequestId, TimerKey};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// A monotonic clock in Unix milliseconds; changes of the system's clock do not affect it.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    /// The Unix time of `origin`.
    unix_origin: Millis,
}

/// Returns the time on the system's clock, which may be stepped at any time, in Unix milliseconds.
pub fn wall_clock() -> Millis {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs_f64() * 1000.0
}

impl Clock {
    /// Creates a clock that starts at the system's current time.
    pub fn new() -> Self {
        Self { origin: Instant::now(), unix_origin: wall_clock() }
    }

    /// Returns the current time, in Unix milliseconds.
    pub fn now(&self) -> Millis {
        self.unix_origin + self.origin.elapsed().as_secs_f64() * 1000.0
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// What happens when a deadline expires.
#[derive(Debug)]
pub enum Expiry {
    /// The request fails if it has no final answer yet.
    Request(RequestId),
    /// The attempt times out.
    Attempt(RequestId, AttemptIndex),
    /// A timer of the decision module fires.
    Timer(TimerKey),
    /// The call to the counter with this number counts as unanswered.
    CounterCall(u64),
    /// A summary of the requests is logged.
    RequestSummary,
    /// A sleeping task is woken.
    Wake(Waker),
}

/// The key of a deadline, by which it can be removed: its time in Unix microseconds, and its number.
pub type DeadlineKey = (u64, u64);

#[derive(Debug, Default)]
struct Queue {
    expiries: BTreeMap<DeadlineKey, Expiry>,
    last_number: u64,
}

/// All deadlines of a process. Clones share one queue.
#[derive(Debug, Clone)]
pub struct Deadlines {
    clock: Clock,
    queue: Rc<RefCell<Queue>>,
    /// Notified when a deadline is added before all others.
    earlier_added: Rc<Notify>,
}

/// Converts milliseconds to whole microseconds, rounding down.
fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl Deadlines {
    /// Creates an empty queue.
    pub fn new(clock: Clock) -> Self {
        Self { clock, queue: Rc::default(), earlier_added: Rc::default() }
    }

    /// Returns the clock that the deadlines are measured by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Adds a deadline at a time in Unix milliseconds.
    pub fn add(&self, at: Millis, expiry: Expiry) -> DeadlineKey {
        let mut queue = self.queue.borrow_mut();
        queue.last_number += 1;
        // Rounded up, so that a deadline never expires early, not even by a fraction of a microsecond.
        let key = (micros(at) + 1, queue.last_number);
        // Wakes `next_expiry`, which would otherwise sleep past a deadline that is added while it waits for a
        // later one.
        if queue.expiries.first_key_value().is_none_or(|(first, _)| key < *first) {
            self.earlier_added.notify_one();
        }
        queue.expiries.insert(key, expiry);
        key
    }

    /// Removes a deadline. Does nothing if it has expired.
    pub fn remove(&self, key: DeadlineKey) {
        self.queue.borrow_mut().expiries.remove(&key);
    }

    /// Removes all deadlines that have expired at `now` and returns them in order. Sleeping tasks are woken
    /// instead.
    pub fn take_expired(&self, now: Millis) -> Vec<Expiry> {
        let mut queue = self.queue.borrow_mut();
        if queue.expiries.first_key_value().is_none_or(|(first, _)| first.0 > micros(now)) {
            return Vec::new();
        }
        let later = queue.expiries.split_off(&(micros(now) + 1, 0));
        let expired = std::mem::replace(&mut queue.expiries, later);
        drop(queue);
        let wake = |expiry| match expiry {
            Expiry::Wake(waker) => {
                waker.wake();
                None
            }
            other => Some(other),
        };
        expired.into_values().filter_map(wake).collect()
    }

    /// Waits until the earliest deadline expires, even if it is added during the wait.
    pub async fn next_expiry(&self) {
        loop {
            let first = self.queue.borrow().expiries.first_key_value().map(|(key, _)| key.0);
            let wait = first.map(|at| at.saturating_sub(micros(self.clock.now())));
            match wait {
                Some(0) => return,
                Some(wait) => tokio::select! {
                    () = tokio::time::sleep(Duration::from_micros(wait)) => {}
                    () = self.earlier_added.notified() => {}
                },
                None => self.earlier_added.notified().await,
            }
        }
    }

    /// Sleeps for `span` milliseconds.
    pub fn sleep(&self, span: Millis) -> Sleep {
        Sleep { deadlines: self.clone(), at: self.clock.now() + span, key: None }
    }

    /// Awaits a future for at most `span` milliseconds. Returns its output, or `None` if it takes longer.
    pub async fn within<F: Future>(&self, span: Millis, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(span) => None,
        }
    }
}

/// A sleep that [`Deadlines::take_expired`] ends.
#[derive(Debug)]
pub struct Sleep {
    deadlines: Deadlines,
    at: Millis,
    key: Option<DeadlineKey>,
}

impl Future for Sleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        self.key.take().inspect(|key| self.deadlines.remove(*key));
        if self.deadlines.clock.now() >= self.at {
            return Poll::Ready(());
        }
        self.key = Some(self.deadlines.add(self.at, Expiry::Wake(cx.waker().clone())));
        Poll::Pending
    }
}

impl Drop for Sleep {
    fn drop(&mut self) {
        self.key.inspect(|key| self.deadlines.remove(*key));
    }
}

#[cfg(test)]
mod tests;
