//! The little of HTTP/2 and gRPC that a caller and an authoriser of `envoy.service.auth.v3.Authorization/Check` need.

use crate::common::*;
use std::collections::HashMap;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

const DATA: u8 = 0;
const HEADERS: u8 = 1;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const GOAWAY: u8 = 7;
const WINDOW_UPDATE: u8 = 8;
const END_STREAM: u8 = 1;
const ACK: u8 = 1;
const END_HEADERS: u8 = 4;
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";

struct Frame {
    kind: u8,
    flags: u8,
    stream: u32,
    payload: Vec<u8>,
}

fn encode(kind: u8, flags: u8, stream: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend_from_slice(&[kind, flags]);
    bytes.extend_from_slice(&stream.to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

fn read_frame(stream: &mut TcpStream) -> std::io::Result<Frame> {
    let mut head = [0; 9];
    stream.read_exact(&mut head)?;
    let length = u32::from_be_bytes([0, head[0], head[1], head[2]]) as usize;
    let mut payload = vec![0; length];
    stream.read_exact(&mut payload)?;
    let id = u32::from_be_bytes([head[5] & 0x7f, head[6], head[7], head[8]]);
    Ok(Frame { kind: head[3], flags: head[4], stream: id, payload })
}

/// A header field as a literal without indexing: `index` is its name's in the static table, or 0.
fn field(out: &mut Vec<u8>, index: u8, name: &str, value: &str) {
    match index {
        0 => {
            out.extend_from_slice(&[0, name.len() as u8]);
            out.extend_from_slice(name.as_bytes());
        }
        1..15 => out.push(index),
        _ => out.extend_from_slice(&[15, index - 15]),
    }
    out.push(value.len() as u8);
    out.extend_from_slice(value.as_bytes());
}

/// A gRPC message with its prefix.
fn message(payload: &[u8]) -> Vec<u8> {
    let mut bytes = vec![0];
    bytes.extend_from_slice(&(payload.len() as u32).to_be_bytes());
    bytes.extend_from_slice(payload);
    bytes
}

/// A field of a protobuf message that holds bytes.
fn proto(number: u8, value: &[u8]) -> Vec<u8> {
    let mut bytes = vec![number << 3 | 2];
    let mut length = value.len();
    while length >= 0x80 {
        bytes.push(length as u8 | 0x80);
        length >>= 7;
    }
    bytes.push(length as u8);
    bytes.extend_from_slice(value);
    bytes
}

/// A `CheckRequest` for an HTTP request with this path and these headers.
pub fn check_request(path: &str, headers: &[(&str, &str)]) -> Vec<u8> {
    let mut http = proto(2, b"GET");
    for (name, value) in headers {
        http.extend(proto(3, &[proto(1, name.as_bytes()), proto(2, value.as_bytes())].concat()));
    }
    http.extend(proto(4, path.as_bytes()));
    // CheckRequest.attributes (1), AttributeContext.request (4), Request.http (2).
    proto(1, &proto(4, &proto(2, &http)))
}

/// What a caller sends first: the preface and its settings.
pub fn opening() -> Vec<u8> {
    [PREFACE, &encode(SETTINGS, 0, 0, b"")].concat()
}

/// The fields of a check's head.
fn check_head(timeout: u64) -> Vec<u8> {
    let mut head = vec![0x83, 0x86];
    field(&mut head, 4, ":path", "/envoy.service.auth.v3.Authorization/Check");
    field(&mut head, 1, ":authority", "authz");
    field(&mut head, 31, "content-type", "application/grpc");
    field(&mut head, 0, "te", "trailers");
    field(&mut head, 0, "grpc-timeout", &format!("{timeout}m"));
    head
}

/// The head of a check with a field of this many bytes, at least 255.
pub fn large_head(bytes: usize) -> Vec<u8> {
    let mut head = check_head(1000);
    head.extend_from_slice(b"\x00\x05x-pad\x7f");
    let mut rest = bytes - 127;
    while rest >= 0x80 {
        head.push(rest as u8 | 0x80);
        rest >>= 7;
    }
    head.push(rest as u8);
    head.resize(head.len() + bytes, b'a');
    head
}

/// A frame that opens a stream with a head, and does not end it.
pub fn head_frame(stream: u32, head: &[u8]) -> Vec<u8> {
    encode(HEADERS, END_HEADERS, stream, head)
}

/// An authoriser that allows every check after `work` milliseconds. The id of a check stands in its header `x-check`,
/// which begins with `check-`.
pub fn authoriser(listener: TcpListener, record: Record, work: u64) {
    serve(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let mut preface = [0; 24];
        if stream.read_exact(&mut preface).is_err() || preface != PREFACE {
            return;
        }
        let Ok(clone) = stream.try_clone() else { return };
        let writer = Arc::new(Mutex::new(clone));
        let write = |bytes: Vec<u8>| writer.lock().unwrap().write_all(&bytes).is_ok();
        write(encode(SETTINGS, 0, 0, b""));
        let mut bodies: HashMap<u32, Vec<u8>> = HashMap::new();
        while let Ok(frame) = read_frame(&mut stream) {
            match frame.kind {
                SETTINGS if frame.flags & ACK == 0 => drop(write(encode(SETTINGS, ACK, 0, b""))),
                PING if frame.flags & ACK == 0 => drop(write(encode(PING, ACK, 0, &frame.payload))),
                DATA => {
                    bodies.entry(frame.stream).or_default().extend_from_slice(&frame.payload);
                    let credit = (frame.payload.len() as u32).to_be_bytes();
                    if !frame.payload.is_empty() {
                        write(encode(WINDOW_UPDATE, 0, 0, &credit));
                    }
                    if frame.flags & END_STREAM != 0 {
                        let body = bodies.remove(&frame.stream).unwrap_or_default();
                        let text = String::from_utf8_lossy(&body).into_owned();
                        let id: String = text
                            .find("check-")
                            .map(|at| {
                                text[at..]
                                    .chars()
                                    .take_while(|c| c.is_ascii_alphanumeric() || *c == '-')
                                    .collect()
                            })
                            .unwrap_or_default();
                        record.line(format!("authoriser: {id} begun"));
                        let (writer, record, stream) = (writer.clone(), record.clone(), frame.stream);
                        thread::spawn(move || {
                            sleep(work);
                            let mut head = vec![0x88];
                            field(&mut head, 31, "content-type", "application/grpc");
                            let mut trailers = Vec::new();
                            field(&mut trailers, 0, "grpc-status", "0");
                            // CheckResponse.status (1) with code 0, and ok_response (3).
                            let allowed = message(&[proto(1, b""), proto(3, b"")].concat());
                            let bytes = [
                                encode(HEADERS, END_HEADERS, stream, &head),
                                encode(DATA, 0, stream, &allowed),
                                encode(HEADERS, END_HEADERS | END_STREAM, stream, &trailers),
                            ];
                            let written = writer.lock().unwrap().write_all(&bytes.concat()).is_ok();
                            record.line(format!("authoriser: {id} allowed, written: {written}"));
                        });
                    }
                }
                _ => {}
            }
        }
    });
}

/// How a check ended for its caller.
#[derive(Debug, Clone, PartialEq)]
pub enum Ended {
    /// An answer came: whether it holds a verdict.
    Answered(bool),
    /// The ingress said that it did not look at it: it may be sent again.
    NotLookedAt,
    /// The connection ended with no answer, though nothing had said that it would: whether anything at all came on it.
    Closed { silent: bool },
    /// No answer came in time: whether anything at all came on the connection.
    Late { silent: bool },
}

/// A caller's connection, on which one check at a time is sent.
pub struct Caller {
    stream: TcpStream,
    next_stream: u32,
    heard: bool,
}

impl Caller {
    pub fn connect(address: SocketAddr) -> std::io::Result<Self> {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.write_all(&opening())?;
        Ok(Self { stream, next_stream: 1, heard: false })
    }

    fn control(&mut self, frame: &Frame) {
        self.heard = true;
        let answer = match frame.kind {
            SETTINGS if frame.flags & ACK == 0 => encode(SETTINGS, ACK, 0, b""),
            PING if frame.flags & ACK == 0 => encode(PING, ACK, 0, &frame.payload),
            _ => return,
        };
        let _ = self.stream.write_all(&answer);
    }

    /// Sends a check whose caller waits for `timeout` milliseconds, and waits `slack` milliseconds longer for its answer.
    pub fn check(&mut self, request: &[u8], timeout: u64, slack: u64) -> Ended {
        let id = self.next_stream;
        self.next_stream += 2;
        let bytes = [
            encode(HEADERS, END_HEADERS, id, &check_head(timeout)),
            encode(DATA, END_STREAM, id, &message(request)),
        ];
        if self.stream.write_all(&bytes.concat()).is_err() {
            // Its last byte was not written.
            return Ended::NotLookedAt;
        }
        let until = Instant::now() + Duration::from_millis(timeout + slack);
        let (mut data, mut looked_at) = (Vec::new(), true);
        loop {
            let left = until.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return Ended::Late { silent: !self.heard };
            }
            let _ = self.stream.set_read_timeout(Some(left));
            let frame = match read_frame(&mut self.stream) {
                Ok(frame) => frame,
                Err(e)
                    if matches!(e.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut) =>
                {
                    return Ended::Late { silent: !self.heard };
                }
                Err(_) if !looked_at => return Ended::NotLookedAt,
                Err(_) => return Ended::Closed { silent: !self.heard },
            };
            self.control(&frame);
            match frame.kind {
                GOAWAY if frame.payload.len() >= 4 => {
                    let last = u32::from_be_bytes([
                        frame.payload[0] & 0x7f,
                        frame.payload[1],
                        frame.payload[2],
                        frame.payload[3],
                    ]);
                    if last < id {
                        looked_at = false;
                    }
                }
                RST_STREAM if frame.stream == id => {
                    let refused = frame.payload == [0, 0, 0, 7];
                    return if refused { Ended::NotLookedAt } else { Ended::Answered(false) };
                }
                DATA if frame.stream == id => {
                    data.extend_from_slice(&frame.payload);
                    if frame.flags & END_STREAM != 0 {
                        return Ended::Answered(data.len() >= 5);
                    }
                }
                HEADERS if frame.stream == id && frame.flags & END_STREAM != 0 => {
                    return Ended::Answered(data.len() >= 5);
                }
                _ => {}
            }
        }
    }
}
