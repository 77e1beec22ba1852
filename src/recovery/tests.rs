use super::*;

#[test]
fn each_stage_ends_only_with_its_own_event() {
    let mut recovery = Recovery::new(true, 1000.0);
    assert_eq!((recovery.stage(), recovery.next_tick()), (Stage::Begun, None));
    assert_eq!(
        recovery.record(1100.0, RecoveryEvent::FleetView(true)),
        None,
        "a fleet view without a list does not change the stage"
    );
    assert_eq!(
        recovery.record(1200.0, RecoveryEvent::ListLoaded),
        Some((Stage::Begun, Stage::Listening, 200.0))
    );
    assert_eq!(
        recovery.record(2200.0, RecoveryEvent::Serving),
        Some((Stage::Listening, Stage::Partial, 1000.0))
    );
    assert_eq!(recovery.tick(9000.0), None, "not whole before discovery has sent a list");
    assert_eq!(recovery.missing(9000.0).collect::<Vec<_>>(), ["list"]);
    assert_eq!(
        recovery.record(9100.0, RecoveryEvent::ListReceived),
        Some((Stage::Partial, Stage::Whole, 6900.0))
    );
    // A process that was suspended loses its view of the fleet.
    assert_eq!(
        recovery.record(9500.0, RecoveryEvent::FleetView(false)),
        Some((Stage::Whole, Stage::Partial, 400.0))
    );
    assert_eq!(
        recovery.record(9900.0, RecoveryEvent::FleetView(true)),
        Some((Stage::Partial, Stage::Whole, 400.0))
    );
    let report = recovery.report(10_000.0);
    for line in ["stage whole 100", "spent partial 7300", "spent whole 500", "whole_after 8100"] {
        assert!(report.contains(line), "{line}: {report}");
    }
}

#[test]
fn is_whole_only_after_the_quota_sync_period() {
    let mut recovery = Recovery::new(false, 0.0);
    recovery.record(10.0, RecoveryEvent::ListReceived);
    recovery.record(20.0, RecoveryEvent::Serving);
    let due = recovery.next_tick().unwrap();
    assert_eq!(recovery.tick(due - 1.0), None);
    assert_eq!(recovery.tick(due), Some((Stage::Partial, Stage::Whole, QUOTA_SYNC_PERIOD)));
    assert_eq!(recovery.next_tick(), None);
    assert_eq!(recovery.record(due + 5.0, RecoveryEvent::FleetView(false)), None, "no fleet is configured");
}
