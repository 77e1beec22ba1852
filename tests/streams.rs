//! Request bodies and responses that are streamed in pieces, in every framing of HTTP/1.1, with peers that
//! are slow or break off.

mod stand_ins;

use bytes::BytesMut;
use serde_json::json;
use stand_ins::admin::figures;
use stand_ins::ingress::*;
use stand_ins::*;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use weldhub::net::http::{BodyDecoder, MessageKind, peek_head};

/// A backend that accepts bodies of any length and writes a fixed response in pieces of a fixed size.
#[derive(Clone, Default)]
struct StreamingBackend {
    /// The bodies that were received whole.
    bodies: Rc<RefCell<Vec<Vec<u8>>>>,
    /// The number of response bytes written so far.
    written_bytes: Rc<Cell<usize>>,
    /// The number of requests whose head was received.
    started_requests: Rc<Cell<usize>>,
    /// The number of connections that ended in the middle of a request.
    broken_requests: Rc<Cell<usize>>,
    /// The pause after each piece of a response.
    pause: std::time::Duration,
}

impl StreamingBackend {
    /// Listens and writes `response` in pieces of `piece_size` bytes to each request; closes the connection
    /// after it if `close`. Returns the address.
    async fn start(self, response: Vec<u8>, piece_size: usize, close: bool) -> SocketAddr {
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let response = Rc::new(response);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(self.clone().serve(stream, response.clone(), piece_size, close));
            }
        });
        at
    }

    async fn serve(self, mut stream: TcpStream, response: Rc<Vec<u8>>, piece_size: usize, close: bool) {
        let mut buffer = BytesMut::new();
        loop {
            let Some(body) = read_request_body(&mut stream, &mut buffer, &self.started_requests).await else {
                self.broken_requests.set(self.broken_requests.get() + usize::from(!buffer.is_empty()));
                return;
            };
            self.bodies.borrow_mut().push(body);
            for piece in response.chunks(piece_size) {
                if stream.write_all(piece).await.is_err() {
                    return;
                }
                self.written_bytes.set(self.written_bytes.get() + piece.len());
                tokio::task::yield_now().await;
                if !self.pause.is_zero() {
                    tokio::time::sleep(self.pause).await;
                }
            }
            if close {
                return;
            }
        }
    }
}

/// Reads the body of the next request; `None` if the connection ends before the request does.
async fn read_request_body(
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    started_requests: &Cell<usize>,
) -> Option<Vec<u8>> {
    let head = loop {
        if let Some((head, length)) = peek_head(buffer, MessageKind::Request).unwrap() {
            let _ = buffer.split_to(length);
            started_requests.set(started_requests.get() + 1);
            break head;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let (mut decoder, mut body) = (BodyDecoder::new(&head), Vec::new());
    loop {
        while let Some(data) = decoder.take(buffer, usize::MAX).unwrap() {
            body.extend_from_slice(&data);
        }
        if decoder.is_done() {
            return Some(body);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            buffer.extend_from_slice(b"broken");
            return None;
        }
    }
}

/// Reads a response on a client's connection: its status and body; `None` if it is incomplete.
async fn read_response(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<(u16, Vec<u8>)> {
    loop {
        if let Some((head, length)) = peek_head(buffer, MessageKind::Response).unwrap() {
            let _ = buffer.split_to(length);
            if head.status() == 100 {
                continue;
            }
            let (mut decoder, mut body) = (BodyDecoder::new(&head), Vec::new());
            loop {
                while let Some(data) = decoder.take(buffer, usize::MAX).unwrap() {
                    body.extend_from_slice(&data);
                }
                if decoder.is_done() {
                    return Some((head.status(), body));
                }
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return decoder.finish_at_eof().then_some((head.status(), body));
                }
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// A body of this length in bytes with a repeating pattern.
fn pattern(length: usize) -> Vec<u8> {
    (0..length).map(|i| (i % 251) as u8).collect()
}

/// Starts an ingress in front of this backend that makes one attempt for each request.
async fn start_ingress(backend: SocketAddr) -> (Ingress, Agent) {
    let agent = Agent::start().await;
    let mut config = ingress_config(agent.at, vec![service_entry("s1", backend, 0, "in_service")]);
    config["settings"]["limits"]["maxAttempts"] = json!(1);
    (start(&config).await, agent)
}

/// A response with a `Content-Length`.
fn with_length(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

/// A message of this head and the body in chunks of `size` bytes, with chunk extensions and a trailer.
fn chunked(head: &str, body: &[u8], size: usize) -> Vec<u8> {
    let mut bytes = head.as_bytes().to_vec();
    for chunk in body.chunks(size) {
        bytes.extend(format!("{:x};ext=1\r\n", chunk.len()).as_bytes());
        bytes.extend(chunk);
        bytes.extend(b"\r\n");
    }
    bytes.extend(b"0\r\nTrailer: x\r\n\r\n");
    bytes
}

#[test]
fn response_of_32_mib_passes_whole_and_slow_client_applies_backpressure_to_backend() {
    local(async {
        let (backend, body) = (StreamingBackend::default(), pattern(32 << 20));
        let at = backend.clone().start(with_length(&body), 64 * 1024, false).await;
        let (ingress, _agent) = start_ingress(at).await;
        let mut client = Client::new(ingress.at).await;
        client.send(&board("a", 900, 1)).await;
        until(|| backend.written_bytes.get() > 0).await;
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        // Socket buffers and a few pieces in memory hold far less than the whole response.
        assert!(backend.written_bytes.get() < 24 << 20, "{}", backend.written_bytes.get());
        let (status, received) = read_response(&mut client.0, &mut client.1).await.unwrap();
        assert!(status == 200 && received == body);
        // The request's timeout of 900 ms has passed; the connection stays usable.
        client.send(&board("b", 900, 1)).await;
        assert!(read_response(&mut client.0, &mut client.1).await.unwrap().1 == body);
    });
}

#[test]
fn response_body_passes_unchanged_in_every_framing() {
    local(async {
        for length in [0, 5, 60_000, 200_000] {
            let body = pattern(length);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let until_close = [b"HTTP/1.0 200 OK\r\n\r\n", &body[..]].concat();
            let early_hints = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
            let framings = [
                (with_length(&body), false),
                (chunked(head, &body, 1000), false),
                (chunked(&format!("{early_hints}{head}"), &body, 70_000), false),
                (until_close, true),
            ];
            for (i, (bytes, close)) in framings.into_iter().enumerate() {
                let at = StreamingBackend::default().start(bytes, 7001, close).await;
                let (ingress, _agent) = start_ingress(at).await;
                let mut client = Client::new(ingress.at).await;
                // Two pipelined requests, written at once.
                client.send(&format!("{}{}", board("a", 900, 1), board("b", 900, 1))).await;
                for _ in 0..2 {
                    let (status, received) = read_response(&mut client.0, &mut client.1).await.unwrap();
                    assert!(status == 200 && received == body, "{length} bytes, framing {i}");
                }
                // HTTP/1.0 does not support chunked encoding.
                let http_1_0 = board("c", 900, 1).replace("HTTP/1.1", "HTTP/1.0");
                let mut client = Client::new(ingress.at).await;
                client.send(&http_1_0).await;
                assert!(
                    read_response(&mut client.0, &mut client.1).await.unwrap().1 == body,
                    "{length} bytes, framing {i}"
                );
            }
        }
    });
}

#[test]
fn head_request_receives_head_only_and_connection_stays_open() {
    local(async {
        let at = StreamingBackend::default()
            .start(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n".to_vec(), 100, false)
            .await;
        let (ingress, _agent) = start_ingress(at).await;
        let mut client = Client::new(ingress.at).await;
        for (text, length) in [
            (board("a", 900, 1).replace("GET", "HEAD"), &b"content-length: 70000"[..]),
            ("HEAD /ready HTTP/1.1\r\n\r\n".to_owned(), b"content-length: 6"),
        ] {
            client.send(&text).await;
            let mut head = Vec::new();
            while !head.ends_with(b"\r\n\r\n") {
                head.push(client.0.read_u8().await.unwrap());
            }
            let head = head.to_ascii_lowercase();
            assert!(head.starts_with(b"http/1.1 200") && head.windows(length.len()).any(|w| w == length));
        }
    });
}

#[test]
fn truncated_response_is_not_passed_as_complete() {
    local(async {
        let half = pattern(150_000);
        let truncated = [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", &half[..]].concat();
        let mut truncated_chunks =
            chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &half, 9000);
        truncated_chunks.truncate(truncated_chunks.len() - 100);
        for bytes in [truncated, truncated_chunks] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                let at = StreamingBackend::default().start(bytes.clone(), 5000, true).await;
                let agent = Agent::start().await;
                let mut config = ingress_config(agent.at, vec![service_entry("s1", at, 0, "in_service")]);
                let admin = own_address();
                config["management"] = json!(admin.to_string());
                let ingress = start(&config).await;
                let mut client = Client::new(ingress.at).await;
                client.send(&board("a", 900, 1).replace("HTTP/1.1", version)).await;
                let response = read_response(&mut client.0, &mut client.1).await;
                assert!(
                    response.is_none(),
                    "{version}: {:?}",
                    response.map(|(status, body)| (status, body.len()))
                );
                let metrics = figures(admin).await;
                assert_eq!(metrics["svc_failed_total{lane=\"board-state\"}"], 1);
            }
        }
    });
}

#[test]
fn long_body_is_streamed_once_and_its_timeout_starts_at_its_last_byte() {
    local(async {
        let (backend, body) = (StreamingBackend::default(), pattern(300_000));
        let at = backend.clone().start(with_length(b"done"), 100, false).await;
        let (ingress, _agent) = start_ingress(at).await;
        let mut client = Client::new(ingress.at).await;
        for (i, fields) in [
            "Content-Length: 300000",
            "Content-Length: 300000\r\nExpect: 100-continue",
            "Transfer-Encoding: chunked\r\nExpect: 100-continue",
        ]
        .into_iter()
        .enumerate()
        {
            client.send(&submit_head(&format!("a{i}"), 900, fields)).await;
            if fields.contains("Expect") {
                let mut interim = [0; 25];
                client.0.read_exact(&mut interim).await.unwrap();
                assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            let bytes = if fields.contains("chunked") { chunked("", &body, 10_000) } else { body.clone() };
            for piece in bytes.chunks(30_000) {
                client.0.write_all(piece).await.unwrap();
                // Sending the body takes longer in all than the timeout of the request.
                tokio::time::sleep(std::time::Duration::from_millis(110)).await;
            }
            let (status, received) = read_response(&mut client.0, &mut client.1).await.unwrap();
            assert_eq!((status, &received[..]), (200, &b"done"[..]));
            assert!(backend.bodies.borrow().len() == i + 1 && backend.bodies.borrow()[i] == body);
        }
    });
}

#[test]
fn long_response_to_long_body_continues_after_the_timeout_of_its_request() {
    local(async {
        let pause = std::time::Duration::from_millis(200);
        let (backend, body) = (StreamingBackend { pause, ..StreamingBackend::default() }, pattern(300_000));
        let at = backend.clone().start(with_length(&body), 30_000, false).await;
        let (ingress, _agent) = start_ingress(at).await;
        for fields in ["Content-Length: 300000", "Transfer-Encoding: chunked"] {
            let mut client = Client::new(ingress.at).await;
            client.send(&submit_head("a", 900, fields)).await;
            let bytes = if fields.contains("chunked") { chunked("", &body, 10_000) } else { body.clone() };
            client.0.write_all(&bytes).await.unwrap();
            // The response takes two seconds; the timeout of 900 ms only covers its start.
            let (status, received) =
                read_response(&mut client.0, &mut client.1).await.expect("the response is incomplete");
            assert!(status == 200 && received == body, "{fields}");
        }
    });
}

#[test]
fn stalled_or_rejected_body_gets_a_response_and_is_never_passed_as_complete() {
    local(async {
        let backend = StreamingBackend::default();
        let at = backend.clone().start(with_length(b"done"), 100, false).await;
        let (ingress, _agent) = start_ingress(at).await;
        let (mut stalling, mut leaving) = (Client::new(ingress.at).await, Client::new(ingress.at).await);
        stalling.send(&submit_head("a", 900, "Content-Length: 300000")).await;
        stalling.0.write_all(&pattern(100_000)).await.unwrap();
        leaving.send(&submit_head("b", 900, "Transfer-Encoding: chunked")).await;
        leaving.0.write_all(&chunked("", &pattern(100_000), 10_000)[..90_000]).await.unwrap();
        until(|| backend.started_requests.get() == 2).await;
        drop(leaving);
        let invalid_text =
            submit_head("c", 900, "Content-Length: 300000").replace("X-Tier: club", "X-Tier: gold");
        let mut invalid = Client::new(ingress.at).await;
        invalid.send(&invalid_text).await;
        assert_eq!(
            read_response(&mut invalid.0, &mut invalid.1).await.unwrap().0,
            400,
            "not rejected before its body arrives"
        );
        let (status, _) = read_response(&mut stalling.0, &mut stalling.1).await.unwrap();
        assert_eq!(status, 408);
        until(|| backend.broken_requests.get() == 2).await;
        assert!(backend.bodies.borrow().is_empty());
        // A request over the quota is rejected without waiting for the rest of its body.
        let mut over_quota = Client::new(ingress.at).await;
        for i in 0..27 {
            over_quota.send(&submit(&format!("q{i}"), 900)).await;
            read_response(&mut over_quota.0, &mut over_quota.1).await.unwrap();
        }
        over_quota.send(&submit_head("z", 900, "Content-Length: 300000")).await;
        over_quota.0.write_all(&pattern(100_000)).await.unwrap();
        let (status, _) = read_response(&mut over_quota.0, &mut over_quota.1).await.unwrap();
        assert_eq!(status, 429);
        // If the client sends the rest of the body, even after a pause, it is read to its end, and the
        // connection serves the next request.
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        for piece in pattern(200_000).chunks(20_000) {
            over_quota.0.write_all(piece).await.unwrap();
            tokio::task::yield_now().await;
        }
        over_quota.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let (status, _) = read_response(&mut over_quota.0, &mut over_quota.1).await.unwrap();
        assert_eq!(status, 200);
    });
}
