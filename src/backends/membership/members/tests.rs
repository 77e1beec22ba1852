use super::super::seen;
use super::*;
use BackendState::{Draining, Gone, Ready};
use quickcheck::{Gen, QuickCheck};

fn all(n: u64, state: BackendState) -> Vec<Observation> {
    (0..n).map(|i| seen(i, state, 1)).collect()
}

fn states(told: &[Observation]) -> Vec<(u64, BackendState)> {
    told.iter().map(|s| (s.id().0, s.entry.entry.state)).collect()
}

fn told(step: Step) -> Vec<(u64, BackendState)> {
    let (Step::Report(entries) | Step::Confirm(entries)) = step;
    states(&entries)
}

#[test]
fn a_flap_delays_returns_more_and_more_and_no_drain_ever() {
    // By its checks, and by its registration.
    for by_checks in [true, false] {
        let mut members = Members::new(MembershipPolicy::default());
        let other = || seen(7, Ready, 7);
        members.health(0.0, vec![other(), seen(0, Ready, 1)]);
        let mut returns = Vec::new();
        let mut believed = Ready;
        for second in 0..20 {
            let now = 1000.0 * f64::from(second);
            let down = second % 2 == 0;
            let mut answer = vec![other()];
            if !down || by_checks {
                answer.push(seen(0, if down { Draining } else { Ready }, 1));
            }
            let mut news = told(members.health(now, answer));
            news.extend(states(&members.due(now)));
            for (_, state) in news.iter().filter(|(id, _)| *id == 0) {
                believed = *state;
                returns.extend((believed == Ready).then_some(now));
            }
            assert!(!down || believed != Ready, "told at once");
        }
        // The first is told at once, then the hold is as long as it is well, and from then on it never is.
        assert!(returns.len() <= 2 && returns[0] == 1000.0, "{returns:?}");
        // Well for long: it comes back once the hold is over.
        assert!(told(members.health(20_000.0, vec![other(), seen(0, Ready, 1)])).is_empty());
        let at = members.next_due().unwrap();
        assert!(at > 20_000.0 && at <= 52_000.0 && members.due(at - 1.0).is_empty());
        assert_eq!(members.due(at).len(), 1);
        // A minute later it is as one that never flapped.
        members.health(at + 61_000.0, vec![other(), seen(0, Draining, 1)]);
        let back = members.health(at + 61_500.0, vec![other(), seen(0, Ready, 1)]);
        assert_eq!(told(back), [(0, Ready)]);
    }
}

#[test]
fn a_mass_withdrawal_is_the_catalogues_to_say_and_an_explicit_critical_is_obeyed() {
    let mut members = Members::new(MembershipPolicy::default());
    members.health(0.0, all(9, Ready));
    // Two of nine may go by health alone.
    assert_eq!(told(members.health(1.0, all(7, Ready))), [(7, Gone), (8, Gone)]);
    assert!(matches!(members.health(2.0, all(2, Ready)), Step::Confirm(told) if told.is_empty()));
    // Health lost four that the catalogue still holds; one is gone.
    let held = (0..6).map(BackendId).collect();
    assert_eq!(states(&members.catalogue(2.0, 1, &held)), [(6, Gone)]);
    assert_eq!(members.len(), 6);
    // The same answer again asks again, an answer from before does not do, and health that has them back changes nothing.
    assert_eq!(members.unconfirmed_round(), None);
    assert!(matches!(members.health(3.0, all(2, Ready)), Step::Confirm(_)));
    assert!(members.catalogue(3.0, 1, &held).is_empty() && members.unconfirmed_round() == Some(2));
    assert!(told(members.health(4.0, all(6, Ready))).is_empty());
    assert!(members.catalogue(4.0, 2, &BTreeSet::new()).is_empty(), "what was missing is not");
    assert_eq!(told(members.health(5.0, all(6, Draining))).len(), 6, "a partition, by Consul's own word");
}

#[test]
fn what_the_operator_no_longer_asks_for_goes_without_the_catalogue_unless_all_would() {
    let mut members = Members::new(MembershipPolicy::default());
    members.health(0.0, all(9, Ready));
    members.query_has_changed();
    assert_eq!(told(members.health(1.0, all(2, Ready))).len(), 7);
    members.query_has_changed();
    assert!(matches!(members.health(2.0, vec![]), Step::Confirm(_)), "a filter with a slip in it");
    members.health(3.0, all(9, Ready));
    members.health(3.5, all(9, Ready));
    assert!(matches!(members.health(4.0, all(2, Ready)), Step::Confirm(_)), "it was believed once");
}

#[test]
fn new_addresses_new_starts_and_twice_the_same_id() {
    let mut members = Members::new(MembershipPolicy::default());
    let twice = vec![seen(1, Ready, 1), seen(1, Draining, 2)];
    assert_eq!(told(members.health(0.0, twice)), [(1, Ready)]);
    let Step::Report(moved) = members.health(1.0, vec![seen(1, Ready, 2)]) else { panic!() };
    assert_eq!(moved[0].entry.address, Some(([127, 0, 0, 1], 2).into()));
    let mut restarted = seen(1, Ready, 2);
    restarted.entry.entry.last_start = Some(5.0);
    let Step::Report(cold) = members.health(2.0, vec![restarted]) else { panic!() };
    assert_eq!(cold[0].entry.entry.last_start, Some(5.0), "the decisions spare it as cold");
    assert_eq!(told(members.health(3.0, vec![seen(2, Ready, 2)])), [(2, Ready), (1, Gone)]);
}

#[test]
fn traffic_counts_where_nobody_vouches_and_never_against_a_good_word_or_most() {
    let mut members = Members::new(MembershipPolicy::default());
    let out = |told: Option<Observation>| told.map(|s| (s.id().0, s.entry.entry.state, s.reason));
    members.health(0.0, all(6, Ready));
    assert_eq!(members.unreachable(1.0, BackendId(0)), None, "Consul says that it is well");
    members.query_has_failed();
    assert_eq!(out(members.unreachable(2.0, BackendId(0))), Some((0, Draining, Reason::Unreachable)));
    assert!(members.unreachable(2.0, BackendId(1)).is_some());
    assert_eq!(members.unreachable(2.0, BackendId(2)), None, "more than a third: this side may be cut off");
    assert_eq!(members.next_due(), Some(1002.0));
    assert_eq!(states(&members.due(1002.0)), [(0, Ready), (1, Ready)], "it is tried again");
    members.unreachable(1003.0, BackendId(0));
    assert_eq!(members.next_due(), Some(3003.0), "and then later");
    assert_eq!(told(members.health(1100.0, all(6, Ready))), [(0, Ready)], "a good word stands at once");
    // What health lacks and only the catalogue holds.
    assert!(matches!(members.health(1200.0, all(1, Ready)), Step::Confirm(_)));
    members.catalogue(1200.0, 1, &(0..6).map(BackendId).collect());
    assert_eq!(members.unreachable(1300.0, BackendId(0)), None);
    assert!(members.unreachable(1300.0, BackendId(5)).is_some());
    // The last one stays, whatever it does.
    let mut one = Members::new(MembershipPolicy::default());
    one.health(0.0, all(1, Ready));
    one.query_has_failed();
    assert_eq!(one.unreachable(1.0, BackendId(0)), None);
}

#[test]
fn what_is_remembered_is_bounded() {
    let mut members = Members::new(MembershipPolicy::default());
    for round in 0..50u64 {
        let answer = (0..300).map(|i| seen(round * 300 + i, Ready, 1)).collect();
        members.health(2000.0 * round as f64, answer);
        members.catalogue(2000.0 * round as f64, members.confirm_round, &BTreeSet::new());
    }
    assert_eq!(members.len(), 300);
    assert!(members.instances.len() <= 300 * 32, "{}: a minute's worth", members.instances.len());
}

/// Whatever is answered, in whatever order: nobody who was said to be critical, or whose absence was believed, is
/// told as ready.
#[test]
fn nothing_is_ready_that_the_last_answer_says_is_not() {
    fn holds(answers: Vec<(Vec<(u8, bool)>, u8)>) -> bool {
        let (mut members, mut now) = (Members::new(MembershipPolicy::default()), 0.0);
        let mut believed: BTreeMap<u64, BackendState> = BTreeMap::new();
        answers.into_iter().all(|(answer, then)| {
            now += 700.0;
            let state = |well: bool| if well { Ready } else { Draining };
            let entries: Vec<_> =
                answer.iter().map(|(n, well)| seen(u64::from(n % 12), state(*well), 1)).collect();
            let mut said = BTreeMap::new();
            for e in &entries {
                said.entry(e.id().0).or_insert(e.entry.entry.state);
            }
            let mut news = told(members.health(now, entries));
            match then % 4 {
                0 => news.extend(states(&members.catalogue(now, u64::from(then), &BTreeSet::new()))),
                1 => members.query_has_failed(),
                _ => {}
            }
            let suspect = BackendId(u64::from(then % 12));
            news.extend(
                members.unreachable(now, suspect).iter().flat_map(|s| states(std::slice::from_ref(s))),
            );
            news.extend(states(&members.due(now)));
            believed.extend(news);
            said.iter().all(|(id, state)| *state == Ready || believed.get(id) != Some(&Ready))
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(300);
    check.quickcheck(holds as fn(Vec<(Vec<(u8, bool)>, u8)>) -> bool);
}
