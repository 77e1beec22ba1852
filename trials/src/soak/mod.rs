//! A soak: for each seed a process with small limits, clients that misbehave in the ways of past incidents, usual clients
//! beside them, signals, and an operator's calls. It checks memory, answers in time, answers that are cut off, requests
//! that run twice, and that operators' changes hold.

pub mod authz;
pub mod clients;
pub mod draw;
pub mod operator;
mod socket_queues;

use crate::check::check;
use crate::rig::Rig;
use authz::{AuthzReport, AuthzSoak};
use clients::Clients;
use draw::Soak;
use operator::Operator;
use socket_queues::SocketQueues;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

/// The interval at which the memory of the processes is read.
const MEMORY_INTERVAL: Duration = Duration::from_millis(50);

/// What a soak of one seed found.
#[derive(Debug)]
pub struct Report {
    /// What was played.
    pub soak: Soak,
    /// The rules that were broken; none if it passed.
    pub violations: Vec<String>,
    /// The highest memory of all processes of the ingress and of their sockets together, in KiB.
    pub peak_kib: usize,
    /// What a soak of the authorisation front found that followed, if the seed has one.
    pub authz: Option<AuthzReport>,
}

/// Plays the soak of a seed.
///
/// # Errors
/// A message if the rig cannot be started or a fault cannot be applied.
pub async fn play(program: &Path, seed: u64) -> Result<Report, String> {
    let soak = Soak::draw(seed)?;
    let mut rig = Rig::start(program, &soak.script).await?;
    let clients = Rc::new(Clients {
        listen: rig.client_addresses[0],
        stand_ins: rig.stand_ins.clone(),
        start: Instant::now(),
        outage: soak.outage,
        violations: RefCell::default(),
        repeated: RefCell::default(),
        left: RefCell::default(),
    });
    let peak = Rc::new(Cell::new(0));
    let sockets = SocketQueues {
        client_ports: rig.client_addresses.iter().map(SocketAddr::port).collect(),
        backend_ports: rig.stand_ins.backend_ports(),
    };
    let memory = spawn_local(watch_memory(rig.process_ids.clone(), sockets, peak.clone()));
    let length = Duration::from_millis(soak.script.length);
    spawn_local(clients.clone().usual(length - Duration::from_secs(2)));
    for (group_number, group) in soak.groups.iter().enumerate() {
        for number in 0..group.clients {
            let name = format!("{:?}-{group_number}-{number}", group.behavior);
            spawn_local(clients.clone().run(*group, number, name));
        }
    }
    let operator = Operator {
        admin_addresses: rig.admin_addresses.clone(),
        listen: rig.client_addresses[0],
        stand_ins: rig.stand_ins.clone(),
        start: clients.start,
        end_ms: soak.script.length - 2000,
    };
    let operator = (!soak.calls.is_empty()).then(|| spawn_local(operator.run(soak.calls.clone())));
    let outcome = rig.play(&soak.script, |_| {}).await?;
    memory.abort();
    clients.check_record();
    let mut violations = clients.violations.borrow().clone();
    if let Some(operator) = operator {
        violations.extend(operator.await.map_err(|e| e.to_string())?);
    }
    violations.extend(check(&soak.script, &outcome).0);
    let limit = soak.limits.memory_mib * 1024;
    if peak.get() > limit {
        violations.push(format!("{} KiB of memory, of {limit} allowed", peak.get()));
    }
    drop(rig);
    let authz = match AuthzSoak::draw(seed) {
        Some(soak) => Some(authz::play(program, soak).await?),
        None => None,
    };
    Ok(Report { violations, peak_kib: peak.get(), authz, soak })
}

/// Records the highest sum of the memory of the ingress's processes and of what the system holds for their sockets.
async fn watch_memory(process_ids: Rc<RefCell<Vec<Vec<u32>>>>, sockets: SocketQueues, peak: Rc<Cell<usize>>) {
    loop {
        let own: usize = process_ids.borrow().iter().flatten().map(|id| resident_kib(*id)).sum();
        peak.set(peak.get().max(own + sockets.bytes() / 1024));
        sleep(MEMORY_INTERVAL).await;
    }
}

/// Returns the resident memory of a process, in KiB; 0 if it has ended.
fn resident_kib(id: u32) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
