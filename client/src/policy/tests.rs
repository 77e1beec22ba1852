use super::*;

const MANNER: Manner =
    Manner { tries: 4, ratio: 0.1, saved: 10.0, backoff: [50.0, 1000.0], jitter: 0.5, least: 20.0 };

/// A call of which one try has left at 0, with 2000 ms in all.
fn call(retry_safety: RetrySafety) -> (Call, Budget) {
    let mut budget = Budget::new(&MANNER);
    let mut call = Call::new(retry_safety, 2000.0);
    call.leaves(0.0, &MANNER, &mut budget);
    (call, budget)
}

fn next(retry_safety: RetrySafety, now: Millis, how: Ended) -> Next {
    let (mut call, mut budget) = call(retry_safety);
    call.ended(now, how, &MANNER, &mut budget, &mut || 0.5)
}

const KEYED: RetrySafety = RetrySafety::Keyed { window: 500.0 };

#[test]
fn failures_are_tried_again_only_as_far_as_the_class_allows() {
    for how in [Ended::Failed, Ended::Broken, Ended::TimedOut] {
        assert_eq!(next(RetrySafety::Safe, 100.0, how), Next::Again(125.0));
        assert_eq!(next(KEYED, 100.0, how), Next::Again(125.0));
        assert_eq!(next(KEYED, 490.0, how), Next::Done(Why::Window));
        assert_eq!(next(RetrySafety::Unsafe, 100.0, how), Next::Done(Why::Class));
    }
    // What never left, or was refused, may go again whatever the class.
    for retry_safety in [RetrySafety::Safe, KEYED, RetrySafety::Unsafe] {
        assert_eq!(next(retry_safety, 600.0, Ended::Unsent), Next::Again(625.0));
        assert_eq!(next(retry_safety, 600.0, Ended::Refused { after: Some(200.0) }), Next::Again(850.0));
    }
}

#[test]
fn a_keyed_window_runs_from_the_first_try_that_may_have_run_whatever_came_later() {
    let (mut call, mut budget) = call(KEYED);
    let mut chance = || 0.0;
    assert_eq!(call.ended(100.0, Ended::TimedOut, &MANNER, &mut budget, &mut chance), Next::Again(100.0));
    call.leaves(400.0, &MANNER, &mut budget);
    // The refusal says that this try never ran; the first one may have.
    let refused = Ended::Refused { after: Some(150.0) };
    assert_eq!(call.ended(410.0, refused, &MANNER, &mut budget, &mut chance), Next::Done(Why::Window));
    assert!(call.may_have_run() && call.may_leave(499.0) && !call.may_leave(500.0));
}

#[test]
fn no_back_off_goes_past_the_deadline_and_no_told_time_is_cut_short() {
    assert_eq!(next(RetrySafety::Safe, 1990.0, Ended::Unsent), Next::Done(Why::Deadline));
    let refused = Ended::Refused { after: Some(1900.0) };
    assert_eq!(next(RetrySafety::Safe, 200.0, refused), Next::Done(Why::Deadline));
    let (mut call, mut budget) = call(RetrySafety::Safe);
    let told = Ended::Refused { after: Some(300.0) };
    let Next::Again(at) = call.ended(100.0, told, &MANNER, &mut budget, &mut || 0.0) else { panic!() };
    assert_eq!(at, 400.0);
}

#[test]
fn retries_of_all_calls_together_stay_a_bounded_share() {
    let mut budget = Budget::new(&MANNER);
    let mut retries = 0;
    for _ in 0..1000 {
        let mut call = Call::new(RetrySafety::Safe, 1e9);
        call.leaves(0.0, &MANNER, &mut budget);
        while let Next::Again(at) =
            call.ended(0.0, Ended::Refused { after: None }, &MANNER, &mut budget, &mut || 0.1)
        {
            retries += 1;
            call.leaves(at, &MANNER, &mut budget);
        }
    }
    assert!((100..=110).contains(&retries), "a tenth, and what was saved up: {retries}");
}

#[test]
fn a_told_time_is_read_whole_or_decimal_and_nothing_else_is_one() {
    assert_eq!(retry_after(b"2"), Some(2000.0));
    assert_eq!(retry_after(b" 0.25 "), Some(250.0));
    assert_eq!(retry_after(b"99999999999999999999"), Some(LONGEST));
    for odd in [&b""[..], b"-1", b"soon", b"nan", b"inf", b"1e3", b"1.2.3", b"\xff"] {
        assert_eq!(retry_after(odd), None, "{odd:?}");
    }
}
