//! The UDP transport beneath [`Cluster`]: datagrams in and out, the time, and the file of operators' notices. It decides
//! nothing itself.

use super::notices::{self, LocalNotice, Subject};
use super::packet::{MAX_DATAGRAM, State};
use super::report::state_name;
use super::{Action, Cluster};
use crate::deadlines::Deadlines;
use crate::files;
use crate::interface::Millis;
use crate::net::server_side::{Drain, Phase, Role};
use slog::{Logger, debug, info, warn};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// The view of the fleet that the transport and the admin interface share.
pub type SharedCluster = Rc<RefCell<Cluster>>;

/// After so many milliseconds a socket that could not be bound is tried again: the process before may still have it.
const BIND_RETRY: Millis = 100.0;

/// What the rest of the instance has to know.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEvent {
    /// Which numbers are live; none where that is not known.
    Living(Option<Vec<bool>>),
    /// A backend was disabled (true) or enabled at another ingress.
    Server(String, bool),
}

/// The membership protocol's connection to the other ingresses.
#[derive(Debug)]
pub struct Transport {
    /// The view of the fleet.
    pub cluster: SharedCluster,
    /// The address that datagrams are received at.
    pub at: SocketAddr,
    /// Of two processes at one address only the active one sends and receives.
    pub role: watch::Receiver<Role>,
    /// The fleet is left when the program stops.
    pub phase: watch::Receiver<Phase>,
    /// Notices that operators publish at this instance.
    pub local_notices: mpsc::UnboundedReceiver<LocalNotice>,
    /// The drain of this instance, which operators may begin or end at any instance.
    pub drain: watch::Sender<Drain>,
    /// The file that keeps operators' notices for the next process.
    pub file: Option<PathBuf>,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// Each change is logged in one line.
    pub log: Logger,
}

impl Transport {
    /// Sends and receives for as long as this process is active. Notifies of each change of the live members, and of
    /// notices that were published at other instances.
    pub async fn run(mut self, mut notify: impl FnMut(ClusterEvent)) {
        // A process becomes active again where the one that took over has died.
        while self.role.wait_for(|role| *role == Role::Active).await.is_ok() && !self.serve(&mut notify).await
        {
        }
    }

    /// Does so until another process is active; returns true where this one stops.
    async fn serve(&mut self, notify: &mut impl FnMut(ClusterEvent)) -> bool {
        let Some(socket) = self.bind().await else { return true };
        let (mut buffer, mut last_living) = ([0; MAX_DATAGRAM + 1], None);
        let (mut role, mut phase, mut drains) =
            (self.role.clone(), self.phase.clone(), self.drain.subscribe());
        let mut saved_digest = self.restore(notify);
        loop {
            let now = self.deadlines.clock().now();
            let wait = (self.cluster.borrow().due() - now).max(0.0);
            let mut actions = Vec::new();
            tokio::select! {
                received = socket.recv_from(&mut buffer) => {
                    let now = self.deadlines.clock().now();
                    if let Ok((n, at)) = received {
                        self.cluster.borrow_mut().receive(now, at, &buffer[..n], &mut actions);
                    }
                }
                () = self.deadlines.sleep(wait) => {
                    let now = self.deadlines.clock().now();
                    self.cluster.borrow_mut().tick(now, &mut actions);
                }
                Some(notice) = self.local_notices.recv() => self.apply_local(notice, &mut actions),
                Ok(()) = drains.changed() => {
                    let drained = *drains.borrow_and_update() != Drain::Inactive;
                    self.publish_drain(drained, &mut actions);
                }
                changed = role.wait_for(|role| *role != Role::Active) => return changed.is_err(),
                _ = phase.wait_for(|phase| *phase >= Phase::Stopping) => {
                    self.cluster.borrow_mut().leave(&mut actions);
                    self.carry_out(&socket, actions, notify).await;
                    return true;
                }
            }
            self.carry_out(&socket, actions, notify).await;
            self.save(&mut saved_digest);
            let living = self.cluster.borrow().living();
            if last_living.as_ref() != Some(&living) {
                last_living = Some(living.clone());
                notify(ClusterEvent::Living(living));
            }
        }
    }

    /// Restores the notices of the file that the process before has left; returns their digest.
    fn restore(&mut self, notify: &mut impl FnMut(ClusterEvent)) -> u32 {
        let now = self.deadlines.clock().now();
        let bytes = self.file.as_ref().and_then(|path| std::fs::read(path).ok());
        let notices = bytes.map(|bytes| notices::decode(&bytes));
        if notices == Some(None) {
            warn!(self.log, "a file of operators' words was passed over"; "path" => ?self.file);
        }
        let mut cluster = self.cluster.borrow_mut();
        cluster.restore(now, notices.flatten().unwrap_or_default(), Vec::new());
        for notice in cluster.notices().iter() {
            if let Subject::Server(name) = &notice.subject {
                notify(ClusterEvent::Server(name.clone(), notice.active));
            }
        }
        let (me, digest) = (Subject::Ingress(cluster.me().name.clone()), cluster.notices().digest());
        let drained = cluster.notices().is_active(&me);
        drop(cluster);
        if drained {
            self.drain
                .send_if_modified(|drain| std::mem::replace(drain, announced(*drain)) == Drain::Inactive);
        } else if *self.drain.borrow() != Drain::Inactive {
            self.publish_drain(true, &mut Vec::new());
        }
        digest
    }

    /// Applies what an operator has said at this instance.
    fn apply_local(&self, notice: LocalNotice, actions: &mut Vec<Action>) {
        let now = self.deadlines.clock().now();
        let mut cluster = self.cluster.borrow_mut();
        match notice {
            LocalNotice::Published(subject, active) => {
                let me = subject == Subject::Ingress(cluster.me().name.clone());
                cluster.publish(now, subject, active, actions);
                drop(cluster);
                if me {
                    self.set_drain(active);
                }
            }
            LocalNotice::Restored(disabled) => cluster.restore(now, Vec::new(), disabled),
        }
    }

    /// Publishes that this instance is drained, or no longer, unless the notices say so already.
    fn publish_drain(&self, drained: bool, actions: &mut Vec<Action>) {
        let now = self.deadlines.clock().now();
        let mut cluster = self.cluster.borrow_mut();
        let me = Subject::Ingress(cluster.me().name.clone());
        if cluster.notices().is_active(&me) != drained {
            cluster.publish(now, me, drained, actions);
        }
    }

    /// Begins or ends the drain of this instance.
    fn set_drain(&self, active: bool) {
        self.drain.send_if_modified(|drain| {
            let changes = (*drain != Drain::Inactive) != active;
            if changes {
                *drain = if active { Drain::Announced } else { Drain::Inactive };
            }
            changes
        });
    }

    /// Saves the notices for the next process, where they are others than those of this digest.
    fn save(&self, saved_digest: &mut u32) {
        let cluster = self.cluster.borrow();
        let digest = cluster.notices().digest();
        let Some(path) = self.file.as_ref().filter(|_| digest != *saved_digest) else { return };
        *saved_digest = digest;
        if let Err(e) = files::replace(path, &notices::encode(cluster.notices())) {
            warn!(self.log, "operators' words could not be kept"; "error" => %e);
        }
    }

    /// Binds the socket, however long that takes; none where this process stops first.
    async fn bind(&mut self) -> Option<UdpSocket> {
        let mut logged = false;
        loop {
            match UdpSocket::bind(self.at).await {
                Ok(socket) => return Some(socket),
                Err(e) if !logged => {
                    logged = true;
                    warn!(self.log, "no socket for the fleet yet"; "cluster.listen" => %self.at, "error" => %e);
                }
                Err(_) => {}
            }
            tokio::select! {
                () = self.deadlines.sleep(BIND_RETRY) => {}
                _ = self.phase.wait_for(|phase| *phase >= Phase::Stopping) => return None,
            }
        }
    }

    /// Carries out what the protocol asks for.
    async fn carry_out(
        &self,
        socket: &UdpSocket,
        actions: Vec<Action>,
        notify: &mut impl FnMut(ClusterEvent),
    ) {
        for action in actions {
            match action {
                Action::Send(to, bytes) => {
                    let _: io::Result<usize> = socket.send_to(&bytes, to).await;
                }
                Action::Changed(id, _, State::Suspect) => {
                    debug!(self.log, "an ingress is suspected"; "name" => id.name, "number" => id.number);
                }
                Action::Changed(id, from, to) => {
                    let from = from.map_or("unknown", state_name);
                    info!(self.log, "an ingress is now"; "name" => id.name, "number" => id.number,
                        "at" => %id.at, "state" => state_name(to), "before" => from);
                }
                Action::NoticeChanged(Subject::Server(name), out) => {
                    info!(self.log, "said at another door: a real server is"; "id" => &name,
                        "state" => if out { "out" } else { "back" });
                    notify(ClusterEvent::Server(name, out));
                }
                Action::NoticeChanged(Subject::Ingress(name), drained) => {
                    info!(self.log, "said at another door: an ingress is"; "name" => &name,
                        "state" => if drained { "drained" } else { "drained no more" });
                    if name == self.cluster.borrow().me().name {
                        self.set_drain(drained);
                    }
                }
                Action::Conflict(id) => {
                    warn!(self.log, "another process has this one's name or number"; "name" => id.name,
                        "number" => id.number, "at" => %id.at);
                }
                Action::Stalled(gap) => {
                    warn!(self.log, "this process stood still"; "ms" => gap.round());
                }
            }
        }
    }
}

fn announced(drain: Drain) -> Drain {
    if drain == Drain::Inactive { Drain::Announced } else { drain }
}
