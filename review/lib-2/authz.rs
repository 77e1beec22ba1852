//! Two cases of the authorisation front: bad callers beside usual ones.

use crate::common::*;
use crate::grpc::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// The usual callers: each sends one check at a time, each on a connection of its own.
const CALLERS: u32 = 4;
/// The work of a check, in milliseconds: within that of a `game-record`, 90 to 160 ms.
const WORK: u64 = 120;
/// How long a caller waits, in milliseconds: the default of the example, and the time within which a `game-record` is wanted.
const TIMEOUT: u64 = 1000;
/// An answer up to half a second after a request's time is late, not lost; and 50 ms on sockets.
const SLACK: u64 = 550;
/// The limit on memory, in MB, as in the example and on the scored days.
const MEMORY_MB: u64 = 192;

fn configuration(listen: SocketAddr, management: SocketAddr, consul: SocketAddr) -> String {
    format!(
        "name = \"authz-0\"\nlisten = \"{listen}\"\nmanagement = \"{management}\"\n\
         [limits]\nmemory_mb = {MEMORY_MB}\nsockets = 1024\n\
         [consul]\naddress = \"{consul}\"\nservice = \"club-authz\"\n\
         [authz]\nfail_open = false\ndefault_timeout_ms = 1000\nmax_connection_age_ms = 60000\n\
         customer = \"header:x-club\"\nplan = \"header:x-tier\"\nunits = \"header:x-units\"\nset = \"header:x-set\"\n\
         key = \"header:idempotency-key\"\n\
         [settings]\nbalancers = 1\nmyNumber = 0\nzones = [\"north-hall\"]\nzone = 0\nflavors = [\"gen-a\"]\n\
         [settings.limits]\nmaxAttempts = 4\nsecondCopies = false\ncancelling = true\nmayTell = false\n\
         maxRetryAfter = 1000.0\nconnectTimeout = 250.0\n\
         [settings.familyInfo]\nhasCounter = false\ncounterTimeout = 50.0\nmailPerS = 60.0\nlargest = 6\n\
         [settings.rules]\ncoldFrom = 0.25\ncold = 18000.0\nfallMultiple = 2.0\noverloadFor = 3000.0\n\
         [[settings.classes]]\nname = \"game-record\"\naim = 1000.0\ngiveUp = 3000.0\neffect = \"read_like\"\n\
         [[settings.tariffs]]\nname = \"club\"\nperSecond = 60.0\nstoreSize = 240.0\natOnce = 0\nceilingRate = 0.0\n\
         neverOverDepth = 0.0\n"
    )
}

/// A Consul agent that lists the authorisers, all passing, and never a change.
fn consul(listener: TcpListener, authorisers: Vec<SocketAddr>) {
    serve(listener, move |mut stream| {
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = read_http(&mut reader) {
            if request.target().contains("index=") {
                sleep(50_000);
            }
            let entries: Vec<String> = authorisers
                .iter()
                .enumerate()
                .map(|(i, at)| {
                    format!(
                        "{{\"Node\":{{\"Node\":\"n{i}\",\"Address\":\"127.0.0.1\"}},\"Service\":{{\"ID\":\"a{i}\",\
                         \"Service\":\"club-authz\",\"Address\":\"127.0.0.1\",\"Port\":{}}},\
                         \"Checks\":[{{\"CheckID\":\"c\",\"Status\":\"passing\"}}]}}",
                        at.port()
                    )
                })
                .collect();
            let body = format!("[{}]", entries.join(","));
            let answer = format!(
                "HTTP/1.1 200 OK\r\nX-Consul-Index: 7\r\nX-Consul-KnownLeader: true\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// An instance of the front with its authorisers.
struct Front {
    listen: SocketAddr,
    id: u32,
}

/// Starts the front; `None` if it does not become ready.
fn start(case: &Case) -> Option<Front> {
    let mut authorisers = Vec::new();
    for _ in 0..4 {
        let listener = TcpListener::bind("127.0.0.1:0").ok()?;
        authorisers.push(listener.local_addr().ok()?);
        authoriser(listener, case.record.clone(), WORK);
    }
    let agent = TcpListener::bind("127.0.0.1:0").ok()?;
    let agent_at = agent.local_addr().ok()?;
    consul(agent, authorisers);
    let (listen, management) = (free_address(), free_address());
    let path = case.write("authz.toml", &configuration(listen, management, agent_at));
    let id = case.deploy("authz", "run", &format!("--ext-authz {path}"), &[])?;
    wait_ready(case, management, 10_000).then_some(Front { listen, id })
}

/// What became of the usual callers' checks.
#[derive(Debug, Default, Clone)]
struct Usual {
    answered: u32,
    /// When those checks were sent that were written whole to a connection that the machine had accepted, and never
    /// answered.
    lost: Vec<u64>,
}

/// Sends usual checks, one at a time from each caller, each on a new connection, until the returned function is called.
fn usual_callers(case: &Case, listen: SocketAddr) -> impl FnOnce() -> Usual + use<> {
    let (stop, usual) = (Arc::new(AtomicBool::new(false)), Arc::new(Mutex::new(Usual::default())));
    let callers: Vec<_> = (0..CALLERS)
        .map(|number| {
            let (stop, usual, record) = (stop.clone(), usual.clone(), case.record.clone());
            thread::spawn(move || {
                let mut n = 0;
                while !stop.load(Ordering::Relaxed) {
                    n += 1;
                    let id = format!("check-{number}-{n}");
                    let club = format!("{:016x}", 100 + number);
                    let request = check_request(
                        "/game-record/1",
                        &[("x-club", &club), ("x-tier", "club"), ("x-units", "1"), ("x-check", &id)],
                    );
                    match Caller::connect(listen) {
                        Ok(mut caller) => {
                            let sent = record.now();
                            record.line(format!("caller {number}: {id} sent"));
                            let ended = caller.check(&request, TIMEOUT, SLACK);
                            record.line(format!("caller {number}: {id} {ended:?}"));
                            let mut usual = usual.lock().unwrap();
                            match ended {
                                Ended::Answered(_) => usual.answered += 1,
                                // A new connection that is closed unread may be tried again by its client.
                                Ended::NotLookedAt | Ended::Closed { .. } => {}
                                Ended::Late { .. } => usual.lost.push(sent),
                            }
                        }
                        Err(e) => record.line(format!("caller {number}: no connection: {e}")),
                    }
                    sleep(100);
                }
            })
        })
        .collect();
    move || {
        stop.store(true, Ordering::Relaxed);
        callers.into_iter().for_each(|caller| drop(caller.join()));
        usual.lock().unwrap().clone()
    }
}

/// Returns a figure of a process in kB, such as `VmHWM`, the most memory that it has had.
fn memory_kb(id: u32, name: &str) -> Option<u64> {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
    status
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(':')?.split_whitespace().next()?.parse().ok())
}

/// The number of bad callers that send requests, and of requests that each sends at once: hundreds.
const FLOODERS: usize = 100;
const REQUESTS: u32 = 250;

/// Bad callers send hundreds of checks at once, each a head of 15 kB (the front says that it takes 16 KiB) and no body.
pub fn memory(case: &Case) -> Verdict {
    let Some(front) = start(case) else { return Verdict::CouldNotRun };
    let end = usual_callers(case, front.listen);
    sleep(2000);
    let before = memory_kb(front.id, "VmRSS");
    let limit = MEMORY_MB * 1024;
    case.record.line(format!("memory of the front before: {before:?} kB, its limit {limit} kB"));
    let mut open = Vec::new();
    let over = |peak: Option<u64>| peak.is_some_and(|peak| peak > limit + limit / 8);
    if case.trouble {
        let head = large_head(15_000);
        for number in 0..FLOODERS {
            let Ok(mut stream) = TcpStream::connect(front.listen) else { break };
            let Ok(mut reader) = stream.try_clone() else { break };
            // They read what they are sent.
            thread::spawn(move || while reader.read(&mut [0; 4096]).is_ok_and(|n| n > 0) {});
            let _ = stream.set_write_timeout(Some(Duration::from_secs(2)));
            let mut sent = 0;
            if stream.write_all(&opening()).is_ok() {
                while sent < REQUESTS && stream.write_all(&head_frame(2 * sent + 1, &head)).is_ok() {
                    sent += 1;
                }
            }
            open.push(stream);
            let peak = memory_kb(front.id, "VmHWM");
            case.record
                .line(format!("bad caller {number} has sent {sent} heads; most memory so far {peak:?} kB"));
            if over(peak) || peak.is_none() {
                break;
            }
        }
    }
    sleep(3000);
    let peak = memory_kb(front.id, "VmHWM");
    let usual = end();
    drop(open);
    let text = format!(
        "bad callers' connections and heads of 15 kB; most memory {peak:?} kB of {limit} kB; usual checks answered {}, never {}",
        usual.answered,
        usual.lost.len()
    );
    case.record.line(&text);
    println!("{text}");
    match (usual.answered, peak) {
        (0, Some(_)) => Verdict::CouldNotRun,
        (_, Some(peak)) if peak <= limit => Verdict::Held,
        // Over the limit, or gone.
        _ => Verdict::Broken,
    }
}

/// Reads what has come on a connection; returns whether it is still open.
fn is_open(stream: &mut TcpStream) -> bool {
    let _ = stream.set_nonblocking(true);
    loop {
        match stream.read(&mut [0; 4096]) {
            Ok(0) => return false,
            Ok(_) => {}
            Err(e) => return e.kind() == std::io::ErrorKind::WouldBlock,
        }
    }
}

/// The number of bad callers that send a part of a first message and stay: hundreds, under a third of the descriptors.
const STOPPED: usize = 320;

/// Bad callers send half of the preface of HTTP/2 and stay.
pub fn half(case: &Case) -> Verdict {
    let Some(front) = start(case) else { return Verdict::CouldNotRun };
    let end = usual_callers(case, front.listen);
    sleep(3000);
    let mut stopped = Vec::new();
    let begun = case.record.now();
    if case.trouble {
        for _ in 0..STOPPED {
            let Ok(mut stream) = TcpStream::connect(front.listen) else { break };
            let _ = stream.write_all(&opening()[..12]);
            stopped.push(stream);
        }
        case.record.line(format!("{} bad callers have sent 12 bytes", stopped.len()));
    }
    // Each is owed an error or a close within 3 s of connecting. All usual checks that count begin later than that.
    sleep(4000);
    let owed = case.record.now();
    sleep(20_000);
    let still_open = stopped.iter_mut().map(is_open).filter(|open| *open).count();
    let usual = end();
    drop(stopped);
    let lost = usual.lost.iter().filter(|sent| !case.trouble || **sent > owed).count();
    let text = format!(
        "usual checks answered {}, never answered of those sent after {owed} ms {lost}, of all {}; of the bad callers since {begun} ms {still_open} are still open at {} ms",
        usual.answered,
        usual.lost.len(),
        case.record.now()
    );
    case.record.line(&text);
    println!("{text}");
    match (usual.answered, lost) {
        (0, _) => Verdict::CouldNotRun,
        (_, 0) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
