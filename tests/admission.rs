//! The steps of admission at their boundaries, and the use of usage reports, the counter and the meter.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

/// Encodes a peer's usage report: its incarnation, then for each customer the id, the units drawn and the
/// units requested (both in quarters of a unit), and the attempts in flight.
fn usage_report(incarnation: u8, lines: &[[u64; 4]]) -> Vec<u8> {
    let mut bytes = vec![incarnation];
    for mut value in lines.iter().flatten().copied() {
        while value >= 0x80 {
            bytes.push(value as u8 | 0x80);
            value >>= 7;
        }
        bytes.push(value as u8);
    }
    bytes
}

fn with_peers(plan: Plan) -> Settings {
    Settings { peers: true, peer_messages_per_second: 100.0, ..settings(plan) }
}

#[test]
fn single_ingress_grants_the_whole_burst_then_the_rate() {
    let mut harness = Harness::new(settings(plan()), 10);
    harness.advance(60_000.0);
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 1)).count();
    assert_eq!(granted, 20, "the burst");
    harness.advance(1000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 1)).count(), 10, "one second of the rate");
}

#[test]
fn ingress_without_reports_grants_its_even_slice() {
    let mut harness = Harness::new(settings(plan()), 10);
    harness.advance(60_000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 2)).count(), 10, "half the burst");
    harness.advance(1000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 2)).count(), 5, "half the rate");
}

#[test]
fn slices_of_dead_ingresses_go_to_live_ones_while_most_live_but_not_those_of_the_ceiling() {
    let granted = |live: [bool; 3], plan: Plan| {
        let mut harness = Harness::new(settings(plan), 10);
        harness.limiter.set_live_ingresses(Some(live.to_vec()));
        harness.advance(60_000.0);
        harness.serve(1, 1.0, 3);
        harness.advance(60_000.0);
        let burst = (0..50).filter(|_| harness.serve(1, 1.0, 3)).count();
        harness.advance(1000.0);
        (burst, (0..50).filter(|_| harness.serve(1, 1.0, 3)).count())
    };
    assert_eq!(granted([true; 3], plan()), (6, 4), "a third of burst and rate");
    assert_eq!(granted([true, true, false], plan()), (10, 5), "a half of burst and rate");
    assert_eq!(granted([true, false, false], plan()), (6, 4), "this ingress may be cut off: a third");
    let ceiling = Plan { ceiling_rate: 12.0, ceiling_burst: 21.0, ..plan() };
    assert_eq!(granted([true, true, false], ceiling), (7, 4), "a third of the ceiling");
}

#[test]
fn deducts_what_peers_drew_and_falls_back_to_the_slice_when_they_are_silent() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    harness.advance(60_000.0);
    assert!(harness.serve(1, 1.0, 2));
    harness.handle(Event::PeerMessage(IngressId(1), usage_report(9, &[[1, 0, 0, 0]])));
    harness.advance(50.0);
    harness.handle(Event::PeerMessage(IngressId(1), usage_report(9, &[[1, 4 * 15, 4, 0]])));
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert!((3..=5).contains(&granted), "15 of 20 were drawn elsewhere, {granted} were granted");
    harness.advance(5000.0);
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert_eq!(granted, 10, "the report is out of date: the slice's burst");
}

#[test]
fn usage_of_a_restarted_peer_is_counted_from_zero() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    harness.advance(60_000.0);
    assert!(harness.serve(1, 1.0, 2));
    for (incarnation, drawn) in [(9, 400), (8, 4)] {
        harness.handle(Event::PeerMessage(IngressId(1), usage_report(incarnation, &[[1, drawn, 0, 0]])));
    }
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert!((17..=19).contains(&granted), "one unit was drawn elsewhere, {granted} were granted");
}

#[test]
fn ignores_malformed_reports() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    for bytes in
        [vec![], vec![1], vec![1, 0xff, 0xff], vec![0xff; 256], usage_report(1, &[[u64::MAX >> 1; 4]])]
    {
        assert!(harness.handle(Event::PeerMessage(IngressId(1), bytes)).is_empty());
    }
    assert!(harness.handle(Event::PeerMessage(IngressId(77), usage_report(1, &[]))).is_empty());
    assert!(harness.serve(1, 1.0, 2));
}

#[test]
fn reports_only_changes_and_stays_within_the_message_size() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    for customer in 0..200 {
        harness.serve((1 << 32) + customer, 1.0, 3);
    }
    let message_sizes = |actions: Vec<Action>| -> Vec<usize> {
        actions
            .iter()
            .filter_map(|a| if let Action::SendToPeer(_, bytes) = a { Some(bytes.len()) } else { None })
            .collect()
    };
    let sizes = message_sizes(harness.handle(Event::Timer(TICK_TIMER)));
    assert_eq!(sizes.len(), 2, "one to each peer");
    assert!(sizes.iter().all(|size| (200..=256).contains(size)), "{sizes:?}");
}

#[test]
fn limit_on_attempts_in_flight_counts_local_and_reported_ones() {
    let limited = Plan { max_in_flight: 4.0, ..Plan::default() };
    let mut harness = Harness::new(settings(limited), 10);
    let granted = (0..9).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count();
    assert_eq!(granted, 2, "no reports: the even slice of four");
    let mut harness = Harness::new(with_peers(limited), 10);
    assert!(harness.serve(1, 1.0, 2));
    harness.handle(Event::PeerMessage(IngressId(1), usage_report(9, &[[1, 0, 0, 3]])));
    let granted = (0..9).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count();
    assert_eq!(granted, 1, "three of four are in flight elsewhere");
}

#[test]
fn limit_of_one_attempt_is_not_rounded_to_zero_over_many_ingresses() {
    let mut harness = Harness::new(settings(Plan { max_in_flight: 1.0, ..Plan::default() }), 10);
    assert!(sent_to(&harness.request(1, SAFE, 1.0, 3).1).is_some());
    assert!(rejected(&harness.request(1, SAFE, 1.0, 3).1));
}

#[test]
fn every_outcome_frees_the_place_of_the_attempt() {
    use Outcome::*;
    for outcome in [Served, Error, Rejected, TimedOut, ConnectFailed, Reset, Cancelled, NotSent] {
        let mut harness = Harness::new(settings(Plan { max_in_flight: 1.0, ..Plan::default() }), 1);
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        let backend = sent_to(&actions).unwrap();
        harness.advance(1990.0);
        harness.end_attempt(id, 0, backend, outcome, 1990.0);
        harness.advance(60_000.0);
        assert!(sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some(), "{outcome:?}");
    }
}

#[test]
fn shared_capacity_is_bounded_and_a_reservation_may_exceed_it() {
    // Without a rate the reservation is half the slice of attempts in flight.
    let unrated = Plan { max_in_flight: 1000.0, ..Plan::default() };
    let mut harness = Harness::new(settings(unrated), 1);
    let granted = (0..1000).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 500, "the reservation");
    assert!(
        rejected(&harness.request(2, SAFE, 1000.0, 1).1),
        "the shared capacity of one backend is a few units"
    );
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 2);
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 8, "four units for each of two ready backends");
}

#[test]
fn capacity_rises_with_fast_answers_and_is_cut_by_slow_ones() {
    let granted = |outcome, elapsed| {
        let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 2);
        for _ in 0..20 {
            let requests: Vec<_> = (0..64).map(|_| harness.request(1, UNSAFE, 1.0, 1)).collect();
            harness.advance(elapsed);
            for (id, actions) in requests {
                if let Some(backend) = sent_to(&actions) {
                    harness.end_attempt(id, 0, backend, outcome, elapsed);
                }
            }
            harness.advance(1000.0 - elapsed);
        }
        (0..100).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count()
    };
    assert!(granted(Outcome::Served, 40.0) > 20);
    let cut = granted(Outcome::Served, 450.0);
    assert!((2..8).contains(&cut), "slow answers cut it, but not to zero: {cut}");
}

#[test]
fn admits_requests_beyond_the_quota_only_if_they_earn_more_than_they_cost() {
    let soft = Plan { excess_worth: 0.1, ..plan() };
    for (plan, exceeds) in [(soft, true), (Plan { excess_cost: 0.5, ..soft }, false), (plan(), false)] {
        let mut harness = Harness::new(settings(plan), 10);
        harness.advance(60_000.0);
        let granted = (0..50).filter(|_| harness.serve(1, 1.0, 1)).count();
        assert_eq!(granted > 20, exceeds, "{granted}");
    }
    let hard = Plan { ceiling_rate: 1000.0, ceiling_burst: 1000.0, ..soft };
    let mut harness = Harness::new(settings(hard), 10);
    harness.advance(60_000.0);
    assert_eq!(
        (0..50).filter(|_| harness.serve(1, 1.0, 1)).count(),
        20,
        "a plan with a ceiling admits nothing beyond its quota"
    );
}

#[test]
fn slices_of_a_ceiling_stay_under_it_across_restarts() {
    let plan = Plan { rate: 500.0, burst: 500.0, ceiling_rate: 20.0, ceiling_burst: 30.0, ..Plan::default() };
    let ingress_count = 3;
    let start = |ingress: u16, now: f64| {
        let mut harness = Harness::new(Settings { ingress: IngressId(ingress), ..with_peers(plan) }, 10);
        harness.now = now;
        harness.handle(Event::Start);
        harness
    };
    let mut fleet: Vec<Harness> = (0..ingress_count).map(|ingress| start(ingress, 1_000_000.0)).collect();
    let (mut ceiling_tokens, mut now) = (30.0_f64, 1_000_000.0);
    let mut admitted = 0;
    for step in 0..3000 {
        now += 10.0;
        ceiling_tokens = (ceiling_tokens + 0.2).min(30.0);
        // One ingress restarts every second, with a new limiter that has no earlier state.
        if step % 100 == 99 {
            let ingress = (step / 100 % 3) as u16;
            fleet[usize::from(ingress)] = start(ingress, now);
        }
        for harness in &mut fleet {
            harness.now = now;
            if harness.serve(1, 2.0, ingress_count) {
                ceiling_tokens -= 2.0;
                admitted += 1;
            }
        }
        assert!(ceiling_tokens >= -3.0, "step {step}: {ceiling_tokens}");
    }
    assert!(admitted > 200, "the ceiling is used: {admitted}");
}

#[test]
fn counter_is_called_first_and_limits_what_may_be_borrowed() {
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    let (_, actions) = harness.request(1, SAFE, 1.0, 2);
    assert!(matches!(actions[..], [Action::AddToCounter(CounterName(1), 1.0, _)]), "{actions:?}");
    let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(1.0)));
    assert!(sent_to(&actions).is_some());
    // The ingress may use its own slice: half the burst less the first unit. Beyond it, units that others
    // have borrowed are not available.
    for expected in [vec![true; 9], vec![false; 3]].concat() {
        let (_, mut actions) = harness.request(1, SAFE, 1.0, 2);
        if matches!(actions[..], [Action::AddToCounter(..)]) {
            actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(42.0)));
        }
        assert_eq!(
            (sent_to(&actions).is_some(), rejected(&actions)),
            (expected, !expected),
            "others have borrowed 41"
        );
    }
    // Units that others have lent are available.
    harness.advance(401.0);
    let (_, actions) = harness.request(1, SAFE, 3.0, 2);
    assert!(matches!(actions[..], [Action::AddToCounter(..)]), "{actions:?}");
    let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(-2.0)));
    assert!(sent_to(&actions).is_some());
}

#[test]
fn failed_counter_call_leaves_the_even_slice_and_holds_no_request() {
    for answer in [CounterAnswer::NotAdded, CounterAnswer::Unknown] {
        let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
        harness.advance(60_000.0);
        harness.request(1, SAFE, 1.0, 2);
        assert!(sent_to(&harness.handle(Event::CounterAnswered(CounterName(1), answer))).is_some());
        let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
        assert_eq!(granted, 9, "half the burst less the first unit");
    }
}

#[test]
fn counter_reset_is_not_mistaken_for_usage() {
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    for total in [100.0, 1.0, 2.0] {
        harness.request(1, SAFE, 1.0, 2);
        let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(total)));
        assert!(sent_to(&actions).is_some(), "{total}");
    }
}

#[test]
fn metered_use_sets_the_share_of_the_ingress() {
    let mut harness = Harness::new(Settings { meter_period: 1000.0, ..settings(plan()) }, 10);
    let mut granted = 0;
    for _ in 0..400 {
        harness.advance(25.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 2);
        let Some(backend) = sent_to(&actions) else { continue };
        granted += 1;
        // All ingresses together use four times the rate, and the requests at this one come to all of that.
        harness.handle(Event::AttemptEnded(AttemptEnd {
            request: id,
            attempt: AttemptIndex(0),
            backend,
            outcome: Outcome::Served,
            elapsed: 20.0,
            request_closed: true,
            metered_use: Some(8.0),
            settled_units: None,
            load: Load::default(),
        }));
    }
    assert!((45..85).contains(&granted), "about half of 100 units and the burst: {granted}");
}

#[test]
fn settled_units_correct_the_estimate() {
    let mut harness = Harness::new(Settings { units_are_estimates: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    let (id, actions) = harness.request(1, SAFE, 1.0, 1);
    harness.handle(Event::AttemptEnded(AttemptEnd {
        request: id,
        attempt: AttemptIndex(0),
        backend: sent_to(&actions).unwrap(),
        outcome: Outcome::Served,
        elapsed: 20.0,
        request_closed: true,
        metered_use: None,
        settled_units: Some(11.0),
        load: Load::default(),
    }));
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 1)).count(), 9);
}

#[test]
fn rejects_invalid_settings() {
    assert!(Limiter::new(Settings { classes: vec![], ..settings(plan()) }, 1).is_err());
    assert!(Limiter::new(Settings { ingress_count: 0, ..settings(plan()) }, 1).is_err());
    assert!(Limiter::new(settings(Plan { rate: f64::NAN, ..plan() }), 1).is_err());
    assert!(Limiter::new(settings(Plan { burst: -1.0, ..plan() }), 1).is_err());
}

#[test]
fn margin_of_the_in_flight_limit_grows_with_the_report_interval() {
    let granted = |peer_messages_per_second| {
        let limited = Plan { max_in_flight: 10.0, ..Plan::default() };
        let mut harness = Harness::new(Settings { peer_messages_per_second, ..with_peers(limited) }, 10);
        assert!(harness.serve(1, 1.0, 2));
        // The peer had nearly all the demand, so this ingress's own part is the even slice of five.
        harness.handle(Event::PeerMessage(IngressId(1), usage_report(9, &[[1, 0, 4000, 1]])));
        (0..20).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count()
    };
    assert_eq!(
        (granted(1000.0), granted(20.0)),
        (8, 5),
        "nine are free: less a margin of one, or only the slice"
    );
}

#[test]
fn capacity_does_not_grow_while_attempts_hang() {
    // Every other attempt is answered quickly and raises the capacity; the rest hang and never end.
    let plan = Plan { rate: 1e4, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: 500, ..settings(plan) }, 600);
    let (mut max_hanging, mut hanging) = (0, 0);
    for step in 0..3000u64 {
        harness.advance(4.0);
        let (id, actions) = harness.request(step % 50, UNSAFE, 1.0, 500);
        let Some(backend) = sent_to(&actions) else { continue };
        if backend.0 % 2 == 0 {
            harness.advance(1.0).end_attempt(id, 0, backend, Outcome::Served, 20.0);
        } else {
            hanging += 1;
            max_hanging = max_hanging.max(hanging);
        }
    }
    // The capacity starts at this ingress's part of four units per backend, as in a fleet of twelve: 57.
    assert!(max_hanging <= 70, "{max_hanging} hang");
}

/// Guards against an ingress that stops and leaves its part of every shared customer's quota unused.
#[test]
fn silent_peer_costs_its_customers_nothing_while_most_ingresses_report() {
    let granted = |reporting: &[u16]| {
        let four = Settings { ingress_count: 4, ..with_peers(Plan { max_in_flight: 6.0, ..plan() }) };
        let mut harness = Harness::new(four, 10);
        harness.advance(60_000.0);
        assert!(harness.serve(1, 1.0, 4));
        // All peers report once; the third reports five attempts in flight and is silent from then on.
        for peer in 1..4 {
            let in_flight = if peer == 3 { 5 } else { 0 };
            harness.handle(Event::PeerMessage(IngressId(peer), usage_report(9, &[[1, 0, 0, in_flight]])));
        }
        harness.advance(5000.0);
        reporting.iter().for_each(|peer| {
            drop(harness.handle(Event::PeerMessage(IngressId(*peer), usage_report(9, &[]))))
        });
        (0..50).filter(|_| harness.serve(1, 1.0, 4)).count()
    };
    assert_eq!(granted(&[1, 2]), 20, "three of four are a majority: the whole burst");
    assert_eq!(granted(&[1]), 5, "two of four may be cut off from the rest: the even slice");
}

/// Guards against two ingresses that both grant the same units before their reports arrive.
#[test]
fn leaves_units_that_peers_may_draw_before_their_next_report() {
    let granted = |demand_elsewhere: u64| {
        let mut harness = Harness::new(with_peers(plan()), 10);
        harness.advance(60_000.0);
        assert!(harness.serve(1, 1.0, 2));
        for requested in [0, demand_elsewhere] {
            harness.handle(Event::PeerMessage(IngressId(1), usage_report(9, &[[1, 0, 4 * requested, 0]])));
        }
        (0..50).filter(|_| harness.serve(1, 1.0, 2)).count()
    };
    assert_eq!(
        (granted(0), granted(30), granted(3000)),
        (19, 16, 15),
        "none, 3 and at most 4 units are left for the peer"
    );
}

/// Returns how many requests of two classes are admitted at once, each class by itself, if the second class
/// has this worth for the same work and the first a worth of 1.
fn admitted_by_worth(worth: f64) -> [usize; 2] {
    [SAFE, UNSAFE].map(|class| {
        let mut settings = settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
        settings.classes.iter_mut().for_each(|class| class.worth = 1.0);
        settings.classes[UNSAFE].worth = worth;
        let mut harness = Harness::new(settings, 10);
        // Both classes take the same time, so they differ by their worth alone.
        for _ in 0..20 {
            for class in [SAFE, UNSAFE] {
                let (id, actions) = harness.request(1, class, 1.0, 1);
                let backend = sent_to(&actions).unwrap();
                harness.end_attempt(id, 0, backend, Outcome::Served, 50.0);
            }
        }
        (0..1000).take_while(|_| sent_to(&harness.request(1, class, 1.0, 1).1).is_some()).count()
    })
}

#[test]
fn reserves_the_last_capacity_for_the_class_with_the_highest_worth_for_its_work() {
    let [low, high] = admitted_by_worth(1.0);
    assert_eq!(low, high, "with the same worth both may use the whole capacity");
    let [low, high] = admitted_by_worth(4.0);
    assert!(low < high * 4 / 5, "{low} of low worth, {high} of high worth");
    assert!(low > high / 2, "{low} of low worth, {high} of high worth: the first still gets capacity");
    let [least, high] = admitted_by_worth(1e9);
    assert!(least > high / 2, "{least} of hardly any worth, {high} of high worth");
}

#[test]
fn slow_answers_leave_a_minimum_capacity_per_backend() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 10);
    // Answers that take all of the aim cut the capacity repeatedly.
    for _ in 0..400 {
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        if let Some(backend) = sent_to(&actions) {
            harness.advance(AIM);
            harness.end_attempt(id, 0, backend, Outcome::Served, AIM);
        }
    }
    let granted = (0..1000).take_while(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 13, "a third of four mean requests for each of ten ready backends");
}
