//! Recently ended jobs.

use std::collections::{BTreeMap, VecDeque};

use agate_core::{CallerName, ClassName, JobId};

use super::{Job, JobPhase, JobView, TaskCounts, TaskFailure};

/// Summary of an ended job.
#[derive(Debug, Clone)]
pub(crate) struct EndedJob {
    pub(crate) job: JobId,
    pub(crate) caller: CallerName,
    pub(crate) class: ClassName,
    pub(crate) tasks: u32,
    pub(crate) cancelled: bool,
    pub(crate) counts: TaskCounts,
    pub(crate) failures: Vec<TaskFailure>,
}

impl From<Job> for EndedJob {
    fn from(job: Job) -> Self {
        Self {
            job: job.submitted.job,
            caller: job.submitted.caller,
            class: job.submitted.class,
            tasks: job.submitted.tasks,
            cancelled: job.cancelled,
            counts: job.counts,
            failures: job.failures,
        }
    }
}

impl EndedJob {
    pub(crate) fn view(&self) -> JobView<'_> {
        JobView {
            job: self.job,
            caller: &self.caller,
            class: &self.class,
            tasks: self.tasks,
            phase: self.phase(),
            counts: self.counts,
            running: 0,
            failures: &self.failures,
            submitted: None,
        }
    }

    const fn phase(&self) -> JobPhase {
        if self.counts.finished == self.tasks {
            return JobPhase::Finished;
        }
        if self.cancelled {
            return JobPhase::Cancelled;
        }
        JobPhase::Failed
    }
}

/// A bounded set of ended jobs. The oldest job is evicted first.
#[derive(Debug, Clone)]
pub(crate) struct EndedJobs {
    limit: usize,
    order: VecDeque<JobId>,
    jobs: BTreeMap<JobId, EndedJob>,
}

impl EndedJobs {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            order: VecDeque::new(),
            jobs: BTreeMap::new(),
        }
    }

    pub(crate) fn insert(&mut self, job: EndedJob) {
        self.order.push_back(job.job);
        self.jobs.insert(job.job, job);
        if self.order.len() > self.limit
            && let Some(oldest) = self.order.pop_front()
        {
            self.jobs.remove(&oldest);
        }
    }

    pub(crate) fn get(&self, job: JobId) -> Option<&EndedJob> {
        self.jobs.get(&job)
    }

    /// Returns the jobs in the order in which they ended.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EndedJob> {
        self.order.iter().filter_map(|job| self.jobs.get(job))
    }
}
