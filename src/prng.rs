//! A seeded random number generator. Each limiter has its own, so that equal events give equal actions.

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
    fn from(generator: Prng) -> Self {
        generator.0.get_seed()
    }
}

impl Prng {
    /// Returns a generator seeded with `seed`.
    pub(crate) fn new(seed: u64) -> Self {
        Self(fastrand::Rng::with_seed(seed))
    }

    /// Returns a uniformly distributed number in `0..n`; 0 if `n` is 0.
    pub(crate) fn below(&mut self, n: usize) -> usize {
        if n == 0 { 0 } else { self.0.usize(0..n) }
    }

    /// Returns a uniformly distributed number from 0 up to, but not including, 1.
    pub(crate) fn unit(&mut self) -> f64 {
        self.0.f64()
    }

    /// Returns a uniformly distributed byte.
    pub(crate) fn byte(&mut self) -> u8 {
        self.0.u8(..)
    }
}
