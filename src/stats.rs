//! The metrics of a process. Each event is counted once, where it happens; counters never decrease.

mod memory;
mod reasons;
mod uploads;

pub use memory::MemoryOwner;
pub use reasons::{CloseReason, RefusalReason};

use crate::interface::{ClassId, Millis, Outcome};
use memory::MemoryGauges;
use reasons::Reasons;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use uploads::UploadCounters;

/// How a request ended, if its client waited for the end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// The request was served.
    Completed,
    /// The request was rejected; a retry is safe.
    Rejected,
    /// The request failed, or its answer broke off.
    Failed,
}

/// The counters of a class.
#[derive(Debug, Default)]
struct Class {
    name: String,
    /// The number of requests for each [`RequestOutcome`], in the order of its variants.
    by_outcome: [AtomicU64; 3],
}

/// The state of the queries to Consul.
#[derive(Debug, Default)]
struct ConsulStats {
    /// The number of services that are queried.
    services: AtomicU64,
    /// The number of them whose queries currently fail.
    failing: AtomicU64,
    /// The time of the least recent among the last answers for each service, in Unix milliseconds; 0 if there
    /// is none.
    oldest_answer: AtomicU64,
}

/// All metrics of a process. Each starts at 0.
#[derive(Debug, Default)]
pub struct Stats {
    classes: Vec<Class>,
    /// The number of attempts whose request was written completely.
    attempts: AtomicU64,
    /// The number of requests in progress.
    pending: AtomicU64,
    consul: ConsulStats,
    reasons: Reasons,
    memory: MemoryGauges,
    uploads: UploadCounters,
}

/// The numbers of backends.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackendCounts {
    /// Backends on the list.
    pub listed: usize,
    /// Listed backends that receive no requests at present: disabled, draining or ejected.
    pub unavailable: usize,
}

impl Stats {
    /// Creates the metrics for classes with these names, in the order of their [`ClassId`]s.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Arc<Self> {
        let class = |name: &str| Class { name: name.to_owned(), by_outcome: Default::default() };
        Arc::new(Self { classes: names.into_iter().map(class).collect(), ..Self::default() })
    }

    /// Counts a request as in progress until the returned guard is dropped.
    pub fn request_started(self: &Arc<Self>, class: ClassId) -> RequestInProgress {
        self.pending.fetch_add(1, Ordering::Relaxed);
        RequestInProgress { stats: self.clone(), class }
    }

    /// Counts an attempt whose request was written completely to a backend.
    pub fn attempt_written(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts a client's connection that was closed.
    pub fn connection_closed(&self, reason: CloseReason) {
        self.reasons.connection_closed(reason);
    }

    /// Counts a request that was answered 429 or 503.
    pub fn refused(&self, reason: RefusalReason) {
        self.reasons.refused(reason);
    }

    /// Counts the end of an attempt.
    pub fn attempt_ended(&self, outcome: Outcome) {
        self.reasons.attempt_ended(outcome);
    }

    /// Counts a further attempt of a request whose last attempt ended with this outcome.
    pub fn retried_after(&self, outcome: Outcome) {
        self.reasons.retried_after(outcome);
    }

    /// Counts a request's body of which no more could be read ahead of its backend.
    pub fn read_ahead_limited(&self) {
        self.uploads.read_ahead_limited();
    }

    /// Records that the last byte of a request's body was read `delay` milliseconds after its client may have written it.
    pub fn body_end_read(&self, delay: Millis) {
        self.uploads.end_read(delay);
    }

    /// Sets the number of bytes that an owner holds.
    pub fn set_memory(&self, owner: MemoryOwner, bytes: usize) {
        self.memory.set(owner, bytes);
    }

    /// Sets the metrics of Consul: the number of services that are queried, the number of them whose queries
    /// fail, and the time of the oldest answer, in Unix milliseconds.
    pub fn set_consul(&self, services: usize, failing: usize, oldest_answer: f64) {
        self.consul.services.store(services as u64, Ordering::Relaxed);
        self.consul.failing.store(failing as u64, Ordering::Relaxed);
        self.consul.oldest_answer.store(oldest_answer.max(0.0) as u64, Ordering::Relaxed);
    }

    /// Returns all metrics as text, one line each. `now` is the time on this process's clock, in Unix milliseconds.
    pub fn text(&self, backends: BackendCounts, now: Millis) -> String {
        let read = |metric: &AtomicU64| metric.load(Ordering::Relaxed);
        let mut text = String::new();
        for (i, what) in ["completed", "rejected", "failed"].into_iter().enumerate() {
            for class in &self.classes {
                let _ = writeln!(
                    text,
                    "svc_{what}_total{{lane=\"{}\"}} {}",
                    class.name,
                    read(&class.by_outcome[i])
                );
            }
        }
        let _ = writeln!(text, "svc_upstream_requests_total {}", read(&self.attempts));
        let _ = writeln!(text, "svc_pending {}", read(&self.pending));
        let _ = writeln!(text, "svc_members {}", backends.listed);
        let _ = writeln!(text, "svc_members_unavailable {}", backends.unavailable);
        self.consul.write(&mut text, now);
        self.reasons.write(&mut text);
        self.memory.write(&mut text);
        self.uploads.write(&mut text);
        text
    }
}

impl ConsulStats {
    /// Appends these metrics to `text` if any service is queried.
    fn write(&self, text: &mut String, now: Millis) {
        let services = self.services.load(Ordering::Relaxed);
        if services == 0 {
            return;
        }
        let failing = self.failing.load(Ordering::Relaxed);
        let oldest_answer = self.oldest_answer.load(Ordering::Relaxed);
        let age = if oldest_answer > 0 { (now as u64).saturating_sub(oldest_answer) } else { 0 };
        let _ = writeln!(text, "svc_consul_services {services}\nsvc_consul_silent {failing}");
        let _ = writeln!(text, "svc_consul_age_ms {age}");
    }
}

/// A request in progress. It is counted under no outcome if it is dropped without [`Self::ended`]: its client
/// has left.
#[derive(Debug)]
pub struct RequestInProgress {
    stats: Arc<Stats>,
    class: ClassId,
}

impl RequestInProgress {
    /// Counts the request under `outcome`, once its answer is written or has broken off.
    pub fn ended(self, outcome: RequestOutcome) {
        if let Some(class) = self.stats.classes.get(self.class.0) {
            class.by_outcome[outcome as usize].fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Drop for RequestInProgress {
    fn drop(&mut self) {
        self.stats.pending.fetch_sub(1, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
