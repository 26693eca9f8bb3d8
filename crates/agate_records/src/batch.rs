//! Batches: the contents of one append.

use std::fmt;

use agate_core::{Offset, Position};
use prost::Message;
use rand::Rng;

use crate::convert::parse_id;
use crate::{Record, RecordError, generated};

/// Maximum size of an encoded batch.
pub const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// Random id of a batch. Only the first copy of a batch in the log counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u128);

impl BatchId {
    /// Generates a new id.
    pub fn random(rng: &mut impl Rng) -> Self {
        Self(rng.random())
    }
}

impl fmt::Display for BatchId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

/// Records that are appended together.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Batch {
    /// Id of the batch.
    pub id: BatchId,
    /// The records in order.
    pub records: Vec<Record>,
}

/// A record with its position in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PositionedRecord {
    /// Position in the log.
    pub position: Position,
    /// The record.
    pub record: Record,
}

/// A record that can't be decoded and is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedRecord {
    /// Position in the log.
    pub position: Position,
    /// Why the record is malformed.
    pub error: RecordError,
}

impl fmt::Display for MalformedRecord {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.error)
    }
}

/// A batch as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodedBatch {
    /// Offset of the append.
    pub offset: Offset,
    /// Id of the batch; `None` if the append is not a batch.
    pub id: Option<BatchId>,
    /// The well-formed records in order.
    pub records: Vec<PositionedRecord>,
    /// The skipped records.
    pub malformed: Vec<MalformedRecord>,
}

impl Batch {
    /// Encodes the batch as the contents of one append.
    pub fn encode(&self) -> Vec<u8> {
        let records = self.records.iter().cloned().map(Into::into).collect();
        let batch = generated::Batch {
            id: self.id.0.to_be_bytes().to_vec(),
            records,
        };
        batch.encode_to_vec()
    }
}

impl DecodedBatch {
    /// Decodes the append at `offset`. Malformed records are skipped and listed in `malformed`.
    pub fn decode(offset: Offset, bytes: &[u8]) -> Self {
        let mut decoded = Self {
            offset,
            id: None,
            records: Vec::new(),
            malformed: Vec::new(),
        };
        match decode_batch(bytes) {
            Ok((id, records)) => decoded.push_records(id, records),
            Err(error) => decoded.push_malformed(0, error),
        }
        decoded
    }

    /// Returns only the id of the batch, for a search by id.
    pub fn decode_id(bytes: &[u8]) -> Option<BatchId> {
        decode_batch(bytes).ok().map(|(id, _)| id)
    }

    fn push_records(&mut self, id: BatchId, records: Vec<generated::Record>) {
        self.id = Some(id);
        for (index, record) in (0..).zip(records) {
            match Record::try_from(record) {
                Ok(record) => self.records.push(PositionedRecord {
                    position: Position::new(self.offset, index),
                    record,
                }),
                Err(error) => self.push_malformed(index, error),
            }
        }
    }

    fn push_malformed(&mut self, index: u32, error: RecordError) {
        self.malformed.push(MalformedRecord {
            position: Position::new(self.offset, index),
            error,
        });
    }
}

fn decode_batch(bytes: &[u8]) -> Result<(BatchId, Vec<generated::Record>), RecordError> {
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(RecordError::TooLarge { bytes: bytes.len() });
    }
    let Ok(batch) = generated::Batch::decode(bytes) else {
        return Err(RecordError::Undecodable);
    };
    let id = BatchId(parse_id(&batch.id, "id")?);
    Ok((id, batch.records))
}
