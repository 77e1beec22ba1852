//! A client's connection: reads its messages, and writes their answers, one after the other.

use super::arrivals::Arrivals;
use super::message::{ErrorAnswer, Message, Step, TOO_SLOW, close_reason};
use super::response::{insert_keep_alive, put_served_head, put_text_answer, strip_body};
use super::upload::{Upload, UploadResult};
use super::{ConnectionHandover, Drain, MAX_READ_AHEAD_BYTES, ParsedRequest, Phase, Role, Shared, Signals};
use crate::exchange::FinalAnswer;
use crate::interface::Millis;
use crate::net::body_channel::{self, BodyPiece, BodyReceiver, PendingBody, SingleUseBody};
use crate::net::budget::Reservation;
use crate::net::http::{
    BodyDecoder, FramedData, Head, MAX_BODY_BYTES, MAX_BUFFERED_MESSAGE_BYTES, frame_data,
};
use crate::net::socket_buffers::{ConnectionBuffers, MAX_ANSWER_BUFFER_BYTES};
use crate::net::stream::{is_read_closed, read_reserved};
use crate::stats::{CloseReason, RefusalReason, RequestInProgress, RequestOutcome};
use bytes::{Buf, Bytes, BytesMut};
use slog::debug;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// A client that accepts no bytes of its answer for this long is dropped if its place is needed.
const WRITE_TIMEOUT: Millis = 5000.0;
/// A client that accepts no bytes of its answer for this many times [`WRITE_TIMEOUT`] is dropped.
const MAX_WRITE_STALLS: usize = 3;
/// After its last answer a connection is read until it has been silent for this long.
const LINGER_SILENCE_TIMEOUT: Millis = 500.0;
/// The maximum time for which a connection is read after its last answer.
const LINGER_TIMEOUT: Millis = 5000.0;
/// The interval at which a connection that is not read is checked for whether its client has left. No attempt
/// may start more than 0.1 s after that.
const CLOSE_POLL_INTERVAL: Millis = 20.0;

/// A client's connection.
pub(super) struct Connection<F> {
    pub(super) shared: Rc<Shared<F>>,
    /// The system's buffers for it.
    pub(super) buffers: RefCell<ConnectionBuffers>,
    /// Whether it was accepted over the limit: its request is rejected.
    pub(super) over_limit: bool,
    /// Whether it has carried a request.
    pub(super) has_carried_request: Cell<bool>,
    /// Whether bytes of the current message were read since the last answer.
    pub(super) has_read: Cell<bool>,
}

/// Counts a connection with a long answer until it is dropped.
struct LongAnswer<'a>(&'a watch::Sender<usize>);

impl<'a> LongAnswer<'a> {
    fn begin(count: &'a watch::Sender<usize>) -> Self {
        count.send_modify(|count| *count += 1);
        Self(count)
    }
}

impl Drop for LongAnswer<'_> {
    fn drop(&mut self) {
        self.0.send_modify(|count| *count -= 1);
    }
}

/// The id of an open request, which is freed on drop.
struct OpenId<'a, F>(&'a Shared<F>, Bytes);

impl<F> Drop for OpenId<'_, F> {
    fn drop(&mut self) {
        self.0.open_ids.borrow_mut().remove(&self.1);
    }
}

impl<F> Drop for Connection<F> {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.closed.notify_one();
    }
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest> Connection<F> {
    /// Serves the connection until it ends, and counts why it closed. `buffer` holds bytes that were received
    /// before, and `message_start` is the time at which the first message began, or `None` if none has begun.
    pub(super) async fn run(self, stream: TcpStream, buffer: BytesMut, message_start: Option<Millis>) {
        if let Some(reason) = self.serve(stream, buffer, message_start).await {
            self.shared.stats.connection_closed(reason);
            debug!(self.shared.log, "a client's connection is closed"; "reason" => ?reason);
        }
    }

    /// Serves the connection, message by message. Returns why it closed, or `None` if it was handed over.
    async fn serve(
        &self,
        mut stream: TcpStream,
        mut buffer: BytesMut,
        mut message_start: Option<Millis>,
    ) -> Option<CloseReason> {
        let mut reservation = self.shared.limits.memory_budget.reserve();
        // Counts until the next message, or until the connection is closed: the end of the process would cut off
        // what the system has not sent yet.
        let mut long_answer = None;
        let mut arrivals = Arrivals::default();
        loop {
            let mut out = BytesMut::new();
            let buffered = buffer.len();
            self.has_read.set(false);
            reservation.hold(buffer.capacity());
            let mut reason = CloseReason::AfterAnswer;
            let prepared = match self
                .next_step(&mut stream, &mut buffer, &mut reservation, &mut message_start)
                .await
            {
                Ok(Step::Message(message)) => {
                    drop(long_answer.take());
                    self.buffers.borrow_mut().shrink_send(&stream);
                    let arrived_at = match self.has_read.get() {
                        true => None,
                        false => arrivals.take(buffered - buffer.len()),
                    };
                    if arrived_at.is_none() {
                        // What follows this message arrived with it.
                        arrivals.clear();
                        arrivals.record(buffer.len(), self.shared.deadlines.clock().now());
                    }
                    let client = (&mut stream, &mut buffer, &mut reservation);
                    let prepared = self.answer((message, arrived_at), client, &mut arrivals, &mut out).await;
                    let Some(prepared) = prepared else { return Some(CloseReason::ClientLeft) };
                    prepared
                }
                Ok(Step::Drop(reason)) => return Some(reason),
                Ok(Step::Close(reason)) => {
                    let _ = stream.shutdown().await;
                    drop((buffer, reservation));
                    self.linger(stream).await;
                    return Some(reason);
                }
                Ok(Step::HandOver) => {
                    let message_age = message_start.map(|start| self.shared.deadlines.clock().now() - start);
                    let (bytes, has_carried_request) = (buffer, self.has_carried_request.get());
                    let handover = ConnectionHandover { stream, bytes, has_carried_request, message_age };
                    let _ = self.shared.handover.send(handover);
                    return None;
                }
                Err(error) => {
                    reason = close_reason(error);
                    self.answer_error(&mut out, error)
                }
            };
            let PreparedAnswer { mut close, outcome, body, body_reservation, rest, unread, mut ahead } =
                prepared;
            self.buffers.borrow_mut().grow_send(&stream, Some(out.len() + body.remaining()));
            if !self.write(&mut stream, out.chain(body)).await {
                return Some(CloseReason::ReaderStalled);
            }
            drop(body_reservation);
            if let Some((rest, chunked)) = rest {
                long_answer = Some(LongAnswer::begin(&self.shared.long_answers));
                let client = (&mut stream, &mut buffer, &mut reservation);
                match self.forward_answer(client, (&mut ahead, &mut arrivals), rest, chunked).await {
                    Forwarded::Complete => {}
                    Forwarded::Incomplete => {
                        if let Some((request, _)) = outcome {
                            request.ended(RequestOutcome::Failed);
                        }
                        // A reset prevents an answer that lasts until the connection closes from looking
                        // complete.
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return Some(CloseReason::AnswerBroken);
                    }
                    Forwarded::ClientLeft => return Some(CloseReason::ClientLeft),
                }
            }
            if let Some((request, end)) = outcome {
                request.ended(end);
            }
            if let Some(unread) = unread {
                arrivals.clear();
                close |= !self.discard_body(&mut stream, &mut buffer, unread).await;
            }
            if close || ahead.overflowed {
                let _ = stream.shutdown().await;
                drop((buffer, reservation));
                self.linger(stream).await;
                return Some(if ahead.overflowed { CloseReason::TooMuchAhead } else { reason });
            }
            message_start = None;
        }
    }

    /// Writes bytes as fast as the client accepts them. Returns `false` if it accepts none any more.
    pub(super) async fn write(&self, stream: &mut TcpStream, mut bytes: impl Buf) -> bool {
        let writer = self.buffers.borrow().writer();
        let (_, mut half) = stream.split();
        let mut stalls = 0;
        while bytes.has_remaining() {
            match self.shared.deadlines.within(WRITE_TIMEOUT, writer.write(&mut half, &mut bytes)).await {
                Some(Ok(n)) if n > 0 => stalls = 0,
                None if stalls + 1 < MAX_WRITE_STALLS && self.shared.excess() == 0 => stalls += 1,
                _ => {
                    // Prevents the system from keeping what such a client does not take.
                    let _ = SockRef::from(&*stream).set_linger(Some(Duration::ZERO));
                    return false;
                }
            }
        }
        true
    }

    /// Forwards the rest of an answer from the backend to the client.
    async fn forward_answer(
        &self,
        (stream, buffer, reservation): (&mut TcpStream, &mut BytesMut, &mut Reservation),
        (ahead, arrivals): (&mut ReadAhead, &mut Arrivals),
        mut rest: BodyReceiver,
        chunked: bool,
    ) -> Forwarded {
        self.buffers.borrow_mut().grow_send(stream, Some(MAX_ANSWER_BUFFER_BYTES));
        loop {
            let piece = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                connected = self.watch_client(stream, buffer, (ahead, arrivals), reservation) => match connected {
                    true => continue,
                    false => return Forwarded::ClientLeft,
                },
            };
            let written = match piece {
                Some(BodyPiece::Data(data)) => self.write(stream, frame_data(data, chunked)).await,
                Some(BodyPiece::End) => {
                    let end: &[u8] = if chunked { b"0\r\n\r\n" } else { b"" };
                    return match self.write(stream, end).await {
                        true => Forwarded::Complete,
                        false => Forwarded::ClientLeft,
                    };
                }
                None => return Forwarded::Incomplete,
            };
            if !written {
                return Forwarded::ClientLeft;
            }
        }
    }

    /// Writes the answer to an invalid message. The connection closes after it, as the start of the next
    /// message is unknown.
    fn answer_error(&self, out: &mut BytesMut, (status, text): ErrorAnswer) -> PreparedAnswer {
        let retry_after = (status == 503).then_some(self.shared.retry_after);
        if status == 503 {
            self.shared.stats.refused(RefusalReason::NoMemory);
        }
        put_text_answer(out, status, text, retry_after, true);
        PreparedAnswer::without_body(true, None)
    }

    /// Reads from a client that waits for its answer, to notice when it leaves. Returns `false` if it has
    /// left. The bytes are kept for the next message, up to the size of one and as far as `reservation` can pay for
    /// them. If there are more, they are all dropped, and the connection closes after the answer. Prevents a client
    /// that has sent much and left from being taken for one that waits.
    async fn watch_client(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        (ahead, arrivals): (&mut ReadAhead, &mut Arrivals),
        reservation: &mut Reservation,
    ) -> bool {
        if !ahead.overflowed && buffer.len() < MAX_BUFFERED_MESSAGE_BYTES {
            if buffer.is_empty() {
                // Prevents clients that only wait from holding memory.
                if stream.readable().await.is_err() {
                    return false;
                }
            }
            if let Some(read) = read_reserved(stream, buffer, reservation, 0).await {
                arrivals.record(buffer.len(), self.shared.deadlines.clock().now());
                return read.unwrap_or(false);
            }
        }
        if !ahead.overflowed {
            ahead.overflowed = true;
            *buffer = BytesMut::new();
            reservation.hold(0);
        }
        if ahead.dropped_bytes > MAX_READ_AHEAD_BYTES {
            self.client_left(stream).await;
            return false;
        }
        // Prevents a client that floods this connection from blocking the thread.
        tokio::task::yield_now().await;
        if stream.readable().await.is_err() {
            return false;
        }
        match stream.try_read(&mut self.shared.scratch.borrow_mut()) {
            Ok(n) => {
                ahead.dropped_bytes += n;
                n > 0
            }
            Err(e) => matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted),
        }
    }

    /// Reads and discards what still arrives after the last answer. Prevents a reset, which a close over
    /// unread bytes causes, from overtaking the answer.
    async fn linger(&self, stream: TcpStream) {
        let shared = &self.shared;
        let now = shared.deadlines.clock().now();
        let (key, closing) = shared.add_evictable((false, false), now);
        let discard = async {
            let mut read = 0;
            while read < MAX_BODY_BYTES
                && let Some(Ok(())) = shared.deadlines.within(LINGER_SILENCE_TIMEOUT, stream.readable()).await
            {
                // Prevents a client that floods this connection from blocking the thread.
                tokio::task::yield_now().await;
                match stream.try_read(&mut shared.scratch.borrow_mut()) {
                    Ok(0) => return,
                    Ok(n) => read += n,
                    Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => {}
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            _ = shared.deadlines.within(LINGER_TIMEOUT, discard) => {}
            _ = closing => {}
        }
        shared.remove_evictable(key);
    }

    /// Returns whether the connection closes after its answer because the process or the operator drains.
    pub(super) fn is_draining(&self) -> bool {
        let Signals { role, phase, drain, .. } = &self.shared.signals;
        let drains = *phase.borrow() == Phase::Draining || *drain.borrow() == Drain::Closing;
        // If another process has taken over, the connection is handed over instead.
        drains && *role.borrow() != Role::Retiring
    }

    /// Resolves once a client whose bytes are not read has left. Prevents a request from being sent for a
    /// client that left while it waited: the system reports the end of the stream even if unread bytes
    /// precede it.
    pub(super) async fn client_left(&self, stream: &TcpStream) {
        loop {
            self.shared.deadlines.sleep(CLOSE_POLL_INTERVAL).await;
            if stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
                return;
            }
        }
    }

    /// Returns whether a client is known to have left, even if unread bytes precede the end of its stream.
    pub(super) async fn has_left(&self, stream: &TcpStream) -> bool {
        tokio::select! {
            biased;
            ready = stream.ready(Interest::READABLE) => ready.is_ok_and(|ready| ready.is_read_closed()),
            () = std::future::ready(()) => false,
        }
    }

    /// Answers a message that arrived at `arrived_at`, or just now. Writes the head to `out`. Returns `None` if the
    /// client has left.
    async fn answer(
        &self,
        (message, arrived_at): (Message, Option<Millis>),
        (stream, buffer, reservation): (&mut TcpStream, &mut BytesMut, &mut Reservation),
        arrivals: &mut Arrivals,
        out: &mut BytesMut,
    ) -> Option<PreparedAnswer> {
        let shared = &self.shared;
        let Message { head, body, rest } = message;
        let read = body.len();
        let unread = rest.is_some();
        let is_head = head.request_line().0 == b"HEAD";
        let closes = |close: bool| {
            let scarce = self.buffers.borrow().is_scarce();
            close || head.close || scarce || self.over_limit || self.is_draining()
        };
        let mut ahead = ReadAhead::default();
        let prepared = |close: bool, outcome| Some(PreparedAnswer::without_body(close, outcome));
        let body_reservation = reservation.split(reservation.bytes().saturating_sub(buffer.capacity()));
        match (shared.parse)(&head, body, !unread) {
            ParsedRequest::Invalid(status, text) => {
                let close = closes(unread);
                put_text_answer(out, status, text, None, close);
                prepared(close, None)
            }
            ParsedRequest::Readiness => {
                let close = closes(unread);
                let before = out.len();
                match (*shared.signals.phase.borrow(), *shared.signals.drain.borrow()) {
                    (Phase::Serving, Drain::Inactive) => put_text_answer(out, 200, "ready", None, close),
                    _ => put_text_answer(out, 503, "not ready", None, close),
                }
                if is_head {
                    strip_body(out, before);
                }
                prepared(close, None)
            }
            ParsedRequest::Request(info, ..) if self.over_limit => {
                shared.stats.refused(RefusalReason::OverConnectionLimit);
                put_text_answer(out, 503, "no room", Some(shared.retry_after), true);
                prepared(true, Some((shared.stats.request_started(info.class), RequestOutcome::Rejected)))
            }
            ParsedRequest::Request(mut info, mut question, id) => {
                // The end of the stream may be behind further requests. The runtime has seen nothing yet of a connection
                // that was accepted just now.
                if self.has_left(stream).await || !self.has_carried_request.get() && is_read_closed(stream) {
                    return None;
                }
                // Prevents a client from receiving another's answer, and an id from being in flight twice.
                if !shared.open_ids.borrow_mut().insert(id.clone()) {
                    let close = closes(unread);
                    put_text_answer(out, 409, "the id is that of an open flow", None, close);
                    return prepared(close, None);
                }
                let _id = OpenId(shared, id);
                self.has_carried_request.set(true);
                // Prevents a request that arrives late while this process drains from being lost when it
                // exits.
                info.time_left = info.time_left.min(shared.drain_time_left());
                let waited = arrived_at.map_or(0.0, |at| shared.deadlines.clock().now() - at);
                if !unread {
                    info.time_left -= waited;
                }
                if info.time_left <= 0.0 {
                    let close = closes(false);
                    put_text_answer(out, 504, "no answer in time", None, close);
                    let request = shared.stats.request_started(info.class);
                    return prepared(close, Some((request, RequestOutcome::Failed)));
                }
                let request = shared.stats.request_started(info.class);
                let upload = match rest {
                    Some(decoder) => {
                        let (sender, pieces) = body_channel::channel();
                        let first = std::mem::take(&mut question.body);
                        let body = PendingBody { first, rest: pieces, reservation: body_reservation };
                        question.rest = Some(SingleUseBody::new(body));
                        Some((decoder, sender))
                    }
                    None => {
                        question.reservation = Some(Rc::new(body_reservation));
                        None
                    }
                };
                let client_timeout = info.time_left;
                let mut pending = shared.exchange.submit(info, question);
                let (mut early, mut unread) = (None, None);
                if let Some((mut body, sender)) = upload {
                    let reporter = pending.body_reporter();
                    let urgent = shared.limits.urgent_budget.reserve();
                    let time = (client_timeout, urgent);
                    let upload = Upload::new(&mut body, (head.body_length(), read), time, sender);
                    let upload = self.forward_body(stream, buffer, reservation, upload, reporter);
                    let result = tokio::select! {
                        biased;
                        final_answer = &mut pending => {
                            early = Some(final_answer);
                            UploadResult::Complete
                        }
                        result = upload => result,
                        // The process ends soon after, and the last byte might come unseen.
                        () = shared.drain_timed_out() => UploadResult::Invalid(TOO_SLOW),
                    };
                    match result {
                        UploadResult::Complete => {}
                        UploadResult::Invalid(error) => return Some(self.answer_error(out, error)),
                        UploadResult::ClientLeft => return None,
                    }
                    reservation.hold(buffer.capacity());
                    unread = early.is_some().then_some(body);
                }
                let final_answer = match early {
                    Some(final_answer) => final_answer,
                    None => loop {
                        tokio::select! {
                            biased;
                            final_answer = &mut pending => break final_answer,
                            // A client that closes its connection has left. Dropping `pending` tells the
                            // engine.
                            connected =
                                self.watch_client(stream, buffer, (&mut ahead, arrivals), reservation) =>
                            {
                                if !connected {
                                    return None;
                                }
                            }
                        }
                    },
                };
                let close = closes(ahead.overflowed);
                let (mut close, end, before) = (close, final_answer.outcome(), out.len());
                let (mut body, mut body_reservation, mut rest) = (Bytes::new(), None, None);
                let mut chunked = false;
                match final_answer {
                    FinalAnswer::Served(answer) => {
                        // Without a length and without chunks, the body lasts until the connection closes.
                        chunked =
                            answer.rest.is_some() && answer.content_length.is_none() && !head.is_http_1_0;
                        close |= answer.rest.is_some() && answer.content_length.is_none() && head.is_http_1_0;
                        put_served_head(out, &answer, chunked, is_head, close);
                        rest = answer.rest.map(|rest| (rest, chunked));
                        if !is_head {
                            (body, body_reservation) = (answer.body, answer.reservation);
                        }
                    }
                    FinalAnswer::Rejected(retry_after) => {
                        put_text_answer(out, 429, "turned down", Some(retry_after), close)
                    }
                    FinalAnswer::NoRoom(retry_after) => {
                        put_text_answer(out, 503, "no room", Some(retry_after), close)
                    }
                    FinalAnswer::Failed { timed_out: true } => {
                        put_text_answer(out, 504, "no answer in time", None, close)
                    }
                    FinalAnswer::Failed { timed_out: false } => {
                        put_text_answer(out, 502, "failed", None, close)
                    }
                }
                if is_head {
                    strip_body(out, before);
                }
                if head.is_http_1_0 && !close {
                    insert_keep_alive(out, before);
                }
                let (body, outcome) = (frame_data(body, chunked), Some((request, end)));
                Some(PreparedAnswer { close, outcome, body, body_reservation, rest, unread, ahead })
            }
        }
    }
}

/// The result of forwarding the rest of an answer.
enum Forwarded {
    /// The answer was forwarded completely.
    Complete,
    /// The backend broke off.
    Incomplete,
    /// The client has left, or accepts no more bytes.
    ClientLeft,
}

/// An answer that is ready to be written, and what follows it.
struct PreparedAnswer {
    /// Whether the connection closes after the answer.
    close: bool,
    /// The request, and how it is counted once the answer is written. `None` if the message was not a
    /// request.
    outcome: Option<(RequestInProgress, RequestOutcome)>,
    /// The body of a backend's answer, or its first part. It follows the head.
    body: FramedData,
    /// The memory of `body`.
    body_reservation: Option<Reservation>,
    /// The rest of the answer's body, and whether it is sent in chunks.
    rest: Option<(BodyReceiver, bool)>,
    /// The part of the request's body that is not read yet, before the next message.
    unread: Option<BodyDecoder>,
    /// What was read ahead while the client waited.
    ahead: ReadAhead,
}

impl PreparedAnswer {
    /// An answer that is written with its head.
    fn without_body(close: bool, outcome: Option<(RequestInProgress, RequestOutcome)>) -> Self {
        let body = frame_data(Bytes::new(), false);
        let ahead = ReadAhead::default();
        Self { close, outcome, body, body_reservation: None, rest: None, unread: None, ahead }
    }
}

/// The state of reading ahead while a client waits for its answer.
#[derive(Debug, Default)]
struct ReadAhead {
    /// Whether more bytes were received than are kept. None are kept then.
    overflowed: bool,
    /// The number of bytes dropped since.
    dropped_bytes: usize,
}
