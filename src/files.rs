//! Files that this process writes for its successor.

use std::io;
use std::path::Path;

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
