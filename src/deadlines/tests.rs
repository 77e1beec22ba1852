use super::*;

#[test]
fn a_sweep_takes_what_is_due_in_order_and_leaves_the_rest() {
    let deadlines = Deadlines::new(Clock::new());
    let timer = |n| Expiry::Timer(TimerKey(n));
    deadlines.add(30.0, timer(3));
    deadlines.add(10.0, timer(1));
    deadlines.add(10.0, timer(2));
    let taken_back = deadlines.add(10.0, timer(9));
    deadlines.add(30.1, timer(4));
    deadlines.remove(taken_back);
    let keys = |now| -> Vec<u32> {
        let due = deadlines.take_expired(now).into_iter();
        due.filter_map(|due| if let Expiry::Timer(TimerKey(n)) = due { Some(n) } else { None }).collect()
    };
    assert!(keys(10.0).is_empty());
    assert_eq!(keys(30.01), [1, 2, 3]);
    assert_eq!(keys(1e9), [4]);
}
