//! The answers that are written to clients: their heads, framing and texts.

use crate::interface::Millis;
use crate::net::client_side::Answer;
use bytes::{BufMut, BytesMut};
use std::time::Duration;

/// The buffer space reserved for the head of a backend's answer, in bytes.
const ANSWER_HEAD_BYTES: usize = 192;

/// Removes the body of the answer that begins at `from`.
pub(super) fn strip_body(out: &mut BytesMut, from: usize) {
    let head = out[from..].windows(4).position(|end| end == b"\r\n\r\n");
    head.inspect(|end| out.truncate(from + end + 4));
}

/// Adds `Connection: keep-alive` to the head that begins at `from`. Without it, an HTTP/1.0 client assumes
/// that the connection closes.
pub(super) fn insert_keep_alive(out: &mut BytesMut, from: usize) {
    if let Some(end) = out[from..].windows(2).position(|end| end == b"\r\n") {
        let rest = out.split_off(from + end + 2);
        out.put_slice(b"Connection: keep-alive\r\n");
        out.unsplit(rest);
    }
}

/// Returns the reason phrase of a status code.
fn reason_phrase(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

/// Appends the status line and the fields that frame the answer, without the empty line.
fn put_head(out: &mut BytesMut, status: u16, length: Option<usize>, close: bool) {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = length.map(|length| format!("Content-Length: {length}\r\n")).unwrap_or_default();
    let text = format!("HTTP/1.1 {status} {}\r\n{length}{connection}", reason_phrase(status));
    out.put_slice(text.as_bytes());
}

/// Appends the head of a backend's answer. `is_head` says that the request was `HEAD`.
pub(super) fn put_served_head(
    out: &mut BytesMut,
    answer: &Answer,
    chunked: bool,
    is_head: bool,
    close: bool,
) {
    out.reserve(ANSWER_HEAD_BYTES);
    let length = (answer.rest.is_none() && !is_head).then_some(answer.body.len());
    put_head(out, 200, length.or(answer.content_length), close);
    if let Some(content_type) = &answer.content_type {
        out.put_slice(b"Content-Type: ");
        out.put_slice(content_type);
        out.put_slice(b"\r\n");
    }
    out.put_slice(if chunked { b"Transfer-Encoding: chunked\r\n\r\n".as_slice() } else { b"\r\n" });
}

/// Appends an answer with a text as its body.
pub(super) fn put_text_answer(
    out: &mut BytesMut,
    status: u16,
    text: &str,
    retry_after: Option<Millis>,
    close: bool,
) {
    put_head(out, status, Some(text.len() + 1), close);
    if let Some(retry_after) = retry_after {
        out.put_slice(format!("Retry-After: {}\r\n", retry_after_seconds(retry_after)).as_bytes());
    }
    out.put_slice(format!("Content-Type: text/plain\r\n\r\n{text}\n").as_bytes());
}

/// Converts a time to the value of `Retry-After`: in seconds, with a fraction, rounded up to a whole
/// millisecond and at least 1 ms.
pub fn retry_after_seconds(span: Millis) -> f64 {
    let span = Duration::from_millis(span.max(1.0).ceil() as u64);
    span.as_secs_f64()
}
