//! Per-class admission state.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::ClassName;
use slotmap::{SlotMap, new_key_type};

use crate::ewma::EwmaDuration;

/// Number of classes above which idle ones are dropped.
const MAX_CLASSES: usize = 1_024;

new_key_type! {
    pub(super) struct ClassKey;
}

/// State of one class.
#[derive(Debug, Clone, Default)]
pub(super) struct ClassState {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) share_percent: u32,
    pub(super) service_time: EwmaDuration,
}

impl ClassState {
    /// Whether the class may start another attempt.
    pub(super) fn has_room(&self, slots: u32) -> bool {
        self.running < self.slot_limit(slots)
    }

    /// Returns the number of `slots` that the class may hold, which is at least one.
    pub(super) fn slot_limit(&self, slots: u32) -> u32 {
        let share = u64::from(slots) * u64::from(self.share_percent) / 100;
        u32::try_from(share).unwrap_or(slots).max(1)
    }

    const fn is_idle(&self) -> bool {
        self.running == 0 && self.queued == 0
    }
}

/// State of every recently seen class.
#[derive(Debug, Default)]
pub(super) struct ClassTable {
    classes: SlotMap<ClassKey, ClassState>,
    names: HashMap<ClassName, ClassKey>,
}

impl ClassTable {
    /// Returns the key of `class`, adding it if needed, and updates its share.
    pub(super) fn upsert(&mut self, class: &ClassName, share_percent: u32) -> ClassKey {
        let known = self.names.get(class).copied();
        let key = known.unwrap_or_else(|| self.add(class));
        self.classes[key].share_percent = share_percent;
        key
    }

    pub(super) fn get(&self, key: ClassKey) -> &ClassState {
        &self.classes[key]
    }

    pub(super) fn get_mut(&mut self, key: ClassKey) -> &mut ClassState {
        &mut self.classes[key]
    }

    /// Returns the expected service time of a class, or `overall` if it has no samples yet.
    pub(super) fn service_time(&self, key: ClassKey, overall: EwmaDuration) -> Duration {
        let own = self.classes[key].service_time.get();
        own.or(overall.get()).unwrap_or(Duration::ZERO)
    }

    fn add(&mut self, class: &ClassName) -> ClassKey {
        if self.classes.len() >= MAX_CLASSES {
            self.drop_idle();
        }
        let key = self.classes.insert(ClassState::default());
        self.names.insert(class.clone(), key);
        key
    }

    fn drop_idle(&mut self) {
        self.classes.retain(|_, state| !state.is_idle());
        self.names.retain(|_, key| self.classes.contains_key(*key));
    }
}
