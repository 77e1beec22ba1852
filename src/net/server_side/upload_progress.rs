//! How far the client of a body has written it, as it is reported to the engine, which starts and stops the deadlines of
//! the request.

use super::upload::Upload;
use super::write_time::WriteTime;
use crate::exchange::{BodyProgress, BodyReporter, Written};
use crate::interface::Millis;
use crate::net::client_side::{Answer, Question};

/// A client's system whose bytes were not taken may wait this long before it sends them again, in milliseconds: its
/// shortest retransmission time-out, and some of its clock's ticks.
const RETRANSMISSION_TIME: Millis = 250.0;

/// How far the client has written a body.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum WriteState {
    /// Not to its end.
    Pending,
    /// Its last byte may have been written at this time, but has not been received, or much of it waits for an attempt.
    MayBeWritten(Millis),
    /// Its last byte has been received, and may have been written at this time.
    Received(Millis),
}

/// The progress of one body.
#[derive(Debug)]
pub(super) struct UploadProgress {
    /// How far the client was known to have written.
    write_time: WriteTime,
    /// Since when nothing has been unread, in Unix milliseconds; `None` while something is.
    idle_since: Option<Millis>,
    /// What was reported last.
    pub(super) state: WriteState,
    /// Whether bytes were held back, and nothing has arrived since they were read.
    is_window_reopened: bool,
    /// Whether a body of unknown length could be read no further ahead of its backend since nothing of it was unread: any
    /// unread byte may be the last one.
    pub(super) is_end_out_of_reach: bool,
    reporter: BodyReporter<Question, Answer>,
}

impl UploadProgress {
    /// Creates the progress of a body of which nothing has been reported.
    pub(super) fn new(write_time: WriteTime, reporter: BodyReporter<Question, Answer>) -> Self {
        Self {
            write_time,
            idle_since: None,
            state: WriteState::Pending,
            is_window_reopened: false,
            is_end_out_of_reach: false,
            reporter,
        }
    }

    /// Records that at `now`, when `received` bytes have been received, `unread` more had arrived.
    pub(super) fn unread(&mut self, now: Millis, received: usize, unread: usize) {
        if unread == 0 {
            self.idle_since.get_or_insert(now);
        } else {
            self.idle_since = None;
            self.write_time.unread(now, received + unread);
        }
    }

    /// Records that `more` bytes have been received by `now`, behind `received` others, and that `unread` returns how
    /// many more have arrived.
    pub(super) fn received(
        &mut self,
        now: Millis,
        received: usize,
        more: usize,
        unread: impl FnOnce() -> usize,
    ) {
        let Some(since) = self.idle_since.take() else {
            return self.write_time.received(now, received + more, unread);
        };
        let is_window_reopened = std::mem::take(&mut self.is_window_reopened);
        if is_window_reopened && now - since < RETRANSMISSION_TIME {
            return self.write_time.received(now, received + more, unread);
        }
        self.write_time.waited(since..now, received, more);
    }

    /// Returns how long nothing must arrive from `now` on, in milliseconds, until the client is known to have written no
    /// more than the `received` bytes.
    pub(super) fn conclusive_wait(&self, now: Millis, received: usize) -> Millis {
        self.write_time.conclusive_wait(now, received)
    }

    /// Returns whether it was reported that the client may have written the whole body.
    pub(super) fn may_be_written(&self) -> bool {
        matches!(self.state, WriteState::MayBeWritten(_))
    }

    /// Returns the earliest time at which the client may have written the last byte, which is taken for the next one if
    /// the length is not known. `None` if it cannot have written it yet.
    pub(super) fn written_at(&self, upload: &Upload<'_>) -> Option<Millis> {
        self.write_time.earliest_end(upload.length.unwrap_or(upload.read))
    }

    /// Returns how far the client has written the body, of which `unread` bytes have arrived and not been read.
    pub(super) fn current_state(&self, upload: &Upload<'_>, unread: usize) -> WriteState {
        let Some(written_at) = self.written_at(upload) else { return WriteState::Pending };
        if upload.is_received() {
            return match upload.is_held_for_attempt() {
                true => WriteState::MayBeWritten(written_at),
                false => WriteState::Received(written_at),
            };
        }
        // While nothing is unread, the client may have written no more, which the wait for it will show.
        let may_be_written = unread > 0 || self.may_be_written();
        match may_be_written && (upload.length.is_some() || self.is_end_out_of_reach) {
            true => WriteState::MayBeWritten(written_at),
            false => WriteState::Pending,
        }
    }

    /// Records that what is unread is not read for now.
    pub(super) fn held_back(&mut self) {
        self.is_window_reopened = true;
    }

    /// Reports a state, if it has changed. The final answer is due within `max_time` milliseconds, whatever the client's
    /// timeout.
    pub(super) fn report(&mut self, state: WriteState, max_time: Millis) {
        if self.state == state || matches!(self.state, WriteState::Received(_)) {
            return;
        }
        self.state = state;
        self.reporter.report(match state {
            WriteState::Pending => BodyProgress::Pending,
            WriteState::MayBeWritten(at) => BodyProgress::MayBeWritten(Written { at, max_time }),
            WriteState::Received(at) => BodyProgress::Received(Written { at, max_time }),
        });
    }
}
