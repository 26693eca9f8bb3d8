//! Follows the orders for a worker.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Record, SuspicionRecord};
use tokio::time::sleep;

use super::managed::{ManagedWorker, State};
use super::run::Phase;
use crate::clock;
use crate::outage::OutageMonitor;
use crate::store::{ReadError, StoredRecord, Stream, order_stream};

/// Longest wait of a read for new records; bounds how stale the evidence is on which leases are
/// renewed.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Loads and follows the orders for as long as the worker is managed.
pub(super) async fn orders(worker: Arc<ManagedWorker>) {
    let streams = worker.context.log.order_streams();
    let stream = order_stream(&worker.state().incarnation.name, streams);
    loop {
        let next = load(&worker, stream).await;
        follow_appends(&worker, stream, next).await;
    }
}

async fn load(worker: &ManagedWorker, stream: Stream) -> u64 {
    let mut monitor = OutageMonitor::new(stream, "newest");
    loop {
        match worker.context.log.newest(stream).await {
            Ok(newest) => {
                let records = parse(worker, stream, newest.records);
                let mut state = worker.state();
                state.orders.clear();
                apply(&mut state, records);
                state.next_order = newest.end;
                log::info!(
                    event = "orders_loaded", worker:% = state.incarnation, lane:? = stream,
                    offset = newest.end, orders = state.orders.len(); ""
                );
                return newest.end;
            }
            Err(error) => {
                monitor.record_result(&worker.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_appends(worker: &ManagedWorker, stream: Stream, mut next: u64) {
    let mut monitor = OutageMonitor::new(stream, "read");
    let mut wait = Duration::ZERO;
    loop {
        let began = clock::boottime();
        match worker.context.log.read(stream, next, wait).await {
            Ok(page) => {
                monitor.record_result(&worker.context.metrics, None::<&ReadError>);
                next += page.records.len() as u64;
                let records = parse(worker, stream, page.records);
                let mut state = worker.state();
                let has_changed = apply(&mut state, records);
                state.next_order = next;
                if next >= page.end {
                    state.synced_at = state.synced_at.max(Some(began));
                }
                drop(state);
                if has_changed || wait.is_zero() {
                    worker.changed.notify_waiters();
                }
                wait = POLL_WAIT;
            }
            Err(ReadError::Deleted) => return,
            Err(error) => {
                monitor.record_result(&worker.context.metrics, Some(&error));
                wait = Duration::ZERO;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Reads whether there are new orders, without waiting for any. If there are none, the lease may be
/// renewed as of now; if there are, the task that follows the stream is about to apply them.
pub(super) async fn refresh(worker: &ManagedWorker) {
    let streams = worker.context.log.order_streams();
    let (name, next) = {
        let state = worker.state();
        (state.incarnation.name.clone(), state.next_order)
    };
    let began = clock::boottime();
    let read = worker
        .context
        .log
        .read(order_stream(&name, streams), next, Duration::ZERO);
    let Ok(page) = read.await else {
        return;
    };
    let mut state = worker.state();
    let is_current = page.records.is_empty() && next >= page.end && state.next_order == next;
    if is_current && state.synced_at.is_some() {
        state.synced_at = state.synced_at.max(Some(began));
    }
}

/// Parses records of the stream. One that is invalid is stepped over.
fn parse(worker: &ManagedWorker, stream: Stream, records: Vec<StoredRecord>) -> Vec<Record> {
    let metrics = &worker.context.metrics;
    let records = records.into_iter();
    records
        .filter_map(|stored| worker.skipped.parse(stream, stored, metrics))
        .collect()
}

/// Applies records of the stream. Returns whether one of them concerns this worker.
fn apply(state: &mut State, records: Vec<Record>) -> bool {
    let mut has_changed = false;
    for record in records {
        has_changed |= apply_record(state, record);
    }
    has_changed
}

fn apply_record(state: &mut State, record: Record) -> bool {
    match record.body {
        Some(Body::Order(order)) if order.incarnation.name == state.incarnation.name => {
            state.pacing.import(&order);
            if order.incarnation.started_ms == state.incarnation.started_ms {
                raise_term(state, order.incarnation.term);
            }
            state.orders.insert(order.task, order);
            true
        }
        Some(Body::Suspicion(suspicion))
            if suspicion.incarnation.name == state.incarnation.name =>
        {
            apply_suspicion(state, suspicion);
            true
        }
        None => remove_order(state, &record.key),
        _ => false,
    }
}

fn remove_order(state: &mut State, key: &str) -> bool {
    let Some(rest) = key.strip_prefix("r/") else {
        return false;
    };
    let Some((worker, task)) = rest.rsplit_once('/') else {
        return false;
    };
    let Ok(task) = task.parse() else {
        return false;
    };
    if worker != state.incarnation.name {
        return false;
    }
    if state
        .runs
        .get(&task)
        .is_some_and(|run| run.phase == Phase::Ended)
    {
        state.runs.remove(&task);
    }
    state.orders.remove(&task).is_some()
}

fn apply_suspicion(state: &mut State, suspicion: SuspicionRecord) {
    if suspicion.incarnation.started_ms != state.incarnation.started_ms {
        return;
    }
    if suspicion.suspected {
        state.reported_at = None;
    }
    raise_term(state, suspicion.incarnation.term);
    state.suspicion = Some(suspicion);
}

/// Raises the term to `term` unless it is that high.
fn raise_term(state: &mut State, term: u32) {
    if term <= state.incarnation.term {
        return;
    }
    log::warn!(
        event = "term_raised", worker:% = state.incarnation, term = term,
        runs = state.runs.len(); "earlier runs have lapsed"
    );
    state.incarnation.term = term;
    state.runs.clear();
    state.reported_at = None;
    state.resume_after_lapse();
}
