//! One real process of the program, with a stand-in for discovery that serves a list of any size. It includes
//! the sockets and the event loop that the in-process measurements leave out, and cross-checks their results.

use super::fixture::full_list_line;
use super::pipeline::SubsetSize;
use super::slope::{Dimension, Slope};
use crate::configured_child::{ConfiguredChild, guarded};
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::process::Stdio;
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The number of ingresses in the fleet, as the process is configured.
const INGRESSES: usize = 930;
/// The longest time that a process may take to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);
/// The pause between readiness and the measurement at rest, so that work caused by the start is not measured.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The length of the measurement at rest.
const REST_TIME: Duration = Duration::from_secs(6);
/// The interval between heartbeats on the discovery watch.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// The measurements of one process.
struct Measurements {
    /// The time from the start to readiness, in milliseconds.
    ready_millis: f64,
    /// The resident set size at rest, in bytes.
    resident_bytes: f64,
    /// The CPU time used at rest, as a fraction of one core.
    rest_cpu_share: f64,
}

/// Starts the program with a list of each size and measures it; the names of the slopes end in `suffix`.
///
/// # Errors
/// Returns why a process could not be started or measured, or that it was not ready in time.
pub fn slopes(
    program: &Path,
    sizes: &[usize],
    subset_size: SubsetSize,
    suffix: &str,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("real-{name}{suffix}"), unit, Dimension::Backends);
    let mut ready = slope("ready", "ms from start to ready");
    let mut resident = slope("resident", "bytes resident");
    let mut rest = slope("rest", "share of a core at rest");
    for &size in sizes {
        progress(&format!("a process with {size} backends{suffix}"));
        let measured = run(program, size, subset_size).map_err(|e| format!("{}: {e}", program.display()))?;
        ready.add(size, measured.ready_millis);
        resident.add(size, measured.resident_bytes);
        rest.add(size, measured.rest_cpu_share);
    }
    Ok(vec![ready, resident, rest])
}

/// Starts the program with a list of `backends` backends, waits until it is ready and measures it at rest.
fn run(program: &Path, backends: usize, subset_size: SubsetSize) -> io::Result<Measurements> {
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let discovery_address = discovery.local_addr()?;
    let line = Arc::new(format!("{}\n", full_list_line(backends)));
    spawn(move || {
        for stream in discovery.incoming().flatten() {
            let line = line.clone();
            // The thread ends with the connection, when the process exits.
            spawn(move || drop(serve_watch(stream, &line)));
        }
    });
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let started = Instant::now();
    let process = start(program, listen, discovery_address, subset_size)?;
    while !is_ready(listen) {
        if started.elapsed() > READY_TIMEOUT {
            return Err(io::Error::other("the process was not ready in time"));
        }
        sleep(Duration::from_millis(2));
    }
    let ready_millis = started.elapsed().as_secs_f64() * 1000.0;
    sleep(SETTLE_TIME);
    let id = process.child.id();
    let (cpu_before, since) = (cpu_time(id)?, Instant::now());
    sleep(REST_TIME);
    let rest_cpu_share = (cpu_time(id)? - cpu_before).as_secs_f64() / since.elapsed().as_secs_f64();
    Ok(Measurements { ready_millis, resident_bytes: resident_bytes(id)?, rest_cpu_share })
}

/// Writes a configuration file and starts the program with it.
fn start(
    program: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    subset_size: SubsetSize,
) -> io::Result<ConfiguredChild> {
    let mut config = json!({
        "name": "real", "listen": listen.to_string(), "discovery": discovery.to_string(),
        "settings": {
            "balancers": INGRESSES, "myNumber": 0, "zone": 0,
            "zones": ["zone-0", "zone-1", "zone-2", "zone-3", "zone-4"], "flavors": ["gen-a", "gen-b"],
            "membershipMode": "pushed",
            "limits": {"maxAttempts": 4, "cancelling": true, "retryAfter": true, "maxRetryAfter": 1000.0},
            "familyInfo": {"largest": 6.0, "mailPerS": 60.0, "counterTimeout": 50.0},
            "rules": {"coldFrom": 0.25, "cold": 18000.0, "fallMultiple": 2.0, "overloadFor": 3000.0},
            "classes": [{"name": "board-state", "aim": 600.0, "giveUp": 1500.0, "effect": "read_like"}],
            "tariffs": [{"name": "club", "perSecond": 6.0, "storeSize": 30.0, "atOnce": 0,
                "ceilingRate": 0.0, "neverOverDepth": 0.0}],
        },
    });
    if let Some(size) = subset_size {
        config["subset"] = json!({ "size": size });
    }
    let config_file = std::env::temp_dir().join(format!("weldhub-scale-{}.json", listen.port()));
    std::fs::write(&config_file, config.to_string())?;
    let child = guarded(program)?
        .env("RELAY_CONFIG", &config_file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(ConfiguredChild { child, config_file })
}

/// Answers the discovery watch: a full list, then heartbeats until the connection breaks.
fn serve_watch(mut stream: TcpStream, line: &str) -> io::Result<()> {
    let mut request = [0; 4096];
    let _ = stream.read(&mut request)?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
    loop {
        sleep(HEARTBEAT_INTERVAL);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

/// Returns whether `/ready` answers 200.
fn is_ready(address: SocketAddr) -> bool {
    let get = || -> io::Result<String> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: weldhub\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 64];
        let length = stream.read(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer[..length]).into_owned())
    };
    get().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// Returns the CPU time that a single-threaded process has used.
fn cpu_time(id: u32) -> io::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"))?;
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| io::Error::other("cannot read the CPU time from schedstat"))
}

/// Returns the resident set size of a process, in bytes.
fn resident_bytes(id: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: Option<f64> = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
    kib.map(|kib| kib * 1024.0).ok_or_else(|| io::Error::other("cannot read VmRSS from status"))
}
