//! The shared counter: calls go one after another over one connection and answers return in that order, also
//! those that the engine no longer waits for.

use super::stream::{connect, read_more};
use crate::deadlines::Deadlines;
use crate::exchange::Call;
use crate::interface::{CounterAnswer, Millis};
use bytes::BytesMut;
use slog::{Logger, info};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;

/// The counter closes what stands idle for 10 s or less: a connection idle for this long is closed here.
const IDLE: Millis = 3000.0;
/// A connection that is not up by then, or whose oldest call has no answer by then, is given up.
const PATIENCE: Millis = 1000.0;
/// After a failure no connection is tried for this long: calls then fail at once.
const PAUSE: Millis = 100.0;
/// The most calls without an answer on a connection, and the longest line of an answer.
const BOUNDS: (usize, usize) = (1024, 256);

/// The way to the counter.
#[derive(Debug)]
pub struct Counter {
    /// Its address.
    pub at: SocketAddr,
    /// For its pauses.
    pub deadlines: Deadlines,
    /// Where its troubles are logged.
    pub log: Logger,
}

impl Counter {
    /// Makes calls until there are no more; every one is answered once.
    pub async fn run(
        self,
        mut calls: mpsc::UnboundedReceiver<Call>,
        mut tell: impl FnMut(u64, CounterAnswer),
    ) {
        let mut rest_until = f64::NEG_INFINITY;
        while let Some(first) = calls.recv().await {
            if self.deadlines.clock().now() < rest_until {
                tell(first.seq, CounterAnswer::NotAdded);
                continue;
            }
            let Some(Ok(stream)) = self.deadlines.within(PATIENCE, connect(self.at)).await else {
                info!(self.log, "the counter cannot be reached"; "counter" => %self.at);
                tell(first.seq, CounterAnswer::NotAdded);
                rest_until = self.deadlines.clock().now() + PAUSE;
                continue;
            };
            if let Err(why) = self.talk(stream, first, &mut calls, &mut tell).await {
                info!(self.log, "the counter's connection was lost"; "counter" => %self.at, "why" => why);
                rest_until = self.deadlines.clock().now() + PAUSE;
            }
        }
    }

    /// One connection's life: ends well when it has been idle.
    async fn talk(
        &self,
        mut stream: TcpStream,
        first: Call,
        calls: &mut mpsc::UnboundedReceiver<Call>,
        tell: &mut impl FnMut(u64, CounterAnswer),
    ) -> Result<(), String> {
        let (mut waiting, mut buffer) = (VecDeque::new(), BytesMut::new());
        let mut next = Some(first);
        loop {
            if let Some(first) = next.take() {
                let (mut text, mut batch) = (String::new(), Vec::new());
                let mut coming = Some(first);
                while let Some(call) = coming {
                    text.push_str(&format!("bump {} {} {}\r\n", call.name.0, call.amount, life(call.keep)));
                    batch.push(call.seq);
                    coming = calls.try_recv().ok();
                }
                let written = write(&mut stream, &text).await;
                // Calls whose last byte was not written add nothing.
                let whole = text.as_bytes()[..written].iter().filter(|b| **b == b'\n').count();
                waiting.extend(&batch[..whole]);
                if whole < batch.len() {
                    batch[whole..].iter().for_each(|seq| tell(*seq, CounterAnswer::NotAdded));
                    return lost(waiting, tell, "a call was not written".into());
                }
            }
            if waiting.len() > BOUNDS.0 {
                return lost(waiting, tell, "too many calls without an answer".into());
            }
            let patience = if waiting.is_empty() { IDLE } else { PATIENCE };
            tokio::select! {
                biased;
                read = read_more(&mut stream, &mut buffer) => match read {
                    Ok(true) => {}
                    Ok(false) if waiting.is_empty() => return Ok(()),
                    Ok(false) => return lost(waiting, tell, "it ended".into()),
                    Err(e) => return lost(waiting, tell, e.to_string()),
                },
                call = calls.recv() => match call {
                    Some(call) => next = Some(call),
                    None => return Ok(()),
                },
                () = self.deadlines.sleep(patience) => {
                    return match waiting.is_empty() {
                        true => Ok(()),
                        false => lost(waiting, tell, "silence".into()),
                    };
                }
            }
            while let Some(end) = buffer.iter().position(|b| *b == b'\n') {
                let line = buffer.split_to(end + 1);
                let Some(answer) = read_answer(&line) else {
                    return lost(waiting, tell, "an answer is unreadable".into());
                };
                let Some(seq) = waiting.pop_front() else {
                    return Err("an answer to no call".into());
                };
                tell(seq, answer);
            }
            if buffer.len() > BOUNDS.1 {
                return lost(waiting, tell, "an answer is too long".into());
            }
        }
    }
}

fn life(keep: Millis) -> u64 {
    (keep.max(1.0) as u64).min(60_000)
}

/// Writes as much as goes; tells how many bytes.
async fn write(stream: &mut TcpStream, text: &str) -> usize {
    let mut written = 0;
    while written < text.len() {
        match stream.write(&text.as_bytes()[written..]).await {
            Ok(n) if n > 0 => written += n,
            _ => break,
        }
    }
    written
}

/// What was written whole may have been added, or may yet be.
fn lost(
    waiting: VecDeque<u64>,
    tell: &mut impl FnMut(u64, CounterAnswer),
    why: String,
) -> Result<(), String> {
    waiting.into_iter().for_each(|seq| tell(seq, CounterAnswer::Unknown));
    Err(why)
}

/// What a line of the counter says; none where it says nothing known.
fn read_answer(line: &[u8]) -> Option<CounterAnswer> {
    match std::str::from_utf8(line).ok()?.trim_ascii() {
        "busy" | "error" => Some(CounterAnswer::NotAdded),
        text => {
            let total: f64 = text.strip_prefix("ok ")?.trim().parse().ok()?;
            total.is_finite().then_some(CounterAnswer::Total(total))
        }
    }
}
