//! Restores the state from the items of a snapshot.

use agate_core::{Incarnation, JobId, Offset, Position, TaskId, Version};
use agate_records::generated::snapshot_item::Of;
use agate_records::generated::{
    EndedJobItem, HoldItem, InForceItem, JobItem, LostItem, Place, PresetItem, SnapshotItem,
    SwitchItem, TaskCounts as CountsItem, TaskFailure as FailureItem, TaskItem, WithdrawalItem,
};
use agate_records::{BatchId, JobSubmitted, PresetPublished, RecordError, Withdrawn};
use displaydoc::Display;
use prost::Message;

use crate::config::PresetSwitch;
use crate::job::{EndedJob, Job, RunBinding, Task, TaskCounts, TaskFailure, TaskRange};
use crate::{RejectReason, State, StateLimits};

/// Encoded size of a job's id.
const JOB_ID_BYTES: usize = 8;

/// Encoded size of a batch id.
const BATCH_ID_BYTES: usize = 16;

/// Why a snapshot could not be loaded.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum SnapshotError {
    /// malformed snapshot item: {0}
    Malformed(RecordError),
    /// snapshot item rejected: {0}
    Refused(RejectReason),
    /// the snapshot is inconsistent
    Contradiction,
    /// the snapshot claims to cover the records up to {at}, which is past the end of the log
    PastEnd {
        /// Position that the snapshot claims to cover.
        at: Position,
    },
}

impl std::error::Error for SnapshotError {}

impl SnapshotError {
    /// Returns whether the snapshot is past the end `old` of the log but not past `new`.
    pub fn is_within(&self, old: Offset, new: Offset) -> bool {
        matches!(self, Self::PastEnd { at } if at.offset > old && at.offset <= new)
    }
}

impl From<RecordError> for SnapshotError {
    fn from(error: RecordError) -> Self {
        Self::Malformed(error)
    }
}

impl From<RejectReason> for SnapshotError {
    fn from(reason: RejectReason) -> Self {
        Self::Refused(reason)
    }
}

fn required<T>(value: Option<T>, field: &'static str) -> Result<T, SnapshotError> {
    value.ok_or(RecordError::Missing { field }.into())
}

/// Builds the state at a position from the items of a snapshot, in order.
pub(crate) fn restore<'a>(
    limits: StateLimits,
    position: Position,
    items: impl Iterator<Item = &'a [u8]>,
) -> Result<State, SnapshotError> {
    let mut state = State::new(limits);
    state.last_applied = position;
    for item in items {
        let Ok(item) = SnapshotItem::decode(item) else {
            return Err(RecordError::Undecodable.into());
        };
        restore_item(&mut state, required(item.of, "of")?)?;
    }
    check_jobs(&state)?;
    Ok(state)
}

/// Returns a position of a restored record. It can't be after the position of the snapshot: a
/// version from there could not be replaced by any record.
fn restore_position(
    state: &State,
    place: Option<Place>,
    field: &'static str,
) -> Result<Position, SnapshotError> {
    let position = required(place, field)?.into();
    if position > state.last_applied {
        return Err(RecordError::OutOfRange { field }.into());
    }
    Ok(position)
}

/// Checks that each job can still end: it has open tasks, and those of a cancelled job are bound.
fn check_jobs(state: &State) -> Result<(), SnapshotError> {
    let can_end = |job: &Job| {
        let open = job.submitted.tasks - job.counts.total();
        open > 0 && (!job.cancelled || open == job.running)
    };
    if state.jobs.iter().all(can_end) {
        Ok(())
    } else {
        Err(SnapshotError::Contradiction)
    }
}

fn restore_item(state: &mut State, item: Of) -> Result<(), SnapshotError> {
    match item {
        Of::Preset(item) => restore_preset(state, item),
        Of::Switch(item) => restore_switch(state, item),
        Of::InForce(item) => restore_in_force(state, item),
        Of::Withdrawal(item) => restore_withdrawal(state, item),
        Of::Job(item) => restore_job(state, item),
        Of::Task(item) => restore_task(state, item),
        Of::EndedJob(item) => restore_ended_job(state, item),
        Of::Lost(item) => restore_lost_member(state, item),
        Of::Batches(ids) => restore_batch_ids(state, &ids),
        Of::EarlyCancels(ids) => restore_early_cancels(state, &ids),
        Of::Config(version) => {
            let position = restore_position(state, Some(version), "config")?;
            state.config.rebuild(Version(position));
            Ok(())
        }
    }
}

fn restore_preset(state: &mut State, item: PresetItem) -> Result<(), SnapshotError> {
    let record = PresetPublished::try_from(required(item.published, "published")?)?;
    let version = Version(restore_position(state, item.version, "version")?);
    state.config.presets.publish(version, &record)?;
    Ok(())
}

fn restore_switch(state: &mut State, item: SwitchItem) -> Result<(), SnapshotError> {
    let version = Version(restore_position(state, item.version, "version")?);
    state.config.presets.record_switch(PresetSwitch {
        name: item.name,
        operator: item.operator,
        version,
        wall_ms: item.wall_ms,
    });
    Ok(())
}

fn restore_in_force(state: &mut State, item: InForceItem) -> Result<(), SnapshotError> {
    let version = Version(restore_position(state, item.version, "version")?);
    state
        .config
        .presets
        .set_in_force(item.name, item.json, version)?;
    Ok(())
}

fn restore_withdrawal(state: &mut State, item: WithdrawalItem) -> Result<(), SnapshotError> {
    let record = Withdrawn::try_from(required(item.withdrawn, "withdrawn")?)?;
    let version = Version(restore_position(state, item.version, "version")?);
    state.config.withdrawals.withdraw(version, &record)?;
    Ok(())
}

fn restore_job(state: &mut State, item: JobItem) -> Result<(), SnapshotError> {
    let submitted = JobSubmitted::try_from(required(item.submitted, "submitted")?)?;
    let tasks = submitted.tasks;
    if state.jobs.is_known(submitted.job) {
        return Err(SnapshotError::Contradiction);
    }
    let position = restore_position(state, item.place, "place")?;
    let mut job = Job::new(submitted, position);
    job.cancelled = item.cancelled;
    job.counts = restore_counts(item.counts, tasks)?;
    job.failures = item.failures.into_iter().map(Into::into).collect();
    let mut next = 0;
    let mut ended = 0;
    for range in item.ended {
        if range.first < next || range.first > range.last || range.last >= tasks {
            return Err(SnapshotError::Contradiction);
        }
        next = range.last + 1;
        ended += next - range.first;
        job.ended.insert_range(TaskRange {
            first: range.first,
            last: range.last,
        });
    }
    if !job.cancelled && ended != job.counts.total() {
        return Err(SnapshotError::Contradiction);
    }
    state.jobs.insert_job(job);
    Ok(())
}

fn restore_task(state: &mut State, item: TaskItem) -> Result<(), SnapshotError> {
    let id = TaskId {
        job: JobId(item.job),
        index: item.index,
    };
    let Some(job) = state.jobs.key(id.job) else {
        return Err(SnapshotError::Contradiction);
    };
    let owner = state.jobs.job(job);
    let known = owner.ended.contains(id.index) || owner.started.contains_key(&id.index);
    let full =
        owner.counts.total() as usize + owner.started.len() >= owner.submitted.tasks as usize;
    // Only bound tasks of a cancelled job are still open.
    let closed = owner.cancelled && item.hold.is_none();
    // The epoch counts the bindings, so the last one leaves no room for another.
    let epoch_fits = (1..u32::MAX).contains(&item.epoch);
    if known || full || closed || !epoch_fits || id.index >= owner.submitted.tasks {
        return Err(SnapshotError::Contradiction);
    }
    let checkpoint = (!item.checkpoint.is_empty()).then(|| item.checkpoint.into());
    let key = state.jobs.insert_task(Task {
        job,
        id,
        epoch: item.epoch,
        attempts: item.attempts,
        checkpoint,
        binding: None,
    });
    if let Some(hold) = item.hold {
        let binding = restore_binding(state, hold)?;
        state.jobs.set_binding(key, binding);
    }
    Ok(())
}

fn restore_ended_job(state: &mut State, item: EndedJobItem) -> Result<(), SnapshotError> {
    let name = |error| RecordError::NotAName {
        field: "name",
        error,
    };
    let job = JobId(item.job);
    if state.jobs.is_known(job) {
        return Err(SnapshotError::Contradiction);
    }
    state.jobs.ended.insert(EndedJob {
        job,
        caller: item.caller.parse().map_err(name)?,
        class: item.class.parse().map_err(name)?,
        tasks: item.tasks,
        cancelled: item.cancelled,
        counts: restore_counts(item.counts, item.tasks)?,
        failures: item.failures.into_iter().map(Into::into).collect(),
    });
    Ok(())
}

fn restore_lost_member(state: &mut State, item: LostItem) -> Result<(), SnapshotError> {
    let position = restore_position(state, item.place, "place")?;
    let incarnation = Incarnation::new(item.incarnation);
    state.lost.insert(incarnation, position);
    Ok(())
}

fn restore_batch_ids(state: &mut State, ids: &[u8]) -> Result<(), SnapshotError> {
    let (ids, rest) = ids.as_chunks::<BATCH_ID_BYTES>();
    if !rest.is_empty() {
        return Err(RecordError::OutOfRange { field: "batches" }.into());
    }
    for id in ids {
        state.batches.insert(BatchId(u128::from_be_bytes(*id)));
    }
    Ok(())
}

fn restore_early_cancels(state: &mut State, ids: &[u8]) -> Result<(), SnapshotError> {
    let (ids, rest) = ids.as_chunks::<JOB_ID_BYTES>();
    if !rest.is_empty() {
        let field = "early_cancels";
        return Err(RecordError::OutOfRange { field }.into());
    }
    for id in ids {
        let job = JobId(u64::from_be_bytes(*id));
        if state.jobs.is_known(job) {
            return Err(SnapshotError::Contradiction);
        }
        state.jobs.early_cancels.insert(job);
    }
    Ok(())
}

fn restore_counts(item: Option<CountsItem>, tasks: u32) -> Result<TaskCounts, SnapshotError> {
    let item = item.unwrap_or_default();
    let parts = [item.finished, item.failed, item.impossible, item.cancelled];
    let total: u64 = parts.into_iter().map(u64::from).sum();
    if total > u64::from(tasks) {
        return Err(SnapshotError::Contradiction);
    }
    Ok(TaskCounts {
        finished: item.finished,
        failed: item.failed,
        impossible: item.impossible,
        cancelled: item.cancelled,
    })
}

fn restore_binding(state: &State, item: HoldItem) -> Result<RunBinding, SnapshotError> {
    Ok(RunBinding {
        incarnation: Incarnation::new(item.incarnation),
        demand: required(item.demand, "demand")?.into(),
        position: restore_position(state, item.place, "place")?,
    })
}

impl From<FailureItem> for TaskFailure {
    fn from(item: FailureItem) -> Self {
        Self {
            index: item.index,
            reason: item.reason,
        }
    }
}
