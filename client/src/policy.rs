//! What follows a try: whether there is another, and when. No I/O: events, a clock and chance are passed in.

use std::fmt;

/// A time or a span in milliseconds; the clock starts anywhere and only moves forward.
pub type Millis = f64;

/// Chance: evenly spread from 0 up to 1.
pub type Chance<'a> = &'a mut dyn FnMut() -> f64;

/// What a repeat of a request would do.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetrySafety {
    /// Nothing: it may be repeated at will.
    Safe,
    /// Nothing under the same key, for so long from the first try that may have run.
    Keyed {
        /// For how long.
        window: Millis,
    },
    /// Harm: it must not run twice.
    Unsafe,
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Ended {
    /// It was served.
    Served,
    /// 429 or 503: it never ran. With the time after which to come again, where one was told.
    Refused {
        /// The time told.
        after: Option<Millis>,
    },
    /// Any other status: it may have run.
    Failed,
    /// It never left: no connection, or one that broke before its last byte was written.
    Unsent,
    /// The connection broke after that, or brought what cannot be read: it may have run.
    Broken,
    /// No answer in time: it may have run, or may yet.
    TimedOut,
}

impl Ended {
    /// Whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::Broken | Self::TimedOut)
    }
}

/// What follows a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Next {
    /// Nothing: its end is the call's.
    Done(Why),
    /// Another try at this time.
    Again(Millis),
}

/// Why no further try follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Why {
    /// It was served.
    Served,
    /// It may have run, and the class forbids a repeat.
    Class,
    /// It may have run, and the window in which a repeat is dropped would have passed.
    Window,
    /// The time would have passed before another try could be answered.
    Deadline,
    /// As many tries as there may be.
    Tries,
    /// Retries are a bounded share of what all ask: it is used up.
    Budget,
}

impl fmt::Display for Why {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Served => "it was served",
            Self::Class => "it may have run and must not run twice",
            Self::Window => "it may have run, and its key holds no longer",
            Self::Deadline => "its time is up",
            Self::Tries => "it was tried as often as it may be",
            Self::Budget => "too many retries already",
        })
    }
}

/// How tries follow each other.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Manner {
    /// The most tries of a call.
    pub tries: u32,
    /// Retries for each first try in the long run ...
    pub ratio: f64,
    /// ... and the most saved up.
    pub saved: f64,
    /// The back-off before the first retry where nothing was told, and the most: each is drawn evenly from 0 up to a
    /// bound that doubles (full jitter).
    pub backoff: [Millis; 2],
    /// A told time is waited for to its end, and longer by up to this part of it.
    pub jitter: f64,
    /// Another try is only worth it with this much time left for it.
    pub least: Millis,
}

impl Default for Manner {
    fn default() -> Self {
        Self { tries: 3, ratio: 0.1, saved: 10.0, backoff: [50.0, 1000.0], jitter: 0.5, least: 20.0 }
    }
}

/// A budget of retries for a whole client: in a slowdown of all, retries stay a bounded share of what is asked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Budget {
    left: f64,
}

impl Budget {
    /// A budget that is full.
    pub fn new(manner: &Manner) -> Self {
        Self { left: manner.saved }
    }

    /// A first try leaves.
    pub fn first(&mut self, manner: &Manner) {
        self.left = (self.left + manner.ratio).min(manner.saved);
    }

    fn take(&mut self) -> bool {
        let takes = self.left >= 1.0;
        self.left -= if takes { 1.0 } else { 0.0 };
        takes
    }
}

/// A request over all its tries.
#[derive(Debug, Clone, PartialEq)]
pub struct Call {
    retry_safety: RetrySafety,
    deadline: Millis,
    tries: u32,
    sent: Millis,
    /// When the first try was sent that may have run.
    risky: Option<Millis>,
}

impl Call {
    /// A request of which nothing was sent, with one deadline for all its tries.
    pub fn new(retry_safety: RetrySafety, deadline: Millis) -> Self {
        Self { retry_safety, deadline, tries: 0, sent: f64::NEG_INFINITY, risky: None }
    }

    /// When its time is up.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// How many tries it has had.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Whether a try of it may have run.
    pub fn may_have_run(&self) -> bool {
        self.risky.is_some()
    }

    /// Whether a try may leave now: a wait for a connection may have taken what time there was.
    pub fn may_leave(&self, now: Millis) -> bool {
        now < self.deadline && self.harmless(now)
    }

    /// A try leaves.
    pub fn leaves(&mut self, now: Millis, manner: &Manner, budget: &mut Budget) {
        if self.tries == 0 {
            budget.first(manner);
        }
        (self.tries, self.sent) = (self.tries + 1, now);
    }

    /// Whether a repeat at this time does no harm.
    fn harmless(&self, at: Millis) -> bool {
        match (self.retry_safety, self.risky) {
            (_, None) | (RetrySafety::Safe, _) => true,
            (RetrySafety::Keyed { window }, Some(first)) => at < first + window,
            (RetrySafety::Unsafe, Some(_)) => false,
        }
    }

    /// A try has ended; what follows.
    pub fn ended(
        &mut self,
        now: Millis,
        how: Ended,
        manner: &Manner,
        budget: &mut Budget,
        chance: Chance<'_>,
    ) -> Next {
        if how == Ended::Served {
            return Next::Done(Why::Served);
        }
        if how.may_have_run() && self.risky.is_none() {
            self.risky = Some(self.sent);
        }
        if self.risky.is_some() && self.retry_safety == RetrySafety::Unsafe {
            return Next::Done(Why::Class);
        }
        if self.tries >= manner.tries {
            return Next::Done(Why::Tries);
        }
        let at = now + self.pause(how, manner, chance);
        if at + manner.least > self.deadline {
            return Next::Done(Why::Deadline);
        }
        if !self.harmless(at) {
            return Next::Done(Why::Window);
        }
        if !budget.take() {
            return Next::Done(Why::Budget);
        }
        Next::Again(at)
    }

    fn pause(&self, how: Ended, manner: &Manner, chance: Chance<'_>) -> Millis {
        if let Ended::Refused { after: Some(after) } = how {
            return after * (1.0 + manner.jitter * chance());
        }
        let doubled = manner.backoff[0] * f64::from(1u32 << self.tries.saturating_sub(1).min(16));
        doubled.min(manner.backoff[1]) * chance()
    }
}

/// The longest time that a refusal can tell: more is taken for this.
const LONGEST: Millis = 3_600_000.0;

/// Reads `Retry-After` in seconds, whole or decimal; what is no number, or below nothing, tells nothing.
pub fn retry_after(value: &[u8]) -> Option<Millis> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let plain = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| plain)?;
    Some((seconds * 1000.0).min(LONGEST))
}

#[cfg(test)]
mod tests;
