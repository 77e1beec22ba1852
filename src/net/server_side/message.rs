//! Reads the next message of a client's connection.

use super::connection::Connection;
use super::{ParsedRequest, Phase, Role};
use crate::interface::Millis;
use crate::net::budget::Reservation;
use crate::net::http::{BodyDecoder, Head, MessageKind, ParseError, peek_head};
use crate::net::partial_body::PartialBody;
use crate::net::stream::{has_unread_bytes, read_reserved, reallocate};
use crate::stats::CloseReason;
use bytes::{Bytes, BytesMut};
use std::cell::Cell;
use std::io;
use tokio::net::TcpStream;

/// A client's connection is closed when it has been idle for this long. Many clients send one request and
/// keep the connection open.
const IDLE_TIMEOUT: Millis = 5000.0;
/// The time within which a head must be complete: the first one counted from the start of the connection, any
/// other from its first byte. A misbehaving client must get an error or a close within 3 seconds, even if it
/// is silent.
const HEAD_TIMEOUT: Millis = 2850.0;

/// A message as far as it has been read.
pub(super) struct Message {
    pub(super) head: Head,
    /// The body, or its first bytes.
    pub(super) body: Bytes,
    /// The decoder of the rest of the body, or `None` if `body` is complete.
    pub(super) rest: Option<BodyDecoder>,
}

/// The status code and the text of an answer to a message that is not a valid request.
pub(super) type ErrorAnswer = (u16, &'static str);

/// The answer to a request for which there is no connection or memory left.
const NO_ROOM: ErrorAnswer = (503, "no room");
/// The answer to a request that did not arrive in time.
pub(super) const TOO_SLOW: ErrorAnswer = (408, "the request took too long to come in");
/// The interim response that asks a client for the body.
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// The next step of a connection.
pub(super) enum Step {
    /// A message is to be answered. A short one is complete.
    Message(Message),
    /// The connection is dropped: it has ended between messages, or its place is needed.
    Drop(CloseReason),
    /// The connection is closed gracefully between messages.
    Close(CloseReason),
    /// The connection is handed over to another process.
    HandOver,
}

/// What came of waiting for more bytes of a message.
enum Received {
    /// More bytes are in the buffer, or the connection is to be handed over.
    More,
    /// The client has closed the connection.
    End,
    /// There is no memory for more bytes.
    NoMemory,
    /// The time is over, or the connection is to be closed.
    Expired,
}

impl Received {
    fn from_read(read: Option<io::Result<bool>>) -> Self {
        match read {
            Some(Ok(true)) => Self::More,
            Some(Ok(false) | Err(_)) => Self::End,
            None => Self::NoMemory,
        }
    }
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest> Connection<F> {
    /// Reads the next message: a short one completely, of a long one the head and the first bytes of the
    /// body. Returns another step if the connection ends, closes or is handed over before that.
    pub(super) async fn next_step(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        message_start: &mut Option<Millis>,
    ) -> Result<Step, ErrorAnswer> {
        match self.read_head(stream, buffer, reservation, message_start).await? {
            HeadStep::Head(head) => self.read_body(head, stream, buffer, reservation, message_start).await,
            HeadStep::Other(step) => Ok(step),
        }
    }

    /// Returns whether the connection is to be handed over to another process.
    fn hands_over(&self) -> bool {
        *self.shared.signals.role.borrow() == Role::Retiring && !self.over_limit
    }

    /// Reads the head of the next message.
    async fn read_head(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        message_start: &mut Option<Millis>,
    ) -> Result<HeadStep, ErrorAnswer> {
        let shared = &self.shared;
        let is_first_message = message_start.is_some() && !self.has_carried_request.get();
        let mut role = shared.signals.role.clone();
        loop {
            if self.hands_over() {
                return Ok(HeadStep::Other(Step::HandOver));
            }
            match peek_head(buffer, MessageKind::Request) {
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    reallocate(buffer, 0);
                    reservation.hold(buffer.capacity());
                    return Ok(HeadStep::Head(head));
                }
                Ok(None) => {}
                Err(error) => return Err(error_answer(error)),
            }
            let (now, idle) = (shared.deadlines.clock().now(), buffer.is_empty());
            if idle {
                // Prevents idle connections from holding memory.
                *buffer = BytesMut::new();
                reservation.hold(0);
            }
            let deadline = match (idle, *message_start) {
                (true, None) => now + IDLE_TIMEOUT,
                _ => *message_start.get_or_insert(now) + HEAD_TIMEOUT,
            };
            let deadline = deadline.min(now + shared.drain_time_left());
            // A message that has begun on a connection that has carried a request is a usual client's, and is
            // not evicted. During an operator's drain the first message of a new connection is still read.
            let closes = self.is_draining()
                && (!is_first_message || *shared.signals.phase.borrow() == Phase::Draining);
            let is_evictable = if idle { !closes } else { !self.has_carried_request.get() };
            let mut evictable = is_evictable.then(|| {
                shared.add_evictable((self.has_carried_request.get(), idle), message_start.unwrap_or(0.0))
            });
            let at_once = Cell::new(false);
            let closing = async {
                match &mut evictable {
                    Some((_, closing)) => at_once.set(closing.await.is_err()),
                    // While draining, only bytes that have already been received are read.
                    None if idle => {}
                    None => std::future::pending().await,
                }
            };
            let more = async {
                if idle && stream.readable().await.is_err() {
                    return Received::End;
                }
                Received::from_read(read_reserved(stream, buffer, reservation, 0).await)
            };
            let received = tokio::select! {
                biased;
                received = more => received,
                () = closing => Received::Expired,
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.over_limit => Received::More,
                () = shared.deadlines.sleep(deadline - now) => Received::Expired,
            };
            if let Some((key, _)) = evictable {
                shared.remove_evictable(key);
            }
            self.has_read.set(true);
            match received {
                Received::More => continue,
                Received::End => return Ok(HeadStep::Other(Step::Drop(CloseReason::ClientLeft))),
                Received::NoMemory => return Err(NO_ROOM),
                Received::Expired if !idle => return Err(TOO_SLOW),
                Received::Expired => {}
            }
            // The system is asked, as the runtime may not have seen bytes that arrived since it last waited,
            // and a close over unread bytes would reset the connection.
            if !has_unread_bytes(stream) {
                return Ok(HeadStep::Other(match at_once.get() {
                    true => Step::Drop(CloseReason::Evicted),
                    false if closes || shared.deadlines.clock().now() < deadline => {
                        Step::Close(CloseReason::Evicted)
                    }
                    false => Step::Close(CloseReason::Idle),
                }));
            }
            match Received::from_read(read_reserved(stream, buffer, reservation, 0).await) {
                Received::More => {}
                Received::NoMemory => return Err(NO_ROOM),
                Received::End | Received::Expired => {
                    return Ok(HeadStep::Other(Step::Drop(CloseReason::ClientLeft)));
                }
            }
        }
    }

    /// Reads the body of a message: a short one completely, of a long one the first bytes.
    async fn read_body(
        &self,
        head: Head,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        message_start: &mut Option<Millis>,
    ) -> Result<Step, ErrorAnswer> {
        let shared = &self.shared;
        let mut role = shared.signals.role.clone();
        let started = shared.deadlines.clock().now();
        let mut body = PartialBody::with_decoder(BodyDecoder::new(&head), head.body_length());
        let mut waited = false;
        loop {
            let fits = body.decode(buffer, reservation).map_err(error_answer)?;
            if body.is_complete() {
                return Ok(Step::Message(Message { head, body: body.decoded.freeze(), rest: None }));
            }
            if !fits || body.is_long() {
                let PartialBody { decoded, decoder, .. } = body;
                return Ok(Step::Message(Message { head, body: decoded.freeze(), rest: Some(decoder) }));
            }
            if !waited {
                // A body that will not be used is not requested from the client.
                if let ParsedRequest::Invalid(status, text) = (shared.parse)(&head, Bytes::new(), false) {
                    return Err((status, text));
                }
                if self.over_limit {
                    return Err(NO_ROOM);
                }
                if head.expects_continue() && body.decoded.is_empty() && !self.write(stream, CONTINUE).await {
                    return Ok(Step::Drop(CloseReason::ReaderStalled));
                }
                self.buffers.borrow_mut().grow_receive(stream, head.body_length().or(Some(0)));
                waited = true;
            }
            // As with an incomplete head, the connection may be evicted.
            let mut evictable =
                (!self.has_carried_request.get()).then(|| shared.add_evictable((false, false), started));
            let closing = async {
                match &mut evictable {
                    Some((_, closing)) => drop(closing.await),
                    None => std::future::pending().await,
                }
            };
            let timeout = self.body_read_timeout(started, body.decoded.len() + buffer.len());
            let received = tokio::select! {
                biased;
                read = body.read(stream, buffer, reservation) => Received::from_read(read),
                () = closing => Received::Expired,
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.over_limit => Received::More,
                () = shared.body_silence(timeout) => Received::Expired,
                () = shared.drain_timed_out() => Received::Expired,
            };
            if let Some((key, _)) = evictable {
                shared.remove_evictable(key);
            }
            self.has_read.set(true);
            match received {
                Received::More => {}
                Received::End => return Ok(Step::Drop(CloseReason::ClientLeft)),
                Received::Expired => return Err(TOO_SLOW),
                Received::NoMemory => {
                    let PartialBody { decoded, decoder, .. } = body;
                    return Ok(Step::Message(Message { head, body: decoded.freeze(), rest: Some(decoder) }));
                }
            }
            if self.hands_over() {
                let mut received = body.decoder.reencode(&head, &body.decoded);
                received.extend_from_slice(buffer);
                *buffer = received;
                *message_start = Some(started);
                return Ok(Step::HandOver);
            }
        }
    }
}

/// The result of reading the head of a message.
enum HeadStep {
    /// The head is complete.
    Head(Head),
    /// The connection has no further message.
    Other(Step),
}

/// Returns why a connection closes after this answer.
pub(super) fn close_reason((status, _): ErrorAnswer) -> CloseReason {
    match status {
        408 => CloseReason::TooSlow,
        503 => CloseReason::NoMemory,
        _ => CloseReason::Invalid,
    }
}

/// Returns the answer to a message that cannot be parsed.
pub(super) fn error_answer(error: ParseError) -> ErrorAnswer {
    match error {
        ParseError::Malformed => (400, "malformed request"),
        ParseError::BodyTooLarge => (413, "the body is too large"),
        ParseError::HeadTooLarge => (431, "the head is too large"),
    }
}
