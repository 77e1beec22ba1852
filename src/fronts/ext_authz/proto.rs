//! The messages of `envoy.service.auth.v3` as far as this program reads or writes them, written out by hand so
//! that a build needs no protobuf compiler. Checks and verdicts themselves pass on as bytes.

use bytes::{Buf, BufMut, Bytes};
use prost::{Enumeration, Message, Oneof};
use std::collections::BTreeMap;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// The method that is answered and called.
pub const CHECK: &str = "/envoy.service.auth.v3.Authorization/Check";

/// What a proxy asks.
#[derive(Clone, PartialEq, Message)]
pub struct CheckRequest {
    /// What is known of the request.
    #[prost(message, optional, tag = "1")]
    pub attributes: Option<AttributeContext>,
}

/// What a proxy knows of a request.
#[derive(Clone, PartialEq, Message)]
pub struct AttributeContext {
    /// The request.
    #[prost(message, optional, tag = "4")]
    pub request: Option<Request>,
    /// What the proxy's configuration adds.
    #[prost(btree_map = "string, string", tag = "10")]
    pub context_extensions: BTreeMap<String, String>,
}

/// A request of any protocol.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// The request where it is HTTP.
    #[prost(message, optional, tag = "2")]
    pub http: Option<HttpRequest>,
}

/// An HTTP request.
#[derive(Clone, PartialEq, Message)]
pub struct HttpRequest {
    /// Its method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// Its headers, by lower-case names.
    #[prost(btree_map = "string, string", tag = "3")]
    pub headers: BTreeMap<String, String>,
    /// Its path, with the query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// Its headers where the proxy sends them raw.
    #[prost(message, optional, tag = "13")]
    pub header_map: Option<HeaderMap>,
}

/// Headers in their order.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    /// The headers.
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

/// A header.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    /// Its name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Its value.
    #[prost(string, tag = "2")]
    pub value: String,
    /// Its value where it may be no text.
    #[prost(bytes = "bytes", tag = "3")]
    pub raw_value: Bytes,
}

/// The verdict on a check.
#[derive(Clone, PartialEq, Message)]
pub struct CheckResponse {
    /// `OK` allows, anything else denies.
    #[prost(message, optional, tag = "1")]
    pub status: Option<RpcStatus>,
    /// What the proxy does.
    #[prost(oneof = "HttpResponse", tags = "2, 3")]
    pub http_response: Option<HttpResponse>,
}

/// `google.rpc.Status`.
#[derive(Clone, PartialEq, Message)]
pub struct RpcStatus {
    /// A gRPC code.
    #[prost(int32, tag = "1")]
    pub code: i32,
    /// For people.
    #[prost(string, tag = "2")]
    pub message: String,
}

/// What the proxy does.
#[derive(Clone, PartialEq, Oneof)]
pub enum HttpResponse {
    /// It answers with this.
    #[prost(message, tag = "2")]
    Denied(DeniedHttpResponse),
    /// It lets the request pass.
    #[prost(message, tag = "3")]
    Ok(OkHttpResponse),
}

/// What the client is answered.
#[derive(Clone, PartialEq, Message)]
pub struct DeniedHttpResponse {
    /// The status.
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    /// Headers.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderValueOption>,
    /// The body.
    #[prost(string, tag = "3")]
    pub body: String,
}

/// What is changed of a request that passes: nothing here.
#[derive(Clone, PartialEq, Message)]
pub struct OkHttpResponse {}

/// `envoy.type.v3.HttpStatus`.
#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    /// The status code.
    #[prost(enumeration = "StatusCode", tag = "1")]
    pub code: i32,
}

/// The statuses that this program denies with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum StatusCode {
    /// Not set.
    Empty = 0,
    /// A turn-down.
    TooManyRequests = 429,
    /// A failure.
    BadGateway = 502,
    /// No room.
    ServiceUnavailable = 503,
    /// No answer in time.
    GatewayTimeout = 504,
}

/// A header to set.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValueOption {
    /// The header.
    #[prost(message, optional, tag = "1")]
    pub header: Option<HeaderValue>,
}

/// Messages as bytes, unread: prevents fields that this program does not know from being lost.
#[derive(Debug, Clone, Copy, Default)]
pub struct Raw;

impl Codec for Raw {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = Raw;
    type Decoder = Raw;

    fn encoder(&mut self) -> Raw {
        Raw
    }

    fn decoder(&mut self) -> Raw {
        Raw
    }
}

impl Encoder for Raw {
    type Item = Bytes;
    type Error = Status;

    fn encode(&mut self, item: Bytes, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put(item);
        Ok(())
    }
}

impl Decoder for Raw {
    type Item = Bytes;
    type Error = Status;

    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<Bytes>, Status> {
        Ok(Some(from.copy_to_bytes(from.remaining())))
    }
}
