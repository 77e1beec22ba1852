//! The command line: `weldhub-trials play SCRIPT...` and `weldhub-trials fleet`.

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
use weldhub_trials::timeline;

/// Starts several processes of weldhub on loopback, breaks things between them, and checks what follows.
#[derive(Parser)]
#[command(version)]
struct Cli {
    /// The program.
    #[arg(long, global = true, default_value = "target/release/weldhub")]
    program: PathBuf,
    #[command(subcommand)]
    command: What,
}

#[derive(Subcommand)]
enum What {
    /// Play scripts one after the other.
    Play {
        /// The scripts.
        #[arg(required = true)]
        scripts: Vec<PathBuf>,
        /// Where all that was seen is written, as JSON, a line a script.
        #[arg(long)]
        json: Option<PathBuf>,
        /// Where a time line of each is drawn, as SVG, and its changes written, as CSV.
        #[arg(long)]
        folder: Option<PathBuf>,
    },
    /// Measure what an ingress costs at several sizes, up to those of docs/CAPACITY.md.
    Scale {
        /// What is measured.
        #[arg(long, value_delimiter = ',', default_value = "list,fleet,peers,counter,real")]
        parts: Vec<Part>,
        /// Each ingress sends to so many backends; all where this is not given.
        #[arg(long)]
        subset: Option<usize>,
        /// Where slopes are written, as JSON, CSV and SVG.
        #[arg(long, default_value = "target/scale")]
        folder: PathBuf,
    },
    /// Become the program, and end with the process that has started this one.
    #[command(hide = true)]
    Guard,
    /// Run a small fleet until it is ended.
    Fleet {
        /// How many ingresses.
        #[arg(long, default_value_t = 3)]
        ingresses: usize,
        /// How many stand-in real servers.
        #[arg(long, default_value_t = 5)]
        servers: usize,
    },
}

async fn play(
    program: PathBuf,
    scripts: Vec<PathBuf>,
    json: Option<PathBuf>,
    folder: Option<PathBuf>,
) -> Result<bool, String> {
    let (mut whole, mut lines) = (true, String::new());
    let count = scripts.len();
    for (i, path) in scripts.into_iter().enumerate() {
        let name = path.display().to_string();
        let text = std::fs::read_to_string(&path).map_err(|e| format!("{name}: {e}"))?;
        let script = Script::read(&text).map_err(|e| format!("{name}: {e}"))?;
        println!("{} of {count}, {name}: {} ingresses, {} ms", i + 1, script.ingresses, script.length);
        let mut rig = Rig::start(&program, &script).await?;
        let outcome = rig.play(&script, |step| println!("  {step}")).await?;
        let (broken, figures) = check(&script, &outcome);
        let [served, refused, failed] = outcome.ends;
        let [came, passed] = outcome.datagrams;
        println!(
            "  {} changes seen; {} asked: {served} served, {refused} refused, {failed} failed; {came} datagrams, {passed} passed on",
            outcome.seen.len(),
            outcome.asked.len()
        );
        let most = figures.ceiling;
        println!(
            "  latest after a drain's word {} ms, after an operator's {} ms; most of a ceiling {most:.2}",
            figures.drain, figures.ban
        );
        let mut after: Vec<u64> = outcome.back.iter().flatten().filter_map(|(_, after)| *after).collect();
        after.sort_unstable();
        println!(
            "  whole after {} ms (median), {} ms (last); nine of ten served again {} ms after a start",
            after.get(after.len() / 2).unwrap_or(&0),
            after.last().unwrap_or(&0),
            figures.back
        );
        let used: f64 = outcome.processor.iter().sum();
        println!(
            "  {used:.0} ms of processor time, {:.3} ms a request",
            used / outcome.asked.len().max(1) as f64
        );
        broken.iter().for_each(|what| println!("  BROKEN {what}"));
        println!("  {}", if broken.is_empty() { "holds" } else { "does not hold" });
        whole &= broken.is_empty();
        if let Some(folder) = &folder {
            timeline::write(folder, &path, &script, &outcome)?;
        }
        lines +=
            &serde_json::json!({"script": name, "broken": broken, "figures": figures, "outcome": outcome})
                .to_string();
        lines.push('\n');
    }
    if let Some(path) = json {
        std::fs::write(&path, lines).map_err(|e| format!("{}: {e}", path.display()))?;
    }
    Ok(whole)
}

async fn fleet(program: PathBuf, ingresses: usize, servers: usize) -> Result<bool, String> {
    let script = Script::read(&format!("ingresses = {ingresses}\nservers = {servers}\nlength = 1"))?;
    let rig = Rig::start(&program, &script).await?;
    rig.joined().await?;
    println!("{ingresses} ingresses before {servers} stand-in real servers; Ctrl-C ends them. Try:\n");
    let fields = ["Request-Id: a1", "X-Tier: club", "Request-Timeout-Ms: 1000"];
    let fields: Vec<String> = fields.iter().map(|field| format!("-H '{field}'")).collect();
    println!(
        "  curl -i {} -H 'X-Call-Terms: units=1,spread=1,first=0' 'http://{}/board-state/17?client=0000000000000007'\n",
        fields.join(" "),
        rig.clients[0]
    );
    for (n, door) in rig.doors.borrow().iter().enumerate() {
        println!(
            "  the door of n{n}: {door}, as in: printf 'members\\n' | nc -N {} {}",
            door.ip(),
            door.port()
        );
    }
    std::future::pending().await
}

/// Becomes the program, which is killed when the rig ends, whatever ends it.
fn guard() -> ExitCode {
    let kill = rustix::process::Signal::KILL;
    let set = rustix::process::set_parent_process_death_signal(Some(kill)).map_err(std::io::Error::from);
    let why = match (set, std::env::args_os().nth(2)) {
        (Ok(()), Some(program)) => std::process::Command::new(program).exec(),
        (Err(e), _) => e,
        (_, None) => std::io::Error::other("no program"),
    };
    eprintln!("weldhub-trials: {why}");
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
    // Whatever ends it, what it started is dropped, and so ended, before it goes.
    let done = LocalSet::new().block_on(&runtime, async {
        let (Ok(mut term), Ok(mut int)) = (signal(SignalKind::terminate()), signal(SignalKind::interrupt()))
        else {
            return Err("no signals".to_owned());
        };
        let work = async {
            match cli.command {
                What::Play { scripts, json, folder } => play(cli.program, scripts, json, folder).await,
                What::Scale { parts, subset, folder } => {
                    scale::measure_parts(&cli.program, &parts, subset, &folder).map(|()| true)
                }
                What::Guard => Ok(true),
                What::Fleet { ingresses, servers } => fleet(cli.program, ingresses, servers).await,
            }
        };
        tokio::select! {
            done = work => done,
            _ = term.recv() => Ok(true),
            _ = int.recv() => Ok(true),
        }
    });
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(why) => {
            eprintln!("weldhub-trials: {why}");
            ExitCode::FAILURE
        }
    }
}
