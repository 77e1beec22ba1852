use super::super::observation;
use super::*;
use BackendState::{Draining, Gone, Ready};
use quickcheck::{Gen, QuickCheck};

fn instances(n: u64, state: BackendState) -> Vec<Observation> {
    (0..n).map(|i| observation(i, state, 1)).collect()
}

fn states(changes: &[Observation]) -> Vec<(u64, BackendState)> {
    changes.iter().map(|change| (change.id().0, change.entry.entry.state)).collect()
}

fn changes(update: HealthUpdate) -> Vec<(u64, BackendState)> {
    let (HealthUpdate::Complete(entries) | HealthUpdate::NeedsConfirmation(entries)) = update;
    states(&entries)
}

#[test]
fn flaps_delay_returns_with_growing_hold_down_but_never_a_drain() {
    // The instance flaps by its checks, or by its registration.
    for by_checks in [true, false] {
        let mut members = Members::new(MembershipPolicy::default());
        let other = || observation(7, Ready, 7);
        members.apply_health(0.0, vec![other(), observation(0, Ready, 1)]);
        let mut returned_at = Vec::new();
        let mut reported = Ready;
        for second in 0..20 {
            let now = 1000.0 * f64::from(second);
            let down = second % 2 == 0;
            let mut answer = vec![other()];
            if !down || by_checks {
                answer.push(observation(0, if down { Draining } else { Ready }, 1));
            }
            let mut changed = changes(members.apply_health(now, answer));
            changed.extend(states(&members.end_hold_downs(now)));
            for (_, state) in changed.iter().filter(|(id, _)| *id == 0) {
                reported = *state;
                returned_at.extend((reported == Ready).then_some(now));
            }
            assert!(!down || reported != Ready, "a drain is reported at once");
        }
        // The first return is reported at once. Later hold-downs are longer than it stays ready, so it does
        // not return.
        assert!(returned_at.len() <= 2 && returned_at[0] == 1000.0, "{returned_at:?}");
        // It stays ready: it returns when the hold-down ends.
        assert!(changes(members.apply_health(20_000.0, vec![other(), observation(0, Ready, 1)])).is_empty());
        let at = members.next_hold_down_end().unwrap();
        assert!(at > 20_000.0 && at <= 52_000.0 && members.end_hold_downs(at - 1.0).is_empty());
        assert_eq!(members.end_hold_downs(at).len(), 1);
        // A minute later its flaps are forgotten.
        members.apply_health(at + 61_000.0, vec![other(), observation(0, Draining, 1)]);
        let answer = members.apply_health(at + 61_500.0, vec![other(), observation(0, Ready, 1)]);
        assert_eq!(changes(answer), [(0, Ready)]);
    }
}

#[test]
fn mass_withdrawal_needs_the_catalogue_but_critical_checks_do_not() {
    let mut members = Members::new(MembershipPolicy::default());
    members.apply_health(0.0, instances(9, Ready));
    // Two of nine may be withdrawn without the catalogue.
    assert_eq!(changes(members.apply_health(1.0, instances(7, Ready))), [(7, Gone), (8, Gone)]);
    assert!(matches!(
        members.apply_health(2.0, instances(2, Ready)),
        HealthUpdate::NeedsConfirmation(changes) if changes.is_empty()
    ));
    // The catalogue still has four of the five missing instances.
    let catalogued = (0..6).map(BackendId).collect();
    assert_eq!(states(&members.apply_catalogue(2.0, 1, &catalogued)), [(6, Gone)]);
    assert_eq!(members.len(), 6);
    // The same answer again needs another confirmation, for which an answer to an earlier round does not
    // count. An answer that lists the instances again changes nothing.
    assert_eq!(members.unconfirmed_round(), None);
    assert!(matches!(members.apply_health(3.0, instances(2, Ready)), HealthUpdate::NeedsConfirmation(_)));
    assert!(
        members.apply_catalogue(3.0, 1, &catalogued).is_empty() && members.unconfirmed_round() == Some(2)
    );
    assert!(changes(members.apply_health(4.0, instances(6, Ready))).is_empty());
    assert!(members.apply_catalogue(4.0, 2, &BTreeSet::new()).is_empty(), "no longer missing");
    assert_eq!(
        changes(members.apply_health(5.0, instances(6, Draining))).len(),
        6,
        "a partition, reported as critical checks"
    );
}

#[test]
fn changed_query_withdraws_many_without_the_catalogue_but_not_all() {
    let mut members = Members::new(MembershipPolicy::default());
    members.apply_health(0.0, instances(9, Ready));
    members.set_query_changed();
    assert_eq!(changes(members.apply_health(1.0, instances(2, Ready))).len(), 7);
    members.set_query_changed();
    assert!(
        matches!(members.apply_health(2.0, vec![]), HealthUpdate::NeedsConfirmation(_)),
        "a mistake in the filter"
    );
    members.apply_health(3.0, instances(9, Ready));
    members.apply_health(3.5, instances(9, Ready));
    assert!(
        matches!(members.apply_health(4.0, instances(2, Ready)), HealthUpdate::NeedsConfirmation(_)),
        "only one answer is accepted without the catalogue"
    );
}

#[test]
fn reports_new_addresses_and_starts_and_ignores_duplicate_ids() {
    let mut members = Members::new(MembershipPolicy::default());
    let duplicates = vec![observation(1, Ready, 1), observation(1, Draining, 2)];
    assert_eq!(changes(members.apply_health(0.0, duplicates)), [(1, Ready)]);
    let HealthUpdate::Complete(moved) = members.apply_health(1.0, vec![observation(1, Ready, 2)]) else {
        panic!()
    };
    assert_eq!(moved[0].entry.address, Some(([127, 0, 0, 1], 2).into()));
    let mut restarted = observation(1, Ready, 2);
    restarted.entry.entry.last_start = Some(5.0);
    let HealthUpdate::Complete(cold) = members.apply_health(2.0, vec![restarted]) else { panic!() };
    assert_eq!(cold[0].entry.entry.last_start, Some(5.0), "the decision module treats it as cold");
    assert_eq!(changes(members.apply_health(3.0, vec![observation(2, Ready, 2)])), [(2, Ready), (1, Gone)]);
}

#[test]
fn connection_failures_count_only_without_a_current_answer_and_for_a_minority() {
    let mut members = Members::new(MembershipPolicy::default());
    let summary = |change: Option<Observation>| change.map(|c| (c.id().0, c.entry.entry.state, c.reason));
    members.apply_health(0.0, instances(6, Ready));
    assert_eq!(members.mark_unreachable(1.0, BackendId(0)), None, "Consul says that it is ready");
    members.set_query_failed();
    assert_eq!(
        summary(members.mark_unreachable(2.0, BackendId(0))),
        Some((0, Draining, Reason::Unreachable))
    );
    assert!(members.mark_unreachable(2.0, BackendId(1)).is_some());
    assert_eq!(
        members.mark_unreachable(2.0, BackendId(2)),
        None,
        "more than a third: this ingress may be cut off"
    );
    assert_eq!(members.next_hold_down_end(), Some(1002.0));
    assert_eq!(states(&members.end_hold_downs(1002.0)), [(0, Ready), (1, Ready)], "back after the hold-down");
    members.mark_unreachable(1003.0, BackendId(0));
    assert_eq!(members.next_hold_down_end(), Some(3003.0), "the hold-down doubles");
    assert_eq!(
        changes(members.apply_health(1100.0, instances(6, Ready))),
        [(0, Ready)],
        "an answer ends the hold-down"
    );
    // Instances that only the catalogue lists.
    assert!(matches!(members.apply_health(1200.0, instances(1, Ready)), HealthUpdate::NeedsConfirmation(_)));
    members.apply_catalogue(1200.0, 1, &(0..6).map(BackendId).collect());
    assert_eq!(members.mark_unreachable(1300.0, BackendId(0)), None);
    assert!(members.mark_unreachable(1300.0, BackendId(5)).is_some());
    // The last ready instance stays ready.
    let mut single = Members::new(MembershipPolicy::default());
    single.apply_health(0.0, instances(1, Ready));
    single.set_query_failed();
    assert_eq!(single.mark_unreachable(1.0, BackendId(0)), None);
}

#[test]
fn remembered_instances_are_bounded() {
    let mut members = Members::new(MembershipPolicy::default());
    for round in 0..50u64 {
        let answer = (0..300).map(|i| observation(round * 300 + i, Ready, 1)).collect();
        members.apply_health(2000.0 * round as f64, answer);
        members.apply_catalogue(2000.0 * round as f64, members.confirm_round, &BTreeSet::new());
    }
    assert_eq!(members.len(), 300);
    assert!(members.instances.len() <= 300 * 32, "{}: a minute's worth", members.instances.len());
}

/// Whatever answers come in whatever order: an instance that the last answer lists as not ready is never
/// reported as ready.
#[test]
fn never_reports_ready_what_the_last_answer_says_is_not() {
    fn holds(answers: Vec<(Vec<(u8, bool)>, u8)>) -> bool {
        let (mut members, mut now) = (Members::new(MembershipPolicy::default()), 0.0);
        let mut reported: BTreeMap<u64, BackendState> = BTreeMap::new();
        answers.into_iter().all(|(answer, then)| {
            now += 700.0;
            let state = |ready: bool| if ready { Ready } else { Draining };
            let entries: Vec<_> =
                answer.iter().map(|(n, ready)| observation(u64::from(n % 12), state(*ready), 1)).collect();
            let mut answered = BTreeMap::new();
            for entry in &entries {
                answered.entry(entry.id().0).or_insert(entry.entry.entry.state);
            }
            let mut changed = changes(members.apply_health(now, entries));
            match then % 4 {
                0 => changed.extend(states(&members.apply_catalogue(now, u64::from(then), &BTreeSet::new()))),
                1 => members.set_query_failed(),
                _ => {}
            }
            let suspect = BackendId(u64::from(then % 12));
            changed.extend(
                members
                    .mark_unreachable(now, suspect)
                    .iter()
                    .flat_map(|change| states(std::slice::from_ref(change))),
            );
            changed.extend(states(&members.end_hold_downs(now)));
            reported.extend(changed);
            answered.iter().all(|(id, state)| *state == Ready || reported.get(id) != Some(&Ready))
        })
    }
    let mut check = QuickCheck::new().rng(Gen::from_size_and_seed(60, 11)).tests(300);
    check.quickcheck(holds as fn(Vec<(Vec<(u8, bool)>, u8)>) -> bool);
}
