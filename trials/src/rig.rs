//! Starts what a trial needs, breaks what its script says, and records what the doors and the stand-ins show. All that it
//! starts ends with it: processes are killed when it is dropped, or when its own process is, and it waits for nothing
//! that it did not start.

use crate::check::{Outcome, Seen, Yes};
use crate::gate::{Gate, Line};
use crate::relay::{Relay, Ways};
use crate::script::{How, Net, Script, Talk, What};
use crate::stand_ins::World;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until, timeout};
use weldhub::cluster::packet::{Body, Identity, Packet, fleet_key};
use weldhub_load::report::End;
use weldhub_load::run::run;
use weldhub_load::work::{Step, Work};

/// The doors are read so often, and once more for each hundredth of a second and ingress.
const LOOK: Duration = Duration::from_millis(100);
/// A process is ready, or a door answers, within this; generous, as machines differ.
const PATIENCE: Duration = Duration::from_secs(30);
/// What is slow takes so long each way.
const SLOW: u64 = 500;
/// The plan of all who ask, and its classes.
const PLAN: &str = "club";
const CLASSES: [&str; 2] = ["board-state:9:safe:1500", "move-submit:1:keyed=6000:3000"];

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

fn send(child: &Child, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    pid.map_or(Ok(()), |pid| kill_process(pid, signal).map_err(io::Error::from))
}

impl Process {
    /// The processor time that it has used, in milliseconds; 0 where that is not told.
    fn processor(&self) -> f64 {
        let stat = |child: &Child| std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok();
        let text = self.child.as_ref().and_then(stat).unwrap_or_default();
        // After the name in brackets: the 12th and 13th fields, in hundredths of a second.
        let fields = text.rsplit(')').next().unwrap_or_default().split_ascii_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() * 10.0
    }

    fn signal(&self, signal: Signal) -> io::Result<()> {
        self.child.as_ref().map_or(Ok(()), |child| send(child, signal))
    }
}

/// A fleet that runs.
pub struct Rig {
    program: PathBuf,
    folder: PathBuf,
    /// Where clients of each ingress connect.
    pub clients: Vec<SocketAddr>,
    /// Their doors, which change with an upgrade.
    pub doors: Rc<RefCell<Vec<SocketAddr>>>,
    told: Vec<Value>,
    processes: Vec<Process>,
    ways: Rc<RefCell<Ways>>,
    relay: Relay,
    /// What the ingresses talk with.
    pub world: World,
    home: IpAddr,
    strangers: usize,
    yes: Vec<Yes>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// An address of this rig's own: nobody's outgoing connection takes a port there while an ingress is down.
fn home() -> IpAddr {
    let [a, b, ..] = std::process::id().to_le_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (a & 63), b, 1 | a >> 6))
}

fn free(home: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    // All at once, so that none is given twice.
    let held: Vec<_> = (0..count).map(|_| TcpListener::bind((home, 0))).collect::<io::Result<_>>()?;
    held.iter().map(TcpListener::local_addr).collect()
}

fn free_udp(home: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let held: Vec<_> = (0..count).map(|_| UdpSocket::bind((home, 0))).collect::<io::Result<_>>()?;
    held.iter().map(UdpSocket::local_addr).collect()
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

/// Operators' words as a door tells them, without how long ago they were said.
fn spoken(text: &str) -> Option<Vec<String>> {
    let lines = text.strip_suffix("eof\n")?.lines();
    let line = |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        Some(format!("{} {} {} by {}", words.first()?, words.get(1)?, words.get(2)?, words.last()?))
    };
    lines.map(line).collect()
}

/// How far an ingress has come back, as its door tells it, and how long that took at first.
fn returned(text: &str) -> Option<(String, Option<u64>)> {
    let word = |key: &str| text.lines().find_map(|line| line.strip_prefix(key)?.split(' ').nth(1));
    Some((word("stage")?.to_owned(), word("whole_after").and_then(|span| span.parse().ok())))
}

/// What an ingress of this number is told, but for its sockets.
fn settings(script: &Script, n: usize) -> Value {
    let class = |name: &str, give_up: f64, effect: &str| json!({"name": name, "aim": 600.0, "giveUp": give_up, "effect": effect, "group": "cell", "window": 6000.0});
    let plan = &script.plan;
    json!({
        "balancers": script.ingresses, "myNumber": n, "zone": 0, "zones": ["a"], "flavors": ["m"],
        "membershipMode": "pushed",
        "limits": {"maxAttempts": 3, "cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0,
            "mayTell": script.talk == Talk::Peers},
        "familyInfo": {"largest": f64::from(plan.units).max(6.0), "mailPerS": 60.0, "counterTimeout": 50.0,
            "hasCounter": script.talk == Talk::Counter},
        "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
        "classes": [class("board-state", 1500.0, "read_like"), class("move-submit", 3000.0, "idempotency_key")],
        "tariffs": [{"name": PLAN, "perSecond": plan.rate, "storeSize": plan.burst, "atOnce": 0,
            "ceilingRate": plan.ceiling, "neverOverDepth": plan.ceiling_burst}],
    })
}

impl Rig {
    /// Starts stand-ins, the relays and all ingresses of the program at this path; within a local task set. They are
    /// ready when this returns.
    ///
    /// # Errors
    /// What could not be started, or was not ready in time.
    pub async fn start(program: &Path, script: &Script) -> Result<Self, String> {
        let said = |what: &str, e: io::Error| format!("{what}: {e}");
        let (count, home) = (script.ingresses, home());
        let ports = |e| said("no free ports", e);
        let all = free(home, 2 * count).map_err(ports)?;
        let (clients, doors) = (all[..count].to_vec(), all[count..].to_vec());
        let real = free_udp(home, 2 * count).map_err(ports)?;
        let (real, mail) = (real[..count].to_vec(), real[count..].to_vec());
        let ways = Rc::new(RefCell::new(Ways::new(script.seed)));
        let relay = Relay::start(real.clone(), ways.clone()).await.map_err(|e| said("the relay", e))?;
        let post = Relay::start(mail.clone(), ways.clone()).await.map_err(|e| said("the relay", e))?;
        let world = World::start(count, script.servers, script.work).await;
        let world = world.map_err(|e| said("the stand-ins", e))?;
        let folder =
            std::env::temp_dir().join(format!("weldhub-trial-{}-{}", std::process::id(), clients[0].port()));
        std::fs::create_dir_all(&folder).map_err(|e| said("a folder", e))?;
        let told = (0..count)
            .map(|n| {
                let seeds = [0, (n + 1) % count].map(|i| relay.told[i].to_string());
                let fleet = if n < script.own() { "trial" } else { "stranger" };
                let ways = world.ways(n);
                let mut told = json!({
                    "name": format!("n{n}"), "listen": clients[n].to_string(), "management": doors[n].to_string(),
                    "discovery": ways.discovery.to_string(),
                    "known": {"generation": 1, "reset": true, "instances": world.entries(n)},
                    "cluster": {"listen": real[n].to_string(), "advertise": relay.told[n].to_string(),
                        "fleet": fleet, "seeds": if count > 1 { &seeds[..] } else { &[] }},
                    "settings": settings(script, n),
                });
                if let Some(size) = script.subset {
                    told["subset"] = json!({ "size": size });
                }
                if !script.membership {
                    told.as_object_mut().and_then(|told| told.remove("cluster"));
                }
                match script.talk {
                    Talk::None => {}
                    Talk::Counter => told["counter"] = json!(ways.counter.to_string()),
                    Talk::Peers => {
                        let peers: Vec<String> = post.told.iter().map(SocketAddr::to_string).collect();
                        (told["peer_listen"], told["peers"]) = (json!(mail[n].to_string()), json!(peers));
                    }
                }
                told
            })
            .collect();
        let processes =
            (0..count).map(|n| Process { child: None, file: folder.join(format!("n{n}.json")) }).collect();
        let mut this = Self {
            program: program.to_owned(),
            folder,
            clients,
            doors: Rc::new(RefCell::new(doors)),
            told,
            processes,
            ways,
            relay,
            world,
            home,
            strangers: script.strangers,
            yes: Vec::new(),
        };
        for n in 0..count {
            this.spawn(n).map_err(|e| said(&format!("{}", program.display()), e))?;
        }
        for n in 0..count {
            this.ready(n).await?;
        }
        this.ways.borrow_mut().net = script.net;
        Ok(this)
    }

    fn door(&self, n: usize) -> SocketAddr {
        self.doors.borrow()[n]
    }

    /// Starts a process; the one before it, if any, goes on.
    fn spawn(&mut self, n: usize) -> io::Result<Option<Child>> {
        let process = &mut self.processes[n];
        std::fs::write(&process.file, self.told[n].to_string())?;
        let log =
            std::fs::File::options().create(true).append(true).open(self.folder.join(format!("n{n}.log")))?;
        // It ends when this process does, also by SIGKILL.
        let child = Command::new(std::env::current_exe()?)
            .arg("guard")
            .arg(&self.program)
            .env("RELAY_CONFIG", &process.file)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        Ok(process.child.replace(child))
    }

    /// Waits until an ingress can serve.
    async fn ready(&self, n: usize) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        loop {
            if call(self.door(n), "ready\n").await.is_some_and(|text| text.starts_with("ok")) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("n{n} was not ready in time; its log is in {}", self.folder.display()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every ingress sees every other of its fleet.
    ///
    /// # Errors
    /// Where that takes too long.
    pub async fn joined(&self) -> Result<(), String> {
        let end = Instant::now() + PATIENCE;
        let count = self.clients.len();
        for n in 0..count {
            let fleet = if n < count - self.strangers { count - self.strangers } else { self.strangers };
            loop {
                let seen =
                    call(self.door(n), "members\n").await.as_deref().and_then(view).unwrap_or_default();
                if seen.values().filter(|state| *state == "alive").count() + 1 == fleet {
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
        if script.membership {
            self.joined().await?;
        }
        let start = Instant::now();
        self.world.begin();
        self.yes.clear();
        let (length, count) = (Duration::from_millis(script.length), self.clients.len());
        let looks: Vec<_> =
            (0..count).map(|n| spawn_local(look(n, self.doors.clone(), start, length))).collect();
        let (work, own) = (work(script), script.own());
        let arrivals = work.as_ref().map(Work::arrivals).unwrap_or_default();
        let load = work.map(|work| {
            let at: Vec<String> = self.clients[..own].iter().map(SocketAddr::to_string).collect();
            spawn_local(async move { run(&work, &at, 8).await })
        });
        let mut todo: Vec<(u64, Turn)> = Vec::new();
        for fault in &script.faults {
            todo.push((fault.at, Turn::Begin(fault.what.clone())));
            if fault.end() > fault.at {
                todo.push((fault.end(), Turn::End(fault.what.clone())));
            }
        }
        todo.sort_by_key(|(at, _)| *at);
        let mut run = vec![true; count];
        for (at, step) in todo {
            sleep_until(start + Duration::from_millis(at)).await;
            say(format!("{at} ms  {step:?}"));
            self.step(&step, &mut run, script.net).await.map_err(|e| format!("at {at}: {e}"))?;
        }
        sleep_until(start + length).await;
        let datagrams = self.ways.borrow().counts;
        let processor = self.processes.iter().map(Process::processor).collect();
        let mut outcome = Outcome { run, datagrams, processor, yes: self.yes.clone(), ..Outcome::default() };
        for look in looks {
            let (seen, last) = look.await.map_err(|e| e.to_string())?;
            outcome.seen.extend(seen);
            outcome.last.push(last);
        }
        outcome.seen.sort_by_key(|seen| seen.at);
        for n in 0..count {
            outcome.back.push(call(self.door(n), "recovery\n").await.as_deref().and_then(returned));
            outcome.words.push(call(self.door(n), "notices\n").await.as_deref().and_then(spoken));
        }
        if let Some(load) = load {
            let report = load.await.map_err(|e| e.to_string())??;
            outcome.asked = arrivals.iter().map(|a| (a.customer, a.units)).collect();
            outcome.ends = [End::Served, End::Refused, End::Failed].map(|end| report.count(end));
        }
        outcome.record = self.world.record();
        Ok(outcome)
    }

    async fn step(&mut self, step: &Turn, run: &mut [bool], usual: Net) -> Result<(), String> {
        let wrong = |e: io::Error| e.to_string();
        let on = matches!(step, Turn::Begin(_));
        let (Turn::Begin(what) | Turn::End(what)) = step;
        match what {
            What::Kill(of) if on => {
                for n in of {
                    run[*n] = false;
                    if let Some(mut child) = self.processes[*n].child.take() {
                        child.kill().and_then(|()| child.wait()).map_err(wrong)?;
                    }
                }
            }
            What::Term(of) if on => {
                for n in of {
                    run[*n] = false;
                    self.processes[*n].signal(Signal::TERM).map_err(wrong)?;
                }
            }
            What::Start(of) if on => {
                for n in of {
                    if let Some(child) = self.processes[*n].child.take() {
                        end(child).await.map_err(wrong)?;
                    }
                    self.spawn(*n).map_err(wrong)?;
                    run[*n] = true;
                }
            }
            What::Upgrade(of) if on => {
                for n in of {
                    let door = free(self.home, 1).map_err(wrong)?[0];
                    self.told[*n]["management"] = json!(door.to_string());
                    let old = self.spawn(*n).map_err(wrong)?;
                    self.doors.borrow_mut()[*n] = door;
                    self.ready(*n).await?;
                    if let Some(old) = old {
                        send(&old, Signal::TERM).map_err(wrong)?;
                        end(old).await.map_err(wrong)?;
                    }
                }
            }
            What::Pause { of, .. } => {
                let signal = if on { Signal::STOP } else { Signal::CONT };
                of.iter().try_for_each(|n| self.processes[*n].signal(signal)).map_err(wrong)?;
            }
            What::Cut { from, to, one_sided, .. } => self.cut(from, to, *one_sided, on),
            What::Net { net, .. } => self.ways.borrow_mut().net = if on { *net } else { usual },
            What::ClockAhead { of, by } if on => self.forge(*of, *by).await,
            What::Discovery { of, is, .. } => gates(&self.world.to_discovery, of, *is, on),
            What::Counter { of, is, .. } => gates(&self.world.to_counter, of, *is, on),
            What::Servers { servers, of, is, .. } => {
                servers.iter().for_each(|s| gates(&self.world.to_servers[*s], of, *is, on));
            }
            What::Empty { .. } => self.world.empty(on),
            What::Forget if on => self.world.forget(),
            What::Split { of, .. } => self.world.split(if on { of } else { &[] }),
            What::Drain { servers, .. } => servers.iter().for_each(|s| self.world.drain(*s, on)),
            What::Ban { server, by, back_by, .. } => {
                let word = if on { "disable-server" } else { "enable-server" };
                let door = if on { *by } else { *back_by };
                self.operate(door, &format!("{word} s{server}"), Some((*server, on))).await?;
            }
            What::SendAway { of, by, back_by, .. } => {
                let word = if on { "drain" } else { "resume" };
                let door = if on { *by } else { *back_by };
                self.operate(door, &format!("{word} n{of}"), None).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// An operator's call at a door, and when it was answered.
    async fn operate(&mut self, by: usize, line: &str, of: Option<(usize, bool)>) -> Result<(), String> {
        let asked = self.world.now();
        let answer = call(self.door(by), &format!("{line}\n")).await.unwrap_or_default();
        if !answer.starts_with("ok") {
            return Err(format!("the door of n{by} says {answer:?} to {line}"));
        }
        if let Some((server, out)) = of {
            let at = if out { self.world.now() } else { asked };
            self.yes.push(Yes { at, by, server, out });
        }
        Ok(())
    }

    /// All hear of a process of this ingress whose clock was ahead.
    async fn forge(&self, of: usize, by: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let from = Identity {
            name: format!("n{of}"),
            number: u16::try_from(of).unwrap_or_default(),
            address: self.relay.told[of],
            started_at: now + by,
        };
        let (claims, notices) = (Vec::new(), Vec::new());
        let packet = Packet { from, incarnation: 0, body: Body::View, claims, notices, notices_digest: 0 };
        if let Some(bytes) = packet.encode(fleet_key("trial")) {
            self.relay.forge(of, &bytes).await;
        }
    }

    fn cut(&self, from: &[usize], to: &[usize], one_sided: bool, on: bool) {
        let mut ways = self.ways.borrow_mut();
        for a in from {
            for b in to {
                ways.cut(*a, *b, on);
                if !one_sided {
                    ways.cut(*b, *a, on);
                }
            }
        }
    }
}

fn gates(all: &[Gate], of: &[usize], is: How, on: bool) {
    let line = match is {
        How::Silent => Line { silent: true, ..Line::default() },
        How::Refused => Line { refused: true, ..Line::default() },
        How::Slow => Line { delay: SLOW, ..Line::default() },
    };
    of.iter().for_each(|n| all[*n].fault(line, on));
}

/// One that was told to stop is given its time, and then killed.
async fn end(mut child: Child) -> io::Result<()> {
    let last = Instant::now() + PATIENCE;
    while child.try_wait()?.is_none() && Instant::now() < last {
        sleep(Duration::from_millis(20)).await;
    }
    let _ = child.kill();
    child.wait().map(drop)
}

/// What is asked in a trial; none where nothing is.
fn work(script: &Script) -> Option<Work> {
    let own = script.own();
    (script.rate > 0.0).then(|| Work {
        seed: script.seed,
        steps: vec![Step { seconds: script.length as f64 / 1000.0 - 2.0, rate: script.rate }],
        classes: CLASSES.iter().filter_map(|class| class.parse().ok()).collect(),
        customers: script.plan.customers,
        plan: PLAN.into(),
        spread: if script.plan.spread == 0 { own } else { script.plan.spread.min(own) },
        units: script.plan.units,
    })
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
    doors: Rc<RefCell<Vec<SocketAddr>>>,
    start: Instant,
    length: Duration,
) -> (Vec<Seen>, Option<BTreeMap<usize, String>>) {
    let (mut seen, mut before, mut last) = (Vec::new(), BTreeMap::new(), None);
    let pause = LOOK + Duration::from_millis(10 * doors.borrow().len() as u64);
    while start.elapsed() < length {
        let door = doors.borrow()[by];
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
        sleep(pause).await;
    }
    (seen, last)
}
