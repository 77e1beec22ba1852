//! The command line: `weldhub-emulator run`, `sweep`, `compare`, `cold`, `members` and `trace`.

use clap::{Args, Parser, Subcommand};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use weldhub_emulator::cold_sweep::{self, ColdReportTable, ColdSummaryTable};
use weldhub_emulator::compare::{RunResult, Summary, compare_paired, summarize, sweep, sweep_with_build};
use weldhub_emulator::members::{self, MembershipSetup};
use weldhub_emulator::plot;
use weldhub_emulator::report::to_csv;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::{IngressSample, Trace, run, shipped_limiter};

/// Runs a whole weldhub fleet in simulated time with the shipped decision module.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a script once.
    Run {
        #[command(flatten)]
        args: ScriptArgs,
        /// Print one line of JSON instead of a table.
        #[arg(long)]
        json: bool,
        /// Write the results by second as CSV to this file.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// Write a plot by second as SVG to this file.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Run a script with several seeds, and with several values of one of its keys.
    Sweep {
        #[command(flatten)]
        args: ScriptArgs,
        /// The key and its values, as PATH=VALUE,VALUE: load.level=0.5,0.6 or troubles.0.do.slow.times=1.5,2.
        #[arg(long)]
        over: Option<String>,
        /// The number of seeds, starting with --seed.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Write the results of each run as CSV to this file.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// Write a plot as SVG to this file.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Compare two settings, or two builds, on the same seeds.
    Compare {
        #[command(flatten)]
        args: ScriptArgs,
        /// The other setting, as PATH=VALUE.
        #[arg(long, required_unless_present = "build")]
        with: Option<String>,
        /// Another build of this program to compare this one with.
        #[arg(long)]
        build: Option<PathBuf>,
        /// The number of seeds, starting with --seed.
        #[arg(long, default_value_t = 30)]
        seeds: u64,
    },
    /// Report what cold backends receive, over seeds and over values of one key: falls, fullest windows, and
    /// senders.
    Cold {
        #[command(flatten)]
        args: ScriptArgs,
        /// The key and its values, as PATH=VALUE,VALUE: servers.fall_multiple=1.5,2,4.
        #[arg(long)]
        over: Option<String>,
        /// The number of seeds, starting with --seed; with one seed and no --over or --csv, all its falls are
        /// listed.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Write the results of each run as CSV to this file.
        #[arg(long)]
        csv: Option<PathBuf>,
    },
    /// Simulate the membership of a large fleet with kills, pauses and datagram loss; prints a line of CSV
    /// per run.
    Members(MembersArgs),
    /// Print the state of ingresses or backends at regular intervals as CSV.
    Trace {
        #[command(flatten)]
        args: ScriptArgs,
        /// Print this ingress only.
        #[arg(long)]
        ingress: Option<usize>,
        /// Print this backend instead of ingresses.
        #[arg(long, conflicts_with = "ingress")]
        server: Option<usize>,
        /// Sampling interval, in milliseconds.
        #[arg(long, default_value_t = 100.0)]
        every: f64,
    },
}

#[derive(Args)]
struct MembersArgs {
    /// Number of ingresses; one run per value.
    #[arg(long, value_delimiter = ',', default_value = "300")]
    instances: Vec<usize>,
    /// Fraction of datagrams that is lost; one run per value.
    #[arg(long, value_delimiter = ',', default_value = "0.05")]
    loss: Vec<f64>,
    /// Mean delay of a datagram, in milliseconds.
    #[arg(long, default_value_t = 5.0)]
    delay: f64,
    /// Mean time between two pauses of an ingress, in seconds; 0 for no pauses.
    #[arg(long, default_value_t = 0.0)]
    pause_every: f64,
    /// Length of a pause, in milliseconds.
    #[arg(long, default_value_t = 600.0)]
    pause: f64,
    /// Time between two kills, in seconds; 0 for no kills.
    #[arg(long, default_value_t = 15.0)]
    kill_every: f64,
    /// Number of ingresses killed at once.
    #[arg(long, default_value_t = 1)]
    kill: usize,
    /// Length of a run once all ingresses know each other, in seconds.
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// Seed of the random numbers.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl MembersArgs {
    fn run(self) -> Result<String, String> {
        let mut text = String::from(
            "instances,loss,joined_ms,known_ms_median,known_ms_99,known_ms_worst,unknown,wrong,wrong_an_hour,bytes_a_second,bytes_most,datagrams_a_second,bytes_most_joining",
        );
        for instances in &self.instances {
            for loss in &self.loss {
                let setup = MembershipSetup {
                    instances: *instances,
                    loss: *loss,
                    delay: self.delay,
                    pause_every: self.pause_every,
                    pause: self.pause,
                    kill_every: self.kill_every,
                    kill: self.kill,
                    seconds: self.seconds,
                    seed: self.seed,
                };
                let outcome = members::run(&setup)?;
                let ([median, p99, worst], [mean_bytes, most_bytes]) = (outcome.known, outcome.bytes);
                let _ = write!(
                    text,
                    "\n{instances},{loss},{:.0},{median:.0},{p99:.0},{worst:.0},{},{},{:.1},{mean_bytes:.0},{most_bytes:.0},{:.1},{:.0}",
                    outcome.joined,
                    outcome.unknown,
                    outcome.wrong,
                    outcome.wrong_an_hour,
                    outcome.datagrams,
                    outcome.joining
                );
            }
        }
        Ok(text)
    }
}

#[derive(Args)]
struct ScriptArgs {
    /// Path of the script.
    script: PathBuf,
    /// Seed of the random numbers; the same seed gives the same output.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Replace a value of the script, as PATH=VALUE; may be given several times.
    #[arg(long)]
    set: Vec<String>,
}

/// Returns a function that turns an I/O error into a message with the path.
fn with_path(path: &Path) -> impl FnOnce(std::io::Error) -> String {
    move |e| format!("{}: {e}", path.display())
}

fn with_setting(script: Script, set: &str) -> Result<Script, String> {
    let (path, value) = set.split_once('=').ok_or(format!("{set} is not of the form PATH=VALUE"))?;
    script.with_value(path, value).map_err(|e| e.to_string())
}

impl ScriptArgs {
    /// Reads the script and replaces the values given by `--set`.
    fn read(&self) -> Result<Script, String> {
        let text = std::fs::read_to_string(&self.script).map_err(with_path(&self.script))?;
        let script = Script::read(&text).map_err(|e| e.to_string())?;
        self.set.iter().try_fold(script, |script, set| with_setting(script, set))
    }

    /// Returns `count` seeds from `--seed` on.
    fn seeds(&self, count: u64) -> Vec<u64> {
        (self.seed..self.seed.saturating_add(count)).collect()
    }
}

/// Writes the text to a file if its path is given.
fn write_if_given(
    path: &Option<PathBuf>,
    text: impl FnOnce() -> Result<String, String>,
) -> Result<(), String> {
    match path {
        Some(path) => std::fs::write(path, text()?).map_err(with_path(path)),
        None => Ok(()),
    }
}

/// Formats a summary of the runs by value as a table.
fn summary_table(runs: &[RunResult]) -> String {
    let header = format!(
        "{:24} {:>5} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "value", "runs", "mean", "error", "least", "most", "worst10", "broken"
    );
    let line = |s: Summary| {
        format!(
            "{:24} {:>5} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>8.3} {:>7}",
            s.value, s.runs, s.mean, s.error, s.least, s.most, s.worst, s.broken
        )
    };
    std::iter::once(header).chain(summarize(runs).into_iter().map(line)).collect::<Vec<_>>().join("\n")
}

/// Returns the path of the swept key, and each of its values with its script. Without `over` returns the
/// unchanged script.
fn sweep_scripts(base: Script, over: Option<&str>) -> Result<(String, Vec<(String, Script)>), String> {
    let Some(over) = over else {
        return Ok(("seed".to_owned(), vec![("as it is".to_owned(), base)]));
    };
    let (path, values) = over.split_once('=').ok_or(format!("{over} is not of the form PATH=VALUE,VALUE"))?;
    let with = |value: &str| {
        let script = base.with_value(path, value).map_err(|e| e.to_string())?;
        Ok((value.to_owned(), script))
    };
    let scripts = values.split(',').map(with).collect::<Result<_, String>>()?;
    Ok((path.to_owned(), scripts))
}

/// Executes a command and returns the text to print.
fn execute(command: Command) -> Result<String, String> {
    match command {
        Command::Run { args, json, csv, plot } => {
            let report = run(&args.read()?, args.seed, &shipped_limiter, Trace::default())?.report;
            write_if_given(&csv, || report.seconds_to_csv())?;
            let title = format!("{}, seed {}", args.script.display(), args.seed);
            write_if_given(&plot, || plot::plot_run(&report, &title))?;
            if json { report.to_json() } else { Ok(report.to_string().trim_end().to_owned()) }
        }
        Command::Sweep { args, over, seeds, csv, plot } => {
            let (path, scripts) = sweep_scripts(args.read()?, over.as_deref())?;
            let runs = sweep(&scripts, &args.seeds(seeds), true)?;
            write_if_given(&csv, || to_csv(&runs))?;
            write_if_given(&plot, || {
                plot::plot_sweep(&summarize(&runs), &args.script.display().to_string(), &path)
            })?;
            Ok(summary_table(&runs))
        }
        Command::Compare { args, with, build, seeds } => {
            let (script, seeds) = (args.read()?, args.seeds(seeds));
            let (first, second) = match (with, build) {
                (_, Some(build)) => {
                    if !args.set.is_empty() {
                        return Err("--set cannot be combined with --build: the other build runs the script unchanged".into());
                    }
                    let first = sweep_with_build(&build, &args.script, &seeds, "the other build")?;
                    (first, sweep(&[("this build".to_owned(), script)], &seeds, true)?)
                }
                (Some(with), None) => {
                    let other = with_setting(script.clone(), &with)?;
                    let first = sweep(&[("as it is".to_owned(), script)], &seeds, true)?;
                    (first, sweep(&[(with, other)], &seeds, true)?)
                }
                (None, None) => return Err("either --with or --build is required".into()),
            };
            let paired = compare_paired(&first, &second);
            let all: Vec<RunResult> = first.into_iter().chain(second).collect();
            Ok(format!(
                "{}\nthe second gains {:+.4} (standard error {:.4}) over {} seeds: better on {}, worse on {}",
                summary_table(&all),
                paired.gain,
                paired.error,
                paired.seeds,
                paired.better,
                paired.worse
            ))
        }
        Command::Cold { args, over: None, seeds: 1, csv: None } => {
            let outcomes = run(&args.read()?, args.seed, &shipped_limiter, Trace::default())?;
            Ok(ColdReportTable(&outcomes.cold).to_string())
        }
        Command::Cold { args, over, seeds, csv } => {
            let (_, scripts) = sweep_scripts(args.read()?, over.as_deref())?;
            let runs = cold_sweep::sweep(&scripts, &args.seeds(seeds), &shipped_limiter)?;
            write_if_given(&csv, || to_csv(&runs))?;
            Ok(ColdSummaryTable(&cold_sweep::summarize(&runs)).to_string())
        }
        Command::Members(args) => args.run(),
        Command::Trace { args, ingress, server, every } => {
            if !(every.is_finite() && every >= 1.0) {
                return Err("--every must be 1 or more".into());
            }
            let outcomes = run(&args.read()?, args.seed, &shipped_limiter, Trace { interval_ms: every })?;
            let text = match server {
                Some(server) => {
                    to_csv(&outcomes.backends.into_iter().filter(|s| s.backend == server).collect::<Vec<_>>())
                }
                None => {
                    let selected = |s: &IngressSample| ingress.is_none_or(|i| s.ingress == i);
                    to_csv(
                        &outcomes
                            .ingresses
                            .into_iter()
                            .filter(selected)
                            .map(IngressRow::from)
                            .collect::<Vec<_>>(),
                    )
                }
            };
            text.map(|text| text.trim_end().to_owned())
        }
    }
}

/// A sample of an ingress with the fields of its view in the same row, as the CSV writer cannot flatten.
#[derive(serde::Serialize)]
struct IngressRow {
    at: f64,
    ingress: usize,
    up: bool,
    tries: u64,
    no_room: u64,
    no_way: u64,
    capacity: f64,
    in_flight: f64,
    pinned: f64,
    reserved: f64,
    pressure: f64,
    ready: usize,
    cold: usize,
    passed_over: usize,
    passed_over_warm: usize,
    shared: bool,
    able: f64,
    retries: f64,
    calls: f64,
    requests: usize,
}

impl From<IngressSample> for IngressRow {
    fn from(s: IngressSample) -> Self {
        let v = s.view;
        Self {
            at: s.at,
            ingress: s.ingress,
            up: s.up,
            tries: s.tries,
            no_room: s.rejected_for_capacity,
            no_way: s.rejected_otherwise,
            capacity: v.capacity,
            in_flight: v.in_flight,
            pinned: v.silent_units,
            reserved: v.reserved,
            pressure: v.pressure,
            ready: v.ready,
            cold: v.cold,
            passed_over: v.passed_over,
            passed_over_warm: v.passed_over_warm,
            shared: v.widespread_trouble,
            able: v.ready_capacity,
            retries: v.retry_budget,
            calls: v.call_share,
            requests: v.requests,
        }
    }
}

fn main() -> ExitCode {
    match execute(Cli::parse().command) {
        Ok(text) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(e) => {
            eprintln!("weldhub-emulator: {e}");
            ExitCode::FAILURE
        }
    }
}
