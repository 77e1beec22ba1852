//! The server side: takes checks in over gRPC, awaits their verdicts at the exchange and answers them.

use super::proto::{CHECK, Raw};
use super::{Check, Front};
use crate::exchange::Exchange;
use crate::net::http::MAX_BUFFERED_BODY_BYTES;
use crate::net::server_side::{Drain, Phase, Signals};
use crate::stats::Stats;
use bytes::Bytes;
use slog::{Logger, info, warn};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, oneshot};
use tokio::task::JoinSet;
use tokio_stream::wrappers::ReceiverStream;
use tonic::body::Body;
use tonic::server::{Grpc, UnaryService};
use tonic::transport::Server;
use tonic::transport::server::Connected;
use tonic::{Response, Status};
use tower_service::Service;

/// Checks at once on a connection: more wait at the proxy.
const STREAMS: u32 = 256;
/// Bytes that a check, and all checks of a connection, may send ahead of being read: prevents callers that send
/// and never finish from taking the memory.
const WINDOWS: (u32, u32) = (64 * 1024, 128 * 1024);
/// A caller that has connected and says nothing for this long is closed: prevents silent ones from holding the room.
const SILENT: Duration = Duration::from_millis(2500);
/// While an operator drains, a caller that comes all the same is told so after this.
const DRAINED_AGE: Duration = Duration::from_millis(500);
/// A caller is asked for a sign of life so often, and closed when none comes for so long.
const PING: (Duration, Duration) = (Duration::from_secs(10), Duration::from_secs(5));

type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The gRPC service.
#[derive(Debug, Clone)]
pub struct CheckService {
    front: Arc<Front>,
    exchange: Exchange<Check, Bytes>,
    stats: Arc<Stats>,
}

impl CheckService {
    /// A service that hands its checks in at the exchange.
    pub fn new(front: Arc<Front>, exchange: Exchange<Check, Bytes>, stats: Arc<Stats>) -> Self {
        Self { front, exchange, stats }
    }
}

impl UnaryService<Bytes> for CheckService {
    type Response = Bytes;
    type Future = Boxed<Result<Response<Bytes>, Status>>;

    fn call(&mut self, request: tonic::Request<Bytes>) -> Self::Future {
        let this = self.clone();
        Box::pin(async move {
            let (metadata, _, message) = request.into_parts();
            let check = Check { message, metadata };
            let terms = this.front.read(&check)?;
            // A caller that cancels drops this future, and with it the flow.
            let taken = this.stats.request_started(terms.class);
            let verdict = this.exchange.submit(terms, check).await;
            taken.ended(verdict.outcome());
            Ok(Response::new(this.front.word(verdict)))
        })
    }
}

impl Service<http::Request<Body>> for CheckService {
    type Response = http::Response<Body>;
    type Error = Infallible;
    type Future = Boxed<Result<Self::Response, Infallible>>;

    fn poll_ready(&mut self, _: &mut Context<'_>) -> Poll<Result<(), Infallible>> {
        Poll::Ready(Ok(()))
    }

    fn call(&mut self, request: http::Request<Body>) -> Self::Future {
        let this = self.clone();
        Box::pin(async move {
            if request.uri().path() != CHECK {
                return Ok(Status::unimplemented("there is only Authorization/Check").into_http());
            }
            // Somewhat more than a check may hold is read, to say what is wrong with it.
            let mut grpc = Grpc::new(Raw).max_decoding_message_size(2 * MAX_BUFFERED_BODY_BYTES);
            Ok(grpc.unary(this, request).await)
        })
    }
}

/// Serves until the phase says to drain, and then until all that was taken is answered. At most so many connections are
/// held, each of them for so long. When an operator drains, callers are told to connect elsewhere, once their checks
/// are answered; who comes all the same is served, and told the same soon.
pub async fn serve(
    service: CheckService,
    listener: TcpListener,
    (most, age): (usize, Duration),
    signals: Signals,
    log: Logger,
) -> Result<(), tonic::transport::Error> {
    let (listener, room) = (Arc::new(listener), Arc::new(Semaphore::new(most)));
    let Signals { mut phase, mut drain, .. } = signals;
    let mut served = JoinSet::new();
    loop {
        let drained = *drain.borrow_and_update() == Drain::Closing;
        let (end, ended) = oneshot::channel::<()>();
        let stop = async move { drop(ended.await) };
        let age = if drained { age.min(DRAINED_AGE) } else { age };
        let one = serve_until(service.clone(), listener.clone(), (room.clone(), age), stop, log.clone());
        served.spawn_local(one);
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => {
                drop(end);
                while let Some(done) = served.join_next().await {
                    done.unwrap_or(Ok(()))?;
                }
                return Ok(());
            }
            Ok(_) = drain.wait_for(|drain| (*drain == Drain::Closing) != drained) => drop(end),
            Some(Ok(Err(e))) = served.join_next() => return Err(e),
        }
    }
}

async fn serve_until(
    service: CheckService,
    listener: Arc<TcpListener>,
    (room, age): (Arc<Semaphore>, Duration),
    stop: impl Future<Output = ()>,
    log: Logger,
) -> Result<(), tonic::transport::Error> {
    let (sender, connections) = mpsc::channel(1);
    let accepting = tokio::spawn(accept(listener, room, sender, log));
    let connections = ReceiverStream::new(connections);
    let server = Server::builder()
        .max_concurrent_streams(STREAMS)
        .initial_stream_window_size(WINDOWS.0)
        .initial_connection_window_size(WINDOWS.1)
        // Without a grace: with one, this version cuts the connection off after both, checks and all.
        .max_connection_age(age)
        .http2_keepalive_interval(Some(PING.0))
        .http2_keepalive_timeout(Some(PING.1));
    let served = server.serve_with_incoming_shutdown(service, connections, stop).await;
    accepting.abort();
    served
}

/// Takes connections in, up to the most; others wait in the backlog, so that descriptors are left for all else.
async fn accept(
    listener: Arc<TcpListener>,
    room: Arc<Semaphore>,
    connections: mpsc::Sender<io::Result<Counted>>,
    log: Logger,
) {
    while let Ok(permit) = room.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                // The server wants what can be sent between threads: the deadlines' own sleep cannot.
                let silent = Some(Box::pin(tokio::time::sleep(SILENT)));
                if connections.send(Ok(Counted { stream, silent, _permit: permit })).await.is_err() {
                    info!(log, "no more connections are taken");
                    return;
                }
            }
            Err(e) => {
                warn!(log, "a connection could not be accepted"; "error" => %e);
                tokio::time::sleep(Duration::from_millis(50)).await;
            }
        }
    }
}

/// A connection that counts until it is closed.
struct Counted {
    stream: TcpStream,
    /// Until it has said something.
    silent: Option<Pin<Box<tokio::time::Sleep>>>,
    _permit: OwnedSemaphorePermit,
}

impl Connected for Counted {
    type ConnectInfo = Option<SocketAddr>;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.peer_addr().ok()
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_ready() {
            self.silent = None;
        }
        match self.silent.as_mut().map(|silent| silent.as_mut().poll(cx)) {
            Some(Poll::Ready(())) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            _ => read,
        }
    }
}

impl AsyncWrite for Counted {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
