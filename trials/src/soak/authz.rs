//! A soak of the authorisation front: callers that make it hold what they send, in forms drawn by seed, and usual ones
//! beside them. It checks memory and that usual checks are answered in time.

#[path = "../../../tests/stand_ins/check_callers.rs"]
mod check_callers;
#[allow(dead_code)]
#[path = "../../../tests/stand_ins/raw_http2.rs"]
mod raw_http2;

use super::resident_kib;
use crate::configured_child::{ConfiguredChild, guarded};
use bytes::Bytes;
use check_callers::{BadCaller, check_of, message_body};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::HeaderMap;
use hyper::server::conn::{http1, http2};
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioExecutor, TokioIo};
use prost::Message;
use raw_http2::{DEFAULT_WINDOW, END_STREAM, check_head, data_frame, put_field};
use serde_json::json;
use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};
use weldhub::fronts::ext_authz::authorisers::{call, open};
use weldhub::fronts::ext_authz::proto::{CheckResponse, HttpResponse};

/// Separates the draws of this soak from those of the platform's.
const AUTHZ_DRAWS: u64 = 0xa072;
/// The least memory that the settings allow, in MiB.
const MEMORY_MIB: usize = 32;
/// How long the callers stay.
const STAY: Duration = Duration::from_secs(4);
/// The number of usual callers, each with one check at a time.
const USUAL_CALLERS: usize = 4;
/// The timeout that usual callers tell, in milliseconds.
const CHECK_TIMEOUT_MS: u64 = 1000;
/// What a check may take beyond its timeout: half a second, and 50 ms on sockets.
const LATE: Duration = Duration::from_millis(550);
/// The interval at which the memory of the process is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(20);
/// The time within which the process must serve.
const START_TIMEOUT: Duration = Duration::from_secs(30);
/// How long a blocking query of Consul blocks here.
const QUERY_WAIT: Duration = Duration::from_secs(60);
/// The configuration of the front.
const CONFIG: &str = include_str!("../../../deploy/ext-authz.toml");

/// What bad callers send behind the head of a stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyForm {
    /// Nothing.
    None,
    /// A part of a message that claims to be longer.
    Part,
    /// A whole message that is no check.
    Unsound,
}

/// What a seed plays.
#[derive(Debug, Clone, Copy)]
pub struct AuthzSoak {
    /// The number of bad callers.
    pub callers: usize,
    /// The streams that each opens.
    pub streams: u32,
    /// The bytes of the long field of a head.
    pub head_bytes: usize,
    /// The number of short fields of a head.
    pub fields: usize,
    /// What follows the head.
    pub body: BodyForm,
    /// Whether bad callers read what they are sent.
    pub reads: bool,
    /// The bytes of an answer that bad callers take.
    pub window: u32,
}

/// What a soak of the front found.
#[derive(Debug)]
pub struct AuthzReport {
    /// What was played.
    pub soak: AuthzSoak,
    /// The rules that were broken; none if it passed.
    pub violations: Vec<String>,
    /// The highest memory of the process, in KiB.
    pub peak_kib: usize,
}

impl AuthzSoak {
    /// Draws a soak; `None` if the seed has none.
    pub fn draw(seed: u64) -> Option<Self> {
        let mut rng = fastrand::Rng::with_seed(seed ^ AUTHZ_DRAWS);
        if rng.u8(..4) > 0 {
            return None;
        }
        let bodies = [BodyForm::None, BodyForm::Part, BodyForm::Unsound];
        Some(Self {
            callers: rng.usize(20..=44),
            streams: rng.u32(100..=250),
            head_bytes: if rng.bool() { rng.usize(1000..=15_000) } else { 0 },
            fields: if rng.bool() { rng.usize(50..=400) } else { 0 },
            body: bodies[rng.usize(..bodies.len())],
            reads: rng.bool(),
            window: if rng.bool() { DEFAULT_WINDOW } else { 0 },
        })
    }

    fn head(&self) -> Vec<u8> {
        let mut head = check_head();
        if self.head_bytes > 0 {
            put_field(&mut head, "x-pad", &vec![b'a'; self.head_bytes]);
        }
        for n in 0..self.fields {
            put_field(&mut head, &format!("{n:x}"), b"");
        }
        head
    }

    fn body_frame(self, stream: u32) -> Vec<u8> {
        match self.body {
            BodyForm::None => Vec::new(),
            BodyForm::Part => {
                let claimed = [0, 0, 1, 0, 0];
                data_frame(stream, 0, &[&claimed[..], &[b'a'; 200]].concat()).to_vec()
            }
            BodyForm::Unsound => data_frame(stream, END_STREAM, &message_body(b"unsound")).to_vec(),
        }
    }

    /// Returns a bad caller of this form.
    fn caller(self) -> BadCaller<impl Fn(u32) -> Vec<u8>> {
        let body = move |stream| self.body_frame(stream);
        BadCaller { streams: self.streams, head: self.head(), body, reads: self.reads, window: self.window }
    }
}

/// The process, and the address at which it takes checks.
struct Front {
    process: ConfiguredChild,
    listen: SocketAddr,
}

impl Front {
    /// Starts the process, and waits until it accepts connections.
    async fn start(program: &Path, consul: SocketAddr) -> Result<Self, String> {
        let message = |e: io::Error| e.to_string();
        let listen = std::net::TcpListener::bind("127.0.0.1:0")
            .and_then(|listener| listener.local_addr())
            .map_err(message)?;
        let text = CONFIG
            .replace("127.0.0.1:8500", &consul.to_string())
            .replace("127.0.0.1:9191", &listen.to_string())
            .replace("memory_mb = 192", &format!("memory_mb = {MEMORY_MIB}"))
            .replace("storeSize = 27.0", "storeSize = 1e6");
        let name = format!("weldhub-soak-authz-{}-{}.toml", std::process::id(), listen.port());
        let config_file = std::env::temp_dir().join(name);
        std::fs::write(&config_file, text).map_err(message)?;
        let child = guarded(program)
            .map_err(message)?
            .arg("--ext-authz")
            .arg(&config_file)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .map_err(message)?;
        let front = Self { process: ConfiguredChild { child, config_file }, listen };
        let end = Instant::now() + START_TIMEOUT;
        while TcpStream::connect(listen).await.is_err() {
            if Instant::now() > end {
                return Err("the authorisation front did not start".to_owned());
            }
            sleep(MEMORY_INTERVAL).await;
        }
        Ok(front)
    }
}

/// Plays the soak of the front.
///
/// # Errors
/// A message if the process or a stand-in cannot be started.
pub async fn play(program: &Path, soak: AuthzSoak) -> Result<AuthzReport, String> {
    let message = |e: io::Error| e.to_string();
    let authoriser = start_authoriser().await.map_err(message)?;
    let consul = start_consul(authoriser).await.map_err(message)?;
    let front = Front::start(program, consul).await?;
    let (peak, process) = (Rc::new(Cell::new(0)), front.process.child.id());
    let highest = peak.clone();
    let memory = spawn_local(async move {
        loop {
            highest.set(highest.get().max(resident_kib(process)));
            sleep(MEMORY_INTERVAL).await;
        }
    });
    let end = Instant::now() + STAY;
    let usual: Vec<_> = (0..USUAL_CALLERS).map(|_| spawn_local(send_checks(front.listen, end))).collect();
    let caller = Rc::new(soak.caller());
    let mut bad = Vec::new();
    for _ in 0..soak.callers {
        let (caller, listen, stay) =
            (caller.clone(), front.listen, end.saturating_duration_since(Instant::now()));
        bad.push(spawn_local(async move { caller.call(listen, stay).await }));
        sleep(Duration::from_millis(10)).await;
    }
    let mut violations = Vec::new();
    for caller in usual {
        violations.extend(caller.await.map_err(|e| e.to_string())?);
    }
    for caller in bad {
        caller.await.map_err(|e| e.to_string())?;
    }
    memory.abort();
    if peak.get() > MEMORY_MIB * 1024 {
        violations.push(format!("{} KiB of memory, of {} allowed", peak.get(), MEMORY_MIB * 1024));
    }
    Ok(AuthzReport { soak, violations, peak_kib: peak.get() })
}

/// Sends one usual check after the other, each on a new connection. Returns the rules that were broken.
async fn send_checks(listen: SocketAddr, end: Instant) -> Option<String> {
    let mut number = 0;
    while Instant::now() < end {
        number += 1;
        let asked = async {
            let sender = open(listen).await.map_err(|e| e.to_string())?;
            let mut request = tonic::Request::new(check_of("Almaty-7", "club"));
            let time = format!("{CHECK_TIMEOUT_MS}m").parse().map_err(|_| "no timeout")?;
            request.metadata_mut().insert("grpc-timeout", time);
            let answer = call(sender, listen, request).await.map_err(|(_, status)| status.to_string())?;
            CheckResponse::decode(answer).map_err(|e| e.to_string())
        };
        match timeout(Duration::from_millis(CHECK_TIMEOUT_MS) + LATE, asked).await {
            Ok(Ok(CheckResponse { http_response: Some(HttpResponse::Denied(denied)), .. })) => {
                return Some(format!("usual check {number} was denied: {denied:?}"));
            }
            Ok(Ok(_)) => {}
            Ok(Err(e)) => return Some(format!("usual check {number}: {e}")),
            Err(_) => return Some(format!("usual check {number} was not answered in time")),
        }
        sleep(Duration::from_millis(20)).await;
    }
    None
}

/// Starts an authoriser that allows every check; returns its address.
async fn start_authoriser() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let service = service_fn(|request: Request<Incoming>| async {
                let _ = request.into_body().collect().await;
                let trailers = async {
                    let mut trailers = HeaderMap::new();
                    trailers.insert("grpc-status", hyper::header::HeaderValue::from_static("0"));
                    Some(Ok::<_, Infallible>(trailers))
                };
                // A `CheckResponse` with status code 0, behind its prefix.
                let body = Full::new(Bytes::from_static(&[0, 0, 0, 0, 4, 0x0a, 0, 0x1a, 0]));
                let response = Response::builder().header("content-type", "application/grpc");
                response.body(body.with_trailers(trailers))
            });
            let builder = http2::Builder::new(TokioExecutor::new());
            // `Send`, so it runs on a task of the runtime.
            tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}

/// Starts an agent of Consul that lists this authoriser; returns its address.
async fn start_consul(authoriser: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let list = json!([{
        "Node": {"Node": "n1", "Address": "127.0.0.1"},
        "Service": {"ID": "a", "Address": authoriser.ip().to_string(), "Port": authoriser.port(),
            "Meta": {"cell": "0", "zone": "north-hall"}, "Weights": {"Passing": 1, "Warning": 1}},
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}],
    }]);
    let list = Bytes::from(list.to_string());
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let list = list.clone();
            let service = service_fn(move |request: Request<Incoming>| {
                let list = list.clone();
                async move {
                    if request.uri().query().is_some_and(|query| query.contains("index=1")) {
                        sleep(QUERY_WAIT).await;
                    }
                    let response = Response::builder()
                        .header("content-type", "application/json")
                        .header("x-consul-index", "1")
                        .header("x-consul-knownleader", "true")
                        .header("x-consul-lastcontact", "0");
                    response.body(Full::new(list))
                }
            });
            spawn_local(http1::Builder::new().serve_connection(TokioIo::new(stream), service));
        }
    });
    Ok(address)
}
