//! Ids, all of them small `Copy` types.

mod incarnation;
mod key;
mod offset;
mod work;

pub use incarnation::Incarnation;
pub use key::{Key, KeyError};
pub use offset::{Offset, Position, RecordId, Version};
pub use work::{JobId, RunId, TaskId};

/// Why an id is invalid.
#[derive(Debug, Clone, Copy, PartialEq, Eq, displaydoc::Display)]
pub enum IdError {
    /// an id is written in hexadecimal digits
    NotHex,
    /// a task is written as job.index and a run as job.index.epoch
    BadShape,
}

impl std::error::Error for IdError {}
