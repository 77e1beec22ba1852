//! The UDP wire beneath [`Cluster`]: datagrams in and out, and the time. It decides nothing.

use super::packet::{Identity, LONGEST, State};
use super::{Action, Cluster};
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use crate::net::server_side::{Phase, Role};
use slog::{Logger, debug, info, warn};
use std::cell::RefCell;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::watch;

/// What the wire, the door and the engine know of the fleet.
pub type Shared = Rc<RefCell<Cluster>>;

/// After so long a socket that could not be bound is tried again: the process before may still have it.
const AGAIN: Millis = 100.0;

/// The way to the other ingresses, as far as it is about who lives.
#[derive(Debug)]
pub struct Wire {
    /// What is known.
    pub cluster: Shared,
    /// Where datagrams come in.
    pub at: SocketAddr,
    /// Of two processes only the one that decides hears and speaks.
    pub role: watch::Receiver<Role>,
    /// It leaves when the program stops.
    pub phase: watch::Receiver<Phase>,
    /// The time.
    pub deadlines: Deadlines,
    /// One line a change.
    pub log: Logger,
}

impl Wire {
    /// Hears and speaks for as long as this process decides; tells who lives each time that changes.
    pub async fn run(mut self, mut tell: impl FnMut(Option<Vec<bool>>)) {
        // A process may decide again: where the one that took over has died.
        while self.role.wait_for(|role| *role == Role::Active).await.is_ok() && !self.serve(&mut tell).await {
        }
    }

    /// The same until another process decides; true where this one stops.
    async fn serve(&mut self, tell: &mut impl FnMut(Option<Vec<bool>>)) -> bool {
        let Some(socket) = self.bind().await else { return true };
        let (mut buffer, mut told) = ([0; LONGEST + 1], None);
        let (mut role, mut phase) = (self.role.clone(), self.phase.clone());
        loop {
            let now = self.deadlines.clock().now();
            let wait = (self.cluster.borrow().due() - now).max(0.0);
            let mut acts = Vec::new();
            tokio::select! {
                came = socket.recv_from(&mut buffer) => {
                    let now = self.deadlines.clock().now();
                    if let Ok((n, at)) = came {
                        self.cluster.borrow_mut().heard(now, at, &buffer[..n], &mut acts);
                    }
                }
                () = self.deadlines.sleep(wait) => {
                    let now = self.deadlines.clock().now();
                    self.cluster.borrow_mut().tick(now, &mut acts);
                }
                gone = role.wait_for(|role| *role != Role::Active) => return gone.is_err(),
                _ = phase.wait_for(|phase| *phase >= Phase::Stopping) => {
                    self.cluster.borrow_mut().leave(&mut acts);
                    self.carry_out(&socket, acts).await;
                    return true;
                }
            }
            self.carry_out(&socket, acts).await;
            let living = self.cluster.borrow().living();
            if told.as_ref() != Some(&living) {
                told = Some(living.clone());
                tell(living);
            }
        }
    }

    /// Binds the socket; none where this process no longer decides.
    async fn bind(&mut self) -> Option<UdpSocket> {
        let mut said = false;
        loop {
            match UdpSocket::bind(self.at).await {
                Ok(socket) => return Some(socket),
                Err(e) if !said => {
                    said = true;
                    warn!(self.log, "no socket for the fleet yet"; "cluster.listen" => %self.at, "error" => %e);
                }
                Err(_) => {}
            }
            tokio::select! {
                () = self.deadlines.sleep(AGAIN) => {}
                _ = self.phase.wait_for(|phase| *phase >= Phase::Stopping) => return None,
            }
        }
    }

    async fn carry_out(&self, socket: &UdpSocket, acts: Vec<Action>) {
        for act in acts {
            match act {
                Action::Send(to, bytes) => {
                    let _: io::Result<usize> = socket.send_to(&bytes, to).await;
                }
                Action::Changed(id, _, State::Suspect) => {
                    debug!(self.log, "an ingress is suspected"; "name" => id.name, "number" => id.number);
                }
                Action::Changed(id, from, to) => {
                    let from = from.map_or("unknown", word);
                    info!(self.log, "an ingress is now"; "name" => id.name, "number" => id.number,
                        "at" => %id.at, "state" => word(to), "before" => from);
                }
                Action::Clash(id) => {
                    warn!(self.log, "another process has this one's name or number"; "name" => id.name,
                        "number" => id.number, "at" => %id.at);
                }
                Action::Woke(gap) => {
                    warn!(self.log, "this process stood still"; "ms" => gap.round());
                }
            }
        }
    }
}

fn word(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

/// What the door says of the members: a line for each, with its state and since when, in milliseconds; this instance
/// first.
pub fn members(cluster: &Cluster, now: Millis) -> String {
    let mut text = String::new();
    let mut line = |id: &Identity, state: &str, span: Millis| {
        let _ = writeln!(text, "{} {} {} {state} {:.0}", id.name, id.number, id.at, span.max(0.0));
    };
    line(cluster.me(), if cluster.living().is_some() { "self" } else { "asking" }, 0.0);
    cluster.members().for_each(|(id, state, since)| line(id, word(state), now - since));
    text
}

/// The figures of the fleet.
pub fn figures(cluster: &Cluster) -> String {
    let mut text = String::new();
    let count = |state| cluster.members().filter(|(_, s, _)| *s == state).count();
    let counts = cluster.counts();
    for (name, n) in [
        ("alive", count(State::Alive) + 1),
        ("suspect", count(State::Suspect)),
        ("dead", count(State::Dead)),
        ("left", count(State::Left)),
        ("asking", usize::from(cluster.living().is_none())),
    ] {
        let _ = writeln!(text, "svc_cluster_{name} {n}");
    }
    for (name, n) in [
        ("sent", counts.sent),
        ("heard", counts.heard),
        ("unreadable", counts.unreadable),
        ("strangers", counts.strangers),
        ("refused", counts.refused),
        ("contradicted", counts.contradicted),
    ] {
        let _ = writeln!(text, "svc_cluster_{name}_total {n}");
    }
    text
}
