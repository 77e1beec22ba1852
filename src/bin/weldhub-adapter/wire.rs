//! The codec of the simulator's wire format: big-endian records without padding.

use std::fmt;
use weldhub::interface::*;

/// The codes of the records in a batch.
mod record_code {
    pub const CONFIGURE: u16 = 256;
    pub const BACKEND_LIST: u16 = 257;
    pub const REQUEST: u16 = 258;
    pub const STREAM_STARTED: u16 = 259;
    pub const ATTEMPT_ENDED: u16 = 260;
    pub const CLIENT_LEFT: u16 = 261;
    pub const TIMER: u16 = 262;
    pub const PROBE_ENDED: u16 = 263;
    pub const PEER_MESSAGE: u16 = 264;
    pub const KILLED: u16 = 265;
    pub const COUNTER_ANSWERED: u16 = 266;
    pub const SWITCH_TO: u16 = 267;
}

/// The codes of the records in a reply.
mod action_code {
    pub const SEND: u16 = 256;
    pub const REJECT: u16 = 257;
    pub const FAIL: u16 = 258;
    pub const CANCEL: u16 = 259;
    pub const SET_TIMER: u16 = 260;
    pub const PROBE: u16 = 261;
    pub const SEND_TO_PEER: u16 = 263;
    pub const SUBSCRIBE: u16 = 266;
    pub const ADD_TO_COUNTER: u16 = 268;
    pub const SWITCH_TO: u16 = 269;
}

/// The error of a malformed frame: the fault, the record and the place in the frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// The code of the record, or `None` if it had not been read.
    pub code: Option<u16>,
    /// The offset in the frame, in bytes.
    pub offset: usize,
    /// A description of the fault.
    pub reason: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            Some(code) => write!(f, "malformed frame: code {code}, offset {}: {}", self.offset, self.reason),
            None => write!(f, "malformed frame: offset {}: {}", self.offset, self.reason),
        }
    }
}

/// A record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// The following records belong to this instance.
    SwitchTo(u16),
    /// The current instance starts with this seed and this settings text.
    Configure(u64, String),
    /// The current instance is killed.
    Killed,
    /// An event of the current instance.
    Event(Event),
}

/// Decodes the fields of a frame one after another.
pub struct Reader<'a> {
    bytes: &'a [u8],
    offset: usize,
    /// The code of the current record.
    code: Option<u16>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of a complete frame that starts at `offset`.
    pub fn new(bytes: &'a [u8], offset: usize) -> Self {
        Self { bytes, offset, code: None }
    }

    fn error<T>(&self, reason: impl Into<String>) -> Result<T, WireError> {
        Err(WireError { code: self.code, offset: self.offset, reason: reason.into() })
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        match self.offset.checked_add(n).and_then(|end| self.bytes.get(self.offset..end)) {
            Some(part) => {
                self.offset += n;
                Ok(part)
            }
            None => self.error(format!("needs {n} bytes, {} are left", self.bytes.len() - self.offset)),
        }
    }

    fn array<const N: usize>(&mut self) -> Result<[u8; N], WireError> {
        let mut array = [0; N];
        array.copy_from_slice(self.take(N)?);
        Ok(array)
    }

    fn u8(&mut self) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array()?))
    }

    fn u16(&mut self) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array()?))
    }

    /// Reads a `u32`.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// Reads an `f64`.
    pub fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    fn backend(&mut self) -> Result<BackendId, WireError> {
        Ok(BackendId(u64::from(self.u32()?) << 16 | u64::from(self.u16()?)))
    }

    fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.u8()? {
            0 => Outcome::Served,
            255 => Outcome::Error,
            254 => Outcome::Rejected,
            253 => Outcome::TimedOut,
            252 => Outcome::ConnectFailed,
            251 => Outcome::Reset,
            250 => Outcome::Cancelled,
            249 => Outcome::NotSent,
            other => return self.error(format!("no outcome {other}")),
        })
    }

    fn load(&mut self, load_names: &[String]) -> Result<Load, WireError> {
        let mut load = Load::default();
        for i in 0..usize::from(self.u8()?) {
            let value = Some(self.f32()?);
            match load_names.get(i).map(String::as_str) {
                Some("rif") => load.in_flight = value,
                Some("q") => load.queued = value,
                Some("busy") => load.busy = value,
                Some("lat_ms") => load.latency = value,
                Some("rate") => load.rate = value,
                Some("fail_rate") => load.error_rate = value,
                _ => {}
            }
        }
        Ok(load)
    }

    fn entry(&mut self) -> Result<BackendEntry, WireError> {
        let kind = KindId(self.u16()?);
        let backend = self.backend()?;
        let weight = self.f32()?;
        let cell = CellId(self.u16()?);
        let start = self.f64()?;
        let zone = ZoneId(self.u8()?);
        let state = match self.u8()? {
            0 => BackendState::Gone,
            1 => BackendState::Ready,
            2 => BackendState::Draining,
            other => return self.error(format!("no server state {other}")),
        };
        let last_start = (start != 0.0).then_some(start);
        Ok(BackendEntry { backend, state, weight, zone, cell, kind, last_start })
    }

    /// Reads the next record. `load_names` are the names of the values in the load reports of the instance
    /// that it is for, in their order.
    pub fn record(&mut self, load_names: &[String]) -> Result<Record, WireError> {
        self.code = None;
        let code = self.u16()?;
        self.code = Some(code);
        Ok(Record::Event(match code {
            record_code::SWITCH_TO => return Ok(Record::SwitchTo(self.u16()?)),
            record_code::KILLED => return Ok(Record::Killed),
            record_code::CONFIGURE => {
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                return match std::str::from_utf8(self.take(n)?) {
                    Ok(text) => Ok(Record::Configure(seed, text.to_owned())),
                    Err(_) => self.error("the settings are not text"),
                };
            }
            record_code::BACKEND_LIST => {
                self.u32()?;
                let kind = match self.u8()? {
                    0 => ListKind::Failed,
                    1 => ListKind::Cached,
                    2 => ListKind::Changes,
                    3 => ListKind::Full,
                    other => return self.error(format!("no kind of list {other}")),
                };
                let n = self.u32()?;
                Event::BackendList(kind, (0..n).map(|_| self.entry()).collect::<Result<_, _>>()?)
            }
            record_code::REQUEST => {
                let id = RequestId(self.u64()?);
                let class = ClassId(self.u16()?.into());
                let plan = PlanId(self.u32()? as usize);
                let customer = CustomerId(self.u64()?);
                let (time_left, units) = (self.f64()?, self.f32()?);
                let (spread, first_ingress) = (self.f32()? as u16, IngressId(self.f32()? as u16));
                let is_retry = self.u8()? & 2 != 0;
                Event::Request(Request {
                    id,
                    class,
                    plan,
                    customer,
                    time_left,
                    units,
                    spread,
                    first_ingress,
                    is_retry,
                    identity: None,
                })
            }
            record_code::STREAM_STARTED => {
                let request = RequestId(self.u64()?);
                self.f64()?;
                self.backend()?;
                Event::StreamStarted(request, AttemptIndex(self.u16()?))
            }
            record_code::ATTEMPT_ENDED => {
                let request = RequestId(self.u64()?);
                let elapsed = self.f64()?;
                let metered_use = self.u16()?;
                let attempt = AttemptIndex(self.u16()?);
                let settled_units = self.u16()?;
                let request_closed = self.u8()? != 0;
                let outcome = self.outcome()?;
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    elapsed,
                    request_closed,
                    backend: self.backend()?,
                    metered_use: (metered_use > 0).then(|| f64::from(metered_use - 1) / 100.0),
                    settled_units: (settled_units > 0).then_some(f64::from(settled_units)),
                    load: self.load(load_names)?,
                })
            }
            record_code::CLIENT_LEFT => Event::ClientLeft(RequestId(self.u64()?)),
            record_code::TIMER => Event::Timer(TimerKey(self.u32()?)),
            record_code::PROBE_ENDED => {
                let backend = self.backend()?;
                let outcome = self.outcome()?;
                self.f64()?;
                Event::ProbeEnded(backend, outcome, self.load(load_names)?)
            }
            record_code::PEER_MESSAGE => {
                let from = IngressId(self.u16()?);
                let n = usize::from(self.u16()?);
                Event::PeerMessage(from, self.take(n)?.to_vec())
            }
            record_code::COUNTER_ANSWERED => {
                let name = CounterName(self.u64()?);
                let outcome = self.outcome()?;
                let total = self.f32()?;
                self.f64()?;
                let answer = match outcome {
                    Outcome::Served => CounterAnswer::Total(total),
                    Outcome::Rejected | Outcome::ConnectFailed => CounterAnswer::NotAdded,
                    _ => CounterAnswer::Unknown,
                };
                Event::CounterAnswered(name, answer)
            }
            other => return self.error(format!("no event has code {other}")),
        }))
    }

    /// Checks that the frame has been read to its end.
    ///
    /// # Errors
    /// [`WireError`] if bytes are left over.
    pub fn finish(&mut self) -> Result<(), WireError> {
        self.code = None;
        if self.offset == self.bytes.len() {
            return Ok(());
        }
        self.error(format!("{} bytes are left over", self.bytes.len() - self.offset))
    }
}

/// Encodes the reply to a batch.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    bytes: Vec<u8>,
    /// The instance that the last record belongs to.
    instance: Option<u16>,
}

impl Reply {
    /// Begins a record.
    fn code(&mut self, code: u16) {
        self.records += 1;
        self.bytes.extend(code.to_be_bytes());
    }

    fn backend(&mut self, backend: BackendId) {
        self.bytes.extend(&backend.0.to_be_bytes()[2..]);
    }

    /// Writes bytes with their length in 16 bits; what exceeds that length is cut off.
    fn blob(&mut self, bytes: &[u8]) {
        let n = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
        self.bytes.extend(n.to_be_bytes());
        self.bytes.extend(&bytes[..usize::from(n)]);
    }

    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.code(action_code::SWITCH_TO);
            self.bytes.extend(instance.to_be_bytes());
        }
        match action {
            Action::Send { request, backend, timeout, .. } => {
                self.code(action_code::SEND);
                self.bytes.extend(request.0.to_be_bytes());
                self.backend(*backend);
                self.bytes.extend(timeout.unwrap_or(0.0).to_be_bytes());
            }
            Action::Reject(request, after) => {
                self.code(action_code::REJECT);
                self.bytes.extend(request.0.to_be_bytes());
                self.bytes.extend(after.unwrap_or(0.0).to_be_bytes());
            }
            Action::Fail(request) => {
                self.code(action_code::FAIL);
                self.bytes.extend(request.0.to_be_bytes());
            }
            Action::Cancel(request, attempt) => {
                self.code(action_code::CANCEL);
                self.bytes.extend(request.0.to_be_bytes());
                self.bytes.extend(attempt.0.to_be_bytes());
            }
            Action::SetTimer(after, key) => {
                self.code(action_code::SET_TIMER);
                self.bytes.extend(after.to_be_bytes());
                self.bytes.extend(key.0.to_be_bytes());
            }
            Action::Probe(backend) => {
                self.code(action_code::PROBE);
                self.backend(*backend);
            }
            Action::SendToPeer(peer, bytes) => {
                self.code(action_code::SEND_TO_PEER);
                self.bytes.extend(u32::from(peer.0).to_be_bytes());
                self.blob(bytes);
            }
            Action::Subscribe => {
                self.code(action_code::SUBSCRIBE);
                self.bytes.push(1);
            }
            Action::AddToCounter(name, amount, lifetime) => {
                self.code(action_code::ADD_TO_COUNTER);
                self.bytes.extend(lifetime.to_be_bytes());
                self.bytes.extend((*amount as f32).to_be_bytes());
                self.bytes.extend(name.0.to_be_bytes());
            }
        }
    }

    /// Returns the encoded reply.
    pub fn into_frame(self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len() + 4).unwrap_or(u32::MAX);
        let mut frame = length.to_be_bytes().to_vec();
        frame.extend(self.records.to_be_bytes());
        frame.extend(self.bytes);
        frame
    }
}
