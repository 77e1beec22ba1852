//! The new process's side of an upgrade: takes over from the old one.

use super::frame::{Frame, Revision};
use super::handover::{ANSWER_TIMEOUT, Handover, Outbox, spawn_writer};
use super::link::{Message, Reader};
use super::rendezvous::{Found, InheritedSockets, PredecessorLink, request_sockets};
use super::replication::Side;
use crate::exchange::{EngineEvent, EngineState};
use crate::interface::Millis;
use crate::net::server_side::{Drain, Role};
use slog::{info, warn};
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::sync::watch;
use tokio::task::spawn_local;

/// The delays before the next attempts to find the old process again once its link has ended before it handed over, in
/// milliseconds: a process that ends closes its link a moment before its listener.
const REUNION_DELAYS: [Millis; 4] = [0.0, 5.0, 20.0, 100.0];

/// How the wait of a new process for the old one's state ended.
enum Takeover {
    /// The old process has stopped deciding, and this is its state.
    State(Box<InheritedState>),
    /// The old process does not answer.
    Silent,
}

/// What the old process hands over.
struct InheritedState {
    engine: EngineState,
    drained: bool,
    backend_connections: usize,
}

impl Handover {
    /// Takes over from the old process that gave its sockets, once `able` is true: first its state, then its
    /// connections, until it ends. This process becomes active even if the old one sends no state. `path` is where the
    /// old process is found.
    pub async fn take_over(
        self: Rc<Self>,
        link: PredecessorLink,
        path: PathBuf,
        mut able: watch::Receiver<bool>,
    ) {
        let mut next = Some(link);
        while let Some(PredecessorLink { mut reader, writer, revision }) = next.take() {
            let outbox = spawn_writer(writer);
            if revision >= Revision::REPLICATION {
                self.replication.link(Side::Predecessor, outbox.clone(), revision).await;
            }
            match self.await_state(&mut reader, &outbox, &mut able).await {
                Ok(takeover) => {
                    self.activate(takeover, (&outbox, revision)).await;
                    return self.follow_old_process(reader).await;
                }
                Err(e) => {
                    info!(self.log, "the old process is gone before it handed over"; "why" => %e);
                    self.replication.unlink(Side::Predecessor);
                    next = self.find_again(&path).await;
                }
            }
        }
        self.activate_alone(able).await;
    }

    /// Exchanges operators' changes with the old process until this one is able to serve, and then asks for the state.
    async fn await_state(
        &self,
        reader: &mut Reader,
        outbox: &Outbox,
        able: &mut watch::Receiver<bool>,
    ) -> io::Result<Takeover> {
        loop {
            tokio::select! {
                biased;
                read = reader.next() => self.handle(Side::Predecessor, expect(read)?).await,
                _ = able.wait_for(|able| *able) => break,
            }
        }
        let _ = outbox.send(Frame::TakeOver.into());
        let state = self.deadlines.within(2.0 * ANSWER_TIMEOUT, self.read_state(reader)).await;
        state.unwrap_or(Ok(Takeover::Silent))
    }

    /// Reads up to the state of the old process.
    async fn read_state(&self, reader: &mut Reader) -> io::Result<Takeover> {
        loop {
            match expect(reader.next().await)? {
                Message { frame: Frame::State { engine, drained, backend_connections }, .. } => {
                    let state = InheritedState { engine, drained, backend_connections };
                    return Ok(Takeover::State(Box::new(state)));
                }
                message => self.handle(Side::Predecessor, message).await,
            }
        }
    }

    /// Becomes active: with the state of the old process, or without it.
    async fn activate(&self, takeover: Takeover, (outbox, revision): (&Outbox, Revision)) {
        let order = self.replication.hold().await;
        match takeover {
            Takeover::State(state) => {
                let InheritedState { engine, drained, backend_connections } = *state;
                self.elsewhere.set(backend_connections.max(1));
                self.request(|reply| EngineEvent::Inherit(engine, reply)).await;
                let drain = if drained { Drain::Closing } else { Drain::Inactive };
                self.drain.send_if_modified(|before| std::mem::replace(before, drain) != drain);
                self.predecessor.send_replace(true);
            }
            Takeover::Silent => warn!(self.log, "the old process handed nothing over"),
        }
        self.replication.lead().await;
        drop(order);
        if revision < Revision::REPLICATION {
            self.replication.link(Side::Predecessor, outbox.clone(), revision).await;
        }
        self.role.send_replace(Role::Active);
    }

    /// Becomes active without an old process, once `able` is true.
    async fn activate_alone(&self, mut able: watch::Receiver<bool>) {
        {
            let _order = self.replication.hold().await;
            self.replication.lead().await;
        }
        let _ = able.wait_for(|able| *able).await;
        warn!(self.log, "the old process handed nothing over");
        self.role.send_replace(Role::Active);
    }

    /// Returns a new link to the old process, or `None` if it has ended. Its sockets are the ones that it gave before.
    async fn find_again(self: &Rc<Self>, path: &Path) -> Option<PredecessorLink> {
        for delay in REUNION_DELAYS {
            self.deadlines.sleep(delay).await;
            match request_sockets(path).await {
                Ok(Found::Sockets(InheritedSockets { link, .. })) => return Some(link),
                Ok(Found::Silent(link)) => {
                    spawn_local(self.clone().await_silent(link));
                    return None;
                }
                Ok(Found::Nobody) => return None,
                Err(_) => {}
            }
        }
        None
    }

    /// Handles what the old process sends after this one has become active, until it ends.
    async fn follow_old_process(&self, mut reader: Reader) {
        while let Ok(Some(message)) = reader.next().await {
            match message.frame {
                // The old process was held up: this one has gone on without its state.
                Frame::State { backend_connections, .. } => {
                    info!(self.log, "the old process has handed over late");
                    self.elsewhere.set(backend_connections.max(1));
                    self.predecessor.send_replace(true);
                }
                _ => self.handle(Side::Predecessor, message).await,
            }
        }
        self.replication.unlink(Side::Predecessor);
        self.elsewhere.set(0);
        self.predecessor.send_replace(false);
        self.exchange.send(EngineEvent::PredecessorGone);
        info!(self.log, "the old process is gone");
    }

    /// Leads in place of an old process that did not answer, once it reads its link again.
    pub async fn await_silent(self: Rc<Self>, link: PredecessorLink) {
        let PredecessorLink { mut reader, writer, .. } = link;
        let Ok(Some(Message { frame: Frame::Sockets { revision, .. }, .. })) = reader.next().await else {
            return;
        };
        if revision < Revision::REPLICATION {
            return;
        }
        info!(self.log, "the old process answers late");
        self.replication.link(Side::Predecessor, spawn_writer(writer), revision).await;
        while let Ok(Some(message)) = reader.next().await {
            self.handle(Side::Predecessor, message).await;
        }
        self.replication.unlink(Side::Predecessor);
        info!(self.log, "the old process is gone");
    }
}

/// Returns the message that was read, or an error if the other process has closed the link.
fn expect(read: io::Result<Option<Message>>) -> io::Result<Message> {
    read?.ok_or_else(|| io::Error::other("it closed the link"))
}
