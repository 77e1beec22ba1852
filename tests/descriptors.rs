//! Idle clients may fill the descriptors while discovery is down: its calls, the connections to real servers, the counter
//! and the operators' door keep theirs reserved, and after its return the list is read in time. The program itself, with
//! as many descriptors as it is told that it may hold.

mod stand_ins;

use bytes::BytesMut;
use serde_json::{Value, json};
use stand_ins::admin::call;
use stand_ins::ingress::{board, ingress_config};
use stand_ins::program::Program;
use stand_ins::*;
use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use weldhub::config::MAX_ADMIN_CONNECTIONS;
use weldhub::net::http::MessageKind;

/// What discovery has counts as told so long after it could be reached.
const CLOCK: Duration = Duration::from_secs(6);
/// Discovery is down for so long.
const OUTAGE: Duration = Duration::from_secs(5);

/// An agent that accepts and holds every call while it is down, and answers new ones from its return on.
struct DownAgent {
    at: SocketAddr,
    list: Rc<RefCell<Option<String>>>,
}

impl DownAgent {
    async fn start() -> Self {
        let listener = listener().await;
        let this = Self { at: listener.local_addr().unwrap(), list: Rc::default() };
        spawn_local(Self::serve(listener, this.list.clone()));
        this
    }

    async fn serve(listener: TcpListener, list: Rc<RefCell<Option<String>>>) {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let list = list.clone();
            spawn_local(async move {
                message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await;
                let told = list.borrow().clone();
                let Some(line) = told else { return drop(stream.read_to_end(&mut Vec::new()).await) };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ =
                    stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await;
                while stream.write_all(b"1\r\n\n\r\n").await.is_ok() {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
            });
        }
    }

    fn return_with(&self, list: Value) {
        *self.list.borrow_mut() = Some(list.to_string());
    }
}

/// Descriptors that a process holds.
fn descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

async fn filled_while_discovery_is_down(sockets: usize, mode: &str) {
    let agent = DownAgent::start().await;
    let (slow, new) = (Backend::start(Serve::Stall).await, Backend::start(ok("new")).await);
    let (counter, door, peer) = (Counter::start().await, own_address(), own_address());
    // Their cells differ: that a few are slow keeps nothing from the others.
    let known = (0..40).map(|i| service_entry(&format!("k{i}"), slow.at, i, "in_service")).collect();
    let mut told = ingress_config(agent.at, known);
    told["limits"]["sockets"] = json!(sockets);
    told["settings"]["membershipMode"] = json!(mode);
    told["settings"]["familyInfo"] = json!({"largest": 6, "hasCounter": true, "counterTimeout": 50.0});
    told["settings"]["limits"]["mayTell"] = json!(true);
    told["settings"]["classes"][0]["giveUp"] = json!(9000.0);
    told["settings"]["tariffs"][0]["storeSize"] = json!(10_000.0);
    told["settings"]["tariffs"][0]["perSecond"] = json!(1000.0);
    (told["counter"], told["management"]) = (json!(counter.at.to_string()), json!(door.to_string()));
    (told["peer_listen"], told["peers"]) = (json!(peer.to_string()), json!([peer.to_string()]));
    let folder =
        std::env::temp_dir().join(format!("weldhub-descriptors-{}-{sockets}-{mode}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let env = [("TMPDIR", folder.to_string_lossy().into_owned())];
    let mut program = Program::start_with_ulimit(
        &format!("descriptors-{sockets}-{mode}"),
        &told.to_string(),
        &env,
        &format!("-n {sockets}"),
    );
    let at = program.serving().await;
    let (down, process, mut most) = (Instant::now(), program.child.id(), 0);
    let mut clients = Vec::new();
    // As many as fit wait for answers; the others say nothing, and are replaced by more of their like.
    for i in 0..sockets * 2 / 5 {
        let mut client = TcpStream::connect(at).await.unwrap();
        client.write_all(board(&format!("{i}"), 9000, 1).as_bytes()).await.unwrap();
        clients.push(client);
    }
    // Operators who say nothing are let go after some seconds; others come.
    let mut operators = VecDeque::new();
    while down.elapsed() < OUTAGE {
        operators.push_back(TcpStream::connect(door).await.unwrap());
        if operators.len() > MAX_ADMIN_CONNECTIONS {
            operators.pop_front();
        }
        for _ in 0..10 {
            let idle = TcpStream::connect(at);
            clients.extend(tokio::time::timeout(Duration::from_millis(20), idle).await.into_iter().flatten());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        most = most.max(descriptors(process));
    }
    let stat = call(door, "show-stat\n").await;
    assert!(stat.ends_with("eof\n"), "the operators' door answers: {stat}");
    let entries: Vec<_> = (2..5).map(|i| service_entry(&format!("s{i}"), new.at, 0, "in_service")).collect();
    agent.return_with(json!({"generation": 50, "reset": true, "instances": entries}));
    let listed = async { while !call(door, "show-stat\n").await.contains("svc_members 3\n") {} };
    let in_time = tokio::time::timeout(CLOCK, listed).await;

    assert!(in_time.is_ok(), "the list is not read in time: {sockets} descriptors, {mode}");
    assert!(most < sockets, "{most} of {sockets} descriptors, {mode}: it has run out");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn idle_clients_leave_descriptors_to_discovery_the_counter_and_the_door() {
    local(async {
        for sockets in [64, 128, 256] {
            let both = ["pushed", "on_request"]
                .map(|mode| spawn_local(filled_while_discovery_is_down(sockets, mode)));
            for one in both {
                one.await.unwrap();
            }
        }
    });
}
