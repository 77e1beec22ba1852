//! The UDP transport of [`Cluster`]: sends and receives its datagrams, drives its timers, and saves
//! operators' notices to a file.

use super::notices::{self, LocalNotice, Subject};
use super::packet::{MAX_DATAGRAM, State};
use super::report::state_name;
use super::{Action, Cluster};
use crate::admin::drain::set_drained;
use crate::deadlines::Deadlines;
use crate::files::RetriedFile;
use crate::interface::Millis;
use crate::net::server_side::{Drain, Phase, Role};
use slog::{Logger, debug, info, warn};
use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, watch};

/// The membership state, shared by the transport and the admin interface.
pub type SharedCluster = Rc<RefCell<Cluster>>;

/// The time between two attempts to bind the socket, in milliseconds; the previous process may still have it.
const BIND_RETRY: Millis = 100.0;

/// An event for the rest of the instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClusterEvent {
    /// Whether the ingress of each number is live; `None` if that is not known.
    LiveIngresses(Option<Vec<bool>>),
    /// The backend of this name was disabled (true) or enabled (false) at another ingress.
    BackendDisabled(String, bool),
}

/// The membership protocol's connection to the other ingresses.
#[derive(Debug)]
pub struct Transport {
    /// The membership state.
    pub cluster: SharedCluster,
    /// The local address to receive datagrams at.
    pub listen: SocketAddr,
    /// The role of this process; of two processes at one address only the active one sends and receives.
    pub role: watch::Receiver<Role>,
    /// The phase of this process; it leaves the fleet when it stops.
    pub phase: watch::Receiver<Phase>,
    /// Notices that operators publish at this instance.
    pub local_notices: mpsc::UnboundedReceiver<LocalNotice>,
    /// The drain of this instance, which operators can begin or end at any instance.
    pub drain: watch::Sender<Drain>,
    /// The file that keeps operators' notices for the next process; `None` if they are not kept.
    pub notices_file: Option<RetriedFile>,
    /// The clock and the timers.
    pub deadlines: Deadlines,
    /// The logger for changes of members and notices.
    pub log: Logger,
}

impl Transport {
    /// Sends and receives while this process is active, until it stops. Calls `notify` for each change of the
    /// live ingresses and for notices about backends from other instances.
    pub async fn run(mut self, mut notify: impl FnMut(ClusterEvent)) {
        // This process becomes active again if the one that took over from it has died.
        while self.role.wait_for(|role| *role == Role::Active).await.is_ok() && !self.serve(&mut notify).await
        {
        }
    }

    /// Sends and receives until another process becomes active. Returns true if this process stops.
    async fn serve(&mut self, notify: &mut impl FnMut(ClusterEvent)) -> bool {
        let Some(socket) = self.bind().await else { return true };
        let (mut buffer, mut last_live) = ([0; MAX_DATAGRAM + 1], None);
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
            let live = self.cluster.borrow().live_ingresses();
            if last_live.as_ref() != Some(&live) {
                last_live = Some(live.clone());
                notify(ClusterEvent::LiveIngresses(live));
            }
        }
    }

    /// Restores the notices from the file of the previous process; returns their digest.
    fn restore(&mut self, notify: &mut impl FnMut(ClusterEvent)) -> u32 {
        let now = self.deadlines.clock().now();
        let bytes = self.notices_file.as_ref().and_then(|file| std::fs::read(file.path()).ok());
        let notices = bytes.map(|bytes| notices::decode(&bytes));
        if notices == Some(None) {
            warn!(self.log, "a file of operators' words was passed over"; "path" => ?self.notices_file.as_ref().map(RetriedFile::path));
        }
        let mut cluster = self.cluster.borrow_mut();
        cluster.restore(now, notices.flatten().unwrap_or_default(), Vec::new());
        for notice in cluster.notices().iter() {
            if let Subject::Backend(name) = &notice.subject {
                notify(ClusterEvent::BackendDisabled(name.clone(), notice.active));
            }
        }
        let (local, digest) = (Subject::Ingress(cluster.local().name.clone()), cluster.notices().digest());
        let drained = cluster.notices().is_active(&local);
        drop(cluster);
        if drained {
            set_drained(&self.drain, true);
        } else if *self.drain.borrow() != Drain::Inactive {
            self.publish_drain(true, &mut Vec::new());
        }
        digest
    }

    /// Applies a notice of an operator at this instance.
    fn apply_local(&self, notice: LocalNotice, actions: &mut Vec<Action>) {
        let now = self.deadlines.clock().now();
        let mut cluster = self.cluster.borrow_mut();
        match notice {
            LocalNotice::Published(subject, active) => {
                let is_local = subject == Subject::Ingress(cluster.local().name.clone());
                cluster.publish(now, subject, active, actions);
                drop(cluster);
                if is_local {
                    set_drained(&self.drain, active);
                }
            }
            LocalNotice::Restored(disabled) => cluster.restore(now, Vec::new(), disabled),
        }
    }

    /// Publishes that this instance is drained, or no longer drained, unless the notices have that already.
    fn publish_drain(&self, drained: bool, actions: &mut Vec<Action>) {
        let now = self.deadlines.clock().now();
        let mut cluster = self.cluster.borrow_mut();
        let local = Subject::Ingress(cluster.local().name.clone());
        if cluster.notices().is_active(&local) != drained {
            cluster.publish(now, local, drained, actions);
        }
    }

    /// Saves the notices for the next process if their digest differs from `saved_digest`.
    fn save(&self, saved_digest: &mut u32) {
        let cluster = self.cluster.borrow();
        let digest = cluster.notices().digest();
        let Some(file) = self.notices_file.as_ref().filter(|_| digest != *saved_digest) else { return };
        *saved_digest = digest;
        file.write(notices::encode(cluster.notices()));
    }

    /// Binds the socket, retrying until it succeeds. Returns `None` if this process stops first.
    async fn bind(&mut self) -> Option<UdpSocket> {
        let mut logged = false;
        loop {
            match UdpSocket::bind(self.listen).await {
                Ok(socket) => return Some(socket),
                Err(e) if !logged => {
                    logged = true;
                    warn!(self.log, "no socket for the fleet yet";
                        "cluster.listen" => %self.listen, "error" => %e);
                }
                Err(_) => {}
            }
            tokio::select! {
                () = self.deadlines.sleep(BIND_RETRY) => {}
                _ = self.phase.wait_for(|phase| *phase >= Phase::Stopping) => return None,
            }
        }
    }

    /// Executes actions of the protocol: sends datagrams, logs changes and calls `notify`.
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
                Action::StateChanged(id, _, State::Suspect) => {
                    debug!(self.log, "an ingress is suspected"; "name" => id.name, "number" => id.number);
                }
                Action::StateChanged(id, from, to) => {
                    let from = from.map_or("unknown", state_name);
                    info!(self.log, "an ingress is now"; "name" => id.name, "number" => id.number,
                        "at" => %id.address, "state" => state_name(to), "before" => from);
                }
                Action::NoticeChanged(Subject::Backend(name), disabled) => {
                    info!(self.log, "said at another door: a real server is"; "id" => &name,
                        "state" => if disabled { "out" } else { "back" });
                    notify(ClusterEvent::BackendDisabled(name, disabled));
                }
                Action::NoticeChanged(Subject::Ingress(name), drained) => {
                    info!(self.log, "said at another door: an ingress is"; "name" => &name,
                        "state" => if drained { "drained" } else { "drained no more" });
                    if name == self.cluster.borrow().local().name {
                        set_drained(&self.drain, drained);
                    }
                }
                Action::Conflict(id) => {
                    warn!(self.log, "another process has this one's name or number"; "name" => id.name,
                        "number" => id.number, "at" => %id.address);
                }
                Action::Stalled(gap) => {
                    warn!(self.log, "this process stood still"; "ms" => gap.round());
                }
            }
        }
    }
}
