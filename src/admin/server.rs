//! The server of the admin interface.

use super::command::{Command, CommandError};
use super::socket_queues::SocketQueueMetrics;
use crate::cluster::transport::SharedCluster;
use crate::cluster::{Cluster, report};
use crate::config::MAX_ADMIN_CONNECTIONS;
use crate::deadlines::Deadlines;
use crate::exchange::Operation;
use crate::interface::Millis;
use crate::logging;
use crate::net::server_side::{Phase, Role};
use crate::recovery::Recovery;
use crate::stats::Stats;
use crate::upgrade::change::Change;
use crate::upgrade::replication::Replication;
use slog::{Logger, info, warn};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, oneshot, watch};
use tokio::task::spawn_local;

/// The longest line that is read, in bytes.
const MAX_LINE_BYTES: usize = 256;
/// The time within which a client must send a complete line, in milliseconds; after it, the connection is
/// closed.
const READ_TIMEOUT: Millis = 5000.0;
/// The time within which the engine must answer, in milliseconds; after it, the command fails. Operators must
/// get an answer within one second.
const ENGINE_TIMEOUT: Millis = 800.0;
/// How long a connection is read after its answer, in milliseconds, or until the client closes it. Closing it
/// with unread data would reset it, and the client could lose the answer.
const LINGER_TIMEOUT: Millis = 500.0;
/// The delay before the next attempt to accept a connection after a failed one, in milliseconds.
const ACCEPT_RETRY: Millis = 50.0;
/// The answer to a command that needs membership of a fleet, if none is configured.
const NO_CLUSTER: &str = "fail no cluster is set\n";

/// The server of the admin interface, with everything that its commands read or change.
pub struct AdminServer {
    /// The metrics.
    pub stats: Arc<Stats>,
    /// The phase of the process between its start and its end.
    pub phase: watch::Receiver<Phase>,
    /// Which of the two processes at one address this is.
    pub role: watch::Receiver<Role>,
    /// The way to the process that decides on changes, with what is in force at this one.
    pub replication: Replication,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// The view of the fleet, or `None` if no fleet is configured.
    pub cluster: Option<SharedCluster>,
    /// How far this instance has recovered since its start.
    pub recovery: Rc<RefCell<Recovery>>,
    /// The log that commands with effects are written to.
    pub log: Logger,
}

/// The server with its open connections.
struct Connections {
    server: AdminServer,
    open: Cell<usize>,
    /// What the system holds for the sockets of this process.
    socket_queues: SocketQueueMetrics,
    /// Notified when a connection has closed.
    closed: Notify,
    /// Connections that have not sent a complete line, the oldest first. Dropping the sender closes the
    /// connection.
    incomplete: RefCell<BTreeMap<u64, oneshot::Sender<()>>>,
}

impl AdminServer {
    /// Accepts and serves connections until the process ends.
    pub async fn run(self, listener: TcpListener) {
        let connections = Rc::new(Connections {
            server: self,
            open: Cell::new(0),
            socket_queues: SocketQueueMetrics::default(),
            closed: Notify::new(),
            incomplete: RefCell::default(),
        });
        for number in 0.. {
            let stream = connections.accept(&listener).await;
            let (keep_open, close) = oneshot::channel();
            connections.incomplete.borrow_mut().insert(number, keep_open);
            connections.open.set(connections.open.get() + 1);
            spawn_local(connections.clone().serve(stream, number, close));
            while connections.open.get() >= MAX_ADMIN_CONNECTIONS {
                connections.make_room().await;
            }
        }
    }
}

impl Connections {
    async fn accept(&self, listener: &TcpListener) -> TcpStream {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => return stream,
                Err(e) => {
                    warn!(self.server.log, "an operator's connection could not be accepted"; "error" => %e);
                    self.server.deadlines.sleep(ACCEPT_RETRY).await;
                }
            }
        }
    }

    /// Waits until a connection has closed.
    async fn make_room(&self) {
        // Closes the oldest connection without a complete line, so that connections that send nothing cannot
        // lock operators out. The most recent one is never closed.
        let oldest = {
            let mut incomplete = self.incomplete.borrow_mut();
            if incomplete.len() > 1 { incomplete.pop_first() } else { None }
        };
        drop(oldest);
        self.closed.notified().await;
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream, number: u64, close: oneshot::Receiver<()>) {
        let line = tokio::select! {
            line = self.server.deadlines.within(READ_TIMEOUT, read_line(&mut stream)) => line.flatten(),
            _ = close => None,
        };
        self.incomplete.borrow_mut().remove(&number);
        if let Some(line) = line {
            let answer = match line.and_then(|line| Command::parse(&line)) {
                Ok(command) => self.answer(command).await,
                Err(e) => format!("fail {e}\n"),
            };
            self.server.deadlines.within(LINGER_TIMEOUT, reply(&mut stream, &answer)).await;
        }
        self.open.set(self.open.get() - 1);
        self.closed.notify_one();
    }

    async fn answer(&self, command: Command) -> String {
        match command {
            Command::Ready => self.ready(),
            Command::ShowStat => self.show_stat().await,
            Command::Members => self.report_fleet(report::members),
            Command::Notices => self.report_fleet(report::notices),
            Command::Recovery => format!("{}eof\n", self.server.recovery.borrow().report(self.now())),
            Command::Change(change) => self.change(change).await,
        }
    }

    fn now(&self) -> Millis {
        self.server.deadlines.clock().now()
    }

    fn ready(&self) -> String {
        let serving = *self.server.phase.borrow() == Phase::Serving;
        let active = *self.server.role.borrow() == Role::Active;
        if serving && active { "ok ready\n".to_owned() } else { "fail not ready\n".to_owned() }
    }

    async fn show_stat(&self) -> String {
        let status = (self.server.replication.settings().engine)(Operation::Inspect);
        let status = self.server.deadlines.within(ENGINE_TIMEOUT, status).await;
        match status.unwrap_or(Err("no answer in time")) {
            Ok(status) => {
                let fleet = self.server.cluster.as_ref().map(|cluster| report::metrics(&cluster.borrow()));
                let now = self.server.deadlines.clock().now();
                let metrics = self.server.stats.text(status.counts, now);
                let queues = self.socket_queues.latest(now);
                format!("{metrics}{queues}{}{}eof\n", logging::metrics(), fleet.unwrap_or_default())
            }
            Err(reason) => format!("fail {reason}\n"),
        }
    }

    /// Returns a report on the fleet, followed by the line `eof`.
    fn report_fleet(&self, report: fn(&Cluster, Millis) -> String) -> String {
        match &self.server.cluster {
            Some(cluster) => format!("{}eof\n", report(&cluster.borrow(), self.now())),
            None => NO_CLUSTER.to_owned(),
        }
    }

    /// Has the process that leads carry out a change.
    async fn change(&self, change: Change) -> String {
        let log = &self.server.log;
        match &change {
            Change::DisableBackend(id) => info!(log, "an operator takes a real server out"; "id" => id),
            Change::EnableBackend(id) => info!(log, "an operator puts a real server back"; "id" => id),
            Change::Drain => info!(log, "an operator drains this instance"),
            Change::Resume => info!(log, "an operator ends the drain"),
            Change::DrainIngress(name, drained) => {
                info!(log, "an operator drains an ingress or ends that"; "name" => name, "drained" => drained);
            }
        }
        let answer = if change == Change::Drain { "ok draining\n" } else { "ok\n" };
        match self.server.replication.request(change).await {
            Ok(()) => answer.to_owned(),
            Err(reason) => {
                info!(log, "an operator's change is not made"; "why" => %reason);
                format!("fail {reason}\n")
            }
        }
    }
}

/// Reads a line and returns it without its line feed, or `None` if the client closes the connection first.
async fn read_line(stream: &mut TcpStream) -> Option<Result<Vec<u8>, CommandError>> {
    let mut line = Vec::with_capacity(MAX_LINE_BYTES);
    loop {
        if let Some(end) = line.iter().position(|b| *b == b'\n') {
            line.truncate(end);
            return Some(Ok(line));
        }
        if line.len() >= MAX_LINE_BYTES {
            return Some(Err(CommandError::TooLong));
        }
        if stream.read_buf(&mut line).await.ok()? == 0 {
            return None;
        }
    }
}

/// Writes the answer, then reads until the client has closed the connection.
async fn reply(stream: &mut TcpStream, answer: &str) -> io::Result<()> {
    stream.write_all(answer.as_bytes()).await?;
    stream.shutdown().await?;
    let mut rest = [0; 256];
    while stream.read(&mut rest).await? > 0 {}
    Ok(())
}
