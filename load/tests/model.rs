//! The model: the same again from a seed, and what clients do together when ingresses restart.

use weldhub::Settings;
use weldhub_client::{IngressPolicy, RetryPolicy};
use weldhub_load::model::{Fleet, Outage, play, settings};
use weldhub_load::report::{End, INTERVAL, Report};
use weldhub_load::work::Work;

fn work(schedule: &str) -> Work {
    Work {
        seed: 7,
        steps: schedule.split(',').map(|step| step.parse().unwrap()).collect(),
        classes: vec![
            "board-state:9:safe:1500".parse().unwrap(),
            "move-submit:1:keyed=6000:3000".parse().unwrap(),
        ],
        customers: 1000,
        plan: "club".into(),
        spread: 3,
        units: 1,
    }
}

fn fleet(naive: bool) -> Fleet {
    let hasty =
        RetryPolicy { max_tries: 100, budget_ratio: 1e6, budget_capacity: 1e6, ..RetryPolicy::default() };
    Fleet {
        // What ingresses tell each other is not what is looked at here.
        settings: Settings { peers: false, ..settings(3, &[1e6, 1e6], &work("1x1")) },
        servers: 20,
        cores: 8,
        service: 40.0,
        hop: 0.3,
        outages: Vec::new(),
        clients: 1000,
        retry_policy: if naive { hasty } else { RetryPolicy::default() },
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
fn a_run_is_the_same_again_and_serves_what_the_servers_can_do() {
    let (work, fleet) = (work("5x400"), fleet(false));
    let one = play(&work, &fleet).unwrap();
    assert_eq!(one.json(), play(&work, &fleet).unwrap().json());
    assert!(one.served() > 0.97, "{one}");
    // A service takes 20 to 60 ms, and little waits.
    assert!((20.0..80.0).contains(&one.latency(0.5)), "{one}");
    let pressed = play(&Work { steps: vec!["5x8000".parse().unwrap()], ..work }, &fleet).unwrap();
    assert!(pressed.served() < 0.8 && pressed.count(End::Refused) > 0, "{pressed}");
    let retries = pressed.tries as f64 / (pressed.served() * 0.0 + 40_000.0);
    assert!(retries < 1.4, "retries stay a bounded share: {retries}");
}

/// Reconnects by interval on average and at most over the recovery: the 4 s over which clients spread their return, from
/// the moment when the ingresses are back. The same span for all clients, since those who all come at once are back in
/// no time and would have a high average, too.
fn recovery(report: &Report, from: f64) -> (f64, u64) {
    let first = (from / INTERVAL) as usize;
    let during = &report.connects[first..first + (4000.0 / INTERVAL) as usize];
    let mean = during.iter().sum::<u64>() as f64 / during.len() as f64;
    (mean, during.iter().copied().max().unwrap_or(0))
}

/// A thousand clients, three ingresses that restart together for 2 s: reconnects by 250 ms.
#[test]
fn a_thousand_clients_come_back_evenly_after_three_ingresses_restart_and_naive_ones_do_not() {
    let play = |naive| {
        let outages = (0..3).map(|ingress| Outage { ingress, from: 5000.0, until: 7000.0 }).collect();
        let report = play(&work("20x1000"), &Fleet { outages, ..fleet(naive) }).unwrap();
        let (mean, most) = recovery(&report, 7000.0);
        println!(
            "naive {naive}: {mean:.0} reconnects on average in {INTERVAL} ms, {most} at most; {:.3} served",
            report.served()
        );
        most as f64 / mean
    };
    let (paced, naive) = (play(false), play(true));
    assert!(paced <= 2.0, "paced: {paced}");
    assert!(naive > 2.0, "the check must be able to fail: {naive}");
}
