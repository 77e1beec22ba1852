//! A body that is read whole if it is short; of a long one, the first part is read before it is forwarded in pieces.

use super::budget::{MAX_PIECE_BYTES, Reservation};
use super::http::{BodyDecoder, MAX_BUFFERED_BODY_BYTES, ParseError};
use super::stream::{read_buf, read_reserved, reallocate};
use bytes::{BufMut, BytesMut};
use std::io;
use tokio::net::TcpStream;

/// The least room for the decoded data of a body that is not complete, in bytes.
const MIN_BODY_BUFFER_BYTES: usize = 2048;

/// The part of a body that has been read.
#[derive(Debug)]
pub struct PartialBody {
    /// The decoder of what follows.
    pub decoder: BodyDecoder,
    /// The data that has been read.
    pub decoded: BytesMut,
    /// The length of the whole body in bytes, if the head announced it.
    length: Option<usize>,
}

impl PartialBody {
    /// Creates a body of which nothing has been read. `length` is its length in bytes, if that is known.
    pub fn with_decoder(decoder: BodyDecoder, length: Option<usize>) -> Self {
        Self { decoder, decoded: BytesMut::new(), length }
    }

    /// Returns whether the body is short and has been read completely.
    pub fn is_complete(&self) -> bool {
        self.decoder.is_done() && self.decoded.len() <= MAX_BUFFERED_BODY_BYTES
    }

    /// Returns whether the announced length of the body is over what is read whole.
    pub fn is_announced_long(&self) -> bool {
        self.length.is_some_and(|length| length > MAX_BUFFERED_BODY_BYTES)
    }

    /// Returns whether the body is forwarded in pieces, and its first piece has been read.
    pub fn is_long(&self) -> bool {
        let first_piece = self.decoded.len() >= MAX_PIECE_BYTES;
        self.decoded.len() > MAX_BUFFERED_BODY_BYTES || self.is_announced_long() && first_piece
    }

    /// Decodes what has been received. Returns `false` if there is no memory for more.
    ///
    /// # Errors
    /// If the framing is malformed, or the body is larger than any may be.
    pub fn decode(
        &mut self,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
    ) -> Result<bool, ParseError> {
        while !self.is_long() {
            let room = self.decoded.capacity() - self.decoded.len();
            if room == 0 && !buffer.is_empty() && !self.decoder.is_done() {
                if !self.grow(buffer.capacity(), reservation) {
                    return Ok(false);
                }
                continue;
            }
            match self.decoder.take(buffer, room)? {
                Some(data) => self.decoded.extend_from_slice(&data),
                None => return Ok(true),
            }
        }
        Ok(true)
    }

    /// Doubles the room for decoded data, up to what the body can need, besides `buffered` bytes. Returns `false` if
    /// there is no memory for it.
    fn grow(&mut self, buffered: usize, reservation: &mut Reservation) -> bool {
        let most = self.length.unwrap_or(usize::MAX).min(MAX_BUFFERED_BODY_BYTES + MAX_PIECE_BYTES);
        let capacity = (2 * self.decoded.capacity()).max(MIN_BODY_BUFFER_BYTES).min(most);
        let granted = reservation.try_resize(buffered + capacity);
        if granted {
            reallocate(&mut self.decoded, capacity);
        }
        granted
    }

    /// Reads more of the body: where no framing interrupts it, straight to the decoded data. Returns `None` if there is
    /// no memory for it.
    pub async fn read(
        &mut self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
    ) -> Option<io::Result<bool>> {
        let Some(unframed) = self.decoder.unframed_bytes().filter(|_| buffer.is_empty()) else {
            return read_reserved(stream, buffer, reservation, self.decoded.capacity()).await;
        };
        if self.decoded.len() == self.decoded.capacity() && !self.grow(buffer.capacity(), reservation) {
            return None;
        }
        let room = unframed.min(self.decoded.capacity() - self.decoded.len());
        let read = read_buf(stream, &mut (&mut self.decoded).limit(room)).await;
        Some(read.map(|n| {
            self.decoder.skip_unframed(n);
            n > 0
        }))
    }
}
