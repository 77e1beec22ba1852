//! A channel for a body that is forwarded in pieces between a client and a backend. A slow reader holds back
//! the writer.

use super::budget::Reservation;
use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// An item of a body channel. If the channel closes without an `End`, the body is incomplete.
#[derive(Debug, PartialEq, Eq)]
pub enum BodyPiece {
    /// The next bytes of the body.
    Data(Bytes),
    /// The body is complete.
    End,
}

/// The receiving end of a body channel.
pub type BodyReceiver = mpsc::Receiver<BodyPiece>;

/// Creates a body channel, which buffers at most one piece.
pub fn channel() -> (mpsc::Sender<BodyPiece>, BodyReceiver) {
    mpsc::channel(1)
}

/// A body that is still being received.
#[derive(Debug)]
pub struct PendingBody {
    /// The part that has been received.
    pub first: Bytes,
    /// The pieces that follow.
    pub rest: BodyReceiver,
    /// The memory of `first`.
    pub reservation: Reservation,
}

/// A body that can be sent once only, because none of it is kept. Clones share the body.
#[derive(Debug, Clone)]
pub struct SingleUseBody(Rc<RefCell<Option<PendingBody>>>);

impl SingleUseBody {
    /// Creates a body that has not been taken.
    pub fn new(body: PendingBody) -> Self {
        Self(Rc::new(RefCell::new(Some(body))))
    }

    /// Takes the body. Returns `None` if it has been taken before.
    pub fn take(&self) -> Option<PendingBody> {
        self.0.borrow_mut().take()
    }
}
