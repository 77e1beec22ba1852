//! The server side: accepts checks over gRPC, submits them to the engine and sends its answers back.

use super::caller::Callers;
use super::caller_memory::CallerMemory;
use super::proto::RawCodec;
use super::{Check, Front};
use crate::exchange::{Exchange, FinalAnswer};
use crate::net::budget::Reservation;
use crate::net::http::MAX_BUFFERED_BODY_BYTES;
use crate::net::server_side::{Drain, Phase, Signals};
use crate::stats::{RefusalReason, Stats};
use bytes::Bytes;
use http_body_util::Full;
use slog::{Logger, warn};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::sleep;
use tonic::body::Body;
use tonic::server::{Grpc, UnaryService};
use tonic::{Response, Status};

/// The age at which connections are ended while an operator drains this instance: callers that connect all
/// the same are soon told to go elsewhere.
const DRAINING_CONNECTION_AGE: Duration = Duration::from_millis(500);
/// The time to wait after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The limits of the server side.
#[derive(Debug, Clone, Copy)]
pub struct CheckLimits {
    /// The most open connections.
    pub max_connections: usize,
    /// The age at which a connection is ended.
    pub max_age: Duration,
    /// The most bytes of checks that wait for the engine, and as many again of streams that wait for their callers.
    pub max_bytes: usize,
}

/// The gRPC service `Authorization`.
#[derive(Debug)]
pub struct CheckService {
    front: Arc<Front>,
    exchange: Exchange<Check, Bytes>,
    stats: Arc<Stats>,
}

impl CheckService {
    /// Creates a service that submits its checks to `exchange`.
    pub fn new(front: Arc<Front>, exchange: Exchange<Check, Bytes>, stats: Arc<Stats>) -> Self {
        Self { front, exchange, stats }
    }
}

impl CheckService {
    /// Answers a check whose message has been received whole. `reservation` pays for it; without one there is no memory for
    /// it, and it is refused.
    pub(super) async fn answer(
        self: &Rc<Self>,
        request: http::Request<Full<Bytes>>,
        reservation: Option<Rc<Reservation>>,
    ) -> http::Response<Body> {
        let call = CheckCall { service: self.clone(), reservation };
        // Messages over the limit are read up to twice its size, so that the answer can say that they are
        // too large.
        let mut grpc = Grpc::new(RawCodec).max_decoding_message_size(2 * MAX_BUFFERED_BODY_BYTES);
        grpc.unary(call, request).await
    }

    /// Returns the answer to a check for which there is no memory.
    fn no_room(&self) -> Bytes {
        self.stats.refused(RefusalReason::NoMemory);
        self.front.encode_answer(FinalAnswer::NoRoom(self.front.site.max_retry_after))
    }

    pub(super) fn stats(&self) -> &Stats {
        &self.stats
    }
}

/// The call of one check.
struct CheckCall {
    service: Rc<CheckService>,
    reservation: Option<Rc<Reservation>>,
}

impl UnaryService<Bytes> for CheckCall {
    type Response = Bytes;
    type Future = Pin<Box<dyn Future<Output = Result<Response<Bytes>, Status>>>>;

    fn call(&mut self, request: tonic::Request<Bytes>) -> Self::Future {
        let service = self.service.clone();
        let Some(reservation) = self.reservation.take() else {
            let refusal = service.no_room();
            return Box::pin(async { Ok(Response::new(refusal)) });
        };
        Box::pin(async move {
            let (metadata, _, message) = request.into_parts();
            let reservation = Some(reservation);
            let check = Check { message, metadata: Rc::new(metadata), reservation };
            let CheckService { front, exchange, stats } = &*service;
            let request_info = front.read(&check)?;
            // A caller that cancels its check drops this future, which ends the request.
            let in_progress = stats.request_started(request_info.class);
            let final_answer = exchange.submit(request_info, check).await;
            in_progress.ended(final_answer.outcome());
            Ok(Response::new(front.encode_answer(final_answer)))
        })
    }
}

/// Serves checks until [`Phase::Draining`], and then until all accepted checks are answered. While an operator drains
/// this instance, callers are told to connect elsewhere once their checks are answered. Callers that connect all the same
/// are served, and told the same after `DRAINING_CONNECTION_AGE`.
pub async fn serve(
    service: CheckService,
    listener: TcpListener,
    limits: CheckLimits,
    signals: Signals,
    log: Logger,
) {
    let memory = CallerMemory::new(&limits, &service.stats);
    let callers = Callers { service: Rc::new(service), memory, log: log.clone() };
    let permits = Arc::new(Semaphore::new(limits.max_connections));
    let mut phase = signals.phase.clone();
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => break,
            Some(_) = connections.join_next() => {}
            (stream, permit) = accept(&listener, &permits, &log) => {
                let (callers, signals) = (callers.clone(), signals.clone());
                connections.spawn_local(async move {
                    let _permit = permit;
                    callers.serve(stream, closing(signals, limits.max_age)).await;
                });
            }
        }
    }
    drop(listener);
    while connections.join_next().await.is_some() {}
}

/// Accepts a connection once there is a permit for it. Others wait in the backlog of the listener, so that descriptors
/// are left for everything else.
async fn accept(
    listener: &TcpListener,
    permits: &Arc<Semaphore>,
    log: &Logger,
) -> (TcpStream, OwnedSemaphorePermit) {
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return std::future::pending().await };
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                return (stream, permit);
            }
            Err(e) => {
                warn!(log, "a connection could not be accepted"; "error" => %e);
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Resolves once a connection that has just been accepted is to be closed: at the age `max_age`, when an operator begins
/// to drain this instance, or when the process drains.
async fn closing(signals: Signals, max_age: Duration) {
    let Signals { mut phase, mut drain, .. } = signals;
    let is_drained = *drain.borrow() == Drain::Closing;
    let max_age = if is_drained { max_age.min(DRAINING_CONNECTION_AGE) } else { max_age };
    let drained = async {
        if is_drained {
            std::future::pending().await
        }
        wait_for(&mut drain, Drain::Closing).await;
    };
    tokio::select! {
        () = sleep(max_age) => {}
        () = drained => {}
        () = wait_for(&mut phase, Phase::Draining) => {}
    }
}

/// Waits until a signal has this value; never resolves if it cannot have it any more.
async fn wait_for<T: PartialEq>(signal: &mut watch::Receiver<T>, value: T) {
    if signal.wait_for(|current| *current == value).await.is_err() {
        std::future::pending().await
    }
}
