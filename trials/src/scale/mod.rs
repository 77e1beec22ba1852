//! The cost of an ingress in installations that are too large to run as processes on one machine. The
//! program's own decisions, parsers, membership and datagrams are measured in one process at several sizes; a
//! power law is fitted to the slope of each quantity over the size.

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

/// The sizes at which quantities are measured.
#[derive(Debug, Clone)]
pub struct Sizes {
    /// Numbers of ingresses in the fleet, in ascending order.
    pub ingresses: Vec<usize>,
    /// Numbers of backends on the list, in ascending order.
    pub backends: Vec<usize>,
    /// Numbers of customers, in ascending order.
    pub customers: Vec<usize>,
    /// The simulated time of an ingress under load, in seconds.
    pub load_seconds: f64,
    /// The simulated time of a fleet at rest, in seconds.
    pub rest_seconds: u64,
}

impl Sizes {
    /// Returns the sizes up to those of the capacity target.
    pub fn up_to_target() -> Self {
        Self {
            ingresses: vec![30, 100, 300, 930],
            backends: vec![200, 1000, 5000, 14_000],
            customers: vec![1000, 3000, 9000, 19_000],
            load_seconds: 120.0,
            rest_seconds: 30,
        }
    }
}

/// The mean rate of requests at one ingress, a second: 79,000 over 930 ingresses.
pub const MEAN_REQUEST_RATE: f64 = 85.0;
/// The rate of requests at the busiest ingress, a second.
pub const BUSIEST_REQUEST_RATE: f64 = 340.0;
/// The subset size in `deploy/ingress-large.toml`.
const DEPLOYED_SUBSET_SIZE: usize = 48;
/// The rate of changes of the backend list in the worst minute, a second.
pub const PEAK_LIST_CHANGE_RATE: f64 = 50.0 / 60.0;
/// The number of notices that operators publish in the worst minute.
const PEAK_NOTICES_PER_MINUTE: usize = 50;

/// Measures the cost of the backend list over its size.
///
/// # Errors
/// Returns why a list could not be read.
pub fn list_slopes(
    sizes: &Sizes,
    subset_size: SubsetSize,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    backend_list::slopes(&sizes.backends, subset_size, subset_suffix(subset_size), progress)
}

/// Returns the end of the names of slopes: `-subset` if ingresses send to a subset of the backends.
fn subset_suffix(subset_size: SubsetSize) -> &'static str {
    if subset_size.is_some() { "-subset" } else { "" }
}

/// The load and the configuration of one ingress.
#[derive(Debug, Clone, Copy)]
pub struct LoadProfile {
    /// The rate of requests, a second.
    pub request_rate: f64,
    /// How the ingresses share the use of quotas.
    pub quota_source: QuotaSource,
    /// The number of backends that the ingress sends to.
    pub subset_size: SubsetSize,
}

/// Returns the sizes in the dimension that a slope varies.
fn sizes_in(sizes: &Sizes, over: Dimension) -> &[usize] {
    match over {
        Dimension::Ingresses => &sizes.ingresses,
        Dimension::Backends => &sizes.backends,
        Dimension::Customers => &sizes.customers,
    }
}

/// Measures one ingress under load. One dimension of the installation varies; the others have their largest
/// size.
///
/// # Errors
/// Returns why a list could not be read.
pub fn load_slopes(
    sizes: &Sizes,
    over: Dimension,
    load: LoadProfile,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let LoadProfile { request_rate, quota_source, subset_size } = load;
    let busiest = if request_rate == MEAN_REQUEST_RATE { "" } else { "-busiest" };
    let by = match quota_source {
        QuotaSource::Peers => "peers",
        QuotaSource::Counter => "counter",
    };
    let slope = |what: &str, unit| {
        Slope::new(&format!("{what}-{by}-over-{over}{busiest}{}", subset_suffix(subset_size)), unit, over)
    };
    let mut added_latency = [("p50", 0.5), ("p99", 0.99), ("p999", 0.999)]
        .map(|(name, quantile)| (slope(&format!("added-{name}"), "us added to a request"), quantile));
    let mut cpu_share = slope("load-share", "share of a core under load");
    let mut memory = slope("load-memory", "bytes on the heap beyond the list");
    let mut quota_calls = slope("quota-asked", "part of requests that ask elsewhere");
    let mut quota_messages = slope("quota-messages", "messages a second for quotas");
    let mut quota_bytes = slope("quota-bytes", "bytes a second for quotas");
    let mut backends_used = slope("reached", "backends that were sent to");
    let largest = |sizes: &[usize]| sizes.last().copied().unwrap_or(1);
    for &size in sizes_in(sizes, over) {
        progress(&format!(
            "{request_rate} requests a second, {size} {over}, quotas by {by}{}",
            subset_suffix(subset_size)
        ));
        let mut setup = load::Setup {
            ingresses: largest(&sizes.ingresses),
            backends: largest(&sizes.backends),
            customers: largest(&sizes.customers),
            requests_per_second: request_rate,
            list_changes_per_second: PEAK_LIST_CHANGE_RATE,
            seconds: sizes.load_seconds,
            quota_source,
            subset_size,
        };
        match over {
            Dimension::Ingresses => setup.ingresses = size,
            Dimension::Backends => setup.backends = size,
            Dimension::Customers => setup.customers = size,
        }
        let measured = load::run(setup)?;
        for (slope, quantile) in &mut added_latency {
            slope.add(size, measured.added_nanos.value_at_quantile(*quantile) as f64 / 1000.0);
        }
        let traffic = match quota_source {
            QuotaSource::Peers => measured.peer_traffic,
            QuotaSource::Counter => measured.counter_traffic,
        };
        cpu_share.add(size, measured.cpu_share);
        memory.add(size, measured.heap_growth);
        quota_calls.add(size, measured.quota_calls as f64 / measured.requests.max(1) as f64);
        quota_messages.add(size, traffic.messages);
        quota_bytes.add(size, traffic.bytes);
        backends_used.add(size, measured.backends_used as f64);
    }
    let [p50, p99, p999] = added_latency.map(|(slope, _)| slope);
    Ok(vec![p50, p99, p999, cpu_share, memory, quota_calls, quota_messages, quota_bytes, backends_used])
}

/// Measures membership and operators' notices over the number of ingresses.
pub fn fleet_slopes(sizes: &Sizes, progress: &mut dyn FnMut(&str)) -> Vec<Slope> {
    let slope = |name: &str, unit| Slope::new(name, unit, Dimension::Ingresses);
    let mut memory = slope("membership-memory", "bytes on the heap of one ingress");
    let mut rest_messages = slope("membership-messages", "messages a second of one ingress at rest");
    let mut rest_bytes = slope("membership-bytes", "bytes a second of one ingress at rest");
    let mut rest_cpu_share = slope("membership-share", "share of a core of one ingress at rest");
    let mut notices_bytes = slope("notices-bytes", "bytes a second of one ingress in a burst");
    let mut notices_cpu_share = slope("notices-share", "share of a core of one ingress in a burst");
    let mut notice_median = slope("notices-median", "ms until in force at the last ingress, median");
    let mut notice_worst = slope("notices-worst", "ms until in force at the last ingress, worst");
    let mut false_deaths = slope("membership-false-deaths", "times that a living ingress was taken for dead");
    for &size in &sizes.ingresses {
        progress(&format!("a fleet of {size} ingresses"));
        let outcome = fleet::run(fleet::Setup {
            ingresses: size,
            rest_seconds: sizes.rest_seconds,
            notices: PEAK_NOTICES_PER_MINUTE,
        });
        memory.add(size, outcome.heap_bytes);
        rest_messages.add(size, outcome.rest_traffic.messages);
        rest_bytes.add(size, outcome.rest_traffic.bytes);
        rest_cpu_share.add(size, outcome.rest_cpu_share);
        notices_bytes.add(size, outcome.notices_traffic.bytes);
        notices_cpu_share.add(size, outcome.notices_cpu_share);
        notice_median.add(size, outcome.notice_median_millis);
        notice_worst.add(size, outcome.notice_worst_millis);
        false_deaths.add(size, outcome.false_deaths as f64);
    }
    vec![
        memory,
        rest_messages,
        rest_bytes,
        rest_cpu_share,
        notices_bytes,
        notices_cpu_share,
        notice_median,
        notice_worst,
        false_deaths,
    ]
}

/// A slope with its power law, as `slopes.json` holds it.
#[derive(Debug, Serialize)]
struct FittedSlope<'a> {
    #[serde(flatten)]
    slope: &'a Slope,
    fit: Fit,
}

/// Writes all slopes to a folder: `slopes.json`, and a CSV table and an SVG chart of each slope.
///
/// # Errors
/// Returns why a file could not be written.
pub fn write_slopes(folder: &Path, slopes: &[Slope]) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let fitted: Vec<FittedSlope<'_>> =
        slopes.iter().map(|slope| FittedSlope { slope, fit: slope.fit() }).collect();
    let json = serde_json::to_string_pretty(&fitted).map_err(|e| e.to_string())?;
    std::fs::write(folder.join("slopes.json"), json).map_err(|e| e.to_string())?;
    slopes.iter().try_for_each(|slope| slope.write(folder))
}

/// A group of measurements.
#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
pub enum Part {
    /// Parsing and applying the backend list.
    List,
    /// Membership and operators' notices of a whole fleet.
    Fleet,
    /// One ingress under load, with quotas shared by messages between ingresses.
    Peers,
    /// One ingress under load, with quotas shared by the counter.
    Counter,
    /// The backend subsets of a whole fleet.
    Subsets,
    /// Real processes with lists of several sizes.
    Real,
}

/// Measures some parts at the sizes up to the capacity target, prints their slopes and writes them to a
/// folder.
///
/// # Errors
/// Returns why a list could not be read, a process could not be measured or a file could not be written.
pub fn measure_parts(
    program: &Path,
    parts: &[Part],
    subset_size: SubsetSize,
    folder: &Path,
) -> Result<(), String> {
    let sizes = Sizes::up_to_target();
    let mut slopes = Vec::new();
    let mut progress = |what: &str| println!("  {what}");
    for part in parts {
        let measured = match part {
            Part::List => list_slopes(&sizes, subset_size, &mut progress)?,
            Part::Fleet => fleet_slopes(&sizes, &mut progress),
            Part::Subsets => {
                let backends = sizes.backends.last().copied().unwrap_or_default();
                let size = subset_size.unwrap_or(DEPLOYED_SUBSET_SIZE);
                subsets::slopes(&sizes.ingresses, backends, size, &mut progress)?
            }
            Part::Real => process::slopes(
                program,
                &sizes.backends,
                subset_size,
                subset_suffix(subset_size),
                &mut progress,
            )?,
            Part::Peers | Part::Counter => {
                let quota_source =
                    if *part == Part::Peers { QuotaSource::Peers } else { QuotaSource::Counter };
                let mean = LoadProfile { request_rate: MEAN_REQUEST_RATE, quota_source, subset_size };
                let busiest = LoadProfile { request_rate: BUSIEST_REQUEST_RATE, ..mean };
                let mut part_slopes = load_slopes(&sizes, Dimension::Backends, busiest, &mut progress)?;
                for over in [Dimension::Backends, Dimension::Customers, Dimension::Ingresses] {
                    part_slopes.extend(load_slopes(&sizes, over, mean, &mut progress)?);
                }
                part_slopes
            }
        };
        measured.iter().for_each(print_slope);
        slopes.extend(measured);
    }
    write_slopes(folder, &slopes)
}

/// Prints the points of a slope and its power law.
fn print_slope(slope: &Slope) {
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
