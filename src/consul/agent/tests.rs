use super::*;

fn headers(pairs: &[(&'static str, &str)]) -> HeaderMap {
    pairs.iter().map(|(name, value)| (name.parse().unwrap(), value.parse().unwrap())).collect()
}

#[test]
fn rejects_leaderless_and_stale_answers_and_bounds_retry_after() {
    let age = headers(&[("x-consul-lastcontact", "40"), ("x-consul-knownleader", "true")]);
    assert!(check_consistency(&age, Some(40.0)).is_ok() && check_consistency(&age, None).is_ok());
    assert!(check_consistency(&age, Some(39.0)).is_err());
    assert!(check_consistency(&headers(&[("x-consul-knownleader", "false")]), None).is_err());
    assert!(check_consistency(&headers(&[]), Some(1.0)).is_ok(), "an agent that sends neither header");
    let after = |value: &str| retry_after(&headers(&[("retry-after", value)]));
    assert_eq!(["2", "0.5", "-1", "1e9", "soon"].map(after), [2000.0, 500.0, 0.0, MAX_RETRY_AFTER, 0.0]);
}
