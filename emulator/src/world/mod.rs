//! The discrete-event simulation of a fleet round the shipped limiter, membership policy and client policy.

mod attempts;
mod clients;
mod decisions;
mod discovery;
mod event;
mod ingresses;
mod sampling;
mod settings;
mod troubles;

pub use decisions::{DecisionModule, DecisionModuleFactory, shipped_limiter};
pub use sampling::{BackendSample, IngressSample, RunOutcome, Trace};

use crate::backend::{Backend, LoadReport};
use crate::check::Checker;
use crate::cold::ColdStartMonitor;
use crate::report::{ClassStats, Report, Second};
use crate::score::Score;
use crate::script::{Script, UniformRange};
use crate::shared::{Counter, RateLimiter};
use attempts::Attempt;
use clients::{Client, ClientRequest, Customer};
use event::{EventKind, ScheduledEvent};
use ingresses::{Ingress, TryCounts};
use sampling::Totals;
use settings::ingress_settings;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{BackendId, BackendState};
use weldhub::maintenance::Maintenance;
use weldhub::membership::MembershipPolicy;
use weldhub::membership::members::Members;

/// The time of day of the decision modules at the start of a run, in milliseconds since the Unix epoch.
const EPOCH_MS: f64 = 1.7e12;
/// Attempts end this long before the client's timeout, as in the engine, in milliseconds.
const ATTEMPT_MARGIN_MS: f64 = 20.0;
/// The answer to a request is due this long before the client's timeout, as in the engine, in milliseconds.
const ANSWER_MARGIN_MS: f64 = 10.0;
/// The most that either margin takes of a short timeout, as a fraction.
const MAX_MARGIN_SHARE: f64 = 0.2;
/// A query to discovery that would wait longer than this fails, in milliseconds.
const DISCOVERY_TIMEOUT_MS: f64 = 2000.0;
/// The response time of Consul's catalogue, in milliseconds.
const CATALOGUE_DELAY_MS: f64 = 5.0;
/// With a shorter client timeout than this, a missing answer is not counted as a breach: the answer may
/// become due before the decision module's own, in milliseconds.
const MIN_CHECKED_TIMEOUT_MS: f64 = 500.0;
/// The time from the end of a drained backend until discovery lists it as gone, in milliseconds.
const GONE_DELAY_MS: f64 = 100.0;
/// How long a run goes on after the last arrival, so that open requests can end, in milliseconds.
const RUN_OUT_MS: f64 = 4000.0;

/// The state of a run.
struct World<'a> {
    script: &'a Script,
    factory: DecisionModuleFactory<'a>,
    /// The simulated time, in milliseconds.
    now: f64,
    rng: fastrand::Rng,
    event_queue: BinaryHeap<Reverse<ScheduledEvent>>,
    /// The last sequence number given to an event or to a call to the counter.
    seq: u64,
    event_count: u64,
    ingresses: Vec<Ingress>,
    backends: Vec<Backend>,
    /// Incremented when the process of a backend ends, by backend.
    backend_incarnations: Vec<u64>,
    /// The load report that answers carry, by backend.
    visible_reports: Vec<LoadReport>,
    /// The last start that discovery knows of, in milliseconds, by backend; below 0 if before the run.
    published_starts: Vec<f64>,
    cold: ColdStartMonitor,
    /// The relative preference of clients for each ingress.
    ingress_weights: Vec<f64>,
    backend_by_id: HashMap<BackendId, usize>,
    /// The backends that discovery lists, with their states.
    published: BTreeMap<usize, BackendState>,
    counter: Option<Counter>,
    /// When discovery has answered all queries so far, in milliseconds.
    discovery_free_at: f64,
    customers: Vec<Customer>,
    /// The instances of the client library; empty if clients retry without it.
    clients: Vec<Client>,
    client_requests: Vec<ClientRequest>,
    attempts: Vec<Attempt>,
    /// The zones that cannot reach the others.
    partitioned_zones: BTreeSet<u8>,
    /// The fraction of peer messages lost until `peer_loss_until`, if higher than usual.
    peer_loss: f64,
    peer_loss_until: f64,
    /// The factor on the arrival rate of all customers until `surge_until`.
    surge_factor: f64,
    surge_until: f64,
    checker: Checker,
    score: Score,
    /// By class.
    tallies: Vec<ClassStats>,
    seconds: Vec<Second>,
    last_request_id: u64,
    totals: Totals,
    trace: Trace,
    ingress_samples: Vec<IngressSample>,
    backend_samples: Vec<BackendSample>,
    /// The relative frequency of requests of 1, 2, 3 ... units.
    size_weights: Vec<f64>,
}

/// Plays a script with the shipped limiter.
pub fn play(script: &Script, seed: u64) -> Result<Report, String> {
    Ok(run(script, seed, &shipped_limiter, Trace::default())?.report)
}

/// Plays a script with the decision modules that `factory` makes. The same script and seed give the same
/// outcome.
pub fn run(
    script: &Script,
    seed: u64,
    factory: DecisionModuleFactory<'_>,
    trace: Trace,
) -> Result<RunOutcome, String> {
    let mut world = World::new(script, seed, factory, trace)?;
    let end = script.length + RUN_OUT_MS;
    while let Some(Reverse(event)) = world.event_queue.pop() {
        world.now = event.at_us as f64 / 1000.0;
        if world.now > end {
            break;
        }
        world.event_count += 1;
        world.handle_event(event.kind);
    }
    Ok(world.into_outcome(seed))
}

/// Returns the name of a backend, from which its id is derived.
fn backend_name(backend: usize) -> String {
    format!("s{backend}")
}

impl<'a> World<'a> {
    fn new(
        script: &'a Script,
        seed: u64,
        factory: DecisionModuleFactory<'a>,
        trace: Trace,
    ) -> Result<Self, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let zones = script.network.halls;
        let mut backends = Vec::new();
        for (k, kind) in script.kinds.iter().enumerate() {
            for _ in 0..kind.count {
                let speed = kind.speed[0] + rng.f64() * (kind.speed[1] - kind.speed[0]);
                let mut backend = Backend::new(kind.cores, speed, kind.slots, kind.queue, -1.0);
                (backend.kind, backend.error_rate) = (k as u16, kind.errors);
                backend.mean_work = script.mean_work();
                backends.push(backend);
            }
        }
        // Each kind is spread over zones and cells.
        for (i, backend) in backends.iter_mut().enumerate() {
            backend.zone = (i % usize::from(zones)) as u8;
            backend.cell = (i / usize::from(script.servers.cell)) as u16;
        }
        let tallies = script.classes.iter().map(|_| ClassStats::new()).collect::<Result<_, _>>()?;
        // Each size is half as frequent as the one below.
        let size_weights: Vec<f64> = (0..script.load.largest).map(|k| 0.5f64.powi(k as i32)).collect();
        let backend_count = backends.len();
        let mut this = Self {
            script,
            factory,
            now: 0.0,
            rng,
            event_queue: BinaryHeap::new(),
            seq: 0,
            event_count: 0,
            ingresses: Vec::new(),
            backend_incarnations: vec![0; backend_count],
            visible_reports: vec![LoadReport::default(); backend_count],
            published_starts: vec![-1.0; backend_count],
            cold: ColdStartMonitor::new(script),
            ingress_weights: Vec::new(),
            backend_by_id: (0..backend_count).map(|i| (backend_id(&backend_name(i)), i)).collect(),
            published: (0..backend_count).map(|i| (i, BackendState::Ready)).collect(),
            backends,
            counter: script.counter.as_ref().map(Counter::new),
            discovery_free_at: 0.0,
            customers: Vec::new(),
            clients: Vec::new(),
            client_requests: Vec::new(),
            attempts: Vec::new(),
            partitioned_zones: BTreeSet::new(),
            peer_loss: 0.0,
            peer_loss_until: 0.0,
            surge_factor: 1.0,
            surge_until: 0.0,
            checker: Checker::default(),
            score: Score::new(script),
            tallies,
            seconds: Vec::new(),
            last_request_id: 0,
            totals: Totals::default(),
            trace,
            ingress_samples: Vec::new(),
            backend_samples: Vec::new(),
            size_weights,
        };
        for i in 0..script.ingresses.count {
            let decisions = (this.factory)(ingress_settings(script, i), this.rng.u64(..))?;
            let messages_per_second = script.peers.as_ref().map_or(0.0, |p| p.per_second);
            this.ingresses.push(Ingress {
                decisions,
                incarnation: 0,
                up: true,
                up_since: f64::NEG_INFINITY,
                down_since: 0.0,
                known_down_at: f64::INFINITY,
                zone: (i % u16::from(zones)) as u8,
                maintenance: Maintenance::default(),
                members: Members::new(MembershipPolicy::default()),
                subscribed: true,
                known_states: HashMap::new(),
                requests: HashMap::new(),
                idle_connections: HashMap::new(),
                message_limiter: RateLimiter::new(messages_per_second, 0.0),
                counter_calls: HashMap::new(),
                try_counts: TryCounts::default(),
            });
        }
        this.ingress_weights = (0..this.ingresses.len()).map(|_| this.draw_ingress_weight()).collect();
        this.create_customers();
        for ingress in 0..this.ingresses.len() {
            this.start_ingress(ingress);
        }
        for backend in 0..backend_count {
            this.schedule_at(0.0, EventKind::LoadReportDue(backend));
        }
        for (k, trouble) in script.troubles.iter().enumerate() {
            this.schedule_at(trouble.at, EventKind::TroubleBegins(k));
        }
        if trace.interval_ms > 0.0 {
            this.schedule_at(0.0, EventKind::Sample);
        }
        Ok(this)
    }

    /// Draws the relative preference for an ingress from a log-normal distribution. Draws nothing if the
    /// script makes all equal, so that the random numbers of such scripts stay the same.
    fn draw_ingress_weight(&mut self) -> f64 {
        let deviation = self.script.load.uneven;
        if deviation <= 0.0 {
            return 1.0;
        }
        // A Box-Muller transform.
        let [radius, angle] = [1.0 - self.rng.f64(), self.rng.f64()];
        let normal = (-2.0 * radius.ln()).sqrt() * (std::f64::consts::TAU * angle).cos();
        (deviation * normal).exp()
    }

    /// Draws the first ingress of a customer's set, by preference.
    fn draw_first_ingress(&mut self) -> u16 {
        if self.script.load.uneven <= 0.0 {
            return self.rng.u16(0..self.script.ingresses.count);
        }
        let weights = std::mem::take(&mut self.ingress_weights);
        let first = self.draw_weighted(&weights) as u16;
        self.ingress_weights = weights;
        first
    }

    /// Draws from a uniform distribution over `span`.
    fn draw(&mut self, span: UniformRange) -> f64 {
        span[0] + self.rng.f64() * (span[1] - span[0])
    }

    /// Draws an index with a probability in proportion to its weight.
    fn draw_weighted(&mut self, weights: &[f64]) -> usize {
        let mut at = self.rng.f64() * weights.iter().sum::<f64>();
        let found = weights.iter().position(|w| {
            at -= w;
            at < 0.0
        });
        found.unwrap_or(weights.len() - 1)
    }

    /// Returns the figures of the present second of the run.
    fn current_second(&mut self) -> &mut Second {
        let index = (self.now / 1000.0) as usize;
        while self.seconds.len() <= index {
            let at = self.seconds.len() as f64;
            self.seconds.push(Second { at, ..Second::default() });
        }
        &mut self.seconds[index]
    }

    /// Draws the one-way delay between two zones, in milliseconds.
    fn draw_hop(&mut self, from: u8, to: u8) -> f64 {
        let span = if from == to { self.script.network.same } else { self.script.network.cross };
        self.draw(span)
    }

    /// Returns whether a network partition separates two zones.
    fn is_partitioned(&self, a: u8, b: u8) -> bool {
        a != b && (self.partitioned_zones.contains(&a) || self.partitioned_zones.contains(&b))
    }

    /// Chooses a share of the backends that are up and not draining, in groups of the share `at_once` that
    /// follow each other over `over` milliseconds. Returns each backend with the time of its group.
    fn schedule_in_groups(&mut self, share: f64, at_once: f64, over: f64) -> Vec<(usize, f64)> {
        let live: Vec<usize> = (0..self.backends.len())
            .filter(|s| self.backends[*s].up && !self.backends[*s].draining)
            .collect();
        let group = Self::count_of_share(at_once, live.len());
        let picked = self.choose(live.len(), Self::count_of_share(share, live.len()));
        let groups = picked.len().div_ceil(group).max(1);
        let at = |k: usize| self.now + over * (k / group) as f64 / groups as f64;
        picked.into_iter().enumerate().map(|(k, which)| (live[which], at(k))).collect()
    }

    /// Lets a backend drain and stop after `grace` milliseconds. Returns `false` if it is down or draining
    /// already.
    fn drain_backend(&mut self, backend: usize, grace: f64) -> bool {
        if !self.backends[backend].up || self.backends[backend].draining {
            return false;
        }
        self.backends[backend].draining = true;
        let notice = self.draw(self.script.discovery.notice);
        self.schedule_publication(backend, BackendState::Draining, notice.min(grace));
        self.schedule_after(grace, EventKind::BackendStops(backend));
        true
    }

    fn handle_event(&mut self, kind: EventKind) {
        match kind {
            EventKind::RequestArrives(customer) if customer >= self.customers.len() => {
                self.schedule_next_arrival(usize::MAX - customer)
            }
            EventKind::RequestArrives(customer) => self.request_arrives(customer),
            EventKind::TryStarts(request) => self.start_try(request),
            EventKind::TryArrives(request, try_number, ingress, incarnation) => {
                self.try_arrives(request, try_number, ingress, incarnation)
            }
            EventKind::TryAnswered(request, try_number, outcome) => {
                self.try_answered(request, try_number, outcome)
            }
            EventKind::TryTimesOut(request, try_number) => self.try_times_out(request, try_number),
            EventKind::Timer(ingress, incarnation, key) => {
                if self.ingresses[ingress].is_live(incarnation) {
                    self.dispatch(ingress, Event::Timer(key));
                }
            }
            EventKind::AnswerDue(ingress, incarnation, id) => self.answer_due(ingress, incarnation, id),
            EventKind::ListArrives(ingress, incarnation, kind, entries) => {
                self.list_arrives(ingress, incarnation, kind, entries)
            }
            EventKind::StatePublished(backend, state, incarnation) => {
                self.publish(backend, state, incarnation)
            }
            EventKind::CatalogueAnswered(ingress, incarnation, round) => {
                self.catalogue_answered(ingress, incarnation, round)
            }
            EventKind::MembershipDue(ingress, incarnation) => {
                if self.ingresses[ingress].is_live(incarnation) {
                    let changes = self.ingresses[ingress].members.end_hold_downs(self.now);
                    self.report_changes(ingress, changes);
                }
            }
            EventKind::CompleteListRead(ingress, incarnation) => {
                self.complete_list_read(ingress, incarnation)
            }
            EventKind::PeerMessageArrives(to, from, bytes) => self.peer_message_arrives(to, from, bytes),
            EventKind::CounterCallArrives(ingress, incarnation, call, name, amount, lifetime) => {
                self.counter_call_arrives(ingress, incarnation, call, name, amount, lifetime)
            }
            EventKind::CounterCallEnds(ingress, incarnation, call, name, answer) => {
                self.counter_call_ends(ingress, incarnation, call, name, answer)
            }
            EventKind::AttemptArrives(attempt) => self.attempt_arrives(attempt),
            EventKind::AttemptsComplete(backend, version) => self.attempts_complete(backend, version),
            EventKind::ReplyArrives(attempt, outcome, report) => self.end_attempt(attempt, outcome, report),
            EventKind::AttemptAbandoned(attempt, outcome) => self.abandon_attempt(attempt, outcome),
            EventKind::LoadReportDue(backend) => self.take_load_report(backend),
            EventKind::LoadReportVisible(backend, report) => self.visible_reports[backend] = report,
            EventKind::CustomerShifts(customer) => self.shift_customer(customer),
            EventKind::TroubleBegins(trouble) => self.begin_trouble(trouble),
            EventKind::IngressDies(ingress, down) => {
                self.stop_ingress(ingress);
                self.schedule_after(down, EventKind::IngressRestarts(ingress));
            }
            EventKind::IngressRestarts(ingress) => self.restart_ingress(ingress),
            EventKind::BackendReplaced(backend, grace) => self.replace_backend(backend, grace),
            EventKind::BackendRemoved(backend, grace) => drop(self.drain_backend(backend, grace)),
            EventKind::BackendStops(backend) => {
                let drained = self.backends[backend].draining;
                self.stop_backend(backend);
                if drained {
                    self.schedule_publication(backend, BackendState::Gone, GONE_DELAY_MS);
                }
            }
            EventKind::BackendStarts(backend) => {
                let now = self.now;
                self.backends[backend].start(now);
                let delay = self.draw(self.script.discovery.add);
                self.schedule_publication(backend, BackendState::Ready, delay);
            }
            EventKind::BackendRestarts(backend, known_after) => self.restart_backend(backend, known_after),
            EventKind::BackendDisabled(ingress, backend, disabled) => {
                self.set_backend_disabled(ingress, backend, disabled)
            }
            EventKind::BackendSlowed(backend, factor) => {
                let now = self.now;
                self.backends[backend].slow_down(now, factor, &self.script.servers);
                self.schedule_completion(backend);
            }
            EventKind::ErrorRateChanges(backend, rate) => self.backends[backend].error_rate = rate,
            EventKind::PartitionHeals(zone) => drop(self.partitioned_zones.remove(&zone)),
            EventKind::Sample => self.sample(),
        }
    }
}
