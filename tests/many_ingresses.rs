//! Many ingresses: owners of quotas, slices below one request, shared and cold backends, and a counter that
//! fails.

mod common;

use common::*;
use std::collections::{BTreeMap, BTreeSet};
use weldhub::interface::*;
use weldhub::{Action, Event, Limiter, Settings};

/// The number of ingresses.
const INGRESSES: u16 = 120;

/// Ingresses whose messages arrive at once.
struct Fleet {
    /// The limiters of the ingresses.
    limiters: Vec<Limiter>,
    /// The simulated time.
    now: Millis,
    /// The id of the last request.
    last_request: u64,
    /// All messages between peers are lost.
    messages_lost: bool,
}

impl Fleet {
    /// Starts all ingresses before 20 backends.
    fn new(plan: Plan) -> Self {
        Self::with_backends(20, plan)
    }

    /// Starts all ingresses before this many backends.
    fn with_backends(backends: u64, plan: Plan) -> Self {
        let settings = Settings {
            ingress_count: INGRESSES,
            peers: true,
            peer_messages_per_second: 40.0,
            ..settings(plan)
        };
        let limiter = |ingress: u16| {
            Limiter::new(Settings { ingress: IngressId(ingress), ..settings.clone() }, 7 + u64::from(ingress))
        };
        let mut fleet = Self {
            limiters: (0..INGRESSES).map(|ingress| limiter(ingress).unwrap()).collect(),
            now: 1e6,
            last_request: 0,
            messages_lost: false,
        };
        for ingress in 0..INGRESSES {
            fleet.handle(ingress, Event::Start);
            fleet.handle(
                ingress,
                Event::BackendList(ListKind::Cached, (0..backends).map(backend_entry).collect()),
            );
        }
        fleet
    }

    /// Passes an event to an ingress and delivers the resulting messages. Returns all other actions, each
    /// with the ingress that takes it.
    fn handle(&mut self, ingress: u16, event: Event) -> Vec<(u16, Action)> {
        let (mut events, mut other_actions) = (vec![(ingress, event)], Vec::new());
        while let Some((ingress, event)) = events.pop() {
            let mut actions = Vec::new();
            self.limiters[usize::from(ingress)].handle(self.now, event, &mut actions);
            for action in actions {
                match action {
                    Action::SendToPeer(to, _) if self.messages_lost => assert_ne!(to.0, ingress),
                    Action::SendToPeer(to, bytes) => {
                        events.push((to.0, Event::PeerMessage(IngressId(ingress), bytes)))
                    }
                    action => other_actions.push((ingress, action)),
                }
            }
        }
        other_actions
    }

    /// Submits a request of one unit at an ingress. Returns its id and the resulting actions.
    fn request(&mut self, ingress: u16, class: usize, customer: u64) -> (RequestId, Vec<(u16, Action)>) {
        self.last_request += 1;
        let request = Request {
            id: RequestId(self.last_request),
            class: ClassId(class),
            plan: PlanId(0),
            customer: CustomerId(customer),
            time_left: 2000.0,
            units: 1.0,
            spread: INGRESSES,
            first_ingress: IngressId(0),
            is_retry: false,
            identity: None,
        };
        (request.id, self.handle(ingress, Event::Request(request)))
    }
}

/// Returns the number of attempts that the actions send.
fn attempts_sent(actions: &[(u16, Action)]) -> usize {
    actions.iter().filter(|(_, a)| matches!(a, Action::Send { .. })).count()
}

/// Returns whether the actions send an attempt or give a final answer.
fn is_decided(actions: &[(u16, Action)]) -> bool {
    actions.iter().any(|(_, a)| matches!(a, Action::Send { .. } | Action::Reject(..) | Action::Fail(_)))
}

#[test]
fn many_ingresses_grant_a_quota_only_once() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let granted: usize =
        (0..4 * INGRESSES).map(|i| attempts_sent(&fleet.request(i % INGRESSES, SAFE, 1).1)).sum();
    // Units granted in advance are not deducted, so slightly more than the burst may be granted.
    assert!((15..=28).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn new_quota_owner_grants_most_of_a_burst_but_not_all() {
    let mut fleet = Fleet::new(plan());
    let granted: usize =
        (0..4 * INGRESSES).map(|i| attempts_sent(&fleet.request(i % INGRESSES, SAFE, 1).1)).sum();
    // This includes units granted in advance.
    assert!((12..=18).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn denial_pause_is_short_again_after_a_flood_of_quota_requests() {
    let mut fleet = Fleet::new(Plan { rate: 20.0, ..plan() });
    for i in 0..600 {
        fleet.now += 5.0;
        fleet.request(i % INGRESSES, SAFE, 1);
    }
    // Low load: nearly all is granted, so the owner learns from what it grants.
    for i in 0..60 {
        fleet.now += 250.0;
        fleet.request(i % INGRESSES, SAFE, 1);
    }
    let denied =
        (0..INGRESSES).find(|ingress| attempts_sent(&fleet.request(*ingress, SAFE, 1).1) == 0).unwrap();
    fleet.now += 300.0;
    assert_eq!(
        attempts_sent(&fleet.request(denied, SAFE, 1).1),
        1,
        "the bucket has refilled, and the ingress may send a quota request again"
    );
}

#[test]
fn new_ingress_starts_with_the_ceiling_that_the_quota_leaves() {
    let with_ceiling = |burst| Plan { ceiling_rate: 30.0, ceiling_burst: 24.0, burst, ..plan() };
    let admitted = |plan| {
        let mut harness = Harness::new(settings(plan), 5);
        (0..30).filter(|_| sent_to(&harness.request(1, SAFE, 1.0, 1).1).is_some()).count()
    };
    assert_eq!((admitted(with_ceiling(10.0)), admitted(with_ceiling(20.0))), (10, 4));
}

/// Returns how many requests fit at ingress 0, whose answers took half of their aim, while those of its
/// peers took this fraction of it.
fn admitted_beside_peers(peer_aim_share: f64) -> usize {
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for _ in 0..60 {
        for ingress in 0..INGRESSES {
            fleet.now += 2.0;
            let (id, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
            let actions: Vec<_> = actions.into_iter().map(|(_, action)| action).collect();
            let Some(backend) = sent_to(&actions) else { continue };
            let elapsed = AIM * if ingress == 0 { 0.5 } else { peer_aim_share };
            fleet.handle(ingress, Event::AttemptEnded(attempt_end(id, 0, backend, Outcome::Served, elapsed)));
        }
    }
    (0..100).take_while(|i| attempts_sent(&fleet.request(0, SAFE, 1000 + i).1) == 1).count()
}

#[test]
fn slow_answers_at_one_ingress_do_not_cut_its_capacity_if_its_peers_see_none() {
    let (alone, all) = (admitted_beside_peers(0.1), admitted_beside_peers(0.5));
    assert!(alone >= 2 * all.max(1), "{alone} fit, {all} if all see slow answers");
}

#[test]
fn many_ingresses_keep_a_small_in_flight_limit_and_reuse_its_places() {
    let mut fleet = Fleet::new(Plan { rate: 1000.0, burst: 1000.0, max_in_flight: 3.0, ..Plan::default() });
    fleet.now += 60_000.0;
    let mut in_flight = Vec::new();
    for ingress in 0..INGRESSES {
        let (id, actions) = fleet.request(ingress, SAFE, 1);
        in_flight.extend(actions.iter().find_map(|(at, a)| match a {
            Action::Send { backend, .. } => Some((*at, id, *backend)),
            _ => None,
        }));
    }
    assert_eq!(in_flight.len(), 3);
    for (at, request, backend) in in_flight {
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
    assert_eq!(
        (0..INGRESSES).map(|ingress| attempts_sent(&fleet.request(ingress, SAFE, 1).1)).sum::<usize>(),
        3
    );
}

#[test]
fn requests_are_decided_in_time_without_an_answer_of_the_quota_owner() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    fleet.messages_lost = true;
    let mut waiting: Vec<u16> =
        (0..INGRESSES).filter(|ingress| !is_decided(&fleet.request(*ingress, SAFE, 1).1)).collect();
    assert!(waiting.len() > usize::from(INGRESSES) / 2, "{} wait", waiting.len());
    for _ in 0..3 {
        fleet.now += 130.0;
        waiting.retain(|ingress| !is_decided(&fleet.handle(*ingress, Event::Timer(QUOTA_ANSWER_TIMER))));
    }
    assert!(waiting.is_empty(), "{waiting:?} without a decision after 390 ms");
}

#[test]
fn truncated_unknown_and_huge_messages_grant_nothing() {
    let mut fleet = Fleet::new(plan());
    fleet.now += 60_000.0;
    let huge = [0, 1, 1, 0, 0, 0xff, 0xff, 0xff, 0xff, 0x7f, 0xff, 0xff, 0xff, 0xff, 0x7f];
    for ingress in 0..INGRESSES {
        for bytes in [&[][..], &[0], &[0, 1, 1], &[9, 1, 1], &[0xff; 40], &[1, 5, 100], &[3, 1, 1], &huge] {
            let actions = fleet
                .handle(ingress, Event::PeerMessage(IngressId((ingress + 1) % INGRESSES), bytes.to_vec()));
            assert!(actions.is_empty(), "{actions:?}");
        }
        fleet.handle(ingress, Event::PeerMessage(IngressId(INGRESSES + 5), vec![0, 1, 1, 0, 0, 4, 0]));
    }
    let granted: usize =
        (0..4 * INGRESSES).map(|i| attempts_sent(&fleet.request(i % INGRESSES, SAFE, 1).1)).sum();
    assert!(granted <= 28, "{granted} of a burst of 20");
}

#[test]
fn empty_stale_and_repeated_lists_leave_requests_answered_and_the_capacity_unchanged() {
    let admitted = |fleet: &mut Fleet, ingress: u16| {
        let requests = (0..200).map(|i| fleet.request(ingress, SAFE, 1000 + i).1);
        requests.take_while(|actions| attempts_sent(actions) == 1).count()
    };
    let full_list = |kind| Event::BackendList(kind, (0..20).map(backend_entry).collect());
    let mut fleet = Fleet::new(Plan { rate: 0.1, burst: 1e6, ..Plan::default() });
    for ingress in 0..INGRESSES {
        fleet.handle(ingress, full_list(ListKind::Full));
        fleet.handle(ingress, full_list(ListKind::Changes));
    }
    let (first, again) = (admitted(&mut fleet, 0), {
        fleet.handle(1, full_list(ListKind::Full));
        admitted(&mut fleet, 1)
    });
    assert!(first > 0 && first.abs_diff(again) <= 3, "{first} and {again} after a repeated list");
    for ingress in 0..INGRESSES {
        fleet.handle(ingress, Event::BackendList(ListKind::Full, Vec::new()));
        let (_, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
        assert!(is_decided(&actions) && attempts_sent(&actions) == 0, "{actions:?} without any backend");
        fleet.handle(ingress, Event::BackendList(ListKind::Failed, Vec::new()));
        // Backends that return may have restarted, so they count as cold; the request is still answered at
        // once.
        fleet.handle(ingress, full_list(ListKind::Full));
        assert!(is_decided(&fleet.request(ingress, SAFE, u64::from(ingress)).1));
    }
}

/// Submits `rounds` requests at each ingress of a fleet before 60 backends that serve all. Returns how many
/// each ingress sent to each backend.
fn sent_by_ingress(rounds: u64) -> Vec<BTreeMap<BackendId, usize>> {
    let mut fleet = Fleet::with_backends(60, Plan { rate: 1e6, burst: 1e6, ..Plan::default() });
    let mut sent = vec![(0..60).map(|n| (BackendId(n), 0)).collect::<BTreeMap<_, _>>(); 120];
    for ingress in (0..rounds).flat_map(|_| 0..INGRESSES) {
        fleet.now += 2.0;
        let (id, actions) = fleet.request(ingress, SAFE, u64::from(ingress));
        let actions: Vec<_> = actions.into_iter().map(|(_, action)| action).collect();
        if let Some(backend) = sent_to(&actions) {
            *sent[usize::from(ingress)].get_mut(&backend).unwrap() += 1;
            fleet.handle(ingress, Event::AttemptEnded(attempt_end(id, 0, backend, Outcome::Served, 50.0)));
        }
    }
    sent
}

#[test]
fn each_of_many_ingresses_prefers_few_backends_and_all_together_load_them_evenly() {
    let sent = sent_by_ingress(60);
    let backends_used = |counts: &BTreeMap<_, _>| counts.values().filter(|n| **n > 0).count();
    let (sum, most) =
        (sent.iter().map(backends_used).sum::<usize>(), sent.iter().map(backends_used).max().unwrap());
    assert!(sum <= 18 * sent.len() && most <= 30, "{} backends on average, {most} at most", sum / sent.len());
    let loads: Vec<usize> = (0..60).map(|n| sent.iter().map(|counts| counts[&BackendId(n)]).sum()).collect();
    let (least, most) = (loads.iter().min().unwrap(), loads.iter().max().unwrap());
    assert!(3 * least >= *most, "{loads:?}");
}

#[test]
fn uses_other_backends_if_all_preferred_ones_fail() {
    let plan = Plan { rate: 1e6, burst: 1e6, ..Plan::default() };
    let mut harness = Harness::new(Settings { ingress_count: INGRESSES, ..settings(plan) }, 60);
    let mut tried = BTreeSet::new();
    for _ in 0..60 {
        let (id, actions) = harness.advance(1.0).request(1, UNSAFE, 1.0, 1);
        let Some(backend) = sent_to(&actions) else { continue };
        tried.insert(backend);
        harness.end_attempt(id, 0, backend, Outcome::ConnectFailed, 1.0);
    }
    assert!(tried.len() > 20, "{tried:?}");
}

#[test]
fn ingress_keeps_learning_whatever_latency_pressure_peers_claim() {
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
    assert!(served >= 10, "{served} of the last 100 were admitted");
}

#[test]
fn many_ingresses_do_not_overload_a_cold_backend() {
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
        for ingress in 0..INGRESSES {
            serve(&mut fleet, ingress, 1000 + round);
        }
    }
    let fresh = BackendEntry { last_start: Some(fleet.now), ..backend_entry(0) };
    for ingress in 0..INGRESSES {
        fleet.handle(ingress, Event::BackendList(ListKind::Changes, vec![fresh]));
    }
    let (mut cold, mut all) = (0, 0);
    for round in 0..4u64 {
        fleet.now += 250.0;
        for ingress in 0..INGRESSES {
            let backend = serve(&mut fleet, ingress, 2000 + round);
            cold += usize::from(backend == Some(BackendId(0)));
            all += usize::from(backend.is_some());
        }
    }
    // Each of twenty backends gets a twentieth on average; at a quarter of its capacity it can serve a
    // quarter of that.
    assert!(all > 400 && cold <= 3 * all / 20 / 4 + 3, "{cold} of {all} went to the cold backend");
}

#[test]
fn counter_calls_are_reduced_while_they_fail() {
    let plan = Plan { rate: 1.0, burst: 61.0, ..Plan::default() };
    let mut harness =
        Harness::new(Settings { counter: true, ingress_count: INGRESSES, ..settings(plan) }, 10);
    let mut customer = 0;
    let mut calls = |answer: CounterAnswer| {
        let mut calls = 0;
        for _ in 0..100 {
            customer += 1;
            harness.advance(20.0);
            let (id, mut actions) = harness.request(customer, SAFE, 1.0, INGRESSES);
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
    let after_failures = calls(CounterAnswer::Unknown);
    assert!(after_failures < 20, "{after_failures} of 100 tries still called a counter that does not answer");
    for _ in 0..12 {
        calls(CounterAnswer::Total(1.0));
    }
    assert!(calls(CounterAnswer::Total(1.0)) > 50, "it is called again when it answers");
}

#[test]
fn attempts_of_a_customer_with_in_flight_limit_time_out_at_the_aim_while_answers_get_lost() {
    for (max_in_flight, timeout) in [(5.0, Some(AIM)), (0.0, None)] {
        let mut harness = Harness::new(settings(Plan { max_in_flight, ..plan() }), 10);
        let mut timeouts = Vec::new();
        for customer in 1..3 {
            let (id, actions) = harness.request(customer, UNSAFE, 1.0, 1);
            let timeout_of =
                |a: &Action| if let Action::Send { timeout, .. } = a { Some(*timeout) } else { None };
            timeouts.extend(actions.iter().find_map(timeout_of));
            harness.advance(2000.0).end_attempt(id, 0, sent_to(&actions).unwrap(), Outcome::TimedOut, 2000.0);
        }
        assert_eq!(timeouts, [None, timeout]);
    }
}

#[test]
fn slices_of_many_ingresses_without_messages_add_up_to_one_burst() {
    let granted = (0..INGRESSES).filter(|ingress| {
        let settings = Settings {
            ingress_count: INGRESSES,
            ingress: IngressId(*ingress),
            ..settings(Plan { rate: 0.001, ..plan() })
        };
        let mut limiter = Limiter::new(settings, u64::from(*ingress)).unwrap();
        limiter.handle(1e6, Event::Start, &mut Vec::new());
        limiter.handle(
            1e6,
            Event::BackendList(ListKind::Cached, (0..10).map(backend_entry).collect()),
            &mut Vec::new(),
        );
        let (id, class, plan, customer) = (RequestId(1), ClassId(SAFE), PlanId(0), CustomerId(1));
        let (time_left, units, spread, first_ingress, is_retry) =
            (2000.0, 1.0, INGRESSES, IngressId(0), false);
        let mut actions = Vec::new();
        let request = Request {
            id,
            class,
            plan,
            customer,
            time_left,
            units,
            spread,
            first_ingress,
            is_retry,
            identity: None,
        };
        limiter.handle(1e6, Event::Request(request), &mut actions);
        sent_to(&actions).is_some()
    });
    let granted = granted.count();
    assert!((8..=35).contains(&granted), "{granted} of a burst of 20");
}

#[test]
fn dead_quota_owner_is_replaced_until_it_is_live_again() {
    let settings = Settings {
        ingress_count: INGRESSES,
        peers: true,
        peer_messages_per_second: 40.0,
        ..settings(plan())
    };
    let mut harness = Harness::new(settings, 20);
    let owner_of = |harness: &mut Harness, customer| {
        let (_, actions) = harness.request(customer, SAFE, 1.0, INGRESSES);
        actions.iter().find_map(|action| match action {
            Action::SendToPeer(to, _) => Some(*to),
            _ => None,
        })
    };
    let customer = (1..50).find(|c| owner_of(&mut harness, *c).is_some()).unwrap();
    let owner = owner_of(&mut harness, customer).unwrap();
    let mut live = vec![true; usize::from(INGRESSES)];
    live[usize::from(owner.0)] = false;
    harness.limiter.set_live_ingresses(Some(live));
    let next = owner_of(&mut harness, customer);
    assert!(next.is_some_and(|next| next != owner), "{next:?} in place of {owner:?}");
    harness.limiter.set_live_ingresses(None);
    assert_eq!(owner_of(&mut harness, customer), Some(owner));
}
