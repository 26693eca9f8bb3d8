//! Configuration that is distributed from the log to every process.

use agate_core::{ClassName, Tag, Version};
use agate_preset::Preset;
use serde::{Deserialize, Serialize};

/// What a withdrawal applies to.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Selector {
    /// All work of a class.
    Class(ClassName),
    /// All work with a tag.
    Tag(Tag),
}

/// How a withdrawal treats running work.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    strum::Display,
    strum::EnumString,
    strum::IntoStaticStr,
    strum::VariantNames,
    strum::EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum StopMode {
    /// Running work finishes; no new work starts.
    Finish,
    /// Running work is checkpointed and evicted.
    Checkpoint,
    /// Running work is stopped immediately and restarts from its last checkpoint when resumed.
    Stop,
}

/// A withdrawal in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// The work that is withdrawn.
    pub selector: Selector,
    /// How running work is treated.
    pub mode: StopMode,
    /// Version of the record that put the withdrawal in force.
    pub version: Version,
}

/// The preset in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetInForce {
    /// Name of the preset.
    pub name: String,
    /// Version of the switch that put the preset in force.
    pub version: Version,
    /// Contents of the preset.
    pub preset: Preset,
}

/// The preset and withdrawals in force at one version. A process replaces its state only with one
/// of a higher version, or if the log doesn't hold its own.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Version of the newest record included in this state.
    pub version: Version,
    /// The preset in force; `None` before the first switch.
    pub preset: Option<PresetInForce>,
    /// The withdrawals in force.
    pub withdrawals: Vec<Withdrawal>,
}
