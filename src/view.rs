//! What a limiter goes by at a moment, for those who watch it: figures only, nothing of it can be changed here.

use crate::interface::{BackendState, Millis};
use crate::state::Limiter;
use serde::Serialize;

/// What each limit sees. Units are those of requests.
#[derive(Debug, Clone, Copy, PartialEq, Default, Serialize)]
pub struct View {
    /// The room: units that may be out.
    pub capacity: f64,
    /// Units that are out.
    pub in_flight: f64,
    /// Those of them that are out at silent real servers.
    pub pinned: f64,
    /// The sum of all reservations.
    pub reserved: f64,
    /// How much of their aims answers take; from `PRESSURE_THRESHOLD` on the room is cut.
    pub pressure: f64,
    /// Real servers on the list that are ready.
    pub ready: usize,
    /// Those of them that are cold.
    pub cold: usize,
    /// Those of them that are passed over, and of these the warm ones.
    pub passed_over: usize,
    /// The latter.
    pub passed_over_warm: usize,
    /// So many are passed over that none is.
    pub shared: bool,
    /// What the ready ones can do, in warm ones.
    pub able: f64,
    /// Further attempts that may be made now.
    pub retries: f64,
    /// The part of tries that call the counter.
    pub calls: f64,
    /// Requests that are held or out.
    pub requests: usize,
}

impl Limiter {
    /// What it goes by now.
    pub fn view(&self, now: Millis) -> View {
        let ready = || self.backends.values().filter(|s| s.entry.state == BackendState::Ready);
        let cold = |s: &&crate::state::Backend| self.warmth(now, s) < 1.0;
        let over = |s: &&crate::state::Backend| self.is_passed_over(now, s);
        View {
            capacity: self.capacity(),
            in_flight: self.in_flight,
            pinned: self.silent_units,
            reserved: self.reserved,
            pressure: self.pressure(now),
            ready: ready().count(),
            cold: ready().filter(cold).count(),
            passed_over: ready().filter(over).count(),
            passed_over_warm: ready().filter(|s| !cold(s)).filter(over).count(),
            shared: self.widespread_trouble,
            able: self.ready_capacity,
            retries: self.retry_budget,
            calls: self.call_share,
            requests: self.requests.len(),
        }
    }
}
