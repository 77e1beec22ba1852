//! The system's table of TCP connections, and what it holds in the queues of this process's own.

use std::collections::HashSet;
use std::fs;
use std::io::{BufRead, BufReader};

/// The tables, by version of the internet protocol.
const TABLE_PATHS: [&str; 2] = ["/proc/net/tcp", "/proc/net/tcp6"];
/// The states, in the table, of sockets that hold no bytes of a stream: one that listens, and one that is connecting
/// (SYN_SENT), whose queues are shown as arbitrary numbers while it chooses its first sequence number.
const STATES_WITHOUT_STREAM: [&str; 2] = ["0A", "02"];

/// A socket that is connected, or was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TableEntry {
    /// The port on this side.
    pub local_port: u16,
    /// The port on the other side.
    pub remote_port: u16,
    /// The bytes that the other side has not acknowledged.
    pub send_bytes: usize,
    /// The bytes that were received and have not been read.
    pub receive_bytes: usize,
    /// The number of the socket; 0 if no process has it.
    pub inode: u64,
}

impl TableEntry {
    /// Parses a line of the table. Returns `None` for the heading, and for a socket that listens or is connecting.
    fn parse(line: &str) -> Option<Self> {
        let mut fields = line.split_ascii_whitespace().skip(1);
        let (local, remote, state, queues) = (fields.next()?, fields.next()?, fields.next()?, fields.next()?);
        let port = |address: &str| u16::from_str_radix(address.rsplit(':').next()?, 16).ok();
        let bytes = |queue| usize::from_str_radix(queue, 16).ok();
        let (send, receive) = queues.split_once(':')?;
        (!STATES_WITHOUT_STREAM.contains(&state)).then_some(())?;
        Some(Self {
            local_port: port(local)?,
            remote_port: port(remote)?,
            send_bytes: bytes(send)?,
            receive_bytes: bytes(receive)?,
            inode: fields.nth(4)?.parse().ok()?,
        })
    }
}

/// Returns the sockets of all processes on this machine, as the table is read; none if it cannot be read.
pub fn entries() -> impl Iterator<Item = TableEntry> {
    let tables = TABLE_PATHS.iter().filter_map(|path| fs::File::open(path).ok());
    let lines = tables.flat_map(|table| BufReader::new(table).lines().map_while(Result::ok));
    lines.filter_map(|line| TableEntry::parse(&line))
}

/// Returns the metrics of the queues of this process's connections as text.
pub fn metrics() -> String {
    let own = own_inodes();
    let (mut send, mut receive) = (0, 0);
    for entry in entries().filter(|entry| own.contains(&entry.inode)) {
        send += entry.send_bytes;
        receive += entry.receive_bytes;
    }
    format!(
        "svc_socket_queue_bytes{{queue=\"receive\"}} {receive}\nsvc_socket_queue_bytes{{queue=\"send\"}} {send}\n"
    )
}

/// Returns the numbers of the sockets that this process has.
fn own_inodes() -> HashSet<u64> {
    let descriptors = fs::read_dir("/proc/self/fd").into_iter().flatten().flatten();
    let target = |descriptor: fs::DirEntry| fs::read_link(descriptor.path()).ok();
    let inode = |target: std::path::PathBuf| {
        target.to_str()?.strip_prefix("socket:[")?.strip_suffix(']')?.parse().ok()
    };
    descriptors.filter_map(target).filter_map(inode).collect()
}

#[cfg(test)]
mod tests;
