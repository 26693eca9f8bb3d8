//! Records of another writer, beside those of the system.

use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::support::{Caller as _, Cluster, Fault, one_task_job};

const COMPLETED: Answer = Answer::State(JobState::Completed);

/// Time within which a job has to be done: a takeover, and the search for an epoch after it.
const LIMIT: Duration = Duration::from_secs(20);

fn leader(epoch: u64) -> String {
    format!(r#"{{"leader":{{"epoch":{epoch},"entry":"e9"}}}}"#)
}

/// The record stays the newest of its key until a leader writes the next one.
#[rstest]
#[case::largest_epoch("l", &leader(u64::MAX))]
#[case::epoch_that_is_a_time("l", &leader(1_700_000_000_000))]
#[case::earlier_epoch("l", &leader(1))]
#[case::later_epoch("l", &leader(40))]
#[tokio::test(start_paused = true)]
async fn an_odd_record_stops_no_jobs_before_and_after_a_restart(
    #[case] key: &str,
    #[case] value: &str,
) {
    let cluster = Cluster::new();
    let logs = [cluster.log.client(), cluster.log.client()];
    let first = cluster.entry("e1", logs[0].clone()).await;
    let second = cluster.entry("e2", logs[1].clone()).await;
    let (_worker, _agent) = cluster.worker("w1");
    first.submit_job(1, one_task_job()).await;
    first.wait_for_answer(1, COMPLETED).await;
    cluster.log.put(Stream::Main, key, value.as_bytes());
    sleep(Duration::from_millis(200)).await;
    second.submit_job(2, one_task_job()).await;
    let done = timeout(LIMIT, second.wait_for_answer(2, COMPLETED)).await;
    assert!(done.is_ok(), "before the restart");
    for log in logs {
        log.set_fault(Fault::RefusesAll);
    }
    cluster.log.put(Stream::Main, key, value.as_bytes());
    let third = cluster.entry("e3", cluster.log.client()).await;
    third.submit_job(3, one_task_job()).await;
    let done = timeout(LIMIT, third.wait_for_answer(3, COMPLETED)).await;
    assert!(done.is_ok(), "after the restart");
}

/// Epochs that rise with each refused claim would exceed their bound in a long outage.
#[tokio::test(start_paused = true)]
async fn refused_claims_raise_no_epoch() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    log.set_fault(Fault::RefusesMainAppends);
    let entry = cluster.start_entry("e1", log.clone());
    sleep(Duration::from_mins(5)).await;
    assert!(log.append_attempts() > 100, "it claims again and again");
    log.set_fault(Fault::None);
    let (_worker, _agent) = cluster.worker("w1");
    entry.wait_for_answer(1, Answer::NoJob).await;
    sleep(Duration::from_secs(5)).await;
    let values = cluster.log.values(Stream::Main);
    let is_first = |value: &Vec<u8>| value.starts_with(br#"{"leader":{"epoch":1,"#);
    assert!(values.iter().any(is_first), "the first epoch is claimed");
}
