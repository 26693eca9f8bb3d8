//! Settings from flags and environment variables, checked together.
//!
//! A program lists its settings in one enum that implements [`Describe`]. The same list drives the
//! command line, the checks, `--check` and the reference pages.

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
