//! Queries on the batch tasks that ran.

use std::collections::BTreeMap;

use agate_core::{JobId, RunId, TaskId};
use standin_worker::{Interval, RanTask, TaskStatus};

use super::RunRecords;

fn tasks(records: &RunRecords) -> impl Iterator<Item = (TaskId, &RanTask)> {
    let recorded = records.workers.iter().flat_map(|record| &record.tasks);
    recorded.filter_map(|task| Some((task.run.parse::<RunId>().ok()?.task, task)))
}

/// Returns the pairs of runs in which one task ran in two places at once.
pub fn find_overlaps(records: &RunRecords) -> Vec<String> {
    let mut by_task: BTreeMap<TaskId, Vec<(Interval, &str)>> = BTreeMap::new();
    for (id, task) in tasks(records) {
        let intervals = task
            .intervals
            .iter()
            .map(|interval| (*interval, task.run.as_str()));
        by_task.entry(id).or_default().extend(intervals);
    }
    by_task
        .values_mut()
        .flat_map(|intervals| overlaps_in(intervals))
        .collect()
}

fn overlaps_in(intervals: &mut [(Interval, &str)]) -> Vec<String> {
    intervals.sort_by_key(|(interval, _)| interval.start_us);
    let pairs = intervals.windows(2);
    let is_overlap =
        |pair: &&[(Interval, &str)]| pair[0].0.end_us.is_none_or(|end| end > pair[1].0.start_us);
    pairs
        .filter(is_overlap)
        .map(|pair| format!("{} and {}", pair[0].1, pair[1].1))
        .collect()
}

fn finished_tasks(records: &RunRecords) -> impl Iterator<Item = TaskId> {
    tasks(records)
        .filter(|(_, task)| task.status == TaskStatus::Finished)
        .map(|(id, _)| id)
}

/// Returns the runs that were started more than once. A task may finish under two runs if the
/// holder of the first died before it could report the end, but a run must never start twice.
pub fn find_repeated_runs(records: &RunRecords) -> Vec<String> {
    let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
    for (_, task) in tasks(records) {
        *counts.entry(task.run.as_str()).or_default() += 1;
    }
    counts
        .into_iter()
        .filter(|(_, count)| *count > 1)
        .map(|(run, _)| run.to_owned())
        .collect()
}

/// Returns the number of finished runs of a job's tasks.
pub fn count_finished_tasks(records: &RunRecords, job: JobId) -> usize {
    finished_tasks(records).filter(|id| id.job == job).count()
}
