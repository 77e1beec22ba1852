//! TCP proxies in front of the stand-ins. Each ingress reaches each stand-in at an address of its own, so
//! that connections of one ingress can be stalled, delayed or reset without touching those of the others.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep_until};

/// The most that a connection usually buffers in each direction, in bytes; a full buffer blocks the sender.
const MAX_BUFFERED_BYTES: usize = 64 << 10;
/// The number of connections that may wait to be accepted.
const BACKLOG: u32 = 1024;

/// What a proxy does to its connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct Impairment {
    /// No bytes pass. Open connections stay open, and new ones are accepted but get no answer.
    pub silent: bool,
    /// Open and new connections are closed.
    pub refused: bool,
    /// The delay that is added to each byte, in milliseconds each way.
    pub delay_ms: u64,
}

/// A TCP proxy that can be impaired. Faults that are active at the same time add up.
#[derive(Debug, Clone)]
pub struct FaultProxy {
    /// The sum of all active faults.
    impairment: watch::Sender<Impairment>,
    active_faults: Rc<RefCell<Vec<Impairment>>>,
    /// What the system and the proxy each hold of a connection in each direction, in bytes; the system's own choice and
    /// `MAX_BUFFERED_BYTES` if `None`.
    buffer_bytes: Option<u32>,
}

impl Default for FaultProxy {
    fn default() -> Self {
        Self {
            impairment: watch::Sender::new(Impairment::default()),
            active_faults: Rc::default(),
            buffer_bytes: None,
        }
    }
}

impl FaultProxy {
    /// Creates a proxy that holds little of a connection, so that a slow stand-in soon blocks the sender.
    pub fn with_buffers(buffer_bytes: Option<u32>) -> Self {
        Self { buffer_bytes, ..Self::default() }
    }

    /// Returns the most that the proxy holds of a connection in each direction, in bytes.
    fn max_buffered_bytes(&self) -> usize {
        self.buffer_bytes.map_or(MAX_BUFFERED_BYTES, |bytes| bytes as usize)
    }

    /// Binds a listener whose connections have buffers of the size that is set.
    fn bind(&self) -> io::Result<TcpListener> {
        let socket = TcpSocket::new_v4()?;
        if let Some(bytes) = self.buffer_bytes {
            socket.set_recv_buffer_size(bytes)?;
        }
        socket.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))?;
        socket.listen(BACKLOG)
    }

    /// Adds a fault, or removes one that equals it. A fault that was added twice lasts until it is removed
    /// twice.
    pub fn set_fault(&self, fault: Impairment, active: bool) {
        let mut faults = self.active_faults.borrow_mut();
        match faults.iter().position(|f| *f == fault).filter(|_| !active) {
            Some(index) => drop(faults.swap_remove(index)),
            None if active => faults.push(fault),
            None => {}
        }
        let impairment = faults.iter().fold(Impairment::default(), |sum, f| Impairment {
            silent: sum.silent || f.silent,
            refused: sum.refused || f.refused,
            delay_ms: sum.delay_ms + f.delay_ms,
        });
        self.impairment.send_replace(impairment);
    }

    /// Waits until bytes pass, and returns the delay that they have then.
    pub async fn wait_open(&self) -> Duration {
        let mut impairment = self.impairment.subscribe();
        let delay = impairment.wait_for(|now| !now.silent).await.map_or(0, |now| now.delay_ms);
        Duration::from_millis(delay)
    }

    async fn wait_refused(&self) {
        let _ = self.impairment.subscribe().wait_for(|now| now.refused).await;
    }

    /// Listens on a free port of 127.0.0.1 and returns its address. `serve` is called for each connection,
    /// with the stand-in's end of the proxied stream.
    ///
    /// # Errors
    /// The operating system's error if no port can be bound.
    pub async fn listen<F>(&self, serve: impl Fn(DuplexStream) -> F + 'static) -> io::Result<SocketAddr>
    where
        F: Future<Output = ()> + 'static,
    {
        let listener = self.bind()?;
        let (address, proxy) = (listener.local_addr()?, self.clone());
        spawn_local(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else { continue };
                let (near, far) = tokio::io::duplex(proxy.max_buffered_bytes());
                let (proxy, server) = (proxy.clone(), spawn_local(serve(far)));
                spawn_local(async move {
                    tokio::select! {
                        () = pass(stream, near, &proxy) => {}
                        () = proxy.wait_refused() => {}
                    }
                    // Detaches the serving task; it ends at its next read or write.
                    drop(server);
                });
            }
        });
        Ok(address)
    }
}

/// Passes bytes in both directions until both have ended.
async fn pass(stream: TcpStream, near: DuplexStream, proxy: &FaultProxy) {
    let _ = stream.set_nodelay(true);
    let (mut from_client, mut to_client) = stream.into_split();
    let (mut from_server, mut to_server) = tokio::io::split(near);
    tokio::join!(
        pass_one_way(&mut from_client, &mut to_server, proxy),
        pass_one_way(&mut from_server, &mut to_client, proxy)
    );
}

/// Passes bytes in one direction until end of file or a failed write. Every chunk is due a fixed delay after
/// it was read, so delays of successive chunks do not add up.
async fn pass_one_way(
    from: &mut (impl AsyncRead + Unpin),
    to: &mut (impl AsyncWrite + Unpin),
    proxy: &FaultProxy,
) {
    let (mut buffer, mut queue) = (vec![0; 16 << 10], VecDeque::<(Instant, Vec<u8>)>::new());
    let mut ended = false;
    loop {
        let queued: usize = queue.iter().map(|(_, bytes)| bytes.len()).sum();
        let due = queue.front().map(|(due, _)| *due);
        tokio::select! {
            read = from.read(&mut buffer), if !ended && queued < proxy.max_buffered_bytes() => match read {
                Ok(n) if n > 0 => {
                    let delay = proxy.impairment.borrow().delay_ms;
                    queue.push_back((Instant::now() + Duration::from_millis(delay), buffer[..n].to_vec()));
                }
                _ => ended = true,
            },
            () = sleep_until(due.unwrap_or_else(Instant::now)), if due.is_some() => {
                proxy.wait_open().await;
                let Some((_, bytes)) = queue.pop_front() else { continue };
                if to.write_all(&bytes).await.is_err() {
                    return;
                }
            }
            else => {
                proxy.wait_open().await;
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
    fn proxy_stalls_delays_and_closes_connections_and_resumes_them() {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
        let local = tokio::task::LocalSet::new();
        let test = local.run_until(async {
            let proxy = FaultProxy::default();
            let echo = |far: DuplexStream| async move {
                let (mut from, mut to) = tokio::io::split(far);
                let _ = tokio::io::copy(&mut from, &mut to).await;
            };
            let address = proxy.listen(echo).await.unwrap();
            let mut stream = TcpStream::connect(address).await.unwrap();
            let mut byte = [0];
            let silent = Impairment { silent: true, ..Impairment::default() };
            stream.write_all(b"a").await.unwrap();
            assert_eq!((stream.read(&mut byte).await.unwrap(), byte), (1, *b"a"));
            proxy.set_fault(silent, true);
            proxy.set_fault(silent, true);
            stream.write_all(b"b").await.unwrap();
            assert!(timeout(Duration::from_millis(300), stream.read(&mut byte)).await.is_err());
            proxy.set_fault(silent, false);
            assert!(
                timeout(Duration::from_millis(300), stream.read(&mut byte)).await.is_err(),
                "one of two equal faults is still active"
            );
            proxy.set_fault(silent, false);
            assert_eq!((stream.read(&mut byte).await.unwrap(), byte), (1, *b"b"));
            proxy.set_fault(Impairment { delay_ms: 200, ..Impairment::default() }, true);
            let start = Instant::now();
            stream.write_all(b"c").await.unwrap();
            assert_eq!(stream.read(&mut byte).await.unwrap(), 1);
            assert!(start.elapsed() >= Duration::from_millis(400), "200 ms each way");
            proxy.set_fault(Impairment { refused: true, ..Impairment::default() }, true);
            assert_eq!(stream.read(&mut byte).await.unwrap_or(0), 0, "the connection is closed");
        });
        runtime.block_on(async { timeout(Duration::from_secs(30), test).await.unwrap() });
    }
}
