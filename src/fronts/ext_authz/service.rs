//! The server side: accepts checks over gRPC, submits them to the engine and sends its answers back.

use super::proto::{CHECK, RawCodec};
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

/// The most concurrent checks on a connection. The proxy holds further ones back.
const MAX_CONCURRENT_STREAMS: u32 = 256;
/// The HTTP/2 flow-control window of a stream, in bytes. Prevents callers that send and never finish from
/// taking the memory.
const STREAM_WINDOW_BYTES: u32 = 64 * 1024;
/// The HTTP/2 flow-control window of a connection, in bytes: it bounds all checks of a connection together.
const CONNECTION_WINDOW_BYTES: u32 = 128 * 1024;
/// A connection that has sent nothing for this long since it opened is closed. Prevents silent callers from
/// using up the connections.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The age at which connections are ended while an operator drains this instance: callers that connect all
/// the same are soon told to go elsewhere.
const DRAINING_CONNECTION_AGE: Duration = Duration::from_millis(500);
/// The interval of HTTP/2 keep-alive pings to callers.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);
/// A connection whose keep-alive ping is not answered for this long is closed.
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);

type Boxed<T> = Pin<Box<dyn Future<Output = T> + Send>>;

/// The gRPC service `Authorization`.
#[derive(Debug, Clone)]
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

impl UnaryService<Bytes> for CheckService {
    type Response = Bytes;
    type Future = Boxed<Result<Response<Bytes>, Status>>;

    fn call(&mut self, request: tonic::Request<Bytes>) -> Self::Future {
        let this = self.clone();
        Box::pin(async move {
            let (metadata, _, message) = request.into_parts();
            let check = Check { message, metadata };
            let request_info = this.front.read(&check)?;
            // A caller that cancels its check drops this future, which ends the request.
            let in_progress = this.stats.request_started(request_info.class);
            let final_answer = this.exchange.submit(request_info, check).await;
            in_progress.ended(final_answer.outcome());
            Ok(Response::new(this.front.encode_answer(final_answer)))
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
            // Messages over the limit are read up to twice its size, so that the answer can say that they are
            // too large.
            let mut grpc = Grpc::new(RawCodec).max_decoding_message_size(2 * MAX_BUFFERED_BODY_BYTES);
            Ok(grpc.unary(this, request).await)
        })
    }
}

/// Serves checks until [`Phase::Draining`], and then until all accepted checks are answered. Holds up to
/// `max_connections` connections and ends each at the age `max_age`. While an operator drains this instance,
/// callers are told to connect elsewhere once their checks are answered. Callers that connect all the same
/// are served, and told the same after `DRAINING_CONNECTION_AGE`.
pub async fn serve(
    service: CheckService,
    listener: TcpListener,
    (max_connections, max_age): (usize, Duration),
    signals: Signals,
    log: Logger,
) -> Result<(), tonic::transport::Error> {
    let (listener, permits) = (Arc::new(listener), Arc::new(Semaphore::new(max_connections)));
    let Signals { mut phase, mut drain, .. } = signals;
    let mut servers = JoinSet::new();
    loop {
        let draining = *drain.borrow_and_update() == Drain::Closing;
        let (stop_sender, stopped) = oneshot::channel::<()>();
        let stop = async move { drop(stopped.await) };
        let max_age = if draining { max_age.min(DRAINING_CONNECTION_AGE) } else { max_age };
        let server =
            serve_until(service.clone(), listener.clone(), permits.clone(), max_age, stop, log.clone());
        servers.spawn_local(server);
        tokio::select! {
            _ = phase.wait_for(|phase| *phase == Phase::Draining) => {
                drop(stop_sender);
                while let Some(done) = servers.join_next().await {
                    done.unwrap_or(Ok(()))?;
                }
                return Ok(());
            }
            Ok(_) = drain.wait_for(|drain| (*drain == Drain::Closing) != draining) => drop(stop_sender),
            Some(Ok(Err(e))) = servers.join_next() => return Err(e),
        }
    }
}

/// Serves checks until `stop` resolves, and then until the checks on its connections are answered.
async fn serve_until(
    service: CheckService,
    listener: Arc<TcpListener>,
    permits: Arc<Semaphore>,
    max_age: Duration,
    stop: impl Future<Output = ()>,
    log: Logger,
) -> Result<(), tonic::transport::Error> {
    let (sender, connections) = mpsc::channel(1);
    let accepting = tokio::spawn(accept(listener, permits, sender, log));
    let connections = ReceiverStream::new(connections);
    let server = Server::builder()
        .max_concurrent_streams(MAX_CONCURRENT_STREAMS)
        .initial_stream_window_size(STREAM_WINDOW_BYTES)
        .initial_connection_window_size(CONNECTION_WINDOW_BYTES)
        // No grace period is set: with one, this version of tonic closes the connection after both times even
        // if checks are still in flight.
        .max_connection_age(max_age)
        .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
        .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT));
    let result = server.serve_with_incoming_shutdown(service, connections, stop).await;
    accepting.abort();
    result
}

/// Accepts connections while permits last. Others wait in the backlog of the listener, so that descriptors
/// are left for everything else.
async fn accept(
    listener: Arc<TcpListener>,
    permits: Arc<Semaphore>,
    connections: mpsc::Sender<io::Result<CountedConnection>>,
    log: Logger,
) {
    while let Ok(permit) = permits.clone().acquire_owned().await {
        match listener.accept().await {
            Ok((stream, _)) => {
                let _ = stream.set_nodelay(true);
                // tonic requires `Send`, which the timers of `Deadlines` are not.
                let first_byte_timeout = Some(Box::pin(tokio::time::sleep(FIRST_BYTE_TIMEOUT)));
                let connection = CountedConnection { stream, first_byte_timeout, _permit: permit };
                if connections.send(Ok(connection)).await.is_err() {
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

/// A connection that holds a permit until it is closed.
struct CountedConnection {
    stream: TcpStream,
    /// Fails the connection when it expires. `None` once the caller has sent something.
    first_byte_timeout: Option<Pin<Box<tokio::time::Sleep>>>,
    _permit: OwnedSemaphorePermit,
}

impl Connected for CountedConnection {
    type ConnectInfo = Option<SocketAddr>;

    fn connect_info(&self) -> Self::ConnectInfo {
        self.stream.peer_addr().ok()
    }
}

impl AsyncRead for CountedConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buffer);
        if read.is_ready() {
            self.first_byte_timeout = None;
        }
        match self.first_byte_timeout.as_mut().map(|timeout| timeout.as_mut().poll(cx)) {
            Some(Poll::Ready(())) => Poll::Ready(Err(io::ErrorKind::TimedOut.into())),
            _ => read,
        }
    }
}

impl AsyncWrite for CountedConnection {
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
