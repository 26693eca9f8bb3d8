//! Agents under loss of their worker, of the log and of themselves.

use std::time::Duration;

use agate_jobs::JobState;
use agate_node::entry::Answer;
use agate_node::store::Stream;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, Fault, REPLACE_TIME, one_task, until,
};

/// hunt-b48c-31: holds that found the connection refused counted as granted.
#[tokio::test(start_paused = true)]
async fn runs_of_a_worker_that_cannot_be_reached_go_on_elsewhere() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (lost, _lost_agent) = cluster.worker("w1");
    lost.run_until_stopped();
    entry.submit_job(1, one_task()).await;
    until("it runs", || lost.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.run_until_stopped();
    let began = Instant::now();
    lost.set_behavior(Behavior::Unreachable);
    until("it runs elsewhere", || other.running() == 1).await;
    assert_eq!(lost.running(), 0, "two runs at the same time");
    assert!(began.elapsed() < REPLACE_TIME, "{:?}", began.elapsed());
}

#[tokio::test(start_paused = true)]
async fn runs_of_an_agent_that_cannot_reach_the_log_end_before_they_go_on_elsewhere() {
    replaced_without_two_runs(Fault::Refuses).await;
}

/// The agent's evidence is what it reads; that its own appends fail must not keep it alive.
#[tokio::test(start_paused = true)]
async fn an_agent_that_can_only_read_is_replaced_without_two_runs() {
    replaced_without_two_runs(Fault::RefusesAppends).await;
}

/// The log treats one agent with `fault`; its run goes on elsewhere, and never twice at a time.
async fn replaced_without_two_runs(fault: Fault) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.run_until_stopped();
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.run_until_stopped();
    log.set_fault(fault);
    until("it runs elsewhere", || {
        let both = worker.running() + other.running();
        assert!(both <= 1, "two runs at the same time");
        other.running() == 1
    })
    .await;
}

#[tokio::test(start_paused = true)]
async fn an_agent_that_restarts_adopts_what_runs() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.run_until_stopped();
    let agent = Cluster::agent(cluster.log.client());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    agent.renew_leases().await;
    agent.detach_all();
    sleep(Duration::from_secs(3)).await;
    let successor = Cluster::agent(cluster.log.client());
    successor.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(20)).await;
    assert_eq!(worker.running(), 1);
    assert_eq!(worker.started_runs().len(), 1, "it was never started again");
}

/// kehilla-seats-grown, trouble-3: the conclusion of an agent that restarted took the place of the
/// acknowledged end, and entries that restarted as well placed the finished task again.
#[tokio::test(start_paused = true)]
async fn an_acknowledged_end_outlasts_the_restart_of_everything() {
    let cluster = Cluster::new();
    let stop = CancellationToken::new();
    let entry = cluster.stoppable_entry("e1", &stop).await;
    let (worker, agent) = cluster.worker("w1");
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    stop.cancel();
    let ends = || {
        let keys = cluster.log.keys(Stream::Main);
        keys.iter().filter(|key| key.ends_with(".0.0.0/1")).count()
    };
    until("its end is on record", || ends() == 1).await;
    sleep(Duration::from_secs(1)).await;
    agent.detach_all();
    let successor = Cluster::agent(cluster.log.client());
    successor.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    until("the successor has concluded an end", || ends() == 2).await;
    let entry = cluster.entry("e2", cluster.log.client()).await;
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_start_without_an_answer_is_tried_again_after_it_was_stopped() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::IgnoresStarts);
    entry.submit_job(1, one_task()).await;
    sleep(Duration::from_secs(2)).await;
    worker.set_behavior(Behavior::Healthy);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    let runs: Vec<u32> = worker.started_runs().iter().map(|(_, run)| *run).collect();
    assert_eq!(runs.len(), 1);
    assert!(runs[0] > 1, "the first run was given up for good");
}

#[tokio::test(start_paused = true)]
async fn a_start_that_was_carried_out_without_an_answer_goes_on() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.set_behavior(Behavior::LosesStartReplies);
    entry.submit_job(1, one_task()).await;
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn an_end_is_acknowledged_only_when_it_is_on_record() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    log.set_fault(Fault::RefusesAppends);
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(worker.running(), 0, "it has finished");
    log.set_fault(Fault::None);
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
}

#[tokio::test(start_paused = true)]
async fn a_worker_that_starts_anew_gets_its_runs_back_at_once() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (old, agent) = cluster.worker("w1");
    old.run_until_stopped();
    entry.submit_job(1, one_task()).await;
    until("it runs", || old.running() == 1).await;
    let new = FakeWorker::open("w1");
    new.run_until_stopped();
    let began = Instant::now();
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    until("it runs again", || new.running() == 1).await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}

#[tokio::test(start_paused = true)]
async fn a_draining_worker_starts_nothing() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    let mut beat = FakeWorker::heartbeat("w1", "w1", 1);
    beat.sequence = 2;
    beat.draining = true;
    agent.apply_heartbeat(beat);
    entry.submit_job(1, one_task()).await;
    sleep(Duration::from_secs(5)).await;
    assert!(worker.started_runs().is_empty());
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_of_an_earlier_incarnation_changes_nothing() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let agent = Cluster::agent(cluster.log.client());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task()).await;
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
    let reports = cluster.log.keys(Stream::Main);
    assert!(reports.iter().any(|key| key == "w/w1"));
}

/// kra-pricing-grown, trouble-2: a slow store turned appends away, and 72 agents that tried again
/// five times a second left no room for callers.
#[tokio::test(start_paused = true)]
async fn an_agent_backs_off_while_its_appends_fail() {
    /// Twice as often as with a delay that has grown to its longest.
    const MOST_TRIES: usize = 10;
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    let _worker = FakeWorker::open("w1");
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::RefusesAppends);
    let before = log.append_tries();
    sleep(Duration::from_secs(10)).await;
    let tries = log.append_tries() - before;
    assert!(tries <= MOST_TRIES, "{tries} tries");
    assert!(tries > 2, "it gave up");
}

/// kehilla-seats, workers-behind-cuts 954490955359: a worker answered again after its lease had lapsed
/// and before its term was raised, and its agent took it as draining from then on.
#[tokio::test(start_paused = true)]
async fn a_worker_that_answers_before_its_term_is_raised_takes_tasks_again() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.run_until_stopped();
    let log = cluster.log.client();
    let agent = Cluster::agent(log.clone());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    entry.submit_job(1, one_task()).await;
    until("it runs", || worker.running() == 1).await;
    worker.set_behavior(Behavior::Unreachable);
    sleep(Duration::from_secs(4)).await;
    log.set_fault(Fault::RefusesAppends);
    sleep(Duration::from_secs(4)).await;
    worker.set_behavior(Behavior::Healthy);
    sleep(Duration::from_secs(1)).await;
    log.set_fault(Fault::None);
    until("it runs again", || worker.running() == 1).await;
}

/// Tasks on some workers stand still while all else there is well.
#[tokio::test(start_paused = true)]
async fn a_task_that_gets_no_further_goes_on_elsewhere() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (stuck, _agent) = cluster.worker("w1");
    stuck.set_behavior(Behavior::Stalls);
    entry.submit_job(1, one_task()).await;
    until("it began", || stuck.running() == 1).await;
    let (other, _other_agent) = cluster.worker("w2");
    let began = Instant::now();
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(other.started_runs().len(), 1);
    assert!(
        began.elapsed() < Duration::from_secs(4),
        "{:?}",
        began.elapsed()
    );
}

/// Soak, seed 225: a worker that had started anew under its name took a start meant for its earlier
/// life, and the run was started elsewhere while it went on.
#[tokio::test(start_paused = true)]
async fn a_run_on_a_new_life_ends_before_it_goes_on_elsewhere() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    worker.run_until_stopped();
    worker.set_behavior(Behavior::SlowStops);
    let agent = Cluster::agent(cluster.log.client());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(1)).await;
    worker.restart();
    entry.submit_job(1, one_task()).await;
    until("it runs on the new life", || worker.running() == 1).await;
    let (other, _other_agent) = cluster.worker("w2");
    other.run_until_stopped();
    sleep(Duration::from_millis(100)).await;
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    let runs = || {
        let running = worker.running() + other.running();
        assert!(running <= 1, "two runs at the same time");
        worker.started_runs().len() + other.started_runs().len()
    };
    until("it began again", || runs() == 2).await;
}

#[tokio::test(start_paused = true)]
async fn a_task_that_a_new_life_has_finished_is_not_started_again() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let agent = Cluster::agent(cluster.log.client());
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    sleep(Duration::from_secs(1)).await;
    worker.restart();
    entry.submit_job(1, one_task()).await;
    until("it runs on the new life", || worker.running() == 1).await;
    until("it has finished", || worker.running() == 0).await;
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 2));
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    sleep(Duration::from_secs(5)).await;
    assert_eq!(worker.started_runs().len(), 1);
}
