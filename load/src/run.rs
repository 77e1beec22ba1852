//! A run on sockets: every request starts when it is to, whatever has become of the others, and its latency counts
//! from then (no coordinated omission).

use crate::report::{End, Report};
use crate::work::Work;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use weldhub_client::{Client, Config, ErrorKind, Request, RetrySafety};

/// Runs it through so many clients, each with connections of its own. Only loopback addresses are loaded.
pub async fn run(work: &Work, ingresses: &[String], clients: usize) -> Result<Report, String> {
    work.check()?;
    for at in ingresses {
        let address: SocketAddr = at.parse().map_err(|_| format!("{at} is no address"))?;
        if !address.ip().is_loopback() {
            return Err(format!("{at} is no loopback address: nothing else is loaded"));
        }
    }
    let all: Vec<Client> = (0..clients.max(1))
        .map(|i| {
            let mut config = Config::new(ingresses.iter().map(String::as_str)).map_err(|e| e.to_string())?;
            config.seed = work.seed.wrapping_add(i as u64);
            Client::new(config).map_err(|e| e.to_string())
        })
        .collect::<Result<_, _>>()?;
    let (start, mut running) = (Instant::now() + Duration::from_millis(50), JoinSet::new());
    let mut report = Report::new(work.classes.iter().map(|class| class.name.as_str()))?;
    let spread = work.spread.min(ingresses.len());
    let mut rng = fastrand::Rng::with_seed(work.seed ^ 1);
    for (n, arrival) in work.arrivals().into_iter().enumerate() {
        let class = &work.classes[arrival.class];
        let path = format!("/{}/{n}", class.name);
        let request = match class.retry_safety {
            RetrySafety::Safe => Request::get(&path),
            retry_safety => Request::post(&path, "load")
                .retry_safety(retry_safety)
                .idempotency_key(&format!("{:032x}", rng.u128(..))),
        };
        let request = request
            .customer(arrival.customer)
            .plan(&work.plan)
            .units(f64::from(arrival.units))
            .ingress_set(spread, work.first(arrival.customer, ingresses.len()))
            .timeout_ms(class.timeout);
        let client = all[arrival.customer as usize % all.len()].clone();
        let intended = start + Duration::from_secs_f64(arrival.at / 1000.0);
        sleep_until(intended).await;
        running.spawn(async move {
            let end = match client.send(&request).await {
                Ok(_) => End::Served,
                Err(e) if matches!(e.kind, ErrorKind::Rejected(_)) => End::Refused,
                Err(_) => End::Failed,
            };
            (arrival.class, end, intended.elapsed().as_secs_f64() * 1000.0)
        });
        while let Some(Ok((class, end, took))) = running.try_join_next() {
            report.ended(class, end, took);
        }
    }
    while let Some(done) = running.join_next().await {
        let (class, end, took) = done.map_err(|e| e.to_string())?;
        report.ended(class, end, took);
    }
    for client in &all {
        let counts = client.counts();
        report.tries += counts.tries;
        report.connected += counts.connection_attempts;
    }
    Ok(report)
}
