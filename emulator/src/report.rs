//! What came of a run, as a table, JSON or CSV. The same run gives the same bytes.

use crate::check::Breach;
use crate::score::Worth;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// What came of a class.
#[derive(Debug, Clone, Serialize)]
pub struct ClassReport {
    /// Its name.
    pub class: String,
    /// Requests that were served, refused at last, and failed.
    pub served: u64,
    /// Refused.
    pub refused: u64,
    /// Failed, or given up.
    pub failed: u64,
    /// From the first try to the answer, of those that were served, in milliseconds.
    pub p50_ms: f64,
    /// The same.
    pub p90_ms: f64,
    /// The same.
    pub p99_ms: f64,
    /// The part of the worth asked inside quotas that was answered in time.
    pub share: f64,
}

/// A second of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Second {
    /// It begins then, in seconds.
    pub at: f64,
    /// Worth asked inside the quotas, and of that answered in time.
    pub asked: f64,
    /// The latter.
    pub served: f64,
    /// Tries inside the quotas that were refused at once, by what was full: the room.
    pub no_room: u64,
    /// The same for other reasons: the quota as it is known here, or no real server to be had.
    pub no_way: u64,
    /// Attempts sent, and how they ended badly.
    pub attempts: u64,
    /// Given up.
    pub timed_out: u64,
    /// Turned away.
    pub full: u64,
    /// Not reached.
    pub unreached: u64,
}

/// What came of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// The seed.
    pub seed: u64,
    /// One figure: see `score`.
    pub service: f64,
    /// The share of the whole run.
    pub whole: f64,
    /// The share of the worst window, and when it begins, in milliseconds.
    pub worst: f64,
    /// The latter.
    pub worst_at: f64,
    /// What requests beyond the quotas cost, as a part of the worth asked.
    pub beyond: f64,
    /// By class.
    pub classes: Vec<ClassReport>,
    /// By plan: the share.
    pub plans: Vec<(String, f64)>,
    /// By second.
    pub seconds: Vec<Second>,
    /// Requests, tries and attempts.
    pub requests: u64,
    /// Tries.
    pub tries: u64,
    /// Attempts.
    pub attempts: u64,
    /// New connections to real servers.
    pub connections: u64,
    /// Messages between ingresses, and those dropped for their limits.
    pub messages: u64,
    /// Dropped.
    pub messages_dropped: u64,
    /// Calls to the counter.
    pub calls: u64,
    /// Rules that were broken, by name, and the first breaches.
    pub broken: Vec<(String, u64)>,
    /// The latter.
    pub breaches: Vec<Breach>,
    /// Events of the emulator.
    pub events: u64,
}

/// Counts and latencies of a class while a run goes on.
#[derive(Debug, Clone)]
pub struct Tally {
    /// Served, refused, failed.
    pub ends: [u64; 3],
    latencies: Histogram<u64>,
}

impl Tally {
    /// Nothing yet.
    pub fn new() -> Result<Self, String> {
        // Microseconds up to an hour, to three digits.
        let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?;
        Ok(Self { ends: [0; 3], latencies })
    }

    /// One was served after so many milliseconds.
    pub fn served(&mut self, took: f64) {
        self.ends[0] += 1;
        self.latencies.saturating_record((took.max(0.001) * 1000.0) as u64);
    }

    /// As a report has it.
    pub fn report(&self, class: &str, worth: &Worth) -> ClassReport {
        let at = |quantile| self.latencies.value_at_quantile(quantile) as f64 / 1000.0;
        ClassReport {
            class: class.to_owned(),
            served: self.ends[0],
            refused: self.ends[1],
            failed: self.ends[2],
            p50_ms: at(0.5),
            p90_ms: at(0.9),
            p99_ms: at(0.99),
            share: worth.share(),
        }
    }
}

impl Report {
    /// The part of all requests that was served.
    pub fn served(&self) -> f64 {
        let served: u64 = self.classes.iter().map(|c| c.served).sum();
        served as f64 / self.requests.max(1) as f64
    }

    /// As one line of JSON.
    pub fn json(&self) -> Result<String, String> {
        serde_json::to_string(self).map_err(|e| e.to_string())
    }

    /// The seconds as CSV.
    pub fn csv(&self) -> Result<String, String> {
        rows(&self.seconds)
    }
}

/// Rows as CSV with a head.
pub fn rows<T: Serialize>(rows: &[T]) -> Result<String, String> {
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
        for (rule, times) in &self.broken {
            writeln!(f, "BROKEN {rule}: {times} times")?;
        }
        for breach in &self.breaches {
            writeln!(f, "  at {:.0} ms: {}", breach.at, breach.what)?;
        }
        Ok(())
    }
}
