//! The same work in simulated time: clients decide by `weldhub_client`'s policy, ingresses by weldhub's own limiter;
//! sockets, servers and the network are a few lines each. A run is the same again from the same seed.

use crate::report::{End, Report};
use crate::work::{Arrival, Class, Work};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use weldhub::interface::{
    AttemptEnd, AttemptNo, CellId, Class as Kind, ClassId, ColdStart, CustomerId, Effect as Repeat,
    GatewayId, Group, KindId, ListKind, Load, Outcome, Plan, PlanId, RequestId, ServerEntry, ServerId,
    ServerState, TimerKey, ZoneId,
};
use weldhub::{Action, Event, Limiter, Settings};
use weldhub_client::ingresses::{HealthSignal, Ingresses};
use weldhub_client::policy::{RetryBudget, RetryDecision, RetryState, TryOutcome};
use weldhub_client::{IngressPolicy, RetryPolicy, RetrySafety};

/// A time during which an ingress is down.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outage {
    /// Which ingress.
    pub ingress: usize,
    /// From when, in milliseconds.
    pub from: f64,
    /// Until when.
    pub until: f64,
}

/// What is modelled.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// The settings of the ingresses, which tell how many there are.
    pub settings: Settings,
    /// How many real servers there are.
    pub servers: u64,
    /// Requests that one works on at once.
    pub cores: usize,
    /// The mean time that it needs for a unit, in milliseconds.
    pub service: f64,
    /// The time of a way over the network.
    pub hop: f64,
    /// When ingresses are down.
    pub outages: Vec<Outage>,
    /// How many clients there are, with connections and a budget of their own each.
    pub clients: usize,
    /// How their tries follow each other.
    pub retry_policy: RetryPolicy,
    /// How they handle connections.
    pub ingress_policy: IngressPolicy,
    /// They know no chance: all wait for just as long. So do clients that were written in a hurry.
    pub naive: bool,
}

enum What {
    Arrives(usize),
    Tries(usize),
    Connected(usize, usize, u32),
    Reaches(usize, usize, u32),
    Ends(usize, u32, TryOutcome),
    Deadline(usize),
    Timer(usize, u32, TimerKey),
    Done(usize, Job),
    GivesUp(Id),
    Down(usize),
    Up(usize),
}

/// A scheduling: of which ingress in which of its lives, and which of it.
type Id = (usize, u32, RequestId, AttemptNo);

#[derive(Clone, Copy)]
struct Job {
    id: Id,
    units: f64,
}

struct Node {
    limiter: Limiter,
    life: u32,
    up: bool,
    flows: HashMap<RequestId, (usize, u32, f64)>,
    next: HashMap<RequestId, u16>,
}

struct Asker {
    ingresses: Ingresses,
    budget: RetryBudget,
    idle: Vec<usize>,
}

struct Asked {
    arrival: Arrival,
    call: RetryState,
    tried: Vec<usize>,
    /// The try that is on its way: its number, and where.
    no: u32,
    at: Option<usize>,
    done: bool,
}

struct Sim<'a> {
    work: &'a Work,
    fleet: &'a Fleet,
    now: f64,
    rng: fastrand::Rng,
    events: BinaryHeap<Reverse<(u64, u64)>>,
    whats: HashMap<u64, What>,
    seq: u64,
    nodes: Vec<Node>,
    askers: Vec<Asker>,
    asked: Vec<Asked>,
    servers: Vec<(usize, VecDeque<Job>)>,
    out: BTreeMap<Id, (usize, f64)>,
    report: Report,
    /// Requests that have not ended.
    open: usize,
}

/// The limiter's clock begins here: it is that of the day.
const EPOCH: f64 = 1.7e12;

/// The settings of so many ingresses for some work, each customer with so many units a second and at once.
pub fn settings(gateways: u16, quota: &[f64], work: &Work) -> Settings {
    let kind = |class: &Class| Kind {
        aim: f64::from(class.timeout) / 2.0,
        worth: 1.0,
        effect: match class.retry_safety {
            RetrySafety::Safe => Repeat::Safe,
            RetrySafety::Keyed { window } => Repeat::Keyed { group: Group::All, window },
            RetrySafety::Unsafe => Repeat::Unsafe,
        },
    };
    let quota = |i: usize| quota.get(i).copied().unwrap_or(1e6);
    Settings {
        me: GatewayId(0),
        gateways,
        zone: ZoneId(0),
        classes: work.classes.iter().map(kind).collect(),
        plans: vec![Plan { rate: quota(0), burst: quota(1), ..Plan::default() }],
        largest: f64::from(work.units),
        settles: false,
        meter_period: 0.0,
        counter: false,
        counter_timeout: 50.0,
        peers: gateways > 1,
        mail_per_second: 60.0,
        max_attempts: 4,
        second_copies: false,
        cancelling: true,
        max_retry_after: 1000.0,
        list_on_request: false,
        cold: ColdStart { from: 0.25, warm_after: 18_000.0, fall_multiple: 2.0, fall_window: 3000.0 },
        zone_price: false,
    }
}

/// Plays the work.
pub fn play(work: &Work, fleet: &Fleet) -> Result<Report, String> {
    work.check()?;
    let many = usize::from(fleet.settings.gateways);
    let report = Report::new(work.classes.iter().map(|class| class.name.as_str()))?;
    if fleet.settings.classes.len() < work.classes.len() || fleet.clients == 0 || fleet.cores == 0 {
        return Err("the fleet has too few classes, clients or cores".into());
    }
    let mut rng = fastrand::Rng::with_seed(work.seed);
    let node = |i: usize, seed: u64| -> Result<Node, String> {
        let settings = Settings { me: GatewayId(i as u16), ..fleet.settings.clone() };
        let limiter = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Node { limiter, life: 0, up: true, flows: HashMap::new(), next: HashMap::new() })
    };
    let nodes = (0..many).map(|i| node(i, rng.u64(..))).collect::<Result<Vec<_>, _>>()?;
    let asker = |_| Asker {
        ingresses: Ingresses::new(many, fleet.ingress_policy, 0.0),
        budget: RetryBudget::new(&fleet.retry_policy),
        idle: vec![0; many],
    };
    let mut sim = Sim {
        work,
        fleet,
        now: 0.0,
        rng,
        events: BinaryHeap::new(),
        whats: HashMap::new(),
        seq: 0,
        nodes,
        askers: (0..fleet.clients).map(asker).collect(),
        asked: Vec::new(),
        servers: (0..fleet.servers).map(|_| (0, VecDeque::new())).collect(),
        out: BTreeMap::new(),
        report,
        open: 0,
    };
    for arrival in work.arrivals() {
        let n = sim.asked.len();
        let class = &work.classes[arrival.class];
        let call = RetryState::new(class.retry_safety, arrival.at + f64::from(class.timeout));
        sim.asked.push(Asked { arrival, call, tried: Vec::new(), no: 0, at: None, done: false });
        sim.open += 1;
        sim.at(arrival.at, What::Arrives(n));
    }
    for outage in &fleet.outages {
        sim.at(outage.from, What::Down(outage.ingress));
        sim.at(outage.until, What::Up(outage.ingress));
    }
    (0..many).for_each(|i| sim.start(i));
    let end = work.steps.iter().map(|s| s.seconds * 1000.0).sum::<f64>() + 60_000.0;
    while let Some(Reverse((at, seq))) = sim.events.pop() {
        sim.now = at as f64 / 1000.0;
        // The limiters' timers go on for ever.
        if sim.now > end || sim.open == 0 {
            break;
        }
        if let Some(what) = sim.whats.remove(&seq) {
            sim.happens(what);
        }
    }
    Ok(sim.report)
}

impl Sim<'_> {
    fn at(&mut self, at: f64, what: What) {
        self.seq += 1;
        self.events.push(Reverse(((at.max(self.now) * 1000.0) as u64, self.seq)));
        self.whats.insert(self.seq, what);
    }

    fn after(&mut self, span: f64, what: What) {
        self.at(self.now + span, what);
    }

    fn start(&mut self, i: usize) {
        let entry = |server| ServerEntry {
            server: ServerId(server),
            state: ServerState::Ready,
            weight: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            last_start: None,
        };
        let list = (0..self.fleet.servers).map(entry).collect();
        self.feed(i, Event::Start);
        self.feed(i, Event::Servers(ListKind::Cached, list));
    }

    /// Gives a limiter an event, and carries out what it wants.
    fn feed(&mut self, i: usize, event: Event) {
        let mut acts = Vec::new();
        self.nodes[i].limiter.handle(EPOCH + self.now, event, &mut acts);
        let life = self.nodes[i].life;
        for act in acts {
            match act {
                Action::Send { request, server, wait, .. } => self.send(i, request, server, wait),
                Action::Refuse(id, after) => self.answer(i, id, TryOutcome::Rejected { retry_after: after }),
                Action::Fail(id) => self.answer(i, id, TryOutcome::Failed),
                Action::Cancel(id, no) => self.ended((i, life, id, no), Outcome::Cancelled),
                Action::SetTimer(after, key) => self.after(after.max(0.0), What::Timer(i, life, key)),
                Action::Tell(to, bytes) => {
                    let from = GatewayId(i as u16);
                    let to = usize::from(to.0);
                    // Messages take no time here; a fleet whose limiters talk wants a delay of its own.
                    if to != i && self.nodes.get(to).is_some_and(|node| node.up) {
                        self.feed(to, Event::PeerMessage(from, bytes));
                    }
                }
                Action::Probe(_) | Action::Count(..) | Action::Subscribe => {}
            }
        }
    }

    fn send(&mut self, i: usize, request: RequestId, server: ServerId, wait: Option<f64>) {
        let node = &mut self.nodes[i];
        let no = node.next.entry(request).or_default();
        let id = (i, node.life, request, AttemptNo(*no));
        *no += 1;
        let units = node.flows.get(&request).map_or(1.0, |(.., units)| *units);
        self.out.insert(id, (server.0 as usize, self.now));
        if let Some(wait) = wait {
            self.after(wait, What::GivesUp(id));
        }
        let job = Job { id, units };
        let (busy, queue) = &mut self.servers[server.0 as usize];
        if *busy < self.fleet.cores {
            *busy += 1;
            self.works(server.0 as usize, job);
        } else {
            queue.push_back(job);
        }
    }

    fn works(&mut self, server: usize, job: Job) {
        let time = self.fleet.service * job.units * (0.5 + self.rng.f64());
        self.after(2.0 * self.fleet.hop + time, What::Done(server, job));
    }

    /// A scheduling has ended, whoever ended it; told once.
    fn ended(&mut self, id: Id, outcome: Outcome) {
        let Some((server, sent)) = self.out.remove(&id) else { return };
        let (i, life, request, attempt) = id;
        if self.nodes[i].life != life {
            return;
        }
        let closed = outcome == Outcome::Served || !self.nodes[i].flows.contains_key(&request);
        if outcome == Outcome::Served {
            self.answer(i, request, TryOutcome::Served);
        }
        let end = AttemptEnd {
            request,
            attempt,
            server: ServerId(server as u64),
            outcome,
            spent: self.now - sent,
            closed,
            metered_use: None,
            settled_units: None,
            load: Load::default(),
        };
        self.feed(i, Event::AttemptEnded(end));
    }

    fn answer(&mut self, i: usize, id: RequestId, how: TryOutcome) {
        if let Some((n, no, _)) = self.nodes[i].flows.remove(&id) {
            self.after(self.fleet.hop, What::Ends(n, no, how));
        }
        self.nodes[i].next.remove(&id);
    }

    fn client(&self, n: usize) -> usize {
        self.asked[n].arrival.customer as usize % self.askers.len()
    }

    fn happens(&mut self, what: What) {
        match what {
            What::Arrives(n) => {
                self.at(self.asked[n].call.deadline(), What::Deadline(n));
                self.tries(n);
            }
            What::Tries(n) => self.tries(n),
            What::Connected(n, i, life) => self.connected(n, i, life),
            What::Reaches(n, i, life) => self.reaches(n, i, life),
            What::Ends(n, no, how) => self.ends(n, no, how),
            What::Deadline(n) => {
                if !self.asked[n].done {
                    let no = self.asked[n].no;
                    let how =
                        if self.asked[n].at.is_some() { TryOutcome::TimedOut } else { TryOutcome::NotSent };
                    self.ends(n, no, how);
                    self.done(n, End::Failed);
                }
            }
            What::Timer(i, life, key) => {
                if self.nodes[i].up && self.nodes[i].life == life {
                    self.feed(i, Event::Timer(key));
                }
            }
            What::Done(server, job) => {
                match self.servers[server].1.pop_front() {
                    Some(next) => self.works(server, next),
                    None => self.servers[server].0 -= 1,
                }
                self.ended(job.id, Outcome::Served);
            }
            What::GivesUp(id) => self.ended(id, Outcome::TimedOut),
            What::Down(i) => {
                (self.nodes[i].up, self.nodes[i].life) = (false, self.nodes[i].life + 1);
                self.nodes[i].next.clear();
                for (_, (n, no, _)) in std::mem::take(&mut self.nodes[i].flows) {
                    self.after(self.fleet.hop, What::Ends(n, no, TryOutcome::ConnectionLost));
                }
                for asker in &mut self.askers {
                    (0..std::mem::take(&mut asker.idle[i]))
                        .for_each(|_| asker.ingresses.connection_closed(i));
                }
            }
            What::Up(i) => {
                let settings = Settings { me: GatewayId(i as u16), ..self.fleet.settings.clone() };
                if let Ok(limiter) = Limiter::new(settings, self.rng.u64(..)) {
                    (self.nodes[i].limiter, self.nodes[i].up) = (limiter, true);
                    self.start(i);
                }
            }
        }
    }

    /// A request looks for a connection, and leaves if it has one.
    fn tries(&mut self, n: usize) {
        if self.asked[n].done || self.asked[n].at.is_some() {
            return;
        }
        let (c, many) = (self.client(n), self.nodes.len());
        let first = self.work.first(self.asked[n].arrival.customer, many);
        let Self { askers, asked, rng, .. } = self;
        let asker = &mut askers[c];
        let set = asker.ingresses.ingress_set(self.work.spread.min(many), first);
        let Some(i) = asker.ingresses.pick(self.now, set, &asked[n].tried, &mut || rng.f64()) else { return };
        let life = self.nodes[i].life;
        if asker.idle[i] > 0 {
            asker.idle[i] -= 1;
            asker.ingresses.try_started(i);
            return self.leaves(n, i, life);
        }
        match asker.ingresses.reserve_connection(self.now, i) {
            Ok(()) => {
                asker.ingresses.try_started(i);
                self.asked[n].at = Some(i);
                self.after(2.0 * self.fleet.hop, What::Connected(n, i, life));
            }
            Err(wait) => self.after(wait.clamp(1.0, 100.0), What::Tries(n)),
        }
    }

    fn connected(&mut self, n: usize, i: usize, life: u32) {
        let c = self.client(n);
        let well = self.nodes[i].up && self.nodes[i].life == life;
        let naive = self.fleet.naive;
        let Self { askers, rng, .. } = self;
        let asker = &mut askers[c];
        let mut chance = || if naive { 1.0 } else { rng.f64() };
        if !well {
            self.report.refused += 1;
            asker.ingresses.try_ended(self.now, i, HealthSignal::Unreachable, &mut chance);
            asker.ingresses.connect_failed(self.now, i, &mut chance);
            self.asked[n].at = None;
            if !self.asked[n].tried.contains(&i) {
                self.asked[n].tried.push(i);
            }
            return self.tries(n);
        }
        asker.ingresses.connect_succeeded(i);
        self.report.connects(self.now);
        if self.asked[n].done {
            asker.ingresses.try_ended(self.now, i, HealthSignal::Answered, &mut chance);
            asker.idle[i] += 1;
            return;
        }
        self.leaves(n, i, life);
    }

    fn leaves(&mut self, n: usize, i: usize, life: u32) {
        let c = self.client(n);
        let asked = &mut self.asked[n];
        (asked.at, asked.no) = (Some(i), asked.no + 1);
        asked.tried.push(i);
        asked.call.try_sent(self.now, &self.fleet.retry_policy, &mut self.askers[c].budget);
        self.report.tries += 1;
        self.after(self.fleet.hop, What::Reaches(n, i, life));
    }

    fn reaches(&mut self, n: usize, i: usize, life: u32) {
        let (asked, node) = (&self.asked[n], &mut self.nodes[i]);
        if !node.up || node.life != life {
            let no = asked.no;
            return self.after(self.fleet.hop, What::Ends(n, no, TryOutcome::ConnectionLost));
        }
        self.seq += 1;
        let id = RequestId(self.seq);
        let units = f64::from(asked.arrival.units);
        node.flows.insert(id, (n, asked.no, units));
        let request = weldhub::interface::Request {
            id,
            class: ClassId(asked.arrival.class),
            plan: PlanId(0),
            customer: CustomerId(asked.arrival.customer),
            left: asked.call.deadline() - self.now,
            units,
            spread: self.work.spread.min(self.askers[0].idle.len()) as u16,
            first: GatewayId(self.work.first(asked.arrival.customer, self.askers[0].idle.len()) as u16),
            repeat: asked.no > 1,
        };
        self.feed(i, Event::Request(request));
    }

    /// A try has ended at its client.
    fn ends(&mut self, n: usize, no: u32, how: TryOutcome) {
        let c = self.client(n);
        if self.asked[n].done || self.asked[n].no != no {
            return;
        }
        let naive = self.fleet.naive;
        let Self { askers, asked, rng, .. } = self;
        let (asker, asked) = (&mut askers[c], &mut asked[n]);
        let mut chance = || if naive { 1.0 } else { rng.f64() };
        if let Some(i) = asked.at.take() {
            let went = if how.may_have_run() { HealthSignal::Failed } else { HealthSignal::Answered };
            asker.ingresses.try_ended(self.now, i, went, &mut chance);
            match how {
                TryOutcome::ConnectionLost => asker.ingresses.connection_lost(self.now, i, &mut chance),
                TryOutcome::TimedOut | TryOutcome::NotSent => asker.ingresses.connection_closed(i),
                _ => asker.idle[i] += 1,
            }
        }
        let next =
            asked.call.try_ended(self.now, how, &self.fleet.retry_policy, &mut asker.budget, &mut chance);
        match (next, how) {
            (RetryDecision::RetryAt(at), _) => self.at(at, What::Tries(n)),
            (RetryDecision::Stop(_), TryOutcome::Served) => self.done(n, End::Served),
            (RetryDecision::Stop(_), TryOutcome::Rejected { .. }) => self.done(n, End::Refused),
            (RetryDecision::Stop(_), _) => self.done(n, End::Failed),
        }
    }

    fn done(&mut self, n: usize, end: End) {
        let asked = &mut self.asked[n];
        if !std::mem::replace(&mut asked.done, true) {
            self.open -= 1;
            let (class, took) = (asked.arrival.class, self.now - asked.arrival.at);
            self.report.ended(class, end, took);
        }
    }
}
