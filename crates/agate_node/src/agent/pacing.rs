//! Sets the pace of best-effort tasks.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::pace::{
    BestEffortTask, FULL_SPEED_PERCENT, GiveBack, Headroom, Interference, Pacer, ServingTask,
    StopCost,
};
use agate_jobs::{Order, OrderKind, TaskKey, WorkerIncarnation};
use tokio::time::Instant;

use super::client::{LeaseReply, ListedRun, StartOrder};
use super::ends;
use super::managed::ManagedWorker;
use super::run::{Phase, Run};
use crate::clock;
use crate::metrics::Event;

/// Minimum time between changes of a task's pace. A change takes 0.1 s and then up to the worker's
/// next interval of 0.25 s to take effect, and a second one before that would postpone the first.
const MIN_CHANGE_INTERVAL: Duration = Duration::from_millis(360);

/// Time after which unchanged figures count as a new sample; workers refresh them every 0.25 s.
const SAMPLE_PERIOD: Duration = Duration::from_millis(230);

/// Smallest change of the pace, in percentage points. Changes to zero or full speed are always made.
const MIN_CHANGE_PERCENT: u32 = 8;

/// Progress in percent of a task without checkpoints that counts as little.
const MAX_LOST_PERCENT: u32 = 8;

/// What was learned about a worker's tasks, and the paces in effect.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    pacer: Pacer,
    give_back: GiveBack,
    applied: HashMap<(TaskKey, u32), AppliedPace>,
    serving: Vec<ServingTask>,
    best_effort: Vec<BestEffortTask>,
    sampled_at: Option<Instant>,
}

/// The pace that was set for a run.
#[derive(Debug, Clone, Copy)]
struct AppliedPace {
    percent: u32,
    at: Instant,
}

/// A change of pace to be made.
struct PaceChange {
    task: TaskKey,
    run: u32,
    percent: u32,
}

impl Pacing {
    /// Returns the use that the serving tasks leave to best-effort tasks, by image.
    pub fn headroom(&self) -> Vec<Headroom> {
        self.pacer.headroom(&self.serving)
    }

    pub fn interference(&self) -> Vec<Interference> {
        self.pacer.interference()
    }

    /// Imports what the scheduler knows about the interference of an ordered task.
    pub fn import(&mut self, order: &Order) {
        if let OrderKind::Start { interference, .. } = &order.kind {
            self.pacer.import(interference);
        }
    }

    /// Learns from a list and returns the changes of pace to be made.
    fn update(
        &mut self,
        orders: &HashMap<TaskKey, Order>,
        running: &[ListedRun],
    ) -> Vec<PaceChange> {
        let (serving, best_effort, runs) = classify(orders, running);
        self.applied.retain(|run, _| runs.contains(run));
        self.give_back.retain(|run| runs.contains(run));
        let early = |at: Instant| at.elapsed() < SAMPLE_PERIOD;
        if serving != self.serving || !self.sampled_at.is_some_and(early) {
            self.sampled_at = Some(Instant::now());
            log::debug!(
                event = "figures", serving:? = serving, filling:? = best_effort,
                set:? = self.applied; "figures of the last half second"
            );
            self.pacer.observe(&serving, &best_effort, clock::now());
            self.serving.clone_from(&serving);
        }
        let plan = self.pacer.plan(&serving, &best_effort, clock::now());
        self.best_effort = best_effort;
        let wanted = runs.into_iter().zip(plan);
        wanted
            .filter(|(run, percent)| self.is_change(*run, *percent))
            .map(|((task, run), percent)| PaceChange { task, run, percent })
            .collect()
    }

    /// Returns the pace for a task that has just started at full speed; `None` if it may keep full
    /// speed. Until the next list the task counts as a best-effort task with a full share.
    fn pace_started(&mut self, task: TaskKey, image: &str) -> Option<u32> {
        self.best_effort.push(BestEffortTask {
            task,
            image: image.to_owned(),
            share: 1.0,
        });
        let plan = self
            .pacer
            .plan(&self.serving, &self.best_effort, clock::now());
        plan.last()
            .copied()
            .filter(|percent| *percent < FULL_SPEED_PERCENT)
    }

    fn record_pace(&mut self, task: TaskKey, run: u32, percent: u32) {
        let at = Instant::now();
        self.applied
            .insert((task, run), AppliedPace { percent, at });
        self.give_back
            .record_pace((task, run), percent, clock::now());
    }

    /// Returns the run that is to be stopped, to continue elsewhere.
    fn choose_stuck(
        &mut self,
        orders: &HashMap<TaskKey, Order>,
        running: &[ListedRun],
        runs: &HashMap<TaskKey, Run>,
    ) -> Option<(TaskKey, u32)> {
        let cost = |(task, run): &(TaskKey, u32)| {
            let mut rows = running.iter();
            let row = rows.find(|row| row.task == *task && row.run == *run);
            let order = orders.get(task).map(|order| &order.kind);
            let saves_progress = matches!(
                order,
                Some(OrderKind::Start {
                    checkpoints: true,
                    ..
                })
            );
            if saves_progress || row?.percent <= MAX_LOST_PERCENT {
                return row.map(|_| StopCost::Little);
            }
            let ran_for = runs.get(task)?.since.elapsed();
            Some(StopCost::Everything(ran_for))
        };
        self.give_back.choose(cost, clock::now())
    }

    fn is_change(&self, run: (TaskKey, u32), percent: u32) -> bool {
        let known = self.applied.get(&run);
        if known.is_some_and(|applied| applied.at.elapsed() < MIN_CHANGE_INTERVAL) {
            return false;
        }
        let applied = known.map_or(FULL_SPEED_PERCENT, |applied| applied.percent);
        let limit = percent == 0 || percent == FULL_SPEED_PERCENT;
        applied.abs_diff(percent) >= MIN_CHANGE_PERCENT || (limit && applied != percent)
    }
}

/// Returns the serving tasks, the best-effort tasks, and the runs of the latter in the same order.
fn classify(
    orders: &HashMap<TaskKey, Order>,
    running: &[ListedRun],
) -> (Vec<ServingTask>, Vec<BestEffortTask>, Vec<(TaskKey, u32)>) {
    let (mut serving_tasks, mut best_effort_tasks, mut runs) = (Vec::new(), Vec::new(), Vec::new());
    for row in running {
        let Some(OrderKind::Start {
            best_effort,
            target_ms,
            image,
            demand,
            ..
        }) = orders.get(&row.task).map(|order| &order.kind)
        else {
            continue;
        };
        if *best_effort {
            let whole = f64::from(demand.millicores.max(1));
            best_effort_tasks.push(BestEffortTask {
                task: row.task,
                image: image.clone(),
                share: (row.gauge as f64 / whole).min(1.0),
            });
            runs.push((row.task, row.run));
        } else if *target_ms > 0 {
            serving_tasks.push(ServingTask {
                task: row.task,
                image: image.clone(),
                target_ms: *target_ms as f64,
                tail_ms: row.gauge as f64,
            });
        }
    }
    (serving_tasks, best_effort_tasks, runs)
}

/// Slows down best-effort tasks beside which others would miss their latency target, and speeds
/// them up again.
pub(super) async fn adjust(worker: &Arc<ManagedWorker>, reply: &LeaseReply) {
    let (incarnation, changes) = {
        let mut state = worker.state();
        let state = &mut *state;
        let changes = state.pacing.update(&state.orders, &reply.running);
        let stuck = state
            .pacing
            .choose_stuck(&state.orders, &reply.running, &state.runs);
        if let Some((task, run)) = stuck {
            stop_stuck(worker, &mut state.runs, task, run);
        }
        (state.incarnation.clone(), changes)
    };
    for change in changes {
        set_pace(worker, &incarnation, change).await;
    }
}

/// Slows down a best-effort task right after its start if it could push others over their latency
/// target before the next list is read.
pub(super) async fn adjust_started(worker: &ManagedWorker, order: &StartOrder) {
    let (incarnation, percent) = {
        let mut state = worker.state();
        let state = &mut *state;
        let kind = state.orders.get(&order.task).map(|order| &order.kind);
        let Some(OrderKind::Start {
            best_effort: true,
            image,
            ..
        }) = kind
        else {
            return;
        };
        let Some(percent) = state.pacing.pace_started(order.task, image) else {
            return;
        };
        (state.incarnation.clone(), percent)
    };
    let change = PaceChange {
        task: order.task,
        run: order.run,
        percent,
    };
    set_pace(worker, &incarnation, change).await;
}

async fn set_pace(worker: &ManagedWorker, incarnation: &WorkerIncarnation, change: PaceChange) {
    let PaceChange { task, run, percent } = change;
    match worker
        .client
        .set_pace(incarnation, task, run, percent)
        .await
    {
        Ok(()) => {
            worker.context.metrics.count(Event::PaceChanged);
            log::info!(
                event = "pace_set", task:% = task, run = run, worker:% = incarnation,
                percent = percent; ""
            );
            worker.state().pacing.record_pace(task, run, percent);
        }
        Err(error) => {
            log::warn!(event = "pace_failed", task:% = task, run = run, cause:% = error; "");
        }
    }
}

/// Stops a run. Its end is recorded with the checkpoint once the worker lists it.
fn stop_stuck(
    worker: &Arc<ManagedWorker>,
    runs: &mut HashMap<TaskKey, Run>,
    task: TaskKey,
    number: u32,
) {
    let Some(run) = runs.get_mut(&task).filter(|run| run.number == number) else {
        return;
    };
    if !matches!(run.phase, Phase::Started(_)) {
        return;
    }
    run.phase = Phase::Stopping;
    log::info!(
        event = "run_given_back", task:% = task, run = number;
        "it slows the tasks beside it and makes little progress"
    );
    ends::stop_in_background(worker, task, number);
}
