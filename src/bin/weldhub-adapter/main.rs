//! Connects the decision module to the simulator: reads batches of events from standard input, keeps one
//! limiter per instance number, and writes the actions to standard output. It only translates; all decisions
//! are the limiters'.

#[cfg(test)]
mod tests;

mod wire;

use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::process::ExitCode;
use weldhub::config::{KeyValues, Site};
use weldhub::{Action, Event, Limiter};
use wire::{Reader, Record, Reply};

/// The size of a frame's header (count, length and clock), in bytes.
const HEADER_BYTES: usize = 16;
/// The size of the part of the header that the length field does not count (count and length), in bytes.
const PREFIX_BYTES: usize = 8;

/// An instance of the ingress.
struct Instance {
    limiter: Limiter,
    /// The names of the values in backends' load reports, in their order.
    load_names: Vec<String>,
}

/// The instances that this process hosts, by their number.
#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Instance>,
}

impl Host {
    /// Handles one batch and returns the encoded reply.
    fn answer(&mut self, frame: &[u8]) -> Result<Vec<u8>, String> {
        let mut reader = Reader::new(frame, 0);
        let describe = |e: wire::WireError| e.to_string();
        let count = reader.u32().map_err(describe)?;
        reader.u32().map_err(describe)?;
        let now = reader.f64().map_err(describe)?;
        let mut reply = Reply::default();
        let (mut current, mut actions) = (0, Vec::new());
        for _ in 0..count {
            let load_names = self.instances.get(&current).map_or(&[][..], |instance| &instance.load_names);
            let event = match reader.record(load_names).map_err(describe)? {
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
                    self.instances.insert(current, Instance { limiter, load_names: site.load_report_names });
                    Event::Start
                }
                Record::Event(event) => event,
            };
            if let Some(instance) = self.instances.get_mut(&current) {
                instance.limiter.handle(now, event, &mut actions);
                actions.drain(..).for_each(|action: Action| reply.push(current, &action));
            }
        }
        reader.finish().map_err(describe)?;
        Ok(reply.into_frame())
    }
}

/// Reads the next frame. Returns `None` at the end of the input.
fn read_frame(input: &mut impl Read) -> Result<Option<Vec<u8>>, String> {
    let mut frame = Vec::new();
    let mut read = |frame: &mut Vec<u8>, n: usize| -> Result<bool, String> {
        let read = input.by_ref().take(n as u64).read_to_end(frame).map_err(|e| e.to_string())?;
        Ok(read == n)
    };
    if !read(&mut frame, PREFIX_BYTES)? {
        return match frame.len() {
            0 => Ok(None),
            n => Err(format!("malformed frame: offset {n}: the input ends in the header")),
        };
    }
    let length = u32::from_be_bytes([frame[4], frame[5], frame[6], frame[7]]) as usize;
    if length < HEADER_BYTES - PREFIX_BYTES {
        return Err(format!("malformed frame: offset 4: the length {length} leaves no room for the clock"));
    }
    if !read(&mut frame, length)? {
        let n = frame.len();
        return Err(format!("malformed frame: offset {n}: the input ends before the length {length}"));
    }
    Ok(Some(frame))
}

fn run() -> Result<(), String> {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let mut host = Host::default();
    while let Some(frame) = read_frame(&mut input)? {
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
