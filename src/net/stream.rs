//! Helpers for TCP streams, and an address that a reload of the configuration may change.

use crate::config::ReloadableConfig;
use crate::net::budget::Reservation;
use bytes::{Buf, BufMut, BytesMut};
use rustix::event::{PollFd, PollFlags, Timespec, poll};
use rustix::io::Errno;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// The least buffer space that one read reserves, in bytes.
const MIN_READ_BYTES: usize = 2048;
/// The most buffer space that one read reserves, in bytes.
const MAX_READ_BYTES: usize = 32 * 1024;

/// Connects to `to` with `TCP_NODELAY` set, so that small writes are not delayed.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads into a buffer. A read that a signal interrupts is tried again.
pub async fn read_buf(
    stream: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut impl BufMut,
) -> io::Result<usize> {
    loop {
        match stream.read_buf(buffer).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            read => return read,
        }
    }
}

/// Writes some bytes of a buffer. A write that a signal interrupts is tried again.
pub async fn write_buf(stream: &mut (impl AsyncWriteExt + Unpin), bytes: &mut impl Buf) -> io::Result<usize> {
    loop {
        match stream.write_buf(bytes).await {
            Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
            written => return written,
        }
    }
}

/// Appends the bytes that are available to `buffer`. Returns `false` at the end of the stream.
pub async fn read_more(stream: &mut (impl AsyncReadExt + Unpin), buffer: &mut BytesMut) -> io::Result<bool> {
    // The reads grow with the message, as an incomplete message is parsed again after each of them.
    buffer.reserve(buffer.len().clamp(MIN_READ_BYTES, MAX_READ_BYTES));
    Ok(read_buf(stream, buffer).await? > 0)
}

/// Appends the bytes that are available to `buffer`, which grows by doubling; `reservation` pays for its capacity and
/// for `besides` other bytes. Returns `false` at the end of the stream, and `None` if the memory is not granted.
pub async fn read_reserved(
    stream: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut BytesMut,
    reservation: &mut Reservation,
    besides: usize,
) -> Option<io::Result<bool>> {
    if buffer.len() == buffer.capacity() {
        let capacity = buffer.len() + buffer.len().clamp(MIN_READ_BYTES, MAX_READ_BYTES);
        if !reservation.try_resize(capacity + besides) {
            return None;
        }
        reallocate(buffer, capacity);
    }
    Some(read_buf(stream, buffer).await.map(|n| n > 0))
}

/// Moves the content of a buffer to an allocation of this capacity in bytes, or of its length if that is more. A buffer
/// that was split would otherwise keep the whole allocation that it was split from.
pub fn reallocate(buffer: &mut BytesMut, capacity: usize) {
    let content = std::mem::take(buffer);
    if capacity > 0 || !content.is_empty() {
        *buffer = BytesMut::with_capacity(capacity.max(content.len()));
        buffer.extend_from_slice(&content);
    }
}

/// Reads up to `max_bytes` of the bytes that are available into an allocation of that size, behind what `buffer` holds.
/// Returns their number, which is 0 at the end of the stream.
pub async fn read_piece(
    stream: &mut (impl AsyncReadExt + Unpin),
    buffer: &mut BytesMut,
    max_bytes: usize,
) -> io::Result<usize> {
    let capacity = buffer.len() + max_bytes;
    reallocate(buffer, capacity);
    read_buf(stream, &mut (&mut *buffer).limit(max_bytes)).await
}

/// Returns whether an error of a connect means that this machine is short of something, such as descriptors or ports.
pub fn is_local_shortage(error: &io::Error) -> bool {
    let shortages = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM, Errno::ADDRNOTAVAIL];
    Errno::from_io_error(error).is_some_and(|errno| shortages.contains(&errno))
}

/// Returns whether received bytes are unread. Asks the system, as the runtime may not have seen them yet.
pub fn has_unread_bytes(stream: &TcpStream) -> bool {
    SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]).is_ok_and(|n| n > 0)
}

/// Returns the number of received bytes that are unread.
pub fn unread_bytes(stream: &TcpStream) -> usize {
    rustix::io::ioctl_fionread(stream).map_or(0, |bytes| usize::try_from(bytes).unwrap_or(0))
}

/// Returns whether the peer has closed the connection, even if unread bytes precede that. Asks the system, as the runtime
/// may not have seen it yet.
pub fn is_read_closed(stream: &TcpStream) -> bool {
    is_ready(stream, PollFlags::RDHUP)
}

/// Returns whether the system takes more bytes, or fails a write at once: it takes none while the send buffer is over two
/// thirds full. Asks the system, which tells the runtime once that has changed.
pub fn is_writable(stream: &TcpStream) -> bool {
    is_ready(stream, PollFlags::OUT)
}

/// Returns whether the connection is ready in this respect now, or has failed.
fn is_ready(stream: &TcpStream, respect: PollFlags) -> bool {
    let mut polled = [PollFd::new(stream, respect)];
    let ready = respect | PollFlags::HUP | PollFlags::ERR;
    poll(&mut polled, Some(&Timespec::default())).is_ok() && polled[0].revents().intersects(ready)
}

/// Returns whether the peer has closed the connection, or it has failed, and no unread bytes precede that.
/// Asks the system, as the runtime may not have seen it yet.
pub fn is_closed(stream: &TcpStream) -> bool {
    match SockRef::from(stream).peek(&mut [MaybeUninit::uninit()]) {
        Ok(n) => n == 0,
        Err(e) => !matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted),
    }
}

/// An address that a reload of the configuration may change.
#[derive(Debug, Clone)]
pub struct ReloadableAddress {
    ways: watch::Receiver<ReloadableConfig>,
    select: fn(&ReloadableConfig) -> Option<SocketAddr>,
    initial: SocketAddr,
}

impl ReloadableAddress {
    /// Creates an address that `select` picks from the current configuration. While that returns `None`, the
    /// address is `initial`.
    pub fn new(
        ways: &watch::Receiver<ReloadableConfig>,
        initial: SocketAddr,
        select: fn(&ReloadableConfig) -> Option<SocketAddr>,
    ) -> Self {
        Self { ways: ways.clone(), select, initial }
    }

    /// Returns the current address.
    pub fn current(&self) -> SocketAddr {
        (self.select)(&self.ways.borrow()).unwrap_or(self.initial)
    }

    /// Waits until the address is no longer `at`. Never resolves once no configuration can be loaded any
    /// more.
    pub async fn changed_from(&self, at: SocketAddr) {
        let (select, initial, mut ways) = (self.select, self.initial, self.ways.clone());
        if ways.wait_for(|ways| select(ways).unwrap_or(initial) != at).await.is_err() {
            std::future::pending().await
        }
    }
}

#[cfg(test)]
mod tests;
