//! Servers, further attempts, final answers.

mod common;

use common::*;
use std::collections::VecDeque;
use weldhub::interface::*;
use weldhub::{Action, Event};

fn quiet() -> Bench {
    Bench::new(settings(Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }), 10)
}

#[test]
fn what_never_ran_goes_elsewhere_whatever_its_class() {
    for class in 0..4 {
        for outcome in [Outcome::Rejected, Outcome::ConnectFailed] {
            let mut bench = quiet();
            let (id, acts) = bench.ask(1, class, 1.0, 1);
            let first = sent(&acts).unwrap();
            let next = sent(&bench.wait(10.0).end(id, 0, first, outcome, 10.0)).unwrap();
            assert_ne!(first, next, "class {class}, {outcome:?}");
        }
    }
}

#[test]
fn unsafe_work_that_may_have_run_is_failed_and_never_refused_or_repeated() {
    for outcome in [Outcome::Error, Outcome::TimedOut, Outcome::Reset, Outcome::Cancelled] {
        let mut bench = quiet();
        let (id, acts) = bench.ask(1, 2, 1.0, 1);
        let acts = bench.wait(10.0).end(id, 0, sent(&acts).unwrap(), outcome, 10.0);
        assert!(failed(&acts) && !refused(&acts) && sent(&acts).is_none(), "{outcome:?}: {acts:?}");
    }
}

#[test]
fn keyed_work_is_repeated_in_its_group_and_window_only() {
    for round in 0..20 {
        let mut bench = quiet();
        let (id, acts) = bench.ask(round, 1, 1.0, 1);
        let first = sent(&acts).unwrap();
        let acts = bench.wait(10.0).end(id, 0, first, Outcome::Error, 10.0);
        assert_eq!(sent(&acts).unwrap().0 % 2, first.0 % 2, "the same zone");
        let late = bench.wait(1000.0).end(id, 1, sent(&acts).unwrap(), Outcome::Error, 1000.0);
        assert!(failed(&late) && sent(&late).is_none(), "the window is over: {late:?}");
    }
}

/// An attempt that waits, for a connection or its turn, must not leave when its class may no longer be repeated.
#[test]
fn a_repeat_of_keyed_work_must_leave_within_what_is_left_of_its_window() {
    let within = |acts: &[Action]| {
        let found = acts.iter().find_map(|a| {
            if let Action::Send { send_within: within, .. } = a { Some(*within) } else { None }
        });
        found.expect("it is sent")
    };
    for (class, first, left) in
        [(0, Outcome::Error, None), (1, Outcome::Error, Some(689.0)), (3, Outcome::Reset, Some(689.0))]
    {
        let mut bench = quiet();
        // The first one never ran: the window begins with the second.
        let (id, acts) = bench.ask(1, class, 1.0, 1);
        assert_eq!(within(&acts), None);
        let acts = bench.wait(100.0).end(id, 0, sent(&acts).unwrap(), Outcome::ConnectFailed, 100.0);
        assert_eq!(within(&acts), None);
        let acts = bench.wait(310.0).end(id, 1, sent(&acts).unwrap(), first, 310.0);
        assert_eq!(within(&acts), left, "class {class}: less the millisecond that clocks may differ by");
    }
}

#[test]
fn keyed_work_does_not_leave_its_group_when_its_first_server_is_no_longer_listed() {
    for round in 0..20 {
        let mut bench = quiet();
        let (id, acts) = bench.ask(round, 1, 1.0, 1);
        let first = sent(&acts).unwrap();
        let second = sent(&bench.wait(10.0).end(id, 0, first, Outcome::Error, 10.0)).unwrap();
        let gone = BackendEntry { state: BackendState::Gone, ..entry(first.0) };
        bench.event(Event::BackendList(ListKind::Changes, vec![gone]));
        let acts = bench.wait(10.0).end(id, 1, second, Outcome::Error, 10.0);
        assert!(sent(&acts).is_none_or(|third| third.0 % 2 == first.0 % 2), "{acts:?}");
    }
}

#[test]
fn keyed_by_zone_may_not_be_refused_once_it_may_have_run() {
    let mut bench = Bench::new(Settings { max_attempts: 1, ..settings(plan()) }, 10);
    let (id, acts) = bench.ask(1, 1, 1.0, 1);
    assert!(failed(&bench.wait(9.0).end(id, 0, sent(&acts).unwrap(), Outcome::Error, 9.0)));
    let (id, acts) = bench.ask(1, 3, 1.0, 1);
    assert!(refused(&bench.wait(9.0).end(id, 0, sent(&acts).unwrap(), Outcome::Error, 9.0)));
    let (id, acts) = bench.ask(1, 2, 1.0, 1);
    assert!(refused(&bench.wait(9.0).end(id, 0, sent(&acts).unwrap(), Outcome::Rejected, 9.0)));
}

#[test]
fn the_deadline_is_answered_and_nothing_follows() {
    for class in 0..4 {
        let mut bench = quiet();
        let (id, acts) = bench.ask(1, class, 1.0, 1);
        let server = sent(&acts).unwrap();
        let acts = bench.wait(2000.0).end(id, 0, server, Outcome::TimedOut, 2000.0);
        assert!(failed(&acts) && sent(&acts).is_none(), "class {class}: {acts:?}");
        assert!(bench.end(id, 0, server, Outcome::TimedOut, 2000.0).is_empty(), "told twice");
    }
}

#[test]
fn a_client_that_left_is_owed_nothing_and_its_attempt_is_cancelled() {
    let mut bench = quiet();
    let (id, acts) = bench.ask(1, 0, 1.0, 1);
    assert_eq!(bench.event(Event::ClientLeft(id)), [Action::Cancel(id, AttemptIndex(0))]);
    assert!(bench.end(id, 0, sent(&acts).unwrap(), Outcome::Cancelled, 5.0).is_empty());
    assert!(bench.event(Event::ClientLeft(RequestId(999))).is_empty());
}

#[test]
fn further_attempts_have_a_budget() {
    let mut bench = quiet();
    let mut again = 0;
    for _ in 0..200 {
        let (id, acts) = bench.ask(1, 0, 1.0, 1);
        let Some(server) = sent(&acts) else { continue };
        let acts = bench.wait(5.0).end(id, 0, server, Outcome::Error, 5.0);
        if let Some(server) = sent(&acts) {
            again += 1;
            bench.end(id, 1, server, Outcome::Served, 5.0);
        }
    }
    assert!((20..=51).contains(&again), "{again} of 200");
}

#[test]
fn draining_and_gone_servers_get_nothing_at_once() {
    for state in [BackendState::Draining, BackendState::Gone] {
        let mut bench = quiet();
        let leaving = (1..10).map(|n| BackendEntry { state, ..entry(n) }).collect();
        bench.event(Event::BackendList(ListKind::Changes, leaving));
        for _ in 0..5 {
            assert_eq!(sent(&bench.ask(1, 0, 1.0, 1).1), Some(BackendId(0)));
        }
        bench.event(Event::BackendList(
            ListKind::Full,
            vec![BackendEntry { state: BackendState::Draining, ..entry(0) }],
        ));
        assert!(refused(&bench.ask(1, 0, 1.0, 1).1), "no server is left");
    }
}

#[test]
fn a_cold_server_gets_little_and_more_as_it_warms() {
    let share = |age: f64, takes: f64| {
        let mut bench = quiet();
        let cold = BackendEntry { last_start: Some(bench.now + 2000.0 - age), ..entry(0) };
        let mut hits = 0;
        for step in 0..800 {
            if step == 400 {
                bench.event(Event::BackendList(ListKind::Changes, vec![cold]));
            }
            bench.wait(5.0);
            let (id, acts) = bench.ask(1, 0, 1.0, 1);
            let Some(server) = sent(&acts) else { continue };
            hits += usize::from(step >= 400 && server == BackendId(0));
            bench.end(id, 0, server, Outcome::Served, if server == BackendId(0) { takes } else { 50.0 });
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
    let mut bench = quiet();
    bench.event(Event::BackendList(
        ListKind::Changes,
        vec![BackendEntry { state: BackendState::Gone, ..entry(0) }],
    ));
    bench.event(Event::BackendList(ListKind::Changes, vec![entry(0)]));
    let mut hits = 0;
    for _ in 0..200 {
        bench.wait(5.0);
        let (id, acts) = bench.ask(1, 0, 1.0, 1);
        let Some(server) = sent(&acts) else { continue };
        hits += usize::from(server == BackendId(0));
        bench.end(id, 0, server, Outcome::Served, if server == BackendId(0) { 5.0 } else { 50.0 });
    }
    assert!(hits <= 10, "{hits}");
}

#[test]
fn a_dead_server_is_ejected_but_never_the_fleet() {
    let mut bench = quiet();
    let run = |bench: &mut Bench, dead: &dyn Fn(BackendId) -> bool| {
        let mut lost = 0;
        for _ in 0..200 {
            bench.wait(5.0);
            let (id, acts) = bench.ask(1, 2, 1.0, 1);
            let Some(server) = sent(&acts) else { continue };
            let outcome = if dead(server) { Outcome::Error } else { Outcome::Served };
            lost += usize::from(dead(server));
            bench.end(id, 0, server, outcome, 5.0);
        }
        lost
    };
    let lost = run(&mut bench, &|s| s == BackendId(0));
    assert!(lost <= 10, "{lost} of 200 went to one dead server of ten");
    assert_eq!(run(&mut bench, &|_| true), 200, "all are bad: all are still tried");
}

/// A server that drains before the list says so answers at once and looks idle: it would draw the traffic, and what it
/// turns away would be taken for a full back end.
#[test]
fn one_that_turns_all_away_is_left_out_and_does_not_cut_the_room() {
    let mut bench = Bench::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let (mut turned_away, mut out) = (0, VecDeque::new());
    for _ in 0..500 {
        bench.wait(12.0);
        let (id, mut acts) = bench.ask(1, 0, 1.0, 1);
        let mut no = 0;
        while sent(&acts) == Some(BackendId(0)) {
            turned_away += 1;
            acts = bench.wait(1.0).end(id, no, BackendId(0), Outcome::Rejected, 1.0);
            no += 1;
        }
        out.extend(sent(&acts).map(|server| (bench.now, id, no, server)));
        while let Some((at, id, no, server)) = out.pop_front_if(|(at, ..)| *at < bench.now - 100.0) {
            bench.end(id, no, server, Outcome::Served, bench.now - at);
        }
    }
    assert!(turned_away < 50, "{turned_away} of 500 went to the one that drains");
    let granted = (0..100).filter(|_| sent(&bench.ask(1, 0, 1.0, 1).1).is_some()).count();
    assert!(granted >= 5, "only {granted} are let in beside those that are out");
}

/// Answers that get lost, or hang half way, say nothing of a back end that serves younger work in time.
#[test]
fn a_time_out_that_younger_work_overtook_does_not_cut_the_room() {
    let mut bench = Bench::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 3);
    let mut out = Vec::new();
    for step in 0..600 {
        bench.wait(20.0);
        let (id, acts) = bench.ask(1, 2, 1.0, 1);
        let (outcome, after) =
            if step % 8 == 7 { (Outcome::TimedOut, 400.0) } else { (Outcome::Served, 130.0) };
        out.extend(sent(&acts).map(|server| (bench.now, after, id, server, outcome)));
        let now = bench.now;
        for (at, _, id, server, outcome) in out.extract_if(.., |(at, after, ..)| now - *at >= *after) {
            bench.end(id, 0, server, outcome, now - at);
        }
    }
    let granted = (0..100).filter(|_| sent(&bench.ask(1, 2, 1.0, 1).1).is_some()).count();
    assert!(granted >= 3, "only {granted} are let in beside those that are out");
}

#[test]
fn a_slow_server_gets_less() {
    let mut bench = quiet();
    let mut hits = 0;
    for _ in 0..400 {
        bench.wait(5.0);
        let (id, acts) = bench.ask(1, 0, 1.0, 1);
        let Some(server) = sent(&acts) else { continue };
        hits += usize::from(server == BackendId(0));
        bench.end(id, 0, server, Outcome::Served, if server == BackendId(0) { 200.0 } else { 40.0 });
    }
    assert!(hits < 25, "{hits} of 400, an even part is 40");
}

#[test]
fn absurd_figures_change_nothing() {
    let mut bench = quiet();
    let mad = Load { in_flight: Some(f64::NAN), busy: Some(f64::INFINITY), ..Load::default() };
    for number in 0..10 {
        bench.event(Event::ProbeEnded(BackendId(number), Outcome::Served, mad));
    }
    assert!(sent(&bench.ask(1, 0, 1.0, 1).1).is_some());
    assert!(refused(&bench.ask(1, 99, 1.0, 1).1), "an unknown class");
    bench.ask(1, 0, f64::NAN, 0);
    bench.event(Event::Timer(TimerKey(12345)));
    bench.event(Event::CounterAnswered(CounterName(5), CounterAnswer::Total(f64::NAN)));
    bench.event(Event::BackendList(ListKind::Failed, vec![]));
    assert!(sent(&bench.ask(1, 0, 1.0, 1).1).is_some());
}

#[test]
fn the_list_is_asked_for_where_it_must_be() {
    let mut bench = Bench::new(Settings { list_on_request: true, ..settings(plan()) }, 0);
    assert!(bench.event(Event::Start).contains(&Action::Subscribe));
    let acts = bench.event(Event::BackendList(ListKind::Failed, vec![]));
    let [Action::SetTimer(_, key)] = acts[..] else { panic!("{acts:?}") };
    assert_eq!(bench.event(Event::Timer(key)), [Action::Subscribe]);
}

#[test]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut bench =
            Bench::new(Settings { peers: true, peer_messages_per_second: 40.0, ..settings(plan()) }, 10);
        let mut all = Vec::new();
        for step in 0..500u64 {
            bench.wait(7.0);
            let (id, acts) = bench.ask(step % 13, (step % 4) as usize, 1.0 + (step % 3) as f64, 2);
            if let Some(server) = sent(&acts) {
                let outcome = [Outcome::Served, Outcome::Rejected, Outcome::TimedOut][step as usize % 3];
                all.extend(bench.end(id, 0, server, outcome, 30.0));
            }
            all.extend(acts);
            all.extend(bench.event(Event::Timer(TimerKey(1))));
        }
        all
    };
    assert_eq!(run(), run());
}

#[test]
fn a_server_that_tells_nothing_is_not_taken_for_idle() {
    // Even ones tell that they are busy, and are not; odd ones tell nothing.
    let mut bench = Bench::new(settings(Plan { rate: 1e4, burst: 1e6, ..Plan::default() }), 40);
    let mut untold = 0;
    for _ in 0..400 {
        bench.wait(100.0);
        let (request, acts) = bench.ask(1, 0, 1.0, 1);
        let server = sent(&acts).unwrap();
        let odd = server.0 % 2 == 1;
        untold += usize::from(odd);
        let load = Load { busy: (!odd).then_some(0.8), ..Load::default() };
        let end = AttemptEnd { load, ..ended(request, 0, server, Outcome::Served, 50.0) };
        bench.event(Event::AttemptEnded(end));
    }
    assert!((120..=280).contains(&untold), "{untold} of 400 went to the half that tells nothing");
}
