use super::*;
use crate::backends::entries::{ServiceEntry, backend_id};
use crate::interface::{BackendEntry, CellId, KindId, ZoneId};

const HOUR: Millis = 3_600_000.0;
/// The time on this process's clock.
const NOW: Millis = 1e12;

/// Converts a list of one backend that started at `start` by the wall clock, and returns its start on this process's
/// clock.
fn convert(times: &mut StartTimes, name: &str, start: Millis, wall_clock: Millis) -> Millis {
    let entry = BackendEntry {
        backend: backend_id(name),
        state: BackendState::Ready,
        weight: 1.0,
        zone: ZoneId(0),
        kind: KindId(0),
        cell: CellId(0),
        last_start: Some(start),
    };
    let entries = vec![ServiceEntry { entry, address: None }];
    let mut list = BackendList { generation: 1, complete: false, entries };
    times.convert(&mut list, NOW, wall_clock);
    list.entries[0].entry.last_start.unwrap()
}

#[test]
fn a_start_is_unchanged_while_the_clocks_agree() {
    let mut times = StartTimes::default();
    assert_eq!(convert(&mut times, "a", NOW - 700.0, NOW + 3.0), NOW - 700.0);
    assert_eq!(convert(&mut times, "a", NOW - 700.0, NOW - 40.0), NOW - 700.0);
}

#[test]
fn a_start_by_a_stepped_wall_clock_is_a_span_of_real_time_ago() {
    for step in [HOUR, -HOUR, 7000.0, -7000.0] {
        let mut times = StartTimes::default();
        assert_eq!(convert(&mut times, "old", NOW - 900_000.0, NOW), NOW - 900_000.0);
        let start = convert(&mut times, "new", NOW + step - 800.0, NOW + step);
        assert!((NOW - 800.0..=NOW).contains(&start), "{step}: {}", NOW - start);
        assert_eq!(convert(&mut times, "old", NOW - 900_000.0, NOW + step), NOW - 900_000.0);
    }
}

#[test]
fn a_start_before_the_step_that_is_listed_after_it_is_not_taken_for_long_ago() {
    let mut times = StartTimes::default();
    convert(&mut times, "other", NOW - 900_000.0, NOW);
    assert_eq!(convert(&mut times, "new", NOW - 300.0, NOW + HOUR), NOW - 300.0);
}

#[test]
fn steps_and_backends_that_are_remembered_are_bounded() {
    let mut times = StartTimes::default();
    for step in 0..100 {
        convert(&mut times, "a", NOW, NOW + f64::from(step) * HOUR);
    }
    assert_eq!((times.differences.len(), times.known.len()), (MAX_STEPS, 1));
}
