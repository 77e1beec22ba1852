//! Records the work that cold backends receive: every fall with the ingresses that filled its window, and the
//! fullest window of a run.
//!
//! A cold backend falls over if it receives more work within one fall window than it tolerates. A fall
//! violates the rule against overloading cold backends only if most of that work came from ingresses that had
//! been notified of the start.

use crate::script::Script;
use serde::Serialize;
use std::collections::{BTreeMap, HashMap, VecDeque};

/// A fall violates the rule if more than this fraction of its window came from ingresses notified of the
/// start.
const MAX_NOTIFIED_FRACTION: f64 = 2.0 / 3.0;
/// Start times closer than this denote the same start, in milliseconds; they are rounded when the time of day
/// is added.
const START_TOLERANCE_MS: f64 = 1.0;
/// An attempt that took longer than this to reach its backend waited for a new connection, in milliseconds.
const LATE_CONNECTION_MS: f64 = 100.0;
/// An ingress process with an uptime below this has observed little of its own traffic yet, in milliseconds.
const YOUNG_INGRESS_MS: f64 = 20_000.0;

/// An attempt that reached a cold backend. Times are in milliseconds.
#[derive(Debug, Clone, Copy)]
pub struct Arrival {
    /// Time of the arrival.
    pub at: f64,
    /// Work of the request, in milliseconds of a core of speed 1.
    pub work: f64,
    /// Number of the ingress that sent it.
    pub ingress: usize,
    /// Whether this is a later attempt than the first of its try.
    pub is_retry: bool,
    /// Time from the start of the attempt until it reached the backend.
    pub transit_time: f64,
    /// Uptime of the ingress process that sent it.
    pub ingress_age: f64,
}

/// What one ingress sent within a window. Amounts are in requests of mean work.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct Sender {
    /// Number of the ingress.
    pub ingress: usize,
    /// Total amount sent.
    pub sent: f64,
    /// Amount sent in attempts after the first of a try.
    pub further: f64,
    /// Amount sent before the ingress was notified of the start.
    pub untold: f64,
    /// Amount that waited for a new connection.
    pub late: f64,
    /// Amount sent by a process with an uptime below 20 s.
    pub young: f64,
    /// Amount that the backend served for this ingress within the window.
    pub served: f64,
}

/// What a cold backend received within one fall window. Times are in milliseconds, amounts in requests of
/// mean work.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ColdWindow {
    /// End of the window.
    pub at: f64,
    /// Number of the backend.
    pub server: usize,
    /// Uptime of the backend at the end of the window.
    pub age: f64,
    /// Amount received.
    pub sent: f64,
    /// The most that the backend tolerates; it falls over if it receives more.
    pub limit: f64,
    /// Whether the backend fell over.
    pub fell: bool,
    /// Whether its fall violated the rule.
    pub breaks: bool,
    /// The ingresses that sent to it, in descending order of the amount.
    pub senders: Vec<Sender>,
}

impl ColdWindow {
    /// Returns the received amount as a fraction of the limit.
    pub fn limit_fraction(&self) -> f64 {
        self.sent / self.limit.max(1e-9)
    }

    /// Returns the sum of `amount` over all senders as a fraction of the received amount.
    pub fn fraction(&self, amount: impl Fn(&Sender) -> f64) -> f64 {
        self.senders.iter().map(amount).sum::<f64>() / self.sent.max(1e-9)
    }
}

/// Results for all cold backends of a run.
#[derive(Debug, Clone, Default, Serialize)]
pub struct ColdReport {
    /// Seed of the run.
    pub seed: u64,
    /// Starts after which a backend received an attempt while cold.
    pub starts: usize,
    /// The windows in which a backend fell over.
    pub falls: Vec<ColdWindow>,
    /// The window that came closest to its limit, or exceeded it the most.
    pub fullest: ColdWindow,
}

impl ColdReport {
    /// Returns the number of falls that violated the rule.
    pub fn violations(&self) -> usize {
        self.falls.iter().filter(|fall| fall.breaks).count()
    }
}

/// An arrival, and whether its ingress had been notified of the start.
#[derive(Debug, Clone, Copy)]
struct ObservedArrival {
    arrival: Arrival,
    notified: bool,
}

/// Work that a cold backend has finished.
#[derive(Debug, Clone, Copy)]
struct ServedWork {
    at: f64,
    ingress: usize,
    work: f64,
}

/// The sliding fall window of one backend since its start.
#[derive(Debug, Clone, Default)]
struct SlidingWindow {
    started: f64,
    arrivals: VecDeque<ObservedArrival>,
    served: VecDeque<ServedWork>,
    /// Sum of the arrivals' work, in milliseconds of a core of speed 1.
    work: f64,
}

impl SlidingWindow {
    fn drop_before(&mut self, start: f64) {
        while let Some(old) = self.arrivals.pop_front_if(|observed| observed.arrival.at < start) {
            self.work -= old.arrival.work;
        }
        while self.served.pop_front_if(|served| served.at < start).is_some() {}
    }

    fn senders(&self, mean_work: f64) -> Vec<Sender> {
        let mut by_ingress: BTreeMap<usize, Sender> = BTreeMap::new();
        for ObservedArrival { arrival, notified } in &self.arrivals {
            let requests = arrival.work / mean_work;
            let sender = by_ingress.entry(arrival.ingress).or_default();
            sender.ingress = arrival.ingress;
            sender.sent += requests;
            sender.further += if arrival.is_retry { requests } else { 0.0 };
            sender.untold += if *notified { 0.0 } else { requests };
            sender.late += if arrival.transit_time > LATE_CONNECTION_MS { requests } else { 0.0 };
            sender.young += if arrival.ingress_age < YOUNG_INGRESS_MS { requests } else { 0.0 };
        }
        for ServedWork { ingress, work, .. } in &self.served {
            if let Some(sender) = by_ingress.get_mut(ingress) {
                sender.served += work / mean_work;
            }
        }
        let mut senders: Vec<Sender> = by_ingress.into_values().collect();
        senders.sort_by(|a, b| b.sent.total_cmp(&a.sent));
        senders
    }
}

/// Records the work that cold backends receive during a run.
#[derive(Debug, Default)]
pub struct ColdStartMonitor {
    mean_work: f64,
    fall_window: f64,
    windows: HashMap<usize, SlidingWindow>,
    /// The last start that an ingress was notified of, by ingress and backend.
    notified_starts: HashMap<(usize, usize), f64>,
    starts: usize,
    falls: Vec<ColdWindow>,
    fullest: ColdWindow,
}

impl ColdStartMonitor {
    /// Returns a monitor without records.
    pub fn new(script: &Script) -> Self {
        Self { mean_work: script.mean_work(), fall_window: script.servers.fall_window, ..Self::default() }
    }

    /// Records that `ingress` was notified of a start of `backend`.
    pub fn record_notification(&mut self, ingress: usize, backend: usize, started: f64) {
        self.notified_starts.insert((ingress, backend), started);
    }

    /// Records that `backend`, which may be cold, has served an attempt of `ingress`.
    pub fn record_served(&mut self, backend: usize, ingress: usize, at: f64, work: f64) {
        if let Some(window) = self.windows.get_mut(&backend) {
            window.served.push_back(ServedWork { at, ingress, work });
            window.drop_before(at - self.fall_window);
        }
    }

    /// Records an attempt that reached `backend`, which tolerates `limit` work in a window and fell over by
    /// it if `fell`. Returns whether the fall violates the rule.
    pub fn record_arrival(
        &mut self,
        backend: usize,
        started: f64,
        arrival: Arrival,
        limit: f64,
        fell: bool,
    ) -> bool {
        let notified_start = self.notified_starts.get(&(arrival.ingress, backend));
        let notified = notified_start.is_some_and(|start| (start - started).abs() < START_TOLERANCE_MS);
        if self.windows.get(&backend).is_none_or(|window| window.started != started) {
            self.starts += 1;
            self.windows.insert(backend, SlidingWindow { started, ..SlidingWindow::default() });
        }
        let window = self.windows.entry(backend).or_default();
        window.arrivals.push_back(ObservedArrival { arrival, notified });
        window.work += arrival.work;
        window.drop_before(arrival.at - self.fall_window);
        let limit_fraction = window.work / limit.max(1e-9);
        if !fell && limit_fraction <= self.fullest.limit_fraction() {
            return false;
        }
        let senders = window.senders(self.mean_work);
        let mut cold_window = ColdWindow {
            at: arrival.at,
            server: backend,
            age: arrival.at - started,
            sent: window.work / self.mean_work,
            limit: limit / self.mean_work,
            fell,
            breaks: false,
            senders,
        };
        cold_window.breaks =
            fell && 1.0 - cold_window.fraction(|sender| sender.untold) > MAX_NOTIFIED_FRACTION;
        let violates = cold_window.breaks;
        if fell {
            self.falls.push(cold_window.clone());
        }
        if limit_fraction > self.fullest.limit_fraction() {
            self.fullest = cold_window;
        }
        violates
    }

    /// Returns the report of the run.
    pub fn into_report(self, seed: u64) -> ColdReport {
        ColdReport { seed, starts: self.starts, falls: self.falls, fullest: self.fullest }
    }
}
