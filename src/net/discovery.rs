//! Discovery: keeps a watch on the service entries open and tells the engine of every change.

use super::http::{self, Kind};
use super::stream::{Way, connect, read_more};
use crate::config::{MAX_CONCURRENT_WATCH_ATTEMPTS, Site};
use crate::deadlines::Deadlines;
use crate::entries::{BackendList, Places};
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

/// A watch gives a sign of life every 2 s; one without a whole line for this long is opened anew. What it misses counts
/// as told 6 s after it fell silent, so there are two seconds and more for the next one to speak.
const SILENCE: Millis = 3500.0;
/// A connection to the agent that is not up by then never will be: it is on this machine.
const CONNECT: Millis = 1000.0;
/// A watch that fails is opened again after the first at the least, and up to the second or what the fleet needs.
const BACKOFF: [Millis; 2] = [50.0, 1000.0];
/// Where lists are asked for, a whole fleet's watches that fell silent are opened anew within this.
const REOPEN: Millis = 2000.0;
/// Where lists are asked for and a watch ends in another way, the next one is opened so long after the last moment up to
/// which all is known to have been told, at the latest. A change counts as told 6 s after discovery had it and could be
/// reached, which may have been right after that moment: this leaves a second for the answer.
const ASK_AGAIN: Millis = 5000.0;

/// Where lists are pushed, an agent of this machine's own is asked, at no cost to others: while it says nothing a further
/// watch is begun so often, and the oldest of so many given up. Its word counts as told as soon as it has it, so the
/// first must be open within a drain's grace.
const KNOCK: Millis = 120.0;
/// The same while one has been accepted but has not said a whole line: it may have nothing to say for 2 s.
const ACCEPTED: Millis = 500.0;
/// A watch that spoke is opened anew at once when it ends, unless it lasted no longer than this.
const LASTED: Millis = 1000.0;

/// A watch on discovery.
#[derive(Debug)]
pub struct Discovery {
    /// The agent's address.
    pub agent: Way,
    /// For reading entries.
    pub site: Site,
    /// For its pauses.
    pub deadlines: Deadlines,
    /// The instance's own, so that a fleet does not ask as one.
    pub seed: u64,
    /// Where its troubles are logged.
    pub log: Logger,
}

impl Discovery {
    /// Watches for ever, from the generation that is known, if any; every list goes to `tell`. Silence, failures and
    /// garbage leave the list as it is.
    pub async fn run(self, mut known: Option<u64>, mut tell: impl FnMut(BackendList)) {
        let mut pacing = Pacing::new(self.site.settings.ingress_count, BACKOFF, self.seed);
        let pushed = !self.site.settings.list_on_request;
        // Who knows no list cannot serve without one.
        let mut pause = if known.is_some() && !pushed { pacing.first() } else { 0.0 };
        loop {
            let at = self.agent.now();
            tokio::select! {
                () = self.deadlines.sleep(pause) => {}
                () = self.agent.moved_from(at) => {}
            }
            let at = self.agent.now();
            let asked = self.deadlines.clock().now();
            let mut heard = None;
            let watch = self.watch(at, &mut known, &mut heard, &mut tell);
            // The new agent is asked at once for what came after the version that is known: nothing is lost.
            tokio::select! {
                (end, why) = watch => {
                    let now = self.deadlines.clock().now();
                    let lasted = heard.is_some_and(|heard: Heard| now - heard.first > LASTED);
                    let told_up_to = heard.map_or(asked, |heard| heard.last);
                    if lasted {
                        pacing.heard();
                    }
                    pause = match (pushed, end) {
                        (true, _) if lasted => 0.0,
                        // Prevents an agent that ends every watch from being asked without a pause.
                        (true, _) => KNOCK,
                        (false, End::Silence) if lasted => pacing.first_within(REOPEN),
                        (false, _) => pacing.again_within(told_up_to + ASK_AGAIN - now),
                    };
                    info!(self.log, "discovery watch ended"; "why" => why, "again_in_ms" => pause.round());
                }
                () = self.agent.moved_from(at) => pause = 0.0,
            }
        }
    }

    /// One watch, until it ends; tells why. `heard` is when it said whole lines.
    async fn watch(
        &self,
        at: SocketAddr,
        known: &mut Option<u64>,
        heard: &mut Option<Heard>,
        tell: &mut impl FnMut(BackendList),
    ) -> (End, String) {
        // Without an index the agent gives the whole list.
        let index = known.map(|known| format!("&index={known}")).unwrap_or_default();
        let ask = format!("GET /v1/endpoints?stream=1{index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        let asked = self.deadlines.clock().now();
        let opened = match self.site.settings.list_on_request {
            true => open(at, ask, self.deadlines.clone()).await,
            false => Ok(self.knock(at, ask).await),
        };
        let (mut stream, mut lines, mut first) = match opened {
            Ok(opened) => opened,
            Err(why) => return (End::Failure, why),
        };
        let now = || self.deadlines.clock().now();
        let mut spoke = now();
        info!(self.log, "discovery watch opened"; "agent" => %at, "ms" => (spoke - asked).round());
        loop {
            loop {
                let list = match first.take().map_or_else(|| lines.next(), |line| Ok(Some(line))) {
                    Ok(Some(text)) => read_line(&text, *known, &self.site.places),
                    Ok(None) => break,
                    Err(why) => return (End::Failure, why.into()),
                };
                spoke = now();
                heard.get_or_insert(Heard { first: spoke, last: spoke }).last = spoke;
                match list {
                    Ok(Some(list)) => {
                        *known = Some(list.generation);
                        tell(list);
                    }
                    Ok(None) => {}
                    Err(why) => {
                        // What was missed is not known: the next watch begins with the whole list.
                        *known = None;
                        warn!(self.log, "discovery told something unreadable"; "why" => &why);
                        return (End::Failure, why);
                    }
                }
            }
            // From the last whole line, not from the last byte: half a line says nothing.
            let more = read_more(&mut stream, &mut lines.buffer);
            match self.deadlines.within(spoke + SILENCE - now(), more).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return (End::Failure, "it ended".into()),
                Some(Err(e)) => return (End::Failure, e.to_string()),
                None => return (End::Silence, "silence".into()),
            }
        }
    }

    /// Begins a watch again and again until one says a whole line. Prevents one that the agent never answers, or only
    /// with half a word, as it was begun while discovery was down, from being waited for when others are told already.
    async fn knock(&self, at: SocketAddr, ask: String) -> Opened {
        let mut open_ones = JoinSet::new();
        let mut order = VecDeque::new();
        let accepted = Rc::new(Cell::new(false));
        loop {
            let (ask, deadlines, accepted_one) = (ask.clone(), self.deadlines.clone(), accepted.clone());
            let one = open_ones.spawn_local(async move {
                let (mut stream, mut lines, _) = open(at, ask, deadlines).await?;
                loop {
                    if let Some(line) = lines.next()? {
                        return Ok::<Opened, String>((stream, lines, Some(line)));
                    }
                    if lines.begun {
                        accepted_one.set(true);
                    }
                    match read_more(&mut stream, &mut lines.buffer).await {
                        Ok(true) => {}
                        Ok(false) => return Err("it ended".to_owned()),
                        Err(e) => return Err(e.to_string()),
                    }
                }
            });
            order.push_back(one);
            if order.len() > MAX_CONCURRENT_WATCH_ATTEMPTS
                && let Some(oldest) = order.pop_front()
            {
                oldest.abort();
            }
            let next = async {
                while let Some(done) = open_ones.join_next().await {
                    if let Ok(Ok(opened)) = done {
                        return opened;
                    }
                }
                std::future::pending().await
            };
            let mut next = std::pin::pin!(next);
            let mut opened = self.deadlines.within(KNOCK, &mut next).await;
            if opened.is_none() && accepted.take() {
                opened = self.deadlines.within(ACCEPTED - KNOCK, next).await;
            }
            if let Some(opened) = opened {
                return opened;
            }
        }
    }
}

/// How a watch ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum End {
    /// It fell silent.
    Silence,
    /// It could not be opened, was ended, or cannot be read.
    Failure,
}

/// When a watch said its first and its last whole line.
#[derive(Debug, Clone, Copy, PartialEq)]
struct Heard {
    first: Millis,
    last: Millis,
}

/// A watch, and its first line where that has come.
type Opened = (TcpStream, Lines, Option<BytesMut>);

/// Connects and asks.
async fn open(at: SocketAddr, ask: String, deadlines: Deadlines) -> Result<Opened, String> {
    let Some(Ok(mut stream)) = deadlines.within(CONNECT, connect(at)).await else {
        return Err("no connection".into());
    };
    stream.write_all(ask.as_bytes()).await.map_err(|e| e.to_string())?;
    Ok((stream, Lines::default(), None))
}

/// The lines of a watch's chunked answer, however they are cut; an object that is indented over several is one of them.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// What has come and was not looked at.
    pub(super) buffer: BytesMut,
    begun: bool,
    line: BytesMut,
    /// So much of the line was looked at for its end, ...
    looked: usize,
    /// ... so many brackets are open there, ...
    depth: usize,
    /// ... and it is within a text, behind a backslash.
    within: (bool, bool),
}

impl Lines {
    /// The next line; none where more must come first.
    pub(super) fn next(&mut self) -> Result<Option<BytesMut>, &'static str> {
        if !self.begun {
            match http::peek_head(&self.buffer, Kind::Response) {
                Ok(Some((head, length))) if head.status() == 200 && head.chunked() => {
                    self.begun = true;
                    drop(self.buffer.split_to(length));
                }
                Ok(None) => return Ok(None),
                _ => return Err("the answer is no watch"),
            }
        }
        loop {
            if let Some(line) = self.whole() {
                return Ok(Some(line));
            }
            match http::peek_chunk(&self.buffer, http::LIST) {
                Ok(Some((data, _))) if data.is_empty() => return Err("the watch was ended"),
                Ok(Some((data, length))) => {
                    self.line.extend_from_slice(&self.buffer[data]);
                    drop(self.buffer.split_to(length));
                }
                Ok(None) if self.line.len() + self.buffer.len() > http::LIST => {
                    return Err("a line is too long");
                }
                Ok(None) => return Ok(None),
                Err(_) => return Err("its chunks are malformed"),
            }
        }
    }

    /// Takes a whole line off the front of what has come. It ends where no bracket is open; within a text no line ends, so
    /// that is one of garbage.
    fn whole(&mut self) -> Option<BytesMut> {
        while let Some(byte) = self.line.get(self.looked) {
            self.looked += 1;
            self.within = match (byte, self.within) {
                (b'\n', (text, _)) if text || self.depth == 0 => {
                    let end = std::mem::take(&mut self.looked);
                    (self.depth, self.within) = Default::default();
                    return Some(self.line.split_to(end));
                }
                (_, (true, true)) => (true, false),
                (b'\\', (true, false)) => (true, true),
                (b'"', (text, false)) => (!text, false),
                (b'{' | b'[', (false, _)) => {
                    self.depth += 1;
                    (false, false)
                }
                (b'}' | b']', (false, _)) => {
                    self.depth = self.depth.saturating_sub(1);
                    (false, false)
                }
                (_, within) => within,
            };
        }
        None
    }
}

/// Reads a line of a watch: none where it is only a sign of life.
///
/// # Errors
/// Why it cannot be taken in: it is unreadable, or it changes a list that is not known.
pub fn read_line(line: &[u8], known: Option<u64>, places: &Places) -> Result<Option<BackendList>, String> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(None);
    }
    let value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let list = BackendList::read(&value, places)?;
    // Changes to a list that this ingress does not have: it has missed some, or discovery began anew. A first
    // list may well be generation 0.
    if !list.complete && known.is_none_or(|known| list.generation < known) {
        return Err(format!("changes of generation {} after {known:?}", list.generation));
    }
    Ok(Some(list))
}
