//! Messages between ingresses: UDP datagrams, late or lost, of 256 bytes at most.

use super::server_side::Role;
use crate::interface::{IngressId, MAX_PEER_MESSAGE_BYTES};
use slog::{Logger, debug};
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// The way to the peers and from them.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    addresses: Vec<SocketAddr>,
    /// Of two processes only the one that decides hears and speaks.
    role: watch::Receiver<Role>,
    log: Logger,
}

impl Peers {
    /// Hears the peers on a socket; their addresses stand in the order of their numbers.
    pub fn new(
        socket: UdpSocket,
        addresses: Vec<SocketAddr>,
        role: watch::Receiver<Role>,
        log: Logger,
    ) -> Self {
        Self { socket, addresses, role, log }
    }

    /// Sends what the engine wants sent and tells what peers say, until there is nothing more to send.
    pub async fn run(
        mut self,
        mut mail: mpsc::UnboundedReceiver<(IngressId, Vec<u8>)>,
        mut tell: impl FnMut(IngressId, Vec<u8>),
    ) {
        // One byte more than is allowed shows a datagram that is too long.
        let mut buffer = [0; MAX_PEER_MESSAGE_BYTES + 1];
        loop {
            let active = *self.role.borrow_and_update() == Role::Active;
            tokio::select! {
                outgoing = mail.recv() => match outgoing {
                    Some((to, bytes)) if active => self.send(to, &bytes).await,
                    Some(_) => {}
                    None => return,
                },
                Ok(()) = self.role.changed() => {}
                incoming = self.socket.recv_from(&mut buffer), if active => {
                    if let Some((from, bytes)) = incoming.ok().and_then(|(n, at)| self.accept(at, &buffer[..n])) {
                        tell(from, bytes);
                    }
                }
            }
        }
    }

    async fn send(&self, to: IngressId, bytes: &[u8]) {
        // A longer datagram would break the platform's rules: it is dropped, as the network may drop any.
        let Some(at) =
            self.addresses.get(usize::from(to.0)).filter(|_| bytes.len() <= MAX_PEER_MESSAGE_BYTES)
        else {
            return;
        };
        if let Err(e) = self.socket.send_to(bytes, at).await {
            debug!(self.log, "message to a peer not sent"; "peer" => to.0, "error" => %e);
        }
    }

    /// Only peers are heard, and only by their own addresses.
    fn accept(&self, at: SocketAddr, bytes: &[u8]) -> Option<(IngressId, Vec<u8>)> {
        let from = self.addresses.iter().position(|known| *known == at)?;
        let from = IngressId(u16::try_from(from).ok()?);
        (bytes.len() <= MAX_PEER_MESSAGE_BYTES).then(|| (from, bytes.to_vec()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn only_peers_are_heard_and_only_by_short_datagrams() {
        let [a, b, stranger] = [(); 3].map(|()| std::net::UdpSocket::bind("127.0.0.1:0").unwrap());
        let at = |socket: &std::net::UdpSocket| socket.local_addr().unwrap();
        let addresses = vec![at(&a), at(&b)];
        let log = Logger::root(slog::Discard, slog::o!());
        let socket = |socket: std::net::UdpSocket| {
            socket.set_nonblocking(true).unwrap();
            UdpSocket::from_std(socket).unwrap()
        };
        let to = addresses[0];
        stranger.send_to(b"odd", to).unwrap();
        b.send_to(&[7; MAX_PEER_MESSAGE_BYTES + 1], to).unwrap();
        b.send_to(&[8; MAX_PEER_MESSAGE_BYTES], to).unwrap();
        let (a, b) = (socket(a), socket(b));
        let (mail, sent) = mpsc::unbounded_channel();
        mail.send((IngressId(1), vec![9; MAX_PEER_MESSAGE_BYTES + 1])).unwrap();
        mail.send((IngressId(5), vec![9])).unwrap();
        mail.send((IngressId(1), vec![1, 2])).unwrap();
        let (heard, mut hears) = mpsc::unbounded_channel();
        let (_role, role) = watch::channel(Role::Active);
        let peers = Peers::new(a, addresses, role, log);
        let running = tokio::spawn(peers.run(sent, move |from, bytes| drop(heard.send((from, bytes)))));
        assert_eq!(hears.recv().await.unwrap(), (IngressId(1), vec![8; MAX_PEER_MESSAGE_BYTES]));
        let mut buffer = [0; 2 * MAX_PEER_MESSAGE_BYTES];
        assert_eq!(
            b.recv(&mut buffer).await.unwrap(),
            2,
            "too long a message is not sent, nor one to nobody"
        );
        drop(mail);
        running.await.unwrap();
        assert!(hears.recv().await.is_none());
    }
}
