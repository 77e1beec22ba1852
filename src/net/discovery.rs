//! Discovery: keeps a watch on the service entries open and tells the engine of every change.

use super::http::{self, Kind};
use super::stream::{Way, connect, read_more};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::entries::{List, Places};
use crate::interface::*;
use crate::pacing::Pacing;
use bytes::BytesMut;
use slog::{Logger, info, warn};
use std::collections::VecDeque;
use std::net::SocketAddr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// A watch gives a sign of life every 2 s; one silent for this long is opened anew. With the time for that it
/// stays below the 6 s after which what discovery has to tell counts as told.
const SILENCE: Millis = 4500.0;
/// A connection to the agent that is not up by then never will be: it is on this machine.
const CONNECT: Millis = 1000.0;
/// A watch that fails is opened again after the first at the least, and up to the second or what the fleet needs.
const BACKOFF: [Millis; 2] = [50.0, 1000.0];

/// Where lists are pushed, an agent of this machine's own is asked, at no cost to others: while it says nothing a further
/// watch is begun so often, and the oldest of so many given up. Its word counts as told as soon as it has it, so the
/// first must be open within a drain's grace.
const KNOCK: Millis = 120.0;
const KNOCKS: usize = 10;

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
    pub async fn run(self, mut known: Option<u64>, mut tell: impl FnMut(List)) {
        let mut pacing = Pacing::new(self.site.settings.gateways, BACKOFF, self.seed);
        let pushed = !self.site.settings.list_on_request;
        // Who knows no list cannot serve without one.
        let mut pause = if known.is_some() && !pushed { pacing.first() } else { 0.0 };
        loop {
            let at = self.agent.now();
            tokio::select! {
                () = self.deadlines.sleep(pause) => {}
                () = self.agent.moved_from(at) => {}
            }
            let (at, mut heard) = (self.agent.now(), false);
            let watch = self.watch(at, &mut known, |list| {
                heard = true;
                tell(list);
            });
            // The new agent is asked at once for what came after the version that is known: nothing is lost.
            tokio::select! {
                why = watch => {
                    if heard {
                        pacing.heard();
                    }
                    pause = if pushed { 0.0 } else { pacing.again() };
                    info!(self.log, "discovery watch ended"; "why" => why, "again_in_ms" => pause.round());
                }
                () = self.agent.moved_from(at) => pause = 0.0,
            }
        }
    }

    /// One watch, until it ends; tells why.
    async fn watch(&self, at: SocketAddr, known: &mut Option<u64>, mut tell: impl FnMut(List)) -> String {
        // Without an index the agent gives the whole list.
        let index = known.map(|known| format!("&index={known}")).unwrap_or_default();
        let ask = format!("GET /v1/endpoints?stream=1{index} HTTP/1.1\r\nHost: {at}\r\n\r\n");
        let mut lines = Lines::default();
        let opened = match self.site.settings.list_on_request {
            true => open(at, ask, self.deadlines.clone()).await,
            false => self.knock(at, ask, &mut lines).await,
        };
        let mut stream = match opened {
            Ok(stream) => stream,
            Err(why) => return why,
        };
        loop {
            loop {
                let list = match lines.next() {
                    Ok(Some(text)) => read_line(&text, *known, &self.site.places),
                    Ok(None) => break,
                    Err(why) => return why.into(),
                };
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
                        return why;
                    }
                }
            }
            match self.deadlines.within(SILENCE, read_more(&mut stream, &mut lines.buffer)).await {
                Some(Ok(true)) => {}
                Some(Ok(false)) => return "it ended".into(),
                Some(Err(e)) => return e.to_string(),
                None => return "silence".into(),
            }
        }
    }
}

impl Discovery {
    /// Begins a watch again and again until one says something. Prevents one that the agent never answers, as it was
    /// begun while discovery was down, from being waited for when others are told already.
    async fn knock(&self, at: SocketAddr, ask: String, lines: &mut Lines) -> Result<TcpStream, String> {
        let mut open_ones = JoinSet::new();
        let mut order = VecDeque::new();
        loop {
            let (ask, deadlines) = (ask.clone(), self.deadlines.clone());
            let one = open_ones.spawn_local(async move {
                let mut stream = open(at, ask, deadlines).await?;
                let mut buffer = BytesMut::new();
                match read_more(&mut stream, &mut buffer).await {
                    Ok(true) => Ok((stream, buffer)),
                    Ok(false) => Err("it ended".to_owned()),
                    Err(e) => Err(e.to_string()),
                }
            });
            order.push_back(one);
            if order.len() > KNOCKS
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
            if let Some((stream, buffer)) = self.deadlines.within(KNOCK, next).await {
                lines.buffer = buffer;
                return Ok(stream);
            }
        }
    }
}

/// Connects and asks.
async fn open(at: SocketAddr, ask: String, deadlines: Deadlines) -> Result<TcpStream, String> {
    let Some(Ok(mut stream)) = deadlines.within(CONNECT, connect(at)).await else {
        return Err("no connection".into());
    };
    stream.write_all(ask.as_bytes()).await.map_err(|e| e.to_string())?;
    Ok(stream)
}

/// The lines of a watch's chunked answer, however they are cut.
#[derive(Debug, Default)]
pub(super) struct Lines {
    /// What has come and was not looked at.
    pub(super) buffer: BytesMut,
    begun: bool,
    line: BytesMut,
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
            if let Some(end) = self.line.iter().position(|b| *b == b'\n') {
                return Ok(Some(self.line.split_to(end + 1)));
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
}

/// Reads a line of a watch: none where it is only a sign of life.
fn read_line(line: &[u8], known: Option<u64>, places: &Places) -> Result<Option<List>, String> {
    let line = line.trim_ascii();
    if line.is_empty() {
        return Ok(None);
    }
    let value = serde_json::from_slice(line).map_err(|e| e.to_string())?;
    let list = List::read(&value, places)?;
    // Changes to a list that this ingress does not have: it has missed some, or discovery began anew. A first
    // list may well be generation 0.
    if !list.whole && known.is_none_or(|known| list.generation < known) {
        return Err(format!("changes of generation {} after {known:?}", list.generation));
    }
    Ok(Some(list))
}
