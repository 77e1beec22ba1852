//! Both sides of an upgrade: what the old process does when the next one starts, and what the next one does until the old
//! one is gone. The frames say what passes; the engines decide what follows.

use super::frame::{Frame, LAYOUT_VERSION};
use super::link::{Parcel, Reader, Writer, link};
use super::peer::{ANSWER_TIMEOUT, OtherProcess};
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
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::{TcpStream, UnixStream};
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// The next process must ask for everything within so many milliseconds of its start, or it counts as failed.
const START_TIMEOUT: Millis = 30_000.0;
/// The next process is accepted so many milliseconds after one that could not be.
const ACCEPT_RETRY: Millis = 50.0;

type EngineExchange = Exchange<Question, Answer>;
type Outbox = mpsc::UnboundedSender<Parcel>;

/// This process's part in an upgrade, with all that takes part in it.
pub struct Succession {
    /// The engine.
    pub exchange: EngineExchange,
    /// Which of two processes this is.
    pub role: watch::Sender<Role>,
    /// How far this process is between its start and its end.
    pub phase: watch::Receiver<Phase>,
    /// The drain of this instance.
    pub drain: watch::Sender<Drain>,
    /// The other process.
    pub other: OtherProcess,
    /// Takes clients' connections that pass to this process.
    pub adopt: mpsc::UnboundedSender<ConnectionHandover>,
    /// Takes idle connections to backends that pass to this process.
    pub adopt_server: mpsc::UnboundedSender<(BackendId, TcpStream)>,
    /// How many connections the other process still has open.
    pub elsewhere: PredecessorConnections,
    /// How many connections to backends are open here.
    pub open: Rc<Cell<usize>>,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// Each step is logged.
    pub log: Logger,
}

/// What passes from this process to the next one.
pub struct Outgoing {
    /// Clients' connections.
    pub clients: mpsc::UnboundedReceiver<ConnectionHandover>,
    /// Idle connections to backends.
    pub servers: mpsc::UnboundedReceiver<(BackendId, TcpStream)>,
    /// Attempts that have ended here.
    pub ended: mpsc::UnboundedReceiver<AttemptEnd>,
    /// The clients' listener.
    pub listener: OwnedFd,
    /// The peers' socket.
    pub peers: Option<OwnedFd>,
}

impl Succession {
    /// Tells the engine something, and waits for its answer.
    async fn ask<T>(
        &self,
        news: impl FnOnce(oneshot::Sender<T>) -> EngineEvent<Question, Answer>,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        self.exchange.send(news(reply));
        answer.await.ok()
    }

    /// Takes over from the old process that gave its sockets: its state first, then its connections, until it is gone.
    /// Whatever goes wrong, this process is active from then on.
    pub async fn take_over(self: Rc<Self>, link: (Reader, Writer)) {
        let (mut reader, mut writer) = link;
        let reply = async {
            writer.write(&Frame::Take.into()).await?;
            reader.next().await
        };
        let reply = self.deadlines.within(2.0 * ANSWER_TIMEOUT, reply).await;
        let Some(Ok(Some(Parcel { frame: Frame::State { estate, drained, servers }, .. }))) = reply else {
            warn!(self.log, "the old process handed nothing over");
            self.role.send_replace(Role::Active);
            return;
        };
        self.elsewhere.set(servers.max(1));
        self.ask(|reply| EngineEvent::Inherit(estate, reply)).await;
        if drained {
            self.drain.send_replace(Drain::Closing);
        }
        self.role.send_replace(Role::Active);
        let (outbox, mut parcels) = mpsc::unbounded_channel();
        self.other.set(Some(outbox.clone()));
        spawn_local(async move {
            while let Some(parcel) = parcels.recv().await {
                if writer.write(&parcel).await.is_err() {
                    return;
                }
            }
        });
        while let Ok(Some(parcel)) = reader.next().await {
            self.handle(parcel, &outbox).await;
        }
        self.other.set(None);
        self.elsewhere.set(0);
        self.exchange.send(EngineEvent::PredecessorGone);
        info!(self.log, "the old process is gone");
    }

    /// Handles a frame of the other process that is no step of the handover.
    async fn handle(&self, parcel: Parcel, outbox: &Outbox) {
        match parcel.frame {
            Frame::Client { .. } => self.adopt_client(parcel),
            Frame::Server(server) => {
                if let Some(stream) = first_stream(parcel.descriptors) {
                    let _ = self.adopt_server.send((server, stream));
                }
            }
            Frame::Ended(end) => self.exchange.send(EngineEvent::PredecessorAttemptEnded(end)),
            Frame::Operate(number, operation) => {
                let _: Option<OperationResult> =
                    self.ask(|reply| EngineEvent::Operate(operation, reply)).await;
                let _ = outbox.send(Frame::Done(number).into());
            }
            Frame::Done(number) => self.other.done(number),
            Frame::Drain(drained) => {
                self.drain.send_replace(if drained { Drain::Announced } else { Drain::Inactive });
            }
            _ => {}
        }
    }

    /// Serves a client's connection that has passed to this process, or could not pass on.
    fn adopt_client(&self, parcel: Parcel) {
        let Frame::Client { flows, age, bytes } = parcel.frame else { return };
        let Some(stream) = first_stream(parcel.descriptors) else { return };
        let bytes = BytesMut::from(&bytes[..]);
        let _ = self.adopt.send(ConnectionHandover {
            stream,
            bytes,
            has_carried_request: flows,
            message_age: age,
        });
    }

    /// Waits for next processes, for ever, and hands everything over to each.
    pub async fn serve_successor(self: Rc<Self>, path: PathBuf, mut outgoing: Outgoing) {
        let listener = match listen(&path) {
            Ok(listener) => listener,
            Err(e) => {
                warn!(self.log, "the next process will get no sockets"; "error" => %e);
                return std::future::pending().await;
            }
        };
        let mut phase = self.phase.clone();
        loop {
            let active = *self.role.borrow() == Role::Active;
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                // Prevents clients from being accepted by a listener that nobody serves any more: a process that drains
                // gives no sockets away.
                Ok(_) = phase.wait_for(|phase| *phase == Phase::Draining), if active => return,
            };
            match accepted {
                Ok((stream, _)) => {
                    if let Err(e) = self.hand_over(stream, &mut outgoing).await {
                        info!(self.log, "the next process is gone"; "why" => %e);
                    }
                    self.other.set(None);
                    self.take_back();
                }
                Err(_) => self.deadlines.sleep(ACCEPT_RETRY).await,
            }
            // What was on its way when the other process ended stays here.
            while let Ok(passing) = outgoing.clients.try_recv() {
                let _ = self.adopt.send(passing);
            }
            while outgoing.servers.try_recv().is_ok() || outgoing.ended.try_recv().is_ok() {}
        }
    }

    /// Becomes active again where the next process has ended and this one still serves.
    fn take_back(&self) {
        if *self.role.borrow() == Role::Retiring && *self.phase.borrow() == Phase::Serving {
            warn!(self.log, "serving again");
            self.exchange.send(EngineEvent::Resume);
            self.role.send_replace(Role::Active);
        }
    }

    /// Hands everything over to the next process: sockets, state, then connections, until that process ends.
    async fn hand_over(&self, stream: UnixStream, outgoing: &mut Outgoing) -> io::Result<()> {
        let (mut reader, mut writer) = link(stream);
        self.give_sockets(&mut reader, &mut writer, outgoing).await?;
        info!(self.log, "another process takes over");
        self.role.send_replace(Role::Retiring);
        let estate: EngineState = self.ask(EngineEvent::HandOver).await.unwrap_or_default();
        let drained = *self.drain.borrow() != Drain::Inactive;
        let servers = self.open.get();
        writer.write(&Frame::State { estate, drained, servers }.into()).await?;
        self.pass_on(&mut reader, &mut writer, outgoing).await
    }

    /// Greets the next process, gives it copies of the sockets, and waits until it can serve.
    async fn give_sockets(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        outgoing: &Outgoing,
    ) -> io::Result<()> {
        let hello = self.deadlines.within(ANSWER_TIMEOUT, reader.next()).await;
        if !matches!(hello, Some(Ok(Some(Parcel { frame: Frame::Hello(LAYOUT_VERSION), .. })))) {
            return Err(io::Error::other("it reads another layout"));
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
        writer.write(&Parcel { frame, descriptors }).await?;
        match self.deadlines.within(START_TIMEOUT, reader.next()).await {
            Some(Ok(Some(Parcel { frame: Frame::Take, .. }))) => Ok(()),
            Some(Err(e)) => Err(e),
            _ => Err(io::Error::other("it did not start")),
        }
    }

    /// Passes on what leaves this process, and handles what the next one says, until that one ends.
    async fn pass_on(
        &self,
        reader: &mut Reader,
        writer: &mut Writer,
        outgoing: &mut Outgoing,
    ) -> io::Result<()> {
        let (outbox, mut parcels) = mpsc::unbounded_channel();
        self.other.set(Some(outbox.clone()));
        loop {
            let parcel = tokio::select! {
                biased;
                read = reader.next() => match read? {
                    Some(parcel) => {
                        self.handle(parcel, &outbox).await;
                        continue;
                    }
                    None => return Err(io::Error::other("it ended")),
                },
                Some(parcel) = parcels.recv() => parcel,
                Some(end) = outgoing.ended.recv() => Frame::Ended(end).into(),
                Some((server, stream)) = outgoing.servers.recv() => {
                    Parcel::with_stream(Frame::Server(server), stream)?
                }
                Some(passing) = outgoing.clients.recv() => client_parcel(passing)?,
            };
            if let Err(e) = writer.write(&parcel).await {
                self.adopt_client(parcel);
                return Err(e);
            }
        }
    }
}

impl Parcel {
    /// A frame that comes with a connection.
    fn with_stream(frame: Frame, stream: TcpStream) -> io::Result<Self> {
        let descriptors = vec![OwnedFd::from(stream.into_std()?)];
        Ok(Self { frame, descriptors })
    }
}

/// The connection that came with a frame; none where it came without, or cannot be used.
fn first_stream(descriptors: Vec<OwnedFd>) -> Option<TcpStream> {
    let stream = std::net::TcpStream::from(descriptors.into_iter().next()?);
    stream.set_nonblocking(true).ok()?;
    TcpStream::from_std(stream).ok()
}

fn client_parcel(passing: ConnectionHandover) -> io::Result<Parcel> {
    let ConnectionHandover { stream, bytes, has_carried_request: flows, message_age: age } = passing;
    Parcel::with_stream(Frame::Client { flows, age, bytes: bytes.to_vec() }, stream)
}
