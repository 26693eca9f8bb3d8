//! The newest configuration known to this entry.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use agate_core::{ClassName, Tag, Version};
use agate_preset::Preset;
use agate_wire::message::{ConfigState, Selector, Withdrawal};
use tokio::sync::watch;
use tokio::time::Instant;

/// The newest configuration from any source.
#[derive(Debug)]
pub(crate) struct CurrentConfig {
    state: watch::Sender<ActiveConfig>,
    claims: Mutex<Claims>,
}

/// Versions that other processes named before this entry folded them. The log proves or refutes
/// them.
#[derive(Debug, Default)]
struct Claims(BTreeMap<Version, Claim>);

/// What the log says about a version.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Claim {
    /// Not read yet; first named at this time.
    Open(Instant),
    /// The log doesn't hold it.
    Refuted,
}

/// Maximum number of claims that are kept.
const MAX_CLAIMS: usize = 64;

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
            claims: Mutex::default(),
        }
    }

    /// Replaces the current configuration by one from another entry if that is newer and not known
    /// to be absent from the log.
    pub(crate) fn offer_claimed(&self, state: ConfigState) {
        let version = state.version;
        if version > self.version() && self.lock_claims().record(version) == Verdict::Open {
            self.offer(state);
        }
    }

    /// Compares the claims with the log. `folded` is the configuration after every record that the
    /// log held at `read_at`.
    pub(crate) fn settle(&self, folded: &ConfigState, read_at: Instant) {
        let mut claims = self.lock_claims();
        claims.settle(folded.version, read_at);
        let is_refuted = claims.is_refuted(self.version());
        drop(claims);
        if is_refuted {
            log::error!(event = "config_refuted", version:% = self.version(), folded:% = folded.version; "the log doesn't hold this version");
            self.state.send_replace(ActiveConfig::from(folded.clone()));
        }
    }

    fn lock_claims(&self) -> MutexGuard<'_, Claims> {
        // Each operation leaves the claims consistent, so they stay usable after a panic.
        self.claims.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Replaces the current configuration if `state` is newer, so it never reverts.
    fn offer(&self, state: ConfigState) {
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

    /// Records that another process has a configuration of this version. Returns the version if the
    /// log doesn't hold it.
    pub(crate) fn refute(&self, version: Version) -> Option<Version> {
        let is_newer = version > self.version();
        (is_newer && self.lock_claims().record(version) == Verdict::Refuted).then_some(version)
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

impl Claims {
    /// Records that another process has a configuration of this version.
    fn record(&mut self, version: Version) -> Verdict {
        if let Some(claim) = self.0.get(&version) {
            return match claim {
                Claim::Open(_) => Verdict::Open,
                Claim::Refuted => Verdict::Refuted,
            };
        }
        if self.0.len() >= MAX_CLAIMS {
            return Verdict::Full;
        }
        self.0.insert(version, Claim::Open(Instant::now()));
        Verdict::Open
    }

    /// Refutes the versions above `folded` that were named before `read_at`.
    fn settle(&mut self, folded: Version, read_at: Instant) {
        self.0.retain(|version, _| *version > folded);
        for claim in self.0.values_mut() {
            if matches!(claim, Claim::Open(named_at) if *named_at < read_at) {
                *claim = Claim::Refuted;
            }
        }
    }

    fn is_refuted(&self, version: Version) -> bool {
        self.0.get(&version) == Some(&Claim::Refuted)
    }
}

/// Whether a named version may be believed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Verdict {
    /// The log may hold it.
    Open,
    /// The log doesn't hold it.
    Refuted,
    /// Too many versions are open to find out.
    Full,
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
