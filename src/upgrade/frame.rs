//! The frames that the old process and the new one exchange during an upgrade, and their encoding. No I/O.

use super::change::{Change, OperatorState};
use crate::exchange::EngineState;
use crate::interface::{AttemptEnd, BackendId, Millis};
use bytes::{Buf, BufMut, BytesMut};
use serde::{Deserialize, Deserializer, Serialize};
use std::fmt;

/// The version of the frames' encoding. A process hands nothing over to one of another version.
pub const LAYOUT_VERSION: u32 = 1;
/// What this process understands beyond the first frames of this layout.
pub const REVISION: Revision = Revision(1);
/// The longest frame, in bytes: room for the state of some ten thousand customers.
const MAX_FRAME_BYTES: usize = 16 << 20;
/// The size of the length field that a frame begins with, in bytes.
const LENGTH_BYTES: usize = 4;

/// What a process understands within a layout. Versions of the program without revisions neither write one nor read it:
/// bytes behind the fields that a process knows are ignored.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
pub struct Revision(pub u8);

impl Revision {
    /// A process that changes nothing for another one before a takeover, and does not tell whether it has.
    pub const FIRST: Self = Self(0);
    /// From this revision on, one of the processes at an address leads and the others follow.
    pub const REPLICATION: Self = Self(1);
}

impl<'de> Deserialize<'de> for Revision {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        Ok(u8::deserialize(deserializer).map_or(Self::FIRST, Self))
    }
}

/// An operation on backends between processes of which one is of the first revision. Written by postcard: the order of
/// the variants is the format.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum BackendOperation {
    /// Changes nothing.
    Inspect,
    /// Disables the backend of this name.
    Disable(String),
    /// Enables the backend of this name.
    Enable(String),
}

/// A frame from one process to the other. Written by postcard: the order of the variants and fields, and the
/// fields' types, are the format.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The new process has started, and reads this version of the frames.
    Hello(u32, Revision),
    /// Carries the descriptor of the clients' listener, and that of the peers' socket if there is one.
    Sockets {
        /// Whether there is a peers' socket.
        peers: bool,
        /// What the old process understands.
        revision: Revision,
    },
    /// The new process is able to serve, and takes over: it asks for the state and the connections.
    TakeOver,
    /// The state of the old process, which has stopped deciding.
    State {
        /// The state of its engine.
        engine: EngineState,
        /// Whether an operator has drained the instance.
        drained: bool,
        /// The number of connections to backends that the old process still has open.
        backend_connections: usize,
    },
    /// Carries the descriptor of a client's connection.
    ClientConnection {
        /// Whether it has carried requests before.
        had_requests: bool,
        /// The time since the first byte of its incomplete message, in milliseconds, or `None` if there is no
        /// such message.
        message_age: Option<Millis>,
        /// The bytes of that message that have been read.
        bytes: Vec<u8>,
    },
    /// Carries the descriptor of an idle connection to this backend.
    BackendConnection(BackendId),
    /// An attempt that the old process had in flight has ended.
    AttemptEnded(AttemptEnd),
    /// An operator's operation that the sender has carried out, and that the receiver must carry out too, with a number
    /// for the confirmation. Only between processes of which one is of the first revision.
    Operate(u64, BackendOperation),
    /// The operation of this number was carried out.
    OperationDone(u64),
    /// An operator has drained the instance (`true`) or resumed it (`false`). Only between processes of which one is of
    /// the first revision.
    Drain(bool),
    /// The sender leads from now on: the receiver takes over this state and follows.
    Operators(OperatorState),
    /// An operator has requested a change of the sender, and the receiver is to have the leader carry it out.
    Submit {
        /// The number of the request, for the answer.
        number: u64,
        /// The change.
        change: Change,
        /// The time after which the change must not be carried out any more, by the system's monotonic clock, in
        /// milliseconds.
        expires_at: u64,
    },
    /// The change of this number was carried out, or the reason why it was not.
    Submitted(u64, Result<(), String>),
    /// The leader has carried out a change, and the receiver must follow; with a number for the confirmation.
    Follow(u64, Change),
    /// The change of this number was followed.
    Followed(u64),
}

impl Frame {
    /// Returns the number of file descriptors that accompany the frame.
    pub(super) fn descriptors(&self) -> usize {
        match self {
            Self::Sockets { peers, .. } => 1 + usize::from(*peers),
            Self::ClientConnection { .. } | Self::BackendConnection(_) => 1,
            _ => 0,
        }
    }

    /// Returns the encoded frame: the length of the body (32 bits, little-endian), then the body.
    pub fn bytes(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(LENGTH_BYTES + body.len());
        bytes.put_u32_le(u32::try_from(body.len()).unwrap_or(u32::MAX));
        bytes.extend_from_slice(&body);
        bytes
    }
}

/// The reason why bytes cannot be decoded as a frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// The length is above the maximum.
    TooLong,
    /// The body cannot be decoded.
    Malformed,
}

impl fmt::Display for FrameError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "a frame is too long",
            Self::Malformed => "a frame cannot be read",
        })
    }
}

impl std::error::Error for FrameError {}

/// Removes the first frame from the buffer and returns it, or `None` if it is not complete yet.
///
/// # Errors
/// [`FrameError`] if the bytes are not a frame. The rest of the buffer cannot be decoded then.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    let Some(length) = buffer.first_chunk::<LENGTH_BYTES>().map(|n| u32::from_le_bytes(*n) as usize) else {
        return Ok(None);
    };
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong);
    }
    let Some(body) = buffer.get(LENGTH_BYTES..LENGTH_BYTES + length) else {
        return Ok(None);
    };
    let frame = postcard::from_bytes(body).map_err(|_| FrameError::Malformed)?;
    buffer.advance(LENGTH_BYTES + length);
    Ok(Some(frame))
}
