//! A limiter under test, its settings and a clock; every seed is fixed.
#![allow(dead_code)]

use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

pub const AIM: f64 = 500.0;

pub fn plan() -> Plan {
    Plan { rate: 10.0, burst: 20.0, ..Plan::default() }
}

/// Three gateways without any talk; classes safe (0), keyed by zone (1) and unsafe (2); one plan.
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

pub struct Bench {
    pub limiter: Limiter,
    pub now: Millis,
    next: u64,
}

pub fn entry(number: u64) -> BackendEntry {
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

impl Bench {
    /// Starts a limiter with `servers` warm servers, numbered from 0.
    pub fn new(settings: Settings, servers: u64) -> Self {
        let mut bench = Self { limiter: Limiter::new(settings, 7).unwrap(), now: 1_000_000.0, next: 0 };
        bench.event(Event::Start);
        bench.event(Event::BackendList(ListKind::Cached, (0..servers).map(entry).collect()));
        bench
    }

    pub fn event(&mut self, event: Event) -> Vec<Action> {
        let mut acts = Vec::new();
        self.limiter.handle(self.now, event, &mut acts);
        acts
    }

    pub fn wait(&mut self, span: Millis) -> &mut Self {
        self.now += span;
        self
    }

    /// Plays the regular timer for this long.
    pub fn tick(&mut self, span: Millis) {
        let end = self.now + span;
        while self.now < end {
            self.now += 50.0;
            self.event(Event::Timer(TimerKey(1)));
        }
    }

    /// A request of the class by the customer, spread over `spread` gateways from 0 on.
    pub fn ask(&mut self, customer: u64, class: usize, units: f64, spread: u16) -> (RequestId, Vec<Action>) {
        self.next += 1;
        let id = RequestId(self.next);
        let acts = self.event(Event::Request(Request {
            id,
            class: ClassId(class),
            plan: PlanId(0),
            customer: CustomerId(customer),
            time_left: 2000.0,
            units,
            spread,
            first_ingress: IngressId(0),
            is_retry: false,
        }));
        (id, acts)
    }

    pub fn end(
        &mut self,
        id: RequestId,
        no: u16,
        server: BackendId,
        outcome: Outcome,
        spent: Millis,
    ) -> Vec<Action> {
        self.event(Event::AttemptEnded(ended(id, no, server, outcome, spent)))
    }

    /// Asks and, if it is sent, serves it at once; tells whether it was sent.
    pub fn serve(&mut self, customer: u64, units: f64, spread: u16) -> bool {
        let (id, acts) = self.ask(customer, 0, units, spread);
        let Some(server) = sent(&acts) else { return false };
        self.end(id, 0, server, Outcome::Served, 50.0);
        true
    }
}

/// How an attempt ended, without a word of load, units or use.
pub fn ended(request: RequestId, no: u16, server: BackendId, outcome: Outcome, spent: Millis) -> AttemptEnd {
    AttemptEnd {
        request,
        attempt: AttemptIndex(no),
        backend: server,
        outcome,
        elapsed: spent,
        request_closed: outcome == Outcome::Served,
        metered_use: None,
        settled_units: None,
        load: Load::default(),
    }
}

pub fn sent(acts: &[Action]) -> Option<BackendId> {
    acts.iter().find_map(|a| if let Action::Send { backend: server, .. } = a { Some(*server) } else { None })
}

pub fn refused(acts: &[Action]) -> bool {
    acts.iter().any(|a| matches!(a, Action::Reject(..)))
}

pub fn failed(acts: &[Action]) -> bool {
    acts.iter().any(|a| matches!(a, Action::Fail(_)))
}
