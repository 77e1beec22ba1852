//! Stand-ins for the systems that an ingress talks to, written from the published protocols: authorisers, Consul, the
//! counter, discovery and backends. All listen on ports of the system's choice, on loopback unless said otherwise.
#![allow(dead_code)]

pub mod admin;
pub mod build;
pub mod check_callers;
pub mod consul;
pub mod full_backlog;
pub mod ingress;
pub mod limited;
pub mod link_relay;
pub mod long_body;
pub mod paced;
pub mod program;
pub mod raw_http2;
pub mod site;
pub mod thread_timer;

#[allow(unused_imports)]
pub use consul::{Consul, Fault, instance};

use bytes::{Bytes, BytesMut};
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::future::Future;
use std::net::{Ipv4Addr, SocketAddr};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, watch};
use tokio::task::{AbortHandle, LocalSet, spawn_local};
use tonic::server::{Grpc, UnaryService};
use tonic::{Response, Status};
use weldhub::deadlines::{Clock, Deadlines};
use weldhub::entries::{BackendList, ServiceEntry, backend_id};
use weldhub::fronts::ext_authz::proto::RawCodec;
use weldhub::interface::{BackendEntry, BackendState, CellId, KindId, ZoneId};
use weldhub::net::http::{Message, MessageKind, take_message};

/// Runs a test on one thread; it fails if the test takes longer than 60 s.
pub fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let with_timeout =
        async { tokio::time::timeout(std::time::Duration::from_secs(60), test).await.unwrap() };
    LocalSet::new().block_on(&runtime, with_timeout);
}

/// Listens on loopback, on a port of the system's choice.
pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// Returns a loopback address that no other test uses, for addresses that have to stand in a configuration file before
/// anything listens there. It is computed from the process id, not found by binding and closing a listener: a process
/// that another test starts at that moment inherits the listener, which would keep the port in use.
pub fn own_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let [low_count, high_count] = LAST.fetch_add(1, Ordering::Relaxed).to_le_bytes();
    (
        Ipv4Addr::new(127, 128 | high, low, low_count.max(1)),
        7000 + u16::from(high_count) * 2 + u16::from(low_count == 0),
    )
        .into()
}

/// Returns a logger that drops all records.
pub fn discarding_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// Reads the next message from a stream; `None` if the stream has ended.
pub async fn message(
    stream: &mut (impl AsyncRead + Unpin),
    buffer: &mut BytesMut,
    kind: MessageKind,
) -> Option<Message> {
    loop {
        if let Some(message) = take_message(buffer, kind, false).unwrap() {
            return Some(message);
        }
        if stream.read_buf(buffer).await.ok()? == 0 {
            return None;
        }
    }
}

/// Accepts connections and runs `serve` for each, in a task of its own.
fn serve_each<F: Future<Output = ()> + 'static>(
    listener: TcpListener,
    mut serve: impl FnMut(TcpStream) -> F + 'static,
) {
    spawn_local(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            spawn_local(serve(stream));
        }
    });
}

/// Returns deadlines whose expired entries are removed as the engine does it, for a component that runs without one.
pub fn swept_deadlines() -> Deadlines {
    let deadlines = Deadlines::new(Clock::new());
    let sweeping = deadlines.clone();
    spawn_local(async move {
        loop {
            sweeping.next_expiry().await;
            sweeping.take_expired(sweeping.clock().now());
        }
    });
    deadlines
}

/// Returns a complete list of one ready backend.
pub fn single_backend_list(name: &str, at: SocketAddr) -> BackendList {
    let entry = BackendEntry {
        backend: backend_id(name),
        state: BackendState::Ready,
        weight: 1.0,
        zone: ZoneId(0),
        cell: CellId(0),
        kind: KindId(0),
        last_start: None,
    };
    BackendList { generation: 1, complete: true, entries: vec![ServiceEntry { entry, address: Some(at) }] }
}

/// Waits until a connection to a backend may carry another request: it is held back for a while after each answer, and
/// this waits longer than that.
pub async fn wait_until_reusable() {
    tokio::time::sleep(std::time::Duration::from_millis(80)).await;
}

/// Waits until a condition holds, checking it every 2 ms.
pub async fn until(mut condition: impl FnMut() -> bool) {
    while !condition() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
}

/// How the stand-in for an authoriser treats a call.
#[derive(Debug, Clone)]
pub enum AuthoriserMode {
    /// It answers with this message.
    Answer(Bytes),
    /// It fails the call with this gRPC status.
    Fail(tonic::Code),
    /// It never answers.
    Stall,
    /// It closes all its connections in the middle of the call.
    Disconnect,
    /// The first call to any authoriser that shares the flag is treated as by `Disconnect`; all later ones are answered
    /// with this message.
    DisconnectOnce(Arc<AtomicBool>, Bytes),
}

/// The calls received: each message with its `grpc-timeout`, if any.
type Calls = Arc<Mutex<Vec<(Bytes, Option<String>)>>>;

/// A stand-in for an external authorisation server, over gRPC; clones share its state.
#[derive(Clone)]
pub struct Authoriser {
    /// The address that it listens on.
    pub at: SocketAddr,
    mode: Arc<Mutex<AuthoriserMode>>,
    /// The checks received, with their timeouts.
    pub calls: Calls,
    /// Notified when a check is received.
    pub called: Arc<Notify>,
    /// When the last check was received.
    pub last: Arc<Mutex<Option<std::time::Instant>>>,
    /// Notified when a call ends, answered or cancelled.
    pub dropped: Arc<Notify>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
}

/// Notifies when it is dropped.
struct NotifyOnDrop(Arc<Notify>);

impl Drop for NotifyOnDrop {
    fn drop(&mut self) {
        self.0.notify_one();
    }
}

impl UnaryService<Bytes> for Authoriser {
    type Response = Bytes;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Bytes>, Status>> + Send>>;

    fn call(&mut self, request: tonic::Request<Bytes>) -> Self::Future {
        let timeout = request.metadata().get("grpc-timeout").map(|v| v.to_str().unwrap().to_owned());
        self.calls.lock().unwrap().push((request.into_inner(), timeout));
        self.called.notify_one();
        *self.last.lock().unwrap() = Some(std::time::Instant::now());
        let mode = self.mode.lock().unwrap().clone();
        let (connections, dropped) = (self.connections.clone(), NotifyOnDrop(self.dropped.clone()));
        Box::pin(async move {
            let _dropped = dropped;
            match mode {
                AuthoriserMode::Answer(bytes) => return Ok(Response::new(bytes)),
                AuthoriserMode::Fail(code) => return Err(Status::new(code, "as told")),
                AuthoriserMode::Stall => {}
                AuthoriserMode::DisconnectOnce(disconnected, bytes)
                    if disconnected.swap(true, Ordering::Relaxed) =>
                {
                    return Ok(Response::new(bytes));
                }
                AuthoriserMode::Disconnect | AuthoriserMode::DisconnectOnce(..) => {
                    connections.lock().unwrap().drain(..).for_each(|c| c.abort())
                }
            }
            std::future::pending().await
        })
    }
}

impl Authoriser {
    /// Starts an authoriser on loopback.
    pub async fn start(mode: AuthoriserMode) -> Self {
        let listener = listener().await;
        let this = Self {
            at: listener.local_addr().unwrap(),
            mode: Arc::new(Mutex::new(mode)),
            calls: Calls::default(),
            called: Arc::default(),
            last: Arc::default(),
            dropped: Arc::default(),
            connections: Arc::default(),
        };
        let accepting = this.clone();
        spawn_local(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let serving = accepting.clone();
                let service = service_fn(move |request| {
                    let authoriser = serving.clone();
                    async move {
                        Ok::<_, std::convert::Infallible>(
                            Grpc::new(RawCodec).unary(authoriser, request).await,
                        )
                    }
                });
                let builder = http2::Builder::new(TokioExecutor::new());
                let connection = tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
                accepting.connections.lock().unwrap().push(connection.abort_handle());
            }
        });
        this
    }

    /// Sets how it treats calls received from now on.
    pub fn behave(&self, mode: AuthoriserMode) {
        *self.mode.lock().unwrap() = mode;
    }

    /// The number of checks received.
    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// A TCP relay to another address. After a cut, the connections open at that moment stay open but carry nothing more.
pub struct Cable {
    /// The address that it listens on.
    pub at: SocketAddr,
    cut: watch::Sender<()>,
}

impl Cable {
    /// Starts a relay to `target`.
    pub async fn to(target: SocketAddr) -> Self {
        let listener = listener().await;
        let this = Self { at: listener.local_addr().unwrap(), cut: watch::Sender::new(()) };
        let mut cut = this.cut.subscribe();
        spawn_local(async move {
            loop {
                let (mut client, _) = listener.accept().await.unwrap();
                let mut cut = {
                    cut.borrow_and_update();
                    cut.clone()
                };
                spawn_local(async move {
                    let mut server = TcpStream::connect(target).await.unwrap();
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut client, &mut server) => {}
                        // Both connections stay open, but nothing is relayed.
                        _ = cut.changed() => std::future::pending().await,
                    }
                });
            }
        });
        this
    }

    /// Stops relaying on the connections that are open now; new ones are relayed.
    pub fn cut(&self) {
        self.cut.send_replace(());
    }
}

/// A stand-in for the fleet's shared counter: adds amounts to numbers by name.
#[derive(Clone)]
pub struct Counter {
    /// The address that it listens on.
    pub at: SocketAddr,
    /// The totals by name.
    pub numbers: Rc<RefCell<BTreeMap<String, f64>>>,
    /// The number of additions.
    pub calls: Rc<Cell<usize>>,
}

impl Counter {
    /// Starts a counter on loopback, with no totals.
    pub async fn start() -> Self {
        let listener = listener().await;
        let (numbers, calls) = Default::default();
        let this = Self { at: listener.local_addr().unwrap(), numbers, calls };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().answer(stream));
        this
    }

    /// Answers the lines of one connection until it ends.
    async fn answer(self, stream: TcpStream) {
        use tokio::io::{AsyncBufReadExt, BufReader};
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let answer = match words[..] {
                ["ping"] => "pong\r\n".to_owned(),
                ["bump", name, amount, _] => {
                    let mut numbers = self.numbers.borrow_mut();
                    let total = numbers.entry(name.to_owned()).or_default();
                    *total += amount.parse::<f64>().unwrap();
                    self.calls.set(self.calls.get() + 1);
                    format!("ok {total}\r\n")
                }
                _ => "error\r\n".to_owned(),
            };
            stream.get_mut().write_all(answer.as_bytes()).await.unwrap();
            line.clear();
        }
    }
}

/// How the stand-in for a backend treats a request.
#[derive(Debug, Clone)]
pub enum Serve {
    /// It writes these bytes and keeps the connection open.
    Bytes(Vec<u8>),
    /// It writes these bytes and closes the connection.
    Last(Vec<u8>),
    /// It answers 200 with this body after a delay.
    Late(std::time::Duration, String),
    /// It never answers.
    Stall,
}

/// An answer 200 with this body, on a connection that stays open.
pub fn ok(body: &str) -> Serve {
    Serve::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

/// A stand-in for a backend, over HTTP/1.1; clones share its state.
#[derive(Clone)]
pub struct Backend {
    /// The address that it listens on.
    pub at: SocketAddr,
    mode: Rc<RefCell<Serve>>,
    /// The requests received in full, each with the number of its connection, from 0.
    pub got: Rc<RefCell<Vec<(usize, Message)>>>,
    /// The number of connections accepted, and of those that the other side has closed.
    pub connections: Rc<Cell<[usize; 2]>>,
}

impl Backend {
    /// Starts a backend on loopback.
    pub async fn start(mode: Serve) -> Self {
        Self::on(listener().await, mode)
    }

    /// Starts a backend that listens on all addresses of the machine.
    pub async fn on_all(mode: Serve) -> Self {
        Self::on(TcpListener::bind("0.0.0.0:0").await.unwrap(), mode)
    }

    fn on(listener: TcpListener, mode: Serve) -> Self {
        let (got, connections) = Default::default();
        let mode = Rc::new(RefCell::new(mode));
        let this = Self { at: listener.local_addr().unwrap(), mode, got, connections };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().serve(stream));
        this
    }

    /// Serves the requests of one connection until either side closes it.
    async fn serve(self, mut stream: TcpStream) {
        let [number, closed] = self.connections.get();
        self.connections.set([number + 1, closed]);
        let mut buffer = BytesMut::new();
        while let Some(message) = message(&mut stream, &mut buffer, MessageKind::Request).await {
            self.got.borrow_mut().push((number, message));
            let mode = self.mode.borrow().clone();
            match mode {
                // The other side may close the connection while the answer is written.
                Serve::Bytes(bytes) if stream.write_all(&bytes).await.is_err() => break,
                Serve::Bytes(_) => {}
                Serve::Last(bytes) => {
                    stream.write_all(&bytes).await.unwrap();
                    return;
                }
                Serve::Late(after, body) => {
                    tokio::time::sleep(after).await;
                    if let Serve::Bytes(bytes) = ok(&body) {
                        let _ = stream.write_all(&bytes).await;
                    }
                }
                Serve::Stall => {}
            }
        }
        let [opened, closed] = self.connections.get();
        self.connections.set([opened, closed + 1]);
    }

    /// Sets how it treats requests received from now on.
    pub fn behave(&self, mode: Serve) {
        *self.mode.borrow_mut() = mode;
    }

    /// The number of requests received in full.
    pub fn count(&self) -> usize {
        self.got.borrow().len()
    }
}

/// Returns a service entry in discovery's JSON format.
pub fn service_entry(name: &str, at: SocketAddr, cell: u16, lifecycle: &str) -> serde_json::Value {
    serde_json::json!({"instanceId": name, "hostPort": at.to_string(), "zone": "a", "machineType": "m",
        "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// A stand-in for discovery's agent. It answers every watch with an empty line (a keep-alive) at once, and then with
/// the lines it is given. Clones share its state.
#[derive(Clone)]
pub struct Agent {
    /// The address that it listens on.
    pub at: SocketAddr,
    lines: watch::Sender<Vec<String>>,
    /// The targets of the requests received, in order.
    pub asked: Rc<RefCell<Vec<String>>>,
}

impl Agent {
    /// Starts an agent on loopback, with no lines.
    pub async fn start() -> Self {
        let listener = listener().await;
        let this = Self {
            at: listener.local_addr().unwrap(),
            lines: watch::Sender::default(),
            asked: Rc::default(),
        };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().serve(stream));
        this
    }

    /// Sends a list to every open watch; watches opened later do not receive it.
    pub fn say(&self, generation: u64, reset: bool, entries: Vec<serde_json::Value>) {
        let list = serde_json::json!({"generation": generation, "reset": reset, "instances": entries});
        self.say_line(list.to_string());
    }

    /// Sends a line to every open watch; an empty one ends the watches.
    pub fn say_line(&self, line: String) {
        self.lines.send_modify(|lines| lines.push(line));
    }

    /// Serves one watch until it ends.
    async fn serve(self, mut stream: TcpStream) {
        let Some(request) = message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await else {
            return;
        };
        let mut lines = self.lines.subscribe();
        let mut sent = lines.borrow_and_update().len();
        self.asked.borrow_mut().push(String::from_utf8(request.head.request_line().1.to_vec()).unwrap());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").await;
        while lines.changed().await.is_ok() {
            let new = lines.borrow_and_update()[sent..].to_vec();
            sent += new.len();
            for line in new {
                // An empty line ends the watch.
                let text = match line.as_str() {
                    "" => "0\r\n\r\n".to_owned(),
                    line => format!("{:x}\r\n{line}\n\r\n", line.len() + 1),
                };
                if stream.write_all(text.as_bytes()).await.is_err() || line.is_empty() {
                    return;
                }
            }
        }
    }
}
