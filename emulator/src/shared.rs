//! State that the whole fleet shares, and the rate limit on peer messages: the quota counter and
//! [`RateLimiter`].

use crate::script;
use std::collections::HashMap;

/// The shortest time for which the counter keeps a total, in milliseconds.
const MIN_LIFETIME_MS: f64 = 1.0;
/// The longest time for which the counter keeps a total, in milliseconds.
const MAX_LIFETIME_MS: f64 = 60_000.0;

/// The outcome of a call to the counter.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum CounterReply {
    /// The amount was added.
    Total {
        /// The total after the addition.
        total: f64,
        /// When the reply leaves the counter, in milliseconds of simulated time.
        ready_at: f64,
    },
    /// The call was rejected because the queue of its partition is full.
    Busy,
    /// No reply is sent, since the counter is unavailable.
    Lost,
}

/// The total that is kept under one name.
#[derive(Debug, Clone)]
struct Entry {
    total: f64,
    /// The total restarts at 0 after this time, in milliseconds.
    expires_at: f64,
}

/// The quota counter: partitions that each process calls in order of arrival, including calls whose caller
/// has timed out.
#[derive(Debug, Clone)]
pub struct Counter {
    /// When each partition has processed its queue, in milliseconds.
    free_at: Vec<f64>,
    entries: HashMap<u64, Entry>,
    /// Calls that arrive before this time get no reply, in milliseconds of simulated time.
    pub unavailable_until: f64,
    /// The number of calls that arrived, including rejected and lost ones.
    pub calls: u64,
}

impl Counter {
    /// Returns an available counter without entries.
    pub fn new(config: &script::Counter) -> Self {
        Self { free_at: vec![0.0; config.parts], entries: HashMap::new(), unavailable_until: 0.0, calls: 0 }
    }

    /// Handles a call that arrives at `now` and adds `amount` under `name`. A new total is kept for
    /// `lifetime` milliseconds, limited to 1 to 60,000; `service_time` is the processing time of this call in
    /// milliseconds.
    pub fn add(
        &mut self,
        now: f64,
        name: u64,
        amount: f64,
        lifetime: f64,
        config: &script::Counter,
        service_time: f64,
    ) -> CounterReply {
        self.calls += 1;
        if now < self.unavailable_until {
            return CounterReply::Lost;
        }
        let partition = (name % self.free_at.len() as u64) as usize;
        let interval = 1000.0 / config.calls_per_second;
        let starts_at = self.free_at[partition].max(now);
        if (starts_at - now) / interval > config.line {
            return CounterReply::Busy;
        }
        self.free_at[partition] = starts_at + interval;
        let expires_at = now + lifetime.clamp(MIN_LIFETIME_MS, MAX_LIFETIME_MS);
        let entry = self.entries.entry(name).or_insert(Entry { total: 0.0, expires_at });
        if entry.expires_at < now {
            *entry = Entry { total: 0.0, expires_at };
        }
        entry.total += amount;
        CounterReply::Total { total: entry.total, ready_at: starts_at + service_time }
    }

    /// Drops all entries, as a replacement of the counter process does.
    pub fn clear(&mut self) {
        self.entries.clear();
    }
}

/// A token bucket that limits how many peer messages an ingress accepts, with a burst of a quarter of a
/// second.
#[derive(Debug, Clone, Copy)]
pub struct RateLimiter {
    tokens: f64,
    /// When `tokens` was last updated, in milliseconds.
    updated_at: f64,
}

impl RateLimiter {
    /// Returns a full bucket for a limit of `per_second` messages.
    pub fn new(per_second: f64, now: f64) -> Self {
        Self { tokens: per_second / 4.0, updated_at: now }
    }

    /// Returns whether one more message is accepted at `now`, and takes a token if it is.
    pub fn admit(&mut self, now: f64, per_second: f64) -> bool {
        self.tokens =
            (self.tokens + (now - self.updated_at) * per_second / 1000.0).min((per_second / 4.0).max(1.0));
        self.updated_at = now;
        let admitted = self.tokens >= 1.0;
        self.tokens -= f64::from(admitted);
        admitted
    }
}

#[cfg(test)]
mod tests;
