//! Logs of open jobs.

use agate_core::names::NameError;
use agate_core::{Incarnation, JobId, Offset, Resources, RunId, TaskId};
use agate_records::{
    Batch, BatchId, Body, DecodedBatch, JobSubmitted, Record, RunBound, RunEnd, RunEnded,
};
use agate_state::{State, StateLimits};

/// Records in one append, as a grouped append holds under load.
const RECORDS_PER_APPEND: usize = 50;
/// Bytes of a job's payload.
const PAYLOAD_BYTES: usize = 100;
/// One task in so many is bound.
const BOUND_SHARE: usize = 10;
/// Spreads small numbers over the whole range, as random ids are.
const SPREAD: u64 = 0x9E37_79B9_7F4A_7C15;

const DEMAND: Resources = Resources::new(1_000, 2_048, 0);

fn name<T: TryFrom<String, Error = NameError>>(text: &str) -> T {
    T::try_from(text.to_owned()).expect("a valid name")
}

/// One job of the class `rebalance`.
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

/// A binding of the first run of a job's first task.
pub(crate) fn binding(job: u64) -> Body {
    Body::from(RunBound {
        run: first_run(job),
        incarnation: Incarnation::new(!job_id(job).0),
        demand: DEMAND,
    })
}

/// The end of that run.
pub(crate) fn end(job: u64) -> Body {
    Body::from(RunEnded {
        run: first_run(job),
        incarnation: Incarnation::new(!job_id(job).0),
        end: RunEnd::Finished,
        peak: DEMAND,
    })
}

/// The id of the job with this number.
pub(crate) const fn job_id(number: u64) -> JobId {
    JobId(number.wrapping_mul(SPREAD))
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
    // A wall clock of today, which takes as many bytes as in use.
    let wall_ms = 1_790_000_000_000;
    let record = |body| Record { wall_ms, body };
    let records = bodies.into_iter().map(record).collect();
    // Ids spread over their whole range, as random ones do.
    let id = BatchId(id.wrapping_mul(0x9E37_79B9_7F4A_7C15_F39C_C060_5CED_C835));
    Batch { id, records }.encode()
}

/// The appends that open `jobs` jobs of `tasks` tasks and bind a share of them.
pub(crate) fn log(jobs: u64, tasks: u32) -> Vec<Vec<u8>> {
    let opened = (0..jobs).map(|id| job(id, tasks));
    let mut bodies = opened
        .chain((0..jobs).step_by(BOUND_SHARE).map(binding))
        .peekable();
    let mut log = Vec::new();
    // One append at a time, so that no large piece of memory is freed before it is measured.
    while bodies.peek().is_some() {
        let chunk = bodies.by_ref().take(RECORDS_PER_APPEND).collect();
        log.push(encode(log.len() as u128, chunk));
    }
    log
}

/// Folds appends as they are read.
pub(crate) fn fold(log: &[Vec<u8>]) -> State {
    let mut state = State::new(StateLimits::default());
    for (offset, data) in (1..).zip(log) {
        state.apply_batch(&DecodedBatch::decode(Offset(offset), data));
    }
    state
}

/// Bytes of all appends.
pub(crate) fn bytes(log: &[Vec<u8>]) -> usize {
    log.iter().map(Vec::len).sum()
}
