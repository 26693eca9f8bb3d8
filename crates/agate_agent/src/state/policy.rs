//! The newest configuration that the agent has received.

use std::sync::Arc;

use agate_core::{ClassName, Position, Tag, Version};
use agate_preset::Preset;
use agate_wire::message::{ConfigState, Selector, StopMode, Withdrawal};
use tokio::sync::watch;

/// A configuration version with its preset and withdrawals.
#[derive(Debug, Clone, Default)]
pub(crate) struct ActiveConfig {
    pub(crate) version: Version,
    pub(crate) preset: Preset,
    withdrawals: Vec<Withdrawal>,
}

impl ActiveConfig {
    fn new(config: ConfigState) -> Self {
        let preset = config.preset.map(|in_force| in_force.preset);
        Self {
            version: config.version,
            preset: preset.unwrap_or_default(),
            withdrawals: config.withdrawals,
        }
    }

    /// Returns whether requests of `class` are withdrawn.
    pub(crate) fn is_class_withdrawn(&self, class: &ClassName) -> bool {
        let applies = |withdrawal: &Withdrawal| match &withdrawal.selector {
            Selector::Class(name) => name == class,
            Selector::Tag(_) => false,
        };
        self.withdrawals.iter().any(applies)
    }

    /// Returns the strictest stop mode of the withdrawals that apply to a run and are newer than
    /// its binding.
    pub(crate) fn find_stop_mode(
        &self,
        class: &ClassName,
        tags: &[Tag],
        bound_at: Position,
    ) -> Option<StopMode> {
        let applies = |withdrawal: &&Withdrawal| {
            let selected = match &withdrawal.selector {
                Selector::Class(name) => name == class,
                Selector::Tag(tag) => tags.contains(tag),
            };
            selected && withdrawal.version.0 > bound_at
        };
        let modes = self.withdrawals.iter().filter(applies);
        modes
            .map(|withdrawal| withdrawal.mode)
            .max_by_key(|mode| severity(*mode))
    }
}

const fn severity(mode: StopMode) -> u8 {
    match mode {
        StopMode::Finish => 0,
        StopMode::Checkpoint => 1,
        StopMode::Stop => 2,
    }
}

/// Holds the newest configuration received.
#[derive(Debug)]
pub(crate) struct PolicyStore(watch::Sender<Arc<ActiveConfig>>);

impl PolicyStore {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(Arc::new(ActiveConfig::default())))
    }

    /// Replaces the current configuration if `config` is newer.
    pub(crate) fn update(&self, config: ConfigState) {
        self.replace(config, |current, version| version > current);
    }

    /// Replaces the current configuration if `config` is newer, or if the current version is
    /// `refuted`: an entry has read that the log doesn't hold it.
    pub(crate) fn update_refuted(&self, config: ConfigState, refuted: Option<Version>) {
        self.replace(config, |current, version| {
            version > current || refuted == Some(current)
        });
    }

    fn replace(&self, config: ConfigState, is_wanted: impl Fn(Version, Version) -> bool) {
        let version = config.version;
        let is_replaced = self.0.send_if_modified(|current| {
            if !is_wanted(current.version, version) {
                return false;
            }
            *current = Arc::new(ActiveConfig::new(config));
            true
        });
        if is_replaced {
            log::info!(event = "config_adopted", version:% = version; "");
        }
    }

    /// Returns the current configuration.
    pub(crate) fn current(&self) -> Arc<ActiveConfig> {
        Arc::clone(&self.0.borrow())
    }

    /// Returns a receiver for later changes.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<ActiveConfig>> {
        self.0.subscribe()
    }
}
