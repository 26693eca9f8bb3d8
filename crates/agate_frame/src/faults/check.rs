//! Checks of the invariants against the records of what ran.

use crate::records::{
    RunRecords, count_runs_by_body, count_runs_by_key, find_overlaps, find_repeated_runs,
};
use crate::site::Layout;
use crate::table::Checks;
use crate::work::CallOutcome;

use super::urgent::RequestHistory;

/// Checks the outcomes that callers saw against the records of the backend servers.
pub(crate) fn check_urgent(
    checks: &mut Checks,
    histories: &[RequestHistory],
    records: &RunRecords,
) {
    let violations = |violates: &dyn Fn(&RequestHistory, usize) -> bool| -> Vec<String> {
        let runs = histories
            .iter()
            .map(|history| (history, count_runs_by_body(records, &history.body)));
        runs.filter(|(history, runs)| violates(history, *runs))
            .map(|(history, runs)| describe(history, runs))
            .collect()
    };
    let has_outcome =
        |history: &RequestHistory, wanted: CallOutcome| history.outcomes.contains(&wanted);
    checks.at_least("urgent requests sent", 1, histories.len());
    checks.at_least(
        "of them answered whole",
        1,
        histories
            .iter()
            .filter(|s| has_outcome(s, CallOutcome::Done))
            .count(),
    );
    checks.at_least(
        "of them that may not be repeated",
        1,
        histories.iter().filter(|s| s.at_most_once).count(),
    );
    checks.none(
        "requests that may not be repeated and ran twice",
        &violations(&|s, runs| s.at_most_once && runs > 1),
    );
    checks.none(
        "told not run, but ran",
        &violations(&|s, runs| s.at_most_once && has_outcome(s, CallOutcome::NotRun) && runs > 0),
    );
    checks.none(
        "told done, but never ran",
        &violations(&|s, runs| has_outcome(s, CallOutcome::Done) && runs == 0),
    );
    checks.none(
        "told both done and not run",
        &violations(&|s, _| {
            has_outcome(s, CallOutcome::Done) && has_outcome(s, CallOutcome::NotRun)
        }),
    );
    checks.none(
        "answers that were cut or another's",
        &violations(&|s, _| has_outcome(s, CallOutcome::WrongAnswer)),
    );
    checks.none(
        "well-formed requests called malformed",
        &violations(&|s, _| has_outcome(s, CallOutcome::Invalid)),
    );
    let twice = count_runs_by_key(records)
        .into_iter()
        .filter(|(_, runs)| *runs > 1);
    checks.none(
        "keys that ran twice",
        &twice.map(|(key, _)| key).collect::<Vec<_>>(),
    );
}

fn describe(history: &RequestHistory, runs: usize) -> String {
    let outcomes: Vec<String> = history.outcomes.iter().map(ToString::to_string).collect();
    format!("{} told {} ran {runs}", history.body, outcomes.join("/"))
}

/// Checks the records of the workers, and the load limits of workers and backend servers.
pub(crate) fn check_batch(checks: &mut Checks, records: &RunRecords, layout: &Layout) {
    let ran: usize = records
        .workers
        .iter()
        .map(|record| record.tasks.len())
        .sum();
    checks.at_least("batch runs started", 1, ran);
    checks.none(
        "tasks that ran in two places at once",
        &find_overlaps(records),
    );
    checks.none("runs that started twice", &find_repeated_runs(records));
    let overcommitted = records.workers.iter().filter(|record| {
        record.peak_millicores > layout.millicores || record.peak_memory > layout.memory_mib
    });
    let overcommitted = overcommitted
        .map(|record| format!("{}m {}MiB", record.peak_millicores, record.peak_memory));
    checks.none(
        "workers given more than they can carry",
        &overcommitted.collect::<Vec<_>>(),
    );
    let slots = records
        .backends
        .iter()
        .filter(|record| record.peak_slots > layout.slots);
    checks.none(
        "backend servers with more requests than slots",
        &slots
            .map(|record| record.peak_slots.to_string())
            .collect::<Vec<_>>(),
    );
}
