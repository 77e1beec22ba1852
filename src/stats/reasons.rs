//! Counters with a label: why a connection was closed, a request was refused, and a request was retried.

use crate::interface::Outcome;
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering};

/// Why this process closed a client's connection, or found it closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CloseReason {
    /// The client closed it, or it failed.
    ClientLeft,
    /// It was idle for too long.
    Idle,
    /// Its place was needed, or this process drains.
    Evicted,
    /// It closes after its answer: the client asked for that, or this process drains.
    AfterAnswer,
    /// Its message was malformed or too large.
    Invalid,
    /// Its message did not arrive in time.
    TooSlow,
    /// There was no memory for its message.
    NoMemory,
    /// The client accepted none of its answer for too long.
    ReaderStalled,
    /// The backend broke off an answer that had begun.
    AnswerBroken,
    /// The client sent more ahead of an answer than is kept.
    TooMuchAhead,
}

/// Why a request was answered 429 or 503.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The decision module rejected it.
    Rejected,
    /// The table of requests is full.
    TableFull,
    /// Its connection was accepted over the limit.
    OverConnectionLimit,
    /// There was no memory for its message.
    NoMemory,
}

const CLOSE_LABELS: [&str; 10] = [
    "client_left",
    "idle",
    "evicted",
    "after_answer",
    "invalid",
    "too_slow",
    "no_memory",
    "reader_stalled",
    "answer_broken",
    "too_much_ahead",
];
const REFUSAL_LABELS: [&str; 4] = ["rejected", "table_full", "over_connection_limit", "no_memory"];
const OUTCOME_LABELS: [&str; 8] =
    ["served", "error", "rejected", "timed_out", "connect_failed", "reset", "cancelled", "not_sent"];

/// The counters of all reasons. Each event is counted once.
#[derive(Debug, Default)]
pub(super) struct Reasons {
    closes: [AtomicU64; CLOSE_LABELS.len()],
    refusals: [AtomicU64; REFUSAL_LABELS.len()],
    /// The number of attempts by how they ended.
    attempt_ends: [AtomicU64; OUTCOME_LABELS.len()],
    /// The number of attempts after the first of their request, by how the attempt before ended.
    retries: [AtomicU64; OUTCOME_LABELS.len()],
}

fn increment(counters: &[AtomicU64], index: usize) {
    if let Some(counter) = counters.get(index) {
        counter.fetch_add(1, Ordering::Relaxed);
    }
}

impl Reasons {
    pub(super) fn connection_closed(&self, reason: CloseReason) {
        increment(&self.closes, reason as usize);
    }

    pub(super) fn refused(&self, reason: RefusalReason) {
        increment(&self.refusals, reason as usize);
    }

    pub(super) fn attempt_ended(&self, outcome: Outcome) {
        increment(&self.attempt_ends, outcome as usize);
    }

    pub(super) fn retried_after(&self, outcome: Outcome) {
        increment(&self.retries, outcome as usize);
    }

    /// Appends the counters that are not 0 to `text`.
    pub(super) fn write(&self, text: &mut String) {
        write_labelled(text, "svc_client_closes_total{reason", &self.closes, &CLOSE_LABELS);
        write_labelled(text, "svc_refusals_total{reason", &self.refusals, &REFUSAL_LABELS);
        write_labelled(text, "svc_attempt_ends_total{outcome", &self.attempt_ends, &OUTCOME_LABELS);
        write_labelled(text, "svc_retries_total{after", &self.retries, &OUTCOME_LABELS);
    }
}

fn write_labelled(text: &mut String, name: &str, counters: &[AtomicU64], labels: &[&str]) {
    for (counter, label) in counters.iter().zip(labels) {
        let count = counter.load(Ordering::Relaxed);
        if count > 0 {
            let _ = writeln!(text, "{name}=\"{label}\"}} {count}");
        }
    }
}
