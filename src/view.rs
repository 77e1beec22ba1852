//! A snapshot of the quantities that a limiter's decisions are based on, for monitoring.

use crate::interface::{BackendState, Millis};
use crate::state::Limiter;
use serde::Serialize;

/// A snapshot of a limiter. Units are units of requests; serialised names are those of the reports.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct View {
    /// The estimated capacity, in units in flight.
    pub capacity: f64,
    /// Units in flight, without streaming attempts.
    pub in_flight: f64,
    /// Those of them in flight to silent backends.
    #[serde(rename = "pinned")]
    pub silent_units: f64,
    /// The sum of all customers' reservations, in units in flight.
    pub reserved: f64,
    /// Latency pressure: the mean fraction of their aims that answers take. Over `PRESSURE_THRESHOLD` the
    /// capacity is cut.
    pub pressure: f64,
    /// The number of ready backends.
    pub ready: usize,
    /// Those of them that are cold.
    pub cold: usize,
    /// Those of the ready ones that are passed over.
    pub passed_over: usize,
    /// Those of the passed over ones that are warm.
    pub passed_over_warm: usize,
    /// Nearly all look unhealthy, so the fault is not their own and none is passed over.
    #[serde(rename = "shared")]
    pub widespread_trouble: bool,
    /// What the ready backends can do, in warm backends.
    #[serde(rename = "able")]
    pub ready_capacity: f64,
    /// Further attempts that may be made now.
    #[serde(rename = "retries")]
    pub retry_budget: f64,
    /// The fraction of tries that call the shared counter.
    #[serde(rename = "calls")]
    pub call_share: f64,
    /// Requests that are held or have attempts in flight.
    pub requests: usize,
}

impl Limiter {
    /// Returns a snapshot at `now`.
    pub fn view(&self, now: Millis) -> View {
        let now = now + self.clock_shift;
        let ready = || self.backends.values().filter(|b| b.entry.state == BackendState::Ready);
        let is_cold = |b: &&crate::state::Backend| self.warmth(now, b) < 1.0;
        let is_passed_over = |b: &&crate::state::Backend| self.is_passed_over(now, b);
        View {
            capacity: self.capacity(),
            in_flight: self.in_flight,
            silent_units: self.silent_units,
            reserved: self.reserved,
            pressure: self.pressure(now),
            ready: ready().count(),
            cold: ready().filter(is_cold).count(),
            passed_over: ready().filter(is_passed_over).count(),
            passed_over_warm: ready().filter(|b| !is_cold(b)).filter(is_passed_over).count(),
            widespread_trouble: self.widespread_trouble,
            ready_capacity: self.ready_capacity,
            retry_budget: self.retry_budget,
            call_share: self.call_share,
            requests: self.requests.len(),
        }
    }
}
