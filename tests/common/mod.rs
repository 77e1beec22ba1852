//! A limiter with its settings and a simulated clock, for the tests of its decisions. Every seed is fixed.
#![allow(dead_code)]

use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

/// The latency target of every class in [`settings`], in milliseconds.
pub const AIM: f64 = 500.0;

/// Index of the class in [`settings`] that may be repeated at will.
pub const SAFE: usize = 0;
/// Index of the class whose repeats are recognised in the zone of the first attempt.
pub const KEYED_BY_ZONE: usize = 1;
/// Index of the class that must not run twice.
pub const UNSAFE: usize = 2;
/// Index of the class whose repeats all backends recognise.
pub const KEYED: usize = 3;

/// The timer of the limiter's regular tick.
pub const TICK_TIMER: TimerKey = TimerKey(1);
/// The timer of quota requests that wait for their owner's answer.
pub const QUOTA_ANSWER_TIMER: TimerKey = TimerKey(3);

/// Returns a plan of 10 units a second and a burst of 20.
pub fn plan() -> Plan {
    Plan { rate: 10.0, burst: 20.0, ..Plan::default() }
}

/// Returns settings of ingress 0 of three that have neither peer messages nor a counter, with one plan and a
/// class of each retry safety.
pub fn settings(plan: Plan) -> Settings {
    let class = |retry_safety| Class { aim: AIM, worth: 1.0, retry_safety };
    Settings {
        ingress: IngressId(0),
        ingress_count: 3,
        zone: ZoneId(0),
        classes: vec![
            class(RetrySafety::Safe),
            class(RetrySafety::Keyed { scope: DedupScope::Zone, window: 1000.0 }),
            class(RetrySafety::Unsafe),
            class(RetrySafety::Keyed { scope: DedupScope::All, window: 1000.0 }),
        ],
        plans: vec![plan],
        max_request_units: 4.0,
        units_are_estimates: false,
        meter_period: 0.0,
        counter: false,
        counter_timeout: 50.0,
        peers: false,
        peer_messages_per_second: 0.0,
        max_attempts: 4,
        hedging: false,
        cancellation: true,
        max_retry_after: 1000.0,
        list_on_request: false,
        cold: ColdStart {
            initial_capacity: 0.25,
            warm_after: 10_000.0,
            overload_multiple: 3.0,
            overload_window: 1000.0,
        },
        cross_zone_cost: false,
    }
}

/// A limiter and its clock.
pub struct Harness {
    /// The limiter under test.
    pub limiter: Limiter,
    /// The simulated time.
    pub now: Millis,
    /// The id of the last request.
    last_request: u64,
}

/// Returns the entry of a ready, warm backend. Backends with odd numbers are in zone 1, the others in zone 0,
/// and every two successive ones share a cell.
pub fn backend_entry(number: u64) -> BackendEntry {
    BackendEntry {
        backend: BackendId(number),
        state: BackendState::Ready,
        weight: 1.0,
        zone: ZoneId((number % 2) as u8),
        cell: CellId((number / 2) as u16),
        kind: KindId(0),
        last_start: None,
    }
}

impl Harness {
    /// Starts a limiter with `backends` warm backends, numbered from 0.
    pub fn new(settings: Settings, backends: u64) -> Self {
        let limiter = Limiter::new(settings, 7).unwrap();
        let mut harness = Self { limiter, now: 1_000_000.0, last_request: 0 };
        harness.handle(Event::Start);
        harness.handle(Event::BackendList(ListKind::Cached, (0..backends).map(backend_entry).collect()));
        harness
    }

    /// Passes an event to the limiter and returns the resulting actions.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.handle(self.now, event, &mut actions);
        actions
    }

    /// Advances the clock without any event.
    pub fn advance(&mut self, span: Millis) -> &mut Self {
        self.now += span;
        self
    }

    /// Advances the clock by `span`, with a tick every 50 ms.
    pub fn run_ticks(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 50.0;
            self.handle(Event::Timer(TICK_TIMER));
        }
    }

    /// Submits a request with 2 s left of a customer whose requests are spread over `spread` ingresses,
    /// counted from 0. Returns its id and the resulting actions.
    pub fn request(
        &mut self,
        customer: u64,
        class: usize,
        units: f64,
        spread: u16,
    ) -> (RequestId, Vec<Action>) {
        self.last_request += 1;
        let id = RequestId(self.last_request);
        let actions = self.handle(Event::Request(Request {
            id,
            class: ClassId(class),
            plan: PlanId(0),
            customer: CustomerId(customer),
            time_left: 2000.0,
            units,
            spread,
            first_ingress: IngressId(0),
            is_retry: false,
            identity: None,
        }));
        (id, actions)
    }

    /// Ends an attempt and returns the resulting actions.
    pub fn end_attempt(
        &mut self,
        id: RequestId,
        attempt: u16,
        backend: BackendId,
        outcome: Outcome,
        elapsed: Millis,
    ) -> Vec<Action> {
        self.handle(Event::AttemptEnded(attempt_end(id, attempt, backend, outcome, elapsed)))
    }

    /// Submits a request of the safe class and, if it is sent to a backend, ends it as served. Returns whether
    /// it was sent.
    pub fn serve(&mut self, customer: u64, units: f64, spread: u16) -> bool {
        let (id, actions) = self.request(customer, SAFE, units, spread);
        let Some(backend) = sent_to(&actions) else { return false };
        self.end_attempt(id, 0, backend, Outcome::Served, 50.0);
        true
    }
}

/// Returns the end of an attempt, without reported load, units or use.
pub fn attempt_end(
    request: RequestId,
    attempt: u16,
    backend: BackendId,
    outcome: Outcome,
    elapsed: Millis,
) -> AttemptEnd {
    AttemptEnd {
        request,
        attempt: AttemptIndex(attempt),
        backend,
        outcome,
        elapsed,
        request_closed: outcome == Outcome::Served,
        metered_use: None,
        settled_units: None,
        load: Load::default(),
    }
}

/// Returns the backend to which the actions send an attempt; `None` if they send none.
pub fn sent_to(actions: &[Action]) -> Option<BackendId> {
    actions.iter().find_map(|a| if let Action::Send { backend, .. } = a { Some(*backend) } else { None })
}

/// Returns whether the actions reject a request.
pub fn rejected(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Reject(..)))
}

/// Returns whether the actions fail a request.
pub fn failed(actions: &[Action]) -> bool {
    actions.iter().any(|a| matches!(a, Action::Fail(_)))
}
