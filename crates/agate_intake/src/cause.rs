//! Why connections are closed or refused.

use strum::{Display, EnumCount, EnumIter};

/// Why a connection was closed or refused by the process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumCount, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// There were too many connections, and none that could be closed for the new one.
    Refused,
    /// It was closed in favour of a new connection.
    Displaced,
    /// It held the most while unfinished requests took too much memory.
    Memory,
    /// It made too little progress with a body or a response.
    Stalled,
    /// Its request's head wasn't complete in time.
    HeadTimeout,
    /// It was without a request for too long.
    Idle,
}
