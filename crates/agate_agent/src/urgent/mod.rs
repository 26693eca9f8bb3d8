//! Urgent requests: admission, forwarding and queries for the outcome of a key.

mod attempt;
mod fate;
mod gate;
mod serve;
mod slowdown;

pub(crate) use fate::query_key_status;
pub(crate) use gate::{AdmissionGate, run_admission_ticks};
pub(crate) use serve::serve;
pub(crate) use slowdown::{SlowdownTracker, sample_slowdown};
