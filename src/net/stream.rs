//! Small helpers for TCP streams.

use bytes::BytesMut;
use std::io;
use std::net::SocketAddr;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// Connects without delaying small writes.
pub async fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Reads what has come into the buffer; false at the end of the stream.
pub async fn read_more(stream: &mut (impl AsyncReadExt + Unpin), buffer: &mut BytesMut) -> io::Result<bool> {
    buffer.reserve(2048);
    Ok(stream.read_buf(buffer).await? > 0)
}
