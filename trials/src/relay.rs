//! The UDP relay between ingresses. It has one socket for each ingress, whose address is advertised to the
//! others. A datagram that arrives at such a socket is forwarded from the socket of its sender, so that the
//! relay can drop, delay, duplicate or cut off datagrams by direction.

use crate::script::LinkConditions;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// The state of the network between ingresses, shared by all relays of a trial.
#[derive(Debug)]
pub struct Network {
    /// The loss, delay and duplication between every two ingresses.
    pub conditions: LinkConditions,
    /// The number of active cuts by direction (from, to).
    cuts: HashMap<(usize, usize), usize>,
    rng: fastrand::Rng,
    /// The number of datagrams that arrived at the relays.
    pub received: u64,
    /// The number of datagrams that the relays forwarded, duplicates included.
    pub forwarded: u64,
}

impl Network {
    /// Creates a network without cuts, loss, delay or duplication. `seed` seeds its random choices.
    pub fn new(seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self { conditions: LinkConditions::default(), cuts: HashMap::new(), rng, received: 0, forwarded: 0 }
    }

    /// Adds a cut of one direction, or removes one. Datagrams pass again once every cut of the direction is
    /// removed.
    pub fn set_cut(&mut self, from: usize, to: usize, active: bool) {
        let count = self.cuts.entry((from, to)).or_default();
        *count = if active { *count + 1 } else { count.saturating_sub(1) };
    }

    /// Draws the delay of each copy of a datagram to forward; empty if the datagram is lost.
    fn copy_delays(&mut self, from: usize, to: usize) -> Vec<Duration> {
        self.received += 1;
        let lost = self.cuts.get(&(from, to)).is_some_and(|count| *count > 0)
            || self.rng.f64() < self.conditions.loss;
        let copies = if lost { 0 } else { 1 + usize::from(self.rng.f64() < self.conditions.duplication) };
        self.forwarded += copies as u64;
        (0..copies).map(|_| Duration::from_millis(self.rng.u64(0..=self.conditions.max_delay))).collect()
    }
}

/// A running UDP relay between the ingresses of a trial.
pub struct Relay {
    /// The address, by ingress, that the others send to.
    pub advertised: Vec<SocketAddr>,
    /// The address, by ingress, that it listens on itself.
    listening: Vec<SocketAddr>,
    sockets: Vec<Rc<UdpSocket>>,
}

impl Relay {
    /// Sends a datagram to all other ingresses as if it came from this one.
    pub async fn send_forged(&self, from: usize, bytes: &[u8]) {
        for (_, to) in self.listening.iter().enumerate().filter(|(n, _)| *n != from) {
            let _ = self.sockets[from].send_to(bytes, to).await;
        }
    }

    /// Starts a relay between ingresses that listen on these addresses. Must be called within a `LocalSet`.
    ///
    /// # Errors
    /// The operating system's error if a socket cannot be bound.
    pub async fn start(listening: Vec<SocketAddr>, network: Rc<RefCell<Network>>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &listening {
            sockets.push(Rc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let advertised = sockets.iter().map(|s| s.local_addr()).collect::<io::Result<Vec<_>>>()?;
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, sockets, listening, network) =
                (socket.clone(), sockets.clone(), listening.clone(), network.clone());
            spawn_local(async move {
                let mut buffer = [0; 2048];
                loop {
                    let Ok((n, source)) = socket.recv_from(&mut buffer).await else { continue };
                    let Some(from) = listening.iter().position(|address| *address == source) else {
                        continue;
                    };
                    let delays = network.borrow_mut().copy_delays(from, to);
                    for delay in delays {
                        let (sender, target, bytes) =
                            (sockets[from].clone(), listening[to], buffer[..n].to_vec());
                        if delay.is_zero() {
                            let _ = sender.send_to(&bytes, target).await;
                        } else {
                            spawn_local(async move {
                                tokio::time::sleep(delay).await;
                                let _ = sender.send_to(&bytes, target).await;
                            });
                        }
                    }
                }
            });
        }
        let distinct: HashSet<_> = advertised.iter().collect();
        debug_assert_eq!(distinct.len(), advertised.len());
        Ok(Self { advertised, listening, sockets })
    }
}
