//! Small helpers for TCP streams.

use crate::config::ReloadableConfig;
use bytes::BytesMut;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Connects without delaying small writes.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads what has come into the buffer; false at the end of the stream.
pub async fn read_more(stream: &mut (impl AsyncReadExt + Unpin), buffer: &mut BytesMut) -> io::Result<bool> {
    // A message that goes on is read in growing pieces: it is looked at again for each.
    buffer.reserve(buffer.len().clamp(2048, 32 * 1024));
    Ok(stream.read_buf(buffer).await? > 0)
}

/// Whether bytes have come that nobody has read, asked of the system itself.
pub fn came(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|n| n > 0)
}

/// Whether a connection is over and nothing unread is ahead of its end, asked of the system itself.
pub fn ended(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) => n == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// An address that a new configuration may move.
#[derive(Debug, Clone)]
pub struct Way {
    ways: watch::Receiver<ReloadableConfig>,
    pick: fn(&ReloadableConfig) -> Option<SocketAddr>,
    first: SocketAddr,
}

impl Way {
    /// The address that `pick` picks; a configuration without one leaves it at `first`.
    pub fn new(
        ways: &watch::Receiver<ReloadableConfig>,
        first: SocketAddr,
        pick: fn(&ReloadableConfig) -> Option<SocketAddr>,
    ) -> Self {
        Self { ways: ways.clone(), pick, first }
    }

    /// Where it is now.
    pub fn now(&self) -> SocketAddr {
        (self.pick)(&self.ways.borrow()).unwrap_or(self.first)
    }

    /// Resolves once it is elsewhere; never where no new configuration can come any more.
    pub async fn moved_from(&self, at: SocketAddr) {
        let (pick, first, mut ways) = (self.pick, self.first, self.ways.clone());
        if ways.wait_for(|ways| pick(ways).unwrap_or(first) != at).await.is_err() {
            std::future::pending().await
        }
    }
}
