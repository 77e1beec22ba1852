//! Backends and zones that do not answer, the load that backends report, and the accounting of attempts with
//! peers and the counter.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Settings};

/// Returns a limiter before 10 backends, with a quota that no test exhausts, after 30 served requests.
fn warmed_up() -> Harness {
    let mut harness = Harness::new(settings(Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }), 10);
    for _ in 0..30 {
        harness.advance(5.0);
        harness.serve(1, 1.0, 1);
    }
    harness
}

#[test]
fn silent_zone_is_avoided_before_any_attempt_times_out() {
    let mut harness = warmed_up();
    let (mut early, mut late) = (0, 0);
    for step in 0..400 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        // The backends with odd numbers are one zone, which does not answer.
        if backend.0 % 2 == 0 {
            harness.end_attempt(id, 0, backend, Outcome::Served, 50.0);
        } else if step < 200 {
            early += 1;
        } else {
            late += 1;
        }
    }
    assert!(
        early > 0 && late <= 2,
        "{early} of the first 200 and {late} of the others went to the silent zone"
    );
}

#[test]
fn capacity_is_available_again_after_all_backends_were_silent() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 10);
    let mut in_flight = 0;
    while sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some() {
        in_flight += 1;
    }
    assert_eq!(in_flight, 40, "the attempts in flight use the whole capacity");
    harness.advance(1500.0).handle(Event::Timer(TICK_TIMER));
    assert!(
        sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some(),
        "if all are silent they are still tried"
    );
}

#[test]
fn capacity_shrinks_with_the_list_before_slow_answers_show_it() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 10);
    let fill = |harness: &mut Harness| -> Vec<_> {
        let requests = std::iter::repeat_with(|| harness.request(1, SAFE, 1.0, 1));
        requests.map_while(|(id, actions)| Some((id, sent_to(&actions)?))).take(500).collect()
    };
    for (id, backend) in fill(&mut harness) {
        harness.end_attempt(id, 0, backend, Outcome::Served, 50.0);
    }
    let with_all = fill(&mut harness);
    with_all
        .iter()
        .for_each(|(id, backend)| drop(harness.end_attempt(*id, 0, *backend, Outcome::Served, 50.0)));
    let gone = (2..10).map(|n| BackendEntry { state: BackendState::Gone, ..backend_entry(n) });
    harness.handle(Event::BackendList(ListKind::Changes, gone.collect()));
    let with_two = fill(&mut harness);
    assert!(
        with_two.len() * 3 <= with_all.len() && !with_two.is_empty(),
        "{} with ten backends, {} with two",
        with_all.len(),
        with_two.len()
    );
}

#[test]
fn one_slow_backend_does_not_cut_the_capacity() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 10);
    for _ in 0..200 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        harness.end_attempt(
            id,
            0,
            backend,
            Outcome::Served,
            if backend == BackendId(0) { 450.0 } else { 50.0 },
        );
    }
    let mut admitted = 0;
    while sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some() {
        admitted += 1;
    }
    assert!(admitted >= 40, "{admitted}");
}

#[test]
fn reported_load_does_not_attract_all_requests_to_one_backend() {
    let mut harness = warmed_up();
    let load_of = |in_flight: f64| Load { in_flight: Some(in_flight), ..Load::default() };
    for number in 0..10 {
        let load = load_of(if number == 0 { 0.0 } else { 9.0 });
        harness.handle(Event::ProbeEnded(BackendId(number), Outcome::Served, load));
    }
    let hits =
        (0..100).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1) == Some(BackendId(0))).count();
    assert!(hits <= 20, "{hits} of 100 went to the backend that reported no requests in flight");
}

#[test]
fn end_of_an_attempt_is_reported_if_the_plan_limits_those_in_flight() {
    let plan = Plan { max_in_flight: 4.0, ..Plan::default() };
    let mut harness =
        Harness::new(Settings { peers: true, peer_messages_per_second: 100.0, ..settings(plan) }, 10);
    let has_report = |actions: Vec<Action>| {
        actions.iter().any(|a| matches!(a, Action::SendToPeer(_, bytes) if bytes.len() > 1))
    };
    let (id, actions) = harness.request(1, SAFE, 1.0, 3);
    assert!(has_report(harness.handle(Event::Timer(TICK_TIMER))));
    assert!(!has_report(harness.handle(Event::Timer(TICK_TIMER))), "nothing has changed");
    harness.advance(50.0).end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::Served, 50.0);
    assert!(has_report(harness.handle(Event::Timer(TICK_TIMER))), "the attempt has ended");
}

#[test]
fn counter_total_includes_attempts_in_flight_elsewhere() {
    let plan = Plan { max_in_flight: 2.0, ..plan() };
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan) }, 10);
    harness.advance(60_000.0);
    let (_, actions) = harness.request(1, SAFE, 1.0, 2);
    let [Action::AddToCounter(name, step, _)] = actions[..] else { panic!("{actions:?}") };
    assert!(step > 1000.0, "one attempt and one unit, encoded in one number: {step}");
    assert!(sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(step)))).is_some());
    harness.request(1, SAFE, 1.0, 2);
    // Two attempts of this ingress, and one of another.
    assert!(rejected(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(3.0 * step)))));
}

#[test]
fn units_counted_for_a_client_that_left_are_returned() {
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    let (id, _) = harness.request(1, SAFE, 4.0, 2);
    harness.handle(Event::ClientLeft(id));
    assert!(harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(4.0))).is_empty());
    let (_, actions) = harness.request(1, SAFE, 1.0, 2);
    assert!(matches!(actions[..], [Action::AddToCounter(_, -3.0, _)]), "{actions:?}");
}

#[test]
fn refused_connections_but_not_timeouts_indicate_a_restart() {
    let hits = |outcome: Outcome| {
        let mut harness = warmed_up();
        for _ in 0..400 {
            harness.advance(5.0);
            let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
            let Some(backend) = sent_to(&actions) else { continue };
            let end = if backend == BackendId(0) { outcome } else { Outcome::Served };
            for (attempt, next_backend) in
                [(0, Some(backend)), (1, sent_to(&harness.end_attempt(id, 0, backend, end, 40.0)))]
            {
                next_backend
                    .filter(|_| attempt == 1)
                    .map(|b| harness.end_attempt(id, 1, b, Outcome::Served, 40.0));
            }
        }
        harness.advance(5000.0);
        let mut hits = 0;
        for _ in 0..300 {
            harness.advance(5.0);
            let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
            let Some(backend) = sent_to(&actions) else { continue };
            hits += usize::from(backend == BackendId(0));
            harness.end_attempt(
                id,
                0,
                backend,
                Outcome::Served,
                if backend == BackendId(0) { 5.0 } else { 50.0 },
            );
        }
        hits
    };
    let (refused, silent) = (hits(Outcome::ConnectFailed), hits(Outcome::TimedOut));
    assert!(refused < silent / 2, "{refused} after refused connections, {silent} after time-outs");
}

#[test]
fn counter_is_not_called_for_requests_without_capacity() {
    let plan = Plan { rate: 0.1, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan) }, 2);
    for _ in 0..8 {
        let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
        let [Action::AddToCounter(name, added, _)] = actions[..] else { panic!("{actions:?}") };
        assert!(
            sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(added)))).is_some()
        );
    }
    let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
    assert!(rejected(&actions) && actions.len() == 1, "{actions:?}");
}

#[test]
fn request_is_not_held_for_a_counter_call_that_may_outlast_it() {
    let slow = Settings { counter: true, counter_timeout: 1000.0, ..settings(plan()) };
    let mut harness = Harness::new(slow, 10);
    harness.advance(60_000.0);
    assert!(sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some(), "2 s are left, and a call may take 1 s");
}

/// Guards against healthy backends that are treated as cold, for 18 s, after a single broken connection.
#[test]
fn one_failed_connection_does_not_make_a_warm_backend_cold() {
    let mut harness = warmed_up();
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    let failed_backend = sent_to(&actions).unwrap();
    let retried_on =
        sent_to(&harness.end_attempt(id, 0, failed_backend, Outcome::ConnectFailed, 1.0)).unwrap();
    harness.end_attempt(id, 1, retried_on, Outcome::Served, 40.0);
    harness.advance(2000.0);
    let mut hits = 0;
    for _ in 0..400 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        hits += usize::from(backend == failed_backend);
        // It is the fastest from now on, so it gets few requests only if it is treated as cold.
        harness.end_attempt(
            id,
            0,
            backend,
            Outcome::Served,
            if backend == failed_backend { 5.0 } else { 50.0 },
        );
    }
    assert!(hits > 100, "{hits} of 400 went to a fast backend whose connection failed once");
}

/// Guards against traffic that moves from zone to zone: failures of one attempt in ten, at all backends
/// alike, made one zone after another appear the slowest.
#[test]
fn evenly_spread_failures_do_not_shift_the_traffic_between_zones() {
    let mut harness = warmed_up();
    let (mut max_deviation, mut odd) = (0.0f64, 0);
    for step in 0..2000u64 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        odd += backend.0 % 2;
        let outcome = if (step * 7919) % 10 == 0 { Outcome::Reset } else { Outcome::Served };
        if let Some(retried_on) = sent_to(&harness.end_attempt(id, 0, backend, outcome, 40.0)) {
            harness.end_attempt(id, 1, retried_on, Outcome::Served, 40.0);
        }
        if step % 200 == 199 {
            max_deviation = max_deviation.max((odd as f64 / 200.0 - 0.5).abs());
            odd = 0;
        }
    }
    assert!(max_deviation < 0.18, "a zone got {:.2} of two hundred successive requests", 0.5 + max_deviation);
}
