//! Settings from flags and environment variables, validated together.
//!
//! A program lists its settings in an enum that implements [`Describe`]. The command line, the
//! validation, `--check` and the reference pages all use this list.

mod describe;
mod load;
mod reference;
mod secret;
mod value;
mod values;

pub use describe::{Describe, Kind, Program, Setting};
pub use load::{Environment, Loaded, Stop, load};
pub use reference::reference;
pub use secret::Secret;
pub use values::Values;
