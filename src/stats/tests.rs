use super::*;

#[test]
fn shows_every_class_from_zero_and_counts_each_request_once() {
    let stats = Stats::new(["a", "b"]);
    let [one, two, three, left] = [0, 1, 1, 0].map(|class| stats.request_started(ClassId(class)));
    stats.attempt_written();
    one.ended(RequestOutcome::Completed);
    two.ended(RequestOutcome::Rejected);
    drop(left);
    let text = stats.text(BackendCounts { listed: 5, unavailable: 2 });
    assert_eq!(
        text,
        "svc_completed_total{lane=\"a\"} 1\nsvc_completed_total{lane=\"b\"} 0\n\
         svc_rejected_total{lane=\"a\"} 0\nsvc_rejected_total{lane=\"b\"} 1\n\
         svc_failed_total{lane=\"a\"} 0\nsvc_failed_total{lane=\"b\"} 0\n\
         svc_upstream_requests_total 1\nsvc_pending 1\nsvc_members 5\nsvc_members_unavailable 2\n"
    );
    three.ended(RequestOutcome::Failed);
    assert!(stats.text(BackendCounts::default()).contains("svc_pending 0\n"));
}
