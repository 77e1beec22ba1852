//! The results of a run: counts and latencies by class, as a table or as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// How a request ended, after all its tries.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestOutcome {
    /// It was served.
    Served,
    /// Its last try was rejected.
    Rejected,
    /// Its last try failed, or its deadline passed.
    Failed,
}

/// The results of a class.
#[derive(Debug, Clone)]
pub struct ClassResult {
    name: String,
    /// The number of requests by [`RequestOutcome`].
    outcomes: [u64; 3],
    /// The time from the intended start to the end of each request that was served, in microseconds.
    latencies: Histogram<u64>,
}

/// The results of a run.
#[derive(Debug, Clone)]
pub struct Report {
    classes: Vec<ClassResult>,
    /// The number of tries sent.
    pub tries: u64,
    /// The number of connections: established ones in the model, attempts to connect on sockets.
    pub connections: u64,
    /// The number of refused attempts to connect. 0 on sockets, where it is not known.
    pub connections_refused: u64,
    /// Established connections by intervals of [`CONNECTION_INTERVAL_MS`]. Empty on sockets, where they are
    /// not known.
    pub connections_by_interval: Vec<u64>,
}

/// The interval by which connections are counted, in milliseconds.
pub const CONNECTION_INTERVAL_MS: f64 = 250.0;

/// The results of a class as written to JSON and to the table.
#[derive(Serialize)]
struct ClassSummary<'a> {
    class: &'a str,
    served: u64,
    #[serde(rename = "refused")]
    rejected: u64,
    failed: u64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

impl Report {
    /// Creates an empty report for classes with these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Result<Self, String> {
        let class = |name: &str| {
            // From 1 µs to 1 h, with three significant digits.
            let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?;
            Ok(ClassResult { name: name.to_owned(), outcomes: [0; 3], latencies })
        };
        let classes = names.into_iter().map(class).collect::<Result<_, String>>()?;
        Ok(Self {
            classes,
            tries: 0,
            connections: 0,
            connections_refused: 0,
            connections_by_interval: Vec::new(),
        })
    }

    /// Records the end of a request, `latency_ms` milliseconds after its intended start.
    pub fn record_request(&mut self, class: usize, outcome: RequestOutcome, latency_ms: f64) {
        let class = &mut self.classes[class];
        class.outcomes[outcome as usize] += 1;
        if outcome == RequestOutcome::Served {
            class.latencies.saturating_record((latency_ms.max(0.001) * 1000.0) as u64);
        }
    }

    /// Records a connection established `at` milliseconds after the start of the run.
    pub fn record_connection(&mut self, at: f64) {
        self.connections += 1;
        let i = (at / CONNECTION_INTERVAL_MS) as usize;
        if self.connections_by_interval.len() <= i {
            self.connections_by_interval.resize(i + 1, 0);
        }
        self.connections_by_interval[i] += 1;
    }

    /// Returns the number of requests of all classes with an outcome.
    pub fn count(&self, outcome: RequestOutcome) -> u64 {
        self.classes.iter().map(|class| class.outcomes[outcome as usize]).sum()
    }

    /// Returns the fraction of all requests that were served.
    pub fn served_fraction(&self) -> f64 {
        let all: u64 = self.classes.iter().flat_map(|class| class.outcomes).sum();
        self.count(RequestOutcome::Served) as f64 / all.max(1) as f64
    }

    /// Returns a quantile of the latencies of all requests that were served, in milliseconds.
    pub fn latency_ms(&self, quantile: f64) -> f64 {
        let Ok(mut all) = Histogram::<u64>::new(3) else { return 0.0 };
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.latencies);
        });
        all.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn summaries(&self) -> impl Iterator<Item = ClassSummary<'_>> {
        self.classes.iter().map(|class| {
            let quantile_ms = |quantile| class.latencies.value_at_quantile(quantile) as f64 / 1000.0;
            ClassSummary {
                class: &class.name,
                served: class.outcomes[0],
                rejected: class.outcomes[1],
                failed: class.outcomes[2],
                p50_ms: quantile_ms(0.5),
                p90_ms: quantile_ms(0.9),
                p99_ms: quantile_ms(0.99),
                max_ms: class.latencies.max() as f64 / 1000.0,
            }
        })
    }

    /// Returns the report as JSON.
    pub fn json(&self) -> String {
        let classes: Vec<_> = self.summaries().collect();
        serde_json::json!({
            "classes": classes, "tries": self.tries, "connections": self.connections,
            "connections_refused": self.connections_refused,
            "connections_by": {
                "interval_ms": CONNECTION_INTERVAL_MS, "counts": self.connections_by_interval,
            },
        })
        .to_string()
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:20} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "class", "served", "refused", "failed", "p50 ms", "p90 ms", "p99 ms", "max ms"
        )?;
        for s in self.summaries() {
            writeln!(
                f,
                "{:20} {:>9} {:>9} {:>9} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
                s.class, s.served, s.rejected, s.failed, s.p50_ms, s.p90_ms, s.p99_ms, s.max_ms
            )?;
        }
        write!(
            f,
            "{} tries; {} connections, {} refused",
            self.tries, self.connections, self.connections_refused
        )?;
        match self.connections_by_interval.iter().max() {
            Some(most) => writeln!(f, ", {most} at most in {CONNECTION_INTERVAL_MS} ms"),
            None => writeln!(f),
        }
    }
}
