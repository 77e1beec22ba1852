//! Long requests to backends that read slowly, beyond what the process may read ahead: each is answered in time from the
//! last byte that its client wrote, and those that their backends can take in that time are served.

mod stand_ins;

use serde_json::json;
use stand_ins::ingress::*;
use stand_ins::paced::{Pace, PacedBackend};
use stand_ins::program::Program;
use stand_ins::*;
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedWriteHalf;
use tokio::task::spawn_local;
use weldhub::net::http::MessageKind;

const MB: usize = 1_000_000;
/// The time of a client, in milliseconds.
const TIMEOUT_MS: u32 = 3000;
/// An answer that comes later than this after the last byte is lost: half a second after the client's time, and 50 ms on
/// sockets.
const ANSWER_LIMIT: Duration = Duration::from_millis(TIMEOUT_MS as u64 + 550);
/// The receive buffer of a backend that reads as slowly as it says.
const BACKEND_BUFFER_BYTES: usize = 64 * 1024;

/// Bodies that several clients send at once to backends of one pace.
#[derive(Debug, Clone, Copy)]
struct Uploads {
    /// The memory of the process, in MiB.
    memory_mib: usize,
    /// The bytes that a backend reads a second.
    read_rate: f64,
    /// The number of clients.
    clients: usize,
    /// The length of each body in bytes, and whether the head announces it.
    length: usize,
    announced: bool,
    /// The bytes that are written at a time: those of a chunk.
    step: usize,
    /// The bytes that are written at once, and the time between two steps after these.
    burst: usize,
    pause: Duration,
    /// A longer pause half way.
    rest: Duration,
}

impl Default for Uploads {
    fn default() -> Self {
        Self {
            memory_mib: 192,
            read_rate: 500e3,
            clients: 1,
            length: 20 * MB,
            announced: false,
            step: 16 * 1024,
            burst: 0,
            pause: Duration::ZERO,
            rest: Duration::ZERO,
        }
    }
}

impl Uploads {
    fn framing(&self) -> String {
        match self.announced {
            true => format!("Content-Length: {}", self.length),
            false => "Transfer-Encoding: chunked".to_owned(),
        }
    }

    /// Writes a request, and returns when its last byte was written.
    async fn write(self, id: String, to: &mut OwnedWriteHalf) -> std::io::Result<Instant> {
        to.write_all(submit_head(&id, TIMEOUT_MS, &self.framing()).as_bytes()).await?;
        let mut chunk = Vec::new();
        let mut written = 0;
        while written < self.length {
            let bytes = self.step.min(self.length - written);
            chunk.clear();
            if !self.announced {
                chunk.extend(format!("{bytes:x}\r\n").as_bytes());
            }
            chunk.resize(chunk.len() + bytes, b'm');
            if !self.announced {
                chunk.extend(b"\r\n");
            }
            to.write_all(&chunk).await?;
            let half = self.length / 2;
            let is_half_way = (written..written + bytes).contains(&half);
            written += bytes;
            let pause = if is_half_way { self.rest } else { self.pause };
            if written > self.burst && !pause.is_zero() {
                tokio::time::sleep(pause).await;
            }
        }
        if !self.announced {
            to.write_all(b"0\r\n\r\n").await?;
        }
        Ok(Instant::now())
    }

    /// Sends one request, and returns the status of its answer, which is 0 if there is none, and the time from
    /// its last byte to that, which is zero if the answer came before.
    async fn send(self, listen: SocketAddr, id: String) -> (u16, Duration) {
        let (mut reader, mut writer) = TcpStream::connect(listen).await.unwrap().into_split();
        let writing = spawn_local(async move { (self.write(id, &mut writer).await, writer) });
        let answer = message(&mut reader, &mut Default::default(), MessageKind::Response).await;
        let answered_at = Instant::now();
        // Dropping the writing half would end the client's stream before it has its answer.
        let (written_at, _writer) = writing.await.unwrap();
        let written_at = written_at.unwrap_or(answered_at);
        (answer.map_or(0, |answer| status(&answer)), answered_at.saturating_duration_since(written_at))
    }

    /// Plays these uploads before backends of their own, and returns the answers.
    async fn play(self, name: &str) -> Vec<(u16, Duration)> {
        let pace =
            Pace { read_rate: self.read_rate, receive_buffer: Some(BACKEND_BUFFER_BYTES), ..Pace::default() };
        let agent = Agent::start().await;
        let mut entries = Vec::new();
        for n in 0..3 {
            let backend = PacedBackend::start(pace).await;
            entries.push(service_entry(&format!("s{n}"), backend.at, 0, "in_service"));
        }
        let mut config = ingress_config(agent.at, entries);
        config["limits"]["memory_mb"] = json!(self.memory_mib);
        config["settings"]["tariffs"][0]["storeSize"] = json!(1e6);
        let mut program = Program::start(name, &config.to_string(), &[], false);
        let listen = program.serving().await;
        let sending: Vec<_> =
            (0..self.clients).map(|n| spawn_local(self.send(listen, format!("{name}-{n}")))).collect();
        let mut answers = Vec::new();
        for sent in sending {
            answers.push(sent.await.unwrap());
        }
        println!("{name}: {answers:?}");
        answers
    }

    async fn check_in_time(self, name: &str) {
        for (status, after) in self.play(name).await {
            assert!(
                status > 0 && after < ANSWER_LIMIT,
                "{name}: {status} came {after:?} after the last byte, {self:?}"
            );
        }
    }

    async fn check_served(self, name: &str) {
        for (status, after) in self.play(name).await {
            assert_eq!(status, 200, "{name}, {after:?} after the last byte, {self:?}");
        }
    }
}

/// Guards against a final answer that is due once the end of a body in chunks has been read, however long its backend and
/// the memory keep the process from reading that.
#[test]
fn chunked_request_beyond_what_is_read_ahead_is_answered_in_time() {
    let small = Uploads { memory_mib: 32, length: 6 * MB, ..Uploads::default() };
    local(async {
        tokio::join!(
            Uploads::default().check_in_time("ahead-large"),
            small.check_in_time("ahead-small"),
            Uploads { clients: 4, length: 16 * MB, ..Uploads::default() }.check_in_time("ahead-four"),
            Uploads { clients: 3, length: 12 * MB, step: 100, read_rate: 1e6, ..small }
                .check_in_time("ahead-chunks"),
            Uploads { read_rate: 20e3, ..small }.check_in_time("ahead-very-slow"),
        );
    });
}

/// Guards against the time of a body whose length is known running from when its backend has read some more of it.
#[test]
fn announced_request_whose_backend_hardly_reads_is_answered_in_time() {
    let small = Uploads { memory_mib: 32, announced: true, read_rate: 20e3, ..Uploads::default() };
    local(async {
        tokio::join!(
            Uploads { length: 4_400_000, ..small }.check_in_time("announced-44"),
            Uploads { length: 4_600_000, ..small }.check_in_time("announced-46"),
            Uploads { length: 5 * MB, ..small }.check_in_time("announced-5"),
            Uploads { length: 6 * MB, ..small }.check_in_time("announced-6"),
        );
    });
}

/// Guards against a client that has not ended its body being answered as if it were late.
#[test]
fn chunked_request_that_its_backend_takes_in_time_is_served() {
    let paced =
        Uploads { length: 4 * MB, step: 20_000, pause: Duration::from_millis(50), ..Uploads::default() };
    let halves =
        Uploads { length: 4 * MB, read_rate: 2e6, rest: Duration::from_millis(1500), ..Uploads::default() };
    let burst = Uploads {
        length: 7 * MB,
        read_rate: 1e6,
        burst: 6 * MB,
        step: 20_000,
        pause: Duration::from_millis(100),
        ..Uploads::default()
    };
    local(async {
        tokio::join!(
            paced.check_served("served-paced"),
            Uploads { memory_mib: 32, ..paced }.check_served("served-paced-small"),
            Uploads { memory_mib: 32, clients: 3, ..paced }.check_served("served-paced-three"),
            halves.check_served("served-halves"),
            Uploads { memory_mib: 32, ..halves }.check_served("served-halves-small"),
            Uploads { length: 12 * MB, read_rate: 6e6, ..halves }.check_served("served-halves-large"),
            burst.check_served("served-burst"),
            Uploads { memory_mib: 32, ..burst }.check_served("served-burst-small"),
        );
    });
}
