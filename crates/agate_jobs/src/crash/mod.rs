//! Attribution of worker crashes to the tasks that ran on the workers.
//!
//! Everything that runs on a worker goes down with it, so a crash alone says little about a task. Each
//! run's end records how old the run was and how many others might have caused the crash as well. A
//! task that may have caused one is restarted where no other start can be confused with its own, so
//! that a further crash tells them apart.

mod evidence;
mod history;

pub use evidence::{Crash, PROMPT_CRASH, RECENT_START};
pub use history::{Attribution, CrashHistory};
