//! The error of an invalid configuration.

use std::fmt;

/// Why a configuration cannot be used; the message names the key at fault.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConfigError {
    /// A required key is not set.
    Missing(String),
    /// A key is set that does not exist.
    Unknown(String),
    /// The value of a key cannot be parsed as the key's type.
    Unreadable {
        /// The key.
        key: String,
        /// The value.
        value: String,
    },
    /// The value of a key, or a file, cannot be used.
    Invalid {
        /// The key, or the path of the file.
        key: String,
        /// Why it cannot be used.
        reason: String,
    },
    /// The value of a key cannot be used, and the message shows the value.
    InvalidValue {
        /// The key.
        key: String,
        /// The value.
        value: String,
        /// Why it cannot be used.
        reason: String,
    },
    /// The text is not valid TOML or JSON.
    Syntax {
        /// The name of the format.
        format: &'static str,
        /// The parser's message.
        reason: String,
    },
    /// A section cannot be used.
    Section {
        /// The section's key.
        section: &'static str,
        /// The message of the error inside the section.
        reason: String,
    },
    /// The decision module's check of its settings failed, with this message.
    Settings(String),
}

impl ConfigError {
    pub(super) fn missing(key: impl Into<String>) -> Self {
        Self::Missing(key.into())
    }

    pub(super) fn unreadable(key: impl Into<String>, value: impl Into<String>) -> Self {
        Self::Unreadable { key: key.into(), value: value.into() }
    }

    pub(super) fn invalid(key: impl Into<String>, reason: impl Into<String>) -> Self {
        Self::Invalid { key: key.into(), reason: reason.into() }
    }

    pub(super) fn invalid_value(
        key: impl Into<String>,
        value: impl fmt::Display,
        reason: impl Into<String>,
    ) -> Self {
        Self::InvalidValue { key: key.into(), value: value.to_string(), reason: reason.into() }
    }

    pub(super) fn syntax(format: &'static str, error: impl fmt::Display) -> Self {
        Self::Syntax { format, reason: error.to_string() }
    }

    /// Wraps the error as one found in a section.
    pub(super) fn in_section(self, section: &'static str) -> Self {
        Self::Section { section, reason: self.reason() }
    }

    /// The message without the leading `configuration: `.
    fn reason(&self) -> String {
        match self {
            Self::Missing(key) => format!("{key} is missing"),
            Self::Unknown(key) => format!("{key} is no known key"),
            Self::Unreadable { key, value } => format!("cannot read {key}={value}"),
            Self::Invalid { key, reason } => format!("{key} {reason}"),
            Self::InvalidValue { key, value, reason } => format!("{key}={value} {reason}"),
            Self::Syntax { format, reason } => format!("not {format}: {reason}"),
            Self::Section { section, reason } => format!("{section}: {reason}"),
            Self::Settings(reason) => reason.clone(),
        }
    }
}

impl fmt::Display for ConfigError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "configuration: {}", self.reason())
    }
}

impl std::error::Error for ConfigError {}
