//! A test log that folds each record, and short constructors of records.

pub mod logs;

use agate_core::names::NameError;
use agate_core::{
    CallerName, ClassName, Incarnation, JobId, Offset, Position, Resources, RunId, Tag, TaskId,
    TeamName, Version,
};
use agate_records::{
    Batch, BatchId, Body, DecodedBatch, JobCancelled, JobSubmitted, MemberLost, PresetPublished,
    PresetSwitched, Record, Resumed, RunBound, RunEnd, RunEnded, Withdrawn,
};
use agate_state::{BatchEffect, Effect, State, StateLimits};
use agate_wire::message::{Selector, StopMode};

pub const A: Incarnation = Incarnation::new(0xA);
pub const B: Incarnation = Incarnation::new(0xB);
pub const DEMAND: Resources = Resources::new(1_000, 512, 0);

/// A log and the state folded from it. [`TestLog::apply`] puts each record in its own batch.
pub struct TestLog {
    pub state: State,
    pub next_offset: Offset,
}

impl TestLog {
    pub fn new() -> Self {
        Self::with_limits(StateLimits::default())
    }

    pub fn with_limits(limits: StateLimits) -> Self {
        Self {
            state: State::new(limits),
            next_offset: Offset(1),
        }
    }

    /// Appends one record and folds it.
    pub fn apply(&mut self, body: impl Into<Body>) -> Effect {
        let batch = batch(u128::from(self.next_offset.0), vec![body.into()]);
        let BatchEffect::Folded(mut effects) = self.apply_batch(&batch) else {
            panic!("each batch has its own id");
        };
        effects.remove(0).effect
    }

    /// Appends a batch and folds it as read from the log.
    pub fn apply_batch(&mut self, batch: &Batch) -> BatchEffect {
        let decoded = DecodedBatch::decode(self.next_offset, &batch.encode());
        assert_eq!(decoded.malformed, []);
        self.next_offset = self.next_offset.next();
        self.state.apply_batch(&decoded)
    }

    /// Returns the version given by the last record.
    pub fn version(&self) -> Version {
        Version(Position::new(Offset(self.next_offset.0 - 1), 0))
    }
}

pub fn batch(id: u128, bodies: Vec<Body>) -> Batch {
    let record = |body| Record { wall_ms: 0, body };
    Batch {
        id: BatchId(id),
        records: bodies.into_iter().map(record).collect(),
    }
}

pub fn name<T: TryFrom<String, Error = NameError>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a valid name")
}

pub fn job(id: u64, tasks: u32) -> JobSubmitted {
    JobSubmitted {
        job: JobId(id),
        caller: name::<CallerName>("caller"),
        team: name::<TeamName>("team"),
        class: name::<ClassName>("rebalance"),
        tags: vec![name::<Tag>("season:1")],
        tasks,
        declared: DEMAND,
        payload: "plan".to_owned(),
    }
}

pub fn cancel(id: u64) -> JobCancelled {
    JobCancelled { job: JobId(id) }
}

pub fn task(job: u64, index: u32) -> TaskId {
    TaskId {
        job: JobId(job),
        index,
    }
}

pub fn run(job: u64, index: u32, epoch: u32) -> RunId {
    RunId {
        task: task(job, index),
        epoch,
    }
}

pub fn bind(run: RunId, incarnation: Incarnation) -> RunBound {
    RunBound {
        run,
        incarnation,
        demand: DEMAND,
    }
}

pub fn end(run: RunId, incarnation: Incarnation, end: RunEnd) -> RunEnded {
    RunEnded {
        run,
        incarnation,
        end,
        peak: DEMAND,
    }
}

pub fn lost(incarnation: Incarnation) -> MemberLost {
    MemberLost { incarnation }
}

pub fn failed(reason: &str) -> RunEnd {
    RunEnd::Failed {
        reason: reason.to_owned(),
        exhausted: false,
    }
}

pub fn evicted(checkpoint: &str) -> RunEnd {
    RunEnd::Evicted {
        checkpoint: checkpoint.to_owned(),
    }
}

pub fn impossible(reason: &str) -> RunEnd {
    RunEnd::Impossible {
        reason: reason.to_owned(),
    }
}

pub fn publish(name: &str, attempts: u32) -> PresetPublished {
    PresetPublished {
        name: name.to_owned(),
        json: format!(r#"{{"kind": "ordinary", "placement": {{"attempts": {attempts}}}}}"#),
        operator: "operator".to_owned(),
    }
}

pub fn switch(name: &str, expected: Version) -> PresetSwitched {
    PresetSwitched {
        name: name.to_owned(),
        expected,
        operator: "operator".to_owned(),
    }
}

pub fn class(class: &str) -> Selector {
    Selector::Class(name(class))
}

pub fn tag(tag: &str) -> Selector {
    Selector::Tag(name(tag))
}

pub fn withdraw(selector: Selector) -> Withdrawn {
    Withdrawn {
        selector,
        mode: StopMode::Checkpoint,
        operator: "operator".to_owned(),
    }
}

pub fn resume(selector: Selector) -> Resumed {
    Resumed {
        selector,
        operator: "operator".to_owned(),
    }
}
