use super::*;

#[test]
fn shows_every_class_from_zero_and_counts_each_request_once() {
    let stats = Stats::new(["a", "b"]);
    let [one, two, three, left] = [0, 1, 1, 0].map(|class| stats.request_started(ClassId(class)));
    stats.attempt_written();
    one.ended(RequestOutcome::Completed);
    two.ended(RequestOutcome::Rejected);
    drop(left);
    let text = stats.text(BackendCounts { listed: 5, unavailable: 2 }, 0.0);
    assert_eq!(
        text,
        "svc_completed_total{lane=\"a\"} 1\nsvc_completed_total{lane=\"b\"} 0\n\
         svc_rejected_total{lane=\"a\"} 0\nsvc_rejected_total{lane=\"b\"} 1\n\
         svc_failed_total{lane=\"a\"} 0\nsvc_failed_total{lane=\"b\"} 0\n\
         svc_upstream_requests_total 1\nsvc_pending 1\nsvc_members 5\nsvc_members_unavailable 2\n"
    );
    three.ended(RequestOutcome::Failed);
    assert!(stats.text(BackendCounts::default(), 0.0).contains("svc_pending 0\n"));
}

#[test]
fn reasons_and_memory_are_shown_once_they_have_occurred() {
    let stats = Stats::new([]);
    let before = stats.text(BackendCounts::default(), 0.0);
    assert!(!before.contains("reason") && !before.contains("svc_memory"), "{before}");
    stats.connection_closed(CloseReason::TooMuchAhead);
    stats.refused(RefusalReason::NoMemory);
    stats.attempt_ended(Outcome::NotSent);
    stats.retried_after(Outcome::Served);
    stats.set_memory(MemoryOwner::Backends, 70);
    stats.set_memory(MemoryOwner::Backends, 0);
    let after = stats.text(BackendCounts::default(), 0.0);
    assert_eq!(
        after.strip_prefix(&before).unwrap(),
        "svc_client_closes_total{reason=\"too_much_ahead\"} 1\nsvc_refusals_total{reason=\"no_memory\"} 1\n\
         svc_attempt_ends_total{outcome=\"not_sent\"} 1\nsvc_retries_total{after=\"served\"} 1\n\
         svc_memory_bytes{owner=\"backends\"} 0\nsvc_memory_peak_bytes{owner=\"backends\"} 70\n"
    );
}
