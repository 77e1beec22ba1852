//! The new process's side of an upgrade: takes over from the old one.

use super::frame::{Frame, Revision};
use super::handover::{ANSWER_TIMEOUT, Handover, Outbox, spawn_writer};
use super::link::{Message, Reader};
use super::rendezvous::PredecessorLink;
use super::replication::Side;
use crate::exchange::{EngineEvent, EngineState};
use crate::net::server_side::{Drain, Role};
use slog::{info, warn};
use std::io;
use std::rc::Rc;
use tokio::sync::watch;

/// What the old process hands over.
struct InheritedState {
    engine: EngineState,
    drained: bool,
    backend_connections: usize,
}

impl Handover {
    /// Takes over from the old process that gave its sockets, once `able` is true: first its state, then its
    /// connections, until it ends. This process becomes active even if the old one sends no state.
    pub async fn take_over(self: Rc<Self>, link: PredecessorLink, mut able: watch::Receiver<bool>) {
        let PredecessorLink { mut reader, writer, revision } = link;
        let outbox = spawn_writer(writer);
        if revision >= Revision::REPLICATION {
            self.replication.link(Side::Predecessor, outbox.clone(), revision).await;
        }
        match self.await_state(&mut reader, &outbox, &mut able).await {
            Ok(Some(state)) => {
                self.activate(state, (&outbox, revision)).await;
                self.follow_old_process(reader).await;
            }
            Ok(None) => self.activate_alone(able).await,
            Err(e) => {
                info!(self.log, "the old process is gone before it handed over"; "why" => %e);
                self.activate_alone(able).await;
            }
        }
    }

    /// Exchanges operators' changes with the old process until this one is able to serve, and then asks for the state.
    /// Returns `None` if the old process does not answer.
    async fn await_state(
        &self,
        reader: &mut Reader,
        outbox: &Outbox,
        able: &mut watch::Receiver<bool>,
    ) -> io::Result<Option<InheritedState>> {
        loop {
            tokio::select! {
                biased;
                read = reader.next() => self.handle(Side::Predecessor, expect(read)?).await,
                _ = able.wait_for(|able| *able) => break,
            }
        }
        let _ = outbox.send(Frame::TakeOver.into());
        let state = self.deadlines.within(2.0 * ANSWER_TIMEOUT, self.read_state(reader)).await;
        state.transpose()
    }

    /// Reads up to the state of the old process.
    async fn read_state(&self, reader: &mut Reader) -> io::Result<InheritedState> {
        loop {
            match expect(reader.next().await)? {
                Message { frame: Frame::State { engine, drained, backend_connections }, .. } => {
                    return Ok(InheritedState { engine, drained, backend_connections });
                }
                message => self.handle(Side::Predecessor, message).await,
            }
        }
    }

    /// Becomes active with the state of the old process.
    async fn activate(&self, state: InheritedState, (outbox, revision): (&Outbox, Revision)) {
        let order = self.replication.hold().await;
        let InheritedState { engine, drained, backend_connections } = state;
        self.elsewhere.set(backend_connections.max(1));
        self.request(|reply| EngineEvent::Inherit(engine, reply)).await;
        let drain = if drained { Drain::Closing } else { Drain::Inactive };
        self.drain.send_if_modified(|before| std::mem::replace(before, drain) != drain);
        self.predecessor.send_replace(true);
        self.replication.lead().await;
        drop(order);
        if revision < Revision::REPLICATION {
            self.replication.link(Side::Predecessor, outbox.clone(), revision).await;
        }
        self.role.send_replace(Role::Active);
    }

    /// Becomes active without an old process, once `able` is true.
    async fn activate_alone(&self, mut able: watch::Receiver<bool>) {
        self.replication.unlink(Side::Predecessor);
        {
            let _order = self.replication.hold().await;
            self.replication.lead().await;
        }
        let _ = able.wait_for(|able| *able).await;
        warn!(self.log, "the old process handed nothing over");
        self.role.send_replace(Role::Active);
    }

    /// Handles what the old process sends after this one has become active, until it ends.
    async fn follow_old_process(&self, mut reader: Reader) {
        while let Ok(Some(message)) = reader.next().await {
            self.handle(Side::Predecessor, message).await;
        }
        self.replication.unlink(Side::Predecessor);
        self.elsewhere.set(0);
        self.predecessor.send_replace(false);
        self.exchange.send(EngineEvent::PredecessorGone);
        info!(self.log, "the old process is gone");
    }
}

/// Returns the message that was read, or an error if the other process has closed the link.
fn expect(read: io::Result<Option<Message>>) -> io::Result<Message> {
    read?.ok_or_else(|| io::Error::other("it closed the link"))
}
