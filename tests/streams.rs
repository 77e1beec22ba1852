//! Bodies and answers that pass in pieces, in every form of HTTP/1.1, whoever is slow or breaks off.

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

/// A real server that takes bodies of any length and writes what it is told, cut as it is told.
#[derive(Clone, Default)]
struct Streamer {
    /// The bodies that came whole.
    got: Rc<RefCell<Vec<Vec<u8>>>>,
    /// Bytes written so far.
    written: Rc<Cell<usize>>,
    /// Requests that began to come.
    begun: Rc<Cell<usize>>,
    /// Connections that ended in the middle of a request.
    broken: Rc<Cell<usize>>,
    /// It waits for so long after each piece of an answer.
    pause: std::time::Duration,
}

impl Streamer {
    async fn start(self, answer: Vec<u8>, cut: usize, last: bool) -> SocketAddr {
        let listener = listener().await;
        let at = listener.local_addr().unwrap();
        let answer = Rc::new(answer);
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                spawn_local(self.clone().serve(stream, answer.clone(), cut, last));
            }
        });
        at
    }

    async fn serve(self, mut stream: TcpStream, answer: Rc<Vec<u8>>, cut: usize, last: bool) {
        let mut buffer = BytesMut::new();
        loop {
            let Some(body) = request(&mut stream, &mut buffer, &self.begun).await else {
                self.broken.set(self.broken.get() + usize::from(!buffer.is_empty()));
                return;
            };
            self.got.borrow_mut().push(body);
            for piece in answer.chunks(cut) {
                if stream.write_all(piece).await.is_err() {
                    return;
                }
                self.written.set(self.written.get() + piece.len());
                tokio::task::yield_now().await;
                if !self.pause.is_zero() {
                    tokio::time::sleep(self.pause).await;
                }
            }
            if last {
                return;
            }
        }
    }
}

/// The body of the next request; none where the connection ends before its end.
async fn request(stream: &mut TcpStream, buffer: &mut BytesMut, begun: &Cell<usize>) -> Option<Vec<u8>> {
    let head = loop {
        if let Some((head, length)) = peek_head(buffer, MessageKind::Request).unwrap() {
            let _ = buffer.split_to(length);
            begun.set(begun.get() + 1);
            break head;
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    };
    let (mut body, mut all) = (BodyDecoder::new(&head), Vec::new());
    loop {
        while let Some(data) = body.take(buffer, usize::MAX).unwrap() {
            all.extend_from_slice(&data);
        }
        if body.is_done() {
            return Some(all);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            buffer.extend_from_slice(b"broken");
            return None;
        }
    }
}

/// A client's answer: its status and body; none where it is not whole.
async fn answer(stream: &mut TcpStream, buffer: &mut BytesMut) -> Option<(u16, Vec<u8>)> {
    loop {
        if let Some((head, length)) = peek_head(buffer, MessageKind::Response).unwrap() {
            let _ = buffer.split_to(length);
            if head.status() == 100 {
                continue;
            }
            let (mut body, mut all) = (BodyDecoder::new(&head), Vec::new());
            loop {
                while let Some(data) = body.take(buffer, usize::MAX).unwrap() {
                    all.extend_from_slice(&data);
                }
                if body.is_done() {
                    return Some((head.status(), all));
                }
                if stream.read_buf(buffer).await.ok()? == 0 {
                    return body.finish_at_eof().then_some((head.status(), all));
                }
            }
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

fn pattern(n: usize) -> Vec<u8> {
    (0..n).map(|i| (i % 251) as u8).collect()
}

async fn before(server: SocketAddr) -> (Ingress, Agent) {
    let agent = Agent::start().await;
    let mut told = ingress_config(agent.at, vec![service_entry("s1", server, 0, "in_service")]);
    told["settings"]["limits"]["maxAttempts"] = json!(1);
    (start(&told).await, agent)
}

fn with_length(body: &[u8]) -> Vec<u8> {
    [format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).as_bytes(), body].concat()
}

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
fn an_answer_of_32_mb_passes_whole_and_its_slow_client_holds_back_the_real_server() {
    local(async {
        let (server, body) = (Streamer::default(), pattern(32 << 20));
        let at = server.clone().start(with_length(&body), 64 * 1024, false).await;
        let (ingress, _agent) = before(at).await;
        let mut client = Client::new(ingress.at).await;
        client.send(&board("a", 900, 1)).await;
        until(|| server.written.get() > 0).await;
        tokio::time::sleep(std::time::Duration::from_millis(300)).await;
        // What sockets hold, and some pieces: far from all of it.
        assert!(server.written.get() < 24 << 20, "{}", server.written.get());
        let (status, got) = answer(&mut client.0, &mut client.1).await.unwrap();
        assert!(status == 200 && got == body);
        // The deadline of 900 ms has passed, and the connection goes on.
        client.send(&board("b", 900, 1)).await;
        assert!(answer(&mut client.0, &mut client.1).await.unwrap().1 == body);
    });
}

#[test]
fn every_form_of_an_answer_reaches_the_client_as_it_was() {
    local(async {
        for n in [0, 5, 60_000, 200_000] {
            let body = pattern(n);
            let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
            let to_the_end = [b"HTTP/1.0 200 OK\r\n\r\n", &body[..]].concat();
            let ahead = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
            let forms = [
                (with_length(&body), false),
                (chunked(head, &body, 1000), false),
                (chunked(&format!("{ahead}{head}"), &body, 70_000), false),
                (to_the_end, true),
            ];
            for (i, (bytes, last)) in forms.into_iter().enumerate() {
                let at = Streamer::default().start(bytes, 7001, last).await;
                let (ingress, _agent) = before(at).await;
                let mut client = Client::new(ingress.at).await;
                // Two, one behind the other, in one go.
                client.send(&format!("{}{}", board("a", 900, 1), board("b", 900, 1))).await;
                for _ in 0..2 {
                    let (status, got) = answer(&mut client.0, &mut client.1).await.unwrap();
                    assert!(status == 200 && got == body, "{n} bytes, form {i}");
                }
                // HTTP/1.0 knows no chunks, and HEAD no body.
                let old = board("c", 900, 1).replace("HTTP/1.1", "HTTP/1.0");
                let mut client = Client::new(ingress.at).await;
                client.send(&old).await;
                assert!(answer(&mut client.0, &mut client.1).await.unwrap().1 == body, "{n} bytes, form {i}");
            }
        }
    });
}

#[test]
fn a_head_is_answered_by_a_head_and_the_connection_goes_on() {
    local(async {
        let at = Streamer::default()
            .start(b"HTTP/1.1 200 OK\r\nContent-Length: 70000\r\n\r\n".to_vec(), 100, false)
            .await;
        let (ingress, _agent) = before(at).await;
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
fn a_broken_half_of_an_answer_is_seen_as_broken() {
    local(async {
        let half = pattern(150_000);
        let known = [b"HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n", &half[..]].concat();
        let mut open = chunked("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", &half, 9000);
        open.truncate(open.len() - 100);
        for bytes in [known, open] {
            for version in ["HTTP/1.1", "HTTP/1.0"] {
                let at = Streamer::default().start(bytes.clone(), 5000, true).await;
                let agent = Agent::start().await;
                let mut told = ingress_config(agent.at, vec![service_entry("s1", at, 0, "in_service")]);
                let door = own_address();
                told["management"] = json!(door.to_string());
                let ingress = start(&told).await;
                let mut client = Client::new(ingress.at).await;
                client.send(&board("a", 900, 1).replace("HTTP/1.1", version)).await;
                let got = answer(&mut client.0, &mut client.1).await;
                assert!(got.is_none(), "{version}: {:?}", got.map(|(status, body)| (status, body.len())));
                let all = figures(door).await;
                assert_eq!(all["svc_failed_total{lane=\"board-state\"}"], 1);
            }
        }
    });
}

/// A `move-submit` with these fields ahead of its body.
fn long(id: &str, fields: &str) -> String {
    submit(id, 900).replace("Content-Length: 4\r\n\r\ne2e4", &format!("{fields}\r\n\r\n"))
}

#[test]
fn a_long_body_passes_once_as_it_comes_and_its_time_begins_at_its_last_byte() {
    local(async {
        let (server, body) = (Streamer::default(), pattern(300_000));
        let at = server.clone().start(with_length(b"done"), 100, false).await;
        let (ingress, _agent) = before(at).await;
        let mut client = Client::new(ingress.at).await;
        for (i, fields) in [
            "Content-Length: 300000",
            "Content-Length: 300000\r\nExpect: 100-continue",
            "Transfer-Encoding: chunked\r\nExpect: 100-continue",
        ]
        .into_iter()
        .enumerate()
        {
            client.send(&long(&format!("a{i}"), fields)).await;
            if fields.contains("Expect") {
                let mut sign = [0; 25];
                client.0.read_exact(&mut sign).await.unwrap();
                assert_eq!(&sign, b"HTTP/1.1 100 Continue\r\n\r\n");
            }
            let bytes = if fields.contains("chunked") { chunked("", &body, 10_000) } else { body.clone() };
            for piece in bytes.chunks(30_000) {
                client.0.write_all(piece).await.unwrap();
                // Longer in all than the client waits for its answer.
                tokio::time::sleep(std::time::Duration::from_millis(110)).await;
            }
            let (status, got) = answer(&mut client.0, &mut client.1).await.unwrap();
            assert_eq!((status, &got[..]), (200, &b"done"[..]));
            assert!(server.got.borrow().len() == i + 1 && server.got.borrow()[i] == body);
        }
    });
}

#[test]
fn a_long_answer_to_a_long_body_goes_on_when_the_time_of_its_request_is_over() {
    local(async {
        let pause = std::time::Duration::from_millis(200);
        let (server, body) = (Streamer { pause, ..Streamer::default() }, pattern(300_000));
        let at = server.clone().start(with_length(&body), 30_000, false).await;
        let (ingress, _agent) = before(at).await;
        for fields in ["Content-Length: 300000", "Transfer-Encoding: chunked"] {
            let mut client = Client::new(ingress.at).await;
            client.send(&long("a", fields)).await;
            let bytes = if fields.contains("chunked") { chunked("", &body, 10_000) } else { body.clone() };
            client.0.write_all(&bytes).await.unwrap();
            // It takes two seconds, and the client waits 900 ms for its beginning.
            let (status, got) = answer(&mut client.0, &mut client.1).await.expect("a whole answer");
            assert!(status == 200 && got == body, "{fields}");
        }
    });
}

#[test]
fn a_body_that_stalls_or_is_not_wanted_is_answered_and_never_looks_whole() {
    local(async {
        let server = Streamer::default();
        let at = server.clone().start(with_length(b"done"), 100, false).await;
        let (ingress, _agent) = before(at).await;
        let (mut stalls, mut leaves) = (Client::new(ingress.at).await, Client::new(ingress.at).await);
        stalls.send(&long("a", "Content-Length: 300000")).await;
        stalls.0.write_all(&pattern(100_000)).await.unwrap();
        leaves.send(&long("b", "Transfer-Encoding: chunked")).await;
        leaves.0.write_all(&chunked("", &pattern(100_000), 10_000)[..90_000]).await.unwrap();
        until(|| server.begun.get() == 2).await;
        drop(leaves);
        let wrong = long("c", "Content-Length: 300000").replace("X-Tier: club", "X-Tier: gold");
        let mut wrong_one = Client::new(ingress.at).await;
        wrong_one.send(&wrong).await;
        assert_eq!(
            answer(&mut wrong_one.0, &mut wrong_one.1).await.unwrap().0,
            400,
            "before its body has come"
        );
        let (status, _) = answer(&mut stalls.0, &mut stalls.1).await.unwrap();
        assert_eq!(status, 408);
        until(|| server.broken.get() == 2).await;
        assert!(server.got.borrow().is_empty());
        // Beyond the quota, what is still to come of a body is not waited for.
        let mut beyond = Client::new(ingress.at).await;
        for i in 0..27 {
            beyond.send(&submit(&format!("q{i}"), 900)).await;
            answer(&mut beyond.0, &mut beyond.1).await.unwrap();
        }
        beyond.send(&long("z", "Content-Length: 300000")).await;
        beyond.0.write_all(&pattern(100_000)).await.unwrap();
        let (status, _) = answer(&mut beyond.0, &mut beyond.1).await.unwrap();
        assert_eq!(status, 429);
        // Whoever sends on is read to the end, after a pause, too, and asks again on the same connection.
        tokio::time::sleep(std::time::Duration::from_millis(700)).await;
        for piece in pattern(200_000).chunks(20_000) {
            beyond.0.write_all(piece).await.unwrap();
            tokio::task::yield_now().await;
        }
        beyond.send("GET /ready HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let (status, _) = answer(&mut beyond.0, &mut beyond.1).await.unwrap();
        assert_eq!(status, 200);
    });
}
