//! State folded from the log: presets, withdrawals, jobs, runs and lost members.
//!
//! The fold is pure and deterministic: every process that has folded the same records has the
//! same state. The effect of a record depends on its position in the log and never on its writer.
//! A record that has no effect is [`Effect::Rejected`] for every reader.

mod config;
mod effect;
mod fold;
mod job;
mod key_bindings;
mod limits;
mod lost;
mod recent;
mod snapshot;
mod state;
mod window;

pub use config::{PresetSwitch, PublishedPreset};
pub use effect::{BatchEffect, Effect, Event, RecordEffect, RejectReason, TaskEnd};
pub use job::{
    BoundRun, JobPhase, JobView, RunBinding, TaskCounts, TaskFailure, TaskRange, TaskView,
};
pub use key_bindings::{KeyBinding, KeyBindings, KeyEffect};
pub use limits::StateLimits;
pub use recent::RecentEffects;
pub use snapshot::{SnapshotError, SnapshotLoader};
pub use state::State;
