//! Configuration in any format, flattened to dotted keys and text values.

use super::error::ConfigError;
use crate::interface::Millis;
use serde_json::Value;
use std::collections::BTreeMap;
use std::str::FromStr;

/// Configuration values by dotted key (`classes.0.aim`). Keys that are never read are ignored.
#[derive(Debug, Clone, Default)]
pub struct KeyValues(BTreeMap<String, String>);

impl KeyValues {
    /// Parses `key=value` lines, as the simulator sends them; other lines are ignored.
    pub fn from_text(text: &str) -> Self {
        let pairs = text.lines().filter_map(|line| line.split_once('='));
        Self(pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect())
    }

    /// Flattens nested JSON: an object's field `b` under `a` becomes `a.b`, a list of objects `a.count`,
    /// `a.0.b`, `a.1.b` and so on, a list of plain values one comma-separated text. Nulls are dropped.
    pub fn from_json(value: &Value) -> Self {
        let mut values = Self::default();
        values.flatten(String::new(), value);
        values
    }

    fn flatten(&mut self, path: String, value: &Value) {
        let key = |name: &str| if path.is_empty() { name.to_owned() } else { format!("{path}.{name}") };
        let text = |value: &Value| value.as_str().map_or_else(|| value.to_string(), str::to_owned);
        match value {
            Value::Null => {}
            Value::Object(fields) => fields.iter().for_each(|(name, v)| self.flatten(key(name), v)),
            Value::Array(items) if items.iter().any(Value::is_object) => {
                self.0.insert(key("count"), items.len().to_string());
                items.iter().enumerate().for_each(|(i, item)| self.flatten(key(&i.to_string()), item));
            }
            Value::Array(items) => {
                drop(self.0.insert(path, items.iter().map(text).collect::<Vec<_>>().join(",")))
            }
            scalar => drop(self.0.insert(path, text(scalar))),
        }
    }

    /// Returns the value of a key; `None` if it is not set.
    pub fn get<T: FromStr>(&self, key: &str) -> Result<Option<T>, ConfigError> {
        let Some(text) = self.0.get(key).map(|text| text.trim()) else { return Ok(None) };
        // JSON and TOML may write an integer with a fraction of 0, as in `3.0`.
        let whole = text.strip_suffix(".0").unwrap_or(text);
        let value = text.parse().or_else(|_| whole.parse());
        value.map(Some).map_err(|_| ConfigError::unreadable(key, text))
    }

    /// Returns the value of a required key.
    pub fn required<T: FromStr>(&self, key: &str) -> Result<T, ConfigError> {
        self.get(key)?.ok_or_else(|| ConfigError::missing(key))
    }

    /// Returns the value of a key, or the type's default (zero, false, empty) if it is not set.
    pub fn or_default<T: FromStr + Default>(&self, key: &str) -> Result<T, ConfigError> {
        Ok(self.get(key)?.unwrap_or_default())
    }

    /// Returns a duration in milliseconds, which must be finite and above 0, or `default` if it is not set.
    pub(super) fn positive(&self, key: &str, default: Millis) -> Result<Millis, ConfigError> {
        match self.get(key)?.unwrap_or(default) {
            duration if duration.is_finite() && duration > 0.0 => Ok(duration),
            _ => Err(ConfigError::invalid(key, "must be above 0")),
        }
    }

    /// Sets a key, replacing its previous value.
    pub(super) fn set(&mut self, key: &str, value: String) {
        self.0.insert(key.to_owned(), value);
    }

    /// Returns the keys under `path`, without that prefix.
    pub(super) fn keys_under(&self, path: &str) -> impl Iterator<Item = &str> {
        self.0.keys().filter_map(move |key| key.strip_prefix(path)?.strip_prefix('.'))
    }

    /// Returns whether `path` or any key under it is set.
    pub(super) fn has_section(&self, path: &str) -> bool {
        self.0.keys().any(|key| key == path || key.starts_with(path) && key[path.len()..].starts_with('.'))
    }

    /// Parses a comma-separated list; empty if the key is not set.
    pub fn list<T: FromStr>(&self, key: &str) -> Result<Vec<T>, ConfigError> {
        let text: String = self.or_default(key)?;
        let items = text.split(',').map(str::trim).filter(|item| !item.is_empty());
        items.map(|item| item.parse().map_err(|_| ConfigError::unreadable(key, item))).collect()
    }
}
