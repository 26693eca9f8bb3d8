//! What must hold at the end, judged by what really ran.

use crate::records::{
    RunRecords, count_runs_by_body, count_runs_by_key, find_overlaps, find_repeated_runs,
};
use crate::site::Layout;
use crate::table::Checks;
use crate::work::CallOutcome;

use super::urgent::RequestHistory;

/// Checks the callers' stories against the records of the backend servers.
pub(crate) fn check_urgent(checks: &mut Checks, stories: &[RequestHistory], records: &RunRecords) {
    let offend = |judge: &dyn Fn(&RequestHistory, usize) -> bool| -> Vec<String> {
        let runs = stories
            .iter()
            .map(|story| (story, count_runs_by_body(records, &story.body)));
        runs.filter(|(story, runs)| judge(story, *runs))
            .map(|(story, runs)| describe(story, runs))
            .collect()
    };
    let told = |story: &RequestHistory, wanted: CallOutcome| story.told.contains(&wanted);
    checks.at_least("urgent requests sent", 1, stories.len());
    checks.at_least(
        "of them answered whole",
        1,
        stories
            .iter()
            .filter(|s| told(s, CallOutcome::Done))
            .count(),
    );
    checks.at_least(
        "of them that may not be repeated",
        1,
        stories.iter().filter(|s| s.once).count(),
    );
    checks.none(
        "requests that may not be repeated and ran twice",
        &offend(&|s, runs| s.once && runs > 1),
    );
    checks.none(
        "told not run, but ran",
        &offend(&|s, runs| s.once && told(s, CallOutcome::NotRun) && runs > 0),
    );
    checks.none(
        "told done, but never ran",
        &offend(&|s, runs| told(s, CallOutcome::Done) && runs == 0),
    );
    checks.none(
        "told both done and not run",
        &offend(&|s, _| told(s, CallOutcome::Done) && told(s, CallOutcome::NotRun)),
    );
    checks.none(
        "answers that were cut or another's",
        &offend(&|s, _| told(s, CallOutcome::WrongAnswer)),
    );
    checks.none(
        "well-formed requests called malformed",
        &offend(&|s, _| told(s, CallOutcome::Invalid)),
    );
    let twice = count_runs_by_key(records)
        .into_iter()
        .filter(|(_, runs)| *runs > 1);
    checks.none(
        "keys that ran twice",
        &twice.map(|(key, _)| key).collect::<Vec<_>>(),
    );
}

fn describe(story: &RequestHistory, runs: usize) -> String {
    let told: Vec<String> = story.told.iter().map(ToString::to_string).collect();
    format!("{} told {} ran {runs}", story.body, told.join("/"))
}

/// Checks the records of the workers.
pub(crate) fn check_batch(checks: &mut Checks, records: &RunRecords, layout: &Layout) {
    let ran: usize = records.workers.iter().map(|ran| ran.tasks.len()).sum();
    checks.at_least("batch runs started", 1, ran);
    checks.none(
        "tasks that ran in two places at once",
        &find_overlaps(records),
    );
    checks.none("runs that started twice", &find_repeated_runs(records));
    let over = records.workers.iter().filter(|ran| {
        ran.peak_millicores > layout.millicores || ran.peak_memory > layout.memory_mib
    });
    let over = over.map(|ran| format!("{}m {}MiB", ran.peak_millicores, ran.peak_memory));
    checks.none(
        "workers given more than they can carry",
        &over.collect::<Vec<_>>(),
    );
    let slots = records
        .backends
        .iter()
        .filter(|ran| ran.peak_slots > layout.slots);
    checks.none(
        "backend servers with more requests than slots",
        &slots
            .map(|ran| ran.peak_slots.to_string())
            .collect::<Vec<_>>(),
    );
}
