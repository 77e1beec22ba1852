//! What came of a run: counts and latencies by class, as a table or as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;
use std::fmt;

/// How a request ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// It was served.
    Served,
    /// It was refused at last.
    Refused,
    /// It failed, or its time was up.
    Failed,
}

/// What came of a class.
#[derive(Debug, Clone)]
pub struct Class {
    name: String,
    ends: [u64; 3],
    /// Microseconds from the intended start to the end, of those that were served.
    latencies: Histogram<u64>,
}

/// What came of a run.
#[derive(Debug, Clone)]
pub struct Report {
    classes: Vec<Class>,
    /// Tries that left.
    pub tries: u64,
    /// Connections that came up, or were attempted where only that is known.
    pub connected: u64,
    /// Attempts that were refused, where that is known.
    pub refused: u64,
    /// The same by interval, where that is known.
    pub connects: Vec<u64>,
}

/// Connections are counted by this interval, in milliseconds.
pub const INTERVAL: f64 = 250.0;

#[derive(Serialize)]
struct Line<'a> {
    class: &'a str,
    served: u64,
    refused: u64,
    failed: u64,
    p50_ms: f64,
    p90_ms: f64,
    p99_ms: f64,
    max_ms: f64,
}

impl Report {
    /// Nothing came yet of classes of these names.
    pub fn new<'a>(names: impl IntoIterator<Item = &'a str>) -> Result<Self, String> {
        let class = |name: &str| {
            // Up to an hour, to three digits.
            let latencies = Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?;
            Ok(Class { name: name.to_owned(), ends: [0; 3], latencies })
        };
        let classes = names.into_iter().map(class).collect::<Result<_, String>>()?;
        Ok(Self { classes, tries: 0, connected: 0, refused: 0, connects: Vec::new() })
    }

    /// A request has ended, so many milliseconds after it was to start.
    pub fn ended(&mut self, class: usize, end: End, took: f64) {
        let class = &mut self.classes[class];
        class.ends[end as usize] += 1;
        if end == End::Served {
            class.latencies.saturating_record((took.max(0.001) * 1000.0) as u64);
        }
    }

    /// A connection came up, at so many milliseconds.
    pub fn connects(&mut self, at: f64) {
        self.connected += 1;
        let i = (at / INTERVAL) as usize;
        if self.connects.len() <= i {
            self.connects.resize(i + 1, 0);
        }
        self.connects[i] += 1;
    }

    /// How many ended like this.
    pub fn count(&self, end: End) -> u64 {
        self.classes.iter().map(|class| class.ends[end as usize]).sum()
    }

    /// The part of all that was served.
    pub fn served(&self) -> f64 {
        let all: u64 = self.classes.iter().flat_map(|class| class.ends).sum();
        self.count(End::Served) as f64 / all.max(1) as f64
    }

    /// A quantile of the latencies of all that were served, in milliseconds.
    pub fn latency(&self, quantile: f64) -> f64 {
        let Ok(mut all) = Histogram::<u64>::new(3) else { return 0.0 };
        self.classes.iter().for_each(|class| {
            let _ = all.add(&class.latencies);
        });
        all.value_at_quantile(quantile) as f64 / 1000.0
    }

    fn lines(&self) -> impl Iterator<Item = Line<'_>> {
        self.classes.iter().map(|class| {
            let at = |quantile| class.latencies.value_at_quantile(quantile) as f64 / 1000.0;
            Line {
                class: &class.name,
                served: class.ends[0],
                refused: class.ends[1],
                failed: class.ends[2],
                p50_ms: at(0.5),
                p90_ms: at(0.9),
                p99_ms: at(0.99),
                max_ms: class.latencies.max() as f64 / 1000.0,
            }
        })
    }

    /// As JSON.
    pub fn json(&self) -> String {
        let classes: Vec<_> = self.lines().collect();
        serde_json::json!({
            "classes": classes, "tries": self.tries, "connections": self.connected, "connections_refused": self.refused,
            "connections_by": {"interval_ms": INTERVAL, "counts": self.connects},
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
        for l in self.lines() {
            writeln!(
                f,
                "{:20} {:>9} {:>9} {:>9} {:>9.1} {:>9.1} {:>9.1} {:>9.1}",
                l.class, l.served, l.refused, l.failed, l.p50_ms, l.p90_ms, l.p99_ms, l.max_ms
            )?;
        }
        write!(f, "{} tries; {} connections, {} refused", self.tries, self.connected, self.refused)?;
        match self.connects.iter().max() {
            Some(most) => writeln!(f, ", {most} at most in {INTERVAL} ms"),
            None => writeln!(f),
        }
    }
}
