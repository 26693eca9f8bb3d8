//! Records of batch jobs.

use agate_core::{CallerName, ClassName, Findings, JobId, Resources, Tag, TeamName};

use crate::convert::{parse_name, required};
use crate::{RecordError, generated};

/// Maximum number of tasks in a job.
pub const MAX_TASKS: u32 = 1_000_000;
/// Maximum number of tags of a job.
pub const MAX_TAGS: usize = 16;
/// Maximum size of a job's payload.
pub const MAX_PAYLOAD_BYTES: usize = 64 * 1024;

/// Accepts a job. A submission counts as accepted once the log contains this record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct JobSubmitted {
    /// The job.
    pub job: JobId,
    /// Caller that submitted the job.
    pub caller: CallerName,
    /// Team whose quota the job counts against.
    pub team: TeamName,
    /// Class of the tasks.
    pub class: ClassName,
    /// Tags for withdrawing the job.
    pub tags: Vec<Tag>,
    /// Number of tasks; task indices start at 0.
    pub tasks: u32,
    /// Declared resources of each task.
    pub declared: Resources,
    /// Input of the tasks, not interpreted by the system.
    pub payload: String,
}

/// Cancels a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct JobCancelled {
    /// The job.
    pub job: JobId,
}

impl JobSubmitted {
    /// Checks the sizes. Call this before writing the record: readers skip a record that fails this
    /// check.
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

    /// Returns the first field that fails [`JobSubmitted::check`].
    fn out_of_range_field(&self) -> Option<&'static str> {
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
        let tags = record.tags.into_iter().map(|tag| parse_name(tag, "tags"));
        let record = Self {
            job: JobId(record.job),
            caller: parse_name(record.caller, "caller")?,
            team: parse_name(record.team, "team")?,
            class: parse_name(record.class, "class")?,
            tags: tags.collect::<Result<_, _>>()?,
            tasks: record.tasks,
            declared: required(record.declared, "declared")?.into(),
            payload: record.payload,
        };
        match record.out_of_range_field() {
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
