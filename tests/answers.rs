//! A request that cannot be served any more gets its final answer in the same step, on each path that drops
//! or holds one.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Settings};

/// Returns a plan whose rate and burst are never exhausted.
fn unlimited() -> Plan {
    Plan { rate: 1000.0, burst: 1e6, ..Plan::default() }
}

#[test]
fn answers_when_the_last_attempt_ends() {
    // The class, how its attempt ended, how long that took, and whether the request is rejected or failed.
    for (class, outcome, elapsed, is_rejected) in [
        (UNSAFE, Outcome::Error, 20.0, false),
        (UNSAFE, Outcome::Reset, 20.0, false),
        (UNSAFE, Outcome::TimedOut, 1999.0, false),
        (KEYED_BY_ZONE, Outcome::TimedOut, 1500.0, false), // Its window is over, and its scope is one zone.
        (KEYED, Outcome::TimedOut, 1500.0, false),         // Its window is over.
        (SAFE, Outcome::TimedOut, 1990.0, true),
        (UNSAFE, Outcome::ConnectFailed, 1990.0, true),
    ] {
        let mut harness = Harness::new(settings(unlimited()), 10);
        let (id, actions) = harness.request(1, class, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        let actions = harness.advance(elapsed).end_attempt(id, 0, backend, outcome, elapsed);
        assert_eq!(
            (rejected(&actions), failed(&actions)),
            (is_rejected, !is_rejected),
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
fn answers_at_once_without_another_backend() {
    let mut harness = Harness::new(settings(unlimited()), 0);
    assert!(rejected(&harness.request(1, SAFE, 1.0, 1).1), "no backend at all");
    let mut harness = Harness::new(settings(unlimited()), 1);
    let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
    let backend = sent_to(&actions).unwrap();
    let gone = BackendEntry { state: BackendState::Gone, ..backend_entry(backend.0) };
    harness.handle(Event::BackendList(ListKind::Changes, vec![gone]));
    assert!(
        rejected(&harness.end_attempt(id, 0, backend, Outcome::Rejected, 5.0)),
        "it never ran, and there is no other backend"
    );
}

#[test]
fn answers_at_once_when_all_attempts_are_used() {
    let mut harness = Harness::new(Settings { max_attempts: 2, ..settings(unlimited()) }, 10);
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    let actions = harness.end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::Rejected, 5.0);
    assert!(rejected(&harness.end_attempt(id, 1, sent_to(&actions).unwrap(), Outcome::Rejected, 5.0)));
}

#[test]
fn request_held_for_the_counter_is_answered_with_its_result_and_none_is_held_in_vain() {
    let counter = |plan| Settings { counter: true, ..settings(plan) };
    for answer in [CounterAnswer::Total(1e6), CounterAnswer::NotAdded, CounterAnswer::Unknown] {
        let mut harness = Harness::new(counter(Plan { rate: 1.0, burst: 4.0, ..Plan::default() }), 10);
        harness.advance(60_000.0);
        let (_, actions) = harness.request(1, SAFE, 1.0, 2);
        let [Action::AddToCounter(name, ..)] = actions[..] else { panic!("{actions:?}") };
        let actions = harness.handle(Event::CounterAnswered(name, answer));
        assert!(sent_to(&actions).is_some() || rejected(&actions), "{answer:?}: {actions:?}");
    }
    // No call can help if all attempts that the limit allows are in flight here, or this ingress's slice of
    // the ceiling is empty.
    let mut harness = Harness::new(counter(Plan { max_in_flight: 1.0, ..unlimited() }), 10);
    let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
    if let [Action::AddToCounter(name, added, _)] = actions[..] {
        assert!(
            sent_to(&harness.handle(Event::CounterAnswered(name, CounterAnswer::Total(added)))).is_some()
        );
    }
    let (_, actions) = harness.request(1, UNSAFE, 1.0, 2);
    assert!(rejected(&actions) && actions.len() == 1, "the limit on attempts in flight: {actions:?}");
    let mut harness =
        Harness::new(counter(Plan { ceiling_rate: 1.0, ceiling_burst: 8.0, ..unlimited() }), 10);
    let (_, actions) = harness.request(1, UNSAFE, 4.0, 2);
    assert!(rejected(&actions) && actions.len() == 1, "the ceiling: {actions:?}");
}

#[test]
fn no_quota_request_is_sent_if_its_answer_cannot_help() {
    let plan = Plan { max_in_flight: 1.0, ..unlimited() };
    let settings = Settings {
        ingress_count: 120,
        peers: true,
        peer_messages_per_second: 40.0,
        ingress: IngressId(5),
        ..settings(plan)
    };
    let mut quota_requests = 0;
    for customer in 0..20 {
        let mut harness = Harness::new(settings.clone(), 10);
        let (_, actions) = harness.request(customer, UNSAFE, 1.0, 120);
        let Some(Action::SendToPeer(owner, quota_request)) = actions.first().cloned() else { continue };
        quota_requests += 1;
        // The owner grants the quota request, which it identifies by its sequence number; then all attempts
        // that the limit allows are in flight here.
        let seq_end = quota_request[1..].iter().position(|byte| byte & 0x80 == 0).unwrap() + 2;
        let grant = [&[1], &quota_request[1..seq_end], &[0]].concat();
        assert!(sent_to(&harness.handle(Event::PeerMessage(owner, grant))).is_some());
        let (_, actions) = harness.request(customer, UNSAFE, 1.0, 120);
        assert!(rejected(&actions) && actions.len() == 1, "the limit is reached here: {actions:?}");
        let mut harness = Harness::new(settings.clone(), 10);
        let (id, _) = harness.request(customer, UNSAFE, 1.0, 120);
        // The owner does not answer two quota requests; in the same step the request is sent on the evidence
        // of the even slice, or rejected.
        harness.advance(130.0).handle(Event::Timer(QUOTA_ANSWER_TIMER));
        let actions = harness.advance(130.0).handle(Event::Timer(QUOTA_ANSWER_TIMER));
        assert!(sent_to(&actions).is_some() || rejected(&actions), "{owner:?} {id:?}: {actions:?}");
    }
    assert!(quota_requests > 10);
}
