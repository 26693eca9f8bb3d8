//! Effect of withdrawn zones on placement, and the changes that are logged.

use std::collections::{BTreeMap, BTreeSet};

use agate_core::JobId;

use crate::plan::scheduler::Scheduler;
use crate::plan::worker::Worker;
use crate::spec::StepSpec;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;
use crate::zones::ZoneTable;

/// A change that concerns a withdrawn zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ZoneChange {
    /// A zone is withdrawn.
    Withdrawn {
        /// Name of the zone.
        zone: String,
        /// Offset of the request.
        offset: u64,
        /// Runs that are bound in the zone.
        runs: usize,
    },
    /// No run is left in a withdrawn zone.
    Empty {
        /// Name of the zone.
        zone: String,
        /// Offset of the request.
        offset: u64,
    },
    /// A zone is returned.
    Returned {
        /// Name of the zone.
        zone: String,
        /// Offset of the return, or end of the load that lacked the request.
        offset: u64,
        /// Runs that are bound in the zone.
        runs: usize,
    },
    /// A step waits, because only workers in withdrawn zones could run it.
    StepWaits {
        /// A task of the step.
        task: TaskKey,
    },
    /// A serving task in a withdrawn zone is stopped, to be started elsewhere.
    TaskMoves {
        /// The task.
        task: TaskKey,
        /// Number of the run that is stopped.
        run: u32,
        /// Name of the zone.
        zone: String,
        /// Worker on which it runs.
        worker: String,
        /// Worker that has room for it now.
        room_on: String,
    },
}

/// Number of runs that are left in a withdrawn zone.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRuns {
    /// Name of the zone.
    pub zone: String,
    /// Number of bound runs.
    pub runs: usize,
}

/// What the scheduler knows of withdrawn zones.
#[derive(Debug, Default)]
enum KnownZones {
    /// The deployment has no withdrawal.
    #[default]
    Unused,
    /// The zones have not been loaded.
    NotLoaded,
    /// The withdrawn zones.
    Known(BTreeMap<String, WithdrawnZone>),
}

#[derive(Debug, Clone, Copy)]
struct WithdrawnZone {
    /// Offset of the request.
    offset: u64,
    /// Bound runs; [`None`] before they are counted.
    runs: Option<usize>,
}

/// The withdrawn zones and what has been logged about them.
#[derive(Debug, Default)]
pub(super) struct Withdrawal {
    known: KnownZones,
    /// Steps that are known to wait for a withdrawn zone.
    waiting: BTreeSet<(JobId, u32, u32)>,
    changes: Vec<ZoneChange>,
}

impl Withdrawal {
    /// Returns whether tasks may be placed at all.
    pub const fn is_known(&self) -> bool {
        !matches!(self.known, KnownZones::NotLoaded)
    }

    /// Returns whether a zone is withdrawn.
    pub fn contains(&self, zone: &str) -> bool {
        self.zones().is_some_and(|zones| zones.contains_key(zone))
    }

    /// Adds a change to those that are logged.
    pub fn note(&mut self, change: ZoneChange) {
        self.changes.push(change);
    }

    const fn zones(&self) -> Option<&BTreeMap<String, WithdrawnZone>> {
        match &self.known {
            KnownZones::Known(zones) => Some(zones),
            KnownZones::Unused | KnownZones::NotLoaded => None,
        }
    }

    fn is_current(&self, table: &ZoneTable) -> bool {
        self.zones().is_some_and(|zones| {
            let known = zones
                .iter()
                .map(|(zone, state)| (zone.as_str(), state.offset));
            known.eq(table.withdrawn())
        })
    }
}

impl Scheduler {
    /// Takes over the zones that the operator has withdrawn. Before they are loaded, nothing is
    /// placed.
    pub fn set_withdrawn_zones(&mut self, table: &ZoneTable) {
        if !table.is_loaded() {
            if matches!(self.withdrawal.known, KnownZones::Unused) {
                self.withdrawal.known = KnownZones::NotLoaded;
            }
            return;
        }
        if !self.withdrawal.is_current(table) {
            self.replace_zones(table);
        }
        self.count_zone_runs();
    }

    /// Returns whether the requests about zones have been read, without which nothing is placed.
    pub const fn knows_zones(&self) -> bool {
        self.withdrawal.is_known()
    }

    /// Returns the changes since the last call.
    pub fn take_zone_changes(&mut self) -> Vec<ZoneChange> {
        std::mem::take(&mut self.withdrawal.changes)
    }

    /// Returns the number of runs that are left in each withdrawn zone.
    pub fn zone_runs(&self) -> Vec<ZoneRuns> {
        let zones = self.withdrawal.zones().into_iter().flatten();
        zones
            .map(|(zone, state)| ZoneRuns {
                zone: zone.clone(),
                runs: state.runs.unwrap_or(0),
            })
            .collect()
    }

    /// Records that a task found no worker. If only workers in withdrawn zones could run its step, a
    /// change tells so once.
    pub(super) fn note_zone_wait(&mut self, job: &Job, task: TaskKey) {
        let key = (task.job, task.occurrence, task.step);
        let none_withdrawn = self.withdrawal.zones().is_none_or(BTreeMap::is_empty);
        if none_withdrawn || self.withdrawal.waiting.contains(&key) {
            return;
        }
        let Some(step) = job.step(task) else {
            return;
        };
        if self.needs_withdrawn_workers(&job.policy.service, step) {
            self.withdrawal.waiting.insert(key);
            self.withdrawal.changes.push(ZoneChange::StepWaits { task });
        }
    }

    /// Forgets waiting steps of jobs that are no longer known.
    pub(super) fn prune_zone_waits(&mut self, table: &JobTable) {
        let waiting = &mut self.withdrawal.waiting;
        waiting.retain(|(job, _, _)| table.job(*job).is_some());
    }

    fn replace_zones(&mut self, table: &ZoneTable) {
        let runs = self.bound_runs_by_zone();
        let runs_of = |zone: &str| runs.get(zone).copied().unwrap_or(0);
        let before = self.withdrawal.known.take();
        let mut withdrawn = BTreeMap::new();
        let changes = &mut self.withdrawal.changes;
        for (zone, offset) in table.withdrawn() {
            let known = before.get(zone).filter(|known| known.offset == offset);
            let state = known
                .copied()
                .unwrap_or(WithdrawnZone { offset, runs: None });
            withdrawn.insert(zone.to_owned(), state);
            if known.is_none() {
                changes.push(ZoneChange::Withdrawn {
                    zone: zone.to_owned(),
                    offset,
                    runs: runs_of(zone),
                });
            }
        }
        for (zone, state) in table.zones().filter(|(_, state)| !state.withdrawn) {
            if before.contains_key(zone) {
                changes.push(ZoneChange::Returned {
                    zone: zone.to_owned(),
                    offset: state.offset,
                    runs: runs_of(zone),
                });
            }
        }
        for worker in &mut self.workers {
            worker.withdrawn = withdrawn.contains_key(&worker.report.zone);
        }
        self.withdrawal.waiting.clear();
        self.withdrawal.known = KnownZones::Known(withdrawn);
    }

    /// Counts the runs that are left in the withdrawn zones. One that was found empty stays so, as
    /// nothing is bound there.
    fn count_zone_runs(&mut self) {
        let is_empty = |zone: &WithdrawnZone| zone.runs == Some(0);
        if self
            .withdrawal
            .zones()
            .is_none_or(|zones| zones.values().all(is_empty))
        {
            return;
        }
        let runs = self.bound_runs_by_zone();
        let KnownZones::Known(zones) = &mut self.withdrawal.known else {
            return;
        };
        for (zone, state) in zones.iter_mut().filter(|(_, state)| !is_empty(state)) {
            let left = runs.get(zone.as_str()).copied().unwrap_or(0);
            state.runs = Some(left);
            if left == 0 {
                self.withdrawal.changes.push(ZoneChange::Empty {
                    zone: zone.clone(),
                    offset: state.offset,
                });
            }
        }
    }

    fn bound_runs_by_zone(&self) -> BTreeMap<String, usize> {
        let mut runs: BTreeMap<String, usize> = BTreeMap::new();
        for worker in self.workers.iter().filter(|worker| worker.has_runs()) {
            let zone = worker.report.zone.as_str();
            match runs.get_mut(zone) {
                Some(known) => *known += worker.runs(),
                None => drop(runs.insert(zone.to_owned(), worker.runs())),
            }
        }
        runs
    }

    /// Returns whether a step could run in withdrawn zones, but not outside of them even if all
    /// workers there were idle.
    fn needs_withdrawn_workers(&self, service: &str, step: &StepSpec) -> bool {
        let needed = if step.gang { step.tasks } else { 1 };
        let (mut elsewhere, mut withdrawn) = (0_u32, 0_u32);
        for worker in self
            .workers
            .iter()
            .filter(|worker| could_run(worker, service, step))
        {
            let tasks = worker.max_tasks(step);
            if worker.withdrawn {
                withdrawn = withdrawn.saturating_add(tasks);
            } else {
                elsewhere = elsewhere.saturating_add(tasks);
            }
            if elsewhere >= needed {
                return false;
            }
        }
        elsewhere.saturating_add(withdrawn) >= needed
    }
}

impl KnownZones {
    /// Takes the withdrawn zones out.
    fn take(&mut self) -> BTreeMap<String, WithdrawnZone> {
        match std::mem::take(self) {
            Self::Known(zones) => zones,
            Self::Unused | Self::NotLoaded => BTreeMap::new(),
        }
    }
}

fn could_run(worker: &Worker, service: &str, step: &StepSpec) -> bool {
    worker.report.service == service
        && worker.report.state == crate::worker::WorkerState::Ready
        && (step.label.is_empty() || worker.report.labels.contains(&step.label))
}
