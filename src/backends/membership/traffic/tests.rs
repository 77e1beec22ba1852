use super::*;

#[test]
fn only_a_row_of_connections_that_never_came_up_makes_a_suspect_and_little_is_kept() {
    let mut traffic = Traffic::default();
    let (one, down) = (BackendId(1), Outcome::ConnectFailed);
    for outcome in [down, down, Outcome::Served, down, down, Outcome::Error, down, Outcome::TimedOut, down] {
        assert!(!traffic.ended(one, outcome, 3));
    }
    assert!(traffic.ended(one, down, 3));
    assert_eq!(traffic.suspects(), BTreeSet::from([one]));
    assert!(traffic.suspects().is_empty());
    assert!(!traffic.ended(one, down, 3) && !traffic.ended(one, down, 3) && traffic.ended(one, down, 3));
    traffic.ended(one, Outcome::Rejected, 3);
    assert!(traffic.suspects().is_empty() && traffic.failed.is_empty(), "it was reached");
    assert!((0..2 * MAX_INSTANCES as u64).all(|n| !traffic.ended(BackendId(n), down, 3)));
    assert_eq!(traffic.failed.len(), MAX_INSTANCES);
}
