//! The messages of `envoy.service.auth.v3`, reduced to the fields that this program reads or writes, and
//! written by hand so that a build needs no protobuf compiler. Checks and their answers are passed on as the
//! bytes received.

use bytes::{Buf, BufMut, Bytes};
use prost::{Enumeration, Message, Oneof};
use std::collections::BTreeMap;
use tonic::Status;
use tonic::codec::{Codec, DecodeBuf, Decoder, EncodeBuf, Encoder};

/// The path of the gRPC method that this program serves, and calls on authorisers.
pub const CHECK: &str = "/envoy.service.auth.v3.Authorization/Check";

/// The question of a proxy whether a request is allowed.
#[derive(Clone, PartialEq, Message)]
pub struct CheckRequest {
    /// The attributes of the request.
    #[prost(message, optional, tag = "1")]
    pub attributes: Option<AttributeContext>,
}

/// The attributes of a request.
#[derive(Clone, PartialEq, Message)]
pub struct AttributeContext {
    /// The request.
    #[prost(message, optional, tag = "4")]
    pub request: Option<Request>,
    /// The key-value pairs that the proxy's configuration adds.
    #[prost(btree_map = "string, string", tag = "10")]
    pub context_extensions: BTreeMap<String, String>,
}

/// A request of any protocol.
#[derive(Clone, PartialEq, Message)]
pub struct Request {
    /// The request, if it is an HTTP request.
    #[prost(message, optional, tag = "2")]
    pub http: Option<HttpRequest>,
}

/// An HTTP request.
#[derive(Clone, PartialEq, Message)]
pub struct HttpRequest {
    /// The method.
    #[prost(string, tag = "2")]
    pub method: String,
    /// The header values by lower-case names.
    #[prost(btree_map = "string, string", tag = "3")]
    pub headers: BTreeMap<String, String>,
    /// The path with the query.
    #[prost(string, tag = "4")]
    pub path: String,
    /// The header fields, if the proxy is configured to send them raw.
    #[prost(message, optional, tag = "13")]
    pub header_map: Option<HeaderMap>,
}

/// Header fields in their order.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderMap {
    /// The header fields.
    #[prost(message, repeated, tag = "1")]
    pub headers: Vec<HeaderValue>,
}

/// A header field.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValue {
    /// The name.
    #[prost(string, tag = "1")]
    pub key: String,
    /// The value, if it is text.
    #[prost(string, tag = "2")]
    pub value: String,
    /// The value as bytes, used if `value` is empty.
    #[prost(bytes = "bytes", tag = "3")]
    pub raw_value: Bytes,
}

/// The answer to a check.
#[derive(Clone, PartialEq, Message)]
pub struct CheckResponse {
    /// The code `OK` allows the request, any other one denies it.
    #[prost(message, optional, tag = "1")]
    pub status: Option<RpcStatus>,
    /// What the proxy does with the request.
    #[prost(oneof = "HttpResponse", tags = "2, 3")]
    pub http_response: Option<HttpResponse>,
}

/// `google.rpc.Status`.
#[derive(Clone, PartialEq, Message)]
pub struct RpcStatus {
    /// A gRPC status code.
    #[prost(int32, tag = "1")]
    pub code: i32,
    /// A message for humans.
    #[prost(string, tag = "2")]
    pub message: String,
}

/// What the proxy does with a request.
#[derive(Clone, PartialEq, Oneof)]
pub enum HttpResponse {
    /// It answers the client with this response.
    #[prost(message, tag = "2")]
    Denied(DeniedHttpResponse),
    /// It forwards the request.
    #[prost(message, tag = "3")]
    Ok(OkHttpResponse),
}

/// The response to the client of a denied request.
#[derive(Clone, PartialEq, Message)]
pub struct DeniedHttpResponse {
    /// The HTTP status.
    #[prost(message, optional, tag = "1")]
    pub status: Option<HttpStatus>,
    /// The header fields to set in the response.
    #[prost(message, repeated, tag = "2")]
    pub headers: Vec<HeaderValueOption>,
    /// The response body.
    #[prost(string, tag = "3")]
    pub body: String,
}

/// Changes to a request that is forwarded. This program makes none.
#[derive(Clone, PartialEq, Message)]
pub struct OkHttpResponse {}

/// `envoy.type.v3.HttpStatus`.
#[derive(Clone, PartialEq, Message)]
pub struct HttpStatus {
    /// The status code.
    #[prost(enumeration = "StatusCode", tag = "1")]
    pub code: i32,
}

/// The HTTP statuses of denied requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Enumeration)]
#[repr(i32)]
pub enum StatusCode {
    /// Unset; required by protobuf as the zero value.
    Empty = 0,
    /// The request was rejected.
    TooManyRequests = 429,
    /// The check failed.
    BadGateway = 502,
    /// Too many checks are in flight.
    ServiceUnavailable = 503,
    /// No authoriser answered in time.
    GatewayTimeout = 504,
}

/// A header field to set.
#[derive(Clone, PartialEq, Message)]
pub struct HeaderValueOption {
    /// The header field.
    #[prost(message, optional, tag = "1")]
    pub header: Option<HeaderValue>,
}

/// A codec that leaves messages as the bytes received. Decoding and encoding them again would lose the fields
/// that this program does not know.
#[derive(Debug, Clone, Copy, Default)]
pub struct RawCodec;

impl Codec for RawCodec {
    type Encode = Bytes;
    type Decode = Bytes;
    type Encoder = RawCodec;
    type Decoder = RawCodec;

    fn encoder(&mut self) -> RawCodec {
        RawCodec
    }

    fn decoder(&mut self) -> RawCodec {
        RawCodec
    }
}

impl Encoder for RawCodec {
    type Item = Bytes;
    type Error = Status;

    fn encode(&mut self, item: Bytes, to: &mut EncodeBuf<'_>) -> Result<(), Status> {
        to.put(item);
        Ok(())
    }
}

impl Decoder for RawCodec {
    type Item = Bytes;
    type Error = Status;

    fn decode(&mut self, from: &mut DecodeBuf<'_>) -> Result<Option<Bytes>, Status> {
        Ok(Some(from.copy_to_bytes(from.remaining())))
    }
}
