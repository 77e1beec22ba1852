//! HTTP/1.1 client for a Consul agent, over TCP or TLS: one persistent connection for each kind of query and
//! service, with limits on the size and the time of answers.

use crate::config::ConsulConfig;
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::net::stream::connect;
use bytes::Bytes;
use http_body_util::{BodyExt, Empty, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::task::spawn_local;

/// The largest body of an answer, in bytes; enough for some ten thousand instances.
const MAX_BODY_BYTES: usize = 16 << 20;
/// The size of hyper's read buffer, in bytes. It also bounds the head of an answer.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// The timeout for connecting, TLS and HTTP handshakes included, in milliseconds.
const CONNECT_TIMEOUT: Millis = 2000.0;
/// The idle time before the first TCP keepalive probe. Keepalive detects an agent whose machine has
/// disappeared.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(10);
/// The time between TCP keepalive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(5);
/// The number of unanswered TCP keepalive probes after which the connection is closed.
const KEEPALIVE_PROBES: u32 = 3;
/// The longest delay that an agent's `Retry-After` can ask for, in milliseconds.
const MAX_RETRY_AFTER: Millis = 60_000.0;

type Sender = SendRequest<Empty<Bytes>>;

/// A successful answer.
#[derive(Debug)]
pub struct Answer {
    /// Its `X-Consul-Index`; 0 if it has none.
    pub index: u64,
    /// Its body.
    pub body: Bytes,
}

/// The failure of a query.
#[derive(Debug, PartialEq)]
pub struct QueryError {
    /// The reason, for the log.
    pub reason: String,
    /// The delay that the agent asked for by `Retry-After`, in milliseconds; 0 if it asked for none.
    pub retry_after: Millis,
}

impl From<String> for QueryError {
    fn from(reason: String) -> Self {
        Self { reason, retry_after: 0.0 }
    }
}

/// Counts of queries and received bytes, for measurements.
#[derive(Debug, Default)]
pub struct QueryCounts {
    /// The number of queries sent.
    pub queries: Cell<u64>,
    /// The number of bytes received in bodies of successful answers.
    pub bytes: Cell<u64>,
}

/// A persistent connection to an agent, opened on demand.
#[derive(Debug)]
pub struct AgentConnection {
    /// The timers.
    pub deadlines: Deadlines,
    /// The counts that its queries are added to.
    pub counts: Rc<QueryCounts>,
    /// The open connection and the agent's address; `None` if no connection is open, or while a query uses
    /// it.
    open: Option<(SocketAddr, Sender)>,
}

impl AgentConnection {
    /// Creates a connection that is opened by the first query.
    pub fn new(deadlines: Deadlines, counts: Rc<QueryCounts>) -> Self {
        Self { deadlines, counts, open: None }
    }

    /// Closes the connection; the next query opens a new one.
    pub fn close(&mut self) {
        self.open = None;
    }

    /// Sends one query to the agent at `address` and waits up to `timeout` milliseconds for the answer.
    ///
    /// A connection that was closed between queries is opened again. A connection that breaks during a query
    /// fails the query, since the agent may have died; the caller's retry then times out or succeeds.
    pub async fn get(
        &mut self,
        consul: &ConsulConfig,
        address: SocketAddr,
        target: &str,
        timeout: Millis,
    ) -> Result<Answer, QueryError> {
        let deadlines = self.deadlines.clone();
        let query = deadlines.within(timeout, async {
            let mut reused = self.open.take().filter(|(to, _)| *to == address).map(|(_, sender)| sender);
            if let Some(sender) = &mut reused
                && sender.ready().await.is_err()
            {
                reused = None;
            }
            let mut sender = match reused {
                Some(sender) => sender,
                None => {
                    let opened = deadlines.within(CONNECT_TIMEOUT, open(consul, address)).await;
                    opened.unwrap_or_else(|| Err("connecting timed out".to_owned().into()))?
                }
            };
            let answer =
                self.send(&mut sender, consul, address, target).await.map_err(QueryError::from)??;
            self.open = Some((address, sender));
            Ok(answer)
        });
        query.await.unwrap_or_else(|| Err("silence".to_owned().into()))
    }

    /// Sends a query over a connection and reads the answer. The outer error is one of the connection, the
    /// inner one of the answer.
    async fn send(
        &self,
        sender: &mut Sender,
        consul: &ConsulConfig,
        address: SocketAddr,
        target: &str,
    ) -> Result<Result<Answer, QueryError>, String> {
        let mut request = hyper::Request::get(target).header(HOST, address.to_string());
        if let Some(token) = &consul.token {
            let mut token =
                HeaderValue::from_str(token).map_err(|_| "the ACL token is not a valid header value")?;
            token.set_sensitive(true);
            request = request.header("x-consul-token", token);
        }
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        self.counts.queries.set(self.counts.queries.get() + 1);
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let (head, body) = response.into_parts();
        if head.status != hyper::StatusCode::OK {
            let reason = format!("status {}", head.status.as_u16());
            return Ok(Err(QueryError { reason, retry_after: retry_after(&head.headers) }));
        }
        if let Err(reason) = check_consistency(&head.headers, consul.max_stale) {
            return Ok(Err(reason.into()));
        }
        let index =
            header_text(&head.headers, "x-consul-index").and_then(|index| index.parse().ok()).unwrap_or(0);
        let body = Limited::new(body, MAX_BODY_BYTES).collect().await.map_err(|e| e.to_string())?.to_bytes();
        self.counts.bytes.set(self.counts.bytes.get() + body.len() as u64);
        Ok(Ok(Answer { index, body }))
    }
}

/// Returns the trimmed value of a header; `None` if it is absent or not text.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

/// Returns the delay of `Retry-After`, in milliseconds; 0 if it is absent or not a number.
fn retry_after(headers: &HeaderMap) -> Millis {
    let seconds: Option<f64> =
        header_text(headers, RETRY_AFTER.as_str()).and_then(|seconds| seconds.parse().ok());
    seconds.map_or(0.0, |seconds| (seconds * 1000.0).clamp(0.0, MAX_RETRY_AFTER))
}

/// Checks by its headers that an answer can be relied on: Consul's cluster has a leader, and the answer is no
/// older than `max_stale` milliseconds.
fn check_consistency(headers: &HeaderMap, max_stale: Option<Millis>) -> Result<(), String> {
    if header_text(headers, "x-consul-knownleader") == Some("false") {
        return Err("Consul's cluster has no leader".into());
    }
    let age: Option<Millis> = header_text(headers, "x-consul-lastcontact").and_then(|age| age.parse().ok());
    match (age, max_stale) {
        (Some(age), Some(max)) if age > max => Err(format!("the answer is {age} ms old")),
        _ => Ok(()),
    }
}

/// Opens a connection to an agent.
async fn open(consul: &ConsulConfig, address: SocketAddr) -> Result<Sender, QueryError> {
    let failed = |e: std::io::Error| QueryError::from(e.to_string());
    let stream = connect(address).await.map_err(failed)?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    SockRef::from(&stream).set_tcp_keepalive(&keepalive).map_err(failed)?;
    match &consul.tls {
        None => handshake(stream).await,
        Some(tls) => {
            let (connector, name) = tls.connector_for(address.ip());
            handshake(connector.connect(name, stream).await.map_err(failed)?).await
        }
    }
}

/// Performs the HTTP handshake on a connected stream.
async fn handshake(stream: impl AsyncRead + AsyncWrite + Unpin + 'static) -> Result<Sender, QueryError> {
    let established =
        http1::Builder::new().max_buf_size(READ_BUFFER_BYTES).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = established.map_err(|e| QueryError::from(e.to_string()))?;
    // The connection's task ends when the sender is dropped.
    spawn_local(connection);
    Ok(sender)
}

#[cfg(test)]
mod tests;
