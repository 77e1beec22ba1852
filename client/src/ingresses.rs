//! Chooses the ingress of each try, ejects failing ingresses and paces new connections. No I/O: the caller
//! passes in events, the time and random numbers.

use crate::policy::{Millis, RandomSource};

/// Limits for the ejection of failing ingresses and for connections.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct IngressPolicy {
    /// The number of consecutive failures after which an ingress is ejected. An unreachable one is ejected at
    /// once.
    pub failures_to_eject: u32,
    /// The duration of the first ejection. It doubles with each consecutive ejection; half of it is jitter.
    pub base_ejection: Millis,
    /// The maximum duration of an ejection.
    pub max_ejection: Millis,
    /// The maximum number of connections to one ingress.
    pub max_connections: usize,
    /// The interval between attempts to connect to an ingress whose connections were lost. The first attempt
    /// is made after a random part of it (full jitter), so that clients that lost their connections together
    /// reconnect evenly spread over this time.
    pub reconnect_spread: Millis,
    /// The maximum long-term rate of new connections to all ingresses, in connections per second.
    pub connect_rate: f64,
    /// The number of new connections that may be opened at once beyond that rate.
    pub connect_burst: f64,
}

impl Default for IngressPolicy {
    fn default() -> Self {
        Self {
            failures_to_eject: 5,
            base_ejection: 500.0,
            max_ejection: 8000.0,
            max_connections: 8,
            reconnect_spread: 4000.0,
            connect_rate: 10.0,
            connect_burst: 16.0,
        }
    }
}

/// What the end of a try tells about the health of its ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HealthSignal {
    /// The ingress answered; a rejection is an answer, too.
    Answered,
    /// The try failed, lost its connection or timed out.
    Failed,
    /// No connection was established.
    Unreachable,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Ingress {
    /// Tries in flight.
    in_flight: u32,
    consecutive_failures: u32,
    consecutive_ejections: u32,
    ejected_until: Millis,
    /// No connection is opened before this time. 0 if the last attempt to connect succeeded.
    connect_not_before: Millis,
    /// Whether the random delay before reconnecting has been drawn since connections were lost.
    reconnect_drawn: bool,
    /// Connections that are open or being opened.
    connections: usize,
}

/// The ingresses of a fleet, by number, with their health and connections.
#[derive(Debug, Clone, PartialEq)]
pub struct Ingresses {
    policy: IngressPolicy,
    ingresses: Vec<Ingress>,
    /// The token bucket for new connections.
    connect_tokens: f64,
    tokens_updated_at: Millis,
}

impl Ingresses {
    /// Creates `count` ingresses without connections, all of them regarded as healthy.
    pub fn new(count: usize, policy: IngressPolicy, now: Millis) -> Self {
        Self {
            policy,
            ingresses: vec![Ingress::default(); count],
            connect_tokens: policy.connect_burst,
            tokens_updated_at: now,
        }
    }

    /// Returns the number of ingresses.
    pub fn len(&self) -> usize {
        self.ingresses.len()
    }

    /// Returns whether there is no ingress.
    pub fn is_empty(&self) -> bool {
        self.ingresses.is_empty()
    }

    /// Returns the numbers of the ingresses in a customer's set: `spread` consecutive ones from number
    /// `first`, wrapping around.
    pub fn ingress_set(&self, spread: usize, first: usize) -> impl Iterator<Item = usize> + use<> {
        let count = self.ingresses.len();
        (0..spread.min(count)).map(move |i| (first + i) % count)
    }

    /// Picks the ingress for a try: of two drawn at random from the set, the one with fewer tries in flight.
    /// Ingresses that are ejected or in `tried` are used only if no other is left; then the one that becomes
    /// available first is picked, those not in `tried` before the others. Returns `None` if the set is empty
    /// or names an ingress that does not exist.
    pub fn pick(
        &self,
        now: Millis,
        set: impl Iterator<Item = usize>,
        tried: &[usize],
        random: RandomSource<'_>,
    ) -> Option<usize> {
        let mut candidates = Vec::new();
        let mut fallback: Option<((bool, Millis), usize)> = None;
        for index in set {
            let ingress = self.ingresses.get(index)?;
            let rank = (tried.contains(&index), ingress.ejected_until.max(ingress.connect_not_before));
            if ingress.ejected_until <= now && !tried.contains(&index) {
                candidates.push(index);
            }
            if fallback.is_none_or(|(lowest, _)| rank < lowest) {
                fallback = Some((rank, index));
            }
        }
        // Ingresses that have a connection or may open one now are preferred to those that have to wait.
        let is_ready = |index: &usize| {
            self.ingresses[*index].connections > 0 || self.ingresses[*index].connect_not_before <= now
        };
        if candidates.iter().any(is_ready) {
            candidates.retain(is_ready);
        }
        match candidates.len() {
            0 => fallback.map(|(_, index)| index),
            n => {
                let draw = |random: RandomSource<'_>| candidates[((random() * n as f64) as usize).min(n - 1)];
                let (one, two) = (draw(random), draw(random));
                Some(if self.ingresses[two].in_flight < self.ingresses[one].in_flight { two } else { one })
            }
        }
    }

    /// Records that a try starts at ingress `index`.
    pub fn try_started(&mut self, index: usize) {
        self.ingresses[index].in_flight += 1;
    }

    /// Records that a try at ingress `index` has ended, and ejects the ingress after too many failures.
    pub fn try_ended(&mut self, now: Millis, index: usize, signal: HealthSignal, random: RandomSource<'_>) {
        let policy = self.policy;
        let ingress = &mut self.ingresses[index];
        ingress.in_flight = ingress.in_flight.saturating_sub(1);
        match signal {
            HealthSignal::Answered => (ingress.consecutive_failures, ingress.consecutive_ejections) = (0, 0),
            HealthSignal::Failed => ingress.consecutive_failures += 1,
            HealthSignal::Unreachable => ingress.consecutive_failures = policy.failures_to_eject,
        }
        if ingress.consecutive_failures >= policy.failures_to_eject && ingress.ejected_until <= now {
            let duration = (policy.base_ejection * f64::from(1u32 << ingress.consecutive_ejections.min(16)))
                .min(policy.max_ejection);
            ingress.ejected_until = now + duration * (0.5 + 0.5 * random());
            // One more failure after the ejection ejects the ingress again.
            (ingress.consecutive_ejections, ingress.consecutive_failures) =
                (ingress.consecutive_ejections + 1, policy.failures_to_eject - 1);
        }
    }

    /// Reserves a new connection to ingress `index`. `Ok` counts the connection as open and takes a token;
    /// `Err` holds the time after which to try again, which is infinite while the ingress has its maximum
    /// number of connections.
    pub fn reserve_connection(&mut self, now: Millis, index: usize) -> Result<(), Millis> {
        let (rate, burst) = (self.policy.connect_rate, self.policy.connect_burst);
        self.connect_tokens =
            (self.connect_tokens + rate * (now - self.tokens_updated_at).max(0.0) / 1000.0).min(burst);
        self.tokens_updated_at = self.tokens_updated_at.max(now);
        let ingress = &mut self.ingresses[index];
        if ingress.connect_not_before > now {
            return Err(ingress.connect_not_before - now);
        }
        if ingress.connections >= self.policy.max_connections {
            return Err(f64::INFINITY);
        }
        if self.connect_tokens < 1.0 {
            return Err((1.0 - self.connect_tokens) * 1000.0 / rate.max(0.001));
        }
        self.connect_tokens -= 1.0;
        ingress.connections += 1;
        Ok(())
    }

    /// Records that a reserved connection could not be established. The first delay before the next attempt
    /// is a random part of [`IngressPolicy::reconnect_spread`]; the following ones are all of it, so that
    /// clients stay spread.
    pub fn connect_failed(&mut self, now: Millis, index: usize, random: RandomSource<'_>) {
        self.connection_closed(index);
        let part = if self.ingresses[index].reconnect_drawn { 1.0 } else { random() };
        (self.ingresses[index].connect_not_before, self.ingresses[index].reconnect_drawn) =
            (now + self.policy.reconnect_spread * part, true);
    }

    /// Records that a reserved connection was established, so that others may follow without delay.
    pub fn connect_succeeded(&mut self, index: usize) {
        (self.ingresses[index].connect_not_before, self.ingresses[index].reconnect_drawn) = (0.0, false);
    }

    /// Records that a connection was closed between two answers, by either side. No reconnect delay follows.
    pub fn connection_closed(&mut self, index: usize) {
        self.ingresses[index].connections = self.ingresses[index].connections.saturating_sub(1);
    }

    /// Records that a connection broke. If it was the last one, the ingress may have died and other clients
    /// may have lost their connections as well, so a random delay follows before reconnecting.
    pub fn connection_lost(&mut self, now: Millis, index: usize, random: RandomSource<'_>) {
        self.connection_closed(index);
        if self.ingresses[index].connections == 0 && !self.ingresses[index].reconnect_drawn {
            (self.ingresses[index].connect_not_before, self.ingresses[index].reconnect_drawn) =
                (now + self.policy.reconnect_spread * random(), true);
        }
    }
}

#[cfg(test)]
mod tests;
