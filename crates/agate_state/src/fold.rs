//! Folds the records of jobs and runs.

use agate_core::{Position, RunId, TaskId};
use agate_records::{JobCancelled, JobSubmitted, RunBound, RunEnd, RunEnded};

use crate::config::Configuration;
use crate::job::{Job, JobKey, Jobs, RunBinding, Task, TaskKey};
use crate::{Effect, Event, RejectReason, TaskEnd};

pub(crate) fn submit(jobs: &mut Jobs, position: Position, record: &JobSubmitted) -> Effect {
    if jobs.is_known(record.job) {
        return Effect::Duplicate;
    }
    if jobs.early_cancels.contains(record.job) {
        return Effect::Rejected(RejectReason::JobCancelled);
    }
    jobs.insert_job(Job::new(record.clone(), position));
    Effect::Applied(vec![Event::JobOpened {
        job: record.job,
        tasks: record.tasks,
    }])
}

/// Cancels a job. The cancellation of an unknown job changes none, but is kept: its submission may still be
/// on its way to the log.
pub(crate) fn cancel(jobs: &mut Jobs, record: JobCancelled) -> Effect {
    let Some(key) = jobs.key(record.job) else {
        if !jobs.is_known(record.job) {
            jobs.early_cancels.insert(record.job);
        }
        return Effect::Rejected(RejectReason::NoSuchJob);
    };
    if jobs.job(key).cancelled {
        return Effect::Duplicate;
    }
    jobs.cancel(key);
    let mut events = vec![Event::JobCancelled { job: record.job }];
    close_if_done(jobs, key, &mut events);
    Effect::Applied(events)
}

pub(crate) fn bind(
    jobs: &mut Jobs,
    config: &Configuration,
    position: Position,
    record: RunBound,
) -> Effect {
    let key = match check_binding(jobs, config, record) {
        Ok(key) => key,
        Err(reason) => return Effect::Rejected(reason),
    };
    let task = get_or_insert_task(jobs, key, record.run.task);
    jobs.task_mut(task).epoch = record.run.epoch;
    let binding = RunBinding {
        incarnation: record.incarnation,
        demand: record.demand,
        position,
    };
    jobs.set_binding(task, binding);
    Effect::Applied(vec![Event::RunBound {
        run: record.run,
        incarnation: record.incarnation,
        demand: record.demand,
    }])
}

/// Checks that a binding is valid: its task is open, not withdrawn and not bound, and its epoch is
/// the next one. Returns the job of the task.
fn check_binding(
    jobs: &Jobs,
    config: &Configuration,
    record: RunBound,
) -> Result<JobKey, RejectReason> {
    let RunId { task, epoch } = record.run;
    let key = find_open_task(jobs, task)?;
    let job = jobs.job(key);
    if job.cancelled {
        return Err(RejectReason::JobCancelled);
    }
    if let Some(version) = config.withdrawals.version_for(&job.submitted) {
        return Err(RejectReason::Withdrawn { version });
    }
    let started = job.started.get(&task.index).map(|key| jobs.task(*key));
    if let Some(bound) = started
        && let Some(binding) = bound.binding
    {
        return Err(RejectReason::AlreadyBound {
            epoch: bound.epoch,
            incarnation: binding.incarnation,
        });
    }
    let last = started.map_or(0, |task| task.epoch);
    if last.checked_add(1) != Some(epoch) {
        return Err(RejectReason::WrongEpoch { last });
    }
    Ok(key)
}

/// Returns the job of a task that exists and has not ended.
fn find_open_task(jobs: &Jobs, task: TaskId) -> Result<JobKey, RejectReason> {
    let Some(key) = jobs.key(task.job) else {
        return Err(RejectReason::NoSuchJob);
    };
    let job = jobs.job(key);
    if task.index >= job.submitted.tasks {
        return Err(RejectReason::NoSuchTask);
    }
    if job.has_ended(task.index) {
        return Err(RejectReason::TaskEnded);
    }
    Ok(key)
}

fn get_or_insert_task(jobs: &mut Jobs, job: JobKey, task: TaskId) -> TaskKey {
    if let Some(key) = jobs.job(job).started.get(&task.index) {
        return *key;
    }
    jobs.insert_task(Task {
        job,
        id: task,
        epoch: 0,
        attempts: 0,
        checkpoint: None,
        binding: None,
    })
}

pub(crate) fn end(jobs: &mut Jobs, max_attempts: u32, record: &RunEnded) -> Effect {
    let task = record.run.task;
    let key = match find_open_task(jobs, task) {
        Ok(key) => key,
        Err(reason) => return Effect::Rejected(reason),
    };
    let Some(started) = jobs.job(key).started.get(&task.index).copied() else {
        return end_unbound(jobs, key, 0, record);
    };
    let (epoch, binding) = (jobs.task(started).epoch, jobs.task(started).binding);
    let Some(binding) = binding else {
        return end_unbound(jobs, key, epoch, record);
    };
    if record.run.epoch != epoch {
        return Effect::Rejected(RejectReason::WrongEpoch { last: epoch });
    }
    if record.incarnation != binding.incarnation {
        return Effect::Rejected(RejectReason::WrongHolder {
            incarnation: binding.incarnation,
        });
    }
    end_bound(jobs, started, max_attempts, record)
}

/// Ends a task that has no bound run. Only [`RunEnd::Impossible`] is valid for it.
fn end_unbound(jobs: &mut Jobs, job: JobKey, last: u32, record: &RunEnded) -> Effect {
    let RunEnd::Impossible { reason } = &record.end else {
        return Effect::Rejected(RejectReason::NotBound);
    };
    if record.run.epoch != last {
        return Effect::Rejected(RejectReason::WrongEpoch { last });
    }
    let mut events = Vec::new();
    end_task(
        jobs,
        record.run.task,
        TaskEnd::Impossible,
        reason,
        &mut events,
    );
    close_if_done(jobs, job, &mut events);
    Effect::Applied(events)
}

fn end_bound(jobs: &mut Jobs, key: TaskKey, max_attempts: u32, record: &RunEnded) -> Effect {
    jobs.clear_binding(key);
    let mut events = vec![Event::RunEnded {
        run: record.run,
        incarnation: record.incarnation,
    }];
    let task = record.run.task;
    let job = jobs.task(key).job;
    match apply_run_end(jobs, key, max_attempts, &record.end) {
        Some((end, reason)) => end_task(jobs, task, end, reason, &mut events),
        None => events.push(Event::TaskRunnable { task }),
    }
    close_if_done(jobs, job, &mut events);
    Effect::Applied(events)
}

/// Updates a task after the end of its run. Returns how the task ended and why, or `None` if it is
/// runnable again.
fn apply_run_end<'a>(
    jobs: &mut Jobs,
    key: TaskKey,
    max_attempts: u32,
    end: &'a RunEnd,
) -> Option<(TaskEnd, &'a str)> {
    let cancelled = jobs.job(jobs.task(key).job).cancelled;
    let task = jobs.task_mut(key);
    match end {
        RunEnd::Finished => return Some((TaskEnd::Finished, "")),
        RunEnd::Impossible { reason } => return Some((TaskEnd::Impossible, reason)),
        RunEnd::Failed { reason, .. } => {
            task.attempts = task.attempts.saturating_add(1);
            if task.attempts >= max_attempts && !cancelled {
                return Some((TaskEnd::Failed, reason));
            }
        }
        RunEnd::Evicted { checkpoint } if !checkpoint.is_empty() => {
            task.checkpoint = Some(checkpoint.as_str().into());
        }
        RunEnd::Evicted { .. } | RunEnd::Stopped | RunEnd::NotStarted { .. } | RunEnd::Lost => {}
    }
    cancelled.then_some((TaskEnd::Cancelled, ""))
}

fn end_task(jobs: &mut Jobs, task: TaskId, end: TaskEnd, reason: &str, events: &mut Vec<Event>) {
    jobs.record_end(task, end, reason);
    events.push(Event::TaskEnded { task, end });
}

fn close_if_done(jobs: &mut Jobs, key: JobKey, events: &mut Vec<Event>) {
    let job = jobs.job(key);
    if !job.is_done() {
        return;
    }
    let id = job.submitted.job;
    jobs.close(key);
    events.push(Event::JobEnded { job: id });
}
