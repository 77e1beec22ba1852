//! The relay between ingresses: each is told to the others at an address of the relay's, which passes datagrams on from
//! the sender's such address; so it can lose, hold, double or cut them by direction.

use crate::script::Net;
use std::cell::RefCell;
use std::collections::{HashMap, HashSet};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

/// What holds between ingresses now.
#[derive(Debug)]
pub struct Ways {
    /// Between every two.
    pub net: Net,
    /// Directions that are cut, each as often as it was.
    cut: HashMap<(usize, usize), usize>,
    rng: fastrand::Rng,
    /// Datagrams that came, and those that were passed on.
    pub counts: [u64; 2],
}

impl Ways {
    /// Nothing is cut, nothing lost.
    pub fn new(seed: u64) -> Self {
        let rng = fastrand::Rng::with_seed(seed);
        Self { net: Net::default(), cut: HashMap::new(), rng, counts: [0; 2] }
    }

    /// Cuts a direction once more, or mends it once.
    pub fn cut(&mut self, from: usize, to: usize, on: bool) {
        let times = self.cut.entry((from, to)).or_default();
        *times = if on { *times + 1 } else { times.saturating_sub(1) };
    }

    /// After how long copies of a datagram are to go on; none where it is lost.
    fn copies(&mut self, from: usize, to: usize) -> Vec<Duration> {
        self.counts[0] += 1;
        let lost =
            self.cut.get(&(from, to)).is_some_and(|times| *times > 0) || self.rng.f64() < self.net.loss;
        let copies = if lost { 0 } else { 1 + usize::from(self.rng.f64() < self.net.twice) };
        self.counts[1] += copies as u64;
        (0..copies).map(|_| Duration::from_millis(self.rng.u64(0..=self.net.delay))).collect()
    }
}

/// The relay.
pub struct Relay {
    /// Where the others find each ingress.
    pub told: Vec<SocketAddr>,
    real: Vec<SocketAddr>,
    sockets: Vec<Rc<UdpSocket>>,
}

impl Relay {
    /// Sends all others a datagram as if it came from this ingress.
    pub async fn forge(&self, from: usize, bytes: &[u8]) {
        for (_, to) in self.real.iter().enumerate().filter(|(n, _)| *n != from) {
            let _ = self.sockets[from].send_to(bytes, to).await;
        }
    }

    /// Starts one between ingresses that listen at these addresses, within a local task set.
    ///
    /// # Errors
    /// Where a socket cannot be bound.
    pub async fn start(real: Vec<SocketAddr>, ways: Rc<RefCell<Ways>>) -> io::Result<Self> {
        let mut sockets = Vec::new();
        for _ in &real {
            sockets.push(Rc::new(UdpSocket::bind("127.0.0.1:0").await?));
        }
        let told = sockets.iter().map(|s| s.local_addr()).collect::<io::Result<Vec<_>>>()?;
        for (to, socket) in sockets.iter().enumerate() {
            let (socket, sockets, real, ways) = (socket.clone(), sockets.clone(), real.clone(), ways.clone());
            spawn_local(async move {
                let mut buffer = [0; 2048];
                loop {
                    let Ok((n, at)) = socket.recv_from(&mut buffer).await else { continue };
                    let Some(from) = real.iter().position(|real| *real == at) else { continue };
                    let copies = ways.borrow_mut().copies(from, to);
                    for wait in copies {
                        let (out, at, bytes) = (sockets[from].clone(), real[to], buffer[..n].to_vec());
                        if wait.is_zero() {
                            let _ = out.send_to(&bytes, at).await;
                        } else {
                            spawn_local(async move {
                                tokio::time::sleep(wait).await;
                                let _ = out.send_to(&bytes, at).await;
                            });
                        }
                    }
                }
            });
        }
        let distinct: HashSet<_> = told.iter().collect();
        debug_assert_eq!(distinct.len(), told.len());
        Ok(Self { told, real, sockets })
    }
}
