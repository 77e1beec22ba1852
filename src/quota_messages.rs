//! The messages that keep quotas over the whole fleet: quota requests to the ingress that owns a customer's
//! quota, their answers and releases, and calls to the shared counter. The decisions on them are in
//! `src/rules.rs`.

use crate::interface::*;
use crate::peer_messages::QuotaMessage;
use crate::quota_pool::has_pool;
use crate::rules::{QUOTA_ANSWER_TIMEOUT, SAMPLE_WEIGHT, SMALL_FLEET_INGRESSES, is_sparse};
use crate::state::*;

/// Time for which the counter keeps a number: the longest it allows.
const COUNTER_TTL: Millis = 60_000.0;
/// The same for a number that includes attempts in flight, some of which may be those of a killed ingress.
const COUNTER_TTL_WITH_ATTEMPTS: Millis = 15_000.0;
/// Window of the number of a sparse customer (see [`is_sparse`]), in multiples of the time in which its burst
/// refills.
pub(crate) const SPARSE_WINDOW_REFILLS: f64 = 2.0;

impl Limiter {
    /// Records the latency pressure that a peer reports, `None` if it reports none.
    pub(crate) fn record_peer_pressure(&mut self, now: Millis, pressure: Option<f64>) {
        let Some(pressure) = pressure else { return };
        self.peer_pressure.add(pressure, SAMPLE_WEIGHT);
        self.peer_pressure_at = now;
    }

    /// Sends a quota request for a client's request to an owner, with the credit used since the last one.
    pub(crate) fn send_quota_request(
        &mut self,
        now: Millis,
        request: &Request,
        (owner, seq): (IngressId, u64),
        resent: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        let drawn = std::mem::take(&mut customer.unreported_use);
        let pressure = Some(self.own_pressure.value_or(0.0));
        actions.push(Action::SendToPeer(
            owner,
            QuotaMessage::Request { seq, request: request.quota_request(), drawn, pressure }.encode(),
        ));
        actions.push(Action::SetTimer(QUOTA_ANSWER_TIMEOUT, QUOTA_ANSWER_TIMER));
        self.pending_quota_requests
            .insert(seq, PendingQuotaRequest { request: request.id, owner, sent_at: now, resent });
    }

    /// Handles a message from an owner, or to this ingress as an owner; `None` if it could not be decoded.
    pub(crate) fn on_quota_message(
        &mut self,
        now: Millis,
        from: IngressId,
        message: Option<QuotaMessage>,
        actions: &mut Vec<Action>,
    ) {
        match message {
            Some(QuotaMessage::Request { seq, request, drawn, pressure })
                if self.settings.defines(request.plan, request.class) =>
            {
                self.record_peer_pressure(now, pressure);
                let (granted, credit_or_pause) = self.decide_quota(now, (from, seq), &request, drawn);
                let pressure = Some(self.own_pressure.value_or(0.0));
                actions.push(Action::SendToPeer(
                    from,
                    QuotaMessage::Answer { seq, granted, credit_or_pause, pressure }.encode(),
                ));
            }
            Some(QuotaMessage::Answer { seq, granted, credit_or_pause, pressure }) => {
                self.record_peer_pressure(now, pressure);
                self.on_quota_answer(now, (from, seq), granted, credit_or_pause, actions)
            }
            Some(QuotaMessage::Released { seq, customer }) => {
                self.owned_quotas.entry(customer).and_modify(|quota| quota.release((from, seq)));
            }
            _ => {}
        }
    }

    /// Notifies the quota owner that a granted request has ended, if its plan limits attempts in flight.
    pub(crate) fn release_grant(&mut self, open: &OpenRequest, actions: &mut Vec<Action>) {
        let Some((owner, seq)) = open.grant else { return };
        let message = QuotaMessage::Released { seq, customer: open.request.customer };
        match owner == self.settings.ingress {
            true => self.on_quota_message(0.0, owner, Some(message), actions),
            false => actions.push(Action::SendToPeer(owner, message.encode())),
        }
    }

    /// Draws a request's units when its first attempt is sent.
    pub(crate) fn draw(&mut self, request: &Request, within_quota: bool, sparse: bool) {
        let pooled = self.uses_pool(request.plan, request.spread);
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.ceiling.level -= request.units;
        match (pooled, within_quota) {
            (true, true) => customer.draw_pooled(request.units),
            (false, true) => customer.draw(request.units),
            // The units that the next call was to add are beyond the quota and are removed from it.
            (false, false) if sparse => customer.counter.pending[UNITS] -= request.units,
            (_, false) => {}
        }
    }

    /// Returns the time to the next tick, in milliseconds. The jitter prevents ingresses that started
    /// together from calling the counter at the same time.
    pub(crate) fn next_tick_delay(&mut self) -> Millis {
        let jitter = if self.usage_source == UsageSource::Counter { 0.5 + self.rng.unit() } else { 1.0 };
        self.report_interval() * jitter
    }

    /// Sends a counter call unless one is waiting for its answer. It adds the units drawn here (or borrowed
    /// less lent if the quota has a pool), and the attempts in flight here if the plan limits these, in
    /// multiples of [`counter_attempt_step`].
    pub(crate) fn call_counter(
        now: Millis,
        id: CustomerId,
        customer: &mut Customer,
        plan: &Plan,
        actions: &mut Vec<Action>,
    ) {
        if customer.counter.sent_amounts.is_none() {
            let ([drawn, attempts], step) =
                (customer.counter.begin(now), counter_attempt_step(plan, customer.spread));
            let units = if has_pool(plan, customer.spread) { customer.pool.begin(now) } else { drawn };
            let ttl = counter_ttl(plan, customer.spread);
            actions.push(Action::AddToCounter(CounterName(id.0), units + attempts * step, ttl));
        }
    }
}

/// Returns what an attempt in flight adds to a customer's number, more than all units in it together; 0 if
/// attempts are not counted, in a large fleet, where one ingress's slice of the limit is far below one
/// attempt.
pub(crate) fn counter_attempt_step(plan: &Plan, spread: u16) -> f64 {
    let max_units = plan.rate.max(1.0) * COUNTER_TTL / 1000.0 + plan.burst;
    let counts_attempts = plan.max_in_flight > 0.0 && f64::from(spread) <= SMALL_FLEET_INGRESSES;
    if counts_attempts { (2.0 * max_units).log2().ceil().exp2() } else { 0.0 }
}

/// Returns the time for which the counter keeps a customer's number, in milliseconds. It is short where the
/// number may include attempts of a killed ingress.
pub(crate) fn counter_ttl(plan: &Plan, spread: u16) -> Millis {
    match is_sparse(plan, spread) {
        true => (1000.0 * SPARSE_WINDOW_REFILLS * plan.burst / plan.rate).min(COUNTER_TTL),
        false if counter_attempt_step(plan, spread) > 0.0 => COUNTER_TTL_WITH_ATTEMPTS,
        false => COUNTER_TTL,
    }
}
