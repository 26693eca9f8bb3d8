//! What the records of jobs and runs do.

use agate_core::{Position, RunId, TaskId};
use agate_records::{JobCancelled, JobSubmitted, RunBound, RunEnd, RunEnded};

use crate::config::Configuration;
use crate::job::{Hold, Job, JobKey, Jobs, Task, TaskKey};
use crate::{Effect, Event, TaskEnd, VoidReason};

pub(crate) fn submit(jobs: &mut Jobs, position: Position, record: &JobSubmitted) -> Effect {
    if jobs.is_known(record.job) {
        return Effect::Duplicate;
    }
    jobs.open(Job::new(record.clone(), position));
    Effect::Applied(vec![Event::JobOpened {
        job: record.job,
        tasks: record.tasks,
    }])
}

pub(crate) fn cancel(jobs: &mut Jobs, record: JobCancelled) -> Effect {
    let Some(key) = jobs.key(record.job) else {
        return Effect::Void(VoidReason::NoSuchJob);
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
    let key = match bindable(jobs, config, record) {
        Ok(key) => key,
        Err(reason) => return Effect::Void(reason),
    };
    let task = task_to_bind(jobs, key, record.run.task);
    jobs.task_mut(task).epoch = record.run.epoch;
    let hold = Hold {
        incarnation: record.incarnation,
        demand: record.demand,
        place: position,
    };
    jobs.hold(task, hold);
    Effect::Applied(vec![Event::RunBound {
        run: record.run,
        incarnation: record.incarnation,
        demand: record.demand,
    }])
}

/// Checks that a binding counts: its task is open, not withdrawn, not bound, and the epoch is the
/// next one.
fn bindable(jobs: &Jobs, config: &Configuration, record: RunBound) -> Result<JobKey, VoidReason> {
    let RunId { task, epoch } = record.run;
    let key = open_task(jobs, task)?;
    let job = jobs.job(key);
    if job.cancelled {
        return Err(VoidReason::JobCancelled);
    }
    if let Some(version) = config.withdrawals.applying_to(&job.submitted) {
        return Err(VoidReason::Withdrawn { version });
    }
    let touched = job.touched.get(&task.index).map(|key| jobs.task(*key));
    if let Some(bound) = touched
        && let Some(hold) = bound.hold
    {
        return Err(VoidReason::AlreadyBound {
            epoch: bound.epoch,
            incarnation: hold.incarnation,
        });
    }
    let last = touched.map_or(0, |task| task.epoch);
    if last.checked_add(1) != Some(epoch) {
        return Err(VoidReason::WrongEpoch { last });
    }
    Ok(key)
}

/// The job of a task that exists and has not ended.
fn open_task(jobs: &Jobs, task: TaskId) -> Result<JobKey, VoidReason> {
    let Some(key) = jobs.key(task.job) else {
        return Err(VoidReason::NoSuchJob);
    };
    let job = jobs.job(key);
    if task.index >= job.submitted.tasks {
        return Err(VoidReason::NoSuchTask);
    }
    if job.has_ended(task.index) {
        return Err(VoidReason::TaskEnded);
    }
    Ok(key)
}

fn task_to_bind(jobs: &mut Jobs, job: JobKey, task: TaskId) -> TaskKey {
    if let Some(key) = jobs.job(job).touched.get(&task.index) {
        return *key;
    }
    jobs.touch(Task {
        job,
        id: task,
        epoch: 0,
        attempts: 0,
        checkpoint: None,
        hold: None,
    })
}

pub(crate) fn end(jobs: &mut Jobs, attempts: u32, record: &RunEnded) -> Effect {
    let task = record.run.task;
    let key = match open_task(jobs, task) {
        Ok(key) => key,
        Err(reason) => return Effect::Void(reason),
    };
    let Some(touched) = jobs.job(key).touched.get(&task.index).copied() else {
        return end_unbound(jobs, key, 0, record);
    };
    let (epoch, hold) = (jobs.task(touched).epoch, jobs.task(touched).hold);
    let Some(hold) = hold else {
        return end_unbound(jobs, key, epoch, record);
    };
    if record.run.epoch != epoch {
        return Effect::Void(VoidReason::WrongEpoch { last: epoch });
    }
    if record.incarnation != hold.incarnation {
        return Effect::Void(VoidReason::WrongHolder {
            incarnation: hold.incarnation,
        });
    }
    end_bound(jobs, touched, attempts, record)
}

/// Ends a task that has no bound run. Only a verdict that it can never run counts.
fn end_unbound(jobs: &mut Jobs, job: JobKey, last: u32, record: &RunEnded) -> Effect {
    let RunEnd::Impossible { reason } = &record.end else {
        return Effect::Void(VoidReason::NotBound);
    };
    if record.run.epoch != last {
        return Effect::Void(VoidReason::WrongEpoch { last });
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

fn end_bound(jobs: &mut Jobs, key: TaskKey, attempts: u32, record: &RunEnded) -> Effect {
    jobs.release(key);
    let mut events = vec![Event::RunEnded {
        run: record.run,
        incarnation: record.incarnation,
    }];
    let task = record.run.task;
    let job = jobs.task(key).job;
    match task_end(jobs, key, attempts, &record.end) {
        Some((end, reason)) => end_task(jobs, task, end, reason, &mut events),
        None => events.push(Event::TaskRunnable { task }),
    }
    close_if_done(jobs, job, &mut events);
    Effect::Applied(events)
}

/// How the end of its run ends the task, with the reason; `None` if the task is runnable again.
fn task_end<'a>(
    jobs: &mut Jobs,
    key: TaskKey,
    attempts: u32,
    end: &'a RunEnd,
) -> Option<(TaskEnd, &'a str)> {
    let cancelled = jobs.job(jobs.task(key).job).cancelled;
    let task = jobs.task_mut(key);
    match end {
        RunEnd::Finished => return Some((TaskEnd::Finished, "")),
        RunEnd::Impossible { reason } => return Some((TaskEnd::Impossible, reason)),
        RunEnd::Failed { reason, .. } => {
            task.attempts = task.attempts.saturating_add(1);
            if task.attempts >= attempts && !cancelled {
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
    jobs.end(task, end, reason);
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
