//! One real process of the program before a stand-in of discovery that tells a list of any size: what the hollow
//! ingresses leave out, and what they are checked against.

use super::fixture::full_list_line;
use super::pipeline::SubsetSize;
use super::slope::{Dimension, Slope};
use serde_json::json;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Ingresses of the fleet that the process is told of.
const INGRESSES: usize = 930;
/// It is ready by then.
const READY: Duration = Duration::from_secs(30);
/// What its start has brought about is over by then.
const SETTLE: Duration = Duration::from_secs(2);
/// It is at rest for so long.
const REST: Duration = Duration::from_secs(6);
/// Discovery gives a sign of life so often.
const SIGN: Duration = Duration::from_secs(1);

/// What a process came to.
struct Seen {
    ready_millis: f64,
    resident_bytes: f64,
    rest_share: f64,
}

struct Process {
    child: Child,
    file: PathBuf,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
    }
}

/// Starts the program before a list of each size.
///
/// # Errors
/// What could not be started, or was not ready in time.
pub fn slopes(
    program: &Path,
    sizes: &[usize],
    subset: SubsetSize,
    suffix: &str,
    progress: &mut dyn FnMut(&str),
) -> Result<Vec<Slope>, String> {
    let slope = |name: &str, unit| Slope::new(&format!("real-{name}{suffix}"), unit, Dimension::Backends);
    let mut ready = slope("ready", "ms from start to ready");
    let mut resident = slope("resident", "bytes resident");
    let mut rest = slope("rest", "share of a core at rest");
    for &size in sizes {
        progress(&format!("a process before {size} backends{suffix}"));
        let seen = run(program, size, subset).map_err(|e| format!("{}: {e}", program.display()))?;
        ready.add(size, seen.ready_millis);
        resident.add(size, seen.resident_bytes);
        rest.add(size, seen.rest_share);
    }
    Ok(vec![ready, resident, rest])
}

fn run(program: &Path, backends: usize, subset: SubsetSize) -> io::Result<Seen> {
    let discovery = TcpListener::bind("127.0.0.1:0")?;
    let at = discovery.local_addr()?;
    let line = Arc::new(format!("{}\n", full_list_line(backends)));
    spawn(move || {
        for stream in discovery.incoming().flatten() {
            let line = line.clone();
            // It ends when the process does, whose end breaks the connection.
            spawn(move || drop(tell(stream, &line)));
        }
    });
    let listen = TcpListener::bind("127.0.0.1:0")?.local_addr()?;
    let begun = Instant::now();
    let process = start(program, listen, at, subset)?;
    while !is_ready(listen) {
        if begun.elapsed() > READY {
            return Err(io::Error::other("it was not ready in time"));
        }
        sleep(Duration::from_millis(2));
    }
    let ready_millis = begun.elapsed().as_secs_f64() * 1000.0;
    sleep(SETTLE);
    let id = process.child.id();
    let (used, since) = (processor_time(id)?, Instant::now());
    sleep(REST);
    let rest_share = (processor_time(id)? - used).as_secs_f64() / since.elapsed().as_secs_f64();
    Ok(Seen { ready_millis, resident_bytes: resident(id)?, rest_share })
}

fn start(
    program: &Path,
    listen: SocketAddr,
    discovery: SocketAddr,
    subset: SubsetSize,
) -> io::Result<Process> {
    let mut told = json!({
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
    if let Some(size) = subset {
        told["subset"] = json!({ "size": size });
    }
    let file = std::env::temp_dir().join(format!("weldhub-scale-{}.json", listen.port()));
    std::fs::write(&file, told.to_string())?;
    // It ends when this process does, also by SIGKILL.
    let child = Command::new(std::env::current_exe()?)
        .arg("guard")
        .arg(program)
        .env("RELAY_CONFIG", &file)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()?;
    Ok(Process { child, file })
}

/// Discovery's watch: the whole list, then signs of life until the connection breaks.
fn tell(mut stream: TcpStream, line: &str) -> io::Result<()> {
    let mut asked = [0; 4096];
    let _ = stream.read(&mut asked)?;
    stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
    write!(stream, "{:x}\r\n{line}\r\n", line.len())?;
    loop {
        sleep(SIGN);
        stream.write_all(b"1\r\n\n\r\n")?;
    }
}

fn is_ready(at: SocketAddr) -> bool {
    let ask = || -> io::Result<String> {
        let mut stream = TcpStream::connect(at)?;
        stream.set_read_timeout(Some(Duration::from_secs(2)))?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: weldhub\r\nConnection: close\r\n\r\n")?;
        let mut answer = [0; 64];
        let length = stream.read(&mut answer)?;
        Ok(String::from_utf8_lossy(&answer[..length]).into_owned())
    };
    ask().is_ok_and(|answer| answer.starts_with("HTTP/1.1 200"))
}

/// The processor time of a process of one thread.
fn processor_time(id: u32) -> io::Result<Duration> {
    let text = std::fs::read_to_string(format!("/proc/{id}/schedstat"))?;
    let nanos = text.split(' ').next().and_then(|nanos| nanos.parse().ok());
    nanos.map(Duration::from_nanos).ok_or_else(|| io::Error::other("no processor time"))
}

fn resident(id: u32) -> io::Result<f64> {
    let text = std::fs::read_to_string(format!("/proc/{id}/status"))?;
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib: Option<f64> = line.and_then(|line| line.trim().trim_end_matches("kB").trim().parse().ok());
    kib.map(|kib| kib * 1024.0).ok_or_else(|| io::Error::other("no resident size"))
}
