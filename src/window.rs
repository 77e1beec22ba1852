//! Statistics over time: token bucket, moving averages and sums. Time constants (`tau`) and weights are
//! passed in by the caller.

use crate::interface::Millis;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// A token bucket whose rate and burst are passed in on each fill.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    /// The number of tokens, in units; may be set below 0.
    pub(crate) level: f64,
    /// Tokens that did not fit in because the bucket was full, since this was last reset to 0.
    pub(crate) overflow: f64,
    /// When the bucket was last filled.
    updated_at: Millis,
}

impl TokenBucket {
    /// Returns a bucket that holds `level` tokens at `now`.
    pub(crate) fn new(level: f64, now: Millis) -> Self {
        Self { level, overflow: 0.0, updated_at: now }
    }

    /// Fills the bucket up to `now` at `rate` tokens a second, to at most `burst`, and returns the level.
    pub(crate) fn fill(&mut self, now: Millis, rate: f64, burst: f64) -> f64 {
        let filled = self.level + rate * (now - self.updated_at).max(0.0) / 1000.0;
        self.level = filled.min(burst);
        self.overflow += filled - self.level;
        self.updated_at = self.updated_at.max(now);
        self.level
    }

    /// Removes `drawn` tokens that others are now known to have drawn, or adds them if `drawn` is negative.
    /// The overflow since the last call is used up first.
    pub(crate) fn reconcile(&mut self, now: Millis, rate: f64, burst: f64, drawn: f64) {
        self.fill(now, rate, burst);
        let net = if drawn > 0.0 { (drawn - self.overflow).max(0.0) } else { drawn };
        self.level = (self.level - net).clamp(0.0, burst.max(0.0));
        self.overflow = 0.0;
    }
}

/// An exponentially weighted moving average; the first sample sets it.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct Ewma(Option<f64>);

impl Ewma {
    /// Adds `sample` with the given weight, from 0 to 1.
    pub(crate) fn add(&mut self, sample: f64, weight: f64) {
        self.0 = Some(self.0.map_or(sample, |old| old + (sample - old) * weight));
    }

    /// Returns the average, or `default` before the first sample.
    pub(crate) fn value_or(&self, default: f64) -> f64 {
        self.0.unwrap_or(default)
    }
}

/// A moving average that decays to 0 while there are no samples.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct DecayingAverage {
    value: f64,
    updated_at: Millis,
}

impl DecayingAverage {
    /// Adds `sample` with the given weight, from 0 to 1.
    pub(crate) fn add(&mut self, now: Millis, sample: f64, weight: f64, tau: Millis) {
        let old = self.value(now, tau);
        (self.value, self.updated_at) = (old + (sample - old) * weight, now);
    }

    /// Returns the average at `now`, decayed with the time constant `tau`.
    pub(crate) fn value(&self, now: Millis, tau: Millis) -> f64 {
        self.value * (-(now - self.updated_at).max(0.0) / tau).exp()
    }
}

/// The fraction of samples that were successes, with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct SuccessShare {
    successes: DecayingRate,
    samples: DecayingRate,
}

impl SuccessShare {
    /// Adds a sample.
    pub(crate) fn add(&mut self, now: Millis, success: bool, tau: Millis) {
        self.successes.add(now, f64::from(success), tau);
        self.samples.add(now, 1.0, tau);
    }

    /// Returns the fraction, with one more sample of the value `prior` added.
    pub(crate) fn value(&self, now: Millis, prior: f64, tau: Millis) -> f64 {
        (self.successes.decayed(now, tau) + prior) / (self.samples.decayed(now, tau) + 1.0)
    }
}

/// A rate estimated from amounts with exponentially decaying weights.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    sum: f64,
    updated_at: Millis,
}

impl DecayingRate {
    /// Adds `amount` at `now`, with the time constant `tau`.
    pub(crate) fn add(&mut self, now: Millis, amount: f64, tau: Millis) {
        self.sum = self.decayed(now, tau) + amount;
        self.updated_at = now;
    }

    /// Returns the rate a second at `now`.
    pub(crate) fn per_second(&self, now: Millis, tau: Millis) -> f64 {
        self.decayed(now, tau) * 1000.0 / tau
    }

    /// Returns the rate a second at `now`, corrected for amounts having been added for `observed`
    /// milliseconds only.
    pub(crate) fn per_second_over(&self, now: Millis, tau: Millis, observed: Millis) -> f64 {
        self.per_second(now, tau) / (1.0 - (-observed / tau).exp())
    }

    /// Returns the decayed sum of the amounts at `now`.
    pub(crate) fn total(&self, now: Millis, tau: Millis) -> f64 {
        self.decayed(now, tau)
    }

    fn decayed(&self, now: Millis, tau: Millis) -> f64 {
        self.sum * (-(now - self.updated_at).max(0.0) / tau).exp()
    }
}

/// The sum of the amounts of a sliding window, kept in segments that start at least
/// 1 / [`SlidingSum::MAX_SEGMENTS`] of the window apart.
///
/// A segment is kept until the window after its last amount is over, so the sum is never below the true one.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SlidingSum {
    segments: VecDeque<Segment>,
}

/// Amounts that were added close together.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Segment {
    first: Millis,
    last: Millis,
    amount: f64,
}

impl SlidingSum {
    /// The number of segments of a window; one more may be partly outside it.
    const MAX_SEGMENTS: f64 = 32.0;

    /// Adds `amount` at `now`.
    pub(crate) fn add(&mut self, now: Millis, amount: f64, window: Millis) {
        self.drop_before(now - window);
        match self.segments.back_mut().filter(|segment| now - segment.first < window / Self::MAX_SEGMENTS) {
            Some(segment) => {
                segment.last = segment.last.max(now);
                segment.amount += amount;
            }
            None => self.segments.push_back(Segment { first: now, last: now, amount }),
        }
    }

    /// Returns the sum of the window that ends at `now`.
    pub(crate) fn sum(&mut self, now: Millis, window: Millis) -> f64 {
        self.drop_before(now - window);
        self.segments.iter().map(|segment| segment.amount).sum()
    }

    fn drop_before(&mut self, oldest: Millis) {
        while self.segments.front().is_some_and(|segment| segment.last < oldest) {
            self.segments.pop_front();
        }
    }
}

/// Returns the probability that a Poisson variable with this mean is below `limit`. Limits over 100 count as
/// 100.
pub(crate) fn poisson_below(limit: f64, mean: f64) -> f64 {
    let term = |last: &mut f64, k: u32| {
        let now = *last;
        *last *= mean / f64::from(k + 1);
        Some(now)
    };
    (0..limit.clamp(0.0, 100.0).ceil() as u32).scan((-mean).exp(), term).sum()
}
