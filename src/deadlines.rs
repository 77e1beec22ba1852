//! The clock, and the sorted timer queue of all deadlines, which the engine sweeps in each turn.

use crate::interface::{AttemptIndex, Millis, RequestId, TimerKey};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use tokio::sync::Notify;

/// A clock in Unix milliseconds that only moves forward, whatever is done to the system's clock.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    origin: Instant,
    unix: Millis,
}

impl Clock {
    /// A clock that is set once by the system's clock.
    pub fn new() -> Self {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Self { origin: Instant::now(), unix: unix.as_secs_f64() * 1000.0 }
    }

    /// The time now.
    pub fn now(&self) -> Millis {
        self.unix + self.origin.elapsed().as_secs_f64() * 1000.0
    }
}

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

/// What a deadline is for.
#[derive(Debug)]
pub enum Expiry {
    /// The request must have its final answer.
    Request(RequestId),
    /// The attempt is given up.
    Attempt(RequestId, AttemptIndex),
    /// A timer of the decision module.
    Timer(TimerKey),
    /// A call to the counter counts as unanswered.
    CounterCall(u64),
    /// It is logged what became of the requests.
    RequestSummary,
    /// A task of the network code sleeps until then.
    Wake(Waker),
}

/// The key of a deadline, to remove it by.
pub type DeadlineKey = (u64, u64);

#[derive(Debug, Default)]
struct Sorted {
    due: BTreeMap<DeadlineKey, Expiry>,
    next: u64,
}

/// All deadlines of a process.
#[derive(Debug, Clone)]
pub struct Deadlines {
    clock: Clock,
    sorted: Rc<RefCell<Sorted>>,
    earlier: Rc<Notify>,
}

fn micros(at: Millis) -> u64 {
    (at.max(0.0) * 1000.0) as u64
}

impl Deadlines {
    /// No deadlines yet.
    pub fn new(clock: Clock) -> Self {
        Self { clock, sorted: Rc::default(), earlier: Rc::default() }
    }

    /// The clock they go by.
    pub fn clock(&self) -> Clock {
        self.clock
    }

    /// Adds a deadline.
    pub fn add(&self, at: Millis, due: Expiry) -> DeadlineKey {
        let mut sorted = self.sorted.borrow_mut();
        sorted.next += 1;
        // Rounded up: what is due is never swept before its time, if only by less than a microsecond.
        let key = (micros(at) + 1, sorted.next);
        // Prevents the engine from oversleeping a deadline that came while it slept.
        if sorted.due.first_key_value().is_none_or(|(first, _)| key < *first) {
            self.earlier.notify_one();
        }
        sorted.due.insert(key, due);
        key
    }

    /// Removes a deadline.
    pub fn remove(&self, key: DeadlineKey) {
        self.sorted.borrow_mut().due.remove(&key);
    }

    /// Removes all that are due at `now` and returns them in order, without sleepers, which are woken.
    pub fn take_expired(&self, now: Millis) -> Vec<Expiry> {
        let mut sorted = self.sorted.borrow_mut();
        if sorted.due.first_key_value().is_none_or(|(first, _)| first.0 > micros(now)) {
            return Vec::new();
        }
        let later = sorted.due.split_off(&(micros(now) + 1, 0));
        let due = std::mem::replace(&mut sorted.due, later);
        drop(sorted);
        let wake = |due| match due {
            Expiry::Wake(waker) => {
                waker.wake();
                None
            }
            other => Some(other),
        };
        due.into_values().filter_map(wake).collect()
    }

    /// Waits until the first deadline is due, even if an earlier one is added meanwhile.
    pub async fn first_due(&self) {
        loop {
            let first = self.sorted.borrow().due.first_key_value().map(|(key, _)| key.0);
            let wait = first.map(|at| at.saturating_sub(micros(self.clock.now())));
            match wait {
                Some(0) => return,
                Some(wait) => tokio::select! {
                    () = tokio::time::sleep(Duration::from_micros(wait)) => {}
                    () = self.earlier.notified() => {}
                },
                None => self.earlier.notified().await,
            }
        }
    }

    /// Sleeps for so many milliseconds.
    pub fn sleep(&self, span: Millis) -> Sleep {
        Sleep { deadlines: self.clone(), at: self.clock.now() + span, key: None }
    }

    /// The output of a future, or none where it takes longer than so many milliseconds.
    pub async fn within<F: Future>(&self, span: Millis, future: F) -> Option<F::Output> {
        tokio::select! {
            biased;
            output = future => Some(output),
            () = self.sleep(span) => None,
        }
    }
}

/// A sleep that the sweep ends.
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
