//! Operators' changes while several processes run at one address. One process leads: it alone decides on a change, puts
//! it in force, writes it to its file and has the other processes follow, and only then is the operator told that it is
//! done. The other processes pass the calls that they get on to it.
//!
//! A process leads from its start if no other one answers at its address, and from the moment in which it takes over.
//! It follows its successor from that moment on, until no other process serves at the address. Changes carry a time after
//! which they are not carried out, so that a process that hung does not do what an operator was told has failed.

use super::change::{Change, ChangeError, OperatorState};
use super::frame::{Frame, Revision};
use super::link::Message;
use super::peer::Peer;
use super::rendezvous::Claim;
use super::settings::OperatorSettings;
use crate::deadlines::Deadlines;
use crate::interface::Millis;
use futures_util::future::join_all;
use rustix::time::{ClockId, clock_gettime};
use slog::{Logger, info};
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::{Mutex, MutexGuard, mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// The time within which a change must be in force at the process that leads, in milliseconds. After it, the change is
/// not carried out any more.
const COMMIT_TIMEOUT: Millis = 500.0;
/// The time for which the other processes' confirmations are waited for, in milliseconds. Afterwards the change holds all
/// the same: a process reads what it was sent before it can notice that it is to lead.
const CONFIRMATION_TIMEOUT: Millis = 300.0;
/// What the answer of the process that leads may take on its way, in milliseconds.
const ANSWER_DELAY: Millis = 50.0;
/// The most changes that a process may leave unconfirmed, so that they all fit into the system's buffer of the link.
const MAX_UNCONFIRMED: usize = 64;

/// The process that decides on operators' changes, as this one sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Leader {
    /// This process.
    This,
    /// The one before it.
    Predecessor,
    /// The one after it.
    Successor,
    /// Not known yet: this process has not taken over, and cannot ask the one that serves.
    Unknown,
    /// Another process, to which there is no link.
    Elsewhere,
}

/// Which of its neighbours at its address another process is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Side {
    /// The process before this one.
    Predecessor,
    /// The process after this one.
    Successor,
}

impl Side {
    fn other(self) -> Self {
        match self {
            Self::Predecessor => Self::Successor,
            Self::Successor => Self::Predecessor,
        }
    }

    fn leader(self) -> Leader {
        match self {
            Self::Predecessor => Leader::Predecessor,
            Self::Successor => Leader::Successor,
        }
    }
}

/// Decides where operators' changes are carried out. Clones share one state.
#[derive(Clone)]
pub struct Replication(Rc<Shared>);

struct Shared {
    settings: OperatorSettings,
    leader: watch::Sender<Leader>,
    predecessor: RefCell<Option<Peer>>,
    successor: RefCell<Option<Peer>>,
    /// Held while a change is put in force, and while another process comes to lead.
    order: Mutex<()>,
    /// How the next process finds this one, or `None` if it does not yet.
    claim: RefCell<Option<Claim>>,
    deadlines: Deadlines,
    log: Logger,
}

/// Returns the time on the system's monotonic clock, which all processes share, in milliseconds.
fn monotonic_now() -> u64 {
    let now = clock_gettime(ClockId::Monotonic);
    u64::try_from(now.tv_sec).unwrap_or(0) * 1000 + u64::try_from(now.tv_nsec).unwrap_or(0) / 1_000_000
}

/// Returns the time until `expires_at` on the system's monotonic clock, in milliseconds; 0 if it has passed.
fn time_left(expires_at: u64) -> Millis {
    expires_at.saturating_sub(monotonic_now()) as Millis
}

impl Replication {
    /// Creates the replication of a process that sees this leader at its start.
    pub fn new(settings: OperatorSettings, leader: Leader, deadlines: Deadlines, log: Logger) -> Self {
        let (predecessor, successor, order, claim) = Default::default();
        let leader = watch::Sender::new(leader);
        Self(Rc::new(Shared { settings, leader, predecessor, successor, order, claim, deadlines, log }))
    }

    /// Returns what operators have changed at this process.
    pub fn settings(&self) -> &OperatorSettings {
        &self.0.settings
    }

    /// Has a change carried out that an operator requested of this process, by whichever process leads.
    ///
    /// # Errors
    /// The reason why it was not carried out. Nothing has changed then.
    pub async fn request(&self, change: Change) -> Result<(), ChangeError> {
        self.carry_out(&change, monotonic_now() + COMMIT_TIMEOUT as u64).await
    }

    async fn carry_out(&self, change: &Change, expires_at: u64) -> Result<(), ChangeError> {
        loop {
            let carried_out = match self.leader(expires_at).await? {
                Leader::This => self.lead_change(change, expires_at).await,
                Leader::Predecessor => self.submit(Side::Predecessor, change, expires_at).await,
                Leader::Successor => self.submit(Side::Successor, change, expires_at).await,
                Leader::Elsewhere => return Err(ChangeError::Superseded),
                Leader::Unknown => return Err(ChangeError::NoLeader),
            };
            if let Some(result) = carried_out {
                return result;
            }
        }
    }

    /// Returns the process that leads, once it is known.
    async fn leader(&self, expires_at: u64) -> Result<Leader, ChangeError> {
        let mut leader = self.0.leader.subscribe();
        let known = leader.wait_for(|leader| *leader != Leader::Unknown);
        match self.0.deadlines.within(time_left(expires_at), known).await {
            Some(Ok(leader)) => Ok(*leader),
            _ => Err(ChangeError::NoLeader),
        }
    }

    /// Carries a change out as the process that leads, and has the others follow. Returns `None` if this process does not
    /// lead any more.
    async fn lead_change(&self, change: &Change, expires_at: u64) -> Option<Result<(), ChangeError>> {
        let shared = &self.0;
        let confirmations = {
            let order = shared.deadlines.within(time_left(expires_at), shared.order.lock()).await;
            if order.is_none() || time_left(expires_at) <= 0.0 {
                return Some(Err(ChangeError::NoAnswer));
            }
            if !self.leads() {
                return None;
            }
            if self.is_superseded().await {
                return Some(Err(ChangeError::Superseded));
            }
            if self.peers_unconfirmed() >= MAX_UNCONFIRMED {
                return Some(Err(ChangeError::Unconfirmed));
            }
            match shared.deadlines.within(time_left(expires_at), shared.settings.apply(change)).await {
                Some(Ok(())) => {}
                Some(Err(reason)) => return Some(Err(ChangeError::Refused(reason))),
                None => return Some(Err(ChangeError::NoAnswer)),
            }
            let sides = [Side::Predecessor, Side::Successor];
            sides.map(|side| self.pass_on(side, change)).into_iter().flatten().collect::<Vec<_>>()
        };
        if shared.deadlines.within(CONFIRMATION_TIMEOUT, join_all(confirmations)).await.is_none() {
            info!(shared.log, "a change is not confirmed yet by another process"; "change" => ?change);
        }
        Some(Ok(()))
    }

    /// Has a neighbour carry a change out, or pass it on to the process that leads. Returns `None` if the link ends.
    async fn submit(&self, side: Side, change: &Change, expires_at: u64) -> Option<Result<(), ChangeError>> {
        let answer = {
            let mut peer = self.peer(side).borrow_mut();
            let peer = peer.as_mut()?;
            peer.replicates().then(|| peer.submit(change.clone(), expires_at))
        };
        let Some(answer) = answer else { return Some(self.change_beside(side, change).await) };
        let wait = time_left(expires_at) + CONFIRMATION_TIMEOUT + ANSWER_DELAY;
        match self.0.deadlines.within(wait, answer).await {
            Some(Ok(result)) => Some(result.map_err(ChangeError::Refused)),
            Some(Err(_link_ended)) => None,
            None => Some(Err(ChangeError::NoAnswer)),
        }
    }

    /// Has a successor of the first revision carry out a change, and then this process: it does not tell whether it
    /// refused.
    async fn change_beside(&self, side: Side, change: &Change) -> Result<(), ChangeError> {
        if matches!(change, Change::DrainIngress(..)) {
            return Err(ChangeError::Superseded);
        }
        if let Some(confirmation) = self.pass_on(side, change) {
            let confirmed = self.0.deadlines.within(CONFIRMATION_TIMEOUT, confirmation).await;
            confirmed.and_then(Result::ok).ok_or(ChangeError::NoAnswer)?;
        }
        self.0.settings.apply(change).await.map_err(ChangeError::Refused)
    }

    /// Has a neighbour follow a change. Returns the receiver of its confirmation, if there is one.
    fn pass_on(&self, side: Side, change: &Change) -> Option<oneshot::Receiver<()>> {
        self.peer(side).borrow_mut().as_mut()?.follow(change.clone())
    }

    fn peer(&self, side: Side) -> &RefCell<Option<Peer>> {
        match side {
            Side::Predecessor => &self.0.predecessor,
            Side::Successor => &self.0.successor,
        }
    }

    /// Returns the largest number of changes that a neighbour has left unconfirmed.
    fn peers_unconfirmed(&self) -> usize {
        let unconfirmed = |side| self.peer(side).borrow().as_ref().map_or(0, Peer::unconfirmed);
        unconfirmed(Side::Predecessor).max(unconfirmed(Side::Successor))
    }

    fn send(&self, side: Side, frame: Frame) {
        if let Some(peer) = self.peer(side).borrow().as_ref() {
            peer.send(frame);
        }
    }

    /// Returns whether this process leads.
    pub(super) fn leads(&self) -> bool {
        *self.0.leader.borrow() == Leader::This
    }

    fn set_leader(&self, leader: Leader) {
        let before = self.0.leader.send_replace(leader);
        if before != leader {
            info!(self.0.log, "operators' changes are decided by"; "process" => ?leader, "before" => ?before);
        }
    }

    /// Records how the next process finds this one.
    pub(super) fn claim(&self, claim: &Claim) {
        *self.0.claim.borrow_mut() = Some(claim.clone());
    }

    /// Returns whether another process has come to serve at this address while this one was held up.
    async fn is_superseded(&self) -> bool {
        let claim = self.0.claim.borrow().clone();
        match claim {
            Some(claim) => claim.is_lost().await,
            None => false,
        }
    }

    /// Keeps any change from being put in force until the guard is dropped.
    pub(super) async fn hold(&self) -> MutexGuard<'_, ()> {
        self.0.order.lock().await
    }

    /// Links a neighbour. A successor is told what is in force here before anything else.
    pub(super) async fn link(&self, side: Side, outbox: mpsc::UnboundedSender<Message>, revision: Revision) {
        let _order = self.hold().await;
        let peer = Peer::new(outbox, revision);
        if peer.replicates() {
            if side == Side::Successor || self.leads() {
                peer.send(Frame::Operators(self.0.settings.state().await));
            } else if *self.0.leader.borrow() == Leader::Unknown {
                self.set_leader(Leader::Predecessor);
            }
        }
        *self.peer(side).borrow_mut() = Some(peer);
    }

    /// Records that the link to a neighbour has ended.
    pub(super) fn unlink(&self, side: Side) {
        if *self.0.leader.borrow() == side.leader() {
            self.set_leader(Leader::Unknown);
        }
        *self.peer(side).borrow_mut() = None;
    }

    /// Makes this process the one that leads. Must be called with changes on hold.
    pub(super) async fn lead(&self) {
        self.0.settings.save().await;
        self.set_leader(Leader::This);
    }

    /// Has this process follow its successor. Must be called with changes on hold.
    pub(super) fn follow_successor(&self) {
        self.0.settings.leave_files();
        self.set_leader(Leader::Successor);
    }

    /// Has this process follow the file of another one that serves at this address and to which there is no link.
    pub(super) async fn follow_elsewhere(&self) {
        self.set_leader(Leader::Elsewhere);
        self.0.settings.leave_files();
        self.0.settings.follow_file().await;
    }

    /// Handles a frame of a neighbour. Others than those of replication are ignored.
    pub(super) async fn handle(&self, from: Side, frame: Frame) {
        match frame {
            Frame::Operators(state) => self.adopt(from, state).await,
            Frame::Submit { number, change, expires_at } => {
                let replication = self.clone();
                spawn_local(async move {
                    let result = replication.carry_out(&change, expires_at).await;
                    replication.send(from, Frame::Submitted(number, result.map_err(|e| e.to_string())));
                });
            }
            Frame::Submitted(number, result) => {
                if let Some(peer) = self.peer(from).borrow_mut().as_mut() {
                    peer.answered(number, result);
                }
            }
            Frame::Follow(number, change) => {
                self.follow(from, &change).await;
                self.send(from, Frame::Followed(number));
            }
            Frame::Followed(number) | Frame::OperationDone(number) => {
                if let Some(peer) = self.peer(from).borrow_mut().as_mut() {
                    peer.followed(number);
                }
            }
            Frame::Operate(number, operation) => {
                self.first_revision_change(from, operation.into_change(), Some(number)).await;
            }
            Frame::Drain(drained) => {
                let change = if drained { Change::Drain } else { Change::Resume };
                self.first_revision_change(from, Some(change), None).await;
            }
            _ => {}
        }
    }

    /// Takes over the state of a neighbour that leads. Of two processes that lead, the newer one goes on.
    async fn adopt(&self, from: Side, state: OperatorState) {
        let _order = self.hold().await;
        if from == Side::Predecessor && self.leads() {
            return;
        }
        self.0.settings.leave_files();
        self.0.settings.replace(state.clone()).await;
        self.set_leader(from.leader());
        let other = self.peer(from.other()).borrow();
        if let Some(peer) = other.as_ref().filter(|peer| peer.replicates()) {
            peer.send(Frame::Operators(state));
        }
    }

    /// Follows a change of the process that leads, and passes it on. A process that has taken over has the change with
    /// the state that it took over.
    async fn follow(&self, from: Side, change: &Change) {
        if self.leads() {
            return;
        }
        info!(self.0.log, "a change of the process that leads is followed"; "change" => ?change);
        self.0.settings.follow(change).await;
        drop(self.pass_on(from.other(), change));
    }

    /// Handles a change that a neighbour of the first revision has carried out by itself, and confirms it if it has a
    /// number.
    async fn first_revision_change(&self, from: Side, change: Option<Change>, number: Option<u64>) {
        let replication = self.clone();
        let confirm = move || {
            if let Some(number) = number {
                replication.send(from, Frame::OperationDone(number));
            }
        };
        let Some(change) = change else { return confirm() };
        if !self.leads() {
            self.follow(from, &change).await;
            return confirm();
        }
        let replication = self.clone();
        spawn_local(async move {
            let _: Result<(), ChangeError> = replication.request(change).await;
            confirm();
        });
    }
}
