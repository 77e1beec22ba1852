//! Writes requests to backends: their first bytes, and a body that is passed on as it comes.

use super::{Inner, Question};
use crate::interface::*;
use crate::net::body_channel::{BodyPiece, BodyReceiver, PendingBody};
use crate::net::http::{Head, MAX_BUFFERED_MESSAGE_BYTES, MessageKind, frame_data, peek_head};
use crate::net::socket_buffers::{BoundedWriter, ConnectionBuffers};
use crate::net::stream::read_more;
use bytes::{Buf, Bytes, BytesMut};
use slog::debug;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;

/// How far a request was written when its answer is read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum WriteProgress {
    /// To its last byte, before any byte of the answer arrived.
    Complete,
    /// To its last byte, after a part of the answer's head had arrived.
    CompleteAfterAnswerBegan,
    /// Only a part: the answer began before the rest was written.
    AnsweredEarly,
}

/// Writes a request whose body is passed on as it comes, and reads what the backend sends meanwhile.
pub(super) struct UploadWriter<'a> {
    side: &'a Inner,
    stream: &'a mut TcpStream,
    /// What the backend has sent: at most a part of a head, once interim responses are removed.
    buffer: &'a mut BytesMut,
    writer: BoundedWriter,
    /// How long the backend may accept no bytes, in milliseconds.
    stall_timeout: Millis,
    /// The bytes of the interim responses that have been removed.
    interim_bytes: usize,
    /// Whether a write has begun and not been completed.
    is_writing: bool,
}

impl Drop for UploadWriter<'_> {
    fn drop(&mut self) {
        if self.is_writing {
            // A backend that hangs would not see a mere close behind the bytes that it does not read, and the
            // system would keep them.
            let _ = SockRef::from(&*self.stream).set_linger(Some(Duration::ZERO));
        }
    }
}

impl<'a> UploadWriter<'a> {
    pub(super) fn new(
        side: &'a Inner,
        stream: &'a mut TcpStream,
        (buffer, buffers): (&'a mut BytesMut, &ConnectionBuffers),
        stall_timeout: Millis,
    ) -> Self {
        let writer = buffers.writer();
        Self { side, stream, buffer, writer, stall_timeout, interim_bytes: 0, is_writing: false }
    }

    /// Writes a request: its head and the first part of its body within `time_left` milliseconds, if there is such a
    /// limit, and the rest of the body as it comes. Stops once the backend answers. `length` is the length of the body
    /// in bytes, or `None` if it is chunked.
    pub(super) async fn write_request(
        &mut self,
        head: Bytes,
        time_left: Option<Millis>,
        length: Option<usize>,
        body: PendingBody,
    ) -> Result<WriteProgress, Outcome> {
        let side = self.side;
        let missing = length.map(|length| length.saturating_sub(body.first.len()));
        let first = head.chain(frame_data(body.first, length.is_none()));
        let first_written = side.within_limit(time_left, self.write(first)).await;
        if first_written.unwrap_or(Err(Outcome::ConnectFailed))? == WriteProgress::AnsweredEarly {
            return Ok(WriteProgress::AnsweredEarly);
        }
        drop(body.reservation);
        let progress = self.write_rest(missing, body.rest).await?;
        let answer_begun = progress == WriteProgress::Complete && !self.buffer.is_empty();
        Ok(if answer_begun { WriteProgress::CompleteAfterAnswerBegan } else { progress })
    }

    /// Writes the rest of the body as it comes: `missing` bytes, or chunks until its end. Stops once the backend
    /// answers.
    async fn write_rest(
        &mut self,
        mut missing: Option<usize>,
        mut rest: BodyReceiver,
    ) -> Result<WriteProgress, Outcome> {
        let chunked = missing.is_none();
        // The request may run once its last byte is written, even before `BodyPiece::End` marks that byte as
        // the last.
        while missing != Some(0) {
            let piece = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                more = read_more(self.stream, self.buffer) => {
                    if self.received(more)? == WriteProgress::AnsweredEarly {
                        return Ok(WriteProgress::AnsweredEarly);
                    }
                    continue;
                }
            };
            let bytes = match piece {
                Some(BodyPiece::Data(data)) => {
                    missing = missing.map(|missing| missing.saturating_sub(data.len()));
                    frame_data(data, chunked)
                }
                Some(BodyPiece::End) => {
                    missing = Some(0);
                    frame_data(Bytes::from_static(if chunked { b"0\r\n\r\n" } else { b"" }), false)
                }
                // The client broke its request off, which says nothing of the backend.
                None => return Err(Outcome::NotSent),
            };
            if self.write(bytes).await? == WriteProgress::AnsweredEarly {
                return Ok(WriteProgress::AnsweredEarly);
            }
        }
        Ok(WriteProgress::Complete)
    }

    /// Writes these bytes. Stops once the backend answers, and fails if it accepts no bytes for the stall
    /// timeout: the engine's deadlines do not run before the last byte of the body.
    async fn write(&mut self, mut bytes: impl Buf) -> Result<WriteProgress, Outcome> {
        self.is_writing = true;
        let mut stalled = self.side.deadlines.sleep(self.stall_timeout);
        while bytes.has_remaining() {
            let (mut reader, mut half) = self.stream.split();
            let more = tokio::select! {
                biased;
                more = read_more(&mut reader, self.buffer) => more,
                written = self.writer.write(&mut half, &mut bytes) => match written {
                    Ok(n) if n > 0 => {
                        stalled = self.side.deadlines.sleep(self.stall_timeout);
                        continue;
                    }
                    _ => return Err(Outcome::ConnectFailed),
                },
                () = &mut stalled => {
                    debug!(self.side.log, "a real server accepts no more of a body";
                        "real_server" => self.stream.peer_addr().ok().map(|address| address.to_string()),
                        "ms" => self.stall_timeout);
                    return Err(Outcome::ConnectFailed);
                }
            };
            if self.received(more)? == WriteProgress::AnsweredEarly {
                return Ok(WriteProgress::AnsweredEarly);
            }
        }
        self.is_writing = false;
        Ok(WriteProgress::Complete)
    }

    /// Handles a read from the backend: removes interim responses, and returns whether the final answer has
    /// begun, so that the rest of the request is not wanted. A part of a head may still become either.
    fn received(&mut self, more: io::Result<bool>) -> Result<WriteProgress, Outcome> {
        if !more.unwrap_or(false) {
            return Err(Outcome::ConnectFailed);
        }
        loop {
            match peek_head(self.buffer, MessageKind::Response) {
                Ok(Some((head, length)))
                    if is_interim(&head) && self.interim_bytes <= MAX_BUFFERED_MESSAGE_BYTES =>
                {
                    drop(self.buffer.split_to(length));
                    self.interim_bytes += length;
                }
                Ok(None) => return Ok(WriteProgress::Complete),
                Ok(Some(_)) | Err(_) => return Ok(WriteProgress::AnsweredEarly),
            }
        }
    }
}

/// Returns whether a response is an interim one, which a final response follows. 101 is not: no request asks
/// for a change of protocol.
pub(super) fn is_interim(head: &Head) -> bool {
    matches!(head.status(), 100 | 102..200)
}

/// Returns the head of a request, with the fields that each attempt has for itself. `timeout` is what the backend is
/// told, in milliseconds.
pub(super) fn request_head(question: &Question, address: SocketAddr, timeout: Millis) -> Bytes {
    let timeout = timeout.max(1.0) as u64;
    let fields = format!("Host: {address}\r\nRequest-Timeout-Ms: {timeout}\r\n\r\n");
    let mut bytes = BytesMut::with_capacity(question.head.len() + fields.len());
    bytes.extend_from_slice(&question.head);
    bytes.extend_from_slice(fields.as_bytes());
    bytes.freeze()
}
