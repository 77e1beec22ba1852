//! Request bodies that are forwarded in pieces, or discarded.

use super::MAX_READ_AHEAD_BYTES;
use super::ParsedRequest;
use super::connection::Connection;
use super::message::{ErrorAnswer, TOO_SLOW, error_answer};
use crate::interface::Millis;
use crate::net::body_channel::{BodyPiece, MAX_PIECE_BYTES};
use crate::net::budget::Reservation;
use crate::net::http::{BodyDecoder, Head, MAX_BUFFERED_BODY_BYTES};
use crate::net::server_side::Drain;
use crate::net::stream::is_closed;
use bytes::{BufMut, Bytes, BytesMut};
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The time after its head within which the first bytes of a body must arrive. Later ones have this time in
/// addition to what [`MIN_BODY_BYTES_PER_MS`] allows.
const BODY_GRACE_PERIOD: Millis = 2500.0;
/// A client whose body has not been answered for may send nothing for this long. A client that stops in the middle
/// of a request must get an error within 3 seconds.
const MAX_BODY_SILENCE: Millis = 2500.0;
/// The minimum average rate at which a client must send a body after the grace period, in bytes per
/// millisecond.
const MIN_BODY_BYTES_PER_MS: f64 = 16.0;

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest> Connection<F> {
    /// Returns the time left for the next bytes of a body that started at `started` and of which `bytes`
    /// bytes have been received.
    fn body_time_left(&self, started: Millis, bytes: usize) -> Millis {
        started + BODY_GRACE_PERIOD + bytes as f64 / MIN_BODY_BYTES_PER_MS
            - self.shared.deadlines.clock().now()
    }

    /// Returns how long the next bytes of a body that has not been answered for are waited for, in milliseconds.
    pub(super) fn body_read_timeout(&self, started: Millis, bytes: usize) -> Millis {
        self.body_time_left(started, bytes).min(MAX_BODY_SILENCE)
    }

    /// Forwards the rest of a request's body to its attempt, until it is complete. If the attempt receives no
    /// more, the rest is discarded. `read` is the number of body bytes received so far.
    pub(super) async fn forward_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        (body, read): (&mut BodyDecoder, &mut usize),
        pieces: mpsc::Sender<BodyPiece>,
    ) -> UploadResult {
        let mut started = self.shared.deadlines.clock().now();
        let mut upload = Upload { pieces, sent: 0 };
        let mut receiver_closed = false;
        loop {
            let piece = match body.take(buffer, MAX_PIECE_BYTES) {
                Ok(Some(data)) => Some(BodyPiece::Data(data)),
                Ok(None) if body.is_done() => Some(BodyPiece::End),
                Ok(None) => None,
                Err(error) => return UploadResult::Invalid(error_answer(error)),
            };
            if let Some(piece) = piece {
                let (before, is_end) = (self.shared.deadlines.clock().now(), piece == BodyPiece::End);
                // The rest is read all the same: the request's deadlines start with its last byte, and the end
                // of the client's stream is only seen behind what it sent.
                if receiver_closed {
                    match is_end {
                        true => return UploadResult::Complete,
                        false => continue,
                    }
                }
                match self
                    .send_piece(stream, buffer, reservation, (&mut upload, piece, body.is_done()), read)
                    .await
                {
                    // An attempt whose body has a known length reads no `End`, and may have dropped its
                    // receiver.
                    SendResult::Sent | SendResult::ReceiverClosed if is_end => return UploadResult::Complete,
                    SendResult::Sent => {}
                    SendResult::ClientLeft => return UploadResult::ClientLeft,
                    SendResult::ReceiverClosed => receiver_closed = true,
                }
                // The time for which the backend did not read is not counted against the client.
                started += self.shared.deadlines.clock().now() - before;
                continue;
            }
            let within = self.body_read_timeout(started, *read);
            buffer.reserve(MAX_PIECE_BYTES);
            let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
            match self.shared.deadlines.within(within, stream.read_buf(&mut limited)).await {
                Some(Ok(n)) if n > 0 => *read += n,
                None => return UploadResult::Invalid(TOO_SLOW),
                _ => return UploadResult::ClientLeft,
            }
        }
    }

    /// Sends the next piece of a body once the channel has room for it. Until an attempt has received the
    /// first piece, the request waits for its first attempt. Meanwhile the body is read ahead, because only
    /// behind it can the end of the client's stream be seen. The last piece is held back if the client has
    /// left by then: a backend never runs an incomplete request.
    async fn send_piece(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        (upload, piece, last): (&mut Upload, BodyPiece, bool),
        read: &mut usize,
    ) -> SendResult {
        let permit = loop {
            let waits = upload.waits_for_attempt();
            tokio::select! {
                biased;
                permit = upload.pieces.reserve() => break permit,
                connected = self.watch_uploading_client(stream, buffer, reservation, (waits, read)) => {
                    if !connected {
                        return SendResult::ClientLeft;
                    }
                }
            }
        };
        let Ok(permit) = permit else { return SendResult::ReceiverClosed };
        if last && is_closed(stream) {
            return SendResult::ClientLeft;
        }
        permit.send(piece);
        upload.sent += 1;
        reservation.try_resize_read_ahead(MAX_BUFFERED_BODY_BYTES + buffer.len());
        SendResult::Sent
    }

    /// Waits until the client of a body leaves, or more of the body has been read. Returns `false` if the
    /// client has left. The body is read only while it waits for its first attempt, and only as far as the
    /// memory budget allows.
    async fn watch_uploading_client(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        (waits_for_attempt, read): (bool, &mut usize),
    ) -> bool {
        let reads = waits_for_attempt
            && buffer.len() <= MAX_READ_AHEAD_BYTES
            && reservation.try_resize_read_ahead(MAX_BUFFERED_BODY_BYTES + buffer.len() + MAX_PIECE_BYTES);
        if !reads {
            self.client_left(stream).await;
            return false;
        }
        buffer.reserve(MAX_PIECE_BYTES);
        let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
        let more = stream.read_buf(&mut limited).await.unwrap_or(0);
        *read += more;
        more > 0
    }

    /// Reads and discards the rest of a body whose request was answered before it was complete, as long as it
    /// arrives at the required rate. Returns whether it was completed, so that the connection can be used
    /// again. Prevents a reset from cutting off a client that sends its whole body before it reads the
    /// answer. The connection may be evicted meanwhile.
    pub(super) async fn discard_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        mut body: BodyDecoder,
    ) -> bool {
        let started = self.shared.deadlines.clock().now();
        let (key, mut closing) = self.shared.add_evictable((false, false), started);
        let (mut read, mut drain) = (0, self.shared.signals.drain.clone());
        let complete = loop {
            match body.take(buffer, usize::MAX) {
                Ok(Some(_)) => continue,
                Ok(None) if body.is_done() => break true,
                Ok(None) => {}
                Err(_) => break false,
            }
            buffer.reserve(MAX_PIECE_BYTES);
            let mut limited = (&mut *buffer).limit(MAX_PIECE_BYTES);
            let within = self.body_time_left(started, read);
            let more = tokio::select! {
                more = self.shared.deadlines.within(within, stream.read_buf(&mut limited)) => more,
                _ = &mut closing => break false,
                _ = drain.wait_for(|drain| *drain == Drain::Closing) => break false,
            };
            match more {
                Some(Ok(n)) if n > 0 => read += n,
                _ => break false,
            }
        };
        self.shared.remove_evictable(key);
        complete
    }
}

/// The rest of a request's body that is forwarded to the attempt that reads it.
struct Upload {
    pieces: mpsc::Sender<BodyPiece>,
    /// The number of pieces sent to the channel, which buffers one that the attempt has not received.
    sent: usize,
}

impl Upload {
    /// Returns whether, as far as is known, no attempt has received any of the body.
    fn waits_for_attempt(&self) -> bool {
        self.sent <= 1
    }
}

/// The result of sending a piece of a body.
enum SendResult {
    /// The piece is in the channel.
    Sent,
    /// The attempt has ended and receives no more.
    ReceiverClosed,
    /// The client has left. Nothing was sent.
    ClientLeft,
}

/// The result of forwarding the rest of a request's body.
pub(super) enum UploadResult {
    /// The body was forwarded completely, or the request was answered before.
    Complete,
    /// The body is invalid or too slow, and is answered with this.
    Invalid(ErrorAnswer),
    /// The client has left.
    ClientLeft,
}
