//! The operator of a soak: calls at the admin interfaces of the processes that run, also around upgrades. It checks that
//! what was answered `ok` holds from then on, and that what was answered `fail` changed nothing.

use super::draw::{Interface, OperatorCall, OperatorChange};
use crate::admin::admin_call;
use crate::stand_ins::{Record, StandIns};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// From the answer to `disable-server`, new requests end within 1 s and the grace of 250 ms, with 50 ms for the record, in
/// milliseconds.
const DISABLE_GRACE_MS: i64 = 1300;
/// From the answer to `enable-server`, a backend is used within 5 s, and 1 s for what it may be avoided for, in milliseconds.
const ENABLE_GRACE_MS: i64 = 6000;
/// From the answer to `resume`, the instance is in rotation within 2 s, and from that to `drain` out of it within 4 s.
const ROTATION_GRACE: Duration = Duration::from_secs(4);
/// The interval at which the instance's place in the rotation is looked at.
const ROTATION_INTERVAL: Duration = Duration::from_millis(100);
/// The time within which `GET /ready` is answered, or counts as saying no.
const READY_TIMEOUT: Duration = Duration::from_secs(1);

/// What an operator was told of a backend from some time to another, both in milliseconds on the clock of the record.
#[derive(Debug, Clone, Copy)]
struct Span {
    backend: usize,
    disabled: bool,
    from: i64,
    to: i64,
}

/// An operator who makes one call after the other.
pub struct Operator {
    /// The admin interface of the newest process of each ingress.
    pub admin_addresses: Rc<RefCell<Vec<SocketAddr>>>,
    /// The address of the ingress.
    pub listen: SocketAddr,
    /// The stand-ins, whose record tells which backends were used.
    pub stand_ins: StandIns,
    /// When the soak began.
    pub start: Instant,
    /// When the last client ends, in milliseconds from the start.
    pub end_ms: u64,
}

/// What an operator knows.
#[derive(Default)]
struct Knowledge {
    /// What holds of a backend, and since when; a backend of which that is not known is not named.
    current: BTreeMap<usize, (bool, i64)>,
    /// What held before.
    spans: Vec<Span>,
    /// Whether the instance is drained, and since when; `None` if that is not known.
    drained: Option<(bool, Instant)>,
}

impl Knowledge {
    /// Notes that nothing holds of a backend any more.
    fn end(&mut self, backend: usize, to: i64) {
        if let Some((disabled, from)) = self.current.remove(&backend) {
            self.spans.push(Span { backend, disabled, from, to });
        }
    }
}

impl Operator {
    /// Makes all calls, and looks at the rotation meanwhile. Returns the rules that were broken.
    pub async fn run(self, calls: Vec<OperatorCall>) -> Vec<String> {
        let mut knowledge = Knowledge::default();
        let (mut violations, mut addresses) = (Vec::new(), self.admin_addresses.borrow().clone());
        for call in calls {
            self.watch_rotation(&knowledge, call.at, &mut violations).await;
            let newest = self.admin_addresses.borrow()[0];
            if addresses.last() != Some(&newest) {
                addresses.push(newest);
            }
            self.make(call, &addresses, &mut knowledge).await;
        }
        self.watch_rotation(&knowledge, self.end_ms, &mut violations).await;
        let now = self.stand_ins.now();
        let known: Vec<usize> = knowledge.current.keys().copied().collect();
        known.into_iter().for_each(|backend| knowledge.end(backend, now));
        let record = self.stand_ins.record();
        violations.extend(knowledge.spans.iter().filter_map(|span| span.violation(&record)));
        violations
    }

    /// Makes a call, at the interface that it names or else at another that answers.
    async fn make(&self, call: OperatorCall, addresses: &[SocketAddr], knowledge: &mut Knowledge) {
        let newest_first = addresses.iter().rev();
        let mut order: Vec<SocketAddr> = newest_first.take(2).copied().collect();
        if call.interface == Interface::Older {
            order.reverse();
        }
        let sent_at = self.stand_ins.now();
        let mut answer = None;
        for address in order {
            answer = admin_call(address, &format!("{}\n", call.change.line())).await;
            if answer.is_some() {
                break;
            }
            // It may have been made although its answer did not come.
            self.forget(call.change, sent_at, knowledge);
        }
        if answer.is_some_and(|answer| answer.starts_with("ok")) {
            self.forget(call.change, sent_at, knowledge);
            match call.change {
                OperatorChange::Backend { backend, disabled } => {
                    knowledge.current.insert(backend, (disabled, self.stand_ins.now()));
                }
                OperatorChange::Drain(drained) => knowledge.drained = Some((drained, Instant::now())),
            }
        }
    }

    /// Notes that what a call is about may have changed.
    fn forget(&self, change: OperatorChange, now: i64, knowledge: &mut Knowledge) {
        match change {
            OperatorChange::Backend { backend, .. } => knowledge.end(backend, now),
            OperatorChange::Drain(_) => knowledge.drained = None,
        }
    }

    /// Looks at the rotation until `until`, in milliseconds from the start.
    async fn watch_rotation(&self, knowledge: &Knowledge, until: u64, violations: &mut Vec<String>) {
        let until = self.start + Duration::from_millis(until);
        while Instant::now() + ROTATION_INTERVAL < until {
            let Some((drained, since)) = knowledge.drained else { break };
            if since.elapsed() > ROTATION_GRACE && self.is_in_rotation().await == Some(drained) {
                let at = self.start.elapsed().as_millis();
                violations.push(format!("{at} ms: drained is {drained}, and `/ready` says otherwise"));
                break;
            }
            sleep(ROTATION_INTERVAL).await;
        }
        sleep_until(until).await;
    }

    /// Returns whether `GET /ready` says yes; `None` if it says nothing.
    async fn is_in_rotation(&self) -> Option<bool> {
        let asking = async {
            let mut stream = TcpStream::connect(self.listen).await.ok()?;
            stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").await.ok()?;
            let mut status = [0; 12];
            stream.read_exact(&mut status).await.ok()?;
            match &status[9..] {
                b"200" => Some(true),
                b"503" => Some(false),
                _ => None,
            }
        };
        timeout(READY_TIMEOUT, asking).await.ok().flatten()
    }
}

impl Span {
    /// Returns how the record breaks what the operator was told, if it does.
    fn violation(&self, record: &Record) -> Option<String> {
        let Self { backend, disabled, from, to } = *self;
        let used = |from: i64, to: i64| {
            let in_time = |at: &i64| from < *at && *at < to;
            record.arrivals.iter().filter(|a| a.backend == backend).map(|a| a.at).find(in_time)
        };
        match disabled {
            true => used(from + DISABLE_GRACE_MS, to).map(|at| {
                format!(
                    "s{backend}: used at {at} ms, though disabled from {from} ms to {to} ms by the answers"
                )
            }),
            false if to - from < ENABLE_GRACE_MS => None,
            false => match used(from, from + ENABLE_GRACE_MS) {
                Some(_) => None,
                None => Some(format!("s{backend}: not used from {from} ms to {to} ms, though enabled")),
            },
        }
    }
}
