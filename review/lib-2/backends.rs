//! Backends of the platform's protocol, and the configurations of ingresses before them.

use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};

/// What a backend has begun, and when.
#[derive(Debug, Clone)]
pub struct Begun {
    pub at: u64,
    pub backend: String,
}

/// Some backends, and what they have begun.
#[derive(Clone, Default)]
pub struct Backends {
    begun: Arc<Mutex<Vec<Begun>>>,
    pub listed: Vec<Listed>,
}

impl Backends {
    /// Starts `count` backends, `s-0` and on, that work for `work` milliseconds on each request.
    pub fn start(record: &Record, count: usize, work: u64) -> Self {
        let mut backends = Self::default();
        for i in 0..count {
            let listener = TcpListener::bind("127.0.0.1:0").unwrap();
            let id = format!("s-{i}");
            let address = listener.local_addr().unwrap();
            backends.listed.push(Listed { id: id.clone(), address });
            let (begun, record) = (backends.begun.clone(), record.clone());
            serve(listener, move |mut stream| {
                let _ = stream.set_nodelay(true);
                let Ok(clone) = stream.try_clone() else { return };
                let mut reader = BufReader::new(clone);
                while let Some(request) = read_http(&mut reader) {
                    let path = request.target().to_owned();
                    record.line(format!("{id} begins {path} id {}", request.header("request-id")));
                    begun.lock().unwrap().push(Begun { at: record.now(), backend: id.clone() });
                    sleep(work);
                    let body = format!("{id} {path}");
                    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            });
        }
        backends
    }

    pub fn begun(&self) -> Vec<Begun> {
        self.begun.lock().unwrap().clone()
    }
}

/// The settings of a small deployment, with the classes and effects of the brief.
pub fn settings(ingresses: usize, number: usize) -> String {
    format!(
        "{{\"balancers\":{ingresses},\"myNumber\":{number},\"zones\":[\"north-hall\"],\"zone\":0,\"flavors\":[\"gen-a\"],\
         \"limits\":{{\"maxAttempts\":4,\"secondCopies\":false,\"cancelling\":true,\"mayTell\":false,\
         \"maxRetryAfter\":1000.0,\"connectTimeout\":250.0,\"connIdle\":30000.0}},\
         \"familyInfo\":{{\"hasCounter\":false,\"counterTimeout\":50.0,\"mailPerS\":60.0,\"largest\":6}},\
         \"rules\":{{\"coldFrom\":0.25,\"cold\":18000.0,\"fallMultiple\":2.0,\"overloadFor\":3000.0}},\
         \"classes\":[{{\"name\":\"board-state\",\"aim\":600.0,\"giveUp\":1500.0,\"effect\":\"read_like\"}},\
         {{\"name\":\"move-submit\",\"aim\":750.0,\"giveUp\":3000.0,\"effect\":\"idempotency_key\",\"group\":\"cell\",\
         \"window\":6000.0}}],\
         \"tariffs\":[{{\"name\":\"club\",\"perSecond\":60.0,\"storeSize\":240.0,\"atOnce\":0,\"ceilingRate\":0.0,\
         \"neverOverDepth\":0.0}}]}}"
    )
}

/// The configuration of an ingress of the platform.
pub fn platform_configuration(
    (ingresses, number): (usize, usize),
    (listen, discovery): (SocketAddr, SocketAddr),
    known: &str,
) -> String {
    format!(
        "{{\"name\":\"n{number}\",\"listen\":\"{listen}\",\"discovery\":\"{discovery}\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"known\":{known},\"settings\":{}}}",
        settings(ingresses, number)
    )
}

/// The text of a request for a board.
pub fn board_request(n: u64, customer: u64) -> String {
    format!(
        "GET /board-state/{n}?client={customer:016x} HTTP/1.1\r\nHost: o\r\nRequest-Id: {n:016x}\r\nX-Tier: club\r\n\
         Request-Timeout-Ms: 1500\r\nX-Call-Terms: units=1,spread=1,first=0\r\n\r\n"
    )
}
