//! Daily operation, without the bench: the operators' door, figures, maintenance and drain.

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

/// An ingress with a door, for these real servers.
async fn with_door(servers: &[(&str, &Backend)]) -> (Ingress, SocketAddr, Agent) {
    let agent = Agent::start().await;
    let known =
        servers.iter().map(|(name, server)| service_entry(name, server.at, 0, "in_service")).collect();
    let mut told = ingress_config(agent.at, known);
    let door = own_address();
    told["management"] = json!(door.to_string());
    (start(&told).await, door, agent)
}

#[test]
fn a_call_may_be_cut_anywhere_and_whoever_says_nothing_is_in_nobodys_way() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let (_ingress, door, _agent) = with_door(&[("s1", &server)]).await;
        let mut silent = Vec::new();
        for i in 0..20 {
            let mut stream = TcpStream::connect(door).await.unwrap();
            stream.write_all(&b"disable-server s1"[..i % 17]).await.unwrap();
            silent.push(stream);
        }
        let mut slow = TcpStream::connect(door).await.unwrap();
        for byte in b"ready\r\n" {
            slow.write_all(&[*byte]).await.unwrap();
            tokio::task::yield_now().await;
        }
        assert_eq!(answer_of(slow).await, "ok ready\n");
        assert!(call(door, "nonsense\n").await.starts_with("fail "));
        assert!(call(door, &format!("ready{}\n", " ".repeat(5000))).await.starts_with("fail "));
        assert!(call(door, "disable-server nobody\n").await.starts_with("fail "));
        drop(silent);
        assert_eq!(call(door, "ready\n").await, "ok ready\n");
    });
}

#[test]
fn figures_are_what_clients_and_real_servers_saw() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let (ingress, door, _agent) = with_door(&[("s1", &server)]).await;
        let mut client = Client::new(ingress.at).await;
        let mut seen = BTreeMap::new();
        let mut id = 0;
        let mut ask = async |manner: Option<Serve>, text: &dyn Fn(&str) -> String| {
            manner.into_iter().for_each(|manner| server.behave(manner));
            id += 1;
            let status = status(&client.ask(&text(&format!("r{id}"))).await);
            *seen.entry(status).or_insert(0) += 1;
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
        // The plan has 27 units in all: these are beyond them, and one is left.
        ask(None, &|id| board(id, 900, 6)).await;
        ask(None, &|id| board(id, 900, 6)).await;
        let left = {
            server.behave(Serve::Stall);
            let mut client = Client::new(ingress.at).await;
            let before = server.count();
            client.send(&board("left", 1400, 1)).await;
            until(|| server.count() > before).await;
            assert_eq!(figures(door).await["svc_pending"], 1);
            client
        };
        drop(left);
        let all = loop {
            let all = figures(door).await;
            if all["svc_pending"] == 0 {
                break all;
            }
        };
        let of = |what: &str, class: &str| all[&format!("svc_{what}_total{{lane=\"{class}\"}}")];
        assert_eq!((of("completed", "board-state"), of("completed", "move-submit")), (4, 1));
        assert_eq!((of("rejected", "board-state"), of("rejected", "move-submit")), (2, 0));
        assert_eq!((of("failed", "board-state"), of("failed", "move-submit")), (0, 2));
        assert_eq!(seen, BTreeMap::from([(200, 5), (429, 2), (502, 1), (504, 1)]));
        assert_eq!(all["svc_upstream_requests_total"], server.count() as u64);
        assert_eq!((all["svc_members"], all["svc_members_unavailable"]), (1, 0));
    });
}

#[test]
fn nothing_goes_to_a_real_server_that_is_out_whatever_discovery_says() {
    local(async {
        let (one, two) = (Backend::start(ok("1")).await, Backend::start(ok("2")).await);
        let (ingress, door, agent) = with_door(&[("s1", &one), ("s2", &two)]).await;
        assert_eq!(call(door, "disable-server s1\n").await, "ok\n");
        assert_eq!(call(door, "disable-server s1\r\n").await, "ok\n");
        let all = figures(door).await;
        assert_eq!((all["svc_members"], all["svc_members_unavailable"]), (2, 1));
        until(|| agent.asked.borrow().len() == 1).await;
        let entry = |name, server: &Backend| service_entry(name, server.at, 0, "in_service");
        agent.say(50, true, vec![entry("s1", &one), entry("s2", &two), entry("s3", &two)]);
        while figures(door).await["svc_members"] != 3 {}
        let mut client = Client::new(ingress.at).await;
        for i in 0..10 {
            assert_eq!(status(&client.ask(&board(&format!("a{i}"), 900, 1)).await), 200);
        }
        assert_eq!(one.count(), 0);
        assert_eq!(call(door, "enable-server s1\n").await, "ok\n", "once back is back");
        // The only one that is not out gets what comes.
        assert_eq!(call(door, "disable-server s2\n").await, "ok\n");
        assert_eq!(call(door, "disable-server s3\n").await, "ok\n");
        assert_eq!(status(&client.ask(&board("b", 900, 1)).await), 200);
        assert_eq!(one.count(), 1);
    });
}

#[test]
fn a_drain_says_no_at_once_closes_what_is_open_and_ends_with_resume() {
    local(async {
        let server = Backend::start(ok("x")).await;
        let (ingress, door, _agent) = with_door(&[("s1", &server)]).await;
        let mut idle = Client::new(ingress.at).await;
        let mut busy = Client::new(ingress.at).await;
        assert_eq!(status(&idle.ask(&board("a", 900, 1)).await), 200);
        assert_eq!(status(&busy.ask(&board("b", 900, 1)).await), 200);
        assert_eq!(call(door, "drain\n").await, "ok draining\n");
        assert_eq!(status(&get(ingress.at, "/ready").await), 503);
        assert_eq!(call(door, "ready\n").await, "ok ready\n", "the process can serve all the same");
        server.behave(Serve::Stall);
        busy.send(&board("c", 1400, 1)).await;
        let mut rest = BytesMut::new();
        assert_eq!(idle.0.read_buf(&mut rest).await.unwrap(), 0, "an idle connection is closed");
        // Who comes all the same is served, and told to go; what was taken is answered.
        server.behave(ok("x"));
        let mut late = Client::new(ingress.at).await;
        let answer = late.ask(&board("d", 900, 1)).await;
        assert_eq!((status(&answer), header(&answer, "connection").as_deref()), (200, Some("close")));
        let answer = busy.answer().await.unwrap();
        assert!(header(&answer, "connection").as_deref() == Some("close"), "{}", status(&answer));
        assert_eq!(call(door, "resume\n").await, "ok\n");
        assert_eq!(status(&get(ingress.at, "/ready").await), 200);
        let answer = Client::new(ingress.at).await.ask(&board("e", 900, 1)).await;
        assert_eq!((status(&answer), header(&answer, "connection")), (200, None));
        // A drain called off before its connections are closed closes none.
        call(door, "drain\n").await;
        call(door, "resume\n").await;
        let mut kept = Client::new(ingress.at).await;
        for i in 0..3 {
            tokio::time::sleep(std::time::Duration::from_millis(250)).await;
            assert_eq!(header(&kept.ask(&board(&format!("f{i}"), 900, 1)).await, "connection"), None);
        }
    });
}

#[test]
fn a_full_table_and_a_broken_long_answer_are_counted_as_clients_saw_them() {
    local(async {
        let server = Backend::start(Serve::Stall).await;
        let agent = Agent::start().await;
        let known = (0..8).map(|i| service_entry(&format!("s{i}"), server.at, 0, "in_service")).collect();
        let mut told = ingress_config(agent.at, known);
        let door = own_address();
        told["management"] = json!(door.to_string());
        told["limits"]["sockets"] = json!(64);
        let ingress = start(&told).await;
        let mut clients = Vec::new();
        // As many as the table holds, and one that is turned away.
        let refused = loop {
            let before = server.count();
            let mut client = Client::new(ingress.at).await;
            client.send(&board(&format!("a{}", clients.len()), 1400, 1)).await;
            let answered = tokio::select! {
                answer = client.answer() => answer,
                () = until(|| server.count() > before) => None,
            };
            match answered {
                Some(answer) => break answer,
                None => clients.push(client),
            }
        };
        assert_eq!(status(&refused), 503);
        let all = figures(door).await;
        assert_eq!(all["svc_rejected_total{lane=\"board-state\"}"], 1);
        assert_eq!(all["svc_pending"], clients.len() as u64);
        drop(clients);
        while figures(door).await["svc_pending"] > 0 {}
        // A first attempt that fails, and a long answer that breaks off: one try each way is counted.
        let half = [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n".to_vec(), vec![7; 100_000]].concat();
        server.behave(Serve::Last(half));
        let before = figures(door).await["svc_upstream_requests_total"];
        let mut client = Client::new(ingress.at).await;
        client.send(&board("b", 1400, 1)).await;
        let mut rest = Vec::new();
        let _ = client.0.read_to_end(&mut rest).await;
        assert!(rest.starts_with(b"HTTP/1.1 200 OK") && rest.len() < 200_000);
        let all = figures(door).await;
        assert_eq!(all["svc_failed_total{lane=\"board-state\"}"], 1);
        assert_eq!(all["svc_upstream_requests_total"], before + 1);
    });
}

/// Its attempt waits for a connection as the operator is told that the real server is out; the connection comes up then.
#[test]
fn what_waits_for_a_connection_to_a_real_server_that_is_taken_out_never_goes_there() {
    local(async {
        let (full, agent) = (FullBacklog::new().await, Agent::start().await);
        let mut told = ingress_config(agent.at, vec![service_entry("s1", full.at(), 0, "in_service")]);
        let door = own_address();
        told["management"] = json!(door.to_string());
        told["settings"]["limits"]["connectTimeout"] = json!(5000.0);
        let ingress = start(&told).await;
        let mut client = Client::new(ingress.at).await;
        client.send(&submit("a", 2900)).await;
        tokio::time::sleep(Duration::from_millis(150)).await;
        assert_eq!(call(door, "disable-server s1\n").await, "ok\n");
        assert_eq!(full.accept_and_read_text().await, "");
        assert_ne!(status(&client.answer().await.unwrap()), 200);
    });
}

/// Half a call whose caller leaves is none; a whole one holds though its caller resets before it is answered.
#[test]
fn a_caller_that_leaves_has_said_what_it_said_whole() {
    local(async {
        let (one, two) = (Backend::start(ok("1")).await, Backend::start(ok("2")).await);
        let (ingress, door, _agent) = with_door(&[("s1", &one), ("s2", &two)]).await;
        for (said, resets) in [
            ("disable-server s1", false),
            ("disable-server s1", true),
            ("drain", false),
            ("disable-server s2\n", true),
        ] {
            let mut caller = TcpStream::connect(door).await.unwrap();
            caller.write_all(said.as_bytes()).await.unwrap();
            if resets {
                SockRef::from(&caller).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(caller);
        }
        // Calls are answered in the order in which they come.
        while figures(door).await["svc_members_unavailable"] == 0 {}
        let mut client = Client::new(ingress.at).await;
        for i in 0..10 {
            client.ask(&board(&format!("a{i}"), 900, 1)).await;
        }
        assert!(one.count() > 0);
        assert_eq!(status(&get(ingress.at, "/ready").await), 200);
        assert_eq!(two.count(), 0);
    });
}
