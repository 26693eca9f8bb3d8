//! Configuration set by operators: presets and withdrawals.

mod presets;
mod withdrawals;

use std::sync::Arc;

use agate_core::Version;
use agate_records::{PresetPublished, PresetSwitched, Resumed, Withdrawn};
use agate_wire::message::ConfigState;

pub(crate) use presets::{InForce, Presets};
pub use presets::{PresetSwitch, PublishedPreset};
pub(crate) use withdrawals::Withdrawals;

use crate::{Effect, Event, StateLimits};

/// The folded configuration and, if there is one, a newer configuration adopted from a peer.
#[derive(Debug, Clone)]
pub(crate) struct Configuration {
    pub(crate) presets: Presets,
    pub(crate) withdrawals: Withdrawals,
    folded: Arc<ConfigState>,
    adopted: Option<Arc<ConfigState>>,
}

impl Configuration {
    pub(crate) fn new(limits: &StateLimits) -> Self {
        let none = ConfigState {
            version: Version::default(),
            preset: None,
            withdrawals: Vec::new(),
        };
        Self {
            presets: Presets::new(limits),
            withdrawals: Withdrawals::new(limits.withdrawals),
            folded: Arc::new(none),
            adopted: None,
        }
    }

    /// Returns the newer of the folded and the adopted configuration.
    pub(crate) fn newest(&self) -> &Arc<ConfigState> {
        self.adopted.as_ref().unwrap_or(&self.folded)
    }

    /// Returns the version of the folded configuration.
    pub(crate) fn folded_version(&self) -> Version {
        self.folded.version
    }

    /// Adopts `config` if it is newer than the known one, and returns whether it is.
    pub(crate) fn adopt(&mut self, config: ConfigState) -> bool {
        if config.version <= self.newest().version {
            return false;
        }
        self.adopted = Some(Arc::new(config));
        true
    }

    pub(crate) fn publish(&mut self, version: Version, record: &PresetPublished) -> Effect {
        match self.presets.publish(version, record) {
            Ok(()) => Effect::Applied(vec![Event::PresetPublished {
                name: record.name.clone(),
            }]),
            Err(reason) => Effect::Rejected(reason),
        }
    }

    pub(crate) fn switch(
        &mut self,
        version: Version,
        record: &PresetSwitched,
        wall_ms: u64,
    ) -> Effect {
        if let Err(reason) = self.presets.switch(version, record, wall_ms) {
            return Effect::Rejected(reason);
        }
        self.rebuild(version);
        Effect::Applied(vec![Event::PresetSwitched { version }])
    }

    pub(crate) fn withdraw(&mut self, version: Version, record: &Withdrawn) -> Effect {
        if let Err(reason) = self.withdrawals.withdraw(version, record) {
            return Effect::Rejected(reason);
        }
        self.rebuild(version);
        Effect::Applied(vec![Event::Withdrawn {
            selector: record.selector.clone(),
            mode: record.mode,
            version,
        }])
    }

    pub(crate) fn resume(&mut self, version: Version, record: &Resumed) -> Effect {
        if let Err(reason) = self.withdrawals.resume(&record.selector) {
            return Effect::Rejected(reason);
        }
        self.rebuild(version);
        Effect::Applied(vec![Event::Resumed {
            selector: record.selector.clone(),
        }])
    }

    /// Rebuilds the configuration that is sent to other processes, at `version`.
    pub(crate) fn rebuild(&mut self, version: Version) {
        let state = ConfigState {
            version,
            preset: self.presets.in_force().map(InForce::to_message),
            withdrawals: self.withdrawals.to_messages(),
        };
        self.folded = Arc::new(state);
        let superseded = |adopted: &Arc<ConfigState>| adopted.version <= version;
        if self.adopted.as_ref().is_some_and(superseded) {
            self.adopted = None;
        }
    }
}
