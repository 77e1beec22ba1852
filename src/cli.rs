//! The command line: reads the configuration, starts the log and serves until SIGTERM or SIGINT. SIGHUP
//! reloads the configuration.

use crate::config::{AuthzConfig, Config, ConfigError, ReloadableConfig};
use crate::logging::Log;
use crate::node::{self, Sockets};
use rustix::process::Signal as SignalNumber;
use slog::{Logger, crit, info, warn};
use std::io;
use std::process::ExitCode;
use tokio::net::TcpListener;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::watch;
use tokio::task::spawn_local;

/// Waits for SIGTERM or SIGINT.
pub async fn shutdown_signal() {
    match (signal(SignalKind::terminate()), signal(SignalKind::interrupt())) {
        (Ok(mut term), Ok(mut int)) => tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        },
        _ => std::future::pending().await,
    }
}

/// Has a write beyond the limit on the size of a file fail (SIGXFSZ), in place of ending the process.
fn survive_file_size_limit() -> io::Result<()> {
    signal(SignalKind::from_raw(SignalNumber::XFSZ.as_raw())).map(drop)
}

/// Reloads the configuration at each SIGHUP. A configuration that cannot be used changes nothing.
fn reload_on_hangup(
    mut hangups: Signal,
    initial: ReloadableConfig,
    reread: impl Fn() -> Result<ReloadableConfig, ConfigError> + 'static,
    log: Logger,
) -> watch::Receiver<ReloadableConfig> {
    let (ways, receiver) = watch::channel(initial);
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
    receiver
}

/// Runs the front that the arguments select: `weldhub` serves the platform's HTTP, configured by the
/// environment; `weldhub --ext-authz FILE` serves Envoy's external authorisation, configured by the file.
fn run(log: &Logger) -> Result<(), Box<dyn std::error::Error>> {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        [] => {
            node::block_on(async {
                // Caught before the configuration is read, so that a SIGHUP during the start neither is lost
                // nor ends the program.
                let hangups = signal(SignalKind::hangup())?;
                survive_file_size_limit()?;
                let mut config = Config::from_env().map_err(io::Error::other)?;
                let ways =
                    reload_on_hangup(hangups, config.reloadable(), Config::reloadable_from_env, log.clone());
                let sockets = Sockets::acquire(&config.instance, log).await?;
                config.instance.listen = sockets.listener.local_addr()?;
                node::serve(config, sockets, log.clone(), ways, shutdown_signal()).await
            })?;
        }
        ["--ext-authz", path] => {
            node::block_on(async {
                let hangups = signal(SignalKind::hangup())?;
                survive_file_size_limit()?;
                let mut config = AuthzConfig::from_file(path).map_err(io::Error::other)?;
                let path = path.to_owned();
                let reread = move || AuthzConfig::from_file(&path).map(|config| config.reloadable());
                let ways = reload_on_hangup(hangups, config.reloadable(), reread, log.clone());
                let listener = TcpListener::bind(config.instance.listen).await?;
                config.instance.listen = listener.local_addr()?;
                node::serve_authz(config, listener, log.clone(), ways, shutdown_signal()).await
            })?;
        }
        _ => return Err("usage: weldhub [--ext-authz FILE]".into()),
    }
    Ok(())
}

/// The main function of the `weldhub` program.
pub fn main() -> ExitCode {
    let log = Log::start();
    log.catch_panics();
    let status = match run(&log.logger) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            crit!(log.logger, "cannot run"; "error" => %e);
            ExitCode::FAILURE
        }
    };
    log.flush();
    status
}
