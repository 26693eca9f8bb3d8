//! Decoding errors.

use agate_core::names::NameError;
use displaydoc::Display;

/// Why a record or a batch is malformed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecordError {
    /// the bytes are not a Protocol Buffers message of the expected type
    Undecodable,
    /// the batch has {bytes} bytes, more than the limit of 1048576
    TooLarge {
        /// Size of the batch in bytes.
        bytes: usize,
    },
    /// the kind of the record is unknown to this release
    UnknownKind,
    /// the field {field:?} is missing
    Missing {
        /// Name of the field.
        field: &'static str,
    },
    /// the field {field:?} is out of its range
    OutOfRange {
        /// Name of the field.
        field: &'static str,
    },
    /// the field {field:?} is not a name: {error}
    NotAName {
        /// Name of the field.
        field: &'static str,
        /// Why the name is invalid.
        error: NameError,
    },
}

impl std::error::Error for RecordError {}
