//! The world: events in simulated time round the shipped limiters, membership and client policy.

mod attempts;
mod clients;
mod decide;
mod discovery;
mod event;
mod ingresses;
mod settings;
mod troubles;
mod watching;

pub use decide::{Decide, Maker, shipped};
pub use watching::{Outcomes, Sample, ServerSample, Trace};

use crate::check::Checker;
use crate::cold::ColdStartMonitor;
use crate::judge::Judge;
use crate::report::{ClassStats, Report, Second};
use crate::script::{Script, UniformRange};
use crate::server::{Reported, Server};
use crate::shared::{Counter, Intake};
use attempts::Attempt;
use clients::{Asked, Asker, Customer};
use event::{Entry, What};
use ingresses::Node;
use settings::settings;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use watching::Totals;
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{BackendId, BackendState};
use weldhub::maintenance::Maintenance;
use weldhub::membership::MembershipPolicy;
use weldhub::membership::members::Members;

/// The limiters' clock begins here: it is that of a day.
const EPOCH: f64 = 1.7e12;
/// Before a flow's deadline its schedulings end, and by the second it has its answer; as in the engine.
const SLACK: (f64, f64) = (20.0, 10.0);
/// The part of a short deadline that either takes.
const SLACK_PART: f64 = 0.2;
/// An ask at discovery that has waited for so long fails.
const ASK_FAILS: f64 = 2000.0;
/// Consul's catalogue answers after this.
const CATALOGUE: f64 = 5.0;
/// With less time than this the guard may well come before the decisions' own answer.
const HARD: f64 = 500.0;

/// A world in the middle of a run.
struct World<'a> {
    script: &'a Script,
    maker: Maker<'a>,
    now: f64,
    rng: fastrand::Rng,
    heap: BinaryHeap<Reverse<Entry>>,
    seq: u64,
    events: u64,
    nodes: Vec<Node>,
    servers: Vec<Server>,
    lives: Vec<u64>,
    shown: Vec<Reported>,
    /// The last start of each that discovery knows of; long ago where below 0.
    known_starts: Vec<f64>,
    cold: ColdStartMonitor,
    /// How much each ingress is sought beside others.
    pulls: Vec<f64>,
    ids: HashMap<BackendId, usize>,
    published: BTreeMap<usize, BackendState>,
    counter: Option<Counter>,
    discovery_free: f64,
    customers: Vec<Customer>,
    askers: Vec<Asker>,
    asked: Vec<Asked>,
    attempts: Vec<Attempt>,
    cut: BTreeSet<u8>,
    loss_until: (f64, f64),
    surge: (f64, f64),
    check: Checker,
    judge: Judge,
    tallies: Vec<ClassStats>,
    seconds: Vec<Second>,
    next_request: u64,
    totals: Totals,
    trace: Trace,
    samples: Vec<Sample>,
    server_samples: Vec<ServerSample>,
    units: Vec<f64>,
}

/// Plays a script with the shipped limiter.
pub fn play(script: &Script, seed: u64) -> Result<Report, String> {
    Ok(run(script, seed, &shipped, Trace::default())?.report)
}

/// Plays a script.
pub fn run(script: &Script, seed: u64, maker: Maker<'_>, trace: Trace) -> Result<Outcomes, String> {
    let mut world = World::new(script, seed, maker, trace)?;
    let end = script.length + 4000.0;
    while let Some(Reverse(entry)) = world.heap.pop() {
        world.now = entry.at as f64 / 1000.0;
        if world.now > end {
            break;
        }
        world.events += 1;
        world.happens(entry.what);
    }
    Ok(world.outcomes(seed))
}

fn name(server: usize) -> String {
    format!("s{server}")
}

impl<'a> World<'a> {
    fn new(script: &'a Script, seed: u64, maker: Maker<'a>, trace: Trace) -> Result<Self, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let halls = script.network.halls;
        let mut servers = Vec::new();
        for (k, kind) in script.kinds.iter().enumerate() {
            for _ in 0..kind.count {
                let speed = kind.speed[0] + rng.f64() * (kind.speed[1] - kind.speed[0]);
                let mut server = Server::new(kind.cores, speed, kind.slots, kind.queue, -1.0);
                (server.kind, server.errors) = (k as u16, kind.errors);
                server.mean_work = script.mean_work();
                servers.push(server);
            }
        }
        // Kinds are spread over halls and pods.
        for (i, server) in servers.iter_mut().enumerate() {
            server.hall = (i % usize::from(halls)) as u8;
            server.cell = (i / usize::from(script.servers.cell)) as u16;
        }
        let tallies = script.classes.iter().map(|_| ClassStats::new()).collect::<Result<_, _>>()?;
        // Sizes fall off by half each.
        let units: Vec<f64> = (0..script.load.largest).map(|k| 0.5f64.powi(k as i32)).collect();
        let all = servers.len();
        let mut this = Self {
            script,
            maker,
            now: 0.0,
            rng,
            heap: BinaryHeap::new(),
            seq: 0,
            events: 0,
            nodes: Vec::new(),
            lives: vec![0; all],
            shown: vec![Reported::default(); all],
            known_starts: vec![-1.0; all],
            cold: ColdStartMonitor::new(script),
            pulls: Vec::new(),
            ids: (0..all).map(|i| (backend_id(&name(i)), i)).collect(),
            published: (0..all).map(|i| (i, BackendState::Ready)).collect(),
            servers,
            counter: script.counter.as_ref().map(Counter::new),
            discovery_free: 0.0,
            customers: Vec::new(),
            askers: Vec::new(),
            asked: Vec::new(),
            attempts: Vec::new(),
            cut: BTreeSet::new(),
            loss_until: (0.0, 0.0),
            surge: (1.0, 0.0),
            check: Checker::default(),
            judge: Judge::new(script),
            tallies,
            seconds: Vec::new(),
            next_request: 0,
            totals: Totals::default(),
            trace,
            samples: Vec::new(),
            server_samples: Vec::new(),
            units,
        };
        for i in 0..script.ingresses.count {
            let brain = (this.maker)(settings(script, i), this.rng.u64(..))?;
            let per_second = script.peers.as_ref().map_or(0.0, |p| p.per_second);
            this.nodes.push(Node {
                brain,
                life: 0,
                up: true,
                up_since: f64::NEG_INFINITY,
                down_since: 0.0,
                noticed: f64::INFINITY,
                hall: (i % u16::from(halls)) as u8,
                maintenance: Maintenance::default(),
                members: Members::new(MembershipPolicy::default()),
                subscribed: true,
                told: HashMap::new(),
                flows: HashMap::new(),
                idle: HashMap::new(),
                intake: Intake::new(per_second, 0.0),
                calls: HashMap::new(),
                counts: [0; 3],
            });
        }
        this.pulls = (0..this.nodes.len()).map(|_| this.pull()).collect();
        this.people();
        for i in 0..this.nodes.len() {
            this.begin(i);
        }
        for s in 0..all {
            this.at(0.0, What::Refresh(s));
        }
        for (k, trouble) in script.troubles.iter().enumerate() {
            this.at(trouble.at, What::Trouble(k));
        }
        if trace.every > 0.0 {
            this.at(0.0, What::Sample);
        }
        Ok(this)
    }

    /// How much an ingress is sought: a log-normal weight. Nothing is drawn where all are sought alike.
    fn pull(&mut self) -> f64 {
        let uneven = self.script.load.uneven;
        if uneven <= 0.0 {
            return 1.0;
        }
        let [radius, angle] = [1.0 - self.rng.f64(), self.rng.f64()];
        let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
        (uneven * normal).exp()
    }

    /// The first ingress of a customer's set.
    fn first_of_set(&mut self) -> u16 {
        if self.script.load.uneven <= 0.0 {
            return self.rng.u16(0..self.script.ingresses.count);
        }
        let pulls = std::mem::take(&mut self.pulls);
        let first = self.pick(&pulls) as u16;
        self.pulls = pulls;
        first
    }

    fn draw(&mut self, span: UniformRange) -> f64 {
        span[0] + self.rng.f64() * (span[1] - span[0])
    }

    fn pick(&mut self, weights: &[f64]) -> usize {
        let mut at = self.rng.f64() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|w| {
            at -= w;
            at < 0.0
        });
        found.unwrap_or(weights.len() - 1)
    }

    fn second(&mut self) -> &mut Second {
        let at = (self.now / 1000.0) as usize;
        while self.seconds.len() <= at {
            let at = self.seconds.len() as f64;
            self.seconds.push(Second { at, ..Second::default() });
        }
        &mut self.seconds[at]
    }

    fn hop(&mut self, a: u8, b: u8) -> f64 {
        let span = if a == b { self.script.network.same } else { self.script.network.cross };
        self.draw(span)
    }

    fn cut_between(&self, a: u8, b: u8) -> bool {
        a != b && (self.cut.contains(&a) || self.cut.contains(&b))
    }

    /// A part of the backends that are up and stay so, group after group, each with its time.
    fn in_groups(&mut self, share: f64, at_once: f64, over: f64) -> Vec<(usize, f64)> {
        let alive: Vec<usize> =
            (0..self.servers.len()).filter(|s| self.servers[*s].up && !self.servers[*s].drains).collect();
        let group = Self::part_of(at_once, alive.len());
        let picked = self.chosen(alive.len(), Self::part_of(share, alive.len()));
        let groups = picked.len().div_ceil(group).max(1);
        let at = |k: usize| self.now + over * (k / group) as f64 / groups as f64;
        picked.into_iter().enumerate().map(|(k, which)| (alive[which], at(k))).collect()
    }

    /// A backend drains and ends; false where it does so already.
    fn drains(&mut self, s: usize, grace: f64) -> bool {
        if !self.servers[s].up || self.servers[s].drains {
            return false;
        }
        self.servers[s].drains = true;
        let notice = self.draw(self.script.discovery.notice);
        self.announces(s, BackendState::Draining, notice.min(grace));
        self.after(grace, What::Stops(s));
        true
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Arrives(c) if c >= self.customers.len() => self.next_arrival(usize::MAX - c),
            What::Arrives(c) => self.arrives(c),
            What::Tries(n) => self.tries(n),
            What::Reaches(n, no, i, life) => self.reaches(n, no, i, life),
            What::Answered(n, no, how) => self.answered(n, no, how),
            What::TryEnds(n, no) => self.try_ends(n, no),
            What::Timer(i, life, key) => {
                if self.nodes[i].up && self.nodes[i].life == life {
                    self.feed(i, Event::Timer(key));
                }
            }
            What::Guard(i, life, id) => self.guard(i, life, id),
            What::News(i, life, kind, entries) => self.news(i, life, kind, entries),
            What::Published(s, state, of) => self.publishes(s, state, of),
            What::Catalogue(i, life, round) => self.catalogue(i, life, round),
            What::Due(i, life) => {
                if self.nodes[i].up && self.nodes[i].life == life {
                    let told = self.nodes[i].members.due(self.now);
                    self.tells(i, told);
                }
            }
            What::Asked(i, life) => self.asked(i, life),
            What::Mail(to, from, bytes) => self.mail_comes(to, from, bytes),
            What::CallComes(i, life, call, name, amount, keep) => {
                self.call_comes(i, life, call, name, amount, keep)
            }
            What::CallEnds(i, life, call, name, answer) => self.call_ends(i, life, call, name, answer),
            What::Comes(a) => self.comes(a),
            What::Works(s, version) => self.works(s, version),
            What::Replies(a, outcome, shown) => self.ends(a, outcome, shown),
            What::GivesUp(a, outcome) => self.gives_up(a, outcome),
            What::Refresh(s) => self.refresh(s),
            What::Shown(s, shown) => self.shown[s] = shown,
            What::Shift(c) => self.shifts(c),
            What::Trouble(k) => self.trouble(k),
            What::Down(i, down) => {
                self.dies(i);
                self.after(down, What::Up(i));
            }
            What::Up(i) => self.returns(i),
            What::Retires(s, grace) => self.retires(s, grace),
            What::Leaves(s, grace) => drop(self.drains(s, grace)),
            What::Stops(s) => {
                let drained = self.servers[s].drains;
                self.stops(s);
                if drained {
                    self.announces(s, BackendState::Gone, 100.0);
                }
            }
            What::Ready(s) => {
                let now = self.now;
                self.servers[s].starts(now);
                let add = self.draw(self.script.discovery.add);
                self.announces(s, BackendState::Ready, add);
            }
            What::Restarted(s, told) => self.restarted(s, told),
            What::Banned(i, s, out) => self.banned(i, s, out),
            What::Slows(s, times) => {
                let now = self.now;
                self.servers[s].slows(now, times, &self.script.servers);
                self.foresee(s);
            }
            What::Errs(s, errors) => self.servers[s].errors = errors,
            What::Healed(hall) => drop(self.cut.remove(&hall)),
            What::Sample => self.sample(),
        }
    }
}
