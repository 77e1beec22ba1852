//! Starts what a trial needs, breaks what its script says, and records what the doors show. All that it starts ends with
//! it: processes are killed when it is dropped, and it waits for nothing that it did not start.

use crate::check::{Outcome, Seen};
use crate::relay::Relay;
use crate::script::{Net, Script, What};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::Cell;
use std::collections::BTreeMap;
use std::convert::Infallible;
use std::io;
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use weldhub_load::report::End;
use weldhub_load::run::run;
use weldhub_load::work::{Step, Work};

/// The doors are read so often.
const LOOK: Duration = Duration::from_millis(100);
/// A process is ready, or a door answers, within this; generous, as machines differ.
const PATIENCE: Duration = Duration::from_secs(30);

/// A process of the program.
struct Process {
    child: Option<Child>,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.file);
    }
}

impl Process {
    fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        pid.map_or(Ok(()), |pid| kill_process(pid, signal).map_err(io::Error::from))
    }
}

/// A fleet that runs.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    /// Where clients of each ingress connect.
    pub clients: Vec<SocketAddr>,
    /// Their doors.
    pub doors: Vec<SocketAddr>,
    told: Vec<Value>,
    processes: Vec<Process>,
    relay: Relay,
    served: Rc<Cell<u64>>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

fn free(count: usize) -> io::Result<Vec<SocketAddr>> {
    // All at once, so that none is given twice.
    let held: Vec<_> = (0..count).map(|_| TcpListener::bind("127.0.0.1:0")).collect::<io::Result<_>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

/// A stand-in real server: whatever is asked is answered after so long.
async fn server(work: u64, served: Rc<Cell<u64>>) -> io::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let served = served.clone();
            let answer = service_fn(move |_: Request<hyper::body::Incoming>| {
                let served = served.clone();
                async move {
                    sleep(Duration::from_millis(work)).await;
                    served.set(served.get() + 1);
                    Ok::<_, Infallible>(Response::new(Full::new(Bytes::from_static(b"a board\n"))))
                }
            });
            spawn_local(
                async move { http1::Builder::new().serve_connection(TokioIo::new(stream), answer).await },
            );
        }
    });
    Ok(at)
}

/// Discovery that never says anything: the list is that of the start.
async fn silent() -> io::Result<SocketAddr> {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        let mut held = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            // A few a start; the oldest are let go.
            held.push(stream);
            if held.len() > 256 {
                held.remove(0);
            }
        }
    });
    Ok(at)
}

/// One line to a door, and its answer.
async fn call(door: SocketAddr, line: &str) -> Option<String> {
    let said = async {
        let mut stream = TcpStream::connect(door).await.ok()?;
        stream.write_all(line.as_bytes()).await.ok()?;
        let mut text = String::new();
        stream.read_to_string(&mut text).await.ok()?;
        Some(text)
    };
    timeout(Duration::from_secs(2), said).await.ok().flatten()
}

/// The states of the others by number, as a door tells them.
fn view(text: &str) -> Option<BTreeMap<usize, String>> {
    let lines = text.strip_suffix("eof\n")?.lines();
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        Some((words.get(1)?.parse().ok()?, (*words.get(3)?).to_owned()))
    };
    lines.map(line).collect()
}

impl Rig {
    /// Starts stand-ins, the relay and all ingresses of the program at this path; within a local task set. They are
    /// ready when this returns.
    ///
    /// # Errors
    /// What could not be started, or was not ready in time.
    pub async fn start(program: &Path, script: &Script) -> Result<Self, String> {
        let said = |what: &str, e: io::Error| format!("{what}: {e}");
        let count = script.ingresses;
        let all = free(2 * count).map_err(|e| said("no free ports", e))?;
        let (clients, doors) = (all[..count].to_vec(), all[count..].to_vec());
        let held: Vec<_> = (0..count)
            .map(|_| UdpSocket::bind("127.0.0.1:0"))
            .collect::<io::Result<_>>()
            .map_err(|e| said("no free ports", e))?;
        let real: Vec<SocketAddr> = held
            .iter()
            .map(UdpSocket::local_addr)
            .collect::<io::Result<_>>()
            .map_err(|e| said("no free ports", e))?;
        let relay = Relay::start(real.clone(), Net::default(), script.seed).await;
        let relay = relay.map_err(|e| said("the relay", e))?;
        drop(held);
        let served = Rc::new(Cell::new(0));
        let mut known = Vec::new();
        for i in 0..script.servers {
            let at = server(script.work, served.clone()).await.map_err(|e| said("a real server", e))?;
            known.push(json!({"instanceId": format!("s{i}"), "hostPort": at.to_string(), "zone": "a", "machineType": "m",
                "cell": 0, "lifecycle": "in_service", "weight": 1.0, "startedAtMs": 0}));
        }
        let discovery = silent().await.map_err(|e| said("discovery", e))?;
        let folder =
            std::env::temp_dir().join(format!("weldhub-trial-{}-{}", std::process::id(), clients[0].port()));
        std::fs::create_dir_all(&folder).map_err(|e| said("a folder", e))?;
        let told = (0..count)
            .map(|n| {
                let seeds = [0, (n + 1) % count].map(|i| relay.told[i].to_string());
                json!({
                    "name": format!("n{n}"), "listen": clients[n].to_string(), "management": doors[n].to_string(),
                    "discovery": discovery.to_string(),
                    "known": {"generation": 1, "reset": true, "instances": known},
                    "cluster": {"listen": real[n].to_string(), "advertise": relay.told[n].to_string(),
                        "fleet": "trial", "seeds": if count > 1 { &seeds[..] } else { &[] }},
                    "settings": {
                        "balancers": count, "myNumber": n, "zone": 0, "zones": ["a"], "flavors": ["m"],
                        "membershipMode": "pushed",
                        "limits": {"maxAttempts": 3, "cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0},
                        "familyInfo": {"largest": 6},
                        "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
                        "classes": [{"name": "board-state", "aim": 600.0, "giveUp": 1500.0, "effect": "read_like"}],
                        "tariffs": [{"name": "club", "perSecond": 100.0, "storeSize": 200.0, "atOnce": 0,
                            "ceilingRate": 0.0, "neverOverDepth": 0.0}],
                    },
                })
            })
            .collect();
        let processes =
            (0..count).map(|n| Process { child: None, file: folder.join(format!("n{n}.json")) }).collect();
        let mut this =
            Self { program: program.to_owned(), folder, clients, doors, told, processes, relay, served };
        for n in 0..count {
            this.spawn(n).map_err(|e| said(&format!("{}", program.display()), e))?;
        }
        for n in 0..count {
            this.ready(n).await?;
        }
        this.relay.ways.borrow_mut().net = script.net;
        Ok(this)
    }

    fn spawn(&mut self, n: usize) -> io::Result<()> {
        let process = &mut self.processes[n];
        std::fs::write(&process.file, self.told[n].to_string())?;
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join(format!("n{n}.log")))?;
        let child = Command::new(&self.program)
            .env("RELAY_CONFIG", &process.file)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        process.child = Some(child);
        Ok(())
    }

    /// Waits until an ingress and all that it is told of by its fleet is there.
    async fn ready(&self, n: usize) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        loop {
            if call(self.doors[n], "ready\n").await.is_some_and(|text| text.starts_with("ok")) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("n{n} was not ready in time; its log is in {}", self.folder.display()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every ingress sees every other.
    ///
    /// # Errors
    /// Where that takes too long.
    pub async fn joined(&self) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        for n in 0..self.doors.len() {
            loop {
                let seen =
                    call(self.doors[n], "members\n").await.as_deref().and_then(view).unwrap_or_default();
                if seen.values().filter(|state| *state == "alive").count() + 1 == self.doors.len() {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("n{n} did not see all others in time: {seen:?}"));
                }
                sleep(LOOK).await;
            }
        }
        Ok(())
    }

    /// Plays the script, with a word for each fault, and tells what came of it.
    ///
    /// # Errors
    /// Where a process cannot be started or signalled, or the load cannot be asked.
    pub async fn play(&mut self, script: &Script, mut say: impl FnMut(String)) -> Result<Outcome, String> {
        self.joined().await?;
        let start = Instant::now();
        let length = Duration::from_millis(script.length);
        let looks: Vec<_> =
            (0..self.doors.len()).map(|n| spawn_local(look(n, self.doors[n], start, length))).collect();
        let load = (script.rate > 0.0).then(|| {
            let work = Work {
                seed: script.seed,
                steps: vec![Step { seconds: script.length as f64 / 1000.0 - 2.0, rate: script.rate }],
                classes: ["board-state:1:safe:1500".parse()].into_iter().flatten().collect(),
                customers: 50,
                plan: "club".into(),
                spread: self.clients.len(),
                units: 3,
            };
            let asked = work.arrivals().len() as u64;
            let at: Vec<String> = self.clients.iter().map(SocketAddr::to_string).collect();
            (asked, spawn_local(async move { run(&work, &at, 8).await }))
        });
        let mut todo: Vec<(u64, Turn)> = Vec::new();
        for fault in &script.faults {
            todo.push((fault.at, Turn::Begin(fault.what.clone())));
            if fault.end() > fault.at {
                todo.push((fault.end(), Turn::End(fault.what.clone())));
            }
        }
        todo.sort_by_key(|(at, _)| *at);
        let mut run = vec![true; self.doors.len()];
        for (at, step) in todo {
            sleep_until(start + Duration::from_millis(at)).await;
            say(format!("{at} ms  {step:?}"));
            self.step(&step, &mut run, script.net).await.map_err(|e| format!("at {at}: {e}"))?;
        }
        sleep_until(start + length).await;
        let mut outcome = Outcome { run, datagrams: self.relay.ways.borrow().counts, ..Outcome::default() };
        for look in looks {
            let (seen, last) = look.await.map_err(|e| e.to_string())?;
            outcome.seen.extend(seen);
            outcome.last.push(last);
        }
        outcome.seen.sort_by_key(|seen| seen.at);
        if let Some((asked, load)) = load {
            let report = load.await.map_err(|e| e.to_string())??;
            outcome.asked = asked;
            outcome.ends = [End::Served, End::Refused, End::Failed].map(|end| report.count(end));
        }
        Ok(outcome)
    }

    async fn step(&mut self, step: &Turn, run: &mut [bool], usual: Net) -> Result<(), String> {
        let wrong = |e: io::Error| e.to_string();
        match step {
            Turn::Begin(What::Kill(of)) => {
                for n in of {
                    run[*n] = false;
                    if let Some(mut child) = self.processes[*n].child.take() {
                        child.kill().and_then(|()| child.wait()).map_err(wrong)?;
                    }
                }
            }
            Turn::Begin(What::Term(of)) => {
                for n in of {
                    run[*n] = false;
                    self.processes[*n].signal(Signal::TERM).map_err(wrong)?;
                }
            }
            Turn::Begin(What::Start(of)) => {
                for n in of {
                    if let Some(mut child) = self.processes[*n].child.take() {
                        // One that was told to stop: it is given its time.
                        let end = Instant::now() + PATIENCE;
                        while child.try_wait().map_err(wrong)?.is_none() && Instant::now() < end {
                            sleep(Duration::from_millis(20)).await;
                        }
                        let _ = child.kill();
                        child.wait().map_err(wrong)?;
                    }
                    self.spawn(*n).map_err(wrong)?;
                    run[*n] = true;
                }
            }
            Turn::Begin(What::Pause { of, .. }) => {
                of.iter().try_for_each(|n| self.processes[*n].signal(Signal::STOP)).map_err(wrong)?;
            }
            Turn::End(What::Pause { of, .. }) => {
                of.iter().try_for_each(|n| self.processes[*n].signal(Signal::CONT)).map_err(wrong)?;
            }
            Turn::Begin(What::Cut { from, to, one_sided, .. }) => self.cut(from, to, *one_sided, true),
            Turn::End(What::Cut { from, to, one_sided, .. }) => self.cut(from, to, *one_sided, false),
            Turn::Begin(What::Net { net, .. }) => self.relay.ways.borrow_mut().net = *net,
            Turn::End(What::Net { .. }) => self.relay.ways.borrow_mut().net = usual,
            Turn::End(_) => {}
        }
        Ok(())
    }

    fn cut(&self, from: &[usize], to: &[usize], one_sided: bool, on: bool) {
        let mut ways = self.relay.ways.borrow_mut();
        for a in from {
            for b in to {
                ways.cut(*a, *b, on);
                if !one_sided {
                    ways.cut(*b, *a, on);
                }
            }
        }
    }

    /// Requests that the stand-in real servers have answered.
    pub fn served(&self) -> u64 {
        self.served.get()
    }
}

/// A step of a script: a fault begins, or ends.
#[derive(Debug)]
enum Turn {
    Begin(What),
    End(What),
}

/// Reads a door again and again; tells each change, and the last view.
async fn look(
    by: usize,
    door: SocketAddr,
    start: Instant,
    length: Duration,
) -> (Vec<Seen>, Option<BTreeMap<usize, String>>) {
    let (mut seen, mut before, mut last) = (Vec::new(), BTreeMap::new(), None);
    while start.elapsed() < length {
        last = call(door, "members\n").await.as_deref().and_then(view);
        if let Some(now) = &last {
            for (of, state) in now.iter().filter(|(of, _)| **of != by) {
                if before.get(of) != Some(state) {
                    let at = start.elapsed().as_millis() as u64;
                    seen.push(Seen { at, by, of: *of, state: state.clone() });
                }
            }
            before.clone_from(now);
        }
        sleep(LOOK).await;
    }
    (seen, last)
}
