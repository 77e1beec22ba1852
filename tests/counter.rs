//! Many gateways that hear of each other by the counter alone, which takes in fewer calls than there are tries.

mod common;

use common::*;
use std::collections::BTreeMap;
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

const MANY: u16 = 300;

fn small() -> Plan {
    Plan { rate: 1.0, burst: 5.0, excess_cost: 0.8, ..Plan::default() }
}

fn set(plan: Plan) -> Settings {
    Settings { counter: true, ingress_count: MANY, max_request_units: 1.0, ..settings(plan) }
}

/// Gateways and a counter that answers so many calls a second in time, and the others too late.
struct Fleet {
    limiters: Vec<Limiter>,
    numbers: BTreeMap<CounterName, (f64, Millis)>,
    now: Millis,
    next: u64,
    answers: f64,
    room: (f64, Millis),
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        let limiter = |ingress| {
            Limiter::new(Settings { ingress: IngressId(ingress), ..set(plan) }, 3 + u64::from(ingress))
                .unwrap()
        };
        let limiters = (0..MANY).map(limiter).collect();
        let mut fleet =
            Self { limiters, numbers: BTreeMap::new(), now: 1e6, next: 0, answers: 1e6, room: (0.0, 1e6) };
        for ingress in 0..MANY {
            fleet.handle(ingress, Event::Start);
            fleet.handle(ingress, Event::BackendList(ListKind::Cached, (0..30).map(backend_entry).collect()));
        }
        fleet
    }

    fn handle(&mut self, ingress: u16, event: Event) -> Vec<Action> {
        let (mut todo, mut done) = (vec![event], Vec::new());
        while let Some(event) = todo.pop() {
            let mut actions = Vec::new();
            self.limiters[usize::from(ingress)].handle(self.now, event, &mut actions);
            for action in actions {
                let Action::AddToCounter(name, amount, keep) = action else {
                    done.push(action);
                    continue;
                };
                let room = self.room.0 + (self.now - self.room.1) * self.answers / 1000.0;
                self.room = (room.min(20.0), self.now);
                let in_time = self.room.0 >= 1.0;
                self.room.0 -= f64::from(u8::from(in_time));
                let number = self.numbers.entry(name).or_insert((0.0, self.now + keep));
                if number.1 <= self.now {
                    *number = (0.0, self.now + keep);
                }
                number.0 += amount;
                let answer = if in_time { CounterAnswer::Total(number.0) } else { CounterAnswer::Unknown };
                todo.push(Event::CounterAnswered(name, answer));
            }
        }
        done
    }

    /// A try at a gateway, served at once where it is sent; tells whether it was.
    fn serve(&mut self, ingress: u16, customer: u64) -> bool {
        self.next += 1;
        let (id, left, units, first) = (RequestId(self.next), 2000.0, 1.0, IngressId(0));
        let (class, plan, customer, spread) = (ClassId(SAFE), PlanId(0), CustomerId(customer), MANY);
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left: left,
            units,
            spread,
            first_ingress: first,
            is_retry: false,
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

    /// Each gateway meets a customer once, and all customers stay well inside their quotas.
    fn calm(&mut self, rounds: u64) -> (usize, usize) {
        let mut served = 0;
        for round in 0..rounds {
            for ingress in 0..MANY {
                self.now += 2.0;
                served += usize::from(self.serve(ingress, 1000 + round * 1000 + u64::from(ingress)));
            }
        }
        (served, rounds as usize * usize::from(MANY))
    }
}

#[test]
fn customers_that_each_gateway_meets_once_are_served_though_few_calls_are_answered() {
    let mut fleet = Fleet::new(small());
    fleet.answers = 100.0;
    fleet.calm(100);
    let (served, all) = fleet.calm(10);
    // The even slice is a sixtieth of a request, and calls for one try in five are answered.
    assert!(served > all * 6 / 10, "{served} of {all}");
}

#[test]
fn a_customer_far_beyond_its_quota_is_held_by_totals_that_each_gateway_reads_once() {
    let mut fleet = Fleet::new(small());
    fleet.calm(160);
    let (mut sent, start) = (0, fleet.now);
    for ingress in 0..MANY {
        fleet.now += 20.0;
        sent += usize::from(fleet.serve(ingress, 1));
    }
    let quota = 5.0 + (fleet.now - start) / 1000.0;
    assert!((sent as f64) < 6.0 * quota, "{sent} of {MANY} for a quota of {quota}");
}

#[test]
fn a_first_total_can_say_no() {
    for (total, inside) in [(1.0, true), (500.0, false)] {
        let mut answers = Vec::new();
        for seed in 0..40 {
            let mut harness = Harness::new(set(small()), 30);
            harness.advance(f64::from(seed));
            let (_, actions) = harness.request(u64::from(seed as u32), SAFE, 1.0, MANY);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                answers.push(
                    sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(total))))
                        .is_some(),
                );
            }
        }
        assert!(answers.len() > 3 && answers.iter().all(|a| *a == inside), "{total}: {answers:?}");
    }
}

/// How many of a hundred tries call, after as many whose calls took this long.
fn calls_after(delay: Millis) -> usize {
    let mut harness = Harness::new(set(small()), 30);
    let mut customer = 0;
    let mut round = |harness: &mut Harness, delay: Millis| {
        let mut calls = 0;
        for _ in 0..200 {
            customer += 1;
            let (id, mut actions) = harness.advance(100.0).request(customer, SAFE, 1.0, MANY);
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
fn calls_are_paced_by_the_counters_delay_and_not_by_ones_own_standstill() {
    let (quick, slow, asleep) = (calls_after(2.0), calls_after(40.0), calls_after(900.0));
    assert!(slow < quick && asleep * 2 > quick, "{quick} quick, {slow} slow, {asleep} after standstills");
}

#[test]
fn who_is_refused_for_want_of_news_may_come_again_at_once_and_who_is_beyond_quota_later() {
    let mut harness = Harness::new(Settings { counter_timeout: 0.0, ..set(small()) }, 30);
    let advice = |actions: &[Action]| {
        actions.iter().find_map(|a| if let Action::Reject(_, w) = a { *w } else { None })
    };
    let (mut soon, mut late) = (0, 0);
    for customer in 0..200 {
        let (_, mut actions) = harness.advance(10.0).request(customer, SAFE, 1.0, MANY);
        let told = actions.first().cloned();
        if let Some(Action::AddToCounter(name, ..)) = told {
            actions = harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(500.0)));
            late += usize::from(advice(&actions).is_some_and(|w| w > AIM));
        } else {
            soon += usize::from(advice(&actions).is_some_and(|w| w <= AIM / 4.0));
        }
    }
    assert!(soon > 20 && late > 5, "{soon} soon, {late} late");
}

#[test]
fn a_capped_customer_of_many_gateways_is_let_in_unless_its_attempts_stay_out_long() {
    let plan = Plan { rate: 10.0, burst: 200.0, max_in_flight: 4.0, excess_cost: 0.8, ..Plan::default() };
    let admitted = |spent: Millis| {
        let mut harness = Harness::new(set(plan), 30);
        let mut admitted = 0;
        for round in 0..100 {
            let (id, mut actions) = harness.advance(200.0).request(round % 10, UNSAFE, 1.0, 20);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                actions = harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(1.0)));
            }
            let Some(backend) = sent_to(&actions) else { continue };
            admitted += 1;
            let outcome = if spent > AIM { Outcome::Cancelled } else { Outcome::Served };
            harness.advance(spent).end_attempt(id, 0, backend, outcome, spent);
        }
        admitted
    };
    let (quick, slow) = (admitted(50.0), admitted(1900.0));
    assert!(quick > 80 && slow < quick / 2, "{quick} where attempts are short, {slow} where they stay out");
}

#[test]
fn the_floors_of_many_gateways_do_not_hold_pressed_servers_down() {
    let plan = Plan { rate: 0.1, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: 120, ..settings(plan) }, 60);
    for _ in 0..100 {
        let (id, actions) = harness.advance(1000.0).request(1, UNSAFE, 1.0, 1);
        sent_to(&actions).map(|backend| harness.end_attempt(id, 0, backend, Outcome::Served, 2.0 * AIM));
    }
    let out = (0..40).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert!((1..=3).contains(&out), "{out} out from each of 120 gateways to 60 pressed servers");
}

#[test]
fn a_class_that_one_zone_turns_away_goes_to_the_other_and_other_classes_go_to_both() {
    let mut harness = Harness::new(settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() }), 60);
    let mut hits = [[0; 2]; 2];
    for step in 0..800 {
        let class = 2 * (step % 2);
        let (id, actions) = harness.advance(40.0).request(1, class, 1.0, 1);
        let (mut attempt, mut backend) = (0, sent_to(&actions));
        while let Some(to) = backend {
            let bad = class == 2 && to.0 % 2 == 0;
            hits[class / 2][(to.0 % 2) as usize] += usize::from(step > 200);
            let outcome = if bad { Outcome::Rejected } else { Outcome::Served };
            backend = sent_to(&harness.end_attempt(id, attempt, to, outcome, 100.0));
            attempt += 1;
        }
    }
    let [both, [bad, good]] = hits;
    assert!(bad * 4 < good, "{bad} to the zone that turns the class away, {good} to the other");
    assert!(both[0] * 3 > both[1], "{both:?} of a class that both zones serve");
}

#[test]
fn gateways_that_have_nothing_out_do_not_all_run_after_the_largest_weights() {
    let mut hits = [0.0, 0.0];
    for seed in 0..300 {
        let set = settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() });
        let mut limiter = Limiter::new(set, seed).unwrap();
        let backend = |n| BackendEntry { weight: 1.0 + (n % 2) as f64, ..backend_entry(n) };
        limiter.handle(0.0, Event::Start, &mut Vec::new());
        limiter.handle(
            0.0,
            Event::BackendList(ListKind::Cached, (0..40).map(backend).collect()),
            &mut Vec::new(),
        );
        let (id, class, plan, customer) = (RequestId(1), ClassId(SAFE), PlanId(0), CustomerId(1));
        let (left, units, spread, first) = (2000.0, 1.0, 1, IngressId(0));
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left: left,
            units,
            spread,
            first_ingress: first,
            is_retry: false,
        };
        let mut actions = Vec::new();
        limiter.handle(1.0, Event::Request(request), &mut actions);
        hits[(sent_to(&actions).unwrap().0 % 2) as usize] += 1.0;
    }
    let share = hits[1] / (hits[0] + hits[1]);
    assert!((0.55..0.78).contains(&share), "{share} to the half that weighs two thirds");
}
