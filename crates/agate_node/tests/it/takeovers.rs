//! Tests of changes of the leader while a worker is lost, a claim is in flight, or the log is loaded.

use std::sync::Arc;
use std::time::Duration;

use agate_node::entry::{Answer, Entry};
use agate_node::metrics::Event;
use tokio::time::{Instant, sleep};

use crate::support::{
    Behavior, Caller as _, Cluster, FakeLog, Fault, MAX_REPLACE_TIME, one_task_job, wait_until,
};

/// Time from the storage of a suspicion to its heartbeat, with some margin.
const LISTED_AFTER: Duration = Duration::from_millis(150);

fn leads(entry: &Entry) -> bool {
    entry.metrics().event_count(Event::LeaderTaken) > 0
}

/// Makes the log refuse the leader, and waits for the next one. Returns the others.
async fn replace_leader(mut entries: Vec<(Arc<Entry>, FakeLog)>) -> Vec<(Arc<Entry>, FakeLog)> {
    let leader = entries.iter().position(|(entry, _)| leads(entry));
    let (_, log) = entries.remove(leader.expect("one of them leads"));
    log.set_fault(Fault::RefusesAll);
    wait_until("another schedules", || {
        entries.iter().any(|(entry, _)| leads(entry))
    })
    .await;
    entries
}

/// Each leader counted the expiry of a suspicion from its own takeover (incident 7).
#[rstest::rstest]
#[case::right_after_the_suspicion(1)]
#[case::two_in_a_row(2)]
#[tokio::test(start_paused = true)]
async fn a_lost_run_continues_in_time_although_leaders_are_killed(
    #[case] killed: u32,
    #[values(0, 125, 250, 375)] phase_ms: u64,
) {
    let cluster = Cluster::new();
    let mut entries = Vec::new();
    for name in ["e1", "e2", "e3"] {
        let log = cluster.log.client();
        entries.push((cluster.entry(name, log.clone()).await, log));
    }
    wait_until("one schedules", || entries.iter().any(|(e, _)| leads(e))).await;
    // The suspicion is stored at a different time after a regular heartbeat in each case.
    sleep(Duration::from_millis(phase_ms)).await;
    let (lost, agent) = cluster.worker("w1");
    lost.keep_tasks_running();
    let submitted = entries[0].0.submit_job(1, one_task_job()).await;
    assert_eq!(submitted, Answer::Accepted);
    wait_until("it runs", || lost.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    let began = Instant::now();
    agent.detach_all();
    lost.set_behavior(Behavior::Unreachable);
    wait_until("it is suspected", || {
        let mut metrics = entries.iter().map(|(entry, _)| entry.metrics());
        metrics.any(|metrics| metrics.event_count(Event::WorkerSuspected) > 0)
    })
    .await;
    sleep(LISTED_AFTER).await;
    for _ in 0..killed {
        entries = replace_leader(entries).await;
    }
    wait_until("it runs elsewhere", || other.running() == 1).await;
    assert!(began.elapsed() < MAX_REPLACE_TIME, "{:?}", began.elapsed());
}
