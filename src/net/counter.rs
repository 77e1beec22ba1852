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
            while let Some(answer) = take_answer(&mut buffer) {
                let Some(answer) = answer else {
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

/// The next answer in the buffer, if a whole line has come: what it says, or none where that is nothing known.
pub(super) fn take_answer(buffer: &mut BytesMut) -> Option<Option<CounterAnswer>> {
    let end = buffer.iter().position(|b| *b == b'\n')?;
    let line = buffer.split_to(end + 1);
    Some(match std::str::from_utf8(&line).unwrap_or_default().trim_ascii() {
        "busy" | "error" => Some(CounterAnswer::NotAdded),
        text => {
            let total = text.strip_prefix("ok ").and_then(|total| total.trim().parse::<f64>().ok());
            total.filter(|total| total.is_finite()).map(CounterAnswer::Total)
        }
    })
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::deadlines::Clock;
    use crate::interface::CounterName;
    use tokio::io::{AsyncBufReadExt, BufReader};
    use tokio::net::TcpListener;

    fn call(seq: u64) -> Call {
        Call { seq, name: CounterName(10 + seq), amount: -2.5, keep: 90_000.0 }
    }

    /// Lets a counter's client make calls to a script of what the counter does on each connection.
    async fn answers<F: Future<Output = ()>>(
        calls: u64,
        script: impl AsyncFnOnce(TcpListener) -> F,
    ) -> Vec<(u64, CounterAnswer)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let deadlines = Deadlines::new(Clock::new());
        let log = Logger::root(slog::Discard, slog::o!());
        let counter = Counter { at: listener.local_addr().unwrap(), deadlines, log };
        let (made, coming) = mpsc::unbounded_channel();
        (0..calls).for_each(|seq| made.send(call(seq)).unwrap());
        let (told, mut tells) = mpsc::unbounded_channel();
        let all = async {
            let mut all = Vec::new();
            while all.len() < calls as usize {
                all.push(tells.recv().await.unwrap());
            }
            all
        };
        let client = counter.run(coming, |seq, answer| told.send((seq, answer)).unwrap());
        let scripted = async { script(listener).await.await };
        tokio::select! {
            all = all => all,
            ((), ()) = async { tokio::join!(client, scripted) } => unreachable!("calls are still to come"),
        }
    }

    #[tokio::test]
    async fn calls_go_out_together_and_answers_are_matched_in_order() {
        let all = answers(3, async |listener| async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut stream = BufReader::new(stream);
            let mut text = String::new();
            for _ in 0..3 {
                stream.read_line(&mut text).await.unwrap();
            }
            assert_eq!(text, "bump 10 -2.5 60000\r\nbump 11 -2.5 60000\r\nbump 12 -2.5 60000\r\n");
            stream.write_all(b"ok 1.5\r\nbusy\r\nok 7\r\n").await.unwrap();
            std::future::pending().await
        });
        let total = CounterAnswer::Total;
        assert_eq!(all.await, [(0, total(1.5)), (1, CounterAnswer::NotAdded), (2, total(7.0))]);
    }

    #[tokio::test]
    async fn calls_whose_connection_breaks_may_have_been_added() {
        let all = answers(2, async |listener| async move {
            let (stream, _) = listener.accept().await.unwrap();
            let mut stream = BufReader::new(stream);
            let mut text = String::new();
            stream.read_line(&mut text).await.unwrap();
            stream.read_line(&mut text).await.unwrap();
            stream.write_all(b"ok 1\r\n").await.unwrap();
            drop(stream);
            std::future::pending().await
        });
        assert_eq!(all.await, [(0, CounterAnswer::Total(1.0)), (1, CounterAnswer::Unknown)]);
    }

    #[tokio::test]
    async fn calls_to_a_counter_that_is_not_there_add_nothing() {
        let all = answers(2, async |listener| async move { drop(listener) }).await;
        assert_eq!(all, [(0, CounterAnswer::NotAdded), (1, CounterAnswer::NotAdded)]);
    }
}
