//! Writes requests to backends: their first bytes, and a body that is passed on as it comes.

use super::{Inner, Question};
use crate::interface::*;
use crate::net::body_channel::{BodyPiece, BodyReceiver};
use crate::net::http::{Head, MAX_BUFFERED_MESSAGE_BYTES, MessageKind, peek_head};
use crate::net::stream::read_more;
use bytes::BytesMut;
use slog::debug;
use socket2::SockRef;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
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
        buffer: &'a mut BytesMut,
        stall_timeout: Millis,
    ) -> Self {
        Self { side, stream, buffer, stall_timeout, interim_bytes: 0, is_writing: false }
    }

    /// Writes a request: `first_bytes` within `time_left` milliseconds, if there is such a limit, and the rest
    /// of its body as it comes. Stops once the backend answers.
    pub(super) async fn write_request(
        &mut self,
        first_bytes: &[u8],
        time_left: Option<Millis>,
        question: &Question,
        rest: BodyReceiver,
    ) -> Result<WriteProgress, Outcome> {
        let side = self.side;
        let first_written = side.within_limit(time_left, self.write(first_bytes)).await;
        if first_written.unwrap_or(Err(Outcome::ConnectFailed))? == WriteProgress::AnsweredEarly {
            return Ok(WriteProgress::AnsweredEarly);
        }
        let progress = self.write_rest(question, rest).await?;
        let answer_begun = progress == WriteProgress::Complete && !self.buffer.is_empty();
        Ok(if answer_begun { WriteProgress::CompleteAfterAnswerBegan } else { progress })
    }

    /// Writes the rest of the body as it comes. Stops once the backend answers.
    async fn write_rest(
        &mut self,
        question: &Question,
        mut rest: BodyReceiver,
    ) -> Result<WriteProgress, Outcome> {
        let chunked = question.content_length.is_none();
        let mut missing = question.content_length.map(|length| length.saturating_sub(question.body.len()));
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
            let mut bytes = BytesMut::new();
            match &piece {
                Some(BodyPiece::Data(data)) => {
                    append_body(&mut bytes, data, chunked);
                    missing = missing.map(|missing| missing.saturating_sub(data.len()));
                }
                Some(BodyPiece::End) => {
                    bytes.extend_from_slice(if chunked { b"0\r\n\r\n" } else { b"" });
                    missing = Some(0);
                }
                // The client broke its request off.
                None => return Err(Outcome::ConnectFailed),
            }
            if self.write(&bytes).await? == WriteProgress::AnsweredEarly {
                return Ok(WriteProgress::AnsweredEarly);
            }
        }
        Ok(WriteProgress::Complete)
    }

    /// Writes these bytes. Stops once the backend answers, and fails if it accepts no bytes for the stall
    /// timeout: the engine's deadlines do not run before the last byte of the body.
    async fn write(&mut self, mut bytes: &[u8]) -> Result<WriteProgress, Outcome> {
        self.is_writing = true;
        let mut stalled = self.side.deadlines.sleep(self.stall_timeout);
        while !bytes.is_empty() {
            let (mut reader, mut writer) = self.stream.split();
            let more = tokio::select! {
                biased;
                more = read_more(&mut reader, self.buffer) => more,
                written = writer.write(bytes) => match written {
                    Ok(n) if n > 0 => {
                        bytes = &bytes[n..];
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

/// Returns the head of a request, with the fields that each attempt has for itself, and the first part of its
/// body. `timeout` is what the backend is told, in milliseconds.
pub(super) fn first_bytes(question: &Question, address: SocketAddr, timeout: Millis) -> BytesMut {
    let timeout = timeout.max(1.0) as u64;
    let fields = format!("Host: {address}\r\nRequest-Timeout-Ms: {timeout}\r\n\r\n");
    let chunked = question.rest.is_some() && question.content_length.is_none();
    let mut bytes = BytesMut::with_capacity(question.head.len() + fields.len() + question.body.len() + 16);
    bytes.extend_from_slice(&question.head);
    bytes.extend_from_slice(fields.as_bytes());
    append_body(&mut bytes, &question.body, chunked);
    bytes
}

/// Appends data of a body, as a chunk of its own if the body is chunked. Empty data adds no chunk, since an
/// empty chunk would end the body.
fn append_body(bytes: &mut BytesMut, data: &[u8], chunked: bool) {
    if !chunked {
        return bytes.extend_from_slice(data);
    }
    if !data.is_empty() {
        bytes.extend_from_slice(format!("{:x}\r\n", data.len()).as_bytes());
        bytes.extend_from_slice(data);
        bytes.extend_from_slice(b"\r\n");
    }
}
