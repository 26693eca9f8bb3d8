//! Encodes the state as the parts of a snapshot.

use agate_records::generated::snapshot_item::Of;
use agate_records::generated::{
    EndedJobItem, HoldItem, InForceItem, JobItem, LostItem, PresetItem, SnapshotItem, SwitchItem,
    TaskCounts as CountsItem, TaskFailure as FailureItem, TaskItem, TaskRange as RangeItem,
    WithdrawalItem,
};
use agate_records::{SnapshotId, SnapshotPart};
use prost::Message;

use crate::State;
use crate::config::{InForce, PresetSwitch, PublishedPreset};
use crate::job::{EndedJob, Job, RunBinding, Task, TaskCounts, TaskFailure, TaskRange};

/// Number of batch ids in one item.
const BATCH_IDS_PER_ITEM: usize = 1_024;

/// Number of job ids in one item.
const JOB_IDS_PER_ITEM: usize = 2_048;

impl State {
    /// Encodes the state as the parts of a snapshot. Each part has up to `max_bytes` of items but
    /// at least one item.
    pub fn snapshot_parts(&self, id: SnapshotId, max_bytes: usize) -> Vec<SnapshotPart> {
        let mut groups = vec![Vec::new()];
        let mut bytes = 0;
        for item in self.items() {
            let item = SnapshotItem { of: Some(item) }.encode_to_vec();
            if bytes > 0 && bytes + item.len() > max_bytes {
                groups.push(Vec::new());
                bytes = 0;
            }
            bytes += item.len();
            if let Some(group) = groups.last_mut() {
                group.push(item);
            }
        }
        let parts = u32::try_from(groups.len()).unwrap_or(u32::MAX);
        let part = |(part, items)| SnapshotPart {
            snapshot: id,
            at: self.last_applied,
            part,
            parts,
            items,
        };
        (0..).zip(groups).map(part).collect()
    }

    /// Returns every item in a fixed order. The tasks of a job follow the job.
    fn items(&self) -> impl Iterator<Item = Of> {
        let config = &self.config;
        let presets = &config.presets;
        let version = Of::Config(config.folded_version().into());
        let switches = presets.switches().map(|switch| Of::Switch(switch.into()));
        let in_force = presets.in_force().map(|preset| Of::InForce(preset.into()));
        let withdrawals = config.withdrawals.iter().map(|withdrawal| {
            Of::Withdrawal(WithdrawalItem {
                withdrawn: Some(withdrawal.record.clone().into()),
                version: Some(withdrawal.version.into()),
            })
        });
        let ended = self.jobs.ended.iter().map(|job| Of::EndedJob(job.into()));
        let published = presets.published().map(|preset| Of::Preset(preset.into()));
        published
            .chain(switches)
            .chain(in_force)
            .chain(withdrawals)
            .chain([version])
            .chain(self.batch_items())
            .chain(self.lost_items())
            .chain(ended)
            .chain(self.early_cancel_items())
            .chain(self.job_items())
    }

    fn batch_items(&self) -> impl Iterator<Item = Of> {
        let ids: Vec<[u8; 16]> = self.batches.iter().map(|id| id.0.to_be_bytes()).collect();
        let items: Vec<Of> = ids
            .chunks(BATCH_IDS_PER_ITEM)
            .map(|chunk| Of::Batches(chunk.concat()))
            .collect();
        items.into_iter()
    }

    fn early_cancel_items(&self) -> impl Iterator<Item = Of> {
        let cancels = self.jobs.early_cancels.iter();
        let ids: Vec<[u8; 8]> = cancels.map(|job| job.0.to_be_bytes()).collect();
        let items: Vec<Of> = ids
            .chunks(JOB_IDS_PER_ITEM)
            .map(|chunk| Of::EarlyCancels(chunk.concat()))
            .collect();
        items.into_iter()
    }

    fn lost_items(&self) -> impl Iterator<Item = Of> {
        self.lost.iter().map(|(incarnation, position)| {
            Of::Lost(LostItem {
                incarnation: incarnation.get(),
                place: Some(position.into()),
            })
        })
    }

    fn job_items(&self) -> impl Iterator<Item = Of> {
        self.jobs.iter().flat_map(|job| {
            let tasks = job.started.values();
            let tasks = tasks.map(|key| Of::Task(self.jobs.task(*key).into()));
            [Of::Job(job.into())].into_iter().chain(tasks)
        })
    }
}

impl From<&PublishedPreset> for PresetItem {
    fn from(preset: &PublishedPreset) -> Self {
        Self {
            published: Some(preset.record.clone().into()),
            version: Some(preset.version.into()),
        }
    }
}

impl From<&PresetSwitch> for SwitchItem {
    fn from(switch: &PresetSwitch) -> Self {
        Self {
            name: switch.name.clone(),
            operator: switch.operator.clone(),
            version: Some(switch.version.into()),
            wall_ms: switch.wall_ms,
        }
    }
}

impl From<&InForce> for InForceItem {
    fn from(preset: &InForce) -> Self {
        Self {
            name: preset.name.clone(),
            json: preset.json.clone(),
            version: Some(preset.version.into()),
        }
    }
}

impl From<&Job> for JobItem {
    fn from(job: &Job) -> Self {
        Self {
            submitted: Some(job.submitted.clone().into()),
            place: Some(job.position.into()),
            cancelled: job.cancelled,
            ended: job.ended.ranges().map(Into::into).collect(),
            counts: Some(job.counts.into()),
            failures: job.failures.iter().map(Into::into).collect(),
        }
    }
}

impl From<&Task> for TaskItem {
    fn from(task: &Task) -> Self {
        Self {
            job: task.id.job.0,
            index: task.id.index,
            epoch: task.epoch,
            attempts: task.attempts,
            checkpoint: task.checkpoint.as_deref().unwrap_or_default().to_owned(),
            hold: task.binding.map(Into::into),
        }
    }
}

impl From<RunBinding> for HoldItem {
    fn from(binding: RunBinding) -> Self {
        Self {
            incarnation: binding.incarnation.get(),
            demand: Some(binding.demand.into()),
            place: Some(binding.position.into()),
        }
    }
}

impl From<&EndedJob> for EndedJobItem {
    fn from(job: &EndedJob) -> Self {
        Self {
            job: job.job.0,
            caller: job.caller.to_string(),
            class: job.class.to_string(),
            tasks: job.tasks,
            cancelled: job.cancelled,
            counts: Some(job.counts.into()),
            failures: job.failures.iter().map(Into::into).collect(),
        }
    }
}

impl From<TaskRange> for RangeItem {
    fn from(range: TaskRange) -> Self {
        Self {
            first: range.first,
            last: range.last,
        }
    }
}

impl From<TaskCounts> for CountsItem {
    fn from(counts: TaskCounts) -> Self {
        Self {
            finished: counts.finished,
            failed: counts.failed,
            impossible: counts.impossible,
            cancelled: counts.cancelled,
        }
    }
}

impl From<&TaskFailure> for FailureItem {
    fn from(failure: &TaskFailure) -> Self {
        Self {
            index: failure.index,
            reason: failure.reason.clone(),
        }
    }
}
