//! A new process comes up at the address of a backend that has gone: what belongs to the old one does not go there.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use stand_ins::ingress::*;
use stand_ins::paced::{Pace, PacedBackend};
use stand_ins::program::Program;
use stand_ins::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use weldhub::net::http::MessageKind;

/// Starts a process that knows one backend, in cell 1, which the test plays; returns it with its listener and agent.
async fn start(name: &str) -> (Program, std::net::SocketAddr, tokio::net::TcpListener, Agent) {
    let (listener, agent) = (listener().await, Agent::start().await);
    let entry = service_entry("old", listener.local_addr().unwrap(), 1, "in_service");
    let mut config = ingress_config(agent.at, vec![entry]);
    config["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
    let mut program = Program::start(name, &config.to_string(), &[], false);
    let listen = program.serving().await;
    (program, listen, listener, agent)
}

fn keyed(id: &str) -> String {
    submit_head(id, 3000, "Content-Length: 4") + "e2e4"
}

/// The old process runs a keyed request and dies; a process of another cell comes up at its address, and the list tells
/// of it before it says that the old one has gone.
#[test]
fn retry_for_a_cell_does_not_go_to_a_new_process_at_the_same_address() {
    local(async {
        let (_program, listen, listener, agent) = start("takeover-retry").await;
        let at = listener.local_addr().unwrap();
        let mut client = Client::new(listen).await;
        client.send(&keyed("move")).await;
        let (mut stream, _) = listener.accept().await.unwrap();
        message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap();
        drop(listener);
        let new = PacedBackend::start_at(at, Pace::default()).await;
        agent.say(42, false, vec![service_entry("new", at, 2, "in_service")]);
        tokio::time::sleep(Duration::from_millis(100)).await;
        drop(stream);
        let answer = client.answer().await.unwrap();
        assert_eq!((status(&answer), new.count("move")), (502, 0));
    });
}

/// The old process still answers on a connection that it has, while the list says that it has started anew at the same
/// address. The connection leads to the old one, and carries nothing for the new one.
#[test]
fn connection_to_an_old_process_is_not_used_for_the_new_one() {
    local(async {
        let (_program, listen, listener, agent) = start("takeover-pool").await;
        let at = listener.local_addr().unwrap();
        let mut client = Client::new(listen).await;
        client.send(&keyed("first")).await;
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut buffer = BytesMut::new();
        message(&mut stream, &mut buffer, MessageKind::Request).await.unwrap();
        drop(listener);
        let new = PacedBackend::start_at(at, Pace::default()).await;
        let mut restarted = service_entry("old", at, 1, "in_service");
        restarted["startedAtMs"] = json!(1000);
        agent.say(42, false, vec![restarted]);
        tokio::time::sleep(Duration::from_millis(100)).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nold").await.unwrap();
        assert_eq!(&client.answer().await.unwrap().body[..], b"old");
        wait_until_reusable().await;
        assert_eq!(status(&client.ask(&keyed("second")).await), 200);
        assert_eq!(new.count("second"), 1);
        let later = message(&mut stream, &mut buffer, MessageKind::Request).await;
        assert!(later.is_none(), "the old process got another request");
    });
}
