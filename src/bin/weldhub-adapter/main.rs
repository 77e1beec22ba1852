//! Puts the decisions on the simulator's wire: reads batches on standard input, keeps one limiter for each
//! instance number and writes the actions on standard output. It translates and decides nothing.

#[cfg(test)]
mod tests;

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use weldhub::config::{KeyValues, Site};
use weldhub::{Action, Event, Limiter};
use wire::{Reader, Record, Reply};

/// Bytes of a frame before its records: count, length, clock.
const HEADER: usize = 16;
/// Bytes that the length field does not count.
const UNCOUNTED: usize = 8;

/// The instances that this process hosts.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, (Limiter, Vec<String>)>,
}

impl Host {
    /// Answers one frame.
    fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let mut reader = Reader::new(frame, 0);
        let fault = |e: wire::WireError| e.to_string();
        let count = reader.u32().map_err(fault)?;
        reader.u32().map_err(fault)?;
        let now = reader.f64().map_err(fault)?;
        let mut reply = Reply::default();
        let (mut current, mut actions) = (0, Vec::new());
        for _ in 0..count {
            let names = self.instances.get(&current).map_or(&[][..], |(_, names)| names);
            let event = match reader.record(names).map_err(fault)? {
                Record::SwitchTo(instance) => {
                    current = instance;
                    continue;
                }
                Record::Killed => {
                    self.instances.remove(&current);
                    continue;
                }
                Record::Configure(seed, text) => {
                    let site = Site::read(&KeyValues::from_text(&text)).map_err(|e| e.to_string())?;
                    let limiter = Limiter::new(site.settings, seed).map_err(|e| e.to_string())?;
                    self.instances.insert(current, (limiter, site.load_report_names));
                    Event::Start
                }
                Record::Happened(event) => event,
            };
            if let Some((limiter, _)) = self.instances.get_mut(&current) {
                limiter.handle(now, event, &mut actions);
                actions.drain(..).for_each(|action: Action| reply.push(current, &action));
            }
        }
        reader.end().map_err(fault)?;
        Ok(reply.frame())
    }
}

/// The next frame, or none at the end of the input.
fn next_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut frame = Vec::new();
    let mut take = |frame: &mut Vec<u8>, n: usize| -> Result<bool, String> {
        let got = input.by_ref().take(n as u64).read_to_end(frame).map_err(|e| e.to_string())?;
        Ok(got == n)
    };
    if !take(&mut frame, UNCOUNTED)? {
        return match frame.len() {
            0 => Ok(None),
            n => Err(format!("malformed frame: offset {n}: the input ends in the header")),
        };
    }
    let length = u32::from_be_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if length < HEADER - UNCOUNTED {
        return Err(format!("malformed frame: offset 4: the length {length} leaves no room for the clock"));
    }
    if !take(&mut frame, length)? {
        let n = frame.len();
        return Err(format!("malformed frame: offset {n}: the input ends before the length {length}"));
    }
    Ok(Some(frame))
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    while let Some(frame) = next_frame(&mut input)? {
        let reply = host.answer(&frame)?;
        output.write_all(&reply).and_then(|()| output.flush()).map_err(|e| e.to_string())?;
    }
    Ok(())
}

fn main() -> ExitCode {
    match run() {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("weldhub-adapter: {message}");
            ExitCode::FAILURE
        }
    }
}
