//! A client that closes its connection or cancels its request has gone: no attempt, first or further, begins more than
//! 0.1 s later. Whole ingresses before real servers that cannot take the attempt until that time is over.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use socket2::SockRef;
use stand_ins::full_backlog::FullBacklog;
use stand_ins::ingress::*;
use stand_ins::*;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use weldhub::net::http::MessageKind;

/// From then on nothing may begin.
const GONE: Duration = Duration::from_millis(100);

/// An ingress that waits for connections to its real servers for long and tries three times.
async fn before(servers: &[std::net::SocketAddr], cancelling: bool) -> (Ingress, Agent) {
    let agent = Agent::start().await;
    let entry = |(i, at): (usize, &_)| service_entry(&format!("s{i}"), *at, 0, "in_service");
    let mut told = ingress_config(agent.at, servers.iter().enumerate().map(entry).collect());
    told["settings"]["limits"]["connectTimeout"] = json!(5000.0);
    told["settings"]["limits"]["cancelling"] = json!(cancelling);
    (start(&told).await, agent)
}

/// How a client leaves whose request waits.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Leaves {
    Quietly,
    WithReset,
    BehindBytes,
    BehindRequests,
    BehindBody,
}

/// Has a client send its request, wait and leave.
async fn comes_and_leaves(ingress: &Ingress, how: Leaves) {
    let mut client = Client::new(ingress.at).await;
    match how {
        Leaves::Quietly | Leaves::WithReset => client.send(&board("a", 1400, 1)).await,
        Leaves::BehindBytes => {
            client.send(&board("a", 1400, 1)).await;
            client.0.write_all(&vec![b'x'; 1_000_000]).await.unwrap();
        }
        Leaves::BehindRequests => {
            for id in ["a", "b", "c"] {
                client.send(&board(id, 1400, 1)).await;
            }
        }
        Leaves::BehindBody => {
            let text = submit("a", 1400).replace("Content-Length: 4", "Content-Length: 2000000");
            client.send(text.strip_suffix("e2e4").unwrap()).await;
            client.0.write_all(&vec![b'x'; 2_000_000]).await.unwrap();
        }
    }
    tokio::time::sleep(Duration::from_millis(150)).await;
    if how == Leaves::WithReset {
        SockRef::from(&client.0).set_linger(Some(Duration::ZERO)).unwrap();
    }
}

async fn handshake_under_way(how: Leaves, cancelling: bool) {
    let server = FullBacklog::new().await;
    let (ingress, _agent) = before(&[server.at()], cancelling).await;
    comes_and_leaves(&ingress, how).await;
    tokio::time::sleep(GONE).await;
    // Now connections come up; the system tries again by itself.
    let said = server.accept_and_read_text().await;
    assert_eq!(said.lines().next(), None, "{how:?}, cancelling: {cancelling}");
}

#[test]
fn nothing_is_sent_for_who_left_while_the_handshake_to_a_server_was_under_way() {
    local(async {
        let mut playing = Vec::new();
        for cancelling in [true, false] {
            for how in [
                Leaves::Quietly,
                Leaves::WithReset,
                Leaves::BehindBytes,
                Leaves::BehindRequests,
                Leaves::BehindBody,
            ] {
                playing.push(spawn_local(handshake_under_way(how, cancelling)));
            }
        }
        for one in playing {
            one.await.unwrap();
        }
    });
}

async fn first_request(server: &TcpListener) -> TcpStream {
    let (mut stream, _) = server.accept().await.unwrap();
    message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await.unwrap();
    stream
}

/// Fails if anything is sent to either for a while.
async fn nothing_more(servers: [&TcpListener; 2]) {
    let [one, two] = servers;
    tokio::select! {
        stream = first_request(one) => drop(stream),
        stream = first_request(two) => drop(stream),
        () = tokio::time::sleep(Duration::from_millis(700)) => return,
    }
    panic!("something was sent for a client that had left");
}

/// Its first attempt is out as it leaves; 0.1 s later that one never ran, or broke, and there is a server to try next.
#[test]
fn no_further_attempt_begins_for_who_left_during_the_first() {
    local(async {
        for cancelling in [true, false] {
            for ending in [&b"HTTP/1.1 503 X\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"[..], b""] {
                let (one, two) = (listener().await, listener().await);
                let at = [&one, &two].map(|server| server.local_addr().unwrap());
                let (ingress, _agent) = before(&at, cancelling).await;
                let mut client = Client::new(ingress.at).await;
                for id in ["a", "b"] {
                    client.send(&board(id, 1400, 1)).await;
                }
                let mut stream = tokio::select! {
                    stream = first_request(&one) => stream,
                    stream = first_request(&two) => stream,
                };
                drop(client);
                tokio::time::sleep(GONE).await;
                // Where it was cancelled, nobody reads this.
                let _ = stream.write_all(ending).await;
                drop(stream);
                nothing_more([&one, &two]).await;
            }
        }
    });
}

/// The one before it is answered after its client has left: what stands behind it is not sent on.
#[test]
fn requests_behind_the_one_that_waits_are_not_sent_on_once_their_client_has_left() {
    local(async {
        for cancelling in [true, false] {
            let server = Backend::start(Serve::Late(Duration::from_millis(400), "x".into())).await;
            let (ingress, _agent) = before(&[server.at], cancelling).await;
            let mut client = Client::new(ingress.at).await;
            for i in 0..20 {
                client.send(&board(&format!("{i}"), 1400, 1)).await;
            }
            until(|| server.count() == 1).await;
            drop(client);
            tokio::time::sleep(Duration::from_millis(1000)).await;
            assert_eq!(server.count(), 1);
        }
    });
}
