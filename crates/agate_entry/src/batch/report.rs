//! Agents' reports of ended runs.

use agate_records::RunEnded;
use agate_state::{Effect, State};
use agate_wire::message::{ReportAck, RunReport};

use crate::entry::Entry;

/// Records the end of a run. The agent keeps reporting until the log holds it.
pub(crate) async fn report(entry: &Entry, report: RunReport) -> ReportAck {
    let run = report.run;
    if entry.folded.with(|state| is_ended(state, &report)) {
        return ReportAck::Recorded;
    }
    let record = RunEnded {
        run,
        incarnation: report.incarnation,
        end: report.result.into(),
        peak: report.peak,
    };
    match entry.commit().write_one(record).await {
        Ok(Effect::Applied(_)) => {
            log::info!(event = "run_ended", run:%, incarnation:% = report.incarnation; "");
            ReportAck::Recorded
        }
        Ok(Effect::Duplicate) => ReportAck::Recorded,
        Ok(Effect::Rejected(reason)) => {
            // The fold has passed this record, so it would know the binding if there were one.
            log::info!(event = "report_void", run:%, reason:%; "");
            ReportAck::Recorded
        }
        Err(error) => {
            log::warn!(event = "report_not_recorded", run:%, cause:% = error; "");
            ReportAck::Again
        }
    }
}

/// Returns whether the folded state contains the end of the run. Otherwise it may not have been
/// read yet.
fn is_ended(state: &State, report: &RunReport) -> bool {
    let run = report.run;
    let Some(task) = state.task(run.task) else {
        return false;
    };
    task.epoch > run.epoch || (task.epoch == run.epoch && task.binding.is_none())
}
