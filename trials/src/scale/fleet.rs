//! Membership and operators' notices of a whole fleet in one process: the program's module and datagrams for each
//! ingress, in simulated time, with what they cost in bytes, memory and processor time.

use super::meter::{heap_bytes, thread_time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use weldhub::cluster::notices::Subject;
use weldhub::cluster::packet::{Body, Claim, Identity, Packet, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

/// The mean way of a datagram in microseconds; each takes 0.2 to 1.8 times as long.
const WAY: f64 = 5000.0;
/// The part of datagrams that is lost.
const LOSS: f64 = 0.01;
/// Headers of IPv4 and UDP.
const HEADERS: u64 = 28;
/// Claims in a datagram of those that a fleet starts from.
const CLAIMS: usize = 20;
/// The fleet's name.
const NAME: &str = "hollow";
/// The clock's time at the start, in milliseconds.
const START: f64 = 1e12;
const SECOND: u64 = 1_000_000;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// How many ingresses.
    pub ingresses: usize,
    /// Seconds at rest that are measured.
    pub rest: u64,
    /// Notices that operators give within a minute.
    pub burst: usize,
}

/// What a fleet came to; times in milliseconds.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// Bytes on the heap for one ingress's membership.
    pub memory: f64,
    /// Datagrams and bytes a second that one ingress sends at rest, with their headers.
    pub rest: [f64; 2],
    /// The part of a core that one uses at rest.
    pub share: f64,
    /// The same while notices are given.
    pub burst: [f64; 2],
    /// The part of a core that one uses then.
    pub burst_share: f64,
    /// From a notice to the last ingress: median, and the worst of all notices; infinite where it has not come.
    pub in_force: [f64; 2],
    /// How often some ingress took one for dead that lived.
    pub false_deaths: usize,
}

/// A datagram on its way to an ingress, or none: the time to look.
type Event = Reverse<(u64, u64, usize, Option<(usize, Vec<u8>)>)>;

struct Fleet {
    now: u64,
    order: u64,
    queue: BinaryHeap<Event>,
    nodes: Vec<Cluster>,
    due: Vec<u64>,
    rng: fastrand::Rng,
    sent: [u64; 2],
    micros: f64,
    deaths: usize,
    /// When each notice was given, and at how many ingresses it was in force and when last.
    notices: BTreeMap<String, (u64, usize, u64)>,
}

fn address(number: usize) -> SocketAddr {
    let block = (number / 1000) as u8;
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, block), 7000 + (number % 1000) as u16))
}

fn number(at: SocketAddr) -> usize {
    let SocketAddr::V4(at) = at else { return usize::MAX };
    usize::from(at.ip().octets()[3]) * 1000 + usize::from(at.port()).wrapping_sub(7000)
}

fn identity(number: usize) -> Identity {
    let name = format!("ingress-{number:04}");
    Identity { name, number: number as u16, address: address(number), started_at: START as u64 }
}

fn clock(now: u64) -> f64 {
    START + now as f64 / 1000.0
}

/// Plays it: from a fleet whose members know each other, through some seconds at rest, to a minute of notices.
pub fn run(setup: Setup) -> Outcome {
    let (mut fleet, memory) = Fleet::start(setup.ingresses);
    // What was told at the start is told to its end.
    fleet.run_for(20 * SECOND);
    let mut outcome = Outcome { memory, ..Outcome::default() };
    (outcome.rest, outcome.share) = fleet.run_measured(setup.rest);
    fleet.schedule_notices(setup.burst, &mut outcome);
    outcome.false_deaths = fleet.deaths;
    outcome
}

impl Fleet {
    fn start(ingresses: usize) -> (Self, f64) {
        let mut rng = fastrand::Rng::with_seed(11);
        let fleet = FleetId { key: fleet_key(NAME), size: u16::try_from(ingresses).unwrap_or(u16::MAX) };
        let before = heap_bytes();
        let new = |number, rng: &mut fastrand::Rng| {
            let seeds = vec![address(0), address(1)];
            Cluster::new(identity(number), fleet, seeds, Timing::default(), rng.u64(..), START)
        };
        let mut nodes: Vec<Cluster> = (0..ingresses).map(|number| new(number, &mut rng)).collect();
        introduce(&mut nodes);
        let memory = (heap_bytes() - before) / ingresses.max(1) as f64;
        let mut fleet = Self {
            now: 0,
            order: 0,
            queue: BinaryHeap::new(),
            due: vec![0; ingresses],
            nodes,
            rng,
            sent: [0; 2],
            micros: 0.0,
            deaths: 0,
            notices: BTreeMap::new(),
        };
        for number in 0..ingresses {
            let at = fleet.rng.u64(1..250_000);
            fleet.push(at, number, None);
            fleet.due[number] = at;
        }
        (fleet, memory)
    }

    fn push(&mut self, at: u64, to: usize, what: Option<(usize, Vec<u8>)>) {
        self.order += 1;
        self.queue.push(Reverse((at, self.order, to, what)));
    }

    fn next_until(&mut self, until: u64) -> Option<Event> {
        let due = self.queue.peek().is_some_and(|Reverse((at, ..))| *at <= until);
        if due { self.queue.pop() } else { None }
    }

    fn run_for(&mut self, micros: u64) {
        let until = self.now + micros;
        while let Some(Reverse((at, _, to, what))) = self.next_until(until) {
            self.now = self.now.max(at);
            let ticked = what.is_none();
            if ticked && self.due[to] > self.now {
                continue;
            }
            let mut actions = Vec::new();
            let before = thread_time();
            match what {
                Some((from, bytes)) => {
                    self.nodes[to].receive(clock(self.now), address(from), &bytes, &mut actions)
                }
                None => self.nodes[to].tick(clock(self.now), &mut actions),
            }
            // The socket's loop asks for both after each datagram and each timer.
            let due = self.nodes[to].due();
            drop(self.nodes[to].live_ingresses());
            self.micros += (thread_time() - before).as_secs_f64() * 1e6;
            // A microsecond later: a time in milliseconds is not exact to one.
            let due = ((due - START) * 1000.0).ceil() as u64 + 1;
            if due != self.due[to] || ticked {
                self.due[to] = due;
                self.push(due.max(self.now + 1), to, None);
            }
            self.act(to, actions);
        }
        self.now = until;
    }

    fn act(&mut self, by: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send(by, number(to), bytes),
                Action::StateChanged(_, _, State::Dead) => self.deaths += 1,
                Action::NoticeChanged(Subject::Backend(name), true) => {
                    if let Some((_, heard, last)) = self.notices.get_mut(&name) {
                        *heard += 1;
                        *last = self.now;
                    }
                }
                _ => {}
            }
        }
    }

    fn send(&mut self, by: usize, to: usize, bytes: Vec<u8>) {
        self.sent[0] += 1;
        self.sent[1] += bytes.len() as u64 + HEADERS;
        if to < self.nodes.len() && self.rng.f64() >= LOSS {
            let way = WAY * (0.2 + 1.6 * self.rng.f64());
            self.push(self.now + way as u64, to, Some((by, bytes)));
        }
    }

    /// Runs and tells datagrams and bytes that one sends in a second, and the part of a core that it uses.
    fn run_measured(&mut self, seconds: u64) -> ([f64; 2], f64) {
        (self.sent, self.micros) = ([0; 2], 0.0);
        self.run_for(seconds * SECOND);
        let each = (self.nodes.len() as u64 * seconds.max(1)) as f64;
        (self.sent.map(|sum| sum as f64 / each), self.micros / each / 1e6)
    }

    /// A minute in which notices are given at doors by chance, and ten seconds more.
    fn schedule_notices(&mut self, burst: usize, outcome: &mut Outcome) {
        (self.sent, self.micros) = ([0; 2], 0.0);
        let begun = self.now;
        for notice in 0..burst {
            let name = format!("backend-{notice:05}");
            let at = self.rng.usize(..self.nodes.len());
            self.notices.insert(name.clone(), (self.now, 1, self.now));
            let mut actions = Vec::new();
            self.nodes[at].publish(clock(self.now), Subject::Backend(name), true, &mut actions);
            self.act(at, actions);
            let next = begun + (notice as u64 + 1) * 60 * SECOND / burst as u64;
            self.run_for(next - self.now);
        }
        let each = self.nodes.len() as f64 * 60.0;
        outcome.burst = self.sent.map(|sum| sum as f64 / each);
        outcome.burst_share = self.micros / each / 1e6;
        self.run_for(10 * SECOND);
        let all = self.nodes.len();
        let after = |(given, heard, last): &(u64, usize, u64)| {
            if *heard < all { f64::INFINITY } else { (last - given) as f64 / 1000.0 }
        };
        let mut spans: Vec<f64> = self.notices.values().map(after).collect();
        spans.sort_by(f64::total_cmp);
        outcome.in_force = [spans.get(spans.len() / 2), spans.last()].map(|span| *span.unwrap_or(&0.0));
    }
}

/// Has each know all others by datagrams of the real form, as an answer to its join would.
fn introduce(nodes: &mut [Cluster]) {
    let claim = |number| Claim { member: identity(number), incarnation: 0, state: State::Alive };
    let all: Vec<Claim> = (0..nodes.len()).map(claim).collect();
    for (to, node) in nodes.iter_mut().enumerate() {
        let from = (to + 1) % all.len();
        for claims in all.chunks(CLAIMS) {
            let packet = Packet {
                from: identity(from),
                incarnation: 0,
                body: Body::View,
                claims: claims.to_vec(),
                notices: Vec::new(),
                notices_digest: 0,
            };
            if let Some(bytes) = packet.encode(fleet_key(NAME)) {
                node.receive(START, address(from), &bytes, &mut Vec::new());
            }
        }
    }
}
