//! Stand-ins for the systems around the ingresses of a trial: backends, discovery and the counter, which
//! speak the platform's protocols. They record on one clock which requests arrived and which list changes
//! were sent to whom.

use crate::fault_proxy::FaultProxy;
use crate::paced::{Pace, PacedBody};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde_json::{Value, json};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, DuplexStream};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// The interval of the empty lines that keep a discovery watch alive.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The length of a usual answer, in bytes.
const ANSWER_BYTES: usize = 8;

/// A request that arrived at a backend.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Arrival {
    /// When its head had been read, in milliseconds from the start of the trial.
    pub at: i64,
    /// The number of the ingress that sent it.
    #[serde(rename = "by")]
    pub ingress: usize,
    /// The number of the backend.
    #[serde(rename = "server")]
    pub backend: usize,
    /// The index of the load's request, from the last segment of the path; `None` if that is not a number.
    #[serde(rename = "of")]
    pub request_index: Option<usize>,
    /// Its `Request-Id`, which names one try of a client; empty if it has none.
    #[serde(rename = "id")]
    pub request_id: String,
}

/// A request that a backend received to its last byte, and so ran.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Run {
    /// When, in milliseconds from the start of the trial.
    pub at: i64,
    /// The number of the backend.
    #[serde(rename = "server")]
    pub backend: usize,
    /// Its `Request-Id`.
    #[serde(rename = "id")]
    pub request_id: String,
}

/// A change of a backend's state that discovery sent to an ingress.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct DrainChange {
    /// When the ingress received it, in milliseconds from the start of the trial.
    pub at: i64,
    /// The number of the ingress.
    #[serde(rename = "to")]
    pub ingress: usize,
    /// The number of the backend.
    #[serde(rename = "server")]
    pub backend: usize,
    /// Whether the backend drains from now on; `false` if it is in service again.
    #[serde(rename = "drains")]
    pub draining: bool,
}

/// What happened at the stand-ins.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize)]
pub struct Record {
    /// The requests that arrived at backends, in order.
    pub arrivals: Vec<Arrival>,
    /// The requests that backends ran, in order.
    pub runs: Vec<Run>,
    /// The changes that discovery sent, in order.
    #[serde(rename = "words")]
    pub drain_changes: Vec<DrainChange>,
    /// The number of calls that the counter answered with a total.
    #[serde(rename = "calls")]
    pub counter_calls: u64,
}

/// The backend list that discovery publishes.
#[derive(Debug, Clone)]
struct PublishedList {
    /// Whether each backend drains, by its number.
    draining: Vec<bool>,
    generation: u64,
    /// Publishes a list without backends instead.
    empty: bool,
}

/// The addresses at which one ingress reaches the stand-ins.
#[derive(Debug, Clone)]
pub struct StandInAddresses {
    /// The addresses of the backends, by their number.
    pub backends: Vec<SocketAddr>,
    /// The address of the discovery agent.
    pub discovery: SocketAddr,
    /// The address of the counter.
    pub counter: SocketAddr,
}

/// The stand-ins of a trial.
#[derive(Clone)]
pub struct StandIns {
    /// The proxies in front of the backends, by backend and ingress.
    pub backend_proxies: Vec<Vec<FaultProxy>>,
    /// The proxies in front of discovery, by ingress.
    pub discovery_proxies: Vec<FaultProxy>,
    /// The proxies in front of the counter, by ingress.
    pub counter_proxies: Vec<FaultProxy>,
    /// The addresses of the proxies, by ingress.
    addresses: Rc<RefCell<Vec<StandInAddresses>>>,
    record: Rc<RefCell<Record>>,
    list: watch::Sender<PublishedList>,
    /// The totals of the counter by name, and those of the second counter that `split_ingresses` reach.
    totals: Rc<RefCell<[HashMap<String, f64>; 2]>>,
    split_ingresses: Rc<RefCell<Vec<usize>>>,
    /// How long a backend takes to answer, in milliseconds.
    service_time: u64,
    served: Rc<Cell<u64>>,
    /// The number of answers that were cut off.
    cut_off: Rc<Cell<u64>>,
    /// The number of cells that the backends are in.
    cells: usize,
    /// The zero of the record's clock.
    start: Rc<Cell<Instant>>,
}

impl StandIns {
    /// Returns the ports at which the ingresses reach the backends.
    pub fn backend_ports(&self) -> Vec<u16> {
        let addresses = self.addresses.borrow();
        addresses.iter().flat_map(|of_ingress| &of_ingress.backends).map(SocketAddr::port).collect()
    }

    /// Starts all stand-ins and their proxies. Must be called within a `LocalSet`. A backend takes
    /// `service_time` milliseconds to answer, unless the path of a request says otherwise. The backends are spread
    /// over `cells` cells. The system and the proxy before a backend each hold `backend_buffer` bytes of a connection, if
    /// that is set.
    ///
    /// # Errors
    /// The operating system's error if no port can be bound.
    pub async fn start(
        ingresses: usize,
        (backends, cells): (usize, usize),
        service_time: u64,
        backend_buffer: Option<u32>,
    ) -> io::Result<Self> {
        let proxies = || (0..ingresses).map(|_| FaultProxy::default()).collect::<Vec<_>>();
        let backend_proxy = |_| FaultProxy::with_buffers(backend_buffer);
        let list = PublishedList { draining: vec![false; backends], generation: 1, empty: false };
        let this = Self {
            backend_proxies: (0..backends).map(|_| (0..ingresses).map(backend_proxy).collect()).collect(),
            discovery_proxies: proxies(),
            counter_proxies: proxies(),
            addresses: Rc::default(),
            record: Rc::default(),
            list: watch::Sender::new(list),
            totals: Rc::default(),
            split_ingresses: Rc::default(),
            service_time,
            served: Rc::default(),
            cut_off: Rc::default(),
            cells,
            start: Rc::new(Cell::new(Instant::now())),
        };
        for ingress in 0..ingresses {
            let mut backends = Vec::new();
            for (backend, proxies) in this.backend_proxies.iter().enumerate() {
                let stand_ins = this.clone();
                let serve = move |stream| stand_ins.clone().serve_backend(stream, ingress, backend);
                backends.push(proxies[ingress].listen(serve).await?);
            }
            let (agent, counter) = (this.clone(), this.clone());
            let serve_discovery = move |stream| agent.clone().serve_discovery(stream, ingress);
            let discovery = this.discovery_proxies[ingress].listen(serve_discovery).await?;
            let serve_counter = move |stream| counter.clone().serve_counter(stream, ingress);
            let counter = this.counter_proxies[ingress].listen(serve_counter).await?;
            this.addresses.borrow_mut().push(StandInAddresses { backends, discovery, counter });
        }
        Ok(this)
    }

    /// Sets the record's clock to 0 and clears the record.
    pub fn reset_record(&self) {
        self.start.set(Instant::now());
        *self.record.borrow_mut() = Record::default();
    }

    /// Returns the time on the record's clock, in milliseconds; negative before its start.
    pub fn now(&self) -> i64 {
        let start = self.start.get();
        match Instant::now().checked_duration_since(start) {
            Some(elapsed) => elapsed.as_millis() as i64,
            None => -((start - Instant::now()).as_millis() as i64),
        }
    }

    /// Returns the number of requests that the backends have answered.
    pub fn served(&self) -> u64 {
        self.served.get()
    }

    /// Returns the number of answers that were cut off.
    pub fn cut_off(&self) -> u64 {
        self.cut_off.get()
    }

    /// Returns a copy of the record.
    pub fn record(&self) -> Record {
        self.record.borrow().clone()
    }

    /// Publishes a list in which this backend drains, or is in service.
    pub fn set_draining(&self, backend: usize, draining: bool) {
        self.list.send_modify(|list| {
            list.generation += 1;
            list.draining[backend] = draining;
        });
    }

    /// Publishes an empty list, or the list of all backends.
    pub fn set_list_empty(&self, empty: bool) {
        self.list.send_modify(|list| {
            list.generation += 1;
            list.empty = empty;
        });
    }

    /// Clears all totals, as if the counter were replaced by an empty one.
    pub fn reset_counter(&self) {
        self.totals.borrow_mut().iter_mut().for_each(HashMap::clear);
    }

    /// Sends the calls of these ingresses to a second counter, which starts empty. An empty slice ends the
    /// split.
    pub fn split_counter(&self, ingresses: &[usize]) {
        self.totals.borrow_mut()[1].clear();
        ingresses.clone_into(&mut self.split_ingresses.borrow_mut());
    }

    /// Returns the addresses at which an ingress reaches the stand-ins.
    pub fn addresses(&self, ingress: usize) -> StandInAddresses {
        self.addresses.borrow()[ingress].clone()
    }

    /// Returns the published list for one ingress, as the entries of a discovery answer.
    pub fn list_entries(&self, ingress: usize) -> Vec<Value> {
        let addresses = self.addresses(ingress).backends;
        let list = self.list.borrow();
        let entry = |(backend, draining): (usize, &bool)| {
            json!({"instanceId": format!("s{backend}"), "hostPort": addresses[backend].to_string(), "zone": "a",
                "machineType": "m", "cell": backend % self.cells,
                "lifecycle": if *draining { "terminating" } else { "in_service" }, "weight": 1.0,
                "startedAtMs": 0})
        };
        if list.empty { Vec::new() } else { list.draining.iter().enumerate().map(entry).collect() }
    }

    /// Serves a connection of an ingress to a backend.
    async fn serve_backend(self, stream: DuplexStream, ingress: usize, backend: usize) {
        let answer = service_fn(move |request: Request<hyper::body::Incoming>| {
            let this = self.clone();
            let usual_work = Duration::from_millis(this.service_time);
            let pace = Pace::from_path(request.uri().path(), usual_work);
            let request_index = request.uri().path().rsplit('/').next().and_then(|n| n.parse().ok());
            let id = request.headers().get("request-id").and_then(|id| id.to_str().ok()).unwrap_or("");
            let arrival =
                Arrival { at: this.now(), ingress, backend, request_index, request_id: id.to_owned() };
            let run = Run { at: 0, backend, request_id: id.to_owned() };
            this.record.borrow_mut().arrivals.push(arrival);
            async move {
                if !pace.read(request.into_body()).await {
                    return Err("the request broke off");
                }
                this.record.borrow_mut().runs.push(Run { at: this.now(), ..run });
                sleep(pace.work).await;
                this.served.set(this.served.get() + 1);
                Ok(Response::new(PacedBody::new(&pace, ANSWER_BYTES, this.cut_off.clone())))
            }
        });
        let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await;
    }

    /// Serves one discovery call of an ingress: answers with the list, or for a watch streams the list and
    /// every change.
    async fn serve_discovery(self, mut stream: DuplexStream, ingress: usize) {
        let mut head = Vec::new();
        while !head.ends_with(b"\r\n\r\n") && head.len() < 8192 {
            match stream.read_u8().await {
                Ok(byte) => head.push(byte),
                Err(_) => return,
            }
        }
        let is_watch =
            String::from_utf8_lossy(&head).lines().next().is_some_and(|line| line.contains("stream=1"));
        let mut list = self.list.subscribe();
        if !is_watch {
            let text = self.list_json(ingress, &mut list);
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes()).await;
            return;
        }
        if stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await.is_err() {
            return;
        }
        let mut sent: Option<Vec<bool>> = None;
        loop {
            // A list counts as received only when the proxy lets it through, so the proxy's delay is added.
            let delay = self.discovery_proxies[ingress].wait_open().await;
            let draining = list.borrow().draining.clone();
            let line = self.list_json(ingress, &mut list) + "\n";
            let now = self.now() + delay.as_millis() as i64;
            if stream.write_all(format!("{:x}\r\n{line}\r\n", line.len()).as_bytes()).await.is_err() {
                return;
            }
            for (backend, draining) in draining.iter().enumerate() {
                let before = sent.as_ref().map_or(!draining, |sent| sent[backend]);
                if before != *draining {
                    let change = DrainChange { at: now, ingress, backend, draining: *draining };
                    self.record.borrow_mut().drain_changes.push(change);
                }
            }
            sent = Some(draining);
            while timeout(KEEPALIVE_INTERVAL, list.changed()).await.is_err() {
                if stream.write_all(b"1\r\n\n\r\n").await.is_err() {
                    return;
                }
            }
        }
    }

    /// Returns the list for one ingress as discovery's JSON, and marks it as seen.
    fn list_json(&self, ingress: usize, list: &mut watch::Receiver<PublishedList>) -> String {
        let generation = list.borrow_and_update().generation;
        let entries = self.list_entries(ingress);
        json!({"generation": generation, "reset": true, "instances": entries}).to_string()
    }

    /// Serves a connection of an ingress to the counter: `ping`, and `bump NAME AMOUNT LIFETIME`, which adds
    /// an amount and answers with the new total.
    async fn serve_counter(self, stream: DuplexStream, ingress: usize) {
        let mut stream = BufReader::new(stream);
        let mut line = String::new();
        while stream.read_line(&mut line).await.is_ok_and(|n| n > 0) {
            let words: Vec<&str> = line.split_whitespace().collect();
            let answer = match words[..] {
                ["ping"] => "pong\r\n".to_owned(),
                ["bump", name, amount, _] => match amount.parse::<f64>() {
                    Ok(amount) => {
                        let side = usize::from(self.split_ingresses.borrow().contains(&ingress));
                        let mut totals = self.totals.borrow_mut();
                        let total = totals[side].entry(name.to_owned()).or_default();
                        *total += amount;
                        self.record.borrow_mut().counter_calls += 1;
                        format!("ok {total}\r\n")
                    }
                    Err(_) => "error\r\n".to_owned(),
                },
                _ => "error\r\n".to_owned(),
            };
            if stream.get_mut().write_all(answer.as_bytes()).await.is_err() {
                return;
            }
            line.clear();
        }
    }
}
