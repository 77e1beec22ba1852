//! A backend that reads bodies and writes answers at a given pace, and records the requests that it ran.

use super::*;
use std::time::{Duration, Instant};
use weldhub::net::http::{BodyDecoder, peek_head};

/// The most bytes that are read or written at a time.
const STEP_BYTES: usize = 16 * 1024;

/// How the end of an answer is marked.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Framing {
    Length,
    Chunked,
    UntilClose,
}

/// How a backend treats its requests.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    /// Bytes of a body that it reads per second; `f64::INFINITY` for as many as come.
    pub read_rate: f64,
    /// The time from the last byte of a request to the head of its answer.
    pub work: Duration,
    /// The time from the head of an answer to its first body byte.
    pub body_delay: Duration,
    /// Bytes of an answer that it writes per second; `f64::INFINITY` for as many as are taken.
    pub write_rate: f64,
    /// The bytes of an answer's body.
    pub answer_bytes: usize,
    /// How the answer is framed.
    pub framing: Framing,
    /// The size of its receive buffers, in bytes; `None` for the system's own.
    pub receive_buffer: Option<usize>,
}

impl Default for Pace {
    fn default() -> Self {
        Self {
            read_rate: f64::INFINITY,
            work: Duration::ZERO,
            body_delay: Duration::ZERO,
            write_rate: f64::INFINITY,
            answer_bytes: 4,
            framing: Framing::Length,
            receive_buffer: None,
        }
    }
}

/// A request that a backend received to its last byte.
#[derive(Debug, Clone)]
pub struct Run {
    pub id: String,
    pub at: Instant,
}

/// A backend with a pace that a test may change between requests.
#[derive(Clone)]
pub struct PacedBackend {
    /// The address that it listens on.
    pub at: SocketAddr,
    /// The pace of requests that begin from now on.
    pub pace: Rc<Cell<Pace>>,
    /// The requests received to their last byte.
    pub runs: Rc<RefCell<Vec<Run>>>,
    /// The number of connections that are open.
    pub open: Rc<Cell<usize>>,
    /// The number of answers that the other side cut off.
    pub cut: Rc<Cell<usize>>,
}

impl PacedBackend {
    /// Starts a backend on loopback.
    pub async fn start(pace: Pace) -> Self {
        Self::start_at("127.0.0.1:0".parse().unwrap(), pace).await
    }

    /// Starts a backend at an address.
    pub async fn start_at(at: SocketAddr, pace: Pace) -> Self {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None).unwrap();
        socket.set_reuse_address(true).unwrap();
        socket.set_nonblocking(true).unwrap();
        if let Some(bytes) = pace.receive_buffer {
            socket.set_recv_buffer_size(bytes).unwrap();
        }
        socket.bind(&at.into()).unwrap();
        socket.listen(1024).unwrap();
        let listener = TcpListener::from_std(socket.into()).unwrap();
        let this = Self {
            at: listener.local_addr().unwrap(),
            pace: Rc::new(Cell::new(pace)),
            runs: Rc::default(),
            open: Rc::default(),
            cut: Rc::default(),
        };
        let serving = this.clone();
        serve_each(listener, move |stream| {
            let serving = serving.clone();
            async move {
                serving.open.set(serving.open.get() + 1);
                let _ = serving.serve(stream).await;
                serving.open.set(serving.open.get() - 1);
            }
        });
        this
    }

    /// Returns how often a request of this id was received to its last byte.
    pub fn count(&self, id: &str) -> usize {
        self.runs.borrow().iter().filter(|run| run.id == id).count()
    }

    async fn serve(&self, mut stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut buffer = BytesMut::new();
        loop {
            let head = loop {
                if let Some((head, length)) = peek_head(&buffer, MessageKind::Request).unwrap() {
                    let _ = buffer.split_to(length);
                    break head;
                }
                if stream.read_buf(&mut buffer).await? == 0 {
                    return Ok(());
                }
            };
            let pace = self.pace.get();
            let id = String::from_utf8(head.get("request-id").unwrap_or_default().to_vec()).unwrap();
            let mut body = BodyDecoder::new(&head);
            loop {
                while body.take(&mut buffer, STEP_BYTES).unwrap().is_some() {}
                if body.is_done() {
                    break;
                }
                buffer.reserve(STEP_BYTES);
                let n = stream.read_buf(&mut bytes::BufMut::limit(&mut buffer, STEP_BYTES)).await?;
                if n == 0 {
                    return Ok(());
                }
                wait_for(n, pace.read_rate).await;
            }
            self.runs.borrow_mut().push(Run { id, at: Instant::now() });
            tokio::time::sleep(pace.work).await;
            if let Err(e) = write_answer(&mut stream, pace).await {
                self.cut.set(self.cut.get() + 1);
                return Err(e);
            }
            if pace.framing == Framing::UntilClose {
                return Ok(());
            }
        }
    }
}

/// Waits for as long as `bytes` take at `rate` bytes a second.
async fn wait_for(bytes: usize, rate: f64) {
    if rate.is_finite() {
        tokio::time::sleep(Duration::from_secs_f64(bytes as f64 / rate)).await;
    }
}

async fn write_answer(stream: &mut TcpStream, pace: Pace) -> std::io::Result<()> {
    let framing = match pace.framing {
        Framing::Length => format!("Content-Length: {}\r\n", pace.answer_bytes),
        Framing::Chunked => "Transfer-Encoding: chunked\r\n".to_owned(),
        Framing::UntilClose => String::new(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing}\r\n").as_bytes()).await?;
    tokio::time::sleep(pace.body_delay).await;
    let mut left = pace.answer_bytes;
    while left > 0 {
        let n = left.min(if pace.write_rate.is_finite() { STEP_BYTES / 4 } else { STEP_BYTES });
        let piece = vec![b'a'; n];
        if pace.framing == Framing::Chunked {
            stream.write_all(format!("{n:x}\r\n").as_bytes()).await?;
            stream.write_all(&piece).await?;
            stream.write_all(b"\r\n").await?;
        } else {
            stream.write_all(&piece).await?;
        }
        left -= n;
        wait_for(n, pace.write_rate).await;
    }
    if pace.framing == Framing::Chunked {
        stream.write_all(b"0\r\n\r\n").await?;
    }
    stream.flush().await
}
