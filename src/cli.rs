//! The command line: reads the configuration, starts the log and runs until SIGTERM.

use crate::config::{AuthzConfig, Config};
use crate::node;
use slog::{Drain, Level, Logger, crit, o};
use std::process::ExitCode;
use std::sync::Mutex;
use tokio::net::TcpListener;
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

/// `weldhub` serves the platform; `weldhub --ext-authz FILE` is set up by an operator's file.
fn run(log: &Logger) -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            let config = Config::from_env()?;
            node::block_on(async {
                let listener = TcpListener::bind(config.instance.listen).await?;
                node::serve(config, listener, log.clone(), told_to_stop()).await
            })?;
        }
        ["--ext-authz", path] => {
            let config = AuthzConfig::from_file(path)?;
            node::block_on(async {
                let listener = TcpListener::bind(config.instance.listen).await?;
                node::serve_authz(config, listener, log.clone(), told_to_stop()).await
            })?;
        }
        _ => return Err("usage: weldhub [--ext-authz FILE]".into()),
    }
    Ok(())
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
