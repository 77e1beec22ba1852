//! Relays in front of the stand-ins: each ingress has an address of its own for each of them, and what passes there can
//! be held, slowed, refused or broken, for that ingress alone.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// What is held between the two ends of a connection at the most, in bytes; then the sender waits.
const HELD: usize = 64 << 10;

/// What becomes of bytes on their way.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Line {
    /// Nothing passes; connections stay open, and new ones come up and stay silent.
    pub silent: bool,
    /// Connections are reset, and new ones as well.
    pub refused: bool,
    /// Each byte takes so long more, in milliseconds.
    pub delay: u64,
}

/// A way that can be disturbed; several faults at once add up.
#[derive(Debug, Clone)]
pub struct Gate {
    line: watch::Sender<Line>,
    faults: Rc<RefCell<Vec<Line>>>,
}

impl Default for Gate {
    fn default() -> Self {
        Self { line: watch::Sender::new(Line::default()), faults: Rc::default() }
    }
}

impl Gate {
    /// A fault begins, or one like it ends.
    pub fn fault(&self, fault: Line, on: bool) {
        let mut faults = self.faults.borrow_mut();
        match faults.iter().position(|f| *f == fault).filter(|_| !on) {
            Some(at) => drop(faults.swap_remove(at)),
            None if on => faults.push(fault),
            None => {}
        }
        let line = faults.iter().fold(Line::default(), |line, f| Line {
            silent: line.silent || f.silent,
            refused: line.refused || f.refused,
            delay: line.delay + f.delay,
        });
        self.line.send_replace(line);
    }

    /// Waits until bytes pass; tells after how long they are there.
    pub async fn open(&self) -> Duration {
        let mut line = self.line.subscribe();
        let delay = line.wait_for(|line| !line.silent).await.map_or(0, |line| line.delay);
        Duration::from_millis(delay)
    }

    async fn refused(&self) {
        let _ = self.line.subscribe().wait_for(|line| line.refused).await;
    }

    /// Listens; each connection that comes is served at its other end, with the gate between.
    ///
    /// # Errors
    /// Where no port is to be had.
    pub async fn listen<F>(&self, serve: impl Fn(DuplexStream) -> F + 'static) -> io::Result<SocketAddr>
    where
        F: Future<Output = ()> + 'static,
    {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let (at, gate) = (listener.local_addr()?, self.clone());
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (near, far) = tokio::io::duplex(HELD);
                let (gate, served) = (gate.clone(), spawn_local(serve(far)));
                spawn_local(async move {
                    tokio::select! {
                        () = pass(stream, near, &gate) => {}
                        () = gate.refused() => {}
                    }
                    // Who served may still write to nobody; it ends at its next byte.
                    drop(served);
                });
            }
        });
        Ok(at)
    }
}

async fn pass(stream: TcpStream, near: DuplexStream, gate: &Gate) {
    let _ = stream.set_nodelay(true);
    let (mut from_client, mut to_client) = stream.into_split();
    let (mut from_server, mut to_server) = tokio::io::split(near);
    tokio::join!(
        one_way(&mut from_client, &mut to_server, gate),
        one_way(&mut from_server, &mut to_client, gate)
    );
}

/// Passes bytes one way until they end. What is late does not hold back what comes behind any longer.
async fn one_way(from: &mut (impl AsyncRead + Unpin), to: &mut (impl AsyncWrite + Unpin), gate: &Gate) {
    let (mut buffer, mut held) = (vec![0; 16 << 10], VecDeque::<(Instant, Vec<u8>)>::new());
    let mut ended = false;
    loop {
        let bytes: usize = held.iter().map(|(_, bytes)| bytes.len()).sum();
        let due = held.front().map(|(due, _)| *due);
        tokio::select! {
            read = from.read(&mut buffer), if !ended && bytes < HELD => match read {
                Ok(n) if n > 0 => {
                    let delay = gate.line.borrow().delay;
                    held.push_back((Instant::now() + Duration::from_millis(delay), buffer[..n].to_vec()));
                }
                _ => ended = true,
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                gate.open().await;
                let Some((_, bytes)) = held.pop_front() else { continue };
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            else => {
                gate.open().await;
                let _ = to.shutdown().await;
                return;
            }
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use tokio::time::timeout;

    #[test]
    fn a_gate_holds_slows_and_breaks_what_passes_and_lets_it_pass_again() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let local = tokio::task::LocalSet::new();
        let all = local.run_until(async {
            let gate = Gate::default();
            let echo = |far: DuplexStream| async move {
                let (mut from, mut to) = tokio::io::split(far);
                let _ = tokio::io::copy(&mut from, &mut to).await;
            };
            let at = gate.listen(echo).await.unwrap();
            let mut stream = TcpStream::connect(at).await.unwrap();
            let mut byte = [0];
            let silent = Line { silent: true, ..Line::default() };
            stream.write_all(b"a").await.unwrap();
            assert_eq!((stream.read(&mut byte).await.unwrap(), byte), (1, *b"a"));
            gate.fault(silent, true);
            gate.fault(silent, true);
            stream.write_all(b"b").await.unwrap();
            assert!(timeout(Duration::from_millis(300), stream.read(&mut byte)).await.is_err());
            gate.fault(silent, false);
            assert!(timeout(Duration::from_millis(300), stream.read(&mut byte)).await.is_err(), "one lasts");
            gate.fault(silent, false);
            assert_eq!((stream.read(&mut byte).await.unwrap(), byte), (1, *b"b"));
            gate.fault(Line { delay: 200, ..Line::default() }, true);
            let begun = Instant::now();
            stream.write_all(b"c").await.unwrap();
            assert_eq!(stream.read(&mut byte).await.unwrap(), 1);
            assert!(begun.elapsed() >= Duration::from_millis(400), "200 ms each way");
            gate.fault(Line { refused: true, ..Line::default() }, true);
            assert_eq!(stream.read(&mut byte).await.unwrap_or(0), 0, "it ends");
        });
        runtime.block_on(async { timeout(Duration::from_secs(30), all).await.unwrap() });
    }
}
