//! Slow start: limits what one ingress sends to a cold backend, so that the whole fleet does not overload it.
//!
//! The fleet's budget is a fraction of what overloads the backend within the window of the settings. It is
//! divided into slices of at least one mean request, for as many ingresses as there are slices. No ingress
//! sends more than its slice in any window, whatever it saved up or had waiting for a connection; work that
//! the backend has served may replace the slice but is not added to it. `docs/slow-start.md` derives the
//! bound.

use crate::interface::{BackendId, KindId, Millis};
use crate::ramp::{AveragingTimes, Slice, WarmBackends};
use crate::rules::SMALL_FLEET_INGRESSES;
use crate::state::Limiter;

/// Fraction of a backend's overload threshold that the fleet sends while the warm backends are fully busy.
const OVERLOAD_SHARE: f64 = 0.6;
/// The most that the fleet sends on that basis, as a multiple of what the backend can do.
const MAX_CAPACITY_MULTIPLE: f64 = 1.2;
/// Fraction of the overload threshold that may be sent if the backend itself serves that much without delay.
const OVERLOAD_SHARE_SERVED: f64 = 0.7;
/// The multiple of the units served in a window that may be sent in the next.
const SERVED_GROWTH_FACTOR: f64 = 2.0;
/// Fraction of the served units that may be sent again at once.
const SERVED_REFILL_SHARE: f64 = 0.9;
/// The most that an ingress saves up, in requests: over one, so that waiting for the next request costs
/// little.
const MAX_SAVED_REQUESTS: f64 = 1.3;
/// The same as a fraction of a window's slice, if that is more: the slices of a small fleet are large.
const MAX_SAVED_WINDOW_SHARE: f64 = 0.3;
/// What the whole fleet sends in a window, in largest requests, while no served work is known.
const UNKNOWN_LARGEST_REQUESTS: f64 = 0.25;
/// Averaging of the work that warm backends serve: `long` outlasts an absence of the fleet, `short` follows
/// recent work.
pub(crate) const SERVED_AVERAGING: AveragingTimes =
    AveragingTimes { long: 20_000.0, short: 4000.0, min_observed: 3000.0 };

impl Limiter {
    /// Returns whether a cold backend may get a request of these units now, and if so deducts it from the
    /// slice.
    pub(crate) fn try_slow_start_admit(&mut self, now: Millis, id: BackendId, units: f64) -> bool {
        let (largest, window) =
            (self.settings.max_request_units.max(1.0), self.settings.cold.overload_window.max(1.0));
        let fleet = self.slow_start_rate(now, id).max(UNKNOWN_LARGEST_REQUESTS * largest * 1000.0 / window);
        let mean_request = self.mean_units().unwrap_or(largest);
        let slices = (fleet * window / (1000.0 * mean_request)).ceil();
        let senders = slices.clamp(1.0, f64::from(self.settings.ingress_count));
        if f64::from(self.slow_start_rank(id)) >= senders || self.handed_over {
            return false;
        }
        let slice = Slice {
            rate: fleet / senders,
            mean_request,
            served_growth: SERVED_GROWTH_FACTOR,
            max_slices: self.slow_start_max_slices(),
            served_refill: SERVED_REFILL_SHARE,
            saved_requests: MAX_SAVED_REQUESTS,
            saved_window_share: MAX_SAVED_WINDOW_SHARE,
            window,
        };
        let Some(backend) = self.backends.get_mut(&id) else { return false };
        let in_flight = backend.units_in_flight();
        backend.slow_start.try_admit(now, units, in_flight, slice)
    }

    /// Returns the units a second that the whole fleet may send a cold backend.
    ///
    /// The work of each ingress that warm backends serve adds up to no more than they can do, whatever is
    /// sent, rejected or repeated; scaled to one backend at the cold one's warmth, it is at most what that
    /// one can do. The estimate stays when the other ingresses are gone, and rises at once if few ingresses
    /// have to serve more.
    fn slow_start_rate(&self, now: Millis, id: BackendId) -> f64 {
        let Some(backend) = self.backends.get(&id) else { return 0.0 };
        let rate_of = |warm: &WarmBackends| warm.rate_of_one(now, backend.weight(), SERVED_AVERAGING);
        let same_kind = self.warm_by_kind.get(&backend.entry.kind).and_then(rate_of);
        let one = same_kind.or_else(|| rate_of(&self.warm)).unwrap_or(0.0) * self.warmth(now, backend);
        one * f64::from(self.settings.ingress_count) * self.slow_start_share()
    }

    /// Returns what the fleet sends a cold backend, as a multiple of what the backend can do.
    fn slow_start_share(&self) -> f64 {
        (self.settings.cold.overload_multiple * OVERLOAD_SHARE).min(MAX_CAPACITY_MULTIPLE)
    }

    /// Returns the number of slices up to which served work lets an ingress send. In a small fleet each
    /// ingress sees most of what the backend does, and notices its delay in time; in a large fleet each sees
    /// little.
    fn slow_start_max_slices(&self) -> f64 {
        let large_fleet =
            self.settings.cold.overload_multiple * OVERLOAD_SHARE_SERVED / self.slow_start_share();
        if f64::from(self.settings.ingress_count) <= SMALL_FLEET_INGRESSES {
            f64::INFINITY
        } else {
            large_fleet
        }
    }

    /// Records that a warm backend has served some of this ingress's work.
    pub(crate) fn warm_backend_served(&mut self, now: Millis, kind: KindId, units: f64) {
        self.warm.record_served(now, units, SERVED_AVERAGING);
        self.warm_by_kind.entry(kind).or_default().record_served(now, units, SERVED_AVERAGING);
    }
}
