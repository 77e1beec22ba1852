//! Cold backends over many runs: how often one fell over, how close the fullest window came to its limit, and
//! who had sent it.

use crate::cold::{ColdReport, ColdWindow, Sender};
use crate::script::Script;
use crate::world::{DecisionModuleFactory, Trace, run};
use rayon::prelude::*;
use serde::Serialize;
use std::fmt;

/// The results of one run for cold backends. Fractions of what was sent refer to the run's fullest window.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct ColdRun {
    /// The swept value that the run used.
    pub value: String,
    /// Seed of the run.
    pub seed: u64,
    /// Service score of the run.
    pub service: f64,
    /// Starts after which a backend received an attempt while cold.
    pub starts: usize,
    /// Number of falls.
    pub falls: usize,
    /// Number of falls that violated the rule.
    pub breaks: usize,
    /// What the fullest window received, as a fraction of its limit.
    pub fullest: f64,
    /// Uptime of its backend, in milliseconds.
    pub age: f64,
    /// Its limit, in requests of mean work.
    pub limit: f64,
    /// Number of ingresses that sent.
    pub senders: usize,
    /// Fraction sent by the ingress that sent the most.
    pub top: f64,
    /// Fraction sent in attempts after the first of a try.
    pub further: f64,
    /// Fraction sent by ingresses before they were notified of the start.
    pub untold: f64,
    /// Fraction that waited for a new connection.
    pub late: f64,
    /// Fraction sent by ingress processes with an uptime below 20 s.
    pub young: f64,
    /// What the backend served within the window, as a fraction of what was sent.
    pub served: f64,
}

impl ColdRun {
    fn from_report(value: &str, service: f64, report: &ColdReport) -> Self {
        let window = &report.fullest;
        Self {
            value: value.to_owned(),
            seed: report.seed,
            service,
            starts: report.starts,
            falls: report.falls.len(),
            breaks: report.violations(),
            fullest: window.limit_fraction(),
            age: window.age,
            limit: window.limit,
            senders: window.senders.len(),
            top: window.senders.first().map_or(0.0, |top| top.sent / window.sent.max(1e-9)),
            further: window.fraction(|sender| sender.further),
            untold: window.fraction(|sender| sender.untold),
            late: window.fraction(|sender| sender.late),
            young: window.fraction(|sender| sender.young),
            served: window.fraction(|sender| sender.served),
        }
    }
}

/// Runs each script with each seed in parallel and returns the results for cold backends, ordered by script
/// and seed.
///
/// # Errors
/// Returns the first error of a run.
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
            Ok(ColdRun::from_report(value, outcomes.report.service, &outcomes.cold))
        })
        .collect()
}

/// Summary of the runs of one value. Fractions of what was sent are means over the fullest window of each
/// run.
#[derive(Debug, Clone, PartialEq)]
pub struct ColdSummary {
    /// The swept value.
    pub value: String,
    /// Number of runs.
    pub runs: usize,
    /// Number of runs with a fall.
    pub runs_with_falls: usize,
    /// Number of runs with a fall that violated the rule.
    pub runs_with_violations: usize,
    /// Number of falls in all runs.
    pub falls: usize,
    /// Starts after which a backend received an attempt while cold, in all runs.
    pub starts: usize,
    /// Mean of the runs' fullest windows, as fractions of their limits.
    pub mean_fullest: f64,
    /// The fullest window of all runs, as a fraction of its limit.
    pub max_fullest: f64,
    /// Mean number of ingresses that sent to a window.
    pub mean_senders: f64,
    /// Mean fraction sent by the ingress that sent the most.
    pub top_sender_fraction: f64,
    /// Mean fraction sent in attempts after the first of a try.
    pub retry_fraction: f64,
    /// Mean fraction sent by ingresses before they were notified of the start.
    pub unnotified_fraction: f64,
    /// Mean fraction that waited for a new connection.
    pub late_connection_fraction: f64,
    /// Mean fraction sent by ingress processes with an uptime below 20 s.
    pub young_ingress_fraction: f64,
    /// Mean of what was served, as a fraction of what was sent.
    pub served_fraction: f64,
    /// Mean service score.
    pub service: f64,
}

/// Summarizes runs by value, in the order in which the values first occur; runs of one value must be
/// adjacent.
pub fn summarize(runs: &[ColdRun]) -> Vec<ColdSummary> {
    let mut values: Vec<&str> = runs.iter().map(|run| run.value.as_str()).collect();
    values.dedup();
    values.into_iter().map(|value| summarize_value(value, runs)).collect()
}

fn summarize_value(value: &str, runs: &[ColdRun]) -> ColdSummary {
    let selected: Vec<&ColdRun> = runs.iter().filter(|run| run.value == value).collect();
    let mean = |figure: &dyn Fn(&ColdRun) -> f64| {
        selected.iter().map(|run| figure(run)).sum::<f64>() / selected.len().max(1) as f64
    };
    ColdSummary {
        value: value.to_owned(),
        runs: selected.len(),
        runs_with_falls: selected.iter().filter(|run| run.falls > 0).count(),
        runs_with_violations: selected.iter().filter(|run| run.breaks > 0).count(),
        falls: selected.iter().map(|run| run.falls).sum(),
        starts: selected.iter().map(|run| run.starts).sum(),
        mean_fullest: mean(&|run| run.fullest),
        max_fullest: selected.iter().map(|run| run.fullest).fold(0.0, f64::max),
        mean_senders: mean(&|run| run.senders as f64),
        top_sender_fraction: mean(&|run| run.top),
        retry_fraction: mean(&|run| run.further),
        unnotified_fraction: mean(&|run| run.untold),
        late_connection_fraction: mean(&|run| run.late),
        young_ingress_fraction: mean(&|run| run.young),
        served_fraction: mean(&|run| run.served),
        service: mean(&|run| run.service),
    }
}

/// Formats summaries as a table.
pub struct ColdSummaryTable<'a>(pub &'a [ColdSummary]);

impl fmt::Display for ColdSummaryTable<'_> {
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
            write!(
                f,
                "\n{:20} {:>5} {:>6} {:>6} {:>6} {:>7} {:>7.2} {:>6.2} {:>7.1} {:>5.2} {:>7.2} {:>6.2} {:>5.2} {:>5.2} {:>6.2} {:>7.3}",
                s.value,
                s.runs,
                s.runs_with_falls,
                s.runs_with_violations,
                s.falls,
                s.starts,
                s.mean_fullest,
                s.max_fullest,
                s.mean_senders,
                s.top_sender_fraction,
                s.retry_fraction,
                s.unnotified_fraction,
                s.late_connection_fraction,
                s.young_ingress_fraction,
                s.served_fraction,
                s.service
            )?;
        }
        Ok(())
    }
}

/// The most senders of a window that are listed.
const MAX_SENDERS_SHOWN: usize = 12;

/// Formats a window and the ingresses that sent the most.
pub struct ColdWindowTable<'a>(pub &'a ColdWindow);

impl fmt::Display for ColdWindowTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let w = self.0;
        let event = match (w.fell, w.breaks) {
            (true, true) => "fell, violation",
            (true, false) => "fell, no violation",
            _ => "the fullest window",
        };
        write!(
            f,
            "{event}: backend {} at {:.0} ms, {:.0} ms after its start, received {:.1} requests of mean work, {:.2} of its limit of {:.1}, from {} ingresses",
            w.server,
            w.at,
            w.age,
            w.sent,
            w.limit_fraction(),
            w.limit,
            w.senders.len()
        )?;
        write!(
            f,
            "\n  {:>8} {:>6} {:>6} {:>7} {:>6} {:>6} {:>6} {:>6}",
            "ingress", "sent", "part", "further", "untold", "late", "young", "served"
        )?;
        for Sender { ingress, sent, further, untold, late, young, served } in
            w.senders.iter().take(MAX_SENDERS_SHOWN)
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

/// Formats all falls of a run and its fullest window.
pub struct ColdReportTable<'a>(pub &'a ColdReport);

impl fmt::Display for ColdReportTable<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let report = self.0;
        write!(
            f,
            "seed {}: {} falls, {} of them violations, after {} starts of backends that received attempts while cold",
            report.seed,
            report.falls.len(),
            report.violations(),
            report.starts
        )?;
        report.falls.iter().try_for_each(|fall| write!(f, "\n{}", ColdWindowTable(fall)))?;
        match report.fullest.fell {
            true => Ok(()),
            false => write!(f, "\n{}", ColdWindowTable(&report.fullest)),
        }
    }
}
