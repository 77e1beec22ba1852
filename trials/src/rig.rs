//! Starts the processes, relays and stand-ins of a trial, applies the faults of its script, and records what
//! the admin interfaces and the stand-ins report. Everything that a rig started ends with it: processes are
//! killed when the rig is dropped, or when its own process ends in any way. A rig waits for no process that
//! it did not start.

use crate::admin::{admin_call, parse_members, parse_notices, parse_recovery};
use crate::check::{BackendCommand, Outcome, StateChange};
use crate::configured_child::guarded;
use crate::fault_proxy::{FaultProxy, Impairment};
use crate::relay::{Network, Relay};
use crate::script::{ConnectionFault, FaultKind, LinkConditions, LogTarget, QuotaSharing, Script};
use crate::stand_ins::StandIns;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, PipeReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Stdio};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, sleep_until};
use weldhub::cluster::packet::{Body, Identity, Packet, fleet_key};
use weldhub_load::report::RequestOutcome;
use weldhub_load::run::run;
use weldhub_load::work::{Step, Workload};

/// The pause between two reads of the members at one admin interface; `poll_members` adds 10 ms for each
/// ingress.
const MEMBERS_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// The time within which a process must be ready, have joined, or have exited; long, because machines differ.
const PROCESS_TIMEOUT: Duration = Duration::from_secs(30);
/// The delay of a slow connection, in milliseconds each way.
const SLOW_DELAY_MS: u64 = 500;
/// The bytes that fill a pipe.
const PIPE_BYTES: usize = 64 * 1024;
/// The name of the plan that all customers of the load have.
const PLAN_NAME: &str = "club";
/// The classes of the load: NAME:SHARE:EFFECT:TIMEOUT, times in milliseconds.
const LOAD_CLASSES: [&str; 2] = ["board-state:9:safe:1500", "move-submit:1:keyed=6000:3000"];

/// The current process of an ingress, killed on drop, and its configuration file, removed on drop.
struct Process {
    /// `None` if the process was killed or has not been started.
    child: Option<Child>,
    config_path: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
        let _ = std::fs::remove_file(&self.config_path);
    }
}

fn send_signal(child: &Child, signal: Signal) -> io::Result<()> {
    let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
    pid.map_or(Ok(()), |pid| kill_process(pid, signal).map_err(io::Error::from))
}

impl Process {
    /// Returns the processor time that the process has used, in milliseconds; 0 if it cannot be read.
    fn cpu_time(&self) -> f64 {
        let stat = |child: &Child| std::fs::read_to_string(format!("/proc/{}/stat", child.id())).ok();
        let text = self.child.as_ref().and_then(stat).unwrap_or_default();
        // utime and stime are the 12th and 13th fields after the command's name in brackets, in ticks of 10
        // ms.
        let fields = text.rsplit(')').next().unwrap_or_default().split_ascii_whitespace();
        fields.skip(11).take(2).filter_map(|ticks| ticks.parse::<f64>().ok()).sum::<f64>() * 10.0
    }

    /// Sends a signal to the process, if there is one.
    fn signal(&self, signal: Signal) -> io::Result<()> {
        self.child.as_ref().map_or(Ok(()), |child| send_signal(child, signal))
    }
}

/// A running fleet of ingresses, with its relays and stand-ins.
pub struct Rig {
    program: PathBuf,
    /// The folder of the configurations, logs and sockets of the processes; removed on drop.
    folder: PathBuf,
    /// The address where clients connect, by ingress.
    pub client_addresses: Vec<SocketAddr>,
    /// The address of the admin interface, by ingress; an upgrade changes it.
    pub admin_addresses: Rc<RefCell<Vec<SocketAddr>>>,
    /// The configuration, by ingress.
    configs: Vec<Value>,
    processes: Vec<Process>,
    network: Rc<RefCell<Network>>,
    membership_relay: Relay,
    /// The stand-ins that the ingresses talk to.
    pub stand_ins: StandIns,
    loopback_ip: IpAddr,
    foreign_ingresses: usize,
    backend_commands: Vec<BackendCommand>,
    log: LogTarget,
    /// The reading ends of the logs that nobody reads.
    unread_logs: Vec<PipeReader>,
    /// The ids of the processes that were started, by ingress.
    pub process_ids: Rc<RefCell<Vec<Vec<u32>>>>,
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.processes.clear();
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Opens the log of a process. `unread_logs` keeps the reading ends that must stay open.
fn open_log(target: LogTarget, path: &Path, unread_logs: &mut Vec<PipeReader>) -> io::Result<Stdio> {
    let (reader, mut writer) = match target {
        LogTarget::File => return Ok(File::options().create(true).append(true).open(path)?.into()),
        LogTarget::FullDevice => return Ok(File::options().write(true).open("/dev/full")?.into()),
        LogTarget::EndedReader | LogTarget::Unread => io::pipe()?,
    };
    if target == LogTarget::Unread {
        writer.write_all(&[b'x'; PIPE_BYTES])?;
        unread_logs.push(reader);
    }
    Ok(writer.into())
}

/// Returns a loopback address of this rig's own, derived from the process id. On a shared address an outgoing
/// connection of another process could take the port of an ingress while that is down.
fn own_loopback_ip() -> IpAddr {
    let [a, b, ..] = std::process::id().to_le_bytes();
    IpAddr::V4(Ipv4Addr::new(127, 64 | (a & 63), b, 1 | a >> 6))
}

/// Returns addresses with free TCP ports.
fn free_tcp_addresses(ip: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    // All are bound at the same time, so that no port is returned twice.
    let bound: Vec<_> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect::<io::Result<_>>()?;
    bound.iter().map(TcpListener::local_addr).collect()
}

/// Returns addresses with free UDP ports.
fn free_udp_addresses(ip: IpAddr, count: usize) -> io::Result<Vec<SocketAddr>> {
    let bound: Vec<_> = (0..count).map(|_| UdpSocket::bind((ip, 0))).collect::<io::Result<_>>()?;
    bound.iter().map(UdpSocket::local_addr).collect()
}

/// Returns the settings of the ingress of this number.
fn settings(script: &Script, number: usize) -> Value {
    let class = |name: &str, give_up: f64, effect: &str| json!({"name": name, "aim": 600.0, "giveUp": give_up, "effect": effect, "group": "cell", "window": 6000.0});
    let plan = &script.plan;
    json!({
        "balancers": script.ingresses, "myNumber": number, "zone": 0, "zones": ["a"], "flavors": ["m"],
        "membershipMode": "pushed",
        "limits": {"maxAttempts": 3, "cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0,
            "mayTell": script.quota_sharing == QuotaSharing::Peers},
        "familyInfo": {"largest": f64::from(plan.units).max(6.0), "mailPerS": 60.0, "counterTimeout": 50.0,
            "hasCounter": script.quota_sharing == QuotaSharing::Counter},
        "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
        "classes": [class("board-state", 1500.0, "read_like"), class("move-submit", 3000.0, "idempotency_key")],
        "tariffs": [{"name": PLAN_NAME, "perSecond": plan.rate, "storeSize": plan.burst, "atOnce": 0,
            "ceilingRate": plan.ceiling, "neverOverDepth": plan.ceiling_burst}],
    })
}

impl Rig {
    /// Starts the stand-ins, the relays and all ingresses, which run the program at this path, and returns
    /// once they are ready. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// A message that says what could not be started, or which ingress was not ready in time.
    pub async fn start(program: &Path, script: &Script) -> Result<Self, String> {
        let context = |what: &str, e: io::Error| format!("{what}: {e}");
        let (count, loopback_ip) = (script.ingresses, own_loopback_ip());
        let ports = |e| context("no free ports", e);
        let tcp = free_tcp_addresses(loopback_ip, 2 * count).map_err(ports)?;
        let (client_addresses, admin_addresses) = (tcp[..count].to_vec(), tcp[count..].to_vec());
        let udp = free_udp_addresses(loopback_ip, 2 * count).map_err(ports)?;
        let (cluster_addresses, peer_addresses) = (udp[..count].to_vec(), udp[count..].to_vec());
        let network = Rc::new(RefCell::new(Network::new(script.seed)));
        let membership_relay = Relay::start(cluster_addresses.clone(), network.clone())
            .await
            .map_err(|e| context("cannot start the membership relay", e))?;
        let peer_relay = Relay::start(peer_addresses.clone(), network.clone())
            .await
            .map_err(|e| context("cannot start the relay of peer messages", e))?;
        let backends = (script.backends, script.cells);
        let stand_ins = StandIns::start(count, backends, script.service_time, script.backend_buffer).await;
        let stand_ins = stand_ins.map_err(|e| context("cannot start the stand-ins", e))?;
        let folder = std::env::temp_dir().join(format!(
            "weldhub-trial-{}-{}",
            std::process::id(),
            client_addresses[0].port()
        ));
        std::fs::create_dir_all(&folder)
            .map_err(|e| context(&format!("cannot create {}", folder.display()), e))?;
        let configs = (0..count)
            .map(|n| {
                let seeds = [0, (n + 1) % count].map(|i| membership_relay.advertised[i].to_string());
                let fleet = if n < script.fleet_size() { "trial" } else { "stranger" };
                let addresses = stand_ins.addresses(n);
                let mut config = json!({
                    "name": format!("n{n}"), "listen": client_addresses[n].to_string(),
                    "management": admin_addresses[n].to_string(),
                    "discovery": addresses.discovery.to_string(),
                    "known": {"generation": 1, "reset": true, "instances": stand_ins.list_entries(n)},
                    "cluster": {"listen": cluster_addresses[n].to_string(),
                        "advertise": membership_relay.advertised[n].to_string(),
                        "fleet": fleet, "seeds": if count > 1 { &seeds[..] } else { &[] }},
                    "settings": settings(script, n),
                });
                if let Some(size) = script.subset {
                    config["subset"] = json!({ "size": size });
                }
                if let Some(limits) = script.limits {
                    config["limits"] = json!({"memory_mb": limits.memory_mib, "sockets": limits.descriptors});
                }
                if !script.membership {
                    config.as_object_mut().and_then(|config| config.remove("cluster"));
                }
                match script.quota_sharing {
                    QuotaSharing::None => {}
                    QuotaSharing::Counter => config["counter"] = json!(addresses.counter.to_string()),
                    QuotaSharing::Peers => {
                        let peers: Vec<String> =
                            peer_relay.advertised.iter().map(SocketAddr::to_string).collect();
                        (config["peer_listen"], config["peers"]) =
                            (json!(peer_addresses[n].to_string()), json!(peers));
                    }
                }
                config
            })
            .collect();
        let processes = (0..count)
            .map(|n| Process { child: None, config_path: folder.join(format!("n{n}.json")) })
            .collect();
        let mut this = Self {
            program: program.to_owned(),
            folder,
            client_addresses,
            admin_addresses: Rc::new(RefCell::new(admin_addresses)),
            configs,
            processes,
            network,
            membership_relay,
            stand_ins,
            loopback_ip,
            foreign_ingresses: script.foreign_ingresses,
            backend_commands: Vec::new(),
            log: script.log,
            unread_logs: Vec::new(),
            process_ids: Rc::new(RefCell::new(vec![Vec::new(); count])),
        };
        for n in 0..count {
            this.spawn(n).map_err(|e| context(&format!("{}", program.display()), e))?;
        }
        for n in 0..count {
            this.wait_ready(n).await?;
        }
        this.network.borrow_mut().conditions = script.net;
        Ok(this)
    }

    fn admin_address(&self, n: usize) -> SocketAddr {
        self.admin_addresses.borrow()[n]
    }

    /// Starts a process for an ingress, and returns the one before it, if any, which keeps running.
    fn spawn(&mut self, n: usize) -> io::Result<Option<Child>> {
        let process = &mut self.processes[n];
        std::fs::write(&process.config_path, self.configs[n].to_string())?;
        let log = open_log(self.log, &self.folder.join(format!("n{n}.log")), &mut self.unread_logs)?;
        let child = guarded(&self.program)?
            .env("RELAY_CONFIG", &process.config_path)
            .env("TMPDIR", &self.folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()?;
        self.process_ids.borrow_mut()[n].push(child.id());
        Ok(process.child.replace(child))
    }

    /// Starts the next process of an ingress, with an admin interface of its own, and returns the one before it.
    fn spawn_next(&mut self, n: usize) -> io::Result<Option<Child>> {
        let admin_address = free_tcp_addresses(self.loopback_ip, 1)?[0];
        self.configs[n]["management"] = json!(admin_address.to_string());
        let old = self.spawn(n)?;
        self.admin_addresses.borrow_mut()[n] = admin_address;
        Ok(old)
    }

    /// Waits until an ingress reports that it is ready to serve.
    async fn wait_ready(&self, n: usize) -> Result<(), String> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        loop {
            let answer = admin_call(self.admin_address(n), "ready\n").await;
            if answer.is_some_and(|text| text.starts_with("ok")) {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(format!("n{n} was not ready in time; its log is in {}", self.folder.display()));
            }
            sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every ingress sees all others of its fleet as alive.
    ///
    /// # Errors
    /// A message that names an ingress that does not after 30 seconds.
    pub async fn wait_joined(&self) -> Result<(), String> {
        let end = Instant::now() + PROCESS_TIMEOUT;
        let count = self.client_addresses.len();
        for n in 0..count {
            let fleet_size = if n < count - self.foreign_ingresses {
                count - self.foreign_ingresses
            } else {
                self.foreign_ingresses
            };
            loop {
                let answer = admin_call(self.admin_address(n), "members\n").await;
                let members = answer.as_deref().and_then(parse_members).unwrap_or_default();
                if members.values().filter(|state| *state == "alive").count() + 1 == fleet_size {
                    break;
                }
                if Instant::now() > end {
                    return Err(format!("n{n} did not see all others as alive in time: {members:?}"));
                }
                sleep(MEMBERS_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Plays a script and returns what was recorded. `report_step` is called with a line of text for each
    /// start and end of a fault.
    ///
    /// # Errors
    /// A message if a process cannot be started or signalled, an admin interface rejects a command, or the
    /// load cannot run.
    pub async fn play(
        &mut self,
        script: &Script,
        mut report_step: impl FnMut(String),
    ) -> Result<Outcome, String> {
        if script.membership {
            self.wait_joined().await?;
        }
        let start = Instant::now();
        self.stand_ins.reset_record();
        self.backend_commands.clear();
        let (length, count) = (Duration::from_millis(script.length), self.client_addresses.len());
        let polls: Vec<_> = (0..count)
            .map(|n| spawn_local(poll_members(n, self.admin_addresses.clone(), start, length)))
            .collect();
        let (workload, fleet_size) = (workload(script), script.fleet_size());
        let arrivals = workload.as_ref().map(Workload::arrivals).unwrap_or_default();
        let load = workload.map(|workload| {
            let addresses: Vec<String> =
                self.client_addresses[..fleet_size].iter().map(SocketAddr::to_string).collect();
            spawn_local(async move { run(&workload, &addresses, 8).await })
        });
        let mut steps: Vec<(u64, FaultStep)> = Vec::new();
        for fault in &script.faults {
            steps.push((fault.at, FaultStep::Begin(fault.kind.clone())));
            if fault.end() > fault.at {
                steps.push((fault.end(), FaultStep::End(fault.kind.clone())));
            }
        }
        steps.sort_by_key(|(at, _)| *at);
        let mut running = vec![true; count];
        for (at, step) in steps {
            sleep_until(start + Duration::from_millis(at)).await;
            report_step(format!("{at} ms  {step:?}"));
            self.apply(&step, &mut running, script.net).await.map_err(|e| format!("at {at} ms: {e}"))?;
        }
        sleep_until(start + length).await;
        let datagrams = {
            let network = self.network.borrow();
            [network.received, network.forwarded]
        };
        let cpu_time = self.processes.iter().map(Process::cpu_time).collect();
        let backend_commands = self.backend_commands.clone();
        let mut outcome = Outcome { running, datagrams, cpu_time, backend_commands, ..Outcome::default() };
        for poll in polls {
            let (state_changes, final_view) = poll.await.map_err(|e| e.to_string())?;
            outcome.state_changes.extend(state_changes);
            outcome.final_views.push(final_view);
        }
        outcome.state_changes.sort_by_key(|change| change.at);
        for n in 0..count {
            let recovery = admin_call(self.admin_address(n), "recovery\n").await;
            outcome.recoveries.push(recovery.as_deref().and_then(parse_recovery));
            let notices = admin_call(self.admin_address(n), "notices\n").await;
            outcome.final_notices.push(notices.as_deref().and_then(parse_notices));
        }
        if let Some(load) = load {
            let report = load.await.map_err(|e| e.to_string())??;
            outcome.requests = arrivals.iter().map(|a| (a.customer, a.units)).collect();
            outcome.request_outcomes =
                [RequestOutcome::Served, RequestOutcome::Rejected, RequestOutcome::Failed]
                    .map(|end| report.count(end));
        }
        outcome.record = self.stand_ins.record();
        Ok(outcome)
    }

    /// Begins or ends a fault. `running` is updated with the ingresses that it stops or starts;
    /// `base_conditions` apply again when a `Network` fault ends.
    async fn apply(
        &mut self,
        step: &FaultStep,
        running: &mut [bool],
        base_conditions: LinkConditions,
    ) -> Result<(), String> {
        let message = |e: io::Error| e.to_string();
        let begins = matches!(step, FaultStep::Begin(_));
        let (FaultStep::Begin(kind) | FaultStep::End(kind)) = step;
        match kind {
            FaultKind::Kill(ingresses) if begins => {
                for n in ingresses {
                    running[*n] = false;
                    if let Some(mut child) = self.processes[*n].child.take() {
                        child.kill().and_then(|()| child.wait()).map_err(message)?;
                    }
                }
            }
            FaultKind::Term(ingresses) if begins => {
                for n in ingresses {
                    running[*n] = false;
                    self.processes[*n].signal(Signal::TERM).map_err(message)?;
                }
            }
            FaultKind::Start(ingresses) if begins => {
                for n in ingresses {
                    if let Some(child) = self.processes[*n].child.take() {
                        wait_or_kill(child).await.map_err(message)?;
                    }
                    self.spawn(*n).map_err(message)?;
                    running[*n] = true;
                }
            }
            FaultKind::Upgrade(ingresses) if begins => {
                for n in ingresses {
                    let old = self.spawn_next(*n).map_err(message)?;
                    self.wait_ready(*n).await?;
                    if let Some(old) = old {
                        send_signal(&old, Signal::TERM).map_err(message)?;
                        wait_or_kill(old).await.map_err(message)?;
                    }
                }
            }
            FaultKind::BrokenUpgrade { ingress, after } if begins => {
                self.break_upgrade(*ingress, Duration::from_millis(*after)).await.map_err(message)?;
            }
            FaultKind::Pause { ingresses, .. } => {
                let signal = if begins { Signal::STOP } else { Signal::CONT };
                ingresses.iter().try_for_each(|n| self.processes[*n].signal(signal)).map_err(message)?;
            }
            FaultKind::Cut { from, to, one_sided, .. } => self.set_cut(from, to, *one_sided, begins),
            FaultKind::Network { net, .. } => {
                self.network.borrow_mut().conditions = if begins { *net } else { base_conditions }
            }
            FaultKind::ClockAhead { ingress, by } if begins => self.announce_ahead(*ingress, *by).await,
            FaultKind::Discovery { ingresses, fault, .. } => {
                set_faults(&self.stand_ins.discovery_proxies, ingresses, *fault, begins)
            }
            FaultKind::Counter { ingresses, fault, .. } => {
                set_faults(&self.stand_ins.counter_proxies, ingresses, *fault, begins)
            }
            FaultKind::Backends { backends, ingresses, fault, .. } => {
                let proxies = &self.stand_ins.backend_proxies;
                backends.iter().for_each(|b| set_faults(&proxies[*b], ingresses, *fault, begins));
            }
            FaultKind::EmptyList { .. } => self.stand_ins.set_list_empty(begins),
            FaultKind::ResetCounter if begins => self.stand_ins.reset_counter(),
            FaultKind::SplitCounter { ingresses, .. } => {
                self.stand_ins.split_counter(if begins { ingresses } else { &[] })
            }
            FaultKind::DrainBackends { backends, .. } => {
                backends.iter().for_each(|b| self.stand_ins.set_draining(*b, begins))
            }
            FaultKind::DisableBackend { backend, by, back_by, .. } => {
                let command = if begins { "disable-server" } else { "enable-server" };
                let at = if begins { *by } else { *back_by };
                self.operate(at, &format!("{command} s{backend}"), Some((*backend, begins))).await?;
            }
            FaultKind::DrainIngress { ingress, by, back_by, .. } => {
                let command = if begins { "drain" } else { "resume" };
                let at = if begins { *by } else { *back_by };
                self.operate(at, &format!("{command} n{ingress}"), None).await?;
            }
            _ => {}
        }
        Ok(())
    }

    /// Starts the next process of an ingress and kills it after some time. The old one goes on.
    async fn break_upgrade(&mut self, n: usize, after: Duration) -> io::Result<()> {
        let old_address = self.admin_address(n);
        let old = self.spawn_next(n)?;
        sleep(after).await;
        if let Some(mut new) = std::mem::replace(&mut self.processes[n].child, old) {
            new.kill()?;
            new.wait()?;
        }
        self.configs[n]["management"] = json!(old_address.to_string());
        self.admin_addresses.borrow_mut()[n] = old_address;
        Ok(())
    }

    /// Sends an operator's command to the admin interface of an ingress. A command on a backend, given with
    /// whether it disables it, is recorded.
    async fn operate(
        &mut self,
        ingress: usize,
        line: &str,
        backend_command: Option<(usize, bool)>,
    ) -> Result<(), String> {
        let sent_at = self.stand_ins.now();
        let answer = admin_call(self.admin_address(ingress), &format!("{line}\n")).await.unwrap_or_default();
        if !answer.starts_with("ok") {
            return Err(format!("the admin interface of n{ingress} answers {answer:?} to {line}"));
        }
        if let Some((backend, disabled)) = backend_command {
            let at = if disabled { self.stand_ins.now() } else { sent_at };
            self.backend_commands.push(BackendCommand { at, ingress, backend, disabled });
        }
        Ok(())
    }

    /// Announces a process of this ingress to all others whose start, by its clock, is this many milliseconds
    /// ahead.
    async fn announce_ahead(&self, ingress: usize, ahead: u64) {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64;
        let from = Identity {
            name: format!("n{ingress}"),
            number: u16::try_from(ingress).unwrap_or_default(),
            address: self.membership_relay.advertised[ingress],
            started_at: now + ahead,
        };
        let (claims, notices) = (Vec::new(), Vec::new());
        let packet = Packet { from, incarnation: 0, body: Body::View, claims, notices, notices_digest: 0 };
        if let Some(bytes) = packet.encode(fleet_key("trial")) {
            self.membership_relay.send_forged(ingress, &bytes).await;
        }
    }

    /// Adds or removes cuts from each ingress of the first group to each of the second, and back unless
    /// `one_sided`.
    fn set_cut(&self, from: &[usize], to: &[usize], one_sided: bool, active: bool) {
        let mut network = self.network.borrow_mut();
        for a in from {
            for b in to {
                network.set_cut(*a, *b, active);
                if !one_sided {
                    network.set_cut(*b, *a, active);
                }
            }
        }
    }
}

/// Adds or removes a fault at the proxies of these ingresses.
fn set_faults(proxies: &[FaultProxy], ingresses: &[usize], fault: ConnectionFault, active: bool) {
    let impairment = match fault {
        ConnectionFault::Silent => Impairment { silent: true, ..Impairment::default() },
        ConnectionFault::Refused => Impairment { refused: true, ..Impairment::default() },
        ConnectionFault::Slow => Impairment { delay_ms: SLOW_DELAY_MS, ..Impairment::default() },
    };
    ingresses.iter().for_each(|n| proxies[*n].set_fault(impairment, active));
}

/// Waits for a process that was asked to end, and kills it after `PROCESS_TIMEOUT`.
async fn wait_or_kill(mut child: Child) -> io::Result<()> {
    let end = Instant::now() + PROCESS_TIMEOUT;
    while child.try_wait()?.is_none() && Instant::now() < end {
        sleep(Duration::from_millis(20)).await;
    }
    let _ = child.kill();
    child.wait().map(drop)
}

/// Returns the load of a script, which ends two seconds before the trial; `None` if its rate is 0.
fn workload(script: &Script) -> Option<Workload> {
    let fleet_size = script.fleet_size();
    (script.rate > 0.0).then(|| Workload {
        seed: script.seed,
        steps: vec![Step { seconds: script.length as f64 / 1000.0 - 2.0, rate: script.rate }],
        classes: LOAD_CLASSES.iter().filter_map(|class| class.parse().ok()).collect(),
        customers: script.plan.customers,
        plan: PLAN_NAME.into(),
        spread: if script.plan.spread == 0 { fleet_size } else { script.plan.spread.min(fleet_size) },
        max_units: script.plan.units,
    })
}

/// The start or the end of a fault.
#[derive(Debug)]
enum FaultStep {
    Begin(FaultKind),
    End(FaultKind),
}

/// Reads the members at the admin interface of an ingress until the trial ends; returns the state changes,
/// and the last view, which is `None` if the last call was not answered.
async fn poll_members(
    observer: usize,
    admin_addresses: Rc<RefCell<Vec<SocketAddr>>>,
    start: Instant,
    length: Duration,
) -> (Vec<StateChange>, Option<BTreeMap<usize, String>>) {
    let (mut changes, mut before, mut last) = (Vec::new(), BTreeMap::new(), None);
    let pause = MEMBERS_POLL_INTERVAL + Duration::from_millis(10 * admin_addresses.borrow().len() as u64);
    while start.elapsed() < length {
        let address = admin_addresses.borrow()[observer];
        last = admin_call(address, "members\n").await.as_deref().and_then(parse_members);
        if let Some(view) = &last {
            for (member, state) in view.iter().filter(|(member, _)| **member != observer) {
                if before.get(member) != Some(state) {
                    let at = start.elapsed().as_millis() as u64;
                    changes.push(StateChange { at, observer, member: *member, state: state.clone() });
                }
            }
            before.clone_from(view);
        }
        sleep(pause).await;
    }
    (changes, last)
}
