//! Suspicions: how long a suspect has to refute one, and what happens if it does not.

use super::packet::{Claim, State};
use super::view::Source;
use super::{Action, Cluster};
use crate::interface::Millis;

/// The number of suspicion timeouts after which a suspicion that came by gossip ends; this instance then
/// probes the suspect itself.
const UNCONFIRMED_FACTOR: f64 = 2.0;
/// The number of members above which suspicion timeouts grow with the fleet.
const SMALL_FLEET: f64 = 10.0;

/// A suspicion that a member has not refuted yet.
#[derive(Debug, Clone, Copy)]
pub(super) struct Suspicion {
    /// When the suspicion ends, in milliseconds.
    pub(super) expires_at: Millis,
    /// Whether this instance itself has probed the member and got no answer.
    pub(super) confirmed: bool,
}

impl Cluster {
    /// Returns a suspicion that begins now with a claim from this source.
    pub(super) fn new_suspicion(&self, now: Millis, source: Source) -> Suspicion {
        let timeout = self.suspicion_timeout();
        if source == Source::Local {
            return Suspicion { expires_at: now + timeout, confirmed: true };
        }
        Suspicion { expires_at: now + UNCONFIRMED_FACTOR * timeout, confirmed: false }
    }

    /// Returns how long a suspect has to refute a suspicion, in milliseconds: longer in a large fleet, and
    /// while this instance is unhealthy.
    fn suspicion_timeout(&self) -> Millis {
        let fleet_size = (self.members.len() + 1) as f64;
        let growth = (fleet_size / SMALL_FLEET).log10().max(0.0);
        self.timing.suspicion_timeout * (1.0 + growth / 2.0) * (1.0 + f64::from(self.health_score) / 2.0)
    }

    /// Ends the suspicions that have expired: a confirmed one declares the member dead, another one makes it
    /// the next member to be probed.
    pub(super) fn expire_suspicions(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let expired = |suspicion: Suspicion| now >= suspicion.expires_at;
        let suspects = self.members.not_alive().filter(|member| member.suspicion.is_some_and(expired));
        let names: Vec<String> = suspects.map(|member| member.identity.name.clone()).collect();
        for name in names {
            let Some(member) = self.members.get_mut(&name) else { continue };
            if member.suspicion.is_some_and(|suspicion| suspicion.confirmed) {
                let claim = Claim { state: State::Dead, ..member.claim() };
                self.apply_claim(now, claim, Source::Gossip, actions);
            } else {
                let expires_at = now + UNCONFIRMED_FACTOR * self.timing.suspicion_timeout;
                member.suspicion = Some(Suspicion { expires_at, confirmed: false });
                self.probe_order.retain(|other| *other != name);
                self.probe_order.push_front(name);
            }
        }
    }
}
