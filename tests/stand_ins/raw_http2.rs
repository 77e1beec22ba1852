//! Frames of HTTP/2 and heads of checks, byte for byte, for callers that no library would be.

use bytes::{BufMut, BytesMut};

/// The flag of the last frame of a stream.
pub const END_STREAM: u8 = 1;
const END_HEADERS: u8 = 4;
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const SETTINGS: u8 = 4;
const INITIAL_WINDOW_SIZE: u16 = 4;
/// The window of a stream unless its client says otherwise, in bytes.
pub const DEFAULT_WINDOW: u32 = 65_535;
/// Values of a length octet of HPACK from here on are followed by further octets.
const MAX_SHORT_LENGTH: usize = 127;

/// The preface of a client and its settings, in which a stream may be sent `window` bytes before its client allows more.
pub fn opening(window: u32) -> Vec<u8> {
    let mut settings = INITIAL_WINDOW_SIZE.to_be_bytes().to_vec();
    settings.extend(window.to_be_bytes());
    let mut bytes = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".to_vec();
    bytes.extend(frame(SETTINGS, 0, 0, &settings));
    bytes
}

fn frame(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> BytesMut {
    let mut bytes = BytesMut::new();
    bytes.put_uint(payload.len() as u64, 3);
    bytes.put_slice(&[kind, flags]);
    bytes.put_u32(stream);
    bytes.put_slice(payload);
    bytes
}

/// A frame that opens a stream with a whole head, and goes on unless the flags say otherwise.
pub fn head_frame(stream: u32, head: &[u8]) -> BytesMut {
    frame(HEADERS, END_HEADERS, stream, head)
}

/// A frame with bytes of a stream's body.
pub fn data_frame(stream: u32, flags: u8, body: &[u8]) -> BytesMut {
    frame(DATA, flags, stream, body)
}

fn put_text(head: &mut Vec<u8>, text: &[u8]) {
    if text.len() < MAX_SHORT_LENGTH {
        head.push(text.len() as u8);
    } else {
        head.push(MAX_SHORT_LENGTH as u8);
        let mut rest = text.len() - MAX_SHORT_LENGTH;
        while rest >= 0x80 {
            head.push(rest as u8 | 0x80);
            rest >>= 7;
        }
        head.push(rest as u8);
    }
    head.extend_from_slice(text);
}

/// Appends a field to a head, as a literal that is not indexed.
pub fn put_field(head: &mut Vec<u8>, name: &str, value: &[u8]) {
    head.push(0);
    put_text(head, name.as_bytes());
    put_text(head, value);
}

/// The head of a check.
pub fn check_head() -> Vec<u8> {
    // `:method: POST` and `:scheme: http` of the static table.
    let mut head = vec![0x83, 0x86];
    put_field(&mut head, ":path", weldhub::fronts::ext_authz::proto::CHECK.as_bytes());
    put_field(&mut head, ":authority", b"authz");
    put_field(&mut head, "content-type", b"application/grpc");
    put_field(&mut head, "te", b"trailers");
    put_field(&mut head, "grpc-timeout", b"1000m");
    head
}
