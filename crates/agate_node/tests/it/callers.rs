//! What callers are told.

use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use tokio::time::{Instant, sleep};

use crate::support::{Caller as _, Cluster, Fault, one_task, until};

#[tokio::test(start_paused = true)]
async fn a_job_runs_from_its_submission_to_its_end() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    assert_eq!(entry.submit_job(1, one_task()).await, Answer::Accepted);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn one_id_is_one_job_at_two_entries_and_after_its_end() {
    let cluster = Cluster::new();
    let first = cluster.entry("e1", cluster.log.client()).await;
    let second = cluster.entry("e2", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    let (one, two) = tokio::join!(
        first.submit_job(1, one_task()),
        second.submit_job(1, one_task())
    );
    assert_eq!((one, two), (Answer::Accepted, Answer::Accepted));
    first
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(second.submit_job(1, one_task()).await, Answer::Accepted);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(
        second.query_state(1).await,
        Answer::State(JobState::Completed)
    );
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_refusal_comes_at_once_and_is_true() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    log.set_fault(Fault::Refuses);
    let began = Instant::now();
    assert_eq!(entry.submit_job(1, one_task()).await, Answer::Refused);
    assert!(began.elapsed() < Duration::from_millis(300));
    log.set_fault(Fault::None);
    sleep(Duration::from_secs(3)).await;
    assert!(
        !cluster
            .log
            .keys(Stream::Main)
            .iter()
            .any(|key| key.starts_with("j/"))
    );
    assert_eq!(entry.query_state(1).await, Answer::NoJob);
}

#[tokio::test(start_paused = true)]
async fn an_append_without_an_answer_is_never_called_a_refusal() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let other = cluster.entry("e2", cluster.log.client()).await;
    log.set_fault(Fault::LosesAppends);
    assert_eq!(entry.submit_job(1, one_task()).await, Answer::Unknown);
    assert_eq!(other.submit_job(1, one_task()).await, Answer::Accepted);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_cannot_read_does_not_deny_a_job() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let other = cluster.entry("e2", cluster.log.client()).await;
    log.set_fault(Fault::Refuses);
    assert_eq!(other.submit_job(1, one_task()).await, Answer::Accepted);
    assert_eq!(entry.query_state(1).await, Answer::Refused);
    assert_eq!(entry.cancel_job(1).await, Answer::Refused);
    sleep(Duration::from_secs(2)).await;
    assert!(!entry.is_ready(), "it must send callers elsewhere");
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_job_stops_and_stays_cancelled() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.run_until_stopped();
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    assert_eq!(entry.cancel_job(1).await, Answer::Cancelled);
    until("it has stopped", || worker.running() == 0).await;
    assert_eq!(entry.submit_job(1, one_task()).await, Answer::Accepted);
    sleep(Duration::from_secs(3)).await;
    assert_eq!(
        entry.query_state(1).await,
        Answer::State(JobState::Cancelled)
    );
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_route_is_denied_only_after_the_newest_configuration_was_read() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    assert_eq!(
        entry.find_route("host.example", "/q1/x").await,
        Err(Answer::NoQueue)
    );
    cluster.log.put(Stream::Config, "config", b"2");
    let route = entry.find_route("host.example", "/q1/x").await;
    assert!(route.is_ok(), "the second version has it");
    log.set_fault(Fault::Refuses);
    assert_eq!(
        entry.find_route("host.example", "/q9/x").await,
        Err(Answer::Refused)
    );
}

#[tokio::test(start_paused = true)]
async fn an_older_configuration_never_comes_back() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    cluster.log.put(Stream::Config, "config", b"5");
    until("it is in force", || entry.routes().version == 5).await;
    cluster.log.put(Stream::Config, "config", b"3");
    cluster.log.put(Stream::Config, "config", b"rubbish");
    sleep(Duration::from_secs(2)).await;
    assert_eq!(entry.routes().version, 5);
}

#[tokio::test(start_paused = true)]
async fn records_deleted_under_a_reader_change_nothing() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let (_worker, _agent) = cluster.worker("w1");
    entry.submit_job(1, one_task()).await;
    log.set_fault(Fault::Refuses);
    cluster.log.put(Stream::Config, "config", b"4");
    sleep(Duration::from_secs(1)).await;
    cluster.log.compact(Stream::Main);
    cluster.log.compact(Stream::Config);
    log.set_fault(Fault::None);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(entry.routes().version, 4);
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_cannot_read_refuses_without_trying() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    log.set_fault(Fault::Refuses);
    sleep(Duration::from_secs(3)).await;
    let began = Instant::now();
    assert_eq!(entry.submit_job(1, one_task()).await, Answer::Refused);
    assert!(
        began.elapsed() < Duration::from_millis(1),
        "{:?}",
        began.elapsed()
    );
}

/// two-outages: submissions behind an append without an answer waited for it and for their own.
#[tokio::test(start_paused = true)]
async fn a_silent_log_holds_a_caller_for_one_append_only() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    log.set_fault(Fault::Silent);
    let first = entry.submit_job(1, one_task());
    let second = async {
        sleep(Duration::from_millis(200)).await;
        let began = Instant::now();
        let answer = entry.submit_job(2, one_task()).await;
        (answer, began.elapsed())
    };
    let (first, (second, took)) = tokio::join!(first, second);
    assert_eq!((first, second), (Answer::Unknown, Answer::Unknown));
    assert!(took < Duration::from_millis(1_200), "{took:?}");
}
