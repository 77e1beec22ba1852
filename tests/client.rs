//! The client library against the running program: rejection storms, restarts, and ingresses that die while a
//! response is half written.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::figures;
use stand_ins::ingress::ingress_config;
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;
use weldhub_client::{Client, Config, ErrorKind, Request, RetrySafety, StopReason};

/// The ingresses of one fleet, each a process, identified by their index.
struct Fleet {
    addresses: Vec<SocketAddr>,
    /// The addresses of the admin interfaces.
    admin_addresses: Vec<SocketAddr>,
    configs: Vec<serde_json::Value>,
    /// The processes; `None` for one that has been killed.
    programs: Vec<Option<Program>>,
    /// Prefix of the program names, distinct for each test.
    name: &'static str,
}

impl Fleet {
    /// Starts `size` ingresses in front of these backends. A customer's token bucket holds `units` and
    /// practically never refills.
    async fn start(name: &'static str, size: usize, backends: &[SocketAddr], units: f64) -> Self {
        let agent = Agent::start().await;
        let known: Vec<_> = backends
            .iter()
            .enumerate()
            .map(|(i, at)| service_entry(&format!("s{i}"), *at, 0, "in_service"))
            .collect();
        let mut fleet = Self {
            addresses: Vec::new(),
            admin_addresses: Vec::new(),
            configs: Vec::new(),
            programs: Vec::new(),
            name,
        };
        for i in 0..size {
            let [address, admin] = [own_address(), own_address()];
            let mut config = ingress_config(agent.at, known.clone());
            config["listen"] = json!(address.to_string());
            config["settings"]["balancers"] = json!(size);
            config["settings"]["myNumber"] = json!(i);
            config["settings"]["limits"]["maxAttempts"] = json!(1);
            config["settings"]["tariffs"][0]["storeSize"] = json!(units);
            config["management"] = json!(admin.to_string());
            fleet.addresses.push(address);
            fleet.admin_addresses.push(admin);
            fleet.configs.push(config);
        }
        for i in 0..size {
            fleet.programs.push(None);
            fleet.run(i).await;
        }
        fleet
    }

    /// Starts ingress `i`, again if it was killed, and waits until it serves.
    async fn run(&mut self, i: usize) {
        let name = format!("client-{}-{i}", self.name);
        let mut program = Program::start(&name, &self.configs[i].to_string(), &[], false);
        program.serving().await;
        self.programs[i] = Some(program);
    }

    /// Returns whether ingress `i` has a pending request.
    async fn has_pending_request(&self, i: usize) -> bool {
        figures(self.admin_addresses[i]).await["svc_pending"] > 0
    }

    /// Ends ingress `i` with SIGKILL.
    fn kill(&mut self, i: usize) {
        self.programs[i] = None;
    }

    /// Returns a client that knows all ingresses.
    fn client(&self) -> Client {
        let addresses: Vec<String> = self.addresses.iter().map(SocketAddr::to_string).collect();
        let mut config = Config::new(addresses.iter().map(String::as_str)).unwrap();
        config.seed = 7;
        config.ingress_policy.reconnect_spread = 400.0;
        Client::new(config).unwrap()
    }

    /// A request of a class that is safe to repeat.
    fn board(&self, timeout: u32) -> Request {
        Request::get("/board-state/1")
            .customer(7)
            .plan("club")
            .ingress_set(self.addresses.len(), 0)
            .timeout_ms(timeout)
    }

    /// A request with a body and an idempotency key.
    fn submit(&self, retry_safety: RetrySafety, timeout: u32) -> Request {
        let request = Request::post("/move-submit/1", "e2e4")
            .retry_safety(retry_safety)
            .idempotency_key("5c0f")
            .customer(7)
            .plan("club");
        request.ingress_set(self.addresses.len(), 0).timeout_ms(timeout)
    }
}

/// Starts a backend that responds after `delay`; returns its address.
async fn slow_backend(delay: Duration) -> SocketAddr {
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            spawn_local(async move {
                let mut buffer = bytes::BytesMut::new();
                while message(&mut stream, &mut buffer, weldhub::net::http::MessageKind::Request)
                    .await
                    .is_some()
                {
                    tokio::time::sleep(delay).await;
                    if stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx").await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

#[test]
fn retries_stay_a_bounded_share_during_rejection_storm_with_slow_backends() {
    local(async {
        let backends =
            [slow_backend(Duration::from_millis(300)).await, slow_backend(Duration::from_millis(300)).await];
        let fleet = Fleet::start("storm", 2, &backends, 40.0).await;
        let client = fleet.client();
        let mut sends = Vec::new();
        for _ in 0..200 {
            let (client, request) = (client.clone(), fleet.board(1400));
            sends.push(spawn_local(async move { client.send(&request).await }));
        }
        let mut rejected = 0;
        for send in sends {
            match send.await.unwrap() {
                Ok(_) => {}
                Err(e) if matches!(e.kind, ErrorKind::Rejected(_)) => {
                    rejected += 1;
                    assert!(!e.may_have_run);
                }
                Err(e) => {
                    assert!(
                        matches!(e.kind, ErrorKind::Unreachable | ErrorKind::TimedOut | ErrorKind::Failed(_)),
                        "{e}"
                    )
                }
            }
        }
        let counts = client.counts();
        assert!(rejected > 0);
        // Retry budget: a tenth of the 200 requests, and 10 retries saved up.
        assert!(counts.tries <= 200 + 20 + 10, "{counts:?}");
    });
}

#[test]
fn client_reconnects_after_three_ingresses_restart_together() {
    local(async {
        let backend = Backend::start(ok("x")).await;
        let mut fleet = Fleet::start("restart", 3, &[backend.at], 1e6).await;
        let client = fleet.client();
        for _ in 0..10 {
            assert!(client.send(&fleet.board(1400)).await.is_ok());
        }
        (0..3).for_each(|i| fleet.kill(i));
        let e = client.send(&fleet.submit(RetrySafety::Unsafe, 700)).await.unwrap_err();
        assert!(
            !e.may_have_run && matches!(e.kind, ErrorKind::Unreachable | ErrorKind::ConnectionLost),
            "the request must not have been sent: {e}"
        );
        // Without any ingress, requests fail in time and connection attempts are paced.
        let before = client.counts().connection_attempts;
        for _ in 0..20 {
            assert!(client.send(&fleet.board(60)).await.is_err());
        }
        let connection_attempts = client.counts().connection_attempts - before;
        assert!(connection_attempts < 40, "{connection_attempts}");
        for i in 0..3 {
            fleet.run(i).await;
        }
        while client.send(&fleet.board(1400)).await.is_err() {}
        for _ in 0..10 {
            assert!(client.send(&fleet.board(1400)).await.is_ok());
        }
    });
}

#[test]
fn request_survives_ingress_killed_mid_response_only_if_its_class_allows_a_retry() {
    local(async {
        // The first attempt receives half of a response, the next one the whole response.
        let half = [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 100_000]].concat();
        let whole =
            [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 200_000]].concat();
        let keyed = RetrySafety::Keyed { window: 60_000.0 };
        for (retry_safety, succeeds) in [(keyed, true), (RetrySafety::Unsafe, false)] {
            let backend = Backend::start(Serve::Bytes(half.clone())).await;
            let mut fleet = Fleet::start("half", 2, &[backend.at], 1e6).await;
            let client = fleet.client();
            let request = fleet.submit(retry_safety, 2900);
            let send = spawn_local(async move { client.send(&request).await });
            until(|| backend.count() == 1).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            backend.behave(Serve::Bytes(whole.clone()));
            // Either ingress may have the request; the one that has it is killed.
            let (first, second) = (fleet.has_pending_request(0).await, fleet.has_pending_request(1).await);
            fleet.kill(if first { 0 } else { 1 });
            assert!(first != second);
            match send.await.unwrap() {
                Ok(response) => assert!(succeeds && response.body.len() == 200_000 && response.tries == 2),
                Err(e) => assert!(
                    !succeeds
                        && e.may_have_run
                        && (e.stop_reason, e.kind.clone())
                            == (StopReason::UnsafeToRetry, ErrorKind::ConnectionLost),
                    "{e}"
                ),
            }
            assert_eq!(backend.count(), 1 + usize::from(succeeds));
        }
    });
}

#[test]
fn keyed_request_is_not_retried_after_its_window() {
    local(async {
        let backend = Backend::start(Serve::Stall).await;
        let fleet = Fleet::start("window", 2, &[backend.at], 1e6).await;
        // The ingress responds with 504 when the timeout ends; by then the window of the key has passed.
        let mut request = fleet.submit(RetrySafety::Keyed { window: 100.0 }, 2900);
        let client = fleet.client();
        request = request.timeout_ms(700);
        let e = client.send(&request).await.unwrap_err();
        assert!(e.may_have_run && e.tries == 1, "{e}");
        assert!(matches!(e.stop_reason, StopReason::DedupWindow | StopReason::Deadline), "{e}");
        assert_eq!(backend.count(), 1);
    });
}

#[test]
fn deadline_within_backoff_ends_the_request() {
    local(async {
        let backend = Backend::start(ok("x")).await;
        let fleet = Fleet::start("deadline", 1, &[backend.at], 1.0).await;
        let client = fleet.client();
        assert!(client.send(&fleet.board(900)).await.is_ok());
        // Over a quota that does not refill: the advised retry in a second is after the deadline.
        let e = client.send(&fleet.board(400)).await.unwrap_err();
        assert_eq!(
            (e.kind, e.stop_reason, e.tries, e.may_have_run),
            (ErrorKind::Rejected(429), StopReason::Deadline, 1, false)
        );
    });
}
