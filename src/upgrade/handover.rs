//! What passes between two processes at one address in an upgrade: the steps of the old one are in `successor`, those of
//! the next one in `predecessor`. Only the transfer is here; the engines decide what follows from it.

use super::frame::Frame;
use super::link::{Message, Writer};
use super::replication::{Replication, Side};
use crate::deadlines::Deadlines;
use crate::exchange::{EngineEvent, Exchange};
use crate::interface::{AttemptEnd, BackendId, Millis};
use crate::net::budget::PredecessorConnections;
use crate::net::client_side::{Answer, Question};
use crate::net::server_side::{ConnectionHandover, Drain, Phase, Role};
use bytes::BytesMut;
use slog::Logger;
use std::cell::Cell;
use std::io;
use std::os::fd::OwnedFd;
use std::rc::Rc;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// The time within which another process must answer, in milliseconds; after it, this process continues alone.
pub(super) const ANSWER_TIMEOUT: Millis = 700.0;

type EngineExchange = Exchange<Question, Answer>;
pub(super) type Outbox = mpsc::UnboundedSender<Message>;

/// The handover from the old process to this one, and from this one to the next.
pub struct Handover {
    /// The handle to the engine.
    pub exchange: EngineExchange,
    /// Which of the two processes at one address this is.
    pub role: watch::Sender<Role>,
    /// The phase of this process between its start and its end.
    pub phase: watch::Receiver<Phase>,
    /// Whether the old process may still pass connections to this one.
    pub predecessor: watch::Sender<bool>,
    /// Whether this instance is drained.
    pub drain: watch::Sender<Drain>,
    /// Which process decides on operators' changes.
    pub replication: Replication,
    /// Receives the clients' connections that pass to this process.
    pub adopted_clients: mpsc::UnboundedSender<ConnectionHandover>,
    /// Receives the idle connections to backends that pass to this process.
    pub adopted_backends: mpsc::UnboundedSender<(BackendId, TcpStream)>,
    /// The number of connections to backends that the other process still has open.
    pub elsewhere: PredecessorConnections,
    /// The number of connections to backends that are open in this process.
    pub backend_connections: Rc<Cell<usize>>,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// The log that each step is written to.
    pub log: Logger,
}

/// The sockets, connections and reports that pass from this process to the next one.
pub struct Outgoing {
    /// Clients' connections.
    pub clients: mpsc::UnboundedReceiver<ConnectionHandover>,
    /// Idle connections to backends.
    pub backends: mpsc::UnboundedReceiver<(BackendId, TcpStream)>,
    /// Attempts that have ended in this process.
    pub ended_attempts: mpsc::UnboundedReceiver<AttemptEnd>,
    /// The clients' listener.
    pub listener: OwnedFd,
    /// The peers' socket.
    pub peers: Option<OwnedFd>,
}

impl Handover {
    /// Sends the engine an event and waits for its reply; `None` if the engine has ended.
    pub(super) async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> EngineEvent<Question, Answer>,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.exchange.send(event(reply));
        answer.await.ok()
    }

    /// Handles a message of a neighbour that is not a step of the handover itself.
    pub(super) async fn handle(&self, from: Side, message: Message) {
        match message.frame {
            Frame::ClientConnection { .. } => self.adopt_client(message),
            Frame::BackendConnection(backend) => {
                if let Some(stream) = first_stream(message.descriptors) {
                    let _ = self.adopted_backends.send((backend, stream));
                }
            }
            Frame::AttemptEnded(end) => self.exchange.send(EngineEvent::PredecessorAttemptEnded(end)),
            frame => self.replication.handle(from, frame).await,
        }
    }

    /// Serves a client's connection that has passed to this process, or that could not be passed to the next
    /// one.
    pub(super) fn adopt_client(&self, message: Message) {
        let Frame::ClientConnection { had_requests, message_age, bytes } = message.frame else { return };
        let Some(stream) = first_stream(message.descriptors) else { return };
        let bytes = BytesMut::from(&bytes[..]);
        let _ = self.adopted_clients.send(ConnectionHandover {
            stream,
            bytes,
            has_carried_request: had_requests,
            message_age,
        });
    }
}

/// Writes messages to the other process in a task of its own. Returns the queue of messages.
pub(super) fn spawn_writer(mut writer: Writer) -> Outbox {
    let (outbox, mut messages) = mpsc::unbounded_channel();
    spawn_local(async move {
        while let Some(message) = messages.recv().await {
            if writer.write(&message).await.is_err() {
                return;
            }
        }
    });
    outbox
}

impl Message {
    /// Creates a message from a frame that carries a connection.
    pub(super) fn with_stream(frame: Frame, stream: TcpStream) -> io::Result<Self> {
        let descriptors = vec![OwnedFd::from(stream.into_std()?)];
        Ok(Self { frame, descriptors })
    }
}

/// Returns the connection that accompanied a frame, or `None` if there is none or it cannot be used.
fn first_stream(descriptors: Vec<OwnedFd>) -> Option<TcpStream> {
    let stream = std::net::TcpStream::from(descriptors.into_iter().next()?);
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}
