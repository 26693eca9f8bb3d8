//! Tests of job records, the job table, the scheduler and pacing.

mod backlog;
mod best_effort_waits;
mod capacity;
mod closed;
mod closed_gaps;
mod crash;
mod fleet;
mod fuzz;
mod lease;
mod long_running;
mod moves;
mod odd;
#[path = "../support/odd.rs"]
mod odd_messages;
mod pace;
mod place;
mod probation;
mod ready;
mod records;
mod refused;
mod repeats;
mod restarts;
mod short_waits;
mod stalls;
mod start_blocks;
mod starts;
mod starved;
mod support;
mod suspects;
mod suspicion;
mod table;
mod takeover;
mod unstarted;
mod waits;
mod zone_repeats;
mod zones;
