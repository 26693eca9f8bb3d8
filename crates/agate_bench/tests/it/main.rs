//! Tests of the benchmark's own parts.

mod readings;
mod report;
