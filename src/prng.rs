//! A seeded source of random numbers; one a limiter, so that equal events give equal actions.

use serde::{Deserialize, Serialize};

/// Wraps the generator of the `fastrand` crate.
#[derive(Debug, Clone, Serialize, Deserialize)]
#[serde(from = "u64", into = "u64")]
pub(crate) struct Prng(fastrand::Rng);

impl From<u64> for Prng {
    fn from(seed: u64) -> Self {
        Self::new(seed)
    }
}

impl From<Prng> for u64 {
    fn from(at: Prng) -> Self {
        at.0.get_seed()
    }
}

impl Prng {
    /// A generator that starts from `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }

    /// Evenly spread in `0..n`; 0 where `n` is 0.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.usize(0..n) }
    }

    /// Evenly spread from 0 up to 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0.f64()
    }

    /// Any byte.
    pub(crate) fn byte(&mut self) -> u8 {
        self.0.u8(..)
    }
}
