//! The command line: `weldhub-emulator run`, `sweep`, `compare` and `trace`.

use clap::{Args, Parser, Subcommand};
use std::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use weldhub_emulator::cold_sweep::{self, ColdReportTable, ColdSummaryTable};
use weldhub_emulator::compare::{Run, by_build, pair, sum_up, sweep};
use weldhub_emulator::members::{self, Setup};
use weldhub_emulator::report::rows;
use weldhub_emulator::script::Script;
use weldhub_emulator::world::{Trace, run, shipped};
use weldhub_emulator::{plot, script};

/// Plays a whole weldhub fleet in simulated time, over the shipped decisions.
#[derive(Parser)]
#[command(version)]
struct Cli {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play a script once.
    Run {
        #[command(flatten)]
        of: Of,
        /// One line of JSON in place of a table.
        #[arg(long)]
        json: bool,
        /// The seconds of the run as CSV, into this file.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// A plot by seconds as SVG, into this file.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play a script over seeds, and over values of one figure of it.
    Sweep {
        #[command(flatten)]
        of: Of,
        /// The figure, as PATH=VALUE,VALUE: load.level=0.5,0.6 or troubles.0.do.slow.times=1.5,2.
        #[arg(long)]
        over: Option<String>,
        /// How many seeds, from the first one on.
        #[arg(long, default_value_t = 10)]
        seeds: u64,
        /// Every run as CSV, into this file.
        #[arg(long)]
        csv: Option<PathBuf>,
        /// A plot as SVG, into this file.
        #[arg(long)]
        plot: Option<PathBuf>,
    },
    /// Play two settings, or two builds, on the same seeds.
    Compare {
        #[command(flatten)]
        of: Of,
        /// The other setting, as PATH=VALUE.
        #[arg(long, required_unless_present = "build")]
        with: Option<String>,
        /// Another build of this program, which plays the script first.
        #[arg(long)]
        build: Option<PathBuf>,
        /// How many seeds, from the first one on.
        #[arg(long, default_value_t = 30)]
        seeds: u64,
    },
    /// What cold backends are sent over seeds, and over values of one figure: falls, the fullest windows, and who sent.
    Cold {
        #[command(flatten)]
        of: Of,
        /// The figure, as PATH=VALUE,VALUE: servers.fall_multiple=1.5,2,4.
        #[arg(long)]
        over: Option<String>,
        /// How many seeds, from the first one on; for one, all its falls are written out.
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Every run as CSV, into this file.
        #[arg(long)]
        csv: Option<PathBuf>,
    },
    /// Membership among ingresses, in numbers that processes don't reach: kills, pauses, loss; a line of CSV a run.
    Members(Members),
    /// What ingresses or real servers went by, every 100 ms, as CSV on standard output.
    Trace {
        #[command(flatten)]
        of: Of,
        /// Only this ingress.
        #[arg(long)]
        ingress: Option<usize>,
        /// This real server, in place of ingresses.
        #[arg(long, conflicts_with = "ingress")]
        server: Option<usize>,
        /// So often, in milliseconds.
        #[arg(long, default_value_t = 100.0)]
        every: f64,
    },
}

#[derive(Args)]
struct Members {
    /// How many instances, one value a run.
    #[arg(long, value_delimiter = ',', default_value = "300")]
    instances: Vec<usize>,
    /// The part of datagrams that is lost, one value a run.
    #[arg(long, value_delimiter = ',', default_value = "0.05")]
    loss: Vec<f64>,
    /// Their mean time on the way, in milliseconds.
    #[arg(long, default_value_t = 5.0)]
    delay: f64,
    /// Each stands still once in so many seconds; never: 0.
    #[arg(long, default_value_t = 0.0)]
    pause_every: f64,
    /// For so long, in milliseconds.
    #[arg(long, default_value_t = 600.0)]
    pause: f64,
    /// So many are killed each so many seconds; never: 0.
    #[arg(long, default_value_t = 15.0)]
    kill_every: f64,
    /// How many at once.
    #[arg(long, default_value_t = 1)]
    kill: usize,
    /// How long each run lasts, in seconds.
    #[arg(long, default_value_t = 120.0)]
    seconds: f64,
    /// For chance.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

impl Members {
    fn play(self) -> Result<String, String> {
        let mut text = String::from(
            "instances,loss,joined_ms,known_ms_median,known_ms_99,known_ms_worst,unknown,wrong,wrong_an_hour,bytes_a_second,bytes_most,datagrams_a_second,bytes_most_joining",
        );
        for instances in &self.instances {
            for loss in &self.loss {
                let setup = Setup {
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
                let o = members::run(&setup)?;
                let ([median, late, worst], [bytes, most]) = (o.known, o.bytes);
                let _ = write!(
                    text,
                    "\n{instances},{loss},{:.0},{median:.0},{late:.0},{worst:.0},{},{},{:.1},{bytes:.0},{most:.0},{:.1},{:.0}",
                    o.joined, o.unknown, o.wrong, o.wrong_an_hour, o.datagrams, o.joining
                );
            }
        }
        Ok(text)
    }
}

#[derive(Args)]
struct Of {
    /// The script.
    script: PathBuf,
    /// For chance: the same gives the same bytes.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Figures of the script to replace, as PATH=VALUE.
    #[arg(long)]
    set: Vec<String>,
}

fn told(path: &Path) -> impl FnOnce(std::io::Error) -> String {
    move |e| format!("{}: {e}", path.display())
}

fn replaced(script: Script, set: &str) -> Result<Script, String> {
    let (path, value) = set.split_once('=').ok_or(format!("{set} is no PATH=VALUE"))?;
    script.with_value(path, value).map_err(|e| e.to_string())
}

impl Of {
    fn read(&self) -> Result<Script, String> {
        let text = std::fs::read_to_string(&self.script).map_err(told(&self.script))?;
        let read = script::Script::read(&text).map_err(|e| e.to_string())?;
        self.set.iter().try_fold(read, |script, set| replaced(script, set))
    }

    fn seeds(&self, many: u64) -> Vec<u64> {
        (self.seed..self.seed.saturating_add(many)).collect()
    }
}

fn write(path: &Option<PathBuf>, text: impl FnOnce() -> Result<String, String>) -> Result<(), String> {
    match path {
        Some(path) => std::fs::write(path, text()?).map_err(told(path)),
        None => Ok(()),
    }
}

fn table(runs: &[Run]) -> String {
    let head = format!(
        "{:24} {:>5} {:>7} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "value", "runs", "mean", "error", "least", "most", "worst10", "broken"
    );
    let line = |s: weldhub_emulator::compare::Summary| {
        format!(
            "{:24} {:>5} {:>7.3} {:>7.3} {:>7.3} {:>7.3} {:>8.3} {:>7}",
            s.value, s.runs, s.mean, s.error, s.least, s.most, s.worst, s.broken
        )
    };
    std::iter::once(head).chain(sum_up(runs).into_iter().map(line)).collect::<Vec<_>>().join("\n")
}

/// The name of the figure that a sweep goes over, and a script for each of its values.
fn over_values(base: Script, over: Option<&str>) -> Result<(String, Vec<(String, Script)>), String> {
    let Some(over) = over else {
        return Ok(("seed".to_owned(), vec![("as it is".to_owned(), base)]));
    };
    let (path, values) = over.split_once('=').ok_or(format!("{over} is no PATH=VALUE,VALUE"))?;
    let with = |value: &str| {
        let script = base.with_value(path, value).map_err(|e| e.to_string())?;
        Ok((value.to_owned(), script))
    };
    let scripts = values.split(',').map(with).collect::<Result<_, String>>()?;
    Ok((path.to_owned(), scripts))
}

fn carried_out(command: Command) -> Result<String, String> {
    match command {
        Command::Run { of, json, csv, plot } => {
            let report = run(&of.read()?, of.seed, &shipped, Trace::default())?.report;
            write(&csv, || report.csv())?;
            let title = format!("{}, seed {}", of.script.display(), of.seed);
            write(&plot, || plot::run(&report, &title))?;
            if json { report.json() } else { Ok(report.to_string().trim_end().to_owned()) }
        }
        Command::Sweep { of, over, seeds, csv, plot } => {
            let (name, scripts) = over_values(of.read()?, over.as_deref())?;
            let runs = sweep(&scripts, &of.seeds(seeds), true)?;
            write(&csv, || rows(&runs))?;
            write(&plot, || plot::sweep(&sum_up(&runs), &of.script.display().to_string(), &name))?;
            Ok(table(&runs))
        }
        Command::Compare { of, with, build, seeds } => {
            let (script, seeds) = (of.read()?, of.seeds(seeds));
            let (one, two) = match (with, build) {
                (_, Some(build)) => {
                    if !of.set.is_empty() {
                        return Err("--build plays the script as it is: --set does not go with it".into());
                    }
                    let one = by_build(&build, &of.script, &seeds, "the other build")?;
                    (one, sweep(&[("this build".to_owned(), script)], &seeds, true)?)
                }
                (Some(with), None) => {
                    let other = replaced(script.clone(), &with)?;
                    let one = sweep(&[("as it is".to_owned(), script)], &seeds, true)?;
                    (one, sweep(&[(with, other)], &seeds, true)?)
                }
                (None, None) => return Err("there is nothing to compare with".into()),
            };
            let paired = pair(&one, &two);
            let all: Vec<Run> = one.into_iter().chain(two).collect();
            Ok(format!(
                "{}\nthe second gains {:+.4} (error {:.4}) over {} seeds: better on {}, worse on {}",
                table(&all),
                paired.gain,
                paired.error,
                paired.seeds,
                paired.better,
                paired.worse
            ))
        }
        Command::Cold { of, over: None, seeds: 1, csv: None } => {
            let outcomes = run(&of.read()?, of.seed, &shipped, Trace::default())?;
            Ok(ColdReportTable(&outcomes.cold).to_string())
        }
        Command::Cold { of, over, seeds, csv } => {
            let (_, scripts) = over_values(of.read()?, over.as_deref())?;
            let runs = cold_sweep::sweep(&scripts, &of.seeds(seeds), &shipped)?;
            write(&csv, || rows(&runs))?;
            Ok(ColdSummaryTable(&cold_sweep::summarize(&runs)).to_string())
        }
        Command::Members(of) => of.play(),
        Command::Trace { of, ingress, server, every } => {
            if !(every.is_finite() && every >= 1.0) {
                return Err("--every must be 1 or more".into());
            }
            let outcomes = run(&of.read()?, of.seed, &shipped, Trace { every })?;
            let text = match server {
                Some(server) => {
                    rows(&outcomes.servers.into_iter().filter(|s| s.server == server).collect::<Vec<_>>())
                }
                None => {
                    let one = |s: &weldhub_emulator::world::Sample| ingress.is_none_or(|i| s.ingress == i);
                    rows(&outcomes.ingresses.into_iter().filter(one).map(Row::from).collect::<Vec<_>>())
                }
            };
            text.map(|text| text.trim_end().to_owned())
        }
    }
}

/// A sample, flat.
#[derive(serde::Serialize)]
struct Row {
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

impl From<weldhub_emulator::world::Sample> for Row {
    fn from(s: weldhub_emulator::world::Sample) -> Self {
        let v = s.view;
        Self {
            at: s.at,
            ingress: s.ingress,
            up: s.up,
            tries: s.tries,
            no_room: s.no_room,
            no_way: s.no_way,
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
    match carried_out(Cli::parse().command) {
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
