//! Names chosen by people, validated when they enter a process.

use std::fmt;
use std::str::FromStr;

use displaydoc::Display;
use serde::{Deserialize, Serialize};

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;

/// Why a name is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum NameError {
    /// a name needs at least one character
    Empty,
    /// a name has at most 64 bytes
    TooLong,
    /// a name holds only lower-case letters, digits and the characters "-", "_", "." and ":"
    BadCharacter,
}

impl std::error::Error for NameError {}

fn check(text: &str) -> Result<(), NameError> {
    if text.is_empty() {
        return Err(NameError::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return Err(NameError::TooLong);
    }
    let allowed = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-_.:".contains(&b);
    if text.bytes().all(allowed) {
        Ok(())
    } else {
        Err(NameError::BadCharacter)
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $type(String);

        impl $type {
            /// Creates a name after validating `text`.
            ///
            /// # Errors
            ///
            /// Returns a [`NameError`] if `text` is not a valid name.
            pub fn new(text: impl Into<String>) -> Result<Self, NameError> {
                let text = text.into();
                check(&text)?;
                Ok(Self(text))
            }

            /// Returns the name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl TryFrom<String> for $type {
            type Error = NameError;

            fn try_from(text: String) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl FromStr for $type {
            type Err = NameError;

            fn from_str(text: &str) -> Result<Self, NameError> {
                Self::new(text)
            }
        }

        impl From<$type> for String {
            fn from(name: $type) -> Self {
                name.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name! {
    /// A class of work, such as `seat-check` or `rebalance`. Policy is set per class.
    ClassName
}
name! {
    /// A label on work, such as `season:2026`. All work with a tag can be withdrawn together.
    Tag
}
name! {
    /// A team. Quotas are set per team.
    TeamName
}
name! {
    /// A sender of requests. Retry budgets are kept per caller and class.
    CallerName
}
name! {
    /// A region: a group of availability zones with fast links between them.
    RegionName
}
name! {
    /// An availability zone.
    ZoneName
}

/// The location of a process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Site {
    /// Region.
    pub region: RegionName,
    /// Availability zone within the region.
    pub zone: ZoneName,
}

impl fmt::Display for Site {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.region, self.zone)
    }
}
