//! One ingress of the fleet under its share of the load, in simulated time: the latency that its decisions
//! add to each request.
//!
//! The decisions are the program's, and the CPU time of each event that they handle is measured. An ingress
//! has one thread, so the measured times run one after the other as they would on that thread. The latency
//! added to a request is the time that it waits for the thread plus the time that its own event takes. Other
//! ingresses are simulated by a second pipeline of the same kind: it answers as quota owner, and each quota
//! request that is sent to it comes back to the measured ingress as one from a peer.

use super::fixture::{QuotaSource, change_line, full_list_line, parse_line, request, settings};
use super::meter::{Traffic, TrafficRate, heap_bytes, thread_cpu_time};
use super::pipeline::{DecisionPipeline, SubsetSize};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use weldhub::interface::{
    Action, AttemptEnd, AttemptIndex, BackendId, CounterAnswer, CounterName, Event, IngressId, Load, Outcome,
    RequestId, TimerKey,
};

/// The delay of a datagram between ingresses, in microseconds.
const PEER_DELAY_MICROS: u64 = 1000;
/// The time from a call to the shared counter to its answer, in microseconds.
const COUNTER_DELAY_MICROS: u64 = 2000;
/// The mean time of a backend's answer, in microseconds. Each one takes 0.5 to 1.5 times as long.
const MEAN_SERVICE_MICROS: f64 = 40_000.0;
/// The first byte of a quota request, a message from an ingress to a quota owner.
const QUOTA_REQUEST_TAG: u8 = 0;
/// The first byte of the message that tells a quota owner that a granted request has ended.
const REQUEST_ENDED_TAG: u8 = 3;
/// The first bytes of the messages that a quota owner receives.
const QUOTA_OWNER_TAGS: [u8; 2] = [QUOTA_REQUEST_TAG, REQUEST_ENDED_TAG];
/// The bytes of the IPv4 and UDP headers of a datagram.
const DATAGRAM_HEADER_BYTES: u64 = 28;
/// The largest total that the simulated counter answers, in units. It is below the burst of the plan.
const MAX_COUNTER_TOTAL: f64 = 10.0;

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// The number of ingresses in the fleet.
    pub ingresses: usize,
    /// The number of backends on the list.
    pub backends: usize,
    /// The number of customers whose requests this ingress receives. Each of them sends equally many.
    pub customers: usize,
    /// The rate of requests at this ingress, a second.
    pub requests_per_second: f64,
    /// The rate of changes of the backend list, a second.
    pub list_changes_per_second: f64,
    /// The simulated time, in seconds.
    pub seconds: f64,
    /// How the ingresses share the use of quotas.
    pub quota_source: QuotaSource,
    /// The number of backends that the ingress sends to.
    pub subset_size: SubsetSize,
}

/// The measurements of the ingress.
#[derive(Debug, Clone)]
pub struct Measurements {
    /// The latency added to each request, in nanoseconds. Time spent on an answer from another ingress or the
    /// counter is not included.
    pub added_nanos: Histogram<u64>,
    /// The number of quota requests sent to other ingresses and of calls to the counter.
    pub quota_calls: u64,
    /// The number of requests received.
    pub requests: u64,
    /// The number of requests rejected.
    pub rejected: u64,
    /// The CPU time used, as a fraction of a core.
    pub cpu_share: f64,
    /// The datagrams sent to other ingresses, with their headers.
    pub peer_traffic: TrafficRate,
    /// The calls to the counter.
    pub counter_traffic: TrafficRate,
    /// The number of backends that were sent at least one attempt.
    pub backends_used: usize,
    /// The heap bytes at the end beyond those before the first request, when the backend list was already in
    /// place.
    pub heap_growth: f64,
}

/// An event of the simulation.
#[derive(Debug, Clone, PartialEq)]
enum SimEvent {
    /// A client's request arrives.
    RequestArrived,
    /// Discovery sends a change of the backend list.
    ListChanged,
    /// The ingress handles an event.
    Handle(Event),
}

/// A queue of events, ordered by time, then by insertion.
struct EventQueue {
    /// The time in microseconds and the index in `events` of each pending event.
    order: BinaryHeap<Reverse<(u64, usize)>>,
    events: Vec<Option<SimEvent>>,
}

impl EventQueue {
    fn push(&mut self, at_micros: u64, event: SimEvent) {
        self.order.push(Reverse((at_micros, self.events.len())));
        self.events.push(Some(event));
    }

    fn pop(&mut self) -> Option<(u64, SimEvent)> {
        let Reverse((at_micros, index)) = self.order.pop()?;
        Some((at_micros, self.events.get_mut(index)?.take()?))
    }
}

struct Simulation {
    setup: Setup,
    ingress: DecisionPipeline,
    /// A pipeline that answers in place of every other ingress.
    peer: DecisionPipeline,
    queue: EventQueue,
    rng: fastrand::Rng,
    backends_used: BTreeSet<BackendId>,
    measurements: Measurements,
    /// The CPU time used so far, in microseconds.
    cpu_micros: f64,
    /// When the ingress's thread is free again, in microseconds.
    thread_free_micros: f64,
    list_generation: u64,
    peer_traffic: Traffic,
    counter_traffic: Traffic,
    /// The total of the simulated counter, in units; one for all names.
    counter_total: f64,
}

/// Runs the simulation.
///
/// # Errors
/// Returns why a list could not be read, or what is wrong with the settings.
pub fn run(setup: Setup) -> Result<Measurements, String> {
    let added_nanos = Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|e| e.to_string())?;
    let measurements = Measurements {
        added_nanos,
        quota_calls: 0,
        requests: 0,
        rejected: 0,
        cpu_share: 0.0,
        peer_traffic: TrafficRate::default(),
        counter_traffic: TrafficRate::default(),
        backends_used: 0,
        heap_growth: 0.0,
    };
    let new_pipeline = |ingress| {
        DecisionPipeline::new(settings(ingress, setup.ingresses, setup.quota_source), setup.subset_size)
    };
    let mut simulation = Simulation {
        setup,
        ingress: new_pipeline(0)?,
        peer: new_pipeline(1)?,
        queue: EventQueue { order: BinaryHeap::new(), events: Vec::new() },
        rng: fastrand::Rng::with_seed(7),
        backends_used: BTreeSet::new(),
        measurements,
        cpu_micros: 0.0,
        thread_free_micros: 0.0,
        list_generation: 1,
        peer_traffic: Traffic::default(),
        counter_traffic: Traffic::default(),
        counter_total: 0.0,
    };
    simulation.start()?;
    simulation.run()?;
    Ok(simulation.finish())
}

fn to_millis(micros: u64) -> f64 {
    micros as f64 / 1000.0
}

impl Simulation {
    /// Gives the ingress its backend list and schedules the first request and the first change of the list.
    fn start(&mut self) -> Result<(), String> {
        let list = parse_line(&full_list_line(self.setup.backends), None)?;
        let actions = self.ingress.handle(0.0, Event::Start);
        self.perform(0, actions);
        self.peer.handle(0.0, Event::Start);
        self.ingress.apply_list(0.0, list);
        self.measurements.heap_growth = heap_bytes();
        self.queue.push(1000, SimEvent::RequestArrived);
        if self.setup.list_changes_per_second > 0.0 {
            self.queue.push(500_000, SimEvent::ListChanged);
        }
        Ok(())
    }

    fn run(&mut self) -> Result<(), String> {
        let end_micros = (self.setup.seconds * 1e6) as u64;
        while let Some((at_micros, event)) = self.queue.pop() {
            if at_micros > end_micros {
                break;
            }
            match event {
                SimEvent::RequestArrived => self.submit_request(at_micros),
                SimEvent::ListChanged => self.change_list(at_micros)?,
                SimEvent::Handle(event) => {
                    self.execute(at_micros, |ingress, now| ingress.handle(now, event));
                }
            }
        }
        Ok(())
    }

    /// Runs a piece of work of the ingress, measures its CPU time and performs the actions that it returns.
    /// On the simulated thread the work starts as soon as the thread is free; returns when it is done, in
    /// microseconds.
    fn execute(
        &mut self,
        at_micros: u64,
        work: impl FnOnce(&mut DecisionPipeline, f64) -> Vec<Action>,
    ) -> f64 {
        let cpu_before = thread_cpu_time();
        let actions = work(&mut self.ingress, to_millis(at_micros));
        let cpu_micros = (thread_cpu_time() - cpu_before).as_secs_f64() * 1e6;
        self.cpu_micros += cpu_micros;
        self.thread_free_micros = self.thread_free_micros.max(at_micros as f64) + cpu_micros;
        let done_micros = self.thread_free_micros;
        self.perform(at_micros, actions);
        done_micros
    }

    /// Submits a request of a random customer, records the latency added to it and schedules the next
    /// request.
    fn submit_request(&mut self, at_micros: u64) {
        let gap_micros = -(1.0 - self.rng.f64()).ln() * 1e6 / self.setup.requests_per_second;
        self.queue.push(at_micros + gap_micros as u64 + 1, SimEvent::RequestArrived);
        self.measurements.requests += 1;
        let customer = self.rng.usize(..self.setup.customers);
        let settings = settings(0, self.setup.ingresses, self.setup.quota_source);
        let request = request(self.measurements.requests, customer, &settings);
        let done_micros =
            self.execute(at_micros, |ingress, now| ingress.handle(now, Event::Request(request)));
        let nanos = ((done_micros - at_micros as f64) * 1000.0).max(1.0) as u64;
        self.measurements.added_nanos.saturating_record(nanos);
    }

    /// Sends the ingress a change of the backend list, by turns the drain of a backend and its return, and
    /// schedules the next change.
    fn change_list(&mut self, at_micros: u64) -> Result<(), String> {
        let backend = (self.list_generation / 2) as usize % self.setup.backends;
        let lifecycle = if self.list_generation % 2 == 1 { "terminating" } else { "in_service" };
        self.list_generation += 1;
        let line = change_line(self.list_generation, backend, lifecycle);
        let mut failed = None;
        let known = self.list_generation - 1;
        self.execute(at_micros, |ingress, now| {
            match parse_line(&line, Some(known)) {
                Ok(list) => drop(ingress.apply_list(now, list)),
                Err(why) => failed = Some(why),
            }
            Vec::new()
        });
        let gap_micros = (1e6 / self.setup.list_changes_per_second) as u64;
        self.queue.push(at_micros + gap_micros, SimEvent::ListChanged);
        failed.map_or(Ok(()), Err)
    }

    /// Performs the actions of the ingress.
    fn perform(&mut self, at_micros: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, backend, .. } => self.send_attempt(at_micros, request, backend),
                Action::Reject(..) => self.measurements.rejected += 1,
                Action::SetTimer(wait, key) => self.set_timer(at_micros, wait, key),
                Action::SendToPeer(to, bytes) => self.send_to_peer(at_micros, to, bytes),
                Action::AddToCounter(name, amount, keep) => {
                    self.add_to_counter(at_micros, name, amount, keep)
                }
                _ => {}
            }
        }
    }

    fn set_timer(&mut self, at_micros: u64, wait_millis: f64, key: TimerKey) {
        let expires_micros = at_micros + (wait_millis * 1000.0) as u64;
        self.queue.push(expires_micros, SimEvent::Handle(Event::Timer(key)));
    }

    /// Schedules the backend's answer to an attempt. Every attempt is served.
    fn send_attempt(&mut self, at_micros: u64, request: RequestId, backend: BackendId) {
        self.backends_used.insert(backend);
        let service_micros = MEAN_SERVICE_MICROS * (0.5 + self.rng.f64());
        let end = AttemptEnd {
            request,
            attempt: AttemptIndex(0),
            backend,
            outcome: Outcome::Served,
            elapsed: service_micros / 1000.0,
            request_closed: true,
            metered_use: None,
            settled_units: None,
            load: Load { in_flight: Some(2.0), queued: Some(0.0), busy: Some(0.4), ..Load::default() },
        };
        self.queue.push(at_micros + service_micros as u64, SimEvent::Handle(Event::AttemptEnded(end)));
    }

    /// Passes a message for a quota owner to the simulated peer and schedules its answers. The same message
    /// is also scheduled as one from that peer, so the ingress receives as many quota requests as it sends.
    fn send_to_peer(&mut self, at_micros: u64, to: IngressId, bytes: Vec<u8>) {
        self.peer_traffic.add(bytes.len() as u64 + DATAGRAM_HEADER_BYTES);
        if !bytes.first().is_some_and(|tag| QUOTA_OWNER_TAGS.contains(tag)) {
            return;
        }
        self.measurements.quota_calls += u64::from(bytes[0] == QUOTA_REQUEST_TAG);
        let received_millis = to_millis(at_micros + PEER_DELAY_MICROS);
        let answers = self.peer.handle(received_millis, Event::PeerMessage(IngressId(0), bytes.clone()));
        for answer in answers {
            if let Action::SendToPeer(_, bytes) = answer {
                let event = SimEvent::Handle(Event::PeerMessage(to, bytes));
                self.queue.push(at_micros + 2 * PEER_DELAY_MICROS, event);
            }
        }
        let event = SimEvent::Handle(Event::PeerMessage(to, bytes));
        self.queue.push(at_micros + PEER_DELAY_MICROS, event);
    }

    /// Counts a call to the counter by the bytes of its line and schedules the answer.
    fn add_to_counter(&mut self, at_micros: u64, name: CounterName, amount: f64, keep_millis: f64) {
        let line = format!("bump {} {amount} {}\r\n", name.0, keep_millis.max(1.0) as u64);
        self.measurements.quota_calls += 1;
        self.counter_traffic.add(line.len() as u64);
        self.counter_total = (self.counter_total + amount).min(MAX_COUNTER_TOTAL);
        let answer = CounterAnswer::Total(self.counter_total);
        self.queue
            .push(at_micros + COUNTER_DELAY_MICROS, SimEvent::Handle(Event::CounterAnswered(name, answer)));
    }

    fn finish(mut self) -> Measurements {
        let seconds = self.setup.seconds;
        // The simulation's own data is not part of the heap of the ingress.
        self.queue.order.clear();
        self.queue.events = Vec::new();
        self.measurements.backends_used = self.backends_used.len();
        self.backends_used.clear();
        self.measurements.cpu_share = self.cpu_micros / seconds / 1e6;
        self.measurements.peer_traffic = self.peer_traffic.per_second(seconds);
        self.measurements.counter_traffic = self.counter_traffic.per_second(seconds);
        drop(self.peer);
        self.measurements.heap_growth = heap_bytes() - self.measurements.heap_growth;
        self.measurements
    }
}
