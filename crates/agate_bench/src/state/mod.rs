//! Costs of the folded state: memory, recovery, log bytes and withdrawal.

pub(crate) mod fixture;
pub(crate) mod memory;
mod recovery;
mod starts;
mod withdrawal;

use crate::report::Table;

/// Numbers of open jobs.
const JOBS: [u64; 2] = [1_000, 100_000];

/// Measures all tables. Memory is measured first, because memory freed by the other tables would
/// distort it.
pub fn run() -> Vec<Table> {
    vec![
        memory::table(),
        recovery::table(),
        starts::table(),
        withdrawal::table(),
    ]
}
