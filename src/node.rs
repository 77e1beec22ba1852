//! Puts an instance together: one front round one engine, until it is told to stop.

use crate::config::{AuthzConfig, Config, Instance, Ways};
use crate::consul::Watch;
use crate::deadlines::{Clock, Deadlines};
use crate::engine::{Bounds, Engine, Outlets};
use crate::exchange::{Exchange, News, Order};
use crate::fronts::ext_authz::authorisers::Authorisers;
use crate::fronts::ext_authz::service::{self, CheckService};
use crate::fronts::ext_authz::{Check, Front};
use crate::fronts::platform;
use crate::interface::Millis;
use crate::maintenance::{Maintenance, read_bans};
use crate::management::{Door, Told};
use crate::net::budget::Budget;
use crate::net::client_side::{Answer, ClientSide, Question};
use crate::net::counter::Counter;
use crate::net::discovery::{Discovery, List};
use crate::net::peers::Peers;
use crate::net::server_side::{Drain, Phase, Room, ServerSide, Signals};
use crate::net::stream::Way;
use crate::state::Limiter;
use crate::stats::Stats;
use bytes::Bytes;
use slog::{Logger, info, warn};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};

/// An instance is ready once the list has been told, or after this time with the list it had.
const LIST_WAIT: Millis = 1000.0;
/// Told to stop, it serves on for this long: new connections still come for up to 0.4 s.
const SERVE_ON: Millis = 550.0;
/// Then it ends once all is answered, at the latest after the longest deadline and this.
const DRAIN_SLACK: Millis = 100.0;
/// The most checks at once for each connection that clients may have.
const CHECKS: usize = 2;

/// Runs a future on a runtime of one thread.
pub fn block_on<F: Future<Output = io::Result<()>>>(future: F) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// Where bans are kept, for the process that comes next at this address; nowhere without a folder for it.
fn bans_file(listen: SocketAddr) -> Option<PathBuf> {
    let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
    Some(PathBuf::from(folder).join(format!("weldhub-{}-{}.bans", listen.ip(), listen.port())))
}

/// The bans that a process before has left; what cannot be read is passed over.
fn kept_bans(path: &Path, log: &Logger) -> Vec<String> {
    match std::fs::read(path) {
        Ok(bytes) => match std::str::from_utf8(&bytes).ok().and_then(read_bans) {
            Some(bans) => bans,
            None => {
                warn!(log, "a file of bans was passed over"; "path" => %path.display());
                Vec::new()
            }
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(e) => {
            warn!(log, "a file of bans was passed over"; "path" => %path.display(), "error" => %e);
            Vec::new()
        }
    }
}

/// What both fronts have in common: an engine with its ways to the counter and the peers.
struct Core<Q, A> {
    deadlines: Deadlines,
    exchange: Exchange<Q, A>,
    orders: mpsc::UnboundedReceiver<Order<Q>>,
    /// The parts without which an instance is none.
    parts: JoinSet<()>,
    longest: Millis,
    told: watch::Sender<bool>,
    stats: Arc<Stats>,
    phase: watch::Sender<Phase>,
    drain: watch::Sender<Drain>,
}

impl<Q: Clone + 'static, A: 'static> Core<Q, A> {
    async fn start(
        instance: &Instance,
        ways: &watch::Receiver<Ways>,
        known: Option<List>,
        flows: usize,
        log: &Logger,
    ) -> io::Result<Self> {
        let deadlines = Deadlines::new(Clock::new());
        // Before all else: operators are to be answered whatever follows.
        let door = match instance.management {
            Some(at) => {
                let bound = TcpListener::bind(at).await;
                Some(bound.map_err(|e| io::Error::other(format!("management={at}: {e}")))?)
            }
            None => None,
        };
        let site = &instance.site;
        let limiter = Limiter::new(site.settings.clone(), instance.seed).map_err(io::Error::other)?;
        let (exchange, news) = Exchange::new();
        let (orders, ordered) = mpsc::unbounded_channel();
        let mut outlets = Outlets { orders, counter: None, peers: None };
        let mut parts = JoinSet::new();
        if let Some(at) = instance.counter.filter(|_| site.settings.counter) {
            let (calls, made) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            let at = Way::new(ways, at, |ways| ways.counter);
            let counter = Counter { at, deadlines: deadlines.clone(), log: log.clone() };
            parts
                .spawn_local(counter.run(made, move |seq, answer| exchange.tell(News::Counted(seq, answer))));
            outlets.counter = Some(calls);
        }
        if let Some(at) = instance.peer_listen.filter(|_| site.settings.peers) {
            let peers = Peers::listen(at, instance.peers.clone(), log.clone()).await?;
            let (mail, sent) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            parts.spawn_local(peers.run(sent, move |from, bytes| exchange.tell(News::Heard(from, bytes))));
            outlets.peers = Some(mail);
        }
        let bounds = Bounds {
            flows,
            schedulings: site.settings.max_attempts,
            counter_timeout: site.settings.counter_timeout,
            retry_after: site.max_retry_after,
        };
        let bans = instance.management.and_then(|_| bans_file(instance.listen));
        let maintenance = Maintenance::with(bans.iter().flat_map(|path| kept_bans(path, log)));
        let deciding = (limiter, maintenance);
        let engine = Engine::new(deciding, deadlines.clone(), news, outlets, bounds, log.clone());
        parts.spawn_local(engine.run(known));
        let stats = Stats::new(site.classes.iter().map(|class| class.name.as_str()));
        let (phase, drain) = (watch::Sender::new(Phase::Starting), watch::Sender::new(Drain::No));
        if let Some(listener) = door {
            let exchange = exchange.clone();
            let engine = move |operation| -> Pin<Box<dyn Future<Output = Told>>> {
                let (reply, answer) = oneshot::channel();
                exchange.tell(News::Operate(operation, reply));
                Box::pin(async move { answer.await.unwrap_or(Err("the engine has ended")) })
            };
            let door = Door {
                stats: stats.clone(),
                phase: phase.subscribe(),
                drain: drain.clone(),
                engine: Box::new(engine),
                bans,
                deadlines: deadlines.clone(),
                log: log.clone(),
            };
            parts.spawn_local(door.run(listener));
        }
        Ok(Self {
            deadlines,
            exchange,
            orders: ordered,
            parts,
            longest: site.classes.iter().map(|class| class.give_up).fold(0.0, f64::max),
            told: watch::Sender::new(false),
            stats,
            phase,
            drain,
        })
    }

    fn signals(&self) -> Signals {
        Signals { phase: self.phase.subscribe(), drain: self.drain.subscribe() }
    }

    /// Where lists are told.
    fn teller(&self) -> impl FnMut(List) + use<Q, A> {
        let (exchange, told) = (self.exchange.clone(), self.told.clone());
        move |list| {
            exchange.tell(News::Listed(list));
            told.send_replace(true);
        }
    }

    /// Serves until `stop` and then until `taking`, which watches the phase, has answered all.
    async fn serve(
        mut self,
        instance: &Instance,
        mut taking: JoinHandle<()>,
        stop: JoinHandle<()>,
        log: Logger,
    ) -> io::Result<()> {
        let mut told = self.told.subscribe();
        let _ = self.deadlines.within(LIST_WAIT, told.wait_for(|told| *told)).await;
        self.phase.send_replace(Phase::Serving);
        info!(log, "serving"; "name" => &instance.name, "listen" => %instance.listen);
        tokio::select! {
            _ = stop => {}
            // Prevents an instance that lives on without its engine or a side: its exit tells the operators.
            ended = self.parts.join_next() => {
                return Err(io::Error::other(format!("a part ended: {ended:?}")));
            }
        }
        info!(log, "stopping");
        self.phase.send_replace(Phase::Stopping);
        self.deadlines.sleep(SERVE_ON).await;
        self.phase.send_replace(Phase::Draining);
        let drained = self.deadlines.within(self.longest + DRAIN_SLACK, &mut taking).await.is_some();
        info!(log, "stopped"; "all_answered" => drained);
        Ok(())
    }
}

/// Runs an ingress of the platform on a listener, within a local task set; `ways` says where discovery and the
/// counter are to be found from now on.
pub async fn serve(
    config: Config,
    listener: TcpListener,
    log: Logger,
    ways: watch::Receiver<Ways>,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    // Polled from now on: a signal during the start is not missed.
    let stop = spawn_local(stop);
    let Config { instance, discovery: agent, known } = config;
    let (site, generation) = (&instance.site, known.as_ref().map(|known| known.generation));
    let [flows, turned_away, servers] = instance.limits.connections();
    let budget = || Budget::new(instance.limits.messages());
    let mut core = Core::<Question, Answer>::start(&instance, &ways, known, flows, &log).await?;
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let room = (servers, budget());
    let side = ClientSide::new(
        exchange.clone(),
        deadlines.clone(),
        site.clone(),
        room,
        core.stats.clone(),
        log.clone(),
    );
    let orders = std::mem::replace(&mut core.orders, mpsc::unbounded_channel().1);
    core.parts.spawn_local(side.run(orders));
    let agent = Way::new(&ways, agent, |ways| Some(ways.discovery));
    let (pauses, seed) = (deadlines.clone(), instance.seed);
    let discovery = Discovery { agent, site: site.clone(), deadlines: pauses, seed, log: log.clone() };
    let teller = core.teller();
    core.parts.spawn_local(discovery.run(generation, teller));
    let room = Room { connections: flows, turned_away, idle: instance.limits.idle(), budget: budget() };
    let reader = site.clone();
    let read = move |message: &_| platform::read(message, &reader);
    let (signals, stats) = (core.signals(), core.stats.clone());
    let bounds = (room, site.max_retry_after);
    let side = ServerSide::new(read, exchange, deadlines, signals, stats, bounds, log.clone());
    let taking = spawn_local(side.run(listener));
    core.serve(&instance, taking, stop, log).await
}

/// Runs an instance of the authorisation front on a listener, within a local task set; `ways` says where Consul and
/// the counter are to be found from now on.
pub async fn serve_authz(
    config: AuthzConfig,
    listener: TcpListener,
    log: Logger,
    ways: watch::Receiver<Ways>,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let stop = spawn_local(stop);
    let AuthzConfig { instance, consul, authz } = config;
    let site = &instance.site;
    let clients = instance.limits.callers();
    let room = (clients, Duration::from_secs_f64(authz.connection_age / 1000.0));
    let flows = clients * CHECKS;
    let mut core = Core::<Check, Bytes>::start(&instance, &ways, None, flows, &log).await?;
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let side =
        Authorisers::new(exchange.clone(), deadlines.clone(), site.clone(), core.stats.clone(), log.clone());
    let orders = std::mem::replace(&mut core.orders, mpsc::unbounded_channel().1);
    core.parts.spawn_local(side.run(orders));
    let agent = Way::new(&ways, consul.address, |ways| Some(ways.discovery));
    let seed = instance.seed;
    let watch = Watch { agent, consul, site: site.clone(), deadlines, seed, log: log.clone() };
    let teller = core.teller();
    core.parts.spawn_local(watch.run(teller));
    let front = Arc::new(Front { site: site.clone(), authz });
    let service = CheckService::new(front, exchange, core.stats.clone());
    let (mut starting, signals, told) = (core.phase.subscribe(), core.signals(), log.clone());
    let taking = spawn_local(async move {
        // Checks that come before the first list wait in the backlog.
        let _ = starting.wait_for(|phase| *phase >= Phase::Serving).await;
        if let Err(e) = service::serve(service, listener, room, signals, told.clone()).await {
            info!(told, "serving ended"; "error" => %e);
        }
    });
    core.serve(&instance, taking, stop, log).await
}
