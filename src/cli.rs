//! The command line: reads the configuration, starts the log and runs until SIGTERM.

use crate::config::Config;
use crate::node::{self, Error};
use slog::{Drain, Level, Logger, crit, o};
use std::process::ExitCode;
use std::sync::Mutex;
use tokio::signal::unix::{SignalKind, signal};

/// A log on standard error; `WELDHUB_LOG=debug` tells more.
pub fn logger() -> Logger {
    let level = match std::env::var("WELDHUB_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        _ => Level::Info,
    };
    let decorator = slog_term::PlainDecorator::new(std::io::stderr());
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
    Logger::root(Mutex::new(drain.filter_level(level)).fuse(), o!())
}

/// Waits for SIGTERM or SIGINT.
pub async fn told_to_stop() {
    match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(mut term), Ok(mut int)) => tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        },
        _ => std::future::pending().await,
    }
}

fn run(log: &Logger) -> Result<(), Error> {
    let config = Config::from_env()?;
    node::run(config, log.clone(), told_to_stop())
}

/// The program's main function.
pub fn main() -> ExitCode {
    let log = logger();
    match run(&log) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log, "cannot run"; "error" => %e);
            ExitCode::FAILURE
        }
    }
}
