//! The memory that clients and backends cause this process to hold, by its owner.

use std::fmt::Write;
use std::sync::atomic::{AtomicUsize, Ordering};

/// What holds memory of a size that clients or backends determine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MemoryOwner {
    /// Messages of clients, and what is read ahead of their answers.
    Clients,
    /// Answers of backends.
    Backends,
    /// What the system may hold for the sockets of long messages, beyond what it may hold for each socket.
    SocketBuffers,
    /// What is read ahead of uploads besides, because their clients might otherwise be answered too late.
    UrgentUploads,
    /// Streams of the authorisation front that wait for their callers.
    WaitingStreams,
    /// Checks of the authorisation front that wait for the engine.
    Checks,
}

const OWNER_LABELS: [&str; 6] =
    ["clients", "backends", "socket_buffers", "urgent_uploads", "waiting_streams", "checks"];

/// The bytes that each owner holds now, and the most that it has held.
#[derive(Debug, Default)]
pub(super) struct MemoryGauges {
    bytes: [AtomicUsize; OWNER_LABELS.len()],
    peaks: [AtomicUsize; OWNER_LABELS.len()],
}

impl MemoryGauges {
    pub(super) fn set(&self, owner: MemoryOwner, bytes: usize) {
        self.bytes[owner as usize].store(bytes, Ordering::Relaxed);
        self.peaks[owner as usize].fetch_max(bytes, Ordering::Relaxed);
    }

    /// Appends the gauges of the owners that have held any memory to `text`.
    pub(super) fn write(&self, text: &mut String) {
        for (index, label) in OWNER_LABELS.into_iter().enumerate() {
            let peak = self.peaks[index].load(Ordering::Relaxed);
            if peak > 0 {
                let bytes = self.bytes[index].load(Ordering::Relaxed);
                let _ = writeln!(text, "svc_memory_bytes{{owner=\"{label}\"}} {bytes}");
                let _ = writeln!(text, "svc_memory_peak_bytes{{owner=\"{label}\"}} {peak}");
            }
        }
    }
}
