//! What is asked, and when: drawn ahead from a seed, so that a run can be played again and arrivals never wait for
//! answers.

use std::str::FromStr;
use weldhub_client::RetrySafety;

/// The most arrivals of a run.
pub const MOST: usize = 2_000_000;
/// The longest run, in seconds.
pub const LONGEST: f64 = 3600.0;

/// A class of requests in the mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// Its name, as the path's first part.
    pub name: String,
    /// Its part of the arrivals, beside the others'.
    pub share: f64,
    /// What a repeat does.
    pub retry_safety: RetrySafety,
    /// How long its clients wait, in milliseconds.
    pub timeout: u32,
}

impl FromStr for Class {
    type Err = String;

    /// `NAME:SHARE:safe|unsafe|keyed=WINDOW:TIMEOUT`, times in milliseconds.
    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(':').collect();
        let [name, share, retry_safety, timeout] = parts[..] else {
            return Err("a class is NAME:SHARE:EFFECT:TIMEOUT".into());
        };
        let retry_safety = match retry_safety.split_once('=') {
            None if retry_safety == "safe" => RetrySafety::Safe,
            None if retry_safety == "unsafe" => RetrySafety::Unsafe,
            Some(("keyed", window)) => {
                RetrySafety::Keyed { window: window.parse().map_err(|_| format!("{window} is no window"))? }
            }
            _ => return Err(format!("{retry_safety} is none of safe, unsafe and keyed=WINDOW")),
        };
        let share: f64 =
            share.parse().ok().filter(|s| *s > 0.0 && *s < 1e9).ok_or(format!("{share} is no share"))?;
        let timeout = timeout.parse().ok().filter(|t| *t > 0).ok_or(format!("{timeout} is no time"))?;
        match name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') && !name.is_empty() {
            true => Ok(Self { name: name.into(), share, retry_safety, timeout }),
            false => Err(format!("{name} is no name")),
        }
    }
}

/// A step of the schedule: so many seconds at so many arrivals a second.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// How long.
    pub seconds: f64,
    /// Arrivals a second.
    pub rate: f64,
}

impl FromStr for Step {
    type Err = String;

    /// `SECONDSxRATE`.
    fn from_str(text: &str) -> Result<Self, String> {
        let read = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        let parts = text.split_once('x').and_then(|(seconds, rate)| Some((read(seconds)?, read(rate)?)));
        let (seconds, rate) = parts.ok_or(format!("{text} is no SECONDSxRATE"))?;
        Ok(Self { seconds, rate })
    }
}

/// All that is asked in a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Work {
    /// For chance.
    pub seed: u64,
    /// The steps, one after the other.
    pub steps: Vec<Step>,
    /// The mix.
    pub classes: Vec<Class>,
    /// How many customers ask, one as often as another.
    pub customers: u64,
    /// Their plan.
    pub plan: String,
    /// Over how many ingresses each of them is spread.
    pub spread: usize,
    /// Units of a request: one to so many.
    pub units: u32,
}

/// A request to come.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// When, in milliseconds from the start.
    pub at: f64,
    /// Its class, by place.
    pub class: usize,
    /// Its customer.
    pub customer: u64,
    /// Its units.
    pub units: u32,
}

impl Work {
    /// What is wrong with it, if anything.
    pub fn check(&self) -> Result<(), String> {
        let seconds: f64 = self.steps.iter().map(|s| s.seconds).sum();
        let many: f64 = self.steps.iter().map(|s| s.seconds * s.rate).sum();
        match () {
            () if self.classes.is_empty() => Err("there is no class".into()),
            () if self.customers == 0 || self.units == 0 || self.spread == 0 => {
                Err("customers, units and spread begin at 1".into())
            }
            () if seconds > LONGEST => {
                Err(format!("{seconds} s are longer than the {LONGEST} s that a run may take"))
            }
            () if many > MOST as f64 => Err(format!("{many:.0} arrivals are more than the {MOST} of a run")),
            () => Ok(()),
        }
    }

    /// All arrivals, in order: evenly by chance within each step (a Poisson process).
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let all: f64 = self.classes.iter().map(|c| c.share).sum();
        let (mut arrivals, mut begins) = (Vec::new(), 0.0);
        for step in &self.steps {
            let (mut at, ends) = (begins, begins + step.seconds * 1000.0);
            while step.rate > 0.0 && arrivals.len() < MOST {
                at += -(1.0 - rng.f64()).ln() * 1000.0 / step.rate;
                if at >= ends {
                    break;
                }
                let mut draw = rng.f64() * all;
                let class = self.classes.iter().position(|c| {
                    draw -= c.share;
                    draw < 0.0
                });
                let (customer, units) = (rng.u64(0..self.customers), rng.u32(1..=self.units));
                arrivals.push(Arrival { at, class: class.unwrap_or(0), customer, units });
            }
            begins = ends;
        }
        arrivals
    }

    /// The first ingress of a customer's set.
    pub fn first(&self, customer: u64, ingresses: usize) -> usize {
        (customer % ingresses.max(1) as u64) as usize
    }
}

#[cfg(test)]
mod tests;
