//! The client side of the platform's front: sends attempts to backends over pools of HTTP/1.1 connections,
//! one at a time on each connection, and reports the end of every attempt exactly once. It never retries.

use super::attempts::{AttemptId, AttemptResult, Attempts, Job, Pool, Stage};
use super::body_channel::{self, BodyPiece, BodyReceiver, MAX_PIECE_BYTES, SingleUseBody};
use super::budget::{MemoryBudget, PredecessorConnections};
use super::http::{
    BodyDecoder, Head, MAX_BUFFERED_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES, MessageKind, ParseError,
    peek_head,
};
use super::server_side::Role;
use super::stream::{connect, read_more};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{ClientSideCommand, Exchange};
use crate::interface::*;
use crate::stats::Stats;
use bytes::{BufMut, Bytes, BytesMut};
use slog::{Logger, debug};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::{self, ErrorKind};
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// An idle connection closes after this fraction of [`Site::conn_idle`], the time after which a backend may
/// close it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// The shortest idle time of a connection after an answer before it is used again, in milliseconds. Some
/// backends send a second answer up to 4 ms after the first; nothing tells which request it belongs to, so
/// without the pause it would be taken for the answer to the next one.
const MIN_IDLE_BEFORE_REUSE: Millis = 20.0;
/// How long an answer of unknown length is collected, in milliseconds, before it is passed on as it comes.
const UNKNOWN_LENGTH_WAIT: Millis = 150.0;
/// An answer that is passed on as it comes counts as broken off after this many milliseconds without data.
const STREAM_READ_TIMEOUT: Millis = 15_000.0;

/// A request as it is sent to a backend.
#[derive(Debug, Clone)]
pub struct Question {
    /// The request line and the header fields that are passed on, each line with its end. `Host`,
    /// `Request-Timeout-Ms` and the empty line are added for each attempt.
    pub head: Bytes,
    /// The body, or the part of it that has been received.
    pub body: Bytes,
    /// The request is a `HEAD`: the answer has no body, whatever its header says.
    pub expects_no_body: bool,
    /// The length of the body in bytes. `None` if it is not known ahead; `rest` is then sent in chunks.
    pub content_length: Option<usize>,
    /// The part of the body that is still to come. `None` if `body` is complete.
    pub rest: Option<SingleUseBody>,
}

/// The answer of a backend.
#[derive(Debug)]
pub struct Answer {
    /// The body without its framing, or the first part of it.
    pub body: Bytes,
    /// The value of `Content-Type`.
    pub content_type: Option<Bytes>,
    /// The length of the body in bytes. `None` if the backend does not announce it.
    pub content_length: Option<usize>,
    /// The part of the body that is still to come. `None` if `body` is complete.
    pub rest: Option<BodyReceiver>,
}

type BackendJob = Job<Question>;
/// The idle connections to a backend, the longest idle first.
type IdleConnections = Vec<IdleConnection>;

/// An idle connection.
#[derive(Debug)]
struct IdleConnection {
    idle_since: Millis,
    /// Gives the connection its next job. The connection closes when this is dropped.
    next_job: oneshot::Sender<BackendJob>,
}

/// What the client side shares with another process at the same address during an upgrade.
#[derive(Debug)]
pub struct UpgradeLinks {
    /// The role of this process.
    pub role: watch::Receiver<Role>,
    /// Takes the idle connections that are handed over to the other process.
    pub idle_connections: mpsc::UnboundedSender<(BackendId, TcpStream)>,
    /// The number of connections to backends that the other process still has open.
    pub open_elsewhere: PredecessorConnections,
    /// The number of connections to backends that this process has open.
    pub open_connections: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Inner {
    attempts: Attempts<Question, Answer, IdleConnections>,
    links: UpgradeLinks,
    max_connections: usize,
    budget: MemoryBudget,
    deadlines: Deadlines,
    site: Site,
    stats: Arc<Stats>,
    log: Logger,
}

/// The client side of the platform's front.
#[derive(Debug)]
pub struct ClientSide(Rc<Inner>);

impl ClientSide {
    /// Creates a client side that opens up to `max_connections` connections in all. `budget` bounds the
    /// memory that buffered answers take.
    pub fn new(
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        site: Site,
        (max_connections, budget): (usize, MemoryBudget),
        stats: Arc<Stats>,
        links: UpgradeLinks,
        log: Logger,
    ) -> Self {
        let attempts = Attempts::new(exchange);
        Self(Rc::new(Inner { attempts, links, max_connections, budget, deadlines, site, stats, log }))
    }

    /// Executes commands until their channel closes. `inherited` brings idle connections from the process
    /// before this one.
    pub async fn run(
        self,
        commands: mpsc::UnboundedReceiver<ClientSideCommand<Question>>,
        mut inherited: mpsc::UnboundedReceiver<(BackendId, TcpStream)>,
    ) {
        let adopting = async {
            while let Some((backend, stream)) = inherited.recv().await {
                Inner::adopt(&self.0, backend, stream);
            }
            std::future::pending().await
        };
        let executing = self.0.attempts.run(commands, |backend, job| Inner::start(&self.0, backend, job));
        tokio::select! {
            () = executing => {}
            () = adopting => {}
        }
    }
}

impl Inner {
    /// Starts a job on an idle connection to the backend, or on a new one.
    fn start(this: &Rc<Self>, backend: BackendId, mut job: BackendJob) {
        let mut pools = this.attempts.pools.borrow_mut();
        let Some(pool) = pools.get_mut(&backend) else {
            return this.attempts.finish(job.id, AttemptResult::failed(Outcome::ConnectFailed));
        };
        // Prefers the connection that was used last, so that those beyond the need grow old and close.
        let idle_before = this.deadlines.clock().now() - MIN_IDLE_BEFORE_REUSE;
        while let Some(i) = pool.connections.iter().rposition(|idle| idle.idle_since <= idle_before) {
            // A connection that has just closed gives the job back, unwritten.
            match pool.connections.remove(i).next_job.send(job) {
                Ok(()) => return,
                Err(returned) => job = returned,
            }
        }
        let address = pool.address;
        // Connections of the other process count against the limit, but for no more than three quarters of
        // it.
        let max_connections =
            this.max_connections - this.links.open_elsewhere.get().min(this.max_connections * 3 / 4);
        if this.links.open_connections.get() >= max_connections && !evict(&mut pools) {
            debug!(this.log, "no descriptor for a connection to a real server"; "real_server" => %address);
            // Prevents the backend from being taken for unreachable or full when the limit here is the
            // reason.
            return this.attempts.finish(job.id, AttemptResult::failed(Outcome::NotSent));
        }
        spawn_local(open_connection(OpenConnection::new(this), backend, address, job));
    }

    /// Takes an idle connection over from another process. Closes it if the backend is not ready at that
    /// address.
    fn adopt(this: &Rc<Self>, backend: BackendId, stream: TcpStream) {
        let address = this.attempts.pools.borrow().get(&backend).map(|pool| pool.address);
        if let Some(address) = address.filter(|at| stream.peer_addr().is_ok_and(|peer| peer == *at))
            && let Some(next_job) = this.park(backend, address, this.deadlines.clock().now())
        {
            let open = OpenConnection::new(this);
            spawn_local(run_connection(open, backend, address, stream, NextStep::Wait(next_job)));
        }
    }

    /// Puts a connection that has been idle since `idle_since` into the pool of its backend. Returns the
    /// channel that brings its next job, or `None` if the backend is no longer ready at that address.
    fn park(
        &self,
        backend: BackendId,
        address: SocketAddr,
        idle_since: Millis,
    ) -> Option<oneshot::Receiver<BackendJob>> {
        let mut pools = self.attempts.pools.borrow_mut();
        let pool = pools.get_mut(&backend).filter(|pool| pool.address == address)?;
        let (next_job, coming_job) = oneshot::channel();
        pool.connections.retain(|idle| !idle.next_job.is_closed());
        let position = pool.connections.partition_point(|idle| idle.idle_since <= idle_since);
        pool.connections.insert(position, IdleConnection { idle_since, next_job });
        Some(coming_job)
    }
}

/// Closes the longest idle connection of the pool with the most idle connections. Returns `false` if no
/// connection is idle.
fn evict(pools: &mut BTreeMap<BackendId, Pool<IdleConnections>>) -> bool {
    let largest = pools
        .values_mut()
        .max_by_key(|pool| pool.connections.len())
        .filter(|pool| !pool.connections.is_empty());
    largest.map(|pool| pool.connections.remove(0)).is_some()
}

/// Counts an open connection until it is dropped.
struct OpenConnection(Rc<Inner>);

impl OpenConnection {
    fn new(side: &Rc<Inner>) -> Self {
        side.links.open_connections.set(side.links.open_connections.get() + 1);
        Self(side.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.links.open_connections.set(self.0.links.open_connections.get() - 1);
    }
}

/// The parts of a job that carrying it needs, apart from its cancellation.
struct CarriedJob<'a> {
    id: AttemptId,
    question: &'a Question,
    timeout: Millis,
    send_by: Option<Millis>,
    stage: &'a Cell<Stage>,
}

/// The result of an attempt, and whether its connection can be used again.
type CarryResult = (AttemptResult<Answer>, bool);

fn failed(outcome: Outcome) -> CarryResult {
    (AttemptResult::failed(outcome), false)
}

/// What a connection does next.
enum NextStep {
    /// It carries a job.
    Carry(BackendJob),
    /// It waits for the next job.
    Wait(oneshot::Receiver<BackendJob>),
    /// It is handed over to another process.
    HandOver,
    /// It closes.
    Close,
}

/// Opens a connection for its first job, and runs it.
async fn open_connection(open: OpenConnection, backend: BackendId, address: SocketAddr, mut job: BackendJob) {
    let side = open.0.clone();
    let timeout = job.time_left(&side.deadlines.clock()).unwrap_or(f64::INFINITY);
    let timeout = timeout.min(side.site.connect_timeout);
    let connected = tokio::select! {
        biased;
        _ = &mut job.cancelled => return,
        connected = side.deadlines.within(timeout, connect(address)) => connected,
    };
    match connected {
        Some(Ok(stream)) => run_connection(open, backend, address, stream, NextStep::Carry(job)).await,
        _ => side.attempts.finish(job.id, AttemptResult::failed(Outcome::ConnectFailed)),
    }
}

/// Runs a connection, from job to job, until it closes or is handed over.
async fn run_connection(
    open: OpenConnection,
    backend: BackendId,
    address: SocketAddr,
    mut stream: TcpStream,
    mut next_step: NextStep,
) {
    let side = open.0.clone();
    let mut buffer = BytesMut::new();
    loop {
        next_step = match next_step {
            NextStep::Carry(mut job) => {
                let Job { id, ref question, timeout, send_by, ref stage, .. } = job;
                let carried = CarriedJob { id, question, timeout, send_by, stage };
                let (result, reusable) = tokio::select! {
                    biased;
                    _ = &mut job.cancelled => return,
                    carried = side.carry(&mut stream, &mut buffer, address, &carried) => carried,
                };
                let now = side.deadlines.clock().now();
                let next_job = if reusable { side.park(backend, address, now) } else { None };
                side.attempts.finish(job.id, result);
                next_job.map_or(NextStep::Close, NextStep::Wait)
            }
            NextStep::Wait(next_job) => {
                wait_for_job(&side, backend, &mut stream, &mut buffer, next_job).await
            }
            NextStep::HandOver => return drop(side.links.idle_connections.send((backend, stream))),
            NextStep::Close => return,
        };
    }
}

/// Waits on an idle connection for its next job.
async fn wait_for_job(
    side: &Rc<Inner>,
    backend: BackendId,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    mut next_job: oneshot::Receiver<BackendJob>,
) -> NextStep {
    let mut role = side.links.role.clone();
    let next_step = tokio::select! {
        biased;
        // The backend closes the connection, or sends data that no request asked for.
        _ = read_more(stream, buffer) => NextStep::Close,
        job = &mut next_job => return match job {
            Ok(job) if nothing_received(stream) => NextStep::Carry(job),
            // Prevents data behind the last answer from being taken for the answer to this request.
            Ok(job) => {
                Inner::start(side, backend, job);
                NextStep::Close
            }
            Err(_) => NextStep::Close,
        },
        Ok(_) = role.wait_for(|role| *role == Role::Retiring) => NextStep::HandOver,
        () = side.deadlines.sleep(side.site.backend_idle_timeout * IDLE_TIMEOUT_FRACTION) => NextStep::Close,
    };
    // A job may have been given to the connection in the moment that it closed. Nothing of it has been
    // written, so it starts on another connection.
    next_job.close();
    if let Ok(job) = next_job.try_recv() {
        Inner::start(side, backend, job);
    }
    next_step
}

/// Returns whether the receive buffer of an idle connection is empty. Asks the operating system, because the
/// runtime may not have seen what arrived since it last polled.
fn nothing_received(stream: &TcpStream) -> bool {
    let peeked = SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
}

impl Inner {
    /// Sends a request and reads its answer.
    async fn carry(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        address: SocketAddr,
        job: &CarriedJob<'_>,
    ) -> CarryResult {
        match self.write_request(stream, buffer, address, job).await {
            Ok(WriteProgress::Complete) => self.read_answer(stream, buffer, job, false).await,
            Ok(_) => self.read_early_answer(stream, buffer, job).await,
            Err(outcome) => failed(outcome),
        }
    }

    /// Writes a request to its last byte, unless the backend answers before.
    async fn write_request(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        address: SocketAddr,
        CarriedJob { question, timeout, send_by, stage, .. }: &CarriedJob<'_>,
    ) -> Result<WriteProgress, Outcome> {
        let rest = match &question.rest {
            // A body that is passed on as it comes is not kept, so it cannot be sent twice.
            Some(once) => Some(once.take().ok_or(Outcome::NotSent)?),
            None => None,
        };
        let bytes = first_bytes(question, address, *timeout);
        // Prevents a retry from running too late after a wait for its connection, or for the backend to read.
        let time_left = send_by.map(|send_by| send_by - self.deadlines.clock().now());
        if time_left.is_some_and(|time_left| time_left <= 0.0) {
            return Err(Outcome::ConnectFailed);
        }
        stage.set(Stage::Writing);
        let progress = match rest {
            Some(rest) => {
                let mut upload = UploadWriter::new(self, stream, buffer, *timeout);
                upload.write_request(&bytes, time_left, question, rest).await?
            }
            None => match self.within_limit(time_left, stream.write_all(&bytes)).await {
                Some(Ok(())) => WriteProgress::Complete,
                _ => return Err(Outcome::ConnectFailed),
            },
        };
        if progress != WriteProgress::AnsweredEarly {
            stage.set(Stage::Written);
            self.stats.attempt_written();
        }
        Ok(progress)
    }

    /// Awaits a future for at most `limit` milliseconds, if there is a limit. Returns `None` if it takes longer.
    async fn within_limit<F: Future>(&self, limit: Option<Millis>, future: F) -> Option<F::Output> {
        match limit {
            Some(limit) => self.deadlines.within(limit, future).await,
            None => Some(future.await),
        }
    }

    /// Reads an answer that began before the request was written completely. It cannot be a success. The
    /// engine's deadlines start with the last byte of the body, which such a request may never reach, so the
    /// time is limited here.
    async fn read_early_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        job: &CarriedJob<'_>,
    ) -> CarryResult {
        let answer = self.read_answer(stream, buffer, job, true);
        match self.deadlines.within(job.timeout, answer).await {
            Some((result, _)) => (result, false),
            None if job.stage.get() == Stage::Written => failed(Outcome::TimedOut),
            None => failed(Outcome::ConnectFailed),
        }
    }

    /// Reads an answer: a short one completely, while a long one is passed on as it comes. `began_early` is
    /// whether its first byte arrived before the request was written completely.
    async fn read_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        CarriedJob { id, question, .. }: &CarriedJob<'_>,
        began_early: bool,
    ) -> CarryResult {
        let (mut held, mut interim_bytes) = (self.budget.reserve(), 0);
        let head = loop {
            match peek_head(buffer, MessageKind::Response) {
                Ok(Some((head, length))) if is_interim(&head) => {
                    drop(buffer.split_to(length));
                    interim_bytes += length;
                    continue;
                }
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    break head;
                }
                // Prevents an endless series of interim responses from taking time and memory.
                Ok(None) if interim_bytes <= MAX_BUFFERED_MESSAGE_BYTES => {}
                // The answer cannot be read: the request may have run.
                Ok(None)
                | Err(ParseError::Malformed | ParseError::BodyTooLarge | ParseError::HeadTooLarge) => {
                    return failed(Outcome::Error);
                }
            }
            match read_more(stream, buffer).await {
                Ok(true) => {}
                _ => return failed(Outcome::Reset),
            }
        };
        if began_early && head.status() == 200 {
            // A success cannot be the answer to a request that had not arrived completely.
            return failed(Outcome::Error);
        }
        let mut body = if question.expects_no_body { BodyDecoder::empty() } else { BodyDecoder::new(&head) };
        let (mut taken, long) =
            (BytesMut::new(), head.body_length().is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES));
        let mut length_wait = std::pin::pin!(self.deadlines.sleep(UNKNOWN_LENGTH_WAIT));
        let mut waited = false;
        loop {
            match body.take(buffer, MAX_BUFFERED_BODY_BYTES) {
                Ok(Some(data)) => {
                    taken.extend_from_slice(&data);
                    if taken.len() <= MAX_BUFFERED_BODY_BYTES && !long {
                        continue;
                    }
                }
                Ok(None) if body.is_done() => {
                    return evaluate_answer(&head, taken.freeze(), buffer.is_empty(), &self.site);
                }
                Ok(None) => {}
                Err(_) => return failed(Outcome::Error),
            }
            let streams = !taken.is_empty()
                && (long || taken.len() > MAX_BUFFERED_BODY_BYTES || waited && head.body_length().is_none());
            if streams || !held.try_resize(taken.len() + buffer.len()) {
                if head.status() != 200 {
                    return failed(Outcome::Error);
                }
                drop(held);
                return self.stream_answer(stream, buffer, *id, &head, body, taken.freeze()).await;
            }
            let more = tokio::select! {
                more = read_more(stream, buffer) => more,
                () = &mut length_wait, if !waited => {
                    waited = true;
                    continue;
                }
            };
            match more {
                Ok(true) => {}
                Ok(false) if body.finish_at_eof() => {}
                _ => return failed(Outcome::Reset),
            }
        }
    }

    /// Passes an answer on in pieces, as fast as the client takes them. `first` is the part of the body that
    /// has been read.
    async fn stream_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        id: AttemptId,
        head: &Head,
        mut body: BodyDecoder,
        first: Bytes,
    ) -> CarryResult {
        let (pieces, rest) = body_channel::channel();
        let load = parse_load(head, &self.site.load_report_names);
        let answer = Answer {
            body: first,
            content_type: content_type(head),
            content_length: head.body_length(),
            rest: Some(rest),
        };
        if !self.attempts.answer_started(id, answer) {
            return failed(Outcome::Cancelled);
        }
        let result = |outcome| AttemptResult { outcome, load, answer: None };
        loop {
            match body.take(buffer, MAX_PIECE_BYTES) {
                Ok(Some(data)) => {
                    if pieces.send(BodyPiece::Data(data)).await.is_err() {
                        return (result(Outcome::Cancelled), false);
                    }
                    continue;
                }
                Ok(None) if body.is_done() => {
                    let _ = pieces.send(BodyPiece::End).await;
                    return (result(Outcome::Served), !head.close && buffer.is_empty());
                }
                Ok(None) => {}
                Err(_) => return (result(Outcome::Error), false),
            }
            buffer.reserve(MAX_PIECE_BYTES);
            let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
            let read = tokio::select! {
                read = self.deadlines.within(STREAM_READ_TIMEOUT, stream.read_buf(&mut limited)) => read,
                () = pieces.closed() => return (result(Outcome::Cancelled), false),
            };
            match read {
                Some(Ok(n)) if n > 0 => {}
                Some(Ok(_)) if body.finish_at_eof() => {}
                _ => return (result(Outcome::Reset), false),
            }
        }
    }
}

/// How far a request was written when its answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteProgress {
    /// To its last byte, before any byte of the answer arrived.
    Complete,
    /// To its last byte, after a part of the answer's head had arrived.
    CompleteAfterAnswerBegan,
    /// Only a part: the answer began before the rest was written.
    AnsweredEarly,
}

/// Writes a request whose body is passed on as it comes, and reads what the backend sends meanwhile.
struct UploadWriter<'a> {
    side: &'a Inner,
    stream: &'a mut TcpStream,
    /// What the backend has sent: at most a part of a head, once interim responses are removed.
    buffer: &'a mut BytesMut,
    /// How long the backend may accept no bytes, in milliseconds.
    stall_timeout: Millis,
    /// The bytes of the interim responses that have been removed.
    interim_bytes: usize,
    /// Whether a write has begun and not been completed.
    is_writing: bool,
}

impl Drop for UploadWriter<'_> {
    fn drop(&mut self) {
        if self.is_writing {
            // A backend that hangs would not see a mere close behind the bytes that it does not read, and the
            // system would keep them.
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl<'a> UploadWriter<'a> {
    fn new(
        side: &'a Inner,
        stream: &'a mut TcpStream,
        buffer: &'a mut BytesMut,
        stall_timeout: Millis,
    ) -> Self {
        Self { side, stream, buffer, stall_timeout, interim_bytes: 0, is_writing: false }
    }

    /// Writes a request: `first_bytes` within `time_left` milliseconds, if there is such a limit, and the rest
    /// of its body as it comes. Stops once the backend answers.
    async fn write_request(
        &mut self,
        first_bytes: &[u8],
        time_left: Option<Millis>,
        question: &Question,
        rest: BodyReceiver,
    ) -> Result<WriteProgress, Outcome> {
        let side = self.side;
        let first_written = side.within_limit(time_left, self.write(first_bytes)).await;
        if first_written.unwrap_or(Err(Outcome::ConnectFailed))? == WriteProgress::AnsweredEarly {
            return Ok(WriteProgress::AnsweredEarly);
        }
        let progress = self.write_rest(question, rest).await?;
        let answer_begun = progress == WriteProgress::Complete && !self.buffer.is_empty();
        Ok(if answer_begun { WriteProgress::CompleteAfterAnswerBegan } else { progress })
    }

    /// Writes the rest of the body as it comes. Stops once the backend answers.
    async fn write_rest(
        &mut self,
        question: &Question,
        mut rest: BodyReceiver,
    ) -> Result<WriteProgress, Outcome> {
        let chunked = question.content_length.is_none();
        let mut missing = question.content_length.map(|length| length.saturating_sub(question.body.len()));
        // The request may run once its last byte is written, even before `BodyPiece::End` marks that byte as
        // the last.
        while missing != Some(0) {
            let piece = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                more = read_more(self.stream, self.buffer) => {
                    if self.received(more)? == WriteProgress::AnsweredEarly {
                        return Ok(WriteProgress::AnsweredEarly);
                    }
                    continue;
                }
            };
            let mut bytes = BytesMut::new();
            match &piece {
                Some(BodyPiece::Data(data)) => {
                    append_body(&mut bytes, data, chunked);
                    missing = missing.map(|missing| missing.saturating_sub(data.len()));
                }
                Some(BodyPiece::End) => {
                    bytes.extend_from_slice(if chunked { b"0\r\n\r\n" } else { b"" });
                    missing = Some(0);
                }
                // The client broke its request off.
                None => return Err(Outcome::ConnectFailed),
            }
            if self.write(&bytes).await? == WriteProgress::AnsweredEarly {
                return Ok(WriteProgress::AnsweredEarly);
            }
        }
        Ok(WriteProgress::Complete)
    }

    /// Writes these bytes. Stops once the backend answers, and fails if it accepts no bytes for the stall
    /// timeout: the engine's deadlines do not run before the last byte of the body.
    async fn write(&mut self, mut bytes: &[u8]) -> Result<WriteProgress, Outcome> {
        self.is_writing = true;
        let mut stalled = self.side.deadlines.sleep(self.stall_timeout);
        while !bytes.is_empty() {
            let (mut reader, mut writer) = self.stream.split();
            let more = tokio::select! {
                biased;
                more = read_more(&mut reader, self.buffer) => more,
                written = writer.write(bytes) => match written {
                    Ok(n) if n > 0 => {
                        bytes = &bytes[n..];
                        stalled = self.side.deadlines.sleep(self.stall_timeout);
                        continue;
                    }
                    _ => return Err(Outcome::ConnectFailed),
                },
                () = &mut stalled => {
                    debug!(self.side.log, "a real server accepts no more of a body";
                        "real_server" => self.stream.peer_addr().ok().map(|address| address.to_string()),
                        "ms" => self.stall_timeout);
                    return Err(Outcome::ConnectFailed);
                }
            };
            if self.received(more)? == WriteProgress::AnsweredEarly {
                return Ok(WriteProgress::AnsweredEarly);
            }
        }
        self.is_writing = false;
        Ok(WriteProgress::Complete)
    }

    /// Handles a read from the backend: removes interim responses, and returns whether the final answer has
    /// begun, so that the rest of the request is not wanted. A part of a head may still become either.
    fn received(&mut self, more: io::Result<bool>) -> Result<WriteProgress, Outcome> {
        if !more.unwrap_or(false) {
            return Err(Outcome::ConnectFailed);
        }
        loop {
            match peek_head(self.buffer, MessageKind::Response) {
                Ok(Some((head, length)))
                    if is_interim(&head) && self.interim_bytes <= MAX_BUFFERED_MESSAGE_BYTES =>
                {
                    drop(self.buffer.split_to(length));
                    self.interim_bytes += length;
                }
                Ok(None) => return Ok(WriteProgress::Complete),
                Ok(Some(_)) | Err(_) => return Ok(WriteProgress::AnsweredEarly),
            }
        }
    }
}

/// Returns whether a response is an interim one, which a final response follows. 101 is not: no request asks
/// for a change of protocol.
fn is_interim(head: &Head) -> bool {
    matches!(head.status(), 100 | 102..200)
}

/// Returns the head of a request, with the fields that each attempt has for itself, and the first part of its
/// body. `timeout` is what the backend is told, in milliseconds.
fn first_bytes(question: &Question, address: SocketAddr, timeout: Millis) -> BytesMut {
    let timeout = timeout.max(1.0) as u64;
    let fields = format!("Host: {address}\r\nRequest-Timeout-Ms: {timeout}\r\n\r\n");
    let chunked = question.rest.is_some() && question.content_length.is_none();
    let mut bytes = BytesMut::with_capacity(question.head.len() + fields.len() + question.body.len() + 16);
    bytes.extend_from_slice(&question.head);
    bytes.extend_from_slice(fields.as_bytes());
    append_body(&mut bytes, &question.body, chunked);
    bytes
}

/// Appends data of a body, as a chunk of its own if the body is chunked. Empty data adds no chunk, since an
/// empty chunk would end the body.
fn append_body(bytes: &mut BytesMut, data: &[u8], chunked: bool) {
    if !chunked {
        return bytes.extend_from_slice(data);
    }
    if !data.is_empty() {
        bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
    }
}

fn content_type(head: &Head) -> Option<Bytes> {
    head.get("content-type").map(Bytes::copy_from_slice)
}

/// Derives the result of an attempt from a complete answer. `nothing_left` is whether nothing follows the
/// answer in the read buffer.
fn evaluate_answer(head: &Head, body: Bytes, nothing_left: bool, site: &Site) -> CarryResult {
    let not_started = head.get("not-started").is_some_and(|value| value.trim_ascii() == b"1");
    let outcome = match head.status() {
        200 => Outcome::Served,
        503 | 504 if not_started => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let load = parse_load(head, &site.load_report_names);
    // Backends send no other status, so after one the connection is not trusted with another request.
    let known_status = matches!(head.status(), 200 | 500 | 503 | 504);
    let reusable = !head.close && nothing_left && known_status;
    let answer =
        Answer { body, content_type: content_type(head), content_length: head.body_length(), rest: None };
    (AttemptResult { outcome, load, answer: (outcome == Outcome::Served).then_some(answer) }, reusable)
}

/// Parses the load report in the `Server-Load` field of an answer. Values that cannot be read, or whose name
/// is not in `names`, are left out.
fn parse_load(head: &Head, names: &[String]) -> Load {
    let mut load = Load::default();
    let Some(text) = head.get("server-load").and_then(|value| std::str::from_utf8(value).ok()) else {
        return load;
    };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else { continue };
        // The settings and the header may use the long or the short name of a value independently of each
        // other.
        let (short_name, field) = match name.trim() {
            "inflight" | "rif" => ("rif", &mut load.in_flight),
            "queue" | "q" => ("q", &mut load.queued),
            "util" | "busy" => ("busy", &mut load.busy),
            "latency_ms" | "lat_ms" => ("lat_ms", &mut load.latency),
            "qps" | "rate" => ("rate", &mut load.rate),
            "eps" | "fail_rate" => ("fail_rate", &mut load.error_rate),
            _ => continue,
        };
        if names.iter().any(|known| known == short_name || known == name.trim()) {
            *field = Some(value);
        }
    }
    load
}
