//! Time since which each open suspicion is known to be stored.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::record::{Suspect, SuspicionRecord};
use crate::table::{JobTable, Leader};

/// Since when each open suspicion is known to be stored, by the heartbeats of leaders that list it with
/// its age. Every entry keeps it, so that a new leader doesn't restart the expiry of a suspected worker's
/// lease. A suspicion is stored before the heartbeat that lists it is written, and its age passes until
/// the heartbeat is read, so its lease is not renewed after that time.
#[derive(Debug, Clone, Default)]
pub struct SuspicionTimes(HashMap<String, Listed>);

#[derive(Debug, Clone)]
struct Listed {
    suspect: Suspect,
    stored_by: Moment,
    /// Epoch of the newest heartbeat that listed the suspicion.
    epoch: u64,
}

impl SuspicionTimes {
    /// Applies the newest heartbeat, which was read at `now`. A suspicion is removed once the leader
    /// that listed it no longer does. A new leader lists none until it has restored its state.
    pub fn apply(&mut self, leader: &Leader, now: Moment) {
        for suspect in &leader.suspects {
            self.record_listed(suspect, leader.epoch, now);
        }
        self.0.retain(|_, known| {
            let mut suspects = leader.suspects.iter();
            known.epoch != leader.epoch || suspects.any(|listed| listed.is_same(&known.suspect))
        });
    }

    /// Returns since when the suspicion is known to be stored, or `default` if no heartbeat listed
    /// it.
    pub fn get_or(&self, suspicion: &SuspicionRecord, default: Moment) -> Moment {
        let known = self.0.get(&suspicion.incarnation.name);
        known
            .filter(|known| {
                known.suspect.incarnation == suspicion.incarnation
                    && known.suspect.number == suspicion.number
            })
            .map_or(default, |known| known.stored_by)
    }

    /// Removes workers that are not in `table`.
    pub fn prune(&mut self, table: &JobTable) {
        self.0.retain(|worker, _| table.worker(worker).is_some());
    }

    fn record_listed(&mut self, suspect: &Suspect, epoch: u64, now: Moment) {
        let known = self.0.get(&suspect.incarnation.name);
        let known = known.filter(|known| known.suspect.is_same(suspect));
        let stored_by = now - Duration::from_millis(suspect.age_ms);
        let listed = Listed {
            suspect: suspect.clone(),
            stored_by: known.map_or(stored_by, |known| known.stored_by.min(stored_by)),
            epoch,
        };
        self.0.insert(suspect.incarnation.name.clone(), listed);
    }
}
