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
        let mut harness = Harness::new(settings(open()), 10);
        let (id, actions) = harness.request(1, class, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let actions = harness.advance(spent).end_attempt(id, 0, backend, outcome, spent);
        assert_eq!(
            (rejected(&actions), failed(&actions)),
            (refusal, !refusal),
            "{class} {outcome:?}: {actions:?}"
        );
        assert!(
            harness
                .advance(100.0)
                .handle(Event::Timer(TICK_TIMER))
                .iter()
                .all(|a| !matches!(a, Action::Fail(_)))
        );
    }
}

#[test]
fn with_nobody_left_to_try_the_answer_does_not_wait() {
    let mut harness = Harness::new(settings(open()), 0);
    assert!(rejected(&harness.request(1, SAFE, 1.0, 1).1), "no server at all");
    let mut harness = Harness::new(settings(open()), 1);
    let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
    let backend = sent_to(&actions).unwrap();
    let gone = BackendEntry { state: BackendState::Gone, ..backend_entry(backend.0) };
    harness.handle(Event::BackendList(ListKind::Changes, vec![gone]));
    assert!(
        rejected(&harness.end_attempt(id, 0, backend, Outcome::Rejected, 5.0)),
        "it never ran, and there is no other"
    );
}

#[test]
fn with_attempts_or_retries_used_up_the_answer_does_not_wait() {
    let mut harness = Harness::new(Settings { max_attempts: 2, ..settings(open()) }, 10);
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    let actions = harness.end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::Rejected, 5.0);
    assert!(rejected(&harness.end_attempt(id, 1, sent_to(&actions).unwrap(), Outcome::Rejected, 5.0)));
}

#[test]
fn what_waits_for_the_counter_is_answered_with_its_answer_and_nothing_waits_for_one_that_cannot_help() {
    let counter = |plan| Settings { counter: true, ..settings(plan) };
    for answer in [CounterAnswer::Total(1e6), CounterAnswer::NotAdded, CounterAnswer::Unknown] {
        let mut harness = Harness::new(counter(Plan { rate: 1.0, burst: 4.0, ..Plan::default() }), 10);
        harness.advance(60_000.0);
        let (_, actions) = harness.request(1, SAFE, 1.0, 2);
        let [Action::AddToCounter(name, ..)] = actions[..] else { panic!("{actions:?}") };
        let actions = harness.handle(Event::CounterAnswered(name, answer));
        assert!(sent_to(&actions).is_some() || rejected(&actions), "{answer:?}: {actions:?}");
    }
    // All that the cap allows is out here; the slice of the ceiling is empty.
    let mut harness = Harness::new(counter(Plan { max_in_flight: 1.0, ..open() }), 10);
    let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
    if let [Action::AddToCounter(name, added, _)] = actions[..] {
        assert!(
            sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(added)))).is_some()
        );
    }
    let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
    assert!(rejected(&actions) && actions.len() == 1, "the cap: {actions:?}");
    let mut harness = Harness::new(counter(Plan { ceiling_rate: 1.0, ceiling_burst: 8.0, ..open() }), 10);
    let (_, actions) = harness.request(1, UNSAFE, 4.0, 2);
    assert!(rejected(&actions) && actions.len() == 1, "the ceiling: {actions:?}");
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
        let mut harness = Harness::new(set.clone(), 10);
        let (_, actions) = harness.request(customer, UNSAFE, 1.0, 120);
        let Some(Action::SendToPeer(home, ask)) = actions.first().cloned() else { continue };
        asked += 1;
        // The home grants it, as told by the number of the ask; then the cap is out here.
        let seq = ask[1..].iter().position(|byte| byte & 0x80 == 0).unwrap() + 2;
        let grant = [&[1], &ask[1..seq], &[0]].concat();
        assert!(sent_to(&harness.handle(Event::PeerMessage(home, grant))).is_some());
        let (_, actions) = harness.request(customer, UNSAFE, 1.0, 120);
        assert!(rejected(&actions) && actions.len() == 1, "the cap is out here: {actions:?}");
        let mut harness = Harness::new(set.clone(), 10);
        let (id, _) = harness.request(customer, UNSAFE, 1.0, 120);
        // The home is silent twice, and the request goes by the even slice, or is refused: in that step.
        harness.advance(130.0).handle(Event::Timer(QUOTA_ANSWER_TIMER));
        let actions = harness.advance(130.0).handle(Event::Timer(QUOTA_ANSWER_TIMER));
        assert!(sent_to(&actions).is_some() || rejected(&actions), "{home:?} {id:?}: {actions:?}");
    }
    assert!(asked > 10);
}
