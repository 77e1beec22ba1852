use super::*;

#[test]
fn takes_expired_deadlines_in_order_and_keeps_the_others() {
    let deadlines = Deadlines::new(Clock::new());
    let timer = |n| Expiry::Timer(TimerKey(n));
    deadlines.add(30.0, timer(3));
    deadlines.add(10.0, timer(1));
    deadlines.add(10.0, timer(2));
    let removed = deadlines.add(10.0, timer(9));
    deadlines.add(30.1, timer(4));
    deadlines.remove(removed);
    let keys = |now| -> Vec<u32> {
        let expired = deadlines.take_expired(now).into_iter();
        expired
            .filter_map(|expiry| if let Expiry::Timer(TimerKey(n)) = expiry { Some(n) } else { None })
            .collect()
    };
    assert!(keys(10.0).is_empty());
    assert_eq!(keys(30.01), [1, 2, 3]);
    assert_eq!(keys(1e9), [4]);
}
