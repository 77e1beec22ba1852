//! The commands of the admin interface. Each is one line of text.

use crate::upgrade::change::Change;
use std::fmt;

/// A command of the admin interface.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Reports whether the process serves requests.
    Ready,
    /// Shows all metrics.
    ShowStat,
    /// Shows the ingresses of the fleet.
    Members,
    /// Shows the operators' notices, from any ingress.
    Notices,
    /// Shows how far this instance has recovered since its start.
    Recovery,
    /// Makes a change.
    Change(Change),
}

/// The reason why a line is not a valid command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CommandError {
    /// The line exceeds the maximum length.
    TooLong,
    /// The line is not UTF-8.
    NotUtf8,
    /// The line is blank.
    Empty,
    /// No command has this name.
    Unknown,
    /// The command requires the id of exactly one backend.
    NeedsBackendId,
    /// The command has more arguments than it takes.
    UnexpectedArgument,
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::TooLong => "the line is too long",
            Self::NotUtf8 => "unreadable call",
            Self::Empty => "an empty call",
            Self::Unknown => "unknown call",
            Self::NeedsBackendId => "one server id is needed",
            Self::UnexpectedArgument => "the call takes nothing more",
        })
    }
}

impl std::error::Error for CommandError {}

impl Command {
    /// Parses a line, without its line feed.
    ///
    /// # Errors
    /// [`CommandError`] if the line names no command, or has too few or too many arguments.
    pub fn parse(line: &[u8]) -> Result<Self, CommandError> {
        let text = std::str::from_utf8(line).map_err(|_| CommandError::NotUtf8)?;
        let mut words = text.split_ascii_whitespace();
        let (command, argument, excess) = (words.next(), words.next(), words.next());
        match (command, argument, excess) {
            (Some("ready"), None, None) => Ok(Self::Ready),
            (Some("show-stat"), None, None) => Ok(Self::ShowStat),
            (Some("members"), None, None) => Ok(Self::Members),
            (Some("notices"), None, None) => Ok(Self::Notices),
            (Some("recovery"), None, None) => Ok(Self::Recovery),
            (Some("drain"), None, None) => Ok(Self::Change(Change::Drain)),
            (Some("resume"), None, None) => Ok(Self::Change(Change::Resume)),
            (Some("drain"), Some(name), None) => {
                Ok(Self::Change(Change::DrainIngress(name.to_owned(), true)))
            }
            (Some("resume"), Some(name), None) => {
                Ok(Self::Change(Change::DrainIngress(name.to_owned(), false)))
            }
            (Some("disable-server"), Some(id), None) => {
                Ok(Self::Change(Change::DisableBackend(id.to_owned())))
            }
            (Some("enable-server"), Some(id), None) => Ok(Self::Change(Change::EnableBackend(id.to_owned()))),
            (Some("disable-server" | "enable-server"), ..) => Err(CommandError::NeedsBackendId),
            (Some("ready" | "show-stat" | "members" | "notices" | "recovery" | "drain" | "resume"), ..) => {
                Err(CommandError::UnexpectedArgument)
            }
            (None, ..) => Err(CommandError::Empty),
            _ => Err(CommandError::Unknown),
        }
    }
}

#[cfg(test)]
mod tests;
