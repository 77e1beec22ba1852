//! What the list of backends costs an ingress: bytes on the wire, time to take it in, memory by part, one change.

use super::fixture::{self, QuotaSource, change_line, chunk_bytes, full_list_line, parse_line, settings};
use super::meter::{measure, min_cpu_micros};
use super::pipeline::{DecisionPipeline, SubsetSize};
use super::slope::{Dimension, Slope};
use weldhub::interface::Event;

/// The ingresses of the fleet in which one ingress is measured.
const INGRESSES: usize = 930;
/// Like pieces of work of which the cheapest counts.
const TIMES: usize = 5;
/// An ingress ticks so often in a second, where a fleet is large.
const TICKS_A_SECOND: f64 = 5.0;

/// Measures it at each size; names of slopes end in `suffix`.
///
/// # Errors
/// Where a list cannot be read.
pub fn slopes(
    sizes: &[usize],
    subset: SubsetSize,
    suffix: &str,
    mut progress: impl FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("{name}{suffix}"), unit, Dimension::Backends);
    let mut wire = slope("list-wire", "bytes of a whole list");
    let mut reading = slope("list-read", "us of processor time to read a whole list");
    let mut reading_peak = slope("list-read-peak", "bytes on the heap while it is read");
    let mut taking = slope("list-take-in", "us of processor time to take in a whole list");
    let mut held = slope("list-memory", "bytes on the heap for the list");
    let mut decided = slope("decision-memory", "bytes on the heap for backends in the decisions");
    let mut change = slope("list-change", "us of processor time to take in one change");
    let mut tick = slope("list-rest", "share of a core at rest");
    let mut handed = slope("handover", "bytes handed to a successor");
    for &size in sizes {
        progress(&format!("list of {size} backends{suffix}"));
        let line = full_list_line(size);
        wire.add(size, chunk_bytes(&line) as f64);
        let (list, cost) = measure(|| parse_line(&line, None));
        reading_peak.add(size, cost.heap_peak);
        let list = list?;
        let micros = min_cpu_micros(TIMES, || drop(parse_line(&line, None)));
        reading.add(size, micros);
        let mut pipeline = DecisionPipeline::new(settings(0, INGRESSES, QuotaSource::Peers), subset)?;
        pipeline.handle(0.0, Event::Start);
        let (parts, cost) = measure(|| pipeline.apply_list(1.0, list));
        taking.add(size, cost.cpu_micros);
        held.add(size, parts.list_bytes);
        decided.add(size, parts.limiter_bytes);
        let mut times = 0;
        let mut failed = None;
        let micros = min_cpu_micros(TIMES, || {
            times += 1;
            let word = if times % 2 == 1 { "terminating" } else { "in_service" };
            let line = change_line(1 + times, size / 2, word);
            match fixture::parse_line(&line, Some(times)) {
                Ok(list) => drop(pipeline.apply_list(1.0 + times as f64, list)),
                Err(why) => failed = Some(why),
            }
        });
        if let Some(why) = failed {
            return Err(why);
        }
        change.add(size, micros);
        let mut now = 100.0;
        let micros = min_cpu_micros(TIMES, || {
            now += 1000.0 / TICKS_A_SECOND;
            pipeline.tick(now);
        });
        tick.add(size, micros * TICKS_A_SECOND / 1e6);
        handed.add(size, pipeline.handover_bytes() as f64);
    }
    Ok(vec![wire, reading, reading_peak, taking, held, decided, change, tick, handed])
}
