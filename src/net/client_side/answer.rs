//! Reads the answers of backends: short ones completely, while long ones are passed on as they come.

use super::write::is_interim;
use super::{Answer, CarriedJob, CarryResult, Inner, failed};
use crate::config::Site;
use crate::interface::*;
use crate::net::attempts::{AttemptId, AttemptResult, Stage};
use crate::net::body_channel::{self, BodyPiece};
use crate::net::budget::Reservation;
use crate::net::http::{BodyDecoder, Head, MAX_BUFFERED_MESSAGE_BYTES, MessageKind, ParseError, peek_head};
use crate::net::partial_body::PartialBody;
use crate::net::socket_buffers::{ConnectionBuffers, MAX_ANSWER_BUFFER_BYTES};
use crate::net::stream::{read_piece, read_reserved, reallocate};
use bytes::{Bytes, BytesMut};
use tokio::net::TcpStream;

/// How long an answer of unknown length is collected, in milliseconds, before it is passed on as it comes.
const UNKNOWN_LENGTH_WAIT: Millis = 150.0;
/// An answer that is passed on as it comes counts as broken off after this many milliseconds without data.
const STREAM_READ_TIMEOUT: Millis = 15_000.0;

impl Inner {
    /// Reads an answer that began before the request was written completely. It cannot be a success. The
    /// engine's deadlines start with the last byte of the body, which such a request may never reach, so the
    /// time is limited here.
    pub(super) async fn read_early_answer(
        &self,
        stream: &mut TcpStream,
        buffers: (&mut BytesMut, &mut ConnectionBuffers),
        job: &CarriedJob<'_>,
    ) -> CarryResult {
        let answer = self.read_answer(stream, buffers, job, true);
        match self.deadlines.within(job.timeout, answer).await {
            Some((result, _)) => (result, false),
            None if job.stage.get() == Stage::Written => failed(Outcome::TimedOut),
            None => failed(Outcome::ConnectFailed),
        }
    }

    /// Reads an answer: a short one completely, while a long one is passed on as it comes. `began_early` is
    /// whether its first byte arrived before the request was written completely.
    pub(super) async fn read_answer(
        &self,
        stream: &mut TcpStream,
        (buffer, buffers): (&mut BytesMut, &mut ConnectionBuffers),
        CarriedJob { id, question, stage, pass_on, .. }: &CarriedJob<'_>,
        began_early: bool,
    ) -> CarryResult {
        let mut reservation = self.budget.reserve();
        let head = match self.read_answer_head(stream, buffer, &mut reservation).await {
            Ok(head) => head,
            Err(outcome) => return failed(outcome),
        };
        if began_early && head.status() == 200 {
            // A success cannot be the answer to a request that had not arrived completely.
            return failed(Outcome::Error);
        }
        let announced = head.body_length().filter(|_| !question.expects_no_body).unwrap_or(0);
        buffers.grow_receive(stream, Some(announced.min(MAX_ANSWER_BUFFER_BYTES)));
        let decoder = if question.expects_no_body { BodyDecoder::empty() } else { BodyDecoder::new(&head) };
        let mut body = PartialBody::with_decoder(decoder, head.body_length());
        if head.status() == 200 && (body.is_announced_long() || head.body_length().is_none()) {
            stage.set(Stage::Answering);
        }
        let mut length_wait = std::pin::pin!(self.deadlines.sleep(UNKNOWN_LENGTH_WAIT));
        let mut waited = false;
        loop {
            let Ok(mut fits) = body.decode(buffer, &mut reservation) else { return failed(Outcome::Error) };
            if body.is_complete() {
                let answer = body.decoded.freeze();
                return evaluate_answer(&head, answer, reservation, buffer.is_empty(), &self.site);
            }
            let waited_for_length = waited && head.body_length().is_none();
            let has_begun = !body.decoded.is_empty() && (waited_for_length || body.is_announced_long());
            if fits && !body.is_long() && !has_begun {
                let more = tokio::select! {
                    more = body.read(stream, buffer, &mut reservation) => more,
                    () = &mut length_wait, if !waited => {
                        waited = true;
                        continue;
                    }
                    () = pass_on.notified() => None,
                };
                match more {
                    None => fits = false,
                    Some(Ok(true)) => {}
                    Some(Ok(false)) if body.decoder.finish_at_eof() => {}
                    Some(_) => return failed(Outcome::Reset),
                }
                if fits {
                    continue;
                }
            }
            if head.status() != 200 {
                return failed(Outcome::Error);
            }
            buffers.grow_receive(stream, Some(MAX_ANSWER_BUFFER_BYTES));
            return self.stream_answer(stream, buffer, *id, &head, body, reservation).await;
        }
    }

    /// Reads the head of the final answer, and skips interim ones.
    async fn read_answer_head(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        reservation: &mut Reservation,
    ) -> Result<Head, Outcome> {
        let mut interim_bytes = 0;
        loop {
            match peek_head(buffer, MessageKind::Response) {
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    if !is_interim(&head) {
                        reallocate(buffer, 0);
                        reservation.hold(buffer.capacity());
                        return Ok(head);
                    }
                    interim_bytes += length;
                    continue;
                }
                // Prevents an endless series of interim responses from taking time and memory.
                Ok(None) if interim_bytes <= MAX_BUFFERED_MESSAGE_BYTES => {}
                // The answer cannot be read: the request may have run.
                Ok(None)
                | Err(ParseError::Malformed | ParseError::BodyTooLarge | ParseError::HeadTooLarge) => {
                    return Err(Outcome::Error);
                }
            }
            match read_reserved(stream, buffer, reservation, 0).await {
                Some(Ok(true)) => {}
                None => return Err(Outcome::Error),
                Some(_) => return Err(Outcome::Reset),
            }
        }
    }

    /// Passes an answer on in pieces, as fast as the client takes them. `body` is the part of the body that has been
    /// read, which `reservation` pays for.
    async fn stream_answer(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        id: AttemptId,
        head: &Head,
        body: PartialBody,
        mut reservation: Reservation,
    ) -> CarryResult {
        let PartialBody { decoder: mut body, decoded, .. } = body;
        let (pieces, rest) = body_channel::channel();
        let load = parse_load(head, &self.site.load_report_names);
        let answer = Answer {
            body: decoded.freeze(),
            content_type: content_type(head),
            content_length: head.body_length(),
            reservation: Some(reservation.split(reservation.bytes().saturating_sub(buffer.capacity()))),
            rest: Some(rest),
        };
        if !self.attempts.answer_started(id, answer) {
            return failed(Outcome::Cancelled);
        }
        let result = |outcome| AttemptResult { outcome, load, answer: None };
        loop {
            let piece_bytes = reservation.reserve_pieces(0);
            match body.take_joined(buffer, piece_bytes) {
                Ok(Some(data)) => {
                    if pieces.send(BodyPiece::Data(data)).await.is_err() {
                        return (result(Outcome::Cancelled), false);
                    }
                    continue;
                }
                Ok(None) if body.is_done() => {
                    let _ = pieces.send(BodyPiece::End).await;
                    return (result(Outcome::Served), !head.close && buffer.is_empty());
                }
                Ok(None) => {}
                Err(_) => return (result(Outcome::Error), false),
            }
            let more = read_piece(stream, buffer, piece_bytes);
            let read = tokio::select! {
                read = self.deadlines.within(STREAM_READ_TIMEOUT, more) => read,
                () = pieces.closed() => return (result(Outcome::Cancelled), false),
            };
            match read {
                Some(Ok(n)) if n > 0 => {}
                Some(Ok(_)) if body.finish_at_eof() => {}
                _ => return (result(Outcome::Reset), false),
            }
        }
    }
}

fn content_type(head: &Head) -> Option<Bytes> {
    head.get("content-type").map(Bytes::copy_from_slice)
}

/// Derives the result of an attempt from a complete answer. `nothing_left` is whether nothing follows the
/// answer in the read buffer.
fn evaluate_answer(
    head: &Head,
    body: Bytes,
    reservation: Reservation,
    nothing_left: bool,
    site: &Site,
) -> CarryResult {
    let not_started = head.get("not-started").is_some_and(|value| value.trim_ascii() == b"1");
    let outcome = match head.status() {
        200 => Outcome::Served,
        503 | 504 if not_started => Outcome::Rejected,
        _ => Outcome::Error,
    };
    let load = parse_load(head, &site.load_report_names);
    // Backends send no other status, so after one the connection is not trusted with another request.
    let known_status = matches!(head.status(), 200 | 500 | 503 | 504);
    let reusable = !head.close && nothing_left && known_status;
    let answer = Answer {
        body,
        content_type: content_type(head),
        content_length: head.body_length(),
        reservation: Some(reservation),
        rest: None,
    };
    (AttemptResult { outcome, load, answer: (outcome == Outcome::Served).then_some(answer) }, reusable)
}

/// Parses the load report in the `Server-Load` field of an answer. Values that cannot be read, or whose name
/// is not in `names`, are left out.
fn parse_load(head: &Head, names: &[String]) -> Load {
    let mut load = Load::default();
    let Some(text) = head.get("server-load").and_then(|value| std::str::from_utf8(value).ok()) else {
        return load;
    };
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|x| x.is_finite()) else { continue };
        // The settings and the header may use the long or the short name of a value independently of each
        // other.
        let (short_name, field) = match name.trim() {
            "inflight" | "rif" => ("rif", &mut load.in_flight),
            "queue" | "q" => ("q", &mut load.queued),
            "util" | "busy" => ("busy", &mut load.busy),
            "latency_ms" | "lat_ms" => ("lat_ms", &mut load.latency),
            "qps" | "rate" => ("rate", &mut load.rate),
            "eps" | "fail_rate" => ("fail_rate", &mut load.error_rate),
            _ => continue,
        };
        if names.iter().any(|known| known == short_name || known == name.trim()) {
            *field = Some(value);
        }
    }
    load
}
