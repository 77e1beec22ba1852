//! The handover of a limiter's state to its successor: the quotas and attempts of both count as one limiter's.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Event, Limiter};

/// Returns a harness whose limiter has inherited the state of `old`, and the attempts in flight at the old limiter.
fn successor(old: &mut Harness) -> (Harness, Vec<(RequestId, AttemptIndex, BackendId)>) {
    let mut new = Harness::new(settings(plan()), 2);
    new.now = old.now;
    let in_flight = new.limiter.inherit(&old.limiter.hand_over()).unwrap();
    (new, in_flight)
}

#[test]
fn a_quota_used_at_the_old_limiter_is_used_at_the_new_one() {
    let mut old = Harness::new(settings(plan()), 2);
    let served = (0..20).filter(|_| old.serve(5, 1.0, 1)).count();
    assert_eq!(served, 20, "the burst");
    let (mut new, _) = successor(&mut old);
    assert!(!new.serve(5, 1.0, 1), "a full token bucket would admit another burst");
    new.advance(1000.0);
    let served = (0..20).filter(|_| new.serve(5, 1.0, 1)).count();
    assert_eq!(served, 10, "the token bucket keeps filling at its rate");
}

/// The system's clock was stepped between the starts of the two processes: windows and buckets are spans of real time.
#[test]
fn a_quota_fills_at_its_rate_though_the_clock_was_stepped_before_the_handover() {
    const HOUR: f64 = 3_600_000.0;
    for step in [HOUR, -HOUR] {
        let mut old = Harness::new(settings(plan()), 2);
        assert_eq!((0..20).filter(|_| old.serve(5, 1.0, 1)).count(), 20, "the burst");
        let mut new = Harness::new(settings(plan()), 2);
        new.now = old.now + step;
        old.limiter.note_handover(old.now);
        new.limiter.inherit(&old.limiter.hand_over()).unwrap();
        new.limiter.continue_clock(new.now);
        assert!(!new.serve(5, 1.0, 1), "a step of {step} ms fills no bucket");
        new.advance(1000.0);
        let served = (0..20).filter(|_| new.serve(5, 1.0, 1)).count();
        assert_eq!(served, 10, "after a step of {step} ms the bucket fills at its rate");
    }
}

#[test]
fn attempts_in_flight_at_the_old_limiter_count_until_they_end_and_are_not_retried() {
    let mut old = Harness::new(settings(Plan { max_in_flight: 2.0, ..plan() }), 2);
    let sent: Vec<_> = (0..2).map(|_| old.request(5, 0, 1.0, 1)).collect();
    assert!(sent.iter().all(|(_, actions)| common::sent_to(actions).is_some()));
    let mut new = Harness::new(settings(Plan { max_in_flight: 2.0, ..plan() }), 2);
    new.now = old.now;
    // Uses up some ids first: the requests of the new limiter must have other ids than those of the old one.
    (0..5).for_each(|_| drop(new.request(9, 0, 1.0, 1)));
    let in_flight = new.limiter.inherit(&old.limiter.hand_over()).unwrap();
    assert_eq!(in_flight.len(), 2);
    assert!(!new.serve(5, 1.0, 1), "the attempts at the old limiter take up the whole limit");
    let (id, attempt, backend) = in_flight[0];
    let end =
        AttemptEnd { request_closed: true, ..attempt_end(id, attempt.0, backend, Outcome::Error, 50.0) };
    assert!(
        new.handle(Event::AttemptEnded(end)).is_empty(),
        "a failed attempt of the old limiter is retried there, if at all"
    );
    assert!(new.serve(5, 1.0, 1));
}

#[test]
fn the_old_limiter_sends_nothing_to_a_cold_backend_between_handover_and_resume() {
    let mut old = Harness::new(settings(Plan { rate: 1e4, burst: 1e4, ..Plan::default() }), 1);
    assert!((0..50).all(|_| old.advance(20.0).serve(5, 1.0, 1)));
    let cold = BackendEntry { last_start: Some(old.now), ..backend_entry(0) };
    old.handle(Event::BackendList(ListKind::Changes, vec![cold]));
    old.run_ticks(2000.0);
    let _ = old.limiter.hand_over();
    assert!(!old.serve(5, 1.0, 1));
    old.limiter.resume();
    assert!(old.serve(5, 1.0, 1));
}

#[test]
fn unreadable_state_and_state_under_other_settings_are_rejected_without_effect() {
    let mut old = Harness::new(settings(plan()), 2);
    assert!((0..20).all(|_| old.serve(5, 1.0, 1)));
    let bytes = old.limiter.hand_over();
    let mut fresh = Harness::new(settings(plan()), 2);
    for end in (0..bytes.len()).step_by(7) {
        assert!(fresh.limiter.inherit(&bytes[..end]).is_err(), "truncated at {end}");
    }
    let mut other_settings = settings(plan());
    other_settings.ingress_count = 4;
    assert!(Limiter::new(other_settings, 7).unwrap().inherit(&bytes).is_err());
    assert!(fresh.serve(5, 1.0, 1));
}

/// Guards against answers that are streamed slowly (32 MB to slow clients): their units kept counting against the
/// capacity, and their backends were taken to be unresponsive.
#[test]
fn streaming_answers_free_their_capacity_and_their_backends_stay_available() {
    let mut harness = Harness::new(settings(Plan { rate: 1e4, burst: 1e4, ..Plan::default() }), 1);
    let mut streams = 0;
    for _ in 0..200 {
        let (id, actions) = harness.request(5, 0, 4.0, 1);
        if sent_to(&actions).is_some() {
            harness.handle(Event::StreamStarted(id, AttemptIndex(0)));
            // A second notice has no effect.
            harness.handle(Event::StreamStarted(id, AttemptIndex(0)));
            streams += 1;
        }
    }
    assert_eq!(streams, 200);
    harness.run_ticks(20_000.0);
    assert_eq!(harness.limiter.backend_counts(harness.now).unavailable, 0);
    assert!(harness.serve(5, 1.0, 1));
}
