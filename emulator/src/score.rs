//! The score of a run: the worth that was served as a share of the worth that was demanded.
//!
//! The demand is what one token bucket per customer admits if it sees the first try of every request. A
//! request counts as served if it is answered within the aim of its class and its last try was inside the
//! quota when its first attempt reached a backend, whichever try that was.

use crate::script::Script;
use serde::Serialize;
use std::collections::HashMap;

/// The length of the worst window, in milliseconds.
pub const WORST_WINDOW_MS: f64 = 10_000.0;
/// The interval by which worth is accumulated, in milliseconds.
pub const STEP_MS: f64 = 1000.0;

/// The weight of the share of the whole run in the service score.
const WHOLE_WEIGHT: f64 = 0.5;
/// The weight of the share of the worst window.
const WORST_WINDOW_WEIGHT: f64 = 0.25;
/// The weight of the share of the worst class.
const WORST_CLASS_WEIGHT: f64 = 0.1;
/// The weight of the share of the worst plan.
const WORST_PLAN_WEIGHT: f64 = 0.15;

/// Worth demanded and served, in units weighted by the worth of class and plan.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Worth {
    /// The worth of the requests demanded inside the quotas.
    pub asked: f64,
    /// The worth of the requests inside the quotas that were answered in time.
    pub served: f64,
}

impl Worth {
    /// Returns the share that was served, at most 1, and 1 if nothing was demanded.
    pub fn share(&self) -> f64 {
        if self.asked > 0.0 { (self.served / self.asked).min(1.0) } else { 1.0 }
    }
}

/// Accumulates the worth demanded and served over a run.
#[derive(Debug)]
pub struct Score {
    /// The worth of each step of [`STEP_MS`], by the arrival of the requests.
    pub steps: Vec<Worth>,
    /// The worth of each class.
    pub classes: Vec<Worth>,
    /// The worth of each plan.
    pub plans: Vec<Worth>,
    /// The cost of the requests beyond the quotas that reached a backend, in worth.
    pub excess_cost: f64,
    /// The quotas drawn on by requests when they arrive, by customer id.
    demand_buckets: HashMap<u64, TokenBucket>,
    /// The quotas drawn on by tries when they reach a backend, by customer id.
    sent_buckets: HashMap<u64, TokenBucket>,
    /// In place of `demand_buckets` for plans whose quota is a cap on attempts in flight.
    demand_in_flight: HashMap<u64, IdealInFlight>,
    /// In place of `sent_buckets` for plans whose quota is a cap on attempts in flight.
    sent_in_flight: HashMap<u64, IdealInFlight>,
}

/// When the requests of a customer that are in flight would end if each ran on an idle backend, in
/// milliseconds.
#[derive(Debug, Default)]
struct IdealInFlight(Vec<f64>);

impl IdealInFlight {
    /// Returns whether one more request fits into a cap on requests in flight, and adds it if it does.
    fn admit(&mut self, now: f64, class: usize, units: f64, cap: f64, script: &Script) -> bool {
        self.0.retain(|ends_at| *ends_at > now);
        let fits = (self.0.len() as f64) + 1.0 <= cap.max(1.0);
        if fits {
            self.0.push(now + script.classes[class].work * units / script.mean_units());
        }
        fits
    }
}

/// The quota of one customer that is left.
#[derive(Debug)]
struct TokenBucket {
    units: f64,
    /// When `units` was last updated, in milliseconds.
    updated_at: f64,
}

impl TokenBucket {
    /// Refills the bucket by `rate` units a second up to `burst`. Returns whether it holds `units`, and takes
    /// them if it does.
    fn take(&mut self, now: f64, units: f64, rate: f64, burst: f64) -> bool {
        let level = (self.units + (now - self.updated_at).max(0.0) / 1000.0 * rate).min(burst);
        let fits = level >= units;
        *self = Self { units: if fits { level - units } else { level }, updated_at: now };
        fits
    }
}

impl Score {
    /// Returns an empty score for the classes and plans of `script`.
    pub fn new(script: &Script) -> Self {
        Self {
            steps: Vec::new(),
            classes: vec![Worth::default(); script.classes.len()],
            plans: vec![Worth::default(); script.plans.len()],
            excess_cost: 0.0,
            demand_buckets: HashMap::new(),
            sent_buckets: HashMap::new(),
            demand_in_flight: HashMap::new(),
            sent_in_flight: HashMap::new(),
        }
    }

    /// Records the arrival of a request at its client. Returns its worth if it is inside the quota, 0
    /// otherwise.
    pub fn record_demand(
        &mut self,
        now: f64,
        customer: u64,
        plan_index: usize,
        class: usize,
        units: f64,
        script: &Script,
    ) -> f64 {
        let plan = &script.plans[plan_index];
        let burst = plan.rate * plan.burst;
        let within_quota = if plan.unrated {
            self.demand_in_flight.entry(customer).or_default().admit(now, class, units, plan.at_once, script)
        } else {
            let full = TokenBucket { units: burst, updated_at: now };
            self.demand_buckets.entry(customer).or_insert(full).take(now, units, plan.rate, burst)
        };
        if !within_quota {
            return 0.0;
        }
        let worth = Self::request_worth(plan_index, class, units, script);
        let step = (now / STEP_MS) as usize;
        if self.steps.len() <= step {
            self.steps.resize(step + 1, Worth::default());
        }
        for account in [&mut self.steps[step], &mut self.classes[class], &mut self.plans[plan_index]] {
            account.asked += worth;
        }
        worth
    }

    /// Returns the worth of a request of `units`.
    pub fn request_worth(plan: usize, class: usize, units: f64, script: &Script) -> f64 {
        script.classes[class].worth * script.plans[plan].worth * units
    }

    /// Records that a request inside the quota, which arrived at `arrived_at`, was answered in time.
    pub fn record_served(&mut self, arrived_at: f64, plan: usize, class: usize, worth: f64) {
        let step = ((arrived_at / STEP_MS) as usize).min(self.steps.len().saturating_sub(1));
        if let Some(account) = self.steps.get_mut(step) {
            account.served += worth;
        }
        self.classes[class].served += worth;
        self.plans[plan].served += worth;
    }

    /// Records that the first attempt of a try reached a backend. Returns whether the try is inside the
    /// quota; its cost is added to [`Self::excess_cost`] if not.
    pub fn record_sent(
        &mut self,
        now: f64,
        customer: u64,
        plan_index: usize,
        class: usize,
        units: f64,
        script: &Script,
    ) -> bool {
        let plan = &script.plans[plan_index];
        let burst = plan.rate * plan.burst;
        let within_quota = if plan.unrated {
            self.sent_in_flight.entry(customer).or_default().admit(now, class, units, plan.at_once, script)
        } else {
            let full = TokenBucket { units: burst, updated_at: now };
            self.sent_buckets.entry(customer).or_insert(full).take(now, units, plan.rate, burst)
        };
        if !within_quota {
            self.excess_cost += plan.beyond * Self::request_worth(plan_index, class, units, script);
        }
        within_quota
    }

    /// Returns the worth of the whole run.
    pub fn total(&self) -> Worth {
        self.steps.iter().fold(Worth::default(), |total, step| Worth {
            asked: total.asked + step.asked,
            served: total.served + step.served,
        })
    }

    /// Returns the share of the worst window of [`WORST_WINDOW_MS`] and when it begins, in milliseconds.
    pub fn worst_window(&self) -> (f64, f64) {
        let steps_per_window = (WORST_WINDOW_MS / STEP_MS) as usize;
        let windows = self.steps.windows(steps_per_window.min(self.steps.len()).max(1)).enumerate();
        let shares = windows.map(|(i, window)| {
            let total = window.iter().fold(Worth::default(), |total, step| Worth {
                asked: total.asked + step.asked,
                served: total.served + step.served,
            });
            (total.share(), i as f64 * STEP_MS)
        });
        shares.min_by(|a, b| a.0.total_cmp(&b.0)).unwrap_or((1.0, 0.0))
    }

    /// Returns the service score: the weighted mean of the shares of the whole run, the worst window, the
    /// worst class and the worst plan, less the cost of requests beyond the quotas as a fraction of the worth
    /// demanded.
    pub fn service(&self) -> f64 {
        let least = |all: &[Worth]| all.iter().map(Worth::share).fold(1.0, f64::min);
        let total = self.total();
        let weights = [WHOLE_WEIGHT, WORST_WINDOW_WEIGHT, WORST_CLASS_WEIGHT, WORST_PLAN_WEIGHT];
        let shares = [total.share(), self.worst_window().0, least(&self.classes), least(&self.plans)];
        let weighted: f64 = weights.iter().zip(shares).map(|(weight, share)| weight * share).sum();
        weighted - self.excess_cost / total.asked.max(1e-9)
    }
}
