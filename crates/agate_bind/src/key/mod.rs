//! Idempotency keys: queued, then running, then done or failed; or tombstoned before they start.

mod answers;
mod state;
mod table;

pub use state::{KeyEvent, KeyState, KeyStatus, KeyTransitionError};
pub use table::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyTable};
