//! How a stand-in backend treats a request, which the last segment of its path says: `work-MS` answers after that many
//! milliseconds, `read-RATE` reads the body at that many bytes a second, `late-BYTES` sends the head of an answer of that
//! length at once and its body slowly later, and `long-BYTES` sends it as fast as it is taken. Anything else is answered
//! after the usual time.

use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use std::cell::Cell;
use std::convert::Infallible;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::{Sleep, sleep};

/// The time from the head of a late answer to its first byte.
const BODY_DELAY: Duration = Duration::from_millis(900);
/// The bytes a second of a late answer.
const LATE_RATE: f64 = 150_000.0;
/// The bytes of an answer that are sent at a time.
const STEP_BYTES: usize = 8 * 1024;

/// How a request is treated.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// The time from the last byte of the request to its answer.
    pub work: Duration,
    /// The bytes of its body that are read a second.
    pub read_rate: f64,
    /// The length of the answer in bytes; `None` for the usual one.
    pub answer_bytes: Option<usize>,
    /// Whether the body of the answer comes late and slowly.
    pub late: bool,
}

impl Pace {
    /// Returns the pace that the path of a request asks for. `usual_work` is the time that other requests take.
    pub fn from_path(path: &str, usual_work: Duration) -> Self {
        let usual = Self { work: usual_work, read_rate: f64::INFINITY, answer_bytes: None, late: false };
        let word = path.rsplit('/').next().unwrap_or_default();
        let Some((kind, number)) = word.split_once('-').and_then(|(kind, n)| Some((kind, n.parse().ok()?)))
        else {
            return usual;
        };
        match kind {
            "work" => Self { work: Duration::from_millis(number), ..usual },
            "read" => Self { read_rate: number as f64, ..usual },
            "late" | "long" => {
                Self { answer_bytes: usize::try_from(number).ok(), late: kind == "late", ..usual }
            }
            _ => usual,
        }
    }

    /// Reads a request's body to its end. Returns `false` if it breaks off.
    pub async fn read(&self, mut body: Incoming) -> bool {
        loop {
            let frame = std::future::poll_fn(|cx| Pin::new(&mut body).poll_frame(cx)).await;
            match frame {
                None => return true,
                Some(Err(_)) => return false,
                Some(Ok(frame)) => {
                    let bytes = frame.data_ref().map_or(0, Bytes::len);
                    if self.read_rate.is_finite() {
                        sleep(Duration::from_secs_f64(bytes as f64 / self.read_rate)).await;
                    }
                }
            }
        }
    }
}

/// The body of an answer. It counts as cut off if it is dropped before its end.
pub struct PacedBody {
    rate: f64,
    left: usize,
    wait: Pin<Box<Sleep>>,
    cut_off: Rc<Cell<u64>>,
}

impl PacedBody {
    /// Creates the body that a request's pace asks for; `usual_bytes` is the length of the usual one. `cut_off` is
    /// incremented if it is cut off.
    pub fn new(pace: &Pace, usual_bytes: usize, cut_off: Rc<Cell<u64>>) -> Self {
        let (delay, rate) = if pace.late { (BODY_DELAY, LATE_RATE) } else { (Duration::ZERO, f64::INFINITY) };
        let left = pace.answer_bytes.unwrap_or(usual_bytes);
        Self { rate, left, wait: Box::pin(sleep(delay)), cut_off }
    }
}

impl Drop for PacedBody {
    fn drop(&mut self) {
        if self.left > 0 {
            self.cut_off.set(self.cut_off.get() + 1);
        }
    }
}

impl Body for PacedBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        if self.left == 0 {
            return Poll::Ready(None);
        }
        std::task::ready!(self.wait.as_mut().poll(cx));
        let bytes = self.left.min(STEP_BYTES);
        self.left -= bytes;
        if self.rate.is_finite() {
            self.wait = Box::pin(sleep(Duration::from_secs_f64(bytes as f64 / self.rate)));
        }
        Poll::Ready(Some(Ok(Frame::data(Bytes::from(vec![b'a'; bytes])))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.left as u64)
    }
}
