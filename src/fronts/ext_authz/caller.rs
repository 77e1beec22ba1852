//! A caller's HTTP/2 connection, on which checks arrive.

use super::caller_io::{CallerIo, IoState};
use super::caller_memory::{CallerMemory, ConnectionMemory, stream_bytes};
use super::check_stream::CheckStream;
use super::service::CheckService;
use crate::stats::RefusalReason;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use h2::server::{Builder, Connection, SendResponse};
use h2::{Ping, PingPong, Reason, RecvStream};
use slog::{Logger, debug, info};
use std::future::{Future, poll_fn};
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

/// The most concurrent checks on a connection. The proxy holds further ones back.
const MAX_CONCURRENT_STREAMS: u32 = 256;
/// The longest head of a check, in bytes, with 32 for each field.
const MAX_HEADER_LIST_BYTES: u32 = 16 * 1024;
/// The HTTP/2 flow-control window of a stream, in bytes. Prevents callers that send and never finish from
/// taking the memory.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// The HTTP/2 flow-control window of a connection, in bytes: it bounds all checks of a connection together.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// The interval of HTTP/2 keep-alive pings to callers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// A connection whose keep-alive ping is not answered for this long is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The interval at which a connection is checked for whether its streams hold more than they may.
const SHARE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The time in which a caller is told why its connection closes.
const SHUTDOWN_TIMEOUT: Duration = Duration::from_millis(100);
/// A connection of which this many streams have been refused for want of memory is closed.
const MAX_REFUSED_STREAMS: usize = 32;

/// What all connections share.
#[derive(Clone)]
pub(super) struct Callers {
    pub(super) service: Rc<CheckService>,
    pub(super) memory: CallerMemory,
    pub(super) log: Logger,
}

/// Why a connection ends.
#[derive(Debug)]
enum ConnectionEnd {
    /// The caller has closed it, or it was told to and all of its checks are answered.
    Closed,
    /// It broke the protocol, or the system failed it.
    Failed,
    /// A keep-alive ping was not answered.
    Silent,
    /// Its streams held more than they may.
    TooMuchHeld,
}

/// A connection after its handshake.
struct CallerConnection {
    callers: Callers,
    h2: Connection<CallerIo, Bytes>,
    io: Rc<IoState>,
    memory: Rc<ConnectionMemory>,
    checks: FuturesUnordered<Pin<Box<dyn Future<Output = ()>>>>,
    /// The number of streams that were refused for want of memory.
    refused: usize,
    /// Whether the last look at what its streams hold found too much.
    exceeded_share: bool,
}

impl Callers {
    /// Serves a connection until it ends. Once `closing` resolves the caller is told to connect elsewhere, and the
    /// connection ends when its checks are answered.
    pub(super) async fn serve(self, stream: TcpStream, closing: impl Future<Output = ()>) {
        let (io, log) = (IoState::new(), self.log.clone());
        let mut serving = pin!(self.run(stream, io.clone(), closing));
        let end = poll_fn(|cx| {
            io.begin_turn();
            serving.as_mut().poll(cx)
        });
        let end = end.await;
        debug!(log, "a caller's connection is closed"; "reason" => ?end);
    }

    async fn run(
        self,
        stream: TcpStream,
        io: Rc<IoState>,
        closing: impl Future<Output = ()>,
    ) -> ConnectionEnd {
        let mut closing = pin!(closing);
        let mut builder = Builder::new();
        builder
            .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
            .max_header_list_size(MAX_HEADER_LIST_BYTES)
            .initial_window_size(STREAM_WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let handshake = tokio::select! {
            handshake = builder.handshake(CallerIo::new(stream, io.clone())) => handshake,
            () = &mut closing => return ConnectionEnd::Closed,
        };
        let Ok(mut h2) = handshake else { return ConnectionEnd::Failed };
        let ping_pong = h2.ping_pong();
        let connection = CallerConnection {
            memory: self.memory.connection(),
            callers: self,
            h2,
            io: io.clone(),
            checks: FuturesUnordered::new(),
            refused: 0,
            exceeded_share: false,
        };
        tokio::select! {
            end = connection.serve(closing) => end,
            () = unanswered_ping(ping_pong, &io) => ConnectionEnd::Silent,
        }
    }
}

impl CallerConnection {
    async fn serve(mut self, mut closing: Pin<&mut impl Future<Output = ()>>) -> ConnectionEnd {
        let mut is_closing = false;
        let mut share_checks = interval(SHARE_CHECK_INTERVAL);
        share_checks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            if self.memory.is_evicted() && self.checks.is_empty() {
                return self.shut_down().await;
            }
            let is_beyond_share = self.memory.is_beyond_share();
            self.exceeded_share &= is_beyond_share;
            tokio::select! {
                biased;
                // First, so that a check whose body has come with its head waits for its caller no more.
                Some(()) = self.checks.next(), if !self.checks.is_empty() => {}
                accepted = self.h2.accept() => match accepted {
                    None => return ConnectionEnd::Closed,
                    Some(Err(_)) => return ConnectionEnd::Failed,
                    Some(Ok((request, respond))) => self.open(request, respond),
                },
                () = &mut closing, if !is_closing => {
                    is_closing = true;
                    self.h2.graceful_shutdown();
                }
                _ = share_checks.tick(), if is_beyond_share => self.check_share(),
            }
        }
    }

    /// Takes a check whose head has been received, or refuses it if there is no memory for it.
    fn open(&mut self, request: http::Request<RecvStream>, mut respond: SendResponse<Bytes>) {
        let bytes = stream_bytes(request.headers());
        if self.memory.is_evicted() || self.memory.exceeds_share(bytes) {
            respond.send_reset(Reason::REFUSED_STREAM);
            self.callers.service.stats().refused(RefusalReason::NoMemory);
            self.refused += 1;
            if self.refused >= MAX_REFUSED_STREAMS {
                self.evict();
            }
            return;
        }
        let stream = CheckStream {
            service: self.callers.service.clone(),
            waiting: self.memory.hold_waiting(bytes),
            connection: self.memory.clone(),
            io: self.io.clone(),
            respond,
        };
        self.checks.push(Box::pin(stream.run(request)));
    }

    /// Evicts the connection if its streams hold more than they may and did so a while ago.
    fn check_share(&mut self) {
        let exceeds_share = self.memory.exceeds_share(0);
        if std::mem::replace(&mut self.exceeded_share, exceeds_share) && exceeds_share {
            self.evict();
        }
    }

    /// Refuses the streams that wait for the caller. The connection takes no more, and closes once its other checks are
    /// answered.
    fn evict(&mut self) {
        if self.memory.evict() {
            info!(self.callers.log, "a caller's streams hold too much"; "refused" => self.refused);
        }
    }

    /// Tells the caller why its connection closes.
    async fn shut_down(mut self) -> ConnectionEnd {
        self.h2.abrupt_shutdown(Reason::ENHANCE_YOUR_CALM);
        let _ = timeout(SHUTDOWN_TIMEOUT, poll_fn(|cx| self.h2.poll_closed(cx))).await;
        ConnectionEnd::TooMuchHeld
    }
}

/// Sends a keep-alive ping whenever the caller has been silent for a while. Resolves once one is not answered.
async fn unanswered_ping(ping_pong: Option<PingPong>, io: &IoState) {
    let Some(mut ping_pong) = ping_pong else { return std::future::pending().await };
    loop {
        let silence = io.silence();
        if silence < KEEP_ALIVE_INTERVAL {
            sleep(KEEP_ALIVE_INTERVAL - silence).await;
            continue;
        }
        let pong = async {
            ping_pong.send_ping(Ping::opaque())?;
            poll_fn(|cx| ping_pong.poll_pong(cx)).await
        };
        match timeout(KEEP_ALIVE_TIMEOUT, pong).await {
            Err(_) => return,
            // The connection has ended, which its own future tells.
            Ok(Err(_)) => return std::future::pending().await,
            Ok(Ok(_)) => {}
        }
    }
}
