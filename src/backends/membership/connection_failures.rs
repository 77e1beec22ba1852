//! Passive health checks: counts consecutive connection failures of backends, as seen by attempts. Only
//! backends whose last attempts failed to connect are kept.

use super::MAX_INSTANCES;
use crate::interface::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::Notify;

/// The consecutive connection failures of each backend, and the backends that have reached the threshold.
#[derive(Debug, Default)]
pub struct ConnectionFailures {
    consecutive: BTreeMap<BackendId, u32>,
    suspects: BTreeSet<BackendId>,
}

impl ConnectionFailures {
    /// Records the outcome of an attempt. Returns true if this makes the backend a new suspect, as its last
    /// `threshold` connections failed.
    pub fn record(&mut self, backend: BackendId, outcome: Outcome, threshold: u32) -> bool {
        match outcome {
            Outcome::ConnectFailed
                if self.consecutive.len() < MAX_INSTANCES || self.consecutive.contains_key(&backend) =>
            {
                let failures = self.consecutive.entry(backend).or_default();
                *failures += 1;
                // Reported once for each `threshold` failures, and so again while they go on.
                failures.is_multiple_of(threshold.max(1)) && self.suspects.insert(backend)
            }
            // These do not show whether the backend can be connected to.
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => false,
            _ => {
                self.consecutive.remove(&backend);
                self.suspects.remove(&backend);
                false
            }
        }
    }

    /// Returns the suspects since the last call.
    pub fn take_suspects(&mut self) -> BTreeSet<BackendId> {
        std::mem::take(&mut self.suspects)
    }
}

/// Passes connection failures from the engine, which records the outcomes of attempts, to the Consul watch,
/// which waits for suspects.
#[derive(Debug, Default)]
pub struct FailureMonitor {
    failures: RefCell<ConnectionFailures>,
    threshold: Cell<u32>,
    new_suspect: Notify,
}

impl FailureMonitor {
    /// Records the outcome of an attempt.
    pub fn record(&self, backend: BackendId, outcome: Outcome) {
        if self.failures.borrow_mut().record(backend, outcome, self.threshold.get()) {
            self.new_suspect.notify_one();
        }
    }

    /// Sets the number of consecutive connection failures that makes a backend a suspect.
    pub fn set_threshold(&self, threshold: u32) {
        self.threshold.set(threshold);
    }

    /// Waits until there are suspects, and returns those since the last call.
    pub async fn wait_for_suspects(&self) -> BTreeSet<BackendId> {
        loop {
            let suspects = self.failures.borrow_mut().take_suspects();
            if !suspects.is_empty() {
                return suspects;
            }
            self.new_suspect.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
