//! Tests of job records, the job table, the scheduler and pacing.

mod backlog;
mod capacity;
mod crash;
mod fleet;
mod lease;
mod moves;
mod odd;
mod pace;
mod place;
mod records;
mod starts;
mod support;
mod suspicion;
mod table;
mod takeover;
mod waits;
mod zones;
