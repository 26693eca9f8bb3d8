//! Placement of tasks that may have crashed a worker.
//!
//! Such a task is started where nothing else has been started shortly before, and nothing is started
//! beside it until it has survived its start. A further crash then tells whether it is the cause. Workers
//! that run nothing else are preferred, so that a crash takes nothing else down. Both have a limit in time,
//! after which tasks no longer wait for it.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::time::Duration;

use agate_core::Moment;

use crate::crash::{Attribution, CrashHistory, RECENT_START};
use crate::plan::choose::{self, Candidate, Tolerance};
use crate::plan::obstacle::Obstacle;
use crate::plan::order;
use crate::plan::place::{Round, ready_steps};
use crate::plan::scheduler::Scheduler;
use crate::plan::usage::Usage;
use crate::plan::worker::Worker;
use crate::spec::StepSpec;
use crate::table::{Job, JobTable, TaskProgress};
use crate::task::TaskKey;

/// Time allowed for the delivery of an order and for the news of a crash.
const DELIVERY_TIME: Duration = Duration::from_millis(80);

/// Wait for a worker that runs nothing else. A crashed worker is usually back, and empty, by the time
/// that its runs are placed again.
const IDLE_WAIT: Duration = Duration::from_millis(1_500);

/// Wait after which a suspect is placed wherever it fits, also beside other suspects, so that none waits for
/// long beside free capacity.
const MAX_WAIT: Duration = Duration::from_millis(2_500);

/// Suspects that wait for a worker, and since when.
#[derive(Debug, Default)]
pub(super) struct Suspects(BTreeMap<TaskKey, Moment>);

/// A suspect that is ready to run.
struct Pending<'a> {
    task: TaskKey,
    job: &'a Job,
    crashes: &'a CrashHistory,
    waited: Duration,
}

/// How far a suspect is kept apart from other tasks.
pub(super) struct Isolation<'a> {
    /// Workers on which a run was bound shortly before.
    busy: &'a BTreeSet<usize>,
    /// Whether it may run beside other tasks.
    may_share: bool,
}

impl Isolation<'_> {
    /// Returns why a suspect may not be started on a worker that takes it otherwise.
    pub(super) fn obstacle(&self, slot: usize, worker: &Worker) -> Option<Obstacle> {
        let is_apart = !self.busy.contains(&slot) && (worker.is_idle() || self.may_share);
        (!is_apart).then_some(Obstacle::Shared)
    }
}

/// Returns the time by which a suspect that is bound at `now` has survived its start; `None` for other
/// tasks, and for members of a gang, which are started together.
pub(super) fn probe_until(step: &StepSpec, task: &TaskProgress, now: Moment) -> Option<Moment> {
    let time = RECENT_START + DELIVERY_TIME + task.crashes.longest_run();
    (!step.gang && is_suspected(task)).then(|| now + time)
}

/// Returns whether a task may have crashed a worker.
pub(super) fn is_suspected(task: &TaskProgress) -> bool {
    task.crashes.attribution() == Attribution::Suspected
}

impl Scheduler {
    /// Places suspects before all other tasks. Few of them run at a time, so they take little capacity,
    /// but the others must not occupy the workers on which they can be told apart.
    pub(super) fn place_suspects(&mut self, table: &JobTable, round: &mut Round, wall_ms: u64) {
        let pending = self.pending_suspects(table, round.now(), wall_ms);
        if pending.is_empty() {
            return;
        }
        let mut busy = self.recently_used(round.now());
        let mut usages = HashMap::new();
        for suspect in pending {
            if round.is_full() {
                return;
            }
            let Some(slot) = self.choose_for_suspect(&suspect, &busy, &mut usages, round.now())
            else {
                continue;
            };
            let placement = self.bind(suspect.job, suspect.task, (slot, None), round.now());
            self.suspects.0.remove(&suspect.task);
            let usage = usages.get_mut(suspect.job.policy.service.as_str());
            if let (Some(usage), Some(binding)) = (usage, self.bindings.get(&suspect.task)) {
                usage.add_bound(binding.counted());
            }
            round.add(placement);
            busy.insert(slot);
        }
    }

    /// Returns the suspects that are ready to run. Those with the fewest crashes come first, and among
    /// them those that were started right before a crash: the sooner the cause is found, the sooner the
    /// others are cleared.
    fn pending_suspects<'a>(
        &mut self,
        table: &'a JobTable,
        now: Moment,
        wall_ms: u64,
    ) -> Vec<Pending<'a>> {
        let jobs = table.jobs().filter(|(_, job)| job.crashed_runs > 0);
        let open = jobs.filter(|(_, job)| !job.state().is_final());
        let mut pending = Vec::new();
        for (id, job) in open {
            let turn = order::whole(id, job);
            for at in ready_steps(job, wall_ms) {
                if job.spec.steps[at.1].gang {
                    continue;
                }
                for task in self.pending_tasks(&turn, at) {
                    let progress = &job.progress[at.0][at.1].tasks[task.index as usize];
                    if !is_suspected(progress) {
                        continue;
                    }
                    let since = *self.suspects.0.entry(task).or_insert(now);
                    pending.push(Pending {
                        task,
                        job,
                        crashes: &progress.crashes,
                        waited: now.since(since),
                    });
                }
            }
        }
        pending.sort_by_key(|suspect| {
            let crashes = suspect.crashes;
            (crashes.len(), crashes.shortest_delay(), suspect.task)
        });
        let waiting: BTreeSet<TaskKey> = pending.iter().map(|suspect| suspect.task).collect();
        self.suspects.0.retain(|task, _| waiting.contains(task));
        pending
    }

    /// Returns the workers on which a run was bound shortly before.
    pub(super) fn recently_used(&self, now: Moment) -> BTreeSet<usize> {
        let recent = self
            .bindings
            .values()
            .filter(|binding| now.since(binding.bound_at) < RECENT_START + DELIVERY_TIME);
        recent.map(|binding| binding.worker).collect()
    }

    fn choose_for_suspect<'a>(
        &self,
        suspect: &Pending<'a>,
        busy: &BTreeSet<usize>,
        usages: &mut HashMap<&'a str, Usage>,
        now: Moment,
    ) -> Option<usize> {
        let turn = order::whole(suspect.task.job, suspect.job);
        let candidate = self.candidate(&turn, suspect.task)?;
        let Some(isolation) = self.isolation(suspect.waited, busy, now) else {
            let candidate = self.starved_suspect(suspect, candidate, usages, now);
            return self.choose_for_late_suspect(candidate, busy, now);
        };
        let slots = choose::fitting(&self.workers, candidate, now);
        let usable = slots.filter(|slot| isolation.obstacle(*slot, &self.workers[*slot]).is_none());
        usable.min_by_key(|slot| {
            let worker = &self.workers[*slot];
            let crashed_there = suspect.crashes.has_address(&worker.report.address);
            (
                !worker.is_idle(),
                worker.long_running.millicores,
                crashed_there,
                worker.busy_millicores(),
            )
        })
    }

    /// Lets a short suspect that has waited for long accept what other starved tasks do.
    fn starved_suspect<'a, 'b>(
        &self,
        suspect: &Pending<'a>,
        candidate: Candidate<'b>,
        usages: &mut HashMap<&'a str, Usage>,
        now: Moment,
    ) -> Candidate<'b> {
        let service = suspect.job.policy.service.as_str();
        let mut usage = || *usages.entry(service).or_insert_with(|| self.usage(service));
        let is_starved = !candidate.step.long_running
            && !self.has_started(suspect.task.job, now)
            && usage().is_mostly_free();
        if !is_starved {
            return candidate;
        }
        Candidate {
            tolerance: Tolerance::Reserved,
            yields: Tolerance::Reserved.yields(),
            ..candidate
        }
    }

    /// Returns a worker for a suspect that has waited for long: one on which no other suspect or start is
    /// taken for the cause of a crash, as long as there is one.
    fn choose_for_late_suspect(
        &self,
        candidate: Candidate<'_>,
        busy: &BTreeSet<usize>,
        now: Moment,
    ) -> Option<usize> {
        let apart = choose::fitting(&self.workers, candidate, now);
        let apart = apart.filter(|slot| !busy.contains(slot));
        let apart = apart.min_by_key(|slot| self.workers[*slot].busy_millicores());
        apart.or_else(|| {
            let candidate = Candidate {
                beside_probes: true,
                ..candidate
            };
            choose::choose(&self.workers, &self.interference, candidate, now)
        })
    }

    /// Returns how far a waiting task is kept apart from other tasks, or `None` if it is placed like any
    /// other task.
    pub(super) fn isolation_of<'a>(
        &self,
        task: TaskKey,
        job: &Job,
        busy: &'a BTreeSet<usize>,
        now: Moment,
    ) -> Option<Isolation<'a>> {
        let is_gang = job.step(task)?.gang;
        let progress = job.step_progress(task)?.tasks.get(task.index as usize)?;
        if is_gang || !is_suspected(progress) {
            return None;
        }
        let since = self.suspects.0.get(&task).copied().unwrap_or(now);
        self.isolation(now.since(since), busy, now)
    }

    /// Returns how far a suspect that has waited for `waited` is kept apart from other tasks, or `None`
    /// if it is placed like any other task.
    fn isolation<'a>(
        &self,
        waited: Duration,
        busy: &'a BTreeSet<usize>,
        now: Moment,
    ) -> Option<Isolation<'a>> {
        let may_share = || waited >= IDLE_WAIT && !self.has_shared_probe(now);
        (waited < MAX_WAIT).then(|| Isolation {
            busy,
            may_share: may_share(),
        })
    }

    /// Returns whether a suspect runs beside other tasks and has not survived its start yet. One such
    /// task at a time limits what a wrong guess costs.
    fn has_shared_probe(&self, now: Moment) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| worker.is_probing(now) && !worker.is_idle())
    }
}
