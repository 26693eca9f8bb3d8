//! Tests of the entry against fakes of its external interfaces.
#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails is a test that fails"
)]

mod bodies;
mod drain;
mod input;
mod jobs;
mod keys;
mod leases;
mod odd;
mod operators;
mod peers;
mod rehoming;
mod repeatable;
mod requests;
mod support;
mod tickets;
