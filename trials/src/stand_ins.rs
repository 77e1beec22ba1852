//! What the ingresses of a trial talk with: real servers, discovery and the counter, by the platform's protocol. They keep
//! a record on one clock: what came, and what was told to whom.

use crate::fault_proxy::FaultProxy;
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// An empty line goes to each watch so often.
const BEAT: Duration = Duration::from_secs(2);

/// A request that came to a real server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// When its head had come, in milliseconds from the start of the trial.
    pub at: i64,
    /// From which ingress.
    pub by: usize,
    /// At which real server.
    pub server: usize,
    /// Which of the load's requests; none for others.
    pub of: Option<usize>,
    /// Which try of its client's.
    pub id: String,
}

/// A change of a service entry that was written to an ingress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Word {
    /// When.
    pub at: i64,
    /// To which ingress.
    pub to: usize,
    /// Which real server.
    pub server: usize,
    /// It drains, or serves again.
    pub drains: bool,
}

/// What has happened at the stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// Requests at real servers, in order.
    pub arrivals: Vec<Arrival>,
    /// What discovery wrote, in order.
    pub words: Vec<Word>,
    /// Calls that the counter answered.
    pub calls: u64,
}

#[derive(Debug, Clone)]
struct Listed {
    drains: Vec<bool>,
    generation: u64,
    empty: bool,
}

/// Where an ingress finds the stand-ins.
#[derive(Debug, Clone)]
pub struct Ways {
    /// The real servers, by number.
    pub servers: Vec<SocketAddr>,
    /// Discovery's agent.
    pub discovery: SocketAddr,
    /// The counter.
    pub counter: SocketAddr,
}

/// The stand-ins of a trial.
#[derive(Clone)]
pub struct World {
    /// Before each real server, by ingress.
    pub to_servers: Vec<Vec<FaultProxy>>,
    /// Before discovery, by ingress.
    pub to_discovery: Vec<FaultProxy>,
    /// Before the counter, by ingress.
    pub to_counter: Vec<FaultProxy>,
    at: Rc<RefCell<Vec<Ways>>>,
    record: Rc<RefCell<Record>>,
    listed: watch::Sender<Listed>,
    /// The counter's numbers; those on the other side of a split have others.
    numbers: Rc<RefCell<[HashMap<String, f64>; 2]>>,
    split: Rc<RefCell<Vec<usize>>>,
    work: u64,
    served: Rc<Cell<u64>>,
    start: Rc<Cell<Instant>>,
}

impl World {
    /// Starts all of it, within a local task set. A real server takes `work` milliseconds for an answer.
    ///
    /// # Errors
    /// Where ports are not to be had.
    pub async fn start(ingresses: usize, servers: usize, work: u64) -> io::Result<Self> {
        let gates = || (0..ingresses).map(|_| FaultProxy::default()).collect::<Vec<_>>();
        let listed = Listed { drains: vec![false; servers], generation: 1, empty: false };
        let this = Self {
            to_servers: (0..servers).map(|_| gates()).collect(),
            to_discovery: gates(),
            to_counter: gates(),
            at: Rc::default(),
            record: Rc::default(),
            listed: watch::Sender::new(listed),
            numbers: Rc::default(),
            split: Rc::default(),
            work,
            served: Rc::default(),
            start: Rc::new(Cell::new(Instant::now())),
        };
        for n in 0..ingresses {
            let mut at = Vec::new();
            for (s, gates) in this.to_servers.iter().enumerate() {
                let world = this.clone();
                at.push(gates[n].listen(move |far| world.clone().server(far, n, s)).await?);
            }
            let (agent, counter) = (this.clone(), this.clone());
            let discovery = this.to_discovery[n].listen(move |far| agent.clone().discovery(far, n)).await?;
            let counter = this.to_counter[n].listen(move |far| counter.clone().counter(far, n)).await?;
            this.at.borrow_mut().push(Ways { servers: at, discovery, counter });
        }
        Ok(this)
    }

    /// From now on the record's clock runs.
    pub fn begin(&self) {
        self.start.set(Instant::now());
        *self.record.borrow_mut() = Record::default();
    }

    /// Milliseconds since then; before it, less than 0.
    pub fn now(&self) -> i64 {
        let start = self.start.get();
        match Instant::now().checked_duration_since(start) {
            Some(span) => span.as_millis() as i64,
            None => -((start - Instant::now()).as_millis() as i64),
        }
    }

    /// Requests that the real servers have answered.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// All that has happened.
    pub fn record(&self) -> Record {
        self.record.borrow().clone()
    }

    /// Discovery says that a real server drains, or no longer.
    pub fn drain(&self, server: usize, drains: bool) {
        self.listed.send_modify(|listed| {
            listed.generation += 1;
            listed.drains[server] = drains;
        });
    }

    /// Discovery tells an empty list, or the whole again.
    pub fn empty(&self, empty: bool) {
        self.listed.send_modify(|listed| {
            listed.generation += 1;
            listed.empty = empty;
        });
    }

    /// The counter is replaced by an empty one.
    pub fn forget(&self) {
        self.numbers.borrow_mut().iter_mut().for_each(HashMap::clear);
    }

    /// These ingresses reach another counter, which begins empty; none: all reach the one.
    pub fn split(&self, of: &[usize]) {
        self.numbers.borrow_mut()[1].clear();
        of.clone_into(&mut self.split.borrow_mut());
    }

    /// Where an ingress finds all of it.
    pub fn ways(&self, of: usize) -> Ways {
        self.at.borrow()[of].clone()
    }

    /// The list as one ingress is told it.
    pub fn entries(&self, to: usize) -> Vec<Value> {
        let at = self.ways(to).servers;
        let listed = self.listed.borrow();
        let entry = |(s, drains): (usize, &bool)| {
            json!({"instanceId": format!("s{s}"), "hostPort": at[s].to_string(), "zone": "a", "machineType": "m",
                "cell": 0, "lifecycle": if *drains { "terminating" } else { "in_service" }, "weight": 1.0,
                "startedAtMs": 0})
        };
        if listed.empty { Vec::new() } else { listed.drains.iter().enumerate().map(entry).collect() }
    }

    async fn server(self, far: DuplexStream, by: usize, server: usize) {
        let answer = service_fn(move |request: Request<hyper::body::Incoming>| {
            let this = self.clone();
            let of = request.uri().path().rsplit('/').next().and_then(|n| n.parse().ok());
            let id = request.headers().get("request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
            let arrival = Arrival { at: this.now(), by, server, of, id: id.to_owned() };
            this.record.borrow_mut().arrivals.push(arrival);
            async move {
                sleep(Duration::from_millis(this.work)).await;
                this.served.set(this.served.get() + 1);
                Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"a board\n"))))
            }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(far), answer).await;
    }

    /// One call of an ingress: the list, or a watch that tells it and each change.
    async fn discovery(self, mut far: DuplexStream, to: usize) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") && head.len() < 8192 {
            match far.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let watches = String::from_utf8_lossy(&head).lines().next().is_some_and(|l| l.contains("stream=1"));
        let mut listed = self.listed.subscribe();
        if !watches {
            let text = self.list(to, &mut listed);
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            let _ = far.write_all((head + &text).as_bytes()).await;
            return;
        }
        if far.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let mut told: Option<Vec<bool>> = None;
        loop {
            // What is held on its way has not been told.
            let late = self.to_discovery[to].wait_open().await;
            let drains = listed.borrow().drains.clone();
            let line = self.list(to, &mut listed) + "\n";
            let now = self.now() + late.as_millis() as i64;
            if far.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
                return;
            }
            for (server, drains) in drains.iter().enumerate() {
                let before = told.as_ref().map_or(!drains, |told| told[server]);
                if before != *drains {
                    self.record.borrow_mut().words.push(Word { at: now, to, server, drains: *drains });
                }
            }
            told = Some(drains);
            while timeout(BEAT, listed.changed()).await.is_err() {
                if far.write_all(b"1\r\n\n\r\n").await.is_err() {
                    return;
                }
            }
        }
    }

    fn list(&self, to: usize, listed: &mut watch::Receiver<Listed>) -> String {
        let generation = listed.borrow_and_update().generation;
        let entries = self.entries(to);
        json!({"generation": generation, "reset": true, "instances": entries}).to_string()
    }

    async fn counter(self, far: DuplexStream, by: usize) {
        let mut far = BufReader::new(far);
        let mut line = String::new();
        while far.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let answer = match words[..] {
                ["ping"] => "pong\r\n".to_owned(),
                ["bump", name, amount, _] => match amount.parse::<f64>() {
                    Ok(amount) => {
                        let side = usize::from(self.split.borrow().contains(&by));
                        let mut numbers = self.numbers.borrow_mut();
                        let total = numbers[side].entry(name.to_owned()).or_default();
                        *total += amount;
                        self.record.borrow_mut().calls += 1;
                        format!("ok {total}\r\n")
                    }
                    Err(_) => "error\r\n".to_owned(),
                },
                _ => "error\r\n".to_owned(),
            };
            if far.get_mut().write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            line.clear();
        }
    }
}
