//! A stand-in for a Consul agent. It answers blocking queries on the health and the catalogue of services as Consul's
//! published HTTP API describes, can be made to fail, and can run a timed script. To start it by hand:
//! `cargo run --example stand_in_consul -- SCRIPT`.

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

/// A way in which the agent fails to answer one kind of query.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It answers correctly.
    None,
    /// It accepts connections but never answers.
    Silent,
    /// It answers after this delay, in milliseconds.
    Late(u64),
    /// It closes the connection in the middle of the answer.
    Half,
    /// It answers with this HTTP status.
    Status(u16),
    /// It sends a chunked body that does not end.
    Endless,
}

/// StepAction the agent answers at present.
#[derive(Debug, Clone)]
struct State {
    /// Consul's index of the last change (`X-Consul-Index`).
    index: u64,
    /// The instances by service name; the entry under the empty name stands for every service without its own.
    services: BTreeMap<String, Vec<Value>>,
    health: Fault,
    catalogue: Fault,
}

/// A running stand-in agent; clones share its state.
#[derive(Clone)]
pub struct Consul {
    /// The address that the agent listens on.
    pub at: SocketAddr,
    state: watch::Sender<State>,
    /// Closes all connections when it is sent to.
    cut: watch::Sender<()>,
    /// The targets of the requests received, in order.
    pub asked: Rc<RefCell<Vec<String>>>,
    /// The `X-Consul-Token` values received, in order.
    pub tokens: Rc<RefCell<Vec<String>>>,
    /// The status and body of health answers; `None` if they follow the state.
    pub health_override: Rc<RefCell<Option<(u16, String)>>>,
    /// Header lines added to every answer, each with its line end.
    pub extra_headers: Rc<RefCell<String>>,
    /// The upper bound on how long a query blocks, whatever `wait` it asks for.
    pub max_wait: Rc<Cell<Duration>>,
    /// When the last byte of the last health answer was written.
    pub last_health_answer: Rc<Cell<Option<Instant>>>,
    /// The number of bytes written in answers, heads included.
    pub bytes: Rc<Cell<u64>>,
}

/// Returns an instance as Consul's health endpoint lists it.
pub fn instance(id: &str, at: SocketAddr, cell: u16, status: &str) -> Value {
    json!({
        "Node": {"Node": "n1", "Address": "127.0.0.1"},
        "Service": {"ID": id, "Address": at.ip().to_string(), "Port": at.port(),
            "Meta": {"cell": cell.to_string(), "zone": "north-hall"}, "Weights": {"Passing": 1, "Warning": 1}},
        "Checks": [{"CheckID": "serfHealth", "Status": "passing"}, {"CheckID": id, "Status": status}],
    })
}

/// Returns the same instances as Consul's catalogue lists them.
fn catalogue_entries(health: &[Value]) -> Value {
    let entry = |e: &Value| {
        json!({"Node": e["Node"]["Node"], "Address": e["Node"]["Address"], "ServiceID": e["Service"]["ID"],
            "ServiceAddress": e["Service"]["Address"], "ServicePort": e["Service"]["Port"]})
    };
    health.iter().map(entry).collect()
}

impl Consul {
    /// Starts an agent that lists `instances` for every service.
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

    /// Starts an agent that accepts TLS only, with a self-signed certificate for `names`, and returns the certificate
    /// in PEM.
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

    /// Creates an agent for the address `at`; the caller accepts its connections and calls [`Self::serve`].
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

    /// Replaces the instances of the services that have no list of their own, and sets the index (`None` adds one).
    pub fn set(&self, index: Option<u64>, instances: Vec<Value>) {
        self.set_service("", index, instances);
    }

    /// Replaces the instances of one service, and sets the index (`None` adds one).
    pub fn set_service(&self, service: &str, index: Option<u64>, instances: Vec<Value>) {
        self.state.send_modify(|state| {
            state.index = index.unwrap_or(state.index + 1);
            state.services.insert(service.to_owned(), instances);
        });
    }

    /// Sets the faults of health answers and catalogue answers; they apply to queries that are blocked now, too.
    pub fn fail(&self, health: Fault, catalogue: Fault) {
        self.state.send_modify(|state| (state.health, state.catalogue) = (health, catalogue));
    }

    /// Closes all connections at once, as if the process had died.
    pub fn die(&self) {
        self.cut.send_replace(());
    }

    /// The number of requests whose target contains `path`.
    pub fn count(&self, path: &str) -> usize {
        self.asked.borrow().iter().filter(|target| target.contains(path)).count()
    }

    /// Answers the requests on one connection until either side closes it.
    pub async fn serve(self, mut stream: impl AsyncRead + AsyncWrite + Unpin) {
        let mut cut = self.cut.subscribe();
        tokio::select! {
            () = async { while self.answer(&mut stream).await.is_some() {} } => {}
            _ = cut.changed() => {}
        }
    }

    /// Answers one request; `None` if the connection has ended or has to be closed.
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
        let parameter =
            |name: &str| query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
        let index = parameter("index").and_then(|index| index.parse::<u64>().ok());
        let health = path.starts_with("/v1/health/service/");
        let mut state = self.state.subscribe();
        if let Some(known) = index.filter(|_| self.health_override.borrow().is_none()) {
            let wait =
                parameter("wait").and_then(|wait| wait.strip_suffix("ms")?.parse().ok()).unwrap_or(300_000);
            // Consul adds up to a sixteenth of jitter.
            let wait = Duration::from_millis(wait + wait / 16).min(self.max_wait.get());
            let ready = |state: &State| state.index != known || state.health != Fault::None;
            let _ = tokio::time::timeout(wait, state.wait_for(ready)).await;
        }
        let State { index, services, health: health_fault, catalogue: catalogue_fault } =
            state.borrow_and_update().clone();
        let name = path.rsplit('/').next().unwrap_or_default();
        let list = services.get(name).or_else(|| services.get("")).cloned().unwrap_or_default();
        let health_override = self.health_override.borrow().clone().filter(|_| health);
        let (mut status, body) = health_override
            .unwrap_or((200, if health { Value::from(list) } else { catalogue_entries(&list) }.to_string()));
        let fault = if health { health_fault } else { catalogue_fault };
        match fault {
            Fault::Silent => std::future::pending().await,
            Fault::Late(ms) => tokio::time::sleep(Duration::from_millis(ms)).await,
            Fault::Status(other) => status = other,
            _ => {}
        }
        let extra_headers = self.extra_headers.borrow().clone();
        let head = format!("HTTP/1.1 {status} X\r\nX-Consul-Index: {index}\r\n{extra_headers}");
        let mut text = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
        if fault == Fault::Endless {
            text = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            stream.write_all(text.as_bytes()).await.ok()?;
            let piece = [format!("{:x}\r\n", 1 << 20).as_bytes(), &vec![b' '; 1 << 20], b"\r\n"].concat();
            // Bounded, so that a client that reads everything does not keep the test running.
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

/// A script: the instances at the start, and the changes and faults that follow at set times.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// The address to listen on; a port of the system's choice on loopback by default.
    #[serde(default = "anywhere")]
    pub listen: SocketAddr,
    /// The time at which the script ends, in milliseconds from its start.
    pub end_ms: u64,
    /// The instances listed at the start.
    pub instances: Vec<ScriptedInstance>,
    /// The changes, in any order.
    #[serde(default)]
    pub steps: Vec<Step>,
}

fn anywhere() -> SocketAddr {
    ([127, 0, 0, 1], 0).into()
}

/// An instance of a service in a script.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ScriptedInstance {
    pub service: String,
    pub id: String,
    pub address: SocketAddr,
    /// The status of its check: `passing`, `warning` or `critical`.
    #[serde(default = "passing")]
    pub status: String,
    /// Whether a step has removed it from the list.
    #[serde(skip)]
    gone: bool,
}

fn passing() -> String {
    "passing".into()
}

/// A change or fault of a script.
#[derive(Debug, Clone, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Step {
    /// The time of the step, in milliseconds from the start.
    pub at_ms: u64,
    /// The interval between repetitions, in milliseconds.
    #[serde(default)]
    pub every_ms: u64,
    /// The number of repetitions after the first time.
    #[serde(default)]
    pub times: u64,
    #[serde(rename = "do")]
    pub action: StepAction,
}

/// What a step does.
#[derive(Debug, Clone, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum StepAction {
    /// Sets the check status of these instances. `gone` removes them from the list, and `flap` switches a passing
    /// instance to critical and any other to passing.
    Set { ids: Vec<String>, status: String },
    /// Sets the fault of health answers.
    Health(Fault),
    /// Sets the fault of catalogue answers.
    Catalogue(Fault),
    /// Sets the index back to 1.
    IndexReset,
    /// Closes all connections.
    Die,
}

impl Script {
    /// Parses a script in TOML; an error names the key at fault.
    pub fn read(text: &str) -> Result<Self, String> {
        let script: Self = toml::from_str(text).map_err(|e| e.to_string().replace('\n', " "))?;
        for step in &script.steps {
            if let StepAction::Set { ids, .. } = &step.action
                && let Some(id) = ids.iter().find(|id| script.instances.iter().all(|i| i.id != **id))
            {
                return Err(format!("steps: ids: {id} is no instance"));
            }
        }
        Ok(script)
    }

    /// Returns every action with its time in milliseconds, repetitions included, in order of time.
    fn timeline(&self) -> Vec<(u64, StepAction)> {
        let all = self
            .steps
            .iter()
            .flat_map(|step| (0..=step.times).map(|n| (step.at_ms + n * step.every_ms, step.action.clone())));
        let mut all: Vec<_> = all.collect();
        all.sort_by_key(|(at, _)| *at);
        all
    }
}

impl Consul {
    /// Runs a script from now to its end.
    pub async fn play(&self, script: &Script) {
        let mut instances = script.instances.clone();
        let start = tokio::time::Instant::now();
        self.publish(&instances, None);
        for (at, action) in script.timeline() {
            tokio::time::sleep_until(start + Duration::from_millis(at)).await;
            match action {
                StepAction::Set { ids, status } => {
                    for instance in instances.iter_mut().filter(|instance| ids.contains(&instance.id)) {
                        instance.gone = status == "gone";
                        instance.status = match status.as_str() {
                            "flap" if instance.status == "passing" => "critical".into(),
                            "flap" => "passing".into(),
                            other => other.into(),
                        };
                    }
                    self.publish(&instances, None);
                }
                StepAction::Health(fault) => self.state.send_modify(|state| state.health = fault),
                StepAction::Catalogue(fault) => self.state.send_modify(|state| state.catalogue = fault),
                StepAction::IndexReset => self.publish(&instances, Some(1)),
                StepAction::Die => self.die(),
            }
        }
        tokio::time::sleep_until(start + Duration::from_millis(script.end_ms)).await;
    }

    /// Publishes the listed instances by service, and sets the index (`None` adds one for each service).
    fn publish(&self, instances: &[ScriptedInstance], index: Option<u64>) {
        let mut services: BTreeMap<String, Vec<Value>> = BTreeMap::new();
        for listed in instances {
            let service = services.entry(listed.service.clone()).or_default();
            service.extend((!listed.gone).then(|| instance(&listed.id, listed.address, 0, &listed.status)));
        }
        services.into_iter().for_each(|(name, all)| self.set_service(&name, index, all));
    }
}
