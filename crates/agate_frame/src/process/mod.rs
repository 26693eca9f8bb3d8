//! Child processes and the signals sent to them.

mod child;
mod ports;

pub use child::{Child, ChildError, Signal};
pub use ports::Ports;
