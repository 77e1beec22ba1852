//! The text that the admin interface returns about the fleet.

use super::Cluster;
use super::notices::Subject;
use super::packet::{Identity, State};
use crate::interface::Millis;
use std::fmt::Write;

/// Returns the name of a state, as in reports and in the log.
pub(super) fn state_name(state: State) -> &'static str {
    match state {
        State::Alive => "alive",
        State::Suspect => "suspect",
        State::Dead => "dead",
        State::Left => "left",
    }
}

/// Returns one line per member, this instance first: name, number, address, state, the time in that state in
/// milliseconds, and `drained` if an operator has drained it.
pub fn members(cluster: &Cluster, now: Millis) -> String {
    let mut text = String::new();
    let mut line = |id: &Identity, state: &str, time_in_state: Millis| {
        let drained = cluster.notices().is_active(&Subject::Ingress(id.name.clone()));
        let drained = if drained { " drained" } else { "" };
        let _ = writeln!(
            text,
            "{} {} {} {state} {:.0}{drained}",
            id.name,
            id.number,
            id.address,
            time_in_state.max(0.0)
        );
    };
    line(cluster.local(), if cluster.live_ingresses().is_some() { "self" } else { "asking" }, 0.0);
    cluster.members().for_each(|(id, state, since)| line(id, state_name(state), now - since));
    text
}

/// Returns one line per notice: its subject, its effect, its age in milliseconds or `-` if unknown, and the
/// number of the ingress where it was issued.
pub fn notices(cluster: &Cluster, now: Millis) -> String {
    let mut text = String::new();
    for notice in cluster.notices().iter() {
        let (name, state) = match (&notice.subject, notice.active) {
            (Subject::Backend(name), true) => (name, "server out"),
            (Subject::Backend(name), false) => (name, "server back"),
            (Subject::Ingress(name), true) => (name, "ingress drained"),
            (Subject::Ingress(name), false) => (name, "ingress resumed"),
        };
        let age = (notice.issued_at > 0).then(|| format!("{:.0}", (now - notice.issued_at as f64).max(0.0)));
        let _ = writeln!(text, "{name} {state} {} {}", age.as_deref().unwrap_or("-"), notice.origin);
    }
    text
}

/// Returns the metrics of the fleet, one line per metric with its name and value.
pub fn metrics(cluster: &Cluster) -> String {
    let mut text = String::new();
    let count = |state| cluster.members().filter(|(_, s, _)| *s == state).count();
    let counts = cluster.counts();
    for (name, n) in [
        ("alive", count(State::Alive) + 1),
        ("suspect", count(State::Suspect)),
        ("dead", count(State::Dead)),
        ("left", count(State::Left)),
        ("notices", cluster.notices().iter().filter(|notice| notice.active).count()),
        ("asking", usize::from(cluster.live_ingresses().is_none())),
    ] {
        let _ = writeln!(text, "svc_cluster_{name} {n}");
    }
    for (name, n) in [
        ("sent", counts.sent),
        ("heard", counts.received),
        ("unreadable", counts.malformed),
        ("strangers", counts.foreign),
        ("refused", counts.rejected + cluster.notices().rejected()),
        ("contradicted", counts.refuted),
    ] {
        let _ = writeln!(text, "svc_cluster_{name}_total {n}");
    }
    text
}
