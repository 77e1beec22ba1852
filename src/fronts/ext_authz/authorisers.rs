//! The client side: sends attempts to authorisers over gRPC, on one HTTP/2 connection to each. It never
//! retries, and reports that a check did not run only if the failure proves it.

use super::proto::{CHECK, CheckResponse, RawCodec};
use super::{Check, outgoing_timeout};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{ClientSideCommand, Exchange};
use crate::interface::*;
use crate::net::attempts::{AttemptResult, Attempts, Job, Stage};
use crate::net::http::MAX_BUFFERED_BODY_BYTES;
use crate::net::stream::connect;
use crate::stats::Stats;
use bytes::Bytes;
use http::uri::PathAndQuery;
use hyper::body::Incoming;
use hyper::client::conn::http2::{self, SendRequest};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use prost::Message;
use slog::{Logger, debug};
use std::cell::Cell;
use std::error::Error;
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::sync::{Mutex, mpsc};
use tokio::task::spawn_local;
use tonic::body::Body;
use tonic::client::Grpc;
use tonic::metadata::MetadataMap;
use tonic::{Code, Status};
use tower_service::Service;

/// The most concurrent checks on a connection: fewer than HTTP/2 servers usually allow, so that no check
/// waits in the queue of the connection.
const MAX_CONCURRENT_CHECKS: usize = 96;
/// The interval of HTTP/2 keep-alive pings on a connection with checks in flight.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// A connection whose keep-alive ping is not answered for this long is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(1);

/// The connection to an authoriser, opened when it is first needed.
#[derive(Debug, Default, Clone)]
struct AuthoriserConnection {
    sender: Rc<Mutex<Option<SendRequest<Body>>>>,
    /// The number of checks on the connection, or waiting for it.
    in_flight: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Inner {
    attempts: Attempts<Check, Bytes, AuthoriserConnection>,
    deadlines: Deadlines,
    site: Site,
    stats: Arc<Stats>,
    log: Logger,
}

/// The client side of the authorisation front.
#[derive(Debug)]
pub struct Authorisers(Rc<Inner>);

impl Authorisers {
    /// Creates a client side without connections.
    pub fn new(
        exchange: Exchange<Check, Bytes>,
        deadlines: Deadlines,
        site: Site,
        stats: Arc<Stats>,
        log: Logger,
    ) -> Self {
        Self(Rc::new(Inner { attempts: Attempts::new(exchange), deadlines, site, stats, log }))
    }

    /// Executes commands until their channel closes.
    pub async fn run(self, commands: mpsc::UnboundedReceiver<ClientSideCommand<Check>>) {
        let start = |authoriser, mut job: Job<Check>| {
            let side = self.0.clone();
            spawn_local(async move {
                let id = job.id;
                let cancelled = &mut job.cancelled;
                tokio::select! {
                    biased;
                    // A cancelled check is dropped, which resets its stream.
                    _ = cancelled => {}
                    result = side.carry(authoriser, &job.question, job.timeout, job.send_by, &job.stage) => {
                        side.attempts.finish(id, result);
                    }
                }
            });
        };
        self.0.attempts.run(commands, start).await;
    }
}

/// Counts a check in flight until it is dropped.
struct InFlight(Rc<Cell<usize>>);

impl Drop for InFlight {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Inner {
    /// Sends a check to an authoriser and returns the result.
    async fn carry(
        &self,
        authoriser: BackendId,
        check: &Check,
        timeout: Millis,
        send_by: Option<Millis>,
        stage: &Cell<Stage>,
    ) -> AttemptResult<Bytes> {
        let pool = self
            .attempts
            .pools
            .borrow()
            .get(&authoriser)
            .map(|pool| (pool.process.address, pool.connections.clone()));
        let Some((address, connection)) = pool else { return AttemptResult::failed(Outcome::ConnectFailed) };
        if connection.in_flight.get() >= MAX_CONCURRENT_CHECKS {
            return AttemptResult::failed(Outcome::Rejected);
        }
        connection.in_flight.set(connection.in_flight.get() + 1);
        let _in_flight = InFlight(connection.in_flight.clone());
        let Some(sender) = self.open(&connection, address).await else {
            return AttemptResult::failed(Outcome::ConnectFailed);
        };
        // Prevents a retry from running too late after a wait for its connection.
        if send_by.is_some_and(|send_by| send_by <= self.deadlines.clock().now()) {
            return AttemptResult::failed(Outcome::ConnectFailed);
        }
        let mut request = tonic::Request::new(check.message.clone());
        *request.metadata_mut() = MetadataMap::clone(&check.metadata);
        request.set_timeout(outgoing_timeout(timeout));
        // From here on the HTTP/2 connection may write the check at any moment.
        stage.set(Stage::Written);
        self.stats.attempt_written();
        match call(sender, address, request).await {
            // An answer that is no `CheckResponse` decides nothing.
            Ok(answer) if CheckResponse::decode(answer.clone()).is_err() => {
                AttemptResult::failed(Outcome::Error)
            }
            Ok(answer) => {
                AttemptResult { outcome: Outcome::Served, load: Load::default(), answer: Some(answer) }
            }
            Err((outcome, status)) => {
                debug!(self.log, "a check failed"; "authoriser" => %address, "status" => %status);
                AttemptResult::failed(outcome)
            }
        }
    }

    /// Returns the sender of the connection, which is opened if there is none or it has closed. `None` if it
    /// cannot be opened in time.
    async fn open(
        &self,
        connection: &AuthoriserConnection,
        address: SocketAddr,
    ) -> Option<SendRequest<Body>> {
        let mut slot = connection.sender.lock().await;
        if let Some(sender) = slot.as_ref().filter(|sender| !sender.is_closed()) {
            return Some(sender.clone());
        }
        let sender = self.deadlines.within(self.site.connect_timeout, open(address)).await?.ok()?;
        *slot = Some(sender.clone());
        Some(sender)
    }
}

/// Opens an HTTP/2 connection to an authoriser.
pub async fn open(address: SocketAddr) -> Result<SendRequest<Body>, Box<dyn Error>> {
    let stream = TokioIo::new(connect(address).await?);
    // Prevents a connection to a machine that stopped responding from being used for ever.
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder
        .timer(TokioTimer::new())
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .keep_alive_timeout(KEEP_ALIVE_TIMEOUT);
    let (sender, connection) = builder.handshake(stream).await?;
    spawn_local(connection);
    Ok(sender)
}

/// Sends a check on a connection and returns the encoded answer.
///
/// # Errors
/// The gRPC status of the failure, and what it proves about the attempt.
pub async fn call(
    sender: SendRequest<Body>,
    address: SocketAddr,
    request: tonic::Request<Bytes>,
) -> Result<Bytes, (Outcome, Status)> {
    let proof = Rc::new(Cell::new(None));
    let origin = format!("http://{address}")
        .parse()
        .map_err(|_| (Outcome::ConnectFailed, Status::internal("the address is not a valid authority")))?;
    let service = ProvingSender { sender, proof: proof.clone() };
    let mut client = Grpc::with_origin(service, origin).max_decoding_message_size(MAX_BUFFERED_BODY_BYTES);
    let answer = client.unary(request, PathAndQuery::from_static(CHECK), RawCodec).await;
    answer.map(tonic::Response::into_inner).map_err(|status| {
        let outcome = proof.get().unwrap_or_else(|| outcome(&status));
        (outcome, status)
    })
}

/// Returns what a status proves. An authoriser may send any status after it did the work, so none of the
/// outcomes says that the check did not run.
fn outcome(status: &Status) -> Outcome {
    match status.code() {
        Code::DeadlineExceeded => Outcome::TimedOut,
        _ if status.source().is_some() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Returns whether an error of a stream proves that the authoriser did not process it: the authoriser refused
/// the stream, or sent a `GOAWAY` whose last processed stream is an earlier one. A `GOAWAY` does not end the
/// streams up to that one.
fn proves_unprocessed(error: &h2::Error) -> bool {
    let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
    refused || (error.is_go_away() && error.is_remote())
}

/// Sends requests on a connection and records what a failure proves.
struct ProvingSender {
    sender: SendRequest<Body>,
    proof: Rc<Cell<Option<Outcome>>>,
}

impl Service<http::Request<Body>> for ProvingSender {
    type Response = http::Response<Incoming>;
    type Error = hyper::Error;
    type Future = Pin<Box<dyn Future<Output = Result<Self::Response, hyper::Error>>>>;

    fn poll_ready(&mut self, cx: &mut Context<'_>) -> Poll<Result<(), hyper::Error>> {
        let ready = self.sender.poll_ready(cx);
        if let Poll::Ready(Err(_)) = ready {
            self.proof.set(Some(Outcome::ConnectFailed));
        }
        ready
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let (sent, proof) = (self.sender.try_send_request(request), self.proof.clone());
        Box::pin(async move {
            sent.await.map_err(|mut failed| {
                // A request that hyper gives back was never written.
                let error = failed.error().source().and_then(|e| e.downcast_ref::<h2::Error>());
                let unprocessed = error.is_some_and(proves_unprocessed);
                proof.set(Some(match failed.take_message() {
                    Some(_) => Outcome::ConnectFailed,
                    None if unprocessed => Outcome::Rejected,
                    None => Outcome::Reset,
                }));
                failed.into_error()
            })
        })
    }
}
