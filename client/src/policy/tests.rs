use super::*;

const POLICY: RetryPolicy = RetryPolicy {
    max_tries: 4,
    budget_ratio: 0.1,
    budget_capacity: 10.0,
    initial_backoff: 50.0,
    max_backoff: 1000.0,
    retry_after_jitter: 0.5,
    min_time_left: 20.0,
};

/// A request whose first try was sent at 0 ms and whose deadline is at 2000 ms.
fn request_in_first_try(retry_safety: RetrySafety) -> (RetryState, RetryBudget) {
    let mut budget = RetryBudget::new(&POLICY);
    let mut request = RetryState::new(retry_safety, 2000.0);
    request.try_sent(0.0, &POLICY, &mut budget);
    (request, budget)
}

/// What follows when the first try ends at `now` with `outcome`.
fn decision(retry_safety: RetrySafety, now: Millis, outcome: TryOutcome) -> RetryDecision {
    let (mut request, mut budget) = request_in_first_try(retry_safety);
    request.try_ended(now, outcome, &POLICY, &mut budget, &mut || 0.5)
}

const KEYED: RetrySafety = RetrySafety::Keyed { window: 500.0 };

#[test]
fn retries_failures_only_as_the_retry_safety_allows() {
    for outcome in [TryOutcome::Failed, TryOutcome::ConnectionLost, TryOutcome::TimedOut] {
        assert_eq!(decision(RetrySafety::Safe, 100.0, outcome), RetryDecision::RetryAt(125.0));
        assert_eq!(decision(KEYED, 100.0, outcome), RetryDecision::RetryAt(125.0));
        assert_eq!(decision(KEYED, 490.0, outcome), RetryDecision::Stop(StopReason::DedupWindow));
        assert_eq!(
            decision(RetrySafety::Unsafe, 100.0, outcome),
            RetryDecision::Stop(StopReason::UnsafeToRetry)
        );
    }
    // A try that was not sent or was rejected did not run and can be repeated in every class.
    for retry_safety in [RetrySafety::Safe, KEYED, RetrySafety::Unsafe] {
        assert_eq!(decision(retry_safety, 600.0, TryOutcome::NotSent), RetryDecision::RetryAt(625.0));
        let rejected = TryOutcome::Rejected { retry_after: Some(200.0) };
        assert_eq!(decision(retry_safety, 600.0, rejected), RetryDecision::RetryAt(850.0));
    }
}

#[test]
fn dedup_window_starts_at_the_first_try_that_may_have_run() {
    let (mut request, mut budget) = request_in_first_try(KEYED);
    let mut random = || 0.0;
    assert_eq!(
        request.try_ended(100.0, TryOutcome::TimedOut, &POLICY, &mut budget, &mut random),
        RetryDecision::RetryAt(100.0)
    );
    request.try_sent(400.0, &POLICY, &mut budget);
    // The rejection proves that the second try did not run; the first one still may have.
    let rejected = TryOutcome::Rejected { retry_after: Some(150.0) };
    assert_eq!(
        request.try_ended(410.0, rejected, &POLICY, &mut budget, &mut random),
        RetryDecision::Stop(StopReason::DedupWindow)
    );
    assert!(request.may_have_run() && request.may_send(499.0) && !request.may_send(500.0));
}

#[test]
fn stops_instead_of_waiting_past_the_deadline_and_never_shortens_retry_after() {
    assert_eq!(
        decision(RetrySafety::Safe, 1990.0, TryOutcome::NotSent),
        RetryDecision::Stop(StopReason::Deadline)
    );
    let rejected = TryOutcome::Rejected { retry_after: Some(1900.0) };
    assert_eq!(decision(RetrySafety::Safe, 200.0, rejected), RetryDecision::Stop(StopReason::Deadline));
    let (mut request, mut budget) = request_in_first_try(RetrySafety::Safe);
    let rejected = TryOutcome::Rejected { retry_after: Some(300.0) };
    let RetryDecision::RetryAt(at) = request.try_ended(100.0, rejected, &POLICY, &mut budget, &mut || 0.0)
    else {
        panic!()
    };
    assert_eq!(at, 400.0);
}

#[test]
fn budget_bounds_the_retries_of_all_requests() {
    let mut budget = RetryBudget::new(&POLICY);
    let mut retries = 0;
    for _ in 0..1000 {
        let mut request = RetryState::new(RetrySafety::Safe, 1e9);
        request.try_sent(0.0, &POLICY, &mut budget);
        while let RetryDecision::RetryAt(at) = request.try_ended(
            0.0,
            TryOutcome::Rejected { retry_after: None },
            &POLICY,
            &mut budget,
            &mut || 0.1,
        ) {
            retries += 1;
            request.try_sent(at, &POLICY, &mut budget);
        }
    }
    assert!((100..=110).contains(&retries), "a tenth of the requests and the initial budget: {retries}");
}

#[test]
fn parses_retry_after_in_whole_or_decimal_seconds_only() {
    assert_eq!(parse_retry_after(b"2"), Some(2000.0));
    assert_eq!(parse_retry_after(b" 0.25 "), Some(250.0));
    assert_eq!(parse_retry_after(b"99999999999999999999"), Some(MAX_RETRY_AFTER));
    for invalid in [&b""[..], b"-1", b"soon", b"nan", b"inf", b"1e3", b"1.2.3", b"\xff"] {
        assert_eq!(parse_retry_after(invalid), None, "{invalid:?}");
    }
}
