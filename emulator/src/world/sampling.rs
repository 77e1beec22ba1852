//! Samples taken during a run, and the outcome at its end.

use super::event::EventKind;
use super::{EPOCH_MS, World};
use crate::cold::ColdReport;
use crate::report::Report;
use serde::Serialize;
use weldhub::view::View;

/// The state of an ingress at one time.
#[derive(Debug, Clone, Serialize)]
pub struct IngressSample {
    /// The simulated time, in milliseconds.
    pub at: f64,
    /// The index of the ingress.
    pub ingress: usize,
    /// Whether its process runs.
    pub up: bool,
    /// The figures that its decisions are based on.
    #[serde(flatten)]
    pub view: View,
    /// The number of tries that arrived since the previous sample.
    pub tries: u64,
    /// The tries since the previous sample that were inside the quota and rejected on arrival for lack of
    /// capacity.
    #[serde(rename = "no_room")]
    pub rejected_for_capacity: u64,
    /// The tries since the previous sample that were inside the quota and rejected on arrival for another
    /// reason.
    #[serde(rename = "no_way")]
    pub rejected_otherwise: u64,
}

/// The state of a backend at one time.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct BackendSample {
    /// The simulated time, in milliseconds.
    pub at: f64,
    /// The index of the backend.
    #[serde(rename = "server")]
    pub backend: usize,
    /// Whether its process runs.
    pub up: bool,
    /// Whether it drains, and should get no new requests.
    #[serde(rename = "drains")]
    pub draining: bool,
    /// The fraction of its full capacity that it has: 1 if it is warm.
    pub warmth: f64,
    /// The number of requests in service and in the queue.
    #[serde(rename = "holds")]
    pub in_flight: usize,
    /// The number of requests in the queue.
    #[serde(rename = "waits")]
    pub queued: usize,
    /// The work done since the start of the run, in milliseconds of a core of speed 1.
    #[serde(rename = "done")]
    pub work_done: f64,
}

/// The sampling of a run.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trace {
    /// The interval between samples of all ingresses and backends, in milliseconds; 0 for none.
    pub interval_ms: f64,
}

/// The outcome of a run.
#[derive(Debug)]
pub struct RunOutcome {
    /// The report.
    pub report: Report,
    /// The samples of the ingresses, by time.
    pub ingresses: Vec<IngressSample>,
    /// The samples of the backends, by time.
    pub backends: Vec<BackendSample>,
    /// The load on cold backends, by the ingresses that sent it.
    pub cold: ColdReport,
}

/// Counts over a run.
#[derive(Default)]
pub(super) struct Totals {
    pub(super) requests: u64,
    pub(super) tries: u64,
    /// New connections from ingresses to backends.
    pub(super) connections: u64,
    /// Peer messages sent.
    pub(super) messages: u64,
    /// Peer messages dropped by the receivers' rate limits.
    pub(super) messages_dropped: u64,
}

impl World<'_> {
    /// Samples all ingresses and backends, and schedules the next sample.
    pub(super) fn sample(&mut self) {
        let (now, config) = (self.now, &self.script.servers);
        for (i, ingress) in self.ingresses.iter_mut().enumerate() {
            let counts = std::mem::take(&mut ingress.try_counts);
            self.ingress_samples.push(IngressSample {
                at: now,
                ingress: i,
                up: ingress.up,
                view: ingress.decisions.view(EPOCH_MS + now),
                tries: counts.arrived,
                rejected_for_capacity: counts.rejected_for_capacity,
                rejected_otherwise: counts.rejected_otherwise,
            });
        }
        for (i, backend) in self.backends.iter().enumerate() {
            self.backend_samples.push(BackendSample {
                at: now,
                backend: i,
                up: backend.up,
                draining: backend.draining,
                warmth: backend.warmth(now, config),
                in_flight: backend.in_flight(),
                queued: backend.queued(),
                work_done: backend.work_done,
            });
        }
        if now + self.trace.interval_ms <= self.script.length {
            self.schedule_after(self.trace.interval_ms, EventKind::Sample);
        }
    }

    /// Returns the outcome of the run. Requests that are still open count as failed.
    pub(super) fn into_outcome(mut self, seed: u64) -> RunOutcome {
        for request in self.client_requests.iter().filter(|request| !request.done) {
            self.tallies[request.class].outcomes[2] += 1;
        }
        let (total, (worst, worst_at)) = (self.score.total(), self.score.worst_window());
        let classes = self.script.classes.iter().zip(&self.tallies).zip(&self.score.classes);
        let plans = self.script.plans.iter().zip(&self.score.plans);
        let mut broken: Vec<(String, u64)> =
            self.checker.counts.iter().map(|(rule, n)| (format!("{rule:?}").to_lowercase(), *n)).collect();
        broken.sort();
        let report = Report {
            seed,
            service: self.score.service(),
            whole: total.share(),
            worst,
            worst_at,
            beyond: self.score.excess_cost / total.asked.max(1e-9),
            classes: classes.map(|((class, tally), worth)| tally.report(&class.name, worth)).collect(),
            plans: plans.map(|(plan, worth)| (plan.name.clone(), worth.share())).collect(),
            seconds: self.seconds,
            requests: self.totals.requests,
            tries: self.totals.tries,
            attempts: self.attempts.len() as u64,
            connections: self.totals.connections,
            messages: self.totals.messages,
            messages_dropped: self.totals.messages_dropped,
            calls: self.counter.as_ref().map_or(0, |counter| counter.calls),
            broken,
            breaches: self.checker.breaches,
            events: self.event_count,
        };
        RunOutcome {
            report,
            ingresses: self.ingress_samples,
            backends: self.backend_samples,
            cold: self.cold.into_report(seed),
        }
    }
}
