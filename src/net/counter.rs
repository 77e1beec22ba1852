//! The client of the shared counter. Calls are pipelined on one connection and answers come back in the order
//! of the calls, also for calls that the engine no longer waits for.

use super::stream::{ReloadableAddress, connect, read_more};
use crate::deadlines::Deadlines;
use crate::exchange::CounterCall;
use crate::interface::{CounterAnswer, Millis};
use bytes::BytesMut;
use slog::{Logger, info};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

/// A connection closes after this many idle milliseconds. The counter closes idle connections itself, after
/// 10 s or less.
const IDLE_TIMEOUT: Millis = 3000.0;
/// How long a connection may take to open, and the oldest unanswered call to be answered, in milliseconds,
/// before the connection is closed.
const RESPONSE_TIMEOUT: Millis = 1000.0;
/// How long after a failure no connection is tried, in milliseconds. Calls fail at once in that time.
const RECONNECT_DELAY: Millis = 100.0;
/// The largest number of calls without an answer on a connection.
const MAX_UNANSWERED_CALLS: usize = 1024;
/// The largest number of bytes without a line end that is buffered.
const MAX_LINE_BYTES: usize = 256;
/// The counter keeps a name for this many milliseconds at most.
const MAX_KEEP_MILLIS: u64 = 60_000;
/// The reason for closing a connection whose answer cannot be parsed.
const UNREADABLE: &str = "an answer is unreadable";

/// The client of the shared counter.
#[derive(Debug)]
pub struct CounterClient {
    /// The address of the counter, which a new configuration may change.
    pub address: ReloadableAddress,
    /// The source of time, and of the timers.
    pub deadlines: Deadlines,
    /// The log for connection failures.
    pub log: Logger,
}

/// A connection to the counter.
struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    /// The numbers of the calls that were written completely and have no answer yet, in order.
    unanswered: VecDeque<u64>,
    /// When the oldest of `unanswered` became the oldest.
    oldest_since: Millis,
}

/// How a connection ended.
enum ConnectionEnd {
    /// It was idle, or the channel of calls closed.
    Idle,
    /// It was lost for this reason. The next one opens no sooner than after this many milliseconds.
    Lost(String, Millis),
    /// The address of the counter changed. Calls in flight on the connection are still to be answered.
    Moved(Connection),
}

impl CounterClient {
    /// Makes calls until their channel closes. Passes exactly one answer for each call to `answer`, with the
    /// number of the call.
    pub async fn run(
        self,
        mut calls: mpsc::UnboundedReceiver<CounterCall>,
        answer: impl Fn(u64, CounterAnswer) + Clone + 'static,
    ) {
        let (mut delay_until, mut delayed_address) = (f64::NEG_INFINITY, None);
        while let Some(first) = calls.recv().await {
            let address = self.address.current();
            if self.deadlines.clock().now() < delay_until && delayed_address == Some(address) {
                answer(first.seq, CounterAnswer::NotAdded);
                continue;
            }
            let connected = tokio::select! {
                connected = self.deadlines.within(RESPONSE_TIMEOUT, connect(address)) => connected,
                () = self.address.changed_from(address) => None,
            };
            let Some(Ok(stream)) = connected else {
                info!(self.log, "the counter cannot be reached"; "counter" => %address);
                answer(first.seq, CounterAnswer::NotAdded);
                (delay_until, delayed_address) =
                    (self.deadlines.clock().now() + RECONNECT_DELAY, Some(address));
                continue;
            };
            let connection = Connection {
                stream,
                buffer: BytesMut::new(),
                unanswered: VecDeque::new(),
                oldest_since: 0.0,
            };
            match self.run_connection(connection, address, first, &mut calls, &answer).await {
                ConnectionEnd::Idle => {}
                ConnectionEnd::Lost(why, delay) => {
                    info!(self.log, "the counter's connection was lost"; "counter" => %address, "why" => why);
                    (delay_until, delayed_address) = (self.deadlines.clock().now() + delay, Some(address));
                }
                ConnectionEnd::Moved(connection) => {
                    drop(spawn_local(connection.drain(self.deadlines.clone(), answer.clone())))
                }
            }
        }
    }

    /// Makes calls on a connection until it ends.
    async fn run_connection(
        &self,
        mut connection: Connection,
        address: SocketAddr,
        first: CounterCall,
        calls: &mut mpsc::UnboundedReceiver<CounterCall>,
        answer: &impl Fn(u64, CounterAnswer),
    ) -> ConnectionEnd {
        let mut next = Some(first);
        loop {
            if let Some(first) = next.take() {
                let (mut text, mut batch) = (String::new(), Vec::new());
                let mut coming = Some(first);
                while let Some(call) = coming {
                    let line =
                        format!("bump {} {} {}\r\n", call.name.0, call.amount, keep_millis(call.lifetime));
                    text.push_str(&line);
                    batch.push(call.seq);
                    coming = calls.try_recv().ok();
                }
                if connection.unanswered.is_empty() {
                    connection.oldest_since = self.deadlines.clock().now();
                }
                let written = write(&mut connection.stream, &text).await;
                // A call whose last byte was not written adds nothing.
                let complete = text.as_bytes()[..written].iter().filter(|b| **b == b'\n').count();
                connection.unanswered.extend(&batch[..complete]);
                if complete < batch.len() {
                    batch[complete..].iter().for_each(|seq| answer(*seq, CounterAnswer::NotAdded));
                    return connection.lost("a call was not written", answer);
                }
            }
            if connection.unanswered.len() > MAX_UNANSWERED_CALLS {
                return connection.lost("too many calls without an answer", answer);
            }
            // Counted from the oldest unanswered call, so that a steady flow of new calls does not hide a
            // silent counter.
            let now = self.deadlines.clock().now();
            let timeout = if connection.unanswered.is_empty() {
                IDLE_TIMEOUT
            } else {
                connection.oldest_since + RESPONSE_TIMEOUT - now
            };
            tokio::select! {
                biased;
                read = connection.read_answers(now, answer) => match read {
                    Ok(true) => {}
                    Ok(false) if connection.unanswered.is_empty() => return ConnectionEnd::Idle,
                    Ok(false) => return connection.lost("the connection ended", answer),
                    Err(why) => return connection.lost(why, answer),
                },
                () = self.address.changed_from(address) => return ConnectionEnd::Moved(connection),
                call = calls.recv() => match call {
                    Some(call) => next = Some(call),
                    None => return ConnectionEnd::Idle,
                },
                () = self.deadlines.sleep(timeout) => {
                    return match connection.unanswered.is_empty() {
                        true => ConnectionEnd::Idle,
                        false => connection.lost("silence", answer),
                    };
                }
            }
        }
    }
}

impl Connection {
    /// Waits for data and passes on the answers in it. Returns `false` at the end of the stream.
    async fn read_answers(
        &mut self,
        now: Millis,
        answer: &impl Fn(u64, CounterAnswer),
    ) -> Result<bool, &'static str> {
        let more = read_more(&mut self.stream, &mut self.buffer).await.map_err(|_| "the connection broke")?;
        while let Some(parsed) = take_answer(&mut self.buffer) {
            // An answer without a readable number says no more than that the amount may have been added, and
            // neither do the answers behind it.
            let parsed = parsed.ok_or(UNREADABLE)?;
            let seq = self.unanswered.pop_front().ok_or("an answer without a call")?;
            self.oldest_since = now;
            answer(seq, parsed);
        }
        match self.buffer.len() > MAX_LINE_BYTES {
            true => Err(UNREADABLE),
            false => Ok(more),
        }
    }

    /// Closes the connection. Unanswered calls may have been added already, or may still be added.
    fn lost(self, why: &str, answer: &impl Fn(u64, CounterAnswer)) -> ConnectionEnd {
        self.unanswered.into_iter().for_each(|seq| answer(seq, CounterAnswer::Unknown));
        // A counter that answers can be reached, so the next connection needs no delay.
        ConnectionEnd::Lost(why.to_owned(), if why == UNREADABLE { 0.0 } else { RECONNECT_DELAY })
    }

    /// Waits for the answers to the calls in flight on a connection that takes no more calls. Prevents
    /// amounts that the counter at the old address has added from being added again by the counter at the new
    /// one.
    async fn drain(mut self, deadlines: Deadlines, answer: impl Fn(u64, CounterAnswer)) {
        let draining = async {
            while !self.unanswered.is_empty() && self.read_answers(0.0, &answer).await.unwrap_or(false) {}
        };
        deadlines.within(RESPONSE_TIMEOUT, draining).await;
        self.lost("the address has changed", &answer);
    }
}

/// Rounds a time for which the counter keeps a name to whole milliseconds within the range of the protocol.
fn keep_millis(lifetime: Millis) -> u64 {
    (lifetime.max(1.0) as u64).min(MAX_KEEP_MILLIS)
}

/// Writes until all is written or the stream fails. Returns the number of bytes written.
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

/// Takes the next line off the buffer and parses it as an answer. Returns `None` if no complete line is
/// buffered, and `Some(None)` if the line is no known answer.
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
    use crate::config::ReloadableConfig;
    use crate::deadlines::Clock;
    use crate::interface::CounterName;
    use tokio::io::{AsyncBufReadExt, BufReader};
    use tokio::net::TcpListener;
    use tokio::sync::watch;
    use tokio::task::LocalSet;

    fn call(seq: u64) -> CounterCall {
        CounterCall { seq, name: CounterName(10 + seq), amount: -2.5, lifetime: 90_000.0 }
    }

    /// Accepts a connection and reads the lines of `calls` calls.
    async fn accept_calls(listener: &TcpListener, calls: usize) -> (BufReader<TcpStream>, String) {
        let mut stream = BufReader::new(listener.accept().await.unwrap().0);
        let mut text = String::new();
        for _ in 0..calls {
            stream.read_line(&mut text).await.unwrap();
        }
        (stream, text)
    }

    /// Makes `calls` calls to a counter that behaves as in `script`, and returns the answers.
    async fn answers<F: Future<Output = ()>>(
        calls: u64,
        script: impl AsyncFnOnce(TcpListener) -> F,
    ) -> Vec<(u64, CounterAnswer)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let deadlines = Deadlines::new(Clock::new());
        let log = Logger::root(slog::Discard, slog::o!());
        let address = listener.local_addr().unwrap();
        let ways = ReloadableConfig::default();
        let (_ways, ways) = watch::channel(ways);
        let address = ReloadableAddress::new(&ways, address, |ways| ways.counter);
        let counter = CounterClient { address, deadlines, log };
        let (call_sender, call_receiver) = mpsc::unbounded_channel();
        (0..calls).for_each(|seq| call_sender.send(call(seq)).unwrap());
        let (answer_sender, mut answer_receiver) = mpsc::unbounded_channel();
        let all = async {
            let mut all = Vec::new();
            while all.len() < calls as usize {
                all.push(answer_receiver.recv().await.unwrap());
            }
            all
        };
        let client =
            counter.run(call_receiver, move |seq, answer| answer_sender.send((seq, answer)).unwrap());
        let scripted = async { script(listener).await.await };
        tokio::select! {
            all = all => all,
            ((), ()) = async { tokio::join!(client, scripted) } => unreachable!("calls are still to come"),
        }
    }

    #[tokio::test]
    async fn pipelines_calls_and_matches_answers_in_order() {
        let all = answers(3, async |listener| async move {
            let (mut stream, text) = accept_calls(&listener, 3).await;
            assert_eq!(text, "bump 10 -2.5 60000\r\nbump 11 -2.5 60000\r\nbump 12 -2.5 60000\r\n");
            stream.write_all(b"ok 1.5\r\nbusy\r\nok 7\r\n").await.unwrap();
            std::future::pending().await
        });
        let total = CounterAnswer::Total;
        assert_eq!(all.await, [(0, total(1.5)), (1, CounterAnswer::NotAdded), (2, total(7.0))]);
    }

    #[tokio::test]
    async fn calls_on_a_broken_connection_may_have_been_added() {
        let all = answers(2, async |listener| async move {
            let (mut stream, _) = accept_calls(&listener, 2).await;
            stream.write_all(b"ok 1\r\n").await.unwrap();
            drop(stream);
            std::future::pending().await
        });
        assert_eq!(all.await, [(0, CounterAnswer::Total(1.0)), (1, CounterAnswer::Unknown)]);
    }

    #[tokio::test]
    async fn calls_to_an_unreachable_counter_are_not_added() {
        let all = answers(2, async |listener| async move { drop(listener) }).await;
        assert_eq!(all, [(0, CounterAnswer::NotAdded), (1, CounterAnswer::NotAdded)]);
    }

    /// An answer without a number may mean that the amount was added: its call and those behind it count as
    /// unknown, and the connection closes.
    #[tokio::test]
    async fn an_unreadable_answer_closes_the_connection_and_counts_as_unknown() {
        let all = answers(3, async |listener| async move {
            let (mut stream, mut text) = accept_calls(&listener, 3).await;
            stream.write_all(b"ok 4\r\nok 4x\r\nok 9\r\n").await.unwrap();
            // The end of the stream shows that the client closed the connection.
            assert_eq!(stream.read_line(&mut text).await.unwrap(), 0);
            std::future::pending().await
        });
        let unknown = CounterAnswer::Unknown;
        assert_eq!(all.await, [(0, CounterAnswer::Total(4.0)), (1, unknown), (2, unknown)]);
    }

    /// A new configuration may change the counter's address: new calls go there at once, calls in flight are
    /// still answered at the old address, and each call is answered once.
    #[test]
    fn a_changed_address_takes_new_calls_while_calls_in_flight_finish_at_the_old_one() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let [old, new] = [
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
            ];
            let [old_address, new_address] = [&old, &new].map(|at| at.local_addr().unwrap());
            let (move_to, ways) = watch::channel(ReloadableConfig {
                counter: Some(old_address),
                ..ReloadableConfig::default()
            });
            let address = ReloadableAddress::new(&ways, old_address, |ways| ways.counter);
            let log = Logger::root(slog::Discard, slog::o!());
            let counter = CounterClient { address, deadlines: Deadlines::new(Clock::new()), log };
            let (calls, call_receiver) = mpsc::unbounded_channel();
            let (answer_sender, mut answers) = mpsc::unbounded_channel();
            spawn_local(
                counter.run(call_receiver, move |seq, answer| answer_sender.send((seq, answer)).unwrap()),
            );
            calls.send(call(0)).unwrap();
            let (mut old, _) = accept_calls(&old, 1).await;
            move_to
                .send_replace(ReloadableConfig { counter: Some(new_address), ..ReloadableConfig::default() });
            calls.send(call(1)).unwrap();
            let (mut new, _) = accept_calls(&new, 1).await;
            new.write_all(b"ok 2\r\n").await.unwrap();
            assert_eq!(answers.recv().await, Some((1, CounterAnswer::Total(2.0))));
            old.write_all(b"ok 1\r\n").await.unwrap();
            assert_eq!(answers.recv().await, Some((0, CounterAnswer::Total(1.0))));
            assert_eq!(old.read_line(&mut String::new()).await.unwrap(), 0, "the old connection is closed");
        });
    }
}
