use super::*;

/// Plays `arrivals` of (time, work) and returns each completed arrival with its time of completion.
fn play(backend: &mut Backend, arrivals: &[(f64, f64)], config: &BackendSettings) -> Vec<(AttemptId, f64)> {
    let mut ends = Vec::new();
    let mut arrivals = arrivals.iter().copied().enumerate().peekable();
    let mut now = 0.0;
    loop {
        let next = backend.next_completion(now, config).unwrap_or(f64::INFINITY);
        match arrivals.peek().copied() {
            Some((i, (at, work))) if at <= next => {
                now = at;
                arrivals.next();
                backend.admit(now, i, work, config);
            }
            None if next.is_infinite() => return ends,
            _ => {
                now = next;
                ends.extend(backend.take_completed(now, config).into_iter().map(|i| (i, now)));
            }
        }
    }
}

#[test]
fn requests_in_service_share_the_cores_and_others_queue() {
    let config = BackendSettings::default();
    // One core of speed 2 with two slots: two requests in service take twice as long each.
    let mut backend = Backend::new(1, 2.0, 2.0, 10.0, -1.0);
    let ends = play(&mut backend, &[(0.0, 100.0), (0.0, 100.0), (0.0, 100.0)], &config);
    let near = |at: f64, want: f64| (at - want).abs() < 0.1;
    assert!(near(ends[0].1, 100.0) && near(ends[1].1, 100.0) && near(ends[2].1, 150.0), "{ends:?}");
    assert!(near(backend.work_done, 300.0));
    let mut alone = Backend::new(4, 1.0, 1.0, 0.0, -1.0);
    assert!(near(play(&mut alone, &[(5.0, 40.0)], &config)[0].1, 45.0));
    let admissions: Vec<_> = (0..5).map(|i| alone.admit(50.0, i, 1.0, &config)).collect();
    let accepted = Admission::Accepted;
    assert_eq!(admissions, [accepted, accepted, accepted, accepted, Admission::Rejected]);
}

#[test]
fn cold_backend_is_slower_and_crashes_on_overload() {
    let config = BackendSettings { cold_from: 0.25, cold: 10_000.0, ..BackendSettings::default() };
    let mut cold = Backend::new(1, 1.0, 1.0, 100.0, 0.0);
    let ends = play(&mut cold, &[(0.0, 100.0)], &config);
    assert!((370.0..400.0).contains(&ends[0].1), "{ends:?}");
    let mut overloaded = Backend::new(1, 1.0, 1.0, 1000.0, 0.0);
    // Its capacity is some 0.25 to 0.48 ms of work a ms over the window: twice that for 3 s is 1.5 to 2.9 s
    // of work.
    let crash =
        (0..300).position(|i| overloaded.admit(10.0 * f64::from(i), 0, 20.0, &config) == Admission::Crashed);
    assert!(crash.is_some_and(|i| (75..145).contains(&i)), "{crash:?}");
    let mut spared = Backend::new(1, 1.0, 1.0, 1000.0, 0.0);
    assert!((0..300).all(|i| spared.admit(10.0 * f64::from(i), 0, 4.0, &config) != Admission::Crashed));
    let mut warm = Backend::new(1, 1.0, 1.0, 1000.0, -1.0);
    assert!((0..300).all(|i| warm.admit(f64::from(i), 0, 20.0, &config) != Admission::Crashed));
}
