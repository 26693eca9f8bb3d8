//! JSON views of presets.

use agate_preset::Preset;
use agate_state::{PresetSwitch, PublishedPreset};
use serde::Serialize;

/// A published preset.
#[derive(Debug, Serialize)]
pub(super) struct PublishedView {
    pub(super) name: String,
    pub(super) kind: String,
    pub(super) version: String,
    pub(super) operator: String,
}

impl From<&PublishedPreset> for PublishedView {
    fn from(published: &PublishedPreset) -> Self {
        Self {
            name: published.record.name.clone(),
            kind: published.preset().kind.to_string(),
            version: published.version.to_string(),
            operator: published.record.operator.clone(),
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct PresetList {
    pub(super) presets: Vec<PublishedView>,
}

/// The preset in force.
#[derive(Debug, Serialize)]
pub(super) struct InForceView {
    pub(super) name: Option<String>,
    pub(super) version: String,
    pub(super) preset: Option<Preset>,
}

/// A switch from one preset to another.
#[derive(Debug, Serialize)]
pub(super) struct SwitchView {
    pub(super) name: String,
    pub(super) version: String,
    pub(super) operator: String,
    pub(super) wall_ms: u64,
}

impl From<&PresetSwitch> for SwitchView {
    fn from(switch: &PresetSwitch) -> Self {
        Self {
            name: switch.name.clone(),
            version: switch.version.to_string(),
            operator: switch.operator.clone(),
            wall_ms: switch.wall_ms,
        }
    }
}

#[derive(Debug, Serialize)]
pub(super) struct SwitchList {
    pub(super) switches: Vec<SwitchView>,
}

/// Response to a switch that lost against a concurrent one, with the preset in force.
#[derive(Debug, Serialize)]
pub(super) struct Conflict {
    pub(super) error: &'static str,
    pub(super) message: String,
    pub(super) in_force: String,
    pub(super) version: String,
}
