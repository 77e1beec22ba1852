//! While discovery is down, idle clients may use up the file descriptors. Descriptors stay reserved for
//! discovery, backend connections, the counter and the admin interface, so that the backend list is read in
//! time once discovery is back. The tests run the program with its descriptor limit (`ulimit -n`) equal to
//! the configured `limits.sockets`.

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

/// The backend list must be known within this time after discovery becomes reachable again.
const DISCOVERY_TIMEOUT: Duration = Duration::from_secs(6);
/// How long discovery is down.
const OUTAGE: Duration = Duration::from_secs(5);

/// A discovery agent that accepts every call. It leaves calls without a response while it is down, and
/// answers new calls once a list is set.
struct DownAgent {
    at: SocketAddr,
    /// The list it responds with; `None` while it is down.
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
                let line = list.borrow().clone();
                let Some(line) = line else { return drop(stream.read_to_end(&mut Vec::new()).await) };
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                let _ =
                    stream.write_all(format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await;
                while stream.write_all(b"1\r\n\n\r\n").await.is_ok() {
                    tokio::time::sleep(Duration::from_secs(2)).await;
                }
            });
        }
    }

    /// Ends the outage: new calls receive `list`.
    fn come_back_with(&self, list: Value) {
        *self.list.borrow_mut() = Some(list.to_string());
    }
}

/// The number of file descriptors that a process has open.
fn open_descriptors(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd")).unwrap().count()
}

/// Fills a program limited to `sockets` descriptors with idle connections during a discovery outage, then
/// checks that it reads the new backend list in time and never used all of its descriptors.
async fn check_descriptors_during_outage(sockets: usize, mode: &str) {
    let agent = DownAgent::start().await;
    let (stalled, new) = (Backend::start(Serve::Stall).await, Backend::start(ok("new")).await);
    let (counter, admin, peer) = (Counter::start().await, own_address(), own_address());
    // Each backend is in a cell of its own, so that a few slow ones do not hold back requests to the others.
    let known = (0..40).map(|i| service_entry(&format!("k{i}"), stalled.at, i, "in_service")).collect();
    let mut config = ingress_config(agent.at, known);
    config["limits"]["sockets"] = json!(sockets);
    config["settings"]["membershipMode"] = json!(mode);
    config["settings"]["familyInfo"] = json!({"largest": 6, "hasCounter": true, "counterTimeout": 50.0});
    config["settings"]["limits"]["mayTell"] = json!(true);
    config["settings"]["classes"][0]["giveUp"] = json!(9000.0);
    config["settings"]["tariffs"][0]["storeSize"] = json!(10_000.0);
    config["settings"]["tariffs"][0]["perSecond"] = json!(1000.0);
    (config["counter"], config["management"]) = (json!(counter.at.to_string()), json!(admin.to_string()));
    (config["peer_listen"], config["peers"]) = (json!(peer.to_string()), json!([peer.to_string()]));
    let folder =
        std::env::temp_dir().join(format!("weldhub-descriptors-{}-{sockets}-{mode}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let env = [("TMPDIR", folder.to_string_lossy().into_owned())];
    let mut program = Program::start_with_ulimit(
        &format!("descriptors-{sockets}-{mode}"),
        &config.to_string(),
        &env,
        &format!("-n {sockets}"),
    );
    let at = program.serving().await;
    let (outage_start, process, mut max_open) = (Instant::now(), program.child.id(), 0);
    let mut clients = Vec::new();
    // Two fifths of the descriptors hold requests that wait for their response. The connections opened below
    // send nothing, and more of them follow when the ingress closes them.
    for i in 0..sockets * 2 / 5 {
        let mut client = TcpStream::connect(at).await.unwrap();
        client.write_all(board(&format!("{i}"), 9000, 1).as_bytes()).await.unwrap();
        clients.push(client);
    }
    // Admin connections that send nothing are closed after some seconds; new ones replace them.
    let mut operators = VecDeque::new();
    while outage_start.elapsed() < OUTAGE {
        operators.push_back(TcpStream::connect(admin).await.unwrap());
        if operators.len() > MAX_ADMIN_CONNECTIONS {
            operators.pop_front();
        }
        for _ in 0..10 {
            let idle = TcpStream::connect(at);
            clients.extend(tokio::time::timeout(Duration::from_millis(20), idle).await.into_iter().flatten());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
        max_open = max_open.max(open_descriptors(process));
    }
    let stat = call(admin, "show-stat\n").await;
    assert!(stat.ends_with("eof\n"), "unexpected response of the admin interface: {stat}");
    let entries: Vec<_> = (2..5).map(|i| service_entry(&format!("s{i}"), new.at, 0, "in_service")).collect();
    agent.come_back_with(json!({"generation": 50, "reset": true, "instances": entries}));
    let list_read = async { while !call(admin, "show-stat\n").await.contains("svc_members 3\n") {} };
    let in_time = tokio::time::timeout(DISCOVERY_TIMEOUT, list_read).await;

    assert!(in_time.is_ok(), "the backend list was not read in time: {sockets} descriptors, {mode}");
    assert!(max_open < sockets, "{max_open} of {sockets} descriptors in use, {mode}: none left");
    let _ = std::fs::remove_dir_all(folder);
}

#[test]
fn idle_clients_leave_descriptors_for_discovery_counter_and_admin_interface() {
    local(async {
        for sockets in [64, 128, 256] {
            let tasks = ["pushed", "on_request"]
                .map(|mode| spawn_local(check_descriptors_during_outage(sockets, mode)));
            for task in tasks {
                task.await.unwrap();
            }
        }
    });
}
