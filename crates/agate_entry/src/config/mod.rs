//! Configuration: what operators have put in force, as this entry knows it.

mod held;
mod push;

pub(crate) use held::HeldConfig;
pub(crate) use push::push;
