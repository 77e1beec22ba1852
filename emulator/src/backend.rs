//! A simulated backend: requests in service share its cores, others queue, and those beyond the queue are
//! rejected.
//!
//! Progress is kept as a virtual time that advances at the rate at which each request in service is
//! processed, so that a change of that rate takes the same time however many requests there are.

use crate::script::BackendSettings;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// The index of an attempt in the list of all attempts of a run.
pub type AttemptId = usize;

/// A point in the virtual time of a backend, in nanoseconds of work. An integer has a total order.
type VirtualNanos = u64;

/// The nanoseconds of work in a millisecond of work.
const NANOS_PER_MS: f64 = 1e6;
/// The interval at which the next completion is estimated again while a backend warms up, in milliseconds.
const WARMING_RECHECK_MS: f64 = 100.0;

/// The load that a backend reports with its answers.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct LoadReport {
    /// The number of requests in service and in the queue.
    pub in_flight: f64,
    /// The number of requests in the queue.
    pub queued: f64,
    /// The moving average of the time in service, without the queue, in milliseconds.
    pub latency: f64,
    /// Whether a request has been measured since the last start.
    pub measured: bool,
}

/// The result of a request's arrival at a backend.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request is in service or in the queue.
    Accepted,
    /// The request is rejected because the queue is full, and has not been executed.
    Rejected,
    /// The backend was cold and this request exceeds its overload limit: it crashes.
    Crashed,
}

/// A backend.
#[derive(Debug, Clone)]
pub struct Backend {
    /// Whether its process runs.
    pub up: bool,
    /// Whether it only finishes the requests that it has.
    pub draining: bool,
    /// When it last started, in milliseconds. Below 0, it has been warm since before the run.
    pub started_at: f64,
    /// The number of cores.
    pub cores: f64,
    /// The speed of a core, in milliseconds of work per millisecond.
    pub speed: f64,
    /// The index of its kind of machine in the script.
    pub kind: u16,
    /// Its zone.
    pub zone: u8,
    /// Its cell.
    pub cell: u16,
    /// The factor by which it is slower than usual.
    pub slowdown: f64,
    /// The fraction of requests that end as errors.
    pub error_rate: f64,
    /// Whether overload has crashed it since its last start.
    pub crashed: bool,
    /// The mean work of a request, in which the overload limit allows for chance, in milliseconds.
    pub mean_work: f64,
    /// Incremented whenever the next completion may have changed. A completion that was scheduled for an
    /// earlier version is ignored.
    pub version: u64,
    /// The most requests in service.
    slots: usize,
    /// The most requests in the queue.
    queue_capacity: usize,
    /// Attempts that wait, with their work in milliseconds.
    queue: VecDeque<(AttemptId, f64)>,
    /// Attempts in service, by the virtual time at which they complete.
    in_service: BinaryHeap<Reverse<(VirtualNanos, AttemptId)>>,
    /// When each attempt in service left the queue, in milliseconds.
    service_started_at: HashMap<AttemptId, f64>,
    /// The work done for each attempt that has been in service since the last start, in milliseconds.
    virtual_time: f64,
    /// When `virtual_time` was last updated, in milliseconds.
    updated_at: f64,
    /// Arrivals in the overload window while cold: when, and the work in milliseconds.
    cold_arrivals: VecDeque<(f64, f64)>,
    /// The sum of the work of `cold_arrivals`.
    cold_work: f64,
    /// The moving average of the time in service, in milliseconds; 0 if none was measured since the last
    /// start.
    latency: f64,
    /// The work done, in milliseconds of a core of speed 1.
    pub work_done: f64,
    /// The part of `work_done` before the last start.
    work_done_before_start: f64,
}

/// Returns the fraction of full capacity at `age` milliseconds for a linear ramp from `initial` to 1 over
/// `warm_after` milliseconds.
fn ramp(age: f64, initial: f64, warm_after: f64) -> f64 {
    (initial + (1.0 - initial) * age / warm_after).clamp(initial, 1.0)
}

impl Backend {
    /// Returns a running backend that started at `started_at`, and is warm if that is below 0.
    /// `slots_per_core` requests are in service and `queue_per_core` wait for each core.
    pub fn new(cores: u32, speed: f64, slots_per_core: f64, queue_per_core: f64, started_at: f64) -> Self {
        let for_all_cores = |per_core: f64| (per_core * f64::from(cores)).round() as usize;
        Self {
            up: true,
            draining: false,
            started_at,
            cores: f64::from(cores),
            speed,
            kind: 0,
            zone: 0,
            cell: 0,
            slowdown: 1.0,
            error_rate: 0.0,
            crashed: false,
            mean_work: 1.0,
            version: 0,
            slots: for_all_cores(slots_per_core).max(1),
            queue_capacity: for_all_cores(queue_per_core),
            queue: VecDeque::new(),
            in_service: BinaryHeap::new(),
            service_started_at: HashMap::new(),
            virtual_time: 0.0,
            updated_at: 0.0,
            cold_arrivals: VecDeque::new(),
            cold_work: 0.0,
            latency: 0.0,
            work_done: 0.0,
            work_done_before_start: 0.0,
        }
    }

    /// Returns the fraction of its full capacity that it has now: 1 if it is warm.
    pub fn warmth(&self, now: f64, config: &BackendSettings) -> f64 {
        if self.started_at < 0.0 {
            return 1.0;
        }
        let age = match config.warm_by_work {
            true => self.busy_time(config),
            false => now - self.started_at,
        };
        ramp(age, config.cold_from, config.cold)
    }

    /// Returns how long it would take a fully busy backend to do the work done since the last start, in
    /// milliseconds.
    fn busy_time(&self, config: &BackendSettings) -> f64 {
        let mean_warmth = f64::midpoint(config.cold_from, 1.0);
        (self.work_done - self.work_done_before_start) / (self.cores * self.speed * mean_warmth)
    }

    /// Returns whether it is cold, so that overload crashes it.
    pub fn can_crash(&self, now: f64, config: &BackendSettings) -> bool {
        match config.fall_as_told {
            true => self.started_at >= 0.0 && now - self.started_at < config.told_cold,
            false => self.warmth(now, config) < 1.0,
        }
    }

    /// Returns the rate at which each request in service is processed, in milliseconds of work per
    /// millisecond.
    fn service_rate(&self, now: f64, config: &BackendSettings) -> f64 {
        let in_service = self.in_service.len() as f64;
        self.speed * self.warmth(now, config) / self.slowdown * (self.cores / in_service.max(1.0)).min(1.0)
    }

    /// Advances the virtual time to `now`, at the service rate in the middle of the interval.
    fn advance(&mut self, now: f64, config: &BackendSettings) {
        let (virtual_time, updated_at) = (self.virtual_time, self.updated_at);
        let span = (now - updated_at).max(0.0);
        let rate = self.service_rate(updated_at + span / 2.0, config);
        self.work_done += span * rate * self.in_service.len() as f64;
        self.virtual_time = virtual_time + span * rate;
        self.updated_at = now.max(updated_at);
    }

    /// Makes it slower by `factor` from now on.
    pub fn slow_down(&mut self, now: f64, factor: f64, config: &BackendSettings) {
        self.advance(now, config);
        self.slowdown *= factor;
        self.version += 1;
    }

    /// Returns the number of requests in service and in the queue.
    pub fn in_flight(&self) -> usize {
        self.in_service.len() + self.queue.len()
    }

    /// Returns the number of requests in the queue.
    pub fn queued(&self) -> usize {
        self.queue.len()
    }

    fn begin_service(&mut self, attempt: AttemptId, work: f64) {
        let ends = ((self.virtual_time + work) * NANOS_PER_MS) as VirtualNanos;
        self.in_service.push(Reverse((ends, attempt)));
        self.service_started_at.insert(attempt, self.updated_at);
    }

    /// Handles the arrival of an attempt with `work` milliseconds of work.
    pub fn admit(&mut self, now: f64, attempt: AttemptId, work: f64, config: &BackendSettings) -> Admission {
        self.advance(now, config);
        if self.can_crash(now, config) {
            self.cold_arrivals.push_back((now, work));
            self.cold_work += work;
            while let Some((at, work)) =
                self.cold_arrivals.front().copied().filter(|(at, _)| now - at > config.fall_window)
            {
                self.cold_arrivals.pop_front();
                self.cold_work -= work;
                debug_assert!(at <= now);
            }
            if self.cold_work > self.overload_limit(now, config) {
                self.crashed = true;
                return Admission::Crashed;
            }
        }
        if self.in_service.len() < self.slots {
            self.begin_service(attempt, work);
            self.version += 1;
            return Admission::Accepted;
        }
        if self.queue.len() >= self.queue_capacity {
            return Admission::Rejected;
        }
        self.queue.push_back((attempt, work));
        Admission::Accepted
    }

    /// Returns the work that may arrive within the overload window at its present warmth, in milliseconds.
    /// More crashes it.
    pub fn overload_limit(&self, now: f64, config: &BackendSettings) -> f64 {
        let warmth = match config.fall_as_told {
            true => ramp(now - self.started_at, config.told_cold_from, config.told_cold),
            false => self.warmth(now, config) / self.slowdown.max(1.0),
        };
        let capacity = self.cores * self.speed * warmth;
        let allowed = config.fall_multiple * capacity * config.fall_window;
        // Requests arrive at random, so the work in a window varies by about the root of their number.
        let by_chance = config.fall_slack * ((allowed / self.mean_work).sqrt() + 1.0) * self.mean_work;
        allowed + by_chance
    }

    /// Removes and returns the attempts that have completed by now, and moves queued ones into service.
    pub fn take_completed(&mut self, now: f64, config: &BackendSettings) -> Vec<AttemptId> {
        self.advance(now, config);
        let mut completed = Vec::new();
        while let Some(Reverse((ends, attempt))) = self.in_service.peek().copied() {
            if ends as f64 > (self.virtual_time + 1e-3) * NANOS_PER_MS {
                break;
            }
            self.in_service.pop();
            let started_at = self.service_started_at.remove(&attempt);
            self.record_latency(now - started_at.unwrap_or(now));
            completed.push(attempt);
            if let Some((next, work)) = self.queue.pop_front() {
                self.begin_service(next, work);
            }
        }
        self.version += 1;
        completed
    }

    /// Returns when to call [`Self::take_completed`] next: at the next completion at the present rate, or
    /// earlier while the backend warms up. `None` if no request is in service.
    pub fn next_completion(&self, now: f64, config: &BackendSettings) -> Option<f64> {
        let Reverse((ends, _)) = self.in_service.peek()?;
        let left = (*ends as f64 / NANOS_PER_MS - self.virtual_time).max(0.0);
        let span = left / self.service_rate(now, config).max(1e-9);
        // The rate grows while the backend warms up, so the estimate is renewed at a short interval.
        let warming = self.started_at >= 0.0 && self.warmth(now, config) < 1.0;
        Some(now + if warming { span.min(WARMING_RECHECK_MS) } else { span } + 1e-3)
    }

    /// Removes an attempt from the queue, and returns whether it was there.
    pub fn cancel_queued(&mut self, attempt: AttemptId) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(queued, _)| *queued != attempt);
        self.queue.len() < before
    }

    /// Adds a time in service to the moving average.
    fn record_latency(&mut self, span: f64) {
        self.latency = if self.latency > 0.0 { 0.9 * self.latency + 0.1 * span } else { span };
    }

    /// Returns its present load.
    pub fn load_report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight() as f64,
            queued: self.queued() as f64,
            latency: self.latency,
            measured: self.latency > 0.0,
        }
    }

    /// Ends its process. Returns the attempts that were in service, then those in the queue.
    pub fn stop(&mut self, now: f64, config: &BackendSettings) -> Vec<AttemptId> {
        self.advance(now, config);
        self.up = false;
        self.version += 1;
        self.service_started_at.clear();
        let in_service = self.in_service.drain().map(|Reverse((_, attempt))| attempt);
        in_service.chain(self.queue.drain(..).map(|(attempt, _)| attempt)).collect()
    }

    /// Starts its process, cold.
    pub fn start(&mut self, now: f64) {
        (self.up, self.draining, self.crashed, self.started_at) = (true, false, false, now);
        (self.virtual_time, self.updated_at) = (0.0, now);
        self.work_done_before_start = self.work_done;
        self.cold_arrivals.clear();
        (self.cold_work, self.latency) = (0.0, 0.0);
        self.version += 1;
    }
}

#[cfg(test)]
mod tests;
