//! How far the client of a body has written it, as it is reported to the engine, which starts and stops the deadlines of
//! the request.

use super::upload::Upload;
use super::write_time::WriteTime;
use crate::exchange::{BodyProgress, BodyReporter, Written};
use crate::interface::Millis;
use crate::net::client_side::{Answer, Question};

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
    pub(super) write_time: WriteTime,
    /// What was reported last.
    pub(super) state: WriteState,
    /// Whether a body of unknown length could be read no further ahead of its backend since nothing of it was unread: any
    /// unread byte may be the last one.
    pub(super) is_end_out_of_reach: bool,
    reporter: BodyReporter<Question, Answer>,
}

impl UploadProgress {
    /// Creates the progress of a body of which nothing has been reported.
    pub(super) fn new(write_time: WriteTime, reporter: BodyReporter<Question, Answer>) -> Self {
        Self { write_time, state: WriteState::Pending, is_end_out_of_reach: false, reporter }
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
