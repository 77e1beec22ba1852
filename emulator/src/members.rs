//! Membership among ingresses at sizes that processes don't reach: the shipped [`Cluster`] for each instance, datagrams
//! that are late or lost, kills and pauses by the seed. What is measured: when a kill is known, who is taken for dead and
//! lives, and what it costs.

use serde::Serialize;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use weldhub::cluster::packet::{Identity, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

/// The most instances of a run.
pub const MOST: usize = 4000;

/// A run.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Setup {
    /// How many instances.
    pub instances: usize,
    /// The part of datagrams that is lost.
    pub loss: f64,
    /// Their mean time on the way, in milliseconds; each takes 0.2 to 1.8 times as long.
    pub delay: f64,
    /// Each instance stands still once in so many seconds, on average; never: 0.
    pub pause_every: f64,
    /// For so long, in milliseconds.
    pub pause: f64,
    /// One is killed each so many seconds; never: 0.
    pub kill_every: f64,
    /// So many at once.
    pub kill: usize,
    /// How long it lasts once all know all, in seconds.
    pub seconds: f64,
    /// For chance.
    pub seed: u64,
}

/// What a run came to. Times are in milliseconds.
#[derive(Debug, Clone, PartialEq, Default, Serialize)]
pub struct Outcome {
    /// When all first knew all, from the first start on; all start within a second.
    pub joined: f64,
    /// From each kill to each survivor's knowing it: median, 99th of 100, the last.
    pub known: [f64; 3],
    /// Kills that some survivor never knew.
    pub unknown: usize,
    /// Instances that lived and were taken for dead by somebody.
    pub wrong: usize,
    /// The same, an hour of the fleet.
    pub wrong_an_hour: f64,
    /// Bytes that an instance sends in a second: mean, and the most of any instance in any second.
    pub bytes: [f64; 2],
    /// Datagrams of an instance in a second, mean.
    pub datagrams: f64,
    /// The most bytes of an instance in a second while all began.
    pub joining: f64,
}

/// A datagram on its way, or a time to look: when, order, to whom, and from whom with what.
type Event = Reverse<(u64, u64, usize, Option<(usize, Vec<u8>)>)>;

struct Node {
    cluster: Cluster,
    runs: bool,
    /// It stands still until then, in microseconds.
    paused: u64,
    /// When it is to be looked at next.
    due: u64,
    /// Bytes sent in this second, and the most in any.
    sent: [u64; 2],
    /// Instances that it takes to live, by number.
    sees: usize,
}

struct World {
    now: u64,
    order: u64,
    queue: BinaryHeap<Event>,
    nodes: Vec<Node>,
    rng: fastrand::Rng,
    loss: f64,
    delay: f64,
    /// Deaths as they were seen: when, by whom, of whom.
    deaths: Vec<(u64, usize, usize)>,
    totals: [u64; 2],
}

fn at(n: usize) -> SocketAddr {
    // A port of its own in blocks of 1,000, an address for each block.
    let block = (n / 1000) as u8;
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, block), 7000 + (n % 1000) as u16))
}

fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(v4) = at else { return usize::MAX };
    usize::from(v4.ip().octets()[3]) * 1000 + usize::from(v4.port()).wrapping_sub(7000)
}

fn millis(now: u64) -> f64 {
    1e12 + now as f64 / 1000.0
}

impl World {
    fn new(setup: &Setup) -> Self {
        let mut rng = fastrand::Rng::with_seed(setup.seed);
        let nodes: Vec<Node> = (0..setup.instances).map(|n| node(n, setup.instances, &mut rng)).collect();
        let mut this = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            nodes,
            rng,
            loss: setup.loss,
            delay: setup.delay,
            deaths: Vec::new(),
            totals: [0; 2],
        };
        for n in 0..setup.instances {
            let begins = this.nodes[n].paused;
            this.push(begins, n, None);
        }
        this
    }

    fn push(&mut self, when: u64, to: usize, what: Option<(usize, Vec<u8>)>) {
        self.order += 1;
        self.queue.push(Reverse((when, self.order, to, what)));
    }

    fn act(&mut self, n: usize, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send(to, bytes) => {
                    let to = number(to);
                    self.totals = [self.totals[0] + bytes.len() as u64, self.totals[1] + 1];
                    self.nodes[n].sent[0] += bytes.len() as u64;
                    if to < self.nodes.len() && self.rng.f64() >= self.loss {
                        let way = self.delay * (0.2 + 1.6 * self.rng.f64()) * 1000.0;
                        self.push(self.now + way as u64, to, Some((n, bytes)));
                    }
                }
                Action::StateChanged(id, before, state) => {
                    let lives = |state: Option<State>| state.is_some_and(|s| s <= State::Suspect);
                    let node = &mut self.nodes[n];
                    match (lives(before), lives(Some(state))) {
                        (false, true) => node.sees += 1,
                        (true, false) => node.sees -= 1,
                        _ => {}
                    }
                    if state == State::Dead {
                        self.deaths.push((self.now, n, usize::from(id.number)));
                    }
                }
                _ => {}
            }
        }
    }

    fn run(&mut self, until: u64) {
        while let Some(Reverse((when, _, n, what))) = self.queue.pop_if_due(until) {
            self.now = self.now.max(when);
            let node = &mut self.nodes[n];
            if !node.runs {
                continue;
            }
            if node.paused > self.now {
                let later = node.paused;
                self.push(later, n, what);
                continue;
            }
            let (now, mut acts) = (millis(self.now), Vec::new());
            let ticked = what.is_none();
            match what {
                Some((from, bytes)) => node.cluster.receive(now, at(from), &bytes, &mut acts),
                None if node.due > self.now => continue,
                None => node.cluster.tick(now, &mut acts),
            }
            // A microsecond later: a time in milliseconds is not exact to one.
            let due = ((node.cluster.due() - 1e12) * 1000.0).ceil() as u64 + 1;
            if due != node.due || ticked {
                node.due = due;
                self.push(due.max(self.now + 1), n, None);
            }
            self.act(n, acts);
        }
        self.now = until;
        for node in &mut self.nodes {
            node.sent = [0, node.sent[1].max(node.sent[0])];
        }
    }

    /// Whether all that run see all that run, and nobody else.
    fn whole(&self) -> bool {
        let run = self.nodes.iter().filter(|node| node.runs).count();
        self.nodes.iter().filter(|node| node.runs).all(|node| node.sees + 1 == run)
    }
}

trait PopDue {
    fn pop_if_due(&mut self, until: u64) -> Option<Event>;
}

impl PopDue for BinaryHeap<Event> {
    fn pop_if_due(&mut self, until: u64) -> Option<Event> {
        self.peek().is_some_and(|Reverse((when, ..))| *when <= until).then(|| self.pop()).flatten()
    }
}

fn node(n: usize, count: usize, rng: &mut fastrand::Rng) -> Node {
    let id = Identity {
        name: format!("ingress-{n:04}"),
        number: n as u16,
        address: at(n),
        started_at: 1_000_000_000_000,
    };
    let seeds = [0, 1, 2, (n + 1) % count].map(at).to_vec();
    let fleet = FleetId { key: fleet_key("emulated"), size: count as u16 };
    let cluster = Cluster::new(id, fleet, seeds, Timing::default(), rng.u64(..), 1e12);
    Node { cluster, runs: true, paused: rng.u64(..1_000_000), due: 0, sent: [0; 2], sees: 0 }
}

/// Plays it.
///
/// # Errors
/// What is wrong with the setup, or that all never knew all.
pub fn run(setup: &Setup) -> Result<Outcome, String> {
    if !(2..=MOST).contains(&setup.instances) || !(0.0..1.0).contains(&setup.loss) {
        return Err(format!("instances are within 2 and {MOST}, loss is a part of 1"));
    }
    let mut world = World::new(setup);
    let mut outcome = Outcome::default();
    while !world.whole() {
        if world.now > 300_000_000 {
            return Err("all did not know all within 300 s".into());
        }
        world.run(world.now + 1_000_000);
    }
    outcome.joined = world.now as f64 / 1000.0;
    outcome.joining = world.nodes.iter().map(|node| node.sent[1]).max().unwrap_or_default() as f64;
    // What was said at the start is said to its end.
    world.run(world.now + 20_000_000);
    world.nodes.iter_mut().for_each(|node| node.sent = [0; 2]);
    (world.totals, world.deaths) = ([0; 2], Vec::new());
    let (begun, mut killed) = (world.now, Vec::<(u64, usize)>::new());
    for second in 0..setup.seconds.ceil() as u64 {
        let since = second as f64;
        if setup.kill_every > 0.0
            && since % setup.kill_every == 0.0
            && since + setup.kill_every <= setup.seconds
        {
            for _ in 0..setup.kill {
                let n = world.rng.usize(..setup.instances);
                if world.nodes[n].runs {
                    world.nodes[n].runs = false;
                    killed.push((world.now, n));
                }
            }
        }
        for n in 0..setup.instances {
            if setup.pause_every > 0.0 && world.rng.f64() < 1.0 / setup.pause_every {
                world.nodes[n].paused = world.now + (setup.pause * 1000.0) as u64;
            }
        }
        world.run(world.now + 1_000_000);
    }
    let span = (world.now - begun) as f64 / 1e6;
    sum_up(&world, &killed, span, &mut outcome);
    Ok(outcome)
}

fn sum_up(world: &World, killed: &[(u64, usize)], span: f64, outcome: &mut Outcome) {
    let mut known = Vec::new();
    for (when, of) in killed {
        let seen: Vec<u64> = world
            .deaths
            .iter()
            .filter(|(at, _, dead)| dead == of && at >= when)
            .map(|(at, ..)| at - when)
            .collect();
        let survivors = world.nodes.iter().filter(|node| node.runs).count();
        outcome.unknown += usize::from(seen.len() < survivors);
        known.extend(seen);
    }
    known.sort_unstable();
    let part = |p: f64| known.get(((known.len() as f64 * p) as usize).min(known.len().saturating_sub(1)));
    outcome.known = [0.5, 0.99, 1.0].map(|p| part(p).map_or(0.0, |us| *us as f64 / 1000.0));
    let dead = |(at, _, of): &&(u64, usize, usize)| !killed.iter().any(|(when, n)| n == of && when <= at);
    // One that several take for dead within some seconds is one mistake.
    let mut wrong: Vec<(usize, u64)> =
        world.deaths.iter().filter(dead).map(|(at, _, of)| (*of, *at)).collect();
    wrong.sort_unstable();
    wrong.dedup_by(|b, a| a.0 == b.0 && b.1 - a.1 < 10_000_000);
    outcome.wrong = wrong.len();
    outcome.wrong_an_hour = wrong.len() as f64 * 3600.0 / span.max(1.0);
    let each = world.nodes.len() as f64 * span.max(1.0);
    let most = world.nodes.iter().map(|node| node.sent[1]).max().unwrap_or_default() as f64;
    outcome.bytes = [world.totals[0] as f64 / each, most];
    outcome.datagrams = world.totals[1] as f64 / each;
}

#[cfg(test)]
mod tests;
