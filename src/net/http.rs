//! Parser of HTTP/1.0 and HTTP/1.1 messages, which takes them off the front of a buffer. Heads are parsed by
//! `httparse`.

use bytes::buf::Chain;
use bytes::{Buf, Bytes, BytesMut};
use std::ops::Range;

/// The maximum size of a body that is buffered whole, in bytes. Larger ones are forwarded in pieces.
pub const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;
/// The maximum size of a body that is forwarded in pieces, in bytes: 33 MiB, so that 32 MB fit whether they
/// are counted in powers of 2 or of 10.
pub const MAX_BODY_BYTES: usize = 33 << 20;
/// The maximum size of a body that holds a list of backends, in bytes: enough for some thousands of entries.
pub const MAX_LIST_BYTES: usize = 4 << 20;
/// The maximum size of a head, in bytes. It also limits the size line and the trailers of a chunked body.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum size of a message that is buffered while it is incomplete, in bytes. It leaves 4 KiB to the
/// framing of chunks.
pub const MAX_BUFFERED_MESSAGE_BYTES: usize = MAX_BUFFERED_BODY_BYTES + MAX_HEAD_BYTES + 4 * 1024;
/// The maximum number of header fields, and of trailer fields.
const MAX_HEADERS: usize = 64;

/// The reason why a message is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ParseError {
    /// The message is not valid HTTP/1, or its framing is ambiguous.
    Malformed,
    /// The body, with the framing of its chunks, exceeds the limit.
    BodyTooLarge,
    /// The head exceeds [`MAX_HEAD_BYTES`] or has too many fields.
    HeadTooLarge,
}

/// The first line of a message. Ranges refer to [`Head::bytes`].
#[derive(Debug, Clone, PartialEq)]
enum StartLine {
    Request { method: Range<usize>, target: Range<usize> },
    Response { status: u16 },
}

/// The kind of message that a parser expects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MessageKind {
    /// A request.
    Request,
    /// A response to `GET` or `POST`.
    Response,
    /// A response that may hold a list of backends, with a body of up to [`MAX_LIST_BYTES`].
    ListResponse,
}

impl MessageKind {
    /// Returns the maximum size of a body that is buffered whole, in bytes.
    fn max_buffered_body_bytes(self) -> usize {
        if self == Self::ListResponse { MAX_LIST_BYTES } else { MAX_BUFFERED_BODY_BYTES }
    }

    /// Returns the maximum size of any body, in bytes.
    fn max_body_bytes(self) -> usize {
        if self == Self::ListResponse { MAX_LIST_BYTES } else { MAX_BODY_BYTES }
    }
}

/// A parsed head, with the framing of the body.
#[derive(Debug, Clone)]
pub struct Head {
    /// The head as it was received, up to and with the empty line.
    bytes: Bytes,
    start_line: StartLine,
    /// The ranges of the name and the value of each header field in `bytes`.
    fields: Vec<(Range<usize>, Range<usize>)>,
    framing: Framing,
    /// Whether the connection must close after this message.
    pub close: bool,
    /// Whether the version is HTTP/1.0.
    pub is_http_1_0: bool,
}

/// How the end of a body is found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Framing {
    /// The number of bytes of the body.
    Length(usize),
    /// Chunked transfer coding.
    Chunked,
    /// The body lasts until the connection closes.
    UntilClose,
}

/// Decodes a body incrementally.
#[derive(Debug)]
pub struct BodyDecoder {
    state: DecoderState,
    /// The number of bytes of data that the body may still have within [`MAX_BODY_BYTES`].
    remaining_bytes: usize,
}

/// The part of a body that a decoder expects next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DecoderState {
    /// The number of bytes left of a body of known length.
    Sized(usize),
    /// The size line of a chunk.
    ChunkSize,
    /// The number of bytes left of a chunk's data.
    ChunkData(usize),
    /// The line end after a chunk's data.
    ChunkEnd,
    /// The trailers after the last chunk.
    Trailers,
    /// Data until the connection closes.
    UntilClose,
    /// Nothing: the body is complete.
    Done,
}

impl BodyDecoder {
    /// Creates a decoder for the body of a message with this head.
    pub fn new(head: &Head) -> Self {
        let state = match head.framing {
            Framing::Length(0) => DecoderState::Done,
            Framing::Length(n) => DecoderState::Sized(n),
            Framing::Chunked => DecoderState::ChunkSize,
            Framing::UntilClose => DecoderState::UntilClose,
        };
        Self { state, remaining_bytes: MAX_BODY_BYTES }
    }

    /// Creates a decoder for a message without a body, such as a response to `HEAD`.
    pub fn empty() -> Self {
        Self { state: DecoderState::Done, remaining_bytes: 0 }
    }

    /// Returns whether the body is complete.
    pub fn is_done(&self) -> bool {
        self.state == DecoderState::Done
    }

    /// Encodes a partly decoded message again, so that another parser can start over and continue with the
    /// bytes that follow. `head` is the head of the message and `decoded` all data that this decoder has
    /// returned.
    pub fn reencode(&self, head: &Head, decoded: &[u8]) -> BytesMut {
        let mut bytes = BytesMut::from(&head.bytes[..]);
        let size_line = |size: usize| format!("{size:x}\r\n");
        let (before, after) = match self.state {
            DecoderState::ChunkSize if !decoded.is_empty() => (size_line(decoded.len()), "\r\n"),
            DecoderState::Trailers if !decoded.is_empty() => (size_line(decoded.len()), "\r\n0\r\n"),
            DecoderState::Trailers => (String::new(), "0\r\n"),
            DecoderState::ChunkData(left) => (size_line(decoded.len() + left), ""),
            DecoderState::ChunkEnd => (size_line(decoded.len()), ""),
            DecoderState::ChunkSize
            | DecoderState::Sized(_)
            | DecoderState::UntilClose
            | DecoderState::Done => (String::new(), ""),
        };
        [before.as_bytes(), decoded, after.as_bytes()].iter().for_each(|part| bytes.extend_from_slice(part));
        bytes
    }

    /// Handles the end of the connection. Returns whether the body is complete.
    pub fn finish_at_eof(&mut self) -> bool {
        if self.state == DecoderState::UntilClose {
            self.state = DecoderState::Done;
        }
        self.is_done()
    }

    /// Returns how many bytes of data follow before any framing, or `None` if framing comes next or the length is not
    /// known.
    pub fn unframed_bytes(&self) -> Option<usize> {
        match self.state {
            DecoderState::Sized(n) => Some(n),
            _ => None,
        }
    }

    /// Records that `bytes` bytes of data, at most [`unframed_bytes`](Self::unframed_bytes), were received without
    /// passing through a buffer.
    pub fn skip_unframed(&mut self, bytes: usize) {
        if let DecoderState::Sized(n) = self.state {
            let left = n.saturating_sub(bytes);
            self.remaining_bytes = self.remaining_bytes.saturating_sub(bytes);
            self.state = if left == 0 { DecoderState::Done } else { DecoderState::Sized(left) };
        }
    }

    /// Takes up to `max_bytes` of data off the front of the buffer. Returns `None` if the body is complete or
    /// more bytes must be received first.
    pub fn take(&mut self, buffer: &mut BytesMut, max_bytes: usize) -> Result<Option<Bytes>, ParseError> {
        loop {
            let n = match self.state {
                DecoderState::Done => return Ok(None),
                DecoderState::Sized(n) | DecoderState::ChunkData(n) => n.min(buffer.len()).min(max_bytes),
                DecoderState::UntilClose => buffer.len().min(max_bytes),
                DecoderState::ChunkSize => {
                    let (start, size) = match httparse::parse_chunk_size(buffer) {
                        Ok(httparse::Status::Complete(parsed)) => parsed,
                        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
                        _ => return Err(ParseError::Malformed),
                    };
                    let size = usize::try_from(size).ok().filter(|size| *size <= self.remaining_bytes);
                    let size = size.ok_or(ParseError::BodyTooLarge)?;
                    buffer.advance(start);
                    self.state =
                        if size == 0 { DecoderState::Trailers } else { DecoderState::ChunkData(size) };
                    continue;
                }
                DecoderState::ChunkEnd => {
                    match buffer.get(..2) {
                        Some(b"\r\n") => buffer.advance(2),
                        Some(_) => return Err(ParseError::Malformed),
                        None => return Ok(None),
                    }
                    self.state = DecoderState::ChunkSize;
                    continue;
                }
                DecoderState::Trailers => {
                    let Some(length) = trailers_length(buffer)? else { return Ok(None) };
                    drop(buffer.split_to(length));
                    self.state = DecoderState::Done;
                    return Ok(None);
                }
            };
            if n == 0 {
                return Ok(None);
            }
            self.remaining_bytes = self.remaining_bytes.checked_sub(n).ok_or(ParseError::BodyTooLarge)?;
            self.state = match self.state {
                DecoderState::Sized(left) if left == n => DecoderState::Done,
                DecoderState::Sized(left) => DecoderState::Sized(left - n),
                DecoderState::ChunkData(left) if left == n => DecoderState::ChunkEnd,
                DecoderState::ChunkData(left) => DecoderState::ChunkData(left - n),
                other => other,
            };
            return Ok(Some(buffer.split_to(n).freeze()));
        }
    }

    /// Takes data like [`take`](Self::take), but joins that of small chunks to one piece: the sender's framing must not
    /// decide how many pieces are handled.
    pub fn take_joined(
        &mut self,
        buffer: &mut BytesMut,
        max_bytes: usize,
    ) -> Result<Option<Bytes>, ParseError> {
        let Some(first) = self.take(buffer, max_bytes)? else { return Ok(None) };
        let mut joined: Option<BytesMut> = None;
        let mut length = first.len();
        while length < max_bytes
            && self.state == DecoderState::ChunkEnd
            && let Some(data) = self.take(buffer, max_bytes - length)?
        {
            let capacity = max_bytes.min(length + data.len() + buffer.len());
            joined.get_or_insert_with(|| copy_with_capacity(&first, capacity)).extend_from_slice(&data);
            length += data.len();
        }
        Ok(Some(joined.map_or(first, BytesMut::freeze)))
    }
}

fn copy_with_capacity(data: &[u8], capacity: usize) -> BytesMut {
    let mut copy = BytesMut::with_capacity(capacity);
    copy.extend_from_slice(data);
    copy
}

/// Returns `first` with `data` behind it, in an allocation of its own.
pub fn join(first: Bytes, data: &[u8]) -> Bytes {
    let length = first.len() + data.len();
    let mut joined = first.try_into_mut().unwrap_or_else(|first| copy_with_capacity(&first, length));
    joined.extend_from_slice(data);
    joined.freeze()
}

/// Data of a body with the framing around it.
pub type FramedData = Chain<Chain<Bytes, Bytes>, &'static [u8]>;

/// Returns data of a body as it is written, as a chunk if `chunked`. Empty data stays empty, since an empty chunk would
/// end the body.
pub fn frame_data(data: Bytes, chunked: bool) -> FramedData {
    if !chunked || data.is_empty() {
        return Bytes::new().chain(data).chain(b"");
    }
    let size_line = Bytes::from(format!("{:x}\r\n", data.len()));
    size_line.chain(data).chain(b"\r\n")
}

/// A complete message.
#[derive(Debug, Clone)]
pub struct Message {
    /// The head.
    pub head: Head,
    /// The body, without its framing.
    pub body: Bytes,
}

impl Head {
    /// Returns the first value of a header, or `None` if the header is absent. Names are case-insensitive.
    pub fn get<'a>(&'a self, name: &'a str) -> Option<&'a [u8]> {
        self.values(name).next()
    }

    /// Returns all values of a header.
    fn values<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a [u8]> {
        let matches = move |(field, _): &&(Range<usize>, Range<usize>)| {
            self.bytes[field.clone()].eq_ignore_ascii_case(name.as_bytes())
        };
        self.fields.iter().filter(matches).map(|(_, value)| &self.bytes[value.clone()])
    }

    /// Returns the value of a header, or `None` if it is absent. Fails if the header occurs more than once.
    pub fn get_unique<'a>(&'a self, name: &'a str) -> Result<Option<&'a [u8]>, ParseError> {
        let mut values = self.values(name);
        match (values.next(), values.next()) {
            (_, Some(_)) => Err(ParseError::Malformed),
            (value, None) => Ok(value),
        }
    }

    /// Returns the method and the target of a request. Both are empty for a response.
    pub fn request_line(&self) -> (&[u8], &[u8]) {
        match &self.start_line {
            StartLine::Request { method, target } => {
                (&self.bytes[method.clone()], &self.bytes[target.clone()])
            }
            StartLine::Response { .. } => (b"", b""),
        }
    }

    /// Returns the status code of a response, or 0 for a request.
    pub fn status(&self) -> u16 {
        if let StartLine::Response { status } = self.start_line { status } else { 0 }
    }

    /// Returns the length of the body in bytes, or `None` if the head does not determine it.
    pub fn body_length(&self) -> Option<usize> {
        if let Framing::Length(n) = self.framing { Some(n) } else { None }
    }

    /// Returns whether the client waits for `100 Continue` before it sends the body.
    pub fn expects_continue(&self) -> bool {
        !self.is_http_1_0
            && self.get("expect").is_some_and(|value| value.eq_ignore_ascii_case(b"100-continue"))
    }

    /// Returns whether the body has chunked transfer coding.
    pub fn is_chunked(&self) -> bool {
        self.framing == Framing::Chunked
    }

    /// Sets the framing of the body, the version, and whether the connection must close.
    fn set_framing(&mut self, kind: MessageKind, is_http_1_0: bool) -> Result<(), ParseError> {
        let has_token = |value: Option<&[u8]>, token: &str| {
            let text = value.unwrap_or_default();
            text.split(|b| *b == b',').any(|item| item.trim_ascii().eq_ignore_ascii_case(token.as_bytes()))
        };
        let connection = self.get("connection");
        let close = has_token(connection, "close") || is_http_1_0 && !has_token(connection, "keep-alive");
        let (length, encoding) = (self.get_unique("content-length")?, self.get_unique("transfer-encoding")?);
        let response = kind != MessageKind::Request;
        let bodiless = response && matches!(self.status(), 100..200 | 204 | 304);
        let framing = match (length, encoding) {
            _ if bodiless => Framing::Length(0),
            // Prevents request smuggling: another parser could find the end of such a message in a different
            // place.
            (Some(_), Some(_)) => return Err(ParseError::Malformed),
            (None, Some(value)) if value.eq_ignore_ascii_case(b"chunked") && !is_http_1_0 => Framing::Chunked,
            (None, Some(_)) => return Err(ParseError::Malformed),
            (Some(digits), None) => {
                if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
                    return Err(ParseError::Malformed);
                }
                let text = std::str::from_utf8(digits).map_err(|_| ParseError::Malformed)?;
                Framing::Length(text.parse().map_err(|_| ParseError::BodyTooLarge)?)
            }
            (None, None) if response => Framing::UntilClose,
            (None, None) => Framing::Length(0),
        };
        (self.framing, self.close, self.is_http_1_0) =
            (framing, close || framing == Framing::UntilClose, is_http_1_0);
        match framing {
            Framing::Length(n) if n > kind.max_body_bytes() => Err(ParseError::BodyTooLarge),
            _ => Ok(()),
        }
    }
}

/// Parses the head at the front of the buffer without removing it. Returns the head and its length in bytes,
/// or `None` if it is incomplete.
pub fn peek_head(buffer: &[u8], kind: MessageKind) -> Result<Option<(Head, usize)>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let range_of = |part: &[u8]| {
        let offset = part.as_ptr() as usize - buffer.as_ptr() as usize;
        offset..offset + part.len()
    };
    let head_length = |status: httparse::Result<usize>| match status {
        Ok(httparse::Status::Complete(n)) if n <= MAX_HEAD_BYTES => Ok(Some(n)),
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(ParseError::HeadTooLarge),
        Err(_) => Err(ParseError::Malformed),
    };
    let (start_line, version, fields, length) = match kind {
        MessageKind::Request => {
            let mut request = httparse::Request::new(&mut headers);
            let Some(n) = head_length(request.parse(buffer))? else { return Ok(None) };
            let (Some(method), Some(target)) = (request.method, request.path) else {
                return Err(ParseError::Malformed);
            };
            let start_line = StartLine::Request {
                method: range_of(method.as_bytes()),
                target: range_of(target.as_bytes()),
            };
            (start_line, request.version, request.headers, n)
        }
        MessageKind::Response | MessageKind::ListResponse => {
            let mut response = httparse::Response::new(&mut headers);
            let Some(n) = head_length(response.parse(buffer))? else { return Ok(None) };
            (
                StartLine::Response { status: response.code.unwrap_or(0) },
                response.version,
                response.headers,
                n,
            )
        }
    };
    let fields =
        fields.iter().map(|field| (range_of(field.name.as_bytes()), range_of(field.value))).collect();
    let bytes = Bytes::copy_from_slice(&buffer[..length]);
    let mut head =
        Head { bytes, start_line, fields, framing: Framing::UntilClose, close: false, is_http_1_0: false };
    head.set_framing(kind, version != Some(1))?;
    Ok(Some((head, length)))
}

/// Parses the chunk at the front of the buffer without removing it. Returns the range of its data and its
/// length with the framing, both in bytes, or `None` if it is incomplete. The last chunk is empty and
/// includes the trailers. Fails if the data is larger than `max_bytes`.
pub fn peek_chunk(buffer: &[u8], max_bytes: usize) -> Result<Option<(Range<usize>, usize)>, ParseError> {
    let (start, size) = match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => return Ok(None),
        _ => return Err(ParseError::Malformed),
    };
    let size =
        usize::try_from(size).ok().filter(|size| *size <= max_bytes).ok_or(ParseError::BodyTooLarge)?;
    if size == 0 {
        return trailers_length(&buffer[start..])
            .map(|length| length.map(|length| (start..start, start + length)));
    }
    match buffer.get(start + size..start + size + 2) {
        Some(b"\r\n") => Ok(Some((start..start + size, start + size + 2))),
        Some(_) => Err(ParseError::Malformed),
        None => Ok(None),
    }
}

/// Returns the length in bytes of the trailers at the front of the buffer, or `None` if they are incomplete.
/// Their content is ignored.
fn trailers_length(buffer: &[u8]) -> Result<Option<usize>, ParseError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(buffer, &mut headers) {
        Ok(httparse::Status::Complete((n, _))) => Ok(Some(n)),
        Ok(httparse::Status::Partial) if buffer.len() <= MAX_HEAD_BYTES => Ok(None),
        _ => Err(ParseError::Malformed),
    }
}

/// Decodes the chunked body at the front of the buffer. Returns its data and its length with the framing in
/// bytes, or `None` if it is incomplete.
fn decode_chunked_body(mut buffer: &[u8], max_bytes: usize) -> Result<Option<(Bytes, usize)>, ParseError> {
    let (mut body, mut total_length) = (BytesMut::new(), 0);
    while let Some((data, length)) = peek_chunk(buffer, max_bytes)? {
        total_length += length;
        if data.is_empty() {
            return Ok(Some((body.freeze(), total_length)));
        }
        body.extend_from_slice(&buffer[data]);
        if body.len() > max_bytes {
            return Err(ParseError::BodyTooLarge);
        }
        buffer = &buffer[length..];
    }
    Ok(None)
}

/// Takes a complete message off the front of the buffer. Returns `None` if it is incomplete. `at_eof` says
/// that the connection has ended, so that no more bytes follow.
pub fn take_message(
    buffer: &mut BytesMut,
    kind: MessageKind,
    at_eof: bool,
) -> Result<Option<Message>, ParseError> {
    let (head, length) = loop {
        match peek_head(buffer, kind)? {
            None => return Ok(None),
            // Interim responses are skipped. 101 is not one of them: it would switch protocols, which is
            // never requested.
            Some((head, length)) if matches!(head.status(), 100 | 102..200) => drop(buffer.split_to(length)),
            Some(parsed) => break parsed,
        }
    };
    let body = match head.framing {
        Framing::Length(n) if n > kind.max_buffered_body_bytes() => return Err(ParseError::BodyTooLarge),
        Framing::Length(n) if buffer.len() >= length + n => {
            let mut message = buffer.split_to(length + n);
            message.split_off(length).freeze()
        }
        Framing::UntilClose if at_eof => {
            let mut message = buffer.split();
            message.split_off(length).freeze()
        }
        Framing::Chunked => match decode_chunked_body(&buffer[length..], kind.max_buffered_body_bytes())? {
            Some((body, body_length)) => {
                drop(buffer.split_to(length + body_length));
                body
            }
            None => return check_incomplete(buffer, kind),
        },
        Framing::Length(_) | Framing::UntilClose => return check_incomplete(buffer, kind),
    };
    if body.len() > kind.max_buffered_body_bytes() {
        return Err(ParseError::BodyTooLarge);
    }
    Ok(Some(Message { head, body }))
}

/// Returns `None` for an incomplete message, or an error if the buffer already exceeds the limit.
fn check_incomplete(buffer: &BytesMut, kind: MessageKind) -> Result<Option<Message>, ParseError> {
    if buffer.len() > MAX_BUFFERED_MESSAGE_BYTES - MAX_BUFFERED_BODY_BYTES + kind.max_buffered_body_bytes() {
        Err(ParseError::BodyTooLarge)
    } else {
        Ok(None)
    }
}
