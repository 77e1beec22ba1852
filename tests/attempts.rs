//! Servers, further attempts, final answers.

mod common;

use common::*;
use std::collections::VecDeque;
use weldhub::interface::*;
use weldhub::{Action, Event};

fn quiet() -> Harness {
    Harness::new(settings(Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }), 10)
}

#[test]
fn what_never_ran_goes_elsewhere_whatever_its_class() {
    for class in 0..4 {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
            let mut harness = quiet();
            let (id, actions) = harness.request(1, class, 1.0, 1);
            let first = sent_to(&actions).unwrap();
            let next = sent_to(&harness.advance(10.0).end_attempt(id, 0, first, outcome, 10.0)).unwrap();
            assert_ne!(first, next, "class {class}, {outcome:?}");
        }
    }
}

#[test]
fn unsafe_work_that_may_have_run_is_failed_and_never_refused_or_repeated() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut harness = quiet();
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let actions = harness.advance(10.0).end_attempt(id, 0, sent_to(&actions).unwrap(), outcome, 10.0);
        assert!(
            failed(&actions) && !rejected(&actions) && sent_to(&actions).is_none(),
            "{outcome:?}: {actions:?}"
        );
    }
}

#[test]
fn keyed_work_is_repeated_in_its_group_and_window_only() {
    for round in 0..20 {
        let mut harness = quiet();
        let (id, actions) = harness.request(round, KEYED_BY_ZONE, 1.0, 1);
        let first = sent_to(&actions).unwrap();
        let actions = harness.advance(10.0).end_attempt(id, 0, first, Outcome::Error, 10.0);
        assert_eq!(sent_to(&actions).unwrap().0 % 2, first.0 % 2, "the same zone");
        let late =
            harness.advance(1000.0).end_attempt(id, 1, sent_to(&actions).unwrap(), Outcome::Error, 1000.0);
        assert!(failed(&late) && sent_to(&late).is_none(), "the window is over: {late:?}");
    }
}

/// An attempt that waits, for a connection or its turn, must not leave when its class may no longer be repeated.
#[test]
fn a_repeat_of_keyed_work_must_leave_within_what_is_left_of_its_window() {
    let within = |actions: &[Action]| {
        let found = actions.iter().find_map(|a| {
            if let Action::Send { send_within: within, .. } = a { Some(*within) } else { None }
        });
        found.expect("it is sent")
    };
    for (class, first, left) in
        [(0, Outcome::Error, None), (1, Outcome::Error, Some(689.0)), (3, Outcome::Reset, Some(689.0))]
    {
        let mut harness = quiet();
        // The first one never ran: the window begins with the second.
        let (id, actions) = harness.request(1, class, 1.0, 1);
        assert_eq!(within(&actions), None);
        let actions = harness.advance(100.0).end_attempt(
            id,
            0,
            sent_to(&actions).unwrap(),
            Outcome::ConnectFailed,
            100.0,
        );
        assert_eq!(within(&actions), None);
        let actions = harness.advance(310.0).end_attempt(id, 1, sent_to(&actions).unwrap(), first, 310.0);
        assert_eq!(within(&actions), left, "class {class}: less the millisecond that clocks may differ by");
    }
}

#[test]
fn keyed_work_does_not_leave_its_group_when_its_first_server_is_no_longer_listed() {
    for round in 0..20 {
        let mut harness = quiet();
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
fn keyed_by_zone_may_not_be_refused_once_it_may_have_run() {
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
fn the_deadline_is_answered_and_nothing_follows() {
    for class in 0..4 {
        let mut harness = quiet();
        let (id, actions) = harness.request(1, class, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let actions = harness.advance(2000.0).end_attempt(id, 0, backend, Outcome::TimedOut, 2000.0);
        assert!(failed(&actions) && sent_to(&actions).is_none(), "class {class}: {actions:?}");
        assert!(harness.end_attempt(id, 0, backend, Outcome::TimedOut, 2000.0).is_empty(), "told twice");
    }
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_attempt_is_cancelled() {
    let mut harness = quiet();
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    assert_eq!(harness.handle(Event::ClientLeft(id)), [Action::Cancel(id, AttemptIndex(0))]);
    assert!(harness.end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::Cancelled, 5.0).is_empty());
    assert!(harness.handle(Event::ClientLeft(RequestId(999))).is_empty());
}

#[test]
fn further_attempts_have_a_budget() {
    let mut harness = quiet();
    let mut again = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(1, SAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        let actions = harness.advance(5.0).end_attempt(id, 0, backend, Outcome::Error, 5.0);
        if let Some(backend) = sent_to(&actions) {
            again += 1;
            harness.end_attempt(id, 1, backend, Outcome::Served, 5.0);
        }
    }
    assert!((20..=51).contains(&again), "{again} of 200");
}

#[test]
fn draining_and_gone_servers_get_nothing_at_once() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut harness = quiet();
        let leaving = (1..10).map(|n| BackendEntry { state, ..backend_entry(n) }).collect();
        harness.handle(Event::BackendList(ListKind::Changes, leaving));
        for _ in 0..5 {
            assert_eq!(sent_to(&harness.request(1, SAFE, 1.0, 1).1), Some(BackendId(0)));
        }
        harness.handle(Event::BackendList(
            ListKind::Full,
            vec![BackendEntry { state: BackendState::Draining, ..backend_entry(0) }],
        ));
        assert!(rejected(&harness.request(1, SAFE, 1.0, 1).1), "no server is left");
    }
}

#[test]
fn a_cold_server_gets_little_and_more_as_it_warms() {
    let share = |age: f64, takes: f64| {
        let mut harness = quiet();
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
                if backend == BackendId(0) { takes } else { 50.0 },
            );
        }
        hits
    };
    // Somewhat later than usual, so that the ramp alone decides, until it is warm.
    let (cold, warmer, warm) = (share(0.0, 70.0), share(6000.0, 70.0), share(20_000.0, 30.0));
    assert!(cold > 0 && cold <= 20, "a quarter of a tenth of 400, and warming: {cold}");
    assert!(warmer > cold && warm > warmer, "{cold} {warmer} {warm}");
    // One that answers at once can do more, whatever the ramp says.
    let prompt = share(0.0, 5.0);
    assert!(prompt > 2 * cold, "{prompt} and {cold}");
}

#[test]
fn a_server_that_comes_back_on_a_stale_list_is_cold() {
    let mut harness = quiet();
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
fn a_dead_server_is_ejected_but_never_the_fleet() {
    let mut harness = quiet();
    let run = |harness: &mut Harness, dead: &dyn Fn(BackendId) -> bool| {
        let mut lost = 0;
        for _ in 0..200 {
            harness.advance(5.0);
            let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
            let Some(backend) = sent_to(&actions) else { continue };
            let outcome = if dead(backend) { Outcome::Error } else { Outcome::Served };
            lost += usize::from(dead(backend));
            harness.end_attempt(id, 0, backend, outcome, 5.0);
        }
        lost
    };
    let lost = run(&mut harness, &|s| s == BackendId(0));
    assert!(lost <= 10, "{lost} of 200 went to one dead server of ten");
    assert_eq!(run(&mut harness, &|_| true), 200, "all are bad: all are still tried");
}

/// A server that drains before the list says so answers at once and looks idle: it would draw the traffic, and what it
/// turns away would be taken for a full back end.
#[test]
fn one_that_turns_all_away_is_left_out_and_does_not_cut_the_room() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let (mut turned_away, mut out) = (0, VecDeque::new());
    for _ in 0..500 {
        harness.advance(12.0);
        let (id, mut actions) = harness.request(1, SAFE, 1.0, 1);
        let mut attempt = 0;
        while sent_to(&actions) == Some(BackendId(0)) {
            turned_away += 1;
            actions = harness.advance(1.0).end_attempt(id, attempt, BackendId(0), Outcome::Rejected, 1.0);
            attempt += 1;
        }
        out.extend(sent_to(&actions).map(|backend| (harness.now, id, attempt, backend)));
        while let Some((at, id, attempt, backend)) = out.pop_front_if(|(at, ..)| *at < harness.now - 100.0) {
            harness.end_attempt(id, attempt, backend, Outcome::Served, harness.now - at);
        }
    }
    assert!(turned_away < 50, "{turned_away} of 500 went to the one that drains");
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert!(granted >= 5, "only {granted} are let in beside those that are out");
}

/// Answers that get lost, or hang half way, say nothing of a back end that serves younger work in time.
#[test]
fn a_time_out_that_younger_work_overtook_does_not_cut_the_room() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let mut out = Vec::new();
    for step in 0..600 {
        harness.advance(20.0);
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let (outcome, after) =
            if step % 8 == 7 { (Outcome::TimedOut, 400.0) } else { (Outcome::Served, 130.0) };
        out.extend(sent_to(&actions).map(|backend| (harness.now, after, id, backend, outcome)));
        let now = harness.now;
        for (at, _, id, backend, outcome) in out.extract_if(.., |(at, after, ..)| now - *at >= *after) {
            harness.end_attempt(id, 0, backend, outcome, now - at);
        }
    }
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert!(granted >= 3, "only {granted} are let in beside those that are out");
}

#[test]
fn a_slow_server_gets_less() {
    let mut harness = quiet();
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
    assert!(hits < 25, "{hits} of 400, an even part is 40");
}

#[test]
fn absurd_figures_change_nothing() {
    let mut harness = quiet();
    let mad = Load { in_flight: Some(f64::NAN), busy: Some(f64::INFINITY), ..Load::default() };
    for number in 0..10 {
        harness.handle(Event::ProbeEnded(BackendId(number), Outcome::Served, mad));
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
fn the_list_is_asked_for_where_it_must_be() {
    let mut harness = Harness::new(Settings { list_on_request: true, ..settings(plan()) }, 0);
    assert!(harness.handle(Event::Start).contains(&Action::Subscribe));
    let actions = harness.handle(Event::BackendList(ListKind::Failed, vec![]));
    let [Action::SetTimer(_, key)] = actions[..] else { panic!("{actions:?}") };
    assert_eq!(harness.handle(Event::Timer(key)), [Action::Subscribe]);
}

#[test]
fn the_same_events_give_the_same_actions() {
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
fn a_server_that_tells_nothing_is_not_taken_for_idle() {
    // Even ones tell that they are busy, and are not; odd ones tell nothing.
    let mut harness = Harness::new(settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() }), 40);
    let mut untold = 0;
    for _ in 0..400 {
        harness.advance(100.0);
        let (request, actions) = harness.request(1, SAFE, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let odd = backend.0 % 2 == 1;
        untold += usize::from(odd);
        let load = Load { busy: (!odd).then_some(0.8), ..Load::default() };
        let end = AttemptEnd { load, ..attempt_end(request, 0, backend, Outcome::Served, 50.0) };
        harness.handle(Event::AttemptEnded(end));
    }
    assert!((120..=280).contains(&untold), "{untold} of 400 went to the half that tells nothing");
}
