//! A stand-in for a backend that cannot be connected to because its backlog is full.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A backend whose backlog is full: connections to it are not established until the backlog is emptied.
pub struct FullBacklog {
    /// The listening socket, with a backlog of 0.
    pub listener: TcpListener,
    /// The connections that fill the backlog.
    pub fill: Vec<TcpStream>,
}

impl FullBacklog {
    /// Listens on loopback and fills the backlog.
    pub async fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let mut full = Self { listener: TcpListener::from_std(socket.into()).unwrap(), fill: Vec::new() };
        full.fill_up().await;
        full
    }

    /// The address of the listening socket.
    pub fn at(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    /// Fills the backlog again, after a connection was accepted.
    pub async fn fill_up(&mut self) {
        self.fill.push(TcpStream::connect(self.at()).await.unwrap());
        // The queue of a backlog of 0 holds one connection; a second one must not be established.
        let second = TcpStream::connect(self.at());
        let connected = tokio::time::timeout(Duration::from_millis(50), second).await;
        assert!(connected.is_err(), "its backlog is full");
    }

    /// Empties the backlog, accepts connections until none has come for 2.5 s, and returns all that they sent as text.
    pub async fn accept_and_read_text(self) -> String {
        String::from_utf8(self.accept_and_read_bytes().await).unwrap()
    }

    /// Does the same as [`Self::accept_and_read_text`] where the bytes may not be UTF-8.
    pub async fn accept_and_read_bytes(self) -> Vec<u8> {
        drop(self.fill);
        let mut received = Vec::new();
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_millis(2500), self.listener.accept()).await
        {
            let read = stream.read_to_end(&mut received);
            let _ = tokio::time::timeout(Duration::from_millis(500), read).await;
        }
        received
    }
}
