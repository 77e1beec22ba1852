//! The metrics of what the system holds for the sockets of this process, which are costly to read on a busy machine.

use crate::interface::Millis;
use crate::net::socket_table;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::task::{spawn_blocking, spawn_local};

/// The least time between two reads.
const READ_INTERVAL: Millis = 10_000.0;

/// The metrics as they were read last.
#[derive(Debug, Default)]
pub(super) struct SocketQueueMetrics {
    text: Rc<RefCell<String>>,
    /// When the last read began, in Unix milliseconds; 0 if there was none.
    read_at: Cell<Millis>,
}

impl SocketQueueMetrics {
    /// Returns the metrics as they were read last; empty if they never were. If that is long ago at `now`, they are read
    /// again, on another thread. Must be called within a local task set.
    pub(super) fn latest(&self, now: Millis) -> String {
        if now >= self.read_at.get() + READ_INTERVAL {
            self.read_at.set(now);
            let text = self.text.clone();
            spawn_local(async move {
                if let Ok(read) = spawn_blocking(socket_table::metrics).await {
                    text.replace(read);
                }
            });
        }
        self.text.borrow().clone()
    }
}
