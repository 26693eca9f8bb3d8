//! Reports of ended runs.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Resources, RunId};
use agate_wire::message::{ReportAck, RunReport, RunResult};
use agate_wire::rpc::EntryRpcClient;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::state::{Bound, Core, Phase};

/// First delay before a report is repeated; it doubles up to [`MAX_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a report is repeated.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Reports the end of a run until an entry has recorded it, the incarnation is lost, or the agent
/// ends.
pub(crate) async fn until_recorded(core: &Core, bound: &Bound, report: RunReport) {
    let run = report.run;
    let result = name(&report.result);
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    loop {
        if bound.lost.is_cancelled() {
            return;
        }
        let last = core.phase() == Phase::Ending;
        if send(core, &report).await == ReportAck::Recorded {
            log::info!(event = "run_ended", run:% = run, result; "");
            // A run that never started has nothing to acknowledge.
            let _ = bound.runs.lock().table.acknowledge(run);
            return;
        }
        if last {
            log::error!(event = "run_unreported", run:% = run, result; "");
            return;
        }
        tokio::select! {
            () = sleep(backoff.delay()) => {}
            () = core.reached(Phase::Ending) => {}
            () = bound.lost.cancelled() => {}
        }
    }
}

/// Reports that a run never started here and never will.
pub(crate) fn spawn_not_started(core: &Arc<Core>, bound: &Arc<Bound>, run: RunId, reason: &str) {
    let report = RunReport {
        run,
        incarnation: bound.incarnation,
        result: RunResult::NotStarted {
            reason: reason.to_owned(),
        },
        peak: Resources::ZERO,
        ran_ms: 0,
    };
    let (core, bound) = (Arc::clone(core), Arc::clone(bound));
    let tracker = core.work.clone();
    tracker.spawn(async move { until_recorded(&core, &bound, report).await });
}

async fn send(core: &Core, report: &RunReport) -> ReportAck {
    let Some(client) = core.entries.any_client() else {
        return ReportAck::Again;
    };
    client.report(report.clone()).await.unwrap_or_else(|error| {
        log::info!(event = "report_failed", run:% = report.run, cause:% = error; "");
        ReportAck::Again
    })
}

/// Name of a result, for logs and spans.
pub(crate) const fn name(result: &RunResult) -> &'static str {
    match result {
        RunResult::Finished => "finished",
        RunResult::Failed { .. } => "failed",
        RunResult::Evicted { .. } => "evicted",
        RunResult::Stopped => "stopped",
        RunResult::NotStarted { .. } => "not-started",
    }
}
