//! Decides whether and when a request is tried again. No I/O: the caller passes in events, the time and
//! random numbers.

use std::fmt;

/// A point in time or a duration, in milliseconds. Points in time count from an arbitrary origin and never go
/// back.
pub type Millis = f64;

/// A source of uniformly distributed random numbers in `[0, 1)`.
pub type RandomSource<'a> = &'a mut dyn FnMut() -> f64;

/// Whether a request that may already have run can be sent again.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetrySafety {
    /// It has no side effects, or is idempotent: it can always be repeated.
    Safe,
    /// Repeats under the same idempotency key are dropped, for a limited time.
    Keyed {
        /// How long the key is remembered, counted from the first try that may have run.
        window: Millis,
    },
    /// It must not run twice.
    Unsafe,
}

/// How a try ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum TryOutcome {
    /// It was served.
    Served,
    /// The ingress answered 429 or 503: the request did not run.
    Rejected {
        /// The value of `Retry-After`; `None` if the answer had none that is valid.
        retry_after: Option<Millis>,
    },
    /// The ingress answered with any other status: the request may have run.
    Failed,
    /// No connection was established, or the connection broke or the deadline passed before the last byte of
    /// the request was written: the request did not run.
    NotSent,
    /// The connection broke after the whole request was written, or the answer was malformed: the request may
    /// have run.
    ConnectionLost,
    /// No answer came before the deadline: the request may have run, or may still run.
    TimedOut,
}

impl TryOutcome {
    /// Returns whether the request may have run.
    pub fn may_have_run(self) -> bool {
        matches!(self, Self::Failed | Self::ConnectionLost | Self::TimedOut)
    }
}

/// What follows the end of a try.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryDecision {
    /// No further try: the outcome of this one is the outcome of the request.
    Stop(StopReason),
    /// Another try at this time.
    RetryAt(Millis),
}

/// Why no further try follows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopReason {
    /// The request was served.
    Served,
    /// The request may have run, and its [`RetrySafety`] forbids a repeat.
    UnsafeToRetry,
    /// The request may have run, and its idempotency key would have expired before the next try.
    DedupWindow,
    /// Too little time would have been left for the next try.
    Deadline,
    /// The maximum number of tries was reached.
    MaxTries,
    /// The client's [`RetryBudget`] is exhausted.
    RetryBudget,
}

impl fmt::Display for StopReason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Served => "it was served",
            Self::UnsafeToRetry => "it may have run and must not run twice",
            Self::DedupWindow => "it may have run and its idempotency key has expired",
            Self::Deadline => "too little time is left before its deadline",
            Self::MaxTries => "the maximum number of tries was reached",
            Self::RetryBudget => "the retry budget is exhausted",
        })
    }
}

/// The limits and delays of retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryPolicy {
    /// The maximum number of tries of a request, the first one included.
    pub max_tries: u32,
    /// Retries that the budget gains with each first try.
    pub budget_ratio: f64,
    /// The maximum number of retries that the budget holds.
    pub budget_capacity: f64,
    /// The upper bound of the back-off before the first retry if the answer had no `Retry-After`. The bound
    /// doubles with each try; the delay is uniformly distributed between 0 and the bound (full jitter).
    pub initial_backoff: Millis,
    /// The maximum of the back-off's upper bound.
    pub max_backoff: Millis,
    /// A retry waits for the whole `Retry-After` and for a random additional delay of up to this fraction of
    /// it.
    pub retry_after_jitter: f64,
    /// The minimum time that must be left before the deadline when a retry is sent.
    pub min_time_left: Millis,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self {
            max_tries: 3,
            budget_ratio: 0.1,
            budget_capacity: 10.0,
            initial_backoff: 50.0,
            max_backoff: 1000.0,
            retry_after_jitter: 0.5,
            min_time_left: 20.0,
        }
    }
}

/// A token bucket of retries that all requests of a client share. It keeps retries a bounded fraction of all
/// requests when the whole fleet is slow or overloaded.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget {
    /// Retries that may still be made.
    tokens: f64,
}

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(policy: &RetryPolicy) -> Self {
        Self { tokens: policy.budget_capacity }
    }

    /// Credits the budget for a first try.
    pub fn deposit(&mut self, policy: &RetryPolicy) {
        self.tokens = (self.tokens + policy.budget_ratio).min(policy.budget_capacity);
    }

    /// Takes one retry from the budget. Returns `false` if there is none left.
    fn withdraw(&mut self) -> bool {
        let allowed = self.tokens >= 1.0;
        self.tokens -= if allowed { 1.0 } else { 0.0 };
        allowed
    }
}

/// The state of a request across its tries.
#[derive(Debug, Clone, PartialEq)]
pub struct RetryState {
    retry_safety: RetrySafety,
    deadline: Millis,
    tries: u32,
    last_sent_at: Millis,
    /// When the first try that may have run was sent. `None` if no try may have run.
    may_have_run_since: Option<Millis>,
}

impl RetryState {
    /// Creates the state of a request that has not been sent, with one deadline for all its tries.
    pub fn new(retry_safety: RetrySafety, deadline: Millis) -> Self {
        Self { retry_safety, deadline, tries: 0, last_sent_at: f64::NEG_INFINITY, may_have_run_since: None }
    }

    /// Returns the time by which the request must be answered.
    pub fn deadline(&self) -> Millis {
        self.deadline
    }

    /// Returns the number of tries sent so far.
    pub fn tries(&self) -> u32 {
        self.tries
    }

    /// Returns whether any try may have run.
    pub fn may_have_run(&self) -> bool {
        self.may_have_run_since.is_some()
    }

    /// Returns whether a try may be sent now. To be checked again right before sending, because the deadline
    /// or the deduplication window may pass while the client waits for a connection.
    pub fn may_send(&self, now: Millis) -> bool {
        now < self.deadline && self.is_repeat_safe(now)
    }

    /// Records that a try is sent. The first one credits the retry budget.
    pub fn try_sent(&mut self, now: Millis, policy: &RetryPolicy, budget: &mut RetryBudget) {
        if self.tries == 0 {
            budget.deposit(policy);
        }
        (self.tries, self.last_sent_at) = (self.tries + 1, now);
    }

    /// Returns whether a try sent at `at` cannot make the request run twice.
    fn is_repeat_safe(&self, at: Millis) -> bool {
        match (self.retry_safety, self.may_have_run_since) {
            (_, None) | (RetrySafety::Safe, _) => true,
            (RetrySafety::Keyed { window }, Some(first)) => at < first + window,
            (RetrySafety::Unsafe, Some(_)) => false,
        }
    }

    /// Records the end of a try and decides what follows. A retry takes one from the budget.
    pub fn try_ended(
        &mut self,
        now: Millis,
        outcome: TryOutcome,
        policy: &RetryPolicy,
        budget: &mut RetryBudget,
        random: RandomSource<'_>,
    ) -> RetryDecision {
        if outcome == TryOutcome::Served {
            return RetryDecision::Stop(StopReason::Served);
        }
        if outcome.may_have_run() && self.may_have_run_since.is_none() {
            self.may_have_run_since = Some(self.last_sent_at);
        }
        if self.may_have_run_since.is_some() && self.retry_safety == RetrySafety::Unsafe {
            return RetryDecision::Stop(StopReason::UnsafeToRetry);
        }
        if self.tries >= policy.max_tries {
            return RetryDecision::Stop(StopReason::MaxTries);
        }
        let at = now + self.retry_delay(outcome, policy, random);
        if at + policy.min_time_left > self.deadline {
            return RetryDecision::Stop(StopReason::Deadline);
        }
        if !self.is_repeat_safe(at) {
            return RetryDecision::Stop(StopReason::DedupWindow);
        }
        if !budget.withdraw() {
            return RetryDecision::Stop(StopReason::RetryBudget);
        }
        RetryDecision::RetryAt(at)
    }

    /// Returns the delay before the next try: `Retry-After` with jitter, or else exponential back-off.
    fn retry_delay(&self, outcome: TryOutcome, policy: &RetryPolicy, random: RandomSource<'_>) -> Millis {
        if let TryOutcome::Rejected { retry_after: Some(retry_after) } = outcome {
            return retry_after * (1.0 + policy.retry_after_jitter * random());
        }
        let doubled = policy.initial_backoff * f64::from(1u32 << self.tries.saturating_sub(1).min(16));
        doubled.min(policy.max_backoff) * random()
    }
}

/// The longest delay accepted from `Retry-After`; longer ones are reduced to it.
const MAX_RETRY_AFTER: Millis = 3_600_000.0;

/// Parses the value of `Retry-After`, in whole or decimal seconds. Returns `None` if it is negative or not a
/// decimal number.
pub fn parse_retry_after(value: &[u8]) -> Option<Millis> {
    let text = std::str::from_utf8(value).ok()?.trim();
    let is_decimal = !text.is_empty() && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let seconds: f64 = text.parse().ok().filter(|_| is_decimal)?;
    Some((seconds * 1000.0).min(MAX_RETRY_AFTER))
}

#[cfg(test)]
mod tests;
