//! Daily operation of an ingress: the admin interface, metrics, disabling backends, and draining.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use socket2::SockRef;
use stand_ins::admin::*;
use stand_ins::full_backlog::FullBacklog;
use stand_ins::ingress::*;
use stand_ins::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// An ingress for these backends, the address of its admin interface, and its stand-in of discovery.
async fn ingress_with_admin(backends: &[(&str, &Backend)]) -> (Ingress, SocketAddr, Agent) {
    let agent = Agent::start().await;
    let known =
        backends.iter().map(|(name, backend)| service_entry(name, backend.at, 0, "in_service")).collect();
    let mut config = ingress_config(agent.at, known);
    let admin = own_address();
    config["management"] = json!(admin.to_string());
    (start(&config).await, admin, agent)
}

#[test]
fn admin_command_may_arrive_in_pieces_and_idle_connections_block_nobody() {
    local(async {
        let backend = Backend::start(ok("x")).await;
        let (_ingress, admin, _agent) = ingress_with_admin(&[("s1", &backend)]).await;
        let mut idle = Vec::new();
        for i in 0..20 {
            let mut stream = TcpStream::connect(admin).await.unwrap();
            stream.write_all(&b"disable-server s1"[..i % 17]).await.unwrap();
            idle.push(stream);
        }
        let mut slow = TcpStream::connect(admin).await.unwrap();
        for byte in b"ready\r\n" {
            slow.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        assert_eq!(answer_of(slow).await, "ok ready\n");
        assert!(call(admin, "nonsense\n").await.starts_with("fail "));
        assert!(call(admin, &format!("ready{}\n", " ".repeat(5000))).await.starts_with("fail "));
        assert!(call(admin, "disable-server nobody\n").await.starts_with("fail "));
        drop(idle);
        assert_eq!(call(admin, "ready\n").await, "ok ready\n");
    });
}

#[test]
fn metrics_match_what_clients_and_backends_saw() {
    local(async {
        let backend = Backend::start(ok("x")).await;
        let (ingress, admin, _agent) = ingress_with_admin(&[("s1", &backend)]).await;
        let mut client = Client::new(ingress.at).await;
        let mut statuses = BTreeMap::new();
        let mut id = 0;
        let mut ask = async |behaviour: Option<Serve>, request: &dyn Fn(&str) -> String| {
            behaviour.into_iter().for_each(|behaviour| backend.behave(behaviour));
            id += 1;
            let status = status(&client.ask(&request(&format!("r{id}"))).await);
            *statuses.entry(status).or_insert(0) += 1;
        };
        ask(None, &|id| board(id, 900, 5)).await;
        ask(None, &|id| submit(id, 900)).await;
        ask(Some(Serve::Bytes(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n".to_vec())), &|id| {
            submit(id, 900)
        })
        .await;
        ask(Some(Serve::Stall), &|id| submit(id, 300)).await;
        ask(Some(ok("x")), &|id| board(id, 900, 6)).await;
        ask(None, &|id| board(id, 900, 6)).await;
        ask(None, &|id| board(id, 900, 6)).await;
        // The plan has 27 units in all: these two requests exceed them, and one unit remains.
        ask(None, &|id| board(id, 900, 6)).await;
        ask(None, &|id| board(id, 900, 6)).await;
        let departing = {
            backend.behave(Serve::Stall);
            let mut client = Client::new(ingress.at).await;
            let before = backend.count();
            client.send(&board("left", 1400, 1)).await;
            until(|| backend.count() > before).await;
            assert_eq!(figures(admin).await["svc_pending"], 1);
            client
        };
        drop(departing);
        let metrics = loop {
            let metrics = figures(admin).await;
            if metrics["svc_pending"] == 0 {
                break metrics;
            }
        };
        let total = |outcome: &str, class: &str| metrics[&format!("svc_{outcome}_total{{lane=\"{class}\"}}")];
        assert_eq!((total("completed", "board-state"), total("completed", "move-submit")), (4, 1));
        assert_eq!((total("rejected", "board-state"), total("rejected", "move-submit")), (2, 0));
        assert_eq!((total("failed", "board-state"), total("failed", "move-submit")), (0, 2));
        assert_eq!(statuses, BTreeMap::from([(200, 5), (429, 2), (502, 1), (504, 1)]));
        assert_eq!(metrics["svc_upstream_requests_total"], backend.count() as u64);
        assert_eq!((metrics["svc_members"], metrics["svc_members_unavailable"]), (1, 0));
    });
}

#[test]
fn disabled_backend_gets_no_request_whatever_discovery_reports() {
    local(async {
        let (one, two) = (Backend::start(ok("1")).await, Backend::start(ok("2")).await);
        let (ingress, admin, agent) = ingress_with_admin(&[("s1", &one), ("s2", &two)]).await;
        assert_eq!(call(admin, "disable-server s1\n").await, "ok\n");
        assert_eq!(call(admin, "disable-server s1\r\n").await, "ok\n");
        let metrics = figures(admin).await;
        assert_eq!((metrics["svc_members"], metrics["svc_members_unavailable"]), (2, 1));
        until(|| agent.asked.borrow().len() == 1).await;
        let entry = |name, backend: &Backend| service_entry(name, backend.at, 0, "in_service");
        agent.say(50, true, vec![entry("s1", &one), entry("s2", &two), entry("s3", &two)]);
        while figures(admin).await["svc_members"] != 3 {}
        let mut client = Client::new(ingress.at).await;
        for i in 0..10 {
            assert_eq!(status(&client.ask(&board(&format!("a{i}"), 900, 1)).await), 200);
        }
        assert_eq!(one.count(), 0);
        assert_eq!(
            call(admin, "enable-server s1\n").await,
            "ok\n",
            "enabled by one command, though disabled twice"
        );
        // The only backend that is not disabled gets the request.
        assert_eq!(call(admin, "disable-server s2\n").await, "ok\n");
        assert_eq!(call(admin, "disable-server s3\n").await, "ok\n");
        assert_eq!(status(&client.ask(&board("b", 900, 1)).await), 200);
        assert_eq!(one.count(), 1);
    });
}

#[test]
fn drain_fails_readiness_at_once_closes_connections_and_ends_with_resume() {
    local(async {
        let backend = Backend::start(ok("x")).await;
        let (ingress, admin, _agent) = ingress_with_admin(&[("s1", &backend)]).await;
        let mut idle = Client::new(ingress.at).await;
        let mut busy = Client::new(ingress.at).await;
        assert_eq!(status(&idle.ask(&board("a", 900, 1)).await), 200);
        assert_eq!(status(&busy.ask(&board("b", 900, 1)).await), 200);
        assert_eq!(call(admin, "drain\n").await, "ok draining\n");
        assert_eq!(status(&get(ingress.at, "/ready").await), 503);
        assert_eq!(call(admin, "ready\n").await, "ok ready\n", "the process can still serve");
        backend.behave(Serve::Stall);
        busy.send(&board("c", 1400, 1)).await;
        let mut rest = BytesMut::new();
        assert_eq!(idle.0.read_buf(&mut rest).await.unwrap(), 0, "an idle connection is closed");
        // A new connection is still served, and its answer closes it; so does the answer to the request in
        // flight.
        backend.behave(ok("x"));
        let mut late = Client::new(ingress.at).await;
        let answer = late.ask(&board("d", 900, 1)).await;
        assert_eq!((status(&answer), header(&answer, "connection").as_deref()), (200, Some("close")));
        let answer = busy.answer().await.unwrap();
        assert!(header(&answer, "connection").as_deref() == Some("close"), "{}", status(&answer));
        assert_eq!(call(admin, "resume\n").await, "ok\n");
        assert_eq!(status(&get(ingress.at, "/ready").await), 200);
        let answer = Client::new(ingress.at).await.ask(&board("e", 900, 1)).await;
        assert_eq!((status(&answer), header(&answer, "connection")), (200, None));
        // A drain that ends before its connections are closed closes none.
        call(admin, "drain\n").await;
        call(admin, "resume\n").await;
        let mut kept = Client::new(ingress.at).await;
        for i in 0..3 {
            tokio::time::sleep(std::time::Duration::from_millis(250)).await;
            assert_eq!(header(&kept.ask(&board(&format!("f{i}"), 900, 1)).await, "connection"), None);
        }
    });
}

#[test]
fn rejection_at_the_socket_limit_and_broken_answer_are_counted_once() {
    local(async {
        let backend = Backend::start(Serve::Stall).await;
        let agent = Agent::start().await;
        let known = (0..8).map(|i| service_entry(&format!("s{i}"), backend.at, 0, "in_service")).collect();
        let mut config = ingress_config(agent.at, known);
        let admin = own_address();
        config["management"] = json!(admin.to_string());
        config["limits"]["sockets"] = json!(64);
        let ingress = start(&config).await;
        let mut clients = Vec::new();
        // Fills the ingress with open requests until one is rejected.
        let rejected = loop {
            let before = backend.count();
            let mut client = Client::new(ingress.at).await;
            client.send(&board(&format!("a{}", clients.len()), 1400, 1)).await;
            let answered = tokio::select! {
                answer = client.answer() => answer,
                () = until(|| backend.count() > before) => None,
            };
            match answered {
                Some(answer) => break answer,
                None => clients.push(client),
            }
        };
        assert_eq!(status(&rejected), 503);
        let metrics = figures(admin).await;
        assert_eq!(metrics["svc_rejected_total{lane=\"board-state\"}"], 1);
        assert_eq!(metrics["svc_pending"], clients.len() as u64);
        drop(clients);
        while figures(admin).await["svc_pending"] > 0 {}
        // A long answer that breaks off counts as one failed request and one attempt.
        let truncated =
            [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 100_000]].concat();
        backend.behave(Serve::Last(truncated));
        let before = figures(admin).await["svc_upstream_requests_total"];
        let mut client = Client::new(ingress.at).await;
        client.send(&board("b", 1400, 1)).await;
        let mut rest = Vec::new();
        let _ = client.0.read_to_end(&mut rest).await;
        assert!(rest.starts_with(b"HTTP/1.1 200 OK") && rest.len() < 200_000);
        let metrics = figures(admin).await;
        assert_eq!(metrics["svc_failed_total{lane=\"board-state\"}"], 1);
        assert_eq!(metrics["svc_upstream_requests_total"], before + 1);
    });
}

/// The attempt waits for a connection while the backend is disabled; the connection is established
/// afterwards.
#[test]
fn request_waiting_for_a_connection_is_not_sent_to_a_backend_disabled_meanwhile() {
    local(async {
        let (full, agent) = (FullBacklog::new().await, Agent::start().await);
        let mut config = ingress_config(agent.at, vec![service_entry("s1", full.at(), 0, "in_service")]);
        let admin = own_address();
        config["management"] = json!(admin.to_string());
        config["settings"]["limits"]["connectTimeout"] = json!(5000.0);
        let ingress = start(&config).await;
        let mut client = Client::new(ingress.at).await;
        client.send(&submit("a", 2900)).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(call(admin, "disable-server s1\n").await, "ok\n");
        assert_eq!(full.accept_and_read_text().await, "");
        assert_ne!(status(&client.answer().await.unwrap()), 200);
    });
}

/// An incomplete command is ignored when its connection ends. A complete one takes effect although its
/// connection is reset before the answer.
#[test]
fn only_complete_commands_of_closed_admin_connections_take_effect() {
    local(async {
        let (one, two) = (Backend::start(ok("1")).await, Backend::start(ok("2")).await);
        let (ingress, admin, _agent) = ingress_with_admin(&[("s1", &one), ("s2", &two)]).await;
        for (command, resets) in [
            ("disable-server s1", false),
            ("disable-server s1", true),
            ("drain", false),
            ("disable-server s2\n", true),
        ] {
            let mut caller = TcpStream::connect(admin).await.unwrap();
            caller.write_all(command.as_bytes()).await.unwrap();
            if resets {
                SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(caller);
        }
        // Commands are executed in the order in which they arrive.
        while figures(admin).await["svc_members_unavailable"] == 0 {}
        let mut client = Client::new(ingress.at).await;
        for i in 0..10 {
            client.ask(&board(&format!("a{i}"), 900, 1)).await;
        }
        assert!(one.count() > 0);
        assert_eq!(status(&get(ingress.at, "/ready").await), 200);
        assert_eq!(two.count(), 0);
    });
}
