//! The client library against the program itself: refusal storms, restarts, and what dies half way.

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

/// Ingresses of one fleet, each a process; told apart by their number.
struct Fleet {
    at: Vec<SocketAddr>,
    doors: Vec<SocketAddr>,
    told: Vec<serde_json::Value>,
    programs: Vec<Option<Program>>,
    name: &'static str,
}

impl Fleet {
    /// So many ingresses before these real servers, with so many units at once for a customer, never filled again.
    async fn start(name: &'static str, many: usize, servers: &[SocketAddr], units: f64) -> Self {
        let agent = Agent::start().await;
        let known: Vec<_> = servers
            .iter()
            .enumerate()
            .map(|(i, at)| service_entry(&format!("s{i}"), *at, 0, "in_service"))
            .collect();
        let mut fleet =
            Self { at: Vec::new(), doors: Vec::new(), told: Vec::new(), programs: Vec::new(), name };
        for i in 0..many {
            let [at, door] = [own_address(), own_address()];
            let mut told = ingress_config(agent.at, known.clone());
            told["listen"] = json!(at.to_string());
            told["settings"]["balancers"] = json!(many);
            told["settings"]["myNumber"] = json!(i);
            told["settings"]["limits"]["maxAttempts"] = json!(1);
            told["settings"]["tariffs"][0]["storeSize"] = json!(units);
            told["management"] = json!(door.to_string());
            fleet.at.push(at);
            fleet.doors.push(door);
            fleet.told.push(told);
        }
        for i in 0..many {
            fleet.programs.push(None);
            fleet.run(i).await;
        }
        fleet
    }

    async fn run(&mut self, i: usize) {
        let name = format!("client-{}-{i}", self.name);
        let mut program = Program::start(&name, &self.told[i].to_string(), &[], false);
        program.serving().await;
        self.programs[i] = Some(program);
    }

    /// Whether it has a request that it has not answered.
    async fn busy(&self, i: usize) -> bool {
        figures(self.doors[i]).await["svc_pending"] > 0
    }

    /// SIGKILL.
    fn kill(&mut self, i: usize) {
        self.programs[i] = None;
    }

    fn client(&self) -> Client {
        let all: Vec<String> = self.at.iter().map(SocketAddr::to_string).collect();
        let mut config = Config::new(all.iter().map(String::as_str)).unwrap();
        config.seed = 7;
        config.ingress_policy.reconnect_spread = 400.0;
        Client::new(config).unwrap()
    }

    fn board(&self, timeout: u32) -> Request {
        Request::get("/board-state/1")
            .customer(7)
            .plan("club")
            .ingress_set(self.at.len(), 0)
            .timeout_ms(timeout)
    }

    fn submit(&self, retry_safety: RetrySafety, timeout: u32) -> Request {
        let request = Request::post("/move-submit/1", "e2e4")
            .retry_safety(retry_safety)
            .idempotency_key("5c0f")
            .customer(7)
            .plan("club");
        request.ingress_set(self.at.len(), 0).timeout_ms(timeout)
    }
}

/// A real server that answers after a while.
async fn slow(span: Duration) -> SocketAddr {
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
                    tokio::time::sleep(span).await;
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
fn in_a_storm_of_refusals_while_all_servers_slow_retries_stay_a_bounded_share() {
    local(async {
        let servers = [slow(Duration::from_millis(300)).await, slow(Duration::from_millis(300)).await];
        let fleet = Fleet::start("storm", 2, &servers, 40.0).await;
        let client = fleet.client();
        let mut all = Vec::new();
        for _ in 0..200 {
            let (client, request) = (client.clone(), fleet.board(1400));
            all.push(spawn_local(async move { client.send(&request).await }));
        }
        let mut refused = 0;
        for asked in all {
            match asked.await.unwrap() {
                Ok(_) => {}
                Err(e) if matches!(e.kind, ErrorKind::Rejected(_)) => {
                    refused += 1;
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
        assert!(refused > 0);
        // A tenth of what is asked, and ten saved up.
        assert!(counts.tries <= 200 + 20 + 10, "{counts:?}");
    });
}

#[test]
fn three_ingresses_that_restart_together_are_found_again() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let mut fleet = Fleet::start("restart", 3, &[server.at], 1e6).await;
        let client = fleet.client();
        for _ in 0..10 {
            assert!(client.send(&fleet.board(1400)).await.is_ok());
        }
        (0..3).for_each(|i| fleet.kill(i));
        let e = client.send(&fleet.submit(RetrySafety::Unsafe, 700)).await.unwrap_err();
        assert!(
            !e.may_have_run && matches!(e.kind, ErrorKind::Unreachable | ErrorKind::ConnectionLost),
            "nothing left: {e}"
        );
        // While nobody is there, what is asked ends in time, and connects are paced.
        let before = client.counts().connection_attempts;
        for _ in 0..20 {
            assert!(client.send(&fleet.board(60)).await.is_err());
        }
        let connects = client.counts().connection_attempts - before;
        assert!(connects < 40, "{connects}");
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
fn an_ingress_that_dies_with_answers_half_written_costs_only_what_the_class_forbids_to_repeat() {
    local(async {
        // An answer of which half comes, and the rest when it is asked for again.
        let half = [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 100_000]].concat();
        let whole =
            [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 200_000]].concat();
        let keyed = RetrySafety::Keyed { window: 60_000.0 };
        for (retry_safety, served) in [(keyed, true), (RetrySafety::Unsafe, false)] {
            let server = Backend::start(Serve::Bytes(half.clone())).await;
            let mut fleet = Fleet::start("half", 2, &[server.at], 1e6).await;
            let client = fleet.client();
            let request = fleet.submit(retry_safety, 2900);
            let asked = spawn_local(async move { client.send(&request).await });
            until(|| server.count() == 1).await;
            tokio::time::sleep(Duration::from_millis(50)).await;
            server.behave(Serve::Bytes(whole.clone()));
            // Which of the two has it is chance: the other one is left.
            let (one, two) = (fleet.busy(0).await, fleet.busy(1).await);
            fleet.kill(if one { 0 } else { 1 });
            assert!(one != two);
            match asked.await.unwrap() {
                Ok(answer) => assert!(served && answer.body.len() == 200_000 && answer.tries == 2),
                Err(e) => assert!(
                    !served
                        && e.may_have_run
                        && (e.stop_reason, e.kind.clone())
                            == (StopReason::UnsafeToRetry, ErrorKind::ConnectionLost),
                    "{e}"
                ),
            }
            assert_eq!(server.count(), 1 + usize::from(served));
        }
    });
}

#[test]
fn a_key_whose_window_has_passed_is_not_sent_again() {
    local(async {
        let server = Backend::start(Serve::Stall).await;
        let fleet = Fleet::start("window", 2, &[server.at], 1e6).await;
        // The ingress fails it after a while: 504, and by then the key holds no longer.
        let mut told = fleet.submit(RetrySafety::Keyed { window: 100.0 }, 2900);
        let client = fleet.client();
        told = told.timeout_ms(700);
        let e = client.send(&told).await.unwrap_err();
        assert!(e.may_have_run && e.tries == 1, "{e}");
        assert!(matches!(e.stop_reason, StopReason::DedupWindow | StopReason::Deadline), "{e}");
        assert_eq!(server.count(), 1);
    });
}

#[test]
fn a_deadline_that_ends_during_back_off_is_kept() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let fleet = Fleet::start("deadline", 1, &[server.at], 1.0).await;
        let client = fleet.client();
        assert!(client.send(&fleet.board(900)).await.is_ok());
        // Beyond a quota that does not fill: come again in a second, which is too late.
        let e = client.send(&fleet.board(400)).await.unwrap_err();
        assert_eq!(
            (e.kind, e.stop_reason, e.tries, e.may_have_run),
            (ErrorKind::Rejected(429), StopReason::Deadline, 1, false)
        );
    });
}
