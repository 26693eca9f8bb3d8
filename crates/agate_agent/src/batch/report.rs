//! Reports of ended runs.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Resources, RunId};
use agate_wire::message::{ReportAck, RunReport, RunResult};
use agate_wire::rpc::EntryRpcClient;
use tokio::time::sleep;

use crate::backoff::Backoff;
use crate::state::{Bindings, Core, Phase};

/// Initial delay before a report is repeated; it doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a report is repeated.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Reports the end of a run until an entry has recorded it, the incarnation is lost or the agent
/// stops.
pub(crate) async fn report_until_recorded(core: &Core, bindings: &Bindings, report: RunReport) {
    let run = report.run;
    let result = result_name(&report.result);
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
    loop {
        if bindings.lost.is_cancelled() {
            return;
        }
        let is_last = core.phase() == Phase::Ending;
        if send(core, &report).await == ReportAck::Recorded {
            log::info!(event = "run_ended", run:% = run, result; "");
            // Fails for a run that never started, which needs no acknowledgement.
            let _ = bindings.runs.lock().table.acknowledge(run);
            return;
        }
        if is_last {
            log::error!(event = "run_unreported", run:% = run, result; "");
            return;
        }
        tokio::select! {
            () = sleep(backoff.next_delay()) => {}
            () = core.wait_for_phase(Phase::Ending) => {}
            () = bindings.lost.cancelled() => {}
        }
    }
}

/// Reports in a separate task that a run did not start and never will.
pub(crate) fn spawn_not_started(
    core: &Arc<Core>,
    bindings: &Arc<Bindings>,
    run: RunId,
    reason: &str,
) {
    let report = RunReport {
        run,
        incarnation: bindings.incarnation,
        result: RunResult::NotStarted {
            reason: reason.to_owned(),
        },
        peak: Resources::ZERO,
        ran_ms: 0,
    };
    let (core, bindings) = (Arc::clone(core), Arc::clone(bindings));
    let tracker = core.tasks.clone();
    tracker.spawn(async move { report_until_recorded(&core, &bindings, report).await });
}

async fn send(core: &Core, report: &RunReport) -> ReportAck {
    let Some(client) = core.entries.random_client() else {
        return ReportAck::Again;
    };
    client.report(report.clone()).await.unwrap_or_else(|error| {
        log::info!(event = "report_failed", run:% = report.run, cause:% = error; "");
        ReportAck::Again
    })
}

/// Returns the name of a result for logs and spans.
pub(crate) const fn result_name(result: &RunResult) -> &'static str {
    match result {
        RunResult::Finished => "finished",
        RunResult::Failed { .. } => "failed",
        RunResult::Evicted { .. } => "evicted",
        RunResult::Stopped => "stopped",
        RunResult::NotStarted { .. } => "not-started",
    }
}
