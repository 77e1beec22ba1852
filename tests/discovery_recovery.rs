//! Recovery of discovery watches after failed calls. Every ingress must receive a change within 6 s of the moment at
//! which discovery has it and can be reached, whatever pauses follow failed, refused or timed-out calls. The watches of
//! a fleet meet an agent that fails in one way for a while and then answers; each of them must receive its list in time.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use socket2::SockRef;
use stand_ins::ingress::ingress_config;
use stand_ins::{discarding_logger, listener, local, message, swept_deadlines};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};
use tokio::task::{AbortHandle, JoinHandle, spawn_local};
use weldhub::config::{Config, ReloadableConfig};
use weldhub::entries::BackendList;
use weldhub::net::discovery::Discovery;
use weldhub::net::http::MessageKind;
use weldhub::net::stream::ReloadableAddress;

/// The time within which a list must be received once discovery can be reached.
const DELIVERY_DEADLINE: Duration = Duration::from_secs(6);
/// How long the agent fails: long enough for several calls.
const OUTAGE: Duration = Duration::from_secs(9);
/// The number of ingresses of the fleet that watch in a test.
const WATCHES: u64 = 24;
/// The size of the fleet in the configuration, which sets the pauses between calls.
const FLEET_SIZE: u16 = 300;

/// How the agent fails a call.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    /// Nothing listens at its address.
    Refused,
    /// The connection is reset in the middle of the answer's head.
    ResetInHead,
    /// The connection is reset in the middle of a line.
    ResetInLine,
    /// The answer is 503, and the connection stays open.
    ServerError,
    /// The call is never answered, not even after the outage.
    NeverAnswered,
}

/// A stand-in for discovery's agent that can fail.
struct Agent {
    at: SocketAddr,
    /// How it fails calls; `None` if it answers them with a complete list.
    fault: Cell<Option<Fault>>,
    /// The generation of that list.
    generation: Cell<u64>,
    /// The tasks that serve connections.
    connections: RefCell<Vec<AbortHandle>>,
}

impl Agent {
    async fn start(fault: Option<Fault>, generation: u64) -> Rc<Self> {
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let (fault, generation) = (Cell::new(fault), Cell::new(generation));
        let this = Rc::new(Self { at, fault, generation, connections: RefCell::default() });
        spawn_local(this.clone().serve(listener));
        this
    }

    async fn serve(self: Rc<Self>, mut listener: TcpListener) {
        loop {
            if self.fault.get() == Some(Fault::Refused) {
                drop(listener);
                while self.fault.get() == Some(Fault::Refused) {
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
                listener = TcpListener::bind(self.at).await.unwrap();
            }
            let (stream, _) = listener.accept().await.unwrap();
            // With a linger time of 0 the connection is reset when it is dropped.
            SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
            let answering = spawn_local(self.clone().answer(stream));
            self.connections.borrow_mut().push(answering.abort_handle());
        }
    }

    async fn answer(self: Rc<Self>, mut stream: TcpStream) {
        if message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.is_none() {
            return;
        }
        let fault = self.fault.get();
        let list = json!({"generation": self.generation.get(), "reset": true, "instances": []});
        let line = format!("{list}\n");
        let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
        let response = format!("{head}{:x}\r\n{line}\r\n", line.len());
        let sent = match fault {
            None => &response[..],
            Some(Fault::ResetInHead) => &response[..20],
            Some(Fault::ResetInLine) => &response[..response.len() - 10],
            Some(Fault::ServerError) => "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
            Some(Fault::NeverAnswered | Fault::Refused) => "",
        };
        if stream.write_all(sent.as_bytes()).await.is_err() {
            return;
        }
        if matches!(fault, Some(Fault::ResetInHead | Fault::ResetInLine)) {
            return tokio::time::sleep(Duration::from_millis(5)).await;
        }
        // The connection stays open; without a fault it carries a keep-alive every 2 s.
        while fault.is_some() || stream.write_all(b"1\r\n\n\r\n").await.is_ok() {
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
    }

    /// Resets all connections.
    fn reset_connections(&self) {
        self.connections.borrow_mut().drain(..).for_each(|answering| answering.abort());
    }
}

/// The discovery watch of one ingress.
struct Watcher {
    config: watch::Sender<ReloadableConfig>,
    /// The lists that the watch delivers.
    lists: mpsc::UnboundedReceiver<BackendList>,
    running: JoinHandle<()>,
}

impl Drop for Watcher {
    fn drop(&mut self) {
        self.running.abort();
    }
}

impl Watcher {
    /// Starts a watch as a new process does. A third of them (by seed) start without a known list.
    fn start(agent: SocketAddr, mode: &str, seed: u64) -> Self {
        let mut config_json = ingress_config(agent, vec![]);
        config_json["settings"]["balancers"] = json!(FLEET_SIZE);
        config_json["settings"]["membershipMode"] = json!(mode);
        let config = Config::read(&config_json.to_string(), |_| None).unwrap();
        let (updates, reloadable) = watch::channel(config.reloadable());
        let agent = ReloadableAddress::new(&reloadable, agent, |config| config.discovery);
        let site = config.instance.site;
        let discovery =
            Discovery { agent, site, deadlines: swept_deadlines(), seed, log: discarding_logger() };
        let (sender, lists) = mpsc::unbounded_channel();
        let known = (!seed.is_multiple_of(3)).then_some(41);
        let running = spawn_local(discovery.run(known, move |list| drop(sender.send(list))));
        Self { config: updates, lists, running }
    }

    /// Waits for the list of this generation.
    async fn receives(&mut self, generation: u64) {
        while self.lists.recv().await.unwrap().generation != generation {}
    }
}

/// Checks that every watch receives the list of this generation within [`DELIVERY_DEADLINE`] of `since`; the error names
/// the scenario and the number of watches that did not.
async fn all_receive(
    watchers: &mut [Watcher],
    generation: u64,
    since: Instant,
    scenario: &str,
) -> Result<(), String> {
    let mut late = 0;
    for watcher in &mut *watchers {
        let received = tokio::time::timeout(
            DELIVERY_DEADLINE.saturating_sub(since.elapsed()),
            watcher.receives(generation),
        );
        late += usize::from(received.await.is_err());
    }
    if late == 0 {
        Ok(())
    } else {
        Err(format!("{scenario}: {late} of {WATCHES} received no list within {DELIVERY_DEADLINE:?}"))
    }
}

/// Starts the watches of a fleet with this membership mode.
fn fleet(agent: &Agent, mode: &str) -> Vec<Watcher> {
    (0..WATCHES).map(|seed| Watcher::start(agent.at, mode, seed)).collect()
}

/// The agent fails when the watches start, and recovers after [`OUTAGE`].
async fn fails_from_the_start(fault: Fault, mode: &'static str) -> Result<(), String> {
    let agent = Agent::start(Some(fault), 50).await;
    let mut watchers = fleet(&agent, mode);
    tokio::time::sleep(OUTAGE).await;
    agent.fault.set(None);
    let recovered = Instant::now();
    all_receive(&mut watchers, 50, recovered, &format!("{fault:?}, {mode}")).await
}

/// A new configuration points the watches to an agent that fails; that agent recovers after [`OUTAGE`].
async fn fails_after_a_new_configuration(fault: Fault, mode: &'static str) -> Result<(), String> {
    let first = Agent::start(None, 50).await;
    let mut watchers = fleet(&first, mode);
    all_receive(&mut watchers, 50, Instant::now(), "the first agent").await?;
    let second = Agent::start(Some(fault), 60).await;
    for watcher in &watchers {
        watcher.config.send_modify(|config| config.discovery = Some(second.at));
    }
    tokio::time::sleep(OUTAGE).await;
    second.fault.set(None);
    let recovered = Instant::now();
    all_receive(&mut watchers, 60, recovered, &format!("{fault:?} after SIGHUP, {mode}")).await
}

/// All watches work for a while and are reset at the same moment, right before a change.
async fn working_watches_are_reset(mode: &'static str) -> Result<(), String> {
    let agent = Agent::start(None, 50).await;
    let mut watchers = fleet(&agent, mode);
    all_receive(&mut watchers, 50, Instant::now(), "the first list").await?;
    // Longer than a watch has to last to be reopened without a pause.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    agent.reset_connections();
    agent.generation.set(51);
    all_receive(&mut watchers, 51, Instant::now(), &format!("all were reset, {mode}")).await
}

const FAULTS: [Fault; 5] =
    [Fault::Refused, Fault::ResetInHead, Fault::ResetInLine, Fault::ServerError, Fault::NeverAnswered];

/// Runs all scenarios for a membership mode at the same time.
async fn run_scenarios(mode: &'static str) {
    let mut running_scenarios = vec![spawn_local(working_watches_are_reset(mode))];
    for fault in FAULTS {
        running_scenarios.push(spawn_local(fails_from_the_start(fault, mode)));
        running_scenarios.push(spawn_local(fails_after_a_new_configuration(fault, mode)));
    }
    let mut late = Vec::new();
    for scenario in running_scenarios {
        late.extend(scenario.await.unwrap().err());
    }
    assert!(late.is_empty(), "{late:#?}");
}

#[test]
fn requested_lists_arrive_in_time_after_any_call_failure() {
    local(run_scenarios("on_request"));
}

#[test]
fn pushed_lists_arrive_in_time_after_any_call_failure() {
    local(run_scenarios("pushed"));
}
