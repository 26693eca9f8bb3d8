//! Choice of a worker for one task.

use agate_core::Moment;

use crate::plan::interference::InterferenceTable;
use crate::plan::worker::Worker;
use crate::spec::StepSpec;
use crate::task::TaskKey;

/// Cost of a worker that is not near the data or the rest of the step.
const FAR: f64 = 0.5;

/// Cost of a worker on which the task has failed before.
const FAILED_HERE: f64 = 10.0;

/// Weight, for a task that fills, of the share of its speed that it would lose.
const LOST_SPEED: f64 = 2.0;

/// Share of its speed below which a task that fills waits for a better place, as long as more than
/// half of the service's capacity is in use.
const LEAST_SPEED: f64 = 0.7;

/// Use, in all, that is too little to tell from none.
const LITTLE_USE: f64 = 0.01;

/// Cost, for a serving task, of each other serving image on a worker. Workers of one image leave
/// every filling image some worker on which it disturbs little.
const OTHER_IMAGE: f64 = 1.0;

/// Gain, for a serving task, of a worker that serves its image already.
const SAME_IMAGE: f64 = 0.8;

/// Gain, for a serving task, of each task of its own step on a worker: their loads rise and fall
/// together, so that they leave more to tasks that fill than tasks whose peaks take turns.
const SAME_STEP: f64 = 0.4;

/// Weight, for a serving task, of the use of a worker's processors.
const SERVING_BUSY: f64 = 0.3;

/// Weight, for tasks that don't fill, of the processor share of tasks that do.
const BESIDE_FILLING: f64 = 0.3;

/// Weight of each other task of its step on the worker.
const SIBLING: f64 = 0.05;

/// Weight of the logarithm of a worker's slowness.
const SLOW: f64 = 0.6;

/// What is known of the task to place.
#[derive(Debug, Clone, Copy)]
pub(super) struct Candidate<'a> {
    pub task: TaskKey,
    pub step: &'a StepSpec,
    pub service: &'a str,
    pub failed_on: &'a str,
    /// Rack on which the step has been started; empty if none.
    pub rack: &'a str,
}

/// The best worker with room.
pub(super) fn choose(
    workers: &[Worker],
    interference: &InterferenceTable,
    task: Candidate<'_>,
    now: Moment,
) -> Option<usize> {
    let may_wait = task.step.best_effort && is_half_used(workers, task.service);
    let mut best: Option<(f64, usize)> = None;
    for (slot, worker) in workers.iter().enumerate() {
        if !fits(worker, task, now) {
            continue;
        }
        if may_wait && expected_speed(worker, interference, &task.step.image) < LEAST_SPEED {
            continue;
        }
        let cost = cost(worker, interference, task);
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, slot));
        }
    }
    best.map(|(_, slot)| slot)
}

/// Whether more than half of a service's processors are in use.
fn is_half_used(workers: &[Worker], service: &str) -> bool {
    let own = workers
        .iter()
        .filter(|worker| worker.report.service == service);
    let (used, whole) = own.fold((0, 0), |(used, whole), worker| {
        let busy = u64::from(worker.used.millicores + worker.filled);
        (
            used + busy,
            whole + u64::from(worker.report.capacity.millicores),
        )
    });
    used * 2 > whole
}

/// The worker on which room for a lasting task is to be kept: the one that lacks least.
pub(super) fn keeper(workers: &[Worker], task: Candidate<'_>, now: Moment) -> Option<usize> {
    let allowed = workers
        .iter()
        .enumerate()
        .filter(|(_, worker)| is_allowed(worker, task, now));
    let lacking =
        allowed.filter_map(|(slot, worker)| Some((worker.lacks(task.step.demand)?, slot)));
    lacking.min().map(|(_, slot)| slot)
}

fn fits(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    is_allowed(worker, task, now) && worker.has_room(task.step)
}

/// Whether a task may run on a worker, if there is room.
fn is_allowed(worker: &Worker, task: Candidate<'_>, now: Moment) -> bool {
    let step = task.step;
    worker.report.service == task.service
        && worker.takes_tasks(now)
        && (step.long_running || !worker.health.is_probed())
        && (step.label.is_empty() || worker.report.labels.contains(&step.label))
        && (step.per_worker == 0 || worker.siblings(task.task) < step.per_worker)
}

fn cost(worker: &Worker, interference: &InterferenceTable, task: Candidate<'_>) -> f64 {
    let step = task.step;
    let whole = f64::from(worker.report.capacity.millicores.max(1));
    let busy = f64::from(worker.used.millicores) / whole;
    let filled = f64::from(worker.filled) / whole;
    let mut cost = SLOW * worker.health.slowness;
    if step.target_ms > 0 {
        cost += SERVING_BUSY * busy - SAME_STEP * f64::from(worker.siblings(task.task));
        let others = worker
            .serving_images
            .keys()
            .filter(|image| **image != step.image);
        cost += OTHER_IMAGE * others.count() as f64;
        if worker.serving_images.contains_key(&step.image) {
            cost -= SAME_IMAGE;
        }
    } else if step.best_effort {
        let speed = expected_speed(worker, interference, &step.image);
        cost += busy + filled + LOST_SPEED * (1.0 - speed);
    } else {
        cost += busy + BESIDE_FILLING * filled + SIBLING * f64::from(worker.siblings(task.task));
    }
    if !step.data_rack.is_empty() && !worker.report.labels.contains(&step.data_rack) {
        cost += FAR;
    }
    if step.one_rack && !task.rack.is_empty() && rack(worker) != task.rack {
        cost += FAR;
    }
    if worker.report.incarnation.name == task.failed_on {
        cost += FAILED_HERE;
    }
    cost
}

/// The share of its speed at which a task of `filling` would run on a worker. Tasks that add more
/// use are slowed down first, so that only those that add no more take from the headroom.
fn expected_speed(worker: &Worker, interference: &InterferenceTable, best_effort: &str) -> f64 {
    let mut speed: f64 = 1.0;
    for serving in worker.serving_images.keys() {
        let added = interference.added(serving, best_effort);
        let others = worker.best_effort_images.iter().map(|(image, tasks)| {
            let other = interference.added(serving, image);
            if other > added {
                0.0
            } else {
                other * f64::from(*tasks)
            }
        });
        let left = worker.headroom(serving) - others.sum::<f64>();
        speed = speed.min(left / added.max(LITTLE_USE));
    }
    speed.max(0.0)
}

/// The rack label of a worker: the last of its labels; empty if it has none.
pub(super) fn rack(worker: &Worker) -> &str {
    worker.report.labels.last().map_or("", String::as_str)
}
