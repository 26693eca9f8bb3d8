//! The preset settings that the scheduler uses.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::TeamName;
use agate_preset::policy::{Eviction, Interference, Placement, Weights};
use agate_preset::{Preset, TeamQuota};

use crate::amount;
use crate::choose::Rules;

/// Scheduler settings.
#[derive(Debug, Clone, Default)]
pub struct Policy {
    /// Placement of batch tasks.
    pub placement: Placement,
    /// Learning and limits of slowdowns.
    pub interference: Interference,
    /// Throttling and eviction of batch work.
    pub eviction: Eviction,
    /// Relative weights of the cost terms.
    pub weights: Weights,
    /// Quotas by team.
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
