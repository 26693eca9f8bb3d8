//! The folded state.

use std::sync::Arc;

use agate_core::{Incarnation, JobId, Offset, Position, RunId, TaskId, Version};
use agate_records::{Body, DecodedBatch, JobSubmitted, Record};
use agate_wire::message::ConfigState;

use crate::config::{Configuration, PresetSwitch, PublishedPreset};
use crate::job::{BoundRun, Job, JobPhase, JobView, Jobs, TaskRange, TaskView};
use crate::lost::LostMembers;
use crate::window::BatchWindow;
use crate::{BatchEffect, Effect, Event, RecordEffect, RejectReason, StateLimits, fold};

/// Everything folded from the main stream up to one position.
#[derive(Debug, Clone)]
pub struct State {
    /// Position of the last folded record.
    pub(crate) last_applied: Position,
    pub(crate) batches: BatchWindow,
    pub(crate) config: Configuration,
    pub(crate) jobs: Jobs,
    pub(crate) lost: LostMembers,
}

impl State {
    /// Returns the state before the first record.
    pub fn new(limits: StateLimits) -> Self {
        Self {
            last_applied: Position::default(),
            batches: BatchWindow::new(limits.batches),
            config: Configuration::new(&limits),
            jobs: Jobs::new(&limits),
            lost: LostMembers::new(limits.lost_members),
        }
    }

    /// Returns the offset of the last folded append.
    pub const fn last_applied(&self) -> Offset {
        self.last_applied.offset
    }

    /// Folds one append. Appends must arrive in offset order; an append that is already folded is
    /// ignored.
    pub fn apply_batch(&mut self, batch: &DecodedBatch) -> BatchEffect {
        if batch.offset <= self.last_applied.offset {
            return BatchEffect::AlreadyFolded;
        }
        let last = batch
            .records
            .last()
            .map_or(0, |placed| placed.position.index);
        self.last_applied = Position::new(batch.offset, last);
        let Some(id) = batch.id else {
            return BatchEffect::Folded(Vec::new());
        };
        if !self.batches.insert(id) {
            return BatchEffect::Duplicate;
        }
        let mut effects = Vec::with_capacity(batch.records.len());
        for placed in &batch.records {
            effects.push(RecordEffect {
                position: placed.position,
                effect: self.apply(placed.position, &placed.record),
            });
        }
        BatchEffect::Folded(effects)
    }

    /// Folds one record at its position in the log.
    pub fn apply(&mut self, position: Position, record: &Record) -> Effect {
        self.last_applied = self.last_applied.max(position);
        let version = Version(position);
        match &record.body {
            Body::PresetPublished(body) => self.config.publish(version, body),
            Body::PresetSwitched(body) => self.config.switch(version, body, record.wall_ms),
            Body::Withdrawn(body) => self.config.withdraw(version, body),
            Body::Resumed(body) => self.config.resume(version, body),
            Body::JobSubmitted(body) => fold::submit(&mut self.jobs, position, body),
            Body::JobCancelled(body) => fold::cancel(&mut self.jobs, *body),
            Body::RunBound(body) if self.lost.position_of(body.incarnation).is_some() => {
                Effect::Rejected(RejectReason::HolderLost)
            }
            Body::RunBound(body) => fold::bind(&mut self.jobs, &self.config, position, *body),
            Body::RunEnded(body) => {
                fold::end(&mut self.jobs, self.config.presets.max_attempts(), body)
            }
            Body::MemberLost(body) => self.lose(position, body.incarnation),
            Body::KeyBound(_) | Body::SnapshotPart(_) => {
                Effect::Rejected(RejectReason::WrongStream)
            }
        }
    }

    fn lose(&mut self, position: Position, incarnation: Incarnation) -> Effect {
        if !self.lost.insert(incarnation, position) {
            return Effect::Duplicate;
        }
        Effect::Applied(vec![Event::MemberLost { incarnation }])
    }

    /// Returns the newest known configuration.
    pub fn config(&self) -> Arc<ConfigState> {
        Arc::clone(self.config.newest())
    }

    /// Adopts a configuration from a peer if it is newer than the known one, and returns whether it
    /// is. The folded configuration does not change: only records from the log do that.
    pub fn adopt(&mut self, config: ConfigState) -> bool {
        self.config.adopt(config)
    }

    /// Returns the published presets in name order.
    pub fn presets(&self) -> impl Iterator<Item = &PublishedPreset> {
        self.config.presets.published()
    }

    /// Returns the most recent preset switches, newest first.
    pub fn switches(&self) -> impl Iterator<Item = &PresetSwitch> {
        self.config.presets.switches().rev()
    }

    /// Returns a job that is open or ended recently.
    pub fn job(&self, job: JobId) -> Option<JobView<'_>> {
        match self.jobs.key(job) {
            Some(key) => Some(self.job_view(self.jobs.job(key))),
            None => self.jobs.ended.get(job).map(|ended| ended.view()),
        }
    }

    /// Returns the open jobs in id order.
    pub fn jobs(&self) -> impl Iterator<Item = JobView<'_>> {
        self.jobs.iter().map(|job| self.job_view(job))
    }

    /// Returns the ids of open jobs after `last`, or of all open jobs if it is `None`, in order.
    pub fn jobs_after(&self, last: Option<JobId>) -> impl Iterator<Item = JobId> {
        self.jobs.after(last)
    }

    /// Returns the number of open jobs.
    pub fn open_jobs(&self) -> usize {
        self.jobs.len()
    }

    /// Returns the submission record of an open job.
    pub fn submission(&self, job: JobId) -> Option<&JobSubmitted> {
        let key = self.jobs.key(job)?;
        Some(&self.jobs.job(key).submitted)
    }

    /// Returns a task if it is open.
    pub fn task(&self, task: TaskId) -> Option<TaskView> {
        self.jobs.task_view(task)
    }

    /// Returns the tasks of an open job that can be bound, ignoring withdrawals. This fills a queue
    /// after recovery; the events of [`State::apply_batch`] keep the queue up to date.
    pub fn runnable_tasks(&self, job: JobId) -> Vec<TaskRange> {
        let Some(key) = self.jobs.key(job) else {
            return Vec::new();
        };
        self.jobs.runnable_tasks(self.jobs.job(key))
    }

    /// Returns the version of a withdrawal that applies to a job.
    pub fn withdrawal_version(&self, job: &JobSubmitted) -> Option<Version> {
        self.config.withdrawals.version_for(job)
    }

    /// Returns the runs bound to an incarnation, in id order.
    pub fn runs_held_by(&self, incarnation: Incarnation) -> Vec<RunId> {
        self.jobs.runs_held_by(incarnation)
    }

    /// Returns the bound runs of a job.
    pub fn bound_runs(&self, job: JobId) -> Vec<BoundRun> {
        let Some(key) = self.jobs.key(job) else {
            return Vec::new();
        };
        let tasks = self.jobs.job(key).started.values();
        let bound = tasks.filter_map(|task| {
            let task = self.jobs.task(*task);
            Some(BoundRun {
                run: task.run(),
                incarnation: task.binding?.incarnation,
            })
        });
        bound.collect()
    }

    /// Returns the incarnations that hold at least one run.
    pub fn holders(&self) -> impl Iterator<Item = Incarnation> {
        self.jobs.holders()
    }

    /// Returns the position of the record that declared an incarnation lost.
    pub fn lost_at(&self, incarnation: Incarnation) -> Option<Position> {
        self.lost.position_of(incarnation)
    }

    /// Returns the lost incarnations that still hold runs. Runs stay bound after the loss until
    /// their ends are recorded, so callers must check this repeatedly and not only at the loss.
    pub fn lost_holders(&self) -> impl Iterator<Item = Incarnation> {
        let holders = self.jobs.holders();
        holders.filter(|holder| self.lost.position_of(*holder).is_some())
    }

    fn job_view<'a>(&'a self, job: &'a Job) -> JobView<'a> {
        JobView {
            job: job.submitted.job,
            caller: &job.submitted.caller,
            class: &job.submitted.class,
            tasks: job.submitted.tasks,
            phase: self.phase(job),
            counts: job.counts,
            running: job.running,
            failures: &job.failures,
            submitted: Some(&job.submitted),
        }
    }

    fn phase(&self, job: &Job) -> JobPhase {
        if job.cancelled {
            return JobPhase::Cancelling;
        }
        match self.withdrawal_version(&job.submitted) {
            Some(_) => JobPhase::Withdrawn,
            None => JobPhase::Open,
        }
    }
}
