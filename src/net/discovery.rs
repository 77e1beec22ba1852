//! The client of the discovery agent: keeps a watch on the list of backends open and passes every change on.

use super::http::{self, MessageKind};
use super::stream::{ReloadableAddress, connect, read_more};
use crate::config::{MAX_CONCURRENT_WATCH_ATTEMPTS, Site};
use crate::deadlines::Deadlines;
use crate::entries::{BackendList, TopologyNames};
use crate::interface::*;
use crate::pacing::Pacing;
use bytes::BytesMut;
use slog::{Logger, info, warn};
use std::cell::Cell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A watch without a complete line for this many milliseconds is opened again. The agent sends an empty line
/// every 2 s. A change counts as known to this ingress 6 s after the watch fell silent, so the next watch has
/// more than 2 s left.
const WATCH_SILENCE_TIMEOUT: Millis = 3500.0;
/// How long a connection to the agent may take to open, in milliseconds. The agent runs on this machine, so a
/// connection that takes longer never opens.
const CONNECT_TIMEOUT: Millis = 1000.0;
/// The shortest pause before a failed watch is opened again, in milliseconds.
const MIN_BACKOFF: Millis = 50.0;
/// The longest pause before a failed watch is opened again, in milliseconds, unless the size of the fleet
/// needs a longer one.
const MAX_BACKOFF: Millis = 1000.0;
/// With lists on request, the watches of a whole fleet that fell silent are opened again spread over this
/// many milliseconds.
const REOPEN_SPREAD: Millis = 2000.0;
/// With lists on request, a watch that ended otherwise is opened again no later than this many milliseconds
/// after the last time at which the list was known to be current. A change counts as known to this ingress 6
/// s after discovery had it and could be reached, which may have been right after that time, so this leaves
/// one second for the answer.
const MAX_REOPEN_DELAY: Millis = 5000.0;

/// With pushed lists, a further attempt to open a watch starts at this interval, in milliseconds, until one
/// of them has brought a line; the oldest beyond [`MAX_CONCURRENT_WATCH_ATTEMPTS`] is aborted. The agent
/// serves this machine alone, so the attempts cost nobody else anything. A change counts as known to this
/// ingress as soon as the agent has it, so a watch must be open within the grace period of a drain.
const ATTEMPT_INTERVAL: Millis = 120.0;
/// The same interval once an attempt has been accepted but has brought no complete line, in milliseconds. The
/// agent may have nothing to send for 2 s.
const ACCEPTED_ATTEMPT_INTERVAL: Millis = 500.0;
/// A watch that ended more than this many milliseconds after its first line did work: the next one needs no
/// backoff.
const MIN_WATCH_DURATION: Millis = 1000.0;

/// The client of the discovery agent.
#[derive(Debug)]
pub struct Discovery {
    /// The agent's address, which a new configuration may change.
    pub agent: ReloadableAddress,
    /// The settings, and the names of zones and kinds of machine for parsing entries.
    pub site: Site,
    /// The source of time, and of the timers.
    pub deadlines: Deadlines,
    /// The seed of the random pauses. It differs between instances, so that a fleet does not ask in the same
    /// moment.
    pub seed: u64,
    /// The log for the state of the watch.
    pub log: Logger,
}

impl Discovery {
    /// Watches without end and passes every list and every change to `on_list`. `known_generation` is the
    /// generation of the list that this ingress has, or `None` if it has none. A silent agent, failures and
    /// unreadable lines leave the list as it is.
    pub async fn run(self, mut known_generation: Option<u64>, mut on_list: impl FnMut(BackendList)) {
        let mut pacing = Pacing::new(self.site.settings.ingress_count, [MIN_BACKOFF, MAX_BACKOFF], self.seed);
        let pushed = !self.site.settings.list_on_request;
        // An ingress without a list cannot serve, so it does not wait before its first watch.
        let mut pause = if known_generation.is_some() && !pushed { pacing.initial_delay() } else { 0.0 };
        loop {
            let agent = self.agent.current();
            tokio::select! {
                () = self.deadlines.sleep(pause) => {}
                () = self.agent.changed_from(agent) => {}
            }
            let agent = self.agent.current();
            let begun = self.deadlines.clock().now();
            let mut line_times = None;
            let watch = self.watch(agent, &mut known_generation, &mut line_times, &mut on_list);
            // When the address changes, the new agent is asked at once for the changes since the known
            // generation, so none is missed.
            tokio::select! {
                (end, why) = watch => {
                    let now = self.deadlines.clock().now();
                    let lasted =
                        line_times.is_some_and(|times: LineTimes| now - times.first > MIN_WATCH_DURATION);
                    let current_at = line_times.map_or(begun, |times| times.last);
                    if lasted {
                        pacing.succeeded();
                    }
                    pause = match (pushed, end) {
                        (true, _) if lasted => 0.0,
                        // Prevents an agent that ends every watch from being asked without a pause.
                        (true, _) => ATTEMPT_INTERVAL,
                        (false, WatchEnd::Silence) if lasted => pacing.initial_delay_within(REOPEN_SPREAD),
                        (false, _) => pacing.next_delay_within(current_at + MAX_REOPEN_DELAY - now),
                    };
                    info!(self.log, "discovery watch ended"; "why" => why, "again_in_ms" => pause.round());
                }
                () = self.agent.changed_from(agent) => pause = 0.0,
            }
        }
    }

    /// Runs one watch until it ends. Returns how and why it ended, and sets `line_times` when a complete line
    /// arrives.
    async fn watch(
        &self,
        agent: SocketAddr,
        known_generation: &mut Option<u64>,
        line_times: &mut Option<LineTimes>,
        on_list: &mut impl FnMut(BackendList),
    ) -> (WatchEnd, String) {
        // Without an index the agent sends the complete list.
        let index = known_generation.map(|known| format!("&index={known}")).unwrap_or_default();
        let request = format!("GET /v1/endpoints?stream=1{index} HTTP/1.1\r\nHost: {agent}\r\n\r\n");
        let begun = self.deadlines.clock().now();
        let opened = match self.site.settings.list_on_request {
            true => open(agent, request, self.deadlines.clone()).await,
            false => Ok(self.race_attempts(agent, request).await),
        };
        let (mut stream, mut lines, mut first_line) = match opened {
            Ok(opened) => opened,
            Err(why) => return (WatchEnd::Failure, why),
        };
        let now = || self.deadlines.clock().now();
        let mut last_line_at = now();
        info!(self.log, "discovery watch opened"; "agent" => %agent, "ms" => (last_line_at - begun).round());
        loop {
            loop {
                let list = match first_line.take().map_or_else(|| lines.next(), |line| Ok(Some(line))) {
                    Ok(Some(text)) => parse_line(&text, *known_generation, &self.site.places),
                    Ok(None) => break,
                    Err(why) => return (WatchEnd::Failure, why.into()),
                };
                last_line_at = now();
                line_times.get_or_insert(LineTimes { first: last_line_at, last: last_line_at }).last =
                    last_line_at;
                match list {
                    Ok(Some(list)) => {
                        *known_generation = Some(list.generation);
                        on_list(list);
                    }
                    Ok(None) => {}
                    Err(why) => {
                        // The changes in this line are lost, so the next watch asks for the complete list.
                        *known_generation = None;
                        warn!(self.log, "discovery told something unreadable"; "why" => &why);
                        return (WatchEnd::Failure, why);
                    }
                }
            }
            // Counted from the last complete line, not from the last byte: a part of a line carries no change.
            let more = read_more(&mut stream, &mut lines.buffer);
            match self.deadlines.within(last_line_at + WATCH_SILENCE_TIMEOUT - now(), more).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return (WatchEnd::Failure, "the connection ended".into()),
                Some(Err(e)) => return (WatchEnd::Failure, e.to_string()),
                None => return (WatchEnd::Silence, "silence".into()),
            }
        }
    }

    /// Opens watches one after another, several at a time, until one brings a complete line, and returns that
    /// one. An attempt begun while discovery was down may never be answered, or only in part; waiting for it
    /// alone would leave this ingress without changes that others know already.
    async fn race_attempts(&self, agent: SocketAddr, request: String) -> OpenWatch {
        let mut attempts = JoinSet::new();
        let mut oldest_first = VecDeque::new();
        let accepted = Rc::new(Cell::new(false));
        loop {
            let (request, deadlines, accepted_here) =
                (request.clone(), self.deadlines.clone(), accepted.clone());
            let attempt = attempts.spawn_local(async move {
                let (mut stream, mut lines, _) = open(agent, request, deadlines).await?;
                loop {
                    if let Some(line) = lines.next()? {
                        return Ok::<OpenWatch, String>((stream, lines, Some(line)));
                    }
                    if lines.head_read {
                        accepted_here.set(true);
                    }
                    match read_more(&mut stream, &mut lines.buffer).await {
                        Ok(true) => {}
                        Ok(false) => return Err("the connection ended".to_owned()),
                        Err(e) => return Err(e.to_string()),
                    }
                }
            });
            oldest_first.push_back(attempt);
            if oldest_first.len() > MAX_CONCURRENT_WATCH_ATTEMPTS
                && let Some(oldest) = oldest_first.pop_front()
            {
                oldest.abort();
            }
            let first_success = async {
                while let Some(done) = attempts.join_next().await {
                    if let Ok(Ok(opened)) = done {
                        return opened;
                    }
                }
                std::future::pending().await
            };
            let mut first_success = std::pin::pin!(first_success);
            let mut opened = self.deadlines.within(ATTEMPT_INTERVAL, &mut first_success).await;
            if opened.is_none() && accepted.take() {
                let remaining = ACCEPTED_ATTEMPT_INTERVAL - ATTEMPT_INTERVAL;
                opened = self.deadlines.within(remaining, first_success).await;
            }
            if let Some(opened) = opened {
                return opened;
            }
        }
    }
}

/// How a watch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WatchEnd {
    /// It brought no complete line for [`WATCH_SILENCE_TIMEOUT`].
    Silence,
    /// It could not be opened, was ended by the agent, or brought something unreadable.
    Failure,
}

/// When a watch brought its first and its last complete line.
#[derive(Debug, Clone, Copy, PartialEq)]
struct LineTimes {
    first: Millis,
    last: Millis,
}

/// The connection of a watch, the reader of its lines, and its first line if that has been read.
type OpenWatch = (TcpStream, Lines, Option<BytesMut>);

/// Connects to the agent and sends the request for a watch.
async fn open(agent: SocketAddr, request: String, deadlines: Deadlines) -> Result<OpenWatch, String> {
    let Some(Ok(mut stream)) = deadlines.within(CONNECT_TIMEOUT, connect(agent)).await else {
        return Err("no connection".into());
    };
    stream.write_all(request.as_bytes()).await.map_err(|e| e.to_string())?;
    Ok((stream, Lines::default(), None))
}

/// Splits the chunked response of a watch into lines, whatever the sizes of chunks and reads. A JSON object
/// that is indented over several lines counts as one line.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// Bytes from the connection that have not been read yet.
    pub(super) buffer: BytesMut,
    /// The head of the response has been read.
    head_read: bool,
    /// Data without chunk framing that has not been returned yet.
    data: BytesMut,
    /// The number of bytes of `data` that have been searched for the end of the line.
    scanned: usize,
    /// The number of open brackets at `scanned`.
    depth: usize,
    /// Whether `scanned` is within a JSON string.
    in_string: bool,
    /// Whether the byte before `scanned` is a backslash that escapes the next one.
    escaped: bool,
}

impl Lines {
    /// Returns the next line, or `None` if more bytes are needed.
    ///
    /// # Errors
    /// If the response is no watch, its framing is malformed, a line is too long, or the agent ended the
    /// watch.
    pub(super) fn next(&mut self) -> Result<Option<BytesMut>, &'static str> {
        if !self.head_read {
            match http::peek_head(&self.buffer, MessageKind::Response) {
                Ok(Some((head, length))) if head.status() == 200 && head.is_chunked() => {
                    self.head_read = true;
                    drop(self.buffer.split_to(length));
                }
                Ok(None) => return Ok(None),
                _ => return Err("the response is not a watch"),
            }
        }
        loop {
            if let Some(line) = self.take_line() {
                return Ok(Some(line));
            }
            match http::peek_chunk(&self.buffer, http::MAX_LIST_BYTES) {
                Ok(Some((data, _))) if data.is_empty() => return Err("the agent ended the watch"),
                Ok(Some((data, length))) => {
                    self.data.extend_from_slice(&self.buffer[data]);
                    drop(self.buffer.split_to(length));
                }
                Ok(None) if self.data.len() + self.buffer.len() > http::MAX_LIST_BYTES => {
                    return Err("a line is too long");
                }
                Ok(None) => return Ok(None),
                Err(_) => return Err("the chunks are malformed"),
            }
        }
    }

    /// Takes a complete line off the front of the data. A line ends at a line feed outside all brackets. A
    /// line feed within a JSON string ends it too: no valid JSON has one, so the line is garbage and must not
    /// take in the next.
    fn take_line(&mut self) -> Option<BytesMut> {
        while let Some(byte) = self.data.get(self.scanned) {
            self.scanned += 1;
            (self.in_string, self.escaped) = match (byte, (self.in_string, self.escaped)) {
                (b'\n', (in_string, _)) if in_string || self.depth == 0 => {
                    let end = std::mem::take(&mut self.scanned);
                    (self.depth, self.in_string, self.escaped) = Default::default();
                    return Some(self.data.split_to(end));
                }
                (_, (true, true)) => (true, false),
                (b'\\', (true, false)) => (true, true),
                (b'"', (in_string, false)) => (!in_string, false),
                (b'{' | b'[', (false, _)) => {
                    self.depth += 1;
                    (false, false)
                }
                (b'}' | b']', (false, _)) => {
                    self.depth = self.depth.saturating_sub(1);
                    (false, false)
                }
                (_, unchanged) => unchanged,
            };
        }
        None
    }
}

/// Parses a line of a watch. Returns `None` if the line is empty, which only shows that the agent is alive.
/// `known_generation` is the generation of the list that this ingress has, or `None` if it has none.
///
/// # Errors
/// If the line cannot be parsed, or changes a list that this ingress does not have.
pub fn parse_line(
    line: &[u8],
    known_generation: Option<u64>,
    places: &TopologyNames,
) -> Result<Option<BackendList>, String> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(None);
    }
    let value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let list = BackendList::read(&value, places)?;
    // The changes belong to a list that this ingress does not have: it has missed some, or discovery has
    // restarted. Generation 0 is valid for a first list.
    if !list.complete && known_generation.is_none_or(|known| list.generation < known) {
        return Err(format!("changes of generation {} after {known_generation:?}", list.generation));
    }
    Ok(Some(list))
}
