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
        let limiter =
            |me: u16| Limiter::new(Settings { ingress: IngressId(me), ..set.clone() }, 7 + u64::from(me));
        let mut fleet = Self {
            limiters: (0..MANY).map(|me| limiter(me).unwrap()).collect(),
            now: 1e6,
            next: 0,
            lost: false,
        };
        for me in 0..MANY {
            fleet.event(me, Event::Start);
            fleet.event(me, Event::BackendList(ListKind::Cached, (0..servers).map(entry).collect()));
        }
        fleet
    }

    /// All that comes of an event, messages to peers included.
    fn event(&mut self, me: u16, event: Event) -> Vec<(u16, Action)> {
        let (mut todo, mut done) = (vec![(me, event)], Vec::new());
        while let Some((at, event)) = todo.pop() {
            let mut acts = Vec::new();
            self.limiters[usize::from(at)].handle(self.now, event, &mut acts);
            for act in acts {
                match act {
                    Action::SendToPeer(to, _) if self.lost => assert_ne!(to.0, at),
                    Action::SendToPeer(to, bytes) => {
                        todo.push((to.0, Event::PeerMessage(IngressId(at), bytes)))
                    }
                    act => done.push((at, act)),
                }
            }
        }
        done
    }

    fn ask(&mut self, me: u16, class: usize, customer: u64) -> (RequestId, Vec<(u16, Action)>) {
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
        (request.id, self.event(me, Event::Request(request)))
    }
}

fn sends(acts: &[(u16, Action)]) -> usize {
    acts.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count()
}

fn answered(acts: &[(u16, Action)]) -> bool {
    acts.iter().any(|(_, a)| matches!(a, Action::Send { .. } | Action::Reject(..) | Action::Fail(_)))
}

#[test]
fn many_gateways_grant_a_quota_once() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.ask(i % MANY, 0, 1).1)).sum();
    // What is granted ahead is not set aside, so a little more than the burst may go.
    assert!((15..=28).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn a_home_that_knows_nothing_yet_grants_most_of_a_burst_and_not_all() {
    let mut fleet = Fleet::new(plan());
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.ask(i % MANY, 0, 1).1)).sum();
    // Also what is granted ahead of the next asks.
    assert!((12..=18).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn after_a_flood_of_asks_a_home_no_longer_sends_deniers_away_for_long() {
    let mut fleet = Fleet::new(Plan { rate: 20.0, ..plan() });
    for i in 0..600 {
        fleet.now += 5.0;
        fleet.ask(i % MANY, 0, 1);
    }
    // Calm: nearly all is granted, so the home learns from what it grants.
    for i in 0..60 {
        fleet.now += 250.0;
        fleet.ask(i % MANY, 0, 1);
    }
    let denied = (0..MANY).find(|me| sends(&fleet.ask(*me, 0, 1).1) == 0).unwrap();
    fleet.now += 300.0;
    assert_eq!(sends(&fleet.ask(denied, 0, 1).1), 1, "the store has filled again, and the denied may ask");
}

#[test]
fn a_gateway_that_starts_holds_of_a_ceiling_what_the_quota_leaves_of_it() {
    let capped = |burst| Plan { ceiling_rate: 30.0, ceiling_burst: 24.0, burst, ..plan() };
    let at_once = |plan| {
        let mut bench = Bench::new(settings(plan), 5);
        (0..30).filter(|_| sent(&bench.ask(1, 0, 1.0, 1).1).is_some()).count()
    };
    assert_eq!((at_once(capped(10.0)), at_once(capped(20.0))), (10, 4));
}

/// How many requests of its own fit at gateway 0, whose answers took half of their aim, while its peers' took this part.
fn room_beside(peers_take: f64) -> usize {
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for _ in 0..60 {
        for me in 0..MANY {
            fleet.now += 2.0;
            let (id, acts) = fleet.ask(me, 0, u64::from(me));
            let acts: Vec<_> = acts.into_iter().map(|(_, act)| act).collect();
            let Some(server) = sent(&acts) else { continue };
            let took = AIM * if me == 0 { 0.5 } else { peers_take };
            fleet.event(me, Event::AttemptEnded(ended(id, 0, server, Outcome::Served, took)));
        }
    }
    (0..100).take_while(|i| sends(&fleet.ask(0, 0, 1000 + i).1) == 1).count()
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
    for me in 0..MANY {
        let (id, acts) = fleet.ask(me, 0, 1);
        out.extend(acts.iter().find_map(|(at, a)| match a {
            Action::Send { backend: server, .. } => Some((*at, id, *server)),
            _ => None,
        }));
    }
    assert_eq!(out.len(), 3);
    for (at, request, server) in out {
        let end = AttemptEnd {
            request,
            attempt: AttemptIndex(0),
            backend: server,
            outcome: Outcome::Error,
            elapsed: 5.0,
            request_closed: true,
            metered_use: None,
            settled_units: None,
            load: Load::default(),
        };
        fleet.event(at, Event::AttemptEnded(end));
    }
    fleet.now += 5000.0;
    assert_eq!((0..MANY).map(|me| sends(&fleet.ask(me, 0, 1).1)).sum::<usize>(), 3);
}

#[test]
fn without_word_from_a_home_each_request_is_still_answered_in_time() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    fleet.lost = true;
    let mut open: Vec<u16> = (0..MANY).filter(|me| !answered(&fleet.ask(*me, 0, 1).1)).collect();
    assert!(open.len() > usize::from(MANY) / 2, "{} wait", open.len());
    for _ in 0..3 {
        fleet.now += 130.0;
        open.retain(|me| !answered(&fleet.event(*me, Event::Timer(TimerKey(3)))));
    }
    assert!(open.is_empty(), "{open:?} without an answer after 390 ms");
}

#[test]
fn mail_cut_short_or_unknown_or_huge_grants_nothing() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let huge = [0, 1, 1, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0x7f];
    for me in 0..MANY {
        for bytes in [&[][..], &[0], &[0, 1, 1], &[9, 1, 1], &[0xff; 40], &[1, 5, 100], &[3, 1, 1], &huge] {
            let acts = fleet.event(me, Event::PeerMessage(IngressId((me + 1) % MANY), bytes.to_vec()));
            assert!(acts.is_empty(), "{acts:?}");
        }
        fleet.event(me, Event::PeerMessage(IngressId(MANY + 5), vec![0, 1, 1, 0, 0, 4, 0]));
    }
    let granted: usize = (0..4 * MANY).map(|i| sends(&fleet.ask(i % MANY, 0, 1).1)).sum();
    assert!(granted <= 28, "{granted} of a burst of 20");
}

#[test]
fn empty_stale_and_repeated_lists_leave_every_request_answered_and_the_room_as_it_was() {
    let room = |fleet: &mut Fleet, me: u16| {
        let asked = (0..200).map(|i| fleet.ask(me, 0, 1000 + i).1);
        asked.take_while(|acts| sends(acts) == 1).count()
    };
    let all = |kind| Event::BackendList(kind, (0..20).map(entry).collect());
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for me in 0..MANY {
        fleet.event(me, all(ListKind::Full));
        fleet.event(me, all(ListKind::Changes));
    }
    let (first, again) = (room(&mut fleet, 0), {
        fleet.event(1, all(ListKind::Full));
        room(&mut fleet, 1)
    });
    assert!(first > 0 && first.abs_diff(again) <= 3, "{first} and, with a list repeated, {again}");
    for me in 0..MANY {
        fleet.event(me, Event::BackendList(ListKind::Full, Vec::new()));
        let (_, acts) = fleet.ask(me, 0, u64::from(me));
        assert!(answered(&acts) && sends(&acts) == 0, "{acts:?} without any server");
        fleet.event(me, Event::BackendList(ListKind::Failed, Vec::new()));
        // Who comes back may have started anew: it is spared, and nobody waits.
        fleet.event(me, all(ListKind::Full));
        assert!(answered(&fleet.ask(me, 0, u64::from(me)).1));
    }
}

/// A fleet before 60 servers that serve, asked `rounds` times at each gateway; what each sent where.
fn spread(rounds: u64) -> Vec<std::collections::BTreeMap<BackendId, usize>> {
    let mut fleet = Fleet::before(60, Plan { rate: 1e6, burst: 1e6, ..Plan::default() });
    let mut at = vec![(0..60).map(|n| (BackendId(n), 0)).collect::<std::collections::BTreeMap<_, _>>(); 120];
    for me in (0..rounds).flat_map(|_| 0..MANY) {
        fleet.now += 2.0;
        let (id, acts) = fleet.ask(me, 0, u64::from(me));
        let acts: Vec<_> = acts.into_iter().map(|(_, act)| act).collect();
        if let Some(server) = sent(&acts) {
            *at[usize::from(me)].get_mut(&server).unwrap() += 1;
            fleet.event(me, Event::AttemptEnded(ended(id, 0, server, Outcome::Served, 50.0)));
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
    let mut bench = Bench::new(Settings { ingress_count: MANY, ..settings(plan) }, 60);
    let mut tried = std::collections::BTreeSet::new();
    for _ in 0..60 {
        let (id, acts) = bench.wait(1.0).ask(1, 2, 1.0, 1);
        let Some(server) = sent(&acts) else { continue };
        tried.insert(server);
        bench.end(id, 0, server, Outcome::ConnectFailed, 1.0);
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
        fleet.event(0, Event::PeerMessage(IngressId(7), claim.clone()));
        let (id, acts) = fleet.ask(0, 0, i);
        let acts: Vec<_> = acts.into_iter().map(|(_, act)| act).collect();
        if let Some(server) = sent(&acts) {
            fleet.event(0, Event::AttemptEnded(ended(id, 0, server, Outcome::Served, 20.0)));
            served += u32::from(i >= 300);
        }
    }
    assert!(served >= 10, "{served} of the last 100 were let in");
}

#[test]
fn many_gateways_do_not_push_a_cold_server_over() {
    let mut fleet = Fleet::new(Plan { rate: 1e6, burst: 1e6, ..Plan::default() });
    let serve = |fleet: &mut Fleet, me: u16, customer: u64| {
        let (request, acts) = fleet.ask(me, 0, customer);
        let server = acts.iter().find_map(|(_, a)| match a {
            Action::Send { backend: server, .. } => Some(*server),
            _ => None,
        });
        if let Some(server) = server {
            let end = ended(request, 0, server, Outcome::Served, 50.0);
            fleet.event(me, Event::AttemptEnded(end));
        }
        server
    };
    for round in 0..6u64 {
        fleet.now += 500.0;
        for me in 0..MANY {
            serve(&mut fleet, me, 1000 + round);
        }
    }
    let fresh = BackendEntry { last_start: Some(fleet.now), ..entry(0) };
    for me in 0..MANY {
        fleet.event(me, Event::BackendList(ListKind::Changes, vec![fresh]));
    }
    let (mut cold, mut all) = (0, 0);
    for round in 0..4u64 {
        fleet.now += 250.0;
        for me in 0..MANY {
            let server = serve(&mut fleet, me, 2000 + round);
            cold += usize::from(server == Some(BackendId(0)));
            all += usize::from(server.is_some());
        }
    }
    // Of twenty servers the mean gets a twentieth; a quarter warm can do a quarter of that.
    assert!(all > 400 && cold <= 3 * all / 20 / 4 + 3, "{cold} of {all} went to the cold one");
}

#[test]
fn calls_follow_the_failures_of_the_counter() {
    let plan = Plan { rate: 1.0, burst: 61.0, ..Plan::default() };
    let mut bench = Bench::new(Settings { counter: true, ingress_count: MANY, ..settings(plan) }, 10);
    let mut customer = 0;
    let mut calls = |answer: CounterAnswer| {
        let mut calls = 0;
        for _ in 0..100 {
            customer += 1;
            bench.wait(20.0);
            let (id, mut acts) = bench.ask(customer, 0, 1.0, MANY);
            if let Some(Action::AddToCounter(name, ..)) = acts.first().cloned() {
                calls += 1;
                acts = bench.event(Event::CounterAnswered(name, answer));
            }
            if let Some(server) = sent(&acts) {
                bench.end(id, 0, server, Outcome::Served, 10.0);
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
        let mut bench = Bench::new(settings(Plan { max_in_flight, ..plan() }), 10);
        let mut waits = Vec::new();
        for customer in 1..3 {
            let (id, acts) = bench.ask(customer, 2, 1.0, 1);
            let of = |a: &Action| if let Action::Send { timeout: wait, .. } = a { Some(*wait) } else { None };
            waits.extend(acts.iter().find_map(of));
            bench.wait(2000.0).end(id, 0, sent(&acts).unwrap(), Outcome::TimedOut, 2000.0);
        }
        assert_eq!(waits, [None, wait]);
    }
}

#[test]
fn without_news_the_slices_of_many_gateways_come_to_one_burst() {
    let granted = (0..MANY).filter(|me| {
        let set = Settings {
            ingress_count: MANY,
            ingress: IngressId(*me),
            ..settings(Plan { rate: 0.001, ..plan() })
        };
        let mut limiter = Limiter::new(set, u64::from(*me)).unwrap();
        limiter.handle(1e6, Event::Start, &mut Vec::new());
        limiter.handle(
            1e6,
            Event::BackendList(ListKind::Cached, (0..10).map(entry).collect()),
            &mut Vec::new(),
        );
        let (id, class, plan, customer) = (RequestId(1), ClassId(0), PlanId(0), CustomerId(1));
        let (left, units, spread, first, repeat) = (2000.0, 1.0, MANY, IngressId(0), false);
        let mut acts = Vec::new();
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
        limiter.handle(1e6, Event::Request(request), &mut acts);
        sent(&acts).is_some()
    });
    let granted = granted.count();
    assert!((8..=35).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn a_home_that_is_known_to_be_dead_is_not_asked_and_one_that_lives_again_is() {
    let set =
        Settings { ingress_count: MANY, peers: true, peer_messages_per_second: 40.0, ..settings(plan()) };
    let mut bench = Bench::new(set, 20);
    let told = |bench: &mut Bench, customer| {
        let (_, acts) = bench.ask(customer, 0, 1.0, MANY);
        acts.iter().find_map(|act| match act {
            Action::SendToPeer(to, _) => Some(*to),
            _ => None,
        })
    };
    let customer = (1..50).find(|c| told(&mut bench, *c).is_some()).unwrap();
    let home = told(&mut bench, customer).unwrap();
    let mut living = vec![true; usize::from(MANY)];
    living[usize::from(home.0)] = false;
    bench.limiter.set_live_ingresses(Some(living));
    let next = told(&mut bench, customer);
    assert!(next.is_some_and(|next| next != home), "{next:?} in place of {home:?}");
    bench.limiter.set_live_ingresses(None);
    assert_eq!(told(&mut bench, customer), Some(home));
}
