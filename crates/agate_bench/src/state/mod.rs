//! What the state costs: recovery, bytes in the log, withdrawal and memory.

pub(crate) mod fixture;
pub(crate) mod memory;
mod recovery;
mod starts;
mod withdrawal;

use crate::report::Table;

/// Sizes of the job table that are measured.
const JOBS: [u64; 2] = [1_000, 100_000];

/// Measures everything, one table for each question. Memory comes first, before the others have
/// left freed memory behind.
pub fn run() -> Vec<Table> {
    vec![
        memory::table(),
        recovery::table(),
        starts::table(),
        withdrawal::table(),
    ]
}
