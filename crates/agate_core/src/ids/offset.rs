//! Offsets, positions and ids of records in the platform's log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Offset of an append in a stream of the log. The first append has offset 1; offset 0 is before
/// all appends.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// The offset before the first append.
    pub const START: Self = Self(0);

    /// Returns the next offset.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Position of a record in a stream of the log.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// Offset of the append that contains the record.
    pub offset: Offset,
    /// Index of the record within the append.
    pub index: u32,
}

impl Position {
    /// Creates a position from the offset of an append and an index within it.
    pub const fn new(offset: Offset, index: u32) -> Self {
        Self { offset, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.offset, self.index)
    }
}

/// Position of the record that last changed a value. Used for compare-and-set and to tell which of
/// two copies is newer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Version(pub Position);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Id of a record, generated at random by its writer. A record that was appended to the log twice
/// is applied once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordId(pub u128);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
