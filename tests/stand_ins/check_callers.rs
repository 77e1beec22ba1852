//! Callers of the authorisation front: a usual check, and callers that make the front hold what they send. Shared by the
//! tests and the soak.

use super::raw_http2::{head_frame, opening};
use bytes::Bytes;
use prost::Message;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use weldhub::fronts::ext_authz::proto::{AttributeContext, CheckRequest, HttpRequest, Request};

/// What a bad caller sends on each of its streams, and how it takes what it is sent.
pub struct BadCaller<Body> {
    /// The number of streams that it opens.
    pub streams: u32,
    /// The head of a stream.
    pub head: Vec<u8>,
    /// Returns the frames that follow the head of the stream of this number.
    pub body: Body,
    /// Whether it reads what it is sent.
    pub reads: bool,
    /// The bytes of an answer that it takes.
    pub window: u32,
}

impl<Body: Fn(u32) -> Vec<u8>> BadCaller<Body> {
    /// Opens the streams on one connection, and stays for this time.
    pub async fn call(&self, listen: SocketAddr, stay: Duration) {
        let Ok(stream) = TcpStream::connect(listen).await else { return };
        let (mut reader, mut writer) = stream.into_split();
        let writing = async {
            writer.write_all(&opening(self.window)).await?;
            for n in 0..self.streams {
                let stream = 2 * n + 1;
                writer.write_all(&head_frame(stream, &self.head)).await?;
                writer.write_all(&(self.body)(stream)).await?;
            }
            std::future::pending::<std::io::Result<()>>().await
        };
        let reading = async {
            let mut bytes = [0; 4096];
            while self.reads && reader.read(&mut bytes).await.is_ok_and(|n| n > 0) {}
            std::future::pending::<()>().await
        };
        let _ = tokio::time::timeout(stay, async { tokio::join!(writing, reading) }).await;
    }
}

/// A check for a customer of this name and plan.
pub fn check_of(customer: &str, plan: &str) -> Bytes {
    let headers = [("x-club", customer), ("x-tier", plan)];
    let headers = headers.map(|(name, value)| (name.to_owned(), value.to_owned())).into();
    let http = HttpRequest { method: "GET".into(), path: "/api/boards/17".into(), headers, header_map: None };
    let request = Some(Request { http: Some(http) });
    let attributes = AttributeContext { request, context_extensions: BTreeMap::new() };
    CheckRequest { attributes: Some(attributes) }.encode_to_vec().into()
}

/// A message with its prefix, as a gRPC body.
pub fn message_body(message: &[u8]) -> Vec<u8> {
    let mut body = vec![0];
    body.extend((message.len() as u32).to_be_bytes());
    body.extend(message);
    body
}
