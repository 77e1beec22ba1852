//! The shapes of what an ingress costs: a short form of `make scale`, whose figures are compared within one run only.

use weldhub_trials::scale::fixture::QuotaSource;
use weldhub_trials::scale::slope::{Dimension, Slope};
use weldhub_trials::scale::{LoadProfile, MEAN_REQUEST_RATE, Sizes, fleet_slopes, list_slopes, load_slopes};

/// Of four sizes, as small as a debug build bears; a notice goes to sixteen at once, so fleets are larger.
fn sizes() -> Sizes {
    Sizes {
        ingresses: vec![20, 40, 80, 160],
        backends: vec![200, 400, 800, 1600],
        customers: vec![100, 200, 400, 800],
        load_seconds: 4.0,
        rest_seconds: 4,
    }
}

/// Fails where a slope grows by another power of the size than it is known to.
fn shape(slopes: &[Slope], name: &str, [least, most]: [f64; 2]) {
    let slope = slopes.iter().find(|slope| slope.name == name).unwrap();
    let exponent = slope.fit().exponent;
    assert!((least..=most).contains(&exponent), "{name} ~ size^{exponent:.2}: {:?}", slope.points);
}

const FLAT: [f64; 2] = [-0.35, 0.35];
const LINEAR: [f64; 2] = [0.7, 1.35];

/// One test, as what is on the heap is counted over the whole process.
#[test]
fn slopes_keep_their_shapes() {
    let (sizes, mut quiet) = (sizes(), |_: &str| {});
    let whole = list_slopes(&sizes, None, &mut quiet).unwrap();
    for name in ["list-wire", "list-read-peak", "list-memory", "decision-memory", "handover"] {
        shape(&whole, name, LINEAR);
    }
    // Times: a power more would show even beside other work.
    shape(&whole, "list-read", [0.5, 1.5]);
    shape(&whole, "list-take-in", [0.5, 1.5]);
    let part = list_slopes(&sizes, Some(48), &mut quiet).unwrap();
    for name in ["decision-memory-subset", "handover-subset"] {
        shape(&part, name, FLAT);
    }
    for name in ["list-change-subset", "list-rest-subset"] {
        shape(&part, name, [-0.7, 0.5]);
    }
    let fleet = fleet_slopes(&sizes, &mut quiet);
    shape(&fleet, "membership-memory", LINEAR);
    shape(&fleet, "membership-messages", FLAT);
    shape(&fleet, "membership-bytes", FLAT);
    shape(&fleet, "notices-median", [0.0, 0.9]);
    let load = LoadProfile {
        request_rate: MEAN_REQUEST_RATE,
        quota_source: QuotaSource::Peers,
        subset_size: Some(48),
    };
    let load = load_slopes(&sizes, Dimension::Ingresses, load, &mut quiet).unwrap();
    shape(&load, "quota-messages-peers-over-ingresses-subset", FLAT);
    shape(&load, "quota-bytes-peers-over-ingresses-subset", FLAT);
}

#[test]
fn a_fit_tells_the_power_and_how_far_it_was_extrapolated() {
    let mut slope = Slope::new("squares", "units", Dimension::Backends);
    [100, 200, 400, 700].into_iter().for_each(|size| slope.add(size, (size * size) as f64));
    let fit = slope.fit();
    assert!((fit.exponent - 2.0).abs() < 1e-9 && fit.error < 1e-9, "{fit:?}");
    assert!((fit.at_target / 14_000f64.powi(2) - 1.0).abs() < 1e-9 && fit.extrapolated == 20.0, "{fit:?}");
    slope.add(14_000, 5.0);
    assert_eq!(
        (slope.fit().at_target, slope.fit().extrapolated),
        (5.0, 1.0),
        "what was measured goes before"
    );
}
