//! Requests that callers and operators send to a cluster.

mod job;
mod operator;
mod urgent;

pub use job::{JobState, Submission, job_state, submit};
pub use operator::{InForce, in_force, publish, resume, switch, withdraw};
pub use urgent::{Binding, CallOutcome, UrgentRequest, new_key, send, send_with_retries};
