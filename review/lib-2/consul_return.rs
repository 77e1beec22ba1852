//! Consul's agent is down for a while, and an instance is critical when it returns.

use crate::backends::*;
use crate::common::*;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The ingresses: the pages name fleets of 8 to 48.
const INGRESSES: usize = 40;
/// How long the agent is down, in milliseconds: the pages name 8 s.
const OUTAGE: u64 = 8000;
/// A change counts as told 6 s after Consul had it and could be reached; then the grace of a drain, and 50 ms on sockets.
const TOLD: u64 = 6000;
const GRACE: u64 = 250 + 50;
/// How long a blocking query waits.
const WAIT: u64 = 55_000;

#[derive(Default)]
struct State {
    critical: bool,
    index: u64,
    open: Vec<TcpStream>,
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

/// Serves an agent at `at` until the returned function is called, which ends it as the death of its process would: its
/// connections end, and new ones are refused.
fn agent(
    at: SocketAddr,
    state: Arc<Mutex<State>>,
    listed: Vec<Listed>,
    record: Record,
) -> Option<impl FnOnce() + use<>> {
    let listener = TcpListener::bind(at).ok()?;
    listener.set_nonblocking(true).ok()?;
    let stop = Arc::new(AtomicBool::new(false));
    let (stopping, shared) = (stop.clone(), state.clone());
    let accepting = thread::spawn(move || {
        while !stopping.load(Ordering::Relaxed) {
            let Ok((stream, _)) = listener.accept() else {
                sleep(2);
                continue;
            };
            let _ = (stream.set_nonblocking(false), stream.set_nodelay(true));
            let (Ok(kept), Ok(read)) = (stream.try_clone(), stream.try_clone()) else { continue };
            shared.lock().unwrap().open.push(kept);
            let (state, listed, record, stopping, mut stream) =
                (shared.clone(), listed.clone(), record.clone(), stopping.clone(), stream);
            thread::spawn(move || {
                let mut reader = BufReader::new(read);
                while let Some(request) = read_http(&mut reader) {
                    let mut parts = request.target().split(['?', '&']);
                    let asked = parts.find_map(|part| part.strip_prefix("index=")?.parse::<u64>().ok());
                    let until = Instant::now() + Duration::from_millis(WAIT);
                    while asked.is_some_and(|asked| state.lock().unwrap().index <= asked)
                        && Instant::now() < until
                        && !stopping.load(Ordering::Relaxed)
                    {
                        sleep(5);
                    }
                    if stopping.load(Ordering::Relaxed) {
                        return;
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
    });
    Some(move || {
        stop.store(true, Ordering::Relaxed);
        let _ = accepting.join();
        for stream in state.lock().unwrap().open.drain(..) {
            let _ = stream.shutdown(Shutdown::Both);
        }
    })
}

fn configuration(number: usize, listen: SocketAddr, management: SocketAddr, consul: SocketAddr) -> String {
    format!(
        "{{\"name\":\"n{number}\",\"listen\":\"{listen}\",\"management\":\"{management}\",\
         \"limits\":{{\"memory_mb\":192,\"sockets\":1024}},\
         \"consul\":{{\"address\":\"{consul}\",\"service\":\"boards\"}},\"settings\":{}}}",
        settings(INGRESSES, number)
    )
}

pub fn run(case: &Case) -> Verdict {
    let backends = Backends::start(&case.record, 3, 60);
    let state = Arc::new(Mutex::new(State { critical: false, index: 7, open: Vec::new() }));
    let at = free_address();
    let start = || agent(at, state.clone(), backends.listed.clone(), case.record.clone());
    let Some(end) = start() else { return Verdict::CouldNotRun };
    let addresses: Vec<_> = (0..INGRESSES).map(|_| (free_address(), free_address())).collect();
    for (i, (listen, management)) in addresses.iter().enumerate() {
        let path = case.write(&format!("n{i}.json"), &configuration(i, *listen, *management, at));
        if case.deploy(&format!("n{i}"), "run", "", &[("RELAY_CONFIG", &path)]).is_none() {
            return Verdict::CouldNotRun;
        }
    }
    if !addresses.iter().all(|(_, management)| wait_ready(case, *management, 10_000)) {
        return Verdict::CouldNotRun;
    }
    let mut end = Some(end);
    let stop = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = addresses
        .iter()
        .enumerate()
        .map(|(i, (listen, _))| {
            let (stop, listen, record) = (stop.clone(), *listen, case.record.clone());
            thread::spawn(move || {
                let mut n = (i as u64) << 32;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    record.line(format!("request {n:x} sent to n{i}"));
                    let answer = ask(listen, &board_request(n, 7 + i as u64), Duration::from_millis(2100));
                    record.line(format!(
                        "request {n:x} answered {}",
                        answer.map_or(0, |answer| answer.status())
                    ));
                    sleep(60);
                }
            })
        })
        .collect();
    sleep(3000);
    if case.trouble {
        end.take().into_iter().for_each(|end| end());
        case.record.line("Consul's agent ends");
        sleep(OUTAGE);
    }
    {
        let mut state = state.lock().unwrap();
        (state.critical, state.index) = (true, 8);
    }
    case.record.line("s-1 is critical");
    if case.trouble {
        end = start();
        if end.is_none() {
            return Verdict::CouldNotRun;
        }
        case.record.line("Consul's agent is back");
    }
    let back = case.record.now();
    sleep(TOLD + GRACE + 6000);
    stop.store(true, Ordering::Relaxed);
    clients.into_iter().for_each(|client| drop(client.join()));
    end.into_iter().for_each(|end| end());
    let all = backends.begun();
    let before = all.iter().filter(|b| b.backend == "s-1" && b.at < back).count();
    let late: Vec<_> = all.iter().filter(|b| b.backend == "s-1" && b.at > back + TOLD + GRACE).collect();
    let text = format!(
        "Consul has it and can be reached at {back}; begun by s-1 before {before}, later than {} ms after that {}: last {:?} ms after",
        TOLD + GRACE,
        late.len(),
        late.last().map(|b| b.at - back)
    );
    case.record.line(&text);
    println!("{text}");
    match (before, late.is_empty()) {
        (0, _) => Verdict::CouldNotRun,
        (_, true) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
