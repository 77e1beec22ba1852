//! The platform's ingress running inside a test, its configuration, and HTTP clients for it.

use super::*;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use weldhub::config::Config;
use weldhub::node;

/// The configuration of an ingress, in the platform's JSON, with `known` as its list of backends and a plan whose
/// burst is 27 units and whose rate (0.001 units a second) is too low to refill it during a test.
pub fn ingress_config(agent: SocketAddr, known: Vec<Value>) -> Value {
    let class = |name: &str, give_up: f64, effect: &str| json!({"name": name, "aim": 600.0, "giveUp": give_up, "effect": effect, "group": "cell", "window": 6000.0});
    json!({
        "name": "n0", "listen": "127.0.0.1:0", "discovery": agent.to_string(), "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"generation": 41, "reset": true, "instances": known},
        "settings": {
            "balancers": 1, "myNumber": 0, "zone": 0, "zones": ["a"], "flavors": ["m"], "unknownKey": [1],
            "membershipMode": "pushed", "feedback": {"names": ["rif", "q"], "via": "piggyback"},
            "limits": {"maxAttempts": 3, "cancelling": true, "retryAfter": false, "maxRetryAfter": 1000.0,
                "connectTimeout": 250.0, "connIdle": 30000.0},
            "familyInfo": {"largest": 6, "counterTimeout": 50.0},
            "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
            "classes": [class("board-state", 1500.0, "read_like"), class("move-submit", 3000.0, "idempotency_key")],
            "tariffs": [{"name": "club", "perSecond": 0.001, "storeSize": 27.0, "atOnce": 0,
                "ceilingRate": 0.0, "neverOverDepth": 0.0}],
        },
    })
}

/// An ingress that runs on the test's thread.
pub struct Ingress {
    /// The address that it listens on.
    pub at: SocketAddr,
    /// Stops it when sent to or dropped.
    pub stop: oneshot::Sender<()>,
    /// Ends with the result of `node::serve`.
    pub running: JoinHandle<std::io::Result<()>>,
}

/// Starts an ingress with this configuration and waits until it is ready.
pub async fn start(config_json: &Value) -> Ingress {
    let config = Config::read(&config_json.to_string(), |_| None).unwrap();
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel();
    let stopped = async move { drop(stopped.await) };
    let (_updates, reloadable) = watch::channel(config.reloadable());
    let running = spawn_local(node::serve(config, listener, discarding_logger(), reloadable, stopped));
    while status(&get(at, "/ready").await) != 200 {}
    Ingress { at, stop, running }
}

/// Starts an ingress with one backend.
pub async fn start_with_backend(manner: Serve) -> (Backend, Ingress, Agent) {
    let (backend, agent) = (Backend::start(manner).await, Agent::start().await);
    let ingress =
        start(&ingress_config(agent.at, vec![service_entry("s1", backend.at, 0, "in_service")])).await;
    (backend, ingress, agent)
}

/// A client's connection, with the bytes read but not parsed yet.
pub struct Client(pub TcpStream, pub BytesMut);

impl Client {
    /// Connects to the ingress at this address.
    pub async fn new(at: SocketAddr) -> Self {
        Self(TcpStream::connect(at).await.unwrap(), BytesMut::new())
    }

    /// Sends bytes without waiting for an answer.
    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    /// Waits for the next answer; `None` if the connection has ended.
    pub async fn answer(&mut self) -> Option<Message> {
        message(&mut self.0, &mut self.1, MessageKind::Response).await
    }

    /// Sends a request and waits for its answer.
    pub async fn ask(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.answer().await.unwrap()
    }
}

/// Sends a request over a new connection and waits for its answer.
pub async fn ask(at: SocketAddr, text: &str) -> Message {
    Client::new(at).await.ask(text).await
}

/// Sends a `GET` for `path` over a new connection and waits for its answer.
pub async fn get(at: SocketAddr, path: &str) -> Message {
    ask(at, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await
}

/// The HTTP status of an answer.
pub fn status(message: &Message) -> u16 {
    message.head.status()
}

/// The value of a header field; `None` if it is absent.
pub fn header(message: &Message, name: &str) -> Option<String> {
    message.head.get(name).map(|value| String::from_utf8(value.to_vec()).unwrap())
}

/// The header lines that every request needs; `timeout` is in milliseconds.
pub fn common_headers(id: &str, timeout: u32, units: u32) -> String {
    format!(
        "Host: x\r\nRequest-Id: {id}\r\nX-Tier: club\r\nRequest-Timeout-Ms: {timeout}\r\n\
         X-Call-Terms: units={units},spread=1,first=0\r\n"
    )
}

/// A request of the class `board-state`, which is safe to repeat; `timeout` is in milliseconds.
pub fn board(id: &str, timeout: u32, units: u32) -> String {
    format!(
        "GET /board-state/17?client=0000000000000007&x=%20y HTTP/1.1\r\n{}\r\n",
        common_headers(id, timeout, units)
    )
}

/// A request of the class `move-submit`, which carries an idempotency key; `timeout` is in milliseconds.
pub fn submit(id: &str, timeout: u32) -> String {
    submit_head(id, timeout, "Content-Length: 4") + "e2e4"
}

/// The head of a `move-submit` with these header fields, which frame its body; `timeout` is in milliseconds.
pub fn submit_head(id: &str, timeout: u32, fields: &str) -> String {
    let common = common_headers(id, timeout, 1);
    format!(
        "POST /move-submit/17?client=0000000000000007 HTTP/1.1\r\n{common}Idempotency-Key: 5c0f6e\r\n\
         {fields}\r\n\r\n"
    )
}
