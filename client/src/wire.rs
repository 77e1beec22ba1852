//! HTTP/1.1 as ingresses speak it: writes a request, reads an answer within bounds.

use crate::policy::{Millis, retry_after};
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
    let after = all("retry-after").next().and_then(retry_after);
    Ok(Some((Head { status, after, close: close || at == At::Rest, at }, length)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use quickcheck::{Gen, QuickCheck};

    type Whole = Vec<Result<(u16, Option<Millis>, bool, Vec<u8>), Bad>>;

    /// The answers in these bytes, cut at these places, and then the end.
    fn read(bytes: &[u8], cuts: &[u16]) -> Whole {
        let mut places: Vec<usize> = cuts.iter().map(|cut| usize::from(*cut) % (bytes.len() + 1)).collect();
        places.extend([0, bytes.len(), bytes.len()]);
        places.sort_unstable();
        let (mut buffer, mut reader, mut all) = (BytesMut::new(), Reader::new(1000), Whole::new());
        for (i, pair) in places.windows(2).enumerate() {
            buffer.extend_from_slice(&bytes[pair[0]..pair[1]]);
            loop {
                match reader.take(&mut buffer, i + 2 == places.len()) {
                    Ok(Some((head, body))) => all.push(Ok((head.status, head.after, head.close, body))),
                    Ok(None) => break,
                    Err(bad) => {
                        all.push(Err(bad));
                        return all;
                    }
                }
            }
        }
        all
    }

    const ANSWERS: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabcHTTP/1.1 103 X\r\n\r\n\
        HTTP/1.1 429 No\r\nRetry-After: 0.25\r\nTransfer-Encoding: chunked\r\n\r\n2;x=1\r\nde\r\n0\r\nT: 1\r\n\r\n\
        HTTP/1.1 503 No\r\nRetry-After: -1\r\nContent-Length: 0\r\n\r\nHTTP/1.0 200 OK\r\n\r\nrest";

    fn check(holds: fn(Vec<u8>, Vec<u16>) -> bool) {
        QuickCheck::new().rng(Gen::from_size_and_seed(200, 11)).tests(400).quickcheck(holds);
    }

    #[test]
    fn answers_are_the_same_however_they_are_cut() {
        let whole = read(ANSWERS, &[]);
        let expected: Whole = vec![
            Ok((200, None, false, b"abc".to_vec())),
            Ok((429, Some(250.0), false, b"de".to_vec())),
            Ok((503, None, false, vec![])),
            Ok((200, None, true, b"rest".to_vec())),
        ];
        assert_eq!(whole, expected);
        check(|_, cuts| read(ANSWERS, &cuts) == read(ANSWERS, &[]));
    }

    #[test]
    fn garbage_and_damage_are_errors_without_a_panic_and_nothing_is_endless() {
        check(|garbage, cuts| read(&garbage, &cuts).len() <= garbage.len() + 1);
        check(|garbage, cuts| {
            let mut damaged = ANSWERS.to_vec();
            for (byte, at) in garbage.iter().zip(&cuts).take(3) {
                let at = usize::from(*at) % damaged.len();
                damaged[at] = *byte;
            }
            read(&damaged, &cuts).len() <= damaged.len()
        });
        let bad = |text: &str| read(text.as_bytes(), &[]).pop();
        assert_eq!(bad("HTTP/1.1 200 OK\r\nContent-Length: 1001\r\n\r\n"), Some(Err(Bad::Body)));
        assert_eq!(
            bad("HTTP/1.1 200 OK\r\nContent-Length: 3221225472000000000000\r\n\r\n"),
            Some(Err(Bad::Body))
        );
        assert_eq!(bad("HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n"), Some(Err(Bad::Malformed)));
        let both = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
        assert_eq!(bad(both), Some(Err(Bad::Malformed)));
        assert_eq!(bad(&"HTTP/1.1 103 X\r\n\r\n".repeat(1000)), Some(Err(Bad::Head)));
        assert_eq!(bad(&format!("HTTP/1.1 200 OK\r\nX: {}", "x".repeat(9000))), Some(Err(Bad::Head)));
        assert_eq!(bad(&format!("HTTP/1.1 200 OK\r\n\r\n{}", "x".repeat(1001))), Some(Err(Bad::Body)));
    }
}
