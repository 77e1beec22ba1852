//! A stream of a caller's connection: receives a check, has it answered, and sends the answer.

use super::caller_io::IoState;
use super::caller_memory::{ConnectionMemory, STREAM_BYTES, WaitingStream};
use super::proto::CHECK;
use super::service::CheckService;
use crate::net::http::MAX_BUFFERED_BODY_BYTES;
use bytes::{Bytes, BytesMut};
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http_body_util::{BodyExt, Full};
use std::future::poll_fn;
use std::rc::Rc;
use tonic::Status;
use tonic::body::Body;

/// The most bytes of a message and its prefix that are received: messages over the limit are read up to twice its size, so
/// that the answer can say that they are too large.
const MAX_RECEIVED_BYTES: usize = 2 * MAX_BUFFERED_BODY_BYTES + 16;

/// A stream whose head has been received.
pub(super) struct CheckStream {
    pub(super) service: Rc<CheckService>,
    pub(super) connection: Rc<ConnectionMemory>,
    pub(super) io: Rc<IoState>,
    pub(super) respond: SendResponse<Bytes>,
    pub(super) waiting: WaitingStream,
}

/// Why a stream ends without an answer.
enum StreamEnd {
    /// The caller has reset it, or its connection has failed.
    CallerLeft,
    /// There is no memory for it.
    NoMemory,
}

impl From<h2::Error> for StreamEnd {
    fn from(_: h2::Error) -> Self {
        Self::CallerLeft
    }
}

impl CheckStream {
    /// Serves the stream to its end.
    pub(super) async fn run(mut self, request: http::Request<RecvStream>) {
        match self.answer(request).await {
            Ok(()) | Err(StreamEnd::CallerLeft) => {}
            Err(StreamEnd::NoMemory) => self.respond.send_reset(Reason::REFUSED_STREAM),
        }
    }

    async fn answer(&mut self, request: http::Request<RecvStream>) -> Result<(), StreamEnd> {
        let connection = self.connection.clone();
        let response = if request.uri().path() == CHECK {
            let (head, body) = request.into_parts();
            let message = tokio::select! {
                biased;
                message = self.receive(body) => message?,
                () = connection.evicted() => return Err(StreamEnd::NoMemory),
            };
            self.check(http::Request::from_parts(head, Full::new(message))).await?
        } else {
            Status::unimplemented("there is only Authorization/Check").into_http()
        };
        tokio::select! {
            biased;
            sent = self.send(response) => sent,
            () = connection.evicted() => Err(StreamEnd::NoMemory),
        }
    }

    /// Has a check answered whose message has been received whole.
    async fn check(
        &mut self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<Body>, StreamEnd> {
        let reservation = self.connection.hold_check(self.waiting.bytes());
        self.waiting.hold(0);
        let respond = &mut self.respond;
        tokio::select! {
            biased;
            // Dropping the check ends the request.
            _ = poll_fn(|cx| respond.poll_reset(cx)) => Err(StreamEnd::CallerLeft),
            response = self.service.answer(request, reservation) => Ok(response),
        }
    }

    /// Receives the body, as far as a message may be long.
    async fn receive(&mut self, mut body: RecvStream) -> Result<Bytes, StreamEnd> {
        let held = self.waiting.bytes();
        let Some(first) = body.data().await else { return Ok(Bytes::new()) };
        let first = first?;
        let _ = body.flow_control().release_capacity(first.len());
        if body.is_end_stream() {
            self.waiting.hold(held + first.len());
            return Ok(first);
        }
        let mut received = BytesMut::from(first);
        while received.len() < MAX_RECEIVED_BYTES {
            if !self.waiting.try_hold(held + received.capacity()) {
                return Err(StreamEnd::NoMemory);
            }
            let Some(more) = body.data().await else { break };
            let more = more?;
            let _ = body.flow_control().release_capacity(more.len());
            received.extend_from_slice(&more);
        }
        self.waiting.hold(held + received.capacity());
        Ok(received.freeze())
    }

    /// Sends an answer, as fast as the caller takes it.
    async fn send(&mut self, response: http::Response<Body>) -> Result<(), StreamEnd> {
        let (head, body) = response.into_parts();
        let head = http::Response::from_parts(head, ());
        let Ok(body) = body.collect().await else {
            self.respond.send_reset(Reason::INTERNAL_ERROR);
            return Ok(());
        };
        let trailers = body.trailers().cloned();
        let data = body.to_bytes();
        self.waiting.hold(STREAM_BYTES + data.len());
        self.writable().await;
        let is_end = data.is_empty() && trailers.is_none();
        let mut stream = self.respond.send_response(head, is_end)?;
        if is_end {
            return Ok(());
        }
        self.send_data(&mut stream, data).await?;
        match trailers {
            Some(trailers) => stream.send_trailers(trailers)?,
            None => stream.send_data(Bytes::new(), true)?,
        }
        Ok(())
    }

    async fn send_data(&self, stream: &mut SendStream<Bytes>, mut data: Bytes) -> Result<(), StreamEnd> {
        while !data.is_empty() {
            stream.reserve_capacity(data.len());
            let capacity = match poll_fn(|cx| stream.poll_capacity(cx)).await {
                Some(capacity) => capacity?,
                None => return Err(StreamEnd::CallerLeft),
            };
            self.writable().await;
            if capacity > 0 {
                stream.send_data(data.split_to(capacity.min(data.len())), false)?;
            }
        }
        Ok(())
    }

    /// Waits until the caller's system takes bytes.
    async fn writable(&self) {
        poll_fn(|cx| self.io.poll_writable(cx)).await;
    }
}
