//! The order in which ingresses are chosen to hold a backend: ascending ingress numbers, wrapping around,
//! from a starting number that the backend's id determines. A cold backend is filled by the ingresses in the
//! same order, so the ingresses that fill it also hold it.

use crate::interface::{BackendId, IngressId};

/// Ranks one ingress in the holding order of each backend, among the live ingresses.
#[derive(Debug, Clone)]
pub struct IngressOrder {
    ingress: IngressId,
    /// The configured number of ingresses.
    ingress_count: u16,
    /// `live_below[n]` is the number of live ingresses whose number is below `n`; the last element counts all
    /// live ingresses. Empty if all ingresses are taken to be live.
    live_below: Vec<u16>,
}

impl IngressOrder {
    /// Creates the order of a fleet of `ingress_count` ingresses, all taken to be live, as seen by `ingress`.
    pub fn new(ingress: IngressId, ingress_count: u16) -> Self {
        Self { ingress, ingress_count: ingress_count.max(1), live_below: Vec::new() }
    }

    /// Sets which ingresses are live, indexed by ingress number; the others are left out of the order.
    ///
    /// All ingresses are taken to be live if `live` is `None`, if its length is not that of the fleet, if it
    /// marks this ingress as not live, or if it marks half of the fleet or more as not live: this ingress may
    /// then be the one that is cut off. The bound also ensures that differing views at most double the number
    /// of a backend's holders.
    pub fn set_live(&mut self, live: Option<&[bool]>) {
        self.live_below.clear();
        let Some(live) = live.filter(|live| live.len() == usize::from(self.ingress_count)) else {
            return;
        };
        let live_count = live.iter().filter(|is_live| **is_live).count();
        let self_live = live.get(usize::from(self.ingress.0)).copied().unwrap_or(false);
        if 2 * live_count <= live.len() || !self_live {
            return;
        }
        let mut below = 0;
        self.live_below.push(below);
        for is_live in live {
            below += u16::from(*is_live);
            self.live_below.push(below);
        }
    }

    /// Returns the number of live ingresses.
    pub fn live_count(&self) -> u16 {
        self.live_below.last().copied().unwrap_or(self.ingress_count)
    }

    /// Returns the number of live ingresses that precede this ingress in the order of `backend`.
    pub fn rank(&self, backend: BackendId) -> u16 {
        let distance = self.ingress.ring_distance(backend, self.ingress_count);
        let below = |number: u16| self.live_below.get(usize::from(number)).copied();
        let own = self.ingress.0;
        let first = if distance <= own { own - distance } else { self.ingress_count - (distance - own) };
        match (below(own), below(first)) {
            (Some(below_own), Some(below_first)) if distance <= own => below_own - below_first,
            (Some(below_own), Some(below_first)) => self.live_count() - below_first + below_own,
            _ => distance,
        }
    }
}
