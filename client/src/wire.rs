//! HTTP/1.1 as ingresses speak it: writes a request, reads an answer within bounds.

use crate::policy::{Millis, parse_retry_after};
use bytes::{Buf, BytesMut};

/// The most bytes of a head.
pub const HEAD: usize = 8 * 1024;
const HEADERS: usize = 64;

/// What is wrong with an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// It is not HTTP/1.
    #[error("it is not HTTP/1")]
    Malformed,
    /// Its head is too long, or does not end.
    #[error("its head is too long")]
    Head,
    /// Its body is longer than is wanted.
    #[error("its body is too long")]
    Body,
}

/// An answer's head.
#[derive(Debug, Clone, PartialEq)]
pub struct Head {
    /// Its status.
    pub status: u16,
    /// After how long to come again, where it says so.
    pub after: Option<Millis>,
    /// The connection is not used after it.
    pub close: bool,
    at: At,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    Data(usize),
    Size,
    Chunk(usize),
    ChunkEnd,
    Trailers,
    Rest,
    Done,
}

/// An answer as it comes.
#[derive(Debug)]
pub struct Reader {
    most: usize,
    ahead: usize,
    head: Option<Head>,
    body: Vec<u8>,
}

impl Reader {
    /// A reader of an answer whose body has so many bytes at the most.
    pub fn new(most: usize) -> Self {
        Self { most, ahead: 0, head: None, body: Vec::new() }
    }

    /// Takes what has come; an answer once it is whole.
    pub fn take(&mut self, buffer: &mut BytesMut, ended: bool) -> Result<Option<(Head, Vec<u8>)>, Bad> {
        while self.head.is_none() {
            let Some((head, length)) = read_head(buffer)? else { return Ok(None) };
            buffer.advance(length);
            // What is said ahead of an answer is none; it must end some time.
            if (100..200).contains(&head.status) && head.status != 101 {
                self.ahead += length;
                if self.ahead > HEAD {
                    return Err(Bad::Head);
                }
                continue;
            }
            self.head = Some(head);
        }
        let Some(head) = &mut self.head else { return Ok(None) };
        loop {
            let n = match head.at {
                At::Done => break,
                At::Data(n) | At::Chunk(n) => n.min(buffer.len()),
                At::Rest => buffer.len(),
                At::Size => match httparse::parse_chunk_size(buffer) {
                    Ok(httparse::Status::Complete((start, size))) => {
                        buffer.advance(start);
                        let size = usize::try_from(size).map_err(|_| Bad::Body)?;
                        head.at = if size == 0 { At::Trailers } else { At::Chunk(size) };
                        continue;
                    }
                    Ok(httparse::Status::Partial) if buffer.len() <= HEAD => return Ok(None),
                    _ => return Err(Bad::Malformed),
                },
                At::ChunkEnd => match buffer.get(..2) {
                    Some(b"\r\n") => {
                        buffer.advance(2);
                        head.at = At::Size;
                        continue;
                    }
                    Some(_) => return Err(Bad::Malformed),
                    None => return Ok(None),
                },
                At::Trailers => {
                    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
                    match httparse::parse_headers(buffer, &mut headers) {
                        Ok(httparse::Status::Complete((n, _))) => buffer.advance(n),
                        Ok(httparse::Status::Partial) if buffer.len() <= HEAD => return Ok(None),
                        _ => return Err(Bad::Malformed),
                    }
                    head.at = At::Done;
                    break;
                }
            };
            if let At::Data(all) | At::Chunk(all) = head.at
                && all > self.most.saturating_sub(self.body.len())
            {
                return Err(Bad::Body);
            }
            if n == 0 {
                if ended && head.at == At::Rest {
                    head.at = At::Done;
                    break;
                }
                return Ok(None);
            }
            if self.body.len() + n > self.most {
                return Err(Bad::Body);
            }
            self.body.extend_from_slice(&buffer[..n]);
            buffer.advance(n);
            head.at = match head.at {
                At::Data(all) if all == n => At::Done,
                At::Data(all) => At::Data(all - n),
                At::Chunk(all) if all == n => At::ChunkEnd,
                At::Chunk(all) => At::Chunk(all - n),
                other => other,
            };
        }
        Ok(self.head.take().map(|head| (head, std::mem::take(&mut self.body))))
    }
}

fn read_head(buffer: &[u8]) -> Result<Option<(Head, usize)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let length = match response.parse(buffer) {
        Ok(httparse::Status::Complete(n)) if n <= HEAD => n,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(Bad::Head),
        Err(_) => return Err(Bad::Malformed),
    };
    let status = response.code.unwrap_or(0);
    let old = response.version != Some(1);
    let fields = &response.headers;
    let all = |name: &'static str| {
        fields.iter().filter(move |h| h.name.eq_ignore_ascii_case(name)).map(|h| h.value)
    };
    let connection = all("connection").flat_map(|value| value.split(|b| *b == b','));
    let mut words = connection.map(<[u8]>::trim_ascii);
    let close = words.clone().any(|word| word.eq_ignore_ascii_case(b"close"))
        || old && !words.any(|word| word.eq_ignore_ascii_case(b"keep-alive"));
    let (mut lengths, mut codings) = (all("content-length"), all("transfer-encoding"));
    let at = match (lengths.next(), codings.next()) {
        _ if matches!(status, 100..200 | 204 | 304) => At::Done,
        // Two readers might cut it in different places.
        (Some(_), Some(_)) => return Err(Bad::Malformed),
        (None, Some(coding)) if coding.eq_ignore_ascii_case(b"chunked") && !old => At::Size,
        (None, Some(_)) => return Err(Bad::Malformed),
        (Some(digits), None) => {
            let plain = !digits.is_empty() && digits.iter().all(u8::is_ascii_digit);
            let text = std::str::from_utf8(digits).ok().filter(|_| plain).ok_or(Bad::Malformed)?;
            match text.parse().map_err(|_| Bad::Body)? {
                0 => At::Done,
                n => At::Data(n),
            }
        }
        (None, None) => At::Rest,
    };
    if lengths.next().is_some() || codings.next().is_some() {
        return Err(Bad::Malformed);
    }
    let after = all("retry-after").next().and_then(parse_retry_after);
    Ok(Some((Head { status, after, close: close || at == At::Rest, at }, length)))
}

#[cfg(test)]
mod tests;
