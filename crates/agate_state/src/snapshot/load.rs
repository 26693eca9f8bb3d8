//! Assembles snapshots from their parts and keeps the newest complete one.

use std::collections::BTreeMap;

use agate_core::{Offset, Position};
use agate_records::{SnapshotId, SnapshotPart};

use super::restore::{SnapshotError, restore};
use crate::{State, StateLimits};

/// Maximum number of incomplete snapshots kept.
const MAX_INCOMPLETE_SNAPSHOTS: usize = 4;

/// Maximum number of different failures kept.
const MAX_FAILURES: usize = 16;

/// Loads the newest complete snapshot from parts in log order.
#[derive(Debug)]
pub struct SnapshotLoader {
    limits: StateLimits,
    /// Offset of the last append of the log that snapshots cover.
    end: Offset,
    newest: Option<State>,
    incomplete: BTreeMap<SnapshotKey, IncompleteSnapshot>,
    failures: Vec<SnapshotError>,
}

/// Key that orders snapshots by the log position that they cover.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct SnapshotKey {
    position: Position,
    id: SnapshotId,
}

#[derive(Debug)]
struct IncompleteSnapshot {
    parts: u32,
    items: BTreeMap<u32, Vec<Vec<u8>>>,
}

impl SnapshotLoader {
    /// Creates a loader without parts.
    pub const fn new(limits: StateLimits) -> Self {
        Self {
            limits,
            end: Offset(u64::MAX),
            newest: None,
            incomplete: BTreeMap::new(),
            failures: Vec::new(),
        }
    }

    /// Refuses parts that claim to cover appends after `end`, the end of the log that is folded.
    #[must_use]
    pub const fn up_to(mut self, end: Offset) -> Self {
        self.end = end;
        self
    }

    /// Adds one part. Duplicate parts are ignored.
    pub fn add(&mut self, part: SnapshotPart) {
        let key = SnapshotKey {
            position: part.at,
            id: part.snapshot,
        };
        if key.position.offset > self.end {
            self.fail(SnapshotError::PastEnd { at: key.position });
            return;
        }
        if self
            .newest
            .as_ref()
            .is_some_and(|state| key.position <= state.last_applied)
        {
            return;
        }
        let snapshot = self.incomplete.entry(key).or_insert(IncompleteSnapshot {
            parts: part.parts,
            items: BTreeMap::new(),
        });
        if snapshot.parts != part.parts {
            self.incomplete.remove(&key);
            self.fail(SnapshotError::Contradiction);
            return;
        }
        snapshot.items.insert(part.part, part.items);
        if snapshot.items.len() as u64 == u64::from(snapshot.parts) {
            self.load_complete(key);
        }
        self.evict_oldest();
    }

    /// Returns whether a complete snapshot has been loaded.
    pub const fn is_loaded(&self) -> bool {
        self.newest.is_some()
    }

    /// Returns the state of the newest complete snapshot; `None` if there is none.
    pub fn finish(self) -> Option<State> {
        self.newest
    }

    /// Returns why snapshots could not be loaded.
    pub fn failures(&self) -> &[SnapshotError] {
        &self.failures
    }

    fn load_complete(&mut self, key: SnapshotKey) {
        let Some(snapshot) = self.incomplete.remove(&key) else {
            return;
        };
        let items = snapshot.items.values().flatten().map(Vec::as_slice);
        match restore(self.limits, key.position, items) {
            Ok(state) => {
                self.incomplete
                    .retain(|other, _| other.position > key.position);
                self.newest = Some(state);
            }
            Err(error) => self.fail(error),
        }
    }

    fn fail(&mut self, error: SnapshotError) {
        if self.failures.len() < MAX_FAILURES && !self.failures.contains(&error) {
            self.failures.push(error);
        }
    }

    fn evict_oldest(&mut self) {
        while self.incomplete.len() > MAX_INCOMPLETE_SNAPSHOTS {
            self.incomplete.pop_first();
        }
    }
}
