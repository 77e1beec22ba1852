//! The client side: carries schedulings to authorisers over gRPC, one HTTP/2 connection to each. Only proof that
//! a check never ran counts as such; nothing is ever sent a second time here.

use super::proto::{CHECK, CheckResponse, Raw};
use super::{Check, timeout_of};
use crate::config::Site;
use crate::deadlines::Deadlines;
use crate::exchange::{ClientSideCommand, Exchange};
use crate::interface::*;
use crate::net::attempts::{AttemptResult, Attempts, Job, Stage};
use crate::net::http::BODY;
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
use tonic::{Code, Status};
use tower_service::Service;

/// Checks at once on a connection: fewer than HTTP/2 servers usually bear, so that none waits in its queue.
const STREAMS: usize = 96;

/// A connection with checks out is asked for a sign of life so often, and closed when none comes for so long.
const PING: (Duration, Duration) = (Duration::from_secs(1), Duration::from_secs(1));

/// The connection to an authoriser, opened when first needed.
#[derive(Debug, Default, Clone)]
struct Link {
    sender: Rc<Mutex<Option<SendRequest<Body>>>>,
    out: Rc<Cell<usize>>,
}

#[derive(Debug)]
struct Inner {
    attempts: Attempts<Check, Bytes, Link>,
    deadlines: Deadlines,
    site: Site,
    stats: Arc<Stats>,
    log: Logger,
}

/// The client side of the authorisation front.
#[derive(Debug)]
pub struct Authorisers(Rc<Inner>);

impl Authorisers {
    /// A client side without connections.
    pub fn new(
        exchange: Exchange<Check, Bytes>,
        deadlines: Deadlines,
        site: Site,
        stats: Arc<Stats>,
        log: Logger,
    ) -> Self {
        Self(Rc::new(Inner { attempts: Attempts::new(exchange), deadlines, site, stats, log }))
    }

    /// Carries out orders until there are no more.
    pub async fn run(self, orders: mpsc::UnboundedReceiver<ClientSideCommand<Check>>) {
        let start = |server, mut job: Job<Check>| {
            let side = self.0.clone();
            spawn_local(async move {
                let id = job.id;
                let cancelled = &mut job.cancelled;
                tokio::select! {
                    biased;
                    // What is given up is dropped, which resets its stream.
                    _ = cancelled => {}
                    ending = side.carry(server, &job.question, (job.timeout, job.send_by), &job.stage) => {
                        side.attempts.finish(id, ending);
                    }
                }
            });
        };
        self.0.attempts.run(orders, start).await;
    }
}

/// Counts a check that is out, however it ends.
struct Out(Rc<Cell<usize>>);

impl Drop for Out {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

impl Inner {
    async fn carry(
        &self,
        server: BackendId,
        check: &Check,
        (wait, by): (Millis, Option<Millis>),
        stage: &Cell<Stage>,
    ) -> AttemptResult<Bytes> {
        let pool =
            self.attempts.pools.borrow().get(&server).map(|pool| (pool.address, pool.connections.clone()));
        let Some((at, link)) = pool else { return AttemptResult::failed(Outcome::ConnectFailed) };
        if link.out.get() >= STREAMS {
            return AttemptResult::failed(Outcome::Rejected);
        }
        link.out.set(link.out.get() + 1);
        let _out = Out(link.out.clone());
        let Some(sender) = self.open(&link, at).await else {
            return AttemptResult::failed(Outcome::ConnectFailed);
        };
        // Prevents a repeat that waited for its connection from running too late.
        if by.is_some_and(|by| by <= self.deadlines.clock().now()) {
            return AttemptResult::failed(Outcome::ConnectFailed);
        }
        let mut request = tonic::Request::new(check.message.clone());
        *request.metadata_mut() = check.metadata.clone();
        request.set_timeout(timeout_of(wait));
        // From here on the connection may write it at any moment.
        stage.set(Stage::Written);
        self.stats.written();
        match call(sender, at, request).await {
            // Garbage is no verdict.
            Ok(answer) if CheckResponse::decode(answer.clone()).is_err() => {
                AttemptResult::failed(Outcome::Error)
            }
            Ok(answer) => {
                AttemptResult { outcome: Outcome::Served, load: Load::default(), answer: Some(answer) }
            }
            Err((outcome, status)) => {
                debug!(self.log, "a check failed"; "authoriser" => %at, "status" => %status);
                AttemptResult::failed(outcome)
            }
        }
    }

    /// The connection, opened anew where there is none that lives.
    async fn open(&self, link: &Link, at: SocketAddr) -> Option<SendRequest<Body>> {
        let mut slot = link.sender.lock().await;
        if let Some(sender) = slot.as_ref().filter(|sender| !sender.is_closed()) {
            return Some(sender.clone());
        }
        let sender = self.deadlines.within(self.site.connect_timeout, open(at)).await?.ok()?;
        *slot = Some(sender.clone());
        Some(sender)
    }
}

/// Opens a connection.
pub async fn open(at: SocketAddr) -> Result<SendRequest<Body>, Box<dyn Error>> {
    let stream = TokioIo::new(connect(at).await?);
    // Prevents a connection to a machine that went silent from being used for ever.
    let mut builder = http2::Builder::new(TokioExecutor::new());
    builder.timer(TokioTimer::new()).keep_alive_interval(PING.0).keep_alive_timeout(PING.1);
    let (sender, connection) = builder.handshake(stream).await?;
    spawn_local(connection);
    Ok(sender)
}

/// Asks for a verdict on a connection; a failure comes with the outcome that it proves.
pub async fn call(
    sender: SendRequest<Body>,
    at: SocketAddr,
    request: tonic::Request<Bytes>,
) -> Result<Bytes, (Outcome, Status)> {
    let proof = Rc::new(Cell::new(None));
    let origin = format!("http://{at}")
        .parse()
        .map_err(|_| (Outcome::ConnectFailed, Status::internal("the address is no authority")))?;
    let service = Sender { sender, proof: proof.clone() };
    let mut client = Grpc::with_origin(service, origin).max_decoding_message_size(BODY);
    let answer = client.unary(request, PathAndQuery::from_static(CHECK), Raw).await;
    answer.map(tonic::Response::into_inner).map_err(|status| {
        let outcome = proof.get().unwrap_or_else(|| outcome(&status));
        (outcome, status)
    })
}

/// What a status proves; all may have run, as an authoriser may word any of them after its work.
fn outcome(status: &Status) -> Outcome {
    match status.code() {
        Code::DeadlineExceeded => Outcome::TimedOut,
        _ if status.source().is_some() => Outcome::Reset,
        _ => Outcome::Error,
    }
}

/// Whether the other side has said that it never looked at a stream: it has refused that one, or has ended the connection
/// after an earlier one. The streams up to that one do not end by its word.
fn never_looked_at(error: &h2::Error) -> bool {
    let refused = error.reason() == Some(h2::Reason::REFUSED_STREAM);
    refused || (error.is_go_away() && error.is_remote())
}

/// Sends requests on a connection and keeps what a failure proves.
struct Sender {
    sender: SendRequest<Body>,
    proof: Rc<Cell<Option<Outcome>>>,
}

impl Service<http::Request<Body>> for Sender {
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
                // A request that comes back was never written.
                let error = failed.error().source().and_then(|e| e.downcast_ref::<h2::Error>());
                let unseen = error.is_some_and(never_looked_at);
                proof.set(Some(match failed.take_message() {
                    Some(_) => Outcome::ConnectFailed,
                    None if unseen => Outcome::Rejected,
                    None => Outcome::Reset,
                }));
                failed.into_error()
            })
        })
    }
}
