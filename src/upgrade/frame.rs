//! The messages between the old process and the new one, and their bytes. No I/O.

use crate::exchange::{EngineState, Operation};
use crate::interface::{AttemptEnd, BackendId, Millis};
use bytes::{Buf, BufMut, BytesMut};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The version of the frames; processes of different versions don't talk to each other.
pub const LAYOUT_VERSION: u32 = 1;
/// The longest frame, in bytes: room for the state of some ten thousand customers.
const MAX_FRAME: usize = 16 << 20;
/// The length that a frame begins with, in bytes.
const LENGTH: usize = 4;

/// A message from one process to the other.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// The new process has started, and reads this version of the frames.
    Hello(u32),
    /// Brings the descriptor of the clients' listener, and that of the peers' socket where there is one.
    Sockets {
        /// There is a peers' socket.
        peers: bool,
    },
    /// The new process can serve, and asks for everything.
    Take,
    /// The state of the old process, which has stopped deciding.
    State {
        /// The state of its engine.
        estate: EngineState,
        /// It is drained.
        drained: bool,
        /// How many connections to backends it still has open.
        servers: usize,
    },
    /// Brings the descriptor of a client's connection.
    Client {
        /// It has brought requests before.
        flows: bool,
        /// How many milliseconds ago its current message began, where one has.
        age: Option<Millis>,
        /// What has been read of that message.
        bytes: Vec<u8>,
    },
    /// Brings the descriptor of an idle connection to a backend.
    Server(BackendId),
    /// An attempt that the old process had in flight has ended.
    Ended(AttemptEnd),
    /// An operator's command, with a number, to be carried out here too.
    Operate(u64, Operation),
    /// The command of this number was carried out.
    Done(u64),
    /// An operator drains this instance (true), or ends that.
    Drain(bool),
}

impl Frame {
    /// How many descriptors come with it.
    pub(super) fn descriptors(&self) -> usize {
        match self {
            Self::Sockets { peers } => 1 + usize::from(*peers),
            Self::Client { .. } | Self::Server(_) => 1,
            _ => 0,
        }
    }

    /// Its bytes on the link.
    pub fn bytes(&self) -> Vec<u8> {
        let body = postcard::to_allocvec(self).unwrap_or_default();
        let mut bytes = Vec::with_capacity(LENGTH + body.len());
        bytes.put_u32_le(u32::try_from(body.len()).unwrap_or(u32::MAX));
        bytes.extend_from_slice(&body);
        bytes
    }
}

/// Why bytes are no frame.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FrameError {
    /// It is longer than any frame.
    TooLong,
    /// It cannot be read.
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

/// Takes a frame off the front of the buffer; none where it is not there whole yet.
///
/// # Errors
/// [`FrameError`] where the bytes are no frame; nothing after them can be read.
pub fn take_frame(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    let Some(length) = buffer.first_chunk::<LENGTH>().map(|n| u32::from_le_bytes(*n) as usize) else {
        return Ok(None);
    };
    if length > MAX_FRAME {
        return Err(FrameError::TooLong);
    }
    let Some(body) = buffer.get(LENGTH..LENGTH + length) else {
        return Ok(None);
    };
    let frame = postcard::from_bytes(body).map_err(|_| FrameError::Malformed)?;
    buffer.advance(LENGTH + length);
    Ok(Some(frame))
}
