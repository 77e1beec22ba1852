//! Messages between gateways: numbers, seven bits a byte.

use crate::interface::{ClassId, CustomerId, Millis, PlanId};

/// What a home is to know of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) struct Ask {
    pub(crate) customer: CustomerId,
    pub(crate) plan: PlanId,
    pub(crate) class: ClassId,
    pub(crate) units: f64,
}

/// A message between a gateway and a customer's home.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Mail {
    /// Whether a request is inside the quota; `unasked` units were used since the last ask, or came back. With it, as
    /// with the answer, goes how much of their aims answers take at the sender.
    Ask { seq: u64, of: Ask, unasked: f64, pressure: Option<f64> },
    /// The answer: units granted ahead, or how long to ask no more.
    Answer { seq: u64, granted: bool, more: f64, pressure: Option<f64> },
    /// What was granted has ended.
    Done { seq: u64, customer: CustomerId },
}

/// Units go in quarters, times in steps of this.
const STEP: Millis = 16.0;
/// Pressure goes in so many parts of one: a byte up to nearly 1.
const PARTS: f64 = 128.0;

impl Mail {
    /// Its bytes.
    pub(crate) fn bytes(&self) -> Vec<u8> {
        match *self {
            Self::Ask { seq, of: Ask { customer, plan, class, units }, unasked, pressure } => {
                let signed = (quarters(unasked.abs()) << 1) | u64::from(unasked < 0.0);
                let (plan, class, pressure) = (plan.0 as u64, class.0 as u64, parts(pressure));
                numbers([0, seq, customer.0, plan, class, quarters(units), signed, pressure])
            }
            Self::Answer { seq, granted: true, more, pressure } => {
                numbers([1, seq, (more.max(0.0) * 4.0) as u64, parts(pressure)])
            }
            Self::Answer { seq, granted: false, more, pressure } => {
                numbers([2, seq, (more / STEP).ceil() as u64, parts(pressure)])
            }
            Self::Done { seq, customer } => numbers([3, seq, customer.0]),
        }
    }

    /// What the bytes say; none where they say nothing known.
    pub(crate) fn read(bytes: &[u8]) -> Option<Self> {
        match *read(bytes) {
            [0, seq, customer, plan, class, units, signed, ref rest @ ..] => Some(Self::Ask {
                pressure: told(rest),
                seq,
                of: Ask {
                    customer: CustomerId(customer),
                    plan: PlanId(plan as usize),
                    class: ClassId(class as usize),
                    units: units as f64 / 4.0,
                },
                unasked: (signed >> 1) as f64 / if signed & 1 == 1 { -4.0 } else { 4.0 },
            }),
            [1, seq, more, ref rest @ ..] => {
                Some(Self::Answer { seq, granted: true, more: more as f64 / 4.0, pressure: told(rest) })
            }
            [2, seq, more, ref rest @ ..] => {
                Some(Self::Answer { seq, granted: false, more: more as f64 * STEP, pressure: told(rest) })
            }
            [3, seq, customer] => Some(Self::Done { seq, customer: CustomerId(customer) }),
            _ => None,
        }
    }
}

/// Appends a number, seven bits a byte.
fn put(bytes: &mut Vec<u8>, mut value: u64) {
    while value >= 0x80 {
        bytes.push(value as u8 | 0x80);
        value >>= 7;
    }
    bytes.push(value as u8);
}

/// Takes a number off the front; none where there is no whole number.
fn get(bytes: &mut &[u8]) -> Option<u64> {
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

/// Units in messages: whole quarters.
pub(crate) fn quarters(units: f64) -> u64 {
    (units.max(0.0) * 4.0).round() as u64
}

/// Pressure in messages, and what an earlier version of the program leaves out.
fn parts(pressure: Option<f64>) -> u64 {
    (pressure.unwrap_or(0.0).clamp(0.0, 1.0) * (PARTS - 1.0)).round() as u64
}

fn told(rest: &[u64]) -> Option<f64> {
    rest.first().map(|pressure| (*pressure as f64 / PARTS).min(1.0))
}

/// Some numbers.
fn numbers<const N: usize>(values: [u64; N]) -> Vec<u8> {
    let mut bytes = Vec::new();
    values.iter().for_each(|value| put(&mut bytes, *value));
    bytes
}

/// The numbers of a message, up to the first that is not whole.
fn read(mut bytes: &[u8]) -> Vec<u64> {
    std::iter::from_fn(|| get(&mut bytes)).collect()
}

/// A line of a report.
pub(crate) fn report(values: [u64; 4]) -> Vec<u8> {
    numbers(values)
}

/// The lines of a report, up to the first that is not whole.
pub(crate) fn lines(bytes: &[u8]) -> Vec<[u64; 4]> {
    read(bytes).chunks_exact(4).map(|line| [line[0], line[1], line[2], line[3]]).collect()
}
