//! The messages by which quotas are kept over the fleet: asks to the ingress that owns a customer's quota, their
//! answers and ends, and calls to the shared counter. What they decide is in `src/rules.rs`.

use crate::interface::*;
use crate::peer_messages::QuotaMessage;
use crate::quota_pool::has_pool;
use crate::rules::{QUOTA_ANSWER_TIMEOUT, SAMPLE_WEIGHT, SMALL_FLEET_INGRESSES, is_sparse};
use crate::state::*;

/// The counter keeps a name as long as it may; less where it holds attempts that a killed gateway had out.
const COUNTER_KEEP: [Millis; 2] = [60_000.0, 15_000.0];
/// The window of a sparse customer's number, in multiples of the time in which its burst fills.
pub(crate) const WINDOW: f64 = 2.0;

impl Limiter {
    /// A peer told its pressure.
    pub(crate) fn record_peer_pressure(&mut self, now: Millis, pressure: Option<f64>) {
        let Some(pressure) = pressure else { return };
        self.peer_pressure.add(pressure, SAMPLE_WEIGHT);
        self.peer_pressure_at = now;
    }

    pub(crate) fn send_quota_request(
        &mut self,
        now: Millis,
        of: &Request,
        to: (IngressId, u64),
        again: bool,
        actions: &mut Vec<Action>,
    ) {
        let Some(customer) = self.customers.get_mut(&of.customer) else { return };
        let unasked = std::mem::take(&mut customer.unreported_use);
        let pressure = Some(self.own_pressure.value_or(0.0));
        actions.push(Action::SendToPeer(
            to.0,
            QuotaMessage::Request { seq: to.1, request: of.quota_request(), drawn: unasked, pressure }
                .encode(),
        ));
        actions.push(Action::SetTimer(QUOTA_ANSWER_TIMEOUT, QUOTA_ANSWER_TIMER));
        self.pending_quota_requests
            .insert(to.1, PendingQuotaRequest { request: of.id, owner: to.0, sent_at: now, resent: again });
    }

    pub(crate) fn on_quota_message(
        &mut self,
        now: Millis,
        from: IngressId,
        mail: Option<QuotaMessage>,
        actions: &mut Vec<Action>,
    ) {
        match mail {
            Some(QuotaMessage::Request { seq, request: of, drawn: unasked, pressure })
                if self.settings.defines(of.plan, of.class) =>
            {
                self.record_peer_pressure(now, pressure);
                let (granted, more) = self.decide_quota(now, (from, seq), &of, unasked);
                let pressure = Some(self.own_pressure.value_or(0.0));
                actions.push(Action::SendToPeer(
                    from,
                    QuotaMessage::Answer { seq, granted, credit_or_pause: more, pressure }.encode(),
                ));
            }
            Some(QuotaMessage::Answer { seq, granted, credit_or_pause: more, pressure }) => {
                self.record_peer_pressure(now, pressure);
                self.on_quota_answer(now, (from, seq), granted, more, actions)
            }
            Some(QuotaMessage::Released { seq, customer }) => {
                self.owned_quotas.entry(customer).and_modify(|quota| quota.release((from, seq)));
            }
            _ => {}
        }
    }

    /// Tells the home that a granted try has ended, where it counts what is out.
    pub(crate) fn release_grant(&mut self, open: &OpenRequest, actions: &mut Vec<Action>) {
        let Some((home, seq)) = open.grant else { return };
        let done = QuotaMessage::Released { seq, customer: open.request.customer };
        match home == self.settings.ingress {
            true => self.on_quota_message(0.0, home, Some(done), actions),
            false => actions.push(Action::SendToPeer(home, done.encode())),
        }
    }

    /// A request draws its units once, when it is first sent on.
    pub(crate) fn draw(&mut self, request: &Request, inside: bool, single: bool) {
        let pooled = self.uses_pool(request.plan, request.spread);
        let Some(customer) = self.customers.get_mut(&request.customer) else { return };
        customer.ceiling.level -= request.units;
        match (pooled, inside) {
            (true, true) => customer.draw_pooled(request.units),
            (false, true) => customer.draw(request.units),
            // What was to be counted is beyond the quota: it goes back.
            (false, false) if single => customer.counter.pending[UNITS] -= request.units,
            (_, false) => {}
        }
    }

    /// The time to the next tick. Prevents gateways that started together from calling the counter all at once.
    pub(crate) fn next_tick(&mut self) -> Millis {
        let spread = if self.usage_source == UsageSource::Counter { 0.5 + self.rng.unit() } else { 1.0 };
        self.report_interval() * spread
    }

    /// Adds to the customer's number what was drawn here, or borrowed less what was lent where the quota has a pool, and
    /// what is out where that is capped: units below `counter_step`, attempts out in multiples of it.
    pub(crate) fn call_counter(
        now: Millis,
        id: CustomerId,
        customer: &mut Customer,
        plan: &Plan,
        actions: &mut Vec<Action>,
    ) {
        if customer.counter.sent_amounts.is_none() {
            let ([drawn, out], step) =
                (customer.counter.begin(now), counter_attempt_step(plan, customer.spread));
            let units = if has_pool(plan, customer.spread) { customer.pool.begin(now) } else { drawn };
            let keep = counter_ttl(plan, customer.spread);
            actions.push(Action::AddToCounter(CounterName(id.0), units + out * step, keep));
        }
    }
}

/// What one attempt out counts beside units in one number; 0 where a slice of the cap is far below one.
pub(crate) fn counter_attempt_step(plan: &Plan, spread: u16) -> f64 {
    let most = plan.rate.max(1.0) * COUNTER_KEEP[0] / 1000.0 + plan.burst;
    let counts = plan.max_in_flight > 0.0 && f64::from(spread) <= SMALL_FLEET_INGRESSES;
    if counts { (2.0 * most).log2().ceil().exp2() } else { 0.0 }
}

/// How long a customer's number is kept: not long where a killed gateway's attempts may be in it.
pub(crate) fn counter_ttl(plan: &Plan, spread: u16) -> Millis {
    match is_sparse(plan, spread) {
        true => (1000.0 * WINDOW * plan.burst / plan.rate).min(COUNTER_KEEP[0]),
        false => COUNTER_KEEP[usize::from(counter_attempt_step(plan, spread) > 0.0)],
    }
}
