//! What an ingress costs at sizes that processes do not reach: slopes over several sizes, measured on the program's own
//! decisions, readers, membership and datagrams, many ingresses in one process.

pub mod backend_list;
pub mod fixture;
pub mod fleet;
pub mod load;
pub mod meter;
pub mod pipeline;
pub mod process;
pub mod slope;
pub mod subsets;

use fixture::QuotaSource;
use pipeline::SubsetSize;
use serde::Serialize;
use slope::{Dimension, Fit, Slope};
use std::path::Path;

/// The sizes that are measured.
#[derive(Debug, Clone)]
pub struct Sizes {
    /// Ingresses of the fleet.
    pub ingresses: Vec<usize>,
    /// Backends on the list.
    pub backends: Vec<usize>,
    /// Tenants.
    pub customers: Vec<usize>,
    /// Seconds of load, of simulated time.
    pub seconds: f64,
    /// Seconds of a fleet at rest.
    pub rest: u64,
}

impl Sizes {
    /// Up to the target.
    pub fn whole() -> Self {
        Self {
            ingresses: vec![30, 100, 300, 930],
            backends: vec![200, 1000, 5000, 14_000],
            customers: vec![1000, 3000, 9000, 19_000],
            seconds: 120.0,
            rest: 30,
        }
    }
}

/// Requests a second at one ingress: 79,000 over 930.
pub const RATE: f64 = 85.0;
/// The same at the busiest.
pub const BUSIEST: f64 = 340.0;
/// The size of subsets in `deploy/ingress-large.toml`.
const DEPLOYED_SUBSET: usize = 48;
/// Changes of the list in the worst minute, a second.
pub const BURST: f64 = 50.0 / 60.0;

/// The slopes of the list.
///
/// # Errors
/// Where a list cannot be read.
pub fn list_slopes(
    sizes: &Sizes,
    subset: SubsetSize,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    backend_list::slopes(&sizes.backends, subset, suffix(subset), progress)
}

fn suffix(subset: SubsetSize) -> &'static str {
    if subset.is_some() { "-subset" } else { "" }
}

/// The load of one ingress.
#[derive(Debug, Clone, Copy)]
pub struct LoadOf {
    /// Requests a second.
    pub rate: f64,
    /// How it hears of what others grant.
    pub source: QuotaSource,
    /// How many backends it sends to.
    pub subset: SubsetSize,
}

/// Which of the sizes a slope of load varies.
fn varied(sizes: &Sizes, over: Dimension) -> &[usize] {
    match over {
        Dimension::Ingresses => &sizes.ingresses,
        Dimension::Backends => &sizes.backends,
        Dimension::Customers => &sizes.customers,
    }
}

/// The slopes of one ingress under load, of which one size varies and the others are the largest.
///
/// # Errors
/// Where a list cannot be read.
pub fn load_slopes(
    sizes: &Sizes,
    over: Dimension,
    load: LoadOf,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let LoadOf { rate, source, subset } = load;
    let busiest = if rate == RATE { "" } else { "-busiest" };
    let by = match source {
        QuotaSource::Peers => "peers",
        QuotaSource::Counter => "counter",
    };
    let slope = |what: &str, unit| {
        Slope::new(&format!("{what}-{by}-over-{over}{busiest}{}", suffix(subset)), unit, over)
    };
    let mut added = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)]
        .map(|(name, part)| (slope(&format!("added-{name}"), "us added to a request"), part));
    let mut share = slope("load-share", "share of a core under load");
    let mut kept = slope("load-memory", "bytes on the heap beyond the list");
    let mut asked = slope("quota-asked", "part of requests that ask elsewhere");
    let mut datagrams = slope("quota-messages", "messages a second for quotas");
    let mut bytes = slope("quota-bytes", "bytes a second for quotas");
    let mut reached = slope("reached", "backends that were sent to");
    let last = |all: &[usize]| all.last().copied().unwrap_or(1);
    for &size in varied(sizes, over) {
        progress(&format!("{rate} requests a second, {size} {over}, quotas by {by}{}", suffix(subset)));
        let mut setup = load::Setup {
            ingresses: last(&sizes.ingresses),
            backends: last(&sizes.backends),
            customers: last(&sizes.customers),
            requests_per_second: rate,
            list_changes_per_second: BURST,
            seconds: sizes.seconds,
            quota_source: source,
            subset_size: subset,
        };
        match over {
            Dimension::Ingresses => setup.ingresses = size,
            Dimension::Backends => setup.backends = size,
            Dimension::Customers => setup.customers = size,
        }
        let measured = load::run(setup)?;
        for (slope, part) in &mut added {
            slope.add(size, measured.added_nanos.value_at_quantile(*part) as f64 / 1000.0);
        }
        let traffic = match source {
            QuotaSource::Peers => measured.peer_traffic,
            QuotaSource::Counter => measured.counter_traffic,
        };
        share.add(size, measured.cpu_share);
        kept.add(size, measured.heap_growth);
        asked.add(size, measured.quota_calls as f64 / measured.requests.max(1) as f64);
        datagrams.add(size, traffic.messages);
        bytes.add(size, traffic.bytes);
        reached.add(size, measured.backends_used as f64);
    }
    let [p50, p99, p999] = added.map(|(slope, _)| slope);
    Ok(vec![p50, p99, p999, share, kept, asked, datagrams, bytes, reached])
}

/// The slopes of membership and notices.
pub fn fleet_slopes(sizes: &Sizes, progress: &mut dyn FnMut(&str)) -> Vec<Slope> {
    let slope = |name: &str, unit| Slope::new(name, unit, Dimension::Ingresses);
    let mut memory = slope("membership-memory", "bytes on the heap of one ingress");
    let mut datagrams = slope("membership-messages", "messages a second of one ingress at rest");
    let mut bytes = slope("membership-bytes", "bytes a second of one ingress at rest");
    let mut share = slope("membership-share", "share of a core of one ingress at rest");
    let mut burst_bytes = slope("notices-bytes", "bytes a second of one ingress in a burst");
    let mut burst_share = slope("notices-share", "share of a core of one ingress in a burst");
    let mut median = slope("notices-median", "ms until in force at the last ingress, median");
    let mut worst = slope("notices-worst", "ms until in force at the last ingress, worst");
    let mut deaths = slope("membership-false-deaths", "times that a living ingress was taken for dead");
    for &size in &sizes.ingresses {
        progress(&format!("a fleet of {size} ingresses"));
        let outcome = fleet::run(fleet::Setup { ingresses: size, rest_seconds: sizes.rest, notices: 50 });
        memory.add(size, outcome.heap_bytes);
        datagrams.add(size, outcome.rest_traffic.messages);
        bytes.add(size, outcome.rest_traffic.bytes);
        share.add(size, outcome.rest_cpu_share);
        burst_bytes.add(size, outcome.notices_traffic.bytes);
        burst_share.add(size, outcome.notices_cpu_share);
        median.add(size, outcome.notice_median_millis);
        worst.add(size, outcome.notice_worst_millis);
        deaths.add(size, outcome.false_deaths as f64);
    }
    vec![memory, datagrams, bytes, share, burst_bytes, burst_share, median, worst, deaths]
}

/// A slope and what it comes to.
#[derive(Debug, Serialize)]
struct Line<'a> {
    #[serde(flatten)]
    slope: &'a Slope,
    fit: Fit,
}

/// Writes all slopes into a folder: `slopes.json`, and a table and a picture of each.
///
/// # Errors
/// Where a file cannot be written.
pub fn write(folder: &Path, slopes: &[Slope]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let lines: Vec<Line<'_>> = slopes.iter().map(|slope| Line { slope, fit: slope.fit() }).collect();
    let json = serde_json::to_string_pretty(&lines).map_err(|e| e.to_string())?;
    std::fs::write(folder.join("slopes.json"), json).map_err(|e| e.to_string())?;
    slopes.iter().try_for_each(|slope| slope.write(folder))
}

/// What is measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Taking in the list.
    List,
    /// Membership and notices.
    Fleet,
    /// Load, with quotas by messages between ingresses.
    Peers,
    /// Load, with quotas by the shared counter.
    Counter,
    /// The subsets of a whole fleet.
    Subsets,
    /// Real processes before a list.
    Real,
}

/// Measures some parts, prints and writes them.
///
/// # Errors
/// Where a list cannot be read or a file cannot be written.
pub fn command(program: &Path, parts: &[Part], subset: SubsetSize, folder: &Path) -> Result<(), String> {
    let sizes = Sizes::whole();
    let mut slopes = Vec::new();
    let mut progress = |what: &str| println!("  {what}");
    for part in parts {
        let more = match part {
            Part::List => list_slopes(&sizes, subset, &mut progress)?,
            Part::Fleet => fleet_slopes(&sizes, &mut progress),
            Part::Subsets => {
                let backends = sizes.backends.last().copied().unwrap_or_default();
                let size = subset.unwrap_or(DEPLOYED_SUBSET);
                subsets::slopes(&sizes.ingresses, backends, size, &mut progress)?
            }
            Part::Real => process::slopes(program, &sizes.backends, subset, suffix(subset), &mut progress)?,
            Part::Peers | Part::Counter => {
                let source = if *part == Part::Peers { QuotaSource::Peers } else { QuotaSource::Counter };
                let usual = LoadOf { rate: RATE, source, subset };
                let busiest = LoadOf { rate: BUSIEST, ..usual };
                let mut all = load_slopes(&sizes, Dimension::Backends, busiest, &mut progress)?;
                for over in [Dimension::Backends, Dimension::Customers, Dimension::Ingresses] {
                    all.extend(load_slopes(&sizes, over, usual, &mut progress)?);
                }
                all
            }
        };
        more.iter().for_each(print);
        slopes.extend(more);
    }
    write(folder, &slopes)
}

fn print(slope: &Slope) {
    let fit = slope.fit();
    let points: Vec<String> =
        slope.points.iter().map(|point| format!("{}: {:.4}", point.size, point.value)).collect();
    println!(
        "{} ({}; {}): ~ size^{:.2}, off by {:.0}%, {:.4} at {}",
        slope.name,
        slope.unit,
        points.join(", "),
        fit.exponent,
        fit.error * 100.0,
        fit.at_target,
        slope.over.target()
    );
}
