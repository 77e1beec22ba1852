//! A child process of the program with its configuration file.

use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command};

/// A child process, killed on drop, and its configuration file, removed on drop.
pub struct ConfiguredChild {
    /// The process.
    pub child: Child,
    /// The file.
    pub config_file: PathBuf,
}

impl Drop for ConfiguredChild {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_file);
    }
}

/// Returns the command that starts a program which the kernel kills when this process ends, also by SIGKILL.
///
/// # Errors
/// The system's error if the path of this program cannot be told.
pub fn guarded(program: &Path) -> io::Result<Command> {
    let mut command = Command::new(std::env::current_exe()?);
    command.arg("guard").arg(program);
    Ok(command)
}
