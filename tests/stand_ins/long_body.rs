//! A backend for request bodies of any length, which may stop reading, pause, answer slowly or not at all.

use super::*;
use socket2::SockRef;
use std::time::Duration;
use tokio::io::Interest;
use weldhub::net::http::peek_head;

/// The receive buffer of the backend's connections, in bytes. The system's own size may hold a whole body.
const RECEIVE_BUFFER_BYTES: usize = 64 * 1024;
/// The bytes that a pausing backend reads between two pauses.
const PAUSE_EVERY_BYTES: usize = 4 << 20;
/// The pause of a pausing backend.
const PAUSE: Duration = Duration::from_millis(500);
/// The answer to a body.
const ANSWER: &str = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone";

/// What a backend does once it has received the head of a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Behavior {
    /// It writes these bytes, reads nothing more and stays open.
    Stop(&'static str),
    /// It writes these bytes, reads the body and answers 200.
    Read(&'static str),
    /// It reads the body, with a [`PAUSE`] after every 4 MiB of the first half, and answers 200.
    Pause,
    /// It reads the body and answers 200 after this time.
    Work(Duration),
    /// It reads the body, and then writes the head of an answer of `pieces` pieces of [`PIECE_BYTES`] and one of
    /// them after each `pause`.
    AnswerSlowly {
        /// The number of pieces.
        pieces: usize,
        /// The time between two pieces.
        pause: Duration,
    },
}

/// The size of a piece of a slow answer, in bytes.
pub const PIECE_BYTES: usize = 50_000;

/// A backend that treats each request in the same way.
pub struct LongBodyBackend {
    /// The address that it listens on.
    pub at: SocketAddr,
    /// The number of connections that are open.
    pub open: Rc<Cell<usize>>,
    /// The number of bodies received in full.
    pub bodies: Rc<Cell<usize>>,
    /// Makes a connection that has stopped read on to its end.
    pub resume: Rc<Notify>,
}

impl LongBodyBackend {
    /// Starts a backend on loopback.
    pub async fn start(behavior: Behavior) -> Self {
        let listener = listener().await;
        SockRef::from(&listener).set_recv_buffer_size(RECEIVE_BUFFER_BYTES).unwrap();
        let at = listener.local_addr().unwrap();
        let (open, bodies, resume) = (Rc::new(Cell::new(0)), Rc::new(Cell::new(0)), Rc::new(Notify::new()));
        let (counter, body_counter, resumed) = (open.clone(), bodies.clone(), resume.clone());
        serve_each(listener, move |stream| {
            let (counter, body_counter, resumed) = (counter.clone(), body_counter.clone(), resumed.clone());
            counter.set(counter.get() + 1);
            async move {
                let _ = serve(stream, behavior, &body_counter, &resumed).await;
                counter.set(counter.get() - 1);
            }
        });
        Self { at, open, bodies, resume }
    }
}

/// Serves one request, or waits until the other side closes the connection.
async fn serve(
    mut stream: TcpStream,
    behavior: Behavior,
    bodies: &Cell<usize>,
    resumed: &Notify,
) -> std::io::Result<()> {
    let mut buffer = BytesMut::new();
    let head = loop {
        if let Some((head, length)) = peek_head(&buffer, MessageKind::Request).unwrap() {
            let _ = buffer.split_to(length);
            break head;
        }
        if stream.read_buf(&mut buffer).await? == 0 {
            return Ok(());
        }
    };
    match behavior {
        Behavior::Stop(text) => {
            stream.write_all(text.as_bytes()).await?;
            return stop(&mut stream, resumed).await;
        }
        Behavior::Read(text) => stream.write_all(text.as_bytes()).await?,
        _ => {}
    }
    let length = head.body_length().unwrap_or(0);
    let mut missing = length - buffer.len();
    let mut piece = vec![0; 64 * 1024];
    while missing > 0 {
        let pauses_before = missing / PAUSE_EVERY_BYTES;
        match stream.read(&mut piece).await? {
            0 => return Ok(()),
            n => missing -= n,
        }
        let pauses = behavior == Behavior::Pause && missing > length / 2;
        if pauses && missing / PAUSE_EVERY_BYTES < pauses_before {
            tokio::time::sleep(PAUSE).await;
        }
    }
    bodies.set(bodies.get() + 1);
    match behavior {
        Behavior::AnswerSlowly { pieces, pause } => {
            let length = pieces * PIECE_BYTES;
            stream
                .write_all(format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n").as_bytes())
                .await?;
            for _ in 0..pieces {
                stream.write_all(&[b'a'; PIECE_BYTES]).await?;
                tokio::time::sleep(pause).await;
            }
        }
        Behavior::Work(time) => {
            tokio::time::sleep(time).await;
            stream.write_all(ANSWER.as_bytes()).await?;
        }
        _ => stream.write_all(ANSWER.as_bytes()).await?,
    }
    stream.read_buf(&mut buffer).await?;
    Ok(())
}

/// Waits until the other side closes or resets the connection, without reading from it; reads it to its end
/// once it is resumed.
async fn stop(stream: &mut TcpStream, resumed: &Notify) -> std::io::Result<()> {
    let closed = async {
        while stream.ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::select! {
        () = closed => return Ok(()),
        () = resumed.notified() => {}
    }
    stream.read_to_end(&mut Vec::new()).await.map(drop)
}
