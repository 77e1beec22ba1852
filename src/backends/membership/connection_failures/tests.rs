use super::*;

#[test]
fn consecutive_connect_failures_make_a_suspect_and_memory_is_bounded() {
    let mut failures = ConnectionFailures::default();
    let (one, down) = (BackendId(1), Outcome::ConnectFailed);
    for outcome in [down, down, Outcome::Served, down, down, Outcome::Error, down, Outcome::TimedOut, down] {
        assert!(!failures.record(one, outcome, 3));
    }
    assert!(failures.record(one, down, 3));
    assert_eq!(failures.take_suspects(), BTreeSet::from([one]));
    assert!(failures.take_suspects().is_empty());
    assert!(
        !failures.record(one, down, 3) && !failures.record(one, down, 3) && failures.record(one, down, 3)
    );
    failures.record(one, Outcome::Rejected, 3);
    assert!(failures.take_suspects().is_empty() && failures.consecutive.is_empty(), "it was reached");
    assert!((0..2 * MAX_INSTANCES as u64).all(|n| !failures.record(BackendId(n), down, 3)));
    assert_eq!(failures.consecutive.len(), MAX_INSTANCES);
}
