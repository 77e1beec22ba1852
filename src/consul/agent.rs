//! The wire to an agent: HTTP/1.1 by hyper, over TCP or TLS, one kept connection a query. What comes is bounded in size
//! and time.

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

/// The largest answer: some ten thousand instances.
const BODY: usize = 16 << 20;
/// What hyper reads ahead of a body, heads included.
const AHEAD: usize = 64 << 10;
/// A connection is up by then.
const CONNECT: Millis = 2000.0;
/// An agent whose machine went away is noticed by the kernel: the first sign of life is asked for after the first, the next
/// ones after the second each, and so many may stay out.
const ALIVE: (Duration, Duration, u32) = (Duration::from_secs(10), Duration::from_secs(5), 3);
/// The longest that an agent's `Retry-After` is heeded.
const KEEP_AWAY: Millis = 60_000.0;

type Sender = SendRequest<Empty<Bytes>>;

/// An answer that is one.
#[derive(Debug)]
pub struct Answer {
    /// Its index; 0 where it has none.
    pub index: u64,
    /// What it says.
    pub body: Bytes,
}

/// Why there is none.
#[derive(Debug, PartialEq)]
pub struct Refusal {
    /// For the log.
    pub why: String,
    /// So long the agent wants not to be asked.
    pub keep_away: Millis,
}

impl From<String> for Refusal {
    fn from(why: String) -> Self {
        Self { why, keep_away: 0.0 }
    }
}

/// Queries and bytes of answers' bodies, for those who measure.
#[derive(Debug, Default)]
pub struct Counts {
    /// Queries written.
    pub queries: Cell<u64>,
    /// Bytes that came in bodies.
    pub bytes: Cell<u64>,
}

/// A kept connection to an agent.
#[derive(Debug)]
pub struct Line {
    /// The clock.
    pub deadlines: Deadlines,
    /// What it counts.
    pub counts: Rc<Counts>,
    kept: Option<(SocketAddr, Sender)>,
}

impl Line {
    /// None is open yet.
    pub fn new(deadlines: Deadlines, counts: Rc<Counts>) -> Self {
        Self { deadlines, counts, kept: None }
    }

    /// All connections are to be made anew.
    pub fn close(&mut self) {
        self.kept = None;
    }

    /// One query. A kept connection that was closed meanwhile is opened anew; one that breaks during a query is a failure,
    /// as the agent may have died: what follows is then asked for anew, and soon found to be silence or not.
    pub async fn get(
        &mut self,
        consul: &ConsulConfig,
        at: SocketAddr,
        target: &str,
        patience: Millis,
    ) -> Result<Answer, Refusal> {
        let deadlines = self.deadlines.clone();
        let asked = deadlines.within(patience, async {
            let mut kept = self.kept.take().filter(|(to, _)| *to == at).map(|(_, sender)| sender);
            if let Some(sender) = &mut kept
                && sender.ready().await.is_err()
            {
                kept = None;
            }
            let mut sender = match kept {
                Some(sender) => sender,
                None => {
                    let opened = deadlines.within(CONNECT, open(consul, at)).await;
                    opened.unwrap_or_else(|| Err("no connection in time".to_owned().into()))?
                }
            };
            let answer = self.ask(&mut sender, consul, at, target).await.map_err(Refusal::from)??;
            self.kept = Some((at, sender));
            Ok(answer)
        });
        asked.await.unwrap_or_else(|| Err("silence".to_owned().into()))
    }

    /// An error of the connection, or what came of the query.
    async fn ask(
        &self,
        sender: &mut Sender,
        consul: &ConsulConfig,
        at: SocketAddr,
        target: &str,
    ) -> Result<Result<Answer, Refusal>, String> {
        let mut request = hyper::Request::get(target).header(HOST, at.to_string());
        if let Some(token) = &consul.token {
            let mut token = HeaderValue::from_str(token).map_err(|_| "its token is no header's value")?;
            token.set_sensitive(true);
            request = request.header("x-consul-token", token);
        }
        let request = request.body(Empty::new()).map_err(|e| e.to_string())?;
        self.counts.queries.set(self.counts.queries.get() + 1);
        let response = sender.send_request(request).await.map_err(|e| e.to_string())?;
        let (head, body) = response.into_parts();
        if head.status != hyper::StatusCode::OK {
            let why = format!("status {}", head.status.as_u16());
            return Ok(Err(Refusal { why, keep_away: keep_away(&head.headers) }));
        }
        if let Err(why) = believable(&head.headers, consul.max_stale) {
            return Ok(Err(why.into()));
        }
        let index = text(&head.headers, "x-consul-index").and_then(|index| index.parse().ok()).unwrap_or(0);
        let body = Limited::new(body, BODY).collect().await.map_err(|e| e.to_string())?.to_bytes();
        self.counts.bytes.set(self.counts.bytes.get() + body.len() as u64);
        Ok(Ok(Answer { index, body }))
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok()).map(str::trim)
}

fn keep_away(headers: &HeaderMap) -> Millis {
    let seconds: Option<f64> = text(headers, RETRY_AFTER.as_str()).and_then(|seconds| seconds.parse().ok());
    seconds.map_or(0.0, |seconds| (seconds * 1000.0).clamp(0.0, KEEP_AWAY))
}

/// Whether an answer is word: its cluster has a leader, and it is no older than is taken.
fn believable(headers: &HeaderMap, max_stale: Option<Millis>) -> Result<(), String> {
    if text(headers, "x-consul-knownleader") == Some("false") {
        return Err("its cluster has no leader".into());
    }
    let age: Option<Millis> = text(headers, "x-consul-lastcontact").and_then(|age| age.parse().ok());
    match (age, max_stale) {
        (Some(age), Some(most)) if age > most => Err(format!("its answer is {age} ms old")),
        _ => Ok(()),
    }
}

async fn open(consul: &ConsulConfig, at: SocketAddr) -> Result<Sender, Refusal> {
    let told = |e: std::io::Error| Refusal::from(e.to_string());
    let stream = connect(at).await.map_err(told)?;
    let (idle, between, most) = ALIVE;
    let alive = TcpKeepalive::new().with_time(idle).with_interval(between).with_retries(most);
    SockRef::from(&stream).set_tcp_keepalive(&alive).map_err(told)?;
    match &consul.tls {
        None => handshake(stream).await,
        Some(tls) => {
            let (connector, name) = tls.to(at.ip());
            handshake(connector.connect(name, stream).await.map_err(told)?).await
        }
    }
}

async fn handshake(stream: impl AsyncRead + AsyncWrite + Unpin + 'static) -> Result<Sender, Refusal> {
    let shaken = http1::Builder::new().max_buf_size(AHEAD).handshake(TokioIo::new(stream)).await;
    let (sender, connection) = shaken.map_err(|e| Refusal::from(e.to_string()))?;
    // Ends with the sender.
    spawn_local(connection);
    Ok(sender)
}

#[cfg(test)]
mod tests;
