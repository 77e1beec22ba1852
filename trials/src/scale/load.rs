//! One ingress of the fleet under its share of the load, in simulated time: what its decisions add to each request.
//!
//! The decisions are the program's, and each event that they take in is measured. An ingress has one thread, so a
//! request waits for what its ingress does when it comes: the measured times are laid end to end as that thread would,
//! and what a request waits for and takes is what is added to it. What a home answers comes from decisions of the
//! same kind, and asks of others come in as often as this ingress asks.

use super::fixture::{QuotaSource, change_line, full_list_line, parse_line, request, settings};
use super::meter::{heap_bytes, thread_cpu_time};
use super::pipeline::{DecisionPipeline, SubsetSize};
use hdrhistogram::Histogram;
use std::cmp::Reverse;
use std::collections::{BTreeSet, BinaryHeap};
use weldhub::interface::{
    Action, AttemptEnd, AttemptNo, CounterAnswer, CounterName, Event, GatewayId, Load, Outcome, RequestId,
    ServerId, TimerKey,
};

/// A datagram between ingresses takes so long, in microseconds.
const PEER_WAY: u64 = 1000;
/// An answer of the counter takes so long.
const COUNTER_WAY: u64 = 2000;
/// The mean time of a backend's answer.
const SERVICE: f64 = 40_000.0;
/// First bytes of messages between ingresses that a home takes in: an ask, and the end of what was granted.
const TO_HOME: [u8; 2] = [0, 3];
/// Headers of IPv4 and UDP.
const DATAGRAM_HEADER: u64 = 28;

/// What is played.
#[derive(Debug, Clone, Copy)]
pub struct Setup {
    /// Ingresses of the fleet.
    pub ingresses: usize,
    /// Backends on the list.
    pub backends: usize,
    /// Tenants whose requests come here, each as often.
    pub customers: usize,
    /// Requests a second.
    pub rate: f64,
    /// Changes of the list a second.
    pub changes: f64,
    /// How long, in seconds.
    pub seconds: f64,
    /// How it hears of what others grant.
    pub source: QuotaSource,
    /// How many backends it sends to.
    pub subset: SubsetSize,
}

/// What came of it.
#[derive(Debug, Clone)]
pub struct Played {
    /// What was added to a request, in nanoseconds.
    pub added: Histogram<u64>,
    /// Requests that waited for another ingress or the counter beside that.
    pub asked: u64,
    /// Requests.
    pub requests: u64,
    /// Requests that were refused.
    pub refused: u64,
    /// Part of a core.
    pub share: f64,
    /// Datagrams and bytes a second that it sends for quotas, with their headers.
    pub peer_traffic: [f64; 2],
    /// Calls a second to the counter, and bytes.
    pub counter_traffic: [f64; 2],
    /// Backends that it has sent to.
    pub reached: usize,
    /// Bytes on the heap for tenants: what is there at the end beyond what was before the first request.
    pub kept: f64,
}

#[derive(Debug, Clone, PartialEq)]
enum Due {
    Arrival,
    Change,
    Feed(Event),
}

/// The queue's order is by time, then by number.
struct Queue {
    order: BinaryHeap<Reverse<(u64, usize)>>,
    all: Vec<Option<Due>>,
}

impl Queue {
    fn push(&mut self, at: u64, due: Due) {
        self.order.push(Reverse((at, self.all.len())));
        self.all.push(Some(due));
    }

    fn pop(&mut self) -> Option<(u64, Due)> {
        let Reverse((at, number)) = self.order.pop()?;
        Some((at, self.all.get_mut(number)?.take()?))
    }
}

struct Play {
    setup: Setup,
    ingress: DecisionPipeline,
    /// Decisions that answer for every other ingress.
    others: DecisionPipeline,
    queue: Queue,
    rng: fastrand::Rng,
    reached: BTreeSet<ServerId>,
    outcome: Played,
    used: f64,
    /// When the thread is free again, in microseconds.
    free: f64,
    generation: u64,
    peer_sent: [u64; 2],
    counted: [u64; 2],
    total: f64,
}

/// Plays it.
///
/// # Errors
/// Where a list cannot be read, or the settings are wrong.
pub fn run(setup: Setup) -> Result<Played, String> {
    let added = Histogram::new_with_bounds(1, 60_000_000_000, 3).map_err(|e| e.to_string())?;
    let outcome = Played {
        added,
        asked: 0,
        requests: 0,
        refused: 0,
        share: 0.0,
        peer_traffic: [0.0; 2],
        counter_traffic: [0.0; 2],
        reached: 0,
        kept: 0.0,
    };
    let one = |me| DecisionPipeline::new(settings(me, setup.ingresses, setup.source), setup.subset);
    let mut play = Play {
        setup,
        ingress: one(0)?,
        others: one(1)?,
        queue: Queue { order: BinaryHeap::new(), all: Vec::new() },
        rng: fastrand::Rng::with_seed(7),
        reached: BTreeSet::new(),
        outcome,
        used: 0.0,
        free: 0.0,
        generation: 1,
        peer_sent: [0; 2],
        counted: [0; 2],
        total: 0.0,
    };
    play.start()?;
    play.play()?;
    Ok(play.sum_up())
}

fn millis(at: u64) -> f64 {
    at as f64 / 1000.0
}

impl Play {
    fn start(&mut self) -> Result<(), String> {
        let list = parse_line(&full_list_line(self.setup.backends), None)?;
        let actions = self.ingress.handle(0.0, Event::Start);
        self.carry_out(0, actions);
        self.others.handle(0.0, Event::Start);
        self.ingress.apply_list(0.0, list);
        self.outcome.kept = heap_bytes();
        self.queue.push(1000, Due::Arrival);
        if self.setup.changes > 0.0 {
            self.queue.push(500_000, Due::Change);
        }
        Ok(())
    }

    fn play(&mut self) -> Result<(), String> {
        let end = (self.setup.seconds * 1e6) as u64;
        while let Some((at, due)) = self.queue.pop() {
            if at > end {
                break;
            }
            match due {
                Due::Arrival => self.arrive(at),
                Due::Change => self.change(at)?,
                Due::Feed(event) => drop(self.work(at, |ingress, now| ingress.handle(now, event))),
            }
        }
        Ok(())
    }

    /// Has the ingress's thread do something as soon as it is free; tells when it is done, in microseconds.
    fn work(&mut self, at: u64, work: impl FnOnce(&mut DecisionPipeline, f64) -> Vec<Action>) -> f64 {
        let before = thread_cpu_time();
        let actions = work(&mut self.ingress, millis(at));
        let micros = (thread_cpu_time() - before).as_secs_f64() * 1e6;
        self.used += micros;
        self.free = self.free.max(at as f64) + micros;
        let done = self.free;
        self.carry_out(at, actions);
        done
    }

    fn arrive(&mut self, at: u64) {
        let gap = -(1.0 - self.rng.f64()).ln() * 1e6 / self.setup.rate;
        self.queue.push(at + gap as u64 + 1, Due::Arrival);
        self.outcome.requests += 1;
        let tenant = self.rng.usize(..self.setup.customers);
        let all = settings(0, self.setup.ingresses, self.setup.source);
        let request = request(self.outcome.requests, tenant, &all);
        let done = self.work(at, |ingress, now| ingress.handle(now, Event::Request(request)));
        let nanos = ((done - at as f64) * 1000.0).max(1.0) as u64;
        self.outcome.added.saturating_record(nanos);
    }

    fn change(&mut self, at: u64) -> Result<(), String> {
        let number = (self.generation / 2) as usize % self.setup.backends;
        let word = if self.generation % 2 == 1 { "terminating" } else { "in_service" };
        self.generation += 1;
        let line = change_line(self.generation, number, word);
        let mut failed = None;
        let known = self.generation - 1;
        self.work(at, |ingress, now| {
            match parse_line(&line, Some(known)) {
                Ok(list) => drop(ingress.apply_list(now, list)),
                Err(why) => failed = Some(why),
            }
            Vec::new()
        });
        self.queue.push(at + (1e6 / self.setup.changes) as u64, Due::Change);
        failed.map_or(Ok(()), Err)
    }

    fn carry_out(&mut self, at: u64, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send { request, server, .. } => self.send(at, request, server),
                Action::Refuse(..) => self.outcome.refused += 1,
                Action::SetTimer(wait, key) => self.timer(at, wait, key),
                Action::Tell(to, bytes) => self.tell(at, to, bytes),
                Action::Count(name, amount, keep) => self.count(at, name, amount, keep),
                _ => {}
            }
        }
    }

    fn timer(&mut self, at: u64, wait: f64, key: TimerKey) {
        self.queue.push(at + (wait * 1000.0) as u64, Due::Feed(Event::Timer(key)));
    }

    fn send(&mut self, at: u64, request: RequestId, server: ServerId) {
        self.reached.insert(server);
        let spent = SERVICE * (0.5 + self.rng.f64());
        let end = AttemptEnd {
            request,
            attempt: AttemptNo(0),
            server,
            outcome: Outcome::Served,
            spent: spent / 1000.0,
            closed: true,
            metered_use: None,
            settled_units: None,
            load: Load { in_flight: Some(2.0), queued: Some(0.0), busy: Some(0.4), ..Load::default() },
        };
        self.queue.push(at + spent as u64, Due::Feed(Event::AttemptEnded(end)));
    }

    /// Messages to other ingresses: the one that stands for all answers, and asks as often in return.
    fn tell(&mut self, at: u64, to: GatewayId, bytes: Vec<u8>) {
        self.peer_sent[0] += 1;
        self.peer_sent[1] += bytes.len() as u64 + DATAGRAM_HEADER;
        if !bytes.first().is_some_and(|kind| TO_HOME.contains(kind)) {
            return;
        }
        self.outcome.asked += u64::from(bytes[0] == TO_HOME[0]);
        let answers =
            self.others.handle(millis(at + PEER_WAY), Event::PeerMessage(GatewayId(0), bytes.clone()));
        for answer in answers {
            if let Action::Tell(_, bytes) = answer {
                self.queue.push(at + 2 * PEER_WAY, Due::Feed(Event::PeerMessage(to, bytes)));
            }
        }
        self.queue.push(at + PEER_WAY, Due::Feed(Event::PeerMessage(to, bytes)));
    }

    fn count(&mut self, at: u64, name: CounterName, amount: f64, keep: f64) {
        let line = format!("bump {} {amount} {}\r\n", name.0, keep.max(1.0) as u64);
        self.outcome.asked += 1;
        self.counted[0] += 1;
        self.counted[1] += line.len() as u64;
        self.total = (self.total + amount).min(10.0);
        let answer = CounterAnswer::Total(self.total);
        self.queue.push(at + COUNTER_WAY, Due::Feed(Event::Counted(name, answer)));
    }

    fn sum_up(mut self) -> Played {
        let seconds = self.setup.seconds;
        let a_second = |sums: [u64; 2]| sums.map(|sum| sum as f64 / seconds);
        // The harness's own queue is not the ingress's.
        self.queue.order.clear();
        self.queue.all = Vec::new();
        self.outcome.reached = self.reached.len();
        self.reached.clear();
        self.outcome.share = self.used / seconds / 1e6;
        self.outcome.peer_traffic = a_second(self.peer_sent);
        self.outcome.counter_traffic = a_second(self.counted);
        drop(self.others);
        self.outcome.kept = heap_bytes() - self.outcome.kept;
        self.outcome
    }
}
