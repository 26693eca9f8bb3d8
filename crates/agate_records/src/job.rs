//! Records of batch jobs.

use agate_core::{CallerName, ClassName, Findings, JobId, Resources, Tag, TeamName};

use crate::convert::{name, required};
use crate::{RecordError, generated};

/// Most tasks of one job.
pub const MAX_TASKS: u32 = 1_000_000;
/// Most tags of one job.
pub const MAX_TAGS: usize = 16;
/// Largest payload of a job in bytes.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Accepts a job. A submission is accepted once the log holds this record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSubmitted {
    /// The job.
    pub job: JobId,
    /// Who submitted it.
    pub caller: CallerName,
    /// Team whose quota it counts against.
    pub team: TeamName,
    /// Class of its tasks.
    pub class: ClassName,
    /// Tags by which it can be withdrawn.
    pub tags: Vec<Tag>,
    /// Number of tasks, numbered from 0.
    pub tasks: u32,
    /// What each task is declared to need.
    pub declared: Resources,
    /// Input of the tasks, opaque to the system.
    pub payload: String,
}

/// Cancels a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobCancelled {
    /// The job.
    pub job: JobId,
}

impl JobSubmitted {
    /// Checks the sizes, for use before the record is written. A record that fails this check is
    /// skipped by every reader.
    pub fn check(&self) -> Findings {
        let mut findings = Findings::new();
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            findings.add("tasks", "a job has between 1 and 1000000 tasks");
        }
        if self.tags.len() > MAX_TAGS {
            findings.add("tags", "a job has at most 16 tags");
        }
        if self.payload.len() > MAX_PAYLOAD_BYTES {
            findings.add("payload", "a payload has at most 65536 bytes");
        }
        findings
    }

    fn out_of_range(&self) -> Option<&'static str> {
        if self.tasks == 0 || self.tasks > MAX_TASKS {
            return Some("tasks");
        }
        if self.tags.len() > MAX_TAGS {
            return Some("tags");
        }
        (self.payload.len() > MAX_PAYLOAD_BYTES).then_some("payload")
    }
}

impl From<JobSubmitted> for generated::JobSubmitted {
    fn from(record: JobSubmitted) -> Self {
        Self {
            job: record.job.0,
            caller: record.caller.into(),
            team: record.team.into(),
            class: record.class.into(),
            tags: record.tags.into_iter().map(Into::into).collect(),
            tasks: record.tasks,
            declared: Some(record.declared.into()),
            payload: record.payload,
        }
    }
}

impl TryFrom<generated::JobSubmitted> for JobSubmitted {
    type Error = RecordError;

    fn try_from(record: generated::JobSubmitted) -> Result<Self, RecordError> {
        let tags = record.tags.into_iter().map(|tag| name(tag, "tags"));
        let record = Self {
            job: JobId(record.job),
            caller: name(record.caller, "caller")?,
            team: name(record.team, "team")?,
            class: name(record.class, "class")?,
            tags: tags.collect::<Result<_, _>>()?,
            tasks: record.tasks,
            declared: required(record.declared, "declared")?.into(),
            payload: record.payload,
        };
        match record.out_of_range() {
            Some(field) => Err(RecordError::OutOfRange { field }),
            None => Ok(record),
        }
    }
}

impl From<JobCancelled> for generated::JobCancelled {
    fn from(record: JobCancelled) -> Self {
        Self { job: record.job.0 }
    }
}

impl TryFrom<generated::JobCancelled> for JobCancelled {
    type Error = RecordError;

    fn try_from(record: generated::JobCancelled) -> Result<Self, RecordError> {
        Ok(Self {
            job: JobId(record.job),
        })
    }
}
