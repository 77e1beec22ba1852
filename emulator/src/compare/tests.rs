use super::*;

fn result(value: &str, seed: u64, service: f64) -> RunResult {
    let (whole, worst, broken, p99_ms) = (1.0, 1.0, u64::from(service < 0.5), 1.0);
    RunResult { value: value.into(), seed, service, whole, worst, broken, p99_ms }
}

#[test]
fn summarizes_runs_by_value_and_pairs_them_by_seed() {
    let first = [result("a", 1, 0.4), result("a", 2, 0.8)];
    let second = [result("b", 2, 0.9), result("b", 1, 0.4), result("b", 3, 0.1)];
    let all: Vec<RunResult> = first.iter().chain(&second).cloned().collect();
    let [a, b] = &summarize(&all)[..] else { panic!() };
    assert_eq!((a.runs, a.least, a.most, a.broken), (2, 0.4, 0.8, 1));
    assert!((a.mean - 0.6).abs() < 1e-9 && (a.error - 0.2).abs() < 1e-9);
    assert_eq!((b.value.as_str(), b.runs, b.broken), ("b", 3, 2));
    let paired = compare_paired(&first, &second);
    assert_eq!((paired.seeds, paired.better, paired.worse), (2, 1, 0));
    assert!((paired.gain - 0.05).abs() < 1e-9);
}
