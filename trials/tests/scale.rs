//! The growth of what an ingress costs: a short form of `make scale`. Values are compared within one run
//! only.

use std::ops::RangeInclusive;
use weldhub_trials::scale::fixture::QuotaSource;
use weldhub_trials::scale::slope::{Dimension, Slope};
use weldhub_trials::scale::{LoadProfile, MEAN_REQUEST_RATE, Sizes, fleet_slopes, list_slopes, load_slopes};

/// Four sizes in each dimension that a debug build can measure. Fleets have at least 20 ingresses, as a
/// notice is sent to 16 ingresses at once.
fn sizes() -> Sizes {
    Sizes {
        ingresses: vec![20, 40, 80, 160],
        backends: vec![200, 400, 800, 1600],
        customers: vec![100, 200, 400, 800],
        load_seconds: 4.0,
        rest_seconds: 4,
    }
}

/// Asserts that the exponent of a slope is in a range.
fn assert_exponent(slopes: &[Slope], name: &str, range: RangeInclusive<f64>) {
    let slope = slopes.iter().find(|slope| slope.name == name).unwrap();
    let exponent = slope.fit().exponent;
    assert!(range.contains(&exponent), "{name} ~ size^{exponent:.2}: {:?}", slope.points);
}

/// The exponents of quantities that do not depend on the size.
const FLAT: RangeInclusive<f64> = -0.35..=0.35;
/// The exponents of quantities that grow in proportion to the size.
const LINEAR: RangeInclusive<f64> = 0.7..=1.35;

/// Guards against a cost that grows by a higher power of the size than designed. All slopes are in one test
/// because heap bytes are counted over the whole process, so tests that run beside each other would disturb
/// them.
#[test]
fn costs_grow_with_their_expected_exponents() {
    let (sizes, mut no_progress) = (sizes(), |_: &str| {});
    let full = list_slopes(&sizes, None, &mut no_progress).unwrap();
    for name in ["list-wire", "list-read-peak", "list-memory", "decision-memory", "handover"] {
        assert_exponent(&full, name, LINEAR);
    }
    // CPU times vary with other work on the machine; these ranges still exclude a quadratic cost.
    assert_exponent(&full, "list-read", 0.5..=1.5);
    assert_exponent(&full, "list-take-in", 0.5..=1.5);
    let subset = list_slopes(&sizes, Some(48), &mut no_progress).unwrap();
    for name in ["decision-memory-subset", "handover-subset"] {
        assert_exponent(&subset, name, FLAT);
    }
    for name in ["list-change-subset", "list-rest-subset"] {
        assert_exponent(&subset, name, -0.7..=0.5);
    }
    let fleet = fleet_slopes(&sizes, &mut no_progress);
    assert_exponent(&fleet, "membership-memory", LINEAR);
    assert_exponent(&fleet, "membership-messages", FLAT);
    assert_exponent(&fleet, "membership-bytes", FLAT);
    assert_exponent(&fleet, "notices-median", 0.0..=0.9);
    let profile = LoadProfile {
        request_rate: MEAN_REQUEST_RATE,
        quota_source: QuotaSource::Peers,
        subset_size: Some(48),
    };
    let load = load_slopes(&sizes, Dimension::Ingresses, profile, &mut no_progress).unwrap();
    assert_exponent(&load, "quota-messages-peers-over-ingresses-subset", FLAT);
    assert_exponent(&load, "quota-bytes-peers-over-ingresses-subset", FLAT);
}

#[test]
fn fit_returns_the_exponent_and_prefers_a_measured_target() {
    let mut slope = Slope::new("squares", "units", Dimension::Backends);
    [100, 200, 400, 700].into_iter().for_each(|size| slope.add(size, (size * size) as f64));
    let fit = slope.fit();
    assert!((fit.exponent - 2.0).abs() < 1e-9 && fit.error < 1e-9, "{fit:?}");
    assert!((fit.at_target / 14_000f64.powi(2) - 1.0).abs() < 1e-9 && fit.extrapolated == 20.0, "{fit:?}");
    slope.add(14_000, 5.0);
    assert_eq!(
        (slope.fit().at_target, slope.fit().extrapolated),
        (5.0, 1.0),
        "a measured value takes precedence over the power law"
    );
}
