use super::*;

fn random_source(seed: u64) -> impl FnMut() -> f64 {
    let mut rng = fastrand::Rng::with_seed(seed);
    move || rng.f64()
}

#[test]
fn ingress_set_wraps_around_and_a_retry_avoids_tried_ingresses() {
    let ingresses = Ingresses::new(5, IngressPolicy::default(), 0.0);
    assert_eq!(ingresses.ingress_set(3, 4).collect::<Vec<_>>(), [4, 0, 1]);
    let mut random = random_source(7);
    for _ in 0..50 {
        let picked = ingresses.pick(0.0, ingresses.ingress_set(3, 4), &[0, 4], &mut random);
        assert_eq!(picked, Some(1));
    }
    assert!(
        ingresses.pick(0.0, ingresses.ingress_set(2, 0), &[0, 1], &mut random).is_some(),
        "a tried ingress is used if no other is left"
    );
}

#[test]
fn unreachable_ingress_is_ejected_for_a_time_and_if_all_are_the_first_to_return_is_picked() {
    let mut ingresses = Ingresses::new(2, IngressPolicy::default(), 0.0);
    let mut random = random_source(7);
    ingresses.try_started(0);
    ingresses.try_ended(0.0, 0, HealthSignal::Unreachable, &mut random);
    assert!((0..50).all(|_| ingresses.pick(100.0, ingresses.ingress_set(2, 0), &[], &mut random) == Some(1)));
    assert!((0..50).any(|_| ingresses.pick(600.0, ingresses.ingress_set(2, 0), &[], &mut random) == Some(0)));
    ingresses.try_started(1);
    ingresses.try_ended(400.0, 1, HealthSignal::Unreachable, &mut random);
    assert_eq!(ingresses.pick(450.0, ingresses.ingress_set(2, 0), &[], &mut random), Some(0));
}

#[test]
fn connections_are_limited_per_ingress_and_in_rate() {
    let policy = IngressPolicy {
        max_connections: 2,
        connect_rate: 10.0,
        connect_burst: 3.0,
        ..IngressPolicy::default()
    };
    let mut ingresses = Ingresses::new(2, policy, 0.0);
    assert_eq!([0, 0, 1].map(|i| ingresses.reserve_connection(0.0, i)), [Ok(()); 3]);
    assert_eq!(ingresses.reserve_connection(0.0, 0), Err(f64::INFINITY));
    assert_eq!(ingresses.reserve_connection(0.0, 1), Err(100.0));
    ingresses.connection_closed(0);
    assert_eq!(ingresses.reserve_connection(100.0, 0), Ok(()));
}

/// Guards against reconnect bursts: a thousand clients lose their connections to an ingress at the same time
/// and it stays down. Their attempts to connect have to be spread evenly over the following ten seconds.
#[test]
fn reconnects_after_a_common_connection_loss_are_spread_evenly() {
    let mut attempts = [0; 40];
    for seed in 0..1000 {
        let (mut ingresses, mut random) =
            (Ingresses::new(1, IngressPolicy::default(), 0.0), random_source(seed));
        assert!(ingresses.reserve_connection(0.0, 0).is_ok());
        ingresses.connect_succeeded(0);
        ingresses.connection_lost(0.0, 0, &mut random);
        let mut now = 0.0;
        while now < 10_000.0 {
            match ingresses.reserve_connection(now, 0) {
                Ok(()) => {
                    attempts[(now / 250.0) as usize] += 1;
                    ingresses.connect_failed(now, 0, &mut random);
                }
                Err(wait) => now += wait.max(1.0),
            }
        }
    }
    let mean = attempts.iter().sum::<i32>() / 40;
    assert!(attempts.iter().all(|n| *n < 2 * mean), "{attempts:?}");
}
