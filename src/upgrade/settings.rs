//! What operators have changed at this process: disabled backends, the drain, and the files that keep both.

use super::change::{Change, OperatorState};
use crate::admin::command::CommandError;
use crate::admin::drain::set_drained;
use crate::backends::maintenance::{decode_disabled, encode_disabled};
use crate::cluster::Cluster;
use crate::cluster::notices::{LocalNotice, MAX_SUBJECT, Subject};
use crate::cluster::transport::SharedCluster;
use crate::exchange::{Operation, OperationResult};
use crate::files::RetriedFile;
use crate::net::server_side::Drain;
use slog::{Logger, warn};
use std::io;
use std::path::{Path, PathBuf};
use std::pin::Pin;
use tokio::sync::{mpsc, watch};

/// Carries out an operation on the engine.
pub type OperationHandler = Box<dyn Fn(Operation) -> Pin<Box<dyn Future<Output = OperationResult>>>>;

/// What operators have changed at this process, and where it is in force.
pub struct OperatorSettings {
    /// The way to the engine, which knows the disabled backends.
    pub engine: OperationHandler,
    /// Whether this instance is drained.
    pub drain: watch::Sender<Drain>,
    /// The files that keep the changes, or `None` to keep nothing.
    pub files: Option<SettingsFiles>,
    /// The view of the fleet and the queue of notices to publish, or `None` if no fleet is configured.
    pub cluster: Option<(SharedCluster, mpsc::UnboundedSender<LocalNotice>)>,
}

/// The files that keep operators' changes for a process that cannot be told of them. Only the process that leads writes
/// them.
#[derive(Debug)]
pub struct SettingsFiles {
    /// The names of the disabled backends.
    pub disabled: RetriedFile,
    /// Exists while the instance is drained.
    pub drained: PathBuf,
}

impl OperatorSettings {
    /// Carries out a change as the process that leads.
    ///
    /// # Errors
    /// The reason why it was refused; nothing has changed then.
    pub(super) async fn apply(&self, change: &Change) -> Result<(), String> {
        let operation = match change {
            Change::DisableBackend(name) => Operation::Disable(name.clone()),
            Change::EnableBackend(name) => Operation::Enable(name.clone()),
            Change::Drain | Change::Resume => {
                set_drained(&self.drain, *change == Change::Drain);
                self.save_drain();
                return Ok(());
            }
            Change::DrainIngress(name, drained) => return self.drain_ingress(name, *drained),
        };
        let status = (self.engine)(operation).await?;
        self.save_disabled(&status.disabled);
        Ok(())
    }

    /// Follows a change that the process that leads has carried out.
    pub(super) async fn follow(&self, change: &Change) {
        let operation = match change {
            Change::DisableBackend(name) => Operation::Follow(name.clone(), true),
            Change::EnableBackend(name) => Operation::Follow(name.clone(), false),
            Change::Drain | Change::Resume => return set_drained(&self.drain, *change == Change::Drain),
            // The notice that the other process publishes reaches the ingress.
            Change::DrainIngress(..) => return,
        };
        let _: OperationResult = (self.engine)(operation).await;
    }

    /// Returns what is in force now.
    pub(super) async fn state(&self) -> OperatorState {
        let status = (self.engine)(Operation::Inspect).await;
        let disabled = status.map(|status| status.disabled).unwrap_or_default();
        OperatorState { disabled, drained: *self.drain.borrow() != Drain::Inactive }
    }

    /// Puts the state of the process that leads in force.
    pub(super) async fn replace(&self, state: OperatorState) {
        let _: OperationResult = (self.engine)(Operation::Replace(state.disabled)).await;
        set_drained(&self.drain, state.drained);
    }

    /// Restores the drain of the process before this one, which runs and does not answer.
    pub fn restore_drain(&self) {
        if self.files.as_ref().is_some_and(|files| files.drained.exists()) {
            set_drained(&self.drain, true);
        }
    }

    /// Has the files tell what is in force here, as this process leads from now on.
    pub(super) async fn save(&self) {
        let disabled = self.state().await.disabled;
        let is_kept = |file: &RetriedFile| match std::fs::read(file.path()) {
            Ok(content) => content == encode_disabled(&disabled).as_bytes(),
            Err(e) => e.kind() == io::ErrorKind::NotFound && disabled.is_empty(),
        };
        if self.files.as_ref().is_some_and(|files| !is_kept(&files.disabled)) {
            self.save_disabled(&disabled);
        }
        self.save_drain();
    }

    /// Leaves the files to the process that leads from now on.
    pub(super) fn leave_files(&self) {
        if let Some(files) = &self.files {
            files.disabled.give_up();
        }
    }

    /// Puts in force what the file of disabled backends says, which another process keeps.
    pub(super) async fn follow_file(&self) {
        let Some(files) = &self.files else { return };
        let text = std::fs::read_to_string(files.disabled.path()).ok();
        if let Some(disabled) = text.as_deref().and_then(decode_disabled) {
            let _: OperationResult = (self.engine)(Operation::Replace(disabled)).await;
        }
    }

    fn save_disabled(&self, disabled: &[String]) {
        if let Some(files) = &self.files {
            files.disabled.write(encode_disabled(disabled).into_bytes());
        }
    }

    /// Has the file tell whether this instance is drained.
    pub fn save_drain(&self) {
        let Some(files) = &self.files else { return };
        // The file matters only where this process hangs when the next one starts, so a failure is not tried again.
        let _: io::Result<()> = match *self.drain.borrow() {
            Drain::Inactive => std::fs::remove_file(&files.drained),
            Drain::Announced | Drain::Closing => std::fs::write(&files.drained, []),
        };
    }

    /// Publishes a notice that an ingress is drained or resumed. The ingress learns of it by the notice, as all others
    /// do.
    fn drain_ingress(&self, name: &str, drained: bool) -> Result<(), String> {
        let Some((cluster, local_notices)) = &self.cluster else {
            return Err(CommandError::UnexpectedArgument.to_string());
        };
        if !is_known(&cluster.borrow(), name) || name.len() > MAX_SUBJECT {
            return Err("no such ingress".to_owned());
        }
        let notice = LocalNotice::Published(Subject::Ingress(name.to_owned()), drained);
        local_notices.send(notice).map_err(|_| "the wire has ended".to_owned())
    }
}

/// Returns whether an ingress of this name is a member, or is drained by a notice.
fn is_known(cluster: &Cluster, name: &str) -> bool {
    cluster.local().name == name
        || cluster.members().any(|(identity, ..)| identity.name == name)
        || cluster.notices().is_active(&Subject::Ingress(name.to_owned()))
}

/// Returns the names of the backends that operators had disabled in an earlier process. A file that cannot be
/// read is ignored.
pub fn load_disabled(path: &Path, log: &Logger) -> Vec<String> {
    match std::fs::read(path) {
        Ok(bytes) => match std::str::from_utf8(&bytes).ok().and_then(decode_disabled) {
            Some(disabled) => disabled,
            None => {
                warn!(log, "a file of bans was passed over"; "path" => %path.display());
                Vec::new()
            }
        },
        Err(e) if e.kind() == io::ErrorKind::NotFound => Vec::new(),
        Err(e) => {
            warn!(log, "a file of bans was passed over"; "path" => %path.display(), "error" => %e);
            Vec::new()
        }
    }
}
