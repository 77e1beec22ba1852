//! Puts an instance together: one front round one engine, until it is told to stop.

use crate::admin::drain::announce;
use crate::admin::server::AdminServer;
use crate::cluster::notices::LocalNotice;
use crate::cluster::packet::{Identity, fleet_key};
use crate::cluster::transport::{ClusterEvent, SharedCluster, Transport};
use crate::cluster::{Cluster, FleetId, Timing};
use crate::config::{
    AuthzConfig, BackendSource, Config, ConnectionLimits, ConsulConfig, InstanceConfig, ReloadableConfig,
};
use crate::consul::agent::QueryCounts;
use crate::consul::{MAX_START_DELAY, Watch};
use crate::deadlines::{Clock, Deadlines};
use crate::engine::{Bounds, Engine, Outlets};
use crate::entries::BackendList;
use crate::exchange::{ClientSideCommand, EngineEvent, Exchange, Operation, OperationResult};
use crate::fronts::ext_authz::authorisers::Authorisers;
use crate::fronts::ext_authz::service::{self, CheckService};
use crate::fronts::ext_authz::{Check, Front};
use crate::fronts::platform;
use crate::interface::{AttemptEnd, Millis};
use crate::maintenance::{Maintenance, read_bans};
use crate::membership::traffic::Witness;
use crate::net::budget::{Budget, Elsewhere};
use crate::net::client_side::{Answer, ClientSide, Links, Question};
use crate::net::counter::Counter;
use crate::net::discovery::Discovery;
use crate::net::peers::Peers;
use crate::net::server_side::{Drain, Phase, Role, Room, ServerSide, Signals};
use crate::net::stream::Way;
use crate::recovery::{self, Heard, Recovery};
use crate::state::Limiter;
use crate::stats::Stats;
use crate::subset::Subset;
use crate::upgrade::link::{Reader, Writer};
use crate::upgrade::peer::OtherProcess;
use crate::upgrade::rendezvous;
use crate::upgrade::succession::{Outgoing, Succession};
use bytes::Bytes;
use slog::{Logger, info, warn};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::Path;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
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
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Runs a future on a runtime of one thread.
pub fn block_on<F: Future<Output = io::Result<()>>>(future: F) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// What an ingress of the platform is given to serve on.
#[derive(Debug)]
pub struct Sockets {
    /// The clients' listener.
    pub listener: TcpListener,
    /// The peers' socket; bound where it is none.
    pub peers: Option<std::net::UdpSocket>,
    /// The link to the process that had them before.
    pub link: Option<(Reader, Writer)>,
}

impl From<TcpListener> for Sockets {
    fn from(listener: TcpListener) -> Self {
        Self { listener, peers: None, link: None }
    }
}

impl Sockets {
    /// Gets them from the process that serves at this address, or binds them. Where operators may start one process
    /// beside another, both may be bound at once: an old one that hangs must not keep the new one out.
    pub async fn get(instance: &InstanceConfig, log: &Logger) -> io::Result<Self> {
        let path = instance.admin_listen.and_then(|_| rendezvous::path(instance.listen, "next"));
        let got = match path {
            Some(path) => rendezvous::request_sockets(&path).await.unwrap_or_else(|e| {
                warn!(log, "no sockets from the old process"; "why" => %e);
                None
            }),
            None => None,
        };
        if let Some(got) = got {
            let listener = std::net::TcpListener::from(got.listener);
            let peers = got.peers.map(std::net::UdpSocket::from);
            listener.set_nonblocking(true)?;
            peers.as_ref().map(|peers| peers.set_nonblocking(true)).transpose()?;
            let link = Some((got.reader, got.writer));
            return Ok(Self { listener: TcpListener::from_std(listener)?, peers, link });
        }
        let socket = match instance.listen {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if instance.admin_listen.is_some() {
            socket.set_reuseport(true)?;
        }
        socket.bind(instance.listen)?;
        Ok(socket.listen(BACKLOG)?.into())
    }
}

fn bind_peers(instance: &InstanceConfig, at: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = Socket::new(Domain::for_address(at), Type::DGRAM, None)?;
    if instance.admin_listen.is_some() {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&at.into())?;
    Ok(socket.into())
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

/// How far this instance has come back, with a line in the log for each step.
#[derive(Debug, Clone)]
struct Return {
    recovery: Rc<RefCell<Recovery>>,
    deadlines: Deadlines,
    log: Logger,
}

impl Return {
    fn heard(&self, what: Heard) {
        let change = self.recovery.borrow_mut().heard(self.deadlines.clock().now(), what);
        self.say(change);
    }

    fn say(&self, change: Option<(recovery::Stage, recovery::Stage, Millis)>) {
        if let Some((before, stage, span)) = change {
            info!(self.log, "coming back"; "stage" => stage.name(), "before" => before.name(), "ms" => span.round());
        }
    }

    /// It serves; some time later it is whole, if nothing else is missing.
    fn serving(self) {
        self.heard(Heard::Serving);
        let due = self.recovery.borrow().due();
        if let Some(due) = due {
            spawn_local(async move {
                self.deadlines.sleep((due - self.deadlines.clock().now()).max(0.0) + 1.0).await;
                let change = self.recovery.borrow_mut().tick(self.deadlines.clock().now());
                self.say(change);
            });
        }
    }
}

/// What both fronts have in common: an engine with its ways to the counter and the peers.
struct Core<Q, A> {
    deadlines: Deadlines,
    exchange: Exchange<Q, A>,
    orders: mpsc::UnboundedReceiver<ClientSideCommand<Q>>,
    /// The parts without which an instance is none.
    parts: JoinSet<()>,
    longest: Millis,
    /// How long the first list may take.
    list_wait: Millis,
    told: watch::Sender<bool>,
    stats: Arc<Stats>,
    phase: watch::Sender<Phase>,
    drain: watch::Sender<Drain>,
    role: watch::Sender<Role>,
    other: OtherProcess,
    ended: mpsc::UnboundedReceiver<AttemptEnd>,
    back: Return,
}

impl<Q: Clone + 'static, A: 'static> Core<Q, A> {
    async fn start(
        instance: &InstanceConfig,
        ways: &watch::Receiver<ReloadableConfig>,
        known: Option<BackendList>,
        (flows, witness): (usize, Option<Rc<Witness>>),
        (peers, role): (Option<UdpSocket>, Role),
        log: &Logger,
    ) -> io::Result<Self> {
        let deadlines = Deadlines::new(Clock::new());
        let begun = Recovery::new(instance.cluster.is_some(), deadlines.clock().now());
        let recovery = Rc::new(RefCell::new(begun));
        let back = Return { recovery, deadlines: deadlines.clone(), log: log.clone() };
        if known.as_ref().is_some_and(|known| !known.entries.is_empty()) {
            back.heard(Heard::List);
        }
        // Before all else: operators are to be answered whatever follows.
        let door = match instance.admin_listen {
            Some(at) => {
                let bound = TcpListener::bind(at).await;
                Some(bound.map_err(|e| io::Error::other(format!("management={at}: {e}")))?)
            }
            None => None,
        };
        let site = &instance.site;
        let limiter = Limiter::new(site.settings.clone(), instance.seed).map_err(io::Error::other)?;
        // Prevents numbers of flows from meeting those of another process.
        let (exchange, news) = Exchange::starting_at((deadlines.clock().now() as u64) << 20);
        let (orders, ordered) = mpsc::unbounded_channel();
        let (successor, ended) = mpsc::unbounded_channel();
        let role = watch::Sender::new(role);
        let (said, words) = mpsc::unbounded_channel();
        let mut outlets = Outlets { orders, counter: None, successor, peers: None, said: None, witness };
        let mut parts = JoinSet::new();
        if let Some(at) = instance.counter.filter(|_| site.settings.counter) {
            let (calls, made) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            let at = Way::new(ways, at, |ways| ways.counter);
            let counter = Counter { at, deadlines: deadlines.clone(), log: log.clone() };
            parts.spawn_local(
                counter
                    .run(made, move |seq, answer| exchange.send(EngineEvent::CounterAnswered(seq, answer))),
            );
            outlets.counter = Some(calls);
        }
        if let Some(socket) = peers {
            let peers = Peers::new(socket, instance.peers.clone(), role.subscribe(), log.clone());
            let (mail, sent) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            parts.spawn_local(
                peers.run(sent, move |from, bytes| exchange.send(EngineEvent::PeerMessage(from, bytes))),
            );
            outlets.peers = Some(mail);
        }
        let phase = watch::Sender::new(Phase::Starting);
        let drain = watch::Sender::new(Drain::Inactive);
        let bans = instance.admin_listen.and_then(|_| rendezvous::path(instance.listen, "bans"));
        let out: Vec<String> = bans.iter().flat_map(|path| kept_bans(path, log)).collect();
        let cluster = instance.cluster.as_ref().map(|fleet| {
            let now = deadlines.clock().now();
            let me = Identity {
                name: instance.name.clone(),
                number: site.settings.ingress.0,
                at: fleet.advertise,
                born: now as u64,
            };
            let of = FleetId { key: fleet_key(&fleet.fleet_name), size: site.settings.ingress_count };
            let cluster =
                Cluster::new(me, of, fleet.seeds.clone(), Timing::default(), instance.seed ^ 2, now);
            let cluster: SharedCluster = Rc::new(RefCell::new(cluster));
            let wire = Transport {
                cluster: cluster.clone(),
                at: fleet.listen,
                role: role.subscribe(),
                phase: phase.subscribe(),
                local_notices: words,
                drain: drain.clone(),
                file: instance.admin_listen.and_then(|_| rendezvous::path(instance.listen, "notices")),
                deadlines: deadlines.clone(),
                log: log.clone(),
            };
            let (exchange, back) = (exchange.clone(), back.clone());
            spawn_local(wire.run(move |told| {
                if let ClusterEvent::Living(living) = &told {
                    back.heard(Heard::View(living.is_some()));
                }
                exchange.send(match told {
                    ClusterEvent::Living(living) => EngineEvent::LiveIngresses(living),
                    ClusterEvent::Server(name, out) => EngineEvent::DisabledElsewhere(name, out),
                })
            }));
            let _ = said.send(LocalNotice::Restored(out.clone()));
            outlets.said = Some(said.clone());
            (cluster, said)
        });
        let bounds = Bounds {
            flows,
            schedulings: site.settings.max_attempts,
            counter_timeout: site.settings.counter_timeout,
            retry_after: site.max_retry_after,
        };
        let maintenance = Maintenance::with(out);
        let deciding = (limiter, maintenance);
        let subset = instance
            .subset_size
            .map(|size| Subset::new(site.settings.ingress, site.settings.ingress_count, size));
        let engine = Engine::new(deciding, deadlines.clone(), news, outlets, bounds, log.clone());
        let engine = engine.with_subset(subset);
        parts.spawn_local(engine.run(known));
        let stats = Stats::new(site.classes.iter().map(|class| class.name.as_str()));
        let other = OtherProcess::default();
        parts.spawn_local(announce(drain.clone(), deadlines.clone()));
        if let Some(listener) = door {
            let (exchange, both, pauses) = (exchange.clone(), other.clone(), deadlines.clone());
            let engine = move |operation: Operation| -> Pin<Box<dyn Future<Output = OperationResult>>> {
                let (reply, answer) = oneshot::channel();
                exchange.send(EngineEvent::Operate(operation.clone(), reply));
                let (both, pauses) = (both.clone(), pauses.clone());
                Box::pin(async move {
                    let told = answer.await.unwrap_or(Err("the engine has ended"));
                    if told.is_ok() && operation != Operation::Inspect {
                        both.operate(operation, &pauses).await;
                    }
                    told
                })
            };
            let door = AdminServer {
                stats: stats.clone(),
                phase: phase.subscribe(),
                drain: drain.clone(),
                role: role.subscribe(),
                other: other.clone(),
                engine: Box::new(engine),
                bans,
                cluster,
                recovery: back.recovery.clone(),
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
            longest: site.classes.iter().map(|class| class.client_timeout).fold(0.0, f64::max),
            list_wait: LIST_WAIT,
            told: watch::Sender::new(false),
            stats,
            phase,
            drain,
            role,
            other,
            ended,
            back,
        })
    }

    fn signals(&self) -> Signals {
        Signals { role: self.role.subscribe(), phase: self.phase.subscribe(), drain: self.drain.subscribe() }
    }

    /// Where lists are told.
    fn teller(&self) -> impl FnMut(BackendList) + use<Q, A> {
        let (exchange, told, back) = (self.exchange.clone(), self.told.clone(), self.back.clone());
        move |list| {
            back.heard(Heard::Told);
            exchange.send(EngineEvent::BackendList(list));
            told.send_replace(true);
        }
    }

    /// Has Consul watched for real servers.
    fn watch_consul(
        &mut self,
        instance: &InstanceConfig,
        consul: Arc<ConsulConfig>,
        ways: &watch::Receiver<ReloadableConfig>,
        witness: Rc<Witness>,
        log: &Logger,
    ) {
        let watch = Watch {
            consul,
            config_updates: ways.clone(),
            places: instance.site.places.clone(),
            ingress_count: instance.site.settings.ingress_count,
            deadlines: self.deadlines.clone(),
            seed: instance.seed,
            witness,
            stats: self.stats.clone(),
            counts: Rc::<QueryCounts>::default(),
            log: log.clone(),
        };
        let teller = self.teller();
        self.parts.spawn_local(watch.run(teller));
        // Of a fleet that starts together each asks in its turn, and none may say ready before.
        self.list_wait = LIST_WAIT + MAX_START_DELAY;
    }

    /// Serves until `stop` and then until `taking`, which watches the phase, has answered all.
    async fn serve(
        mut self,
        instance: &InstanceConfig,
        mut taking: JoinHandle<()>,
        taking_over: impl FnOnce(),
        stop: JoinHandle<()>,
        log: Logger,
    ) -> io::Result<()> {
        let mut told = self.told.subscribe();
        let _ = self.deadlines.within(self.list_wait, told.wait_for(|told| *told)).await;
        taking_over();
        let mut role = self.role.subscribe();
        let _ = role.wait_for(|role| *role != Role::Standby).await;
        self.phase.send_replace(Phase::Serving);
        self.back.clone().serving();
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
        if *role.borrow() == Role::Active {
            self.deadlines.sleep(SERVE_ON).await;
        }
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
    sockets: impl Into<Sockets>,
    log: Logger,
    ways: watch::Receiver<ReloadableConfig>,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    // Polled from now on: a signal during the start is not missed.
    let stop = spawn_local(stop);
    let Config { instance, source, initial_list: known } = config;
    let (site, generation) = (&instance.site, known.as_ref().map(|known| known.generation));
    let ConnectionLimits { clients: flows, rejected_clients: turned_away, backends: servers } =
        instance.limits.connection_limits();
    let elsewhere = Elsewhere::default();
    let budget = || Budget::new(instance.limits.max_message_bytes(), elsewhere.clone());
    let Sockets { listener, peers, link } = sockets.into();
    let peers = match instance.peer_listen.filter(|_| site.settings.peers) {
        Some(at) if peers.is_none() => Some(bind_peers(&instance, at)?),
        _ => peers,
    };
    let copy = |socket: BorrowedFd<'_>| socket.try_clone_to_owned();
    let leaving = (copy(listener.as_fd())?, peers.as_ref().map(|peers| copy(peers.as_fd())).transpose()?);
    let role = if link.is_some() { Role::Standby } else { Role::Active };
    let socket = peers.map(UdpSocket::from_std).transpose()?;
    let witness = matches!(source, BackendSource::Consul(_)).then(Rc::<Witness>::default);
    let bounds = (flows, witness.clone());
    let mut core =
        Core::<Question, Answer>::start(&instance, &ways, known, bounds, (socket, role), &log).await?;
    let (passing, clients) = mpsc::unbounded_channel();
    let (adopt, passed) = mpsc::unbounded_channel();
    let (passing_servers, idle_servers) = mpsc::unbounded_channel();
    let (adopt_server, passed_servers) = mpsc::unbounded_channel();
    let open = Rc::new(Cell::new(0));
    let links = Links {
        role: core.role.subscribe(),
        passing: passing_servers,
        elsewhere: elsewhere.clone(),
        open: open.clone(),
    };
    let succession = Rc::new(Succession {
        exchange: core.exchange.clone(),
        role: core.role.clone(),
        phase: core.phase.subscribe(),
        drain: core.drain.clone(),
        other: core.other.clone(),
        adopt,
        adopt_server,
        elsewhere: elsewhere.clone(),
        open,
        deadlines: core.deadlines.clone(),
        log: log.clone(),
    });
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let room = (servers, budget());
    let side = ClientSide::new(
        exchange.clone(),
        deadlines.clone(),
        site.clone(),
        room,
        core.stats.clone(),
        links,
        log.clone(),
    );
    let orders = std::mem::replace(&mut core.orders, mpsc::unbounded_channel().1);
    core.parts.spawn_local(side.run(orders, passed_servers));
    match source {
        BackendSource::Discovery(agent) => {
            let agent = Way::new(&ways, agent, |ways| ways.discovery);
            let (pauses, seed) = (deadlines.clone(), instance.seed);
            let discovery =
                Discovery { agent, site: site.clone(), deadlines: pauses, seed, log: log.clone() };
            let teller = core.teller();
            core.parts.spawn_local(discovery.run(generation, teller));
        }
        BackendSource::Consul(consul) => {
            core.watch_consul(&instance, consul, &ways, witness.unwrap_or_default(), &log)
        }
    }
    let (idle, last) = (instance.limits.max_idle_clients(), core.longest);
    let room = Room { connections: flows, turned_away, idle, budget: budget(), last };
    let reader = site.clone();
    let read = move |head: &_, body, whole| platform::read(head, body, whole, &reader);
    let (signals, stats) = ((core.signals(), passing), core.stats.clone());
    let bounds = (room, site.max_retry_after);
    let side = ServerSide::new(read, exchange, deadlines, signals, stats, bounds, log.clone());
    let taking = spawn_local(side.run(listener, passed));
    let path = instance.admin_listen.and_then(|_| rendezvous::path(instance.listen, "next"));
    let ended = std::mem::replace(&mut core.ended, mpsc::unbounded_channel().1);
    let leaving = Outgoing { clients, servers: idle_servers, ended, listener: leaving.0, peers: leaving.1 };
    let mut role = core.role.subscribe();
    let taking_over = move || {
        if let Some(link) = link {
            spawn_local(succession.clone().take_over(link));
        }
        if let Some(path) = path {
            spawn_local(async move {
                let _ = role.wait_for(|role| *role == Role::Active).await;
                succession.serve_successor(path, leaving).await
            });
        }
    };
    core.serve(&instance, taking, taking_over, stop, log).await
}

/// Runs an instance of the authorisation front on a listener, within a local task set; `ways` says where Consul and
/// the counter are to be found from now on.
pub async fn serve_authz(
    config: AuthzConfig,
    listener: TcpListener,
    log: Logger,
    ways: watch::Receiver<ReloadableConfig>,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    let stop = spawn_local(stop);
    let AuthzConfig { instance, consul, authz } = config;
    let site = &instance.site;
    let clients = instance.limits.max_authz_connections();
    let room = (clients, Duration::from_secs_f64(authz.max_connection_age / 1000.0));
    let flows = clients * CHECKS;
    let peers = instance.peer_listen.filter(|_| site.settings.peers);
    let peers = peers.map(|at| bind_peers(&instance, at)).transpose()?;
    let peers = peers.map(UdpSocket::from_std).transpose()?;
    let alone = (peers, Role::Active);
    let witness = Rc::<Witness>::default();
    let bounds = (flows, Some(witness.clone()));
    let mut core = Core::<Check, Bytes>::start(&instance, &ways, None, bounds, alone, &log).await?;
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let side =
        Authorisers::new(exchange.clone(), deadlines.clone(), site.clone(), core.stats.clone(), log.clone());
    let orders = std::mem::replace(&mut core.orders, mpsc::unbounded_channel().1);
    core.parts.spawn_local(side.run(orders));
    core.watch_consul(&instance, consul, &ways, witness, &log);
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
    core.serve(&instance, taking, || {}, stop, log).await
}
