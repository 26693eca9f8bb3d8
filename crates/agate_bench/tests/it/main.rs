//! Tests of the benchmark's own parts.

mod counts;
mod report;
