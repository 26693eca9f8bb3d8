//! Urgent requests: admission, forwarding and queries for the outcome of a key.

mod attempt;
mod gate;
mod key_status;
mod serve;
mod slowdown;

pub(crate) use gate::{AdmissionGate, run_admission_ticks};
pub(crate) use key_status::query_key_status;
pub(crate) use serve::serve;
pub(crate) use slowdown::{SlowdownTracker, sample_slowdown};
