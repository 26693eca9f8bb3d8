//! The newest configuration known to this entry.

use std::sync::Arc;

use agate_core::{ClassName, Tag, Version};
use agate_preset::Preset;
use agate_wire::message::{ConfigState, Selector, Withdrawal};
use tokio::sync::watch;

/// The newest configuration from any source.
#[derive(Debug)]
pub(crate) struct CurrentConfig {
    state: watch::Sender<ActiveConfig>,
}

/// A configuration and its preset.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) state: Option<Arc<ConfigState>>,
    pub(crate) preset: Arc<Preset>,
}

impl CurrentConfig {
    /// Starts with the default preset and no withdrawals.
    pub(crate) fn new() -> Self {
        Self {
            state: watch::Sender::new(ActiveConfig::default()),
        }
    }

    /// Replaces the current configuration if `state` is newer, so it never reverts.
    pub(crate) fn offer(&self, state: ConfigState) {
        let version = state.version;
        let replaced = self.state.send_if_modified(|current| {
            let newer = current
                .state
                .as_ref()
                .is_none_or(|old| old.version < version);
            if newer {
                *current = ActiveConfig::from(state);
            }
            newer
        });
        if replaced {
            log::info!(event = "config_in_force", version:%; "");
        }
    }

    /// Replaces the current configuration if `state` is newer, cloning it only then.
    pub(crate) fn offer_shared(&self, state: &ConfigState) {
        if state.version > self.version() {
            self.offer(state.clone());
        }
    }

    /// Returns the current configuration.
    pub(crate) fn get(&self) -> ActiveConfig {
        self.state.borrow().clone()
    }

    /// Returns the current version, or zero before any configuration was in force.
    pub(crate) fn version(&self) -> Version {
        let current = self.state.borrow();
        current
            .state
            .as_ref()
            .map_or(Version::default(), |state| state.version)
    }

    /// Returns the configuration if it is newer than `version`.
    pub(crate) fn newer_than(&self, version: Version) -> Option<ConfigState> {
        let current = self.state.borrow();
        let state = current.state.as_ref()?;
        (state.version > version).then(|| ConfigState::clone(state))
    }

    /// Returns the withdrawal in force on `class` or one of `tags`, if any.
    pub(crate) fn withdrawn(&self, class: &ClassName, tags: &[Tag]) -> Option<Withdrawal> {
        let current = self.state.borrow();
        let state = current.state.as_ref()?;
        let applies = |withdrawal: &&Withdrawal| match &withdrawal.selector {
            Selector::Class(withdrawn) => withdrawn == class,
            Selector::Tag(withdrawn) => tags.contains(withdrawn),
        };
        state.withdrawals.iter().find(applies).cloned()
    }

    /// Subscribes to changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<ActiveConfig> {
        self.state.subscribe()
    }
}

impl From<ConfigState> for ActiveConfig {
    fn from(state: ConfigState) -> Self {
        let preset = match &state.preset {
            Some(in_force) => Arc::new(in_force.preset.clone()),
            None => Arc::default(),
        };
        Self {
            state: Some(Arc::new(state)),
            preset,
        }
    }
}
