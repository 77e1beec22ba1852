//! The event queue of a run, ordered by simulated time.

use super::World;
use crate::backend::{AttemptId, LoadReport};
use std::cmp::{Ordering, Reverse};
use weldhub::entries::ServiceEntry;
use weldhub::interface::{BackendState, CounterAnswer, ListKind, Outcome, TimerKey};
use weldhub_client::policy::TryOutcome;

/// What happens at an event. Ingresses, backends, customers and client requests are indices into the lists of
/// [`World`]. An event with an incarnation is ignored by a later incarnation of its process.
pub(super) enum EventKind {
    /// A request of a customer arrives at its client. `usize::MAX - customer` begins or ends a flood of the
    /// customer.
    RequestArrives(usize),
    /// The client starts the next try of a request.
    TryStarts(usize),
    /// A try arrives at an ingress: request, number of the try, ingress, incarnation.
    TryArrives(usize, u32, usize, u32),
    /// The outcome of a try reaches the client: request, number of the try, outcome.
    TryAnswered(usize, u32, TryOutcome),
    /// The client's timeout of a try expires: request, number of the try.
    TryTimesOut(usize, u32),
    /// A timer of the decision module expires: ingress, incarnation, key.
    Timer(usize, u32, TimerKey),
    /// The answer to a request is due at the latest: ingress, incarnation, request id.
    AnswerDue(usize, u32, u64),
    /// A backend list from discovery reaches an ingress: ingress, incarnation, kind, entries.
    ListArrives(usize, u32, ListKind, Vec<ServiceEntry>),
    /// Discovery learns the state of a backend: backend, state, incarnation of the backend.
    StatePublished(usize, BackendState, u64),
    /// Consul's catalogue answers: ingress, incarnation, round of the confirmation.
    CatalogueAnswered(usize, u32, u64),
    /// The membership policy has something due: ingress, incarnation.
    MembershipDue(usize, u32),
    /// Discovery answers a query for the complete list: ingress, incarnation.
    CompleteListRead(usize, u32),
    /// A peer message arrives: receiving ingress, sending ingress, message.
    PeerMessageArrives(usize, usize, Vec<u8>),
    /// A call arrives at the counter: ingress, incarnation, call, name, amount, lifetime of the total.
    CounterCallArrives(usize, u32, u64, u64, f64, f64),
    /// A call to the counter is answered or times out: ingress, incarnation, call, name, answer.
    CounterCallEnds(usize, u32, u64, u64, CounterAnswer),
    /// An attempt arrives at its backend.
    AttemptArrives(AttemptId),
    /// Attempts complete at a backend: backend, version of its schedule.
    AttemptsComplete(usize, u64),
    /// The reply to an attempt arrives at its ingress.
    ReplyArrives(AttemptId, Outcome, LoadReport),
    /// The ingress ends an attempt without a reply, by a timeout or cancellation.
    AttemptAbandoned(AttemptId, Outcome),
    /// A backend takes its next load report.
    LoadReportDue(usize),
    /// A load report is carried by answers from now on.
    LoadReportVisible(usize, LoadReport),
    /// A customer redistributes its requests over its ingresses.
    CustomerShifts(usize),
    /// A trouble of the script begins.
    TroubleBegins(usize),
    /// An ingress dies: ingress, time until it restarts.
    IngressDies(usize, f64),
    /// An ingress restarts.
    IngressRestarts(usize),
    /// A backend drains and its replacement starts: backend, time until it stops.
    BackendReplaced(usize, f64),
    /// A backend drains and is not replaced: backend, time until it stops.
    BackendRemoved(usize, f64),
    /// A backend's process ends.
    BackendStops(usize),
    /// A backend's process starts again, and discovery is notified.
    BackendStarts(usize),
    /// A backend restarts after a crash: backend, delay until discovery knows.
    BackendRestarts(usize, f64),
    /// An operator disables a backend at an ingress (`true`) or enables it again: ingress, backend.
    BackendDisabled(usize, usize, bool),
    /// A backend becomes slower by a factor.
    BackendSlowed(usize, f64),
    /// The error rate of a backend changes.
    ErrorRateChanges(usize, f64),
    /// The network partition of a zone ends.
    PartitionHeals(u8),
    /// The state of all ingresses and backends is sampled.
    Sample,
}

/// An event in the queue. Events at the same time are handled in the order in which they were scheduled.
pub(super) struct ScheduledEvent {
    /// In microseconds of simulated time.
    pub(super) at_us: u64,
    pub(super) seq: u64,
    pub(super) kind: EventKind,
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.at_us, self.seq) == (other.at_us, other.seq)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at_us, self.seq).cmp(&(other.at_us, other.seq))
    }
}

impl World<'_> {
    /// Schedules an event at `at` milliseconds of simulated time, and now if that is in the past.
    pub(super) fn schedule_at(&mut self, at: f64, kind: EventKind) {
        self.seq += 1;
        let at_us = (at.max(self.now) * 1000.0).ceil() as u64;
        self.event_queue.push(Reverse(ScheduledEvent { at_us, seq: self.seq, kind }));
    }

    /// Schedules an event `delay` milliseconds from now.
    pub(super) fn schedule_after(&mut self, delay: f64, kind: EventKind) {
        self.schedule_at(self.now + delay, kind);
    }
}
