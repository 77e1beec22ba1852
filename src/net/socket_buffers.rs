//! The system's buffers for TCP connections. They are memory of this process, although they are not in its address space:
//! without a bound the system lets each grow to megabytes, and keeps what a peer that has stopped does not take. Each
//! connection has small ones; those of long messages are larger as far as a budget allows.

use super::budget::{MemoryBudget, Reservation};
use super::stream::{is_writable, write_buf};
use bytes::Buf;
use socket2::SockRef;
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::os::fd::AsFd;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::Interest;
use tokio::net::tcp::WriteHalf;
use tokio::net::{TcpSocket, TcpStream};

/// Linux reserves this many times the size that a buffer is set to, for its own overhead.
const OVERHEAD_FACTOR: usize = 2;
/// The largest size that a buffer is set to, in bytes.
const MAX_BUFFER_BYTES: usize = 2 << 20;
/// The largest size that a buffer of an answer is set to, in bytes. A client's time does not run out while one is on its
/// way, so it need not be read ahead.
pub const MAX_ANSWER_BUFFER_BYTES: usize = 256 * 1024;
/// The system gives a connection up whose peer has taken none of its bytes for this long, even after it was closed here.
const UNSENT_TIMEOUT: Duration = Duration::from_secs(20);

/// The buffers of all connections on one side of the process. Clones share one budget.
#[derive(Debug, Clone)]
pub struct SocketBuffers {
    /// The size that each buffer of a connection is set to at first, in bytes.
    base_bytes: usize,
    /// What larger buffers may take together.
    budget: MemoryBudget,
}

impl SocketBuffers {
    /// Creates buffers that take up to `max_bytes` in the system each, and more as far as `budget` allows.
    pub fn new(max_bytes: usize, budget: MemoryBudget) -> Self {
        Self { base_bytes: max_bytes / OVERHEAD_FACTOR, budget }
    }

    /// Sets the buffers of a listener, which those of its connections begin with, or of a connection.
    pub fn apply(&self, socket: &impl AsFd) {
        let socket = SockRef::from(socket);
        let _ = socket.set_recv_buffer_size(self.base_bytes);
        let _ = socket.set_send_buffer_size(self.base_bytes);
        let _ = socket.set_tcp_user_timeout(Some(UNSENT_TIMEOUT));
    }

    /// Connects to `to`, with `TCP_NODELAY` set so that small writes are not delayed.
    ///
    /// # Errors
    /// Errors of the system.
    pub async fn connect(&self, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        self.apply(&socket);
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    /// Returns the buffers of a new connection.
    pub fn new_connection(&self) -> ConnectionBuffers {
        let (receive, send) = (self.budget.reserve(), self.budget.reserve());
        ConnectionBuffers {
            shared: self.clone(),
            receive,
            send,
            send_bytes: self.base_bytes,
            unchecked_bytes: Rc::default(),
        }
    }

    /// Returns the buffers of a connection that another process has handed over.
    pub fn adopt(&self, stream: &TcpStream) -> ConnectionBuffers {
        let mut buffers = self.new_connection();
        let received = SockRef::from(stream).recv_buffer_size().unwrap_or(0);
        if received > self.base_bytes * OVERHEAD_FACTOR {
            buffers.receive.hold(received);
        }
        let _ = SockRef::from(stream).set_send_buffer_size(self.base_bytes);
        buffers
    }
}

/// The buffers of one connection.
#[derive(Debug)]
pub struct ConnectionBuffers {
    shared: SocketBuffers,
    /// What the receive buffer takes if it is larger than at first.
    receive: Reservation,
    /// The same of the send buffer.
    send: Reservation,
    /// The size that the send buffer was set to, in bytes.
    send_bytes: usize,
    /// The bytes written since the system was last asked how much of the send buffer is taken.
    unchecked_bytes: Rc<Cell<usize>>,
}

/// Writes to a connection for which the system holds no more than its send buffer is meant for. The system alone appends
/// to its last segment, up to 64 KiB, whatever the buffer's size.
#[derive(Debug)]
pub struct BoundedWriter {
    /// The most bytes that are written at a time, and without asking the system.
    max_bytes: usize,
    unchecked_bytes: Rc<Cell<usize>>,
}

impl BoundedWriter {
    /// Writes some of these bytes, and returns their number.
    pub async fn write(&self, stream: &mut WriteHalf<'_>, bytes: &mut impl Buf) -> io::Result<usize> {
        let step = bytes.remaining().min(self.max_bytes);
        if self.unchecked_bytes.get() + step > self.max_bytes {
            let stream: &TcpStream = (*stream).as_ref();
            stream.async_io(Interest::WRITABLE, || check_writable(stream)).await?;
            self.unchecked_bytes.set(0);
        }
        let written = write_buf(stream, &mut bytes.take(step)).await?;
        self.unchecked_bytes.set(self.unchecked_bytes.get() + written);
        Ok(written)
    }

    /// Writes all of these bytes.
    pub async fn write_all(&self, stream: &mut WriteHalf<'_>, mut bytes: impl Buf) -> io::Result<()> {
        while bytes.has_remaining() {
            if self.write(stream, &mut bytes).await? == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
        }
        Ok(())
    }
}

impl ConnectionBuffers {
    /// Grows the receive buffer for a message of `length` bytes, or of a length that is not known, as far as the budget
    /// allows. It does not shrink again: the peer may send as much as it was told.
    pub fn grow_receive(&mut self, stream: &TcpStream, length: Option<usize>) {
        let socket = SockRef::from(stream);
        if let Some(size) = grown_size(&mut self.receive, self.shared.base_bytes, length)
            && socket.set_recv_buffer_size(size).is_ok()
        {
            self.receive.hold(socket.recv_buffer_size().unwrap_or(size * OVERHEAD_FACTOR));
        }
    }

    /// Grows the send buffer for a message of `length` bytes, or of a length that is not known, as far as the budget
    /// allows.
    pub fn grow_send(&mut self, stream: &TcpStream, length: Option<usize>) {
        let socket = SockRef::from(stream);
        if let Some(size) = grown_size(&mut self.send, self.shared.base_bytes, length)
            && socket.set_send_buffer_size(size).is_ok()
        {
            self.send.hold(socket.send_buffer_size().unwrap_or(size * OVERHEAD_FACTOR));
            self.send_bytes = self.send.bytes() / OVERHEAD_FACTOR;
        }
    }

    /// Shrinks the send buffer to its first size if little is left for others, and the peer has taken what it held.
    pub fn shrink_send(&mut self, stream: &TcpStream) {
        if self.send.bytes() == 0 || !self.send.budget().is_half_taken() {
            return;
        }
        let socket = SockRef::from(stream);
        if socket.set_send_buffer_size(self.shared.base_bytes).is_ok() && is_writable(stream) {
            self.send.hold(0);
            self.send_bytes = self.shared.base_bytes;
        } else {
            let _ = socket.set_send_buffer_size(self.send_bytes);
        }
    }

    /// Returns the size of the receive buffer in bytes, with the system's own overhead.
    pub fn receive_bytes(&self) -> usize {
        self.receive.bytes().max(self.shared.base_bytes * OVERHEAD_FACTOR)
    }

    /// Returns a writer for the send buffer as it is.
    pub fn writer(&self) -> BoundedWriter {
        BoundedWriter { max_bytes: self.send_bytes, unchecked_bytes: self.unchecked_bytes.clone() }
    }

    /// Returns whether this connection should not be kept for a further message: its receive buffer is large, and little
    /// is left for others.
    pub fn is_scarce(&self) -> bool {
        self.receive.bytes() > 0 && self.receive.budget().is_half_taken()
    }
}

/// Returns the size to set a buffer to for a message of `length` bytes, which `reservation` then pays for; `None` if it
/// is to stay as it is.
fn grown_size(reservation: &mut Reservation, base_bytes: usize, length: Option<usize>) -> Option<usize> {
    let wanted = length.unwrap_or(MAX_BUFFER_BYTES).min(MAX_BUFFER_BYTES);
    let held = reservation.bytes();
    if wanted <= base_bytes || wanted * OVERHEAD_FACTOR <= held {
        return None;
    }
    let granted = reservation.grow_within_share(wanted * OVERHEAD_FACTOR);
    if granted <= base_bytes * OVERHEAD_FACTOR || granted == held {
        reservation.hold(held);
        return None;
    }
    Some(granted / OVERHEAD_FACTOR)
}

/// Fails with [`WouldBlock`](io::ErrorKind::WouldBlock) unless the system takes more bytes.
fn check_writable(stream: &TcpStream) -> io::Result<()> {
    if is_writable(stream) { Ok(()) } else { Err(io::ErrorKind::WouldBlock.into()) }
}
