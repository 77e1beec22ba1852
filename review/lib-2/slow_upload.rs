//! A long body in chunks goes to a backend that reads slowly.

use crate::backends::*;
use crate::common::*;
use std::io::{BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

unsafe extern "C" {
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
}

/// The length of the body: bodies of up to 32 MB occur.
const BODY: usize = 20_000_000;
const CHUNK: usize = 16 * 1024;
/// How long the client waits from its last byte, in milliseconds: the class's deadline.
const TIMEOUT: u64 = 3000;
/// An answer up to half a second after a request's time is late, not lost; and 50 ms on sockets.
const SLACK: u64 = 550;
/// What the slow backend reads in a second, in bytes.
const SLOW_RATE: f64 = 500_000.0;

/// Keeps what the system receives for the backend small (SOL_SOCKET, SO_RCVBUF), so that it reads as slowly as it says.
fn bound_receive_buffer(listener: &TcpListener) {
    let bytes: i32 = 64 * 1024;
    unsafe { setsockopt(listener.as_raw_fd(), 1, 8, &bytes, 4) };
}

/// Reads one request at `rate` bytes a second, and answers it.
fn backend(mut stream: TcpStream, rate: f64, record: &Record) {
    let (mut read, mut tail, begun) = (0usize, Vec::new(), Instant::now());
    let mut piece = [0; 8192];
    loop {
        match stream.read(&mut piece) {
            Ok(n) if n > 0 => {
                read += n;
                tail.extend_from_slice(&piece[..n]);
                let excess = tail.len().saturating_sub(5);
                tail.drain(..excess);
            }
            _ => {
                record.line(format!("the backend's connection ends after {read} bytes"));
                return;
            }
        }
        if tail == b"0\r\n\r\n" {
            break;
        }
        let ahead = read as f64 / rate - begun.elapsed().as_secs_f64();
        if ahead > 0.0 {
            thread::sleep(Duration::from_secs_f64(ahead));
        }
    }
    record.line(format!("the backend has all {read} bytes"));
    sleep(80);
    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\nok");
    let _ = stream.shutdown(Shutdown::Write);
}

pub fn run(case: &Case) -> Verdict {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    bound_receive_buffer(&listener);
    let listed = Listed { id: "s-0".to_owned(), address: listener.local_addr().unwrap() };
    let rate = if case.trouble { SLOW_RATE } else { 1e9 };
    let record = case.record.clone();
    serve(listener, move |stream| backend(stream, rate, &record));
    let list = list_json(41, &[listed]);
    let agent = TcpListener::bind("127.0.0.1:0").unwrap();
    let agent_at = agent.local_addr().unwrap();
    discovery(agent, list.clone(), Arc::new(Mutex::new(None)));
    let (listen, management) = (free_address(), free_address());
    let path = case.write("config.json", &platform_configuration((1, 0), (listen, agent_at), &list));
    let (listening, door) = (listen.to_string(), management.to_string());
    let environment =
        [("RELAY_CONFIG", path.as_str()), ("RELAY_LISTEN", &listening), ("RELAY_MANAGEMENT", &door)];
    if case.deploy("ingress", "run", "", &environment).is_none() || !wait_ready(case, management, 10_000) {
        return Verdict::CouldNotRun;
    }
    sleep(500);
    let Ok(mut client) = TcpStream::connect(listen) else { return Verdict::CouldNotRun };
    let _ = client.set_nodelay(true);
    let Ok(reading) = client.try_clone() else { return Verdict::CouldNotRun };
    // An answer that comes before the last byte is written is in time.
    let answered = Arc::new(Mutex::new(None));
    let (answer, record) = (answered.clone(), case.record.clone());
    thread::spawn(move || {
        let message = read_http(&mut BufReader::new(reading));
        let status = message.map_or(0, |message| message.status());
        record.line(format!(
            "the client gets {}",
            if status == 0 { "the end".into() } else { status.to_string() }
        ));
        *answer.lock().unwrap() = Some((Instant::now(), status));
    });
    let head = format!(
        "POST /move-submit/1?client=0000000000000007 HTTP/1.1\r\nHost: o\r\nRequest-Id: 00000000000000ff\r\n\
         X-Tier: club\r\nRequest-Timeout-Ms: {TIMEOUT}\r\nIdempotency-Key: k1\r\n\
         X-Call-Terms: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n"
    );
    let mut chunk = format!("{CHUNK:x}\r\n").into_bytes();
    chunk.resize(chunk.len() + CHUNK, b'a');
    chunk.extend_from_slice(b"\r\n");
    case.record.line("the client begins to write");
    let _ = client.set_write_timeout(Some(Duration::from_secs(40)));
    let mut written = client.write_all(head.as_bytes()).is_ok();
    for _ in 0..BODY / CHUNK {
        written = written && client.write_all(&chunk).is_ok();
    }
    written = written && client.write_all(b"0\r\n\r\n").is_ok();
    let last = Instant::now();
    case.record.line(format!("the client has written its last byte: {written}"));
    if !written && answered.lock().unwrap().is_none() {
        return Verdict::CouldNotRun;
    }
    let until = last + Duration::from_millis(TIMEOUT + SLACK + 15_000);
    while answered.lock().unwrap().is_none() && Instant::now() < until {
        sleep(10);
    }
    let answer = *answered.lock().unwrap();
    let after = answer.map(|(at, _)| at.saturating_duration_since(last).as_millis() as u64);
    let text = format!(
        "answer {:?}, {after:?} ms after the last byte; owed within {} ms",
        answer.map(|(_, status)| status),
        TIMEOUT + SLACK
    );
    case.record.line(&text);
    println!("{text}");
    match (answer, after) {
        (Some((_, 1..)), Some(0..=3550)) => Verdict::Held,
        _ => Verdict::Broken,
    }
}
