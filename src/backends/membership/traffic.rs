//! What schedulings show of the real servers: connections that do not come up, in a row. Little is kept: those that
//! were reached last are not kept at all.

use super::MAX_INSTANCES;
use crate::interface::{BackendId, Outcome};
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use tokio::sync::Notify;

/// The real servers that were not reached.
#[derive(Debug, Default)]
pub struct Traffic {
    failed: BTreeMap<BackendId, u32>,
    suspects: BTreeSet<BackendId>,
}

impl Traffic {
    /// A scheduling has ended; true where its real server is a new suspect, as the last `most` never came up.
    pub fn ended(&mut self, server: BackendId, outcome: Outcome, most: u32) -> bool {
        match outcome {
            Outcome::ConnectFailed
                if self.failed.len() < MAX_INSTANCES || self.failed.contains_key(&server) =>
            {
                let failed = self.failed.entry(server).or_default();
                *failed += 1;
                // Each such row is told once; one that goes on is told again.
                failed.is_multiple_of(most.max(1)) && self.suspects.insert(server)
            }
            // These say nothing of the connection.
            Outcome::ConnectFailed | Outcome::NotSent | Outcome::Cancelled | Outcome::TimedOut => false,
            _ => {
                self.failed.remove(&server);
                self.suspects.remove(&server);
                false
            }
        }
    }

    /// The suspects since this was asked last.
    pub fn suspects(&mut self) -> BTreeSet<BackendId> {
        std::mem::take(&mut self.suspects)
    }
}

/// Where the engine tells how schedulings end, and the membership hears of suspects.
#[derive(Debug, Default)]
pub struct Witness {
    traffic: RefCell<Traffic>,
    most: Cell<u32>,
    noticed: Notify,
}

impl Witness {
    /// A scheduling has ended.
    pub fn ended(&self, server: BackendId, outcome: Outcome) {
        if self.traffic.borrow_mut().ended(server, outcome, self.most.get()) {
            self.noticed.notify_one();
        }
    }

    /// So many in a row make a suspect.
    pub fn suspect_after(&self, most: u32) {
        self.most.set(most);
    }

    /// Resolves once there are suspects.
    pub async fn suspects(&self) -> BTreeSet<BackendId> {
        loop {
            let suspects = self.traffic.borrow_mut().suspects();
            if !suspects.is_empty() {
                return suspects;
            }
            self.noticed.notified().await;
        }
    }
}

#[cfg(test)]
mod tests;
