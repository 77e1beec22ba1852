//! Slow start: what one ingress may send a cold backend, so that the whole fleet does not push it over.
//!
//! The fleet's budget is a part of what makes the backend fall over in the window that the settings name. It
//! is dealt out as slices of one mean request or more, to as many ingresses as there are slices. None sends
//! more than its slice in any window, whatever it saved up or had waiting for a connection; what the backend
//! has served may take the place of a slice, and is not added to it. `docs/slow-start.md` derives the bound.

use crate::interface::{BackendId, KindId, Millis};
use crate::ramp::{Averaging, Slice, WarmBackends};
use crate::rules::FEW;
use crate::state::Limiter;

/// Part of the work at which a backend falls over that the fleet sends where the warm ones are fully busy.
const FALL_SHARE: f64 = 0.6;
/// The most that the fleet sends on the strength of that, as a multiple of what the backend can do.
const CAPACITY_SHARE: f64 = 1.2;
/// The same where the backend itself serves more than that without delay.
const FALL_SHARE_SERVED: f64 = 0.7;
/// What it served in a window may be sent so many times in the next.
const SERVED_GROWTH: f64 = 2.0;
/// Part of the work served that may be sent again at once.
const SERVED_AGAIN: f64 = 0.9;
/// What is saved up of a slice, in requests: over one, so that waiting for the next request costs little.
const SAVED_REQUESTS: f64 = 1.3;
/// Part of a window's slice that is saved up where that is more: few ingresses have large slices.
const SAVED_SHARE: f64 = 0.3;
/// Where nothing is known, the whole fleet sends so many of the largest requests in a window.
const UNKNOWN_REQUESTS: f64 = 0.25;
/// Over how long the work that warm backends serve is averaged: longer than a fleet is away, and of late.
pub(crate) const SERVED_OVER: Averaging = Averaging { long: 20_000.0, short: 4000.0, least: 3000.0 };

impl Limiter {
    /// Whether a cold backend may get a request of these units now; a yes uses its part of the slice.
    pub(crate) fn slow_start_admits(&mut self, now: Millis, id: BackendId, units: f64) -> bool {
        let (largest, window) = (self.set.max_request_units.max(1.0), self.set.cold.overload_window.max(1.0));
        let fleet = self.slow_start_rate(now, id).max(UNKNOWN_REQUESTS * largest * 1000.0 / window);
        let request = self.mean_units().unwrap_or(largest);
        let slices = (fleet * window / (1000.0 * request)).ceil();
        let senders = slices.clamp(1.0, f64::from(self.set.ingress_count));
        if f64::from(self.slow_start_rank(id)) >= senders || self.retired {
            return false;
        }
        let slice = Slice {
            rate: fleet / senders,
            request,
            served_growth: SERVED_GROWTH,
            most_slices: self.slow_start_most_slices(),
            served_again: SERVED_AGAIN,
            saved: SAVED_REQUESTS,
            saved_share: SAVED_SHARE,
            window,
        };
        let Some(server) = self.servers.get_mut(&id) else { return false };
        let out = server.units_out();
        server.slow_start.admits(now, units, out, slice)
    }

    /// Units a second that the whole fleet may send a cold backend.
    ///
    /// What warm backends serve of each ingress's work sums up to no more than they can do, whatever is
    /// sent, refused or repeated; for one of them, at the cold one's warmth, it is at most what that can do.
    /// It stays when the others are gone, and rises at once where more is left to few.
    fn slow_start_rate(&self, now: Millis, id: BackendId) -> f64 {
        let Some(server) = self.servers.get(&id) else { return 0.0 };
        let serves = |warm: &WarmBackends| warm.one_serves(now, server.weight(), SERVED_OVER);
        let alike = self.warm_by_kind.get(&server.entry.kind).and_then(serves);
        let own = alike.or_else(|| serves(&self.warm)).unwrap_or(0.0) * self.warmth(now, server);
        own * f64::from(self.set.ingress_count) * self.slow_start_share()
    }

    /// What the fleet sends a cold backend, as a multiple of what that can do.
    fn slow_start_share(&self) -> f64 {
        (self.set.cold.overload_multiple * FALL_SHARE).min(CAPACITY_SHARE)
    }

    /// Up to how many slices its own answers let an ingress send. Few ingresses each see most of what the
    /// backend does, and its delay in time; of many each sees little.
    fn slow_start_most_slices(&self) -> f64 {
        let many = self.set.cold.overload_multiple * FALL_SHARE_SERVED / self.slow_start_share();
        if f64::from(self.set.ingress_count) <= FEW { f64::INFINITY } else { many }
    }

    /// A warm backend has served some of this ingress's work.
    pub(crate) fn warm_backend_served(&mut self, now: Millis, kind: KindId, units: f64) {
        self.warm.served(now, units, SERVED_OVER);
        self.warm_by_kind.entry(kind).or_default().served(now, units, SERVED_OVER);
    }
}
