//! The client: carries out the decisions of [`policy`](crate::policy) and [`ingresses`](crate::ingresses) on
//! sockets.

use crate::ingresses::{HealthSignal, IngressPolicy, Ingresses};
use crate::policy::{
    Millis, RetryBudget, RetryDecision, RetryPolicy, RetrySafety, RetryState, StopReason, TryOutcome,
};
use crate::wire::{AnswerError, AnswerReader};
use bytes::{Bytes, BytesMut};
use socket2::SockRef;
use std::fmt;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, timeout};

/// The configuration of a [`Client`].
#[derive(Debug, Clone)]
pub struct Config {
    ingresses: Vec<SocketAddr>,
    /// Limits and delays of retries.
    pub retry_policy: RetryPolicy,
    /// Limits for the ejection of failing ingresses and for connections.
    pub ingress_policy: IngressPolicy,
    /// The maximum size of an answer's body, in bytes.
    pub max_body_bytes: usize,
    /// The time limit for establishing a connection, TLS handshake included.
    pub connect_timeout: Duration,
    /// A connection that was idle for longer is closed instead of used again, because the ingress may be
    /// about to close it.
    pub idle_timeout: Duration,
    /// The seed of the random numbers: the same seed gives the same sequence.
    pub seed: u64,
    /// The TLS configuration. `None` connects to the ingresses without TLS.
    #[cfg(feature = "tls")]
    pub tls: Option<crate::tls::Tls>,
}

impl Config {
    /// Creates a configuration with default values for a fleet. `ingresses` are the addresses (`ip:port`) in
    /// the order of the ingresses' numbers.
    pub fn new<'a>(ingresses: impl IntoIterator<Item = &'a str>) -> Result<Self, Error> {
        let parse = |address: &str| {
            address.parse().map_err(|_| Error::invalid(format!("{address} is not a socket address")))
        };
        let ingresses: Vec<SocketAddr> = ingresses.into_iter().map(parse).collect::<Result<_, _>>()?;
        Ok(Self {
            ingresses,
            retry_policy: RetryPolicy::default(),
            ingress_policy: IngressPolicy::default(),
            max_body_bytes: 33 << 20,
            connect_timeout: Duration::from_millis(500),
            idle_timeout: Duration::from_secs(4),
            seed: fastrand::u64(..),
            #[cfg(feature = "tls")]
            tls: None,
        })
    }
}

/// A request, to be sent with [`Client::send`].
#[derive(Debug, Clone)]
pub struct Request {
    is_get: bool,
    path: String,
    body: Bytes,
    retry_safety: RetrySafety,
    idempotency_key: Option<String>,
    customer: u64,
    plan: String,
    units: f64,
    spread: usize,
    first_ingress: usize,
    timeout: Millis,
}

impl Request {
    /// Creates a GET request, which is safe to retry. The first segment of the path is the request's class.
    pub fn get(path: &str) -> Self {
        Self {
            is_get: true,
            path: path.to_owned(),
            body: Bytes::new(),
            retry_safety: RetrySafety::Safe,
            idempotency_key: None,
            customer: 0,
            plan: String::new(),
            units: 1.0,
            spread: 1,
            first_ingress: 0,
            timeout: 1000.0,
        }
    }

    /// Creates a POST request, which is unsafe to retry unless [`Request::retry_safety`] is set.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self { is_get: false, body: body.into(), retry_safety: RetrySafety::Unsafe, ..Self::get(path) }
    }

    /// Sets whether the request can be sent again after it may have run.
    pub fn retry_safety(self, retry_safety: RetrySafety) -> Self {
        Self { retry_safety, ..self }
    }

    /// Sets the idempotency key under which the backend drops repeats.
    pub fn idempotency_key(self, key: &str) -> Self {
        Self { idempotency_key: Some(key.to_owned()), ..self }
    }

    /// Sets the customer's id, below 2^33.
    pub fn customer(self, customer: u64) -> Self {
        Self { customer, ..self }
    }

    /// Sets the name of the customer's plan.
    pub fn plan(self, plan: &str) -> Self {
        Self { plan: plan.to_owned(), ..self }
    }

    /// Sets the number of units that the request takes from the customer's quota.
    pub fn units(self, units: f64) -> Self {
        Self { units, ..self }
    }

    /// Sets the ingresses that serve the customer: `spread` consecutive ones from number `first`, wrapping
    /// around.
    pub fn ingress_set(self, spread: usize, first: usize) -> Self {
        Self { spread, first_ingress: first, ..self }
    }

    /// Sets the time limit for all tries together, in milliseconds.
    pub fn timeout_ms(self, timeout: u32) -> Self {
        Self { timeout: f64::from(timeout), ..self }
    }

    /// Checks that the request can be sent to a fleet of `ingress_count` ingresses.
    fn validate(&self, ingress_count: usize) -> Result<(), Error> {
        let is_visible_ascii = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        let problem = match self {
            r if !r.path.starts_with('/') || !is_visible_ascii(&r.path) => {
                "the path must begin with / and consist of visible ASCII characters"
            }
            r if r.customer >= 1 << 33 => "the customer's id must be below 2^33",
            r if !is_visible_ascii(&r.plan) => "the plan must be one or more visible ASCII characters",
            r if !(r.units > 0.0 && r.units.is_finite()) => "the units must be a finite number above 0",
            r if r.spread == 0 || r.spread > ingress_count || r.first_ingress >= ingress_count => {
                "the ingress set is out of range"
            }
            r if r.timeout < 1.0 => "the timeout must be at least 1 ms",
            r if r.idempotency_key.as_deref().is_some_and(|key| !is_visible_ascii(key)) => {
                "the idempotency key must be one or more visible ASCII characters"
            }
            r if matches!(r.retry_safety, RetrySafety::Keyed { .. }) && r.idempotency_key.is_none() => {
                "a keyed request needs an idempotency key"
            }
            _ => return Ok(()),
        };
        Err(Error::invalid(problem.to_owned()))
    }

    /// Encodes the request for one try.
    fn encode(&self, request_id: u64, time_left: Millis, is_retry: bool) -> Vec<u8> {
        let method = if self.is_get { "GET" } else { "POST" };
        let separator = if self.path.contains('?') { '&' } else { '?' };
        let mut head = format!(
            "{method} {}{separator}client={:016x} HTTP/1.1\r\nHost: weldhub\r\n\
             Request-Id: {request_id:016x}\r\nX-Tier: {}\r\n\
             Request-Timeout-Ms: {}\r\nX-Call-Terms: units={},spread={},first={}\r\n",
            self.path,
            self.customer,
            self.plan,
            time_left.max(1.0) as u64,
            self.units,
            self.spread,
            self.first_ingress
        );
        if let Some(key) = &self.idempotency_key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        if is_retry {
            head.push_str("Client-Retry: 1\r\n");
        }
        if !self.is_get {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// The answer to a request that was served.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// The body.
    pub body: Vec<u8>,
    /// The number of tries that were sent.
    pub tries: u32,
}

/// How the last try of a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ErrorKind {
    /// The request or the configuration is invalid, for this reason. Nothing was sent.
    Invalid(String),
    /// The ingress rejected the try with this status, 429 or 503. The try did not run.
    Rejected(u16),
    /// The ingress answered with this status, which is none of 200, 429 and 503.
    Failed(u16),
    /// No connection to an ingress could be established in time.
    Unreachable,
    /// The connection broke before the answer was complete.
    ConnectionLost,
    /// The answer was invalid.
    InvalidAnswer(AnswerError),
    /// No complete answer came before the deadline.
    TimedOut,
}

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error(
    "{kind} after {tries} tries ({stop_reason}); the request {}",
    if *.may_have_run { "may have run" } else { "did not run" }
)]
pub struct Error {
    /// How the last try failed.
    pub kind: ErrorKind,
    /// Why no further try was made.
    pub stop_reason: StopReason,
    /// The number of tries that were sent.
    pub tries: u32,
    /// Whether any of the tries may have run.
    pub may_have_run: bool,
}

impl Error {
    fn invalid(reason: String) -> Self {
        Self {
            kind: ErrorKind::Invalid(reason),
            stop_reason: StopReason::MaxTries,
            tries: 0,
            may_have_run: false,
        }
    }
}

impl fmt::Display for ErrorKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(reason) => f.write_str(reason),
            Self::Rejected(status) => write!(f, "rejected with status {status}"),
            Self::Failed(status) => write!(f, "failed with status {status}"),
            Self::Unreachable => f.write_str("no ingress could be reached"),
            Self::ConnectionLost => f.write_str("the connection broke"),
            Self::InvalidAnswer(e) => write!(f, "the answer is invalid: {e}"),
            Self::TimedOut => f.write_str("timed out"),
        }
    }
}

/// What a client has done since it was created.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Valid requests passed to [`Client::send`].
    pub requests: u64,
    /// Tries sent.
    pub tries: u64,
    /// Attempts to connect.
    pub connection_attempts: u64,
}

/// A connection to an ingress, with or without TLS.
trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
    /// Returns the TCP socket below.
    fn socket(&self) -> &TcpStream;
}

impl Stream for TcpStream {
    fn socket(&self) -> &TcpStream {
        self
    }
}

#[cfg(feature = "tls")]
impl Stream for tokio_rustls::client::TlsStream<TcpStream> {
    fn socket(&self) -> &TcpStream {
        self.get_ref().0
    }
}

struct IdleConnection {
    stream: Box<dyn Stream>,
    since: Instant,
}

struct State {
    ingresses: Ingresses,
    /// Idle connections by the number of their ingress.
    idle: Vec<Vec<IdleConnection>>,
    budget: RetryBudget,
    rng: fastrand::Rng,
    counts: Counts,
}

/// A client of a fleet. Clones share connections, the retry budget, and the health of ingresses.
#[derive(Clone)]
pub struct Client(Arc<Inner>);

struct Inner {
    config: Config,
    state: Mutex<State>,
    /// Notified when a connection has become idle or was closed.
    connection_released: Notify,
    origin: Instant,
}

/// A try and its connection as counted in [`Ingresses`]. Dropping it records the end of both, also when the
/// caller cancels the request.
struct Lease<'a> {
    inner: &'a Inner,
    ingress: usize,
    /// How the try ended. `None` while it is in flight.
    signal: Option<HealthSignal>,
    /// Whether the connection has to be recorded as ended on drop: not if it failed to connect or has become
    /// idle.
    owns_connection: bool,
    /// Whether the connection broke.
    connection_lost: bool,
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        let now = self.inner.now();
        let mut state = self.inner.lock();
        let State { ingresses, rng, .. } = &mut *state;
        // A try cancelled by the caller tells nothing about the ingress and must not count as a failure.
        let signal = self.signal.unwrap_or(HealthSignal::Answered);
        ingresses.try_ended(now, self.ingress, signal, &mut || rng.f64());
        if self.owns_connection && self.connection_lost {
            ingresses.connection_lost(now, self.ingress, &mut || rng.f64());
        } else if self.owns_connection {
            ingresses.connection_closed(self.ingress);
        }
        drop(state);
        self.inner.connection_released.notify_waiters();
    }
}

impl Client {
    /// Creates a client. It connects when the first request is sent. Fails if the configuration has no
    /// ingress.
    pub fn new(config: Config) -> Result<Self, Error> {
        if config.ingresses.is_empty() {
            return Err(Error::invalid("the configuration has no ingress".into()));
        }
        let count = config.ingresses.len();
        let state = State {
            ingresses: Ingresses::new(count, config.ingress_policy, 0.0),
            idle: (0..count).map(|_| Vec::new()).collect(),
            budget: RetryBudget::new(&config.retry_policy),
            rng: fastrand::Rng::with_seed(config.seed),
            counts: Counts::default(),
        };
        let (connection_released, origin) = (Notify::new(), Instant::now());
        Ok(Self(Arc::new(Inner { config, state: Mutex::new(state), connection_released, origin })))
    }

    /// Returns what the client has done since it was created.
    pub fn counts(&self) -> Counts {
        self.0.lock().counts
    }

    /// Sends a request, and retries it until it is served or no further try is allowed.
    pub async fn send(&self, request: &Request) -> Result<Answer, Error> {
        let inner = &self.0;
        request.validate(inner.config.ingresses.len())?;
        inner.lock().counts.requests += 1;
        let mut retry_state = RetryState::new(request.retry_safety, inner.now() + request.timeout);
        let mut tried = Vec::new();
        loop {
            let (outcome, kind) = match inner.try_once(request, &mut retry_state, &mut tried).await {
                Ok(body) => return Ok(Answer { body, tries: retry_state.tries() }),
                Err(failed_try) => failed_try,
            };
            let decision = {
                let mut state = inner.lock();
                let State { budget, rng, .. } = &mut *state;
                let policy = &inner.config.retry_policy;
                retry_state.try_ended(inner.now(), outcome, policy, budget, &mut || rng.f64())
            };
            match decision {
                RetryDecision::RetryAt(at) => sleep(duration(at - inner.now())).await,
                RetryDecision::Stop(stop_reason) => {
                    let (tries, may_have_run) = (retry_state.tries(), retry_state.may_have_run());
                    return Err(Error { kind, stop_reason, tries, may_have_run });
                }
            }
        }
    }
}

fn duration(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1000.0)
}

/// How a try failed, for the retry decision and for the caller.
type FailedTry = (TryOutcome, ErrorKind);

/// An answer with any status, as read from a connection.
struct RawAnswer {
    status: u16,
    retry_after: Option<Millis>,
    /// Whether the connection can be used again.
    reusable: bool,
    body: Vec<u8>,
}

impl Inner {
    /// Returns the time since the client was created.
    fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1000.0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Makes one try: acquires a connection, sends the request and reads the answer. Returns the body if the
    /// request was served. Adds the ingress to `tried`.
    async fn try_once(
        &self,
        request: &Request,
        retry_state: &mut RetryState,
        tried: &mut Vec<usize>,
    ) -> Result<Vec<u8>, FailedTry> {
        let time_left = duration(retry_state.deadline() - self.now());
        let acquired = timeout(time_left, self.acquire(request, tried)).await;
        let (mut lease, mut stream) = match acquired {
            Ok(Ok(acquired)) => acquired,
            Ok(Err(())) | Err(_) => return Err((TryOutcome::NotSent, ErrorKind::Unreachable)),
        };
        let now = self.now();
        if !retry_state.may_send(now) {
            self.release(&mut lease, stream);
            return Err((TryOutcome::NotSent, ErrorKind::Unreachable));
        }
        tried.push(lease.ingress);
        let bytes = {
            let mut state = self.lock();
            retry_state.try_sent(now, &self.config.retry_policy, &mut state.budget);
            state.counts.tries += 1;
            request.encode(state.rng.u64(..), retry_state.deadline() - now, retry_state.tries() > 1)
        };
        let time_left = duration(retry_state.deadline() - now);
        // An ingress runs a request only once it has received all of it.
        let mut written = false;
        let exchange = timeout(time_left, async {
            if stream.write_all(&bytes).await.is_err() || stream.flush().await.is_err() {
                return Err((TryOutcome::NotSent, ErrorKind::ConnectionLost));
            }
            written = true;
            read_answer(&mut stream, self.config.max_body_bytes).await
        });
        let result = match exchange.await {
            Ok(result) => result,
            Err(_) if written => Err((TryOutcome::TimedOut, ErrorKind::TimedOut)),
            Err(_) => Err((TryOutcome::NotSent, ErrorKind::TimedOut)),
        };
        lease.signal = Some(if result.is_ok() { HealthSignal::Answered } else { HealthSignal::Failed });
        match result {
            Ok(RawAnswer { status, retry_after, reusable, body }) => {
                if reusable {
                    self.release(&mut lease, stream);
                }
                match status {
                    200 => Ok(body),
                    429 | 503 => Err((TryOutcome::Rejected { retry_after }, ErrorKind::Rejected(status))),
                    _ => Err((TryOutcome::Failed, ErrorKind::Failed(status))),
                }
            }
            Err((outcome, kind)) => {
                lease.connection_lost = matches!(kind, ErrorKind::ConnectionLost);
                Err((outcome, kind))
            }
        }
    }

    /// Acquires an idle or a new connection to an ingress of the request's set, with a lease for a try on it.
    /// Adds ingresses that cannot be reached to `tried`. Waits as long as no connection may be opened; fails
    /// only if the set has no ingress.
    async fn acquire(
        &self,
        request: &Request,
        tried: &mut Vec<usize>,
    ) -> Result<(Lease<'_>, Box<dyn Stream>), ()> {
        loop {
            let released = self.connection_released.notified();
            let mut released = std::pin::pin!(released);
            released.as_mut().enable();
            let now = self.now();
            let (ingress, idle, reserved) = {
                let mut state = self.lock();
                let State { ingresses, idle, rng, .. } = &mut *state;
                let set = ingresses.ingress_set(request.spread, request.first_ingress);
                let picked = ingresses.pick(now, set, tried, &mut || rng.f64());
                let ingress = picked.ok_or(())?;
                let idle = self.take_idle(ingresses, &mut idle[ingress], ingress);
                let reserved =
                    if idle.is_some() { Ok(()) } else { ingresses.reserve_connection(now, ingress) };
                if reserved.is_ok() {
                    ingresses.try_started(ingress);
                }
                state.counts.connection_attempts += u64::from(reserved.is_ok() && idle.is_none());
                (ingress, idle, reserved)
            };
            match (idle, reserved) {
                (Some(stream), _) => {
                    let lease = Lease {
                        inner: self,
                        ingress,
                        signal: None,
                        owns_connection: true,
                        connection_lost: false,
                    };
                    return Ok((lease, stream));
                }
                (None, Ok(())) => {
                    let mut lease = Lease {
                        inner: self,
                        ingress,
                        signal: None,
                        owns_connection: true,
                        connection_lost: false,
                    };
                    match timeout(self.config.connect_timeout, self.connect(ingress)).await {
                        Ok(Ok(stream)) => {
                            self.lock().ingresses.connect_succeeded(ingress);
                            return Ok((lease, stream));
                        }
                        _ => {
                            lease.signal = Some(HealthSignal::Unreachable);
                            lease.owns_connection = false;
                            let now = self.now();
                            let mut state = self.lock();
                            let State { ingresses, rng, .. } = &mut *state;
                            ingresses.connect_failed(now, ingress, &mut || rng.f64());
                            if !tried.contains(&ingress) {
                                tried.push(ingress);
                            }
                        }
                    }
                }
                // Waits until a connection may be opened or one is released, whichever is first.
                (None, Err(wait)) => {
                    let _ = timeout(duration(wait.min(1000.0)), released).await;
                }
            }
        }
    }

    /// Takes the most recent idle connection to `ingress` that is still usable. Closes those that are not.
    fn take_idle(
        &self,
        ingresses: &mut Ingresses,
        idle: &mut Vec<IdleConnection>,
        ingress: usize,
    ) -> Option<Box<dyn Stream>> {
        while let Some(connection) = idle.pop() {
            if connection.since.elapsed() < self.config.idle_timeout && is_quiet(connection.stream.socket()) {
                return Some(connection.stream);
            }
            ingresses.connection_closed(ingress);
        }
        None
    }

    /// Connects to `ingress`, with TLS if configured.
    async fn connect(&self, ingress: usize) -> std::io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(self.config.ingresses[ingress]).await?;
        stream.set_nodelay(true)?;
        #[cfg(feature = "tls")]
        if let Some(tls) = &self.config.tls {
            return Ok(Box::new(tls.connect(stream).await?));
        }
        Ok(Box::new(stream))
    }

    /// Keeps the connection of a lease for later requests.
    fn release(&self, lease: &mut Lease<'_>, stream: Box<dyn Stream>) {
        lease.owns_connection = false;
        self.lock().idle[lease.ingress].push(IdleConnection { stream, since: Instant::now() });
    }
}

/// Returns whether an idle connection is open and has no input. Asks the operating system, because the
/// runtime may not have noticed yet that the ingress has closed the connection.
fn is_quiet(socket: &TcpStream) -> bool {
    let peeked = SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Reads one answer.
async fn read_answer(stream: &mut Box<dyn Stream>, max_body_bytes: usize) -> Result<RawAnswer, FailedTry> {
    let (mut reader, mut buffer) = (AnswerReader::new(max_body_bytes), BytesMut::new());
    loop {
        buffer.reserve(8 * 1024);
        let at_eof = match stream.read_buf(&mut buffer).await {
            Ok(n) => n == 0,
            Err(_) => return Err((TryOutcome::ConnectionLost, ErrorKind::ConnectionLost)),
        };
        match reader.read(&mut buffer, at_eof) {
            Ok(Some((head, body))) => {
                // Input after the answer would be taken for the answer to the next request.
                let reusable = !head.close && !at_eof && buffer.is_empty();
                return Ok(RawAnswer { status: head.status, retry_after: head.retry_after, reusable, body });
            }
            Ok(None) if at_eof => return Err((TryOutcome::ConnectionLost, ErrorKind::ConnectionLost)),
            Ok(None) => {}
            Err(e) => return Err((TryOutcome::ConnectionLost, ErrorKind::InvalidAnswer(e))),
        }
    }
}
