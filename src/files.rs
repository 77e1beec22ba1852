//! Files that this process writes for its successor.

use crate::deadlines::Deadlines;
use crate::interface::Millis;
use slog::{Logger, info, warn};
use std::cell::RefCell;
use std::io;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use tokio::task::spawn_local;

/// The time between two attempts to write a file that could not be written.
const WRITE_RETRY: Millis = 500.0;

/// A file whose last content is written again until that succeeds.
#[derive(Debug, Clone)]
pub struct RetriedFile {
    path: PathBuf,
    /// The content that could not be written yet. A task tries again as long as there is one.
    unwritten: Rc<RefCell<Option<Vec<u8>>>>,
    deadlines: Deadlines,
    log: Logger,
}

impl RetriedFile {
    /// Creates a handle to the file at `path`, which need not exist.
    pub fn new(path: PathBuf, deadlines: Deadlines, log: Logger) -> Self {
        Self { path, unwritten: Rc::default(), deadlines, log }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Replaces the content of the file: at once, or as soon as it can be written. Must be called within a local task
    /// set.
    pub fn write(&self, content: Vec<u8>) {
        let retries = self.unwritten.borrow().is_some();
        match replace(&self.path, &content) {
            Ok(()) => *self.unwritten.borrow_mut() = None,
            Err(e) => {
                warn!(self.log, "a file could not be written"; "path" => %self.path.display(), "error" => %e);
                *self.unwritten.borrow_mut() = Some(content);
                if !retries {
                    spawn_local(self.clone().retry());
                }
            }
        }
    }

    /// Writes no content any more that could not be written yet.
    pub fn give_up(&self) {
        *self.unwritten.borrow_mut() = None;
    }

    /// Tries again until nothing is left to be written.
    async fn retry(self) {
        loop {
            self.deadlines.sleep(WRITE_RETRY).await;
            let mut unwritten = self.unwritten.borrow_mut();
            let Some(content) = unwritten.as_ref() else { return };
            if replace(&self.path, content).is_ok() {
                *unwritten = None;
                info!(self.log, "a file is written at last"; "path" => %self.path.display());
                return;
            }
        }
    }
}

/// Replaces the content of a file atomically: a reader sees either the old content or the new one, never a
/// mixture.
///
/// # Errors
/// Returns an error if the temporary file beside it cannot be written or renamed.
pub fn replace(path: &Path, content: &[u8]) -> io::Result<()> {
    let mut temporary = path.as_os_str().to_owned();
    temporary.push(".part");
    std::fs::write(&temporary, content)?;
    std::fs::rename(&temporary, path)
}
