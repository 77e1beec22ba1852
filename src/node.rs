//! Puts an ingress together: the platform's front round one engine, until it is told to stop.

use crate::config::Config;
use crate::deadlines::{Clock, Deadlines};
use crate::engine::{Bounds, Engine, Outlets};
use crate::exchange::{Exchange, News};
use crate::fronts::platform;
use crate::interface::Millis;
use crate::net::client_side::{Answer, ClientSide, Question};
use crate::net::counter::Counter;
use crate::net::discovery::Discovery;
use crate::net::peers::Peers;
use crate::net::server_side::{Phase, ServerSide};
use crate::state::Limiter;
use slog::{Logger, info};
use std::future::Future;
use std::io;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task::{LocalSet, spawn_local};

/// An ingress is ready once discovery has told its list, or after this time with the list it had.
const LIST_WAIT: Millis = 1000.0;
/// Told to stop, it serves on for this long: new connections still come for up to 0.4 s.
const SERVE_ON: Millis = 550.0;
/// Then it ends once all is answered, at the latest after the longest deadline and this.
const DRAIN_SLACK: Millis = 100.0;

/// Why an ingress could not run.
pub type Error = Box<dyn std::error::Error>;

/// Runs an ingress until `stop`, and then until all that it took is answered.
pub fn run(config: Config, log: Logger, stop: impl Future<Output = ()> + 'static) -> Result<(), Error> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    Ok(LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(config.listen).await?;
        serve(config, listener, log, stop).await
    })?)
}

/// The same on a listener that is bound already, within a local task set.
pub async fn serve(
    config: Config,
    listener: TcpListener,
    log: Logger,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    // Polled from now on: a signal during the start is not missed.
    let stop = spawn_local(stop);
    let deadlines = Deadlines::new(Clock::new());
    let site = config.site;
    let limiter = Limiter::new(site.settings.clone(), config.seed).map_err(io::Error::other)?;
    let (exchange, news) = Exchange::<Question, Answer>::new();
    let [clients, servers] = config.limits.connections();
    let longest = site.classes.iter().map(|class| class.give_up).fold(0.0, f64::max);

    let (orders, ordered) = mpsc::unbounded_channel();
    let side = ClientSide::new(exchange.clone(), deadlines.clone(), site.clone(), servers, log.clone());
    spawn_local(side.run(ordered));

    let mut outlets = Outlets { orders, counter: None, peers: None };
    if let Some(at) = config.counter.filter(|_| site.settings.counter) {
        let (calls, made) = mpsc::unbounded_channel();
        let (exchange, deadlines) = (exchange.clone(), deadlines.clone());
        let counter = Counter { at, deadlines, log: log.clone() };
        spawn_local(counter.run(made, move |seq, answer| exchange.tell(News::Counted(seq, answer))));
        outlets.counter = Some(calls);
    }
    if let Some(at) = config.peer_listen.filter(|_| site.settings.peers) {
        let peers = Peers::listen(at, config.peers, log.clone()).await?;
        let (mail, sent) = mpsc::unbounded_channel();
        let exchange = exchange.clone();
        spawn_local(peers.run(sent, move |from, bytes| exchange.tell(News::Heard(from, bytes))));
        outlets.peers = Some(mail);
    }

    let (told, mut list_told) = watch::channel(false);
    let (watching, generation) = (exchange.clone(), config.known.generation);
    let discovery = Discovery {
        agent: config.discovery,
        site: site.clone(),
        deadlines: deadlines.clone(),
        log: log.clone(),
    };
    spawn_local(discovery.run(generation, move |list| {
        watching.tell(News::Listed(list));
        told.send_replace(true);
    }));

    let bounds = Bounds {
        flows: clients,
        schedulings: site.settings.max_attempts,
        counter_timeout: site.settings.counter_timeout,
        retry_after: site.max_retry_after,
    };
    let engine = Engine::new(limiter, deadlines.clone(), news, outlets, bounds, log.clone());
    let mut engine = spawn_local(engine.run(config.known));

    let (phase, phases) = watch::channel(Phase::Starting);
    let room = (clients, site.max_retry_after);
    let read = move |message: &_| platform::read(message, &site);
    let server_side = ServerSide::new(read, exchange, deadlines.clone(), phases, room, log.clone());
    let mut taking = spawn_local(server_side.run(listener));

    deadlines.within(LIST_WAIT, list_told.wait_for(|told| *told)).await;
    phase.send_replace(Phase::Serving);
    info!(log, "serving"; "name" => &config.name, "listen" => %config.listen);
    tokio::select! {
        _ = stop => {}
        // Without its engine an ingress is none: its exit tells the operators.
        ended = &mut engine => return Err(io::Error::other(format!("the engine ended: {ended:?}"))),
    }
    info!(log, "stopping");
    phase.send_replace(Phase::Stopping);
    deadlines.sleep(SERVE_ON).await;
    phase.send_replace(Phase::Draining);
    let drained = deadlines.within(longest + DRAIN_SLACK, &mut taking).await.is_some();
    info!(log, "stopped"; "all_answered" => drained);
    Ok(())
}
