//! The report of a run, as a table, JSON or CSV. The same run yields the same bytes.
//!
//! A share is the fraction of the worth requested inside the quotas that was answered in time.

use crate::check::Breach;
use crate::score::Worth;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// Results of a class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassReport {
    /// Name of the class.
    pub class: String,
    /// Requests that were served.
    pub served: u64,
    /// Requests whose last answer was a rejection.
    pub refused: u64,
    /// Requests that failed or that the client gave up.
    pub failed: u64,
    /// Median latency of served requests from the first try to the answer, in milliseconds.
    pub p50_ms: f64,
    /// 90th percentile of the latency, in milliseconds.
    pub p90_ms: f64,
    /// 99th percentile of the latency, in milliseconds.
    pub p99_ms: f64,
    /// Share of the class.
    pub share: f64,
}

/// Results of one second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// Start of the second, in seconds.
    pub at: f64,
    /// Worth requested inside the quotas.
    pub asked: f64,
    /// Worth of `asked` that was answered in time.
    pub served: f64,
    /// Tries inside the quotas that were rejected at once for lack of backend capacity.
    pub no_room: u64,
    /// Tries inside the quotas that were rejected at once for other reasons: the quota as the ingress knows
    /// it, or no usable backend.
    pub no_way: u64,
    /// Attempts sent.
    pub attempts: u64,
    /// Attempts that timed out.
    pub timed_out: u64,
    /// Attempts that a backend rejected because its queue was full.
    pub full: u64,
    /// Attempts that did not reach a backend.
    pub unreached: u64,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Seed of the run.
    pub seed: u64,
    /// Service score: combines all shares into one figure.
    pub service: f64,
    /// Share of the whole run.
    pub whole: f64,
    /// Share of the worst window of 10 s.
    pub worst: f64,
    /// Start of the worst window, in milliseconds.
    pub worst_at: f64,
    /// Cost of the requests sent on beyond the quotas, as a fraction of the worth requested inside them.
    pub beyond: f64,
    /// Results by class.
    pub classes: Vec<ClassReport>,
    /// Share by plan.
    pub plans: Vec<(String, f64)>,
    /// Results by second.
    pub seconds: Vec<Second>,
    /// Number of requests.
    pub requests: u64,
    /// Number of tries of clients.
    pub tries: u64,
    /// Number of attempts of ingresses.
    pub attempts: u64,
    /// Number of new connections to backends.
    pub connections: u64,
    /// Number of messages between ingresses.
    pub messages: u64,
    /// Number of messages that ingresses dropped because of their rate limit.
    pub messages_dropped: u64,
    /// Number of calls to the counter.
    pub calls: u64,
    /// Number of violations by rule, for rules that were violated.
    pub broken: Vec<(String, u64)>,
    /// The first violations in detail.
    pub breaches: Vec<Breach>,
    /// Number of simulation events.
    pub events: u64,
}

/// Collects outcomes and latencies of a class during a run.
#[derive(Debug, Clone)]
pub struct ClassStats {
    /// Number of requests that were served, rejected and failed, in this order.
    pub outcomes: [u64; 3],
    latencies: Histogram<u64>,
}

impl ClassStats {
    /// Returns empty statistics.
    ///
    /// # Errors
    /// Returns an error if the histogram cannot be created.
    pub fn new() -> Result<Self, String> {
        // Microseconds up to an hour, with three significant digits.
        let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?;
        Ok(Self { outcomes: [0; 3], latencies })
    }

    /// Records a served request with its latency in milliseconds.
    pub fn record_served(&mut self, latency: f64) {
        self.outcomes[0] += 1;
        self.latencies.saturating_record((latency.max(0.001) * 1000.0) as u64);
    }

    /// Returns the report of the class `class` with the share of `worth`.
    pub fn report(&self, class: &str, worth: &Worth) -> ClassReport {
        let latency_ms = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1000.0;
        ClassReport {
            class: class.to_owned(),
            served: self.outcomes[0],
            refused: self.outcomes[1],
            failed: self.outcomes[2],
            p50_ms: latency_ms(0.5),
            p90_ms: latency_ms(0.9),
            p99_ms: latency_ms(0.99),
            share: worth.share(),
        }
    }
}

impl Report {
    /// Returns the fraction of all requests that was served.
    pub fn served_fraction(&self) -> f64 {
        let served: u64 = self.classes.iter().map(|c| c.served).sum();
        served as f64 / self.requests.max(1) as f64
    }

    /// Returns the report as one line of JSON.
    ///
    /// # Errors
    /// Returns an error if the report cannot be serialized.
    pub fn to_json(&self) -> Result<String, String> {
        serde_json::to_string(self).map_err(|e| e.to_string())
    }

    /// Returns the results by second as CSV.
    ///
    /// # Errors
    /// Returns an error if they cannot be serialized.
    pub fn seconds_to_csv(&self) -> Result<String, String> {
        to_csv(&self.seconds)
    }
}

/// Returns rows as CSV with a header line.
///
/// # Errors
/// Returns an error if a row cannot be serialized.
pub fn to_csv<T: Serialize>(rows: &[T]) -> Result<String, String> {
    let mut writer = csv::Writer::from_writer(Vec::new());
    rows.iter().try_for_each(|row| writer.serialize(row)).map_err(|e| e.to_string())?;
    let bytes = writer.into_inner().map_err(|e| e.to_string())?;
    String::from_utf8(bytes).map_err(|e| e.to_string())
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "service {:.3}: whole {:.3}, worst 10 s {:.3} from {:.0} s, beyond quotas {:.3}",
            self.service,
            self.whole,
            self.worst,
            self.worst_at / 1000.0,
            self.beyond
        )?;
        writeln!(
            f,
            "{:16} {:>7} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "class", "share", "served", "refused", "failed", "p50 ms", "p90 ms", "p99 ms"
        )?;
        for c in &self.classes {
            writeln!(
                f,
                "{:16} {:>7.3} {:>9} {:>9} {:>9} {:>9.1} {:>9.1} {:>9.1}",
                c.class, c.share, c.served, c.refused, c.failed, c.p50_ms, c.p90_ms, c.p99_ms
            )?;
        }
        for (plan, share) in &self.plans {
            writeln!(f, "{plan:16} {share:>7.3}")?;
        }
        writeln!(
            f,
            "{} requests, {} tries, {} attempts, {} connections, {} messages ({} dropped), {} calls",
            self.requests,
            self.tries,
            self.attempts,
            self.connections,
            self.messages,
            self.messages_dropped,
            self.calls
        )?;
        for (rule, count) in &self.broken {
            writeln!(f, "BROKEN {rule}: {count} times")?;
        }
        for breach in &self.breaches {
            writeln!(f, "  at {:.0} ms: {}", breach.at, breach.what)?;
        }
        Ok(())
    }
}
