//! Presets: sets of limits, weights, quotas and budgets that operators put in force together.
//!
//! A preset is a JSON document. [`Preset::parse`] validates the whole document and reports every
//! problem with its place. A parsed [`Preset`] needs no further validation.

mod class;
pub mod field;
mod kind;
pub mod policy;
mod preset;
pub mod reader;
mod team;

pub use class::ClassPolicy;
pub use kind::DayKind;
pub use preset::{MAX_PRESET_BYTES, Preset};
pub use team::TeamQuota;
