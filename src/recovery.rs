//! The recovery of an instance after its start: which information it has, which is missing, and how long each
//! stage took. No I/O and no clock of its own. The design is described in `docs/recovery.md`.

use crate::interface::Millis;
use std::fmt::Write;

/// The time that an instance must have served before it counts as fully recovered, in milliseconds. During
/// this time the other instances send it the quotas that they have granted.
const QUOTA_SYNC_PERIOD: Millis = 3000.0;

/// How far an instance has recovered.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Started, without any list of backends.
    Begun,
    /// Has a list from an earlier process, and waits for a current one.
    Listening,
    /// Serves, although some information is missing.
    Partial,
    /// Fully recovered: nothing is missing.
    Whole,
}

impl Stage {
    const ALL: [Self; 4] = [Self::Begun, Self::Listening, Self::Partial, Self::Whole];

    /// Returns the name that the admin interface and the log use.
    pub fn name(self) -> &'static str {
        match self {
            Self::Begun => "begun",
            Self::Listening => "listening",
            Self::Partial => "partial",
            Self::Whole => "whole",
        }
    }
}

/// A change of what an instance knows, or of whether it serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveryEvent {
    /// A list of backends is available, of any age.
    ListLoaded,
    /// Discovery or Consul has sent a list.
    ListReceived,
    /// The instance has begun to serve.
    Serving,
    /// The live members of the fleet are known (`true`), or no longer known (`false`).
    FleetView(bool),
}

/// A change of stage: the old stage, the new one, and the time spent in the old one, in milliseconds.
pub type StageChange = (Stage, Stage, Millis);

/// Tracks the recovery of an instance. All times are Unix milliseconds.
#[derive(Debug, Clone)]
pub struct Recovery {
    /// Whether membership of a fleet is configured.
    in_fleet: bool,
    started_at: Millis,
    has_list: bool,
    list_received: bool,
    has_fleet_view: bool,
    /// `None` until the instance serves.
    serving_since: Option<Millis>,
    stage: Stage,
    stage_since: Millis,
    /// The time spent in each stage before the current one, in milliseconds.
    time_in_stage: [Millis; 4],
    /// The time from the start to the first [`Stage::Whole`], in milliseconds.
    whole_after: Option<Millis>,
}

impl Recovery {
    /// Creates the recovery of an instance that starts at `now`. If `in_fleet` is true, it is not whole
    /// before it knows the live members of the fleet.
    pub fn new(in_fleet: bool, now: Millis) -> Self {
        Self {
            in_fleet,
            started_at: now,
            has_list: false,
            list_received: false,
            has_fleet_view: false,
            serving_since: None,
            stage: Stage::Begun,
            stage_since: now,
            time_in_stage: [0.0; 4],
            whole_after: None,
        }
    }

    /// Records an event and returns the change of stage that follows from it, if any.
    pub fn record(&mut self, now: Millis, event: RecoveryEvent) -> Option<StageChange> {
        match event {
            RecoveryEvent::ListLoaded => self.has_list = true,
            RecoveryEvent::ListReceived => (self.has_list, self.list_received) = (true, true),
            RecoveryEvent::Serving => self.serving_since = Some(self.serving_since.unwrap_or(now)),
            RecoveryEvent::FleetView(known) => self.has_fleet_view = known,
        }
        self.tick(now)
    }

    /// Returns the change of stage that the passage of time brings about, if any.
    pub fn tick(&mut self, now: Millis) -> Option<StageChange> {
        let missing = self.missing(now).next().is_some();
        let stage = match (self.serving_since, self.has_list) {
            (Some(_), _) if missing => Stage::Partial,
            (Some(_), _) => Stage::Whole,
            (None, true) => Stage::Listening,
            (None, false) => Stage::Begun,
        };
        if stage == self.stage {
            return None;
        }
        let (before, span) = (self.stage, (now - self.stage_since).max(0.0));
        self.time_in_stage[before as usize] += span;
        (self.stage, self.stage_since) = (stage, now);
        if stage == Stage::Whole {
            self.whole_after.get_or_insert(now - self.started_at);
        }
        Some((before, stage, span))
    }

    /// Returns the time of the next [`Self::tick`] that may change the stage, in Unix milliseconds, or `None`
    /// if only an event can change it.
    pub fn next_tick(&self) -> Option<Millis> {
        self.serving_since.map(|at| at + QUOTA_SYNC_PERIOD).filter(|_| self.stage == Stage::Partial)
    }

    /// Returns the current stage.
    pub fn stage(&self) -> Stage {
        self.stage
    }

    /// Returns the names of what is missing, as the admin interface shows them.
    pub fn missing(&self, now: Millis) -> impl Iterator<Item = &'static str> {
        let quotas_synced = self.serving_since.is_some_and(|at| now >= at + QUOTA_SYNC_PERIOD);
        let all = [
            ("list", self.list_received),
            ("view", self.has_fleet_view || !self.in_fleet),
            ("serving", self.serving_since.is_some()),
            ("hearing", quotas_synced),
        ];
        all.into_iter().filter(|(_, has)| !has).map(|(what, _)| what)
    }

    /// Returns the report that the admin interface shows: the stage and its duration so far, what is missing,
    /// the time spent in each stage, and the time until the instance was first whole. All times in
    /// milliseconds.
    pub fn report(&self, now: Millis) -> String {
        let mut text = String::new();
        let _ = writeln!(text, "stage {} {:.0}", self.stage.name(), (now - self.stage_since).max(0.0));
        for what in self.missing(now) {
            let _ = writeln!(text, "missing {what}");
        }
        for stage in Stage::ALL {
            let current = if stage == self.stage { (now - self.stage_since).max(0.0) } else { 0.0 };
            let _ =
                writeln!(text, "spent {} {:.0}", stage.name(), self.time_in_stage[stage as usize] + current);
        }
        if let Some(whole) = self.whole_after {
            let _ = writeln!(text, "whole_after {whole:.0}");
        }
        text
    }
}

#[cfg(test)]
mod tests;
