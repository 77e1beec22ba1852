use super::*;

fn play(server: &mut Server, arrivals: &[(f64, f64)], how: &BackendSettings) -> Vec<(AttemptAt, f64)> {
    let mut ends = Vec::new();
    let mut arrivals = arrivals.iter().copied().enumerate().peekable();
    let mut now = 0.0;
    loop {
        let next = server.next_end(now, how).unwrap_or(f64::INFINITY);
        match arrivals.peek().copied() {
            Some((i, (at, work))) if at <= next => {
                now = at;
                arrivals.next();
                server.takes(now, i, work, how);
            }
            None if next.is_infinite() => return ends,
            _ => {
                now = next;
                ends.extend(server.ended(now, how).into_iter().map(|i| (i, now)));
            }
        }
    }
}

#[test]
fn requests_in_work_share_the_cores_and_others_wait_in_turn() {
    let how = BackendSettings::default();
    // One core of speed 2, two slots: two at once take twice as long each.
    let mut server = Server::new(1, 2.0, 2.0, 10.0, -1.0);
    let ends = play(&mut server, &[(0.0, 100.0), (0.0, 100.0), (0.0, 100.0)], &how);
    let near = |at: f64, want: f64| (at - want).abs() < 0.1;
    assert!(near(ends[0].1, 100.0) && near(ends[1].1, 100.0) && near(ends[2].1, 150.0), "{ends:?}");
    assert!(near(server.done, 300.0));
    let mut alone = Server::new(4, 1.0, 1.0, 0.0, -1.0);
    assert!(near(play(&mut alone, &[(5.0, 40.0)], &how)[0].1, 45.0));
    let taken: Vec<_> = (0..5).map(|i| alone.takes(50.0, i, 1.0, &how)).collect();
    assert_eq!(taken, [Taken::Yes, Taken::Yes, Taken::Yes, Taken::Yes, Taken::Full]);
}

#[test]
fn a_cold_one_is_slower_and_falls_when_it_is_pushed_over() {
    let how = BackendSettings { cold_from: 0.25, cold: 10_000.0, ..BackendSettings::default() };
    let mut cold = Server::new(1, 1.0, 1.0, 100.0, 0.0);
    let ends = play(&mut cold, &[(0.0, 100.0)], &how);
    assert!((370.0..400.0).contains(&ends[0].1), "{ends:?}");
    let mut pushed = Server::new(1, 1.0, 1.0, 1000.0, 0.0);
    // It can do some 0.25 to 0.48 ms a ms over the window: twice that for 3 s is 1.5 to 2.9 s of work.
    let fell = (0..300).position(|i| pushed.takes(10.0 * f64::from(i), 0, 20.0, &how) == Taken::Falls);
    assert!(fell.is_some_and(|i| (75..145).contains(&i)), "{fell:?}");
    let mut spared = Server::new(1, 1.0, 1.0, 1000.0, 0.0);
    assert!((0..300).all(|i| spared.takes(10.0 * f64::from(i), 0, 4.0, &how) != Taken::Falls));
    let mut warm = Server::new(1, 1.0, 1.0, 1000.0, -1.0);
    assert!((0..300).all(|i| warm.takes(f64::from(i), 0, 20.0, &how) != Taken::Falls));
}
