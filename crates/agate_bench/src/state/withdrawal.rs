//! Withdrawal of a class by version, compared with cancelling each queued job.

use std::hint::black_box;
use std::time::Instant;

use agate_core::{ClassName, JobId, Offset};
use agate_records::{Body, DecodedBatch, JobCancelled, Withdrawn};
use agate_state::State;
use agate_wire::message::{Selector, StopMode};

use super::JOBS;
use super::fixture::{encode, fold, job_id, log};
use crate::report::Table;

/// Timed checks at binding.
const CHECKS: u32 = 1_000_000;

pub(crate) fn table() -> Table {
    let columns = [
        "queued jobs",
        "way",
        "records",
        "bytes",
        "us",
        "ns per check at binding",
    ];
    let mut table = Table::new("withdrawal of a class", &columns);
    for jobs in JOBS {
        let state = fold(&log(jobs, 1));
        table.add_row(by_version(&state));
        table.add_row(by_walk(&state));
    }
    table
}

/// Withdraws the class with one record; each binding then checks the version of the class.
fn by_version(state: &State) -> Vec<String> {
    let mut state = state.clone();
    let body = Body::from(Withdrawn {
        selector: Selector::Class(class()),
        mode: StopMode::Checkpoint,
        operator: "operator".to_owned(),
    });
    let data = encode(u128::MAX, vec![body]);
    let started = Instant::now();
    let batch = DecodedBatch::decode(Offset(u64::MAX), &data);
    state.apply_batch(&batch);
    let micros = started.elapsed().as_secs_f64() * 1e6;
    let check = check_nanos(&state);
    cells(
        &state,
        "version",
        1,
        data.len(),
        micros,
        &format!("{check:.0}"),
    )
}

/// Finds every job of the class and writes a cancellation for each.
fn by_walk(state: &State) -> Vec<String> {
    let class = class();
    let started = Instant::now();
    let queued = state.jobs().filter(|job| *job.class == class);
    let job_ids: Vec<JobId> = queued.map(|job| job.job).collect();
    let body = |job: &JobId| Body::from(JobCancelled { job: *job });
    let data = encode(u128::MAX, job_ids.iter().map(body).collect());
    let micros = started.elapsed().as_secs_f64() * 1e6;
    cells(state, "walk", job_ids.len(), data.len(), micros, "-")
}

fn cells(
    state: &State,
    method: &str,
    records: usize,
    bytes: usize,
    micros: f64,
    check: &str,
) -> Vec<String> {
    vec![
        state.open_jobs().to_string(),
        method.to_owned(),
        records.to_string(),
        bytes.to_string(),
        format!("{micros:.1}"),
        check.to_owned(),
    ]
}

/// Returns the nanoseconds to check a job against the withdrawals.
fn check_nanos(state: &State) -> f64 {
    let job = state.submission(job_id(0)).expect("the job is open");
    let started = Instant::now();
    for _ in 0..CHECKS {
        black_box(state.withdrawal_version(black_box(job)));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(CHECKS)
}

fn class() -> ClassName {
    ClassName::new("rebalance").expect("a valid name")
}
