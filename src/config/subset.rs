//! The number of backends that an ingress of a large fleet sends to: the key `subset.size`.

use super::error::ConfigError;
use super::key_values::KeyValues;

/// The smallest subset, in backends. A smaller one could not absorb the loss of some of its backends.
const MIN_SUBSET_SIZE: usize = 16;
/// The largest subset, in backends. A larger one would no longer limit anything.
const MAX_SUBSET_SIZE: usize = 4096;

/// Reads the approximate number of backends to send to; `None` for all.
pub(super) fn read(values: &KeyValues) -> Result<Option<usize>, ConfigError> {
    let key = "subset.size";
    match values.get::<usize>(key)? {
        Some(size) if !(MIN_SUBSET_SIZE..=MAX_SUBSET_SIZE).contains(&size) => {
            let reason = format!("is not within {MIN_SUBSET_SIZE} and {MAX_SUBSET_SIZE}");
            Err(ConfigError::invalid_value(key, size, reason))
        }
        None if values.has_section("subset") => Err(ConfigError::missing(key)),
        size => Ok(size),
    }
}
