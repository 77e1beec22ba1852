use super::*;

#[test]
fn counter_queues_calls_rejects_overload_expires_totals_and_can_be_lost_or_cleared() {
    let config =
        script::Counter { parts: 2, calls_per_second: 100.0, line: 3.0, time: [1.0, 1.0], timeout: 50.0 };
    let total = |total: f64, ready_at: f64| CounterReply::Total { total, ready_at };
    let mut counter = Counter::new(&config);
    let mut call = |at: f64, name: u64| counter.add(at, name, 2.0, 1000.0, &config, 1.0);
    assert_eq!([call(0.0, 4), call(0.0, 4)], [total(2.0, 1.0), total(4.0, 11.0)]);
    assert_eq!([call(0.0, 6), call(0.0, 6)], [total(2.0, 21.0), total(4.0, 31.0)]);
    assert_eq!((call(0.0, 4), call(0.0, 5)), (CounterReply::Busy, total(2.0, 1.0)));
    assert_eq!(call(1001.0, 4), total(2.0, 1002.0), "the total has expired");
    counter.unavailable_until = 1500.0;
    assert_eq!(counter.add(1400.0, 4, 1.0, 1000.0, &config, 1.0), CounterReply::Lost);
    assert_eq!(counter.add(1600.0, 4, 1.0, 1000.0, &config, 1.0), total(3.0, 1601.0));
    counter.clear();
    assert_eq!(counter.add(1700.0, 4, 1.0, 1000.0, &config, 1.0), total(1.0, 1701.0));
}

#[test]
fn rate_limiter_admits_messages_up_to_its_rate() {
    let mut limiter = RateLimiter::new(60.0, 0.0);
    let admitted = (0..10_000).filter(|ms| limiter.admit(f64::from(*ms), 60.0)).count();
    assert!((600..=616).contains(&admitted), "{admitted} in 10 s");
}
