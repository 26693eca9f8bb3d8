//! Batch tasks that ran.

use std::collections::BTreeMap;

use agate_core::{JobId, RunId, TaskId};
use standin_worker::{Interval, RanTask, TaskStatus};

use super::RunRecords;

fn tasks(records: &RunRecords) -> impl Iterator<Item = (TaskId, &RanTask)> {
    let ran = records.workers.iter().flat_map(|ran| &ran.tasks);
    ran.filter_map(|task| Some((task.run.parse::<RunId>().ok()?.task, task)))
}

/// Pairs of intervals in which one task ran in two places at once.
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
        .flat_map(|intervals| overlapping(intervals))
        .collect()
}

fn overlapping(intervals: &mut [(Interval, &str)]) -> Vec<String> {
    intervals.sort_by_key(|(interval, _)| interval.start_us);
    let pairs = intervals.windows(2);
    let clash =
        |pair: &&[(Interval, &str)]| pair[0].0.end_us.is_none_or(|end| end > pair[1].0.start_us);
    pairs
        .filter(clash)
        .map(|pair| format!("{} and {}", pair[0].1, pair[1].1))
        .collect()
}

fn finished(records: &RunRecords) -> impl Iterator<Item = TaskId> {
    tasks(records)
        .filter(|(_, task)| task.status == TaskStatus::Finished)
        .map(|(id, _)| id)
}

/// Runs that were started more than once. A task may finish under two runs if the holder of the
/// first died before it could tell anyone; one run never starts twice.
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

/// How many tasks of a job finished.
pub fn count_finished_tasks(records: &RunRecords, job: JobId) -> usize {
    finished(records).filter(|id| id.job == job).count()
}
