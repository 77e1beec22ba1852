//! The old process's side of an upgrade: hands over to the next process, and serves again if that one ends.

use super::frame::{Frame, LAYOUT_VERSION, REVISION, Revision};
use super::handover::{ANSWER_TIMEOUT, Handover, Outgoing};
use super::link::{Message, Reader, Writer, link};
use super::rendezvous::Rendezvous;
use super::replication::Side;
use crate::exchange::{EngineEvent, EngineState};
use crate::interface::Millis;
use crate::net::server_side::{ConnectionHandover, Drain, Phase, Role};
use slog::{debug, info, warn};
use std::io;
use std::os::fd::{AsFd, OwnedFd};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::net::UnixStream;
use tokio::sync::mpsc;

/// The time within which the next process must be able to serve after it got the sockets, in milliseconds;
/// after it, the process counts as failed.
const START_TIMEOUT: Millis = 30_000.0;
/// The delay before the next attempt to accept a connection after a failed one, in milliseconds.
const ACCEPT_RETRY: Millis = 50.0;
/// The delay before the next attempt to listen for the next process, in milliseconds.
const LISTEN_RETRY: Millis = 500.0;
/// The delay before the next look whether another process still serves at this address, in milliseconds: short at
/// first, as a process that ends closes its link a moment before its listener.
const SERVED_RETRY: [Millis; 5] = [2.0, 5.0, 20.0, 50.0, 100.0];
/// The delay before each later look, in milliseconds.
const SERVED_INTERVAL: Millis = 500.0;

/// How far the next process has come when its link begins to carry what passes between two processes that run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// It is able to serve, and asks for the state.
    TakesOver,
    /// It serves already: this process did not answer in time.
    Leads,
}

impl Handover {
    /// Waits for the next process and hands over to it; if that one ends while this one still serves, waits
    /// for another. Returns once this process drains. `claimed` is where the next process finds this one already.
    pub async fn serve_successor(
        self: Rc<Self>,
        path: PathBuf,
        claimed: Option<Rendezvous>,
        mut outgoing: Outgoing,
    ) {
        let mut rendezvous = match claimed {
            Some(rendezvous) => rendezvous,
            None => self.listen(&path).await,
        };
        self.replication.claim(rendezvous.claim());
        let mut phase = self.phase.clone();
        loop {
            let active = *self.role.borrow() == Role::Active;
            let accepted = tokio::select! {
                accepted = rendezvous.listener.accept() => accepted,
                // A draining process gives no sockets away, and closes its copy of the listener here:
                // otherwise the kernel would still complete clients' connections that no process serves.
                Ok(_) = phase.wait_for(|phase| *phase == Phase::Draining), if active => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    match self.hand_over(stream, &mut outgoing).await {
                        // Another process looked whether one serves here.
                        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => {}
                        Err(e) => info!(self.log, "the next process is gone"; "why" => %e),
                        Ok(()) => {}
                    }
                    self.replication.unlink(Side::Successor);
                    self.resume(&path, &mut rendezvous, &mut outgoing).await;
                }
                Err(_) => self.deadlines.sleep(ACCEPT_RETRY).await,
            }
        }
    }

    /// Listens for the next process, as soon as that is possible.
    async fn listen(&self, path: &Path) -> Rendezvous {
        let mut logged = false;
        loop {
            match Rendezvous::listen(path) {
                Ok(rendezvous) => return rendezvous,
                Err(e) if !logged => {
                    logged = true;
                    warn!(self.log, "the next process will get no sockets"; "error" => %e);
                }
                Err(_) => {}
            }
            self.deadlines.sleep(LISTEN_RETRY).await;
        }
    }

    /// Leads and becomes active again if the next process has ended. As long as another process serves at this address,
    /// this one only finishes what it still has.
    async fn resume(&self, path: &Path, rendezvous: &mut Rendezvous, outgoing: &mut Outgoing) {
        self.take_back(outgoing);
        let mut pauses = SERVED_RETRY.into_iter();
        while rendezvous.claim().is_lost().await {
            match pauses.next() {
                Some(pause) => self.deadlines.sleep(pause).await,
                None => {
                    self.yield_address();
                    self.take_back(outgoing);
                    self.replication.follow_elsewhere().await;
                    self.deadlines.sleep(SERVED_INTERVAL).await;
                }
            }
        }
        if !rendezvous.claim().is_found() {
            *rendezvous = self.listen(path).await;
            self.replication.claim(rendezvous.claim());
        }
        {
            let _order = self.replication.hold().await;
            self.replication.lead().await;
        }
        self.resume_role();
        self.take_back(outgoing);
    }

    /// Serves here what was queued for the next process when it ended.
    fn take_back(&self, outgoing: &mut Outgoing) {
        while let Ok(connection) = outgoing.clients.try_recv() {
            let _ = self.adopted_clients.send(connection);
        }
        while outgoing.backends.try_recv().is_ok() || outgoing.ended_attempts.try_recv().is_ok() {}
    }

    /// Stops passing connections on, as another process serves at this address and there is no link to it.
    fn yield_address(&self) {
        if *self.role.borrow() == Role::Retiring {
            warn!(self.log, "another process serves at this address");
            self.role.send_replace(Role::Detached);
        }
    }

    /// Becomes active again if this process still serves. If it was told to stop, it only finishes what it still has.
    fn resume_role(&self) {
        if *self.role.borrow() == Role::Active {
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
        let revision = self.greet(&mut reader).await?;
        self.send_sockets(&mut writer, outgoing).await?;
        let (outbox, mut messages) = mpsc::unbounded_channel();
        if revision >= Revision::REPLICATION {
            self.replication.link(Side::Successor, outbox.clone(), revision).await;
        }
        let step = self.stand_by(&mut reader, &mut writer, &mut messages);
        let step = match self.deadlines.within(START_TIMEOUT, step).await {
            Some(step) => step?,
            None => return Err(io::Error::other("it did not take over in time")),
        };
        if step == Step::TakesOver {
            info!(self.log, "another process takes over");
            self.retire(&mut writer).await?;
        }
        if revision < Revision::REPLICATION {
            self.replication.link(Side::Successor, outbox, revision).await;
        }
        self.forward(&mut reader, &mut writer, &mut messages, outgoing).await
    }

    /// Waits for the next process's greeting. Returns what that one understands.
    async fn greet(&self, reader: &mut Reader) -> io::Result<Revision> {
        let hello = self.deadlines.within(ANSWER_TIMEOUT, reader.next()).await;
        match hello {
            Some(Ok(Some(Message { frame: Frame::Hello(LAYOUT_VERSION, revision), .. }))) => Ok(revision),
            Some(Ok(None)) => Err(io::ErrorKind::UnexpectedEof.into()),
            _ => Err(io::Error::other("it uses another version of the frames")),
        }
    }

    /// Sends the next process copies of the sockets.
    async fn send_sockets(&self, writer: &mut Writer, outgoing: &Outgoing) -> io::Result<()> {
        if *self.phase.borrow() != Phase::Serving {
            return Err(io::Error::other("this process is about to end"));
        }
        let copy = |descriptor: &OwnedFd| descriptor.as_fd().try_clone_to_owned();
        let mut descriptors = vec![copy(&outgoing.listener)?];
        if let Some(peers) = &outgoing.peers {
            descriptors.push(copy(peers)?);
        }
        let frame = Frame::Sockets { peers: outgoing.peers.is_some(), revision: REVISION };
        writer.write(&Message { frame, descriptors }).await
    }

    /// Exchanges operators' changes with the next process until it is able to serve.
    async fn stand_by(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        messages: &mut mpsc::UnboundedReceiver<Message>,
    ) -> io::Result<Step> {
        loop {
            tokio::select! {
                biased;
                read = reader.next() => match read? {
                    Some(Message { frame: Frame::TakeOver, .. }) => return Ok(Step::TakesOver),
                    Some(message) => {
                        let leads = matches!(message.frame, Frame::Operators(_));
                        self.handle(Side::Successor, message).await;
                        if leads {
                            return Ok(Step::Leads);
                        }
                    }
                    None => return Err(io::Error::other("it closed the link")),
                },
                Some(message) = messages.recv() => writer.write(&message).await?,
            }
        }
    }

    /// Stops deciding, and sends the next process the state.
    async fn retire(&self, writer: &mut Writer) -> io::Result<()> {
        let _order = self.replication.hold().await;
        self.replication.follow_successor();
        self.role.send_replace(Role::Retiring);
        let engine: EngineState = self.request(EngineEvent::HandOver).await.unwrap_or_default();
        let drained = *self.drain.borrow() != Drain::Inactive;
        let backend_connections = self.backend_connections.get();
        writer.write(&Frame::State { engine, drained, backend_connections }.into()).await
    }

    /// Forwards connections and ended attempts to the next process, and handles its messages, until it ends.
    async fn forward(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        messages: &mut mpsc::UnboundedReceiver<Message>,
        outgoing: &mut Outgoing,
    ) -> io::Result<()> {
        loop {
            let message = tokio::select! {
                biased;
                read = reader.next() => match read? {
                    Some(message) => {
                        self.handle(Side::Successor, message).await;
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
                self.read_rest(reader).await;
                return Err(e);
            }
        }
    }

    /// Handles what the next process wrote before it ended.
    async fn read_rest(&self, reader: &mut Reader) {
        while let Ok(Some(message)) = reader.next().await {
            debug!(self.log, "read after the end of the next process"; "frame" => ?message.frame);
            self.handle(Side::Successor, message).await;
        }
    }
}

/// Creates the message that passes a client's connection to the next process.
fn client_message(connection: ConnectionHandover) -> io::Result<Message> {
    let ConnectionHandover { stream, bytes, has_carried_request: had_requests, message_age } = connection;
    let bytes = bytes.to_vec();
    Message::with_stream(Frame::ClientConnection { had_requests, message_age, bytes }, stream)
}
