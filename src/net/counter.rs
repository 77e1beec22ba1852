//! The shared counter: calls go one after another over one connection and answers return in that order, also
//! those that the engine no longer waits for.

use super::stream::{Way, connect, read_more};
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

/// The counter closes what stands idle for 10 s or less: a connection idle for this long is closed here.
const IDLE: Millis = 3000.0;
/// A connection that is not up by then, or whose oldest call has no answer by then, is given up.
const PATIENCE: Millis = 1000.0;
/// After a failure no connection is tried for this long: calls then fail at once.
const PAUSE: Millis = 100.0;
/// The most calls without an answer on a connection, and the longest line of an answer.
const BOUNDS: (usize, usize) = (1024, 256);
const UNREADABLE: &str = "an answer is unreadable";

/// The way to the counter.
#[derive(Debug)]
pub struct Counter {
    /// Its address.
    pub at: Way,
    /// For its pauses.
    pub deadlines: Deadlines,
    /// Where its troubles are logged.
    pub log: Logger,
}

/// A connection to the counter.
struct Line {
    stream: TcpStream,
    buffer: BytesMut,
    /// Calls written whole that have no answer yet, in order.
    waiting: VecDeque<u64>,
    /// Since when the first of them has been the first.
    since: Millis,
}

/// How a connection ended.
enum End {
    /// It was idle, or there are no more calls.
    Idle,
    /// It was lost, for this reason; the next is opened no sooner than after this pause.
    Lost(String, Millis),
    /// The counter is elsewhere now: what was called here is still answered here.
    Moved(Line),
}

impl Counter {
    /// Makes calls until there are no more; every one is answered once.
    pub async fn run(
        self,
        mut calls: mpsc::UnboundedReceiver<CounterCall>,
        tell: impl Fn(u64, CounterAnswer) + Clone + 'static,
    ) {
        let (mut rest_until, mut resting_at) = (f64::NEG_INFINITY, None);
        while let Some(first) = calls.recv().await {
            let at = self.at.now();
            if self.deadlines.clock().now() < rest_until && resting_at == Some(at) {
                tell(first.seq, CounterAnswer::NotAdded);
                continue;
            }
            let connected = tokio::select! {
                connected = self.deadlines.within(PATIENCE, connect(at)) => connected,
                () = self.at.moved_from(at) => None,
            };
            let Some(Ok(stream)) = connected else {
                info!(self.log, "the counter cannot be reached"; "counter" => %at);
                tell(first.seq, CounterAnswer::NotAdded);
                (rest_until, resting_at) = (self.deadlines.clock().now() + PAUSE, Some(at));
                continue;
            };
            let line = Line { stream, buffer: BytesMut::new(), waiting: VecDeque::new(), since: 0.0 };
            match self.talk(line, at, first, &mut calls, &tell).await {
                End::Idle => {}
                End::Lost(why, pause) => {
                    info!(self.log, "the counter's connection was lost"; "counter" => %at, "why" => why);
                    (rest_until, resting_at) = (self.deadlines.clock().now() + pause, Some(at));
                }
                End::Moved(line) => drop(spawn_local(line.finish(self.deadlines.clone(), tell.clone()))),
            }
        }
    }

    /// One connection's life.
    async fn talk(
        &self,
        mut line: Line,
        at: SocketAddr,
        first: CounterCall,
        calls: &mut mpsc::UnboundedReceiver<CounterCall>,
        tell: &impl Fn(u64, CounterAnswer),
    ) -> End {
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
                if line.waiting.is_empty() {
                    line.since = self.deadlines.clock().now();
                }
                let written = write(&mut line.stream, &text).await;
                // Calls whose last byte was not written add nothing.
                let whole = text.as_bytes()[..written].iter().filter(|b| **b == b'\n').count();
                line.waiting.extend(&batch[..whole]);
                if whole < batch.len() {
                    batch[whole..].iter().for_each(|seq| tell(*seq, CounterAnswer::NotAdded));
                    return line.lost("a call was not written", tell);
                }
            }
            if line.waiting.len() > BOUNDS.0 {
                return line.lost("too many calls without an answer", tell);
            }
            // From the first that waits, not from the last news: calls that go on coming must not hide a silence.
            let now = self.deadlines.clock().now();
            let patience = if line.waiting.is_empty() { IDLE } else { line.since + PATIENCE - now };
            tokio::select! {
                biased;
                read = line.read(now, tell) => match read {
                    Ok(true) => {}
                    Ok(false) if line.waiting.is_empty() => return End::Idle,
                    Ok(false) => return line.lost("it ended", tell),
                    Err(why) => return line.lost(why, tell),
                },
                () = self.at.moved_from(at) => return End::Moved(line),
                call = calls.recv() => match call {
                    Some(call) => next = Some(call),
                    None => return End::Idle,
                },
                () = self.deadlines.sleep(patience) => {
                    return match line.waiting.is_empty() {
                        true => End::Idle,
                        false => line.lost("silence", tell),
                    };
                }
            }
        }
    }
}

impl Line {
    /// Reads what has come and tells the answers in it; false at the end of the stream.
    async fn read(&mut self, now: Millis, tell: &impl Fn(u64, CounterAnswer)) -> Result<bool, &'static str> {
        let more = read_more(&mut self.stream, &mut self.buffer).await.map_err(|_| "it broke")?;
        while let Some(answer) = take_answer(&mut self.buffer) {
            // What has no number in it says that it was added and no more; nor does what comes behind it.
            let answer = answer.ok_or(UNREADABLE)?;
            let seq = self.waiting.pop_front().ok_or("an answer to no call")?;
            self.since = now;
            tell(seq, answer);
        }
        match self.buffer.len() > BOUNDS.1 {
            true => Err(UNREADABLE),
            false => Ok(more),
        }
    }

    /// What was written whole may have been added, or may yet be.
    fn lost(self, why: &str, tell: &impl Fn(u64, CounterAnswer)) -> End {
        self.waiting.into_iter().for_each(|seq| tell(seq, CounterAnswer::Unknown));
        // A counter that answers can be called again at once.
        End::Lost(why.to_owned(), if why == UNREADABLE { 0.0 } else { PAUSE })
    }

    /// Waits for the answers that are still to come at an address that takes no more calls. Prevents calls that
    /// were added there from being added again at the new one.
    async fn finish(mut self, deadlines: Deadlines, tell: impl Fn(u64, CounterAnswer)) {
        let rest =
            async { while !self.waiting.is_empty() && self.read(0.0, &tell).await.unwrap_or(false) {} };
        deadlines.within(PATIENCE, rest).await;
        self.lost("it has moved", &tell);
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
    use crate::config::ReloadableConfig;
    use crate::deadlines::Clock;
    use crate::interface::CounterName;
    use tokio::io::{AsyncBufReadExt, BufReader};
    use tokio::net::TcpListener;
    use tokio::sync::watch;
    use tokio::task::LocalSet;

    fn call(seq: u64) -> CounterCall {
        CounterCall { seq, name: CounterName(10 + seq), amount: -2.5, keep: 90_000.0 }
    }

    /// Takes a connection and the lines of so many calls.
    async fn taken(listener: &TcpListener, calls: usize) -> (BufReader<TcpStream>, String) {
        let mut stream = BufReader::new(listener.accept().await.unwrap().0);
        let mut text = String::new();
        for _ in 0..calls {
            stream.read_line(&mut text).await.unwrap();
        }
        (stream, text)
    }

    /// Lets a counter's client make calls to a script of what the counter does on each connection.
    async fn answers<F: Future<Output = ()>>(
        calls: u64,
        script: impl AsyncFnOnce(TcpListener) -> F,
    ) -> Vec<(u64, CounterAnswer)> {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let deadlines = Deadlines::new(Clock::new());
        let log = Logger::root(slog::Discard, slog::o!());
        let at = listener.local_addr().unwrap();
        let ways = ReloadableConfig::default();
        let (_ways, ways) = watch::channel(ways);
        let at = Way::new(&ways, at, |ways| ways.counter);
        let counter = Counter { at, deadlines, log };
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
        let client = counter.run(coming, move |seq, answer| told.send((seq, answer)).unwrap());
        let scripted = async { script(listener).await.await };
        tokio::select! {
            all = all => all,
            ((), ()) = async { tokio::join!(client, scripted) } => unreachable!("calls are still to come"),
        }
    }

    #[tokio::test]
    async fn calls_go_out_together_and_answers_are_matched_in_order() {
        let all = answers(3, async |listener| async move {
            let (mut stream, text) = taken(&listener, 3).await;
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
            let (mut stream, _) = taken(&listener, 2).await;
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

    #[tokio::test]
    async fn an_answer_without_a_number_says_added_and_ends_its_connection_and_the_next_call_goes_out_at_once()
     {
        let all = answers(3, async |listener| async move {
            let (mut stream, mut text) = taken(&listener, 3).await;
            stream.write_all(b"ok 4\r\nok 4x\r\nok 9\r\n").await.unwrap();
            // Its end shows that the connection is done.
            assert_eq!(stream.read_line(&mut text).await.unwrap(), 0);
            std::future::pending().await
        });
        let unknown = CounterAnswer::Unknown;
        assert_eq!(all.await, [(0, CounterAnswer::Total(4.0)), (1, unknown), (2, unknown)]);
    }

    /// A new configuration may name another counter: new calls go there at once, and each is answered once.
    #[test]
    fn a_counter_that_moves_still_answers_what_it_was_called_and_new_calls_go_to_the_new_address() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        LocalSet::new().block_on(&runtime, async {
            let [old, new] = [
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
                TcpListener::bind("127.0.0.1:0").await.unwrap(),
            ];
            let [old_at, new_at] = [&old, &new].map(|at| at.local_addr().unwrap());
            let (move_to, ways) =
                watch::channel(ReloadableConfig { counter: Some(old_at), ..ReloadableConfig::default() });
            let at = Way::new(&ways, old_at, |ways| ways.counter);
            let log = Logger::root(slog::Discard, slog::o!());
            let counter = Counter { at, deadlines: Deadlines::new(Clock::new()), log };
            let (made, coming) = mpsc::unbounded_channel();
            let (told, mut tells) = mpsc::unbounded_channel();
            spawn_local(counter.run(coming, move |seq, answer| told.send((seq, answer)).unwrap()));
            made.send(call(0)).unwrap();
            let (mut old, _) = taken(&old, 1).await;
            move_to.send_replace(ReloadableConfig { counter: Some(new_at), ..ReloadableConfig::default() });
            made.send(call(1)).unwrap();
            let (mut new, _) = taken(&new, 1).await;
            new.write_all(b"ok 2\r\n").await.unwrap();
            assert_eq!(tells.recv().await, Some((1, CounterAnswer::Total(2.0))));
            old.write_all(b"ok 1\r\n").await.unwrap();
            assert_eq!(tells.recv().await, Some((0, CounterAnswer::Total(1.0))));
            assert_eq!(old.read_line(&mut String::new()).await.unwrap(), 0, "the old connection is closed");
        });
    }
}
