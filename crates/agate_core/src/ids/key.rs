//! Idempotency keys with a limited lifetime.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use displaydoc::Display;
use serde::{Deserialize, Serialize};
use uuid::{Uuid, Version};

/// An idempotency key created by a caller: a `UUIDv7`, whose leading 48 bits hold the creation time
/// in milliseconds since the Unix epoch.
///
/// The creation time limits how long a process must remember a key: every process refuses a key
/// that is older than the window, whether or not it has seen the key before.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Key(u128);

/// Why an idempotency key is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum KeyError {
    /// an idempotency key is a UUID of version 7
    NotUuidV7,
    /// the idempotency key is older than the window in which keys are remembered
    TooOld,
    /// the idempotency key was made in the future; check the caller's clock
    FromFuture,
}

impl std::error::Error for KeyError {}

impl Key {
    /// Maximum time by which a caller's clock may be ahead of the local clock.
    pub const MAX_SKEW: Duration = Duration::from_mins(1);

    /// Creates a key from a time in milliseconds since the Unix epoch and random bits.
    pub fn from_parts(wall_ms: u64, random: [u8; 10]) -> Self {
        Self(
            uuid::Builder::from_unix_timestamp_millis(wall_ms, &random)
                .into_uuid()
                .as_u128(),
        )
    }

    /// Returns the key as a number.
    pub const fn get(self) -> u128 {
        self.0
    }

    /// Creates a key from its number.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::NotUuidV7`] if the number is not a UUID of version 7.
    pub fn from_u128(id: u128) -> Result<Self, KeyError> {
        let uuid = Uuid::from_u128(id);
        if uuid.get_version() == Some(Version::SortRand) {
            Ok(Self(id))
        } else {
            Err(KeyError::NotUuidV7)
        }
    }

    /// Returns the creation time of the key in milliseconds since the Unix epoch.
    pub const fn created_millis(self) -> u64 {
        (self.0 >> 80) as u64
    }

    /// Checks that the key is recent enough that every process that has seen it still remembers it.
    ///
    /// # Errors
    ///
    /// Returns [`KeyError::TooOld`] if the key is older than `window`, or [`KeyError::FromFuture`]
    /// if it was created more than [`Key::MAX_SKEW`] after `wall_ms`.
    pub fn check_age(self, wall_ms: u64, window: Duration) -> Result<(), KeyError> {
        let created = self.created_millis();
        let skew = u64::try_from(Self::MAX_SKEW.as_millis()).unwrap_or(u64::MAX);
        let window = u64::try_from(window.as_millis()).unwrap_or(u64::MAX);
        if created > wall_ms.saturating_add(skew) {
            return Err(KeyError::FromFuture);
        }
        if created.saturating_add(window) < wall_ms {
            return Err(KeyError::TooOld);
        }
        Ok(())
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}

impl FromStr for Key {
    type Err = KeyError;

    fn from_str(text: &str) -> Result<Self, KeyError> {
        let Ok(uuid) = Uuid::parse_str(text) else {
            return Err(KeyError::NotUuidV7);
        };
        Self::from_u128(uuid.as_u128())
    }
}

impl TryFrom<String> for Key {
    type Error = KeyError;

    fn try_from(text: String) -> Result<Self, KeyError> {
        text.parse()
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}
