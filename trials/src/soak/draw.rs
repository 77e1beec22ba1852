//! What a seed plays: the limits of the process, the groups of clients that misbehave, and what happens to the process
//! meanwhile.

use crate::script::{
    ConnectionFault, Fault, FaultKind, LogTarget, Plan, ProcessLimits, QuotaSharing, Script,
};

/// The length of a soak of one seed, in milliseconds.
const LENGTH_MS: u64 = 14_000;
/// The number of backends, each in a cell of its own.
const BACKENDS: usize = 4;
/// The usual requests a second.
const RATE: f64 = 30.0;
/// SIGKILL comes this long after SIGTERM, in milliseconds: the longest deadline and the 0.7 s of the protocol.
pub const KILL_AFTER_MS: u64 = 3700;

/// What a group of clients does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behavior {
    /// They write a long body steadily.
    SteadyUpload,
    /// They stop half way through a long body.
    StoppedUpload,
    /// They write a long body that its backend reads slowly.
    SlowBackendUpload,
    /// They read a long answer slowly.
    SlowReader,
    /// They read an answer whose body comes late.
    LateAnswer,
    /// They send heads of very many short fields.
    ManyFields,
    /// They send requests for ever new customers.
    EverNewNames,
    /// They leave and send the same request again.
    RepeatedId,
    /// They send many requests at once, and leave for good.
    Leave,
    /// They connect and rest.
    Crowd,
    /// They stop shortly before the end of a short body.
    StoppedShortBody,
    /// They send many requests at once and read the answers slowly.
    PipelinedReader,
    /// They read a long answer slowly, with the system's usual buffers.
    LongReader,
    /// They send a body in chunks of one byte.
    TinyChunks,
    /// They write a long body in chunks that its backend reads slowly.
    ChunkedSlowBackendUpload,
}

/// The forms of a second incident. They are drawn beside the others, so that a seed still plays what it played before.
const MORE_BEHAVIORS: [Behavior; 4] =
    [Behavior::StoppedShortBody, Behavior::PipelinedReader, Behavior::LongReader, Behavior::TinyChunks];
/// The forms of a review after that.
const REVIEWED_BEHAVIORS: [Behavior; 1] = [Behavior::ChunkedSlowBackendUpload];
/// Separates the draws that were added later from those before.
const MORE_DRAWS: u64 = 0x5eed;
/// The same for those of the review.
const REVIEWED_DRAWS: u64 = 0xc4a5e;
/// The same for an operator's calls.
const OPERATOR_DRAWS: u64 = 0x0bee;
/// The same for the buffers of backends.
const BUFFER_DRAWS: u64 = 0xb0f;
/// What backends with small buffers hold of a connection, in bytes.
const SMALL_BUFFER_BYTES: u32 = 16 * 1024;
/// How many backends an operator disables at most at a time.
const MAX_DISABLED: usize = 2;
/// How long before and after the start of an upgrade an operator makes most calls, in milliseconds.
const CALLS_AROUND_UPGRADE_MS: std::ops::Range<u64> = 200..2500;

const BEHAVIORS: [Behavior; 10] = [
    Behavior::SteadyUpload,
    Behavior::StoppedUpload,
    Behavior::SlowBackendUpload,
    Behavior::SlowReader,
    Behavior::LateAnswer,
    Behavior::ManyFields,
    Behavior::EverNewNames,
    Behavior::RepeatedId,
    Behavior::Leave,
    Behavior::Crowd,
];

/// A group of clients that do the same.
#[derive(Debug, Clone, Copy)]
pub struct Group {
    /// What they do.
    pub behavior: Behavior,
    /// How many they are.
    pub clients: usize,
    /// When they begin, in milliseconds.
    pub at: u64,
    /// The bytes of a body or an answer.
    pub bytes: usize,
}

/// A change that an operator makes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OperatorChange {
    /// Disables or enables a backend.
    Backend {
        /// Its number.
        backend: usize,
        /// Whether it is disabled.
        disabled: bool,
    },
    /// Drains the instance (`true`) or ends that.
    Drain(bool),
}

impl OperatorChange {
    /// Returns the line of the call.
    pub fn line(self) -> String {
        match self {
            Self::Backend { backend, disabled: true } => format!("disable-server s{backend}"),
            Self::Backend { backend, disabled: false } => format!("enable-server s{backend}"),
            Self::Drain(true) => "drain".to_owned(),
            Self::Drain(false) => "resume".to_owned(),
        }
    }
}

/// The admin interface that an operator calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Interface {
    /// That of the newest process.
    Newest,
    /// That of the process before it, if it still runs.
    Older,
}

/// A call of an operator.
#[derive(Debug, Clone, Copy)]
pub struct OperatorCall {
    /// When it is made, in milliseconds, unless the one before it has not been answered.
    pub at: u64,
    /// What it changes.
    pub change: OperatorChange,
    /// Where it is made.
    pub interface: Interface,
}

/// What a seed plays.
#[derive(Debug, Clone)]
pub struct Soak {
    /// The script for the rig.
    pub script: Script,
    /// The limits of the process.
    pub limits: ProcessLimits,
    /// The groups of clients.
    pub groups: Vec<Group>,
    /// The calls of an operator, in order.
    pub calls: Vec<OperatorCall>,
    /// The time in which the process is told to end, is killed or starts, in milliseconds: what it has open then may be
    /// lost with it.
    pub outage: Option<(u64, u64)>,
}

impl Soak {
    /// Draws a soak.
    ///
    /// # Errors
    /// A message if the script is not valid.
    pub fn draw(seed: u64) -> Result<Self, String> {
        let mut rng = fastrand::Rng::with_seed(seed);
        let limits = ProcessLimits {
            memory_mib: if rng.u8(..4) > 0 { 32 } else { 64 },
            descriptors: if rng.u8(..4) > 0 { 1024 } else { 256 },
        };
        let mut groups: Vec<Group> =
            (0..rng.usize(1..=3)).map(|_| draw_group(&mut rng, &BEHAVIORS)).collect();
        let (mut faults, outage) = draw_faults(&mut rng);
        let mut more = fastrand::Rng::with_seed(seed ^ MORE_DRAWS);
        groups.extend((0..more.usize(..=2)).map(|_| draw_group(&mut more, &MORE_BEHAVIORS)));
        let mut reviewed = fastrand::Rng::with_seed(seed ^ REVIEWED_DRAWS);
        groups.extend((0..reviewed.usize(..=1)).map(|_| draw_group(&mut reviewed, &REVIEWED_BEHAVIORS)));
        let mut operator = fastrand::Rng::with_seed(seed ^ OPERATOR_DRAWS);
        let has_operator = operator.bool();
        if has_operator && faults.is_empty() {
            faults = draw_upgrade(&mut operator);
        }
        let calls = if has_operator { draw_calls(&mut operator, &faults, outage) } else { Vec::new() };
        let small_buffers = fastrand::Rng::with_seed(seed ^ BUFFER_DRAWS).bool();
        let log = [LogTarget::File, LogTarget::FullDevice, LogTarget::EndedReader, LogTarget::Unread];
        let log = log[more.usize(..log.len())];
        let mut script =
            Script::parse(&format!("ingresses = 1\nservers = {BACKENDS}\nlength = {LENGTH_MS}"))?;
        script.seed = seed;
        script.membership = false;
        script.cells = BACKENDS;
        script.limits = Some(limits);
        script.log = log;
        script.backend_buffer = small_buffers.then_some(SMALL_BUFFER_BYTES);
        script.rate = RATE;
        script.plan = Plan { rate: 1e5, burst: 1e5, ..Plan::default() };
        script.quota_sharing = QuotaSharing::None;
        script.faults = faults;
        Ok(Self { script, limits, groups, calls, outage })
    }
}

fn draw_group(rng: &mut fastrand::Rng, behaviors: &[Behavior]) -> Group {
    let behavior = behaviors[rng.usize(..behaviors.len())];
    let clients = match behavior {
        Behavior::LateAnswer => rng.usize(2..10),
        Behavior::RepeatedId => rng.usize(5..20),
        Behavior::EverNewNames => rng.usize(2..20),
        Behavior::ChunkedSlowBackendUpload => rng.usize(1..6),
        _ => rng.usize(20..300),
    };
    let bytes = match behavior {
        Behavior::SlowBackendUpload => rng.usize(2_000_000..8_000_000),
        Behavior::ChunkedSlowBackendUpload => rng.usize(4_000_000..8_000_000),
        Behavior::LateAnswer => rng.usize(100_000..250_000),
        Behavior::LongReader => rng.usize(1_000_000..4_000_000),
        _ => rng.usize(200_000..2_000_000),
    };
    Group { behavior, clients, at: rng.u64(300..4000), bytes }
}

fn draw_faults(rng: &mut fastrand::Rng) -> (Vec<Fault>, Option<(u64, u64)>) {
    let at = rng.u64(2000..5000);
    let fault = |at, kind| Fault { at, kind };
    match rng.u8(..4) {
        0 => (Vec::new(), None),
        1 => {
            let start = at + KILL_AFTER_MS + 100;
            let faults = vec![
                fault(at, FaultKind::Term(vec![0])),
                fault(at + rng.u64(50..500), FaultKind::Term(vec![0])),
                fault(at + KILL_AFTER_MS, FaultKind::Kill(vec![0])),
                fault(start, FaultKind::Start(vec![0])),
            ];
            (faults, Some((at, start + 1500)))
        }
        2 => {
            let faults =
                vec![fault(at, FaultKind::Kill(vec![0])), fault(at + 500, FaultKind::Start(vec![0]))];
            (faults, Some((at, at + 2000)))
        }
        _ => (vec![fault(at, FaultKind::Upgrade(vec![0]))], None),
    }
}

/// Draws an upgrade, or one whose new process is killed. In half of them discovery says nothing, so that the new process
/// stands by for a second.
fn draw_upgrade(rng: &mut fastrand::Rng) -> Vec<Fault> {
    let at = rng.u64(2000..5000);
    let kind = match rng.bool() {
        true => FaultKind::Upgrade(vec![0]),
        false => FaultKind::BrokenUpgrade { ingress: 0, after: rng.u64(0..2500) },
    };
    let mut faults = vec![Fault { at, kind }];
    if rng.bool() {
        let fault = ConnectionFault::Silent;
        let kind = FaultKind::Discovery { ingresses: vec![0], fault, duration: 3000 };
        faults.insert(0, Fault { at: at - 300, kind });
    }
    faults
}

fn draw_calls(rng: &mut fastrand::Rng, faults: &[Fault], outage: Option<(u64, u64)>) -> Vec<OperatorCall> {
    let is_upgrade =
        |kind: &FaultKind| matches!(kind, FaultKind::Upgrade(_) | FaultKind::BrokenUpgrade { .. });
    let upgrade = faults.iter().find(|fault| is_upgrade(&fault.kind)).map(|fault| fault.at);
    let mut times: Vec<u64> = (0..rng.usize(2..6)).map(|_| rng.u64(500..8000)).collect();
    if let Some(at) = upgrade {
        let around = at - CALLS_AROUND_UPGRADE_MS.start..at + CALLS_AROUND_UPGRADE_MS.end;
        times.extend((0..rng.usize(4..20)).map(|_| rng.u64(around.clone())));
    }
    times.sort_unstable();
    let mut disabled: Vec<usize> = Vec::new();
    let mut drained = false;
    let mut draw_change = |rng: &mut fastrand::Rng| {
        // A process that is killed is drained no more at its next start.
        if outage.is_none() && rng.u8(..4) == 0 {
            drained = !drained;
            return OperatorChange::Drain(drained);
        }
        if !disabled.is_empty() && (disabled.len() == MAX_DISABLED || rng.bool()) {
            let backend = disabled.swap_remove(rng.usize(..disabled.len()));
            return OperatorChange::Backend { backend, disabled: false };
        }
        let backend = rng.usize(..BACKENDS);
        disabled.retain(|other| *other != backend);
        disabled.push(backend);
        OperatorChange::Backend { backend, disabled: true }
    };
    let interface = |rng: &mut fastrand::Rng| if rng.bool() { Interface::Newest } else { Interface::Older };
    times
        .into_iter()
        .map(|at| OperatorCall { at, change: draw_change(rng), interface: interface(rng) })
        .collect()
}
