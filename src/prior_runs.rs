//! The requests that backends may have run already, by what identifies them at their client. A request that comes again,
//! on another connection or to the next process, is sent no further than its class permits.

use crate::interface::{AttemptIndex, BackendEntry, Millis, RequestId};
use serde::{Deserialize, Serialize};
use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};

/// The most requests that are remembered; the oldest are forgotten for new ones.
const MAX_RUNS: usize = 8192;
/// How long a request is remembered, in milliseconds, unless its window is longer.
const RETENTION: Millis = 60_000.0;

/// The first attempt of a request that may have run.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub(crate) struct PriorRun {
    /// The request of that attempt.
    request: RequestId,
    /// The attempt.
    attempt: AttemptIndex,
    /// Its backend, as it was listed then.
    pub(crate) backend: BackendEntry,
    /// When it was sent.
    pub(crate) sent_at: Millis,
}

/// The runs that are remembered.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct PriorRuns {
    by_identity: HashMap<u64, PriorRun>,
    /// The identities, oldest first. One that was forgotten may stand here until its time is over.
    oldest_first: VecDeque<(Millis, u64)>,
}

impl PriorRuns {
    /// Returns the run of the request of this identity.
    pub(crate) fn get(&self, identity: u64) -> Option<PriorRun> {
        self.by_identity.get(&identity).copied()
    }

    /// Remembers an attempt of a request, unless an earlier one is remembered.
    pub(crate) fn record(
        &mut self,
        identity: u64,
        (request, attempt): (RequestId, AttemptIndex),
        backend: BackendEntry,
        sent_at: Millis,
    ) {
        while self.oldest_first.len() >= MAX_RUNS
            || self.oldest_first.front().is_some_and(|(at, _)| sent_at - at > RETENTION)
        {
            self.forget_oldest();
        }
        if let Entry::Vacant(vacant) = self.by_identity.entry(identity) {
            vacant.insert(PriorRun { request, attempt, backend, sent_at });
            self.oldest_first.push_back((sent_at, identity));
        }
    }

    fn forget_oldest(&mut self) {
        let Some((at, identity)) = self.oldest_first.pop_front() else { return };
        if self.by_identity.get(&identity).is_some_and(|run| run.sent_at <= at) {
            self.by_identity.remove(&identity);
        }
    }

    /// Forgets an attempt, as it never ran.
    pub(crate) fn never_ran(&mut self, identity: u64, attempt: (RequestId, AttemptIndex)) {
        if self.by_identity.get(&identity).is_some_and(|run| (run.request, run.attempt) == attempt) {
            self.by_identity.remove(&identity);
        }
    }
}

#[cfg(test)]
mod tests;
