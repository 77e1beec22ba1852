//! Many gateways: homes that keep a quota, chances below one request, cold servers, a counter that fails.

mod common;

use common::*;
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

const MANY: u16 = 120;

/// Gateways that hear each other at once.
struct Fleet {
    limiters: Vec<Limiter>,
    now: Millis,
    next: u64,
    lost: bool,
}

impl Fleet {
    fn new(plan: Plan) -> Self {
        Self::before(20, plan)
    }

    /// A fleet before so many servers.
    fn before(servers: u64, plan: Plan) -> Self {
        let set =
            Settings { ingress_count: MANY, peers: true, peer_messages_per_second: 40.0, ..settings(plan) };
        let limiter = |ingress: u16| {
            Limiter::new(Settings { ingress: IngressId(ingress), ..set.clone() }, 7 + u64::from(ingress))
        };
        let mut fleet = Self {
            limiters: (0..MANY).map(|ingress| limiter(ingress).unwrap()).collect(),
            now: 1e6,
            next: 0,
            lost: false,
        };
        for ingress in 0..MANY {
            fleet.handle(ingress, Event::Start);
            fleet.handle(
                ingress,
                Event::BackendList(ListKind::Cached, (0..servers).map(backend_entry).collect()),
            );
        }
        fleet
    }

    /// All that comes of an event, messages to peers included.
    fn handle(&mut self, ingress: u16, event: Event) -> Vec<(u16, Action)> {
        let (mut todo, mut done) = (vec![(ingress, event)], Vec::new());
        while let Some((at, event)) = todo.pop() {
            let mut actions = Vec::new();
            self.limiters[usize::from(at)].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::SendToPeer(to, _) if self.lost => assert_ne!(to.0, at),
                    Action::SendToPeer(to, bytes) => {
                        todo.push((to.0, Event::PeerMessage(IngressId(at), bytes)))
                    }
                    action => done.push((at, action)),
                }
            }
        }
        done
    }

    fn request(&mut self, ingress: u16, class: usize, customer: u64) -> (RequestId, Vec<(u16, Action)>) {
        self.next += 1;
        let request = Request {
            id: RequestId(self.next),
            class: ClassId(class),
            plan: PlanId(0),
            customer: CustomerId(customer),
            time_left: 2000.0,
            units: 1.0,
            spread: MANY,
            first_ingress: IngressId(0),
            is_retry: false,
        };
        (request.id, self.handle(ingress, Event::Request(request)))
    }
}

fn sends(actions: &[(u16, Action)]) -> usize {
    actions.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count()
}

fn answered(actions: &[(u16, Action)]) -> bool {
    actions.iter().any(|(_, a)| matches!(a, Action::Send { .. } | Action::Reject(..) | Action::Fail(_)))
}

#[test]
fn many_gateways_grant_a_quota_once() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.request(i % MANY, SAFE, 1).1)).sum();
    // What is granted ahead is not set aside, so a little more than the burst may go.
    assert!((15..=28).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn a_home_that_knows_nothing_yet_grants_most_of_a_burst_and_not_all() {
    let mut fleet = Fleet::new(plan());
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.request(i % MANY, SAFE, 1).1)).sum();
    // Also what is granted ahead of the next asks.
    assert!((12..=18).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn after_a_flood_of_asks_a_home_no_longer_sends_deniers_away_for_long() {
    let mut fleet = Fleet::new(Plan { rate: 20.0, ..plan() });
    for i in 0..600 {
        fleet.now += 5.0;
        fleet.request(i % MANY, SAFE, 1);
    }
    // Calm: nearly all is granted, so the home learns from what it grants.
    for i in 0..60 {
        fleet.now += 250.0;
        fleet.request(i % MANY, SAFE, 1);
    }
    let denied = (0..MANY).find(|ingress| sends(&fleet.request(*ingress, SAFE, 1).1) == 0).unwrap();
    fleet.now += 300.0;
    assert_eq!(
        sends(&fleet.request(denied, SAFE, 1).1),
        1,
        "the store has filled again, and the denied may ask"
    );
}

#[test]
fn a_gateway_that_starts_holds_of_a_ceiling_what_the_quota_leaves_of_it() {
    let capped = |burst| Plan { ceiling_rate: 30.0, ceiling_burst: 24.0, burst, ..plan() };
    let at_once = |plan| {
        let mut harness = Harness::new(settings(plan), 5);
        (0..30).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count()
    };
    assert_eq!((at_once(capped(10.0)), at_once(capped(20.0))), (10, 4));
}

/// How many requests of its own fit at gateway 0, whose answers took half of their aim, while its peers' took this part.
fn room_beside(peers_take: f64) -> usize {
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for _ in 0..60 {
        for ingress in 0..MANY {
            fleet.now += 2.0;
            let (id, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
            let actions: Vec<_> = actions.into_iter().map(|(_, action)| action).collect();
            let Some(backend) = sent_to(&actions) else { continue };
            let took = AIM * if ingress == 0 { 0.5 } else { peers_take };
            fleet.handle(ingress, Event::AttemptEnded(attempt_end(id, 0, backend, Outcome::Served, took)));
        }
    }
    (0..100).take_while(|i| sends(&fleet.request(0, SAFE, 1000 + i).1) == 1).count()
}

#[test]
fn a_few_slow_answers_at_one_gateway_do_not_cut_its_room_where_its_peers_see_none() {
    let (alone, all) = (room_beside(0.1), room_beside(0.5));
    assert!(alone >= 2 * all.max(1), "{alone} fit, {all} where all see slow answers");
}

#[test]
fn many_gateways_keep_a_small_cap_and_get_its_places_back() {
    let mut fleet = Fleet::new(Plan { rate: 1000.0, burst: 1000.0, max_in_flight: 3.0, ..Plan::default() });
    fleet.now += 60_000.0;
    let mut out = Vec::new();
    for ingress in 0..MANY {
        let (id, actions) = fleet.request(ingress, SAFE, 1);
        out.extend(actions.iter().find_map(|(at, a)| match a {
            Action::Send { backend, .. } => Some((*at, id, *backend)),
            _ => None,
        }));
    }
    assert_eq!(out.len(), 3);
    for (at, request, backend) in out {
        let end = AttemptEnd {
            request,
            attempt: AttemptIndex(0),
            backend,
            outcome: Outcome::Error,
            elapsed: 5.0,
            request_closed: true,
            metered_use: None,
            settled_units: None,
            load: Load::default(),
        };
        fleet.handle(at, Event::AttemptEnded(end));
    }
    fleet.now += 5000.0;
    assert_eq!((0..MANY).map(|ingress| sends(&fleet.request(ingress, SAFE, 1).1)).sum::<usize>(), 3);
}

#[test]
fn without_word_from_a_home_each_request_is_still_answered_in_time() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    fleet.lost = true;
    let mut open: Vec<u16> =
        (0..MANY).filter(|ingress| !answered(&fleet.request(*ingress, SAFE, 1).1)).collect();
    assert!(open.len() > usize::from(MANY) / 2, "{} wait", open.len());
    for _ in 0..3 {
        fleet.now += 130.0;
        open.retain(|ingress| !answered(&fleet.handle(*ingress, Event::Timer(QUOTA_ANSWER_TIMER))));
    }
    assert!(open.is_empty(), "{open:?} without an answer after 390 ms");
}

#[test]
fn mail_cut_short_or_unknown_or_huge_grants_nothing() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let huge = [0, 1, 1, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0x7f];
    for ingress in 0..MANY {
        for bytes in [&[][..], &[0], &[0, 1, 1], &[9, 1, 1], &[0xff; 40], &[1, 5, 100], &[3, 1, 1], &huge] {
            let actions =
                fleet.handle(ingress, Event::PeerMessage(IngressId((ingress + 1) % MANY), bytes.to_vec()));
            assert!(actions.is_empty(), "{actions:?}");
        }
        fleet.handle(ingress, Event::PeerMessage(IngressId(MANY + 5), vec![0, 1, 1, 0, 0, 4, 0]));
    }
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.request(i % MANY, SAFE, 1).1)).sum();
    assert!(granted <= 28, "{granted} of a burst of 20");
}

#[test]
fn empty_stale_and_repeated_lists_leave_every_request_answered_and_the_room_as_it_was() {
    let room = |fleet: &mut Fleet, ingress: u16| {
        let asked = (0..200).map(|i| fleet.request(ingress, SAFE, 1000 + i).1);
        asked.take_while(|actions| sends(actions) == 1).count()
    };
    let all = |kind| Event::BackendList(kind, (0..20).map(backend_entry).collect());
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for ingress in 0..MANY {
        fleet.handle(ingress, all(ListKind::Full));
        fleet.handle(ingress, all(ListKind::Changes));
    }
    let (first, again) = (room(&mut fleet, 0), {
        fleet.handle(1, all(ListKind::Full));
        room(&mut fleet, 1)
    });
    assert!(first > 0 && first.abs_diff(again) <= 3, "{first} and, with a list repeated, {again}");
    for ingress in 0..MANY {
        fleet.handle(ingress, Event::BackendList(ListKind::Full, Vec::new()));
        let (_, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
        assert!(answered(&actions) && sends(&actions) == 0, "{actions:?} without any server");
        fleet.handle(ingress, Event::BackendList(ListKind::Failed, Vec::new()));
        // Who comes back may have started anew: it is spared, and nobody waits.
        fleet.handle(ingress, all(ListKind::Full));
        assert!(answered(&fleet.request(ingress, SAFE, u64::from(ingress)).1));
    }
}

/// A fleet before 60 servers that serve, asked `rounds` times at each gateway; what each sent where.
fn spread(rounds: u64) -> Vec<std::collections::BTreeMap<BackendId, usize>> {
    let mut fleet = Fleet::before(60, Plan { rate: 1e6, burst: 1e6, ..Plan::default() });
    let mut at = vec![(0..60).map(|n| (BackendId(n), 0)).collect::<std::collections::BTreeMap<_, _>>(); 120];
    for ingress in (0..rounds).flat_map(|_| 0..MANY) {
        fleet.now += 2.0;
        let (id, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
        let actions: Vec<_> = actions.into_iter().map(|(_, action)| action).collect();
        if let Some(backend) = sent_to(&actions) {
            *at[usize::from(ingress)].get_mut(&backend).unwrap() += 1;
            fleet.handle(ingress, Event::AttemptEnded(attempt_end(id, 0, backend, Outcome::Served, 50.0)));
        }
    }
    at
}

#[test]
fn each_of_many_gateways_sends_to_few_servers_and_all_together_to_all_alike() {
    let at = spread(60);
    let known = |at: &std::collections::BTreeMap<_, _>| at.values().filter(|n| **n > 0).count();
    let (sum, most) = (at.iter().map(known).sum::<usize>(), at.iter().map(known).max().unwrap());
    assert!(sum <= 18 * at.len() && most <= 30, "{} servers on average, {most} at most", sum / at.len());
    let loads: Vec<usize> = (0..60).map(|n| at.iter().map(|at| at[&BackendId(n)]).sum()).collect();
    let (least, most) = (loads.iter().min().unwrap(), loads.iter().max().unwrap());
    assert!(3 * least >= *most, "{loads:?}");
}

#[test]
fn where_all_servers_that_come_first_fail_the_others_are_sent_to() {
    let plan = Plan { rate: 1e6, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: MANY, ..settings(plan) }, 60);
    let mut tried = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let (id, actions) = harness.advance(1.0).request(1, UNSAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        tried.insert(backend);
        harness.end_attempt(id, 0, backend, Outcome::ConnectFailed, 1.0);
    }
    assert!(tried.len() > 20, "{tried:?}");
}

#[test]
fn whatever_peers_claim_of_the_pressure_a_gateway_goes_on_learning() {
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    let claim = [&[0, 1, 1, 0, 0, 4, 0][..], &[0xff, 0xff, 0xff, 0xff, 0x7f]].concat();
    let mut served = 0;
    for i in 0..400 {
        fleet.now += 50.0;
        fleet.handle(0, Event::PeerMessage(IngressId(7), claim.clone()));
        let (id, actions) = fleet.request(0, SAFE, i);
        let actions: Vec<_> = actions.into_iter().map(|(_, action)| action).collect();
        if let Some(backend) = sent_to(&actions) {
            fleet.handle(0, Event::AttemptEnded(attempt_end(id, 0, backend, Outcome::Served, 20.0)));
            served += u32::from(i >= 300);
        }
    }
    assert!(served >= 10, "{served} of the last 100 were let in");
}

#[test]
fn many_gateways_do_not_push_a_cold_server_over() {
    let mut fleet = Fleet::new(Plan { rate: 1e6, burst: 1e6, ..Plan::default() });
    let serve = |fleet: &mut Fleet, ingress: u16, customer: u64| {
        let (request, actions) = fleet.request(ingress, SAFE, customer);
        let backend = actions.iter().find_map(|(_, a)| match a {
            Action::Send { backend, .. } => Some(*backend),
            _ => None,
        });
        if let Some(backend) = backend {
            let end = attempt_end(request, 0, backend, Outcome::Served, 50.0);
            fleet.handle(ingress, Event::AttemptEnded(end));
        }
        backend
    };
    for round in 0..6u64 {
        fleet.now += 500.0;
        for ingress in 0..MANY {
            serve(&mut fleet, ingress, 1000 + round);
        }
    }
    let fresh = BackendEntry { last_start: Some(fleet.now), ..backend_entry(0) };
    for ingress in 0..MANY {
        fleet.handle(ingress, Event::BackendList(ListKind::Changes, vec![fresh]));
    }
    let (mut cold, mut all) = (0, 0);
    for round in 0..4u64 {
        fleet.now += 250.0;
        for ingress in 0..MANY {
            let backend = serve(&mut fleet, ingress, 2000 + round);
            cold += usize::from(backend == Some(BackendId(0)));
            all += usize::from(backend.is_some());
        }
    }
    // Of twenty servers the mean gets a twentieth; a quarter warm can do a quarter of that.
    assert!(all > 400 && cold <= 3 * all / 20 / 4 + 3, "{cold} of {all} went to the cold one");
}

#[test]
fn calls_follow_the_failures_of_the_counter() {
    let plan = Plan { rate: 1.0, burst: 61.0, ..Plan::default() };
    let mut harness = Harness::new(Settings { counter: true, ingress_count: MANY, ..settings(plan) }, 10);
    let mut customer = 0;
    let mut calls = |answer: CounterAnswer| {
        let mut calls = 0;
        for _ in 0..100 {
            customer += 1;
            harness.advance(20.0);
            let (id, mut actions) = harness.request(customer, SAFE, 1.0, MANY);
            if let Some(Action::AddToCounter(name, ..)) = actions.first().cloned() {
                calls += 1;
                actions = harness.handle(Event::CounterAnswered(name, answer));
            }
            if let Some(backend) = sent_to(&actions) {
                harness.end_attempt(id, 0, backend, Outcome::Served, 10.0);
            }
        }
        calls
    };
    for _ in 0..12 {
        calls(CounterAnswer::Total(1.0));
    }
    assert!(calls(CounterAnswer::Total(1.0)) > 90);
    calls(CounterAnswer::Unknown);
    let few = calls(CounterAnswer::Unknown);
    assert!(few < 20, "{few} of 100 tries still called a counter that does not answer");
    for _ in 0..12 {
        calls(CounterAnswer::Total(1.0));
    }
    assert!(calls(CounterAnswer::Total(1.0)) > 50, "it is called again once it answers");
}

#[test]
fn where_answers_get_lost_an_attempt_of_a_capped_customer_ends_with_its_aim() {
    for (max_in_flight, wait) in [(5.0, Some(AIM)), (0.0, None)] {
        let mut harness = Harness::new(settings(Plan { max_in_flight, ..plan() }), 10);
        let mut waits = Vec::new();
        for customer in 1..3 {
            let (id, actions) = harness.request(customer, UNSAFE, 1.0, 1);
            let of = |a: &Action| if let Action::Send { timeout: wait, .. } = a { Some(*wait) } else { None };
            waits.extend(actions.iter().find_map(of));
            harness.advance(2000.0).end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::TimedOut, 2000.0);
        }
        assert_eq!(waits, [None, wait]);
    }
}

#[test]
fn without_news_the_slices_of_many_gateways_come_to_one_burst() {
    let granted = (0..MANY).filter(|ingress| {
        let set = Settings {
            ingress_count: MANY,
            ingress: IngressId(*ingress),
            ..settings(Plan { rate: 0.001, ..plan() })
        };
        let mut limiter = Limiter::new(set, u64::from(*ingress)).unwrap();
        limiter.handle(1e6, Event::Start, &mut Vec::new());
        limiter.handle(
            1e6,
            Event::BackendList(ListKind::Cached, (0..10).map(backend_entry).collect()),
            &mut Vec::new(),
        );
        let (id, class, plan, customer) = (RequestId(1), ClassId(SAFE), PlanId(0), CustomerId(1));
        let (left, units, spread, first, repeat) = (2000.0, 1.0, MANY, IngressId(0), false);
        let mut actions = Vec::new();
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left: left,
            units,
            spread,
            first_ingress: first,
            is_retry: repeat,
        };
        limiter.handle(1e6, Event::Request(request), &mut actions);
        sent_to(&actions).is_some()
    });
    let granted = granted.count();
    assert!((8..=35).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn a_home_that_is_known_to_be_dead_is_not_asked_and_one_that_lives_again_is() {
    let set =
        Settings { ingress_count: MANY, peers: true, peer_messages_per_second: 40.0, ..settings(plan()) };
    let mut harness = Harness::new(set, 20);
    let told = |harness: &mut Harness, customer| {
        let (_, actions) = harness.request(customer, SAFE, 1.0, MANY);
        actions.iter().find_map(|action| match action {
            Action::SendToPeer(to, _) => Some(*to),
            _ => None,
        })
    };
    let customer = (1..50).find(|c| told(&mut harness, *c).is_some()).unwrap();
    let home = told(&mut harness, customer).unwrap();
    let mut living = vec![true; usize::from(MANY)];
    living[usize::from(home.0)] = false;
    harness.limiter.set_live_ingresses(Some(living));
    let next = told(&mut harness, customer);
    assert!(next.is_some_and(|next| next != home), "{next:?} in place of {home:?}");
    harness.limiter.set_live_ingresses(None);
    assert_eq!(told(&mut harness, customer), Some(home));
}
