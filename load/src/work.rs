//! The workload of a run: which requests arrive and when. Arrivals are drawn from a seed before the run
//! starts, so that a run can be repeated and arrivals never wait for answers (open loop).

use std::str::FromStr;
use weldhub_client::RetrySafety;

/// The maximum number of arrivals of a run.
pub const MAX_ARRIVALS: usize = 2_000_000;
/// The maximum duration of a schedule, in seconds.
pub const MAX_SECONDS: f64 = 3600.0;

/// A class of requests in the mix.
#[derive(Debug, Clone, PartialEq)]
pub struct Class {
    /// The name of the class, which is the first segment of its requests' path.
    pub name: String,
    /// The weight of the class among the arrivals, relative to the other classes.
    pub share: f64,
    /// Whether a request of the class can be sent again after it may have run.
    pub retry_safety: RetrySafety,
    /// The deadline of a request over all its tries, in milliseconds from its arrival.
    pub timeout_ms: u32,
}

impl FromStr for Class {
    type Err = String;

    /// Parses `NAME:SHARE:safe|unsafe|keyed=WINDOW:TIMEOUT`, times in milliseconds.
    fn from_str(text: &str) -> Result<Self, String> {
        let parts: Vec<&str> = text.split(':').collect();
        let [name, share, retry_safety, timeout] = parts[..] else {
            return Err("a class must have the form NAME:SHARE:safe|unsafe|keyed=WINDOW:TIMEOUT".into());
        };
        let retry_safety = match retry_safety.split_once('=') {
            None if retry_safety == "safe" => RetrySafety::Safe,
            None if retry_safety == "unsafe" => RetrySafety::Unsafe,
            Some(("keyed", window)) => RetrySafety::Keyed {
                window: window
                    .parse()
                    .map_err(|_| format!("the window {window} is not a number of milliseconds"))?,
            },
            _ => return Err(format!("{retry_safety} is none of safe, unsafe and keyed=WINDOW")),
        };
        let share: f64 = share
            .parse()
            .ok()
            .filter(|s| *s > 0.0 && *s < 1e9)
            .ok_or(format!("the share {share} is not a number above 0 and below 1e9"))?;
        let timeout_ms = timeout
            .parse()
            .ok()
            .filter(|t| *t > 0)
            .ok_or(format!("the timeout {timeout} is not a whole number of milliseconds above 0"))?;
        match name.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-') && !name.is_empty() {
            true => Ok(Self { name: name.into(), share, retry_safety, timeout_ms }),
            false => Err(format!("the class name {name:?} must be ASCII letters, digits and hyphens")),
        }
    }
}

/// A step of the schedule: a constant arrival rate for some time.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Step {
    /// The duration in seconds.
    pub seconds: f64,
    /// The mean number of arrivals per second.
    pub rate: f64,
}

impl FromStr for Step {
    type Err = String;

    /// Parses `SECONDSxRATE`.
    fn from_str(text: &str) -> Result<Self, String> {
        let parse = |text: &str| text.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        let parts = text.split_once('x').and_then(|(seconds, rate)| Some((parse(seconds)?, parse(rate)?)));
        let (seconds, rate) = parts.ok_or(format!("{text} does not have the form SECONDSxRATE"))?;
        Ok(Self { seconds, rate })
    }
}

/// The requests of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Workload {
    /// The seed of the random numbers: the same seed gives the same arrivals.
    pub seed: u64,
    /// The schedule: its steps follow each other.
    pub steps: Vec<Step>,
    /// The mix of classes.
    pub classes: Vec<Class>,
    /// The number of customers. All have the same share of the arrivals.
    pub customers: u64,
    /// The plan of all customers.
    pub plan: String,
    /// The number of ingresses that serve each customer.
    pub spread: usize,
    /// The maximum units of a request. They are uniformly distributed from 1.
    pub max_units: u32,
}

/// A request to be sent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Arrival {
    /// The time of its arrival, in milliseconds from the start of the run.
    pub at: f64,
    /// The index of its class in [`Workload::classes`].
    pub class: usize,
    /// The id of its customer.
    pub customer: u64,
    /// The units that it takes from the quota.
    pub units: u32,
}

impl Workload {
    /// Returns an error that says what is invalid, if anything.
    pub fn validate(&self) -> Result<(), String> {
        let seconds: f64 = self.steps.iter().map(|s| s.seconds).sum();
        let arrivals: f64 = self.steps.iter().map(|s| s.seconds * s.rate).sum();
        match () {
            () if self.classes.is_empty() => Err("at least one class is needed".into()),
            () if self.customers == 0 || self.max_units == 0 || self.spread == 0 => {
                Err("customers, units and spread must be at least 1".into())
            }
            () if seconds > MAX_SECONDS => {
                Err(format!("the schedule lasts {seconds} s, more than the maximum of {MAX_SECONDS} s"))
            }
            () if arrivals > MAX_ARRIVALS as f64 => {
                Err(format!("{arrivals:.0} arrivals are more than the maximum of {MAX_ARRIVALS}"))
            }
            () => Ok(()),
        }
    }

    /// Returns all arrivals in order: a Poisson process at the rate of each step.
    pub fn arrivals(&self) -> Vec<Arrival> {
        let mut rng = fastrand::Rng::with_seed(self.seed);
        let total_share: f64 = self.classes.iter().map(|c| c.share).sum();
        let (mut arrivals, mut step_start) = (Vec::new(), 0.0);
        for step in &self.steps {
            let (mut at, step_end) = (step_start, step_start + step.seconds * 1000.0);
            while step.rate > 0.0 && arrivals.len() < MAX_ARRIVALS {
                at += -(1.0 - rng.f64()).ln() * 1000.0 / step.rate;
                if at >= step_end {
                    break;
                }
                let mut draw = rng.f64() * total_share;
                let class = self.classes.iter().position(|c| {
                    draw -= c.share;
                    draw < 0.0
                });
                let (customer, units) = (rng.u64(0..self.customers), rng.u32(1..=self.max_units));
                arrivals.push(Arrival { at, class: class.unwrap_or(0), customer, units });
            }
            step_start = step_end;
        }
        arrivals
    }

    /// Returns the number of the first ingress that serves a customer, in a fleet of `ingress_count`
    /// ingresses.
    pub fn first_ingress(&self, customer: u64, ingress_count: usize) -> usize {
        (customer % ingress_count.max(1) as u64) as usize
    }
}

#[cfg(test)]
mod tests;
