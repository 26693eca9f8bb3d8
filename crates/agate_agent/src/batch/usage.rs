//! Polls the resource usage of runs.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{ClassName, Moment, Resources, RunId};
use tokio::time::{MissedTickBehavior, interval};

use crate::local::{WorkerError, WorkerUsage};
use crate::state::Core;

/// Interval between polls.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Resource usage of a run at one moment.
#[derive(Debug, Clone)]
pub(crate) struct UsageReading {
    pub(crate) run: RunId,
    pub(crate) class: ClassName,
    pub(crate) used: Resources,
}

/// Polls the worker's usage and stops abandoned runs in a loop.
pub(crate) async fn poll_usage(core: Arc<Core>) {
    let mut ticks = interval(POLL_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    let mut latest_us = BTreeMap::new();
    loop {
        ticks.tick().await;
        stop_abandoned(&core).await;
        if core.bindings().runs.lock().details.is_empty() {
            latest_us.clear();
            continue;
        }
        match core.worker.usage().await {
            Ok(readings) => record_readings(&core, &readings, &mut latest_us),
            Err(error) => log::info!(event = "usage_missing", cause:% = error; ""),
        }
    }
}

/// Records the readings that are newer than the previous ones of their runs.
fn record_readings(core: &Core, readings: &[WorkerUsage], latest_us: &mut BTreeMap<RunId, u64>) {
    let bindings = core.bindings();
    let mut runs = bindings.runs.lock();
    latest_us.retain(|run, _| runs.details.contains_key(run));
    for reading in readings {
        let Some(detail) = runs.details.get_mut(&reading.run) else {
            continue;
        };
        let last = latest_us.insert(reading.run, reading.measured_us);
        if last.is_some_and(|last| last >= reading.measured_us) {
            continue;
        }
        detail.peak = detail.peak.max(reading.used);
        let sample = UsageReading {
            run: reading.run,
            class: detail.class.clone(),
            used: reading.used,
        };
        let measured_at = Moment::from_micros(reading.measured_us);
        core.usage_samples.push(measured_at, sample);
    }
}

async fn stop_abandoned(core: &Core) {
    let bindings = core.bindings();
    let abandoned = bindings.runs.lock().abandoned.clone();
    for run in abandoned {
        match core.worker.stop(run).await {
            Ok(_) | Err(WorkerError::Unknown) => {
                bindings.runs.lock().abandoned.remove(&run);
            }
            Err(error) => {
                log::info!(event = "leftover_not_stopped", run:% = run, cause:% = error; "");
            }
        }
    }
}
