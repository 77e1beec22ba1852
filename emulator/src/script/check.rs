//! Validation of a script; each error names the key of the invalid value.

use super::{MachineKind, Plan, RepeatSafety, Script, TroubleKind, UniformRange};
use std::collections::BTreeSet;

/// The most ingresses of a run.
const MAX_INGRESSES: u16 = 5000;
/// The most backends at the start of a run.
const MAX_BACKENDS: u32 = 5000;
/// The most requests of a run, which need several gigabytes of memory.
const MAX_REQUESTS: f64 = 5e6;

/// `Ok`, or the fault in one line that names the key.
type CheckResult = Result<(), String>;

fn check_positive(key: &str, value: f64) -> CheckResult {
    if value.is_finite() && value > 0.0 { Ok(()) } else { Err(format!("{key} must be above 0")) }
}

fn check_not_negative(key: &str, value: f64) -> CheckResult {
    if value.is_finite() && value >= 0.0 { Ok(()) } else { Err(format!("{key} must not be negative")) }
}

fn check_fraction(key: &str, value: f64) -> CheckResult {
    if (0.0..=1.0).contains(&value) { Ok(()) } else { Err(format!("{key} must lie between 0 and 1")) }
}

fn check_range(key: &str, [least, most]: UniformRange) -> CheckResult {
    check_not_negative(key, least)?;
    let ordered = most.is_finite() && least <= most;
    if ordered { Ok(()) } else { Err(format!("{key} must be two values, the lower one first")) }
}

impl Script {
    /// Checks all values.
    pub(super) fn check(&self) -> CheckResult {
        check_positive("length", self.length)?;
        self.check_ingresses()?;
        self.check_kinds()?;
        self.check_backends()?;
        self.check_network()?;
        self.check_shared()?;
        self.check_load()?;
        self.check_classes()?;
        self.check_plans()?;
        self.check_request_count()?;
        (0..self.troubles.len()).try_for_each(|i| self.check_trouble(i))
    }

    fn check_ingresses(&self) -> CheckResult {
        let count = self.ingresses.count;
        if count == 0 {
            return Err("ingresses.count must be above 0".into());
        }
        if count > MAX_INGRESSES {
            return Err(format!("ingresses.count: {count} exceeds the limit of {MAX_INGRESSES}"));
        }
        if self.ingresses.max_attempts == 0 {
            return Err("ingresses.max_attempts must be above 0".into());
        }
        check_range("ingresses.notice", self.ingresses.notice)
    }

    fn check_kinds(&self) -> CheckResult {
        let count = self.initial_backends();
        if self.kinds.is_empty() || count == 0 {
            return Err("kinds: there must be at least one backend".into());
        }
        if count > MAX_BACKENDS {
            return Err(format!("kinds: {count} exceeds the limit of {MAX_BACKENDS}"));
        }
        self.kinds.iter().enumerate().try_for_each(|(i, kind)| check_kind(i, kind))
    }

    fn check_backends(&self) -> CheckResult {
        let backends = &self.servers;
        for (key, share) in
            [("servers.cold_from", backends.cold_from), ("servers.told_cold_from", backends.told_cold_from)]
        {
            check_fraction(key, share)?;
            check_positive(key, share)?;
        }
        check_positive("servers.cold", backends.cold)?;
        check_positive("servers.fall_multiple", backends.fall_multiple)?;
        check_positive("servers.fall_window", backends.fall_window)?;
        check_positive("servers.told_cold", backends.told_cold)?;
        check_positive("servers.cell", f64::from(backends.cell))?;
        check_range("servers.report_every", backends.report_every)?;
        check_positive("servers.report_every", backends.report_every[0])?;
        check_range("servers.report_delay", backends.report_delay)?;
        check_fraction("servers.report_noise", backends.report_noise)?;
        check_not_negative("servers.handshake", backends.handshake)?;
        check_not_negative("servers.handshake_work", backends.handshake_work)?;
        check_not_negative("servers.fall_slack", backends.fall_slack)
    }

    fn check_network(&self) -> CheckResult {
        let network = &self.network;
        check_positive("network.halls", f64::from(network.halls))?;
        check_range("network.same", network.same)?;
        check_range("network.cross", network.cross)?;
        check_range("network.client", network.client)?;
        check_fraction("network.late_connections", network.late_connections)?;
        check_range("network.late_by", network.late_by)?;
        check_not_negative("network.connect_timeout", network.connect_timeout)?;
        check_fraction("network.lost_answers", network.lost_answers)
    }

    /// Checks what all ingresses share: discovery, the counter and peer messages.
    fn check_shared(&self) -> CheckResult {
        check_range("discovery.notice", self.discovery.notice)?;
        check_range("discovery.spread", self.discovery.spread)?;
        check_range("discovery.add", self.discovery.add)?;
        check_positive("discovery.asks_per_second", self.discovery.asks_per_second)?;
        if let Some(counter) = &self.counter {
            check_positive("counter.parts", counter.parts as f64)?;
            check_positive("counter.calls_per_second", counter.calls_per_second)?;
            check_not_negative("counter.line", counter.line)?;
            check_range("counter.time", counter.time)?;
            check_positive("counter.timeout", counter.timeout)?;
        }
        if let Some(peers) = &self.peers {
            check_range("peers.delay", peers.delay)?;
            check_fraction("peers.loss", peers.loss)?;
            check_positive("peers.per_second", peers.per_second)?;
        }
        Ok(())
    }

    fn check_load(&self) -> CheckResult {
        let load = &self.load;
        check_positive("load.level", load.level)?;
        check_range("load.backoff", load.backoff)?;
        check_range("load.try_share", load.try_share)?;
        check_positive("load.try_share", load.try_share[0])?;
        check_fraction("load.try_share", load.try_share[1])?;
        check_range("load.shifts", load.shifts)?;
        check_positive("load.shifts", load.shifts[0])?;
        check_not_negative("load.uneven", load.uneven)?;
        load.kinds.iter().try_for_each(|share| check_fraction("load.kinds", *share))?;
        check_fraction("load.kinds", load.kinds.iter().sum())?;
        load.floods.iter().try_for_each(|times| check_positive("load.floods", *times))?;
        let [least, most] = load.spread;
        if least == 0 || least > most {
            return Err("load.spread must be two values above 0, the lower one first".into());
        }
        check_positive("load.largest", f64::from(load.largest))
    }

    fn check_classes(&self) -> CheckResult {
        if self.classes.is_empty() || self.plans.is_empty() {
            return Err("there must be at least one class and one plan".into());
        }
        let mut names = BTreeSet::new();
        for (i, class) in self.classes.iter().enumerate() {
            if !names.insert(&class.name) {
                return Err(format!("classes.{i}.name: {} is named twice", class.name));
            }
            let key = |name: &str| format!("classes.{i}.{name}");
            check_positive(&key("share"), class.share)?;
            check_positive(&key("work"), class.work)?;
            check_positive(&key("aim"), class.aim)?;
            check_positive(&key("give_up"), class.give_up)?;
            check_positive(&key("worth"), class.worth)?;
            if let RepeatSafety::Keyed { window } = class.repeat {
                check_positive(&key("repeat.keyed.window"), window)?;
            }
        }
        Ok(())
    }

    fn check_plans(&self) -> CheckResult {
        let mut names = BTreeSet::new();
        for (i, plan) in self.plans.iter().enumerate() {
            if !names.insert(&plan.name) {
                return Err(format!("plans.{i}.name: {} is named twice", plan.name));
            }
            check_plan(i, plan)?;
        }
        Ok(())
    }

    fn check_request_count(&self) -> CheckResult {
        let requests = self.length * self.load.level * self.warm_capacity() / self.mean_work();
        if requests > MAX_REQUESTS {
            return Err(format!("length: {requests:.0} requests exceed the limit of {MAX_REQUESTS:.0}"));
        }
        Ok(())
    }

    fn check_trouble(&self, i: usize) -> CheckResult {
        let trouble = &self.troubles[i];
        let key = |name: &str| format!("troubles.{i}.{name}");
        check_not_negative(&key("at"), trouble.at)?;
        check_fractions(&trouble.kind, key)?;
        check_factors_and_durations(&trouble.kind, key)?;
        if let TroubleKind::PartitionHall { hall, .. } = trouble.kind
            && hall >= self.network.halls
        {
            return Err(format!("{}: no hall {hall}", key("hall")));
        }
        Ok(())
    }
}

fn check_kind(i: usize, kind: &MachineKind) -> CheckResult {
    let key = |name: &str| format!("kinds.{i}.{name}");
    check_positive(&key("cores"), f64::from(kind.cores))?;
    check_range(&key("speed"), kind.speed)?;
    check_positive(&key("speed"), kind.speed[0])?;
    check_positive(&key("slots"), kind.slots)?;
    check_not_negative(&key("queue"), kind.queue)?;
    check_fraction(&key("errors"), kind.errors)
}

fn check_plan(i: usize, plan: &Plan) -> CheckResult {
    let key = |name: &str| format!("plans.{i}.{name}");
    check_positive(&key("share"), plan.share)?;
    check_positive(&key("rate"), plan.rate)?;
    check_positive(&key("burst"), plan.burst)?;
    check_positive(&key("worth"), plan.worth)?;
    if plan.unrated {
        check_positive(&key("at_once"), plan.at_once)?;
    }
    check_not_negative(&key("at_once"), plan.at_once)?;
    check_not_negative(&key("ceiling"), plan.ceiling)?;
    check_not_negative(&key("beyond"), plan.beyond)
}

/// Checks the fractions of a trouble.
fn check_fractions(kind: &TroubleKind, key: impl Fn(&str) -> String) -> CheckResult {
    match kind {
        TroubleKind::CrashIngresses { share, .. } | TroubleKind::ShiftCustomers { share } => {
            check_fraction(&key("share"), *share)
        }
        TroubleKind::RollIngresses { share, at_once, .. }
        | TroubleKind::ReplaceBackends { share, at_once, .. }
        | TroubleKind::RemoveBackends { share, at_once, .. }
        | TroubleKind::RestartBackends { share, at_once, .. } => {
            check_fraction(&key("share"), *share)?;
            check_fraction(&key("at_once"), *at_once)
        }
        TroubleKind::DegradeBackends { errors, .. } => check_fraction(&key("errors"), *errors),
        TroubleKind::PeerMessageLoss { loss, .. } => check_fraction(&key("loss"), *loss),
        _ => Ok(()),
    }
}

/// Checks the factors and durations of a trouble.
fn check_factors_and_durations(kind: &TroubleKind, key: impl Fn(&str) -> String) -> CheckResult {
    match kind {
        TroubleKind::RollIngresses { at_once, over, .. }
        | TroubleKind::ReplaceBackends { at_once, over, .. }
        | TroubleKind::RemoveBackends { at_once, over, .. }
        | TroubleKind::RestartBackends { at_once, over, .. } => {
            check_positive(&key("at_once"), *at_once)?;
            check_not_negative(&key("over"), *over)?;
        }
        TroubleKind::SlowBackends { times, lasting }
        | TroubleKind::LoadSurge { times, lasting }
        | TroubleKind::DegradeBackends { times, lasting, .. } => {
            check_positive(&key("times"), *times)?;
            check_not_negative(&key("lasting"), *lasting)?;
        }
        TroubleKind::DisableBackends { lasting, .. }
        | TroubleKind::CounterOutage { lasting }
        | TroubleKind::PeerMessageLoss { lasting, .. }
        | TroubleKind::PartitionHall { lasting, .. } => check_not_negative(&key("lasting"), *lasting)?,
        _ => {}
    }
    if let TroubleKind::CrashIngresses { down, .. }
    | TroubleKind::RollIngresses { down, .. }
    | TroubleKind::RestartBackends { down, .. } = kind
    {
        check_range(&key("down"), *down)?;
    }
    if let TroubleKind::RestartBackends { told, .. } = kind {
        check_range(&key("told"), *told)?;
    }
    Ok(())
}
