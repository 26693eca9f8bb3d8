//! Idempotency keys: queued, then running, then done or failed; or tombstoned before they start.

mod answers;
mod state;
mod table;

pub use state::{KeyEvent, KeyFate, KeyRejected, KeyState};
pub use table::{KeyBind, KeyLimits, KeyRefusal, KeyTable};
