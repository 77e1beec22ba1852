//! Batches of runs: sweeps of a value over seeds, and comparisons of two settings or builds on the same
//! seeds.

use crate::report::Report;
use crate::script::Script;
use crate::world::play;
use indicatif::{ParallelProgressIterator, ProgressBar, ProgressStyle};
use rayon::prelude::*;
use serde::{Deserialize, Serialize};
use std::path::Path;
use std::process::Command;

/// The main results of a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct RunResult {
    /// The swept value, or the name of the setting or build.
    pub value: String,
    /// Seed of the run.
    pub seed: u64,
    /// Service score.
    pub service: f64,
    /// Share of the whole run.
    pub whole: f64,
    /// Share of the worst window of 10 s.
    pub worst: f64,
    /// Number of rule violations.
    pub broken: u64,
    /// Mean of the classes' 99th latency percentiles, in milliseconds.
    pub p99_ms: f64,
}

impl RunResult {
    fn from_report(value: &str, report: &Report) -> Self {
        let class_count = report.classes.len().max(1) as f64;
        Self {
            value: value.to_owned(),
            seed: report.seed,
            service: report.service,
            whole: report.whole,
            worst: report.worst,
            broken: report.broken.iter().map(|(_, n)| n).sum(),
            p99_ms: report.classes.iter().map(|c| c.p99_ms).sum::<f64>() / class_count,
        }
    }
}

/// Summary of the runs of one value.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Summary {
    /// The swept value.
    pub value: String,
    /// Number of runs.
    pub runs: usize,
    /// Mean service score.
    pub mean: f64,
    /// Standard error of the mean service score.
    pub error: f64,
    /// Lowest service score.
    pub least: f64,
    /// Highest service score.
    pub most: f64,
    /// Mean share of the worst window of 10 s.
    pub worst: f64,
    /// Number of runs with a rule violation.
    pub broken: usize,
}

fn mean(samples: &[f64]) -> f64 {
    samples.iter().sum::<f64>() / samples.len().max(1) as f64
}

fn standard_error(samples: &[f64]) -> f64 {
    let m = mean(samples);
    let n = samples.len() as f64;
    if n < 2.0 { 0.0 } else { (samples.iter().map(|x| (x - m).powi(2)).sum::<f64>() / (n - 1.0) / n).sqrt() }
}

/// Summarizes runs by value, in the order in which the values first occur.
pub fn summarize(runs: &[RunResult]) -> Vec<Summary> {
    let mut values: Vec<&str> = Vec::new();
    for run in runs {
        if !values.contains(&run.value.as_str()) {
            values.push(&run.value);
        }
    }
    let summary = |value: &str| {
        let selected: Vec<&RunResult> = runs.iter().filter(|run| run.value == value).collect();
        let services: Vec<f64> = selected.iter().map(|run| run.service).collect();
        let worsts: Vec<f64> = selected.iter().map(|run| run.worst).collect();
        Summary {
            value: value.to_owned(),
            runs: selected.len(),
            mean: mean(&services),
            error: standard_error(&services),
            least: services.iter().copied().fold(f64::INFINITY, f64::min),
            most: services.iter().copied().fold(f64::NEG_INFINITY, f64::max),
            worst: mean(&worsts),
            broken: selected.iter().filter(|run| run.broken > 0).count(),
        }
    };
    values.into_iter().map(summary).collect()
}

fn progress_bar(runs: usize, visible: bool) -> ProgressBar {
    if !visible {
        return ProgressBar::hidden();
    }
    let style = ProgressStyle::with_template("{bar:40} {pos}/{len} runs, {eta} left");
    ProgressBar::new(runs as u64).with_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()))
}

/// Runs each script with each seed in parallel and returns the results, ordered by script and seed. Draws a
/// progress bar on stderr if `show_progress`.
///
/// # Errors
/// Returns the first error of a run.
pub fn sweep(
    scripts: &[(String, Script)],
    seeds: &[u64],
    show_progress: bool,
) -> Result<Vec<RunResult>, String> {
    let jobs: Vec<(&String, &Script, u64)> = scripts
        .iter()
        .flat_map(|(value, script)| seeds.iter().map(move |seed| (value, script, *seed)))
        .collect();
    let bar = progress_bar(jobs.len(), show_progress);
    jobs.par_iter()
        .progress_with(bar)
        .map(|(value, script, seed)| Ok(RunResult::from_report(value, &play(script, *seed)?)))
        .collect()
}

/// Runs a script with each seed by another build of this program and returns the results under the name
/// `value`.
///
/// # Errors
/// Returns an error if the build cannot be run, fails, or prints a report without the expected figures.
pub fn sweep_with_build(
    build: &Path,
    script: &Path,
    seeds: &[u64],
    value: &str,
) -> Result<Vec<RunResult>, String> {
    let run_seed = |seed: &u64| {
        let with_path = |e: std::io::Error| format!("{}: {e}", build.display());
        let mut command = Command::new(build);
        command.arg("run").arg(script).args(["--seed", &seed.to_string(), "--json"]);
        let output = command.output().map_err(with_path)?;
        if !output.status.success() {
            return Err(format!("{}: {}", build.display(), String::from_utf8_lossy(&output.stderr).trim()));
        }
        let report: serde_json::Value =
            serde_json::from_slice(&output.stdout).map_err(|e| format!("{}: {e}", build.display()))?;
        let figure = |name: &str| report[name].as_f64().ok_or(format!("{}: no {name}", build.display()));
        let classes = report["classes"].as_array().cloned().unwrap_or_default();
        let p99: Vec<f64> = classes.iter().filter_map(|c| c["p99_ms"].as_f64()).collect();
        let broken = report["broken"].as_array().into_iter().flatten().filter_map(|b| b[1].as_u64()).sum();
        Ok(RunResult {
            value: value.to_owned(),
            seed: *seed,
            service: figure("service")?,
            whole: figure("whole")?,
            worst: figure("worst")?,
            broken,
            p99_ms: mean(&p99),
        })
    };
    seeds.par_iter().map(run_seed).collect()
}

/// Comparison of two groups of runs, seed by seed.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct PairedComparison {
    /// Number of seeds that both groups ran.
    pub seeds: usize,
    /// Mean gain of the second group's service score over the first's.
    pub gain: f64,
    /// Standard error of the mean gain.
    pub error: f64,
    /// Number of seeds on which the second group gained more than 0.005.
    pub better: usize,
    /// Number of seeds on which the second group lost more than 0.005.
    pub worse: usize,
}

/// Compares the runs of two groups that have the same seed.
pub fn compare_paired(first: &[RunResult], second: &[RunResult]) -> PairedComparison {
    let gains: Vec<f64> = first
        .iter()
        .filter_map(|a| second.iter().find(|b| b.seed == a.seed).map(|b| b.service - a.service))
        .collect();
    PairedComparison {
        seeds: gains.len(),
        gain: mean(&gains),
        error: standard_error(&gains),
        better: gains.iter().filter(|g| **g > 0.005).count(),
        worse: gains.iter().filter(|g| **g < -0.005).count(),
    }
}

#[cfg(test)]
mod tests;
