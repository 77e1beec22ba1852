//! What the backend list costs an ingress: bytes on the wire, CPU time to parse and to apply it, memory by
//! layer, and CPU time for one change and for the periodic timer.

use super::fixture::{QuotaSource, change_line, chunk_bytes, full_list_line, parse_line, settings};
use super::meter::{measure, min_cpu_micros};
use super::pipeline::{DecisionPipeline, SubsetSize};
use super::slope::{Dimension, Slope};
use weldhub::interface::Event;

/// The number of ingresses in the fleet of the measured ingress.
const INGRESSES: usize = 930;
/// The number of times that a piece of work is repeated; the cheapest run counts.
const REPETITIONS: usize = 5;
/// The rate of the periodic timer of an ingress in a large fleet, in ticks a second.
const TICKS_PER_SECOND: f64 = 5.0;

/// Measures the cost of lists of each size; the names of the slopes end in `suffix`.
///
/// # Errors
/// Returns why a list could not be read.
pub fn slopes(
    sizes: &[usize],
    subset_size: SubsetSize,
    suffix: &str,
    mut progress: impl FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("{name}{suffix}"), unit, Dimension::Backends);
    let mut wire_bytes = slope("list-wire", "bytes of a whole list");
    let mut parse_micros = slope("list-read", "us of processor time to read a whole list");
    let mut parse_peak = slope("list-read-peak", "bytes on the heap while it is read");
    let mut apply_micros = slope("list-take-in", "us of processor time to take in a whole list");
    let mut list_memory = slope("list-memory", "bytes on the heap for the list");
    let mut limiter_memory = slope("decision-memory", "bytes on the heap for backends in the decisions");
    let mut change_micros = slope("list-change", "us of processor time to take in one change");
    let mut rest_share = slope("list-rest", "share of a core at rest");
    let mut handover = slope("handover", "bytes handed to a successor");
    for &size in sizes {
        progress(&format!("a list of {size} backends{suffix}"));
        let line = full_list_line(size);
        wire_bytes.add(size, chunk_bytes(&line) as f64);
        let (list, cost) = measure(|| parse_line(&line, None));
        parse_peak.add(size, cost.heap_peak);
        let list = list?;
        let micros = min_cpu_micros(REPETITIONS, || drop(parse_line(&line, None)));
        parse_micros.add(size, micros);
        let mut pipeline = DecisionPipeline::new(settings(0, INGRESSES, QuotaSource::Peers), subset_size)?;
        pipeline.handle(0.0, Event::Start);
        let (growth, cost) = measure(|| pipeline.apply_list(1.0, list));
        apply_micros.add(size, cost.cpu_micros);
        list_memory.add(size, growth.list_bytes);
        limiter_memory.add(size, growth.limiter_bytes);
        let mut changes = 0;
        let mut failed = None;
        let micros = min_cpu_micros(REPETITIONS, || {
            changes += 1;
            let lifecycle = if changes % 2 == 1 { "terminating" } else { "in_service" };
            let line = change_line(1 + changes, size / 2, lifecycle);
            match parse_line(&line, Some(changes)) {
                Ok(list) => drop(pipeline.apply_list(1.0 + changes as f64, list)),
                Err(why) => failed = Some(why),
            }
        });
        if let Some(why) = failed {
            return Err(why);
        }
        change_micros.add(size, micros);
        let mut now = 100.0;
        let micros = min_cpu_micros(REPETITIONS, || {
            now += 1000.0 / TICKS_PER_SECOND;
            pipeline.tick(now);
        });
        rest_share.add(size, micros * TICKS_PER_SECOND / 1e6);
        handover.add(size, pipeline.handover_bytes() as f64);
    }
    Ok(vec![
        wire_bytes,
        parse_micros,
        parse_peak,
        apply_micros,
        list_memory,
        limiter_memory,
        change_micros,
        rest_share,
        handover,
    ])
}
