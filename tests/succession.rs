//! A limiter that goes on from what another one knew: the two count as one.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Event, Limiter};

/// A bench whose limiter has inherited from this one's; and what is out at the old one.
fn next(old: &mut Harness) -> (Harness, Vec<(RequestId, AttemptIndex, BackendId)>) {
    let mut new = Harness::new(settings(plan()), 2);
    new.now = old.now;
    let out = new.limiter.inherit(&old.limiter.hand_over()).unwrap();
    (new, out)
}

#[test]
fn a_quota_that_was_used_before_is_used_up_after() {
    let mut old = Harness::new(settings(plan()), 2);
    let served = (0..20).filter(|_| old.serve(5, 1.0, 1)).count();
    assert_eq!(served, 20, "the burst");
    let (mut new, _) = next(&mut old);
    assert!(!new.serve(5, 1.0, 1), "a fresh store would let another burst in");
    new.advance(1000.0);
    let served = (0..20).filter(|_| new.serve(5, 1.0, 1)).count();
    assert_eq!(served, 10, "and it fills on at its rate");
}

#[test]
fn what_is_out_at_the_old_one_counts_until_its_end_is_told_and_is_never_sent_again() {
    let mut old = Harness::new(settings(Plan { max_in_flight: 2.0, ..plan() }), 2);
    let sent: Vec<_> = (0..2).map(|_| old.request(5, 0, 1.0, 1)).collect();
    assert!(sent.iter().all(|(_, acts)| common::sent_to(acts).is_some()));
    let mut new = Harness::new(settings(Plan { max_in_flight: 2.0, ..plan() }), 2);
    new.now = old.now;
    // Its own requests have other numbers, as those of another process have.
    (0..5).for_each(|_| drop(new.request(9, 0, 1.0, 1)));
    let out = new.limiter.inherit(&old.limiter.hand_over()).unwrap();
    assert_eq!(out.len(), 2);
    assert!(!new.serve(5, 1.0, 1), "the cap is full with what is out there");
    let (id, no, server) = out[0];
    let end = AttemptEnd { request_closed: true, ..attempt_end(id, no.0, server, Outcome::Error, 50.0) };
    assert!(
        new.handle(Event::AttemptEnded(end)).is_empty(),
        "what failed there is tried again there, if at all"
    );
    assert!(new.serve(5, 1.0, 1));
}

#[test]
fn the_old_one_fills_no_cold_server_any_more_until_it_takes_back() {
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
fn what_cannot_be_read_or_is_of_other_settings_changes_nothing() {
    let mut old = Harness::new(settings(plan()), 2);
    assert!((0..20).all(|_| old.serve(5, 1.0, 1)));
    let bytes = old.limiter.hand_over();
    let mut fresh = Harness::new(settings(plan()), 2);
    for end in (0..bytes.len()).step_by(7) {
        assert!(fresh.limiter.inherit(&bytes[..end]).is_err(), "cut at {end}");
    }
    let mut others = settings(plan());
    others.ingress_count = 4;
    assert!(Limiter::new(others, 7).unwrap().inherit(&bytes).is_err());
    assert!(fresh.serve(5, 1.0, 1));
}

/// Seen with answers of 32 MB to slow clients: their units stayed in the room, and servers looked silent.
#[test]
fn what_streams_leaves_the_room_and_makes_no_server_look_silent() {
    let mut bench = Harness::new(settings(Plan { rate: 1e4, burst: 1e4, ..Plan::default() }), 1);
    let mut streams = 0;
    for _ in 0..200 {
        let (id, acts) = bench.request(5, 0, 4.0, 1);
        if sent_to(&acts).is_some() {
            bench.handle(Event::StreamStarted(id, AttemptIndex(0)));
            // Told twice it leaves once.
            bench.handle(Event::StreamStarted(id, AttemptIndex(0)));
            streams += 1;
        }
    }
    assert_eq!(streams, 200);
    bench.run_ticks(20_000.0);
    assert_eq!(bench.limiter.backend_counts(bench.now).unavailable, 0);
    assert!(bench.serve(5, 1.0, 1));
}
