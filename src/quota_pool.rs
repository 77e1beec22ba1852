//! The pool of a customer's quota: units that some ingresses do not need, kept at the shared counter for the
//! others.
//!
//! Each ingress has its even slice of the quota, whatever the counter's total is. The customer's number at
//! the counter is the units borrowed less the units lent, so a negative number is the amount available to
//! borrow. A unit is lent only after it has left its slice, and used only after the counter has counted it as
//! borrowed. So slices and pool together never hold more than the quota, however late, rare or unsuccessful
//! the calls are; a failed call loses units at worst. There is one exception: if the number is reset just
//! when units that were borrowed in vain are given back, they exist twice. Units to be given back are
//! therefore dropped after [`PoolTerms::lease`].
//!
//! This module has records and arithmetic. The terms, and who borrows, are decided in `src/rules.rs`.

use crate::interface::{Action, CustomerId, Millis, Plan, PlanId};
use crate::rules::{POOL, is_sparse};
use crate::state::{Customer, Limiter, UsageSource};
use serde::{Deserialize, Serialize};

/// Returns whether the counter keeps a pool for a quota that is spread over this many ingresses.
pub(crate) fn has_pool(plan: &Plan, spread: u16) -> bool {
    plan.rate > 0.0 && !is_sparse(plan, spread)
}

/// The limits of borrowing and lending.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolTerms {
    /// The most units in a pool, as a fraction of the plan's burst.
    pub(crate) max_burst_share: f64,
    /// Time after which borrowed units that were not used are lent again.
    pub(crate) lease: Millis,
    /// Time without borrowing after the pool was short.
    pub(crate) short_pause: Millis,
    /// The least time between calls that only lend.
    pub(crate) min_lend_interval: Millis,
    /// The longest time between calls that only lend.
    pub(crate) max_lend_interval: Millis,
    /// The least that such a call lends, in largest requests.
    pub(crate) min_lend_requests: f64,
}

/// Units that one call transfers.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Transfer {
    /// Units to borrow.
    borrow: f64,
    /// Unused units to lend.
    lend: f64,
    /// Units that an earlier call borrowed and that were counted but not granted.
    give_back: f64,
    /// Units that an earlier call lent beyond the limit of the pool.
    take_back: f64,
}

impl Transfer {
    /// Returns what the transfer adds to the customer's number.
    fn sum(&self) -> f64 {
        self.borrow - self.lend - self.give_back + self.take_back
    }
}

/// An ingress's account with a customer's pool.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PoolAccount {
    /// Borrowed units that were not used yet.
    borrowed: f64,
    /// When these are lent again.
    lease_until: Millis,
    /// What the next call transfers.
    next: Transfer,
    /// What the call that waits for its answer transfers.
    in_transit: Transfer,
    /// When units to be given back are dropped, as the number that counted them may have been reset.
    give_back_until: Millis,
    /// No units are borrowed before this, as the pool was short.
    short_until: Millis,
    /// The time between calls that only lend, unless [`PoolTerms::min_lend_interval`] is longer.
    lend_interval: Millis,
    /// Units that the pool had room for at the last total; `None` before the first.
    room: Option<f64>,
}

impl PoolAccount {
    /// Returns whether the pool was short a moment ago.
    pub(crate) fn is_short(&self, now: Millis) -> bool {
        now < self.short_until
    }

    /// Sets the units that the next call borrows.
    pub(crate) fn borrow(&mut self, units: f64) {
        self.next.borrow = units;
    }

    /// Returns whether a call is due to undo what an earlier one transferred in excess.
    fn needs_correction(&self) -> bool {
        self.next.give_back > 0.0 || self.next.take_back > 0.0
    }

    /// Starts a call and returns what it adds to the customer's number.
    pub(crate) fn begin(&mut self, now: Millis) -> f64 {
        if now > self.give_back_until {
            self.next.give_back = 0.0;
        }
        self.in_transit = std::mem::take(&mut self.next);
        self.in_transit.sum()
    }

    /// Applies a call that was counted. `owed` is the customer's number, and `max_units` the limit of the
    /// pool.
    pub(crate) fn counted(&mut self, now: Millis, owed: f64, max_units: f64, terms: &PoolTerms) {
        let call = std::mem::take(&mut self.in_transit);
        let granted = (call.borrow - owed.max(0.0)).clamp(0.0, call.borrow);
        if granted > 0.0 {
            self.borrowed += granted;
            self.lease_until = now + terms.lease;
        }
        if granted < call.borrow {
            self.next.give_back += call.borrow - granted;
            self.give_back_until = now + terms.lease;
            self.short_until = now + terms.short_pause;
        }
        // No ingress takes back more than it lent, so that an excess that several of them see is not taken
        // back twice.
        let excess = (-owed - max_units).clamp(0.0, call.lend);
        self.next.take_back += excess;
        self.room = Some((max_units + owed).max(0.0));
        let doubled = (2.0 * self.lend_interval).clamp(terms.min_lend_interval, terms.max_lend_interval);
        self.lend_interval = if excess > 0.0 { doubled } else { terms.min_lend_interval };
    }

    /// Leaves to the next call everything but the borrowing of a call that added nothing.
    pub(crate) fn not_counted(&mut self) {
        let call = std::mem::take(&mut self.in_transit);
        self.next.lend += call.lend;
        self.next.give_back += call.give_back;
        self.next.take_back += call.take_back;
    }

    /// Drops a call that may have been counted. Its units are neither used here nor lent again; units to be
    /// taken back are taken back twice at worst.
    pub(crate) fn unknown(&mut self) {
        let call = std::mem::take(&mut self.in_transit);
        self.next.take_back += call.take_back;
    }
}

impl Customer {
    /// Returns the units that may be used here: those of the even slice and the borrowed ones.
    pub(crate) fn pooled_units(&self) -> f64 {
        self.slice.level + self.pool.borrowed
    }

    /// Restores the amounts of a counter call that added nothing.
    pub(crate) fn call_not_counted(&mut self, amounts: [f64; 2]) {
        self.counter.undo(amounts);
        self.pool.not_counted();
    }

    /// Starts afresh after a call that may have been counted.
    pub(crate) fn call_unknown(&mut self) {
        self.counter.total = None;
        self.pool.unknown();
    }

    /// Draws the units of an admitted request, borrowed units first.
    pub(crate) fn draw_pooled(&mut self, units: f64) {
        let borrowed = units.min(self.pool.borrowed);
        self.pool.borrowed -= borrowed;
        self.slice.level -= units - borrowed;
        self.drawn += units;
    }

    /// Sets unused units aside for lending: those borrowed and not used within the lease, and the overflow of
    /// the slice. They are limited to the room of the pool (`max_units` if unknown), but never to less than
    /// `min_lent`. Returns whether there are `min_lent` units to lend.
    fn set_aside_unused(&mut self, now: Millis, min_lent: f64, max_units: f64) -> bool {
        let mut unused = std::mem::take(&mut self.slice.overflow);
        if now >= self.pool.lease_until {
            unused += std::mem::take(&mut self.pool.borrowed);
        }
        self.pool.next.lend =
            (self.pool.next.lend + unused).min(self.pool.room.unwrap_or(max_units).max(min_lent));
        self.pool.next.lend >= min_lent
    }
}

impl Limiter {
    /// Returns whether a customer's unused units are pooled at the counter.
    pub(crate) fn uses_pool(&self, plan: PlanId, spread: u16) -> bool {
        let (plan, spread) = (self.plan(plan), spread.min(self.settings.ingress_count));
        self.usage_source == UsageSource::Counter && spread > 1 && has_pool(&plan, spread)
    }

    /// Lends unused units. Prevents units from being unused at ingresses that see few of a customer's
    /// requests while those that see more of them reject some.
    pub(crate) fn lend_unused(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.usage_source != UsageSource::Counter {
            return;
        }
        let mut customers = std::mem::take(&mut self.pool_customers);
        customers.extend(&self.unreported);
        customers.retain(|id| self.lend_customer(now, *id, actions));
        self.pool_customers = customers;
    }

    /// Lends a customer's unused units if that is due. Returns whether the customer is known and has a pool.
    fn lend_customer(&mut self, now: Millis, id: CustomerId, actions: &mut Vec<Action>) -> bool {
        let Some((plan, spread)) = self.customers.get(&id).map(|c| (c.plan, c.spread)) else { return false };
        if !self.uses_pool(plan, spread) {
            return false;
        }
        let (plan, largest) = (self.plan(plan), self.settings.max_request_units.max(1.0));
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        customer.fill(now, plan.rate, &plan, largest);
        let enough = customer.set_aside_unused(
            now,
            POOL.min_lend_requests * largest,
            POOL.max_burst_share * plan.burst,
        );
        let interval_over =
            now - customer.counter.sent_at >= customer.pool.lend_interval.max(POOL.min_lend_interval);
        // Lending calls are rarer than others while calls are limited: a call that borrows is worth more than
        // one that lends.
        let due = enough && interval_over || customer.pool.needs_correction();
        if due && self.rng.unit() < self.call_share * self.call_share {
            Self::call_counter(now, id, customer, &plan, actions);
        }
        true
    }
}
