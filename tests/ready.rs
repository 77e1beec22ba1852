//! Restarted processes are ready in time, also where seven in ten of a fleet restart at once and discovery is silent, slow
//! or not there. The program itself, killed with clients connected and started again at its old address.

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

/// Nine of ten are to be ready by then, on the shortest days.
const READY: Duration = Duration::from_secs(6);
/// So many restart at once here, of a fleet of so many.
const RESTART: usize = 20;
const FLEET: usize = 350;

/// What discovery does with a call.
#[derive(Debug, Clone, Copy)]
enum Discovery {
    /// It accepts, and never says a word.
    Silent,
    /// It says its head after a while, and then a byte of the list now and then.
    Slow,
    /// It is not there.
    Refuses,
}

async fn discovery(how: Discovery) -> SocketAddr {
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    if !matches!(how, Discovery::Refuses) {
        spawn_local(serve(listener, how));
    }
    at
}

async fn serve(listener: TcpListener, how: Discovery) {
    loop {
        let (stream, _) = listener.accept().await.unwrap();
        spawn_local(answer(stream, how));
    }
}

async fn answer(mut stream: TcpStream, how: Discovery) {
    if message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.is_none() {
        return;
    }
    if let Discovery::Silent = how {
        return std::future::pending().await;
    }
    tokio::time::sleep(Duration::from_secs(2)).await;
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let list = json!({"generation": 50, "reset": true, "instances": []}).to_string();
    let slow = [head.to_owned()].into_iter().chain(list.chars().map(|c| format!("1\r\n{c}\r\n")));
    for piece in slow {
        if stream.write_all(piece.as_bytes()).await.is_err() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(500)).await;
    }
}

/// Settings of the whole fleet, with or without a list from before.
fn settings(agent: SocketAddr, listen: SocketAddr, mode: &str, known: bool) -> Value {
    let entry = |i: usize| {
        service_entry(&format!("s{i}"), SocketAddr::from(([127, 0, 0, 1], 9)), i as u16, "in_service")
    };
    let mut told = ingress_config(agent, (0..200).map(entry).collect());
    if !known {
        told.as_object_mut().unwrap().remove("known");
    }
    told["listen"] = json!(listen);
    told["settings"]["balancers"] = json!(FLEET);
    told["settings"]["membershipMode"] = json!(mode);
    told
}

/// How long a process takes from its start until it says that it is ready.
async fn ready(started: Instant, at: SocketAddr) -> Duration {
    loop {
        let asked = tokio::time::timeout(Duration::from_secs(1), async {
            let mut client = Client(TcpStream::connect(at).await.ok()?, BytesMut::new());
            client.0.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
            client.answer().await
        });
        if asked.await.ok().flatten().is_some_and(|answer| status(&answer) == 200) {
            return started.elapsed();
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

async fn restart_at_once(how: Discovery, mode: &str, known: bool) {
    let agent = discovery(how).await;
    let name = |i: usize| format!("ready-{how:?}-{mode}-{known}-{i}");
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let text = settings(agent, any, mode, known).to_string();
    let started: Vec<Program> = (0..RESTART).map(|i| Program::start(&name(i), &text, &[], false)).collect();
    let (mut programs, mut clients) = (Vec::new(), Vec::new());
    for mut program in started {
        let at = program.serving().await;
        // Somebody is connected as it dies.
        let mut client = Client::new(at).await;
        client.ask("GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await;
        clients.push(client);
        programs.push((program, at));
    }
    for (program, _) in &mut programs {
        program.child.kill().unwrap();
        program.child.wait().unwrap();
    }
    let (mut restarted, mut took) = (Vec::new(), Vec::new());
    for (i, (_, at)) in programs.iter().enumerate() {
        let text = settings(agent, *at, mode, known).to_string();
        let program = Program::start(&format!("{}-again", name(i)), &text, &[], false);
        took.push(spawn_local(ready(Instant::now(), *at)));
        restarted.push(program);
    }
    let mut in_time = 0;
    for one in took {
        in_time +=
            usize::from(tokio::time::timeout(READY, one).await.is_ok_and(|took| took.unwrap() < READY));
    }
    assert!(in_time * 10 >= RESTART * 9, "{in_time} of {RESTART} in time: {how:?}, {mode}, known: {known}");
}

#[test]
fn nine_in_ten_are_ready_in_time_while_discovery_is_silent_slow_or_away() {
    local(async {
        for how in [Discovery::Silent, Discovery::Slow, Discovery::Refuses] {
            restart_at_once(how, "pushed", true).await;
            restart_at_once(how, "on_request", false).await;
        }
    });
}
