//! Runs a workload on sockets. Every request starts at its intended time, whatever became of the earlier
//! ones, and its latency counts from that time (no coordinated omission).

use crate::report::{Report, RequestOutcome};
use crate::work::Workload;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use weldhub_client::{Client, Config, ErrorKind, Request, RetrySafety};

/// Runs a workload through `client_count` clients, each with its own connections. `ingresses` are the
/// addresses (`ip:port`) in the order of the ingresses' numbers. Fails if one of them is not a loopback
/// address.
pub async fn run(workload: &Workload, ingresses: &[String], client_count: usize) -> Result<Report, String> {
    workload.validate()?;
    for ingress in ingresses {
        let address: SocketAddr =
            ingress.parse().map_err(|_| format!("{ingress} is not a socket address"))?;
        if !address.ip().is_loopback() {
            return Err(format!("{ingress} is not a loopback address; only loopback may be loaded"));
        }
    }
    let clients: Vec<Client> = (0..client_count.max(1))
        .map(|i| {
            let mut config = Config::new(ingresses.iter().map(String::as_str)).map_err(|e| e.to_string())?;
            config.seed = workload.seed.wrapping_add(i as u64);
            Client::new(config).map_err(|e| e.to_string())
        })
        .collect::<Result<_, _>>()?;
    let (start, mut running) = (Instant::now() + Duration::from_millis(50), JoinSet::new());
    let mut report = Report::new(workload.classes.iter().map(|class| class.name.as_str()))?;
    let spread = workload.spread.min(ingresses.len());
    let mut rng = fastrand::Rng::with_seed(workload.seed ^ 1);
    for (n, arrival) in workload.arrivals().into_iter().enumerate() {
        let class = &workload.classes[arrival.class];
        let path = format!("/{}/{n}", class.name);
        let request = match class.retry_safety {
            RetrySafety::Safe => Request::get(&path),
            retry_safety => Request::post(&path, "load")
                .retry_safety(retry_safety)
                .idempotency_key(&format!("{:032x}", rng.u128(..))),
        };
        let request = request
            .customer(arrival.customer)
            .plan(&workload.plan)
            .units(f64::from(arrival.units))
            .ingress_set(spread, workload.first_ingress(arrival.customer, ingresses.len()))
            .timeout_ms(class.timeout_ms);
        let client = clients[arrival.customer as usize % clients.len()].clone();
        let intended = start + Duration::from_secs_f64(arrival.at / 1000.0);
        sleep_until(intended).await;
        running.spawn(async move {
            let outcome = match client.send(&request).await {
                Ok(_) => RequestOutcome::Served,
                Err(e) if matches!(e.kind, ErrorKind::Rejected(_)) => RequestOutcome::Rejected,
                Err(_) => RequestOutcome::Failed,
            };
            (arrival.class, outcome, intended.elapsed().as_secs_f64() * 1000.0)
        });
        while let Some(Ok((class, outcome, latency_ms))) = running.try_join_next() {
            report.record_request(class, outcome, latency_ms);
        }
    }
    while let Some(ended) = running.join_next().await {
        let (class, outcome, latency_ms) = ended.map_err(|e| e.to_string())?;
        report.record_request(class, outcome, latency_ms);
    }
    for client in &clients {
        let counts = client.counts();
        report.tries += counts.tries;
        report.connections += counts.connection_attempts;
    }
    Ok(report)
}
