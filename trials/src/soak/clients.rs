//! The clients of a soak: what each does, and which rule it saw broken.

use super::draw::{Behavior, Group};
use crate::stand_ins::StandIns;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::{Instant, sleep, timeout, timeout_at};

/// The timeout that clients of keyed requests tell, in milliseconds.
const KEYED_TIMEOUT_MS: u64 = 2000;
/// The timeout that clients of safe requests tell, in milliseconds.
const SAFE_TIMEOUT_MS: u64 = 1500;
/// The time by which an answer may come late.
const LATE: Duration = Duration::from_millis(500);
/// What is added to limits of time because machines differ.
const TIMING_SLACK: Duration = Duration::from_millis(250);
/// The time after which an attempt for a client that has closed its connection is a lost request, in milliseconds.
const LEAVE_GRACE_MS: i64 = 100;
/// What the proxies and the record may add to that, in milliseconds.
const RECORD_SLACK_MS: i64 = 50;
/// The number of requests that a client sends at once.
const PIPELINED: usize = 12;
/// The bytes that are written at a time.
const STEP_BYTES: usize = 16 * 1024;
/// The plan of all customers.
const PLAN_NAME: &str = "club";

/// What the clients of a soak share.
pub struct Clients {
    /// The address of the ingress.
    pub listen: SocketAddr,
    /// The stand-ins, whose record tells what ran.
    pub stand_ins: StandIns,
    /// When the soak began.
    pub start: Instant,
    /// The time in which the process may take what is open with it, in milliseconds.
    pub outage: Option<(u64, u64)>,
    /// The rules that were broken.
    pub violations: RefCell<Vec<String>>,
    /// The ids of requests that came twice.
    pub repeated: RefCell<Vec<String>>,
    /// How the ids begin of requests that their clients left, and when, in milliseconds on the clock of the record.
    pub left: RefCell<Vec<(String, i64)>>,
}

/// A request: its head and body.
fn keyed(id: &str, word: &str, customer: u64, body: usize) -> String {
    format!(
        "POST /move-submit/{word}?client={customer:016x} HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\
         X-Tier: {PLAN_NAME}\r\nRequest-Timeout-Ms: {KEYED_TIMEOUT_MS}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         Idempotency-Key: key-{id}\r\nContent-Length: {body}\r\n\r\n"
    )
}

/// The head of a request whose body comes in chunks.
fn keyed_chunked(id: &str, word: &str, customer: u64) -> String {
    keyed(id, word, customer, 0).replace("Content-Length: 0", "Transfer-Encoding: chunked")
}

fn safe(id: &str, word: &str, fields: &str) -> String {
    format!(
        "GET /board-state/{word}?client=0000000000000009 HTTP/1.1\r\nHost: x\r\nRequest-Id: {id}\r\n\
         X-Tier: {PLAN_NAME}\r\nRequest-Timeout-Ms: {SAFE_TIMEOUT_MS}\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\
         {fields}\r\n"
    )
}

/// Returns the status of an answer from its first bytes.
fn status(bytes: &[u8]) -> Option<u16> {
    std::str::from_utf8(bytes.get(9..12)?).ok()?.parse().ok()
}

/// Reads slowly for some seconds, or until the end of the stream.
async fn read_steps(stream: &mut TcpStream) {
    let mut piece = [0; 4096];
    for _ in 0..40 {
        if stream.read(&mut piece).await.unwrap_or(0) == 0 {
            return;
        }
        sleep(Duration::from_millis(50)).await;
    }
}

impl Clients {
    /// Runs a client of a group until it has done its part.
    pub async fn run(self: Rc<Self>, group: Group, number: usize, name: String) {
        sleep(Duration::from_millis(group.at)).await;
        let begun = self.start.elapsed();
        let result = match group.behavior {
            Behavior::SteadyUpload => self.upload(&name, "1", group.bytes, group.bytes).await,
            Behavior::StoppedUpload => self.upload(&name, "1", group.bytes, group.bytes / 2).await,
            Behavior::SlowBackendUpload => self.timed_upload(&name, group.bytes, false).await,
            Behavior::ChunkedSlowBackendUpload => self.timed_upload(&name, group.bytes, true).await,
            Behavior::SlowReader => self.read_slowly(&name, group.bytes).await,
            Behavior::LateAnswer => self.late_answer(&name, group.bytes).await,
            Behavior::ManyFields => self.many_fields(&name).await,
            Behavior::EverNewNames => self.ever_new_names(&name, number).await,
            Behavior::RepeatedId => self.repeat(&name, number).await,
            Behavior::Leave => self.leave(&name, number).await,
            Behavior::Crowd => self.rest().await,
            Behavior::StoppedShortBody => self.upload(&name, "1", 65_000, 60_000).await,
            Behavior::PipelinedReader => self.read_pipelined(&name).await,
            Behavior::LongReader => self.read_long(&name, group.bytes).await,
            Behavior::TinyChunks => self.tiny_chunks(&name).await,
        };
        if let Err(violation) = result
            && !self.is_excused(begun)
        {
            let at = self.start.elapsed().as_millis();
            self.violations.borrow_mut().push(format!("{at} ms: {name}: {violation}"));
        }
    }

    /// Returns whether a client that began at this time may have been met by the end of the process.
    fn is_excused(&self, begun: Duration) -> bool {
        let (from, to) = (begun.as_millis() as u64, self.start.elapsed().as_millis() as u64);
        self.outage.is_some_and(|(begin, end)| from < end && to >= begin)
    }

    async fn connect(&self) -> Option<TcpStream> {
        let stream = TcpStream::connect(self.listen).await.ok()?;
        let _ = stream.set_nodelay(true);
        Some(stream)
    }

    /// Writes a body with pauses, `sent` bytes of `length`. Such a client is owed an answer or a close within 3 s of the
    /// last byte.
    async fn upload(&self, name: &str, word: &str, length: usize, sent: usize) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        if stream.write_all(keyed(name, word, 7, length).as_bytes()).await.is_err() {
            return Ok(());
        }
        let mut left = sent;
        while left > 0 {
            let step = left.min(STEP_BYTES);
            if stream.write_all(&[b'm'; STEP_BYTES][..step]).await.is_err() {
                return Ok(());
            }
            left -= step;
            sleep(Duration::from_millis(5)).await;
        }
        let owed = Duration::from_secs(3) + LATE + TIMING_SLACK;
        match timeout(owed, stream.read(&mut [0; 512])).await {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("neither an answer nor a close {owed:?} after its last byte")),
        }
    }

    /// Writes a body as fast as it is taken, which its backend reads slowly. The final answer is due in time.
    async fn timed_upload(&self, name: &str, length: usize, chunked: bool) -> Result<(), String> {
        let Some(stream) = self.connect().await else { return Ok(()) };
        let (mut reader, mut writer) = stream.into_split();
        let request = match chunked {
            true => keyed_chunked(name, "read-400000", 7),
            false => keyed(name, "read-400000", 7, length),
        };
        let writing = tokio::task::spawn_local(async move {
            let _ = writer.write_all(request.as_bytes()).await;
            let mut left = length;
            while left > 0 {
                let step = left.min(STEP_BYTES);
                let mut bytes = if chunked { format!("{step:x}\r\n").into_bytes() } else { Vec::new() };
                bytes.resize(bytes.len() + step, b'm');
                if chunked {
                    bytes.extend(b"\r\n");
                }
                if writer.write_all(&bytes).await.is_err() {
                    break;
                }
                left -= step;
            }
            if chunked {
                let _ = writer.write_all(b"0\r\n\r\n").await;
            }
            (Instant::now(), writer)
        });
        let Ok((written_at, _writer)) = writing.await else { return Ok(()) };
        let due = written_at + Duration::from_millis(KEYED_TIMEOUT_MS) + LATE + TIMING_SLACK;
        match timeout_at(due, reader.read(&mut [0; 512])).await {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("no answer {:?} after its last byte", due - written_at)),
        }
    }

    async fn read_slowly(&self, name: &str, bytes: usize) -> Result<(), String> {
        let Ok(socket) = TcpSocket::new_v4() else { return Ok(()) };
        let _ = socket.set_recv_buffer_size(4096);
        let Ok(mut stream) = socket.connect(self.listen).await else { return Ok(()) };
        if stream.write_all(safe(name, &format!("long-{bytes}"), "").as_bytes()).await.is_err() {
            return Ok(());
        }
        read_steps(&mut stream).await;
        Ok(())
    }

    /// Sends many requests at once and reads the answers slowly.
    async fn read_pipelined(&self, name: &str) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let requests: String =
            (0..PIPELINED).map(|n| safe(&format!("{name}-{n}"), "long-60000", "")).collect();
        if stream.write_all(requests.as_bytes()).await.is_ok() {
            read_steps(&mut stream).await;
        }
        Ok(())
    }

    async fn read_long(&self, name: &str, bytes: usize) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        if stream.write_all(safe(name, &format!("long-{bytes}"), "").as_bytes()).await.is_ok() {
            read_steps(&mut stream).await;
        }
        Ok(())
    }

    /// Sends a body in chunks of one byte. The final answer is due in time.
    async fn tiny_chunks(&self, name: &str) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let head = keyed_chunked(name, "1", 7);
        if stream.write_all(head.as_bytes()).await.is_err() {
            return Ok(());
        }
        for _ in 0..40 {
            if stream.write_all("1\r\nm\r\n".repeat(1000).as_bytes()).await.is_err() {
                return Ok(());
            }
            sleep(Duration::from_millis(5)).await;
        }
        if stream.write_all(b"0\r\n\r\n").await.is_err() {
            return Ok(());
        }
        let due = Duration::from_millis(KEYED_TIMEOUT_MS) + LATE + TIMING_SLACK;
        match timeout(due, stream.read(&mut [0; 512])).await {
            Ok(_) => Ok(()),
            Err(_) => Err(format!("no answer {due:?} after its last byte")),
        }
    }

    /// Reads an answer whose body comes late. It comes whole, or is refused before it has begun.
    async fn late_answer(&self, name: &str, bytes: usize) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let request = safe(name, &format!("late-{bytes}"), "Connection: close\r\n");
        if stream.write_all(request.as_bytes()).await.is_err() {
            return Ok(());
        }
        let mut answer = Vec::new();
        let _ = stream.read_to_end(&mut answer).await;
        match status(&answer) {
            Some(200) if answer.iter().filter(|byte| **byte == b'a').count() < bytes => {
                Err(format!("{} of {bytes} bytes of its answer", answer.len()))
            }
            Some(502 | 504) => Err("an answer that its backend had begun was cut off".to_owned()),
            _ => Ok(()),
        }
    }

    async fn many_fields(&self, name: &str) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let head = safe(name, "1", &"a:b\r\n".repeat(1200));
        for piece in head.as_bytes().chunks(200) {
            if stream.write_all(piece).await.is_err() {
                return Ok(());
            }
            sleep(Duration::from_millis(20)).await;
        }
        let owed = Duration::from_secs(3) + TIMING_SLACK;
        match timeout(owed, stream.read(&mut [0; 512])).await {
            Ok(_) => Ok(()),
            Err(_) => Err("neither an answer nor a close".to_owned()),
        }
    }

    async fn ever_new_names(&self, name: &str, number: usize) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let end = Instant::now() + Duration::from_secs(5);
        let mut sent = 0;
        while Instant::now() < end {
            sent += 1;
            let request = keyed(&format!("{name}-{sent}"), "1", (number * 100_000 + sent) as u64 + 100, 4);
            if stream.write_all((request + "e2e4").as_bytes()).await.is_err() {
                return Ok(());
            }
            match timeout(Duration::from_secs(4), stream.read(&mut [0; 1024])).await {
                Ok(Ok(n)) if n > 0 => {}
                Ok(_) => return Ok(()),
                Err(_) => return Err("no answer".to_owned()),
            }
        }
        Ok(())
    }

    /// Sends a keyed request, leaves, and sends the same again.
    async fn repeat(&self, name: &str, number: usize) -> Result<(), String> {
        let request = keyed(name, "work-400", 7, 4) + "e2e4";
        for patience in [number as u64 * 37 % 250, 4000] {
            let Some(mut stream) = self.connect().await else { return Ok(()) };
            if stream.write_all(request.as_bytes()).await.is_err() {
                return Ok(());
            }
            let _ = timeout(Duration::from_millis(patience), stream.read(&mut [0; 512])).await;
            drop(stream);
            if patience < 4000 {
                self.repeated.borrow_mut().push(name.to_owned());
                sleep(Duration::from_millis(LEAVE_GRACE_MS as u64 + number as u64 * 53 % 150)).await;
            }
        }
        Ok(())
    }

    /// Sends many keyed requests at once, and leaves for good while most of them wait for their turn.
    async fn leave(&self, name: &str, number: usize) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let ids = (0..PIPELINED).map(|n| format!("{name}-{n}"));
        let requests: String = ids.map(|id| keyed(&id, "work-400", 7, 4) + "e2e4").collect();
        if stream.write_all(requests.as_bytes()).await.is_err() {
            return Ok(());
        }
        sleep(Duration::from_millis(number as u64 * 71 % 900)).await;
        drop(stream);
        self.left.borrow_mut().push((format!("{name}-"), self.stand_ins.now()));
        Ok(())
    }

    async fn rest(&self) -> Result<(), String> {
        let Some(mut stream) = self.connect().await else { return Ok(()) };
        let _ = timeout(Duration::from_secs(8), stream.read(&mut [0; 512])).await;
        Ok(())
    }

    /// Sends usual requests one after the other, on one connection as long as it stays open. Each is answered in time; a
    /// connection that closes without an answer is tried again once.
    pub async fn usual(self: Rc<Self>, length: Duration) {
        let mut stream = None;
        let mut number = 0;
        while self.start.elapsed() < length {
            number += 1;
            let (begun, id) = (self.start.elapsed(), format!("usual-{number}"));
            let asked = Instant::now();
            let due = Duration::from_millis(SAFE_TIMEOUT_MS) + LATE + TIMING_SLACK;
            let mut answered = self.ask(&mut stream, &id, due).await;
            if answered == Some(false) {
                answered = self.ask(&mut stream, &id, due).await;
            }
            if answered.is_none() && !self.is_excused(begun) {
                let violation = format!("{begun:?}: {id}: no answer {:?} after it was sent", asked.elapsed());
                self.violations.borrow_mut().push(violation);
            }
            sleep(Duration::from_millis(30)).await;
        }
    }

    /// Sends a usual request. Returns whether it was answered; `None` if nothing came in time.
    async fn ask(&self, stream: &mut Option<TcpStream>, id: &str, due: Duration) -> Option<bool> {
        if stream.is_none() {
            *stream = self.connect().await;
        }
        let Some(mut open) = stream.take() else { return Some(false) };
        if open.write_all(safe(id, "1", "").as_bytes()).await.is_err() {
            return Some(false);
        }
        match timeout(due, open.read(&mut [0; 1024])).await {
            Ok(Ok(n)) if n > 0 => {
                *stream = Some(open);
                Some(true)
            }
            Ok(_) => Some(false),
            Err(_) => None,
        }
    }

    /// Checks, by the record of the backends, that no id ran in two cells and that nothing began for a client that had
    /// left.
    pub fn check_record(&self) {
        let record = self.stand_ins.record();
        let mut violations = self.violations.borrow_mut();
        for id in self.repeated.borrow().iter() {
            let mut cells: Vec<usize> =
                record.runs.iter().filter(|run| run.request_id == *id).map(|run| run.backend).collect();
            cells.sort_unstable();
            cells.dedup();
            if cells.len() > 1 {
                violations.push(format!("{id} ran in the cells {cells:?}"));
            }
        }
        for (prefix, left_at) in self.left.borrow().iter() {
            let late = record.arrivals.iter().filter(|arrival| {
                arrival.request_id.starts_with(prefix)
                    && arrival.at > left_at + LEAVE_GRACE_MS + RECORD_SLACK_MS
            });
            violations.extend(late.map(|arrival| {
                format!("{} began {} ms after its client had left", arrival.request_id, arrival.at - left_at)
            }));
        }
    }
}
