//! Urgent requests: admission, forwarding and fate.

mod attempt;
mod fate;
mod gate;
mod serve;
mod slowdown;

pub(crate) use fate::fate;
pub(crate) use gate::{Gate, keep_ticking};
pub(crate) use serve::serve;
pub(crate) use slowdown::{Slowdown, keep_sampling};
