//! Reads the HTTP/1.1 answers of ingresses incrementally, with limits on the sizes of head and body.

use crate::policy::{Millis, parse_retry_after};
use bytes::{Buf, BytesMut};

/// The maximum size of a head in bytes. It also limits each chunk header, the trailers of an answer and all
/// interim (1xx) answers ahead of it together.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum number of fields in a head, and in the trailers.
const MAX_HEADER_FIELDS: usize = 64;

/// Why an answer is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum AnswerError {
    /// It is not well-formed HTTP/1.
    #[error("it is not well-formed HTTP/1")]
    Malformed,
    /// Its head is longer than [`MAX_HEAD_BYTES`] or has too many fields.
    #[error("its head is too long")]
    HeadTooLong,
    /// Its body is longer than the reader's limit.
    #[error("its body is too long")]
    BodyTooLong,
}

/// The head of an answer.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// The status code.
    pub status: u16,
    /// The value of `Retry-After`; `None` if there is none that is valid.
    pub retry_after: Option<Millis>,
    /// Whether the connection cannot be used again after this answer.
    pub close: bool,
    body: BodyState,
}

/// What follows in the input, after what has been read of an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum BodyState {
    /// This many bytes of a body with `Content-Length`.
    Sized(usize),
    /// The header of a chunk.
    ChunkHeader,
    /// This many bytes of a chunk.
    ChunkData(usize),
    /// The line break at the end of a chunk.
    ChunkEnd,
    /// The trailers after the last chunk.
    Trailers,
    /// A body that lasts until the connection is closed.
    UntilClose,
    /// Nothing: the answer is complete.
    Done,
}

/// Reads answers from the input of a connection, one after the other.
#[derive(Debug)]
pub struct AnswerReader {
    max_body_bytes: usize,
    /// Bytes of interim (1xx) answers read so far.
    interim_bytes: usize,
    head: Option<Head>,
    body: Vec<u8>,
}

impl AnswerReader {
    /// Creates a reader that accepts bodies of up to `max_body_bytes` bytes.
    pub fn new(max_body_bytes: usize) -> Self {
        Self { max_body_bytes, interim_bytes: 0, head: None, body: Vec::new() }
    }

    /// Consumes input from `buffer`. Returns an answer once it is complete, and `None` if more input is
    /// needed. `at_eof` says that no more input will come.
    pub fn read(
        &mut self,
        buffer: &mut BytesMut,
        at_eof: bool,
    ) -> Result<Option<(Head, Vec<u8>)>, AnswerError> {
        while self.head.is_none() {
            let Some((head, length)) = read_head(buffer)? else { return Ok(None) };
            buffer.advance(length);
            // Interim answers are skipped. Without a limit on them, an ingress could send them for ever.
            if (100..200).contains(&head.status) && head.status != 101 {
                self.interim_bytes += length;
                if self.interim_bytes > MAX_HEAD_BYTES {
                    return Err(AnswerError::HeadTooLong);
                }
                continue;
            }
            self.head = Some(head);
        }
        let Some(head) = &mut self.head else { return Ok(None) };
        loop {
            let n = match head.body {
                BodyState::Done => break,
                BodyState::Sized(n) | BodyState::ChunkData(n) => n.min(buffer.len()),
                BodyState::UntilClose => buffer.len(),
                BodyState::ChunkHeader => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((start, size))) => {
                        buffer.advance(start);
                        let size = usize::try_from(size).map_err(|_| AnswerError::BodyTooLong)?;
                        head.body = if size == 0 { BodyState::Trailers } else { BodyState::ChunkData(size) };
                        continue;
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
                    _ => return Err(AnswerError::Malformed),
                },
                BodyState::ChunkEnd => match buffer.get(..2) {
                    Some(b"\r\n") => {
                        buffer.advance(2);
                        head.body = BodyState::ChunkHeader;
                        continue;
                    }
                    Some(_) => return Err(AnswerError::Malformed),
                    None => return Ok(None),
                },
                BodyState::Trailers => {
                    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
                    match httparse::parse_headers(buffer, &mut fields) {
                        Ok(httparse::Status::Complete((n, _))) => buffer.advance(n),
                        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
                        _ => return Err(AnswerError::Malformed),
                    }
                    head.body = BodyState::Done;
                    break;
                }
            };
            if let BodyState::Sized(left) | BodyState::ChunkData(left) = head.body
                && left > self.max_body_bytes.saturating_sub(self.body.len())
            {
                return Err(AnswerError::BodyTooLong);
            }
            if n == 0 {
                if at_eof && head.body == BodyState::UntilClose {
                    head.body = BodyState::Done;
                    break;
                }
                return Ok(None);
            }
            if self.body.len() + n > self.max_body_bytes {
                return Err(AnswerError::BodyTooLong);
            }
            self.body.extend_from_slice(&buffer[..n]);
            buffer.advance(n);
            head.body = match head.body {
                BodyState::Sized(left) if left == n => BodyState::Done,
                BodyState::Sized(left) => BodyState::Sized(left - n),
                BodyState::ChunkData(left) if left == n => BodyState::ChunkEnd,
                BodyState::ChunkData(left) => BodyState::ChunkData(left - n),
                other => other,
            };
        }
        Ok(self.head.take().map(|head| (head, std::mem::take(&mut self.body))))
    }
}

/// Parses a head at the start of `buffer` and returns it with its length in bytes. Returns `None` if it is
/// incomplete.
fn read_head(buffer: &[u8]) -> Result<Option<(Head, usize)>, AnswerError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADER_FIELDS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => n,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(AnswerError::HeadTooLong),
        Err(_) => return Err(AnswerError::Malformed),
    };
    let status = response.code.unwrap_or(0);
    let is_http_1_0 = response.version != Some(1);
    let fields = &response.headers;
    let values = |name: &'static str| {
        fields.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    };
    let connection = values("connection").flat_map(|value| value.split(|b| *b == b','));
    let mut options = connection.map(<[u8]>::trim_ascii);
    let close = options.clone().any(|option| option.eq_ignore_ascii_case(b"close"))
        || is_http_1_0 && !options.any(|option| option.eq_ignore_ascii_case(b"keep-alive"));
    let (mut lengths, mut codings) = (values("content-length"), values("transfer-encoding"));
    let body = match (lengths.next(), codings.next()) {
        _ if matches!(status, 100..200 | 204 | 304) => BodyState::Done,
        // Both together are ambiguous: another reader might find the end of the answer in a different place.
        (Some(_), Some(_)) => return Err(AnswerError::Malformed),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && !is_http_1_0 => {
            BodyState::ChunkHeader
        }
        (None, Some(_)) => return Err(AnswerError::Malformed),
        (Some(digits), None) => {
            let is_number = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let text =
                std::str::from_utf8(digits).ok().filter(|_| is_number).ok_or(AnswerError::Malformed)?;
            match text.parse().map_err(|_| AnswerError::BodyTooLong)? {
                0 => BodyState::Done,
                n => BodyState::Sized(n),
            }
        }
        (None, None) => BodyState::UntilClose,
    };
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(AnswerError::Malformed);
    }
    let retry_after = values("retry-after").next().and_then(parse_retry_after);
    Ok(Some((Head { status, retry_after, close: close || body == BodyState::UntilClose, body }, length)))
}

#[cfg(test)]
mod tests;
