//! The client: carries out on sockets what `policy` and `ingresses` decide.

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

/// What a client goes by.
#[derive(Debug, Clone)]
pub struct Config {
    ingresses: Vec<SocketAddr>,
    /// How tries follow each other.
    pub retry_policy: RetryPolicy,
    /// How ingresses and connections are handled.
    pub ingress_policy: IngressPolicy,
    /// The most bytes of an answer's body.
    pub most: usize,
    /// A connection that is not up by then never will be.
    pub connect: Duration,
    /// A connection that was idle for longer is not used again: an ingress may be about to close it.
    pub idle: Duration,
    /// For chance; the same seed gives the same draws.
    pub seed: u64,
    /// TLS to the ingresses.
    #[cfg(feature = "tls")]
    pub tls: Option<crate::tls::Tls>,
}

impl Config {
    /// Ingresses by their numbers, as `address:port`; everything else has its default.
    pub fn new<'a>(ingresses: impl IntoIterator<Item = &'a str>) -> Result<Self, Error> {
        let read = |at: &str| at.parse().map_err(|_| Error::invalid(format!("{at} is no address")));
        let ingresses: Vec<SocketAddr> = ingresses.into_iter().map(read).collect::<Result<_, _>>()?;
        Ok(Self {
            ingresses,
            retry_policy: RetryPolicy::default(),
            ingress_policy: IngressPolicy::default(),
            most: 33 << 20,
            connect: Duration::from_millis(500),
            idle: Duration::from_secs(4),
            seed: fastrand::u64(..),
            #[cfg(feature = "tls")]
            tls: None,
        })
    }
}

/// A request, to be asked for with [`Client::ask`].
#[derive(Debug, Clone)]
pub struct Request {
    get: bool,
    path: String,
    body: Bytes,
    retry_safety: RetrySafety,
    key: Option<String>,
    customer: u64,
    plan: String,
    units: f64,
    set: (usize, usize),
    timeout: Millis,
}

impl Request {
    /// One that is safe to repeat; the path's first part is its class.
    pub fn get(path: &str) -> Self {
        Self {
            get: true,
            path: path.to_owned(),
            body: Bytes::new(),
            retry_safety: RetrySafety::Safe,
            key: None,
            customer: 0,
            plan: String::new(),
            units: 1.0,
            set: (1, 0),
            timeout: 1000.0,
        }
    }

    /// One with a body, which must not run twice unless [`Request::retry_safety`] says otherwise.
    pub fn post(path: &str, body: impl Into<Bytes>) -> Self {
        Self { get: false, body: body.into(), retry_safety: RetrySafety::Unsafe, ..Self::get(path) }
    }

    /// What a repeat does.
    pub fn retry_safety(self, retry_safety: RetrySafety) -> Self {
        Self { retry_safety, ..self }
    }

    /// The key under which repeats are dropped.
    pub fn key(self, key: &str) -> Self {
        Self { key: Some(key.to_owned()), ..self }
    }

    /// The customer, a number below 2^33.
    pub fn customer(self, customer: u64) -> Self {
        Self { customer, ..self }
    }

    /// The customer's plan.
    pub fn plan(self, plan: &str) -> Self {
        Self { plan: plan.to_owned(), ..self }
    }

    /// Units that it takes from the quota.
    pub fn units(self, units: f64) -> Self {
        Self { units, ..self }
    }

    /// The customer's set: `spread` ingresses in a row from number `first`, counted round.
    pub fn set(self, spread: usize, first: usize) -> Self {
        Self { set: (spread, first), ..self }
    }

    /// The time for all tries together, in milliseconds.
    pub fn timeout_ms(self, timeout: u32) -> Self {
        Self { timeout: f64::from(timeout), ..self }
    }

    fn check(&self, ingresses: usize) -> Result<(), Error> {
        let plain = |text: &str| !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        let wrong = match self {
            r if !r.path.starts_with('/') || !plain(&r.path) => "the path is no path",
            r if r.customer >= 1 << 33 => "the customer is no number below 2^33",
            r if !plain(&r.plan) => "the plan is missing or no word",
            r if !(r.units > 0.0 && r.units.is_finite()) => "the units are no number above 0",
            r if r.set.0 == 0 || r.set.0 > ingresses || r.set.1 >= ingresses => "the set is out of range",
            r if r.timeout < 1.0 => "the time is up before it begins",
            r if r.key.as_deref().is_some_and(|key| !plain(key)) => "the key is no word",
            r if matches!(r.retry_safety, RetrySafety::Keyed { .. }) && r.key.is_none() => {
                "a keyed request needs its key"
            }
            _ => return Ok(()),
        };
        Err(Error::invalid(wrong.to_owned()))
    }

    fn bytes(&self, id: u64, left: Millis, repeat: bool) -> Vec<u8> {
        let method = if self.get { "GET" } else { "POST" };
        let sign = if self.path.contains('?') { '&' } else { '?' };
        let mut head = format!(
            "{method} {}{sign}client={:016x} HTTP/1.1\r\nHost: weldhub\r\nRequest-Id: {id:016x}\r\nX-Tier: {}\r\n\
             Request-Timeout-Ms: {}\r\nX-Call-Terms: units={},spread={},first={}\r\n",
            self.path,
            self.customer,
            self.plan,
            left.max(1.0) as u64,
            self.units,
            self.set.0,
            self.set.1
        );
        if let Some(key) = &self.key {
            head.push_str(&format!("Idempotency-Key: {key}\r\n"));
        }
        if repeat {
            head.push_str("Client-Retry: 1\r\n");
        }
        if !self.get {
            head.push_str(&format!("Content-Length: {}\r\n", self.body.len()));
        }
        head.push_str("\r\n");
        [head.as_bytes(), &self.body].concat()
    }
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Answer {
    /// Its body.
    pub body: Vec<u8>,
    /// How many tries it took.
    pub tries: u32,
}

/// What went wrong at last.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// The request or the configuration cannot be: nothing was sent.
    Invalid(String),
    /// Refused, with this status: it did not run.
    Refused(u16),
    /// Answered with this status.
    Failed(u16),
    /// No connection came up, or none in time.
    Unreachable,
    /// The connection broke before the answer was whole.
    Broken,
    /// The answer could not be read.
    Unreadable(AnswerError),
    /// No answer in time.
    TimedOut,
}

/// Why a request was not served.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("{kind} after {tries} tries ({stop_reason}); it {}", if *.may_have_run { "may have run" } else { "did not run" })]
pub struct Error {
    /// How its last try ended.
    pub kind: Kind,
    /// Why there was no other.
    pub stop_reason: StopReason,
    /// How many it had.
    pub tries: u32,
    /// Whether any of them may have run.
    pub may_have_run: bool,
}

impl Error {
    fn invalid(what: String) -> Self {
        Self { kind: Kind::Invalid(what), stop_reason: StopReason::MaxTries, tries: 0, may_have_run: false }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid(what) => f.write_str(what),
            Self::Refused(status) => write!(f, "refused with {status}"),
            Self::Failed(status) => write!(f, "failed with {status}"),
            Self::Unreachable => f.write_str("no ingress could be reached"),
            Self::Broken => f.write_str("the connection broke"),
            Self::Unreadable(bad) => write!(f, "the answer cannot be read: {bad}"),
            Self::TimedOut => f.write_str("no answer in time"),
        }
    }
}

/// What a client has done so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests asked for.
    pub calls: u64,
    /// Tries that left.
    pub tries: u64,
    /// Attempts to connect.
    pub connects: u64,
}

trait Stream: AsyncRead + AsyncWrite + Send + Unpin {
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

struct Idle {
    stream: Box<dyn Stream>,
    since: Instant,
}

struct State {
    ingresses: Ingresses,
    idle: Vec<Vec<Idle>>,
    budget: RetryBudget,
    rng: fastrand::Rng,
    counts: Counts,
}

/// A client of a fleet. Clones share all: connections, budget and what is known of the ingresses.
#[derive(Clone)]
pub struct Client(Arc<Inner>);

struct Inner {
    config: Config,
    state: Mutex<State>,
    /// A connection has become idle or was closed.
    freed: Notify,
    origin: Instant,
}

/// A try's share in what is out, and its connection's in what is open; both end with it.
struct Lease<'a> {
    inner: &'a Inner,
    i: usize,
    went: Option<HealthSignal>,
    /// The connection, while it is not known to have broken.
    open: bool,
    lost: bool,
}

impl Drop for Lease<'_> {
    fn drop(&mut self) {
        let now = self.inner.now();
        let mut state = self.inner.lock();
        let State { ingresses, rng, .. } = &mut *state;
        // Given up by its caller: that tells nothing of the ingress.
        ingresses.try_ended(now, self.i, self.went.unwrap_or(HealthSignal::Answered), &mut || rng.f64());
        if self.open && self.lost {
            ingresses.connection_lost(now, self.i, &mut || rng.f64());
        } else if self.open {
            ingresses.connection_closed(self.i);
        }
        drop(state);
        self.inner.freed.notify_waiters();
    }
}

impl Client {
    /// A client; nothing is connected before the first request.
    pub fn new(config: Config) -> Result<Self, Error> {
        if config.ingresses.is_empty() {
            return Err(Error::invalid("there is no ingress".into()));
        }
        let many = config.ingresses.len();
        let state = State {
            ingresses: Ingresses::new(many, config.ingress_policy, 0.0),
            idle: (0..many).map(|_| Vec::new()).collect(),
            budget: RetryBudget::new(&config.retry_policy),
            rng: fastrand::Rng::with_seed(config.seed),
            counts: Counts::default(),
        };
        let (freed, origin) = (Notify::new(), Instant::now());
        Ok(Self(Arc::new(Inner { config, state: Mutex::new(state), freed, origin })))
    }

    /// What it has done so far.
    pub fn counts(&self) -> Counts {
        self.0.lock().counts
    }

    /// Asks for something until it is served, refused for good, or its time is up.
    pub async fn ask(&self, request: &Request) -> Result<Answer, Error> {
        let inner = &self.0;
        request.check(inner.config.ingresses.len())?;
        inner.lock().counts.calls += 1;
        let mut call = RetryState::new(request.retry_safety, inner.now() + request.timeout);
        let mut tried = Vec::new();
        loop {
            let (how, kind) = match inner.one(request, &mut call, &mut tried).await {
                Ok(body) => return Ok(Answer { body, tries: call.tries() }),
                Err(ended) => ended,
            };
            let next = {
                let mut state = inner.lock();
                let State { budget, rng, .. } = &mut *state;
                call.try_ended(inner.now(), how, &inner.config.retry_policy, budget, &mut || rng.f64())
            };
            match next {
                RetryDecision::RetryAt(at) => sleep(span(at - inner.now())).await,
                RetryDecision::Stop(stop_reason) => {
                    let (tries, may_have_run) = (call.tries(), call.may_have_run());
                    return Err(Error { kind, stop_reason, tries, may_have_run });
                }
            }
        }
    }
}

fn span(millis: Millis) -> Duration {
    Duration::from_secs_f64(millis.clamp(0.0, 1e9) / 1000.0)
}

type Went1 = (TryOutcome, Kind);

impl Inner {
    fn now(&self) -> Millis {
        self.origin.elapsed().as_secs_f64() * 1000.0
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// One try: a connection, the request, the answer.
    async fn one(
        &self,
        request: &Request,
        call: &mut RetryState,
        tried: &mut Vec<usize>,
    ) -> Result<Vec<u8>, Went1> {
        let left = span(call.deadline() - self.now());
        let reached = timeout(left, self.reach(request.set, tried)).await;
        let (mut lease, mut stream) = match reached {
            Ok(Ok(reached)) => reached,
            Ok(Err(())) | Err(_) => return Err((TryOutcome::NotSent, Kind::Unreachable)),
        };
        let now = self.now();
        if !call.may_send(now) {
            self.park(&mut lease, stream);
            return Err((TryOutcome::NotSent, Kind::Unreachable));
        }
        tried.push(lease.i);
        let bytes = {
            let mut state = self.lock();
            call.try_sent(now, &self.config.retry_policy, &mut state.budget);
            state.counts.tries += 1;
            request.bytes(state.rng.u64(..), call.deadline() - now, call.tries() > 1)
        };
        let left = span(call.deadline() - now);
        // Only once all is written may it run.
        let mut written = false;
        let asked = timeout(left, async {
            if stream.write_all(&bytes).await.is_err() || stream.flush().await.is_err() {
                return Err((TryOutcome::NotSent, Kind::Broken));
            }
            written = true;
            read(&mut stream, self.config.most).await
        });
        let ended = match asked.await {
            Ok(ended) => ended,
            Err(_) if written => Err((TryOutcome::TimedOut, Kind::TimedOut)),
            Err(_) => Err((TryOutcome::NotSent, Kind::TimedOut)),
        };
        lease.went = Some(if ended.is_ok() { HealthSignal::Answered } else { HealthSignal::Failed });
        match ended {
            Ok((status, after, keep, body)) => {
                if keep {
                    self.park(&mut lease, stream);
                }
                match status {
                    200 => Ok(body),
                    429 | 503 => Err((TryOutcome::Rejected { retry_after: after }, Kind::Refused(status))),
                    _ => Err((TryOutcome::Failed, Kind::Failed(status))),
                }
            }
            Err((how, kind)) => {
                lease.lost = matches!(kind, Kind::Broken);
                Err((how, kind))
            }
        }
    }

    /// A connection to an ingress of the set, an idle one or a new one; the lease is for the try on it.
    async fn reach(
        &self,
        set: (usize, usize),
        tried: &mut Vec<usize>,
    ) -> Result<(Lease<'_>, Box<dyn Stream>), ()> {
        loop {
            let freed = self.freed.notified();
            let mut freed = std::pin::pin!(freed);
            freed.as_mut().enable();
            let now = self.now();
            let (i, idle, may) = {
                let mut state = self.lock();
                let State { ingresses, idle, rng, .. } = &mut *state;
                let picked =
                    ingresses.pick(now, ingresses.ingress_set(set.0, set.1), tried, &mut || rng.f64());
                let i = picked.ok_or(())?;
                let kept = self.kept(ingresses, &mut idle[i], i);
                let may = if kept.is_some() { Ok(()) } else { ingresses.reserve_connection(now, i) };
                if may.is_ok() {
                    ingresses.try_started(i);
                }
                state.counts.connects += u64::from(may.is_ok() && kept.is_none());
                (i, kept, may)
            };
            match (idle, may) {
                (Some(stream), _) => {
                    return Ok((Lease { inner: self, i, went: None, open: true, lost: false }, stream));
                }
                (None, Ok(())) => {
                    let mut lease = Lease { inner: self, i, went: None, open: true, lost: false };
                    match timeout(self.config.connect, self.connect(i)).await {
                        Ok(Ok(stream)) => {
                            self.lock().ingresses.connect_succeeded(i);
                            return Ok((lease, stream));
                        }
                        _ => {
                            lease.went = Some(HealthSignal::Unreachable);
                            lease.open = false;
                            let now = self.now();
                            let mut state = self.lock();
                            let State { ingresses, rng, .. } = &mut *state;
                            ingresses.connect_failed(now, i, &mut || rng.f64());
                            if !tried.contains(&i) {
                                tried.push(i);
                            }
                        }
                    }
                }
                // Until it may be asked again, or a connection is free; whichever is first.
                (None, Err(wait)) => {
                    let _ = timeout(span(wait.min(1000.0)), freed).await;
                }
            }
        }
    }

    /// An idle connection that still looks well; the others are closed.
    fn kept(&self, ingresses: &mut Ingresses, idle: &mut Vec<Idle>, i: usize) -> Option<Box<dyn Stream>> {
        while let Some(kept) = idle.pop() {
            if kept.since.elapsed() < self.config.idle && quiet(kept.stream.socket()) {
                return Some(kept.stream);
            }
            ingresses.connection_closed(i);
        }
        None
    }

    async fn connect(&self, i: usize) -> std::io::Result<Box<dyn Stream>> {
        let stream = TcpStream::connect(self.config.ingresses[i]).await?;
        stream.set_nodelay(true)?;
        #[cfg(feature = "tls")]
        if let Some(tls) = &self.config.tls {
            return Ok(Box::new(tls.connect(stream).await?));
        }
        Ok(Box::new(stream))
    }

    /// Puts a connection by for the next request.
    fn park(&self, lease: &mut Lease<'_>, stream: Box<dyn Stream>) {
        lease.open = false;
        self.lock().idle[lease.i].push(Idle { stream, since: Instant::now() });
    }
}

/// Whether nothing has come on an idle connection, its end included, asked of the system itself: the runtime may not
/// have seen yet what came since it last waited.
fn quiet(socket: &TcpStream) -> bool {
    let peeked = SockRef::from(socket).peek(&mut [MaybeUninit::uninit()]);
    peeked.is_err_and(|e| e.kind() == std::io::ErrorKind::WouldBlock)
}

/// Reads an answer: its status, the time told, whether the connection can be used again, and its body.
async fn read(
    stream: &mut Box<dyn Stream>,
    most: usize,
) -> Result<(u16, Option<Millis>, bool, Vec<u8>), Went1> {
    let (mut reader, mut buffer) = (AnswerReader::new(most), BytesMut::new());
    loop {
        buffer.reserve(8 * 1024);
        let ended = match stream.read_buf(&mut buffer).await {
            Ok(n) => n == 0,
            Err(_) => return Err((TryOutcome::ConnectionLost, Kind::Broken)),
        };
        match reader.read(&mut buffer, ended) {
            Ok(Some((head, body))) => {
                // What nobody asked for would be taken for the next answer.
                let keep = !head.close && !ended && buffer.is_empty();
                return Ok((head.status, head.retry_after, keep, body));
            }
            Ok(None) if ended => return Err((TryOutcome::ConnectionLost, Kind::Broken)),
            Ok(None) => {}
            Err(bad) => return Err((TryOutcome::ConnectionLost, Kind::Unreadable(bad))),
        }
    }
}
