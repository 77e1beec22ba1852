//! Meters for what a piece of work costs this process, heap bytes and CPU time of the calling thread, and
//! counts of the messages that it sends.
//!
//! Heap bytes are those requested from the allocator, without the allocator's own overhead, so they are the
//! same in every run. CPU time is that of the thread alone: it leaves out waiting, and other programs on the
//! machine change it little.

use peak_alloc::PeakAlloc;
use rustix::time::{ClockId, clock_gettime};
use std::time::Duration;

#[global_allocator]
static HEAP: PeakAlloc = PeakAlloc;

/// Returns the number of bytes allocated on the heap of this process.
pub fn heap_bytes() -> f64 {
    HEAP.current_usage() as f64
}

/// Returns the CPU time that the calling thread has used since it started.
pub fn thread_cpu_time() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec.unsigned_abs(), u32::try_from(now.tv_nsec).unwrap_or_default())
}

/// The cost of a piece of work.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// CPU time, in microseconds.
    pub cpu_micros: f64,
    /// Heap bytes allocated and not freed; negative if the work freed more than it allocated.
    pub heap_growth: f64,
    /// The peak of the heap during the work, in bytes above its size before.
    pub heap_peak: f64,
}

/// Runs a piece of work and returns its result and its cost.
pub fn measure<T>(work: impl FnOnce() -> T) -> (T, Cost) {
    let heap_before = heap_bytes();
    HEAP.reset_peak_usage();
    let time_before = thread_cpu_time();
    let output = work();
    let cpu_micros = (thread_cpu_time() - time_before).as_secs_f64() * 1e6;
    let cost = Cost {
        cpu_micros,
        heap_growth: heap_bytes() - heap_before,
        heap_peak: HEAP.peak_usage() as f64 - heap_before,
    };
    (output, cost)
}

/// Runs a piece of work `repetitions` times and returns the least CPU time of one run, in microseconds. The
/// least is taken because interference from other work only adds to it.
pub fn min_cpu_micros(repetitions: usize, mut work: impl FnMut()) -> f64 {
    (0..repetitions).map(|_| measure(&mut work).1.cpu_micros).fold(f64::INFINITY, f64::min)
}

/// A count of messages sent and of their bytes.
#[derive(Debug, Clone, Copy, Default)]
pub struct Traffic {
    /// The number of messages.
    pub messages: u64,
    /// The sum of their bytes.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message of this many bytes.
    pub fn add(&mut self, bytes: u64) {
        self.messages += 1;
        self.bytes += bytes;
    }

    /// Returns the rate if the traffic was sent over `seconds`. For a rate per ingress, `seconds` is the time
    /// summed over all ingresses.
    pub fn per_second(self, seconds: f64) -> TrafficRate {
        TrafficRate { messages: self.messages as f64 / seconds, bytes: self.bytes as f64 / seconds }
    }
}

/// A rate of messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct TrafficRate {
    /// Messages a second.
    pub messages: f64,
    /// Bytes a second.
    pub bytes: f64,
}
