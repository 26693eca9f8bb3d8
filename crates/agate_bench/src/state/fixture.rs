//! Logs of open jobs and the records in them.

use agate_core::names::NameError;
use agate_core::{Incarnation, JobId, Offset, Resources, RunId, TaskId};
use agate_records::{
    Batch, BatchId, Body, DecodedBatch, JobSubmitted, Record, RunBound, RunEnd, RunEnded,
};
use agate_state::{State, StateLimits};

/// Records per append; typical of grouped appends under load.
const RECORDS_PER_APPEND: usize = 50;
/// Size of a job's payload.
const PAYLOAD_BYTES: usize = 100;
/// One of this many jobs is bound.
const JOBS_PER_BINDING: usize = 10;
/// Multiplier that spreads small numbers over the whole range, like random ids.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

const DEMAND: Resources = Resources::new(1_000, 2_048, 0);

fn name<T: TryFrom<String, Error = NameError>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a valid name")
}

/// Returns the submission of a job of class `rebalance`.
pub(crate) fn job(id: u64, tasks: u32) -> Body {
    Body::from(JobSubmitted {
        job: job_id(id),
        caller: name("kehilla"),
        team: name("seating"),
        class: name("rebalance"),
        tags: vec![name("season:2026")],
        tasks,
        declared: DEMAND,
        payload: "x".repeat(PAYLOAD_BYTES),
    })
}

/// Returns the binding of the first run of a job's first task.
pub(crate) fn binding(job: u64) -> Body {
    Body::from(RunBound {
        run: first_run(job),
        incarnation: Incarnation::new(!job_id(job).0),
        demand: DEMAND,
    })
}

/// Returns the end of the first run of a job's first task.
pub(crate) fn end(job: u64) -> Body {
    Body::from(RunEnded {
        run: first_run(job),
        incarnation: Incarnation::new(!job_id(job).0),
        end: RunEnd::Finished,
        peak: DEMAND,
    })
}

/// Returns the id of the job with this number.
pub(crate) const fn job_id(number: u64) -> JobId {
    JobId(number.wrapping_mul(ID_MULTIPLIER))
}

const fn first_run(job: u64) -> RunId {
    let task = TaskId {
        job: job_id(job),
        index: 0,
    };
    RunId { task, epoch: 1 }
}

/// Encodes one append.
pub(crate) fn encode(id: u128, bodies: Vec<Body>) -> Vec<u8> {
    // A realistic wall clock time, because its encoded size depends on the value.
    let wall_ms = 1_790_000_000_000;
    let record = |body| Record { wall_ms, body };
    let records = bodies.into_iter().map(record).collect();
    // Spread over the whole range, like random ids.
    let id = BatchId(id.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835));
    Batch { id, records }.encode()
}

/// Returns the appends that open `jobs` jobs of `tasks` tasks and bind the first task of some jobs.
pub(crate) fn log(jobs: u64, tasks: u32) -> Vec<Vec<u8>> {
    let opened = (0..jobs).map(|id| job(id, tasks));
    let mut bodies = opened
        .chain((0..jobs).step_by(JOBS_PER_BINDING).map(binding))
        .peekable();
    let mut log = Vec::new();
    // One append at a time, so that no large allocation is freed before memory is measured.
    while bodies.peek().is_some() {
        let chunk = bodies.by_ref().take(RECORDS_PER_APPEND).collect();
        log.push(encode(log.len() as u128, chunk));
    }
    log
}

/// Folds encoded appends into a state.
pub(crate) fn fold(log: &[Vec<u8>]) -> State {
    let mut state = State::new(StateLimits::default());
    for (offset, data) in (1..).zip(log) {
        state.apply_batch(&DecodedBatch::decode(Offset(offset), data));
    }
    state
}

/// Returns the total bytes of the appends.
pub(crate) fn bytes(log: &[Vec<u8>]) -> usize {
    log.iter().map(Vec::len).sum()
}
