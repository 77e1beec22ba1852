//! The link to another process at this address, as replication sees it: what is sent there, and what is waited for.

use super::change::Change;
use super::frame::{BackendOperation, Frame, Revision};
use super::link::Message;
use std::collections::BTreeMap;
use tokio::sync::{mpsc, oneshot};

/// What the other process is to answer.
#[derive(Debug)]
enum Expected {
    /// That it has followed a change.
    Confirmation(oneshot::Sender<()>),
    /// Whether a change was carried out.
    Answer(oneshot::Sender<Result<(), String>>),
}

/// Another process at this address.
#[derive(Debug)]
pub(super) struct Peer {
    /// What it understands.
    pub(super) revision: Revision,
    outbox: mpsc::UnboundedSender<Message>,
    last_number: u64,
    /// What it has not answered yet, by number.
    expected: BTreeMap<u64, Expected>,
}

impl Peer {
    pub(super) fn new(outbox: mpsc::UnboundedSender<Message>, revision: Revision) -> Self {
        Self { revision, outbox, last_number: 0, expected: BTreeMap::new() }
    }

    /// Returns whether it knows which process leads.
    pub(super) fn replicates(&self) -> bool {
        self.revision >= Revision::REPLICATION
    }

    /// Sends a frame. Does nothing if the link has ended.
    pub(super) fn send(&self, frame: Frame) {
        let _ = self.outbox.send(frame.into());
    }

    fn expect(&mut self, expected: Expected) -> u64 {
        self.last_number += 1;
        self.expected.insert(self.last_number, expected);
        self.last_number
    }

    /// Asks it to have a change carried out. The returned receiver fails if the link ends first.
    pub(super) fn submit(
        &mut self,
        change: Change,
        expires_at: u64,
    ) -> oneshot::Receiver<Result<(), String>> {
        let (sender, answer) = oneshot::channel();
        let number = self.expect(Expected::Answer(sender));
        self.send(Frame::Submit { number, change, expires_at });
        answer
    }

    /// Has it follow a change. Returns the receiver of the confirmation; `None` if it confirms no such change.
    pub(super) fn follow(&mut self, change: Change) -> Option<oneshot::Receiver<()>> {
        let (sender, confirmation) = oneshot::channel();
        if self.replicates() {
            let number = self.expect(Expected::Confirmation(sender));
            self.send(Frame::Follow(number, change));
            return Some(confirmation);
        }
        let operation = match change {
            Change::DisableBackend(name) => BackendOperation::Disable(name),
            Change::EnableBackend(name) => BackendOperation::Enable(name),
            Change::Drain => {
                self.send(Frame::Drain(true));
                return None;
            }
            Change::Resume => {
                self.send(Frame::Drain(false));
                return None;
            }
            Change::DrainIngress(..) => return None,
        };
        let number = self.expect(Expected::Confirmation(sender));
        self.send(Frame::Operate(number, operation));
        Some(confirmation)
    }

    /// Records that it has followed the change of this number.
    pub(super) fn followed(&mut self, number: u64) {
        if let Some(Expected::Confirmation(sender)) = self.expected.remove(&number) {
            let _ = sender.send(());
        }
    }

    /// Records whether the change of this number was carried out.
    pub(super) fn answered(&mut self, number: u64, result: Result<(), String>) {
        if let Some(Expected::Answer(sender)) = self.expected.remove(&number) {
            let _ = sender.send(result);
        }
    }

    /// Returns the number of changes that it has not confirmed.
    pub(super) fn unconfirmed(&self) -> usize {
        self.expected.values().filter(|expected| matches!(expected, Expected::Confirmation(_))).count()
    }
}

impl BackendOperation {
    /// Returns the change that an operator requested, or `None` if nothing changes.
    pub(super) fn into_change(self) -> Option<Change> {
        match self {
            Self::Inspect => None,
            Self::Disable(name) => Some(Change::DisableBackend(name)),
            Self::Enable(name) => Some(Change::EnableBackend(name)),
        }
    }
}
