//! The command line: reads the configuration, starts the log and runs until SIGTERM; SIGHUP has the configuration
//! read again.

use crate::config::{AuthzConfig, Config, ConfigError, ReloadableConfig};
use crate::node::{self, Sockets};
use slog::{Drain, Level, Logger, crit, info, o, warn};
use std::io;
use std::process::ExitCode;
use std::sync::Mutex;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

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

/// Has the configuration read again at each SIGHUP to the end of the program. One that cannot be used changes nothing.
fn on_hangup(
    mut hangups: Signal,
    first: ReloadableConfig,
    reread: impl Fn() -> Result<ReloadableConfig, ConfigError> + 'static,
    log: Logger,
) -> watch::Receiver<ReloadableConfig> {
    let (ways, moved) = watch::channel(first);
    spawn_local(async move {
        while hangups.recv().await.is_some() {
            match reread() {
                Ok(new) => {
                    let text = |at: std::net::SocketAddr| at.to_string();
                    let consul = new.consul.as_ref().and_then(|consul| consul.agents.first().copied());
                    let (discovery, counter) = (new.discovery.or(consul).map(text), new.counter.map(text));
                    info!(log, "configuration read again"; "discovery" => discovery, "counter" => counter);
                    ways.send_replace(new);
                }
                Err(e) => warn!(log, "the new configuration cannot be used"; "error" => %e),
            }
        }
    });
    moved
}

/// `weldhub` serves the platform; `weldhub --ext-authz FILE` is set up by an operator's file.
fn run(log: &Logger) -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            node::block_on(async {
                // Caught before the configuration is read: a newer one is not missed, nor does it end the program.
                let hangups = signal(SignalKind::hangup())?;
                let mut config = Config::from_env().map_err(io::Error::other)?;
                let ways = on_hangup(hangups, config.reloadable(), Config::reloadable_from_env, log.clone());
                let sockets = Sockets::get(&config.instance, log).await?;
                config.instance.listen = sockets.listener.local_addr()?;
                node::serve(config, sockets, log.clone(), ways, told_to_stop()).await
            })?;
        }
        ["--ext-authz", path] => {
            node::block_on(async {
                let hangups = signal(SignalKind::hangup())?;
                let mut config = AuthzConfig::from_file(path).map_err(io::Error::other)?;
                let path = path.to_owned();
                let reread = move || AuthzConfig::from_file(&path).map(|config| config.reloadable());
                let ways = on_hangup(hangups, config.reloadable(), reread, log.clone());
                let listener = TcpListener::bind(config.instance.listen).await?;
                config.instance.listen = listener.local_addr()?;
                node::serve_authz(config, listener, log.clone(), ways, told_to_stop()).await
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
