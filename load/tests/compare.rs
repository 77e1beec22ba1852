//! Compares a small case on sockets with the model. A measurement, not part of CI:
//! `cargo test --release -p weldhub-load --test compare -- --ignored --nocapture`

use bytes::BytesMut;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::{Semaphore, watch};
use tokio::task::{LocalSet, spawn_local};
use weldhub::config::Config;
use weldhub::net::http::{MessageKind, take_message};
use weldhub_client::{IngressPolicy, RetryPolicy};
use weldhub_load::model::{Fleet, simulate};
use weldhub_load::run::run;
use weldhub_load::work::Workload;

/// Starts a backend that works on `cores` requests at once, 20 to 60 ms each. Returns its address.
async fn backend(cores: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap().to_string();
    let cores = std::rc::Rc::new(Semaphore::new(cores));
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let cores = cores.clone();
            spawn_local(async move {
                let mut buffer = BytesMut::new();
                loop {
                    while take_message(&mut buffer, MessageKind::Request, false).unwrap().is_none() {
                        if stream.read_buf(&mut buffer).await.unwrap_or(0) == 0 {
                            return;
                        }
                    }
                    let core = cores.acquire().await.unwrap();
                    tokio::time::sleep(Duration::from_secs_f64(0.02 + 0.04 * fastrand::f64())).await;
                    drop(core);
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    address
}

#[test]
#[ignore = "a measurement"]
fn sockets_and_model_serve_about_the_same_fraction() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    LocalSet::new().block_on(&runtime, async {
        let (mut instances, cores) = (Vec::new(), 4);
        for i in 0..3 {
            instances.push(serde_json::json!({"instanceId": format!("s{i}"), "hostPort": backend(cores).await,
                "zone": "a", "machineType": "m", "cell": 0, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0}));
        }
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap().to_string();
        let config = serde_json::json!({
            "name": "n0", "listen": address, "discovery": "127.0.0.1:9", "seed": "8c1f30d27a5be964",
            "limits": {"memory_mb": 192, "sockets": 1024},
            "known": {"generation": 1, "reset": true, "instances": instances},
            "settings": {
                "balancers": 1, "myNumber": 0, "zones": ["a"], "flavors": ["m"],
                "limits": {"maxAttempts": 4, "cancelling": true, "maxRetryAfter": 1000.0, "connIdle": 30000.0},
                "familyInfo": {"largest": 1},
                "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
                "classes": [{"name": "board-state", "aim": 750.0, "giveUp": 1500.0, "effect": "read_like"}],
                "tariffs": [{"name": "club", "perSecond": 4.0, "storeSize": 8.0, "atOnce": 0, "ceilingRate": 0.0,
                    "neverOverDepth": 0.0}],
            },
        });
        let config = Config::read(&config.to_string(), |_| None).unwrap();
        let settings = config.instance.site.settings.clone();
        let (_ways, ways) = watch::channel(config.reloadable());
        let log = slog::Logger::root(slog::Discard, slog::o!());
        spawn_local(weldhub::node::serve(config, listener, log, ways, std::future::pending()));
        tokio::time::sleep(Duration::from_millis(1200)).await;
        for rate in [100, 200, 400] {
            let workload = Workload {
                seed: 7,
                steps: vec![format!("10x{rate}").parse().unwrap()],
                classes: vec!["board-state:1:safe:1500".parse().unwrap()],
                customers: 50,
                plan: "club".into(),
                spread: 1,
                max_units: 1,
            };
            let sockets = run(&workload, std::slice::from_ref(&address), 50).await.unwrap();
            let fleet = Fleet {
                settings: settings.clone(),
                backends: 3,
                cores,
                service_time: 40.0,
                network_delay: 0.1,
                outages: Vec::new(),
                clients: 50,
                retry_policy: RetryPolicy::default(),
                ingress_policy: IngressPolicy::default(),
                naive: false,
            };
            let model = simulate(&workload, &fleet).unwrap();
            let latencies = |quantile| (sockets.latency_ms(quantile), model.latency_ms(quantile));
            println!(
                "{rate} requests per second: served {:.3} on sockets, {:.3} in the model; p50 {:?} ms, p99 {:?} ms; tries {} and {}",
                sockets.served_fraction(), model.served_fraction(), latencies(0.5), latencies(0.99),
                sockets.tries, model.tries
            );
            assert!((sockets.served_fraction() - model.served_fraction()).abs() < 0.1);
        }
    });
}
