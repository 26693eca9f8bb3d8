//! The configuration that the agent holds.

use std::sync::Arc;

use agate_core::{ClassName, Position, Tag, Version};
use agate_preset::Preset;
use agate_wire::message::{ConfigState, Selector, StopMode, Withdrawal};
use tokio::sync::watch;

/// A configuration and the preset in force within it.
#[derive(Debug, Clone, Default)]
pub(crate) struct Adopted {
    pub(crate) version: Version,
    pub(crate) preset: Preset,
    withdrawals: Vec<Withdrawal>,
}

impl Adopted {
    fn new(config: ConfigState) -> Self {
        let preset = config.preset.map(|in_force| in_force.preset);
        Self {
            version: config.version,
            preset: preset.unwrap_or_default(),
            withdrawals: config.withdrawals,
        }
    }

    /// Whether requests of `class` are withdrawn.
    pub(crate) fn withdraws_class(&self, class: &ClassName) -> bool {
        let applies = |withdrawal: &Withdrawal| match &withdrawal.selector {
            Selector::Class(name) => name == class,
            Selector::Tag(_) => false,
        };
        self.withdrawals.iter().any(applies)
    }

    /// What a withdrawal newer than a run's binding asks to be done with the run.
    pub(crate) fn withdraws_run(
        &self,
        class: &ClassName,
        tags: &[Tag],
        bound: Position,
    ) -> Option<StopMode> {
        let applies = |withdrawal: &&Withdrawal| {
            let selected = match &withdrawal.selector {
                Selector::Class(name) => name == class,
                Selector::Tag(tag) => tags.contains(tag),
            };
            selected && withdrawal.version.0 > bound
        };
        let modes = self.withdrawals.iter().filter(applies);
        modes
            .map(|withdrawal| withdrawal.mode)
            .max_by_key(|mode| strength(*mode))
    }
}

const fn strength(mode: StopMode) -> u8 {
    match mode {
        StopMode::Finish => 0,
        StopMode::Checkpoint => 1,
        StopMode::Stop => 2,
    }
}

/// The newest configuration seen.
#[derive(Debug)]
pub(crate) struct Policy(watch::Sender<Arc<Adopted>>);

impl Policy {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(Arc::new(Adopted::default())))
    }

    /// Replaces what is held if `config` is newer.
    pub(crate) fn offer(&self, config: ConfigState) {
        let version = config.version;
        let adopted = self.0.send_if_modified(|held| {
            if version <= held.version {
                return false;
            }
            *held = Arc::new(Adopted::new(config));
            true
        });
        if adopted {
            log::info!(event = "config_adopted", version:% = version; "");
        }
    }

    /// What is held.
    pub(crate) fn held(&self) -> Arc<Adopted> {
        Arc::clone(&self.0.borrow())
    }

    /// Tells of every later change.
    pub(crate) fn subscribe(&self) -> watch::Receiver<Arc<Adopted>> {
        self.0.subscribe()
    }
}
