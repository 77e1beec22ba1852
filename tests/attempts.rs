//! The choice of backends, retries, and final answers.

mod common;

use common::*;
use std::collections::VecDeque;
use weldhub::interface::*;
use weldhub::{Action, Event};

/// Returns a limiter before 10 backends, with a quota that no test exhausts.
fn unlimited() -> Harness {
    Harness::new(settings(Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }), 10)
}

#[test]
fn attempt_that_never_ran_is_retried_on_another_backend_in_every_class() {
    for class in 0..4 {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
            let mut harness = unlimited();
            let (id, actions) = harness.request(1, class, 1.0, 1);
            let first = sent_to(&actions).unwrap();
            let next = sent_to(&harness.advance(10.0).end_attempt(id, 0, first, outcome, 10.0)).unwrap();
            assert_ne!(first, next, "class {class}, {outcome:?}");
        }
    }
}

#[test]
fn unsafe_request_that_may_have_run_fails_and_is_neither_rejected_nor_retried() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = unlimited();
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let actions = harness.advance(10.0).end_attempt(id, 0, sent_to(&actions).unwrap(), outcome, 10.0);
        assert!(
            failed(&actions) && !rejected(&actions) && sent_to(&actions).is_none(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn keyed_request_is_retried_only_within_its_scope_and_window() {
    for round in 0..20 {
        let mut harness = unlimited();
        let (id, actions) = harness.request(round, KEYED_BY_ZONE, 1.0, 1);
        let first = sent_to(&actions).unwrap();
        let actions = harness.advance(10.0).end_attempt(id, 0, first, Outcome::Error, 10.0);
        assert_eq!(sent_to(&actions).unwrap().0 % 2, first.0 % 2, "the same zone");
        let late =
            harness.advance(1000.0).end_attempt(id, 1, sent_to(&actions).unwrap(), Outcome::Error, 1000.0);
        assert!(failed(&late) && sent_to(&late).is_none(), "the window is over: {late:?}");
    }
}

/// Guards against an attempt that waits for a connection, or its turn, and is sent after the time in which
/// its class may be repeated.
#[test]
fn retry_of_keyed_request_must_be_sent_within_the_rest_of_its_window() {
    let send_within = |actions: &[Action]| {
        let limit = actions
            .iter()
            .find_map(|a| if let Action::Send { send_within, .. } = a { Some(*send_within) } else { None });
        limit.expect("it is sent")
    };
    for (class, outcome, time_left) in [
        (SAFE, Outcome::Error, None),
        (KEYED_BY_ZONE, Outcome::Error, Some(689.0)),
        (KEYED, Outcome::Reset, Some(689.0)),
    ] {
        let mut harness = unlimited();
        // The first attempt never ran, so the window begins with the second.
        let (id, actions) = harness.request(1, class, 1.0, 1);
        assert_eq!(send_within(&actions), None);
        let actions = harness.advance(100.0).end_attempt(
            id,
            0,
            sent_to(&actions).unwrap(),
            Outcome::ConnectFailed,
            100.0,
        );
        assert_eq!(send_within(&actions), None);
        let actions = harness.advance(310.0).end_attempt(id, 1, sent_to(&actions).unwrap(), outcome, 310.0);
        assert_eq!(
            send_within(&actions),
            time_left,
            "class {class}: less the millisecond by which clocks may differ"
        );
    }
}

#[test]
fn keyed_request_stays_in_its_scope_after_its_first_backend_left_the_list() {
    for round in 0..20 {
        let mut harness = unlimited();
        let (id, actions) = harness.request(round, KEYED_BY_ZONE, 1.0, 1);
        let first = sent_to(&actions).unwrap();
        let second = sent_to(&harness.advance(10.0).end_attempt(id, 0, first, Outcome::Error, 10.0)).unwrap();
        let gone = BackendEntry { state: BackendState::Gone, ..backend_entry(first.0) };
        harness.handle(Event::BackendList(ListKind::Changes, vec![gone]));
        let actions = harness.advance(10.0).end_attempt(id, 1, second, Outcome::Error, 10.0);
        assert!(sent_to(&actions).is_none_or(|third| third.0 % 2 == first.0 % 2), "{actions:?}");
    }
}

#[test]
fn request_keyed_by_zone_fails_once_it_may_have_run() {
    let mut harness = Harness::new(Settings { max_attempts: 1, ..settings(plan()) }, 10);
    let (id, actions) = harness.request(1, KEYED_BY_ZONE, 1.0, 1);
    assert!(failed(&harness.advance(9.0).end_attempt(
        id,
        0,
        sent_to(&actions).unwrap(),
        Outcome::Error,
        9.0
    )));
    let (id, actions) = harness.request(1, KEYED, 1.0, 1);
    assert!(rejected(&harness.advance(9.0).end_attempt(
        id,
        0,
        sent_to(&actions).unwrap(),
        Outcome::Error,
        9.0
    )));
    let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
    assert!(rejected(&harness.advance(9.0).end_attempt(
        id,
        0,
        sent_to(&actions).unwrap(),
        Outcome::Rejected,
        9.0
    )));
}

#[test]
fn request_fails_at_its_deadline_and_nothing_follows() {
    for class in 0..4 {
        let mut harness = unlimited();
        let (id, actions) = harness.request(1, class, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let actions = harness.advance(2000.0).end_attempt(id, 0, backend, Outcome::TimedOut, 2000.0);
        assert!(failed(&actions) && sent_to(&actions).is_none(), "class {class}: {actions:?}");
        assert!(
            harness.end_attempt(id, 0, backend, Outcome::TimedOut, 2000.0).is_empty(),
            "the same end reported twice"
        );
    }
}

#[test]
fn cancels_the_attempt_of_a_client_that_left_and_sends_no_answer() {
    let mut harness = unlimited();
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    assert_eq!(harness.handle(Event::ClientLeft(id)), [Action::Cancel(id, AttemptIndex(0))]);
    assert!(harness.end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::Cancelled, 5.0).is_empty());
    assert!(harness.handle(Event::ClientLeft(RequestId(999))).is_empty());
}

#[test]
fn retries_are_limited_by_a_budget() {
    let mut harness = unlimited();
    let mut retries = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        let actions = harness.advance(5.0).end_attempt(id, 0, backend, Outcome::Error, 5.0);
        if let Some(backend) = sent_to(&actions) {
            retries += 1;
            harness.end_attempt(id, 1, backend, Outcome::Served, 5.0);
        }
    }
    assert!((20..=51).contains(&retries), "{retries} retries of 200 requests");
}

#[test]
fn draining_and_gone_backends_get_nothing_from_the_time_of_the_list() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut harness = unlimited();
        let leaving = (1..10).map(|n| BackendEntry { state, ..backend_entry(n) }).collect();
        harness.handle(Event::BackendList(ListKind::Changes, leaving));
        for _ in 0..5 {
            assert_eq!(sent_to(&harness.request(1, SAFE, 1.0, 1).1), Some(BackendId(0)));
        }
        harness.handle(Event::BackendList(
            ListKind::Full,
            vec![BackendEntry { state: BackendState::Draining, ..backend_entry(0) }],
        ));
        assert!(rejected(&harness.request(1, SAFE, 1.0, 1).1), "no backend is left");
    }
}

#[test]
fn cold_backend_gets_little_and_more_as_it_warms() {
    let hits = |age: f64, latency: f64| {
        let mut harness = unlimited();
        let cold = BackendEntry { last_start: Some(harness.now + 2000.0 - age), ..backend_entry(0) };
        let mut hits = 0;
        for step in 0..800 {
            if step == 400 {
                harness.handle(Event::BackendList(ListKind::Changes, vec![cold]));
            }
            harness.advance(5.0);
            let (id, actions) = harness.request(1, SAFE, 1.0, 1);
            let Some(backend) = sent_to(&actions) else { continue };
            hits += usize::from(step >= 400 && backend == BackendId(0));
            harness.end_attempt(
                id,
                0,
                backend,
                Outcome::Served,
                if backend == BackendId(0) { latency } else { 50.0 },
            );
        }
        hits
    };
    // It is slightly slower than the others, so that the slow start alone decides until it is warm.
    let (cold, warmer, warm) = (hits(0.0, 70.0), hits(6000.0, 70.0), hits(20_000.0, 30.0));
    assert!(cold > 0 && cold <= 20, "about a quarter of a tenth of 400, and it warms meanwhile: {cold}");
    assert!(warmer > cold && warm > warmer, "{cold} {warmer} {warm}");
    // One that answers at once can do more than its slow start assumes.
    let fast = hits(0.0, 5.0);
    assert!(fast > 2 * cold, "{fast} and {cold}");
}

#[test]
fn backend_that_returns_on_a_stale_list_is_cold() {
    let mut harness = unlimited();
    harness.handle(Event::BackendList(
        ListKind::Changes,
        vec![BackendEntry { state: BackendState::Gone, ..backend_entry(0) }],
    ));
    harness.handle(Event::BackendList(ListKind::Changes, vec![backend_entry(0)]));
    let mut hits = 0;
    for _ in 0..200 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
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
    assert!(hits <= 10, "{hits}");
}

#[test]
fn ejects_a_failing_backend_but_never_all_backends() {
    let mut harness = unlimited();
    let run = |harness: &mut Harness, is_failing: &dyn Fn(BackendId) -> bool| {
        let mut failures = 0;
        for _ in 0..200 {
            harness.advance(5.0);
            let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
            let Some(backend) = sent_to(&actions) else { continue };
            let outcome = if is_failing(backend) { Outcome::Error } else { Outcome::Served };
            failures += usize::from(is_failing(backend));
            harness.end_attempt(id, 0, backend, outcome, 5.0);
        }
        failures
    };
    let failures = run(&mut harness, &|backend| backend == BackendId(0));
    assert!(failures <= 10, "{failures} of 200 went to the one failing backend of ten");
    assert_eq!(run(&mut harness, &|_| true), 200, "all fail, so all are still tried");
}

/// Guards against a backend that drains before the list says so: its rejections come at once, so it looks
/// idle and would attract the traffic, and they would be taken for a sign that all backends are at
/// capacity.
#[test]
fn backend_that_rejects_everything_is_skipped_and_does_not_cut_the_capacity() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let (mut rejections, mut in_flight) = (0, VecDeque::new());
    for _ in 0..500 {
        harness.advance(12.0);
        let (id, mut actions) = harness.request(1, SAFE, 1.0, 1);
        let mut attempt = 0;
        while sent_to(&actions) == Some(BackendId(0)) {
            rejections += 1;
            actions = harness.advance(1.0).end_attempt(id, attempt, BackendId(0), Outcome::Rejected, 1.0);
            attempt += 1;
        }
        in_flight.extend(sent_to(&actions).map(|backend| (harness.now, id, attempt, backend)));
        while let Some((sent_at, id, attempt, backend)) =
            in_flight.pop_front_if(|(sent_at, ..)| *sent_at < harness.now - 100.0)
        {
            harness.end_attempt(id, attempt, backend, Outcome::Served, harness.now - sent_at);
        }
    }
    assert!(rejections < 50, "{rejections} of 500 went to the draining backend");
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert!(granted >= 5, "only {granted} are admitted besides those in flight");
}

/// Guards against time-outs that cut the capacity although they only show that answers got lost: the backend
/// serves later requests in time.
#[test]
fn timeout_does_not_cut_the_capacity_if_later_attempts_were_served() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let mut in_flight = Vec::new();
    for step in 0..600 {
        harness.advance(20.0);
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let (outcome, after) =
            if step % 8 == 7 { (Outcome::TimedOut, 400.0) } else { (Outcome::Served, 130.0) };
        in_flight.extend(sent_to(&actions).map(|backend| (harness.now, after, id, backend, outcome)));
        let now = harness.now;
        for (sent_at, _, id, backend, outcome) in
            in_flight.extract_if(.., |(sent_at, after, ..)| now - *sent_at >= *after)
        {
            harness.end_attempt(id, 0, backend, outcome, now - sent_at);
        }
    }
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert!(granted >= 3, "only {granted} are admitted besides those in flight");
}

#[test]
fn slow_backend_gets_less() {
    let mut harness = unlimited();
    let mut hits = 0;
    for _ in 0..400 {
        harness.advance(5.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        hits += usize::from(backend == BackendId(0));
        harness.end_attempt(
            id,
            0,
            backend,
            Outcome::Served,
            if backend == BackendId(0) { 200.0 } else { 40.0 },
        );
    }
    assert!(hits < 25, "{hits} of 400, where an even share is 40");
}

#[test]
fn ignores_absurd_values() {
    let mut harness = unlimited();
    let absurd = Load { in_flight: Some(f64::NAN), busy: Some(f64::INFINITY), ..Load::default() };
    for number in 0..10 {
        harness.handle(Event::ProbeEnded(BackendId(number), Outcome::Served, absurd));
    }
    assert!(sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some());
    assert!(rejected(&harness.request(1, 99, 1.0, 1).1), "an unknown class");
    harness.request(1, SAFE, f64::NAN, 0);
    harness.handle(Event::Timer(TimerKey(12345)));
    harness.handle(Event::CounterAnswered(CounterName(5), CounterAnswer::Total(f64::NAN)));
    harness.handle(Event::BackendList(ListKind::Failed, vec![]));
    assert!(sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some());
}

#[test]
fn subscribes_to_the_list_and_retries_after_a_failure() {
    let mut harness = Harness::new(Settings { list_on_request: true, ..settings(plan()) }, 0);
    assert!(harness.handle(Event::Start).contains(&Action::Subscribe));
    let actions = harness.handle(Event::BackendList(ListKind::Failed, vec![]));
    let [Action::SetTimer(_, key)] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(harness.handle(Event::Timer(key)), [Action::Subscribe]);
}

#[test]
fn same_events_give_the_same_actions() {
    let run = || {
        let mut harness =
            Harness::new(Settings { peers: true, peer_messages_per_second: 40.0, ..settings(plan()) }, 10);
        let mut all = Vec::new();
        for step in 0..500u64 {
            harness.advance(7.0);
            let (id, actions) = harness.request(step % 13, (step % 4) as usize, 1.0 + (step % 3) as f64, 2);
            if let Some(backend) = sent_to(&actions) {
                let outcome = [Outcome::Served, Outcome::Rejected, Outcome::TimedOut][step as usize % 3];
                all.extend(harness.end_attempt(id, 0, backend, outcome, 30.0));
            }
            all.extend(actions);
            all.extend(harness.handle(Event::Timer(TICK_TIMER)));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn backend_that_reports_no_load_is_not_taken_for_idle() {
    // Backends with even numbers report that they are busy and are not; the others report nothing.
    let mut harness = Harness::new(settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() }), 40);
    let mut unreported = 0;
    for _ in 0..400 {
        harness.advance(100.0);
        let (request, actions) = harness.request(1, SAFE, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let odd = backend.0 % 2 == 1;
        unreported += usize::from(odd);
        let load = Load { busy: (!odd).then_some(0.8), ..Load::default() };
        let end = AttemptEnd { load, ..attempt_end(request, 0, backend, Outcome::Served, 50.0) };
        harness.handle(Event::AttemptEnded(end));
    }
    assert!((120..=280).contains(&unreported), "{unreported} of 400 went to the half that reports nothing");
}
