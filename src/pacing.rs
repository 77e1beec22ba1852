//! Delays between the queries that one instance of a fleet sends to a service that all instances query
//! (discovery, Consul). A service that all instances query at the same moment answers none of them in time,
//! and if all of them retry together it never recovers. Each delay is therefore drawn at random from a time
//! span that grows with the size of the fleet and doubles after each failure. Pure arithmetic: no clock and
//! no I/O.

use crate::interface::Millis;
use crate::prng::Prng;

/// The time by which each further instance of the fleet extends the span that queries are spread over, in
/// milliseconds.
const SPREAD_PER_INSTANCE: Millis = 50.0;
/// The longest span that initial queries are spread over, in milliseconds: after it, the ingress is expected
/// to know what was published before its start.
const MAX_INITIAL_SPREAD: Millis = 150.0;
/// The limit of the exponential backoff, as a multiple of the fleet's spread.
const MAX_BACKOFF_FACTOR: f64 = 4.0;
/// Where the caller's bound is shorter than the backoff, delays after the first one are at least this
/// fraction of the bound.
const MIN_BOUND_FRACTION: f64 = 0.8;

/// The delays between the queries of one instance.
#[derive(Debug)]
pub struct Pacing {
    /// The span that the queries of the whole fleet are spread over.
    spread: Millis,
    min_delay: Millis,
    max_delay: Millis,
    /// Delays drawn since the last success.
    failures: u32,
    rng: Prng,
}

impl Pacing {
    /// Creates the pacing of one of `instances` instances. `min_delay` and `max_delay` bound the delay after
    /// a failure, in milliseconds; a large fleet exceeds `max_delay`. Each instance must pass a `seed` of its
    /// own, or all draw the same delays.
    pub fn new(instances: u16, [min_delay, max_delay]: [Millis; 2], seed: u64) -> Self {
        let spread = SPREAD_PER_INSTANCE * f64::from(instances.saturating_sub(1));
        Self { spread, min_delay, max_delay, failures: 0, rng: Prng::new(seed) }
    }

    /// Returns the delay before the first query, in milliseconds. It is short, since the answer is needed
    /// early, and random, since other instances may have started at the same moment.
    pub fn initial_delay(&mut self) -> Millis {
        self.initial_delay_within(MAX_INITIAL_SPREAD)
    }

    /// Returns the delay before the first query, at most `max_spread` milliseconds.
    pub fn initial_delay_within(&mut self, max_spread: Millis) -> Millis {
        self.spread.min(max_spread) * self.rng.unit()
    }

    /// Records that a query was answered: the backoff starts again.
    pub fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Returns the delay before the next query, in milliseconds, after a failure or after the end of a
    /// working connection, which may have ended for all instances at once.
    pub fn next_delay(&mut self) -> Millis {
        self.next_delay_within(f64::INFINITY)
    }

    /// Returns the delay before a next query that must be sent within `latest` milliseconds. The first delay
    /// after a failure spreads a large fleet over all of that time; further ones come near the bound, since
    /// shorter ones would only raise the rate of queries.
    pub fn next_delay_within(&mut self, latest: Millis) -> Millis {
        let wanted = (self.min_delay.max(self.spread) * f64::from(1u32 << self.failures.min(16)))
            .min(self.max_delay.max(MAX_BACKOFF_FACTOR * self.spread));
        let longest = wanted.min(latest.max(0.0));
        let limited_by_bound = wanted > longest && self.failures > 0;
        let shortest =
            if limited_by_bound { self.min_delay.max(MIN_BOUND_FRACTION * longest) } else { self.min_delay };
        self.failures += 1;
        shortest.min(longest) + (longest - shortest).max(0.0) * self.rng.unit()
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const DELAY_BOUNDS: [Millis; 2] = [50.0, 1000.0];

    /// Returns the highest number of queries within any `window` milliseconds where every instance of a fleet
    /// fails repeatedly for 20 s and sends each query within `latest` milliseconds of the last.
    fn peak_queries(instances: u16, window: Millis, latest: Millis) -> usize {
        let mut sent_at: Vec<Millis> = Vec::new();
        for seed in 0..instances {
            let mut pacing = Pacing::new(instances, DELAY_BOUNDS, u64::from(seed));
            let mut now = pacing.initial_delay() + pacing.next_delay_within(latest);
            while now < 20_000.0 {
                sent_at.push(now);
                now += pacing.next_delay_within(latest);
            }
        }
        sent_at.sort_by(f64::total_cmp);
        (0..sent_at.len())
            .map(|i| sent_at[i..].iter().take_while(|x| **x < sent_at[i] + window).count())
            .max()
            .unwrap()
    }

    #[test]
    fn spreads_the_queries_of_a_fleet_that_starts_or_fails_together() {
        // Without the spread, all 100 would query within the same window, once a second.
        let unbounded = |instances| peak_queries(instances, 100.0, f64::INFINITY);
        assert!(unbounded(100) <= 15, "{} of 100 within 100 ms", unbounded(100));
        assert!(unbounded(400) <= 20, "{} of 400 within 100 ms", unbounded(400));
        // With a bound of 5 s each, 400 instances send eight queries in 100 ms on average.
        let bounded = |instances| peak_queries(instances, 100.0, 5000.0);
        assert!(bounded(100) <= 15, "{} of 100 within 100 ms", bounded(100));
        assert!(bounded(400) <= 28, "{} of 400 within 100 ms", bounded(400));
    }

    #[test]
    fn no_delay_exceeds_its_bound_for_any_fleet_size() {
        for instances in [1, 4, 300, 2000] {
            let mut pacing = Pacing::new(instances, DELAY_BOUNDS, 7);
            for _ in 0..50 {
                let pause = pacing.next_delay_within(1500.0);
                assert!((50.0..=1500.0).contains(&pause), "{pause}");
            }
            assert_eq!(pacing.next_delay_within(-1.0), 0.0, "an overdue query is sent at once");
        }
    }

    #[test]
    fn spreads_initial_queries_over_the_time_given() {
        let mut at: Vec<_> =
            (0..100).map(|seed| Pacing::new(100, DELAY_BOUNDS, seed).initial_delay_within(2000.0)).collect();
        at.sort_by(f64::total_cmp);
        let most = (0..100).map(|i| at[i..].iter().take_while(|x| **x < at[i] + 100.0).count()).max();
        assert!(most <= Some(15) && at[99] > 1800.0, "{most:?} of 100 within 100 ms");
    }

    #[test]
    fn a_single_instance_queries_at_once_and_a_small_fleet_retries_soon() {
        assert_eq!(Pacing::new(1, DELAY_BOUNDS, 7).initial_delay(), 0.0);
        let mut pacing = Pacing::new(4, DELAY_BOUNDS, 7);
        let pauses: Vec<_> = (0..100).map(|_| pacing.next_delay()).collect();
        assert!(pauses.iter().all(|p| (50.0..=1000.0).contains(p)), "{pauses:?}");
        pacing.succeeded();
        assert!(pacing.next_delay() <= 150.0, "the delay after a success is short");
    }
}
