//! State and arithmetic of slow start: what an ingress has sent a backend that started cold, what the warm
//! backends served, and the order in which the ingresses of a fleet send to a cold backend. The limits are
//! set in `src/slow_start.rs`.

use crate::interface::{BackendId, IngressId, Millis};
use crate::state::Limiter;
use crate::window::{DecayingRate, SlidingSum, TokenBucket};
use serde::{Deserialize, Serialize};

/// What this ingress has sent a backend since that started cold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    /// Spreads the slice evenly over the window.
    tokens: TokenBucket,
    /// Units of attempts that ended within the window.
    ended: SlidingSum,
    /// Units served without delay within the window.
    served: SlidingSum,
    /// Units served without delay since the tokens were last refilled.
    served_since_refill: f64,
}

/// The work of this ingress that a group of warm backends served, and for how long they were ready. While
/// there are no warm backends both decay alike, so the rate of one backend stays known.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct WarmBackends {
    /// The number of warm backends.
    pub(crate) count: f64,
    /// The sum of their listed weights.
    total_weight: f64,
    /// When they were last counted.
    counted_at: Option<Millis>,
    /// Work averaged over [`AveragingTimes::long`].
    long_term: ServedWork,
    /// Work averaged over [`AveragingTimes::short`].
    short_term: ServedWork,
}

/// Units served, and the seconds of backends, and of weight, in which they were served; all decay
/// exponentially.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct ServedWork {
    units: DecayingRate,
    seconds: DecayingRate,
    weight_seconds: DecayingRate,
}

/// Time constants over which served work is averaged.
#[derive(Debug, Clone, Copy)]
pub(crate) struct AveragingTimes {
    /// Longer than a fleet of ingresses is absent.
    pub(crate) long: Millis,
    /// For recent work.
    pub(crate) short: Millis,
    /// Shorter observations count as this long.
    pub(crate) min_observed: Millis,
}

impl WarmBackends {
    /// Accounts for the time since the last count and starts a new count at zero.
    pub(crate) fn recount(&mut self, now: Millis, averaging: AveragingTimes) {
        let seconds = self.counted_at.map_or(0.0, |at| (now - at).max(0.0) / 1000.0);
        for (served, tau) in [(&mut self.long_term, averaging.long), (&mut self.short_term, averaging.short)]
        {
            served.seconds.add(now, seconds * self.count, tau);
            served.weight_seconds.add(now, seconds * self.total_weight, tau);
        }
        (self.count, self.total_weight, self.counted_at) = (0.0, 0.0, Some(now));
    }

    /// Counts a backend of this listed weight.
    pub(crate) fn add_backend(&mut self, weight: f64) {
        self.count += 1.0;
        self.total_weight += weight;
    }

    /// Records that one of the backends served these units.
    pub(crate) fn record_served(&mut self, now: Millis, units: f64, averaging: AveragingTimes) {
        self.long_term.units.add(now, units, averaging.long);
        self.short_term.units.add(now, units, averaging.short);
    }

    /// Returns the units a second that one backend of this listed weight serves; `None` if no warm backend
    /// was observed. A listed weight may be an estimate or momentary, so it may lower the rate but not raise
    /// it.
    pub(crate) fn rate_of_one(&self, now: Millis, weight: f64, averaging: AveragingTimes) -> Option<f64> {
        let rate = |served: &ServedWork, tau: Millis| {
            let min_seconds = self.count.max(1.0) * averaging.min_observed / 1000.0;
            let units = served.units.total(now, tau);
            let per_backend = units / served.seconds.total(now, tau).max(min_seconds);
            let min_weight_seconds = self.total_weight.max(0.01) * averaging.min_observed / 1000.0;
            let per_weight = units / served.weight_seconds.total(now, tau).max(min_weight_seconds);
            per_backend.min(per_weight * weight)
        };
        let long_term = rate(&self.long_term, averaging.long);
        let short_term = rate(&self.short_term, averaging.short);
        (self.long_term.seconds.total(now, averaging.long) > 0.0).then(|| long_term.max(short_term))
    }
}

/// One ingress's share of the fleet's budget for a cold backend.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slice {
    /// Units a second.
    pub(crate) rate: f64,
    /// Units of a mean request.
    pub(crate) mean_request: f64,
    /// In place of the slice, this multiple of what was served in a window may be sent in the next.
    pub(crate) served_growth: f64,
    /// The most that may be sent in a window because of that, in slices.
    pub(crate) max_slices: f64,
    /// The fraction of the served units that is added to the tokens at once.
    pub(crate) served_refill: f64,
    /// The most tokens that are saved up, in requests.
    pub(crate) saved_requests: f64,
    /// The same as a fraction of the slice of a window; the larger of the two counts.
    pub(crate) saved_window_share: f64,
    /// The backend's overload window ([`ColdStart::overload_window`](crate::interface::ColdStart)).
    pub(crate) window: Millis,
}

impl SlowStart {
    /// Returns the state of a backend to which nothing was sent as of `now`.
    pub(crate) fn new(now: Millis) -> Self {
        Self { tokens: TokenBucket::new(0.0, now), ..Self::default() }
    }

    /// Records the end of an attempt that reached the backend at `arrived` at the latest, even if its
    /// connection came up late.
    pub(crate) fn record_ended(&mut self, arrived: Millis, units: f64, window: Millis) {
        self.ended.add(arrived, units, window);
    }

    /// Records units that the backend served without delay.
    pub(crate) fn record_served(&mut self, now: Millis, units: f64, window: Millis) {
        self.served.add(now, units, window);
        self.served_since_refill += units;
    }

    /// Returns whether a request of `units` may be sent while `in_flight` units are, and if so takes its
    /// tokens.
    pub(crate) fn try_admit(&mut self, now: Millis, units: f64, in_flight: f64, slice: Slice) -> bool {
        self.tokens.level += slice.served_refill * std::mem::take(&mut self.served_since_refill);
        let slice_units = slice.rate * slice.window / 1000.0;
        let max_tokens = (slice.saved_requests * units.max(slice.mean_request))
            .max(slice.saved_window_share * slice_units);
        let tokens = self.tokens.fill(now, slice.rate, max_tokens);
        let served = self.served.sum(now, slice.window);
        let budget =
            (served * slice.served_growth).clamp(slice_units, slice_units * slice.max_slices.max(1.0));
        let sent = in_flight + self.ended.sum(now, slice.window);
        // Rounds to the nearest whole request; at least one is allowed.
        let fits = sent <= 0.0 || sent + units / 2.0 <= budget;
        let admitted = tokens >= units && fits;
        if admitted {
            self.tokens.level -= units;
        }
        admitted
    }
}

impl Limiter {
    /// Returns the number of live ingresses that come before this one in the order in which they send to a
    /// cold backend.
    pub(crate) fn slow_start_rank(&self, id: BackendId) -> u16 {
        let order = FillOrder::new(id, self.settings.ingress_count);
        let own = order.rank(self.settings.ingress);
        match &self.live_ingresses {
            Some(_) => {
                let before = |of: &IngressId| order.rank(*of) < own && self.is_live(*of);
                (0..self.settings.ingress_count).map(IngressId).filter(before).count() as u16
            }
            None => own,
        }
    }
}

/// A backend's own order of all ingresses: an affine permutation, so that neighbouring ingresses, all of
/// which may see several times the mean traffic, do not come first together.
struct FillOrder {
    ingresses: u64,
    stride: u64,
    offset: u64,
}

impl FillOrder {
    /// Returns the order for this backend.
    fn new(backend: BackendId, ingresses: u16) -> Self {
        let ingresses = u64::from(ingresses.max(1));
        let mixed = split_mix_64(backend.0);
        let coprime = |stride: &u64| greatest_common_divisor(*stride, ingresses) == 1;
        let stride = (1 + (mixed >> 32) % ingresses..).find(coprime).unwrap_or(1);
        Self { ingresses, stride, offset: mixed & 0xffff_ffff }
    }

    /// Returns the position of an ingress, counted from 0.
    fn rank(&self, ingress: IngressId) -> u16 {
        ((u64::from(ingress.0) * self.stride + self.offset) % self.ingresses) as u16
    }
}

/// Returns the first output of the SplitMix64 generator for this seed. All versions of the program must agree
/// on it; it mixes well whatever the ids look like.
fn split_mix_64(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
