//! The parts of a preset that placement follows.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::TeamName;
use agate_preset::policy::{Eviction, Interference, Placement, Weights};
use agate_preset::{Preset, TeamQuota};

use crate::amount;
use crate::choose::Rules;

/// The policy in force.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// Placement of batch tasks.
    pub placement: Placement,
    /// Learning of slowdowns.
    pub interference: Interference,
    /// Steps against batch work.
    pub eviction: Eviction,
    /// Weights of the measures.
    pub weights: Weights,
    /// Quota per team.
    pub teams: BTreeMap<TeamName, TeamQuota>,
}

impl Policy {
    pub(super) fn ageing(&self) -> Duration {
        amount::millis(self.placement.ageing_ms)
    }

    pub(super) fn halflife(&self) -> Duration {
        amount::millis(self.interference.halflife_ms)
    }

    pub(super) fn rules(&self) -> Rules {
        Rules {
            candidates: self.placement.candidates,
            interference: self.interference,
            eviction: self.eviction,
            weights: self.weights,
        }
    }
}

impl From<&Preset> for Policy {
    fn from(preset: &Preset) -> Self {
        Self {
            placement: preset.placement,
            interference: preset.interference,
            eviction: preset.eviction,
            weights: preset.weights,
            teams: preset.teams.clone(),
        }
    }
}
