//! A new version is started beside the old one while discovery is silent, and an operator takes a backend out at the new
//! version's admin interface.

use crate::backends::*;
use crate::common::*;
use std::net::TcpListener;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// How long discovery is silent, in milliseconds: the pages say 8 s; the new process is due to say yes within 6 s.
const SILENCE: u64 = 4000;
/// From the yes, new work stops within the grace of a drain (250 ms) or once 1 s has passed; each limit is 50 ms longer on
/// sockets. The later of both is taken.
const GRACE: u64 = 1000 + 250 + 50;

pub fn run(case: &Case) -> Verdict {
    let backends = Backends::start(&case.record, 3, 70);
    let list = list_json(41, &backends.listed);
    let (agent, silence) = (TcpListener::bind("127.0.0.1:0").unwrap(), Arc::new(Mutex::new(None)));
    let agent_at = agent.local_addr().unwrap();
    discovery(agent, list.clone(), silence.clone());
    let (listen, old_door, new_door) = (free_address(), free_address(), free_address());
    let path = case.write("config.json", &platform_configuration((1, 0), (listen, agent_at), &list));
    let shared = case.folder.join("t");
    std::fs::create_dir_all(&shared).unwrap();
    let shared = shared.to_string_lossy().into_owned();
    let start = |name: &str, door: std::net::SocketAddr| {
        let (listen, agent, door) = (listen.to_string(), agent_at.to_string(), door.to_string());
        let environment = [
            ("RELAY_CONFIG", path.as_str()),
            ("RELAY_NAME", "n0"),
            ("RELAY_LISTEN", &listen),
            ("RELAY_DISCOVERY", &agent),
            ("RELAY_MANAGEMENT", &door),
            ("TMPDIR", &shared),
        ];
        case.deploy(name, "run", "", &environment)
    };
    let Some(old) = start("old", old_door) else { return Verdict::CouldNotRun };
    if !wait_ready(case, old_door, 10_000) {
        return Verdict::CouldNotRun;
    }
    let (stop, served) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let clients: Vec<_> = (0..4u64)
        .map(|client| {
            let (stop, served, record) = (stop.clone(), served.clone(), case.record.clone());
            thread::spawn(move || {
                let mut n = client << 32;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    record.line(format!("request {n:x} sent"));
                    let answer = ask(listen, &board_request(n, 7 + client), Duration::from_millis(2100));
                    let status = answer.map_or(0, |answer| answer.status());
                    record.line(format!("request {n:x} answered {status}"));
                    served.fetch_add(u64::from(status == 200), Ordering::Relaxed);
                    sleep(40);
                }
            })
        })
        .collect();
    sleep(1500);
    // Without the disruption the same call comes at the same admin interface once the new process says that it is ready.
    if case.trouble {
        *silence.lock().unwrap() = Some(Instant::now() + Duration::from_millis(SILENCE));
        case.record.line("discovery falls silent");
    }
    let Some(new) = start("new", new_door) else { return Verdict::CouldNotRun };
    if !case.trouble && !wait_ready(case, new_door, 6000) {
        return Verdict::CouldNotRun;
    }
    let until = case.record.now() + 5000;
    let yes = loop {
        if admin(case, new_door, "disable-server s-1") == "ok" {
            break case.record.now();
        }
        if case.record.now() > until {
            return Verdict::CouldNotRun;
        }
        sleep(20);
    };
    if !wait_ready(case, new_door, 6000) {
        return Verdict::CouldNotRun;
    }
    case.signal("old", old, SIGTERM);
    sleep(6000);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    if case.has_ended(new) {
        case.record.line("the new process has ended");
        return Verdict::Broken;
    }
    let all = backends.begun();
    let late: Vec<_> = all.iter().filter(|b| b.backend == "s-1" && b.at > yes + GRACE).collect();
    let before = all.iter().filter(|b| b.backend == "s-1" && b.at <= yes).count();
    let text = format!(
        "served {}, begun by s-1 before the yes {before}, later than {GRACE} ms after it {}: first {:?}",
        served.load(Ordering::Relaxed),
        late.len(),
        late.first().map(|b| b.at - yes)
    );
    case.record.line(&text);
    println!("{text}");
    match (before, late.is_empty()) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
