//! Each step of the admission, at its boundary, and what is heard of the others.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

/// A peer's report as it goes over the wire: incarnation, then customer, drawn, asked (in quarters), out.
fn report(incarnation: u8, lines: &[[u64; 4]]) -> Vec<u8> {
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
fn alone_the_whole_store_is_granted_and_then_the_rate() {
    let mut harness = Harness::new(settings(plan()), 10);
    harness.advance(60_000.0);
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 1)).count();
    assert_eq!(granted, 20, "the burst");
    harness.advance(1000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 1)).count(), 10, "a second of the rate");
}

#[test]
fn silent_the_bucket_is_the_even_slice() {
    let mut harness = Harness::new(settings(plan()), 10);
    harness.advance(60_000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 2)).count(), 10, "half the burst");
    harness.advance(1000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 2)).count(), 5, "half the rate");
}

#[test]
fn the_slices_of_the_dead_go_to_the_living_while_most_live_and_the_ceiling_stays() {
    let granted = |living: [bool; 3], plan: Plan| {
        let mut harness = Harness::new(settings(plan), 10);
        harness.limiter.set_live_ingresses(Some(living.to_vec()));
        harness.advance(60_000.0);
        harness.serve(1, 1.0, 3);
        harness.advance(60_000.0);
        let burst = (0..50).filter(|_| harness.serve(1, 1.0, 3)).count();
        harness.advance(1000.0);
        (burst, (0..50).filter(|_| harness.serve(1, 1.0, 3)).count())
    };
    assert_eq!(granted([true; 3], plan()), (6, 4), "a third of each");
    assert_eq!(granted([true, true, false], plan()), (10, 5), "a half of each");
    assert_eq!(granted([true, false, false], plan()), (6, 4), "cut off, perhaps: a third");
    let ceiling = Plan { ceiling_rate: 12.0, ceiling_burst: 21.0, ..plan() };
    assert_eq!(granted([true, true, false], ceiling), (7, 4), "a third of the ceiling");
}

#[test]
fn what_peers_drew_is_settled_and_their_silence_falls_to_the_slice() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    harness.advance(60_000.0);
    assert!(harness.serve(1, 1.0, 2));
    harness.handle(Event::PeerMessage(IngressId(1), report(9, &[[1, 0, 0, 0]])));
    harness.advance(50.0);
    harness.handle(Event::PeerMessage(IngressId(1), report(9, &[[1, 4 * 15, 4, 0]])));
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert!((3..=5).contains(&granted), "15 of 20 are gone elsewhere, {granted} were granted");
    harness.advance(5000.0);
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert_eq!(granted, 10, "news has aged out: the slice's burst");
}

#[test]
fn a_peer_that_restarts_counts_from_nothing() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    harness.advance(60_000.0);
    assert!(harness.serve(1, 1.0, 2));
    for (incarnation, drawn) in [(9, 400), (8, 4)] {
        harness.handle(Event::PeerMessage(IngressId(1), report(incarnation, &[[1, drawn, 0, 0]])));
    }
    let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
    assert!((17..=19).contains(&granted), "one unit is gone elsewhere, {granted} were granted");
}

#[test]
fn unreadable_messages_change_nothing() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    for bytes in [vec![], vec![1], vec![1, 0xff, 0xff], vec![0xff; 256], report(1, &[[u64::MAX >> 1; 4]])] {
        assert!(harness.handle(Event::PeerMessage(IngressId(1), bytes)).is_empty());
    }
    assert!(harness.handle(Event::PeerMessage(IngressId(77), report(1, &[]))).is_empty());
    assert!(harness.serve(1, 1.0, 2));
}

#[test]
fn reports_name_only_what_changed_and_stay_within_a_message() {
    let mut harness = Harness::new(with_peers(plan()), 10);
    for customer in 0..200 {
        harness.serve((1 << 32) + customer, 1.0, 3);
    }
    let told = |actions: Vec<Action>| -> Vec<usize> {
        actions
            .iter()
            .filter_map(|a| if let Action::SendToPeer(_, b) = a { Some(b.len()) } else { None })
            .collect()
    };
    let sizes = told(harness.handle(Event::Timer(TICK_TIMER)));
    assert_eq!(sizes.len(), 2, "one to each peer");
    assert!(sizes.iter().all(|n| (200..=256).contains(n)), "{sizes:?}");
}

#[test]
fn the_limit_counts_attempts_out_here_and_told() {
    let capped = Plan { max_in_flight: 4.0, ..Plan::default() };
    let mut harness = Harness::new(settings(capped), 10);
    let granted = (0..9).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count();
    assert_eq!(granted, 2, "silent: the even slice of four");
    let mut harness = Harness::new(with_peers(capped), 10);
    assert!(harness.serve(1, 1.0, 2));
    harness.handle(Event::PeerMessage(IngressId(1), report(9, &[[1, 0, 0, 3]])));
    let granted = (0..9).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count();
    assert_eq!(granted, 1, "three of four are out elsewhere");
}

#[test]
fn a_small_cap_over_many_gateways_does_not_round_to_nothing() {
    let mut harness = Harness::new(settings(Plan { max_in_flight: 1.0, ..Plan::default() }), 10);
    assert!(sent_to(&harness.request(1, SAFE, 1.0, 3).1).is_some());
    assert!(rejected(&harness.request(1, SAFE, 1.0, 3).1));
}

#[test]
fn tokens_return_however_an_attempt_ends() {
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
fn the_shared_room_ends_at_the_capacity_and_the_reservation_goes_beyond_it() {
    // Without a rate nothing but half the slice of attempts is reserved.
    let open = Plan { max_in_flight: 1000.0, ..Plan::default() };
    let mut harness = Harness::new(settings(open), 1);
    let granted = (0..1000).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 500, "the reservation");
    assert!(rejected(&harness.request(2, SAFE, 1000.0, 1).1), "the shared room of one server is a few units");
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 2);
    let granted = (0..100).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 8, "four units for each of two ready servers");
}

#[test]
fn capacity_rises_with_good_answers_and_is_cut_by_refusals() {
    let granted = |outcome, spent| {
        let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 2);
        for _ in 0..20 {
            let asked: Vec<_> = (0..64).map(|_| harness.request(1, UNSAFE, 1.0, 1)).collect();
            harness.advance(spent);
            for (id, actions) in asked {
                if let Some(backend) = sent_to(&actions) {
                    harness.end_attempt(id, 0, backend, outcome, spent);
                }
            }
            harness.advance(1000.0 - spent);
        }
        (0..100).filter(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count()
    };
    assert!(granted(Outcome::Served, 40.0) > 20);
    let cut = granted(Outcome::Served, 450.0);
    assert!((2..8).contains(&cut), "late answers cut it, but not to nothing: {cut}");
}

#[test]
fn beyond_the_quota_only_what_earns_more_than_it_costs_is_let_in() {
    let soft = Plan { excess_worth: 0.1, ..plan() };
    for (plan, more) in [(soft, true), (Plan { excess_cost: 0.5, ..soft }, false), (plan(), false)] {
        let mut harness = Harness::new(settings(plan), 10);
        harness.advance(60_000.0);
        let granted = (0..50).filter(|_| harness.serve(1, 1.0, 1)).count();
        assert_eq!(granted > 20, more, "{granted}");
    }
    let hard = Plan { ceiling_rate: 1000.0, ceiling_burst: 1000.0, ..soft };
    let mut harness = Harness::new(settings(hard), 10);
    harness.advance(60_000.0);
    assert_eq!((0..50).filter(|_| harness.serve(1, 1.0, 1)).count(), 20, "a plan with a ceiling is not soft");
}

#[test]
fn all_slices_of_a_ceiling_stay_under_it_restarts_included() {
    let plan = Plan { rate: 500.0, burst: 500.0, ceiling_rate: 20.0, ceiling_burst: 30.0, ..Plan::default() };
    let gateways = 3;
    let start = |ingress: u16, now: f64| {
        let mut harness = Harness::new(Settings { ingress: IngressId(ingress), ..with_peers(plan) }, 10);
        harness.now = now;
        harness.handle(Event::Start);
        harness
    };
    let mut all: Vec<Harness> = (0..gateways).map(|ingress| start(ingress, 1_000_000.0)).collect();
    let (mut store, mut now) = (30.0_f64, 1_000_000.0);
    let mut passed = 0;
    for step in 0..3000 {
        now += 10.0;
        store = (store + 0.2).min(30.0);
        // One is restarted every second: a new limiter, which knows nothing of its former self.
        if step % 100 == 99 {
            let ingress = (step / 100 % 3) as u16;
            all[usize::from(ingress)] = start(ingress, now);
        }
        for harness in &mut all {
            harness.now = now;
            if harness.serve(1, 2.0, gateways) {
                store -= 2.0;
                passed += 1;
            }
        }
        assert!(store >= -3.0, "step {step}: {store}");
    }
    assert!(passed > 200, "and it is used: {passed}");
}

#[test]
fn the_counter_is_asked_first_and_says_what_others_have_left() {
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    let (_, actions) = harness.request(1, SAFE, 1.0, 2);
    assert!(matches!(actions[..], [Action::AddToCounter(CounterName(1), 1.0, _)]), "{actions:?}");
    let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(1.0)));
    assert!(sent_to(&actions).is_some());
    // The slice is its own: half the burst less the first. Beyond it, what others have borrowed cannot be had.
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
    // And what others have lent can be.
    harness.advance(401.0);
    let (_, actions) = harness.request(1, SAFE, 3.0, 2);
    assert!(matches!(actions[..], [Action::AddToCounter(..)]), "{actions:?}");
    let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(-2.0)));
    assert!(sent_to(&actions).is_some());
}

#[test]
fn a_counter_that_fails_leaves_the_even_slice_and_nobody_waiting() {
    for answer in [CounterAnswer::NotAdded, CounterAnswer::Unknown] {
        let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
        harness.advance(60_000.0);
        harness.request(1, SAFE, 1.0, 2);
        assert!(sent_to(&harness.handle(Event::CounterAnswered(CounterName(1), answer))).is_some());
        let granted = (0..50).filter(|_| harness.serve(1, 1.0, 2)).count();
        assert_eq!(granted, 9, "half the burst less the first");
    }
}

#[test]
fn a_counter_begun_anew_is_not_taken_for_use() {
    let mut harness = Harness::new(Settings { counter: true, ..settings(plan()) }, 10);
    harness.advance(60_000.0);
    for total in [100.0, 1.0, 2.0] {
        harness.request(1, SAFE, 1.0, 2);
        let actions = harness.handle(Event::CounterAnswered(CounterName(1), CounterAnswer::Total(total)));
        assert!(sent_to(&actions).is_some(), "{total}");
    }
}

#[test]
fn the_meter_gives_the_part() {
    let mut harness = Harness::new(Settings { meter_period: 1000.0, ..settings(plan()) }, 10);
    let mut granted = 0;
    for _ in 0..400 {
        harness.advance(25.0);
        let (id, actions) = harness.request(1, SAFE, 1.0, 2);
        let Some(backend) = sent_to(&actions) else { continue };
        granted += 1;
        // All gateways together use four times the rate, and ours asks for all of that.
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
    assert!((45..85).contains(&granted), "about half of 100 and the burst: {granted}");
}

#[test]
fn settled_units_are_taken_or_given_back() {
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
fn invalid_settings_are_an_error() {
    assert!(Limiter::new(Settings { classes: vec![], ..settings(plan()) }, 1).is_err());
    assert!(Limiter::new(Settings { ingress_count: 0, ..settings(plan()) }, 1).is_err());
    assert!(Limiter::new(settings(Plan { rate: f64::NAN, ..plan() }), 1).is_err());
    assert!(Limiter::new(settings(Plan { burst: -1.0, ..plan() }), 1).is_err());
}

#[test]
fn the_margin_of_a_cap_grows_with_the_interval_of_reports() {
    let granted = |peer_messages_per_second| {
        let capped = Plan { max_in_flight: 10.0, ..Plan::default() };
        let mut harness = Harness::new(Settings { peer_messages_per_second, ..with_peers(capped) }, 10);
        assert!(harness.serve(1, 1.0, 2));
        // The peer asked for nearly all, so that this gateway's own part is the even slice of five.
        harness.handle(Event::PeerMessage(IngressId(1), report(9, &[[1, 0, 4000, 1]])));
        (0..20).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 2).1).is_some()).count()
    };
    assert_eq!((granted(1000.0), granted(20.0)), (8, 5), "nine are free: one margin, or only the slice");
}

#[test]
fn a_room_of_which_nothing_comes_back_does_not_grow() {
    // Every other attempt is answered quickly and lets the room grow; the rest hang, and no end tells of them.
    let plan = Plan { rate: 1e4, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: 500, ..settings(plan) }, 600);
    let (mut most, mut out) = (0, 0);
    for step in 0..3000u64 {
        harness.advance(4.0);
        let (id, actions) = harness.request(step % 50, UNSAFE, 1.0, 500);
        let Some(backend) = sent_to(&actions) else { continue };
        if backend.0 % 2 == 0 {
            harness.advance(1.0).end_attempt(id, 0, backend, Outcome::Served, 20.0);
        } else {
            out += 1;
            most = most.max(out);
        }
    }
    // It starts with this gateway's part of four units a server, as if there were twelve: 57.
    assert!(most <= 70, "{most} hang");
}

/// Seen on days of restarts: a gateway that stopped took its part of every shared customer's quota with it.
#[test]
fn a_silent_peer_costs_its_customers_nothing_while_most_gateways_are_heard() {
    let granted = |heard: &[u16]| {
        let four = Settings { ingress_count: 4, ..with_peers(Plan { max_in_flight: 6.0, ..plan() }) };
        let mut harness = Harness::new(four, 10);
        harness.advance(60_000.0);
        assert!(harness.serve(1, 1.0, 4));
        // All are heard of once; the third peer has five attempts out then and is never heard again.
        for peer in 1..4 {
            let out = if peer == 3 { 5 } else { 0 };
            harness.handle(Event::PeerMessage(IngressId(peer), report(9, &[[1, 0, 0, out]])));
        }
        harness.advance(5000.0);
        heard
            .iter()
            .for_each(|peer| drop(harness.handle(Event::PeerMessage(IngressId(*peer), report(9, &[])))));
        (0..50).filter(|_| harness.serve(1, 1.0, 4)).count()
    };
    assert_eq!(granted(&[1, 2]), 20, "three of four are the most: the whole store");
    assert_eq!(granted(&[1]), 5, "two of four may be the part that is cut off: the even slice");
}

/// Two gateways that see the same units must not both grant them before they hear of each other.
#[test]
fn units_that_others_may_draw_meanwhile_stay_in_the_store() {
    let granted = |asked_elsewhere: u64| {
        let mut harness = Harness::new(with_peers(plan()), 10);
        harness.advance(60_000.0);
        assert!(harness.serve(1, 1.0, 2));
        for asked in [0, asked_elsewhere] {
            harness.handle(Event::PeerMessage(IngressId(1), report(9, &[[1, 0, 4 * asked, 0]])));
        }
        (0..50).filter(|_| harness.serve(1, 1.0, 2)).count()
    };
    assert_eq!(
        (granted(0), granted(30), granted(3000)),
        (19, 16, 15),
        "nothing, 3 and at most 4 units are left"
    );
}

/// How many requests of each of two classes find room beside a full load of their own kind, the second class being
/// worth `worth` for the same work.
fn room_beside(worth: f64) -> [usize; 2] {
    [0, 2].map(|class| {
        let mut set = settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
        set.classes.iter_mut().for_each(|class| class.worth = 1.0);
        set.classes[2].worth = worth;
        let mut harness = Harness::new(set, 10);
        // Both classes take as long, so that their worth alone tells them apart.
        for _ in 0..20 {
            for class in [0, 2] {
                let (id, actions) = harness.request(1, class, 1.0, 1);
                let backend = sent_to(&actions).unwrap();
                harness.end_attempt(id, 0, backend, Outcome::Served, 50.0);
            }
        }
        (0..1000).take_while(|_| sent_to(&harness.request(1, class, 1.0, 1).1).is_some()).count()
    })
}

#[test]
fn the_end_of_the_room_is_kept_for_the_class_of_the_most_worth_for_its_work() {
    let [cheap, dear] = room_beside(1.0);
    assert_eq!(cheap, dear, "of the same worth, both have all of the room");
    let [cheap, dear] = room_beside(4.0);
    assert!(cheap < dear * 4 / 5, "{cheap} of the cheap one, {dear} of the dear one");
    assert!(cheap > dear / 2, "{cheap} of the cheap one, {dear} of the dear one: it is not shut out");
    let [worthless, dear] = room_beside(1e9);
    assert!(worthless > dear / 2, "{worthless} beside {dear}");
}

#[test]
fn late_answers_leave_room_for_some_requests_a_server() {
    let mut harness = Harness::new(settings(Plan { rate: 0.1, burst: 1e6, ..Plan::default() }), 10);
    // Answers that take all of the aim cut the room again and again.
    for _ in 0..400 {
        let (id, actions) = harness.request(1, UNSAFE, 1.0, 1);
        if let Some(backend) = sent_to(&actions) {
            harness.advance(AIM);
            harness.end_attempt(id, 0, backend, Outcome::Served, AIM);
        }
    }
    let granted = (0..1000).take_while(|_| sent_to(&harness.request(1, UNSAFE, 1.0, 1).1).is_some()).count();
    assert_eq!(granted, 13, "a third of four mean requests for each of ten ready servers");
}
