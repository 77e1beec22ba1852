//! The byte stream of a caller's connection, which reads a limited number of bytes a turn, so that a caller that floods
//! its connection neither blocks the thread nor makes this process decode much before what it holds is counted.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, Waker};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection that has sent nothing for this long since it opened is closed. Prevents silent callers from
/// using up the connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The most bytes that are read of a connection in one turn of its task.
const TURN_BYTES: usize = 4 * 1024;

/// The state of a connection's byte stream that its task and its checks look at.
#[derive(Debug)]
pub(super) struct IoState {
    /// The bytes that may still be read in this turn.
    turn_bytes: Cell<usize>,
    /// When bytes were last received.
    received_at: Cell<Instant>,
    /// Whether the caller's system takes no more bytes.
    is_write_blocked: Cell<bool>,
    /// Checks that wait until it does.
    writers: RefCell<Vec<Waker>>,
}

impl IoState {
    pub(super) fn new() -> Rc<Self> {
        Rc::new(Self {
            turn_bytes: Cell::new(TURN_BYTES),
            received_at: Cell::new(Instant::now()),
            is_write_blocked: Cell::default(),
            writers: RefCell::default(),
        })
    }

    /// Begins a turn of the connection's task.
    pub(super) fn begin_turn(&self) {
        self.turn_bytes.set(TURN_BYTES);
    }

    /// Returns the time since bytes were last received.
    pub(super) fn silence(&self) -> Duration {
        self.received_at.get().elapsed()
    }

    /// Waits until the caller's system takes bytes. Prevents answers that are not read from piling up behind others.
    pub(super) fn poll_writable(&self, cx: &Context<'_>) -> Poll<()> {
        if !self.is_write_blocked.get() {
            return Poll::Ready(());
        }
        self.writers.borrow_mut().push(cx.waker().clone());
        Poll::Pending
    }

    fn set_write_blocked(&self, is_blocked: bool) {
        if self.is_write_blocked.replace(is_blocked) && !is_blocked {
            self.writers.borrow_mut().drain(..).for_each(Waker::wake);
        }
    }
}

/// The byte stream of a caller's connection.
pub(super) struct CallerIo {
    stream: TcpStream,
    state: Rc<IoState>,
    /// Fails the connection when it expires. `None` once the caller has sent something.
    first_byte_timeout: Option<Pin<Box<tokio::time::Sleep>>>,
}

impl CallerIo {
    pub(super) fn new(stream: TcpStream, state: Rc<IoState>) -> Self {
        let first_byte_timeout = Some(Box::pin(tokio::time::sleep(FIRST_BYTE_TIMEOUT)));
        Self { stream, state, first_byte_timeout }
    }

    /// Reads what the turn allows.
    fn poll_turn(&mut self, cx: &mut Context<'_>, buffer: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let max_bytes = self.state.turn_bytes.get().min(buffer.remaining());
        if max_bytes == 0 {
            // The next turn comes after those of all other tasks.
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut part = ReadBuf::new(buffer.initialize_unfilled_to(max_bytes));
        std::task::ready!(Pin::new(&mut self.stream).poll_read(cx, &mut part))?;
        let received = part.filled().len();
        buffer.advance(received);
        self.state.turn_bytes.set(self.state.turn_bytes.get() - received);
        self.state.received_at.set(Instant::now());
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = self.poll_turn(cx, buffer);
        if read.is_ready() {
            self.first_byte_timeout = None;
        }
        match self.first_byte_timeout.as_mut().map(|timeout| timeout.as_mut().poll(cx)) {
            Some(Poll::Ready(())) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            _ => read,
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.state.set_write_blocked(written.is_pending());
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, slices);
        self.state.set_write_blocked(written.is_pending());
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
