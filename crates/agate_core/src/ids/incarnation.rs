//! Incarnations of processes.

use std::fmt;
use std::str::FromStr;

use rand::Rng;
use serde::{Deserialize, Serialize};

use super::IdError;

/// Id of one start of a process. A restarted process has a different incarnation.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates a random incarnation.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }

    /// Creates an incarnation from its number.
    pub const fn new(id: u64) -> Self {
        Self(id)
    }

    /// Returns the number.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        let Ok(id) = u64::from_str_radix(text, 16) else {
            return Err(IdError::NotHex);
        };
        Ok(Self(id))
    }
}

impl TryFrom<String> for Incarnation {
    type Error = IdError;

    fn try_from(text: String) -> Result<Self, IdError> {
        text.parse()
    }
}

impl From<Incarnation> for String {
    fn from(id: Incarnation) -> Self {
        id.to_string()
    }
}
