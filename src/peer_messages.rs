//! Messages between ingresses: sequences of numbers, encoded as little-endian base-128 varints.

use crate::interface::{ClassId, CustomerId, Millis, PlanId};

/// What a quota owner needs to know about a client's request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct QuotaRequest {
    /// The customer whose quota is drawn.
    pub(crate) customer: CustomerId,
    /// The customer's plan.
    pub(crate) plan: PlanId,
    /// The class of the request.
    pub(crate) class: ClassId,
    /// Units that the request draws.
    pub(crate) units: f64,
}

/// A message between an ingress and the owner of a customer's quota.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum QuotaMessage {
    /// Asks whether a request fits the quota. `drawn` is the number of granted units that were used since the
    /// last quota request, negative if some came back. `pressure` is the sender's latency pressure (mean
    /// fraction of their aims that its answers take), `None` if an earlier version of the program left it
    /// out.
    Request { seq: u64, request: QuotaRequest, drawn: f64, pressure: Option<f64> },
    /// Grants or denies a quota request. `credit_or_pause` is the number of units granted in advance if
    /// `granted`, otherwise the time in milliseconds for which no further quota request is to be sent.
    Answer { seq: u64, granted: bool, credit_or_pause: f64, pressure: Option<f64> },
    /// A granted request has ended.
    Released { seq: u64, customer: CustomerId },
}

/// Resolution of a pause on the wire, in milliseconds.
const PAUSE_STEP: Millis = 16.0;
/// Resolution of pressure on the wire: 1 / 128, so that it fits one byte.
const PRESSURE_STEPS: f64 = 128.0;

impl QuotaMessage {
    /// Returns the message as bytes.
    pub(crate) fn encode(&self) -> Vec<u8> {
        match *self {
            Self::Request {
                seq,
                request: QuotaRequest { customer, plan, class, units },
                drawn,
                pressure,
            } => {
                let signed_drawn = (quarters(drawn.abs()) << 1) | u64::from(drawn < 0.0);
                let (plan, class, pressure) = (plan.0 as u64, class.0 as u64, encode_pressure(pressure));
                encode_numbers([0, seq, customer.0, plan, class, quarters(units), signed_drawn, pressure])
            }
            Self::Answer { seq, granted: true, credit_or_pause, pressure } => {
                encode_numbers([1, seq, (credit_or_pause.max(0.0) * 4.0) as u64, encode_pressure(pressure)])
            }
            Self::Answer { seq, granted: false, credit_or_pause, pressure } => encode_numbers([
                2,
                seq,
                (credit_or_pause / PAUSE_STEP).ceil() as u64,
                encode_pressure(pressure),
            ]),
            Self::Released { seq, customer } => encode_numbers([3, seq, customer.0]),
        }
    }

    /// Decodes a message; `None` if it is of no known form.
    pub(crate) fn decode(bytes: &[u8]) -> Option<Self> {
        match *decode_numbers(bytes) {
            [0, seq, customer, plan, class, units, signed_drawn, ref rest @ ..] => Some(Self::Request {
                pressure: decode_pressure(rest),
                seq,
                request: QuotaRequest {
                    customer: CustomerId(customer),
                    plan: PlanId(plan as usize),
                    class: ClassId(class as usize),
                    units: units as f64 / 4.0,
                },
                drawn: (signed_drawn >> 1) as f64 / if signed_drawn & 1 == 1 { -4.0 } else { 4.0 },
            }),
            [1, seq, credit_or_pause, ref rest @ ..] => Some(Self::Answer {
                seq,
                granted: true,
                credit_or_pause: credit_or_pause as f64 / 4.0,
                pressure: decode_pressure(rest),
            }),
            [2, seq, credit_or_pause, ref rest @ ..] => Some(Self::Answer {
                seq,
                granted: false,
                credit_or_pause: credit_or_pause as f64 * PAUSE_STEP,
                pressure: decode_pressure(rest),
            }),
            [3, seq, customer] => Some(Self::Released { seq, customer: CustomerId(customer) }),
            _ => None,
        }
    }
}

/// Appends a number, seven bits a byte.
fn write_varint(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

/// Removes a number from the front; `None` if it is incomplete.
fn read_varint(bytes: &mut &[u8]) -> Option<u64> {
    let mut value = 0u64;
    for shift in (0..63).step_by(7) {
        let (first, rest) = bytes.split_first()?;
        *bytes = rest;
        value |= u64::from(first & 0x7f) << shift;
        if first & 0x80 == 0 {
            return Some(value);
        }
    }
    None
}

/// Converts units to the unit of messages, whole quarters.
pub(crate) fn quarters(units: f64) -> u64 {
    (units.max(0.0) * 4.0).round() as u64
}

/// Converts pressure to steps; a missing one counts as 0.
fn encode_pressure(pressure: Option<f64>) -> u64 {
    (pressure.unwrap_or(0.0).clamp(0.0, 1.0) * (PRESSURE_STEPS - 1.0)).round() as u64
}

/// Converts steps to pressure; `None` if the sender, an earlier version of the program, left it out.
fn decode_pressure(rest: &[u64]) -> Option<f64> {
    rest.first().map(|pressure| (*pressure as f64 / PRESSURE_STEPS).min(1.0))
}

/// Encodes a sequence of numbers.
fn encode_numbers<const N: usize>(values: [u64; N]) -> Vec<u8> {
    let mut bytes = Vec::new();
    values.iter().for_each(|value| write_varint(&mut bytes, *value));
    bytes
}

/// Decodes the numbers of a message, up to the first incomplete one.
fn decode_numbers(mut bytes: &[u8]) -> Vec<u64> {
    std::iter::from_fn(|| read_varint(&mut bytes)).collect()
}

/// Encodes a line of a usage report: customer, units drawn in total, units of the recent demand (both in
/// quarters) and attempts in flight.
pub(crate) fn encode_report_line(values: [u64; 4]) -> Vec<u8> {
    encode_numbers(values)
}

/// Decodes the lines of a usage report, up to the first incomplete one.
pub(crate) fn decode_report_lines(bytes: &[u8]) -> Vec<[u64; 4]> {
    decode_numbers(bytes).chunks_exact(4).map(|line| [line[0], line[1], line[2], line[3]]).collect()
}
