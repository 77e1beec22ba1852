//! A real server: requests in work share its cores, more wait, more than that are turned away. Its work is kept as a virtual
//! time that runs as fast as each request in work is served, so that a change of pace costs nothing per request.

use crate::script::BackendSettings;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, HashMap, VecDeque};

/// Which attempt, by its place in the world's list.
pub type AttemptAt = usize;

/// Virtual time in nanoseconds of work, for a total order.
type Virtual = u64;

const SCALE: f64 = 1e6;

/// What its answers carry.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Reported {
    /// Requests that it holds.
    pub in_flight: f64,
    /// Those of them that wait.
    pub queued: f64,
    /// Its recent service time, without waiting.
    pub latency: f64,
    /// It has been measured at all.
    pub told: bool,
}

/// What becomes of a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Taken {
    /// It works on it, or will.
    Yes,
    /// It is turned away unseen.
    Full,
    /// It was sent more than it can bear while cold: it has fallen over, and is down.
    Falls,
}

/// A real server.
#[derive(Debug, Clone)]
pub struct Server {
    /// Its process runs.
    pub up: bool,
    /// It finishes what it has and is to get nothing new.
    pub drains: bool,
    /// When it started; long ago where that is below 0.
    pub started: f64,
    /// Cores, the speed of one, and which kind it is.
    pub cores: f64,
    /// The latter.
    pub speed: f64,
    /// Its kind.
    pub kind: u16,
    /// Its hall.
    pub hall: u8,
    /// Its pod.
    pub cell: u16,
    /// So many times slower than usual.
    pub slow: f64,
    /// The part of requests that end as errors.
    pub errors: f64,
    /// It has fallen over.
    pub fallen: bool,
    /// The mean work of a request, by which what makes it fall is counted.
    pub mean_work: f64,
    /// Grows whenever what it does next may have changed: an end that was foreseen before does not count.
    pub version: u64,
    slots: usize,
    waiting: usize,
    queue: VecDeque<(AttemptAt, f64)>,
    working: BinaryHeap<Reverse<(Virtual, AttemptAt)>>,
    /// When those in work came to it.
    began: HashMap<AttemptAt, f64>,
    /// Virtual time, and when it was that.
    at: (f64, f64),
    /// What was sent while cold: when and how much work.
    sent: VecDeque<(f64, f64)>,
    sent_sum: f64,
    latency: f64,
    /// Work done, in milliseconds of a core of speed 1.
    pub done: f64,
    /// Of that, what was done before its last start.
    done_before: f64,
}

/// The part of its full work that a server can do at this age, where it starts with `from` and is warm after `warm_after`.
fn ramp(age: f64, from: f64, warm_after: f64) -> f64 {
    (from + (1.0 - from) * age / warm_after).clamp(from, 1.0)
}

impl Server {
    /// A warm one, or a cold one where it starts now.
    pub fn new(cores: u32, speed: f64, slots: f64, queue: f64, started: f64) -> Self {
        let by = |per_core: f64| (per_core * f64::from(cores)).round() as usize;
        Self {
            up: true,
            drains: false,
            started,
            cores: f64::from(cores),
            speed,
            kind: 0,
            hall: 0,
            cell: 0,
            slow: 1.0,
            errors: 0.0,
            fallen: false,
            mean_work: 1.0,
            version: 0,
            slots: by(slots).max(1),
            waiting: by(queue),
            queue: VecDeque::new(),
            working: BinaryHeap::new(),
            began: HashMap::new(),
            at: (0.0, 0.0),
            sent: VecDeque::new(),
            sent_sum: 0.0,
            latency: 0.0,
            done: 0.0,
            done_before: 0.0,
        }
    }

    /// The part of its full work that it can do now.
    pub fn warmth(&self, now: f64, how: &BackendSettings) -> f64 {
        if self.started < 0.0 {
            return 1.0;
        }
        let age = match how.warm_by_work {
            true => self.busy_time(how),
            false => now - self.started,
        };
        ramp(age, how.cold_from, how.cold)
    }

    /// How long it would have to be fully busy from its start for the work that it has done since.
    fn busy_time(&self, how: &BackendSettings) -> f64 {
        let mean_warmth = f64::midpoint(how.cold_from, 1.0);
        (self.done - self.done_before) / (self.cores * self.speed * mean_warmth)
    }

    /// Whether too much would make it fall now.
    pub fn may_fall(&self, now: f64, how: &BackendSettings) -> bool {
        match how.fall_as_told {
            true => self.started >= 0.0 && now - self.started < how.told_cold,
            false => self.warmth(now, how) < 1.0,
        }
    }

    /// How fast each request in work is served: milliseconds of work a millisecond.
    fn pace(&self, now: f64, how: &BackendSettings) -> f64 {
        let many = self.working.len() as f64;
        self.speed * self.warmth(now, how) / self.slow * (self.cores / many.max(1.0)).min(1.0)
    }

    /// Lets the time run up to now.
    fn run(&mut self, now: f64, how: &BackendSettings) {
        let (done, at) = self.at;
        let span = (now - at).max(0.0);
        let pace = self.pace(at + span / 2.0, how);
        self.done += span * pace * self.working.len() as f64;
        self.at = (done + span * pace, now.max(at));
    }

    /// The pace is to change now.
    pub fn slows(&mut self, now: f64, times: f64, how: &BackendSettings) {
        self.run(now, how);
        self.slow *= times;
        self.version += 1;
    }

    /// Requests that it holds.
    pub fn holds(&self) -> usize {
        self.working.len() + self.queue.len()
    }

    /// Requests that wait.
    pub fn waits(&self) -> usize {
        self.queue.len()
    }

    fn works(&mut self, attempt: AttemptAt, work: f64) {
        let ends = ((self.at.0 + work) * SCALE) as Virtual;
        self.working.push(Reverse((ends, attempt)));
        self.began.insert(attempt, self.at.1);
    }

    /// A request arrives, of so much work.
    pub fn takes(&mut self, now: f64, attempt: AttemptAt, work: f64, how: &BackendSettings) -> Taken {
        self.run(now, how);
        if self.may_fall(now, how) {
            self.sent.push_back((now, work));
            self.sent_sum += work;
            while let Some((at, work)) =
                self.sent.front().copied().filter(|(at, _)| now - at > how.fall_window)
            {
                self.sent.pop_front();
                self.sent_sum -= work;
                debug_assert!(at <= now);
            }
            if self.sent_sum > self.bears(now, how) {
                self.fallen = true;
                return Taken::Falls;
            }
        }
        if self.working.len() < self.slots {
            self.works(attempt, work);
            self.version += 1;
            return Taken::Yes;
        }
        if self.queue.len() >= self.waiting {
            return Taken::Full;
        }
        self.queue.push_back((attempt, work));
        Taken::Yes
    }

    /// The work that it can be sent in a fall window, as warm as it is now; more makes it fall.
    pub fn bears(&self, now: f64, how: &BackendSettings) -> f64 {
        let part = match how.fall_as_told {
            true => ramp(now - self.started, how.told_cold_from, how.told_cold),
            false => self.warmth(now, how) / self.slow.max(1.0),
        };
        let can = self.cores * self.speed * part;
        let allowed = how.fall_multiple * can * how.fall_window;
        let by_chance = how.fall_slack * ((allowed / self.mean_work).sqrt() + 1.0) * self.mean_work;
        allowed + by_chance
    }

    /// Those that have ended by now.
    pub fn ended(&mut self, now: f64, how: &BackendSettings) -> Vec<AttemptAt> {
        self.run(now, how);
        let mut all = Vec::new();
        while let Some(Reverse((ends, attempt))) = self.working.peek().copied() {
            if ends as f64 > (self.at.0 + 1e-3) * SCALE {
                break;
            }
            self.working.pop();
            let began = self.began.remove(&attempt);
            self.took(now - began.unwrap_or(now));
            all.push(attempt);
            if let Some((next, work)) = self.queue.pop_front() {
                self.works(next, work);
            }
        }
        self.version += 1;
        all
    }

    /// When the next one ends, as things are.
    pub fn next_end(&self, now: f64, how: &BackendSettings) -> Option<f64> {
        let Reverse((ends, _)) = self.working.peek()?;
        let left = (*ends as f64 / SCALE - self.at.0).max(0.0);
        let span = left / self.pace(now, how).max(1e-9);
        // While it warms, and as slots empty, it is looked at again soon enough.
        let warms = self.started >= 0.0 && self.warmth(now, how) < 1.0;
        Some(now + if warms { span.min(100.0) } else { span } + 1e-3)
    }

    /// One that waits is no longer wanted.
    pub fn drops(&mut self, attempt: AttemptAt) -> bool {
        let before = self.queue.len();
        self.queue.retain(|(waits, _)| *waits != attempt);
        self.queue.len() < before
    }

    /// A request took so long in work, without its wait.
    fn took(&mut self, span: f64) {
        self.latency = if self.latency > 0.0 { 0.9 * self.latency + 0.1 * span } else { span };
    }

    /// What it says of itself.
    pub fn report(&self) -> Reported {
        Reported {
            in_flight: self.holds() as f64,
            queued: self.waits() as f64,
            latency: self.latency,
            told: self.latency > 0.0,
        }
    }

    /// Its process ends; tells what it held.
    pub fn dies(&mut self, now: f64, how: &BackendSettings) -> Vec<AttemptAt> {
        self.run(now, how);
        self.up = false;
        self.version += 1;
        self.began.clear();
        let held = self.working.drain().map(|Reverse((_, attempt))| attempt);
        held.chain(self.queue.drain(..).map(|(attempt, _)| attempt)).collect()
    }

    /// It starts anew, cold.
    pub fn starts(&mut self, now: f64) {
        (self.up, self.drains, self.fallen, self.started) = (true, false, false, now);
        self.at = (0.0, now);
        self.done_before = self.done;
        self.sent.clear();
        (self.sent_sum, self.latency) = (0.0, 0.0);
        self.version += 1;
    }
}

#[cfg(test)]
mod tests;
