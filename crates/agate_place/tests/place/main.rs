//! Tests of the decisions on batch work.
#![expect(clippy::unwrap_used, reason = "a test may panic on a bug")]

mod capacity;
mod frame;
mod order;
mod queue;
