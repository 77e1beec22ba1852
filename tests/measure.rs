//! Measurements, not part of CI: `cargo test --release --test measure -- --ignored --nocapture`. They print what they
//! measure, and fail only if a bound of README.md is exceeded.

mod stand_ins;

use serde_json::json;
use stand_ins::admin::*;
use stand_ins::ingress::*;
use stand_ins::program::Program;
use stand_ins::*;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::spawn_local;

/// Returns a field of the process's `/proc/PID/status` in kB, such as `VmRSS`.
fn memory_kb(program: &Program, field: &str) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{}/status", program.child.id())).unwrap();
    let line = status.lines().find_map(|line| line.strip_prefix(field)).unwrap();
    line.trim_start_matches(':').trim().trim_end_matches(" kB").trim().parse().unwrap()
}

/// Starts a backend that answers each request with a body of `body_length` bytes, and returns its address.
async fn large_answer_backend(body_length: usize) -> std::net::SocketAddr {
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    let answer: Rc<Vec<u8>> = Rc::new(
        [
            format!("HTTP/1.1 200 OK\r\nContent-Length: {body_length}\r\n\r\n").into_bytes(),
            vec![7; body_length],
        ]
        .concat(),
    );
    spawn_local(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let answer = answer.clone();
            spawn_local(async move {
                let mut buffer = bytes::BytesMut::new();
                while message(&mut stream, &mut buffer, weldhub::net::http::MessageKind::Request)
                    .await
                    .is_some()
                {
                    if stream.write_all(&answer).await.is_err() {
                        return;
                    }
                }
            });
        }
    });
    at
}

#[test]
#[ignore = "a measurement"]
fn memory_and_admin_latency_under_streams_of_32_mb() {
    local(async {
        let (agent, at) = (Agent::start().await, large_answer_backend(32 << 20).await);
        let known = (0..8).map(|i| service_entry(&format!("s{i}"), at, 0, "in_service")).collect();
        let mut config_json = ingress_config(agent.at, known);
        config_json["limits"] = json!({"cores": 1.0, "memory_mb": 32, "sockets": 256});
        config_json["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        let admin = own_address();
        let env = [("RELAY_MANAGEMENT", admin.to_string())];
        let mut program = Program::start("measure", &config_json.to_string(), &env, false);
        let at = program.serving().await;
        let before = memory_kb(&program, "VmRSS");
        let (read, done) = (Rc::new(Cell::new(0u64)), Rc::new(Cell::new(false)));
        for i in 0..80 {
            let (read, done) = (read.clone(), done.clone());
            spawn_local(async move {
                let mut client = Client::new(at).await;
                let mut piece = vec![0; 64 * 1024];
                // A rejected client retries, so that all of them receive an answer at the same time.
                for n in 0.. {
                    client.send(&board(&format!("m{i}-{n}"), 1400, 1)).await;
                    let read = client.0.read(&mut piece).await.unwrap_or(0);
                    if read == 0 || piece.starts_with(b"HTTP/1.1 200") {
                        break;
                    }
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
                while !done.get() {
                    // Every second client reads slowly, the others as fast as they can.
                    if i % 2 == 0 {
                        tokio::time::sleep(Duration::from_millis(250)).await;
                    }
                    match client.0.read(&mut piece).await {
                        Ok(n) if n > 0 => read.set(read.get() + n as u64),
                        _ => return,
                    }
                }
            });
        }
        let mut max_pending = 0;
        let (mut slowest, mut commands, began) = (Duration::ZERO, 0, Instant::now());
        while began.elapsed() < Duration::from_secs(10) {
            let at = Instant::now();
            max_pending = max_pending.max(figures(admin).await["svc_pending"]);
            (slowest, commands) = (slowest.max(at.elapsed()), commands + 1);
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let peak = memory_kb(&program, "VmHWM");
        done.set(true);
        println!(
            "{} MB passed on, {max_pending} at once at most; resident {before} kB before, {peak} kB at most; \
             {commands} commands at the admin interface, the slowest {slowest:?}",
            read.get() >> 20
        );
        assert!(peak < 32 << 10 && slowest < Duration::from_secs(1));
    });
}

#[test]
#[ignore = "a measurement"]
fn requests_lost_in_twenty_upgrades_under_load() {
    local(async {
        let (agent, backend) = (Agent::start().await, Backend::start(ok("x")).await);
        let listen = own_address();
        let mut config_json =
            ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")]);
        config_json["listen"] = json!(listen.to_string());
        config_json["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        let folder = std::env::temp_dir().join(format!("weldhub-{}-measure.d", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let start = async |i: usize| {
            let admin = own_address();
            let env = [("RELAY_MANAGEMENT", admin.to_string()), ("TMPDIR", folder.display().to_string())];
            let mut program = Program::start(&format!("measure-{i}"), &config_json.to_string(), &env, false);
            program.serving().await;
            program
        };
        let mut old = start(0).await;
        let (counts, done) = (Rc::new(Cell::new([0u64; 3])), Rc::new(Cell::new(false)));
        let mut clients = Vec::new();
        for c in 0..30 {
            let (counts, done) = (counts.clone(), done.clone());
            clients.push(spawn_local(async move {
                let mut client = Client::new(listen).await;
                let mut n = 0;
                while !done.get() {
                    n += 1;
                    if n % 50 == 0 {
                        client = Client::new(listen).await;
                    }
                    client.send(&board(&format!("c{c}-{n}"), 1400, 1)).await;
                    let [mut served, mut rejected, mut lost] = counts.get();
                    match client.answer().await {
                        Some(answer) if status(&answer) == 200 => served += 1,
                        Some(_) => rejected += 1,
                        None => {
                            lost += 1;
                            client = Client::new(listen).await;
                        }
                    }
                    counts.set([served, rejected, lost]);
                    tokio::time::sleep(Duration::from_millis(5)).await;
                }
            }));
        }
        let mut slowest = Duration::ZERO;
        for i in 1..=20 {
            let at = Instant::now();
            let new = start(i).await;
            slowest = slowest.max(at.elapsed());
            old.signal("TERM");
            assert!(old.end().await.success());
            old = new;
        }
        done.set(true);
        for client in clients {
            client.await.unwrap();
        }
        let [served, rejected, lost] = counts.get();
        println!(
            "{served} served, {rejected} rejected or failed, {lost} lost; the slowest start took {slowest:?}"
        );
        let _ = std::fs::remove_dir_all(&folder);
        assert_eq!(lost, 0);
    });
}

/// Measures the time from the moment Consul reports an authoriser as critical to the last check that reaches it.
#[test]
#[ignore = "a measurement"]
fn delay_from_a_critical_status_in_consul_to_the_last_check_at_the_authoriser() {
    use prost::Message;
    use weldhub::fronts::ext_authz::proto::*;
    local(async {
        let allow = bytes::Bytes::from_static(&[0x0a, 0x00, 0x1a, 0x00]);
        let (a, b) = (
            Authoriser::start(AuthoriserMode::Answer(allow.clone())).await,
            Authoriser::start(AuthoriserMode::Answer(allow)).await,
        );
        let both = |status: &str| vec![instance("a", a.at, 0, status), instance("b", b.at, 0, "passing")];
        let consul = Consul::start(both("passing")).await;
        let text = include_str!("../deploy/ext-authz.toml")
            .replace("127.0.0.1:8500", &consul.at.to_string())
            .replace("storeSize = 27.0", "storeSize = 1e6")
            .replace("# flap_hold_ms = 1000", "flap_hold_ms = 1")
            .replace("# flap_hold_most_ms = 30000", "flap_hold_most_ms = 1");
        let config = weldhub::config::AuthzConfig::read(&text, |_| None).unwrap();
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let (_updates, reloadable) = tokio::sync::watch::channel(config.reloadable());
        spawn_local(weldhub::node::serve_authz(
            config,
            listener,
            discarding_logger(),
            reloadable,
            std::future::pending(),
        ));
        let headers = [("x-club", "Almaty-7"), ("x-tier", "club")];
        let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).into();
        let http =
            HttpRequest { method: "GET".into(), path: "/api/boards/1".into(), headers, header_map: None };
        let request = Some(Request { http: Some(http) });
        let attributes = AttributeContext { request, context_extensions: Default::default() };
        let check: bytes::Bytes = CheckRequest { attributes: Some(attributes) }.encode_to_vec().into();
        for callers in [4, 40] {
            let done = Rc::new(Cell::new(false));
            for _ in 0..callers {
                let (done, check) = (done.clone(), check.clone());
                spawn_local(async move {
                    while !done.get() {
                        let Ok(sender) = weldhub::fronts::ext_authz::authorisers::open(at).await else {
                            continue;
                        };
                        for _ in 0..50 {
                            let request = tonic::Request::new(check.clone());
                            let answer =
                                weldhub::fronts::ext_authz::authorisers::call(sender.clone(), at, request);
                            let _ = answer.await;
                            tokio::time::sleep(Duration::from_millis(if callers == 4 { 20 } else { 2 }))
                                .await;
                        }
                    }
                });
            }
            let mut delays = Vec::new();
            for _ in 0..40 {
                let before = a.count();
                until(|| a.count() > before).await;
                let reported = Instant::now();
                consul.set(None, both("critical"));
                tokio::time::sleep(Duration::from_millis(120)).await;
                let last = a.last.lock().unwrap().unwrap();
                delays.push(last.saturating_duration_since(reported).as_secs_f64() * 1000.0);
                consul.set(None, both("passing"));
            }
            done.set(true);
            delays.sort_by(f64::total_cmp);
            println!("{callers} callers: median {:.2} ms, worst of 40 {:.2} ms", delays[20], delays[39]);
            assert!(delays[39] < 250.0);
        }
    });
}
