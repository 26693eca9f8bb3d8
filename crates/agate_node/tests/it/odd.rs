//! Records of another writer, beside those of the system.

use std::sync::LazyLock;
use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::{Answer, Entry};
use agate_node::metrics::Event;
use agate_node::store::{ORDER_STREAMS, Stream, order_stream};
use rstest::rstest;
use tokio::time::{sleep, timeout};

use crate::diagnosis::{capture_logs, lines_with};
use crate::support::{Caller as _, Cluster, FakeWorker, Fault, one_task_job, wait_until};

const COMPLETED: Answer = Answer::State(JobState::Completed);

/// Time within which a job has to be done: a takeover, and the search for an epoch after it.
const LIMIT: Duration = Duration::from_secs(20);

/// Nested more deeply than a parser may follow.
static DEEP: LazyLock<String> = LazyLock::new(|| "[".repeat(100_000));

fn leader(epoch: u64) -> String {
    format!(r#"{{"leader":{{"epoch":{epoch},"entry":"e9"}}}}"#)
}

/// Returns a report on an incarnation of `w1`.
fn report(started_ms: u64) -> String {
    let incarnation = format!(r#"{{"name":"w1","born":{started_ms},"term":0}}"#);
    let place = r#""service":"seatbook","labels":["a"],"address":"w1","zone":"z","answers":0"#;
    let capacity = r#"{"millicores":4000,"memory_mib":1000}"#;
    format!(
        r#"{{"worker":{{"life":{incarnation},"state":"ready",{place},"capacity":{capacity}}}}}"#
    )
}

/// The record stays the newest of its key until a leader writes the next one.
#[rstest]
#[case::largest_epoch("l", &leader(u64::MAX))]
#[case::epoch_that_is_a_time("l", &leader(1_700_000_000_000))]
#[case::earlier_epoch("l", &leader(1))]
#[case::later_epoch("l", &leader(40))]
#[case::start_in_the_future("w/w1", &report(4_102_444_800_000))]
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

/// A reader that stops at such a record, or reports it with each load, hides the records after it.
#[rstest]
#[case::no_json(Stream::Main, 1, "j/0000000000000009", b"{")]
#[case::unknown_kind(Stream::Main, 1, "x", br#"{"unheard_of":{}}"#)]
#[case::deep(Stream::Main, 1, "x", DEEP.as_bytes())]
#[case::other_key(Stream::Main, 1, "c/1", br#"{"cancelled":{"job":"0000000000000009"}}"#)]
#[case::another_leader(Stream::Main, 0, "l", br#"{"leader":{"epoch":1,"entry":"e9"}}"#)]
#[case::suspicion(
    order_stream("w1", ORDER_STREAMS),
    0,
    "s/w1",
    br#"{"standing":{"life":{"name":"w1","born":1,"term":4294967295},"suspicion":1,"suspected":true}}"#
)]
#[tokio::test(start_paused = true)]
async fn an_odd_record_is_reported_once(
    #[case] stream: Stream,
    #[case] read_by_follower: u64,
    #[case] key: &str,
    #[case] value: &[u8],
) {
    let cluster = Cluster::new();
    let (_worker, _agent) = cluster.worker("w1");
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    entry.submit_job(1, one_task_job()).await;
    entry.wait_for_answer(1, COMPLETED).await;
    cluster.log.put(stream, key, value);
    sleep(Duration::from_millis(200)).await;
    for job in 2..4 {
        log.set_fault(Fault::RefusesAll);
        sleep(Duration::from_secs(3)).await;
        cluster.log.compact(Stream::Main);
        log.set_fault(Fault::None);
        sleep(Duration::from_millis(500)).await;
        wait_until("it reads again", || entry.is_ready()).await;
        let submitted = entry.submit_job(job, one_task_job()).await;
        assert_eq!(submitted, Answer::Accepted);
        entry.wait_for_answer(job, COMPLETED).await;
    }
    let other = cluster.entry("e2", cluster.log.client()).await;
    other.wait_for_answer(3, COMPLETED).await;
    let skipped = |entry: &Entry| entry.metrics().event_count(Event::RecordSkipped);
    assert_eq!((skipped(&entry), skipped(&other)), (1, read_by_follower));
}

/// An agent logged the record without its key, and again with each load of the stream.
#[tokio::test(start_paused = true)]
async fn an_agent_reports_an_odd_record_once() {
    capture_logs();
    let cluster = Cluster::new();
    let stream = order_stream("w1", ORDER_STREAMS);
    cluster.log.put(stream, "r/w1/odd", b"[[[");
    let (_worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    cluster.log.put(stream, "r/w1/other", b"{}");
    cluster.log.compact(stream);
    sleep(Duration::from_secs(3)).await;
    for key in ["r/w1/odd", "r/w1/other"] {
        let lines = lines_with(&["event=record_unknown", key]);
        assert_eq!(lines.len(), 1, "{key}");
    }
}

/// After a loss of power, the new leader found an unreadable record in place of the report on a worker. It dropped the
/// orders for that worker, whose stream it hadn't even fenced, and bound the running tasks again (TWICE, review/7).
#[rstest]
#[case::bytes("w/w1", &[0xff, 0xfe, b'{'])]
#[case::another_type("w/w1", b"[]")]
#[case::another_worker("w/w1", br#"{"worker":{"life":{"name":"w9"}}}"#)]
#[tokio::test(start_paused = true)]
async fn an_unreadable_report_hides_no_runs_from_the_next_leader(
    #[case] key: &str,
    #[case] value: &[u8],
    #[values(true, false)] reports_again: bool,
) {
    let cluster = Cluster::new();
    let before = cluster.log.client();
    let first = cluster.entry("e1", before.clone()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    first.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(2)).await;
    before.set_fault(Fault::RefusesAll);
    agent.detach_all();
    cluster.log.put(Stream::Main, key, value);
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    let _second = cluster.entry("e2", cluster.log.client()).await;
    let next = Cluster::agent(cluster.log.client());
    if reports_again {
        sleep(Duration::from_secs(3)).await;
        next.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    }
    for _ in 0..2_000 {
        let running = worker.running() + other.running();
        assert!(running <= 1, "two runs of the task");
        sleep(Duration::from_millis(10)).await;
    }
    let expected = if reports_again { (1, 0) } else { (0, 1) };
    assert_eq!((worker.running(), other.running()), expected);
}
