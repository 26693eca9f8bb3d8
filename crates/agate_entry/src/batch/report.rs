//! Reports of agents that a run has ended.

use agate_records::RunEnded;
use agate_state::{Effect, State};
use agate_wire::message::{ReportAck, RunReport};

use crate::entry::Entry;

/// Records the end of a run. The agent keeps reporting until the log holds it.
pub(crate) async fn report(entry: &Entry, report: RunReport) -> ReportAck {
    let run = report.run;
    if entry.folded.with(|state| is_over(state, &report)) {
        return ReportAck::Recorded;
    }
    let record = RunEnded {
        run,
        incarnation: report.incarnation,
        end: report.result.into(),
        peak: report.peak,
    };
    match entry.commit().one(record).await {
        Ok(Effect::Applied(_)) => {
            log::info!(event = "run_ended", run:%, incarnation:% = report.incarnation; "");
            ReportAck::Recorded
        }
        Ok(Effect::Duplicate) => ReportAck::Recorded,
        Ok(Effect::Rejected(reason)) => {
            // The fold has read past this record, so its binding is known if there was one.
            log::info!(event = "report_void", run:%, reason:%; "");
            ReportAck::Recorded
        }
        Err(error) => {
            log::warn!(event = "report_not_recorded", run:%, cause:% = error; "");
            ReportAck::Again
        }
    }
}

/// Whether the folded state holds an end of the run. What it doesn't know may just not have been
/// read yet.
fn is_over(state: &State, report: &RunReport) -> bool {
    let run = report.run;
    let Some(task) = state.task(run.task) else {
        return false;
    };
    task.epoch > run.epoch || (task.epoch == run.epoch && task.binding.is_none())
}
