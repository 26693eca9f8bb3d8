//! Setting the pace of tasks that fill.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::pace::{FULL, Filling, Headroom, Pacer, Pressure, Serving};
use agate_jobs::{Order, OrderKind, TaskKey, WorkerLife};
use tokio::time::Instant;

use super::ends;
use super::held::{Held, Phase, Run};
use super::port::{LeaseReply, ListedRun, StartOrder};
use crate::clock;
use crate::metrics::Event;

/// Time between two changes of the pace of one task: a change needs 0.1 s and the worker's next
/// quarter of a second to take effect, and one that follows earlier puts the first one off.
const CHANGE_PERIOD: Duration = Duration::from_millis(360);

/// Time after which figures that have not changed count as new ones; workers renew them every
/// quarter of a second.
const LEARN_PERIOD: Duration = Duration::from_millis(230);

/// Change of the pace, in percentage points, below which none is made.
const LEAST_CHANGE: u32 = 8;

/// Pace at which a task hardly works, in percent.
const SLOW: u32 = 40;

/// Time after which a task that hardly works is given back, to go on elsewhere.
const STUCK_TIME: Duration = Duration::from_millis(600);

/// Progress, in percent, that a task without checkpoints may lose.
const LITTLE_WORK: u32 = 8;

/// What is learned of a worker's tasks, and the pace that was set.
#[derive(Debug, Default)]
pub(super) struct Pacing {
    pacer: Pacer,
    set: HashMap<(TaskKey, u32), Set>,
    serving: Vec<Serving>,
    filling: Vec<Filling>,
    learned: Option<Instant>,
}

/// A pace that was set.
#[derive(Debug, Clone, Copy)]
struct Set {
    percent: u32,
    at: Instant,
    /// Since when the task has hardly worked.
    slow_since: Option<Instant>,
}

/// A pace to set.
struct Change {
    task: TaskKey,
    run: u32,
    percent: u32,
}

impl Pacing {
    /// The use that the serving tasks leave to tasks that fill, by image.
    pub fn headroom(&self) -> Vec<Headroom> {
        self.pacer.headroom(&self.serving)
    }

    pub fn pressures(&self) -> Vec<Pressure> {
        self.pacer.pressures()
    }

    /// Takes over what the scheduling entry knows of an ordered task.
    pub fn adopt(&mut self, order: &Order) {
        if let OrderKind::Start { pressures, .. } = &order.kind {
            self.pacer.adopt(pressures);
        }
    }

    /// Learns from the list and returns the changes that it asks for.
    fn take(&mut self, orders: &HashMap<TaskKey, Order>, running: &[ListedRun]) -> Vec<Change> {
        let (serving, filling, runs) = sort(orders, running);
        self.set.retain(|run, _| runs.contains(run));
        let early = |at: Instant| at.elapsed() < LEARN_PERIOD;
        if serving != self.serving || !self.learned.is_some_and(early) {
            self.learned = Some(Instant::now());
            log::debug!(
                event = "figures", serving:? = serving, filling:? = filling, set:? = self.set;
                "what the worker gives for the last half second"
            );
            self.pacer.observe(&serving, &filling, clock::now());
            self.serving.clone_from(&serving);
        }
        let plan = self.pacer.plan(&serving, &filling, clock::now());
        self.filling = filling;
        let wanted = runs.into_iter().zip(plan);
        wanted
            .filter(|(run, percent)| self.is_change(*run, *percent))
            .map(|((task, run), percent)| Change { task, run, percent })
            .collect()
    }

    /// The pace of a task that has just been started at full speed, if it is to be slower. Until
    /// the next list it counts among the tasks that fill.
    fn take_started(&mut self, task: TaskKey, image: &str) -> Option<u32> {
        self.filling.push(Filling {
            task,
            image: image.to_owned(),
            share: 1.0,
        });
        let plan = self.pacer.plan(&self.serving, &self.filling, clock::now());
        plan.last().copied().filter(|percent| *percent < FULL)
    }

    fn note(&mut self, task: TaskKey, run: u32, percent: u32) {
        let at = Instant::now();
        let set = self.set.entry((task, run)).or_insert(Set {
            percent,
            at,
            slow_since: None,
        });
        set.percent = percent;
        set.at = at;
        set.slow_since = if percent > SLOW {
            None
        } else {
            set.slow_since.or_else(|| Some(Instant::now()))
        };
    }

    /// Runs that have hardly worked for long and lose little when they go on elsewhere.
    fn stuck(
        &self,
        orders: &HashMap<TaskKey, Order>,
        running: &[ListedRun],
    ) -> Vec<(TaskKey, u32)> {
        let stuck = running.iter().filter(|row| {
            let set = self.set.get(&(row.task, row.run));
            let slow = set.and_then(|set| set.slow_since);
            let long = slow.is_some_and(|since| since.elapsed() >= STUCK_TIME);
            let order = orders.get(&row.task).map(|order| &order.kind);
            let saves = matches!(
                order,
                Some(OrderKind::Start {
                    checkpoints: true,
                    ..
                })
            );
            long && (saves || row.percent <= LITTLE_WORK)
        });
        stuck.map(|row| (row.task, row.run)).collect()
    }

    fn is_change(&self, run: (TaskKey, u32), percent: u32) -> bool {
        let known = self.set.get(&run);
        if known.is_some_and(|set| set.at.elapsed() < CHANGE_PERIOD) {
            return false;
        }
        let set = known.map_or(FULL, |set| set.percent);
        let limit = percent == 0 || percent == FULL;
        set.abs_diff(percent) >= LEAST_CHANGE || (limit && set != percent)
    }
}

/// Serving tasks, filling tasks, and the runs of the latter in the same order.
fn sort(
    orders: &HashMap<TaskKey, Order>,
    running: &[ListedRun],
) -> (Vec<Serving>, Vec<Filling>, Vec<(TaskKey, u32)>) {
    let (mut serving, mut filling, mut runs) = (Vec::new(), Vec::new(), Vec::new());
    for row in running {
        let Some(OrderKind::Start {
            fills,
            target_ms,
            image,
            demand,
            ..
        }) = orders.get(&row.task).map(|order| &order.kind)
        else {
            continue;
        };
        if *fills {
            let whole = f64::from(demand.millicores.max(1));
            filling.push(Filling {
                task: row.task,
                image: image.clone(),
                share: (row.gauge as f64 / whole).min(1.0),
            });
            runs.push((row.task, row.run));
        } else if *target_ms > 0 {
            serving.push(Serving {
                task: row.task,
                image: image.clone(),
                target_ms: *target_ms as f64,
                tail_ms: row.gauge as f64,
            });
        }
    }
    (serving, filling, runs)
}

/// Slows tasks that fill where tasks beside them would miss their latency target, and speeds them
/// up again.
pub(super) async fn adjust(held: &Arc<Held>, reply: &LeaseReply) {
    let (life, changes) = {
        let mut state = held.state();
        let state = &mut *state;
        let changes = state.pacing.take(&state.orders, &reply.running);
        for (task, run) in state.pacing.stuck(&state.orders, &reply.running) {
            give_back(held, &mut state.runs, task, run);
        }
        (state.life.clone(), changes)
    };
    for change in changes {
        set(held, &life, change).await;
    }
}

/// Slows a task that fills right after its start, if it could push tasks beside it over their
/// target before the next list is read.
pub(super) async fn adjust_started(held: &Held, order: &StartOrder) {
    let (life, percent) = {
        let mut state = held.state();
        let state = &mut *state;
        let kind = state.orders.get(&order.task).map(|order| &order.kind);
        let Some(OrderKind::Start {
            fills: true, image, ..
        }) = kind
        else {
            return;
        };
        let Some(percent) = state.pacing.take_started(order.task, image) else {
            return;
        };
        (state.life.clone(), percent)
    };
    let change = Change {
        task: order.task,
        run: order.run,
        percent,
    };
    set(held, &life, change).await;
}

async fn set(held: &Held, life: &WorkerLife, change: Change) {
    let Change { task, run, percent } = change;
    match held.port.set_pace(life, task, run, percent).await {
        Ok(()) => {
            held.context.metrics.count(Event::PaceChanged);
            log::info!(
                event = "pace_set", task:% = task, run = run, worker:% = life,
                percent = percent; ""
            );
            held.state().pacing.note(task, run, percent);
        }
        Err(error) => {
            log::warn!(event = "pace_failed", task:% = task, run = run, cause:% = error; "");
        }
    }
}

/// Stops a run; its end, with the checkpoint, is recorded once the worker lists it.
fn give_back(held: &Arc<Held>, runs: &mut HashMap<TaskKey, Run>, task: TaskKey, number: u32) {
    let Some(run) = runs.get_mut(&task).filter(|run| run.number == number) else {
        return;
    };
    if !matches!(run.phase, Phase::Started(_)) {
        return;
    }
    run.phase = Phase::Stopping;
    log::info!(
        event = "run_given_back", task:% = task, run = number;
        "it disturbs tasks beside it and hardly works"
    );
    ends::stop_in_background(held, task, number);
}
