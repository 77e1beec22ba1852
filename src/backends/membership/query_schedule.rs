//! The schedule of Consul queries: the index of a blocking query, which agent is queried, and a rate limit.
//! No clock, no I/O.

use crate::interface::Millis;

/// The index of a service's blocking queries, kept by the rules of Consul's documentation of blocking
/// queries.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Cursor(u64);

impl Cursor {
    /// Returns the index for the next query, which blocks until the service has a later one; `None` if the
    /// query must not block.
    pub fn index(self) -> Option<u64> {
        (self.0 > 0).then_some(self.0)
    }

    /// Takes in the index of an answer.
    ///
    /// An index that goes backwards resets the cursor: after a restart of Consul's servers or a restored
    /// snapshot the index starts again, and a query for the old one would block forever. An index of 0
    /// becomes 1, as a query for 0 does not block at all.
    pub fn advance(&mut self, index: u64) {
        self.0 = if index < self.0 { 0 } else { index.max(1) };
    }

    /// Resets the cursor so that the next query does not block. Needed for another agent, whose index is its
    /// own.
    pub fn reset(&mut self) {
        self.0 = 0;
    }
}

/// Selects the agent to query, and moves on to the next one when an agent fails.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct AgentRotation(usize);

impl AgentRotation {
    /// Returns the index of the agent to query, of `agents` configured ones.
    pub fn current(self, agents: usize) -> usize {
        self.0 % agents.max(1)
    }

    /// Moves on to the next agent, after the current one failed.
    pub fn fail(&mut self) {
        self.0 = self.0.wrapping_add(1);
    }
}

/// A token bucket for queries, so that an index that advances fast does not cause a query for each step.
#[derive(Debug, Clone, Copy)]
pub struct QueryLimiter {
    /// The mean time between two queries, in milliseconds.
    interval: Millis,
    /// The number of queries that may follow each other at once.
    burst: f64,
    tokens: f64,
    /// When the tokens were last refilled.
    refilled_at: Millis,
}

/// The number of queries that may follow each other at once.
const QUERY_BURST: f64 = 8.0;
/// The least mean time between two queries of one instance, in milliseconds.
const MIN_QUERY_INTERVAL: Millis = 100.0;
/// The least mean time between two queries of all instances of a fleet together, in milliseconds. Bounds the
/// load on an agent.
const FLEET_QUERY_INTERVAL: Millis = 5.0;

impl QueryLimiter {
    /// Creates the limiter of one instance of a fleet of `instances`, with a full bucket.
    pub fn new(instances: u16, now: Millis) -> Self {
        Self {
            interval: MIN_QUERY_INTERVAL.max(FLEET_QUERY_INTERVAL * f64::from(instances)),
            burst: QUERY_BURST,
            tokens: QUERY_BURST,
            refilled_at: now,
        }
    }

    /// Takes a token for the next query, and returns how long that query has to wait, in milliseconds.
    pub fn reserve(&mut self, now: Millis) -> Millis {
        self.tokens = (self.tokens + (now - self.refilled_at).max(0.0) / self.interval).min(self.burst) - 1.0;
        self.refilled_at = now;
        (-self.tokens * self.interval).max(0.0)
    }
}

#[cfg(test)]
mod tests;
