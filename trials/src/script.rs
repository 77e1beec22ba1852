//! What a trial does, as TOML. Times are in milliseconds from the moment when all ingresses are ready.

use serde::{Deserialize, Serialize};

/// The most ingresses of a trial.
pub const MOST: usize = 64;

/// A trial.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Script {
    /// For chance in the relay.
    #[serde(default = "one")]
    pub seed: u64,
    /// How many ingresses there are.
    pub ingresses: usize,
    /// How many stand-in real servers.
    pub servers: usize,
    /// What a stand-in takes for an answer, in milliseconds.
    #[serde(default = "work")]
    pub work: u64,
    /// How long the trial takes.
    pub length: u64,
    /// Requests a second, through all ingresses together; none: 0.
    #[serde(default)]
    pub rate: f64,
    /// What holds between every two ingresses, throughout.
    #[serde(default)]
    pub net: Net,
    /// What happens.
    #[serde(default)]
    pub faults: Vec<Fault>,
    /// After the last fault has ended, so long until all must have one view.
    #[serde(default = "settle")]
    pub settle: u64,
}

fn one() -> u64 {
    1
}

fn work() -> u64 {
    10
}

fn settle() -> u64 {
    15_000
}

/// What becomes of datagrams on their way.
#[derive(Debug, Clone, Copy, PartialEq, Default, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Net {
    /// The part that is lost.
    #[serde(default)]
    pub loss: f64,
    /// Each is held for a time up to this; so they overtake each other.
    #[serde(default)]
    pub delay: u64,
    /// The part that comes twice.
    #[serde(default)]
    pub twice: f64,
}

/// Something that happens.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When.
    pub at: u64,
    /// What.
    #[serde(rename = "do")]
    pub what: What,
}

/// What can happen.
#[derive(Debug, Clone, PartialEq, Deserialize, Serialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
pub enum What {
    /// SIGKILL to these.
    Kill(Vec<usize>),
    /// SIGTERM to these.
    Term(Vec<usize>),
    /// These are started again, in this order.
    Start(Vec<usize>),
    /// SIGSTOP to these, and SIGCONT after so long.
    Pause {
        /// Whom.
        of: Vec<usize>,
        /// For how long.
        lasting: u64,
    },
    /// No datagram passes from the first to the second ones, and none back unless it is one-sided.
    Cut {
        /// From these.
        from: Vec<usize>,
        /// To these.
        to: Vec<usize>,
        /// Only that way.
        #[serde(default)]
        one_sided: bool,
        /// For how long.
        lasting: u64,
    },
    /// What holds between every two, for so long.
    Net {
        /// What.
        net: Net,
        /// For how long.
        lasting: u64,
    },
}

impl Fault {
    /// When it is over.
    pub fn end(&self) -> u64 {
        self.at
            + match &self.what {
                What::Pause { lasting, .. } | What::Cut { lasting, .. } | What::Net { lasting, .. } => {
                    *lasting
                }
                _ => 0,
            }
    }

    fn whom(&self) -> Vec<usize> {
        match &self.what {
            What::Kill(of) | What::Term(of) | What::Start(of) | What::Pause { of, .. } => of.clone(),
            What::Cut { from, to, .. } => from.iter().chain(to).copied().collect(),
            What::Net { .. } => Vec::new(),
        }
    }
}

impl Script {
    /// Reads and checks one.
    ///
    /// # Errors
    /// One line that names the key at fault.
    pub fn read(text: &str) -> Result<Self, String> {
        let mut this: Self = toml::from_str(text).map_err(|e| e.to_string())?;
        let part = |x: f64| (0.0..=1.0).contains(&x);
        let good = |net: &Net| part(net.loss) && part(net.twice) && net.delay <= 10_000;
        if !(1..=MOST).contains(&this.ingresses) {
            return Err(format!("ingresses={} is not within 1 and {MOST}", this.ingresses));
        }
        if this.servers == 0 || this.servers > 32 {
            return Err(format!("servers={} is not within 1 and 32", this.servers));
        }
        if this.length > 3_600_000 {
            return Err(format!("length={} is more than an hour", this.length));
        }
        if !(0.0..=5000.0).contains(&this.rate) {
            return Err(format!("rate={} is not within 0 and 5000", this.rate));
        }
        if !good(&this.net) {
            return Err("net: loss and twice are parts of 1, delay at most 10000".into());
        }
        for (i, fault) in this.faults.iter().enumerate() {
            if let Some(n) = fault.whom().into_iter().find(|n| *n >= this.ingresses) {
                return Err(format!("faults.{i}: there is no ingress {n}"));
            }
            if fault.end() + this.settle > this.length {
                return Err(format!("faults.{i}: it ends less than settle={} before length", this.settle));
            }
            if matches!(&fault.what, What::Net { net, .. } if !good(net)) {
                return Err(format!("faults.{i}.do.net: loss and twice are parts of 1, delay at most 10000"));
            }
        }
        this.faults.sort_by_key(|fault| fault.at);
        Ok(this)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_script_is_read_and_what_is_wrong_names_its_key() {
        let base = "ingresses = 3\nservers = 2\nlength = 30000\n";
        let fault = |text: &str| Script::read(&format!("{base}[[faults]]\nat = 1000\ndo = {text}\n"));
        assert!(fault("{ kill = [2] }").is_ok());
        assert!(fault("{ cut = { from = [0], to = [1, 2], lasting = 3000 } }").is_ok());
        for (text, key) in [
            ("{ kill = [3] }", "faults.0"),
            ("{ pause = { of = [0], lasting = 29000 } }", "faults.0"),
            ("{ smash = [0] }", "smash"),
            ("{ net = { net = { loss = 1.5 }, lasting = 10 } }", "faults.0.do.net"),
            ("{ net = { net = { lost = 0.5 }, lasting = 10 } }", "lost"),
        ] {
            let wrong = fault(text).unwrap_err();
            assert!(wrong.contains(key), "{key}: {wrong}");
        }
        for (text, key) in [
            ("ingresses = 0\nservers = 1\nlength = 1", "ingresses"),
            ("servers = 1\nlength = 1", "ingresses"),
        ] {
            assert!(Script::read(text).unwrap_err().contains(key));
        }
    }
}
