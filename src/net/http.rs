//! HTTP/1.1 messages: takes whole ones off the front of a buffer. Heads are parsed by `httparse`.

use bytes::{Bytes, BytesMut};
use std::ops::Range;

/// The most bytes of a body that is taken whole.
pub const BODY: usize = 64 * 1024;
/// The most bytes of a body that passes in pieces: 32 MB, however they are counted.
pub const LONG: usize = 33 << 20;
/// The most bytes of a body that holds a list: some thousands of entries.
pub const LIST: usize = 4 << 20;
/// The most bytes of a head.
pub const HEAD: usize = 8 * 1024;
/// The most bytes of a message that is still incomplete: chunks have some overhead.
pub const MESSAGE: usize = BODY + HEAD + 4 * 1024;
const HEADERS: usize = 64;

/// Why a message cannot be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Bad {
    /// It is not HTTP/1.
    Malformed,
    /// Its body, or a chunked one's framing, is too large.
    BodyTooLarge,
    /// Its head is too large.
    HeadTooLarge,
}

/// What a message begins with.
#[derive(Debug, Clone, PartialEq)]
enum Start {
    Request { method: Range<usize>, target: Range<usize> },
    Response { status: u16 },
}

/// Which messages are read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// Requests.
    Request,
    /// Responses to `GET` or `POST`.
    Response,
    /// Responses that may hold a long list.
    ListResponse,
}

impl Kind {
    /// The most bytes of a body that is taken whole.
    fn most(self) -> usize {
        if self == Self::ListResponse { LIST } else { BODY }
    }

    /// The most bytes of a body.
    fn longest(self) -> usize {
        if self == Self::ListResponse { LIST } else { LONG }
    }
}

/// A head, and how its body is framed.
#[derive(Debug, Clone)]
pub struct Head {
    bytes: Bytes,
    start: Start,
    fields: Vec<(Range<usize>, Range<usize>)>,
    framing: Framing,
    /// The connection is not used after this message.
    pub close: bool,
    /// It is of HTTP/1.0.
    pub old: bool,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    Length(usize),
    Chunked,
    /// To the end of the connection.
    End,
}

/// A body as it comes, piece by piece.
#[derive(Debug)]
pub struct Body {
    at: At,
    /// So many bytes more may come.
    room: usize,
}

/// Where in a body its reader is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum At {
    /// So many bytes of data come next, and then the end.
    Data(usize),
    /// A chunk's size.
    Size,
    /// So many bytes of a chunk's data.
    Chunk(usize),
    /// The end of a chunk's data.
    ChunkEnd,
    Trailers,
    /// Data to the end of the connection.
    Rest,
    Done,
}

impl Body {
    /// The body of a message with this head.
    pub fn of(head: &Head) -> Self {
        let at = match head.framing {
            Framing::Length(0) => At::Done,
            Framing::Length(n) => At::Data(n),
            Framing::Chunked => At::Size,
            Framing::End => At::Rest,
        };
        Self { at, room: LONG }
    }

    /// None, as an answer to HEAD has.
    pub fn none() -> Self {
        Self { at: At::Done, room: 0 }
    }

    /// It has come to its end.
    pub fn done(&self) -> bool {
        self.at == At::Done
    }

    /// The bytes of a message again, as far as they were taken: its head, and what was taken of this body of it.
    pub fn again(&self, head: &Head, taken: &[u8]) -> BytesMut {
        let mut bytes = BytesMut::from(&head.bytes[..]);
        let chunk = |size: usize| format!("{size:x}\r\n");
        let (before, after) = match self.at {
            At::Size if !taken.is_empty() => (chunk(taken.len()), "\r\n"),
            At::Trailers if !taken.is_empty() => (chunk(taken.len()), "\r\n0\r\n"),
            At::Trailers => (String::new(), "0\r\n"),
            At::Chunk(more) => (chunk(taken.len() + more), ""),
            At::ChunkEnd => (chunk(taken.len()), ""),
            At::Size | At::Data(_) | At::Rest | At::Done => (String::new(), ""),
        };
        [before.as_bytes(), taken, after.as_bytes()].iter().for_each(|part| bytes.extend_from_slice(part));
        bytes
    }

    /// The connection has ended; whether the body has, too.
    pub fn ended(&mut self) -> bool {
        if self.at == At::Rest {
            self.at = At::Done;
        }
        self.done()
    }

    /// Takes data off the front of the buffer, as much as there is up to some bytes; none where it is done or more must
    /// come first.
    pub fn take(&mut self, buffer: &mut BytesMut, most: usize) -> Result<Option<Bytes>, Bad> {
        loop {
            let n = match self.at {
                At::Done => return Ok(None),
                At::Data(n) | At::Chunk(n) => n.min(buffer.len()).min(most),
                At::Rest => buffer.len().min(most),
                At::Size => {
                    let (start, size) = match httparse::parse_chunk_size(buffer) {
                        Ok(httparse::Status::Complete(found)) => found,
                        Ok(httparse::Status::Partial) if buffer.len() <= HEAD => return Ok(None),
                        _ => return Err(Bad::Malformed),
                    };
                    let size = usize::try_from(size).ok().filter(|size| *size <= self.room);
                    let size = size.ok_or(Bad::BodyTooLarge)?;
                    drop(buffer.split_to(start));
                    self.at = if size == 0 { At::Trailers } else { At::Chunk(size) };
                    continue;
                }
                At::ChunkEnd => {
                    match buffer.get(..2) {
                        Some(b"\r\n") => drop(buffer.split_to(2)),
                        Some(_) => return Err(Bad::Malformed),
                        None => return Ok(None),
                    }
                    self.at = At::Size;
                    continue;
                }
                At::Trailers => {
                    let Some(end) = end_of_trailers(buffer)? else { return Ok(None) };
                    drop(buffer.split_to(end));
                    self.at = At::Done;
                    return Ok(None);
                }
            };
            if n == 0 {
                return Ok(None);
            }
            self.room = self.room.checked_sub(n).ok_or(Bad::BodyTooLarge)?;
            self.at = match self.at {
                At::Data(all) if all == n => At::Done,
                At::Data(all) => At::Data(all - n),
                At::Chunk(all) if all == n => At::ChunkEnd,
                At::Chunk(all) => At::Chunk(all - n),
                other => other,
            };
            return Ok(Some(buffer.split_to(n).freeze()));
        }
    }
}

/// A whole message.
#[derive(Debug, Clone)]
pub struct Message {
    /// Its head.
    pub head: Head,
    /// Its body, without framing.
    pub body: Bytes,
}

impl Head {
    /// The first value of a header.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.all(name).next()
    }

    fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let named = move |(n, _): &&(Range<usize>, Range<usize>)| {
            self.bytes[n.clone()].eq_ignore_ascii_case(name.as_bytes())
        };
        self.fields.iter().filter(named).map(|(_, value)| &self.bytes[value.clone()])
    }

    /// The value of a header that stands once at the most.
    pub fn only<'a>(&'a self, name: &'a str) -> Result<Option<&'a [u8]>, Bad> {
        let mut all = self.all(name);
        match (all.next(), all.next()) {
            (_, Some(_)) => Err(Bad::Malformed),
            (value, None) => Ok(value),
        }
    }

    /// Method and target of a request; empty for a response.
    pub fn request_line(&self) -> (&[u8], &[u8]) {
        match &self.start {
            Start::Request { method, target } => (&self.bytes[method.clone()], &self.bytes[target.clone()]),
            Start::Response { .. } => (b"", b""),
        }
    }

    /// The status of a response; 0 for a request.
    pub fn status(&self) -> u16 {
        if let Start::Response { status } = self.start { status } else { 0 }
    }

    /// How long the body is, where that is told ahead.
    pub fn length(&self) -> Option<usize> {
        if let Framing::Length(n) = self.framing { Some(n) } else { None }
    }

    /// Whether the sender waits for a sign that its body is wanted.
    pub fn expects(&self) -> bool {
        !self.old && self.get("expect").is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
    }

    /// Whether the body comes in chunks.
    pub fn chunked(&self) -> bool {
        self.framing == Framing::Chunked
    }

    fn frame(&mut self, kind: Kind, old: bool) -> Result<(), Bad> {
        let has = |value: Option<&[u8]>, word: &str| {
            let text = value.unwrap_or_default();
            text.split(|b| *b == b',').any(|item| item.trim_ascii().eq_ignore_ascii_case(word.as_bytes()))
        };
        let connection = self.get("connection");
        let close = has(connection, "close") || old && !has(connection, "keep-alive");
        let (length, encoding) = (self.only("content-length")?, self.only("transfer-encoding")?);
        let response = kind != Kind::Request;
        let bodiless = response && matches!(self.status(), 100..200 | 204 | 304);
        let framing = match (length, encoding) {
            _ if bodiless => Framing::Length(0),
            // Prevents a message that two readers would cut in different places.
            (Some(_), Some(_)) => return Err(Bad::Malformed),
            (None, Some(value)) if value.eq_ignore_ascii_case(b"chunked") && !old => Framing::Chunked,
            (None, Some(_)) => return Err(Bad::Malformed),
            (Some(digits), None) => {
                if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                    return Err(Bad::Malformed);
                }
                let text = std::str::from_utf8(digits).map_err(|_| Bad::Malformed)?;
                Framing::Length(text.parse().map_err(|_| Bad::BodyTooLarge)?)
            }
            (None, None) if response => Framing::End,
            (None, None) => Framing::Length(0),
        };
        (self.framing, self.close, self.old) = (framing, close || framing == Framing::End, old);
        match framing {
            Framing::Length(n) if n > kind.longest() => Err(Bad::BodyTooLarge),
            _ => Ok(()),
        }
    }
}

/// Reads the head at the front of the buffer, without taking it off: the head and its length.
pub fn peek_head(buffer: &[u8], kind: Kind) -> Result<Option<(Head, usize)>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    let here = |part: &[u8]| {
        let at = part.as_ptr() as usize - buffer.as_ptr() as usize;
        at..at + part.len()
    };
    let parsed = |status: httparse::Result<usize>| match status {
        Ok(httparse::Status::Complete(n)) if n <= HEAD => Ok(Some(n)),
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Bad::HeadTooLarge),
        Err(_) => Err(Bad::Malformed),
    };
    let (start, version, fields, length) = match kind {
        Kind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let Some(n) = parsed(request.parse(buffer))? else { return Ok(None) };
            let (Some(method), Some(target)) = (request.method, request.path) else {
                return Err(Bad::Malformed);
            };
            let start = Start::Request { method: here(method.as_bytes()), target: here(target.as_bytes()) };
            (start, request.version, request.headers, n)
        }
        Kind::Response | Kind::ListResponse => {
            let mut response = httparse::Response::new(&mut headers);
            let Some(n) = parsed(response.parse(buffer))? else { return Ok(None) };
            (Start::Response { status: response.code.unwrap_or(0) }, response.version, response.headers, n)
        }
    };
    let fields = fields.iter().map(|h| (here(h.name.as_bytes()), here(h.value))).collect();
    let bytes = Bytes::copy_from_slice(&buffer[..length]);
    let mut head = Head { bytes, start, fields, framing: Framing::End, close: false, old: false };
    head.frame(kind, version != Some(1))?;
    Ok(Some((head, length)))
}

/// A chunk at the front of the buffer: its data and its whole length; an empty one is the last.
pub fn peek_chunk(buffer: &[u8], most: usize) -> Result<Option<(Range<usize>, usize)>, Bad> {
    let (start, size) = match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete(found)) => found,
        Ok(httparse::Status::Partial) if buffer.len() <= HEAD => return Ok(None),
        _ => return Err(Bad::Malformed),
    };
    let size = usize::try_from(size).ok().filter(|size| *size <= most).ok_or(Bad::BodyTooLarge)?;
    if size == 0 {
        return end_of_trailers(&buffer[start..]).map(|end| end.map(|end| (start..start, start + end)));
    }
    match buffer.get(start + size..start + size + 2) {
        Some(b"\r\n") => Ok(Some((start..start + size, start + size + 2))),
        Some(_) => Err(Bad::Malformed),
        None => Ok(None),
    }
}

/// Trailers are read and dropped.
fn end_of_trailers(rest: &[u8]) -> Result<Option<usize>, Bad> {
    let mut headers = [httparse::EMPTY_HEADER; HEADERS];
    match httparse::parse_headers(rest, &mut headers) {
        Ok(httparse::Status::Complete((n, _))) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if rest.len() <= HEAD => Ok(None),
        _ => Err(Bad::Malformed),
    }
}

fn chunked_body(mut rest: &[u8], most: usize) -> Result<Option<(Bytes, usize)>, Bad> {
    let (mut body, mut used) = (BytesMut::new(), 0);
    while let Some((data, length)) = peek_chunk(rest, most)? {
        used += length;
        if data.is_empty() {
            return Ok(Some((body.freeze(), used)));
        }
        body.extend_from_slice(&rest[data]);
        if body.len() > most {
            return Err(Bad::BodyTooLarge);
        }
        rest = &rest[length..];
    }
    Ok(None)
}

/// Takes a whole message off the front of the buffer; none where more must come. `ended` tells that nothing
/// will.
pub fn take_message(buffer: &mut BytesMut, kind: Kind, ended: bool) -> Result<Option<Message>, Bad> {
    let (head, length) = loop {
        match peek_head(buffer, kind)? {
            None => return Ok(None),
            // What a server says ahead of its answer is no answer; 101 would leave HTTP, which nobody asked for.
            Some((head, length)) if matches!(head.status(), 100 | 102..200) => drop(buffer.split_to(length)),
            Some(found) => break found,
        }
    };
    let body = match head.framing {
        Framing::Length(n) if n > kind.most() => return Err(Bad::BodyTooLarge),
        Framing::Length(n) if buffer.len() >= length + n => {
            let mut whole = buffer.split_to(length + n);
            whole.split_off(length).freeze()
        }
        Framing::End if ended => {
            let mut whole = buffer.split();
            whole.split_off(length).freeze()
        }
        Framing::Chunked => match chunked_body(&buffer[length..], kind.most())? {
            Some((body, used)) => {
                drop(buffer.split_to(length + used));
                body
            }
            None => return more(buffer, kind),
        },
        Framing::Length(_) | Framing::End => return more(buffer, kind),
    };
    if body.len() > kind.most() {
        return Err(Bad::BodyTooLarge);
    }
    Ok(Some(Message { head, body }))
}

fn more(buffer: &BytesMut, kind: Kind) -> Result<Option<Message>, Bad> {
    if buffer.len() > MESSAGE - BODY + kind.most() { Err(Bad::BodyTooLarge) } else { Ok(None) }
}
