//! The metrics of a process. Counters are counted once, where the thing happens, and only ever upwards.

use crate::interface::ClassId;
use std::fmt::Write;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{SystemTime, UNIX_EPOCH};

/// How a request ended whose client waited for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Completed,
    /// It was rejected: to try again is harmless.
    Rejected,
    /// It failed, or its answer broke off.
    Failed,
}

/// The counters of a class.
#[derive(Debug, Default)]
struct Class {
    name: String,
    /// Requests by their [`RequestOutcome`].
    ends: [AtomicU64; 3],
}

/// What is known of Consul's answers.
#[derive(Debug, Default)]
struct ConsulStats {
    /// Services that are asked for.
    services: AtomicU64,
    /// Those of them whose queries fail.
    silent: AtomicU64,
    /// When the service was last answered for whose answer is the oldest, in Unix milliseconds.
    oldest_answer: AtomicU64,
}

/// All metrics of a process; each starts at 0.
#[derive(Debug, Default)]
pub struct Stats {
    classes: Vec<Class>,
    /// Attempts written to their last byte.
    attempts: AtomicU64,
    /// Requests taken and not ended.
    pending: AtomicU64,
    consul: ConsulStats,
}

/// How many backends there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct BackendCounts {
    /// On the list.
    pub listed: usize,
    /// Those of them that get no work now: disabled, draining, or ejected.
    pub unavailable: usize,
}

impl Stats {
    /// Metrics for classes of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Arc<Self> {
        let class = |name: &str| Class { name: name.to_owned(), ends: Default::default() };
        Arc::new(Self { classes: names.into_iter().map(class).collect(), ..Self::default() })
    }

    /// Counts a request that is taken.
    pub fn request_started(self: &Arc<Self>, class: ClassId) -> RequestInProgress {
        self.pending.fetch_add(1, Ordering::Relaxed);
        RequestInProgress { stats: self.clone(), class }
    }

    /// Counts an attempt that was written to its last byte.
    pub fn written(&self) {
        self.attempts.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets what is known of Consul's answers: how many services are asked for, how many of their queries fail, and the
    /// time of the oldest answer, in Unix milliseconds.
    pub fn consul(&self, services: usize, silent: usize, oldest_answer: f64) {
        self.consul.services.store(services as u64, Ordering::Relaxed);
        self.consul.silent.store(silent as u64, Ordering::Relaxed);
        self.consul.oldest_answer.store(oldest_answer.max(0.0) as u64, Ordering::Relaxed);
    }

    /// All metrics as text, a line each.
    pub fn text(&self, members: BackendCounts) -> String {
        let read = |metric: &AtomicU64| metric.load(Ordering::Relaxed);
        let mut text = String::new();
        for (i, what) in ["completed", "rejected", "failed"].into_iter().enumerate() {
            for class in &self.classes {
                let _ =
                    writeln!(text, "svc_{what}_total{{lane=\"{}\"}} {}", class.name, read(&class.ends[i]));
            }
        }
        let _ = writeln!(text, "svc_upstream_requests_total {}", read(&self.attempts));
        let _ = writeln!(text, "svc_pending {}", read(&self.pending));
        let _ = writeln!(text, "svc_members {}", members.listed);
        let _ = writeln!(text, "svc_members_unavailable {}", members.unavailable);
        self.consul.write(&mut text);
        text
    }
}

impl ConsulStats {
    /// Writes these metrics, where any service is asked for.
    fn write(&self, text: &mut String) {
        let services = self.services.load(Ordering::Relaxed);
        if services == 0 {
            return;
        }
        let silent = self.silent.load(Ordering::Relaxed);
        let oldest_answer = self.oldest_answer.load(Ordering::Relaxed);
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let age = if oldest_answer > 0 { now.saturating_sub(oldest_answer) } else { 0 };
        let _ = writeln!(text, "svc_consul_services {services}\nsvc_consul_silent {silent}");
        let _ = writeln!(text, "svc_consul_age_ms {age}");
    }
}

/// A request that is taken and has not ended. One that is dropped without an end was given up by its client.
#[derive(Debug)]
pub struct RequestInProgress {
    stats: Arc<Stats>,
    class: ClassId,
}

impl RequestInProgress {
    /// Counts how it ended: its answer was written, or will never be whole.
    pub fn ended(self, how: RequestOutcome) {
        if let Some(class) = self.stats.classes.get(self.class.0) {
            class.ends[how as usize].fetch_add(1, Ordering::Relaxed);
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
