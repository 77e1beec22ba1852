//! Stand-ins for what an instance talks with, written after the published protocols: authorisers, Consul, the
//! counter, discovery and real servers. All listen on loopback, at ports of the system's choice.
#![allow(dead_code)]

pub mod admin;
pub mod consul;
pub mod full_backlog;
pub mod ingress;
pub mod program;
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

/// Runs a test on one thread; it fails if it takes longer than anything here may.
pub fn local(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let limited = async { tokio::time::timeout(std::time::Duration::from_secs(60), test).await.unwrap() };
    LocalSet::new().block_on(&runtime, limited);
}

pub async fn listener() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").await.unwrap()
}

/// A loopback address that no other test has, for what only a configuration can name. Nothing is bound to find it: a
/// listener that is closed to make room is still held by a process that another test is just about to start.
pub fn own_address() -> SocketAddr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let [low, high, ..] = std::process::id().to_le_bytes();
    let [number, more] = LAST.fetch_add(1, Ordering::Relaxed).to_le_bytes();
    (Ipv4Addr::new(127, 128 | high, low, number.max(1)), 7000 + u16::from(more) * 2 + u16::from(number == 0))
        .into()
}

pub fn discarding_logger() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

/// The next message on a stream; none once it has ended.
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

/// Lets somebody serve every connection that comes.
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

/// Deadlines that are swept_deadlines as an engine does it, for a part that runs alone.
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

/// A list of one ready real server.
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

/// Longer than a connection to a real server rests after an answer: it may carry another flow then.
pub async fn wait_until_reusable() {
    tokio::time::sleep(std::time::Duration::from_millis(80)).await;
}

/// Waits until something is so.
pub async fn until(mut so: impl FnMut() -> bool) {
    while !so() {
        tokio::time::sleep(std::time::Duration::from_millis(2)).await;
    }
}

/// How an authoriser behaves.
#[derive(Debug, Clone)]
pub enum AuthoriserMode {
    Answer(Bytes),
    Fail(tonic::Code),
    Stall,
    /// It closes its connections in the middle of a call.
    Disconnect,
    /// The first of those that share the flag does, once; all others answer.
    DisconnectOnce(Arc<AtomicBool>, Bytes),
}

type Calls = Arc<Mutex<Vec<(Bytes, Option<String>)>>>;

/// An authoriser.
#[derive(Clone)]
pub struct Authoriser {
    pub at: SocketAddr,
    manner: Arc<Mutex<AuthoriserMode>>,
    /// The checks that it got, with their time-outs.
    pub calls: Calls,
    pub called: Arc<Notify>,
    /// When the last one came.
    pub last: Arc<Mutex<Option<std::time::Instant>>>,
    /// Calls that were dropped before an answer.
    pub dropped: Arc<Notify>,
    connections: Arc<Mutex<Vec<AbortHandle>>>,
}

struct Dropped(Arc<Notify>);

impl Drop for Dropped {
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
        let manner = self.manner.lock().unwrap().clone();
        let (connections, dropped) = (self.connections.clone(), Dropped(self.dropped.clone()));
        Box::pin(async move {
            let _dropped = dropped;
            match manner {
                AuthoriserMode::Answer(bytes) => return Ok(Response::new(bytes)),
                AuthoriserMode::Fail(code) => return Err(Status::new(code, "as told")),
                AuthoriserMode::Stall => {}
                AuthoriserMode::DisconnectOnce(done, bytes) if done.swap(true, Ordering::Relaxed) => {
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
    pub async fn start(manner: AuthoriserMode) -> Self {
        let listener = listener().await;
        let this = Self {
            at: listener.local_addr().unwrap(),
            manner: Arc::new(Mutex::new(manner)),
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

    pub fn behave(&self, manner: AuthoriserMode) {
        *self.manner.lock().unwrap() = manner;
    }

    pub fn count(&self) -> usize {
        self.calls.lock().unwrap().len()
    }
}

/// A cable to somebody: passes bytes on, until it is cut for the connections that it carries.
pub struct Cable {
    pub at: SocketAddr,
    cut: watch::Sender<()>,
}

impl Cable {
    pub async fn to(there: SocketAddr) -> Self {
        let listener = listener().await;
        let this = Self { at: listener.local_addr().unwrap(), cut: watch::Sender::new(()) };
        let mut cut = this.cut.subscribe();
        spawn_local(async move {
            loop {
                let (mut here, _) = listener.accept().await.unwrap();
                let mut cut = {
                    cut.borrow_and_update();
                    cut.clone()
                };
                spawn_local(async move {
                    let mut there = TcpStream::connect(there).await.unwrap();
                    tokio::select! {
                        _ = tokio::io::copy_bidirectional(&mut here, &mut there) => {}
                        // Both ends stay open, and nothing passes.
                        _ = cut.changed() => std::future::pending().await,
                    }
                });
            }
        });
        this
    }

    pub fn cut(&self) {
        self.cut.send_replace(());
    }
}

/// The counter; it adds what it is told to, and answers nothing while it is silent.
#[derive(Clone)]
pub struct Counter {
    pub at: SocketAddr,
    pub numbers: Rc<RefCell<BTreeMap<String, f64>>>,
    pub calls: Rc<Cell<usize>>,
}

impl Counter {
    pub async fn start() -> Self {
        let listener = listener().await;
        let (numbers, calls) = Default::default();
        let this = Self { at: listener.local_addr().unwrap(), numbers, calls };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().answer(stream));
        this
    }

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

/// How a real server behaves on a request.
#[derive(Debug, Clone)]
pub enum Serve {
    /// These bytes, and the connection goes on.
    Bytes(Vec<u8>),
    /// These bytes, then the end of the connection.
    Last(Vec<u8>),
    /// A good answer with this body, after a time.
    Late(std::time::Duration, String),
    /// Nothing.
    Stall,
}

pub fn ok(body: &str) -> Serve {
    Serve::Bytes(format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes())
}

/// A real server.
#[derive(Clone)]
pub struct Backend {
    pub at: SocketAddr,
    manner: Rc<RefCell<Serve>>,
    /// The requests that came whole, each with the number of its connection.
    pub got: Rc<RefCell<Vec<(usize, Message)>>>,
    /// Connections opened, and those that the other side has closed.
    pub connections: Rc<Cell<[usize; 2]>>,
}

impl Backend {
    pub async fn start(manner: Serve) -> Self {
        Self::on(listener().await, manner)
    }

    /// One at all addresses of this machine's.
    pub async fn on_all(manner: Serve) -> Self {
        Self::on(TcpListener::bind("0.0.0.0:0").await.unwrap(), manner)
    }

    fn on(listener: TcpListener, manner: Serve) -> Self {
        let (got, connections) = Default::default();
        let manner = Rc::new(RefCell::new(manner));
        let this = Self { at: listener.local_addr().unwrap(), manner, got, connections };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().serve(stream));
        this
    }

    async fn serve(self, mut stream: TcpStream) {
        let [number, closed] = self.connections.get();
        self.connections.set([number + 1, closed]);
        let mut buffer = BytesMut::new();
        while let Some(message) = message(&mut stream, &mut buffer, MessageKind::Request).await {
            self.got.borrow_mut().push((number, message));
            let manner = self.manner.borrow().clone();
            match manner {
                // The other side may close in the middle of it.
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

    pub fn behave(&self, manner: Serve) {
        *self.manner.borrow_mut() = manner;
    }

    pub fn count(&self) -> usize {
        self.got.borrow().len()
    }
}

/// A service entry in discovery's form.
pub fn service_entry(name: &str, at: SocketAddr, cell: u16, lifecycle: &str) -> serde_json::Value {
    serde_json::json!({"instanceId": name, "hostPort": at.to_string(), "zone": "a", "machineType": "m",
        "cell": cell, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0})
}

/// Discovery's agent: gives every watch a sign of life at once and then the lines it is told, and remembers what was
/// asked.
#[derive(Clone)]
pub struct Agent {
    pub at: SocketAddr,
    lines: watch::Sender<Vec<String>>,
    pub asked: Rc<RefCell<Vec<String>>>,
}

impl Agent {
    pub async fn start() -> Self {
        let listener = listener().await;
        let this = Self {
            at: listener.local_addr().unwrap(),
            lines: watch::Sender::default(),
            asked: Rc::default(),
        };
        let serving = this.clone();
        serve_each(listener, move |stream| serving.clone().tell(stream));
        this
    }

    /// Tells every watch a list; what is told before a watch begins is not repeated to it.
    pub fn say(&self, generation: u64, reset: bool, entries: Vec<serde_json::Value>) {
        let list = serde_json::json!({"generation": generation, "reset": reset, "instances": entries});
        self.say_line(list.to_string());
    }

    pub fn say_line(&self, line: String) {
        self.lines.send_modify(|lines| lines.push(line));
    }

    async fn tell(self, mut stream: TcpStream) {
        let Some(request) = message(&mut stream, &mut BytesMut::new(), MessageKind::Request).await else {
            return;
        };
        let mut lines = self.lines.subscribe();
        let mut told = lines.borrow_and_update().len();
        self.asked.borrow_mut().push(String::from_utf8(request.head.request_line().1.to_vec()).unwrap());
        let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\n\n\r\n").await;
        while lines.changed().await.is_ok() {
            let new = lines.borrow_and_update()[told..].to_vec();
            told += new.len();
            for line in new {
                // An empty line says that the watch ends.
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
