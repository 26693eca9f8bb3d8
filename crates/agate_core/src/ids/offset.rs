//! Places in the platform's log.

use std::fmt;

use serde::{Deserialize, Serialize};

/// The place of one append in a stream of the log. The first append has offset 1, so that offset
/// 0 stands for "before everything".
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Offset(pub u64);

impl Offset {
    /// Before the first append.
    pub const START: Self = Self(0);

    /// The offset after this one.
    pub const fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl fmt::Display for Offset {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The place of one record: its append and its index within that append.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Position {
    /// The append.
    pub offset: Offset,
    /// The index of the record within the append.
    pub index: u32,
}

impl Position {
    /// Builds a position from an append and an index within it.
    pub const fn new(offset: Offset, index: u32) -> Self {
        Self { offset, index }
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}+{}", self.offset, self.index)
    }
}

/// The position of the record that last changed something, used for compare-and-set and to tell
/// the newer of two copies.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Default, Serialize, Deserialize,
)]
pub struct Version(pub Position);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// The id of one record, drawn at random by its writer. A record that stands in the log twice
/// counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RecordId(pub u128);

impl fmt::Display for RecordId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}
