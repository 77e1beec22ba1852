//! A request that is given up on is answered in the same step, on each path that drops or holds one.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Settings};

fn open() -> Plan {
    Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }
}

#[test]
fn the_last_end_of_an_attempt_is_answered_with_it() {
    // The class, how its attempt ended, how long that took, and whether a refusal is safe.
    for (class, outcome, spent, refusal) in [
        (2, Outcome::Error, 20.0, false),
        (2, Outcome::Reset, 20.0, false),
        (2, Outcome::TimedOut, 1999.0, false),
        (1, Outcome::TimedOut, 1500.0, false), // Its window is over, and its group is one zone.
        (3, Outcome::TimedOut, 1500.0, false), // Its window is over.
        (0, Outcome::TimedOut, 1990.0, true),
        (2, Outcome::ConnectFailed, 1990.0, true),
    ] {
        let mut bench = Bench::new(settings(open()), 10);
        let (id, acts) = bench.ask(1, class, 1.0, 1);
        let server = sent(&acts).unwrap();
        let acts = bench.wait(spent).end(id, 0, server, outcome, spent);
        assert_eq!((refused(&acts), failed(&acts)), (refusal, !refusal), "{class} {outcome:?}: {acts:?}");
        assert!(
            bench.wait(100.0).event(Event::Timer(TimerKey(1))).iter().all(|a| !matches!(a, Action::Fail(_)))
        );
    }
}

#[test]
fn with_nobody_left_to_try_the_answer_does_not_wait() {
    let mut bench = Bench::new(settings(open()), 0);
    assert!(refused(&bench.ask(1, 0, 1.0, 1).1), "no server at all");
    let mut bench = Bench::new(settings(open()), 1);
    let (id, acts) = bench.ask(1, 2, 1.0, 1);
    let server = sent(&acts).unwrap();
    let gone = BackendEntry { state: BackendState::Gone, ..entry(server.0) };
    bench.event(Event::BackendList(ListKind::Changes, vec![gone]));
    assert!(
        refused(&bench.end(id, 0, server, Outcome::Rejected, 5.0)),
        "it never ran, and there is no other"
    );
}

#[test]
fn with_attempts_or_retries_used_up_the_answer_does_not_wait() {
    let mut bench = Bench::new(Settings { max_attempts: 2, ..settings(open()) }, 10);
    let (id, acts) = bench.ask(1, 0, 1.0, 1);
    let acts = bench.end(id, 0, sent(&acts).unwrap(), Outcome::Rejected, 5.0);
    assert!(refused(&bench.end(id, 1, sent(&acts).unwrap(), Outcome::Rejected, 5.0)));
}

#[test]
fn what_waits_for_the_counter_is_answered_with_its_answer_and_nothing_waits_for_one_that_cannot_help() {
    let counter = |plan| Settings { counter: true, ..settings(plan) };
    for answer in [CounterAnswer::Total(1e6), CounterAnswer::NotAdded, CounterAnswer::Unknown] {
        let mut bench = Bench::new(counter(Plan { rate: 1.0, burst: 4.0, ..Plan::default() }), 10);
        bench.wait(60_000.0);
        let (_, acts) = bench.ask(1, 0, 1.0, 2);
        let [Action::AddToCounter(name, ..)] = acts[..] else { panic!("{acts:?}") };
        let acts = bench.event(Event::CounterAnswered(name, answer));
        assert!(sent(&acts).is_some() || refused(&acts), "{answer:?}: {acts:?}");
    }
    // All that the cap allows is out here; the slice of the ceiling is empty.
    let mut bench = Bench::new(counter(Plan { max_in_flight: 1.0, ..open() }), 10);
    let (_, acts) = bench.ask(1, 2, 1.0, 2);
    if let [Action::AddToCounter(name, added, _)] = acts[..] {
        assert!(sent(&bench.event(Event::CounterAnswered(name, CounterAnswer::Total(added)))).is_some());
    }
    let (_, acts) = bench.ask(1, 2, 1.0, 2);
    assert!(refused(&acts) && acts.len() == 1, "the cap: {acts:?}");
    let mut bench = Bench::new(counter(Plan { ceiling_rate: 1.0, ceiling_burst: 8.0, ..open() }), 10);
    let (_, acts) = bench.ask(1, 2, 4.0, 2);
    assert!(refused(&acts) && acts.len() == 1, "the ceiling: {acts:?}");
}

#[test]
fn no_home_is_asked_for_what_its_word_cannot_help() {
    let plan = Plan { max_in_flight: 1.0, ..open() };
    let set = Settings {
        ingress_count: 120,
        peers: true,
        peer_messages_per_second: 40.0,
        ingress: IngressId(5),
        ..settings(plan)
    };
    let mut asked = 0;
    for customer in 0..20 {
        let mut bench = Bench::new(set.clone(), 10);
        let (_, acts) = bench.ask(customer, 2, 1.0, 120);
        let Some(Action::SendToPeer(home, ask)) = acts.first().cloned() else { continue };
        asked += 1;
        // The home grants it, as told by the number of the ask; then the cap is out here.
        let seq = ask[1..].iter().position(|byte| byte & 0x80 == 0).unwrap() + 2;
        let grant = [&[1], &ask[1..seq], &[0]].concat();
        assert!(sent(&bench.event(Event::PeerMessage(home, grant))).is_some());
        let (_, acts) = bench.ask(customer, 2, 1.0, 120);
        assert!(refused(&acts) && acts.len() == 1, "the cap is out here: {acts:?}");
        let mut bench = Bench::new(set.clone(), 10);
        let (id, _) = bench.ask(customer, 2, 1.0, 120);
        // The home is silent twice, and the request goes by the even slice, or is refused: in that step.
        bench.wait(130.0).event(Event::Timer(TimerKey(3)));
        let acts = bench.wait(130.0).event(Event::Timer(TimerKey(3)));
        assert!(sent(&acts).is_some() || refused(&acts), "{home:?} {id:?}: {acts:?}");
    }
    assert!(asked > 10);
}
