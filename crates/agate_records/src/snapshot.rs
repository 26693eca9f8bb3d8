//! Parts of snapshots of the folded state.

use std::fmt;

use agate_core::Position;
use rand::Rng;

use crate::convert::{parse_id, required};
use crate::{RecordError, generated};

/// Random id of a snapshot.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct SnapshotId(pub u128);

impl SnapshotId {
    /// Generates a new id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for SnapshotId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// A part of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SnapshotPart {
    /// Id of the snapshot.
    pub snapshot: SnapshotId,
    /// All records up to and including this position are folded in.
    pub at: Position,
    /// Index of this part, starting at 0.
    pub part: u32,
    /// Total number of parts.
    pub parts: u32,
    /// Encoded [`generated::SnapshotItem`]s.
    pub items: Vec<Vec<u8>>,
}

impl From<SnapshotPart> for generated::SnapshotPart {
    fn from(record: SnapshotPart) -> Self {
        Self {
            snapshot: record.snapshot.0.to_be_bytes().to_vec(),
            at: Some(record.at.into()),
            part: record.part,
            parts: record.parts,
            items: record.items,
        }
    }
}

impl TryFrom<generated::SnapshotPart> for SnapshotPart {
    type Error = RecordError;

    fn try_from(record: generated::SnapshotPart) -> Result<Self, RecordError> {
        if record.part >= record.parts {
            return Err(RecordError::OutOfRange { field: "part" });
        }
        Ok(Self {
            snapshot: SnapshotId(parse_id(&record.snapshot, "snapshot")?),
            at: required(record.at, "at")?.into(),
            part: record.part,
            parts: record.parts,
            items: record.items,
        })
    }
}
