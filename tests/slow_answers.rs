//! Answers that begin in time and go on slowly, and long requests that their backend reads slowly: an attempt whose
//! answer has begun belongs to its client, and a request's time runs from when its client wrote the last byte.

mod stand_ins;

use serde_json::json;
use stand_ins::ingress::*;
use stand_ins::paced::{Framing, Pace, PacedBackend};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

/// The bytes of an answer that is passed on in pieces.
const LONG_ANSWER_BYTES: usize = 200_000;
/// The aim of the class, in milliseconds: an attempt may be repeated soon.
const AIM_MS: f64 = 300.0;
/// The time that an answer may come late, as the rules have it.
const LATE: Duration = Duration::from_millis(500);

/// A process in front of some backends of the same pace.
struct Site {
    _program: Program,
    listen: SocketAddr,
    backends: Vec<PacedBackend>,
    _agent: Agent,
}

impl Site {
    async fn start(name: &str, pace: Pace) -> Self {
        let (mut backends, mut entries) = (Vec::new(), Vec::new());
        for n in 0..3 {
            let backend = PacedBackend::start(pace).await;
            entries.push(service_entry(&format!("s{n}"), backend.at, 0, "in_service"));
            backends.push(backend);
        }
        let agent = Agent::start().await;
        let mut config = ingress_config(agent.at, entries);
        config["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        config["settings"]["classes"][0]["aim"] = json!(AIM_MS);
        config["settings"]["limits"]["maxAttempts"] = json!(6);
        let mut program = Program::start(name, &config.to_string(), &[], false);
        let listen = program.serving().await;
        Self { _program: program, listen, backends, _agent: agent }
    }

    /// Has the backends answer some requests quickly, and from then on at this pace.
    async fn warm_up(&self, pace: Pace) {
        let mut client = Client::new(self.listen).await;
        for n in 0..60 {
            assert_eq!(status(&client.ask(&board(&format!("quick-{n}"), 1500, 1)).await), 200);
        }
        self.backends.iter().for_each(|backend| backend.pace.set(pace));
    }

    fn cut(&self) -> usize {
        self.backends.iter().map(|backend| backend.cut.get()).sum()
    }
}

/// Returns the status and the length of the body of the answer to a request on a new connection, which closes behind it.
async fn ask_to_the_end(listen: SocketAddr, id: &str) -> (u16, usize) {
    use tokio::io::AsyncReadExt;
    let mut stream = TcpStream::connect(listen).await.unwrap();
    let request = board(id, 1500, 1).replacen("Host: x\r\n", "Host: x\r\nConnection: close\r\n", 1);
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.unwrap();
    let text = String::from_utf8_lossy(&bytes);
    let status = text.split(' ').nth(1).unwrap().parse().unwrap();
    (status, bytes.iter().filter(|byte| **byte == b'a').count())
}

async fn check_late_body(name: &str, framing: Framing) {
    let quick = Pace { work: Duration::from_millis(50), ..Pace::default() };
    let site = Site::start(name, quick).await;
    let late = Pace {
        body_delay: Duration::from_millis(900),
        write_rate: 150_000.0,
        answer_bytes: LONG_ANSWER_BYTES,
        framing,
        ..Pace::default()
    };
    site.warm_up(late).await;
    for n in 0..3 {
        let (status, length) = ask_to_the_end(site.listen, &format!("late-{n}")).await;
        assert_eq!(status, 200, "request {n}, {framing:?}");
        assert!(length >= LONG_ANSWER_BYTES, "{length} bytes of request {n}, {framing:?}");
    }
    assert_eq!(site.cut(), 0, "answers that had begun were cut off");
}

#[test]
fn long_answer_whose_body_comes_late_is_not_cut_off() {
    local(check_late_body("late-length", Framing::Length));
}

#[test]
fn chunked_answer_whose_body_comes_late_is_not_cut_off() {
    local(check_late_body("late-chunks", Framing::Chunked));
}

#[test]
fn answer_without_length_whose_body_comes_late_is_not_cut_off() {
    local(check_late_body("late-close", Framing::UntilClose));
}

/// Sends a long request as fast as the process takes it, and returns the status of its answer and the time from its
/// last byte to the answer. Both ends run on their own, since the answer may come before the last byte.
async fn upload(listen: SocketAddr, request: Vec<u8>) -> (u16, Duration) {
    let stream = TcpStream::connect(listen).await.unwrap();
    let (mut reader, mut writer) = stream.into_split();
    let writing = spawn_local(async move {
        let _ = writer.write_all(&request).await;
        (Instant::now(), writer)
    });
    let mut buffer = Default::default();
    let answer = message(&mut reader, &mut buffer, weldhub::net::http::MessageKind::Response).await.unwrap();
    let answered_at = Instant::now();
    let (written_at, _writer) = writing.await.unwrap();
    (status(&answer), answered_at.saturating_duration_since(written_at))
}

/// The time of the client of an upload, in milliseconds.
const UPLOAD_TIMEOUT_MS: u32 = 2000;

async fn check_slow_upload(name: &str, (rate, length): (f64, usize), chunked: bool) {
    let pace = Pace { read_rate: rate, ..Pace::default() };
    let site = Site::start(name, pace).await;
    let framing = match chunked {
        true => "Transfer-Encoding: chunked".to_owned(),
        false => format!("Content-Length: {length}"),
    };
    let mut request = submit_head("slow", UPLOAD_TIMEOUT_MS, &framing).into_bytes();
    for _ in 0..length / 50_000 {
        if chunked {
            request.extend(b"c350\r\n");
        }
        request.extend([b'm'; 50_000]);
        if chunked {
            request.extend(b"\r\n");
        }
    }
    if chunked {
        request.extend(b"0\r\n\r\n");
    }
    let (status, after) = upload(site.listen, request).await;
    println!("{name}: {status} after {after:?}");
    let due = Duration::from_millis(u64::from(UPLOAD_TIMEOUT_MS)) + LATE;
    assert!(after < due, "{status} came {after:?} after the last byte was written");
}

#[test]
fn long_request_that_its_backend_reads_slowly_is_answered_in_time() {
    local(async {
        check_slow_upload("slow-2", (2e6, 12_000_000), false).await;
        check_slow_upload("slow-1", (1e6, 12_000_000), false).await;
    });
}

#[test]
fn chunked_request_that_its_backend_reads_slowly_is_answered_in_time() {
    local(check_slow_upload("slow-chunked", (2e6, 12_000_000), true));
}

/// Guards against a client that takes long over a long request being answered as if it had written all of it.
#[test]
fn long_request_that_its_client_writes_slowly_is_served() {
    local(async {
        let site = Site::start("slow-client", Pace::default()).await;
        let mut client = Client::new(site.listen).await;
        client.send(&submit_head("paced", 500, "Content-Length: 2000000")).await;
        for _ in 0..40 {
            client.0.write_all(&[b'm'; 50_000]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        assert_eq!(status(&client.answer().await.unwrap()), 200);
    });
}

/// Guards against a client that keeps pace with its backend being answered as if it had written all of it: neither
/// waits long for the other.
#[test]
fn long_request_whose_client_is_as_slow_as_its_backend_is_served() {
    local(async {
        let pace = Pace { read_rate: 2e6, receive_buffer: Some(64 * 1024), ..Pace::default() };
        let site = Site::start("same-pace", pace).await;
        let mut client = Client::new(site.listen).await;
        client.send(&submit_head("paced", 1500, "Content-Length: 6000000")).await;
        for _ in 0..120 {
            client.0.write_all(&[b'm'; 50_000]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(30)).await;
        }
        assert_eq!(status(&client.answer().await.unwrap()), 200);
    });
}

/// Guards against requests that a client sends at once being given the client's whole time one after the other: each is
/// due as long after it was written.
#[test]
fn requests_that_are_sent_at_once_are_each_answered_in_time() {
    local(async {
        let pace = Pace { work: Duration::from_millis(400), ..Pace::default() };
        let site = Site::start("at-once", pace).await;
        let mut client = Client::new(site.listen).await;
        let requests: String = (0..8).map(|n| board(&format!("at-once-{n}"), 900, 1)).collect();
        client.send(&requests).await;
        let written_at = Instant::now();
        let mut statuses = Vec::new();
        for _ in 0..8 {
            statuses.push(status(&client.answer().await.unwrap()));
        }
        let after = written_at.elapsed();
        assert!(after < Duration::from_millis(900) + LATE, "the last of {statuses:?} came after {after:?}");
        assert_eq!(statuses[0], 200);
    });
}
