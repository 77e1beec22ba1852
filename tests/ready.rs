//! Restarted processes become ready in time, even when seven in ten of a fleet restart at once while
//! discovery is silent, slow or unreachable. The program is killed with clients connected and started again
//! at its old address.

mod stand_ins;

use bytes::BytesMut;
use serde_json::{Value, json};
use stand_ins::ingress::{Client, ingress_config, status};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use weldhub::net::http::MessageKind;

/// At least nine in ten restarted processes must be ready within this time; the bound holds for the shortest
/// days.
const READY_TIMEOUT: Duration = Duration::from_secs(6);
/// The number of processes that restart at once.
const RESTARTED_PROCESSES: usize = 20;
/// The fleet size in the configuration of each process.
const FLEET_SIZE: usize = 350;

/// How the discovery agent responds to a call.
#[derive(Debug, Clone, Copy)]
enum Discovery {
    /// Accepts the call and never responds.
    Silent,
    /// Sends the response head after 2 s, then the list at one byte per 500 ms.
    Slow,
    /// Refuses the connection: nothing listens at its address.
    Refused,
}

/// Starts a discovery agent with this behaviour; returns its address.
async fn start_discovery(behaviour: Discovery) -> SocketAddr {
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    if !matches!(behaviour, Discovery::Refused) {
        spawn_local(serve(listener, behaviour));
    }
    at
}

async fn serve(listener: TcpListener, behaviour: Discovery) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(respond(stream, behaviour));
    }
}

async fn respond(mut stream: TcpStream, behaviour: Discovery) {
    if message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.is_none() {
        return;
    }
    if let Discovery::Silent = behaviour {
        return std::future::pending().await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let list = json!({"generation": 50, "reset": true, "instances": []}).to_string();
    let pieces = [head.to_owned()].into_iter().chain(list.chars().map(|c| format!("1\r\n{c}\r\n")));
    for piece in pieces {
        if stream.write_all(piece.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// The configuration of one process of the fleet, with or without a known backend list.
fn config(agent: SocketAddr, listen: SocketAddr, mode: &str, known: bool) -> Value {
    let entry = |i: usize| {
        service_entry(&format!("s{i}"), SocketAddr::from(([127, 0, 0, 1], 9)), i as u16, "in_service")
    };
    let mut config = ingress_config(agent, (0..200).map(entry).collect());
    if !known {
        config.as_object_mut().unwrap().remove("known");
    }
    config["listen"] = json!(listen);
    config["settings"]["balancers"] = json!(FLEET_SIZE);
    config["settings"]["membershipMode"] = json!(mode);
    config
}

/// Polls `/ready` at `at` until it returns 200; returns the time since `started`.
async fn time_to_ready(started: Instant, at: SocketAddr) -> Duration {
    loop {
        let response = tokio::time::timeout(Duration::from_secs(1), async {
            let mut client = Client(TcpStream::connect(at).await.ok()?, BytesMut::new());
            client.0.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
            client.answer().await
        });
        if response.await.ok().flatten().is_some_and(|response| status(&response) == 200) {
            return started.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Kills and restarts all processes at once and checks that nine in ten of them are ready in time.
async fn restart_at_once(behaviour: Discovery, mode: &str, known: bool) {
    let agent = start_discovery(behaviour).await;
    let name = |i: usize| format!("ready-{behaviour:?}-{mode}-{known}-{i}");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = config(agent, any, mode, known).to_string();
    let started: Vec<Program> =
        (0..RESTARTED_PROCESSES).map(|i| Program::start(&name(i), &text, &[], false)).collect();
    let (mut programs, mut clients) = (Vec::new(), Vec::new());
    for mut program in started {
        let at = program.serving().await;
        // A client is connected when the process is killed.
        let mut client = Client::new(at).await;
        client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        clients.push(client);
        programs.push((program, at));
    }
    for (program, _) in &mut programs {
        program.child.kill().unwrap();
        program.child.wait().unwrap();
    }
    let (mut restarted, mut ready_times) = (Vec::new(), Vec::new());
    for (i, (_, at)) in programs.iter().enumerate() {
        let text = config(agent, *at, mode, known).to_string();
        let program = Program::start(&format!("{}-again", name(i)), &text, &[], false);
        ready_times.push(spawn_local(time_to_ready(Instant::now(), *at)));
        restarted.push(program);
    }
    let mut in_time = 0;
    for task in ready_times {
        in_time += usize::from(
            tokio::time::timeout(READY_TIMEOUT, task).await.is_ok_and(|time| time.unwrap() < READY_TIMEOUT),
        );
    }
    assert!(
        in_time * 10 >= RESTARTED_PROCESSES * 9,
        "{in_time} of {RESTARTED_PROCESSES} ready in time: {behaviour:?}, {mode}, known: {known}"
    );
}

#[test]
fn nine_in_ten_processes_are_ready_in_time_while_discovery_is_silent_slow_or_unreachable() {
    local(async {
        for behaviour in [Discovery::Silent, Discovery::Slow, Discovery::Refused] {
            restart_at_once(behaviour, "pushed", true).await;
            restart_at_once(behaviour, "on_request", false).await;
        }
    });
}
