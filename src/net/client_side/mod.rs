//! The client side of the platform's front: sends attempts to backends over pools of HTTP/1.1 connections,
//! one at a time on each connection, and reports the end of every attempt exactly once. It never retries.

mod answer;
mod write;

use super::attempts::{AttemptId, AttemptResult, Attempts, BackendProcess, Job, Pool, Stage};
use super::body_channel::{BodyReceiver, SingleUseBody};
use super::budget::{MemoryBudget, PredecessorConnections, Reservation};
use super::server_side::Role;
use super::socket_buffers::{ConnectionBuffers, SocketBuffers};
use super::stream::is_local_shortage;
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{ClientSideCommand, Exchange};
use crate::interface::*;
use crate::stats::Stats;
use bytes::{Buf, Bytes, BytesMut};
use slog::{Logger, debug};
use socket2::SockRef;
use std::cell::Cell;
use std::collections::BTreeMap;
use std::future::Future;
use std::io::ErrorKind;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::TcpStream;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;
use write::{UploadWriter, WriteProgress, request_head};

/// An idle connection closes after this fraction of [`Site::conn_idle`], the time after which a backend may
/// close it.
const IDLE_TIMEOUT_FRACTION: f64 = 0.8;
/// The shortest idle time of a connection after an answer before it is used again, in milliseconds. Some
/// backends send a second answer up to 4 ms after the first; nothing tells which request it belongs to, so
/// without the pause it would be taken for the answer to the next one.
const MIN_IDLE_BEFORE_REUSE: Millis = 20.0;

/// A request as it is sent to a backend.
#[derive(Debug, Clone)]
pub struct Question {
    /// The request line and the header fields that are passed on, each line with its end. `Host`,
    /// `Request-Timeout-Ms` and the empty line are added for each attempt.
    pub head: Bytes,
    /// The body.
    pub body: Bytes,
    /// The request is a `HEAD`: the answer has no body, whatever its header says.
    pub expects_no_body: bool,
    /// The length of the body in bytes. `None` if it is not known ahead; `rest` is then sent in chunks.
    pub content_length: Option<usize>,
    /// The memory of `body`, for as long as any clone of the question needs it; `None` if it is in no budget.
    pub reservation: Option<Rc<Reservation>>,
    /// The whole body if it is still being received; `body` is empty then.
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
    /// The memory of `body`; `None` if it is in no budget.
    pub reservation: Option<Reservation>,
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
    socket_buffers: SocketBuffers,
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
    /// memory that buffered answers take, and `socket_buffers` is what the system holds for the connections.
    pub fn new(
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        site: Site,
        (max_connections, budget, socket_buffers): (usize, MemoryBudget, SocketBuffers),
        stats: Arc<Stats>,
        links: UpgradeLinks,
        log: Logger,
    ) -> Self {
        let attempts = Attempts::new(exchange);
        Self(Rc::new(Inner {
            attempts,
            links,
            max_connections,
            budget,
            socket_buffers,
            deadlines,
            site,
            stats,
            log,
        }))
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
        let process = pool.process;
        // Connections of the other process count against the limit, but for no more than three quarters of
        // it.
        let max_connections =
            this.max_connections - this.links.open_elsewhere.get().min(this.max_connections * 3 / 4);
        if this.links.open_connections.get() >= max_connections && !evict(&mut pools) {
            debug!(this.log, "no descriptor for a connection to a real server"; "real_server" => %process.address);
            // Prevents the backend from being taken for unreachable or full when the limit here is the
            // reason.
            return this.attempts.finish(job.id, AttemptResult::failed(Outcome::NotSent));
        }
        spawn_local(open_connection(OpenConnection::new(this), (backend, process), job));
    }

    /// Takes an idle connection over from another process. Closes it if the backend is not ready at that
    /// address.
    fn adopt(this: &Rc<Self>, backend: BackendId, stream: TcpStream) {
        let process = this.attempts.pools.borrow().get(&backend).map(|pool| pool.process);
        let is_peer = |process: &BackendProcess| stream.peer_addr().is_ok_and(|peer| peer == process.address);
        if let Some(process) = process.filter(is_peer)
            && let Some(next_job) = this.park((backend, process), this.deadlines.clock().now())
        {
            let open = OpenConnection::new(this);
            let buffers = this.socket_buffers.adopt(&stream);
            spawn_local(run_connection(
                open,
                (backend, process),
                (stream, buffers),
                NextStep::Wait(next_job),
            ));
        }
    }

    /// Puts a connection that has been idle since `idle_since` into the pool of its backend. Returns the
    /// channel that brings its next job, or `None` if that process of the backend is no longer the ready one.
    fn park(
        &self,
        (backend, process): (BackendId, BackendProcess),
        idle_since: Millis,
    ) -> Option<oneshot::Receiver<BackendJob>> {
        let mut pools = self.attempts.pools.borrow_mut();
        let pool = pools.get_mut(&backend).filter(|pool| pool.process == process)?;
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
    pass_on: &'a Notify,
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
async fn open_connection(
    open: OpenConnection,
    (backend, process): (BackendId, BackendProcess),
    mut job: BackendJob,
) {
    let side = open.0.clone();
    let timeout = job.time_left(&side.deadlines.clock()).unwrap_or(f64::INFINITY);
    let timeout = timeout.min(side.site.connect_timeout);
    let connected = tokio::select! {
        biased;
        _ = &mut job.cancelled => return,
        connected = side.deadlines.within(timeout, side.socket_buffers.connect(process.address)) => connected,
    };
    match connected {
        Some(Ok(stream)) => {
            let buffers = side.socket_buffers.new_connection();
            run_connection(open, (backend, process), (stream, buffers), NextStep::Carry(job)).await
        }
        // Says nothing of the backend.
        Some(Err(e)) if is_local_shortage(&e) => {
            debug!(side.log, "the system has no socket for a connection"; "error" => %e);
            side.attempts.finish(job.id, AttemptResult::failed(Outcome::NotSent))
        }
        _ => side.attempts.finish(job.id, AttemptResult::failed(Outcome::ConnectFailed)),
    }
}

/// Runs a connection, from job to job, until it closes or is handed over.
async fn run_connection(
    open: OpenConnection,
    (backend, process): (BackendId, BackendProcess),
    (mut stream, mut buffers): (TcpStream, ConnectionBuffers),
    mut next_step: NextStep,
) {
    let side = open.0.clone();
    let mut buffer = BytesMut::new();
    loop {
        next_step = match next_step {
            NextStep::Carry(mut job) => {
                let Job { id, ref question, timeout, send_by, ref stage, ref pass_on, .. } = job;
                let carried = CarriedJob { id, question, timeout, send_by, stage, pass_on };
                let (result, reusable) = tokio::select! {
                    biased;
                    _ = &mut job.cancelled => return,
                    carried = side.carry(&mut stream, (&mut buffer, &mut buffers), process.address, &carried) => carried,
                };
                let now = side.deadlines.clock().now();
                // Prevents idle connections from holding memory.
                buffer = BytesMut::new();
                buffers.shrink_send(&stream);
                let reusable = reusable && !buffers.is_scarce();
                let next_job = if reusable { side.park((backend, process), now) } else { None };
                side.attempts.finish(job.id, result);
                next_job.map_or(NextStep::Close, NextStep::Wait)
            }
            NextStep::Wait(next_job) => wait_for_job(&side, backend, &mut stream, next_job).await,
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
    mut next_job: oneshot::Receiver<BackendJob>,
) -> NextStep {
    let mut role = side.links.role.clone();
    let next_step = tokio::select! {
        biased;
        // The backend closes the connection, or sends data that no request asked for.
        () = received_or_closed(stream) => NextStep::Close,
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

/// Resolves once an idle connection has received data, which is consumed, or has been closed or reset.
async fn received_or_closed(stream: &TcpStream) {
    loop {
        if stream.readable().await.is_err() {
            return;
        }
        match stream.try_read(&mut [0]) {
            Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
            _ => return,
        }
    }
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
        (buffer, buffers): (&mut BytesMut, &mut ConnectionBuffers),
        address: SocketAddr,
        job: &CarriedJob<'_>,
    ) -> CarryResult {
        match self.write_request(stream, (buffer, buffers), address, job).await {
            Ok(WriteProgress::Complete) => self.read_answer(stream, (buffer, buffers), job, false).await,
            Ok(_) => self.read_early_answer(stream, (buffer, buffers), job).await,
            Err(outcome) => failed(outcome),
        }
    }

    /// Writes a request to its last byte, unless the backend answers before.
    async fn write_request(
        &self,
        stream: &mut TcpStream,
        (buffer, buffers): (&mut BytesMut, &mut ConnectionBuffers),
        address: SocketAddr,
        CarriedJob { question, timeout, send_by, stage, .. }: &CarriedJob<'_>,
    ) -> Result<WriteProgress, Outcome> {
        let rest = match &question.rest {
            // A body that is passed on as it comes is not kept, so it cannot be sent twice.
            Some(once) => Some(once.take().ok_or(Outcome::NotSent)?),
            None => None,
        };
        let head = request_head(question, address, *timeout);
        // Prevents a retry from running too late after a wait for its connection, or for the backend to read.
        let time_left = send_by.map(|send_by| send_by - self.deadlines.clock().now());
        if time_left.is_some_and(|time_left| time_left <= 0.0) {
            return Err(Outcome::ConnectFailed);
        }
        stage.set(Stage::Writing);
        let progress = match rest {
            Some(rest) => {
                buffers.grow_send(stream, question.content_length);
                let mut upload = UploadWriter::new(self, stream, (buffer, buffers), *timeout);
                upload.write_request(head, time_left, question.content_length, rest).await?
            }
            None => {
                let bytes = head.chain(question.body.clone());
                buffers.grow_send(stream, Some(bytes.remaining()));
                let (writer, (_, mut half)) = (buffers.writer(), stream.split());
                match self.within_limit(time_left, writer.write_all(&mut half, bytes)).await {
                    Some(Ok(())) => WriteProgress::Complete,
                    _ => return Err(Outcome::ConnectFailed),
                }
            }
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
}
