//! What the system holds for the sockets of an ingress.

use weldhub::net::socket_table;

/// The ports that tell which sockets are an ingress's own.
#[derive(Debug)]
pub struct SocketQueues {
    /// The ports that clients connect to.
    pub client_ports: Vec<u16>,
    /// The ports of the backends that the ingress connects to.
    pub backend_ports: Vec<u16>,
}

impl SocketQueues {
    /// Returns the bytes in the queues of these sockets, without the system's own overhead.
    pub fn bytes(&self) -> usize {
        let entries = socket_table::entries().filter(|entry| {
            self.client_ports.contains(&entry.local_port) || self.backend_ports.contains(&entry.remote_port)
        });
        entries.map(|entry| entry.send_bytes + entry.receive_bytes).sum()
    }
}
