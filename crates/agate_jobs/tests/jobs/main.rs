//! Tests of jobs, their records and the placement of their tasks.

mod fleet;
mod lease;
mod pace;
mod place;
mod records;
mod support;
mod suspicion;
mod table;
