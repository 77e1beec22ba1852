//! Attempts: the way of a request from an ingress to a backend and of the reply back.

use super::event::EventKind;
use super::{World, backend_name};
use crate::backend::{Admission, AttemptId, LoadReport};
use crate::check::Rule;
use crate::cold::Arrival;
use std::collections::VecDeque;
use weldhub::Event;
use weldhub::entries::backend_id;
use weldhub::interface::{AttemptEnd, AttemptIndex, BackendId, BackendState, Load, Outcome, RequestId};
use weldhub_client::policy::TryOutcome;

/// An attempt of an ingress at a backend.
pub(super) struct Attempt {
    pub(super) ingress: usize,
    pub(super) ingress_incarnation: u32,
    pub(super) request_id: u64,
    /// The number of attempts of the same request before this one.
    pub(super) attempt_index: u16,
    pub(super) backend: usize,
    /// The incarnation of the backend that the connection leads to.
    pub(super) backend_incarnation: u64,
    /// The work for the backend, in milliseconds of a core of speed 1.
    pub(super) work: f64,
    /// When the ingress sent it, in milliseconds.
    pub(super) sent_at: f64,
    /// Whether it has ended for its ingress.
    pub(super) ended: bool,
    /// When the backend accepted it, in milliseconds; `None` if it has not.
    pub(super) accepted_at: Option<f64>,
}

impl World<'_> {
    /// Sends an attempt of a request to a backend. An attempt that cannot be sent ends at once, with an event
    /// added to `events`.
    pub(super) fn send_attempt(
        &mut self,
        ingress: usize,
        request_id: u64,
        to: BackendId,
        timeout: Option<f64>,
        events: &mut VecDeque<Event>,
    ) {
        let now = self.now;
        let script = self.script;
        let Some(request) = self.ingresses[ingress].requests.get_mut(&request_id) else { return };
        let attempt_index = request.attempts_started;
        request.attempts_started += 1;
        let timeout = timeout.unwrap_or(f64::INFINITY).min(request.deadline - now);
        let (client_request, maybe_executed, open) =
            (request.client_request, request.maybe_executed, request.open);
        let unsent = |outcome| {
            Event::AttemptEnded(AttemptEnd {
                request: RequestId(request_id),
                attempt: AttemptIndex(attempt_index),
                backend: to,
                outcome,
                elapsed: 0.0,
                request_closed: !open,
                metered_use: None,
                settled_units: None,
                load: Load::default(),
            })
        };
        if !open || attempt_index >= script.ingresses.max_attempts || timeout <= 0.0 {
            return events.push_back(unsent(Outcome::NotSent));
        }
        let known = self.ingresses[ingress].known_states.get(&to).copied();
        let unready_since = known.filter(|known| known.state != BackendState::Ready).map(|known| known.since);
        let Some(&backend) = self.backend_by_id.get(&to) else {
            return events.push_back(unsent(Outcome::ConnectFailed));
        };
        self.checker.attempt_sent(now, ingress, backend as u64, unready_since);
        let (class, cell) = (self.client_requests[client_request].class, self.backends[backend].cell);
        self.checker.attempt_repeats(now, script.classes[class].repeat, maybe_executed, cell, request_id);
        // Like the client side of the daemon, which starts no attempt at a backend that is not ready.
        if known.is_none_or(|known| known.state != BackendState::Ready) {
            return events.push_back(unsent(Outcome::ConnectFailed));
        }
        let units = f64::from(self.client_requests[client_request].units);
        let mean_units = self.mean_units();
        // The work of requests of one size varies by half.
        let mut work = script.classes[class].work * units / mean_units * (0.5 + self.rng.f64());
        let (here, there) = (self.ingresses[ingress].zone, self.backends[backend].zone);
        let hop = self.draw_hop(here, there);
        let key = (to, self.backend_incarnations[backend]);
        let idle_connections =
            self.ingresses[ingress].idle_connections.get_mut(&key).filter(|idle| **idle > 0);
        let new_connection = idle_connections.map(|idle| *idle -= 1).is_none();
        let mut delay = hop;
        if new_connection {
            self.totals.connections += 1;
            delay += 2.0 * hop + script.servers.handshake;
            work += script.servers.handshake_work;
            if script.network.late_connections > 0.0 && self.rng.f64() < script.network.late_connections {
                delay += self.draw(script.network.late_by);
            }
        }
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            ingress,
            ingress_incarnation: self.ingresses[ingress].incarnation,
            request_id,
            attempt_index,
            backend,
            backend_incarnation: self.backend_incarnations[backend],
            work,
            sent_at: now,
            ended: false,
            accepted_at: None,
        });
        if let Some(request) = self.ingresses[ingress].requests.get_mut(&request_id) {
            request.in_flight.push(attempt);
        }
        self.current_second().attempts += 1;
        self.schedule_after(timeout, EventKind::AttemptAbandoned(attempt, Outcome::TimedOut));
        match self.is_partitioned(here, there) {
            // Packets are dropped: a new connection times out, and one that exists stays silent.
            true if new_connection => {
                self.schedule_after(
                    script.network.connect_timeout,
                    EventKind::AttemptAbandoned(attempt, Outcome::ConnectFailed),
                );
            }
            true => {}
            false => self.schedule_after(delay, EventKind::AttemptArrives(attempt)),
        }
    }

    /// An attempt arrives at its backend.
    pub(super) fn attempt_arrives(&mut self, attempt: AttemptId) {
        let Attempt {
            ingress,
            ingress_incarnation,
            request_id,
            backend,
            backend_incarnation,
            work,
            ended,
            ..
        } = self.attempts[attempt];
        if ended || self.ingresses[ingress].incarnation != ingress_incarnation {
            return;
        }
        let hop = self.draw_hop(self.ingresses[ingress].zone, self.backends[backend].zone);
        let report = self.visible_reports[backend];
        if !self.backends[backend].up || self.backend_incarnations[backend] != backend_incarnation {
            return self.schedule_after(
                hop,
                EventKind::ReplyArrives(attempt, Outcome::ConnectFailed, LoadReport::default()),
            );
        }
        let script = self.script;
        let Some(request) = self.ingresses[ingress].requests.get_mut(&request_id) else { return };
        let (client_request, first) =
            (request.client_request, !std::mem::replace(&mut request.reached_backend, true));
        let customer = self.client_requests[client_request].customer;
        let (id, plan) = (self.customers[customer].id, self.customers[customer].plan);
        if first {
            let (class, units) = (
                self.client_requests[client_request].class,
                f64::from(self.client_requests[client_request].units),
            );
            self.checker.try_reached_backend(self.now, id, plan, units, script);
            self.client_requests[client_request].within_quota =
                self.score.record_sent(self.now, id, plan, class, units, script);
        }
        if self.backends[backend].draining {
            return self.schedule_after(hop, EventKind::ReplyArrives(attempt, Outcome::Rejected, report));
        }
        let admission = self.backends[backend].admit(self.now, attempt, work, &script.servers);
        let breaks_rule = self.record_cold_arrival(attempt, admission);
        match admission {
            Admission::Accepted => {
                self.attempts[attempt].accepted_at = Some(self.now);
                self.checker.attempt_in_flight(self.now, id, plan, true, script);
                self.schedule_completion(backend);
            }
            Admission::Rejected => {
                self.schedule_after(hop, EventKind::ReplyArrives(attempt, Outcome::Rejected, report))
            }
            Admission::Crashed => {
                if breaks_rule {
                    self.checker
                        .record(Rule::Cold, self.now, || format!("real server {backend} was pushed over"));
                }
                self.stop_backend(backend);
            }
        }
    }

    /// Records an arrival at a backend if that is cold. Returns whether the backend crashed by the attempts
    /// of ingresses that had been notified of its start, which breaks [`Rule::Cold`].
    pub(super) fn record_cold_arrival(&mut self, attempt: AttemptId, admission: Admission) -> bool {
        let Attempt { ingress, backend: index, attempt_index, work, sent_at, .. } = self.attempts[attempt];
        let (now, config, backend) = (self.now, &self.script.servers, &self.backends[index]);
        if !backend.can_crash(now, config) {
            return false;
        }
        let arrival = Arrival {
            at: now,
            work,
            ingress,
            is_retry: attempt_index > 0,
            transit_time: now - sent_at,
            ingress_age: now - self.ingresses[ingress].up_since,
        };
        let limit = backend.overload_limit(now, config);
        self.cold.record_arrival(index, backend.started_at, arrival, limit, admission == Admission::Crashed)
    }

    /// Schedules the next completion at a backend, as its load is now.
    pub(super) fn schedule_completion(&mut self, backend: usize) {
        if let Some(at) = self.backends[backend].next_completion(self.now, &self.script.servers) {
            let version = self.backends[backend].version;
            self.schedule_at(at, EventKind::AttemptsComplete(backend, version));
        }
    }

    /// Sends the replies of the attempts that have completed at a backend. Some replies are lost.
    pub(super) fn attempts_complete(&mut self, backend: usize, version: u64) {
        if self.backends[backend].version != version {
            return;
        }
        let completed = self.backends[backend].take_completed(self.now, &self.script.servers);
        for attempt in completed {
            let Attempt { ingress, ended, .. } = self.attempts[attempt];
            if ended {
                continue;
            }
            let outcome = if self.rng.f64() < self.backends[backend].error_rate {
                Outcome::Error
            } else {
                Outcome::Served
            };
            let (here, there) = (self.ingresses[ingress].zone, self.backends[backend].zone);
            let lost = self.rng.f64() < self.script.network.lost_answers || self.is_partitioned(here, there);
            let (hop, report) = (self.draw_hop(here, there), self.visible_reports[backend]);
            if !lost {
                self.schedule_after(hop, EventKind::ReplyArrives(attempt, outcome, report));
            }
        }
        self.schedule_completion(backend);
    }

    /// Returns a load report as the ingress reads it, with the script's noise; empty if there is none.
    pub(super) fn noisy_load(&mut self, report: LoadReport) -> Load {
        if !report.measured || !self.script.servers.reports {
            return Load::default();
        }
        let noise = self.script.servers.report_noise;
        let mut noisy = |x: f64| Some(x * (1.0 + noise * (2.0 * self.rng.f64() - 1.0)));
        Load {
            in_flight: noisy(report.in_flight),
            queued: noisy(report.queued),
            latency: noisy(report.latency),
            ..Load::default()
        }
    }

    /// Ends an attempt for its ingress and reports that to the decision module. Only the first end counts.
    pub(super) fn end_attempt(&mut self, attempt: AttemptId, outcome: Outcome, report: LoadReport) {
        let Attempt {
            ingress,
            ingress_incarnation,
            request_id,
            attempt_index,
            backend,
            backend_incarnation,
            sent_at,
            ended,
            accepted_at,
            ..
        } = self.attempts[attempt];
        if ended {
            return;
        }
        self.attempts[attempt].ended = true;
        if accepted_at.is_some() && self.ingresses[ingress].incarnation == ingress_incarnation {
            let request = self.ingresses[ingress].requests.get(&request_id);
            if let Some(customer) =
                request.map(|request| self.client_requests[request.client_request].customer)
            {
                let (id, plan) = (self.customers[customer].id, self.customers[customer].plan);
                self.checker.attempt_in_flight(self.now, id, plan, false, self.script);
            }
        }
        if self.ingresses[ingress].incarnation != ingress_incarnation {
            return;
        }
        let to = backend_id(&backend_name(backend));
        let replied = matches!(outcome, Outcome::Served | Outcome::Error | Outcome::Rejected);
        if replied && self.backend_incarnations[backend] == backend_incarnation {
            *self.ingresses[ingress].idle_connections.entry((to, backend_incarnation)).or_default() += 1;
        }
        // A request that was not completely written cannot have been executed.
        let outcome = match outcome {
            Outcome::TimedOut
                if accepted_at.is_none() && self.backend_incarnations[backend] != backend_incarnation =>
            {
                Outcome::ConnectFailed
            }
            outcome => outcome,
        };
        let second = self.current_second();
        match outcome {
            Outcome::TimedOut => second.timed_out += 1,
            Outcome::Rejected => second.full += 1,
            Outcome::ConnectFailed => second.unreached += 1,
            _ => {}
        }
        if outcome == Outcome::Served {
            self.cold.record_served(backend, ingress, self.now, self.attempts[attempt].work);
            self.answer_client(ingress, request_id, TryOutcome::Served);
        }
        let cell = self.backends[backend].cell;
        let Some(request) = self.ingresses[ingress].requests.get_mut(&request_id) else { return };
        request.in_flight.retain(|other| *other != attempt);
        if outcome.may_have_run() && request.maybe_executed.is_none_or(|(first, _)| sent_at < first) {
            request.maybe_executed = Some((sent_at, cell));
        }
        let request_closed = !request.open;
        if request_closed && request.in_flight.is_empty() {
            self.ingresses[ingress].requests.remove(&request_id);
        }
        let load = if replied { self.noisy_load(report) } else { Load::default() };
        self.dispatch(
            ingress,
            Event::AttemptEnded(AttemptEnd {
                request: RequestId(request_id),
                attempt: AttemptIndex(attempt_index),
                backend: to,
                outcome,
                elapsed: self.now - sent_at,
                request_closed,
                metered_use: None,
                settled_units: None,
                load,
            }),
        );
    }

    /// An ingress ends an attempt that has no reply, by a timeout or cancellation. A backend may drop it from
    /// its queue.
    pub(super) fn abandon_attempt(&mut self, attempt: AttemptId, outcome: Outcome) {
        let Attempt { backend, ended, .. } = self.attempts[attempt];
        if !ended {
            self.end_attempt(attempt, outcome, LoadReport::default());
            if self.script.servers.drops_cancelled && self.backends[backend].cancel_queued(attempt) {
                self.schedule_completion(backend);
            }
        }
    }

    /// Takes a load report of a backend, which its answers carry after a delay, and schedules the next one.
    pub(super) fn take_load_report(&mut self, backend: usize) {
        let (interval, delay) =
            (self.draw(self.script.servers.report_every), self.draw(self.script.servers.report_delay));
        let report = self.backends[backend].load_report();
        self.schedule_after(delay, EventKind::LoadReportVisible(backend, report));
        if self.backends[backend].up || self.now < self.script.length {
            self.schedule_after(interval, EventKind::LoadReportDue(backend));
        }
    }
}
