//! What the attempts of one class share.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::ClassName;
use slotmap::{SlotMap, new_key_type};

use crate::smoothed::Smoothed;

/// Classes remembered at once; idle ones are dropped beyond it.
const MAX_LANES: usize = 1_024;

new_key_type! {
    pub(super) struct LaneKey;
}

/// One class.
#[derive(Debug, Clone, Default)]
pub(super) struct Lane {
    pub(super) running: u32,
    pub(super) queued: u32,
    pub(super) share_percent: u32,
    pub(super) service: Smoothed,
}

impl Lane {
    /// Whether another attempt may start next to those that run.
    pub(super) fn has_room(&self, limit: u32) -> bool {
        self.running < self.limit(limit)
    }

    /// Slots out of `limit` that the class may hold: at least one.
    pub(super) fn limit(&self, limit: u32) -> u32 {
        let share = u64::from(limit) * u64::from(self.share_percent) / 100;
        u32::try_from(share).unwrap_or(limit).max(1)
    }

    const fn is_idle(&self) -> bool {
        self.running == 0 && self.queued == 0
    }
}

/// Every class seen lately.
#[derive(Debug, Default)]
pub(super) struct Lanes {
    lanes: SlotMap<LaneKey, Lane>,
    names: HashMap<ClassName, LaneKey>,
}

impl Lanes {
    /// The lane of `class`, with the newest share.
    pub(super) fn open(&mut self, class: &ClassName, share_percent: u32) -> LaneKey {
        let known = self.names.get(class).copied();
        let key = known.unwrap_or_else(|| self.add(class));
        self.lanes[key].share_percent = share_percent;
        key
    }

    pub(super) fn get(&self, key: LaneKey) -> &Lane {
        &self.lanes[key]
    }

    pub(super) fn get_mut(&mut self, key: LaneKey) -> &mut Lane {
        &mut self.lanes[key]
    }

    /// Expected service time of the class, or of any class if nothing is known of it.
    pub(super) fn service(&self, key: LaneKey, any: Smoothed) -> Duration {
        let own = self.lanes[key].service.get();
        own.or(any.get()).unwrap_or(Duration::ZERO)
    }

    fn add(&mut self, class: &ClassName) -> LaneKey {
        if self.lanes.len() >= MAX_LANES {
            self.drop_idle();
        }
        let key = self.lanes.insert(Lane::default());
        self.names.insert(class.clone(), key);
        key
    }

    fn drop_idle(&mut self) {
        self.lanes.retain(|_, lane| !lane.is_idle());
        self.names.retain(|_, key| self.lanes.contains_key(*key));
    }
}
