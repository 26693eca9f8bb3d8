//! Tests of the entry against fakes at its interfaces.
#![expect(
    clippy::unwrap_used,
    reason = "a fixture that fails is a test that fails"
)]

mod requests;
mod support;
