//! Simulates a workload on its own clock. Clients decide with the policies of `weldhub_client`, ingresses
//! with weldhub's own limiter; network and backends are simple models. Without outages, the same seed gives
//! the same report.

use crate::report::{Report, RequestOutcome};
use crate::work::{Arrival, Class, Workload};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap, VecDeque};
use weldhub::interface::{
    AttemptEnd, AttemptIndex, BackendEntry, BackendId, BackendState, CellId, Class as LimiterClass, ClassId,
    ColdStart, CustomerId, DedupScope, IngressId, KindId, ListKind, Load, Outcome, Plan, PlanId, RequestId,
    RetrySafety as LimiterRetrySafety, TimerKey, ZoneId,
};
use weldhub::{Action, Event, Limiter, Settings};
use weldhub_client::ingresses::{HealthSignal, Ingresses};
use weldhub_client::policy::{RetryBudget, RetryDecision, RetryState, TryOutcome};
use weldhub_client::{IngressPolicy, RetryPolicy, RetrySafety};

/// A time during which an ingress is down, in milliseconds from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Outage {
    /// The number of the ingress.
    pub ingress: usize,
    /// When it goes down.
    pub from: f64,
    /// When it is up again.
    pub until: f64,
}

/// The fleet to simulate, with its clients, network and backends.
#[derive(Debug, Clone, PartialEq)]
pub struct Fleet {
    /// The settings of the ingresses, their number included.
    pub settings: Settings,
    /// The number of backends.
    pub backends: u64,
    /// The number of requests that a backend works on at once. It queues the others.
    pub cores: usize,
    /// The mean time that a backend needs for one unit, in milliseconds. Times are uniformly distributed
    /// between 0.5 and 1.5 times the mean.
    pub service_time: f64,
    /// The one-way delay of the network, in milliseconds.
    pub network_delay: f64,
    /// When ingresses are down.
    pub outages: Vec<Outage>,
    /// The number of clients. Each has its own connections and retry budget.
    pub clients: usize,
    /// The limits and delays of the clients' retries.
    pub retry_policy: RetryPolicy,
    /// The limits of the clients' connections and ejections.
    pub ingress_policy: IngressPolicy,
    /// Whether the clients' delays have no jitter, as in naive implementations: every delay is its upper
    /// bound.
    pub naive: bool,
}

/// An event of the simulation. Requests and ingresses are given by index.
enum SimEvent {
    /// A request arrives at its client.
    Arrival { request: usize },
    /// A client starts a try, or looks for a connection for it again.
    StartTry { request: usize },
    /// An attempt to connect for a request has succeeded or was refused.
    ConnectDone { request: usize, ingress: usize, incarnation: u32 },
    /// A try arrives at its ingress.
    TryArrived { request: usize, ingress: usize, incarnation: u32 },
    /// The end of a try becomes known to its client.
    TryEnded { request: usize, try_number: u32, outcome: TryOutcome },
    /// The deadline of a request.
    Deadline { request: usize },
    /// A timer of a limiter.
    LimiterTimer { ingress: usize, incarnation: u32, key: TimerKey },
    /// The answer to an attempt arrives at its ingress.
    BackendDone { backend: usize, job: Job },
    /// The timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// An ingress goes down.
    IngressDown { ingress: usize },
    /// An ingress is up again, with a new limiter.
    IngressUp { ingress: usize },
}

/// Identifies an attempt of an ingress at a backend.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct AttemptId {
    ingress: usize,
    incarnation: u32,
    request: RequestId,
    attempt: AttemptIndex,
}

/// An attempt in flight.
struct InFlight {
    backend: usize,
    sent_at: f64,
}

/// An attempt as a backend sees it.
#[derive(Clone, Copy)]
struct Job {
    id: AttemptId,
    units: f64,
}

struct Backend {
    /// The number of jobs in progress.
    busy: usize,
    queue: VecDeque<Job>,
}

struct Ingress {
    limiter: Limiter,
    /// The number of outages so far: events for an earlier incarnation are ignored.
    incarnation: u32,
    is_up: bool,
    /// Requests not yet answered.
    requests: HashMap<RequestId, IngressRequest>,
    /// The number of the next attempt of each request.
    next_attempt: HashMap<RequestId, u16>,
}

/// A try as its ingress sees it.
struct IngressRequest {
    /// The index of the client's request.
    request: usize,
    try_number: u32,
    units: f64,
}

struct SimClient {
    ingresses: Ingresses,
    budget: RetryBudget,
    /// The number of idle connections by ingress.
    idle: Vec<usize>,
}

/// A request as its client sees it.
struct ClientRequest {
    arrival: Arrival,
    retry_state: RetryState,
    tried: Vec<usize>,
    /// The number of the latest try, from 1.
    try_number: u32,
    /// The ingress of the try in flight, or of the connection being opened for it. `None` between tries.
    ingress: Option<usize>,
    is_done: bool,
}

struct Simulation<'a> {
    workload: &'a Workload,
    fleet: &'a Fleet,
    /// Milliseconds from the start of the run.
    now: f64,
    rng: fastrand::Rng,
    /// The times of pending events in microseconds, and their sequence numbers, which order events of the
    /// same time.
    queue: BinaryHeap<Reverse<(u64, u64)>>,
    /// The pending events by sequence number.
    events: HashMap<u64, SimEvent>,
    /// The last sequence number used. Request ids come from the same sequence.
    sequence: u64,
    ingresses: Vec<Ingress>,
    clients: Vec<SimClient>,
    requests: Vec<ClientRequest>,
    backends: Vec<Backend>,
    in_flight: BTreeMap<AttemptId, InFlight>,
    report: Report,
    /// The number of requests that have not ended.
    open_requests: usize,
}

/// The limiters' time at the start of a run, in milliseconds since the Unix epoch, because limiters expect
/// the time of day.
const EPOCH: f64 = 1.7e12;

/// The time after the last step of the schedule at which a run ends even if requests are still open, in
/// milliseconds.
const MAX_OVERTIME: f64 = 60_000.0;

/// Returns the settings of `ingress_count` ingresses for a workload. `quota` holds each customer's rate in
/// units per second and its burst in units; a missing one is one million.
pub fn settings(ingress_count: u16, quota: &[f64], workload: &Workload) -> Settings {
    let class = |class: &Class| LimiterClass {
        aim: f64::from(class.timeout_ms) / 2.0,
        worth: 1.0,
        retry_safety: match class.retry_safety {
            RetrySafety::Safe => LimiterRetrySafety::Safe,
            RetrySafety::Keyed { window } => LimiterRetrySafety::Keyed { scope: DedupScope::All, window },
            RetrySafety::Unsafe => LimiterRetrySafety::Unsafe,
        },
    };
    let quota = |i: usize| quota.get(i).copied().unwrap_or(1e6);
    Settings {
        ingress: IngressId(0),
        ingress_count,
        zone: ZoneId(0),
        classes: workload.classes.iter().map(class).collect(),
        plans: vec![Plan { rate: quota(0), burst: quota(1), ..Plan::default() }],
        max_request_units: f64::from(workload.max_units),
        units_are_estimates: false,
        meter_period: 0.0,
        counter: false,
        counter_timeout: 50.0,
        peers: ingress_count > 1,
        peer_messages_per_second: 60.0,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        max_retry_after: 1000.0,
        list_on_request: false,
        cold: ColdStart {
            initial_capacity: 0.25,
            warm_after: 18_000.0,
            overload_multiple: 2.0,
            overload_window: 3000.0,
        },
        cross_zone_cost: false,
    }
}

/// Simulates a workload on a fleet.
pub fn simulate(workload: &Workload, fleet: &Fleet) -> Result<Report, String> {
    workload.validate()?;
    let ingress_count = usize::from(fleet.settings.ingress_count);
    let report = Report::new(workload.classes.iter().map(|class| class.name.as_str()))?;
    if fleet.settings.classes.len() < workload.classes.len() || fleet.clients == 0 || fleet.cores == 0 {
        return Err(
            "the settings need the classes of the workload, and clients and cores must be at least 1".into(),
        );
    }
    let mut rng = fastrand::Rng::with_seed(workload.seed);
    let ingress = |i: usize, seed: u64| -> Result<Ingress, String> {
        let settings = Settings { ingress: IngressId(i as u16), ..fleet.settings.clone() };
        let limiter = Limiter::new(settings, seed).map_err(|e| e.to_string())?;
        Ok(Ingress {
            limiter,
            incarnation: 0,
            is_up: true,
            requests: HashMap::new(),
            next_attempt: HashMap::new(),
        })
    };
    let ingresses = (0..ingress_count).map(|i| ingress(i, rng.u64(..))).collect::<Result<Vec<_>, _>>()?;
    let client = |_| SimClient {
        ingresses: Ingresses::new(ingress_count, fleet.ingress_policy, 0.0),
        budget: RetryBudget::new(&fleet.retry_policy),
        idle: vec![0; ingress_count],
    };
    let mut simulation = Simulation {
        workload,
        fleet,
        now: 0.0,
        rng,
        queue: BinaryHeap::new(),
        events: HashMap::new(),
        sequence: 0,
        ingresses,
        clients: (0..fleet.clients).map(client).collect(),
        requests: Vec::new(),
        backends: (0..fleet.backends).map(|_| Backend { busy: 0, queue: VecDeque::new() }).collect(),
        in_flight: BTreeMap::new(),
        report,
        open_requests: 0,
    };
    for arrival in workload.arrivals() {
        let request = simulation.requests.len();
        let class = &workload.classes[arrival.class];
        let retry_state = RetryState::new(class.retry_safety, arrival.at + f64::from(class.timeout_ms));
        simulation.requests.push(ClientRequest {
            arrival,
            retry_state,
            tried: Vec::new(),
            try_number: 0,
            ingress: None,
            is_done: false,
        });
        simulation.open_requests += 1;
        simulation.schedule_at(arrival.at, SimEvent::Arrival { request });
    }
    for outage in &fleet.outages {
        simulation.schedule_at(outage.from, SimEvent::IngressDown { ingress: outage.ingress });
        simulation.schedule_at(outage.until, SimEvent::IngressUp { ingress: outage.ingress });
    }
    (0..ingress_count).for_each(|i| simulation.start_ingress(i));
    let end = workload.steps.iter().map(|s| s.seconds * 1000.0).sum::<f64>() + MAX_OVERTIME;
    while let Some(Reverse((at, sequence))) = simulation.queue.pop() {
        simulation.now = at as f64 / 1000.0;
        // The queue never becomes empty, because the limiters set their timers again and again.
        if simulation.now > end || simulation.open_requests == 0 {
            break;
        }
        if let Some(event) = simulation.events.remove(&sequence) {
            simulation.handle(event);
        }
    }
    Ok(simulation.report)
}

impl Simulation<'_> {
    /// Schedules an event at a time in milliseconds, or now if that has passed.
    fn schedule_at(&mut self, at: f64, event: SimEvent) {
        self.sequence += 1;
        self.queue.push(Reverse(((at.max(self.now) * 1000.0) as u64, self.sequence)));
        self.events.insert(self.sequence, event);
    }

    /// Schedules an event after a delay in milliseconds.
    fn schedule_after(&mut self, delay: f64, event: SimEvent) {
        self.schedule_at(self.now + delay, event);
    }

    /// Starts the limiter of an ingress and gives it the list of backends.
    fn start_ingress(&mut self, ingress_index: usize) {
        let entry = |server| BackendEntry {
            backend: BackendId(server),
            state: BackendState::Ready,
            weight: 1.0,
            zone: ZoneId(0),
            cell: CellId(0),
            kind: KindId(0),
            last_start: None,
        };
        let list = (0..self.fleet.backends).map(entry).collect();
        self.feed(ingress_index, Event::Start);
        self.feed(ingress_index, Event::BackendList(ListKind::Cached, list));
    }

    /// Passes an event to the limiter of an ingress and carries out its actions.
    fn feed(&mut self, ingress_index: usize, event: Event) {
        let mut actions = Vec::new();
        self.ingresses[ingress_index].limiter.handle(EPOCH + self.now, event, &mut actions);
        let incarnation = self.ingresses[ingress_index].incarnation;
        for action in actions {
            match action {
                Action::Send { request, backend, timeout, .. } => {
                    self.send(ingress_index, request, backend, timeout)
                }
                Action::Reject(id, after) => {
                    self.answer(ingress_index, id, TryOutcome::Rejected { retry_after: after })
                }
                Action::Fail(id) => self.answer(ingress_index, id, TryOutcome::Failed),
                Action::Cancel(request, attempt) => {
                    let id = AttemptId { ingress: ingress_index, incarnation, request, attempt };
                    self.attempt_ended(id, Outcome::Cancelled);
                }
                Action::SetTimer(after, key) => {
                    let timer = SimEvent::LimiterTimer { ingress: ingress_index, incarnation, key };
                    self.schedule_after(after.max(0.0), timer);
                }
                Action::SendToPeer(to, bytes) => {
                    let from = IngressId(ingress_index as u16);
                    let to = usize::from(to.0);
                    // Peer messages are delivered without delay.
                    if to != ingress_index && self.ingresses.get(to).is_some_and(|ingress| ingress.is_up) {
                        self.feed(to, Event::PeerMessage(from, bytes));
                    }
                }
                Action::Probe(_) | Action::AddToCounter(..) | Action::Subscribe => {}
            }
        }
    }

    /// Sends an attempt to a backend, with the timeout that the limiter has set, if any.
    fn send(
        &mut self,
        ingress_index: usize,
        request: RequestId,
        backend_id: BackendId,
        timeout: Option<f64>,
    ) {
        let ingress = &mut self.ingresses[ingress_index];
        let next = ingress.next_attempt.entry(request).or_default();
        let attempt = AttemptIndex(*next);
        let id = AttemptId { ingress: ingress_index, incarnation: ingress.incarnation, request, attempt };
        *next += 1;
        let units = ingress.requests.get(&request).map_or(1.0, |request| request.units);
        self.in_flight.insert(id, InFlight { backend: backend_id.0 as usize, sent_at: self.now });
        if let Some(timeout) = timeout {
            self.schedule_after(timeout, SimEvent::AttemptTimeout(id));
        }
        let job = Job { id, units };
        let backend = &mut self.backends[backend_id.0 as usize];
        if backend.busy < self.fleet.cores {
            backend.busy += 1;
            self.start_job(backend_id.0 as usize, job);
        } else {
            backend.queue.push_back(job);
        }
    }

    /// A backend starts to work on a job. The time until its end includes the network in both directions.
    fn start_job(&mut self, backend: usize, job: Job) {
        let time = self.fleet.service_time * job.units * (0.5 + self.rng.f64());
        self.schedule_after(2.0 * self.fleet.network_delay + time, SimEvent::BackendDone { backend, job });
    }

    /// Reports the end of an attempt to its limiter. Does nothing if the attempt has ended before.
    fn attempt_ended(&mut self, id: AttemptId, outcome: Outcome) {
        let Some(InFlight { backend, sent_at }) = self.in_flight.remove(&id) else { return };
        let AttemptId { ingress: ingress_index, incarnation, request, attempt } = id;
        if self.ingresses[ingress_index].incarnation != incarnation {
            return;
        }
        let request_closed =
            outcome == Outcome::Served || !self.ingresses[ingress_index].requests.contains_key(&request);
        if outcome == Outcome::Served {
            self.answer(ingress_index, request, TryOutcome::Served);
        }
        let end = AttemptEnd {
            request,
            attempt,
            backend: BackendId(backend as u64),
            outcome,
            elapsed: self.now - sent_at,
            request_closed,
            metered_use: None,
            settled_units: None,
            load: Load::default(),
        };
        self.feed(ingress_index, Event::AttemptEnded(end));
    }

    /// An ingress answers a try.
    fn answer(&mut self, ingress_index: usize, id: RequestId, outcome: TryOutcome) {
        if let Some(IngressRequest { request, try_number, .. }) =
            self.ingresses[ingress_index].requests.remove(&id)
        {
            let ended = SimEvent::TryEnded { request, try_number, outcome };
            self.schedule_after(self.fleet.network_delay, ended);
        }
        self.ingresses[ingress_index].next_attempt.remove(&id);
    }

    /// Returns the index of the client that sends a request.
    fn client_of(&self, request_index: usize) -> usize {
        self.requests[request_index].arrival.customer as usize % self.clients.len()
    }

    fn handle(&mut self, event: SimEvent) {
        match event {
            SimEvent::Arrival { request: request_index } => {
                let deadline = self.requests[request_index].retry_state.deadline();
                self.schedule_at(deadline, SimEvent::Deadline { request: request_index });
                self.start_try(request_index);
            }
            SimEvent::StartTry { request } => self.start_try(request),
            SimEvent::ConnectDone { request, ingress, incarnation } => {
                self.connect_done(request, ingress, incarnation)
            }
            SimEvent::TryArrived { request, ingress, incarnation } => {
                self.try_arrived(request, ingress, incarnation)
            }
            SimEvent::TryEnded { request, try_number, outcome } => {
                self.try_ended(request, try_number, outcome)
            }
            SimEvent::Deadline { request: request_index } => {
                if !self.requests[request_index].is_done {
                    let try_number = self.requests[request_index].try_number;
                    let outcome = if self.requests[request_index].ingress.is_some() {
                        TryOutcome::TimedOut
                    } else {
                        TryOutcome::NotSent
                    };
                    self.try_ended(request_index, try_number, outcome);
                    self.request_ended(request_index, RequestOutcome::Failed);
                }
            }
            SimEvent::LimiterTimer { ingress: ingress_index, incarnation, key } => {
                if self.ingresses[ingress_index].is_up
                    && self.ingresses[ingress_index].incarnation == incarnation
                {
                    self.feed(ingress_index, Event::Timer(key));
                }
            }
            SimEvent::BackendDone { backend, job } => {
                match self.backends[backend].queue.pop_front() {
                    Some(next) => self.start_job(backend, next),
                    None => self.backends[backend].busy -= 1,
                }
                self.attempt_ended(job.id, Outcome::Served);
            }
            SimEvent::AttemptTimeout(id) => self.attempt_ended(id, Outcome::TimedOut),
            SimEvent::IngressDown { ingress: ingress_index } => {
                (self.ingresses[ingress_index].is_up, self.ingresses[ingress_index].incarnation) =
                    (false, self.ingresses[ingress_index].incarnation + 1);
                self.ingresses[ingress_index].next_attempt.clear();
                for (_, open) in std::mem::take(&mut self.ingresses[ingress_index].requests) {
                    let IngressRequest { request, try_number, .. } = open;
                    let outcome = TryOutcome::ConnectionLost;
                    let ended = SimEvent::TryEnded { request, try_number, outcome };
                    self.schedule_after(self.fleet.network_delay, ended);
                }
                for client in &mut self.clients {
                    (0..std::mem::take(&mut client.idle[ingress_index]))
                        .for_each(|_| client.ingresses.connection_closed(ingress_index));
                }
            }
            SimEvent::IngressUp { ingress: ingress_index } => {
                let settings =
                    Settings { ingress: IngressId(ingress_index as u16), ..self.fleet.settings.clone() };
                if let Ok(limiter) = Limiter::new(settings, self.rng.u64(..)) {
                    (self.ingresses[ingress_index].limiter, self.ingresses[ingress_index].is_up) =
                        (limiter, true);
                    self.start_ingress(ingress_index);
                }
            }
        }
    }

    /// A client looks for a connection for the next try of a request, and sends it if there is one.
    fn start_try(&mut self, request_index: usize) {
        if self.requests[request_index].is_done || self.requests[request_index].ingress.is_some() {
            return;
        }
        let (client_index, ingress_count) = (self.client_of(request_index), self.ingresses.len());
        let first = self.workload.first_ingress(self.requests[request_index].arrival.customer, ingress_count);
        let Self { clients, requests, rng, .. } = self;
        let client = &mut clients[client_index];
        let set = client.ingresses.ingress_set(self.workload.spread.min(ingress_count), first);
        let picked = client.ingresses.pick(self.now, set, &requests[request_index].tried, &mut || rng.f64());
        let Some(ingress_index) = picked else { return };
        let incarnation = self.ingresses[ingress_index].incarnation;
        if client.idle[ingress_index] > 0 {
            client.idle[ingress_index] -= 1;
            client.ingresses.try_started(ingress_index);
            return self.send_try(request_index, ingress_index, incarnation);
        }
        match client.ingresses.reserve_connection(self.now, ingress_index) {
            Ok(()) => {
                client.ingresses.try_started(ingress_index);
                self.requests[request_index].ingress = Some(ingress_index);
                let done =
                    SimEvent::ConnectDone { request: request_index, ingress: ingress_index, incarnation };
                self.schedule_after(2.0 * self.fleet.network_delay, done);
            }
            Err(wait) => {
                self.schedule_after(wait.clamp(1.0, 100.0), SimEvent::StartTry { request: request_index })
            }
        }
    }

    fn connect_done(&mut self, request_index: usize, ingress_index: usize, incarnation: u32) {
        let client_index = self.client_of(request_index);
        let accepted =
            self.ingresses[ingress_index].is_up && self.ingresses[ingress_index].incarnation == incarnation;
        let naive = self.fleet.naive;
        let Self { clients, rng, .. } = self;
        let client = &mut clients[client_index];
        let mut random = || if naive { 1.0 } else { rng.f64() };
        if !accepted {
            self.report.connections_refused += 1;
            client.ingresses.try_ended(self.now, ingress_index, HealthSignal::Unreachable, &mut random);
            client.ingresses.connect_failed(self.now, ingress_index, &mut random);
            self.requests[request_index].ingress = None;
            if !self.requests[request_index].tried.contains(&ingress_index) {
                self.requests[request_index].tried.push(ingress_index);
            }
            return self.start_try(request_index);
        }
        client.ingresses.connect_succeeded(ingress_index);
        self.report.record_connection(self.now);
        if self.requests[request_index].is_done {
            client.ingresses.try_ended(self.now, ingress_index, HealthSignal::Answered, &mut random);
            client.idle[ingress_index] += 1;
            return;
        }
        self.send_try(request_index, ingress_index, incarnation);
    }

    fn send_try(&mut self, request_index: usize, ingress_index: usize, incarnation: u32) {
        let client_index = self.client_of(request_index);
        let request = &mut self.requests[request_index];
        (request.ingress, request.try_number) = (Some(ingress_index), request.try_number + 1);
        request.tried.push(ingress_index);
        request.retry_state.try_sent(
            self.now,
            &self.fleet.retry_policy,
            &mut self.clients[client_index].budget,
        );
        self.report.tries += 1;
        let arrived = SimEvent::TryArrived { request: request_index, ingress: ingress_index, incarnation };
        self.schedule_after(self.fleet.network_delay, arrived);
    }

    fn try_arrived(&mut self, request_index: usize, ingress_index: usize, incarnation: u32) {
        let (request, ingress) = (&self.requests[request_index], &mut self.ingresses[ingress_index]);
        if !ingress.is_up || ingress.incarnation != incarnation {
            let (try_number, outcome) = (request.try_number, TryOutcome::ConnectionLost);
            let ended = SimEvent::TryEnded { request: request_index, try_number, outcome };
            return self.schedule_after(self.fleet.network_delay, ended);
        }
        self.sequence += 1;
        let id = RequestId(self.sequence);
        let units = f64::from(request.arrival.units);
        ingress
            .requests
            .insert(id, IngressRequest { request: request_index, try_number: request.try_number, units });
        let ingress_count = self.clients[0].idle.len();
        let request = weldhub::interface::Request {
            id,
            class: ClassId(request.arrival.class),
            plan: PlanId(0),
            customer: CustomerId(request.arrival.customer),
            time_left: request.retry_state.deadline() - self.now,
            units,
            spread: self.workload.spread.min(ingress_count) as u16,
            first_ingress: IngressId(
                self.workload.first_ingress(request.arrival.customer, ingress_count) as u16
            ),
            is_retry: request.try_number > 1,
            identity: None,
        };
        self.feed(ingress_index, Event::Request(request));
    }

    /// A client learns the end of a try. Does nothing if the request has ended or a later try was sent.
    fn try_ended(&mut self, request_index: usize, try_number: u32, outcome: TryOutcome) {
        let client_index = self.client_of(request_index);
        if self.requests[request_index].is_done || self.requests[request_index].try_number != try_number {
            return;
        }
        let naive = self.fleet.naive;
        let Self { clients, requests, rng, .. } = self;
        let (client, request) = (&mut clients[client_index], &mut requests[request_index]);
        let mut random = || if naive { 1.0 } else { rng.f64() };
        if let Some(ingress_index) = request.ingress.take() {
            let signal = if outcome.may_have_run() { HealthSignal::Failed } else { HealthSignal::Answered };
            client.ingresses.try_ended(self.now, ingress_index, signal, &mut random);
            match outcome {
                TryOutcome::ConnectionLost => {
                    client.ingresses.connection_lost(self.now, ingress_index, &mut random)
                }
                TryOutcome::TimedOut | TryOutcome::NotSent => {
                    client.ingresses.connection_closed(ingress_index)
                }
                _ => client.idle[ingress_index] += 1,
            }
        }
        let policy = &self.fleet.retry_policy;
        let decision =
            request.retry_state.try_ended(self.now, outcome, policy, &mut client.budget, &mut random);
        match (decision, outcome) {
            (RetryDecision::RetryAt(at), _) => {
                self.schedule_at(at, SimEvent::StartTry { request: request_index })
            }
            (RetryDecision::Stop(_), TryOutcome::Served) => {
                self.request_ended(request_index, RequestOutcome::Served)
            }
            (RetryDecision::Stop(_), TryOutcome::Rejected { .. }) => {
                self.request_ended(request_index, RequestOutcome::Rejected)
            }
            (RetryDecision::Stop(_), _) => self.request_ended(request_index, RequestOutcome::Failed),
        }
    }

    /// Records the end of a request. Does nothing if it has ended before.
    fn request_ended(&mut self, request_index: usize, outcome: RequestOutcome) {
        let request = &mut self.requests[request_index];
        if !std::mem::replace(&mut request.is_done, true) {
            self.open_requests -= 1;
            let (class, latency_ms) = (request.arrival.class, self.now - request.arrival.at);
            self.report.record_request(class, outcome, latency_ms);
        }
    }
}
