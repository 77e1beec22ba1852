//! The codec of the wire: big-endian records without padding.

use std::fmt;
use weldhub::interface::*;

/// A frame that cannot be read: what is wrong, in which record and where in the frame.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// The code of the record, once it was read.
    pub code: Option<u16>,
    /// The offset in the frame.
    pub offset: usize,
    /// What is wrong.
    pub what: String,
}

impl fmt::Display for WireError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.code {
            Some(code) => write!(f, "malformed frame: code {code}, offset {}: {}", self.offset, self.what),
            None => write!(f, "malformed frame: offset {}: {}", self.offset, self.what),
        }
    }
}

/// A record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// What follows belongs to this instance.
    SwitchTo(u16),
    /// An instance starts with this seed and settings text.
    Configure(u64, String),
    /// An instance is gone.
    Killed,
    /// Something happened to an instance.
    Happened(Event),
}

/// Reads fields one after another.
pub struct Reader<'a> {
    bytes: &'a [u8],
    pos: usize,
    code: Option<u16>,
}

impl<'a> Reader<'a> {
    /// Reads `bytes`, a whole frame, from `pos` on.
    pub fn new(bytes: &'a [u8], pos: usize) -> Self {
        Self { bytes, pos, code: None }
    }

    fn error<T>(&self, what: impl Into<String>) -> Result<T, WireError> {
        Err(WireError { code: self.code, offset: self.pos, what: what.into() })
    }

    fn take(&mut self, n: usize) -> Result<&'a [u8], WireError> {
        match self.pos.checked_add(n).and_then(|end| self.bytes.get(self.pos..end)) {
            Some(part) => {
                self.pos += n;
                Ok(part)
            }
            None => self.error(format!("needs {n} bytes, {} are left", self.bytes.len() - self.pos)),
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

    /// A u32.
    pub fn u32(&mut self) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array()?))
    }

    fn u64(&mut self) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array()?))
    }

    fn f32(&mut self) -> Result<f64, WireError> {
        Ok(f64::from(f32::from_be_bytes(self.array()?)))
    }

    /// An f64.
    pub fn f64(&mut self) -> Result<f64, WireError> {
        Ok(f64::from_be_bytes(self.array()?))
    }

    fn server(&mut self) -> Result<BackendId, WireError> {
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

    fn load(&mut self, names: &[String]) -> Result<Load, WireError> {
        let mut load = Load::default();
        for i in 0..usize::from(self.u8()?) {
            let value = Some(self.f32()?);
            match names.get(i).map(String::as_str) {
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
        let server = self.server()?;
        let weight = self.f32()?;
        let cell = CellId(self.u16()?);
        let started = self.f64()?;
        let zone = ZoneId(self.u8()?);
        let state = match self.u8()? {
            0 => BackendState::Gone,
            1 => BackendState::Ready,
            2 => BackendState::Draining,
            other => return self.error(format!("no server state {other}")),
        };
        let last_start = (started != 0.0).then_some(started);
        Ok(BackendEntry { backend: server, state, weight, zone, cell, kind, last_start })
    }

    /// The next record; `names` are those of the load report at the instance it is for.
    pub fn record(&mut self, names: &[String]) -> Result<Record, WireError> {
        self.code = None;
        let code = self.u16()?;
        self.code = Some(code);
        Ok(Record::Happened(match code {
            267 => return Ok(Record::SwitchTo(self.u16()?)),
            265 => return Ok(Record::Killed),
            256 => {
                let seed = self.u64()?;
                let n = self.u32()? as usize;
                return match std::str::from_utf8(self.take(n)?) {
                    Ok(text) => Ok(Record::Configure(seed, text.to_owned())),
                    Err(_) => self.error("the settings are not text"),
                };
            }
            257 => {
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
            258 => {
                let id = RequestId(self.u64()?);
                let class = ClassId(self.u16()?.into());
                let plan = PlanId(self.u32()? as usize);
                let customer = CustomerId(self.u64()?);
                let (left, units) = (self.f64()?, self.f32()?);
                let (spread, first) = (self.f32()? as u16, IngressId(self.f32()? as u16));
                let repeat = self.u8()? & 2 != 0;
                Event::Request(Request {
                    id,
                    class,
                    plan,
                    customer,
                    time_left: left,
                    units,
                    spread,
                    first_ingress: first,
                    is_retry: repeat,
                })
            }
            259 => {
                let request = RequestId(self.u64()?);
                self.f64()?;
                self.server()?;
                Event::StreamStarted(request, AttemptIndex(self.u16()?))
            }
            260 => {
                let request = RequestId(self.u64()?);
                let spent = self.f64()?;
                let used = self.u16()?;
                let attempt = AttemptIndex(self.u16()?);
                let cost = self.u16()?;
                let closed = self.u8()? != 0;
                let outcome = self.outcome()?;
                Event::AttemptEnded(AttemptEnd {
                    request,
                    attempt,
                    outcome,
                    elapsed: spent,
                    request_closed: closed,
                    backend: self.server()?,
                    metered_use: (used > 0).then(|| f64::from(used - 1) / 100.0),
                    settled_units: (cost > 0).then_some(f64::from(cost)),
                    load: self.load(names)?,
                })
            }
            261 => Event::ClientLeft(RequestId(self.u64()?)),
            262 => Event::Timer(TimerKey(self.u32()?)),
            263 => {
                let server = self.server()?;
                let outcome = self.outcome()?;
                self.f64()?;
                Event::ProbeEnded(server, outcome, self.load(names)?)
            }
            264 => {
                let from = IngressId(self.u16()?);
                let n = usize::from(self.u16()?);
                Event::PeerMessage(from, self.take(n)?.to_vec())
            }
            266 => {
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

    /// Whether all has been read; an error where something is left over.
    pub fn end(&mut self) -> Result<(), WireError> {
        self.code = None;
        if self.pos == self.bytes.len() {
            return Ok(());
        }
        self.error(format!("{} bytes are left over", self.bytes.len() - self.pos))
    }
}

/// A reply in the making.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    bytes: Vec<u8>,
    from: Option<u16>,
}

impl Reply {
    fn code(&mut self, code: u16) {
        self.records += 1;
        self.bytes.extend(code.to_be_bytes());
    }

    fn server(&mut self, server: BackendId) {
        self.bytes.extend(&server.0.to_be_bytes()[2..]);
    }

    fn blob(&mut self, bytes: &[u8]) {
        let n = u16::try_from(bytes.len()).unwrap_or(u16::MAX);
        self.bytes.extend(n.to_be_bytes());
        self.bytes.extend(&bytes[..usize::from(n)]);
    }

    /// Adds an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        if self.from != Some(instance) {
            self.from = Some(instance);
            self.code(269);
            self.bytes.extend(instance.to_be_bytes());
        }
        match action {
            Action::Send { request, backend: server, timeout: wait, .. } => {
                self.code(256);
                self.bytes.extend(request.0.to_be_bytes());
                self.server(*server);
                self.bytes.extend(wait.unwrap_or(0.0).to_be_bytes());
            }
            Action::Reject(request, after) => {
                self.code(257);
                self.bytes.extend(request.0.to_be_bytes());
                self.bytes.extend(after.unwrap_or(0.0).to_be_bytes());
            }
            Action::Fail(request) => {
                self.code(258);
                self.bytes.extend(request.0.to_be_bytes());
            }
            Action::Cancel(request, attempt) => {
                self.code(259);
                self.bytes.extend(request.0.to_be_bytes());
                self.bytes.extend(attempt.0.to_be_bytes());
            }
            Action::SetTimer(after, key) => {
                self.code(260);
                self.bytes.extend(after.to_be_bytes());
                self.bytes.extend(key.0.to_be_bytes());
            }
            Action::Probe(server) => {
                self.code(261);
                self.server(*server);
            }
            Action::SendToPeer(peer, bytes) => {
                self.code(263);
                self.bytes.extend(u32::from(peer.0).to_be_bytes());
                self.blob(bytes);
            }
            Action::Subscribe => {
                self.code(266);
                self.bytes.push(1);
            }
            Action::AddToCounter(name, amount, keep) => {
                self.code(268);
                self.bytes.extend(keep.to_be_bytes());
                self.bytes.extend((*amount as f32).to_be_bytes());
                self.bytes.extend(name.0.to_be_bytes());
            }
        }
    }

    /// The whole frame.
    pub fn frame(self) -> Vec<u8> {
        let length = u32::try_from(self.bytes.len() + 4).unwrap_or(u32::MAX);
        let mut frame = length.to_be_bytes().to_vec();
        frame.extend(self.records.to_be_bytes());
        frame.extend(self.bytes);
        frame
    }
}
