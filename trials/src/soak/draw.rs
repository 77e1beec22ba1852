//! What a seed plays: the limits of the process, the groups of clients that misbehave, and what happens to the process
//! meanwhile.

use crate::script::{Fault, FaultKind, LogTarget, Plan, ProcessLimits, QuotaSharing, Script};

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

/// What a seed plays.
#[derive(Debug, Clone)]
pub struct Soak {
    /// The script for the rig.
    pub script: Script,
    /// The limits of the process.
    pub limits: ProcessLimits,
    /// The groups of clients.
    pub groups: Vec<Group>,
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
        let (faults, outage) = draw_faults(&mut rng);
        let mut more = fastrand::Rng::with_seed(seed ^ MORE_DRAWS);
        groups.extend((0..more.usize(..=2)).map(|_| draw_group(&mut more, &MORE_BEHAVIORS)));
        let mut reviewed = fastrand::Rng::with_seed(seed ^ REVIEWED_DRAWS);
        groups.extend((0..reviewed.usize(..=1)).map(|_| draw_group(&mut reviewed, &REVIEWED_BEHAVIORS)));
        let log = [LogTarget::File, LogTarget::FullDevice, LogTarget::EndedReader, LogTarget::Unread];
        let log = log[more.usize(..log.len())];
        let mut script =
            Script::parse(&format!("ingresses = 1\nservers = {BACKENDS}\nlength = {LENGTH_MS}"))?;
        script.seed = seed;
        script.membership = false;
        script.cells = BACKENDS;
        script.limits = Some(limits);
        script.log = log;
        script.rate = RATE;
        script.plan = Plan { rate: 1e5, burst: 1e5, ..Plan::default() };
        script.quota_sharing = QuotaSharing::None;
        script.faults = faults;
        Ok(Self { script, limits, groups, outage })
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
