use super::*;

fn workload() -> Workload {
    Workload {
        seed: 7,
        steps: vec!["2x100".parse().unwrap(), "1x0".parse().unwrap(), "1x400".parse().unwrap()],
        classes: vec![
            "board-state:3:safe:900".parse().unwrap(),
            "move-submit:1:keyed=6000:3000".parse().unwrap(),
        ],
        customers: 10,
        plan: "club".into(),
        spread: 2,
        max_units: 3,
    }
}

#[test]
fn arrivals_follow_schedule_and_mix_and_are_reproducible() {
    let all = workload().arrivals();
    assert_eq!(all, workload().arrivals());
    let within = |from: f64, to: f64| all.iter().filter(|a| (from..to).contains(&a.at)).count();
    assert!((150..250).contains(&within(0.0, 2000.0)) && within(2000.0, 3000.0) == 0);
    assert!((330..470).contains(&within(3000.0, 4000.0)));
    let keyed = all.iter().filter(|a| a.class == 1).count() as f64 / all.len() as f64;
    assert!((0.2..0.3).contains(&keyed) && all.iter().all(|a| a.customer < 10 && (1..=3).contains(&a.units)));
}

#[test]
fn rejects_invalid_classes_steps_and_workloads() {
    for invalid in ["", "a:1:safe", "a:-1:safe:9", "a:1:odd:9", "a:1:keyed=x:9", "a b:1:safe:9", "a:1:safe:0"]
    {
        assert!(invalid.parse::<Class>().is_err(), "{invalid}");
    }
    assert!(
        "5".parse::<Step>().is_err() && "5xnan".parse::<Step>().is_err() && "-1x5".parse::<Step>().is_err()
    );
    let too_long = Workload { steps: vec![Step { seconds: 4000.0, rate: 1.0 }], ..workload() };
    let too_many = Workload { steps: vec![Step { seconds: 3000.0, rate: 1e6 }], ..workload() };
    assert!(workload().validate().is_ok() && too_long.validate().is_err() && too_many.validate().is_err());
}
