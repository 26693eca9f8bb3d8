//! What callers and operators do in the frame.

mod job;
mod operator;
mod urgent;

pub use job::{JobState, Submission, job_state, submit};
pub use operator::{InForce, in_force, publish, resume, switch, withdraw};
pub use urgent::{Bound, Told, Urgent, new_key, send, send_until_done};
