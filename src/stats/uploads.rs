//! Metrics of request bodies that are forwarded in pieces.

use crate::interface::Millis;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Shows when a body is read later than its client writes it.
#[derive(Debug, Default)]
pub(super) struct UploadCounters {
    /// How often a body could be read no further ahead of its backend.
    limited: AtomicU64,
    /// The longest time from when a client may have written the last byte of a body until that was read, in milliseconds.
    max_end_delay: AtomicU64,
}

impl UploadCounters {
    pub(super) fn read_ahead_limited(&self) {
        self.limited.fetch_add(1, Ordering::Relaxed);
    }

    pub(super) fn end_read(&self, delay: Millis) {
        self.max_end_delay.fetch_max(delay.max(0.0) as u64, Ordering::Relaxed);
    }

    /// Appends these metrics to `text` if any body was read later than it might have been.
    pub(super) fn write(&self, text: &mut String) {
        let limited = self.limited.load(Ordering::Relaxed);
        if limited > 0 {
            let delay = self.max_end_delay.load(Ordering::Relaxed);
            let _ = writeln!(text, "svc_upload_read_ahead_limited_total {limited}");
            let _ = writeln!(text, "svc_upload_max_end_delay_ms {delay}");
        }
    }
}
