//! Idempotency keys. A key is queued, then running, then done or failed, or it is tombstoned before
//! it starts.

mod answer_cache;
mod state;
mod table;

pub use state::{KeyEvent, KeyState, KeyStatus, KeyTransitionError};
pub use table::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyTable};
