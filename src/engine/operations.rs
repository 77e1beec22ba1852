//! The operators' side of the engine: disabled backends, and the state that passes to the next process at this address.

use super::Engine;
use crate::backends::entries::BackendList;
use crate::cluster::notices::{LocalNotice, Subject};
use crate::exchange::{BackendStatus, EngineState, Operation, OperationResult};
use crate::interface::ListKind;
use slog::{info, warn};

impl<Q: Clone, A> Engine<Q, A> {
    /// Carries out an operation on the disabled backends.
    pub(super) fn operate(&mut self, operation: Operation) -> OperationResult {
        match operation {
            Operation::Inspect => {}
            Operation::Disable(name) => {
                let change = self.maintenance.disable(&name)?;
                self.backend_disabled(name, true, change);
            }
            Operation::Enable(name) => {
                let change = self.maintenance.enable(&name)?;
                self.backend_disabled(name, false, change);
            }
            Operation::Follow(name, disabled) => self.follow(&name, disabled),
            Operation::Replace(names) => {
                self.maintenance.replace_disabled(names);
                self.mark_disabled();
            }
        }
        Ok(BackendStatus {
            counts: self.limiter.backend_counts(self.now),
            disabled: self.maintenance.disabled(),
        })
    }

    /// Disables or enables a backend, listed or not, as was decided elsewhere.
    pub(super) fn follow(&mut self, name: &str, disabled: bool) {
        if let Some(change) = self.maintenance.apply_notice(name, disabled) {
            self.apply_change(change, ListKind::Changes);
        }
    }

    /// Publishes a notice that an operator has disabled or enabled a backend here, and applies the change to the list.
    fn backend_disabled(&mut self, name: String, disabled: bool, change: Option<BackendList>) {
        if let Some(notices) = &self.outputs.local_notices {
            let _ = notices.send(LocalNotice::Published(Subject::Backend(name), disabled));
        }
        if let Some(change) = change {
            self.apply_change(change, ListKind::Changes);
        }
    }

    /// Continues from the state of another process. If the limiter's state cannot be read, this process
    /// starts afresh, as after a restart.
    pub(super) fn inherit(&mut self, state: EngineState) {
        self.maintenance.replace_disabled(state.disabled);
        match self.limiter.inherit(&state.limiter) {
            Ok(in_flight) => {
                self.limiter.continue_clock(self.now);
                self.predecessor_attempts = in_flight
                    .into_iter()
                    .map(|(request, index, backend)| ((request, index), backend))
                    .collect();
                info!(self.log, "took over"; "attempts_out" => self.predecessor_attempts.len());
            }
            Err(why) => warn!(self.log, "what the old process knew was passed over"; "why" => why),
        }
        if !self.list_received && !state.list.entries.is_empty() {
            let list = self.apply_owners(state.list);
            self.maintenance.apply_list(list);
        }
        self.mark_disabled();
    }

    /// Publishes the whole list again, with the disabled backends marked.
    fn mark_disabled(&mut self) {
        let list = self.maintenance.discovered_list();
        if !list.entries.is_empty() {
            let list = self.maintenance.apply_list(list);
            self.apply_change(list, ListKind::Full);
        }
    }
}
