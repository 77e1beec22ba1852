//! Bounds what is remembered by the names of customers: whoever sends requests chooses these.

use crate::interface::{CustomerId, Millis};
use crate::state::Limiter;

/// The fraction of the customers that is forgotten at a time once there are too many, so that the search for the oldest
/// is rare.
const FORGOTTEN_SHARE: f64 = 1.0 / 8.0;

impl Limiter {
    /// Sets the most customers that are remembered. Those that were seen least recently are forgotten for others.
    pub fn with_max_customers(mut self, max_customers: usize) -> Self {
        self.max_customers = max_customers;
        self
    }

    /// Returns since when the account of a customer that is not remembered is unknown.
    pub(crate) fn unknown_since(&self) -> Millis {
        self.started_at.max(self.forgotten_until)
    }

    /// Forgets customers if there are too many, but none with attempts in flight. What is known of a forgotten one is as
    /// much as after a start of this process, so it gets no more than it would after that.
    pub(crate) fn forget_excess_customers(&mut self) {
        if self.customers.len() <= self.max_customers {
            return;
        }
        let keep = (self.max_customers as f64 * (1.0 - FORGOTTEN_SHARE)) as usize;
        let idle = self.customers.iter().filter(|(_, customer)| customer.attempts_in_flight <= 0.0);
        let mut oldest: Vec<(Millis, CustomerId)> =
            idle.map(|(id, customer)| (customer.last_seen, *id)).collect();
        let excess = (self.customers.len() - keep).min(oldest.len());
        if excess == 0 {
            return;
        }
        let (_, last, _) = oldest.select_nth_unstable_by(excess - 1, |a, b| a.0.total_cmp(&b.0));
        self.forgotten_until = self.forgotten_until.max(last.0);
        for (_, id) in oldest.into_iter().take(excess) {
            self.customers.remove(&id);
            self.unreported.remove(&id);
            self.pool_customers.remove(&id);
        }
    }

    /// Forgets quotas that this ingress keeps for the others, those that were used least recently, if there are too many.
    pub(crate) fn forget_excess_quotas(&mut self) {
        if self.owned_quotas.len() <= self.max_customers {
            return;
        }
        let keep = (self.max_customers as f64 * (1.0 - FORGOTTEN_SHARE)) as usize;
        let mut oldest: Vec<(Millis, CustomerId)> =
            self.owned_quotas.iter().map(|(id, quota)| (quota.last_seen, *id)).collect();
        let excess = oldest.len() - keep;
        let (_, last, _) = oldest.select_nth_unstable_by(excess.max(1) - 1, |a, b| a.0.total_cmp(&b.0));
        self.forgotten_until = self.forgotten_until.max(last.0);
        for (_, id) in oldest.into_iter().take(excess) {
            self.owned_quotas.remove(&id);
        }
    }
}
