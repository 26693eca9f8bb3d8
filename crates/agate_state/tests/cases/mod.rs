//! Test cases by kind of record.

mod batches;
mod keys;
mod odd;
mod presets;
mod recent;
mod repeats;
mod runs;
mod snapshots;
mod withdrawals;
