//! What is seen of a run: samples on the way, and what it came to.

use super::event::What;
use super::{EPOCH, World};
use crate::cold::ColdReport;
use crate::report::Report;
use serde::Serialize;
use weldhub::view::View;

/// What an ingress goes by at a moment.
#[derive(Debug, Clone, Serialize)]
pub struct Sample {
    /// When, in milliseconds.
    pub at: f64,
    /// Which ingress.
    pub ingress: usize,
    /// It runs.
    pub up: bool,
    /// What it goes by.
    #[serde(flatten)]
    pub view: View,
    /// Tries since the sample before: all, those inside quotas that were refused at once for want of room, and for other
    /// reasons.
    pub tries: u64,
    /// For want of room.
    pub no_room: u64,
    /// For other reasons.
    pub no_way: u64,
}

/// What a real server does at a moment.
#[derive(Debug, Clone, Copy, Serialize)]
pub struct ServerSample {
    /// When, in milliseconds.
    pub at: f64,
    /// Which.
    pub server: usize,
    /// It runs.
    pub up: bool,
    /// It is to get nothing new.
    pub drains: bool,
    /// The part of its full work that it can do.
    pub warmth: f64,
    /// Requests that it holds.
    pub holds: usize,
    /// Those of them that wait.
    pub waits: usize,
    /// Work done since it was made, in milliseconds.
    pub done: f64,
}

/// What is sampled.
#[derive(Debug, Clone, Copy, Default)]
pub struct Trace {
    /// Every so often; never where 0.
    pub every: f64,
}

/// What a run gives.
#[derive(Debug)]
pub struct Outcomes {
    /// The report.
    pub report: Report,
    /// Ingresses by time.
    pub ingresses: Vec<Sample>,
    /// Real servers by time.
    pub servers: Vec<ServerSample>,
    /// What cold backends were sent, and by whom.
    pub cold: ColdReport,
}

#[derive(Default)]
pub(super) struct Totals {
    pub(super) requests: u64,
    pub(super) tries: u64,
    pub(super) connections: u64,
    pub(super) messages: u64,
    pub(super) dropped: u64,
}

impl World<'_> {
    pub(super) fn sample(&mut self) {
        let (now, how) = (self.now, &self.script.servers);
        for (i, node) in self.nodes.iter_mut().enumerate() {
            let [tries, no_room, no_way] = std::mem::take(&mut node.counts);
            let view = node.brain.view(EPOCH + now);
            self.samples.push(Sample { at: now, ingress: i, up: node.up, view, tries, no_room, no_way });
        }
        for (s, server) in self.servers.iter().enumerate() {
            self.server_samples.push(ServerSample {
                at: now,
                server: s,
                up: server.up,
                drains: server.drains,
                warmth: server.warmth(now, how),
                holds: server.holds(),
                waits: server.waits(),
                done: server.done,
            });
        }
        if now + self.trace.every <= self.script.length {
            self.after(self.trace.every, What::Sample);
        }
    }

    pub(super) fn outcomes(mut self, seed: u64) -> Outcomes {
        // Whoever still waits has waited in vain.
        for asked in self.asked.iter().filter(|asked| !asked.done) {
            self.tallies[asked.class].outcomes[2] += 1;
        }
        let (whole, (worst, worst_at)) = (self.judge.whole(), self.judge.worst());
        let classes = self.script.classes.iter().zip(&self.tallies).zip(&self.judge.classes);
        let plans = self.script.plans.iter().zip(&self.judge.plans);
        let mut broken: Vec<(String, u64)> =
            self.check.counts.iter().map(|(rule, n)| (format!("{rule:?}").to_lowercase(), *n)).collect();
        broken.sort();
        let report = Report {
            seed,
            service: self.judge.service(),
            whole: whole.share(),
            worst,
            worst_at,
            beyond: self.judge.beyond / whole.asked.max(1e-9),
            classes: classes.map(|((class, tally), worth)| tally.report(&class.name, worth)).collect(),
            plans: plans.map(|(plan, worth)| (plan.name.clone(), worth.share())).collect(),
            seconds: self.seconds,
            requests: self.totals.requests,
            tries: self.totals.tries,
            attempts: self.attempts.len() as u64,
            connections: self.totals.connections,
            messages: self.totals.messages,
            messages_dropped: self.totals.dropped,
            calls: self.counter.as_ref().map_or(0, |counter| counter.calls),
            broken,
            breaches: self.check.breaches,
            events: self.events,
        };
        Outcomes {
            report,
            ingresses: self.samples,
            servers: self.server_samples,
            cold: self.cold.into_report(seed),
        }
    }
}
