//! Membership and operators' notices of a whole fleet in one process: the program's membership module and
//! datagrams for each ingress, in simulated time, with their cost in bytes, memory and CPU time.

use super::meter::{Traffic, TrafficRate, heap_bytes, thread_cpu_time};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::{Ipv4Addr, SocketAddr};
use weldhub::cluster::notices::Subject;
use weldhub::cluster::packet::{Body, Claim, Identity, Packet, State, fleet_key};
use weldhub::cluster::{Action, Cluster, FleetId, Timing};

/// The mean delay of a datagram, in microseconds. Each one takes 0.2 to 1.8 times as long.
const MEAN_DATAGRAM_DELAY_MICROS: f64 = 5000.0;
/// The fraction of datagrams that is lost.
const DATAGRAM_LOSS: f64 = 0.01;
/// The bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// The number of membership claims in each datagram that introduces the members at the start.
const CLAIMS_PER_DATAGRAM: usize = 20;
/// The name of the fleet, from which the key in its datagrams is derived.
const FLEET_NAME: &str = "hollow";
/// The time of the clock at the start of the simulation, in milliseconds.
const START_MILLIS: f64 = 1e12;
const MICROS_PER_SECOND: u64 = 1_000_000;
/// The time between the start and the first measurement, in seconds. In it the gossip caused by the start
/// ends.
const WARM_UP_SECONDS: u64 = 20;
/// The time over which operators publish notices, in seconds.
const NOTICE_SECONDS: u64 = 60;
/// The time that the last notices get to reach all ingresses, in seconds.
const NOTICE_DELIVERY_SECONDS: u64 = 10;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The number of ingresses in the fleet.
    pub ingresses: usize,
    /// The length of the measurement at rest, in seconds.
    pub rest_seconds: u64,
    /// The number of notices that operators publish, spread over one minute.
    pub notices: usize,
}

/// The measurements of a fleet.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    /// The heap bytes of the membership of one ingress.
    pub heap_bytes: f64,
    /// The datagrams that one ingress sends at rest, with their headers.
    pub rest_traffic: TrafficRate,
    /// The CPU time that one ingress uses at rest, as a fraction of a core.
    pub rest_cpu_share: f64,
    /// The datagrams that one ingress sends while notices are published, with their headers.
    pub notices_traffic: TrafficRate,
    /// The CPU time that one ingress uses while notices are published, as a fraction of a core.
    pub notices_cpu_share: f64,
    /// The median time from the publication of a notice until the last ingress has it, in milliseconds.
    /// Infinite if a notice of at least median rank has not reached all ingresses.
    pub notice_median_millis: f64,
    /// The longest such time, in milliseconds. Infinite if any notice has not reached all ingresses.
    pub notice_worst_millis: f64,
    /// The number of times that an ingress declared another one dead. No ingress dies, so all of them are
    /// false.
    pub false_deaths: usize,
}

/// A datagram in transit.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Datagram {
    from: usize,
    bytes: Vec<u8>,
}

/// An event of the simulation. Events are ordered by time, then by `sequence`, which is unique.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct Event {
    at_micros: u64,
    sequence: u64,
    /// The number of the ingress that the event is for.
    ingress: usize,
    /// The datagram that arrives; `None` if the ingress's timer expires.
    datagram: Option<Datagram>,
}

/// How far a notice has spread.
struct NoticeProgress {
    published_micros: u64,
    /// The number of ingresses that have the notice.
    ingresses: usize,
    /// When the latest of them received it.
    last_received_micros: u64,
}

struct Fleet {
    now_micros: u64,
    last_sequence: u64,
    queue: BinaryHeap<Reverse<Event>>,
    ingresses: Vec<Cluster>,
    /// When the timer of each ingress expires, in microseconds.
    timer_micros: Vec<u64>,
    rng: fastrand::Rng,
    /// The datagrams that all ingresses have sent since the measurement began.
    sent: Traffic,
    /// The CPU time that all ingresses have used since the measurement began, in microseconds.
    cpu_micros: f64,
    false_deaths: usize,
    /// The notices published so far, by backend name.
    notices: BTreeMap<String, NoticeProgress>,
}

/// Returns the address of an ingress, made up from its number.
fn address(ingress: usize) -> SocketAddr {
    let block = (ingress / 1000) as u8;
    SocketAddr::from((Ipv4Addr::new(10, 9, 0, block), 7000 + (ingress % 1000) as u16))
}

/// Returns the number of the ingress with this address.
fn ingress_at(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { return usize::MAX };
    usize::from(address.ip().octets()[3]) * 1000 + usize::from(address.port()).wrapping_sub(7000)
}

fn identity(ingress: usize) -> Identity {
    let name = format!("ingress-{ingress:04}");
    Identity { name, number: ingress as u16, address: address(ingress), started_at: START_MILLIS as u64 }
}

/// Converts simulated time to the time of the ingresses' clock, in milliseconds.
fn clock_millis(now_micros: u64) -> f64 {
    START_MILLIS + now_micros as f64 / 1000.0
}

/// Simulates a fleet whose members know each other from the start: first at rest, then while notices are
/// published.
pub fn run(setup: Setup) -> Outcome {
    let (mut fleet, heap_bytes) = Fleet::start(setup.ingresses);
    fleet.advance(WARM_UP_SECONDS * MICROS_PER_SECOND);
    let mut outcome = Outcome { heap_bytes, ..Outcome::default() };
    (outcome.rest_traffic, outcome.rest_cpu_share) = fleet.measure_at_rest(setup.rest_seconds);
    fleet.measure_notices(setup.notices, &mut outcome);
    outcome.false_deaths = fleet.false_deaths;
    outcome
}

impl Fleet {
    /// Creates the fleet and schedules the first timers; also returns the heap bytes per ingress.
    fn start(ingress_count: usize) -> (Self, f64) {
        let mut rng = fastrand::Rng::with_seed(11);
        let fleet =
            FleetId { key: fleet_key(FLEET_NAME), size: u16::try_from(ingress_count).unwrap_or(u16::MAX) };
        let heap_before = heap_bytes();
        let new = |ingress, rng: &mut fastrand::Rng| {
            let seeds = vec![address(0), address(1)];
            Cluster::new(identity(ingress), fleet, seeds, Timing::default(), rng.u64(..), START_MILLIS)
        };
        let mut ingresses: Vec<Cluster> = (0..ingress_count).map(|ingress| new(ingress, &mut rng)).collect();
        introduce_members(&mut ingresses);
        let heap_per_ingress = (heap_bytes() - heap_before) / ingress_count.max(1) as f64;
        let mut fleet = Self {
            now_micros: 0,
            last_sequence: 0,
            queue: BinaryHeap::new(),
            timer_micros: vec![0; ingress_count],
            ingresses,
            rng,
            sent: Traffic::default(),
            cpu_micros: 0.0,
            false_deaths: 0,
            notices: BTreeMap::new(),
        };
        for ingress in 0..ingress_count {
            let at_micros = fleet.rng.u64(1..250_000);
            fleet.push(at_micros, ingress, None);
            fleet.timer_micros[ingress] = at_micros;
        }
        (fleet, heap_per_ingress)
    }

    fn push(&mut self, at_micros: u64, ingress: usize, datagram: Option<Datagram>) {
        self.last_sequence += 1;
        self.queue.push(Reverse(Event { at_micros, sequence: self.last_sequence, ingress, datagram }));
    }

    /// Removes and returns the next event up to a time.
    fn pop_until(&mut self, until_micros: u64) -> Option<Event> {
        let due = self.queue.peek().is_some_and(|Reverse(event)| event.at_micros <= until_micros);
        if due { self.queue.pop().map(|Reverse(event)| event) } else { None }
    }

    /// Runs the simulation for a span of simulated time.
    fn advance(&mut self, micros: u64) {
        let until_micros = self.now_micros + micros;
        while let Some(Event { at_micros, ingress, datagram, .. }) = self.pop_until(until_micros) {
            self.now_micros = self.now_micros.max(at_micros);
            let is_timer = datagram.is_none();
            // Skips a timer that has been moved since.
            if is_timer && self.timer_micros[ingress] > self.now_micros {
                continue;
            }
            let mut actions = Vec::new();
            let cpu_before = thread_cpu_time();
            let now_millis = clock_millis(self.now_micros);
            match datagram {
                Some(Datagram { from, bytes }) => {
                    self.ingresses[ingress].receive(now_millis, address(from), &bytes, &mut actions)
                }
                None => self.ingresses[ingress].tick(now_millis, &mut actions),
            }
            // The program's transport makes both of these calls after each datagram and each timer, so they
            // are part of the measured CPU time.
            let due_millis = self.ingresses[ingress].due();
            drop(self.ingresses[ingress].live_ingresses());
            self.cpu_micros += (thread_cpu_time() - cpu_before).as_secs_f64() * 1e6;
            // A clock time in milliseconds is not exact to the microsecond; the one added keeps the timer
            // from expiring early.
            let due_micros = ((due_millis - START_MILLIS) * 1000.0).ceil() as u64 + 1;
            if due_micros != self.timer_micros[ingress] || is_timer {
                self.timer_micros[ingress] = due_micros;
                self.push(due_micros.max(self.now_micros + 1), ingress, None);
            }
            self.perform(ingress, actions);
        }
        self.now_micros = until_micros;
    }

    /// Performs the actions of an ingress.
    fn perform(&mut self, ingress: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => self.send(ingress, ingress_at(to), bytes),
                Action::StateChanged(_, _, State::Dead) => self.false_deaths += 1,
                Action::NoticeChanged(Subject::Backend(name), true) => {
                    if let Some(notice) = self.notices.get_mut(&name) {
                        notice.ingresses += 1;
                        notice.last_received_micros = self.now_micros;
                    }
                }
                _ => {}
            }
        }
    }

    /// Counts a datagram and delivers it after a random delay, unless it is lost.
    fn send(&mut self, from: usize, to: usize, bytes: Vec<u8>) {
        self.sent.add(bytes.len() as u64 + DATAGRAM_HEADER_BYTES);
        if to < self.ingresses.len() && self.rng.f64() >= DATAGRAM_LOSS {
            let delay_micros = MEAN_DATAGRAM_DELAY_MICROS * (0.2 + 1.6 * self.rng.f64());
            self.push(self.now_micros + delay_micros as u64, to, Some(Datagram { from, bytes }));
        }
    }

    /// Runs the simulation for some seconds and returns the traffic and the CPU share of one ingress.
    fn measure_at_rest(&mut self, seconds: u64) -> (TrafficRate, f64) {
        (self.sent, self.cpu_micros) = (Traffic::default(), 0.0);
        self.advance(seconds * MICROS_PER_SECOND);
        let ingress_seconds = (self.ingresses.len() as u64 * seconds.max(1)) as f64;
        (self.sent.per_second(ingress_seconds), self.cpu_micros / ingress_seconds / 1e6)
    }

    /// Publishes notices at random ingresses for [`NOTICE_SECONDS`], then lets the last ones spread for
    /// [`NOTICE_DELIVERY_SECONDS`].
    fn measure_notices(&mut self, count: usize, outcome: &mut Outcome) {
        (self.sent, self.cpu_micros) = (Traffic::default(), 0.0);
        let started_micros = self.now_micros;
        for notice in 0..count {
            let name = format!("backend-{notice:05}");
            let ingress = self.rng.usize(..self.ingresses.len());
            let progress = NoticeProgress {
                published_micros: self.now_micros,
                ingresses: 1,
                last_received_micros: self.now_micros,
            };
            self.notices.insert(name.clone(), progress);
            let mut actions = Vec::new();
            let now_millis = clock_millis(self.now_micros);
            self.ingresses[ingress].publish(now_millis, Subject::Backend(name), true, &mut actions);
            self.perform(ingress, actions);
            let next_micros =
                started_micros + (notice as u64 + 1) * NOTICE_SECONDS * MICROS_PER_SECOND / count as u64;
            self.advance(next_micros - self.now_micros);
        }
        let ingress_seconds = self.ingresses.len() as f64 * NOTICE_SECONDS as f64;
        outcome.notices_traffic = self.sent.per_second(ingress_seconds);
        outcome.notices_cpu_share = self.cpu_micros / ingress_seconds / 1e6;
        self.advance(NOTICE_DELIVERY_SECONDS * MICROS_PER_SECOND);
        let all = self.ingresses.len();
        let spread_millis = |notice: &NoticeProgress| {
            if notice.ingresses < all {
                f64::INFINITY
            } else {
                (notice.last_received_micros - notice.published_micros) as f64 / 1000.0
            }
        };
        let mut spans: Vec<f64> = self.notices.values().map(spread_millis).collect();
        spans.sort_by(f64::total_cmp);
        outcome.notice_median_millis = *spans.get(spans.len() / 2).unwrap_or(&0.0);
        outcome.notice_worst_millis = *spans.last().unwrap_or(&0.0);
    }
}

/// Makes each member known to all others, by datagrams like those that answer a join.
fn introduce_members(ingresses: &mut [Cluster]) {
    let claim = |ingress| Claim { member: identity(ingress), incarnation: 0, state: State::Alive };
    let all: Vec<Claim> = (0..ingresses.len()).map(claim).collect();
    for (to, ingress) in ingresses.iter_mut().enumerate() {
        let from = (to + 1) % all.len();
        for claims in all.chunks(CLAIMS_PER_DATAGRAM) {
            let packet = Packet {
                from: identity(from),
                incarnation: 0,
                body: Body::View,
                claims: claims.to_vec(),
                notices: Vec::new(),
                notices_digest: 0,
            };
            if let Some(bytes) = packet.encode(fleet_key(FLEET_NAME)) {
                ingress.receive(START_MILLIS, address(from), &bytes, &mut Vec::new());
            }
        }
    }
}
