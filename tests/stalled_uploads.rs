//! Long request bodies whose backend stops reading or answers before the body is complete. Whatever the
//! backend does, the request gets one final answer, and what it holds is released.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use stand_ins::admin::figures;
use stand_ins::ingress::*;
use stand_ins::long_body::{Behavior, LongBodyBackend};
use stand_ins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use weldhub::net::http::MessageKind;

/// The length of a body, in bytes: more than all buffers between the ingress and the backend hold.
const BODY_BYTES: usize = 8 << 20;
/// The length of the body that a pausing backend reads, in bytes.
const LONGER_BODY_BYTES: usize = 24 << 20;
/// The client's timeout, in milliseconds.
const TIMEOUT_MS: u32 = 900;
/// An answer later than this after the last byte of the body counts as lost.
const ANSWER_LIMIT: Duration = Duration::from_millis(TIMEOUT_MS as u64 + 500);

/// Starts an ingress in front of this backend. Returns its admin interface too.
async fn start_ingress(backend: &LongBodyBackend) -> (Ingress, SocketAddr, Agent) {
    let agent = Agent::start().await;
    let mut config = ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")]);
    let admin = own_address();
    config["management"] = json!(admin.to_string());
    (start(&config).await, admin, agent)
}

/// The head of a request with a body of this length in bytes, and that body.
fn long_request(length: usize, chunked: bool) -> Vec<u8> {
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let mut bytes = submit_head("long", TIMEOUT_MS, &framing).into_bytes();
    if chunked {
        bytes.extend(format!("{length:x}\r\n").as_bytes());
    }
    bytes.resize(bytes.len() + length, b'm');
    if chunked {
        bytes.extend(b"\r\n0\r\n\r\n");
    }
    bytes
}

/// Sends a long request and returns the status of its answer, and the time from its last byte to the answer.
/// If the answer comes before the last byte could be written, that time is zero.
async fn ask_long(ingress: &Ingress, length: usize, chunked: bool) -> Option<(u16, Duration)> {
    let stream = TcpStream::connect(ingress.at).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = spawn_local(async move {
        writer.write_all(&long_request(length, chunked)).await.unwrap();
        (Instant::now(), writer)
    });
    let mut buffer = BytesMut::new();
    let answer = message(&mut reader, &mut buffer, MessageKind::Response);
    let answer = tokio::time::timeout(Duration::from_secs(8), answer).await.ok()??;
    let answered_at = Instant::now();
    let (last_byte_at, _writer) = writing.await.unwrap();
    Some((status(&answer), answered_at.saturating_duration_since(last_byte_at)))
}

/// Sends a long request to a backend that writes `text` after the head and hangs.
async fn ask_hung_backend(text: &'static str, chunked: bool) {
    let backend = LongBodyBackend::start(Behavior::Stop(text)).await;
    let (ingress, admin, _agent) = start_ingress(&backend).await;
    let (status, after) = ask_long(&ingress, BODY_BYTES, chunked)
        .await
        .unwrap_or_else(|| panic!("no answer; the backend sent {text:?} and hung; chunked: {chunked}"));
    assert!((400..600).contains(&status), "{status}");
    assert!(after < ANSWER_LIMIT, "{text:?}, chunked: {chunked}: {after:?}");
    until(|| backend.open.get() == 0).await;
    assert_eq!(figures(admin).await["svc_pending"], 0);
}

/// Guards against an upload that waits for its backend for ever: the backend hangs in the middle of the body,
/// before or after it began to send something.
#[test]
fn long_body_whose_backend_hangs_is_answered_in_time() {
    local(async {
        let mut tasks = Vec::new();
        for text in [
            "",
            "HTTP/1.1 103 Early Hints\r\n\r\n",
            "HTTP/1.1 50",
            "HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\n",
        ] {
            for chunked in [false, true] {
                tasks.push(spawn_local(ask_hung_backend(text, chunked)));
            }
        }
        for task in tasks {
            task.await.unwrap();
        }
    });
}

/// Guards against an upload that an interim response ends: the body goes on, and the final answer is served.
#[test]
fn interim_response_does_not_end_a_long_body() {
    local(async {
        for text in [
            "HTTP/1.1 100 Continue\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\nHTTP/1.1 102 Processing\r\n\r\n",
        ] {
            let backend = LongBodyBackend::start(Behavior::Read(text)).await;
            let (ingress, ..) = start_ingress(&backend).await;
            assert_eq!(ask_long(&ingress, BODY_BYTES, false).await.unwrap().0, 200, "{text:?}");
        }
    });
}

/// Guards against a request that outlives its client: the backend has begun an answer in the middle of the body and
/// hangs, then the client leaves.
#[test]
fn upload_is_released_when_its_client_leaves_a_hung_backend() {
    local(async {
        for text in ["", "HTTP/1.1 103 Early Hints\r\n\r\n", "HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\n"] {
            let backend = LongBodyBackend::start(Behavior::Stop(text)).await;
            let (ingress, admin, _agent) = start_ingress(&backend).await;
            let mut client = Client::new(ingress.at).await;
            let request = long_request(BODY_BYTES, false);
            client.0.write_all(&request[..request.len() / 4]).await.unwrap();
            until(|| backend.open.get() == 1).await;
            tokio::time::sleep(Duration::from_millis(100)).await;
            drop(client);
            let released = Instant::now();
            while figures(admin).await["svc_pending"] > 0 {
                assert!(released.elapsed() < ANSWER_LIMIT, "{text:?}: still held");
            }
            // The connection to the backend is closed, too, which the backend sees behind what it had not read.
            backend.resume.notify_one();
            until(|| backend.open.get() == 0).await;
        }
    });
}

/// Guards against a stall timeout that cuts off a backend which reads with pauses: they are longer than the
/// client's timeout only in sum.
#[test]
fn backend_that_pauses_is_not_taken_for_a_hung_one() {
    local(async {
        let backend = LongBodyBackend::start(Behavior::Pause).await;
        let (ingress, ..) = start_ingress(&backend).await;
        assert_eq!(ask_long(&ingress, LONGER_BODY_BYTES, false).await.unwrap().0, 200);
    });
}

/// Guards against a client that stops in the middle of a body after a fast beginning and holds its request for
/// as long as the body could have taken at the least rate: it is owed an error within 3 s.
#[test]
fn client_that_stops_in_the_middle_of_a_body_gets_an_error_within_3_s() {
    local(async {
        let backend = LongBodyBackend::start(Behavior::Read("")).await;
        let (ingress, ..) = start_ingress(&backend).await;
        let mut clients = Vec::new();
        for (length, sent) in [(BODY_BYTES, 1 << 20), (60_000, 59_000)] {
            let mut client = Client::new(ingress.at).await;
            let framing = format!("Content-Length: {length}");
            client.send(&submit_head(&format!("{length}"), TIMEOUT_MS, &framing)).await;
            client.0.write_all(&vec![b'm'; sent]).await.unwrap();
            clients.push(client);
        }
        let stopped_at = Instant::now();
        for client in &mut clients {
            assert_eq!(status(&client.answer().await.unwrap()), 408);
            assert!(stopped_at.elapsed() < Duration::from_secs(3), "{:?}", stopped_at.elapsed());
        }
    });
}

/// Guards against an error for a client that only pauses: each pause is short, and the rate is allowed.
#[test]
fn client_that_pauses_in_a_body_is_served() {
    local(async {
        let backend = LongBodyBackend::start(Behavior::Read("")).await;
        let (ingress, ..) = start_ingress(&backend).await;
        let mut client = Client::new(ingress.at).await;
        let request = long_request(400_000, false);
        for piece in request.chunks(150_000) {
            client.0.write_all(piece).await.unwrap();
            tokio::time::sleep(Duration::from_secs(2)).await;
        }
        assert_eq!(status(&client.answer().await.unwrap()), 200);
    });
}
