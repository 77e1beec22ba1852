//! Invariants that must hold in every run, checked on the actions of the ingresses and on their effects.

use crate::script::{RepeatSafety, Script};
use serde::Serialize;
use std::collections::HashMap;

/// An ingress may send new attempts to a backend for this long after it was notified that the backend drains
/// or is gone, in milliseconds.
const DRAIN_GRACE_MS: f64 = 250.0;
/// The fraction by which limits may be exceeded, since ingresses share usage with a delay. One request of the
/// largest size, or one attempt, is always allowed.
const LIMIT_SLACK: f64 = 0.1;
/// The refill that a ceiling allows on top of its burst and the slack, in seconds.
const CEILING_EXTRA_REFILL_S: f64 = 0.15;

/// An invariant.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request accepted by an ingress that stays up gets one final answer before its client times out.
    Answer,
    /// No new attempt goes to a backend later than 250 ms after the ingress was notified that it drains.
    Drain,
    /// No cold backend is overloaded until it crashes.
    Cold,
    /// Ceilings and caps on attempts in flight hold over all ingresses together.
    Ceiling,
    /// A request that may have been executed is sent again only if its class allows it.
    Resend,
}

/// A violation of an invariant.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breach {
    /// The invariant that was violated.
    pub rule: Rule,
    /// The simulated time, in milliseconds.
    pub at: f64,
    /// A description with the ids and amounts involved.
    pub what: String,
}

/// The number of breaches that are kept with a description. All are counted.
const MAX_DESCRIBED_BREACHES: usize = 20;

/// The usage of one customer above the refill of its ceiling.
#[derive(Debug)]
struct CeilingLevel {
    units: f64,
    /// When `units` was last updated, in milliseconds.
    updated_at: f64,
}

/// Checks the invariants over a run.
#[derive(Debug, Default)]
pub struct Checker {
    /// The first breaches, up to 20.
    pub breaches: Vec<Breach>,
    /// The number of breaches of each invariant.
    pub counts: HashMap<Rule, u64>,
    /// By customer id.
    ceiling_levels: HashMap<u64, CeilingLevel>,
    /// Attempts in flight, by customer id.
    in_flight: HashMap<u64, u32>,
}

impl Checker {
    /// Records a violation of `rule` at `at`. `what` is called only if the description is kept.
    pub fn record(&mut self, rule: Rule, at: f64, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < MAX_DESCRIBED_BREACHES {
            self.breaches.push(Breach { rule, at, what: what() });
        }
    }

    /// Checks [`Rule::Drain`] when an ingress sends an attempt. `unready_since` is when the ingress was
    /// notified that the backend is no longer ready, `None` if it knows the backend as ready or not at all.
    pub fn attempt_sent(&mut self, now: f64, ingress: usize, backend: u64, unready_since: Option<f64>) {
        if let Some(since) = unready_since.filter(|since| now - since > DRAIN_GRACE_MS) {
            self.record(Rule::Drain, now, || {
                format!("ingress {ingress} sends to {backend} {:.0} ms after the word", now - since)
            });
        }
    }

    /// Checks [`Rule::Resend`] when an ingress sends an attempt of `request` to `cell`. `maybe_executed` is
    /// the send time and the cell of the earliest attempt that may have been executed, `None` if there is
    /// none.
    pub fn attempt_repeats(
        &mut self,
        now: f64,
        repeat: RepeatSafety,
        maybe_executed: Option<(f64, u16)>,
        cell: u16,
        request: u64,
    ) {
        let Some((first, first_cell)) = maybe_executed else { return };
        let allowed = match repeat {
            RepeatSafety::Safe => true,
            RepeatSafety::Keyed { window } => first_cell == cell && now - first < window,
            RepeatSafety::Unsafe => false,
        };
        if !allowed {
            self.record(Rule::Resend, now, || {
                format!(
                    "request {request} is sent again {:.0} ms after it may have run, to pod {cell} after {first_cell}",
                    now - first
                )
            });
        }
    }

    /// Checks the rate of [`Rule::Ceiling`] when the first attempt of a try reaches a backend.
    pub fn try_reached_backend(&mut self, now: f64, customer: u64, plan: usize, units: f64, script: &Script) {
        let plan = &script.plans[plan];
        if plan.ceiling <= 0.0 {
            return;
        }
        let largest = f64::from(script.load.largest);
        let rate = plan.rate * plan.ceiling;
        let burst = plan.rate * plan.burst * plan.ceiling;
        let slack = (burst * LIMIT_SLACK).max(largest) + rate * CEILING_EXTRA_REFILL_S;
        let level =
            self.ceiling_levels.entry(customer).or_insert(CeilingLevel { units: 0.0, updated_at: now });
        level.units =
            (level.units - (now - level.updated_at) / 1000.0 * rate * (1.0 + LIMIT_SLACK)).max(0.0) + units;
        level.updated_at = now;
        if level.units > burst + slack {
            let over = level.units - burst;
            self.record(Rule::Ceiling, now, || {
                format!("customer {customer} is {over:.1} units over its ceiling")
            });
        }
    }

    /// Checks the cap on attempts in flight of [`Rule::Ceiling`] when a backend accepts an attempt
    /// (`started`) or the attempt ends (not `started`).
    pub fn attempt_in_flight(
        &mut self,
        now: f64,
        customer: u64,
        plan: usize,
        started: bool,
        script: &Script,
    ) {
        let plan = &script.plans[plan];
        if plan.at_once <= 0.0 || plan.ceiling <= 0.0 {
            return;
        }
        let in_flight = self.in_flight.entry(customer).or_default();
        *in_flight = if started { *in_flight + 1 } else { in_flight.saturating_sub(1) };
        let max = plan.at_once * plan.ceiling + (plan.at_once * LIMIT_SLACK).max(1.0);
        if started && f64::from(*in_flight) > max {
            let in_flight = *in_flight;
            self.record(Rule::Ceiling, now, || format!("customer {customer} has {in_flight} out at once"));
        }
    }
}
