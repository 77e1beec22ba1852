//! Moves are sent through the client library while ingresses are killed and come back.

use crate::backends::*;
use crate::common::*;
use std::collections::{BTreeMap, BTreeSet};
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const INGRESSES: usize = 3;

pub fn run(case: &Case) -> Verdict {
    // Two pods of two game nodes; a move takes 54 to 94 ms.
    let backends = Backends::start(&case.record, &[0, 0, 1, 1], 80);
    let list = list_json(41, &backends.listed);
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent_at = agent.local_addr().unwrap();
    discovery(agent, list.clone(), Arc::new(Mutex::new(None)));
    let addresses: Vec<(SocketAddr, SocketAddr)> =
        (0..INGRESSES).map(|_| (free_address(), free_address())).collect();
    let start = |i: usize| {
        let (listen, door) = addresses[i];
        let configuration = platform_configuration((INGRESSES, i), (listen, agent_at), &list);
        let path = case.write(&format!("n{i}.json"), &configuration);
        let temporary = case.folder.join(format!("tmp-{i}"));
        let _ = std::fs::create_dir_all(&temporary);
        let (listen, door, agent) = (listen.to_string(), door.to_string(), agent_at.to_string());
        let temporary = temporary.to_string_lossy().into_owned();
        let environment = [
            ("RELAY_CONFIG", path.as_str()),
            ("RELAY_LISTEN", &listen),
            ("RELAY_DISCOVERY", &agent),
            ("RELAY_MANAGEMENT", &door),
            ("TMPDIR", &temporary),
        ];
        case.deploy(&format!("n{i}"), "run", "", &environment)
    };
    let mut processes: Vec<u32> = (0..INGRESSES).filter_map(start).collect();
    if processes.len() < INGRESSES || !addresses.iter().all(|(_, door)| wait_ready(case, *door, 10_000)) {
        return Verdict::CouldNotRun;
    }
    let all: Vec<String> = addresses.iter().map(|(listen, _)| listen.to_string()).collect();
    let command = format!(
        "exec target/release/weldhub-load run --ingresses {} --clients 8 --schedule 20x220 \
         --class board-state:0.2:safe:1500 --class move-submit:0.8:keyed=6000:3000 --customers 40 --plan club --spread 3",
        all.join(",")
    );
    let Some(load) = case.start("load", &command, &[]) else { return Verdict::CouldNotRun };
    // One of three ingresses dies at a time, and comes back after 2 s.
    sleep(4000);
    for i in 0..INGRESSES {
        if case.trouble {
            case.signal(&format!("n{i}"), processes[i], SIGKILL);
            sleep(2000);
            let Some(id) = start(i) else { return Verdict::CouldNotRun };
            processes[i] = id;
            sleep(3000);
        } else {
            sleep(5000);
        }
    }
    if !case.wait(load, Duration::from_secs(15)) {
        return Verdict::CouldNotRun;
    }
    let begun = backends.begun();
    let mut cells: BTreeMap<&str, BTreeSet<u32>> = BTreeMap::new();
    for move_run in begun.iter().filter(|b| !b.key.is_empty() && b.ran) {
        cells.entry(&move_run.key).or_default().insert(move_run.cell);
    }
    let twice: Vec<_> = cells.iter().filter(|(_, cells)| cells.len() > 1).map(|(key, _)| *key).collect();
    let text = format!("moves that ran: {}, in two pods: {} {twice:?}", cells.len(), twice.len());
    case.record.line(&text);
    println!("{text}");
    match (cells.len(), twice.is_empty()) {
        (0..100, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
