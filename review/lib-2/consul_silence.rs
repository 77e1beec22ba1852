//! The blocking query on a service falls silent, and an instance becomes critical meanwhile.

use crate::backends::*;
use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The default of `consul.wait_ms`, and what the example names.
const WAIT: u64 = 55_000;
/// What is missed counts as told 2 s after the wait is over. Consul may add a sixteenth to the wait. Then the grace of a
/// drain, and 50 ms on sockets.
const TOLD: u64 = WAIT + WAIT / 16 + 2000;
const GRACE: u64 = 250 + 50;

#[derive(Default)]
struct State {
    /// Whether the instance is critical.
    critical: bool,
    index: u64,
    /// When the query came that fell silent.
    silent_since: Option<u64>,
}

fn entries(listed: &[Listed], critical: bool) -> String {
    let entries: Vec<String> = listed
        .iter()
        .map(|b| {
            let status = if critical && b.id == "s-1" { "critical" } else { "passing" };
            format!(
                "{{\"Node\":{{\"Node\":\"node-{0}\",\"Address\":\"127.0.0.1\"}},\"Service\":{{\"ID\":\"{0}\",\
                 \"Service\":\"boards\",\"Address\":\"127.0.0.1\",\"Port\":{1}}},\
                 \"Checks\":[{{\"CheckID\":\"c\",\"Status\":\"{status}\"}}]}}",
                b.id,
                b.address.port()
            )
        })
        .collect();
    format!("[{}]", entries.join(","))
}

fn answer(stream: &mut TcpStream, index: u64, body: &str) -> bool {
    let text = format!(
        "HTTP/1.1 200 OK\r\nX-Consul-Index: {index}\r\nX-Consul-KnownLeader: true\r\nContent-Length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(text.as_bytes()).is_ok()
}

/// An agent whose first blocking query falls silent if there is trouble; all others, and those on other connections, are
/// answered as Consul does.
fn consul(listener: TcpListener, state: Arc<Mutex<State>>, listed: Vec<Listed>, trouble: bool, record: Record) {
    serve(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = read_http(&mut reader) {
            let asked = request.target().split(['?', '&']).find_map(|p| p.strip_prefix("index=")?.parse::<u64>().ok());
            record.line(format!("Consul is asked {}", request.target()));
            if let Some(asked) = asked {
                let mut silent = false;
                {
                    let mut state = state.lock().unwrap();
                    if trouble && state.silent_since.is_none() {
                        state.silent_since = Some(record.now());
                        silent = true;
                    }
                }
                if silent {
                    record.line("this query falls silent");
                    // The connection stays open and says nothing.
                    sleep(110_000);
                    return;
                }
                let until = Instant::now() + Duration::from_millis(WAIT);
                while state.lock().unwrap().index <= asked && Instant::now() < until {
                    sleep(5);
                }
            }
            let (index, critical) = {
                let state = state.lock().unwrap();
                (state.index, state.critical)
            };
            record.line(format!("Consul answers with index {index}, s-1 critical: {critical}"));
            if !answer(&mut stream, index, &entries(&listed, critical)) {
                return;
            }
        }
    });
}

fn configuration(listen: SocketAddr, management: SocketAddr, consul: SocketAddr) -> String {
    format!(
        "{{\"name\":\"ingress-0\",\"listen\":\"{listen}\",\"management\":\"{management}\",\
         \"limits\":{{\"memory_mb\":192,\"sockets\":1024}},\
         \"consul\":{{\"address\":\"{consul}\",\"service\":\"boards\",\"wait_ms\":{WAIT}}},\"settings\":{}}}",
        settings(1, 0)
    )
}

pub fn run(case: &Case) -> Verdict {
    let backends = Backends::start(&case.record, &[0, 0, 0], 60);
    let state = Arc::new(Mutex::new(State { critical: false, index: 7, silent_since: None }));
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent_at = agent.local_addr().unwrap();
    consul(agent, state.clone(), backends.listed.clone(), case.trouble, case.record.clone());
    let (listen, management) = (free_address(), free_address());
    let path = case.write("config.json", &configuration(listen, management, agent_at));
    let Some(_) = case.deploy("ingress", "run", "", &[("RELAY_CONFIG", &path)]) else {
        return Verdict::CouldNotRun;
    };
    if !wait_ready(case, management, 10_000) {
        return Verdict::CouldNotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..4u64)
        .map(|client| {
            let stop = stop.clone();
            thread::spawn(move || {
                let mut n = client << 32;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let _ = ask(listen, &board_request(n, 7 + client), Duration::from_millis(2100));
                    sleep(40);
                }
            })
        })
        .collect();
    sleep(5000);
    let critical_at = {
        let mut state = state.lock().unwrap();
        (state.critical, state.index) = (true, 8);
        case.record.now()
    };
    case.record.line("s-1 becomes critical");
    let silent_since = state.lock().unwrap().silent_since;
    let told = if case.trouble {
        let Some(since) = silent_since else { return Verdict::CouldNotRun };
        since + TOLD
    } else {
        critical_at + 100
    };
    while case.record.now() < told + GRACE + 3000 {
        sleep(50);
    }
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    let all = backends.begun();
    let before = all.iter().filter(|b| b.backend == "s-1" && b.at < critical_at).count();
    let late: Vec<_> = all.iter().filter(|b| b.backend == "s-1" && b.at > told + GRACE).collect();
    let text = format!(
        "told at {told}; begun by s-1 before it became critical {before}, later than {GRACE} ms after it was told {}: \
         last {:?} ms after it",
        late.len(),
        late.last().map(|b| b.at - told)
    );
    case.record.line(&text);
    println!("{text}");
    match (before, late.is_empty()) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
