//! What all cases share: the record, processes, free ports, and small HTTP servers and clients. The standard library
//! only, on loopback addresses only.

use std::collections::HashMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU8, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGTERM: i32 = 15;

/// The record of a run: what was sent, answered and run, with times in milliseconds from its start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<File>, Instant)>);

impl Record {
    pub fn now(&self) -> u64 {
        self.0.1.elapsed().as_millis() as u64
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let now = self.now();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{now:>7} {}", text.as_ref());
    }
}

/// The surroundings of a run.
pub struct Case {
    pub root: PathBuf,
    pub folder: PathBuf,
    /// Whether the disruption takes place.
    pub trouble: bool,
    pub record: Record,
    children: Mutex<Vec<(String, Child)>>,
    started: Mutex<u32>,
}

/// How a case ends: 0 if the rule held, 1 if it was broken, 2 if the case could not run.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

impl Case {
    /// Creates the case of the folder `folder`, with an empty temporary folder of its own.
    pub fn new(root: &str, folder: &str) -> std::io::Result<Self> {
        // Short, as the path of a Unix socket has 107 bytes at most.
        let unique = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().subsec_micros();
        let temporary = std::env::temp_dir().join(format!("r2-{}-{unique}", std::process::id()));
        std::fs::create_dir_all(&temporary)?;
        let file = File::create(Path::new(folder).join("record.txt"))?;
        let record = Record(Arc::new((Mutex::new(file), Instant::now())));
        let trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
        record.line(format!("trouble: {}", if trouble { "yes" } else { "no" }));
        Ok(Self {
            root: root.into(),
            folder: temporary,
            trouble,
            record,
            children: Mutex::default(),
            started: Mutex::default(),
        })
    }

    /// Starts a process with a command of the deploy file (`key`), as `/bin/sh -c` from the root. Returns its id.
    pub fn deploy(
        &self,
        name: &str,
        key: &str,
        arguments: &str,
        environment: &[(&str, &str)],
    ) -> Option<u32> {
        let deploy = std::fs::read_to_string(self.root.join("deploy/balancer.toml")).ok()?;
        let line = deploy.lines().find(|line| line.starts_with(&format!("{key} =")))?;
        let command = line.split('"').nth(1)?;
        self.start(name, &format!("{command} {arguments}"), environment)
    }

    /// Starts a process from the root. Its output goes to a file in the temporary folder. Returns its id.
    pub fn start(&self, name: &str, command: &str, environment: &[(&str, &str)]) -> Option<u32> {
        let number = {
            let mut started = self.started.lock().unwrap();
            *started += 1;
            *started
        };
        let log = File::create(self.folder.join(format!("{name}-{number}.log"))).ok()?;
        let child = Command::new("/bin/sh")
            .args(["-c", command.trim()])
            .current_dir(&self.root)
            .envs(environment.iter().copied())
            .stdin(Stdio::null())
            .stdout(log.try_clone().ok()?)
            .stderr(log)
            .spawn()
            .ok()?;
        let id = child.id();
        self.children.lock().unwrap().push((name.to_owned(), child));
        self.record.line(format!("{name} started"));
        Some(id)
    }

    pub fn signal(&self, name: &str, id: u32, signal: i32) {
        self.record.line(format!("signal {signal} to {name}"));
        unsafe { kill(id as i32, signal) };
    }

    /// Waits for the end of a process, at most this long. Returns whether it ended.
    pub fn wait(&self, id: u32, within: Duration) -> bool {
        let until = Instant::now() + within;
        loop {
            let mut children = self.children.lock().unwrap();
            if let Some((_, child)) = children.iter_mut().find(|(_, child)| child.id() == id)
                && matches!(child.try_wait(), Ok(Some(_)))
            {
                return true;
            }
            drop(children);
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns whether a process that was started has ended.
    pub fn has_ended(&self, id: u32) -> bool {
        self.wait(id, Duration::ZERO)
    }

    pub fn write(&self, name: &str, text: &str) -> String {
        let path = self.folder.join(name);
        std::fs::write(&path, text).unwrap();
        path.to_string_lossy().into_owned()
    }

    /// Ends all processes, and removes the temporary folder. Their logs are added to the record.
    pub fn end(&self) {
        for (_, child) in self.children.lock().unwrap().iter_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        let mut logs: Vec<_> = std::fs::read_dir(&self.folder)
            .into_iter()
            .flatten()
            .flatten()
            .map(|entry| entry.path())
            .collect();
        logs.sort();
        for log in logs.iter().filter(|path| path.extension().is_some_and(|e| e == "log")) {
            let name = log.file_stem().unwrap_or_default().to_string_lossy().into_owned();
            for line in std::fs::read_to_string(log).unwrap_or_default().lines().take(200) {
                self.record.line(format!("log of {name}: {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

/// Returns an address with a port that is free. Each is a loopback address of its own, so that no other run and no
/// connection of this one takes the port before a process listens there.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let host = Ipv4Addr::new(127, high.clamp(1, 254), low, NEXT.fetch_add(1, Ordering::Relaxed));
    TcpListener::bind((host, 0)).unwrap().local_addr().unwrap()
}

pub fn sleep(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

/// Serves each connection of a listener on a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// A request or an answer of HTTP/1.1.
#[derive(Debug, Default, Clone)]
pub struct Http {
    pub first_line: String,
    /// Names in lower case.
    pub headers: HashMap<String, String>,
    pub body: Vec<u8>,
}

impl Http {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first_line.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// Reads a message with a length or in chunks; `None` at the end of the stream.
pub fn read_http(reader: &mut BufReader<TcpStream>) -> Option<Http> {
    let mut message = Http::default();
    let mut line = String::new();
    if reader.read_line(&mut line).ok()? == 0 {
        return None;
    }
    message.first_line = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let text = line.trim_end();
        if text.is_empty() {
            break;
        }
        let (name, value) = text.split_once(':')?;
        message.headers.insert(name.to_ascii_lowercase(), value.trim().to_owned());
    }
    if message.header("transfer-encoding") == "chunked" {
        loop {
            line.clear();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            message.body.extend_from_slice(&chunk[..size]);
        }
    } else if let Ok(length) = message.header("content-length").parse() {
        message.body = vec![0; length];
        reader.read_exact(&mut message.body).ok()?;
    }
    Some(message)
}

/// Sends one request on a new connection and returns the answer.
pub fn ask(address: SocketAddr, request: &str, within: Duration) -> Option<Http> {
    let mut stream = TcpStream::connect_timeout(&address, within).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(within)).ok()?;
    stream.write_all(request.as_bytes()).ok()?;
    read_http(&mut BufReader::new(stream))
}

/// Sends one line to an admin interface and returns the answer's first line.
pub fn admin(case: &Case, address: SocketAddr, call: &str) -> String {
    let answer = (|| {
        let mut stream = TcpStream::connect_timeout(&address, Duration::from_millis(500)).ok()?;
        stream.set_read_timeout(Some(Duration::from_millis(2500))).ok()?;
        stream.write_all(format!("{call}\n").as_bytes()).ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        Some(line.trim_end().to_owned())
    })();
    let answer = answer.unwrap_or_default();
    if call != "ready" {
        case.record.line(format!("admin call `{call}` answered `{answer}`"));
    }
    answer
}

/// Asks `ready` of an admin interface until it says yes. Returns whether it did in time.
pub fn wait_ready(case: &Case, address: SocketAddr, within: u64) -> bool {
    let until = case.record.now() + within;
    while case.record.now() < until {
        if admin(case, address, "ready") == "ok ready" {
            case.record.line("admin call `ready` answered `ok ready`");
            return true;
        }
        sleep(20);
    }
    false
}

/// A backend of the stand-in discovery.
#[derive(Debug, Clone)]
pub struct Listed {
    pub id: String,
    pub address: SocketAddr,
}

fn entry(listed: &Listed) -> String {
    format!(
        "{{\"instanceId\":\"{}\",\"hostPort\":\"{}\",\"zone\":\"north-hall\",\"machineType\":\"gen-a\",\"cell\":0,\
         \"lifecycle\":\"in_service\",\"weight\":1.0,\"startedAtMs\":0}}",
        listed.id, listed.address
    )
}

/// Returns a whole list in discovery's form.
pub fn list_json(generation: u64, entries: &[Listed]) -> String {
    let entries: Vec<String> = entries.iter().map(entry).collect();
    format!("{{\"generation\":{generation},\"reset\":true,\"instances\":[{}]}}", entries.join(","))
}

/// A discovery agent that gives one list: at once, or `silent` for the first milliseconds, in which it accepts and
/// says nothing. An empty line comes every 2 s.
pub fn discovery(listener: TcpListener, list: String, silent_until: Arc<Mutex<Option<Instant>>>) {
    serve(listener, move |mut stream| {
        let _ = stream.set_nodelay(true);
        let Ok(clone) = stream.try_clone() else { return };
        let mut reader = BufReader::new(clone);
        while let Some(request) = read_http(&mut reader) {
            loop {
                let until = *silent_until.lock().unwrap();
                match until {
                    Some(until) if Instant::now() < until => sleep(5),
                    _ => break,
                }
            }
            if !request.target().contains("stream=1") {
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
                if stream.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let line = format!("{list}\n");
            let head = format!(
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{line}\r\n",
                line.len()
            );
            if stream.write_all(head.as_bytes()).is_err() {
                return;
            }
            loop {
                sleep(2000);
                if stream.write_all(b"1\r\n\n\r\n").is_err() {
                    let _ = stream.shutdown(Shutdown::Both);
                    return;
                }
            }
        }
    });
}
