//! The newest configuration that this entry knows.

use std::sync::Arc;

use agate_core::{ClassName, Tag, Version};
use agate_preset::Preset;
use agate_wire::message::{ConfigState, Selector, Withdrawal};
use tokio::sync::watch;

/// The newest configuration, whatever process it came from.
#[derive(Debug)]
pub(crate) struct HeldConfig {
    state: watch::Sender<Held>,
}

/// A configuration and the preset that it puts in force.
#[derive(Debug, Clone, Default)]
pub(crate) struct Held {
    pub(crate) state: Option<Arc<ConfigState>>,
    pub(crate) preset: Arc<Preset>,
}

impl HeldConfig {
    /// Starts with the default preset and nothing withdrawn.
    pub(crate) fn new() -> Self {
        Self {
            state: watch::Sender::new(Held::default()),
        }
    }

    /// Replaces what is held if `state` is newer, so that nothing ever reverts.
    pub(crate) fn offer(&self, state: ConfigState) {
        let version = state.version;
        let replaced = self.state.send_if_modified(|held| {
            let newer = held.state.as_ref().is_none_or(|old| old.version < version);
            if newer {
                *held = Held::from(state);
            }
            newer
        });
        if replaced {
            log::info!(event = "config_in_force", version:%; "");
        }
    }

    /// Replaces what is held if `state` is newer.
    pub(crate) fn offer_shared(&self, state: &ConfigState) {
        if state.version > self.version() {
            self.offer(state.clone());
        }
    }

    /// What is held now.
    pub(crate) fn get(&self) -> Held {
        self.state.borrow().clone()
    }

    /// The version held; zero before anything was put in force.
    pub(crate) fn version(&self) -> Version {
        let held = self.state.borrow();
        held.state
            .as_ref()
            .map_or(Version::default(), |state| state.version)
    }

    /// The configuration, if it is newer than `version`.
    pub(crate) fn newer_than(&self, version: Version) -> Option<ConfigState> {
        let held = self.state.borrow();
        let state = held.state.as_ref()?;
        (state.version > version).then(|| ConfigState::clone(state))
    }

    /// The withdrawal in force on `class` or one of `tags`, if any.
    pub(crate) fn withdrawn(&self, class: &ClassName, tags: &[Tag]) -> Option<Withdrawal> {
        let held = self.state.borrow();
        let state = held.state.as_ref()?;
        let applies = |withdrawal: &&Withdrawal| match &withdrawal.selector {
            Selector::Class(withdrawn) => withdrawn == class,
            Selector::Tag(withdrawn) => tags.contains(withdrawn),
        };
        state.withdrawals.iter().find(applies).cloned()
    }

    /// Tells of every change from now on.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Held> {
        self.state.subscribe()
    }
}

impl From<ConfigState> for Held {
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
