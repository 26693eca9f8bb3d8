//! Tests of batch scheduling.
#![expect(clippy::unwrap_used, reason = "a test may panic on a bug")]
#![expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the numbers of these tests are small and positive"
)]

mod blame;
mod capacity;
mod choose;
mod closed;
mod drain;
mod eviction;
mod failure_tracker;
mod interference;
mod order;
mod queue;
mod ready;
mod rehome;
mod repeats;
mod sizing;
mod support;
