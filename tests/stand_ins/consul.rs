//! A stand-in Consul agent: the health and the catalogue of services by blocking queries, after Consul's published HTTP
//! API, with faults, and a script with a clock. By hand: `cargo run --example stand_in_consul -- SCRIPT`.

use bytes::BytesMut;
use serde::Deserialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use weldhub::net::http::{MessageKind, take_message};

/// What is wrong with the agent.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Nothing.
    None,
    /// It answers nothing, and takes connections all the same.
    Silent,
    /// It answers so many milliseconds late.
    Late(u64),
    /// It ends in the middle of an answer.
    Half,
    /// It answers with this status.
    Status(u16),
    /// Its bodies have no end.
    Endless,
}

#[derive(Debug, Clone)]
struct State {
    index: u64,
    /// The instances by service; those of the empty name are every other service's.
    services: BTreeMap<String, Vec<Value>>,
    health: Fault,
    catalogue: Fault,
}

/// The agent.
#[derive(Clone)]
pub struct Consul {
    pub at: SocketAddr,
    state: watch::Sender<State>,
    cut: watch::Sender<()>,
    /// The targets that were asked for.
    pub asked: Rc<RefCell<Vec<String>>>,
    /// The tokens that came.
    pub tokens: Rc<RefCell<Vec<String>>>,
    /// What the health answer says in place of the truth.
    pub health_override: Rc<RefCell<Option<(u16, String)>>>,
    /// Header lines of its answers, each with its end.
    pub extra_headers: Rc<RefCell<String>>,
    /// The longest that a query blocks, whatever it asks for.
    pub max_wait: Rc<Cell<Duration>>,
    /// When the last byte of the last health answer was written.
    pub last_health_answer: Rc<Cell<Option<Instant>>>,
    /// Bytes of answers, heads included.
    pub bytes: Rc<Cell<u64>>,
}

/// An instance as Consul lists it.
pub fn instance(id: &str, at: SocketAddr, cell: u16, status: &str) -> Value {
    json!({
        "Node": {"Node": "n1", "Address": "127.0.0.1"},
        "Service": {"ID": id, "Address": at.ip().to_string(), "Port": at.port(),
            "Meta": {"cell": cell.to_string(), "zone": "north-hall"}, "Weights": {"Passing": 1, "Warning": 1}},
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": id, "Status": status}],
    })
}

/// The same instances as the catalogue lists them.
fn catalogued(health: &[Value]) -> Value {
    let entry = |e: &Value| {
        json!({"Node": e["Node"]["Node"], "Address": e["Node"]["Address"], "ServiceID": e["Service"]["ID"],
            "ServiceAddress": e["Service"]["Address"], "ServicePort": e["Service"]["Port"]})
    };
    health.iter().map(entry).collect()
}

impl Consul {
    pub async fn start(instances: Vec<Value>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let this = Self::new(listener.local_addr().unwrap(), instances);
        let serving = this.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        this
    }

    /// One that speaks TLS only; its certificate is its own authority.
    pub async fn start_tls(instances: Vec<Value>, names: &[&str]) -> (Self, String) {
        use tokio_rustls::rustls::{ServerConfig, crypto::ring::default_provider};
        let names: Vec<String> = names.iter().map(|name| (*name).to_owned()).collect();
        let signed = rcgen::generate_simple_self_signed(names).unwrap();
        let key = rustls_pki_types::PrivateKeyDer::try_from(signed.signing_key.serialize_der()).unwrap();
        let config = ServerConfig::builder_with_provider(std::sync::Arc::new(default_provider()))
            .with_safe_default_protocol_versions()
            .unwrap()
            .with_no_client_auth()
            .with_single_cert(vec![signed.cert.der().clone()], key)
            .unwrap();
        let acceptor = tokio_rustls::TlsAcceptor::from(std::sync::Arc::new(config));
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let this = Self::new(listener.local_addr().unwrap(), instances);
        let serving = this.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                if let Ok(stream) = acceptor.accept(stream).await {
                    spawn_local(serving.clone().serve(stream));
                }
            }
        });
        (this, signed.cert.pem())
    }

    pub fn new(at: SocketAddr, instances: Vec<Value>) -> Self {
        let services = [(String::new(), instances)].into();
        let state = State { index: 10, services, health: Fault::None, catalogue: Fault::None };
        Self {
            at,
            state: watch::Sender::new(state),
            cut: watch::Sender::new(()),
            asked: Rc::default(),
            tokens: Rc::default(),
            health_override: Rc::default(),
            extra_headers: Rc::default(),
            max_wait: Rc::new(Cell::new(Duration::from_millis(500))),
            last_health_answer: Rc::default(),
            bytes: Rc::default(),
        }
    }

    /// The instances from now on; the index moves on, or is set.
    pub fn set(&self, index: Option<u64>, instances: Vec<Value>) {
        self.set_service("", index, instances);
    }

    /// Those of one service.
    pub fn set_service(&self, service: &str, index: Option<u64>, instances: Vec<Value>) {
        self.state.send_modify(|state| {
            state.index = index.unwrap_or(state.index + 1);
            state.services.insert(service.to_owned(), instances);
        });
    }

    /// What is wrong with its answers on health and of its catalogue from now on, blocked queries included.
    pub fn fail(&self, health: Fault, catalogue: Fault) {
        self.state.send_modify(|state| (state.health, state.catalogue) = (health, catalogue));
    }

    /// All connections end at once, as when the process dies.
    pub fn die(&self) {
        self.cut.send_replace(());
    }

    /// How often this part of the API was asked for.
    pub fn count(&self, path: &str) -> usize {
        self.asked.borrow().iter().filter(|target| target.contains(path)).count()
    }

    pub async fn serve(self, mut stream: impl AsyncRead + AsyncWrite + Unpin) {
        let mut cut = self.cut.subscribe();
        tokio::select! {
            () = async { while self.answer(&mut stream).await.is_some() {} } => {}
            _ = cut.changed() => {}
        }
    }

    /// Answers one request; none where the connection has ended, or is to.
    async fn answer(&self, stream: &mut (impl AsyncRead + AsyncWrite + Unpin)) -> Option<()> {
        let mut buffer = BytesMut::new();
        let request = loop {
            if let Some(request) = take_message(&mut buffer, MessageKind::Request, false).ok()? {
                break request;
            }
            if stream.read_buf(&mut buffer).await.ok()? == 0 {
                return None;
            }
        };
        let target = String::from_utf8(request.head.request_line().1.to_vec()).ok()?;
        self.asked.borrow_mut().push(target.clone());
        let token = request.head.get("x-consul-token");
        self.tokens.borrow_mut().extend(token.map(|token| String::from_utf8_lossy(token).into_owned()));
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let said = |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let index = said("index").and_then(|index| index.parse::<u64>().ok());
        let health = path.starts_with("/v1/health/service/");
        let mut state = self.state.subscribe();
        if let Some(known) = index.filter(|_| self.health_override.borrow().is_none()) {
            let wait = said("wait").and_then(|wait| wait.strip_suffix("ms")?.parse().ok()).unwrap_or(300_000);
            // As Consul does it: up to a sixteenth more.
            let wait = Duration::from_millis(wait + wait / 16).min(self.max_wait.get());
            let ready = |state: &State| state.index != known || state.health != Fault::None;
            let _ = tokio::time::timeout(wait, state.wait_for(ready)).await;
        }
        let State { index, services, health: on_health, catalogue } = state.borrow_and_update().clone();
        let name = path.rsplit('/').next().unwrap_or_default();
        let list = services.get(name).or_else(|| services.get("")).cloned().unwrap_or_default();
        let lie = self.health_override.borrow().clone().filter(|_| health);
        let (mut status, body) =
            lie.unwrap_or((200, if health { Value::from(list) } else { catalogued(&list) }.to_string()));
        let fault = if health { on_health } else { catalogue };
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Fault::Status(other) => status = other,
            _ => {}
        }
        let says = self.extra_headers.borrow().clone();
        let head = format!("HTTP/1.1 {status} X\r\nX-Consul-Index: {index}\r\n{says}");
        let mut text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if fault == Fault::Endless {
            text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            let piece = [format!("{:x}\r\n", 1 << 20).as_bytes(), &vec![b' '; 1 << 20], b"\r\n"].concat();
            // Bounded all the same.
            for _ in 0..64 {
                stream.write_all(&piece).await.ok()?;
            }
            return None;
        }
        let length = if fault == Fault::Half { text.len() - body.len() / 2 - 1 } else { text.len() };
        self.bytes.set(self.bytes.get() + length as u64);
        stream.write_all(&text.as_bytes()[..length]).await.ok()?;
        if health {
            self.last_health_answer.set(Some(Instant::now()));
        }
        (fault != Fault::Half).then_some(())
    }
}

/// A script: what is there at first, and what happens when.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// Where to listen.
    #[serde(default = "anywhere")]
    pub listen: SocketAddr,
    /// It ends then.
    pub end_ms: u64,
    pub instances: Vec<Listed>,
    #[serde(default)]
    pub steps: Vec<Step>,
}

fn anywhere() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listed {
    pub service: String,
    pub id: String,
    pub address: SocketAddr,
    #[serde(default = "passing")]
    pub status: String,
    #[serde(skip)]
    gone: bool,
}

fn passing() -> String {
    "passing".into()
}

#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    pub at_ms: u64,
    /// Again and again: every so many milliseconds, so often.
    #[serde(default)]
    pub every_ms: u64,
    #[serde(default)]
    pub times: u64,
    #[serde(rename = "do")]
    pub what: What,
}

#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// The checks of these instances say this; `gone` and `flap` (from well to critical and back) are states, too.
    Set {
        ids: Vec<String>,
        status: String,
    },
    Health(Fault),
    Catalogue(Fault),
    /// The index goes back to 1.
    IndexReset,
    Die,
}

impl Script {
    /// Reads a script, in TOML; an error names the key.
    pub fn read(text: &str) -> Result<Self, String> {
        let script: Self = toml::from_str(text).map_err(|e| e.to_string().replace('\n', " "))?;
        for step in &script.steps {
            if let What::Set { ids, .. } = &step.what
                && let Some(id) = ids.iter().find(|id| script.instances.iter().all(|i| i.id != **id))
            {
                return Err(format!("steps: ids: {id} is no instance"));
            }
        }
        Ok(script)
    }

    /// Every step by its time.
    fn times(&self) -> Vec<(u64, What)> {
        let all = self
            .steps
            .iter()
            .flat_map(|step| (0..=step.times).map(|n| (step.at_ms + n * step.every_ms, step.what.clone())));
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}

impl Consul {
    /// Plays a script from now on, to its end.
    pub async fn play(&self, script: &Script) {
        let mut instances = script.instances.clone();
        let start = tokio::time::Instant::now();
        self.list(&instances, None);
        for (at, what) in script.times() {
            tokio::time::sleep_until(start + Duration::from_millis(at)).await;
            match what {
                What::Set { ids, status } => {
                    for listed in instances.iter_mut().filter(|listed| ids.contains(&listed.id)) {
                        listed.gone = status == "gone";
                        listed.status = match status.as_str() {
                            "flap" if listed.status == "passing" => "critical".into(),
                            "flap" => "passing".into(),
                            other => other.into(),
                        };
                    }
                    self.list(&instances, None);
                }
                What::Health(fault) => self.state.send_modify(|state| state.health = fault),
                What::Catalogue(fault) => self.state.send_modify(|state| state.catalogue = fault),
                What::IndexReset => self.list(&instances, Some(1)),
                What::Die => self.die(),
            }
        }
        tokio::time::sleep_until(start + Duration::from_millis(script.end_ms)).await;
    }

    fn list(&self, instances: &[Listed], index: Option<u64>) {
        let mut services: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        for listed in instances {
            let service = services.entry(listed.service.clone()).or_default();
            service.extend((!listed.gone).then(|| instance(&listed.id, listed.address, 0, &listed.status)));
        }
        services.into_iter().for_each(|(name, all)| self.set_service(&name, index, all));
    }
}
