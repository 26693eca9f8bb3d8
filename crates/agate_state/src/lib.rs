//! State folded from the log: presets, withdrawals, jobs, runs and lost members.
//!
//! The fold is pure and deterministic: every process that has folded the same records holds the
//! same state. What a record does is decided here, by its place in the log, and never by its
//! writer; a record that does not count is [`Effect::Rejected`] for every reader.

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
