//! Cold backends over many runs: how often one fell, how full the fullest window was, and who had sent it.

use crate::cold::{ColdReport, ColdWindow, Sender};
use crate::script::Script;
use crate::world::{DecisionModuleFactory, Trace, run};
use rayon::prelude::*;
use serde::Serialize;
use std::fmt;

/// One run: its falls, and its fullest window in short.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ColdRun {
    /// What it ran with.
    pub value: String,
    /// Its seed.
    pub seed: u64,
    /// The service figure.
    pub service: f64,
    /// Backends that were sent something while cold.
    pub starts: usize,
    /// Falls.
    pub falls: usize,
    /// Of these, those that broke the rule.
    pub breaks: usize,
    /// What the fullest window held, as a part of what makes a backend fall.
    pub fullest: f64,
    /// The age of its backend, in milliseconds.
    pub age: f64,
    /// What makes it fall, in requests of mean work.
    pub limit: f64,
    /// How many ingresses sent.
    pub senders: usize,
    /// The part of the one that sent the most.
    pub top: f64,
    /// The part of further attempts.
    pub further: f64,
    /// The part of ingresses that had not been told of the start.
    pub untold: f64,
    /// The part that waited for its connection.
    pub late: f64,
    /// The part of ingresses that had just started.
    pub young: f64,
    /// What was served within the window, as a part of what was sent.
    pub served: f64,
}

impl ColdRun {
    fn of(value: &str, service: f64, report: &ColdReport) -> Self {
        let full = &report.fullest;
        Self {
            value: value.to_owned(),
            seed: report.seed,
            service,
            starts: report.starts,
            falls: report.falls.len(),
            breaks: report.breaks(),
            fullest: full.load(),
            age: full.age,
            limit: full.limit,
            senders: full.senders.len(),
            top: full.senders.first().map_or(0.0, |top| top.sent / full.sent.max(1e-9)),
            further: full.part(|sender| sender.further),
            untold: full.part(|sender| sender.untold),
            late: full.part(|sender| sender.late),
            young: full.part(|sender| sender.young),
            served: full.part(|sender| sender.served),
        }
    }
}

/// Plays scripts over seeds and looks at their cold backends; the same runs in the same order whatever the machine.
pub fn sweep(
    scripts: &[(String, Script)],
    seeds: &[u64],
    maker: DecisionModuleFactory<'_>,
) -> Result<Vec<ColdRun>, String> {
    let jobs: Vec<(&String, &Script, u64)> = scripts
        .iter()
        .flat_map(|(value, script)| seeds.iter().map(move |seed| (value, script, *seed)))
        .collect();
    jobs.par_iter()
        .map(|(value, script, seed)| {
            let outcomes = run(script, *seed, maker, Trace::default())?;
            Ok(ColdRun::of(value, outcomes.report.service, &outcomes.cold))
        })
        .collect()
}

/// What many runs of one value gave; parts are means over the fullest window of each run.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdSummary {
    /// The value.
    pub value: String,
    /// How many runs.
    pub runs: usize,
    /// Runs with a fall, and with one that broke the rule.
    pub runs_with_falls: usize,
    /// The latter.
    pub runs_with_breaks: usize,
    /// All falls, of so many backends that were sent something while cold.
    pub falls: usize,
    /// The latter.
    pub starts: usize,
    /// The fullest window as a part of what makes a backend fall: the mean, and the most of all runs.
    pub fullest: [f64; 2],
    /// How many sent, and the part of the one that sent the most.
    pub senders: [f64; 2],
    /// Parts of what was sent: further attempts, untold, late, young.
    pub parts: [f64; 4],
    /// What was served, as a part of what was sent.
    pub served: f64,
    /// The mean service figure.
    pub service: f64,
}

/// Sums up runs by value, in the order in which values come.
pub fn sum_up(runs: &[ColdRun]) -> Vec<ColdSummary> {
    let mut values: Vec<&str> = runs.iter().map(|run| run.value.as_str()).collect();
    values.dedup();
    values.into_iter().map(|value| summary(value, runs)).collect()
}

fn summary(value: &str, runs: &[ColdRun]) -> ColdSummary {
    let these: Vec<&ColdRun> = runs.iter().filter(|run| run.value == value).collect();
    let mean = |of: &dyn Fn(&ColdRun) -> f64| {
        these.iter().map(|run| of(run)).sum::<f64>() / these.len().max(1) as f64
    };
    ColdSummary {
        value: value.to_owned(),
        runs: these.len(),
        runs_with_falls: these.iter().filter(|run| run.falls > 0).count(),
        runs_with_breaks: these.iter().filter(|run| run.breaks > 0).count(),
        falls: these.iter().map(|run| run.falls).sum(),
        starts: these.iter().map(|run| run.starts).sum(),
        fullest: [mean(&|run| run.fullest), these.iter().map(|run| run.fullest).fold(0.0, f64::max)],
        senders: [mean(&|run| run.senders as f64), mean(&|run| run.top)],
        parts: [
            mean(&|run| run.further),
            mean(&|run| run.untold),
            mean(&|run| run.late),
            mean(&|run| run.young),
        ],
        served: mean(&|run| run.served),
        service: mean(&|run| run.service),
    }
}

/// A table of summaries.
pub struct ColdTable<'a>(pub &'a [ColdSummary]);

impl fmt::Display for ColdTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:20} {:>5} {:>6} {:>6} {:>6} {:>7} {:>7} {:>6} {:>7} {:>5} {:>7} {:>6} {:>5} {:>5} {:>6} {:>7}",
            "value",
            "runs",
            "fell",
            "broke",
            "falls",
            "starts",
            "fullest",
            "most",
            "senders",
            "top",
            "further",
            "untold",
            "late",
            "young",
            "served",
            "service"
        )?;
        for s in self.0 {
            let [further, untold, late, young] = s.parts;
            write!(
                f,
                "\n{:20} {:>5} {:>6} {:>6} {:>6} {:>7} {:>7.2} {:>6.2} {:>7.1} {:>5.2} {:>7.2} {:>6.2} {:>5.2} {:>5.2} {:>6.2} {:>7.3}",
                s.value,
                s.runs,
                s.runs_with_falls,
                s.runs_with_breaks,
                s.falls,
                s.starts,
                s.fullest[0],
                s.fullest[1],
                s.senders[0],
                s.senders[1],
                further,
                untold,
                late,
                young,
                s.served,
                s.service
            )?;
        }
        Ok(())
    }
}

/// So many senders of a window are written out.
const SENDERS_SHOWN: usize = 12;

/// A window, with those that sent the most.
pub struct WindowTable<'a>(pub &'a ColdWindow);

impl fmt::Display for WindowTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let w = self.0;
        let what = match (w.fell, w.breaks) {
            (true, true) => "fell, a break",
            (true, false) => "fell, no break",
            _ => "the fullest window",
        };
        write!(
            f,
            "{what}: backend {} at {:.0} ms, {:.0} ms after its start, got {:.1} requests of mean work, {:.2} of the {:.1} at which it falls, from {}",
            w.server,
            w.at,
            w.age,
            w.sent,
            w.load(),
            w.limit,
            w.senders.len()
        )?;
        write!(
            f,
            "\n  {:>8} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6}",
            "ingress", "sent", "part", "further", "untold", "late", "young", "served"
        )?;
        for Sender { ingress, sent, further, untold, late, young, served } in
            w.senders.iter().take(SENDERS_SHOWN)
        {
            let part = sent / w.sent.max(1e-9);
            write!(
                f,
                "\n  {ingress:>8} {sent:>6.1} {part:>6.2} {further:>7.1} {untold:>6.1} {late:>6.1} {young:>6.1} {served:>6.1}"
            )?;
        }
        Ok(())
    }
}

/// All falls of a run and its fullest window.
pub struct FallTable<'a>(pub &'a ColdReport);

impl fmt::Display for FallTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write!(
            f,
            "seed {}: {} falls, {} of them breaks, of {} cold backends that were sent something",
            report.seed,
            report.falls.len(),
            report.breaks(),
            report.starts
        )?;
        report.falls.iter().try_for_each(|fall| write!(f, "\n{}", WindowTable(fall)))?;
        match report.fullest.fell {
            true => Ok(()),
            false => write!(f, "\n{}", WindowTable(&report.fullest)),
        }
    }
}
