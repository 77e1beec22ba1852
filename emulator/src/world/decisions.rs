//! The decision module of an ingress: the limiter, or another implementation in its place.

use weldhub::view::View;
use weldhub::{Action, Event, Limiter, Settings};

/// A decision module. Tests replace the limiter by faulty ones, to show that the checker finds their faults.
pub trait DecisionModule: Send {
    /// Handles `event` at `now`, in milliseconds since the Unix epoch, and appends the resulting actions to
    /// `actions`.
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>);
    /// Returns the figures that decisions are based on at `now`.
    fn view(&self, now: f64) -> View;
    /// Returns the state for the process that takes over. This module accepts no new requests from then on.
    fn hand_over(&mut self) -> Vec<u8>;
    /// Continues from the state of another process, and returns whether it could be read.
    fn inherit(&mut self, bytes: &[u8]) -> bool;
}

impl DecisionModule for Limiter {
    fn handle(&mut self, now: f64, event: Event, actions: &mut Vec<Action>) {
        Limiter::handle(self, now, event, actions);
    }

    fn view(&self, now: f64) -> View {
        Limiter::view(self, now)
    }

    fn hand_over(&mut self) -> Vec<u8> {
        Limiter::hand_over(self)
    }

    fn inherit(&mut self, bytes: &[u8]) -> bool {
        Limiter::inherit(self, bytes).is_ok()
    }
}

/// Makes the decision module of an ingress from its settings and a random seed.
pub type DecisionModuleFactory<'a> =
    &'a (dyn Fn(Settings, u64) -> Result<Box<dyn DecisionModule>, String> + Sync);

/// Makes the limiter as it is shipped.
pub fn shipped_limiter(settings: Settings, seed: u64) -> Result<Box<dyn DecisionModule>, String> {
    Ok(Box::new(Limiter::new(settings, seed).map_err(|e| e.to_string())?))
}
