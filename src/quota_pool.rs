//! The pool of a customer's quota: units that some ingresses do not need, kept at the shared counter for the others.
//!
//! Each ingress has its even slice of the quota, whatever the counter tells. The customer's number at the counter is
//! what was borrowed less what was lent, so below zero it tells how much there is to borrow. A unit is lent only after
//! it has left the slice that it was part of, and used only after the counter has counted it as borrowed. So slices and
//! pool together hold no more than the quota, however late, seldom or failed the calls are: a call that fails loses
//! units at the worst. The exception is a number that begins anew just when units that were asked for in vain are given
//! back, which are then there twice; they are forgotten after [`PoolTerms::lease`].
//!
//! Records and arithmetic; by what it goes, and who borrows, is decided in `src/rules.rs`.

use crate::interface::{Action, CustomerId, Millis, Plan, PlanId};
use crate::rules::{POOL, is_sparse};
use crate::state::{Customer, Limiter, UsageSource};
use serde::{Deserialize, Serialize};

/// Whether the counter keeps a pool of a quota that so many ingresses share.
pub(crate) fn has_pool(plan: &Plan, spread: u16) -> bool {
    plan.rate > 0.0 && !is_sparse(plan, spread)
}

/// What the accounts of a pool go by.
#[derive(Debug, Clone, Copy)]
pub(crate) struct PoolTerms {
    /// What the pool holds at the most, as a part of the plan's burst.
    pub(crate) max_burst_share: f64,
    /// Borrowed units that are not used within this time go back.
    pub(crate) lease: Millis,
    /// How long nothing more is borrowed after the pool was short.
    pub(crate) short_pause: Millis,
    /// The least and the longest time between calls that only lend.
    pub(crate) min_lend_interval: Millis,
    pub(crate) max_lend_interval: Millis,
    /// The least that such a call lends, in largest requests.
    pub(crate) min_lend_requests: f64,
}

/// Units that one call moves.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Transfer {
    /// Asked for.
    borrow: f64,
    /// Not needed here.
    lend: f64,
    /// Asked for by an earlier call, counted and not granted.
    give_back: f64,
    /// Lent by an earlier call beyond what the pool is to hold.
    take_back: f64,
}

impl Transfer {
    /// What it adds to the customer's number.
    fn sum(&self) -> f64 {
        self.borrow - self.lend - self.give_back + self.take_back
    }
}

/// An ingress's account with the pool of a customer.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct PoolAccount {
    /// Units borrowed and not used yet.
    borrowed: f64,
    /// When these are lent again.
    lease_until: Millis,
    /// What the next call is to move.
    next: Transfer,
    /// What the call moves whose answer is awaited.
    on_its_way: Transfer,
    /// What is to be given back is forgotten then: the number that counted it may have begun anew.
    give_back_until: Millis,
    /// The pool was short: nothing is to be borrowed before this.
    short_until: Millis,
    /// The time between calls that only lend; the least one where it is shorter.
    lend_pause: Millis,
    /// What the pool had room for when the counter last told.
    room: Option<f64>,
}

impl PoolAccount {
    /// Whether the pool has just been found short.
    pub(crate) fn is_short(&self, now: Millis) -> bool {
        now < self.short_until
    }

    /// The next call is to borrow these units.
    pub(crate) fn borrow(&mut self, units: f64) {
        self.next.borrow = units;
    }

    /// Whether a call of its own is due for what an earlier one moved too much, one way or the other.
    fn needs_correction(&self) -> bool {
        self.next.give_back > 0.0 || self.next.take_back > 0.0
    }

    /// A call goes out; tells what it adds to the customer's number.
    pub(crate) fn begin(&mut self, now: Millis) -> f64 {
        if now > self.give_back_until {
            self.next.give_back = 0.0;
        }
        self.on_its_way = std::mem::take(&mut self.next);
        self.on_its_way.sum()
    }

    /// The call was counted. The number tells what is owed to the pool, which is to hold `most` units.
    pub(crate) fn counted(&mut self, now: Millis, owed: f64, most: f64, terms: &PoolTerms) {
        let call = std::mem::take(&mut self.on_its_way);
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
        // Each takes back no more than it lent itself, so what many find too much at once is not taken twice.
        let too_much = (-owed - most).clamp(0.0, call.lend);
        self.next.take_back += too_much;
        self.room = Some((most + owed).max(0.0));
        let longer = (2.0 * self.lend_pause).clamp(terms.min_lend_interval, terms.max_lend_interval);
        self.lend_pause = if too_much > 0.0 { longer } else { terms.min_lend_interval };
    }

    /// The call added nothing: all but what it was to borrow is left to the next.
    pub(crate) fn not_counted(&mut self) {
        let call = std::mem::take(&mut self.on_its_way);
        self.next.lend += call.lend;
        self.next.give_back += call.give_back;
        self.next.take_back += call.take_back;
    }

    /// The call may have been counted. Nothing of it may be used here or lent again; what was to be taken back is taken
    /// once more at the worst.
    pub(crate) fn unknown(&mut self) {
        let call = std::mem::take(&mut self.on_its_way);
        self.next.take_back += call.take_back;
    }
}

impl Customer {
    /// Units that may be used here: those of the even slice and borrowed ones.
    pub(crate) fn pooled_units(&self) -> f64 {
        self.slice.level + self.pool.borrowed
    }

    /// A call that was to add these units and attempts out added nothing.
    pub(crate) fn call_not_counted(&mut self, added: [f64; 2]) {
        self.counter.undo(added);
        self.pool.not_counted();
    }

    /// A call may have been counted: the next one is a fresh start.
    pub(crate) fn call_unknown(&mut self) {
        self.counter.total = None;
        self.pool.unknown();
    }

    /// A request inside the quota was sent on: borrowed units go first.
    pub(crate) fn draw_pooled(&mut self, units: f64) {
        let borrowed = units.min(self.pool.borrowed);
        self.pool.borrowed -= borrowed;
        self.slice.level -= units - borrowed;
        self.drawn += units;
    }

    /// Sets aside for the pool what was borrowed and not used in time, and what the full slice did not take in, up to
    /// what the pool had room for (`most` where that is not known), and `least` in any case. Tells whether so much is set aside.
    fn set_aside_unused(&mut self, now: Millis, [least, most]: [f64; 2]) -> bool {
        let mut unused = std::mem::take(&mut self.slice.overflow);
        if now >= self.pool.lease_until {
            unused += std::mem::take(&mut self.pool.borrowed);
        }
        self.pool.next.lend = (self.pool.next.lend + unused).min(self.pool.room.unwrap_or(most).max(least));
        self.pool.next.lend >= least
    }
}

impl Limiter {
    /// Whether a customer's unused units are pooled at the counter.
    pub(crate) fn uses_pool(&self, plan: PlanId, spread: u16) -> bool {
        let (plan, spread) = (self.plan(plan), spread.min(self.settings.ingress_count));
        self.usage_source == UsageSource::Counter && spread > 1 && has_pool(&plan, spread)
    }

    /// Lends what is not needed here. Prevents units from lying idle at ingresses that see little of a customer while
    /// those that see more of it refuse its requests.
    pub(crate) fn lend_unused(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.usage_source != UsageSource::Counter {
            return;
        }
        let mut customers = std::mem::take(&mut self.pool_customers);
        customers.extend(&self.unreported);
        customers.retain(|id| self.lend_customer(now, *id, actions));
        self.pool_customers = customers;
    }

    /// Tells whether the customer is still known and has a pool.
    fn lend_customer(&mut self, now: Millis, id: CustomerId, actions: &mut Vec<Action>) -> bool {
        let Some((plan, spread)) = self.customers.get(&id).map(|c| (c.plan, c.spread)) else { return false };
        if !self.uses_pool(plan, spread) {
            return false;
        }
        let (plan, largest) = (self.plan(plan), self.settings.max_request_units.max(1.0));
        let Some(customer) = self.customers.get_mut(&id) else { return false };
        customer.fill(now, plan.rate, &plan, largest);
        let enough = customer
            .set_aside_unused(now, [POOL.min_lend_requests * largest, POOL.max_burst_share * plan.burst]);
        let rested = now - customer.counter.sent_at >= customer.pool.lend_pause.max(POOL.min_lend_interval);
        // As seldom as calls are to be made: what is borrowed is worth more to callers than what is lent.
        let due = enough && rested || customer.pool.needs_correction();
        if due && self.rng.unit() < self.call_share * self.call_share {
            Self::call_counter(now, id, customer, &plan, actions);
        }
        true
    }
}
