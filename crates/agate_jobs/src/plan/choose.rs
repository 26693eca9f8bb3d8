//! Selection of a worker for a task.

use agate_core::Moment;

use crate::plan::health::Trust;
use crate::plan::interference::InterferenceTable;
use crate::plan::obstacle::{self, Obstacle};
use crate::plan::short_waits::Load;
use crate::plan::worker::Worker;
use crate::spec::StepSpec;
use crate::task::TaskKey;

/// Cost of a worker in another rack than the data or the rest of the step.
const DISTANCE_COST: f64 = 0.5;

/// Cost of the worker on which the task last failed.
const PRIOR_FAILURE_COST: f64 = 10.0;

/// Weight, for a best-effort task, of the share of its speed that it would lose.
const SLOWDOWN_WEIGHT: f64 = 2.0;

/// Lower bound for the interference of a pair. Less is indistinguishable from none.
const MIN_INTERFERENCE: f64 = 0.01;

/// Cost, for a serving task, of each other serving image on a worker. If workers serve a single
/// image, every best-effort image finds some worker where it interferes little.
const OTHER_IMAGE_COST: f64 = 1.0;

/// Gain, for a serving task, of a worker that already serves its image.
const SAME_IMAGE_GAIN: f64 = 0.8;

/// Gain, for a serving task, of each task of its own step on a worker. Their loads rise and fall
/// together, which leaves more to best-effort tasks than loads that peak at different times.
const SAME_STEP_GAIN: f64 = 0.4;

/// Weight, for a serving task, of a worker's processor utilization.
const SERVING_CPU_WEIGHT: f64 = 0.3;

/// Weight, for tasks that are neither serving nor best-effort, of the processor share of
/// best-effort tasks.
const BEST_EFFORT_WEIGHT: f64 = 0.3;

/// Weight, for the same tasks, of each task of the same step on a worker.
const SIBLING_WEIGHT: f64 = -0.1;

/// Cost of a worker that is still slow after its start. It exceeds the usual differences in cost
/// between workers, but not the cost of a prior failure.
const COLD_COST: f64 = 5.0;

/// Cost, for a short task, of room that is reserved for a long-running one. It exceeds the usual differences
/// in cost between workers.
const RESERVED_COST: f64 = 5.0;

/// Cost of a worker that is closed by stalls, or on probation. It exceeds the usual differences
/// in cost between workers.
const CLOSED_COST: f64 = 5.0;

/// Cost of a worker whose agent has not been able to start some of its runs. It exceeds the usual differences in
/// cost between workers.
pub(super) const UNSTARTED_COST: f64 = 5.0;

/// Cost of such a worker for a job that waits for runs that are not started. It exceeds all other costs together.
pub(super) const LAST_COST: f64 = 1_000.0;

/// Weight of a worker's slowness, which is a logarithm.
const SLOWNESS_WEIGHT: f64 = 0.6;

/// Weight, for a straggler, of the share of its speed that it would lose. Room for other tasks
/// matters less than the time that its job waits for it.
const STRAGGLER_WEIGHT: f64 = 6.0;

/// What counts most in the choice of a worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Preference {
    /// Room and speed.
    Balanced,
    /// The speed of the task.
    Fastest,
}

/// What a task accepts in a worker. It accepts more once it has waited for long.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(super) enum Tolerance {
    /// An open worker on which it runs fast enough.
    Usual,
    /// The processors of a worker may be in use by best-effort tasks, and the task may be slow beside them.
    Busy,
    /// The worker may also be on probation.
    Probation,
    /// The worker may also be closed by stalls.
    Closed,
    /// The room may also be reserved for long-running tasks.
    Reserved,
}

impl Tolerance {
    /// Returns the reserved room that a task leaves that has waited for long.
    pub(super) const fn yields(self) -> Yield {
        match self {
            Self::Reserved => Yield::Nothing,
            Self::Usual | Self::Busy | Self::Probation | Self::Closed => Yield::Recent,
        }
    }
}

/// The reserved room that a task leaves to the long-running ones that wait for it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Yield {
    /// None of it.
    Nothing,
    /// What was reserved recently.
    Recent,
    /// All of it.
    All,
}

/// A task to be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub task: TaskKey,
    pub step: &'a StepSpec,
    pub service: &'a str,
    pub failed_on: &'a str,
    /// Rack in which other tasks of the step run; empty if there is none or it doesn't matter.
    pub rack: &'a str,
    /// Share of its speed below which a best-effort task waits for a better worker, as long as more
    /// than half of the service's processors are in use.
    pub min_speed: f64,
    pub preference: Preference,
    /// The reserved room that the task leaves to long-running ones.
    pub yields: Yield,
    /// Whether the task may be started beside suspects that have not survived their start.
    pub beside_probes: bool,
    pub tolerance: Tolerance,
    /// Whether the task may fail only once more.
    pub last_attempt: bool,
    /// Cost of a worker whose agent has not been able to start some of its runs.
    pub unstarted_cost: f64,
}

/// What a worker must offer to a task.
#[derive(Clone, Copy)]
pub(super) struct Search<'a> {
    interference: &'a InterferenceTable,
    task: Candidate<'a>,
    now: Moment,
    /// Whether the task waits for a better worker if it would be slow.
    may_wait: bool,
}

impl<'a> Search<'a> {
    pub(super) fn new(
        workers: &[Worker],
        interference: &'a InterferenceTable,
        task: Candidate<'a>,
        now: Moment,
    ) -> Self {
        Self {
            interference,
            task,
            now,
            may_wait: task.step.best_effort
                && task.tolerance == Tolerance::Usual
                && is_half_used(workers, task.service),
        }
    }

    /// Returns why the task may not be started on a worker of its service.
    #[inline]
    pub(super) fn obstacle(&self, worker: &Worker) -> Option<Obstacle> {
        obstacle::obstacle(worker, self.task, self.now)
            .or_else(|| self.is_slow(worker).then_some(Obstacle::TooSlow))
    }

    fn is_slow(&self, worker: &Worker) -> bool {
        let speed = || expected_speed(worker, self.interference, &self.task.step.image);
        self.may_wait && speed() < self.task.min_speed
    }
}

/// Returns the worker with the lowest cost among those that the task fits on.
pub(super) fn choose(
    workers: &[Worker],
    interference: &InterferenceTable,
    task: Candidate<'_>,
    now: Moment,
) -> Option<usize> {
    let search = Search::new(workers, interference, task, now);
    let mut best: Option<(f64, usize)> = None;
    for (slot, worker) in workers.iter().enumerate() {
        if worker.report.service != task.service || search.obstacle(worker).is_some() {
            continue;
        }
        let mut cost = cost(worker, interference, task);
        if now < worker.cold_until {
            cost += COLD_COST;
        }
        if !worker.report.not_started.is_empty() {
            cost += task.unstarted_cost;
        }
        if takes_reserved(worker, task.step) {
            cost += RESERVED_COST;
        }
        if task.tolerance >= Tolerance::Probation && worker.health.trust(now) != Trust::Full {
            cost += CLOSED_COST + worker.health.quarantine_left(now);
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, slot));
        }
    }
    best.map(|(_, slot)| slot)
}

/// Returns whether a short task would take room that is reserved.
fn takes_reserved(worker: &Worker, step: &StepSpec) -> bool {
    !step.long_running
        && !worker.reservations.is_empty()
        && worker.shortage(step, Yield::All).is_some()
}

/// Returns the workers that a task fits on.
pub(super) fn fitting<'a>(
    workers: &'a [Worker],
    task: Candidate<'a>,
    now: Moment,
) -> impl Iterator<Item = usize> + 'a {
    let workers = workers.iter().enumerate();
    let fitting = workers.filter(move |(_, worker)| fits(worker, task, now));
    fitting.map(|(slot, _)| slot)
}

/// Returns whether more than half of the processors are in use on the workers of a service on which
/// anything may be started. What is bound to the others may have ended.
pub(super) fn is_half_used(workers: &[Worker], service: &str) -> bool {
    let (used, total) = busy_millicores(workers, service);
    used * 2 > total
}

/// Returns the processors in use, and all of them, on the same workers.
fn busy_millicores(workers: &[Worker], service: &str) -> (u64, u64) {
    in_service(workers, service).fold((0, 0), |(used, total), worker| {
        let busy = u64::from(worker.busy_millicores());
        (
            used + busy,
            total + u64::from(worker.report.capacity.millicores),
        )
    })
}

/// Returns the percentages of the processors and of the memory of the same workers that are in use, with `started`
/// as that of started runs.
pub(super) fn load(workers: &[Worker], service: &str, started: u64) -> Load {
    let (busy, millicores) = busy_millicores(workers, service);
    let (mut counted, mut used_mib, mut memory_mib) = (0, 0, 0);
    for worker in in_service(workers, service) {
        counted += u64::from(worker.used.millicores);
        used_mib += u64::from(worker.used.memory_mib);
        memory_mib += u64::from(worker.report.capacity.memory_mib);
    }
    let percent = |part: u64, total: u64| part * 100 / total.max(1);
    Load {
        busy: percent(busy, millicores),
        counted: percent(counted, millicores),
        memory: percent(used_mib, memory_mib),
        started,
    }
}

fn in_service<'a>(workers: &'a [Worker], service: &'a str) -> impl Iterator<Item = &'a Worker> {
    workers.iter().filter(move |worker| {
        worker.report.service == service
            && !worker.withdrawn
            && worker.is_in_service()
            && worker.executes_orders()
    })
}

/// Returns the worker on which to reserve resources for a long-running task: the one that lacks the
/// smallest part of its capacity.
pub(super) fn reservation_worker(
    workers: &[Worker],
    task: Candidate<'_>,
    now: Moment,
) -> Option<usize> {
    let lacking = allowed(workers, task, now)
        .filter(|slot| may_reserve(&workers[*slot], task))
        .filter_map(|slot| Some((workers[slot].missing_permille(task.step.demand)?, slot)));
    lacking.min().map(|(_, slot)| slot)
}

/// Returns whether the limit for each worker allows the task beside those that room is reserved for.
fn may_reserve(worker: &Worker, task: Candidate<'_>) -> bool {
    let siblings = worker.siblings(task.task) + worker.reserved_siblings(task.task);
    task.step.per_worker == 0 || siblings < task.step.per_worker
}

/// Returns the workers that a task may run on, regardless of the room left.
pub(super) fn allowed<'a>(
    workers: &'a [Worker],
    task: Candidate<'a>,
    now: Moment,
) -> impl Iterator<Item = usize> + 'a {
    let workers = workers.iter().enumerate();
    let allowed = workers.filter(move |(_, worker)| is_allowed(worker, task, now));
    allowed.map(|(slot, _)| slot)
}

fn fits(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    worker.report.service == task.service && obstacle::obstacle(worker, task, now).is_none()
}

/// Returns whether a task may run on a worker, regardless of the room left.
fn is_allowed(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    worker.report.service == task.service && obstacle::restriction(worker, task, now).is_none()
}

fn cost(worker: &Worker, interference: &InterferenceTable, task: Candidate<'_>) -> f64 {
    let step = task.step;
    let total = f64::from(worker.report.capacity.millicores.max(1));
    let busy = f64::from(worker.used.millicores) / total;
    let best_effort_share = f64::from(worker.best_effort_millicores) / total;
    let mut cost = SLOWNESS_WEIGHT * worker.health.slowness;
    if step.target_ms > 0 {
        cost += SERVING_CPU_WEIGHT * busy - SAME_STEP_GAIN * f64::from(worker.siblings(task.task));
        let others = worker
            .serving_images
            .keys()
            .filter(|image| **image != step.image);
        cost += OTHER_IMAGE_COST * others.count() as f64;
        if worker.serving_images.contains_key(&step.image) {
            cost -= SAME_IMAGE_GAIN;
        }
    } else if step.best_effort {
        let speed = expected_speed(worker, interference, &step.image);
        let weight = match task.preference {
            Preference::Balanced => SLOWDOWN_WEIGHT,
            Preference::Fastest => STRAGGLER_WEIGHT,
        };
        cost += busy + best_effort_share + weight * (1.0 - speed);
    } else {
        cost += busy
            + BEST_EFFORT_WEIGHT * best_effort_share
            + SIBLING_WEIGHT * f64::from(worker.siblings(task.task));
    }
    if !step.data_rack.is_empty() && !worker.report.labels.contains(&step.data_rack) {
        cost += DISTANCE_COST;
    }
    if step.one_rack && !task.rack.is_empty() && rack(worker) != task.rack {
        cost += DISTANCE_COST;
    }
    if worker.report.incarnation.name == task.failed_on {
        cost += PRIOR_FAILURE_COST;
    }
    cost
}

/// Returns the speed that a task of image `best_effort` would add on a worker: the share of full speed
/// at which it would run, less the shares that running tasks would lose. The pacer slows tasks with
/// more interference first.
fn expected_speed(worker: &Worker, interference: &InterferenceTable, best_effort: &str) -> f64 {
    let mut speed: f64 = 1.0;
    for serving in worker.serving_images.keys() {
        let with_serving = interference.with(serving);
        let added = with_serving.added(best_effort);
        let (mut lighter, mut total, mut heaviest) = (0.0, added, added);
        for (image, tasks) in &worker.best_effort_images {
            let other = with_serving.added(image);
            let sum = other * f64::from(*tasks);
            total += sum;
            if other > added {
                heaviest = heaviest.max(other);
            } else {
                lighter += sum;
            }
        }
        let headroom = worker.headroom(serving);
        let own = ((headroom - lighter) / added.max(MIN_INTERFERENCE)).clamp(0.0, 1.0);
        let taken = (total - headroom).clamp(0.0, added);
        let lost = if heaviest > added {
            taken / heaviest
        } else {
            0.0
        };
        speed = speed.min(own - lost);
    }
    speed.max(0.0)
}

/// Returns the rack of a worker, which is the last of its labels; empty if it has none.
pub(super) fn rack(worker: &Worker) -> &str {
    worker.report.labels.last().map_or("", String::as_str)
}
