//! Time that a test's thread had: a machine that is busy with others makes nothing late.

use std::time::{Duration, Instant};

/// Time since a moment, less what this thread has waited for a processor since.
pub struct ThreadTimer {
    began: Instant,
    waited: Duration,
}

impl ThreadTimer {
    pub fn start() -> Self {
        Self { began: Instant::now(), waited: waited() }
    }

    pub fn elapsed(&self) -> Duration {
        self.began.elapsed().saturating_sub(waited().saturating_sub(self.waited))
    }
}

/// How long this thread has waited for a processor in all, as the system counts it; none where it doesn't.
fn waited() -> Duration {
    let counts = std::fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    let nanos = counts.split_ascii_whitespace().nth(1).and_then(|count| count.parse().ok());
    Duration::from_nanos(nanos.unwrap_or(0))
}
