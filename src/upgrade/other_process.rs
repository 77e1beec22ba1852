//! The other process at this address, while there is one. Operators' commands to either process apply to
//! both.

use super::frame::Frame;
use super::link::Message;
use crate::deadlines::Deadlines;
use crate::exchange::Operation;
use crate::interface::Millis;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use tokio::sync::{mpsc, oneshot};

/// The time within which the other process must answer, in milliseconds; after it, this process continues
/// alone.
pub(super) const ANSWER_TIMEOUT: Millis = 700.0;

/// A handle to the other process, while there is one.
#[derive(Debug, Clone, Default)]
pub struct OtherProcess(Rc<RefCell<Option<Link>>>);

/// The link to the other process.
#[derive(Debug)]
struct Link {
    outbox: mpsc::UnboundedSender<Message>,
    last_operation: u64,
    /// The senders that confirm operations in progress, by the number of the operation.
    waiting: BTreeMap<u64, oneshot::Sender<()>>,
}

impl OtherProcess {
    /// Sets the queue of messages to the other process, or `None` if there is no other process any more.
    pub(super) fn set(&self, outbox: Option<mpsc::UnboundedSender<Message>>) {
        *self.0.borrow_mut() =
            outbox.map(|outbox| Link { outbox, last_operation: 0, waiting: BTreeMap::new() });
    }

    /// Forwards an operation to the other process, and waits until it has been carried out, at most
    /// `ANSWER_TIMEOUT`. Returns at once if there is no other process.
    pub async fn operate(&self, operation: Operation, deadlines: &Deadlines) {
        let done = {
            let mut other = self.0.borrow_mut();
            let Some(link) = other.as_mut() else { return };
            link.last_operation += 1;
            let (done, waiting) = oneshot::channel();
            link.waiting.insert(link.last_operation, done);
            let _ = link.outbox.send(Frame::Operate(link.last_operation, operation).into());
            waiting
        };
        deadlines.within(ANSWER_TIMEOUT, done).await;
    }

    /// Tells the other process that the instance is drained (`true`) or resumed (`false`).
    pub fn drain(&self, drained: bool) {
        if let Some(link) = self.0.borrow().as_ref() {
            let _ = link.outbox.send(Frame::Drain(drained).into());
        }
    }

    /// Records that the other process has carried out the operation of this number.
    pub(super) fn operation_done(&self, number: u64) {
        let waiting = self.0.borrow_mut().as_mut().and_then(|link| link.waiting.remove(&number));
        waiting.map(|waiting| waiting.send(()));
    }
}
