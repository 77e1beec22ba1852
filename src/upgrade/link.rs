//! The link between two processes: frames and file descriptors over a Unix socket.

use super::frame::{Frame, take_frame};
use bytes::BytesMut;
use rustix::net::{
    RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer, SendAncillaryMessage,
    SendFlags, recvmsg, sendmsg,
};
use std::collections::VecDeque;
use std::io::{self, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::os::fd::{AsFd, OwnedFd};
use std::rc::Rc;
use tokio::io::Interest;
use tokio::net::UnixStream;

/// The maximum number of descriptors that accompany a frame.
const MAX_DESCRIPTORS: usize = 2;

/// A frame with the file descriptors that accompany it.
#[derive(Debug)]
pub struct Message {
    /// The frame.
    pub frame: Frame,
    /// The descriptors, as many as [`Frame`] requires.
    pub descriptors: Vec<OwnedFd>,
}

impl From<Frame> for Message {
    /// A frame without descriptors.
    fn from(frame: Frame) -> Self {
        Self { frame, descriptors: Vec::new() }
    }
}

/// The reading end of the link to the other process.
#[derive(Debug)]
pub struct Reader {
    stream: Rc<UnixStream>,
    buffer: BytesMut,
    descriptors: VecDeque<OwnedFd>,
}

/// The writing end of the link to the other process.
#[derive(Debug)]
pub struct Writer(Rc<UnixStream>);

/// Splits a connection to the other process into its reading and writing ends.
pub fn link(stream: UnixStream) -> (Reader, Writer) {
    let stream = Rc::new(stream);
    let reader = Reader { stream: stream.clone(), buffer: BytesMut::new(), descriptors: VecDeque::new() };
    (reader, Writer(stream))
}

impl Reader {
    /// Reads the next message. Returns `None` once the other process has closed the link.
    ///
    /// # Errors
    /// Errors of the socket, and an error if the bytes are not a frame or a descriptor is missing.
    pub async fn next(&mut self) -> io::Result<Option<Message>> {
        loop {
            if let Some(frame) = take_frame(&mut self.buffer).map_err(io::Error::other)? {
                let n = frame.descriptors();
                if self.descriptors.len() < n {
                    return Err(io::Error::other("a descriptor is missing"));
                }
                let descriptors = self.descriptors.drain(..n).collect();
                return Ok(Some(Message { frame, descriptors }));
            }
            let (buffer, descriptors) = (&mut self.buffer, &mut self.descriptors);
            let read = || receive(&self.stream, buffer, descriptors);
            if self.stream.async_io(Interest::READABLE, read).await? == 0 {
                return Ok(None);
            }
        }
    }
}

/// Appends the bytes and the descriptors that have arrived, and returns the number of bytes.
fn receive(
    stream: &UnixStream,
    buffer: &mut BytesMut,
    descriptors: &mut VecDeque<OwnedFd>,
) -> io::Result<usize> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut piece = [0; 16 * 1024];
    let flags = RecvFlags::CMSG_CLOEXEC | RecvFlags::DONTWAIT;
    let read = recvmsg(stream, &mut [IoSliceMut::new(&mut piece)], &mut control, flags)?.bytes;
    for message in control.drain() {
        if let RecvAncillaryMessage::ScmRights(received) = message {
            descriptors.extend(received);
        }
    }
    buffer.extend_from_slice(&piece[..read]);
    Ok(read)
}

impl Writer {
    /// Writes a message. The caller keeps its own copies of the descriptors, and closes them.
    ///
    /// # Errors
    /// Errors of the socket.
    pub async fn write(&mut self, message: &Message) -> io::Result<()> {
        let bytes = message.frame.bytes();
        let mut written = 0;
        if !message.descriptors.is_empty() {
            let all: Vec<_> = message.descriptors.iter().map(AsFd::as_fd).collect();
            let send = || {
                let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(MAX_DESCRIPTORS))];
                let mut control = SendAncillaryBuffer::new(&mut space);
                if !control.push(SendAncillaryMessage::ScmRights(&all)) {
                    return Err(io::Error::other("too many descriptors"));
                }
                let flags = SendFlags::NOSIGNAL | SendFlags::DONTWAIT;
                Ok(sendmsg(&*self.0, &[IoSlice::new(&bytes)], &mut control, flags)?)
            };
            written = self.0.async_io(Interest::WRITABLE, send).await?;
        }
        while written < bytes.len() {
            self.0.writable().await?;
            match self.0.try_write(&bytes[written..]) {
                Ok(n) => written += n,
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }
}
