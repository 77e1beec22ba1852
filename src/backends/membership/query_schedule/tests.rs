use super::*;

#[test]
fn cursor_resets_when_the_index_goes_back_and_never_blocks_on_0() {
    let mut cursor = Cursor::default();
    assert_eq!(cursor.index(), None);
    let after =
        [(10, Some(10)), (10, Some(10)), (12, Some(12)), (3, None), (3, Some(3)), (0, None), (0, Some(1))];
    for (received, index) in after {
        cursor.advance(received);
        assert_eq!(cursor.index(), index, "after {received}");
    }
    cursor.reset();
    assert_eq!(cursor.index(), None);
}

#[test]
fn rotation_moves_on_from_each_agent_that_fails() {
    let mut rotation = AgentRotation::default();
    let queried: Vec<_> = (0..5).map(|_| (rotation.current(3), rotation.fail()).0).collect();
    assert_eq!((queried, AgentRotation::default().current(0)), (vec![0, 1, 2, 0, 1], 0));
}

#[test]
fn limits_the_rate_of_queries_but_does_not_delay_rare_ones() {
    for (instances, max_per_second) in [(1, 10.0), (10, 10.0), (100, 2.0)] {
        let (mut limiter, mut now, mut queries) = (QueryLimiter::new(instances, 0.0), 0.0, 0);
        // Every query is answered within a millisecond.
        while now < 60_000.0 {
            now += 1.0 + limiter.reserve(now);
            queries += 1;
        }
        assert!(
            f64::from(queries) <= 60.0 * max_per_second + 2.0 * QUERY_BURST,
            "{queries} in a minute, one of {instances}"
        );
        assert!((0..8).all(|_| limiter.reserve(now + 10_000.0) == 0.0));
    }
}
