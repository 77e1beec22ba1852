//! Both sides of an upgrade: how the old process hands over to the next one, and how the next one takes over
//! until the old one has ended. Only the transfer is here; the engines decide what follows from it.

use super::frame::{Frame, LAYOUT_VERSION};
use super::link::{Message, Reader, Writer, link};
use super::other_process::{ANSWER_TIMEOUT, OtherProcess};
use super::rendezvous::listen;
use crate::deadlines::Deadlines;
use crate::exchange::{EngineEvent, EngineState, Exchange, OperationResult};
use crate::interface::{AttemptEnd, BackendId, Millis};
use crate::net::budget::PredecessorConnections;
use crate::net::client_side::{Answer, Question};
use crate::net::server_side::{ConnectionHandover, Drain, Phase, Role};
use bytes::BytesMut;
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// The time within which the next process must be able to serve after it got the sockets, in milliseconds;
/// after it, the process counts as failed.
const START_TIMEOUT: Millis = 30_000.0;
/// The delay before the next attempt to accept a connection after a failed one, in milliseconds.
const ACCEPT_RETRY: Millis = 50.0;

/// The delay before the next attempt to listen for the next process, in milliseconds.
const LISTEN_RETRY: Millis = 500.0;

type EngineExchange = Exchange<Question, Answer>;
type Outbox = mpsc::UnboundedSender<Message>;

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
    /// The other process.
    pub other_process: OtherProcess,
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
    async fn request<T>(
        &self,
        event: impl FnOnce(oneshot::Sender<T>) -> EngineEvent<Question, Answer>,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.exchange.send(event(reply));
        answer.await.ok()
    }

    /// Takes over from the old process that gave its sockets: first its state, then its connections, until it
    /// ends. This process becomes active even if the old one sends no state.
    pub async fn take_over(self: Rc<Self>, link: (Reader, Writer)) {
        let (mut reader, mut writer) = link;
        let reply = async {
            writer.write(&Frame::TakeOver.into()).await?;
            reader.next().await
        };
        let reply = self.deadlines.within(2.0 * ANSWER_TIMEOUT, reply).await;
        let Some(Ok(Some(Message { frame: Frame::State { engine, drained, backend_connections }, .. }))) =
            reply
        else {
            warn!(self.log, "the old process handed nothing over");
            self.role.send_replace(Role::Active);
            return;
        };
        self.elsewhere.set(backend_connections.max(1));
        self.request(|reply| EngineEvent::Inherit(engine, reply)).await;
        if drained {
            self.drain.send_replace(Drain::Closing);
        }
        self.predecessor.send_replace(true);
        self.role.send_replace(Role::Active);
        let (outbox, mut messages) = mpsc::unbounded_channel();
        self.other_process.set(Some(outbox.clone()));
        spawn_local(async move {
            while let Some(message) = messages.recv().await {
                if writer.write(&message).await.is_err() {
                    return;
                }
            }
        });
        while let Ok(Some(message)) = reader.next().await {
            self.handle(message, &outbox).await;
        }
        self.other_process.set(None);
        self.elsewhere.set(0);
        self.predecessor.send_replace(false);
        self.exchange.send(EngineEvent::PredecessorGone);
        info!(self.log, "the old process is gone");
    }

    /// Handles a message of the other process that is not a step of the handover itself.
    async fn handle(&self, message: Message, outbox: &Outbox) {
        match message.frame {
            Frame::ClientConnection { .. } => self.adopt_client(message),
            Frame::BackendConnection(backend) => {
                if let Some(stream) = first_stream(message.descriptors) {
                    let _ = self.adopted_backends.send((backend, stream));
                }
            }
            Frame::AttemptEnded(end) => self.exchange.send(EngineEvent::PredecessorAttemptEnded(end)),
            Frame::Operate(number, operation) => {
                let _: Option<OperationResult> =
                    self.request(|reply| EngineEvent::Operate(operation, reply)).await;
                let _ = outbox.send(Frame::OperationDone(number).into());
            }
            Frame::OperationDone(number) => self.other_process.operation_done(number),
            Frame::Drain(drained) => {
                self.drain.send_replace(if drained { Drain::Announced } else { Drain::Inactive });
            }
            _ => {}
        }
    }

    /// Serves a client's connection that has passed to this process, or that could not be passed to the next
    /// one.
    fn adopt_client(&self, message: Message) {
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

    /// Waits for the next process and hands over to it; if that one ends while this one still serves, waits
    /// for another. Returns once this process drains.
    pub async fn serve_successor(self: Rc<Self>, path: PathBuf, mut outgoing: Outgoing) {
        let listener = self.listen(&path).await;
        let mut phase = self.phase.clone();
        loop {
            let active = *self.role.borrow() == Role::Active;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // A draining process gives no sockets away, and closes its copy of the listener here:
                // otherwise the kernel would still complete clients' connections that no process serves.
                Ok(_) = phase.wait_for(|phase| *phase == Phase::Draining), if active => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Err(e) = self.hand_over(stream, &mut outgoing).await {
                        info!(self.log, "the next process is gone"; "why" => %e);
                    }
                    self.other_process.set(None);
                    self.resume();
                }
                Err(_) => self.deadlines.sleep(ACCEPT_RETRY).await,
            }
            // What was queued for the next process when it ended stays here.
            while let Ok(connection) = outgoing.clients.try_recv() {
                let _ = self.adopted_clients.send(connection);
            }
            while outgoing.backends.try_recv().is_ok() || outgoing.ended_attempts.try_recv().is_ok() {}
        }
    }

    /// Listens for the next process, as soon as that is possible.
    async fn listen(&self, path: &Path) -> UnixListener {
        let mut logged = false;
        loop {
            match listen(path) {
                Ok(listener) => return listener,
                Err(e) if !logged => {
                    logged = true;
                    warn!(self.log, "the next process will get no sockets"; "error" => %e);
                }
                Err(_) => {}
            }
            self.deadlines.sleep(LISTEN_RETRY).await;
        }
    }

    /// Becomes active again if the next process has ended while this one still serves. If this one was told to
    /// stop, it only finishes what it still has.
    fn resume(&self) {
        if *self.role.borrow() != Role::Retiring {
            return;
        }
        if *self.phase.borrow() == Phase::Serving {
            warn!(self.log, "serving again");
            self.exchange.send(EngineEvent::Resume);
            self.role.send_replace(Role::Active);
        } else {
            info!(self.log, "connections can no longer pass to the next process");
            self.role.send_replace(Role::Detached);
        }
    }

    /// Hands over to the next process: the sockets, the state, then connections, until that process ends.
    async fn hand_over(&self, stream: UnixStream, outgoing: &mut Outgoing) -> io::Result<()> {
        let (mut reader, mut writer) = link(stream);
        self.send_sockets(&mut reader, &mut writer, outgoing).await?;
        info!(self.log, "another process takes over");
        self.role.send_replace(Role::Retiring);
        let engine: EngineState = self.request(EngineEvent::HandOver).await.unwrap_or_default();
        let drained = *self.drain.borrow() != Drain::Inactive;
        let backend_connections = self.backend_connections.get();
        writer.write(&Frame::State { engine, drained, backend_connections }.into()).await?;
        self.forward(&mut reader, &mut writer, outgoing).await
    }

    /// Waits for the next process's greeting, sends it copies of the sockets, and waits until it can serve.
    async fn send_sockets(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        outgoing: &Outgoing,
    ) -> io::Result<()> {
        let hello = self.deadlines.within(ANSWER_TIMEOUT, reader.next()).await;
        if !matches!(hello, Some(Ok(Some(Message { frame: Frame::Hello(LAYOUT_VERSION), .. })))) {
            return Err(io::Error::other("it uses another version of the frames"));
        }
        if *self.phase.borrow() != Phase::Serving {
            return Err(io::Error::other("this process is about to end"));
        }
        let copy = |descriptor: &OwnedFd| descriptor.as_fd().try_clone_to_owned();
        let mut descriptors = vec![copy(&outgoing.listener)?];
        if let Some(peers) = &outgoing.peers {
            descriptors.push(copy(peers)?);
        }
        let frame = Frame::Sockets { peers: outgoing.peers.is_some() };
        writer.write(&Message { frame, descriptors }).await?;
        match self.deadlines.within(START_TIMEOUT, reader.next()).await {
            Some(Ok(Some(Message { frame: Frame::TakeOver, .. }))) => Ok(()),
            Some(Err(e)) => Err(e),
            _ => Err(io::Error::other("it did not take over in time")),
        }
    }

    /// Forwards connections and ended attempts to the next process, and handles its messages, until it ends.
    async fn forward(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        outgoing: &mut Outgoing,
    ) -> io::Result<()> {
        let (outbox, mut messages) = mpsc::unbounded_channel();
        self.other_process.set(Some(outbox.clone()));
        loop {
            let message = tokio::select! {
                biased;
                read = reader.next() => match read? {
                    Some(message) => {
                        self.handle(message, &outbox).await;
                        continue;
                    }
                    None => return Err(io::Error::other("it closed the link")),
                },
                Some(message) = messages.recv() => message,
                Some(end) = outgoing.ended_attempts.recv() => Frame::AttemptEnded(end).into(),
                Some((backend, stream)) = outgoing.backends.recv() => {
                    Message::with_stream(Frame::BackendConnection(backend), stream)?
                }
                Some(connection) = outgoing.clients.recv() => client_message(connection)?,
            };
            if let Err(e) = writer.write(&message).await {
                self.adopt_client(message);
                return Err(e);
            }
        }
    }
}

impl Message {
    /// Creates a message from a frame that carries a connection.
    fn with_stream(frame: Frame, stream: TcpStream) -> io::Result<Self> {
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

/// Creates the message that passes a client's connection to the next process.
fn client_message(connection: ConnectionHandover) -> io::Result<Message> {
    let ConnectionHandover { stream, bytes, has_carried_request: had_requests, message_age } = connection;
    let bytes = bytes.to_vec();
    Message::with_stream(Frame::ClientConnection { had_requests, message_age, bytes }, stream)
}
