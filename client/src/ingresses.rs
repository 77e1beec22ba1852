//! Which ingress a try goes to, and when a connection may be opened. No I/O: events, a clock and chance are passed in.

use crate::policy::{Millis, RandomSource};

/// How ingresses are chosen, left out and come back, and how connections are paced.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Care {
    /// Failures in a row that eject an ingress; one that cannot be reached is ejected at once.
    pub failures: u32,
    /// For how long at first, and at most: it doubles each time.
    pub ejected: [Millis; 2],
    /// The most connections to an ingress.
    pub connections: usize,
    /// After a connection to it was lost, an ingress is connected to again once in so long: at first after a part of it
    /// by chance (full jitter), so that clients who lost theirs together come back evenly spread.
    pub spread: Millis,
    /// New connections a second in the long run, over all ingresses, and the most at once.
    pub rate: [f64; 2],
}

impl Default for Care {
    fn default() -> Self {
        Self { failures: 5, ejected: [500.0, 8000.0], connections: 8, spread: 4000.0, rate: [10.0, 16.0] }
    }
}

/// How a try at an ingress went, as far as that tells of the ingress.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Went {
    /// It answered, if only by a refusal.
    Answered,
    /// It failed, broke or was too late.
    Failed,
    /// No connection came up.
    Unreachable,
}

#[derive(Debug, Clone, Copy, Default, PartialEq)]
struct Ingress {
    out: u32,
    failures: u32,
    ejections: u32,
    ejected_until: Millis,
    /// No connection before this, since one was lost.
    not_before: Millis,
    /// Its turn among those who come back has been drawn.
    drawn: bool,
    open: usize,
}

/// The ingresses of a fleet, by number.
#[derive(Debug, Clone, PartialEq)]
pub struct Ingresses {
    care: Care,
    all: Vec<Ingress>,
    tokens: f64,
    at: Millis,
}

impl Ingresses {
    /// So many ingresses of which nothing is known.
    pub fn new(many: usize, care: Care, now: Millis) -> Self {
        Self { care, all: vec![Ingress::default(); many], tokens: care.rate[1], at: now }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// The ingresses of a set: `spread` in a row from number `first`, counted round.
    pub fn set(&self, spread: usize, first: usize) -> impl Iterator<Item = usize> + use<> {
        let many = self.all.len();
        (0..spread.min(many)).map(move |i| (first + i) % many)
    }

    /// The one for a try: of two of the set by chance, the one with less out. Those that are ejected, or were tried
    /// before, come last: if all are, the one that comes back first.
    pub fn pick(
        &self,
        now: Millis,
        set: impl Iterator<Item = usize>,
        tried: &[usize],
        chance: RandomSource<'_>,
    ) -> Option<usize> {
        let mut well = Vec::new();
        let mut best: Option<((bool, Millis), usize)> = None;
        for i in set {
            let ingress = self.all.get(i)?;
            let rank = (tried.contains(&i), ingress.ejected_until.max(ingress.not_before));
            if ingress.ejected_until <= now && !tried.contains(&i) {
                well.push(i);
            }
            if best.is_none_or(|(least, _)| rank < least) {
                best = Some((rank, i));
            }
        }
        // Those that hold a connection, or may open one now, before those that have to wait.
        let ready = |i: &usize| self.all[*i].open > 0 || self.all[*i].not_before <= now;
        if well.iter().any(ready) {
            well.retain(ready);
        }
        match well.len() {
            0 => best.map(|(_, i)| i),
            n => {
                let draw = |chance: RandomSource<'_>| well[((chance() * n as f64) as usize).min(n - 1)];
                let (one, two) = (draw(chance), draw(chance));
                Some(if self.all[two].out < self.all[one].out { two } else { one })
            }
        }
    }

    /// A try begins at an ingress.
    pub fn begins(&mut self, i: usize) {
        self.all[i].out += 1;
    }

    /// It has ended.
    pub fn ends(&mut self, now: Millis, i: usize, went: Went, chance: RandomSource<'_>) {
        let care = self.care;
        let ingress = &mut self.all[i];
        ingress.out = ingress.out.saturating_sub(1);
        match went {
            Went::Answered => (ingress.failures, ingress.ejections) = (0, 0),
            Went::Failed => ingress.failures += 1,
            Went::Unreachable => ingress.failures = care.failures,
        }
        if ingress.failures >= care.failures && ingress.ejected_until <= now {
            let long = (care.ejected[0] * f64::from(1u32 << ingress.ejections.min(16))).min(care.ejected[1]);
            ingress.ejected_until = now + long * (0.5 + 0.5 * chance());
            (ingress.ejections, ingress.failures) = (ingress.ejections + 1, care.failures - 1);
        }
    }

    /// Whether a connection to an ingress may be opened now; if not, after how long to ask again. A yes counts.
    pub fn may_connect(&mut self, now: Millis, i: usize) -> Result<(), Millis> {
        let [rate, most] = self.care.rate;
        self.tokens = (self.tokens + rate * (now - self.at).max(0.0) / 1000.0).min(most);
        self.at = self.at.max(now);
        let ingress = &mut self.all[i];
        if ingress.not_before > now {
            return Err(ingress.not_before - now);
        }
        if ingress.open >= self.care.connections {
            return Err(f64::INFINITY);
        }
        if self.tokens < 1.0 {
            return Err((1.0 - self.tokens) * 1000.0 / rate.max(0.001));
        }
        self.tokens -= 1.0;
        ingress.open += 1;
        Ok(())
    }

    /// A connection did not come up. The next attempt is by chance within a round, and from then on one round later
    /// each, so that the spread stays.
    pub fn not_connected(&mut self, now: Millis, i: usize, chance: RandomSource<'_>) {
        self.closed(i);
        let part = if self.all[i].drawn { 1.0 } else { chance() };
        (self.all[i].not_before, self.all[i].drawn) = (now + self.care.spread * part, true);
    }

    /// A connection came up: others may follow.
    pub fn connected(&mut self, i: usize) {
        (self.all[i].not_before, self.all[i].drawn) = (0.0, false);
    }

    /// A connection was closed between answers, as either side may.
    pub fn closed(&mut self, i: usize) {
        self.all[i].open = self.all[i].open.saturating_sub(1);
    }

    /// A connection broke: its ingress may have died, and others have lost theirs, too.
    pub fn lost(&mut self, now: Millis, i: usize, chance: RandomSource<'_>) {
        self.closed(i);
        if self.all[i].open == 0 && !self.all[i].drawn {
            (self.all[i].not_before, self.all[i].drawn) = (now + self.care.spread * chance(), true);
        }
    }
}

#[cfg(test)]
mod tests;
