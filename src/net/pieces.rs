//! A body on its way from one side to the other, piece by piece: whoever reads slowly holds back whoever writes.

use bytes::Bytes;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::mpsc;

/// The most bytes of a piece.
pub const PIECE: usize = 16 * 1024;

/// What comes next. Pieces that end without an end have broken off.
#[derive(Debug, PartialEq, Eq)]
pub enum Piece {
    /// Data.
    Data(Bytes),
    /// All has come.
    End,
}

/// Where pieces come out.
pub type Pieces = mpsc::Receiver<Piece>;

/// A way for pieces: one is on it at the most.
pub fn way() -> (mpsc::Sender<Piece>, Pieces) {
    mpsc::channel(1)
}

/// The pieces of a body that can be taken once only: nothing of it is kept.
#[derive(Debug, Clone)]
pub struct Once(Rc<RefCell<Option<Pieces>>>);

impl Once {
    /// A body that nobody has taken.
    pub fn new(pieces: Pieces) -> Self {
        Self(Rc::new(RefCell::new(Some(pieces))))
    }

    /// Takes it; none where somebody has.
    pub fn take(&self) -> Option<Pieces> {
        self.0.borrow_mut().take()
    }
}
