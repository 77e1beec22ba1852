//! Simulation of the membership among ingresses at fleet sizes that cannot be run as processes.
//!
//! Each ingress is the shipped [`Cluster`]; datagrams are delayed or lost, and ingresses are killed and
//! paused, all drawn from the seed. Measures how soon a kill is known, how many live ingresses are taken for
//! dead, and the traffic.

use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use weldhub::cluster::packet::{Identity, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

/// The most ingresses of a run.
pub const MAX_INSTANCES: usize = 4000;

/// Parameters of a run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct MembershipSetup {
    /// Number of ingresses.
    pub instances: usize,
    /// Fraction of datagrams that is lost.
    pub loss: f64,
    /// Mean delay of a datagram, in milliseconds; the delays are uniform from 0.2 to 1.8 times the mean.
    pub delay: f64,
    /// Mean time between two pauses of an ingress, in seconds; 0 for no pauses.
    pub pause_every: f64,
    /// Length of a pause, in milliseconds.
    pub pause: f64,
    /// Time between two kills, in seconds; 0 for no kills.
    pub kill_every: f64,
    /// Number of ingresses killed at once.
    pub kill: usize,
    /// Length of the run once all ingresses know each other, in seconds.
    pub seconds: f64,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Results of a run. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct MembershipOutcome {
    /// Time from the start of the first ingress until all know each other; all start within one second.
    pub joined: f64,
    /// Time from a kill until a survivor knows of it, over all kills and survivors: median, 99th percentile,
    /// maximum.
    pub known: [f64; 3],
    /// Number of kills that at least one survivor did not learn of.
    pub unknown: usize,
    /// Number of times that a live ingress was taken for dead; repeats for one ingress less than 10 s apart
    /// count once.
    pub wrong: usize,
    /// `wrong` per hour, for the whole fleet.
    pub wrong_an_hour: f64,
    /// Bytes that an ingress sends in a second: the mean, and the maximum over all ingresses and seconds.
    pub bytes: [f64; 2],
    /// Mean number of datagrams that an ingress sends in a second.
    pub datagrams: f64,
    /// Maximum of the bytes that an ingress sends in a second while the fleet starts.
    pub joining: f64,
}

/// An entry of the event queue, ordered by time (in microseconds) and sequence number: the receiving node,
/// and for a datagram its sender and payload; `None` if the node's timer is due.
type QueuedEvent = Reverse<(u64, u64, usize, Option<(usize, Vec<u8>)>)>;

/// Base of the clusters' clock, in milliseconds since the Unix epoch.
const EPOCH_MS: f64 = 1e12;

struct Node {
    cluster: Cluster,
    runs: bool,
    /// End of the current pause, in microseconds.
    paused_until: u64,
    /// Time at which the timer is due, in microseconds.
    timer_due: u64,
    /// Bytes sent in the current second.
    bytes_this_second: u64,
    /// Most bytes sent in any second.
    max_bytes_per_second: u64,
    /// Number of other nodes that it takes for live.
    live_peers: usize,
}

/// The observation that a node declared another one dead.
struct DeathObservation {
    /// Time, in microseconds.
    at: u64,
    dead: usize,
}

/// A node that was killed.
struct Kill {
    /// Time, in microseconds.
    at: u64,
    node: usize,
}

struct Simulation {
    /// Current time, in microseconds.
    now: u64,
    /// Sequence number of the last queued event.
    sequence: u64,
    queue: BinaryHeap<QueuedEvent>,
    nodes: Vec<Node>,
    rng: fastrand::Rng,
    loss: f64,
    delay: f64,
    deaths: Vec<DeathObservation>,
    total_bytes: u64,
    total_datagrams: u64,
}

fn address_of(n: usize) -> SocketAddr {
    // 1,000 ports on each address.
    let block = (n / 1000) as u8;
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, block), 7000 + (n % 1000) as u16))
}

fn node_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = address else { return usize::MAX };
    usize::from(v4.ip().octets()[3]) * 1000 + usize::from(v4.port()).wrapping_sub(7000)
}

/// Returns the clusters' time in milliseconds for a time of the simulation in microseconds.
fn cluster_time(now: u64) -> f64 {
    EPOCH_MS + now as f64 / 1000.0
}

impl Simulation {
    fn new(setup: &MembershipSetup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let nodes: Vec<Node> = (0..setup.instances).map(|n| new_node(n, setup.instances, &mut rng)).collect();
        let mut simulation = Self {
            now: 0,
            sequence: 0,
            queue: BinaryHeap::new(),
            nodes,
            rng,
            loss: setup.loss,
            delay: setup.delay,
            deaths: Vec::new(),
            total_bytes: 0,
            total_datagrams: 0,
        };
        for n in 0..setup.instances {
            let begins = simulation.nodes[n].paused_until;
            simulation.push(begins, n, None);
        }
        simulation
    }

    fn push(&mut self, at: u64, to: usize, datagram: Option<(usize, Vec<u8>)>) {
        self.sequence += 1;
        self.queue.push(Reverse((at, self.sequence, to, datagram)));
    }

    fn apply(&mut self, n: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let to = node_at(to);
                    self.total_bytes += bytes.len() as u64;
                    self.total_datagrams += 1;
                    self.nodes[n].bytes_this_second += bytes.len() as u64;
                    if to < self.nodes.len() && self.rng.f64() >= self.loss {
                        let delay = self.delay * (0.2 + 1.6 * self.rng.f64()) * 1000.0;
                        self.push(self.now + delay as u64, to, Some((n, bytes)));
                    }
                }
                Action::StateChanged(id, before, state) => {
                    let is_live = |state: Option<State>| state.is_some_and(|s| s <= State::Suspect);
                    let node = &mut self.nodes[n];
                    match (is_live(before), is_live(Some(state))) {
                        (false, true) => node.live_peers += 1,
                        (true, false) => node.live_peers -= 1,
                        _ => {}
                    }
                    if state == State::Dead {
                        self.deaths.push(DeathObservation { at: self.now, dead: usize::from(id.number) });
                    }
                }
                _ => {}
            }
        }
    }

    /// Processes all events up to `until` and ends the current second of the byte counts.
    fn run(&mut self, until: u64) {
        while let Some(Reverse((at, _, n, datagram))) = self.queue.pop_if_due(until) {
            self.now = self.now.max(at);
            let node = &mut self.nodes[n];
            if !node.runs {
                continue;
            }
            if node.paused_until > self.now {
                let later = node.paused_until;
                self.push(later, n, datagram);
                continue;
            }
            let (now, mut actions) = (cluster_time(self.now), Vec::new());
            let ticked = datagram.is_none();
            match datagram {
                Some((from, bytes)) => node.cluster.receive(now, address_of(from), &bytes, &mut actions),
                None if node.timer_due > self.now => continue,
                None => node.cluster.tick(now, &mut actions),
            }
            // One microsecond later, as the time in milliseconds is not exact to a microsecond.
            let due = ((node.cluster.due() - EPOCH_MS) * 1000.0).ceil() as u64 + 1;
            if due != node.timer_due || ticked {
                node.timer_due = due;
                self.push(due.max(self.now + 1), n, None);
            }
            self.apply(n, actions);
        }
        self.now = until;
        for node in &mut self.nodes {
            node.max_bytes_per_second = node.max_bytes_per_second.max(node.bytes_this_second);
            node.bytes_this_second = 0;
        }
    }

    /// Returns whether each running node takes as many others for live as are running.
    fn has_converged(&self) -> bool {
        let running = self.nodes.iter().filter(|node| node.runs).count();
        self.nodes.iter().filter(|node| node.runs).all(|node| node.live_peers + 1 == running)
    }
}

trait PopDue {
    fn pop_if_due(&mut self, until: u64) -> Option<QueuedEvent>;
}

impl PopDue for BinaryHeap<QueuedEvent> {
    fn pop_if_due(&mut self, until: u64) -> Option<QueuedEvent> {
        self.peek().is_some_and(|Reverse((at, ..))| *at <= until).then(|| self.pop()).flatten()
    }
}

fn new_node(n: usize, count: usize, rng: &mut fastrand::Rng) -> Node {
    let id = Identity {
        name: format!("ingress-{n:04}"),
        number: n as u16,
        address: address_of(n),
        started_at: 1_000_000_000_000,
    };
    let seeds = [0, 1, 2, (n + 1) % count].map(address_of).to_vec();
    let fleet = FleetId { key: fleet_key("emulated"), size: count as u16 };
    let cluster = Cluster::new(id, fleet, seeds, Timing::default(), rng.u64(..), EPOCH_MS);
    Node {
        cluster,
        runs: true,
        paused_until: rng.u64(..1_000_000),
        timer_due: 0,
        bytes_this_second: 0,
        max_bytes_per_second: 0,
        live_peers: 0,
    }
}

/// Runs the simulation.
///
/// # Errors
/// Returns an error if the setup is invalid, or if the ingresses don't all know each other within 300 s.
pub fn run(setup: &MembershipSetup) -> Result<MembershipOutcome, String> {
    if !(2..=MAX_INSTANCES).contains(&setup.instances) || !(0.0..1.0).contains(&setup.loss) {
        return Err(format!("instances must lie between 2 and {MAX_INSTANCES}, loss between 0 and 1"));
    }
    let mut simulation = Simulation::new(setup);
    let mut outcome = MembershipOutcome::default();
    while !simulation.has_converged() {
        if simulation.now > 300_000_000 {
            return Err("not all ingresses knew each other within 300 s".into());
        }
        simulation.run(simulation.now + 1_000_000);
    }
    outcome.joined = simulation.now as f64 / 1000.0;
    outcome.joining =
        simulation.nodes.iter().map(|node| node.max_bytes_per_second).max().unwrap_or_default() as f64;
    // Lets the messages of the start die down before anything is measured.
    simulation.run(simulation.now + 20_000_000);
    simulation.nodes.iter_mut().for_each(|node| {
        node.bytes_this_second = 0;
        node.max_bytes_per_second = 0;
    });
    (simulation.total_bytes, simulation.total_datagrams, simulation.deaths) = (0, 0, Vec::new());
    let (started, mut kills) = (simulation.now, Vec::<Kill>::new());
    for second in 0..setup.seconds.ceil() as u64 {
        let elapsed = second as f64;
        if setup.kill_every > 0.0
            && elapsed % setup.kill_every == 0.0
            && elapsed + setup.kill_every <= setup.seconds
        {
            for _ in 0..setup.kill {
                let n = simulation.rng.usize(..setup.instances);
                if simulation.nodes[n].runs {
                    simulation.nodes[n].runs = false;
                    kills.push(Kill { at: simulation.now, node: n });
                }
            }
        }
        for n in 0..setup.instances {
            if setup.pause_every > 0.0 && simulation.rng.f64() < 1.0 / setup.pause_every {
                simulation.nodes[n].paused_until = simulation.now + (setup.pause * 1000.0) as u64;
            }
        }
        simulation.run(simulation.now + 1_000_000);
    }
    let seconds = (simulation.now - started) as f64 / 1e6;
    summarize(&simulation, &kills, seconds, &mut outcome);
    Ok(outcome)
}

/// Writes the results of a run of `seconds` to `outcome`.
fn summarize(simulation: &Simulation, kills: &[Kill], seconds: f64, outcome: &mut MembershipOutcome) {
    let mut known = Vec::new();
    for kill in kills {
        let delays: Vec<u64> = simulation
            .deaths
            .iter()
            .filter(|death| death.dead == kill.node && death.at >= kill.at)
            .map(|death| death.at - kill.at)
            .collect();
        let survivors = simulation.nodes.iter().filter(|node| node.runs).count();
        outcome.unknown += usize::from(delays.len() < survivors);
        known.extend(delays);
    }
    known.sort_unstable();
    let quantile = |p: f64| known.get(((known.len() as f64 * p) as usize).min(known.len().saturating_sub(1)));
    outcome.known = [0.5, 0.99, 1.0].map(|p| quantile(p).map_or(0.0, |us| *us as f64 / 1000.0));
    let was_live =
        |death: &&DeathObservation| !kills.iter().any(|kill| kill.node == death.dead && kill.at <= death.at);
    // Several nodes that take one for dead within 10 s count as one mistake.
    let mut wrong: Vec<(usize, u64)> =
        simulation.deaths.iter().filter(was_live).map(|death| (death.dead, death.at)).collect();
    wrong.sort_unstable();
    wrong.dedup_by(|b, a| a.0 == b.0 && b.1 - a.1 < 10_000_000);
    outcome.wrong = wrong.len();
    outcome.wrong_an_hour = wrong.len() as f64 * 3600.0 / seconds.max(1.0);
    let node_seconds = simulation.nodes.len() as f64 * seconds.max(1.0);
    let max_bytes =
        simulation.nodes.iter().map(|node| node.max_bytes_per_second).max().unwrap_or_default() as f64;
    outcome.bytes = [simulation.total_bytes as f64 / node_seconds, max_bytes];
    outcome.datagrams = simulation.total_datagrams as f64 / node_seconds;
}

#[cfg(test)]
mod tests;
