//! Messages between ingresses: UDP datagrams, late or lost, of 256 bytes at most.

use crate::interface::{GatewayId, MESSAGE_BYTES};
use slog::{Logger, debug};
use std::io;
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

/// The way to the peers and from them.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    log: Logger,
}

impl Peers {
    /// Listens for the peers; their addresses stand in the order of their numbers.
    pub async fn listen(at: SocketAddr, addresses: Vec<SocketAddr>, log: Logger) -> io::Result<Self> {
        Ok(Self { socket: UdpSocket::bind(at).await?, addresses, log })
    }

    /// Sends what the engine wants sent and tells what peers say, until there is nothing more to send.
    pub async fn run(
        self,
        mut mail: mpsc::UnboundedReceiver<(GatewayId, Vec<u8>)>,
        mut tell: impl FnMut(GatewayId, Vec<u8>),
    ) {
        // One byte more than is allowed shows a datagram that is too long.
        let mut buffer = [0; MESSAGE_BYTES + 1];
        loop {
            tokio::select! {
                outgoing = mail.recv() => match outgoing {
                    Some((to, bytes)) => self.send(to, &bytes).await,
                    None => return,
                },
                incoming = self.socket.recv_from(&mut buffer) => {
                    if let Some((from, bytes)) = incoming.ok().and_then(|(n, at)| self.accept(at, &buffer[..n])) {
                        tell(from, bytes);
                    }
                }
            }
        }
    }

    async fn send(&self, to: GatewayId, bytes: &[u8]) {
        // A longer datagram would break the platform's rules: it is dropped, as the network may drop any.
        let Some(at) = self.addresses.get(usize::from(to.0)).filter(|_| bytes.len() <= MESSAGE_BYTES) else {
            return;
        };
        if let Err(e) = self.socket.send_to(bytes, at).await {
            debug!(self.log, "message to a peer not sent"; "peer" => to.0, "error" => %e);
        }
    }

    /// Only peers are heard, and only by their own addresses.
    fn accept(&self, at: SocketAddr, bytes: &[u8]) -> Option<(GatewayId, Vec<u8>)> {
        let from = self.addresses.iter().position(|known| *known == at)?;
        let from = GatewayId(u16::try_from(from).ok()?);
        (bytes.len() <= MESSAGE_BYTES).then(|| (from, bytes.to_vec()))
    }
}
