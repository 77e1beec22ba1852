//! The rules that must hold whatever happens, checked on what the decisions do and on what becomes of it.

use crate::script::{RepeatSafety, Script};
use serde::Serialize;
use std::collections::HashMap;

/// After word that a real server drains or is gone, new work may still go to it for so long.
const GRACE: f64 = 250.0;
/// What ceilings may be passed by, as a part, or by one of the largest requests.
const SLACK: f64 = 0.1;

/// A rule.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Rule {
    /// Each request that was taken by an ingress that lives has one final answer before its client gives up.
    Answer,
    /// No new work later than 250 ms after word of a drain.
    Drain,
    /// No cold real server is pushed over.
    Cold,
    /// Ceilings and caps hold, by all ingresses together.
    Ceiling,
    /// A request that may have run is sent again only as its class allows.
    Resend,
}

/// What was broken.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Breach {
    /// Which rule.
    pub rule: Rule,
    /// When, in milliseconds.
    pub at: f64,
    /// How.
    pub what: String,
}

/// So many breaches are kept with their texts; all are counted.
const KEPT: usize = 20;

/// Watches the rules.
#[derive(Debug, Default)]
pub struct Checker {
    /// The first ones.
    pub breaches: Vec<Breach>,
    /// How many there were of each.
    pub counts: HashMap<Rule, u64>,
    ceilings: HashMap<u64, (f64, f64)>,
    out: HashMap<u64, u32>,
}

impl Checker {
    /// A rule is broken.
    pub fn breach(&mut self, rule: Rule, at: f64, what: impl FnOnce() -> String) {
        *self.counts.entry(rule).or_default() += 1;
        if self.breaches.len() < KEPT {
            self.breaches.push(Breach { rule, at, what: what() });
        }
    }

    /// An ingress sends to a real server that it knows to be no longer ready since `told`.
    pub fn sends(&mut self, now: f64, ingress: usize, server: u64, told: Option<f64>) {
        if let Some(told) = told.filter(|told| now - told > GRACE) {
            self.breach(Rule::Drain, now, || {
                format!("ingress {ingress} sends to {server} {:.0} ms after the word", now - told)
            });
        }
    }

    /// A further attempt goes out; `risky` is when the first one went that may have run, and where.
    pub fn again(
        &mut self,
        now: f64,
        repeat: RepeatSafety,
        risky: Option<(f64, u16)>,
        cell: u16,
        request: u64,
    ) {
        let Some((first, home)) = risky else { return };
        let good = match repeat {
            RepeatSafety::Safe => true,
            RepeatSafety::Keyed { window } => home == cell && now - first < window,
            RepeatSafety::Unsafe => false,
        };
        if !good {
            self.breach(Rule::Resend, now, || {
                format!("request {request} is sent again {:.0} ms after it may have run, to pod {cell} after {home}", now - first)
            });
        }
    }

    /// A try's first attempt has reached a real server.
    pub fn reaches(&mut self, now: f64, customer: u64, plan: usize, units: f64, script: &Script) {
        let plan = &script.plans[plan];
        if plan.ceiling <= 0.0 {
            return;
        }
        let largest = f64::from(script.load.largest);
        let rate = plan.rate * plan.ceiling;
        let burst = plan.rate * plan.burst * plan.ceiling;
        let slack = (burst * SLACK).max(largest) + rate * 0.15;
        let (level, at) = self.ceilings.entry(customer).or_insert((0.0, now));
        *level = (*level - (now - *at) / 1000.0 * rate * (1.0 + SLACK)).max(0.0) + units;
        *at = now;
        if *level > burst + slack {
            let over = *level - burst;
            self.breach(Rule::Ceiling, now, || {
                format!("customer {customer} is {over:.1} units over its ceiling")
            });
        }
    }

    /// An attempt of a capped customer is out, or no longer.
    pub fn out(&mut self, now: f64, customer: u64, plan: usize, more: bool, script: &Script) {
        let plan = &script.plans[plan];
        if plan.at_once <= 0.0 || plan.ceiling <= 0.0 {
            return;
        }
        let out = self.out.entry(customer).or_default();
        *out = if more { *out + 1 } else { out.saturating_sub(1) };
        let most = plan.at_once * plan.ceiling + (plan.at_once * SLACK).max(1.0);
        if more && f64::from(*out) > most {
            let out = *out;
            self.breach(Rule::Ceiling, now, || format!("customer {customer} has {out} out at once"));
        }
    }
}
