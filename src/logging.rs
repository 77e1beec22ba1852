//! The log: lines on standard error. A thread of its own writes them, so that a reader that has ended or reads nothing,
//! and a device that is full, neither end nor delay the process. Lines that cannot be written are dropped and counted.

use slog::{Drain, Level, LevelFilter, Logger, crit, o, warn};
use std::io::{self, Write};
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::Duration;

/// The most lines that wait to be written; further ones are dropped.
const MAX_WAITING_LINES: usize = 256;
/// The most bytes of a line that are written.
const MAX_LINE_BYTES: usize = 4096;
/// The stack of the thread that writes, in bytes.
const WRITER_STACK_BYTES: usize = 128 * 1024;
/// How long the end of the process is put off for lines that wait to be written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(300);

/// The number of lines that this process has dropped. Standard error belongs to the whole process, and so does this.
static DROPPED_LINES: AtomicU64 = AtomicU64::new(0);

/// Returns the number of lines that this process could not write to its log.
pub fn dropped_lines() -> u64 {
    DROPPED_LINES.load(Ordering::Relaxed)
}

/// Returns the metric of the log as text; empty as long as no line was dropped.
pub fn metrics() -> String {
    match dropped_lines() {
        0 => String::new(),
        lines => format!("svc_log_lines_dropped_total {lines}\n"),
    }
}

/// What the writing thread is told.
enum Message {
    /// A line, with its end.
    Line(Vec<u8>),
    /// Answer once all lines before this are written or dropped.
    Flush(SyncSender<()>),
}

/// The log of the process.
#[derive(Debug)]
pub struct Log {
    /// The logger on the log, at level info, or debug if the environment holds `WELDHUB_LOG=debug`.
    pub logger: Logger,
    queue: SyncSender<Message>,
}

impl Log {
    /// Starts the thread that writes to standard error.
    pub fn start() -> Self {
        Self::to(io::stderr())
    }

    /// Starts a thread that writes to `target`. If there can be no further thread, all lines are dropped.
    fn to(target: impl Write + Send + 'static) -> Self {
        let (queue, lines) = sync_channel(MAX_WAITING_LINES);
        let thread = std::thread::Builder::new().name("log".to_owned()).stack_size(WRITER_STACK_BYTES);
        let _ = thread.spawn(move || LineWriter::new(target).run(&lines));
        Self { logger: logger(LineQueue { queue: queue.clone(), line: Vec::new() }), queue }
    }

    /// Has panics written to the log, in place of straight to standard error, where that could block.
    pub fn catch_panics(&self) {
        // A logger of its own: the panic may have come while the other one was locked.
        let log = logger(LineQueue { queue: self.queue.clone(), line: Vec::new() });
        std::panic::set_hook(Box::new(move |panic| {
            let place = panic.location().map(ToString::to_string);
            let message = panic.payload_as_str().unwrap_or("unknown");
            crit!(log, "a part of the program has panicked"; "place" => place, "why" => message);
        }));
    }

    /// Waits until the lines so far are written, for a bounded time.
    pub fn flush(&self) {
        let (written, done) = sync_channel(1);
        if self.queue.try_send(Message::Flush(written)).is_ok() {
            let _ = done.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Creates a logger that writes each record as one line.
fn logger(target: impl Write + Send + 'static) -> Logger {
    let level = match std::env::var("WELDHUB_LOG").as_deref() {
        Ok("debug") => Level::Debug,
        _ => Level::Info,
    };
    let decorator = slog_term::PlainDecorator::new(target);
    let drain = slog_term::FullFormat::new(decorator).use_utc_timestamp().build();
    let drain = LevelFilter::new(Mutex::new(drain), level);
    Logger::root(drain.ignore_res(), o!())
}

/// Collects the parts of a line, and queues it for the writing thread when it is flushed.
struct LineQueue {
    queue: SyncSender<Message>,
    line: Vec<u8>,
}

impl Write for LineQueue {
    fn write(&mut self, part: &[u8]) -> io::Result<usize> {
        let room = (MAX_LINE_BYTES - 1).saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        Ok(part.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        let mut line = std::mem::take(&mut self.line);
        if line.is_empty() {
            return Ok(());
        }
        if !line.ends_with(b"\n") {
            line.push(b'\n');
        }
        if self.queue.try_send(Message::Line(line)).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
        }
        Ok(())
    }
}

/// Writes lines to a target that may fail.
struct LineWriter<W> {
    target: W,
    /// Whether the last line was written in part.
    broken_line: bool,
    /// The number of dropped lines that the log tells of.
    reported_drops: u64,
}

impl<W: Write> LineWriter<W> {
    fn new(target: W) -> Self {
        Self { target, broken_line: false, reported_drops: 0 }
    }

    /// Writes lines until the process ends.
    fn run(mut self, messages: &Receiver<Message>) {
        for message in messages {
            match message {
                Message::Line(line) => self.write_line(&line),
                Message::Flush(written) => drop(written.try_send(())),
            }
        }
    }

    fn write_line(&mut self, line: &[u8]) {
        if self.try_write(line).is_err() {
            DROPPED_LINES.fetch_add(1, Ordering::Relaxed);
            return;
        }
        let dropped = dropped_lines();
        if dropped > self.reported_drops {
            let report = drop_report(dropped - self.reported_drops);
            if self.try_write(&report).is_ok() {
                self.reported_drops = dropped;
            }
        }
    }

    /// Writes a line. If a part of the line before was written, that one is ended first.
    fn try_write(&mut self, line: &[u8]) -> io::Result<()> {
        if self.broken_line {
            self.target.write_all(b"\n")?;
            self.broken_line = false;
        }
        let mut rest = line;
        while !rest.is_empty() {
            match self.target.write(rest) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => rest = &rest[written..],
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.broken_line = rest.len() < line.len();
                    return Err(e);
                }
            }
        }
        Ok(())
    }
}

/// Returns the line that tells how many lines were dropped.
fn drop_report(lines: u64) -> Vec<u8> {
    let (queue, report) = sync_channel(1);
    warn!(logger(LineQueue { queue, line: Vec::new() }), "log lines were dropped"; "lines" => lines);
    match report.try_recv() {
        Ok(Message::Line(line)) => line,
        _ => Vec::new(),
    }
}

#[cfg(test)]
mod tests;
