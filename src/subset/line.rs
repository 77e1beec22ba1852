//! The line of ingresses behind each backend: all ingresses in the order of their numbers, from one that the backend's
//! id chooses. It is the order in which the decisions fill a cold backend, so those that fill it hold it.

use crate::interface::{BackendId, IngressId};

/// Where one ingress stands in the lines of all backends, among the ingresses that live.
#[derive(Debug, Clone)]
pub struct Line {
    me: IngressId,
    ingresses: u16,
    /// How many live of those with a lower number, by number, and of all at its end; none where all count.
    living_below: Vec<u16>,
}

impl Line {
    /// The lines of a fleet of so many ingresses, all of which count.
    pub fn new(me: IngressId, ingresses: u16) -> Self {
        Self { me, ingresses: ingresses.max(1), living_below: Vec::new() }
    }

    /// Leaves those out that do not live, by number. Where half of the fleet or more is taken for dead, or nothing is
    /// known, all count: this ingress may be the one that is cut off, and a backend's holders at most double.
    pub fn living(&mut self, living: Option<&[bool]>) {
        self.living_below.clear();
        let Some(living) = living.filter(|living| living.len() == usize::from(self.ingresses)) else {
            return;
        };
        let lives = living.iter().filter(|lives| **lives).count();
        let i_live = living.get(usize::from(self.me.0)).copied().unwrap_or(false);
        if 2 * lives <= living.len() || !i_live {
            return;
        }
        let mut below = 0;
        self.living_below.push(below);
        for lives in living {
            below += u16::from(*lives);
            self.living_below.push(below);
        }
    }

    /// How many ingresses count.
    pub fn count(&self) -> u16 {
        self.living_below.last().copied().unwrap_or(self.ingresses)
    }

    /// How many stand before this ingress in a backend's line.
    pub fn place(&self, backend: BackendId) -> u16 {
        let distance = self.me.ring_distance(backend, self.ingresses);
        let below = |number: u16| self.living_below.get(usize::from(number)).copied();
        let me = self.me.0;
        let first = if distance <= me { me - distance } else { self.ingresses - (distance - me) };
        match (below(me), below(first)) {
            (Some(mine), Some(firsts)) if distance <= me => mine - firsts,
            (Some(mine), Some(firsts)) => self.count() - firsts + mine,
            _ => distance,
        }
    }
}
