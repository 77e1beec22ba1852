//! Many ingresses that know of each other's usage only through the counter, which answers fewer calls than
//! there are tries; and choices of backends that add up over many ingresses.

mod common;

use common::*;
use std::collections::BTreeMap;
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

/// The number of ingresses.
const INGRESSES: u16 = 300;

/// Returns a plan whose even slice is far below one request at each ingress.
fn small_plan() -> Plan {
    Plan { rate: 1.0, burst: 5.0, excess_cost: 0.8, ..Plan::default() }
}

/// Returns settings of an ingress that may call the counter.
fn counter_settings(plan: Plan) -> Settings {
    Settings { counter: true, ingress_count: INGRESSES, max_request_units: 1.0, ..settings(plan) }
}

/// Ingresses, and a counter that answers a limited number of calls a second in time and the others too late.
struct Fleet {
    /// The limiters of the ingresses.
    limiters: Vec<Limiter>,
    /// The counter's numbers, and when each expires.
    numbers: BTreeMap<CounterName, (f64, Millis)>,
    /// The simulated time.
    now: Millis,
    /// The id of the last request.
    last_request: u64,
    /// Calls a second that are answered in time.
    calls_per_second: f64,
    /// Calls that the counter can answer in time at once, and when that was computed.
    call_tokens: (f64, Millis),
}

impl Fleet {
    /// Starts all ingresses before 30 backends.
    fn new(plan: Plan) -> Self {
        let limiter = |ingress| {
            Limiter::new(
                Settings { ingress: IngressId(ingress), ..counter_settings(plan) },
                3 + u64::from(ingress),
            )
            .unwrap()
        };
        let limiters = (0..INGRESSES).map(limiter).collect();
        let mut fleet = Self {
            limiters,
            numbers: BTreeMap::new(),
            now: 1e6,
            last_request: 0,
            calls_per_second: 1e6,
            call_tokens: (0.0, 1e6),
        };
        for ingress in 0..INGRESSES {
            fleet.handle(ingress, Event::Start);
            fleet.handle(ingress, Event::BackendList(ListKind::Cached, (0..30).map(backend_entry).collect()));
        }
        fleet
    }

    /// Passes an event to an ingress, answers the resulting counter calls, and returns the other actions.
    fn handle(&mut self, ingress: u16, event: Event) -> Vec<Action> {
        let (mut events, mut other_actions) = (vec![event], Vec::new());
        while let Some(event) = events.pop() {
            let mut actions = Vec::new();
            self.limiters[usize::from(ingress)].handle(self.now, event, &mut actions);
            for action in actions {
                let Action::AddToCounter(name, amount, keep) = action else {
                    other_actions.push(action);
                    continue;
                };
                let tokens =
                    self.call_tokens.0 + (self.now - self.call_tokens.1) * self.calls_per_second / 1000.0;
                self.call_tokens = (tokens.min(20.0), self.now);
                let in_time = self.call_tokens.0 >= 1.0;
                self.call_tokens.0 -= f64::from(u8::from(in_time));
                let number = self.numbers.entry(name).or_insert((0.0, self.now + keep));
                if number.1 <= self.now {
                    *number = (0.0, self.now + keep);
                }
                number.0 += amount;
                let answer = if in_time { CounterAnswer::Total(number.0) } else { CounterAnswer::Unknown };
                events.push(Event::CounterAnswered(name, answer));
            }
        }
        other_actions
    }

    /// Submits a try at an ingress and, if it is sent to a backend, ends it as served. Returns whether it was
    /// sent.
    fn serve(&mut self, ingress: u16, customer: u64) -> bool {
        self.last_request += 1;
        let (id, time_left, units, first_ingress) = (RequestId(self.last_request), 2000.0, 1.0, IngressId(0));
        let (class, plan, customer, spread) = (ClassId(SAFE), PlanId(0), CustomerId(customer), INGRESSES);
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left,
            units,
            spread,
            first_ingress,
            is_retry: false,
            identity: None,
        };
        let actions = self.handle(ingress, Event::Request(request));
        let Some(backend) = sent_to(&actions) else { return false };
        let end = AttemptEnd {
            request: id,
            attempt: AttemptIndex(0),
            backend,
            outcome: Outcome::Served,
            elapsed: 30.0,
            request_closed: true,
            metered_use: None,
            settled_units: None,
            load: Load::default(),
        };
        self.handle(ingress, Event::AttemptEnded(end));
        true
    }

    /// Submits one try of a new customer at each ingress in each round, so that all customers stay well
    /// within their quotas. Returns the numbers of served and of all tries.
    fn serve_within_quota(&mut self, rounds: u64) -> (usize, usize) {
        let mut served = 0;
        for round in 0..rounds {
            for ingress in 0..INGRESSES {
                self.now += 2.0;
                served += usize::from(self.serve(ingress, 1000 + round * 1000 + u64::from(ingress)));
            }
        }
        (served, rounds as usize * usize::from(INGRESSES))
    }
}

#[test]
fn customers_seen_once_per_ingress_are_served_though_few_calls_are_answered() {
    let mut fleet = Fleet::new(small_plan());
    fleet.calls_per_second = 100.0;
    fleet.serve_within_quota(100);
    let (served, all) = fleet.serve_within_quota(10);
    // The even slice is a sixtieth of a request, and one try in five gets an answer from the counter.
    assert!(served > all * 6 / 10, "{served} of {all}");
}

#[test]
fn customer_far_beyond_its_quota_is_limited_by_one_total_per_ingress() {
    let mut fleet = Fleet::new(small_plan());
    fleet.serve_within_quota(160);
    let (mut sent, start) = (0, fleet.now);
    for ingress in 0..INGRESSES {
        fleet.now += 20.0;
        sent += usize::from(fleet.serve(ingress, 1));
    }
    let quota = 5.0 + (fleet.now - start) / 1000.0;
    assert!((sent as f64) < 6.0 * quota, "{sent} of {INGRESSES} for a quota of {quota}");
}

#[test]
fn first_total_decides_the_try() {
    for (total, fits) in [(1.0, true), (500.0, false)] {
        let mut answers = Vec::new();
        for seed in 0..40 {
            let mut harness = Harness::new(counter_settings(small_plan()), 30);
            harness.advance(f64::from(seed));
            let (_, actions) = harness.request(u64::from(seed as u32), SAFE, 1.0, INGRESSES);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                answers.push(
                    sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(total))))
                        .is_some(),
                );
            }
        }
        assert!(answers.len() > 3 && answers.iter().all(|a| *a == fits), "{total}: {answers:?}");
    }
}

/// Returns how many of 200 tries call the counter, after as many whose calls took `delay`.
fn calls_after(delay: Millis) -> usize {
    let mut harness = Harness::new(counter_settings(small_plan()), 30);
    let mut customer = 0;
    let mut round = |harness: &mut Harness, delay: Millis| {
        let mut calls = 0;
        for _ in 0..200 {
            customer += 1;
            let (id, mut actions) = harness.advance(100.0).request(customer, SAFE, 1.0, INGRESSES);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                calls += 1;
                actions =
                    harness.advance(delay).handle(Event::CounterAnswered(name, CounterAnswer::Total(9.0)));
            }
            sent_to(&actions).map(|backend| harness.end_attempt(id, 0, backend, Outcome::Served, 30.0));
        }
        calls
    };
    round(&mut harness, 2.0);
    round(&mut harness, delay);
    round(&mut harness, 2.0)
}

#[test]
fn slow_counter_calls_lower_the_call_rate_but_a_pause_of_the_ingress_does_not() {
    let (fast, slow, paused) = (calls_after(2.0), calls_after(40.0), calls_after(900.0));
    assert!(
        slow < fast && paused * 2 > fast,
        "{fast} after fast calls, {slow} after slow ones, {paused} after pauses"
    );
}

#[test]
fn retry_after_is_short_without_information_and_long_beyond_the_quota() {
    let mut harness = Harness::new(Settings { counter_timeout: 0.0, ..counter_settings(small_plan()) }, 30);
    let retry_after = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Reject(_, delay) = a { *delay } else { None })
    };
    let (mut short, mut long) = (0, 0);
    for customer in 0..200 {
        let (_, mut actions) = harness.advance(10.0).request(customer, SAFE, 1.0, INGRESSES);
        let first_action = actions.first().cloned();
        if let Some(Action::AddToCounter(name, ..)) = first_action {
            actions = harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(500.0)));
            long += usize::from(retry_after(&actions).is_some_and(|delay| delay > AIM));
        } else {
            short += usize::from(retry_after(&actions).is_some_and(|delay| delay <= AIM / 4.0));
        }
    }
    assert!(short > 20 && long > 5, "{short} short, {long} long");
}

#[test]
fn customer_with_in_flight_limit_is_admitted_unless_its_attempts_last_long() {
    let plan = Plan { rate: 10.0, burst: 200.0, max_in_flight: 4.0, excess_cost: 0.8, ..Plan::default() };
    let admitted = |elapsed: Millis| {
        let mut harness = Harness::new(counter_settings(plan), 30);
        let mut admitted = 0;
        for round in 0..100 {
            let (id, mut actions) = harness.advance(200.0).request(round % 10, UNSAFE, 1.0, 20);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                actions = harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(1.0)));
            }
            let Some(backend) = sent_to(&actions) else { continue };
            admitted += 1;
            let outcome = if elapsed > AIM { Outcome::Cancelled } else { Outcome::Served };
            harness.advance(elapsed).end_attempt(id, 0, backend, outcome, elapsed);
        }
        admitted
    };
    let (short, long) = (admitted(50.0), admitted(1900.0));
    assert!(short > 80 && long < short / 2, "{short} with short attempts, {long} with long ones");
}

#[test]
fn minimum_capacities_of_many_ingresses_do_not_keep_backends_overloaded() {
    let plan = Plan { rate: 0.1, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: 120, ..settings(plan) }, 60);
    for _ in 0..100 {
        let (id, actions) = harness.advance(1000.0).request(1, UNSAFE, 1.0, 1);
        sent_to(&actions).map(|backend| harness.end_attempt(id, 0, backend, Outcome::Served, 2.0 * AIM));
    }
    let in_flight = (0..40).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert!(
        (1..=3).contains(&in_flight),
        "{in_flight} in flight from each of 120 ingresses to 60 slow backends"
    );
}

#[test]
fn class_that_one_zone_rejects_goes_to_the_other_and_other_classes_go_to_both() {
    let mut harness = Harness::new(settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() }), 60);
    let mut hits = [[0; 2]; 2];
    for step in 0..800 {
        // The classes alternate between SAFE and UNSAFE.
        let class = 2 * (step % 2);
        let (id, actions) = harness.advance(40.0).request(1, class, 1.0, 1);
        let (mut attempt, mut next_backend) = (0, sent_to(&actions));
        while let Some(backend) = next_backend {
            let rejects = class == UNSAFE && backend.0 % 2 == 0;
            hits[class / 2][(backend.0 % 2) as usize] += usize::from(step > 200);
            let outcome = if rejects { Outcome::Rejected } else { Outcome::Served };
            next_backend = sent_to(&harness.end_attempt(id, attempt, backend, outcome, 100.0));
            attempt += 1;
        }
    }
    let [both, [rejecting, serving]] = hits;
    assert!(
        rejecting * 4 < serving,
        "{rejecting} to the zone that rejects the class, {serving} to the other"
    );
    assert!(both[0] * 3 > both[1], "{both:?} of a class that both zones serve");
}

#[test]
fn idle_ingresses_do_not_all_choose_the_backends_of_the_largest_weight() {
    let mut hits = [0.0, 0.0];
    for seed in 0..300 {
        let settings = settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() });
        let mut limiter = Limiter::new(settings, seed).unwrap();
        let weighted_entry = |n| BackendEntry { weight: 1.0 + (n % 2) as f64, ..backend_entry(n) };
        limiter.handle(0.0, Event::Start, &mut Vec::new());
        limiter.handle(
            0.0,
            Event::BackendList(ListKind::Cached, (0..40).map(weighted_entry).collect()),
            &mut Vec::new(),
        );
        let (id, class, plan, customer) = (RequestId(1), ClassId(SAFE), PlanId(0), CustomerId(1));
        let (time_left, units, spread, first_ingress) = (2000.0, 1.0, 1, IngressId(0));
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left,
            units,
            spread,
            first_ingress,
            is_retry: false,
            identity: None,
        };
        let mut actions = Vec::new();
        limiter.handle(1.0, Event::Request(request), &mut actions);
        hits[(sent_to(&actions).unwrap().0 % 2) as usize] += 1.0;
    }
    let share = hits[1] / (hits[0] + hits[1]);
    assert!((0.55..0.78).contains(&share), "{share} to the half with two thirds of the weight");
}
