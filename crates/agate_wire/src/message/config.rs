//! Configuration as it spreads from the log to every process.

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

/// What happens to running work that is withdrawn.
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
    /// Running work finishes; nothing new starts.
    Finish,
    /// Running work is checkpointed and evicted.
    Checkpoint,
    /// Running work is stopped at once and starts again from its last checkpoint when resumed.
    Stop,
}

/// One withdrawal in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Withdrawal {
    /// What it applies to.
    pub selector: Selector,
    /// What happens to running work.
    pub mode: StopMode,
    /// Version of the record that put it in force.
    pub version: Version,
}

/// The preset in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PresetInForce {
    /// Its name.
    pub name: String,
    /// Version of the switch that put it in force.
    pub version: Version,
    /// Its contents.
    pub preset: Preset,
}

/// Everything that operators have put in force, at one version. A process replaces what it holds
/// only by a state of a higher version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// Version of the newest record that shaped this state.
    pub version: Version,
    /// The preset in force; none before the first switch.
    pub preset: Option<PresetInForce>,
    /// The withdrawals in force.
    pub withdrawals: Vec<Withdrawal>,
}
