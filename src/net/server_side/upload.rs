//! Request bodies that are forwarded in pieces, or discarded.

use super::ParsedRequest;
use super::connection::Connection;
use super::message::{ErrorAnswer, TOO_SLOW, error_answer};
use super::upload_progress::{UploadProgress, WriteState};
use super::write_time::WriteTime;
use super::{MAX_READ_AHEAD_BYTES, SCRATCH_BYTES};
use crate::exchange::BodyReporter;
use crate::interface::Millis;
use crate::net::body_channel::BodyPiece;
use crate::net::budget::{MAX_PIECE_BYTES, Reservation};
use crate::net::client_side::{Answer, Question};
use crate::net::http::{BodyDecoder, Head, MAX_BODY_BYTES, ParseError, join};
use crate::net::server_side::Drain;
use crate::net::stream::{is_closed, read_piece, unread_bytes};
use bytes::{Bytes, BytesMut};
use slog::debug;
use std::collections::VecDeque;
use std::io;
use std::io::ErrorKind;
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
/// The interval at which a body that is not read is checked for how much of it has arrived, in milliseconds.
const UNREAD_POLL_INTERVAL: Millis = 100.0;
/// The fraction of a client's time after which more of a body is read from the memory for that: what remains is enough
/// to read what the client's system may hold.
const URGENT_TIME_FRACTION: f64 = 0.75;
/// The number of bytes of a chunked body that are read at a time to be discarded.
const DISCARDED_CHUNK_BYTES: usize = 4096;

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
    /// more, the rest is discarded. Reports when the client has written its last byte, or may have.
    pub(super) async fn forward_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        mut upload: Upload<'_>,
        reporter: BodyReporter<Question, Answer>,
    ) -> UploadResult {
        let deadlines = &self.shared.deadlines;
        let clock = deadlines.clock();
        self.buffers.borrow_mut().grow_receive(stream, upload.length);
        let mut started = clock.now();
        let receive_buffer_bytes = self.buffers.borrow().receive_bytes();
        let mut progress =
            UploadProgress::new(WriteTime::new(started, upload.read, receive_buffer_bytes), reporter);
        loop {
            let queued_bytes = upload.release_urgent();
            let piece_bytes = reservation.reserve_pieces(queued_bytes);
            if let Err(error) = upload.decode_piece(buffer, piece_bytes) {
                return UploadResult::Invalid(error_answer(error));
            }
            let unread = unread_bytes(stream);
            progress.unread(clock.now(), upload.read, unread);
            self.report_progress(&mut progress, &upload, unread);
            if let Some(piece) = upload.next_piece() {
                let (before, is_end) = (clock.now(), piece == BodyPiece::End);
                let sending =
                    self.send_piece(stream, buffer, reservation, (&mut upload, &mut progress), piece);
                match sending.await {
                    // An attempt whose body has a known length reads no `End`, and may have dropped its
                    // receiver.
                    SendResult::Sent | SendResult::ReceiverClosed if is_end => return UploadResult::Complete,
                    // The rest is read all the same: the end of the client's stream is only seen behind what it
                    // sent.
                    SendResult::Sent | SendResult::ReceiverClosed => {}
                    SendResult::ClientLeft => return UploadResult::ClientLeft,
                    SendResult::Invalid(error) => return UploadResult::Invalid(error_answer(error)),
                }
                // The time for which the backend did not read is not counted against the client.
                started += clock.now() - before;
                continue;
            }
            let within = self.body_read_timeout(started, upload.read);
            if unread == 0 && progress.may_be_written() {
                let conclusive_wait = progress.conclusive_wait(clock.now(), upload.read);
                if deadlines.within(conclusive_wait, stream.peek(&mut [0])).await.is_none() {
                    progress.report(WriteState::Pending, self.shared.drain_time_left());
                }
            }
            let read = tokio::select! {
                biased;
                read = read_piece(stream, buffer, piece_bytes) => read,
                () = self.shared.body_silence(within) => return UploadResult::Invalid(TOO_SLOW),
            };
            let n = match read {
                Ok(n) if n > 0 => n,
                _ => return UploadResult::ClientLeft,
            };
            progress.received(clock.now(), upload.read, n, || unread_bytes(stream));
            upload.read += n;
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
        (upload, progress): (&mut Upload<'_>, &mut UploadProgress),
        piece: BodyPiece,
    ) -> SendResult {
        let pieces = upload.pieces.clone();
        let permit = loop {
            tokio::select! {
                biased;
                permit = pieces.reserve() => break permit,
                more = self.read_ahead(stream, buffer, reservation, (&mut *upload, &mut *progress)) => match more {
                    Ok(Some(n)) if n > 0 => {
                        let now = self.shared.deadlines.clock().now();
                        progress.received(now, upload.read, n, || unread_bytes(stream));
                        upload.read += n;
                    }
                    _ => return SendResult::ClientLeft,
                },
            }
            if let Err(error) = upload.decode_all(buffer) {
                return SendResult::Invalid(error);
            }
            if upload.is_received() {
                self.report_progress(progress, upload, 0);
            }
        };
        let Ok(permit) = permit else { return SendResult::ReceiverClosed };
        if self.has_left(stream).await || upload.is_last_piece() && is_closed(stream) {
            return SendResult::ClientLeft;
        }
        permit.send(piece);
        upload.sent += 1;
        SendResult::Sent
    }

    /// Waits until more of a body has been read, and returns the number of its bytes; `None` once its client has left.
    /// The body is read only while it waits for its first attempt, or if its end is not known otherwise, and only as far
    /// as the memory budget allows. What stays unread is reported meanwhile: the last byte of the body may be in it.
    async fn read_ahead(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
        (upload, progress): (&mut Upload<'_>, &mut UploadProgress),
    ) -> io::Result<Option<usize>> {
        loop {
            let may_read = self.may_read_ahead(upload, progress, buffer.len(), reservation);
            if !may_read && upload.length.is_none() && !upload.is_received() {
                self.note_read_ahead_limit(stream, upload, progress);
            }
            let unread = unread_bytes(stream);
            if progress.is_end_out_of_reach && unread > 0 {
                progress.held_back();
            }
            progress.unread(self.shared.deadlines.clock().now(), upload.read, unread);
            self.report_progress(progress, upload, unread);
            if may_read {
                return read_piece(stream, buffer, MAX_PIECE_BYTES).await.map(Some);
            }
            let left = self.shared.deadlines.within(UNREAD_POLL_INTERVAL, self.client_left(stream)).await;
            if left.is_some() {
                return Ok(None);
            }
        }
    }

    /// Returns whether more of a body may be read before its backend takes it. If so, the memory of a piece more than the
    /// `buffered` bytes and those in the queue is reserved.
    fn may_read_ahead(
        &self,
        upload: &mut Upload<'_>,
        progress: &UploadProgress,
        buffered: usize,
        reservation: &mut Reservation,
    ) -> bool {
        if upload.is_received() || !(upload.waits_for_attempt() || upload.length.is_none()) {
            return false;
        }
        let ahead = upload.queued_bytes + buffered;
        let needed = ahead + 2 * MAX_PIECE_BYTES;
        if ahead <= MAX_READ_AHEAD_BYTES
            && reservation.try_resize_read_ahead(needed.saturating_sub(upload.urgent.bytes()))
        {
            return true;
        }
        // Unless more is read, the client must be answered soon as if it had written its last byte.
        let now = self.shared.deadlines.clock().now();
        let urgent_time = upload.client_timeout * URGENT_TIME_FRACTION;
        let is_urgent = progress.written_at(upload).is_some_and(|at| now >= at + urgent_time);
        upload.length.is_none()
            && is_urgent
            && ahead <= MAX_BODY_BYTES
            && upload.urgent.try_resize(needed.saturating_sub(reservation.bytes()))
    }

    /// Records that a body of unknown length can be read no further ahead.
    fn note_read_ahead_limit(&self, stream: &TcpStream, upload: &Upload<'_>, progress: &mut UploadProgress) {
        if std::mem::replace(&mut progress.is_end_out_of_reach, true) {
            return;
        }
        self.shared.stats.read_ahead_limited();
        debug!(self.shared.log, "no more of a body is read ahead";
            "read" => upload.read, "held" => upload.queued_bytes, "unread" => unread_bytes(stream));
    }

    /// Reports how far the client of a body has written it, if that has changed. `unread` is the number of received bytes
    /// that have not been read.
    fn report_progress(&self, progress: &mut UploadProgress, upload: &Upload<'_>, unread: usize) {
        progress.is_end_out_of_reach &= unread > 0;
        let state = progress.current_state(upload, unread);
        if let WriteState::Received(at) = state
            && state != progress.state
        {
            self.shared.stats.body_end_read(self.shared.deadlines.clock().now() - at);
        }
        progress.report(state, self.shared.drain_time_left());
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
            let within = self.body_time_left(started, read);
            let more = tokio::select! {
                more = self.shared.deadlines.within(within, self.discard_more(stream, buffer, &mut body)) => more,
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

    /// Reads more of a body that is discarded and returns the number of bytes. Those that no framing interrupts never
    /// enter the buffer.
    async fn discard_more(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        body: &mut BodyDecoder,
    ) -> io::Result<usize> {
        loop {
            // Prevents a client that floods this connection from blocking the thread.
            tokio::task::yield_now().await;
            stream.readable().await?;
            let unframed = body.unframed_bytes();
            let mut scratch = self.shared.scratch.borrow_mut();
            let room = unframed.unwrap_or(DISCARDED_CHUNK_BYTES).min(SCRATCH_BYTES);
            let n = match stream.try_read(&mut scratch[..room]) {
                Ok(n) => n,
                Err(e) if matches!(e.kind(), ErrorKind::WouldBlock | ErrorKind::Interrupted) => continue,
                Err(e) => return Err(e),
            };
            match unframed {
                Some(_) => body.skip_unframed(n),
                None => buffer.extend_from_slice(&scratch[..n]),
            }
            return Ok(n);
        }
    }
}

/// The rest of a request's body that is forwarded to the attempt that reads it.
pub(super) struct Upload<'a> {
    body: &'a mut BodyDecoder,
    /// The length of the whole body in bytes; `None` if the head does not announce it.
    pub(super) length: Option<usize>,
    /// The number of bytes of the body that have been received, with their framing.
    pub(super) read: usize,
    /// How long the client waits for its answer after the last byte, in milliseconds.
    client_timeout: Millis,
    /// The memory of what was read ahead because the last byte might have been among it.
    urgent: Reservation,
    pieces: mpsc::Sender<BodyPiece>,
    /// The number of pieces sent to the channel, which buffers one that the attempt has not received.
    sent: usize,
    /// The pieces that have been decoded and not sent.
    queue: VecDeque<BodyPiece>,
    /// The bytes of data in the queue.
    queued_bytes: usize,
    /// Whether the end of the body has been queued.
    end_queued: bool,
}

impl<'a> Upload<'a> {
    /// Creates an upload of which `read` bytes have been received. `client_timeout` is how long its client waits for the
    /// answer after the last byte, in milliseconds; `urgent` pays for what is read ahead for that.
    pub(super) fn new(
        body: &'a mut BodyDecoder,
        (length, read): (Option<usize>, usize),
        (client_timeout, urgent): (Millis, Reservation),
        pieces: mpsc::Sender<BodyPiece>,
    ) -> Self {
        Self {
            body,
            length,
            read,
            client_timeout,
            urgent,
            pieces,
            sent: 0,
            queue: VecDeque::new(),
            queued_bytes: 0,
            end_queued: false,
        }
    }

    /// Returns whether, as far as is known, no attempt has received any of the body.
    pub(super) fn waits_for_attempt(&self) -> bool {
        self.sent <= 1
    }

    /// Returns whether the last byte of the body has been received.
    pub(super) fn is_received(&self) -> bool {
        self.body.is_done()
    }

    /// Returns whether more than one piece is held until an attempt receives the body.
    pub(super) fn is_held_for_attempt(&self) -> bool {
        self.waits_for_attempt() && self.queue.len() > 1
    }

    /// Releases the memory for urgent reading that the queue no longer needs. Returns the bytes of the queue that it does
    /// not pay for.
    fn release_urgent(&mut self) -> usize {
        self.urgent.hold(self.urgent.bytes().min(self.queued_bytes));
        self.queued_bytes - self.urgent.bytes()
    }

    /// Decodes a piece of at most `max_bytes` if none is queued.
    fn decode_piece(&mut self, buffer: &mut BytesMut, max_bytes: usize) -> Result<(), ParseError> {
        if self.queue.is_empty() {
            self.decode(buffer, max_bytes)?;
        }
        Ok(())
    }

    /// Decodes all that has been received.
    fn decode_all(&mut self, buffer: &mut BytesMut) -> Result<(), ParseError> {
        while self.decode(buffer, MAX_PIECE_BYTES)? {}
        Ok(())
    }

    /// Decodes a piece, or the end of the body, to the queue. Returns `false` if more must be received first.
    fn decode(&mut self, buffer: &mut BytesMut, max_bytes: usize) -> Result<bool, ParseError> {
        match self.body.take_joined(buffer, max_bytes)? {
            Some(data) => self.queue_data(data),
            None if self.body.is_done() && !self.end_queued => {
                self.end_queued = true;
                self.queue.push_back(BodyPiece::End);
            }
            None => return Ok(false),
        }
        Ok(true)
    }

    /// Queues data. It is joined with what was queued before: each small piece would keep the allocation that it was read
    /// into.
    fn queue_data(&mut self, data: Bytes) {
        self.queued_bytes += data.len();
        match self.queue.back_mut() {
            Some(BodyPiece::Data(last)) if last.len() + data.len() <= MAX_PIECE_BYTES => {
                *last = join(std::mem::take(last), &data);
            }
            _ => self.queue.push_back(BodyPiece::Data(data)),
        }
    }

    fn next_piece(&mut self) -> Option<BodyPiece> {
        let piece = self.queue.pop_front()?;
        if let BodyPiece::Data(data) = &piece {
            self.queued_bytes -= data.len();
        }
        Some(piece)
    }

    /// Returns whether no data follows the piece that was taken last.
    fn is_last_piece(&self) -> bool {
        self.body.is_done() && self.queued_bytes == 0
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
    /// What was read ahead is not a valid body.
    Invalid(ParseError),
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
