//! A real server that has no room for connections for a while.

use socket2::{Domain, Socket, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream};

/// A real server whose backlog is full: connections to it do not come up until it is emptied.
pub struct FullBacklog {
    pub listener: TcpListener,
    pub fill: Vec<TcpStream>,
}

impl FullBacklog {
    pub async fn new() -> Self {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
        socket.bind(&"127.0.0.1:0".parse::<SocketAddr>().unwrap().into()).unwrap();
        socket.listen(0).unwrap();
        socket.set_nonblocking(true).unwrap();
        let mut full = Self { listener: TcpListener::from_std(socket.into()).unwrap(), fill: Vec::new() };
        full.fill_up().await;
        full
    }

    pub fn at(&self) -> SocketAddr {
        self.listener.local_addr().unwrap()
    }

    pub async fn fill_up(&mut self) {
        self.fill.push(TcpStream::connect(self.at()).await.unwrap());
        // The queue of a backlog of none holds one: another one must not come up.
        let another = TcpStream::connect(self.at());
        let came = tokio::time::timeout(Duration::from_millis(50), another).await;
        assert!(came.is_err(), "its backlog is full");
    }

    /// Takes in all that come until nobody has for some time, and returns what they say to the end.
    pub async fn accept_and_read_text(self) -> String {
        String::from_utf8(self.accept_and_read_bytes().await).unwrap()
    }

    /// The same where it is no text.
    pub async fn accept_and_read_bytes(self) -> Vec<u8> {
        drop(self.fill);
        let mut said = Vec::new();
        while let Ok(Ok((mut stream, _))) =
            tokio::time::timeout(Duration::from_millis(2500), self.listener.accept()).await
        {
            let read = stream.read_to_end(&mut said);
            let _ = tokio::time::timeout(Duration::from_millis(500), read).await;
        }
        said
    }
}
