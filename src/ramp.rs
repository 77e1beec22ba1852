//! What an ingress has sent a backend that started cold, and the order in which the ingresses of a fleet fill it:
//! records and arithmetic. How much may be sent is decided in `src/slow_start.rs`.

use crate::interface::{BackendId, IngressId, Millis};
use crate::state::Limiter;
use crate::window::{DecayingRate, SlidingSum, TokenBucket};
use serde::{Deserialize, Serialize};

/// What this ingress has sent a backend since it started cold.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub(crate) struct SlowStart {
    /// Spreads the slice evenly over the window.
    credit: TokenBucket,
    /// Units of attempts that ended.
    ended: SlidingSum,
    /// Units of those that were served without delay, and how many of them since the credit was last filled.
    served: SlidingSum,
    again: f64,
}

/// What the warm backends of one sort served of an ingress's work, beside how long they were there to do so. While
/// there are none the two fade alike, so what is known of one backend stays.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
pub(crate) struct WarmBackends {
    /// How many there are.
    pub(crate) count: f64,
    /// The sum of their listed weights.
    weight: f64,
    counted_at: Option<Millis>,
    long: Served,
    short: Served,
}

/// Units served, and the backend seconds and weight seconds in which they were, older ones counting less.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Served {
    units: DecayingRate,
    seconds: DecayingRate,
    weight_seconds: DecayingRate,
}

/// Over how long work is averaged: a fleet's absence, and of late.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Averaging {
    pub(crate) long: Millis,
    pub(crate) short: Millis,
    /// Less than so long tells nothing.
    pub(crate) least: Millis,
}

impl WarmBackends {
    /// Accounts for the time since the last count, and begins a new one.
    pub(crate) fn recount(&mut self, now: Millis, over: Averaging) {
        let seconds = self.counted_at.map_or(0.0, |at| (now - at).max(0.0) / 1000.0);
        for (served, tau) in [(&mut self.long, over.long), (&mut self.short, over.short)] {
            served.seconds.add(now, seconds * self.count, tau);
            served.weight_seconds.add(now, seconds * self.weight, tau);
        }
        (self.count, self.weight, self.counted_at) = (0.0, 0.0, Some(now));
    }

    /// One of this listed weight is there.
    pub(crate) fn join(&mut self, weight: f64) {
        self.count += 1.0;
        self.weight += weight;
    }

    /// One of them served so many units.
    pub(crate) fn served(&mut self, now: Millis, units: f64, over: Averaging) {
        self.long.units.add(now, units, over.long);
        self.short.units.add(now, units, over.short);
    }

    /// Units a second that one of this listed weight serves; none where that is not known. The weight, perhaps a guess
    /// or of the moment, may lower that and not raise it.
    pub(crate) fn one_serves(&self, now: Millis, weight: f64, over: Averaging) -> Option<f64> {
        let rate = |served: &Served, tau: Millis| {
            let least = self.count.max(1.0) * over.least / 1000.0;
            let units = served.units.total(now, tau);
            let each = units / served.seconds.total(now, tau).max(least);
            let least_weight = self.weight.max(0.01) * over.least / 1000.0;
            let by_weight = units / served.weight_seconds.total(now, tau).max(least_weight);
            each.min(by_weight * weight)
        };
        let long = rate(&self.long, over.long);
        let rising = rate(&self.short, over.short);
        (self.long.seconds.total(now, over.long) > 0.0).then(|| long.max(rising))
    }
}

/// The part of the fleet's budget that one ingress has.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Slice {
    /// Units a second.
    pub(crate) rate: f64,
    /// Units of a mean request.
    pub(crate) request: f64,
    /// What was served in a window may be sent so many times in the next, in place of the slice ...
    pub(crate) served_growth: f64,
    /// ... up to so many slices.
    pub(crate) most_slices: f64,
    /// The part of what was served that may be sent again at once.
    pub(crate) served_again: f64,
    /// What may be saved up: so many requests, or this part of the slice of a window if that is more.
    pub(crate) saved: f64,
    pub(crate) saved_share: f64,
    /// The window that the settings name.
    pub(crate) window: Millis,
}

impl SlowStart {
    /// Nothing sent yet at `now`.
    pub(crate) fn new(now: Millis) -> Self {
        Self { credit: TokenBucket::new(0.0, now), ..Self::default() }
    }

    /// An attempt of these units ended that reached the backend at `arrived` at the latest, however late its connection
    /// came up.
    pub(crate) fn ended(&mut self, arrived: Millis, units: f64, window: Millis) {
        self.ended.add(arrived, units, window);
    }

    /// The backend served these units without delay.
    pub(crate) fn served(&mut self, now: Millis, units: f64, window: Millis) {
        self.served.add(now, units, window);
        self.again += units;
    }

    /// Whether a request of these units may be sent beside `out` units; a yes uses its part of the slice.
    pub(crate) fn admits(&mut self, now: Millis, units: f64, out: f64, slice: Slice) -> bool {
        self.credit.level += slice.served_again * std::mem::take(&mut self.again);
        let base = slice.rate * slice.window / 1000.0;
        let depth = (slice.saved * units.max(slice.request)).max(slice.saved_share * base);
        let credit = self.credit.fill(now, slice.rate, depth);
        let served = self.served.sum(now, slice.window);
        let budget = (served * slice.served_growth).clamp(base, base * slice.most_slices.max(1.0));
        let sent = out + self.ended.sum(now, slice.window);
        // To the nearest whole request, and to one at the least.
        let fits = sent <= 0.0 || sent + units / 2.0 <= budget;
        let admitted = credit >= units && fits;
        if admitted {
            self.credit.level -= units;
        }
        admitted
    }
}

impl Limiter {
    /// How many living ingresses come before this one in the order in which they fill a cold backend.
    pub(crate) fn slow_start_rank(&self, id: BackendId) -> u16 {
        let order = FillOrder::new(id, self.set.ingress_count);
        let own = order.rank(self.set.ingress);
        match &self.living {
            Some(_) => {
                let before = |of: &IngressId| order.rank(*of) < own && self.lives(*of);
                (0..self.set.ingress_count).map(IngressId).filter(before).count() as u16
            }
            None => own,
        }
    }
}

/// A backend's own order of all ingresses: an affine permutation, so that neighbours, which may all see several times the
/// mean traffic, do not come first together.
struct FillOrder {
    ingresses: u64,
    stride: u64,
    offset: u64,
}

impl FillOrder {
    /// The order of this backend over so many ingresses.
    fn new(backend: BackendId, ingresses: u16) -> Self {
        let ingresses = u64::from(ingresses.max(1));
        let mixed = split_mix(backend.0);
        let coprime = |stride: &u64| greatest_common_divisor(*stride, ingresses) == 1;
        let stride = (1 + (mixed >> 32) % ingresses..).find(coprime).unwrap_or(1);
        Self { ingresses, stride, offset: mixed & 0xffff_ffff }
    }

    /// The place of an ingress.
    fn rank(&self, ingress: IngressId) -> u16 {
        ((u64::from(ingress.0) * self.stride + self.offset) % self.ingresses) as u16
    }
}

/// The first number of the SplitMix64 generator from this seed: the same in all versions, whatever the ids look like.
fn split_mix(seed: u64) -> u64 {
    let mixed = seed.wrapping_add(0x9E37_79B9_7F4A_7C15);
    let mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
    mixed ^ (mixed >> 31)
}

fn greatest_common_divisor(a: u64, b: u64) -> u64 {
    if b == 0 { a } else { greatest_common_divisor(b, a % b) }
}
