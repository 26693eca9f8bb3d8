//! Following the orders for a worker.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Record, Standing};
use tokio::time::sleep;

use super::held::{Held, Phase, State};
use crate::clock;
use crate::outage::OutageMonitor;
use crate::store::{ReadError, StoredRecord, Stream, order_stream};

/// Longest wait of a read for news; bounds the age of the evidence under which leases are extended.
const POLL_WAIT: Duration = Duration::from_millis(700);

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Loads and follows the orders for as long as the worker is held.
pub(super) async fn orders(held: Arc<Held>) {
    let stream = order_stream(&held.state().life.name);
    loop {
        let next = load(&held, stream).await;
        follow_on(&held, stream, next).await;
    }
}

async fn load(held: &Held, stream: Stream) -> u64 {
    let mut monitor = OutageMonitor::new(stream, "newest");
    loop {
        match held.context.log.newest(stream).await {
            Ok(newest) => {
                let mut state = held.state();
                state.orders.clear();
                take(&mut state, newest.records);
                log::info!(
                    event = "orders_loaded", worker:% = state.life, lane:? = stream,
                    offset = newest.end, orders = state.orders.len(); ""
                );
                return newest.end;
            }
            Err(error) => {
                monitor.record_result(&held.context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_on(held: &Held, stream: Stream, mut next: u64) {
    let mut monitor = OutageMonitor::new(stream, "read");
    let mut wait = Duration::ZERO;
    loop {
        let began = clock::boottime();
        match held.context.log.read(stream, next, wait).await {
            Ok(page) => {
                monitor.record_result(&held.context.metrics, None::<&ReadError>);
                next += page.records.len() as u64;
                let mut state = held.state();
                let changed = take(&mut state, page.records);
                if next >= page.end {
                    state.evidence = state.evidence.max(Some(began));
                }
                drop(state);
                if changed || wait.is_zero() {
                    held.changed.notify_waiters();
                }
                wait = POLL_WAIT;
            }
            Err(ReadError::Deleted) => return,
            Err(error) => {
                monitor.record_result(&held.context.metrics, Some(&error));
                wait = Duration::ZERO;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// Takes records of the lane; returns whether one of them is about this worker.
fn take(state: &mut State, records: Vec<StoredRecord>) -> bool {
    let mut changed = false;
    for stored in records {
        let offset = stored.offset;
        match Record::parse(stored.key, &stored.value) {
            Ok(record) => changed |= take_one(state, record),
            Err(error) => {
                log::warn!(event = "record_unknown", offset = offset, cause:% = error; "");
            }
        }
    }
    changed
}

fn take_one(state: &mut State, record: Record) -> bool {
    match record.body {
        Some(Body::Order(order)) if order.life.name == state.life.name => {
            state.pacing.adopt(&order);
            state.orders.insert(order.task, order);
            true
        }
        Some(Body::Standing(standing)) if standing.life.name == state.life.name => {
            take_standing(state, standing);
            true
        }
        None => drop_order(state, &record.key),
        _ => false,
    }
}

fn drop_order(state: &mut State, key: &str) -> bool {
    let Some(rest) = key.strip_prefix("r/") else {
        return false;
    };
    let Some((worker, task)) = rest.rsplit_once('/') else {
        return false;
    };
    let Ok(task) = task.parse() else {
        return false;
    };
    if worker != state.life.name {
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

fn take_standing(state: &mut State, standing: Standing) {
    if standing.life.born != state.life.born {
        return;
    }
    if standing.suspected {
        state.reported = None;
    }
    if standing.life.term > state.life.term {
        log::warn!(
            event = "term_raised", worker:% = state.life, term = standing.life.term,
            runs = state.runs.len(); "earlier runs have lapsed"
        );
        state.life.term = standing.life.term;
        state.runs.clear();
        state.reported = None;
        state.resume_after_lapse();
    }
    state.standing = Some(standing);
}
