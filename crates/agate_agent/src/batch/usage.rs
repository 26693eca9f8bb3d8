//! Readings of what runs use.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{ClassName, Moment, Resources, RunId};
use tokio::time::{MissedTickBehavior, interval};

use crate::local::{WorkerError, WorkerUsage};
use crate::state::Core;

/// Time between two readings.
const INTERVAL: Duration = Duration::from_secs(1);

/// What a run used at some time.
#[derive(Debug, Clone)]
pub(crate) struct Reading {
    pub(crate) run: RunId,
    pub(crate) class: ClassName,
    pub(crate) used: Resources,
}

/// Takes readings, and stops tasks that were given up, for as long as the agent runs.
pub(crate) async fn keep_reading(core: Arc<Core>) {
    let mut ticks = interval(INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut newest = BTreeMap::new();
    loop {
        ticks.tick().await;
        stop_leftovers(&core).await;
        if core.bound().runs.lock().details.is_empty() {
            newest.clear();
            continue;
        }
        match core.worker.usage().await {
            Ok(readings) => take(&core, &readings, &mut newest),
            Err(error) => log::info!(event = "usage_missing", cause:% = error; ""),
        }
    }
}

/// Takes the readings that are newer than the last ones of their runs.
fn take(core: &Core, readings: &[WorkerUsage], newest: &mut BTreeMap<RunId, u64>) {
    let bound = core.bound();
    let mut runs = bound.runs.lock();
    newest.retain(|run, _| runs.details.contains_key(run));
    for reading in readings {
        let Some(detail) = runs.details.get_mut(&reading.run) else {
            continue;
        };
        let last = newest.insert(reading.run, reading.measured_us);
        if last.is_some_and(|last| last >= reading.measured_us) {
            continue;
        }
        detail.peak = detail.peak.max(reading.used);
        let sample = Reading {
            run: reading.run,
            class: detail.class.clone(),
            used: reading.used,
        };
        let measured = Moment::from_micros(reading.measured_us);
        core.usage.push(measured, sample);
    }
}

async fn stop_leftovers(core: &Core) {
    let bound = core.bound();
    let leftovers = bound.runs.lock().leftovers.clone();
    for run in leftovers {
        match core.worker.stop(run).await {
            Ok(_) | Err(WorkerError::Unknown) => {
                bound.runs.lock().leftovers.remove(&run);
            }
            Err(error) => {
                log::info!(event = "leftover_not_stopped", run:% = run, cause:% = error; "");
            }
        }
    }
}
