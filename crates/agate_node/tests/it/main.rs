//! Tests of entries and agents against fakes of the log and of workers, with paused time.

mod agents;
mod callers;
mod diagnosis;
mod leaders;
mod support;
