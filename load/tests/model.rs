//! The model: a seed reproduces a run, and reconnects are spread after all ingresses have restarted.

use weldhub::Settings;
use weldhub_client::{IngressPolicy, RetryPolicy};
use weldhub_load::model::{Fleet, Outage, settings, simulate};
use weldhub_load::report::{CONNECTION_INTERVAL_MS, Report, RequestOutcome};
use weldhub_load::work::Workload;

fn workload(schedule: &str) -> Workload {
    Workload {
        seed: 7,
        steps: schedule.split(',').map(|step| step.parse().unwrap()).collect(),
        classes: vec![
            "board-state:9:safe:1500".parse().unwrap(),
            "move-submit:1:keyed=6000:3000".parse().unwrap(),
        ],
        customers: 1000,
        plan: "club".into(),
        spread: 3,
        max_units: 1,
    }
}

fn fleet(naive: bool) -> Fleet {
    let unlimited_retries =
        RetryPolicy { max_tries: 100, budget_ratio: 1e6, budget_capacity: 1e6, ..RetryPolicy::default() };
    Fleet {
        // The test does not need peer messages.
        settings: Settings { peers: false, ..settings(3, &[1e6, 1e6], &workload("1x1")) },
        backends: 20,
        cores: 8,
        service_time: 40.0,
        network_delay: 0.3,
        outages: Vec::new(),
        clients: 1000,
        retry_policy: if naive { unlimited_retries } else { RetryPolicy::default() },
        ingress_policy: if naive {
            IngressPolicy {
                reconnect_spread: 1000.0,
                connect_rate: 1e6,
                connect_burst: 1e6,
                ..IngressPolicy::default()
            }
        } else {
            IngressPolicy::default()
        },
        naive,
    }
}

#[test]
fn run_is_reproducible_and_serves_up_to_the_capacity_of_the_backends() {
    let (workload, fleet) = (workload("5x400"), fleet(false));
    let report = simulate(&workload, &fleet).unwrap();
    assert_eq!(report.json(), simulate(&workload, &fleet).unwrap().json());
    assert!(report.served_fraction() > 0.97, "{report}");
    // A unit takes 20 to 60 ms, and few requests are queued.
    assert!((20.0..80.0).contains(&report.latency_ms(0.5)), "{report}");
    let overload = Workload { steps: vec!["5x8000".parse().unwrap()], ..workload };
    let overloaded = simulate(&overload, &fleet).unwrap();
    assert!(
        overloaded.served_fraction() < 0.8 && overloaded.count(RequestOutcome::Rejected) > 0,
        "{overloaded}"
    );
    let tries_per_request = overloaded.tries as f64 / (overloaded.served_fraction() * 0.0 + 40_000.0);
    assert!(tries_per_request < 1.4, "retries are a bounded fraction: {tries_per_request}");
}

/// Returns the mean and the maximum number of reconnects per interval in the 4 s after `from` (milliseconds),
/// when the ingresses are up again. Clients spread their reconnects over this time. The span is the same for
/// all clients: one that ended with the last reconnect would give clients that reconnect all at once a high
/// mean, too.
fn reconnects(report: &Report, from: f64) -> (f64, u64) {
    let first = (from / CONNECTION_INTERVAL_MS) as usize;
    let during = &report.connections_by_interval[first..first + (4000.0 / CONNECTION_INTERVAL_MS) as usize];
    let mean = during.iter().sum::<u64>() as f64 / during.len() as f64;
    (mean, during.iter().copied().max().unwrap_or(0))
}

/// Guards against reconnect bursts: three ingresses are down together for 2 s, and a thousand clients
/// reconnect. With the client library no interval of 250 ms has more than twice the mean; naive clients
/// exceed that.
#[test]
fn reconnects_are_spread_after_all_ingresses_restart_unlike_those_of_naive_clients() {
    let peak_to_mean = |naive| {
        let outages = (0..3).map(|ingress| Outage { ingress, from: 5000.0, until: 7000.0 }).collect();
        let report = simulate(&workload("20x1000"), &Fleet { outages, ..fleet(naive) }).unwrap();
        let (mean, most) = reconnects(&report, 7000.0);
        println!(
            "naive {naive}: {mean:.0} reconnects on average in {CONNECTION_INTERVAL_MS} ms, {most} at most; {:.3} served",
            report.served_fraction()
        );
        most as f64 / mean
    };
    let (paced, naive) = (peak_to_mean(false), peak_to_mean(true));
    assert!(paced <= 2.0, "paced: {paced}");
    assert!(naive > 2.0, "the check must be able to fail: {naive}");
}
