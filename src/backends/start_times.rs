//! When backends started, on this process's clock. The list says it by the wall clock, which may be stepped at any time;
//! this process's clock is not. No I/O.

use super::entries::BackendList;
use crate::interface::{BackendId, BackendState, Millis};
use std::collections::BTreeMap;

/// Differences between the clocks below this are no step, in milliseconds.
const MIN_STEP: Millis = 500.0;
/// The most steps that are remembered.
const MAX_STEPS: usize = 16;

/// Converts the starts of backends to this process's clock.
#[derive(Debug, Default)]
pub struct StartTimes {
    /// The differences of the wall clock from this process's clock, the latest last. A start may have been noted by any
    /// of them.
    differences: Vec<Millis>,
    /// The starts of the listed backends: as the list says, and on this process's clock.
    known: BTreeMap<BackendId, (Millis, Millis)>,
}

impl StartTimes {
    /// Replaces the starts in a list. `now` is the time on this process's clock and `wall_clock` that on the wall clock, in
    /// Unix milliseconds. A start that is listed again keeps its time.
    pub fn convert(&mut self, list: &mut BackendList, now: Millis, wall_clock: Millis) {
        self.observe(wall_clock - now);
        let mut known = if list.complete { BTreeMap::new() } else { std::mem::take(&mut self.known) };
        for entry in &mut list.entries {
            let id = entry.entry.backend;
            let Some(listed) = entry.entry.last_start.filter(|_| entry.entry.state != BackendState::Gone)
            else {
                known.remove(&id);
                continue;
            };
            let before = self.known.get(&id).or(known.get(&id)).filter(|(raw, _)| *raw == listed);
            let start = before.map_or_else(|| self.start_of(listed, now), |(_, start)| *start);
            known.insert(id, (listed, start));
            entry.entry.last_start = Some(start);
        }
        self.known = known;
    }

    fn observe(&mut self, difference: Millis) {
        let difference = if difference.abs() < MIN_STEP { 0.0 } else { difference };
        if self.differences.last().is_some_and(|last| (last - difference).abs() < MIN_STEP) {
            return;
        }
        if self.differences.len() >= MAX_STEPS {
            self.differences.remove(0);
        }
        self.differences.push(difference);
    }

    /// Returns when a backend started that has not been listed before: the latest time that is possible, so that a cold
    /// backend is not taken for a warm one.
    fn start_of(&self, listed: Millis, now: Millis) -> Millis {
        let possible = self.differences.iter().map(|difference| listed - difference);
        possible.filter(|start| *start <= now + MIN_STEP).reduce(f64::max).unwrap_or(now)
    }
}

#[cfg(test)]
mod tests;
