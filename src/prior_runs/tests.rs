use super::*;
use crate::interface::{BackendId, BackendState, CellId, KindId, ZoneId};

fn backend(cell: u16) -> BackendEntry {
    BackendEntry {
        backend: BackendId(u64::from(cell)),
        state: BackendState::Ready,
        weight: 1.0,
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(cell),
        last_start: None,
    }
}

#[test]
fn the_first_attempt_that_may_have_run_is_remembered() {
    let mut runs = PriorRuns::default();
    let [first, second] = [0, 1].map(|index| (RequestId(5), AttemptIndex(index)));
    runs.record(7, first, backend(1), 0.0);
    runs.record(7, second, backend(2), 10.0);
    assert_eq!(runs.get(7).unwrap().backend.cell, CellId(1));
    runs.never_ran(7, second);
    assert!(runs.get(7).is_some());
    runs.never_ran(7, first);
    runs.record(7, second, backend(2), 10.0);
    assert_eq!(runs.get(7).unwrap().backend.cell, CellId(2));
}

#[test]
fn what_is_remembered_is_bounded_in_number_and_time() {
    let mut runs = PriorRuns::default();
    for identity in 0..3 * MAX_RUNS as u64 {
        runs.record(identity, (RequestId(identity), AttemptIndex(0)), backend(1), identity as f64 / 1000.0);
    }
    assert_eq!((runs.by_identity.len(), runs.oldest_first.len()), (MAX_RUNS, MAX_RUNS));
    runs.record(u64::MAX, (RequestId(u64::MAX), AttemptIndex(0)), backend(1), 2.0 * RETENTION);
    assert_eq!((runs.by_identity.len(), runs.oldest_first.len()), (1, 1));
}
