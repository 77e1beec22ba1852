//! Events in their order.

use super::World;
use crate::backend::{AttemptId, LoadReport};
use std::cmp::{Ordering, Reverse};
use weldhub::entries::ServiceEntry;
use weldhub::interface::{BackendState, CounterAnswer, ListKind, Outcome, TimerKey};
use weldhub_client::policy::TryOutcome;

pub(super) enum What {
    Arrives(usize),
    Tries(usize),
    Reaches(usize, u32, usize, u32),
    Answered(usize, u32, TryOutcome),
    TryEnds(usize, u32),
    Timer(usize, u32, TimerKey),
    Guard(usize, u32, u64),
    News(usize, u32, ListKind, Vec<ServiceEntry>),
    Published(usize, BackendState, u64),
    Catalogue(usize, u32, u64),
    Due(usize, u32),
    Asked(usize, u32),
    Mail(usize, usize, Vec<u8>),
    CallComes(usize, u32, u64, u64, f64, f64),
    CallEnds(usize, u32, u64, u64, CounterAnswer),
    Comes(AttemptId),
    Works(usize, u64),
    Replies(AttemptId, Outcome, LoadReport),
    GivesUp(AttemptId, Outcome),
    Refresh(usize),
    Shown(usize, LoadReport),
    Shift(usize),
    Trouble(usize),
    Down(usize, f64),
    Up(usize),
    Retires(usize, f64),
    Leaves(usize, f64),
    Stops(usize),
    Ready(usize),
    Restarted(usize, f64),
    Banned(usize, usize, bool),
    Slows(usize, f64),
    Errs(usize, f64),
    Healed(u8),
    Sample,
}

pub(super) struct Entry {
    pub(super) at: u64,
    pub(super) seq: u64,
    pub(super) what: What,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.seq) == (other.at, other.seq)
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.seq).cmp(&(other.at, other.seq))
    }
}

impl World<'_> {
    pub(super) fn at(&mut self, at: f64, what: What) {
        self.seq += 1;
        self.heap.push(Reverse(Entry { at: (at.max(self.now) * 1000.0).ceil() as u64, seq: self.seq, what }));
    }

    pub(super) fn after(&mut self, span: f64, what: What) {
        self.at(self.now + span, what);
    }
}
