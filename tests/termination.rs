//! The end of the program after SIGTERM: what it has taken is answered, and it ends in bounded time.

mod stand_ins;

use serde_json::json;
use stand_ins::ingress::*;
use stand_ins::long_body::{Behavior, LongBodyBackend, PIECE_BYTES};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use weldhub::net::http::{MessageKind, peek_head};

/// The longest timeout of a client, in milliseconds.
const TIMEOUT_MS: u32 = 900;
/// The length of a body that is sent on in pieces, in bytes.
const BODY_BYTES: usize = 200_000;
/// The program continues to serve for 0.55 s after SIGTERM, and ends at most 0.1 s after the longest timeout of a
/// client.
const MAX_TERMINATION_TIME: Duration = Duration::from_millis(550 + TIMEOUT_MS as u64 + 100);
/// Room for a busy machine on top of a time limit.
const TOLERANCE: Duration = Duration::from_secs(1);

/// A program before one backend, whose clients wait for up to `timeout` milliseconds.
struct Terminating {
    program: Program,
    at: SocketAddr,
    _agent: Agent,
}

impl Terminating {
    async fn start(name: &str, backend: &LongBodyBackend, timeout: u32) -> Self {
        let agent = Agent::start().await;
        let mut config = ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")]);
        for class in config["settings"]["classes"].as_array_mut().unwrap() {
            class["giveUp"] = json!(timeout);
        }
        let mut program = Program::start(name, &config.to_string(), &[], false);
        let at = program.serving().await;
        Self { program, at, _agent: agent }
    }

    /// Waits for the end, which must come within `limit` after SIGTERM was sent.
    async fn ends_within(mut self, limit: Duration, since: Instant) {
        assert!(self.program.end().await.success());
        assert!(since.elapsed() < limit + TOLERANCE, "{:?}", since.elapsed());
    }
}

/// The head of a request with a body of this length, in bytes.
fn head_with_body(id: &str, length: usize) -> String {
    submit_head(id, 3000, &format!("Content-Length: {length}"))
}

/// Waits for an answer and returns its status; `None` if the connection ends before.
async fn answer_status(client: &mut Client) -> Option<u16> {
    let answer = message(&mut client.0, &mut client.1, MessageKind::Response);
    tokio::time::timeout(Duration::from_secs(8), answer).await.ok()?.map(|answer| status(&answer))
}

/// Guards against a body whose last byte comes during the drain being given a deadline beyond the end of the
/// process: it is answered, however long the backend takes.
#[test]
fn body_that_ends_during_the_drain_is_answered() {
    local(async {
        for (work, expected) in [(0, 200), (700, 504), (60_000, 504)] {
            let backend = LongBodyBackend::start(Behavior::Work(Duration::from_millis(work))).await;
            let terminating = Terminating::start(&format!("ends-{work}"), &backend, TIMEOUT_MS).await;
            let mut client = Client::new(terminating.at).await;
            client.send(&head_with_body("a", BODY_BYTES)).await;
            client.0.write_all(&[b'm'; BODY_BYTES - 1]).await.unwrap();
            tokio::time::sleep(Duration::from_millis(50)).await;
            terminating.program.signal("TERM");
            let since = Instant::now();
            tokio::time::sleep(Duration::from_millis(1000)).await;
            client.send("m").await;
            assert_eq!(answer_status(&mut client).await, Some(expected), "work of {work} ms");
            assert_eq!(backend.bodies.get(), 1);
            terminating.ends_within(MAX_TERMINATION_TIME, since).await;
        }
    });
}

/// Guards against a process that ends under a body that is still on its way, with no answer to its client. Both
/// come at an allowed rate and would end after the process; the short one is not sent on in pieces.
#[test]
fn body_that_outlasts_the_drain_is_answered_before_the_end() {
    local(async {
        let backend = LongBodyBackend::start(Behavior::Work(Duration::ZERO)).await;
        let terminating = Terminating::start("outlasts", &backend, TIMEOUT_MS).await;
        let mut clients = Vec::new();
        for length in [BODY_BYTES, 60_000] {
            let mut client = Client::new(terminating.at).await;
            client.send(&head_with_body(&format!("{length}"), length)).await;
            client.0.write_all(&vec![b'm'; length * 2 / 3]).await.unwrap();
            clients.push(client);
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
        terminating.program.signal("TERM");
        let since = Instant::now();
        for client in &mut clients {
            assert_eq!(answer_status(client).await, Some(408));
        }
        terminating.ends_within(MAX_TERMINATION_TIME, since).await;
        assert_eq!(backend.bodies.get(), 0);
    });
}

/// Guards against a request that is read during the drain outliving the process where clients wait for longer than
/// 3 s: SIGKILL may come 3.7 s after SIGTERM.
#[test]
fn request_of_the_drain_is_answered_before_sigkill_may_come() {
    local(async {
        let backend = LongBodyBackend::start(Behavior::Work(Duration::from_secs(60))).await;
        let terminating = Terminating::start("sigkill", &backend, 4000).await;
        let mut client = Client::new(terminating.at).await;
        let text = board("a", 4000, 1);
        client.send(&text[..40]).await;
        tokio::time::sleep(Duration::from_millis(50)).await;
        terminating.program.signal("TERM");
        let since = Instant::now();
        tokio::time::sleep(Duration::from_millis(900)).await;
        client.send(&text[40..]).await;
        assert_eq!(answer_status(&mut client).await, Some(504));
        assert!(since.elapsed() < Duration::from_millis(3700), "{:?}", since.elapsed());
    });
}

/// Asks for an answer of this many pieces, one each 100 ms, has the program told to end once it has begun, and
/// returns the bytes received of its body.
async fn long_answer_at_sigterm(name: &str, pieces: usize) -> (usize, Terminating, Instant) {
    let pause = Duration::from_millis(100);
    let backend = LongBodyBackend::start(Behavior::AnswerSlowly { pieces, pause }).await;
    let terminating = Terminating::start(name, &backend, TIMEOUT_MS).await;
    let mut client = Client::new(terminating.at).await;
    client.send(&board("a", 900, 1)).await;
    let head_length = loop {
        assert!(client.0.read_buf(&mut client.1).await.unwrap() > 0);
        if let Some((head, length)) = peek_head(&client.1, MessageKind::Response).unwrap() {
            assert_eq!(head.status(), 200);
            break length;
        }
    };
    terminating.program.signal("TERM");
    let since = Instant::now();
    while client.1.len() < head_length + pieces * PIECE_BYTES
        && client.0.read_buf(&mut client.1).await.is_ok_and(|n| n > 0)
    {}
    (client.1.len() - head_length, terminating, since)
}

/// Guards against a long answer being cut off by the end of the process, though its backend and its client go on
/// with it.
#[test]
fn long_answer_is_not_cut_off_by_sigterm() {
    local(async {
        let (received, terminating, since) = long_answer_at_sigterm("answer", 30).await;
        assert_eq!(received, 30 * PIECE_BYTES);
        terminating.ends_within(Duration::from_secs(4), since).await;
    });
}

/// Guards against a process that never ends because of an answer that goes on and on.
#[test]
fn process_ends_in_bounded_time_under_an_endless_answer() {
    local(async {
        let (received, terminating, since) = long_answer_at_sigterm("endless", 600).await;
        assert!(received < 600 * PIECE_BYTES);
        terminating.ends_within(Duration::from_secs(30), since).await;
    });
}
