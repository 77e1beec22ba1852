//! The command line: `weldhub-trials play SCRIPT...`, `weldhub-trials scale` and `weldhub-trials fleet`.

use clap::{Parser, Subcommand};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::ExitCode;
use tokio::signal::unix::{SignalKind, signal};
use tokio::task::LocalSet;
use weldhub_trials::check::check;
use weldhub_trials::rig::Rig;
use weldhub_trials::scale::{self, Part};
use weldhub_trials::script::Script;
use weldhub_trials::soak;
use weldhub_trials::timeline;

/// Starts several processes of weldhub on loopback, injects faults, and checks the outcome.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The path of the weldhub binary.
    #[arg(long, global = true, default_value = "target/release/weldhub")]
    program: PathBuf,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Play scripts one after the other. Fails if a check does.
    Play {
        /// The paths of the scripts.
        #[arg(required = true)]
        scripts: Vec<PathBuf>,
        /// Write the outcome of each script to this file, as one line of JSON.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Write the timeline of each script to this folder, as SVG, and its state changes, as CSV.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Measure the cost of an ingress at several sizes, up to those of docs/CAPACITY.md.
    Scale {
        /// The parts to measure.
        #[arg(long, value_delimiter = ',', default_value = "list,fleet,peers,counter,real")]
        parts: Vec<Part>,
        /// The number of backends that each ingress sends to; all if not given.
        #[arg(long)]
        subset: Option<usize>,
        /// Write the slopes to this folder, as JSON, CSV and SVG.
        #[arg(long, default_value = "target/scale")]
        folder: PathBuf,
    },
    /// Play soaks drawn by seed: clients that misbehave, usual ones beside them, and signals.
    Soak {
        /// The first seed.
        #[arg(long, default_value_t = 1)]
        first: u64,
        /// The number of seeds.
        #[arg(long, default_value_t = 50)]
        seeds: u64,
    },
    /// Execute a program with its arguments, which is killed when the process that started this one ends.
    #[command(hide = true)]
    Guard,
    /// Run a small fleet until this process is told to end.
    Fleet {
        /// The number of ingresses.
        #[arg(long, default_value_t = 3)]
        ingresses: usize,
        /// The number of stand-in backends.
        #[arg(long, default_value_t = 5)]
        servers: usize,
    },
}

/// Plays the scripts, prints a summary of each and writes the requested files; returns whether all checks
/// passed.
async fn play(
    program: PathBuf,
    scripts: Vec<PathBuf>,
    json: Option<PathBuf>,
    folder: Option<PathBuf>,
) -> Result<bool, String> {
    let (mut passed, mut lines) = (true, String::new());
    let count = scripts.len();
    for (i, path) in scripts.into_iter().enumerate() {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{name}: {e}"))?;
        let script = Script::parse(&text).map_err(|e| format!("{name}: {e}"))?;
        println!("{} of {count}, {name}: {} ingresses, {} ms", i + 1, script.ingresses, script.length);
        let mut rig = Rig::start(&program, &script).await?;
        let outcome = rig.play(&script, |step| println!("  {step}")).await?;
        let (violations, measurements) = check(&script, &outcome);
        let [served, rejected, failed] = outcome.request_outcomes;
        let [received, forwarded] = outcome.datagrams;
        println!(
            "  {} state changes; {} requests: {served} served, {rejected} rejected, {failed} failed; datagrams: {received} received, {forwarded} forwarded",
            outcome.state_changes.len(),
            outcome.requests.len()
        );
        println!(
            "  latest request after a drain {} ms, after an operator's notice {} ms; highest use of a ceiling {:.2}",
            measurements.drain_delay, measurements.disable_delay, measurements.ceiling_use
        );
        let mut whole_after: Vec<u64> =
            outcome.recoveries.iter().flatten().filter_map(|(_, after)| *after).collect();
        whole_after.sort_unstable();
        println!(
            "  whole after {} ms (median), {} ms (last); 90 % of requests served again {} ms after a start",
            whole_after.get(whole_after.len() / 2).unwrap_or(&0),
            whole_after.last().unwrap_or(&0),
            measurements.recovery_time
        );
        let cpu_time: f64 = outcome.cpu_time.iter().sum();
        println!(
            "  {cpu_time:.0} ms of processor time, {:.3} ms per request",
            cpu_time / outcome.requests.len().max(1) as f64
        );
        violations.iter().for_each(|violation| println!("  BROKEN {violation}"));
        println!("  {}", if violations.is_empty() { "holds" } else { "does not hold" });
        passed &= violations.is_empty();
        if let Some(folder) = &folder {
            timeline::write(folder, &path, &script, &outcome)?;
        }
        lines +=
            &serde_json::json!({"script": name, "broken": violations, "figures": measurements, "outcome": outcome})
                .to_string();
        lines.push('\n');
    }
    if let Some(path) = json {
        std::fs::write(&path, lines).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(passed)
}

/// Plays soaks and prints a line for each; returns whether all passed.
async fn soak(program: PathBuf, first: u64, seeds: u64) -> Result<bool, String> {
    let mut broken = 0;
    for seed in first..first + seeds {
        let report = soak::play(&program, seed).await?;
        let groups: Vec<String> = report
            .soak
            .groups
            .iter()
            .map(|group| {
                format!(
                    "{} x {:?} of {} bytes at {} ms",
                    group.clients, group.behavior, group.bytes, group.at
                )
            })
            .collect();
        let faults: Vec<String> = report
            .soak
            .script
            .faults
            .iter()
            .map(|fault| format!("{:?} at {} ms", fault.kind, fault.at))
            .collect();
        println!(
            "seed {seed}: {} KiB of {} MiB, {} descriptors; {}; {}; {} calls",
            report.peak_kib,
            report.soak.limits.memory_mib,
            report.soak.limits.descriptors,
            groups.join(", "),
            faults.join(", "),
            report.soak.calls.len()
        );
        let mut violations = report.violations;
        if let Some(authz) = report.authz {
            println!("  authorisation front: {} KiB; {:?}", authz.peak_kib, authz.soak);
            violations.extend(authz.violations);
        }
        violations.iter().for_each(|violation| println!("  BROKEN {violation}"));
        broken += u64::from(!violations.is_empty());
    }
    println!("{} of {seeds} seeds passed", seeds - broken);
    Ok(broken == 0)
}

/// Runs a fleet, prints how to reach it, and never returns but for an error at the start.
async fn fleet(program: PathBuf, ingresses: usize, backends: usize) -> Result<bool, String> {
    let script = Script::parse(&format!("ingresses = {ingresses}\nservers = {backends}\nlength = 1"))?;
    let rig = Rig::start(&program, &script).await?;
    rig.wait_joined().await?;
    println!("{ingresses} ingresses and {backends} stand-in backends; Ctrl-C ends them. Try:\n");
    let fields = ["Request-Id: a1", "X-Tier: club", "Request-Timeout-Ms: 1000"];
    let fields: Vec<String> = fields.iter().map(|field| format!("-H '{field}'")).collect();
    println!(
        "  curl -i {} -H 'X-Call-Terms: units=1,spread=1,first=0' 'http://{}/board-state/17?client=0000000000000007'\n",
        fields.join(" "),
        rig.client_addresses[0]
    );
    for (n, address) in rig.admin_addresses.borrow().iter().enumerate() {
        println!(
            "  admin interface of n{n}: {address}, for example: printf 'members\\n' | nc -N {} {}",
            address.ip(),
            address.port()
        );
    }
    std::future::pending().await
}

/// Executes the program in place of this process, after asking the kernel to kill it when its parent, the
/// rig, ends in any way.
fn guard() -> ExitCode {
    let kill = rustix::process::Signal::KILL;
    let result = rustix::process::set_parent_process_death_signal(Some(kill)).map_err(std::io::Error::from);
    let error = match (result, std::env::args_os().nth(2)) {
        (Ok(()), Some(program)) => {
            std::process::Command::new(program).args(std::env::args_os().skip(3)).exec()
        }
        (Err(e), _) => e,
        (_, None) => std::io::Error::other("guard: no program is given"),
    };
    eprintln!("weldhub-trials: {error}");
    ExitCode::FAILURE
}

fn main() -> ExitCode {
    if std::env::args_os().nth(1).is_some_and(|arg| arg == "guard") {
        return guard();
    }
    let cli = Cli::parse();
    let Ok(runtime) = tokio::runtime::Builder::new_current_thread().enable_all().build() else {
        return ExitCode::FAILURE;
    };
    // On an error or a signal the rig is dropped, and so its processes are ended, before this process exits.
    let result = LocalSet::new().block_on(&runtime, async {
        let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
        else {
            return Err("cannot install signal handlers".to_owned());
        };
        let work = async {
            match cli.command {
                Command::Play { scripts, json, folder } => play(cli.program, scripts, json, folder).await,
                Command::Scale { parts, subset, folder } => {
                    scale::measure_parts(&cli.program, &parts, subset, &folder).map(|()| true)
                }
                Command::Soak { first, seeds } => soak(cli.program, first, seeds).await,
                Command::Guard => Ok(true),
                Command::Fleet { ingresses, servers } => fleet(cli.program, ingresses, servers).await,
            }
        };
        tokio::select! {
            result = work => result,
            _ = term.recv() => Ok(true),
            _ = int.recv() => Ok(true),
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(message) => {
            eprintln!("weldhub-trials: {message}");
            ExitCode::FAILURE
        }
    }
}
