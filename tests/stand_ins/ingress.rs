//! An ingress of the platform for tests, what it is told, and its clients.

use super::*;
use serde_json::{Value, json};
use tokio::sync::oneshot;
use tokio::task::JoinHandle;
use weldhub::config::Config;
use weldhub::node;

/// What an ingress is told, with `known` as its list and a plan of 27 units at once that never fill again.
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

pub struct Ingress {
    pub at: SocketAddr,
    pub stop: oneshot::Sender<()>,
    pub running: JoinHandle<std::io::Result<()>>,
}

pub async fn start(told: &Value) -> Ingress {
    let config = Config::read(&told.to_string(), |_| None).unwrap();
    let listener = listener().await;
    let at = listener.local_addr().unwrap();
    let (stop, stopped) = oneshot::channel();
    let stopped = async move { drop(stopped.await) };
    let (_ways, ways) = watch::channel(config.reloadable());
    let running = spawn_local(node::serve(config, listener, discarding_logger(), ways, stopped));
    while status(&get(at, "/ready").await) != 200 {}
    Ingress { at, stop, running }
}

/// An ingress with one real server.
pub async fn start_with_backend(manner: Serve) -> (Backend, Ingress, Agent) {
    let (server, agent) = (Backend::start(manner).await, Agent::start().await);
    let ingress =
        start(&ingress_config(agent.at, vec![service_entry("s1", server.at, 0, "in_service")])).await;
    (server, ingress, agent)
}

/// A client's connection.
pub struct Client(pub TcpStream, pub BytesMut);

impl Client {
    pub async fn new(at: SocketAddr) -> Self {
        Self(TcpStream::connect(at).await.unwrap(), BytesMut::new())
    }

    pub async fn send(&mut self, text: &str) {
        self.0.write_all(text.as_bytes()).await.unwrap();
    }

    pub async fn answer(&mut self) -> Option<Message> {
        message(&mut self.0, &mut self.1, MessageKind::Response).await
    }

    pub async fn ask(&mut self, text: &str) -> Message {
        self.send(text).await;
        self.answer().await.unwrap()
    }
}

pub async fn ask(at: SocketAddr, text: &str) -> Message {
    Client::new(at).await.ask(text).await
}

pub async fn get(at: SocketAddr, path: &str) -> Message {
    ask(at, &format!("GET {path} HTTP/1.1\r\nHost: x\r\n\r\n")).await
}

pub fn status(message: &Message) -> u16 {
    message.head.status()
}

pub fn header(message: &Message, name: &str) -> Option<String> {
    message.head.get(name).map(|value| String::from_utf8(value.to_vec()).unwrap())
}

pub fn common_headers(id: &str, timeout: u32, units: u32) -> String {
    format!(
        "Host: x\r\nRequest-Id: {id}\r\nX-Tier: club\r\nRequest-Timeout-Ms: {timeout}\r\n\
         X-Call-Terms: units={units},spread=1,first=0\r\n"
    )
}

pub fn board(id: &str, timeout: u32, units: u32) -> String {
    format!(
        "GET /board-state/17?client=0000000000000007&x=%20y HTTP/1.1\r\n{}\r\n",
        common_headers(id, timeout, units)
    )
}

pub fn submit(id: &str, timeout: u32) -> String {
    let common = common_headers(id, timeout, 1);
    format!(
        "POST /move-submit/17?client=0000000000000007 HTTP/1.1\r\n{common}Idempotency-Key: 5c0f6e\r\n\
         Content-Length: 4\r\n\r\ne2e4"
    )
}
