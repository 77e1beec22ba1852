//! Assembles an instance from its parts (one front, one engine, the connections to the counter, to peers and
//! to discovery) and runs it until it is told to stop.

use crate::admin::drain::close_after_announcement;
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
use crate::engine::{Engine, EngineLimits, Outputs};
use crate::entries::BackendList;
use crate::exchange::{ClientSideCommand, EngineEvent, Exchange, Operation, OperationResult};
use crate::files::RetriedFile;
use crate::fronts::ext_authz::authorisers::Authorisers;
use crate::fronts::ext_authz::service::{self, CheckLimits, CheckService};
use crate::fronts::ext_authz::{Check, Front};
use crate::fronts::platform;
use crate::interface::{AttemptEnd, Millis};
use crate::maintenance::Maintenance;
use crate::membership::connection_failures::FailureMonitor;
use crate::net::budget::{MemoryBudget, PredecessorConnections};
use crate::net::client_side::{Answer, ClientSide, Question, UpgradeLinks};
use crate::net::counter::CounterClient;
use crate::net::discovery::Discovery;
use crate::net::peers::Peers;
use crate::net::server_side::{Drain, Phase, Role, ServerLimits, ServerSide, Signals};
use crate::net::socket_buffers::SocketBuffers;
use crate::net::stream::ReloadableAddress;
use crate::recovery::{Recovery, RecoveryEvent, StageChange};
use crate::state::Limiter;
use crate::stats::{MemoryOwner, Stats};
use crate::subset::Subset;
use crate::upgrade::handover::{Handover, Outgoing};
use crate::upgrade::rendezvous::{self, Found, PredecessorLink, Rendezvous};
use crate::upgrade::replication::{Leader, Replication};
use crate::upgrade::settings::{OperatorSettings, SettingsFiles, load_disabled};
use bytes::Bytes;
use slog::{Logger, info, warn};
use socket2::{Domain, Socket, Type};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::{JoinHandle, JoinSet, LocalSet, spawn_local};

/// The longest time that an instance waits for a list of backends before it serves with the list that it has,
/// in milliseconds.
const MAX_LIST_WAIT: Millis = 1000.0;
/// How long an instance continues to serve after it is told to stop, in milliseconds. New connections still
/// arrive for up to 0.4 s.
const STOPPING_TIME: Millis = 550.0;
/// An instance that drains ends once all requests are answered, at the latest this many milliseconds after
/// the longest deadline of a request.
const DRAIN_SLACK: Millis = 100.0;
/// How long after it is told to stop an instance ends at the latest, in milliseconds, if long answers are still on
/// their way. Orchestrators send SIGKILL after about this time unless they are told otherwise.
const MAX_TERMINATION_TIME: Millis = 30_000.0;
/// The longest time for which requests that are read while an instance drains are served, in milliseconds.
/// Orchestrators count a longer deadline as this when they choose the time of SIGKILL.
const MAX_DRAIN_TIMEOUT: Millis = 3000.0;
/// The maximum number of concurrent checks, per connection that the authorisation front may have.
const CHECKS_PER_CONNECTION: usize = 2;

/// Runs a future on a single-threaded runtime, within a local task set.
pub fn block_on<F: Future<Output = io::Result<()>>>(future: F) -> io::Result<()> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    LocalSet::new().block_on(&runtime, future)
}

/// The sockets that an ingress of the platform serves on.
#[derive(Debug)]
pub struct Sockets {
    /// The clients' listener.
    pub listener: TcpListener,
    /// The peers' socket; if it is `None` and peers are configured, one is bound.
    pub peers: Option<std::net::UdpSocket>,
    /// The process that served at this address before.
    pub predecessor: Predecessor,
}

/// The process that served at an address before this one.
#[derive(Debug)]
pub enum Predecessor {
    /// There is none.
    None,
    /// It has given its sockets, and hands over on this link.
    Linked(PredecessorLink),
    /// It does not answer on this link.
    Silent(PredecessorLink),
}

impl From<TcpListener> for Sockets {
    fn from(listener: TcpListener) -> Self {
        Self { listener, peers: None, predecessor: Predecessor::None }
    }
}

impl Sockets {
    /// Takes the sockets over from the process that serves at this address, or binds them. With an admin
    /// interface, both processes may be bound at once, so that an old process that hangs cannot block an
    /// upgrade.
    pub async fn acquire(instance: &InstanceConfig, log: &Logger) -> io::Result<Self> {
        let found = match shared_path(instance, "next") {
            Some(path) => rendezvous::request_sockets(&path).await.unwrap_or_else(|e| {
                warn!(log, "no sockets from the old process"; "why" => %e);
                Found::Nobody
            }),
            None => Found::Nobody,
        };
        let predecessor = match found {
            Found::Nobody => Predecessor::None,
            Found::Silent(link) => {
                warn!(log, "no sockets from the old process"; "why" => "it does not answer");
                Predecessor::Silent(link)
            }
            Found::Sockets(inherited) => {
                let listener = std::net::TcpListener::from(inherited.listener);
                let peers = inherited.peers.map(std::net::UdpSocket::from);
                listener.set_nonblocking(true)?;
                peers.as_ref().map(|peers| peers.set_nonblocking(true)).transpose()?;
                let listener = TcpListener::from_std(listener)?;
                return Ok(Self { listener, peers, predecessor: Predecessor::Linked(inherited.link) });
            }
        };
        let socket = match instance.listen {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        if instance.admin_listen.is_some() {
            socket.set_reuseport(true)?;
        }
        socket.bind(instance.listen)?;
        let backlog = instance.limits.listen_backlog(instance.limits.socket_buffer_bytes());
        let listener = socket.listen(u32::try_from(backlog).unwrap_or(u32::MAX))?;
        Ok(Self { listener, peers: None, predecessor })
    }
}

/// Returns the path of a file of this kind that the processes at the instance's address share, or `None` if it has no
/// admin interface or no folder for it.
fn shared_path(instance: &InstanceConfig, kind: &str) -> Option<PathBuf> {
    instance.admin_listen.and_then(|_| rendezvous::path(instance.listen, kind))
}

fn bind_peers(instance: &InstanceConfig, address: SocketAddr) -> io::Result<std::net::UdpSocket> {
    let socket = Socket::new(Domain::for_address(address), Type::DGRAM, None)?;
    if instance.admin_listen.is_some() {
        socket.set_reuse_port(true)?;
    }
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    Ok(socket.into())
}

/// Tracks the recovery of this instance, and logs each change of stage.
#[derive(Debug, Clone)]
struct RecoveryTracker {
    recovery: Rc<RefCell<Recovery>>,
    deadlines: Deadlines,
    log: Logger,
}

impl RecoveryTracker {
    fn record(&self, event: RecoveryEvent) {
        let change = self.recovery.borrow_mut().record(self.deadlines.clock().now(), event);
        self.log_change(change);
    }

    fn log_change(&self, change: Option<StageChange>) {
        if let Some((before, stage, span)) = change {
            info!(self.log, "coming back";
                "stage" => stage.name(), "before" => before.name(), "ms" => span.round());
        }
    }

    /// Records that the instance serves, and schedules the change of stage that time alone brings about.
    fn serving(self) {
        self.record(RecoveryEvent::Serving);
        let next_tick = self.recovery.borrow().next_tick();
        if let Some(next_tick) = next_tick {
            spawn_local(async move {
                self.deadlines.sleep((next_tick - self.deadlines.clock().now()).max(0.0) + 1.0).await;
                let change = self.recovery.borrow_mut().tick(self.deadlines.clock().now());
                self.log_change(change);
            });
        }
    }
}

/// The part of an instance that both fronts share: the engine, with its connections to the counter and to
/// peers.
struct Core<Q, A> {
    deadlines: Deadlines,
    exchange: Exchange<Q, A>,
    commands: mpsc::UnboundedReceiver<ClientSideCommand<Q>>,
    /// Tasks that must run as long as the instance does.
    essential_tasks: JoinSet<()>,
    /// The longest deadline of a request, in milliseconds.
    longest_deadline: Millis,
    /// The longest wait for the first list, in milliseconds.
    max_list_wait: Millis,
    /// Whether discovery has sent a list.
    list_received: watch::Sender<bool>,
    stats: Arc<Stats>,
    phase: watch::Sender<Phase>,
    drain: watch::Sender<Drain>,
    role: watch::Sender<Role>,
    /// Whether a predecessor process may still hand connections over.
    predecessor: watch::Sender<bool>,
    replication: Replication,
    ended_attempts: mpsc::UnboundedReceiver<AttemptEnd>,
    recovery: RecoveryTracker,
}

impl<Q: Clone + 'static, A: 'static> Core<Q, A> {
    async fn start(
        instance: &InstanceConfig,
        ways: &watch::Receiver<ReloadableConfig>,
        known: Option<BackendList>,
        (max_requests, witness): (usize, Option<Rc<FailureMonitor>>),
        (peers, role): (Option<UdpSocket>, Role),
        log: &Logger,
    ) -> io::Result<Self> {
        let deadlines = Deadlines::new(Clock::new());
        let recovery = Recovery::new(instance.cluster.is_some(), deadlines.clock().now());
        let recovery = Rc::new(RefCell::new(recovery));
        let recovery = RecoveryTracker { recovery, deadlines: deadlines.clone(), log: log.clone() };
        if known.as_ref().is_some_and(|known| !known.entries.is_empty()) {
            recovery.record(RecoveryEvent::ListLoaded);
        }
        // Bound first, so that operators get answers whatever happens during the rest of the start.
        let admin_listener = match instance.admin_listen {
            Some(address) => {
                let bound = TcpListener::bind(address).await;
                Some(bound.map_err(|e| io::Error::other(format!("management={address}: {e}")))?)
            }
            None => None,
        };
        let site = &instance.site;
        let limiter = Limiter::new(site.settings.clone(), instance.seed).map_err(io::Error::other)?;
        let limiter = limiter.with_max_customers(instance.limits.max_customers());
        // Prevents this process's request ids from colliding with those of another process at this address.
        let (exchange, events) = Exchange::starting_at((deadlines.clock().now() as u64) << 20);
        let (commands, commands_receiver) = mpsc::unbounded_channel();
        let (successor, ended_attempts) = mpsc::unbounded_channel();
        let role = watch::Sender::new(role);
        let (local_notices, notices_receiver) = mpsc::unbounded_channel();
        let uses_consul = witness.is_some();
        let mut outputs =
            Outputs { commands, counter: None, successor, peers: None, local_notices: None, witness };
        let mut essential_tasks = JoinSet::new();
        if let Some(at) = instance.counter.filter(|_| site.settings.counter) {
            let (calls, calls_receiver) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            let at = ReloadableAddress::new(ways, at, |ways| ways.counter);
            let counter = CounterClient { address: at, deadlines: deadlines.clone(), log: log.clone() };
            essential_tasks.spawn_local(counter.run(calls_receiver, move |seq, answer| {
                exchange.send(EngineEvent::CounterAnswered(seq, answer))
            }));
            outputs.counter = Some(calls);
        }
        if let Some(socket) = peers {
            let peers = Peers::new(socket, instance.peers.clone(), role.subscribe(), log.clone());
            let (messages, messages_receiver) = mpsc::unbounded_channel();
            let exchange = exchange.clone();
            essential_tasks.spawn_local(peers.run(messages_receiver, move |from, bytes| {
                exchange.send(EngineEvent::PeerMessage(from, bytes))
            }));
            outputs.peers = Some(messages);
        }
        let phase = watch::Sender::new(Phase::Starting);
        let drain = watch::Sender::new(Drain::Inactive);
        let disabled_file = shared_path(instance, "bans");
        let disabled: Vec<String> = disabled_file.iter().flat_map(|path| load_disabled(path, log)).collect();
        let cluster = instance.cluster.as_ref().map(|fleet| {
            let now = deadlines.clock().now();
            let me = Identity {
                name: instance.name.clone(),
                number: site.settings.ingress.0,
                address: fleet.advertise,
                started_at: now as u64,
            };
            let fleet_id = FleetId { key: fleet_key(&fleet.fleet_name), size: site.settings.ingress_count };
            let cluster =
                Cluster::new(me, fleet_id, fleet.seeds.clone(), Timing::default(), instance.seed ^ 2, now);
            let cluster: SharedCluster = Rc::new(RefCell::new(cluster));
            let transport = Transport {
                cluster: cluster.clone(),
                listen: fleet.listen,
                role: role.subscribe(),
                phase: phase.subscribe(),
                local_notices: notices_receiver,
                drain: drain.clone(),
                notices_file: shared_path(instance, "notices")
                    .map(|path| RetriedFile::new(path, deadlines.clone(), log.clone())),
                deadlines: deadlines.clone(),
                log: log.clone(),
            };
            let (exchange, recovery) = (exchange.clone(), recovery.clone());
            spawn_local(transport.run(move |event| {
                if let ClusterEvent::LiveIngresses(live) = &event {
                    recovery.record(RecoveryEvent::FleetView(live.is_some()));
                }
                exchange.send(match event {
                    ClusterEvent::LiveIngresses(live) => EngineEvent::LiveIngresses(live),
                    ClusterEvent::BackendDisabled(name, disabled) => {
                        EngineEvent::DisabledElsewhere(name, disabled)
                    }
                })
            }));
            let _ = local_notices.send(LocalNotice::Restored(disabled.clone()));
            outputs.local_notices = Some(local_notices.clone());
            (cluster, local_notices)
        });
        let limits = EngineLimits {
            max_requests,
            max_attempts: site.settings.max_attempts,
            counter_timeout: site.settings.counter_timeout,
            retry_after: site.max_retry_after,
        };
        let maintenance = Maintenance::with_disabled(disabled);
        let subset = instance
            .subset_size
            .map(|size| Subset::new(site.settings.ingress, site.settings.ingress_count, size));
        let engine =
            Engine::new((limiter, maintenance), deadlines.clone(), events, outputs, limits, log.clone());
        let stats = Stats::new(site.classes.iter().map(|class| class.name.as_str()));
        let engine = engine.with_subset(subset).with_stats(stats.clone()).with_address_owners(!uses_consul);
        essential_tasks.spawn_local(engine.run(known));
        essential_tasks.spawn_local(close_after_announcement(drain.clone(), deadlines.clone()));
        let engine_exchange = exchange.clone();
        let engine = move |operation: Operation| -> Pin<Box<dyn Future<Output = OperationResult>>> {
            let (reply, answer) = oneshot::channel();
            engine_exchange.send(EngineEvent::Operate(operation, reply));
            Box::pin(async move { answer.await.unwrap_or(Err("the engine has ended")) })
        };
        let files = disabled_file.zip(shared_path(instance, "drained")).map(|(disabled, drained)| {
            SettingsFiles { disabled: RetriedFile::new(disabled, deadlines.clone(), log.clone()), drained }
        });
        let settings = OperatorSettings {
            engine: Box::new(engine),
            drain: drain.clone(),
            files,
            cluster: cluster.clone(),
        };
        let leader = if *role.borrow() == Role::Standby { Leader::Unknown } else { Leader::This };
        let replication = Replication::new(settings, leader, deadlines.clone(), log.clone());
        if let Some(listener) = admin_listener {
            let server = AdminServer {
                stats: stats.clone(),
                phase: phase.subscribe(),
                role: role.subscribe(),
                replication: replication.clone(),
                cluster: cluster.map(|(cluster, _)| cluster),
                recovery: recovery.recovery.clone(),
                deadlines: deadlines.clone(),
                log: log.clone(),
            };
            essential_tasks.spawn_local(server.run(listener));
        }
        Ok(Self {
            deadlines,
            exchange,
            commands: commands_receiver,
            essential_tasks,
            longest_deadline: site.classes.iter().map(|class| class.client_timeout).fold(0.0, f64::max),
            max_list_wait: MAX_LIST_WAIT,
            list_received: watch::Sender::new(false),
            stats,
            phase,
            drain,
            role,
            predecessor: watch::Sender::new(false),
            replication,
            ended_attempts,
            recovery,
        })
    }

    fn signals(&self) -> Signals {
        Signals {
            role: self.role.subscribe(),
            phase: self.phase.subscribe(),
            drain: self.drain.subscribe(),
            predecessor: self.predecessor.subscribe(),
        }
    }

    /// Returns the function that takes lists from discovery or Consul.
    fn list_receiver(&self) -> impl FnMut(BackendList) + use<Q, A> {
        let exchange = self.exchange.clone();
        let (list_received, recovery) = (self.list_received.clone(), self.recovery.clone());
        move |list| {
            recovery.record(RecoveryEvent::ListReceived);
            exchange.send(EngineEvent::BackendList(list));
            list_received.send_replace(true);
        }
    }

    /// Starts the watch on Consul for backends.
    fn watch_consul(
        &mut self,
        instance: &InstanceConfig,
        consul: Arc<ConsulConfig>,
        ways: &watch::Receiver<ReloadableConfig>,
        witness: Rc<FailureMonitor>,
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
        let list_receiver = self.list_receiver();
        self.essential_tasks.spawn_local(watch.run(list_receiver));
        // The first queries of a fleet that starts together are spread over this time, and no instance may
        // report that it is ready before its query.
        self.max_list_wait = MAX_LIST_WAIT + MAX_START_DELAY;
    }

    /// Serves until `stop` resolves, and then until `server`, which watches the phase, has answered all
    /// requests. `long_answers` is the number of answers that are forwarded in pieces; they may take longer
    /// than the other requests. `start_handover` is called once the first list has been received, or the wait
    /// for it has timed out.
    async fn serve(
        mut self,
        instance: &InstanceConfig,
        (mut server, long_answers): (JoinHandle<()>, watch::Receiver<usize>),
        start_handover: impl FnOnce(),
        stop: JoinHandle<()>,
        log: Logger,
    ) -> io::Result<()> {
        let mut list_received = self.list_received.subscribe();
        let first_list = list_received.wait_for(|received| *received);
        let _ = self.deadlines.within(self.max_list_wait, first_list).await;
        start_handover();
        let mut role = self.role.subscribe();
        let _ = role.wait_for(|role| *role != Role::Standby).await;
        self.phase.send_replace(Phase::Serving);
        self.recovery.clone().serving();
        info!(log, "serving"; "name" => &instance.name, "listen" => %instance.listen);
        tokio::select! {
            _ = stop => {}
            // An instance without its engine or one of its sides must not keep running: operators notice its
            // exit.
            ended = self.essential_tasks.join_next() => {
                return Err(io::Error::other(format!("an essential task ended: {ended:?}")));
            }
        }
        let told_at = self.deadlines.clock().now();
        info!(log, "stopping");
        self.phase.send_replace(Phase::Stopping);
        if *role.borrow() == Role::Active {
            self.deadlines.sleep(STOPPING_TIME).await;
        }
        self.phase.send_replace(Phase::Draining);
        let timeout = self.longest_deadline + DRAIN_SLACK;
        let mut drained = self.deadlines.within(timeout, &mut server).await.is_some();
        if !drained && *long_answers.borrow() > 0 {
            info!(log, "long answers are waited for"; "answers" => *long_answers.borrow());
            let time_left = told_at + MAX_TERMINATION_TIME - self.deadlines.clock().now();
            let _ = self.deadlines.within(time_left, none_left(long_answers)).await;
            drained = self.deadlines.within(DRAIN_SLACK, &mut server).await.is_some();
        }
        info!(log, "stopped"; "all_answered" => drained);
        Ok(())
    }
}

/// Waits until a count is 0, or is no longer kept.
async fn none_left(mut count: watch::Receiver<usize>) {
    let _ = count.wait_for(|count| *count == 0).await;
}

/// Runs an ingress of the platform on the given sockets until `stop` resolves. Must be called within a local
/// task set. `ways` holds the current addresses of discovery and of the counter, which a reload of the
/// configuration changes.
pub async fn serve(
    config: Config,
    sockets: impl Into<Sockets>,
    log: Logger,
    ways: watch::Receiver<ReloadableConfig>,
    stop: impl Future<Output = ()> + 'static,
) -> io::Result<()> {
    // Spawned first, so that a signal during the start is not lost.
    let stop = spawn_local(stop);
    let Config { instance, source, initial_list: known } = config;
    let (site, generation) = (&instance.site, known.as_ref().map(|known| known.generation));
    let ConnectionLimits { clients, rejected_clients, backends } = instance.limits.connection_limits();
    let elsewhere = PredecessorConnections::default();
    let Sockets { listener, peers, predecessor } = sockets.into();
    let peers = match instance.peer_listen.filter(|_| site.settings.peers) {
        Some(at) if peers.is_none() => Some(bind_peers(&instance, at)?),
        _ => peers,
    };
    let copy = |socket: BorrowedFd<'_>| socket.try_clone_to_owned();
    let outgoing_listener = copy(listener.as_fd())?;
    let outgoing_peers = peers.as_ref().map(|peers| copy(peers.as_fd())).transpose()?;
    let is_linked = matches!(predecessor, Predecessor::Linked(_));
    let role = if is_linked { Role::Standby } else { Role::Active };
    let peers = peers.map(UdpSocket::from_std).transpose()?;
    let witness = matches!(source, BackendSource::Consul(_)).then(Rc::<FailureMonitor>::default);
    let engine_options = (clients, witness.clone());
    let mut core =
        Core::<Question, Answer>::start(&instance, &ways, known, engine_options, (peers, role), &log).await?;
    let (leaving_clients, outgoing_clients) = mpsc::unbounded_channel();
    let (adopted_clients, incoming_clients) = mpsc::unbounded_channel();
    let (leaving_backends, outgoing_backends) = mpsc::unbounded_channel();
    let (adopted_backends, incoming_backends) = mpsc::unbounded_channel();
    let backend_connections = Rc::new(Cell::new(0));
    let links = UpgradeLinks {
        role: core.role.subscribe(),
        idle_connections: leaving_backends,
        open_elsewhere: elsewhere.clone(),
        open_connections: backend_connections.clone(),
    };
    let handover = Rc::new(Handover {
        exchange: core.exchange.clone(),
        role: core.role.clone(),
        phase: core.phase.subscribe(),
        predecessor: core.predecessor.clone(),
        drain: core.drain.clone(),
        replication: core.replication.clone(),
        adopted_clients,
        adopted_backends,
        elsewhere: elsewhere.clone(),
        backend_connections,
        deadlines: core.deadlines.clone(),
        log: log.clone(),
    });
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let budget =
        |max_bytes, owner| MemoryBudget::with_gauge(max_bytes, elsewhere.clone(), core.stats.clone(), owner);
    let max_message_bytes = instance.limits.max_message_bytes();
    let client_budget = budget(max_message_bytes, MemoryOwner::Clients);
    let backend_budget = budget(max_message_bytes, MemoryOwner::Backends);
    let urgent_budget = budget(instance.limits.max_urgent_bytes(), MemoryOwner::UrgentUploads);
    let large_buffers = budget(instance.limits.max_large_socket_buffer_bytes(), MemoryOwner::SocketBuffers);
    let socket_buffers = SocketBuffers::new(instance.limits.socket_buffer_bytes(), large_buffers);
    socket_buffers.apply(&listener);
    let room = (backends, backend_budget, socket_buffers.clone());
    let client_side = ClientSide::new(
        exchange.clone(),
        deadlines.clone(),
        site.clone(),
        room,
        core.stats.clone(),
        links,
        log.clone(),
    );
    let commands = std::mem::replace(&mut core.commands, mpsc::unbounded_channel().1);
    core.essential_tasks.spawn_local(client_side.run(commands, incoming_backends));
    match source {
        BackendSource::Discovery(agent) => {
            let agent = ReloadableAddress::new(&ways, agent, |ways| ways.discovery);
            let (deadlines, seed) = (deadlines.clone(), instance.seed);
            let discovery = Discovery { agent, site: site.clone(), deadlines, seed, log: log.clone() };
            let list_receiver = core.list_receiver();
            core.essential_tasks.spawn_local(discovery.run(generation, list_receiver));
        }
        BackendSource::Consul(consul) => {
            core.watch_consul(&instance, consul, &ways, witness.unwrap_or_default(), &log)
        }
    }
    let (idle, last) = (instance.limits.max_idle_clients(), core.longest_deadline);
    let limits = ServerLimits {
        max_connections: clients,
        max_rejected_connections: rejected_clients,
        max_idle_connections: idle,
        memory_budget: client_budget,
        urgent_budget,
        socket_buffers,
        drain_timeout: last.min(MAX_DRAIN_TIMEOUT),
    };
    let reader = site.clone();
    let read = move |head: &_, body, whole| platform::read(head, body, whole, &reader);
    let (signals, stats) = ((core.signals(), leaving_clients), core.stats.clone());
    let bounds = (limits, site.max_retry_after);
    let server_side = ServerSide::new(read, exchange, deadlines, signals, stats, bounds, log.clone());
    let long_answers = server_side.long_answers();
    let server = (spawn_local(server_side.run(listener, incoming_clients)), long_answers);
    let path = shared_path(&instance, "next");
    let ended_attempts = std::mem::replace(&mut core.ended_attempts, mpsc::unbounded_channel().1);
    let outgoing = Outgoing {
        clients: outgoing_clients,
        backends: outgoing_backends,
        ended_attempts,
        listener: outgoing_listener,
        peers: outgoing_peers,
    };
    let able = watch::Sender::new(false);
    let settings = core.replication.settings();
    let claimed = match (predecessor, &path) {
        (Predecessor::Linked(link), Some(path)) => {
            spawn_local(handover.clone().take_over(link, path.clone(), able.subscribe()));
            None
        }
        (Predecessor::Silent(link), Some(path)) => {
            settings.restore_drain();
            spawn_local(handover.clone().await_silent(link));
            Rendezvous::listen(path).ok()
        }
        // A drain ends with the last process at an address.
        _ => {
            settings.save_drain();
            None
        }
    };
    let mut role = core.role.subscribe();
    let start_handover = move || {
        able.send_replace(true);
        if let Some(path) = path {
            spawn_local(async move {
                let _ = role.wait_for(|role| *role == Role::Active).await;
                handover.serve_successor(path, claimed, outgoing).await
            });
        }
    };
    core.serve(&instance, server, start_handover, stop, log).await
}

/// Runs an instance of the external authorisation front on a listener until `stop` resolves. Must be called
/// within a local task set. `ways` holds the current addresses of Consul and of the counter, which a reload
/// of the configuration changes.
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
    let buffer_bytes = instance.limits.authz_socket_buffer_bytes();
    let no_large_buffers = MemoryBudget::new(0, PredecessorConnections::default());
    SocketBuffers::new(buffer_bytes, no_large_buffers).apply(&listener);
    let backlog = instance.limits.listen_backlog(buffer_bytes);
    rustix::net::listen(&listener, i32::try_from(backlog).unwrap_or(i32::MAX))?;
    let max_connections = instance.limits.max_authz_connections();
    let limits = CheckLimits {
        max_connections,
        max_age: Duration::from_secs_f64(authz.max_connection_age / 1000.0),
        max_bytes: instance.limits.max_message_bytes(),
    };
    let max_checks = max_connections * CHECKS_PER_CONNECTION;
    let peers = instance.peer_listen.filter(|_| site.settings.peers);
    let peers = peers.map(|at| bind_peers(&instance, at)).transpose()?;
    let peers = peers.map(UdpSocket::from_std).transpose()?;
    let peers_and_role = (peers, Role::Active);
    let witness = Rc::<FailureMonitor>::default();
    let engine_options = (max_checks, Some(witness.clone()));
    let mut core =
        Core::<Check, Bytes>::start(&instance, &ways, None, engine_options, peers_and_role, &log).await?;
    let (deadlines, exchange) = (core.deadlines.clone(), core.exchange.clone());
    let authorisers =
        Authorisers::new(exchange.clone(), deadlines.clone(), site.clone(), core.stats.clone(), log.clone());
    let commands = std::mem::replace(&mut core.commands, mpsc::unbounded_channel().1);
    core.essential_tasks.spawn_local(authorisers.run(commands));
    core.watch_consul(&instance, consul, &ways, witness, &log);
    let front = Arc::new(Front { site: site.clone(), authz });
    let service = CheckService::new(front, exchange, core.stats.clone());
    let (mut phase, signals, server_log) = (core.phase.subscribe(), core.signals(), log.clone());
    let server = spawn_local(async move {
        // Connections that arrive before the first list wait in the backlog.
        let _ = phase.wait_for(|phase| *phase >= Phase::Serving).await;
        service::serve(service, listener, limits, signals, server_log).await;
    });
    let no_long_answers = watch::channel(0).1;
    core.serve(&instance, (server, no_long_answers), || {}, stop, log).await
}
