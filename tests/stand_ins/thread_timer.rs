//! A timer that leaves out the time a thread waits for a processor, so that a busy machine makes no test late.

use std::time::{Duration, Instant};

/// Measures the time since its start, less the time that this thread has waited for a processor since then.
pub struct ThreadTimer {
    started: Instant,
    /// What [`waited`] returned at the start.
    waited_before: Duration,
}

impl ThreadTimer {
    /// Starts a timer for the calling thread.
    pub fn start() -> Self {
        Self { started: Instant::now(), waited_before: waited() }
    }

    /// The time since the start without the waits; call it on the thread that started the timer.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed().saturating_sub(waited().saturating_sub(self.waited_before))
    }
}

/// How long this thread has waited for a processor since it began, as Linux counts it; zero where no count is kept.
fn waited() -> Duration {
    let counts = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = counts.split_ascii_whitespace().nth(1).and_then(|count| count.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
