//! Messages between ingresses: UDP datagrams of up to [`MAX_PEER_MESSAGE_BYTES`], which may be delayed or
//! lost.

use super::server_side::Role;
use crate::interface::{IngressId, MAX_PEER_MESSAGE_BYTES};
use slog::{Logger, debug};
use std::net::SocketAddr;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// The socket for messages to and from the peers.
#[derive(Debug)]
pub struct Peers {
    socket: UdpSocket,
    /// The addresses of all ingresses, at the index of their number.
    addresses: Vec<SocketAddr>,
    /// During an upgrade two processes share the socket, and only the active one sends and receives.
    role: watch::Receiver<Role>,
    log: Logger,
}

impl Peers {
    /// Creates the peers' end of a socket. `addresses` holds the addresses of all ingresses, at the index of
    /// their number.
    pub fn new(
        socket: UdpSocket,
        addresses: Vec<SocketAddr>,
        role: watch::Receiver<Role>,
        log: Logger,
    ) -> Self {
        Self { socket, addresses, role, log }
    }

    /// Sends the messages of a channel until it closes, and passes the messages of peers to `on_message`.
    pub async fn run(
        mut self,
        mut messages: mpsc::UnboundedReceiver<(IngressId, Vec<u8>)>,
        mut on_message: impl FnMut(IngressId, Vec<u8>),
    ) {
        // The receive call truncates datagrams to the buffer: one more byte than allowed shows which are too
        // long.
        let mut buffer = [0; MAX_PEER_MESSAGE_BYTES + 1];
        loop {
            let active = *self.role.borrow_and_update() == Role::Active;
            tokio::select! {
                outgoing = messages.recv() => match outgoing {
                    Some((to, bytes)) if active => self.send(to, &bytes).await,
                    Some(_) => {}
                    None => return,
                },
                Ok(()) = self.role.changed() => {}
                incoming = self.socket.recv_from(&mut buffer), if active => {
                    let message = incoming.ok().and_then(|(n, source)| self.accept(source, &buffer[..n]));
                    if let Some((from, bytes)) = message {
                        on_message(from, bytes);
                    }
                }
            }
        }
    }

    async fn send(&self, to: IngressId, bytes: &[u8]) {
        // The platform forbids longer datagrams. Dropping one is safe, as the network may drop any.
        let Some(address) =
            self.addresses.get(usize::from(to.0)).filter(|_| bytes.len() <= MAX_PEER_MESSAGE_BYTES)
        else {
            return;
        };
        if let Err(e) = self.socket.send_to(bytes, address).await {
            debug!(self.log, "message to a peer not sent"; "peer" => to.0, "error" => %e);
        }
    }

    /// Returns the sender and the message of a datagram, or `None` if it is too long or not from a peer's
    /// address.
    fn accept(&self, source: SocketAddr, bytes: &[u8]) -> Option<(IngressId, Vec<u8>)> {
        let from = self.addresses.iter().position(|known| *known == source)?;
        let from = IngressId(u16::try_from(from).ok()?);
        (bytes.len() <= MAX_PEER_MESSAGE_BYTES).then(|| (from, bytes.to_vec()))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[tokio::test]
    async fn accepts_only_datagrams_of_allowed_length_from_peers() {
        let [a, b, stranger] = [(); 3].map(|()| std::net::UdpSocket::bind("127.0.0.1:0").unwrap());
        let at = |socket: &std::net::UdpSocket| socket.local_addr().unwrap();
        let addresses = vec![at(&a), at(&b)];
        let log = Logger::root(slog::Discard, slog::o!());
        let socket = |socket: std::net::UdpSocket| {
            socket.set_nonblocking(true).unwrap();
            UdpSocket::from_std(socket).unwrap()
        };
        let address = addresses[0];
        stranger.send_to(b"odd", address).unwrap();
        b.send_to(&[7; MAX_PEER_MESSAGE_BYTES + 1], address).unwrap();
        b.send_to(&[8; MAX_PEER_MESSAGE_BYTES], address).unwrap();
        let (a, b) = (socket(a), socket(b));
        let (outgoing, messages) = mpsc::unbounded_channel();
        outgoing.send((IngressId(1), vec![9; MAX_PEER_MESSAGE_BYTES + 1])).unwrap();
        outgoing.send((IngressId(5), vec![9])).unwrap();
        outgoing.send((IngressId(1), vec![1, 2])).unwrap();
        let (incoming, mut received) = mpsc::unbounded_channel();
        let (_role, role) = watch::channel(Role::Active);
        let peers = Peers::new(a, addresses, role, log);
        let running =
            tokio::spawn(peers.run(messages, move |from, bytes| drop(incoming.send((from, bytes)))));
        assert_eq!(received.recv().await.unwrap(), (IngressId(1), vec![8; MAX_PEER_MESSAGE_BYTES]));
        let mut buffer = [0; 2 * MAX_PEER_MESSAGE_BYTES];
        assert_eq!(
            b.recv(&mut buffer).await.unwrap(),
            2,
            "neither a message that is too long nor one to an unknown ingress is sent"
        );
        drop(outgoing);
        running.await.unwrap();
        assert!(received.recv().await.is_none());
    }
}
