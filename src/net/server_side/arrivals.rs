//! When the bytes arrived that a client sent ahead of an answer. The time of a request that waited behind another one on
//! its connection runs from then.

use crate::interface::Millis;
use std::collections::VecDeque;

/// The most times that are remembered for one connection; later bytes share the last.
const MAX_MARKS: usize = 64;

/// The arrival times of the bytes at the front of a connection's buffer.
#[derive(Debug, Default)]
pub(super) struct Arrivals {
    /// The number of bytes up to which each time applies, and the time.
    marks: VecDeque<(usize, Millis)>,
}

impl Arrivals {
    /// Records that the buffer holds `buffered` bytes at `now`, after a read.
    pub(super) fn record(&mut self, buffered: usize, now: Millis) {
        if self.marks.len() >= MAX_MARKS {
            self.marks.pop_back();
        }
        self.marks.push_back((buffered, now));
    }

    /// Removes `taken` bytes from the front. Returns when the last of them arrived, or `None` if that was not recorded.
    pub(super) fn take(&mut self, taken: usize) -> Option<Millis> {
        let at = self.marks.iter().find(|(up_to, _)| *up_to >= taken).map(|(_, at)| *at);
        self.marks.retain_mut(|(up_to, _)| {
            *up_to = up_to.saturating_sub(taken);
            *up_to > 0
        });
        at
    }

    /// Forgets all times, as the buffer holds none of these bytes any more.
    pub(super) fn clear(&mut self) {
        self.marks.clear();
    }
}

#[cfg(test)]
mod tests;
