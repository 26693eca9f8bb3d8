//! The contents of one append.

use std::fmt;

use agate_core::{Offset, Position};
use prost::Message;
use rand::Rng;

use crate::convert::wide_id;
use crate::{Record, RecordError, generated};

/// Largest encoded batch in bytes.
pub const MAX_BATCH_BYTES: usize = 1024 * 1024;

/// The random id of a batch. A batch that stands in the log twice counts once.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct BatchId(pub u128);

impl BatchId {
    /// Draws a new id.
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

/// A record with its place in the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Placed {
    /// The place.
    pub position: Position,
    /// The record.
    pub record: Record,
}

/// A record that can't be understood and is skipped.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed {
    /// Its place in the log.
    pub position: Position,
    /// What is wrong with it.
    pub error: RecordError,
}

impl fmt::Display for Malformed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.position, self.error)
    }
}

/// A batch as read from the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DecodedBatch {
    /// Place of the append.
    pub offset: Offset,
    /// Id of the batch; `None` if the append is no batch at all.
    pub id: Option<BatchId>,
    /// The records that are well formed, in order.
    pub records: Vec<Placed>,
    /// The records that are skipped.
    pub malformed: Vec<Malformed>,
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
    /// Decodes the append at `offset`. What is malformed is listed and skipped.
    pub fn decode(offset: Offset, bytes: &[u8]) -> Self {
        let mut decoded = Self {
            offset,
            id: None,
            records: Vec::new(),
            malformed: Vec::new(),
        };
        match decode_message(bytes) {
            Ok((id, records)) => decoded.take(id, records),
            Err(error) => decoded.skip(0, error),
        }
        decoded
    }

    /// Decodes the id alone, for a search by id.
    pub fn peek_id(bytes: &[u8]) -> Option<BatchId> {
        decode_message(bytes).ok().map(|(id, _)| id)
    }

    fn take(&mut self, id: BatchId, records: Vec<generated::Record>) {
        self.id = Some(id);
        for (index, record) in (0..).zip(records) {
            match Record::try_from(record) {
                Ok(record) => self.records.push(Placed {
                    position: Position::new(self.offset, index),
                    record,
                }),
                Err(error) => self.skip(index, error),
            }
        }
    }

    fn skip(&mut self, index: u32, error: RecordError) {
        self.malformed.push(Malformed {
            position: Position::new(self.offset, index),
            error,
        });
    }
}

fn decode_message(bytes: &[u8]) -> Result<(BatchId, Vec<generated::Record>), RecordError> {
    if bytes.len() > MAX_BATCH_BYTES {
        return Err(RecordError::TooLarge { bytes: bytes.len() });
    }
    let Ok(batch) = generated::Batch::decode(bytes) else {
        return Err(RecordError::Undecodable);
    };
    let id = BatchId(wide_id(&batch.id, "id")?);
    Ok((id, batch.records))
}
