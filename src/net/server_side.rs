//! The server side: takes flows in from clients over HTTP/1.1, awaits their verdicts at the exchange and writes
//! the answers. What a flow means is read by the front, in `fronts::platform`.

use super::budget::{Budget, Held};
use super::client_side::{Answer, Question};
use super::http::{BODY, Bad, Body, Head, Kind, LONG, MESSAGE, peek_head};
use super::pieces::{self, Once, PIECE, Piece, Pieces};
use super::stream::{came, ended, read_more};
use crate::deadlines::Deadlines;
use crate::exchange::{Exchange, FinalAnswer, RequestInfo};
use crate::interface::Millis;
use crate::stats::{RequestInProgress, RequestOutcome, Stats};
use bytes::{BufMut, Bytes, BytesMut};
use slog::{Logger, info, warn};
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet};
use std::io::ErrorKind;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio::task::spawn_local;

/// A client's connection is closed when idle for this long: many ask once and stay.
const IDLE: Millis = 5000.0;
/// A client's first message is to be whole so long after it has connected, any other after its first byte. Bad
/// clients are owed an error or a close within 3 s, silence included.
const SLOW: Millis = 2850.0;
/// The first of a body is to come so long after its head.
const FIRST: Millis = 2500.0;
/// A body comes at so many bytes a millisecond at the least, on average after that first while.
const PACE: f64 = 16.0;
/// A client that takes no bytes of its answer for this long is done without.
const STALLED: Millis = 5000.0;
/// After its last answer a connection is read out until it is silent for the first, at the most for the second.
const LINGER: [Millis; 2] = [500.0, 5000.0];
/// Nothing is sent this fast but by the way: what has no whole message after this may be closed for new ones.
const YOUNG: Millis = 100.0;
/// So far below the most spare connections begin to be closed for new ones.
const HEADROOM: usize = 4;
/// Bytes read out at a time.
const SCRATCH: usize = 64 * 1024;
/// Of what comes ahead of an answer, or of a body that waits for its first attempt, so many bytes are read at the most: more
/// than a system holds for a connection, so that the end behind all that a client has sent before it left is seen.
const FLOOD: usize = 8 << 20;
/// So often it is looked whether a client has left whose bytes are not read: no attempt is to begin 0.1 s after that.
const GONE: Millis = 20.0;

/// What the front makes of a message.
#[derive(Debug)]
pub enum ParsedRequest {
    /// A flow, and its id.
    Request(RequestInfo, Question, Bytes),
    /// Whether the program is ready.
    Readiness,
    /// It is answered with this status: no flow, or one that cannot be read.
    Invalid(u16, &'static str),
}

/// How far the program is on its way out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// It starts: not ready yet.
    Starting,
    /// It serves.
    Serving,
    /// It was told to stop and still serves what comes.
    Stopping,
    /// It closes every connection after its answer.
    Draining,
}

/// Whether an operator sends the clients of this instance away.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Drain {
    /// No.
    Inactive,
    /// Yes, and so far only `/ready` says it.
    Announced,
    /// Every connection is closed after its answer, and idle ones at once.
    Closing,
}

/// Which of two processes at one address this is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Role {
    /// It comes next, and waits for what the other one has.
    Standby,
    /// It decides.
    Active,
    /// It has handed all over, and ends what it has out.
    Retiring,
}

/// What the server side goes by.
#[derive(Debug, Clone)]
pub struct Signals {
    /// Whether this process takes flows.
    pub role: watch::Receiver<Role>,
    /// How far the program is.
    pub phase: watch::Receiver<Phase>,
    /// Whether clients are sent away.
    pub drain: watch::Receiver<Drain>,
}

/// A client's connection between answers, on its way to another process.
#[derive(Debug)]
pub struct ConnectionHandover {
    /// The connection.
    pub stream: TcpStream,
    /// What has come of a message.
    pub bytes: BytesMut,
    /// It has brought flows.
    pub flows: bool,
    /// How long ago its message began, where one has.
    pub age: Option<Millis>,
}

/// The server side of the platform's front.
#[derive(Debug)]
pub struct ServerSide<F> {
    shared: Rc<Shared<F>>,
}

#[derive(Debug)]
struct Shared<F> {
    read: F,
    exchange: Exchange<Question, Answer>,
    deadlines: Deadlines,
    signals: Signals,
    stats: Arc<Stats>,
    room: Room,
    retry_after: Millis,
    open: Cell<usize>,
    closed: Notify,
    /// Connections that may be closed for others, the oldest first: those that never brought a flow, and those that
    /// are idle after one.
    spare: RefCell<[BTreeMap<u64, Spare>; 2]>,
    turns: Cell<u64>,
    /// Where connections go that another process is to have.
    passing: mpsc::UnboundedSender<ConnectionHandover>,
    /// The ids of the flows that are open.
    ids: RefCell<HashSet<Bytes>>,
    /// Where bytes go that nobody wants.
    scratch: RefCell<Vec<u8>>,
    /// What is taken in has its answer by then, while this process drains.
    ends: Cell<Millis>,
    log: Logger,
}

/// What the server side may hold.
#[derive(Debug)]
pub struct Room {
    /// Connections whose flows are taken.
    pub connections: usize,
    /// Connections beyond these, for turning their flows away.
    pub turned_away: usize,
    /// Connections that are idle after a flow.
    pub idle: usize,
    /// Bytes of messages.
    pub budget: Budget,
    /// Once it drains, all must be answered within this.
    pub last: Millis,
}

#[derive(Debug)]
struct Spare {
    since: Millis,
    /// Nothing of a message has come.
    idle: bool,
    /// Has it closed; where this is dropped, at once, as its place is needed.
    close: oneshot::Sender<()>,
}

impl Spare {
    /// Has the connection closed with care for what may still be on its way.
    fn close(self) {
        let _ = self.close.send(());
    }
}

/// Has those closed that are idle.
fn close_idle(spare: &mut BTreeMap<u64, Spare>) {
    spare.extract_if(.., |_, spare| spare.idle).for_each(|(_, spare)| spare.close());
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest + 'static> ServerSide<F> {
    /// A server side that reads messages by `read` and holds `most` connections.
    pub fn new(
        read: F,
        exchange: Exchange<Question, Answer>,
        deadlines: Deadlines,
        (signals, passing): (Signals, mpsc::UnboundedSender<ConnectionHandover>),
        stats: Arc<Stats>,
        (room, retry_after): (Room, Millis),
        log: Logger,
    ) -> Self {
        let (open, closed, spare, turns, ids) = Default::default();
        let scratch = RefCell::new(vec![0; SCRATCH]);
        Self {
            shared: Rc::new(Shared {
                read,
                exchange,
                deadlines,
                signals,
                stats,
                room,
                retry_after,
                open,
                closed,
                spare,
                turns,
                passing,
                ids,
                scratch,
                ends: Cell::new(f64::INFINITY),
                log,
            }),
        }
    }

    /// Takes connections in, and those that another process passes on, until it drains and the last one is closed.
    pub async fn run(self, listener: TcpListener, mut passed: mpsc::UnboundedReceiver<ConnectionHandover>) {
        let shared = self.shared;
        let Signals { mut role, mut phase, mut drain } = shared.signals.clone();
        let hard = shared.room.connections + shared.room.turned_away;
        loop {
            let active = *role.borrow_and_update() == Role::Active;
            let crowded = shared.crowded();
            if crowded > 0 && shared.make_room(crowded) {
                // They close before others are taken.
                tokio::task::yield_now().await;
            }
            tokio::select! {
                // Prevents a flood of connections from using up the descriptors kept for real servers.
                // Nor are flows turned away while room is soon to be had.
                accepted = listener.accept(), if active && shared.open.get() < hard && !shared.waits() => match accepted {
                    Ok((stream, _)) => Self::take(&shared, stream),
                    Err(e) => {
                        warn!(shared.log, "a connection could not be accepted"; "error" => %e);
                        shared.deadlines.sleep(50.0).await;
                    }
                },
                Some(ConnectionHandover { stream, bytes, flows, age }) = passed.recv() => {
                    shared.open.set(shared.open.get() + 1);
                    let began = age.map(|age| shared.deadlines.clock().now() - age);
                    let connection = Connection { shared: shared.clone(), full: false, flows: Cell::new(flows) };
                    spawn_local(connection.run(stream, bytes, began));
                }
                Ok(()) = role.changed() => {}
                () = shared.closed.notified(), if shared.open.get() >= hard => {}
                // The spare ones of now are old enough then.
                () = shared.deadlines.sleep(YOUNG / 4.0), if crowded > 0 => {}
                Ok(()) = drain.changed() => {
                    if *drain.borrow_and_update() == Drain::Closing {
                        info!(shared.log, "clients are sent away"; "connections" => shared.open.get());
                        close_idle(&mut shared.spare.borrow_mut()[1]);
                    }
                }
                _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            }
        }
        shared.ends.set(shared.deadlines.clock().now() + shared.room.last);
        shared.spare.borrow_mut().iter_mut().for_each(close_idle);
        info!(shared.log, "draining"; "connections" => shared.open.get());
        // Prevents those that the system has accepted from being reset, unread: they come in as room is had. Where another
        // process has taken over, they are its own.
        let mut backlog = listener.into_std().ok().filter(|_| *role.borrow() == Role::Active);
        loop {
            while shared.open.get() < hard
                && let Some(listener) = &backlog
            {
                match listener.accept() {
                    Ok((stream, _)) => {
                        let stream = stream.set_nonblocking(true).and_then(|()| TcpStream::from_std(stream));
                        stream.into_iter().for_each(|stream| Self::take(&shared, stream));
                    }
                    Err(e) if matches!(e.kind(), ErrorKind::Interrupted | ErrorKind::ConnectionAborted) => {}
                    // All that had come is in.
                    Err(_) => backlog = None,
                }
            }
            if shared.open.get() == 0 {
                return;
            }
            shared.closed.notified().await;
        }
    }

    /// Takes in a connection that a client has opened.
    fn take(shared: &Rc<Shared<F>>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let full = shared.open.get() >= shared.room.connections;
        shared.open.set(shared.open.get() + 1);
        let began = Some(shared.deadlines.clock().now());
        let connection = Connection { shared: shared.clone(), full, flows: Cell::new(false) };
        spawn_local(connection.run(stream, BytesMut::new(), began));
    }
}

impl<F> Shared<F> {
    /// How many connections too many are open for taking the next ones with some headroom.
    fn crowded(&self) -> usize {
        (self.open.get() + HEADROOM).saturating_sub(self.room.connections)
    }

    /// Closes up to `many` spare connections: between messages, and before a whole one, they may be closed. Prevents
    /// those who connect and say nothing, or half of it, from crowding out usual clients; what has only just come may
    /// be one of these, and so are those that are idle after a flow, which go only where no other is spare.
    fn make_room(&self, many: usize) -> bool {
        let (mut spare, old) = (self.spare.borrow_mut(), self.deadlines.clock().now() - YOUNG);
        let [silent, idle] = &mut *spare;
        let before = silent.len() + idle.len();
        for _ in 0..many {
            match (silent.first_entry(), idle.first_entry()) {
                (Some(first), _) if first.get().since < old => drop(first.remove()),
                (None, Some(first)) => drop(first.remove()),
                _ => break,
            }
        }
        silent.len() + idle.len() < before
    }

    /// Whether the table is full, and connections are open that will be old enough for being closed in a moment.
    fn waits(&self) -> bool {
        !self.spare.borrow()[0].is_empty() && self.open.get() >= self.room.connections
    }

    /// Lists a connection as spare; it is to be closed when this resolves. Too many that are idle after a flow are not
    /// kept: clients hold only so many connections, and those that ask once and stay would leave none to the others.
    fn spare(&self, (flows, idle): (bool, bool), since: Millis) -> ((bool, u64), oneshot::Receiver<()>) {
        let (close, closing) = oneshot::channel();
        let turn = self.turns.replace(self.turns.get() + 1);
        let spare = &mut self.spare.borrow_mut()[usize::from(flows)];
        spare.insert(turn, Spare { since, idle, close });
        if flows
            && spare.len() > self.room.idle
            && let Some((_, oldest)) = spare.pop_first()
        {
            oldest.close();
        }
        ((flows, turn), closing)
    }

    /// It is spare no more.
    fn keep(&self, (flows, turn): (bool, u64)) {
        self.spare.borrow_mut()[usize::from(flows)].remove(&turn);
    }
}

/// A message as far as it has come.
struct Message {
    head: Head,
    /// Its body, or the first of it.
    body: Bytes,
    /// Where the rest of a long body goes on.
    rest: Option<Body>,
}

/// What is answered to a message that is no flow.
type Wrong = (u16, &'static str);

const NO_ROOM: Wrong = (503, "no room");
const TOO_SLOW: Wrong = (408, "the request took too long to come in");
const CONTINUE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// What follows on a connection.
enum Next {
    /// A message: a short one whole.
    Message(Message),
    /// It has ended between messages, or its place is needed.
    Over,
    /// It is closed between messages.
    Close,
    /// Another process is to have it.
    Pass,
}

/// A client's connection.
struct Connection<F> {
    shared: Rc<Shared<F>>,
    /// It came when there was no room: its flow is turned away.
    full: bool,
    /// It has brought a flow.
    flows: Cell<bool>,
}

/// An open flow's id.
struct Id<'a, F>(&'a Shared<F>, Bytes);

impl<F> Drop for Id<'_, F> {
    fn drop(&mut self) {
        self.0.ids.borrow_mut().remove(&self.1);
    }
}

impl<F> Drop for Connection<F> {
    fn drop(&mut self) {
        self.shared.open.set(self.shared.open.get() - 1);
        self.shared.closed.notify_one();
    }
}

impl<F: Fn(&Head, Bytes, bool) -> ParsedRequest> Connection<F> {
    async fn run(self, mut stream: TcpStream, mut buffer: BytesMut, mut began: Option<Millis>) {
        let mut out = BytesMut::new();
        loop {
            out.clear();
            let mut held = self.shared.room.budget.hold();
            let said = match self.next(&mut stream, &mut buffer, &mut held, &mut began).await {
                Ok(Next::Message(message)) => {
                    let said = self.answer(message, &mut stream, &mut buffer, &mut held, &mut out).await;
                    let Some(said) = said else { return };
                    said
                }
                Ok(Next::Over) => return,
                Ok(Next::Close) => {
                    let _ = stream.shutdown().await;
                    drop((buffer, out));
                    return self.linger(stream).await;
                }
                Ok(Next::Pass) => {
                    let age = began.map(|began| self.shared.deadlines.clock().now() - began);
                    let (bytes, flows) = (buffer, self.flows.get());
                    let _ = self.shared.passing.send(ConnectionHandover { stream, bytes, flows, age });
                    return;
                }
                Err(wrong) => self.wrong(&mut out, wrong),
            };
            drop(held);
            let Said { mut close, counts, rest, unread, mut ahead } = said;
            if !self.write(&mut stream, &out).await {
                return;
            }
            if let Some((rest, chunked)) = rest {
                match self.pass_on(&mut stream, &mut buffer, &mut ahead, rest, chunked).await {
                    Passed::Whole => {}
                    Passed::Broken => {
                        if let Some((taken, _)) = counts {
                            taken.ended(RequestOutcome::Failed);
                        }
                        // Prevents an answer that has no other end from looking whole.
                        let _ = SockRef::from(&stream).set_linger(Some(Duration::ZERO));
                        return;
                    }
                    Passed::Left => return,
                }
            }
            if let Some((taken, end)) = counts {
                taken.ended(end);
            }
            if let Some(unread) = unread {
                close |= !self.read_out(&mut stream, &mut buffer, unread).await;
            }
            if close || ahead.flooded {
                let _ = stream.shutdown().await;
                drop((buffer, out));
                return self.linger(stream).await;
            }
            began = None;
        }
    }

    /// Writes bytes as fast as the client takes them; false where it takes none any more.
    async fn write(&self, stream: &mut TcpStream, mut bytes: &[u8]) -> bool {
        while !bytes.is_empty() {
            match self.shared.deadlines.within(STALLED, stream.write(bytes)).await {
                Some(Ok(n)) if n > 0 => bytes = &bytes[n..],
                _ => return false,
            }
        }
        true
    }

    /// Writes the rest of an answer as it comes.
    async fn pass_on(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        ahead: &mut Ahead,
        mut rest: Pieces,
        chunked: bool,
    ) -> Passed {
        let mut bytes = BytesMut::new();
        loop {
            let piece = tokio::select! {
                biased;
                piece = rest.recv() => piece,
                stays = self.hear_ahead(stream, buffer, ahead, None) => match stays {
                    true => continue,
                    false => return Passed::Left,
                },
            };
            bytes.clear();
            match piece {
                Some(Piece::Data(data)) => {
                    chunk(&mut bytes, &data, chunked);
                    if !self.write(stream, &bytes).await {
                        return Passed::Left;
                    }
                }
                Some(Piece::End) => {
                    let end: &[u8] = if chunked { b"0\r\n\r\n" } else { b"" };
                    return if self.write(stream, end).await { Passed::Whole } else { Passed::Left };
                }
                None => return Passed::Broken,
            }
        }
    }

    /// Words what is wrong with a message; its connection ends, since nobody knows what follows.
    fn wrong(&self, out: &mut BytesMut, (status, text): Wrong) -> Said {
        let after = (status == 503).then_some(self.shared.retry_after);
        plain(out, status, text, after, true);
        Said { close: true, counts: None, rest: None, unread: None, ahead: Ahead::default() }
    }

    /// Reads what a client says while it waits for its answer, to see whether it stays; false where it has left. What
    /// comes early is kept for later, up to a whole message; of more nothing is kept, and the connection closes after
    /// the answer. Prevents a client that has sent much and gone from being taken for one that waits.
    async fn hear_ahead(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        ahead: &mut Ahead,
        held: Option<(&mut Held<'_>, usize)>,
    ) -> bool {
        let fits = buffer.len() < MESSAGE && held.is_none_or(|(held, body)| held.grow(body + buffer.len()));
        if fits && !ahead.flooded {
            return read_more(stream, buffer).await.unwrap_or(false);
        }
        if !ahead.flooded {
            ahead.flooded = true;
            *buffer = BytesMut::new();
        }
        if ahead.dropped > FLOOD {
            self.gone(stream).await;
            return false;
        }
        // Prevents a flood from keeping this thread to itself.
        tokio::task::yield_now().await;
        if stream.readable().await.is_err() {
            return false;
        }
        match stream.try_read(&mut self.shared.scratch.borrow_mut()) {
            Ok(n) => {
                ahead.dropped += n;
                n > 0
            }
            Err(e) => e.kind() == ErrorKind::WouldBlock,
        }
    }

    /// Reads on after the last answer, whatever still comes: prevents a reset from overtaking it. Nothing of it is
    /// looked at.
    async fn linger(&self, stream: TcpStream) {
        let shared = &self.shared;
        let now = shared.deadlines.clock().now();
        let (place, closing) = shared.spare((false, false), now);
        let read_out = async {
            let mut read = 0;
            while read < LONG
                && let Some(Ok(())) = shared.deadlines.within(LINGER[0], stream.readable()).await
            {
                // Prevents a flood from keeping this thread to itself.
                tokio::task::yield_now().await;
                match stream.try_read(&mut shared.scratch.borrow_mut()) {
                    Ok(0) => return,
                    Ok(n) => read += n,
                    Err(e) if e.kind() == ErrorKind::WouldBlock => {}
                    Err(_) => return,
                }
            }
        };
        tokio::select! {
            _ = shared.deadlines.within(LINGER[1], read_out) => {}
            _ = closing => {}
        }
        shared.keep(place);
    }

    fn draining(&self) -> bool {
        let Signals { role, phase, drain } = &self.shared.signals;
        let ends = *phase.borrow() == Phase::Draining || *drain.borrow() == Drain::Closing;
        // Where another process has taken over, it has the connection next.
        ends && *role.borrow() != Role::Retiring
    }

    /// The next message: a short one whole, of a long one the head and what has come of its body; or that the connection
    /// ends, is closed or passes on before it.
    async fn next(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        began: &mut Option<Millis>,
    ) -> Result<Next, Wrong> {
        let shared = &self.shared;
        let first = began.is_some() && !self.flows.get();
        let mut role = shared.signals.role.clone();
        let head = loop {
            if *role.borrow() == Role::Retiring && !self.full {
                return Ok(Next::Pass);
            }
            match peek_head(buffer, Kind::Request) {
                Ok(Some((head, length))) => {
                    drop(buffer.split_to(length));
                    break head;
                }
                Ok(None) => {}
                Err(bad) => return Err(what_is_wrong(bad)),
            }
            let (now, idle) = (shared.deadlines.clock().now(), buffer.is_empty());
            if idle {
                // Prevents idle connections from holding memory.
                *buffer = BytesMut::new();
            } else if !held.grow(buffer.len()) {
                return Err(NO_ROOM);
            }
            let ends = match (idle, *began) {
                (true, None) => now + IDLE,
                _ => *began.get_or_insert(now) + SLOW,
            };
            // A message that has begun on a connection that brought flows is a usual client's.
            // While an operator's drain lasts, who has just come is still heard.
            let closes = self.draining() && (!first || *shared.signals.phase.borrow() == Phase::Draining);
            let spared = if idle { !closes } else { !self.flows.get() };
            let mut spare = spared.then(|| shared.spare((self.flows.get(), idle), began.unwrap_or(0.0)));
            let at_once = Cell::new(false);
            let closing = async {
                match &mut spare {
                    Some((_, closing)) => at_once.set(closing.await.is_err()),
                    // While draining only what has come already is still read.
                    None if idle => {}
                    None => std::future::pending().await,
                }
            };
            let more = async {
                if idle {
                    stream.readable().await?;
                }
                read_more(stream, buffer).await
            };
            let more = tokio::select! {
                biased;
                more = more => Some(more.unwrap_or(false)),
                () = closing => None,
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.full => Some(true),
                () = shared.deadlines.sleep(ends - now) => None,
            };
            if let Some((place, _)) = spare {
                shared.keep(place);
            }
            let closes = match more {
                Some(true) => continue,
                Some(false) => return Ok(Next::Over),
                None if !idle => return Err(TOO_SLOW),
                None => at_once.get(),
            };
            // Asked of the system itself: the runtime may not have seen yet what came since it last waited, and a close
            // over unread bytes would reset the connection.
            if !came(stream) {
                return Ok(if closes { Next::Over } else { Next::Close });
            }
            if !read_more(stream, buffer).await.unwrap_or(false) {
                return Ok(Next::Over);
            }
        };
        let mut body = Body::of(&head);
        let (mut taken, mut read, started) = (BytesMut::new(), 0, shared.deadlines.clock().now());
        loop {
            match body.take(buffer, BODY) {
                Ok(Some(data)) => {
                    taken.extend_from_slice(&data);
                    if taken.len() <= BODY && held.grow(taken.len() + buffer.len()) {
                        continue;
                    }
                }
                Ok(None) => {}
                Err(bad) => return Err(what_is_wrong(bad)),
            }
            let whole = body.done();
            if whole && taken.len() <= BODY {
                return Ok(Next::Message(Message { head, body: taken.freeze(), rest: None }));
            }
            if taken.len() > BODY || !held.grow(taken.len() + buffer.len()) {
                return Ok(Next::Message(Message { head, body: taken.freeze(), rest: Some(body) }));
            }
            if read == 0 {
                // What nobody wants, nobody is asked to send.
                if let ParsedRequest::Invalid(status, text) = (shared.read)(&head, Bytes::new(), false) {
                    return Err((status, text));
                }
                if self.full {
                    return Err(NO_ROOM);
                }
                if head.expects() && taken.is_empty() && !self.write(stream, CONTINUE).await {
                    return Ok(Next::Over);
                }
            }
            // As with a head that is not whole: it may go where room is needed.
            let mut spare = (!self.flows.get()).then(|| shared.spare((false, false), started));
            let closing = async {
                match &mut spare {
                    Some((_, closing)) => drop(closing.await),
                    None => std::future::pending().await,
                }
            };
            let more = tokio::select! {
                biased;
                more = read_more(stream, buffer) => Ok(more.unwrap_or(false)),
                () = closing => Err(TOO_SLOW),
                Ok(_) = role.wait_for(|role| *role == Role::Retiring), if !self.full => Ok(true),
                () = shared.deadlines.sleep(self.pace(started, read)) => Err(TOO_SLOW),
            };
            if let Some((place, _)) = spare {
                shared.keep(place);
            }
            if !more? {
                return Ok(Next::Over);
            }
            if *role.borrow() == Role::Retiring && !self.full {
                let mut again = body.again(&head, &taken);
                again.extend_from_slice(buffer);
                *buffer = again;
                *began = Some(started);
                return Ok(Next::Pass);
            }
            read += buffer.len();
        }
    }

    /// How long a body may still take from now on that began then and has brought so many bytes.
    fn pace(&self, started: Millis, bytes: usize) -> Millis {
        started + FIRST + bytes as f64 / PACE - self.shared.deadlines.clock().now()
    }

    /// Passes the rest of a body on as it comes, to its end.
    async fn upload(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        (body, read): (&mut Body, &mut usize),
        pieces: mpsc::Sender<Piece>,
    ) -> Upload {
        let mut started = self.shared.deadlines.clock().now();
        let mut upload = Handover { pieces, handed: 0 };
        loop {
            let piece = match body.take(buffer, PIECE) {
                Ok(Some(data)) => Some(Piece::Data(data)),
                Ok(None) if body.done() => Some(Piece::End),
                Ok(None) => None,
                Err(bad) => return Upload::Wrong(what_is_wrong(bad)),
            };
            if let Some(piece) = piece {
                let (before, ends) = (self.shared.deadlines.clock().now(), piece == Piece::End);
                match self.hand_over(stream, buffer, held, (&mut upload, piece, body.done()), read).await {
                    // An attempt whose body has a known length takes no end, and may have dropped its receiver.
                    Handed::Over | Handed::Ended if ends => return Upload::Whole,
                    Handed::Over => {}
                    Handed::Left => return Upload::Left,
                    // Its verdict says what that means.
                    Handed::Ended => return std::future::pending().await,
                }
                // The time that the real server took is not the client's.
                started += self.shared.deadlines.clock().now() - before;
                continue;
            }
            let within = self.pace(started, *read);
            buffer.reserve(PIECE);
            let mut room = (&mut *buffer).limit(PIECE);
            match self.shared.deadlines.within(within, stream.read_buf(&mut room)).await {
                Some(Ok(n)) if n > 0 => *read += n,
                None => return Upload::Wrong(TOO_SLOW),
                _ => return Upload::Left,
            }
        }
    }

    /// Hands the next piece of a body over once the scheduling takes it. Until the first one is taken the request waits for
    /// its first attempt: meanwhile the body is read ahead, as its client's end is behind it. The last piece of all is kept
    /// back where the client has left by then: what is not whole never runs.
    async fn hand_over(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        (upload, piece, last): (&mut Handover, Piece, bool),
        read: &mut usize,
    ) -> Handed {
        let room = loop {
            let waits = upload.waits();
            tokio::select! {
                biased;
                room = upload.pieces.reserve() => break room,
                stays = self.hear_body(stream, buffer, held, (waits, read)) => {
                    if !stays {
                        return Handed::Left;
                    }
                }
            }
        };
        let Ok(room) = room else { return Handed::Ended };
        if last && ended(stream) {
            return Handed::Left;
        }
        room.send(piece);
        upload.handed += 1;
        held.grow_ahead(BODY + buffer.len());
        Handed::Over
    }

    /// Looks whether the client of a body stays; false where it has left. While nothing of the body was sent on, some more of
    /// it is read; what finds no room is left unread.
    async fn hear_body(
        &self,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        (waits, read): (bool, &mut usize),
    ) -> bool {
        let reads = waits && buffer.len() <= FLOOD && held.grow_ahead(BODY + buffer.len() + PIECE);
        if !reads {
            self.gone(stream).await;
            return false;
        }
        buffer.reserve(PIECE);
        let mut room = (&mut *buffer).limit(PIECE);
        let more = stream.read_buf(&mut room).await.unwrap_or(0);
        *read += more;
        more > 0
    }

    /// Resolves once a client has left whose bytes nobody reads at the moment. Prevents a request from being sent on for one
    /// that left while it waited, with unread bytes ahead of its end: of that end the system tells all the same.
    async fn gone(&self, stream: &TcpStream) {
        loop {
            self.shared.deadlines.sleep(GONE).await;
            if stream.ready(Interest::READABLE).await.is_ok_and(|ready| ready.is_read_closed()) {
                return;
            }
        }
    }

    /// Reads out the rest of a body that was answered half way, as long as it comes as fast as a body must; whether it
    /// came to its end, so that the connection can go on. Prevents a reset from cutting off a client that sends all
    /// before it reads its answer. Its connection is closed where room is needed.
    async fn read_out(&self, stream: &mut TcpStream, buffer: &mut BytesMut, mut body: Body) -> bool {
        let started = self.shared.deadlines.clock().now();
        let (place, mut closing) = self.shared.spare((false, false), started);
        let (mut read, mut drain) = (0, self.shared.signals.drain.clone());
        let whole = loop {
            match body.take(buffer, usize::MAX) {
                Ok(Some(_)) => continue,
                Ok(None) if body.done() => break true,
                Ok(None) => {}
                Err(_) => break false,
            }
            buffer.reserve(PIECE);
            let mut room = (&mut *buffer).limit(PIECE);
            let within = self.pace(started, read);
            let more = tokio::select! {
                more = self.shared.deadlines.within(within, stream.read_buf(&mut room)) => more,
                _ = &mut closing => break false,
                _ = drain.wait_for(|drain| *drain == Drain::Closing) => break false,
            };
            match more {
                Some(Ok(n)) if n > 0 => read += n,
                _ => break false,
            }
        };
        self.shared.keep(place);
        whole
    }

    /// Answers a message; none where the client left.
    async fn answer(
        &self,
        message: Message,
        stream: &mut TcpStream,
        buffer: &mut BytesMut,
        held: &mut Held<'_>,
        out: &mut BytesMut,
    ) -> Option<Said> {
        let shared = &self.shared;
        let Message { head, body, rest } = message;
        let read = body.len();
        let unread = rest.is_some();
        let bodiless = head.request_line().0 == b"HEAD";
        let closes = |close: bool| close || head.close || self.full || self.draining();
        let mut ahead = Ahead::default();
        let said = |close: bool, counts| {
            Some(Said { close, counts, rest: None, unread: None, ahead: Ahead::default() })
        };
        match (shared.read)(&head, body, !unread) {
            ParsedRequest::Invalid(status, text) => {
                let close = closes(unread);
                plain(out, status, text, None, close);
                said(close, None)
            }
            ParsedRequest::Readiness => {
                let close = closes(unread);
                let before = out.len();
                match (*shared.signals.phase.borrow(), *shared.signals.drain.borrow()) {
                    (Phase::Serving, Drain::Inactive) => plain(out, 200, "ready", None, close),
                    _ => plain(out, 503, "not ready", None, close),
                }
                if bodiless {
                    strip(out, before);
                }
                said(close, None)
            }
            ParsedRequest::Request(terms, ..) if self.full => {
                plain(out, 503, "no room", Some(shared.retry_after), true);
                said(true, Some((shared.stats.request_started(terms.class), RequestOutcome::Rejected)))
            }
            ParsedRequest::Request(mut terms, mut question, id) => {
                // Prevents a client from taking another's answer, and one id from being out twice.
                if !shared.ids.borrow_mut().insert(id.clone()) {
                    let close = closes(unread);
                    plain(out, 409, "the id is that of an open flow", None, close);
                    return said(close, None);
                }
                let _id = Id(shared, id);
                self.flows.set(true);
                // Prevents one that comes late while this process drains from being lost at its end.
                terms.time_left =
                    terms.time_left.min((shared.ends.get() - shared.deadlines.clock().now()).max(1.0));
                let taken = shared.stats.request_started(terms.class);
                let upload = rest.map(|body| {
                    let (sender, pieces) = pieces::way();
                    question.rest = Some(Once::new(pieces));
                    (body, sender)
                });
                let mut waiting = shared.exchange.submit(terms, question);
                let (mut early, mut unread) = (None, None);
                if let Some((mut body, sender)) = upload {
                    let mut read = read;
                    let upload = self.upload(stream, buffer, held, (&mut body, &mut read), sender);
                    let went = tokio::select! {
                        biased;
                        verdict = &mut waiting => {
                            early = Some(verdict);
                            Upload::Whole
                        }
                        went = upload => went,
                    };
                    match went {
                        Upload::Whole => {}
                        Upload::Wrong(wrong) => return Some(self.wrong(out, wrong)),
                        Upload::Left => return None,
                    }
                    waiting.uploaded();
                    unread = early.is_some().then_some(body);
                }
                let verdict = match early {
                    Some(verdict) => verdict,
                    None => loop {
                        tokio::select! {
                            biased;
                            verdict = &mut waiting => break verdict,
                            // A client that ends its connection has left; dropping `waiting` says so.
                            stays = self.hear_ahead(stream, buffer, &mut ahead, Some((held, read))) => {
                                if !stays {
                                    return None;
                                }
                            }
                        }
                    },
                };
                let close = closes(ahead.flooded);
                let (mut close, end, before, mut rest) = (close, verdict.end(), out.len(), None);
                match verdict {
                    FinalAnswer::Served(answer) => {
                        // Without a length and without chunks, only the end of the connection tells the end.
                        let chunked = answer.rest.is_some() && answer.content_length.is_none() && !head.old;
                        close |= answer.rest.is_some() && answer.content_length.is_none() && head.old;
                        served(out, &answer, chunked, bodiless, close);
                        rest = answer.rest.map(|rest| (rest, chunked));
                    }
                    FinalAnswer::Rejected(after) => plain(out, 429, "turned down", Some(after), close),
                    FinalAnswer::NoRoom(after) => plain(out, 503, "no room", Some(after), close),
                    FinalAnswer::Failed { timed_out: true } => {
                        plain(out, 504, "no answer in time", None, close)
                    }
                    FinalAnswer::Failed { timed_out: false } => plain(out, 502, "failed", None, close),
                }
                if bodiless {
                    strip(out, before);
                }
                if head.old && !close {
                    keep_alive(out, before);
                }
                Some(Said { close, counts: Some((taken, end)), rest, unread, ahead })
            }
        }
    }
}

/// The rest of a body on its way to the scheduling that takes it.
struct Handover {
    pieces: mpsc::Sender<Piece>,
    /// So many pieces were handed over; there is room for one that was not taken.
    handed: usize,
}

impl Handover {
    /// Nothing was taken yet, as far as is known: no attempt has begun.
    fn waits(&self) -> bool {
        self.handed <= 1
    }
}

/// How a piece of a body went.
enum Handed {
    /// To the scheduling, or to where it will take it.
    Over,
    /// Nobody takes it: the scheduling has ended.
    Ended,
    /// Nowhere: the client has left.
    Left,
}

/// How the rest of a body came.
enum Upload {
    /// To its end.
    Whole,
    /// Not as it should: this is to be answered.
    Wrong(Wrong),
    /// The client left.
    Left,
}

/// How the rest of an answer went.
enum Passed {
    /// To its end.
    Whole,
    /// It broke off at the real server.
    Broken,
    /// The client left, or takes no more.
    Left,
}

/// What was said to a message.
struct Said {
    /// The connection is to be closed then.
    close: bool,
    /// How a flow ends once that is written.
    counts: Option<(RequestInProgress, RequestOutcome)>,
    /// What follows, and whether in chunks.
    rest: Option<(Pieces, bool)>,
    /// What of its body is not read yet: the next message begins after it.
    unread: Option<Body>,
    /// What came ahead of it.
    ahead: Ahead,
}

/// What a client says while it waits for its answer.
#[derive(Debug, Default)]
struct Ahead {
    /// It was more than is kept: nothing of it is.
    flooded: bool,
    /// So many bytes were dropped.
    dropped: usize,
}

fn what_is_wrong(bad: Bad) -> Wrong {
    match bad {
        Bad::Malformed => (400, "malformed request"),
        Bad::BodyTooLarge => (413, "the body is too large"),
        Bad::HeadTooLarge => (431, "the head is too large"),
    }
}

/// Leaves of what was written from here on only the head.
fn strip(out: &mut BytesMut, from: usize) {
    let head = out[from..].windows(4).position(|end| end == b"\r\n\r\n");
    head.inspect(|end| out.truncate(from + end + 4));
}

/// Says in the head that begins here that the connection stays open: HTTP/1.0 takes it for closed otherwise.
fn keep_alive(out: &mut BytesMut, from: usize) {
    if let Some(end) = out[from..].windows(2).position(|end| end == b"\r\n") {
        let rest = out.split_off(from + end + 2);
        out.put_slice(b"Connection: keep-alive\r\n");
        out.unsplit(rest);
    }
}

/// Appends a piece of a body.
fn chunk(bytes: &mut BytesMut, data: &[u8], chunked: bool) {
    if chunked {
        bytes.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    }
    bytes.put_slice(data);
    if chunked {
        bytes.put_slice(b"\r\n");
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    }
}

fn head(out: &mut BytesMut, status: u16, length: Option<usize>, close: bool) {
    let connection = if close { "Connection: close\r\n" } else { "" };
    let length = length.map(|length| format!("Content-Length: {length}\r\n")).unwrap_or_default();
    let text = format!("HTTP/1.1 {status} {}\r\n{length}{connection}", reason(status));
    out.put_slice(text.as_bytes());
}

fn served(out: &mut BytesMut, answer: &Answer, chunked: bool, bodiless: bool, close: bool) {
    out.reserve(answer.body.len() + 192);
    let whole = (answer.rest.is_none() && !bodiless).then_some(answer.body.len());
    head(out, 200, whole.or(answer.content_length), close);
    if let Some(content_type) = &answer.content_type {
        out.put_slice(b"Content-Type: ");
        out.put_slice(content_type);
        out.put_slice(b"\r\n");
    }
    out.put_slice(if chunked { b"Transfer-Encoding: chunked\r\n\r\n".as_slice() } else { b"\r\n" });
    if !answer.body.is_empty() {
        chunk(out, &answer.body, chunked);
    }
}

fn plain(out: &mut BytesMut, status: u16, text: &str, retry_after: Option<Millis>, close: bool) {
    head(out, status, Some(text.len() + 1), close);
    if let Some(after) = retry_after {
        out.put_slice(format!("Retry-After: {}\r\n", seconds(after)).as_bytes());
    }
    out.put_slice(format!("Content-Type: text/plain\r\n\r\n{text}\n").as_bytes());
}

/// Seconds, as a decimal number where they are not whole.
pub fn seconds(span: Millis) -> f64 {
    let span = Duration::from_millis(span.max(1.0).ceil() as u64);
    span.as_secs_f64()
}
