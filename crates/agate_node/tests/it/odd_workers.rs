//! Odd heartbeats among those of a worker, as another writer sends them.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::{EndCause, JobState, TaskKey};
use agate_node::agent::{
    Heartbeat, LeaseReply, ListedCheckpoint, ListedEnd, ListedRun, WorkerRegistry,
};
use agate_node::entry::Answer;
use rstest::rstest;
use tokio::time::{Instant, sleep};

use crate::diagnosis::{capture_logs, lines_with};
use crate::support::{
    Behavior, Caller as _, Cluster, FakeWorker, Fault, MAX_LEASE, address_of, job_id, one_task_job,
    wait_until,
};

/// Time for which true heartbeats follow an odd one.
const FOLLOWED_FOR: Duration = Duration::from_secs(20);

/// Time between heartbeats.
const HEARTBEAT_PERIOD: Duration = Duration::from_secs(1);

/// Sends true heartbeats of the worker `w1` for [`FOLLOWED_FOR`].
async fn follow_up(agent: &WorkerRegistry) {
    let until = Instant::now() + FOLLOWED_FOR;
    while Instant::now() < until {
        sleep(HEARTBEAT_PERIOD).await;
        agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    }
}

/// Starts a long run on `w1`, lets `disturb` do its work, and checks that the run goes on and that the
/// next job is started there too.
async fn assert_in_service(hides_start: bool, disturb: impl AsyncFnOnce(&WorkerRegistry)) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    if hides_start {
        worker.hide_start();
    }
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    disturb(&agent).await;
    follow_up(&agent).await;
    assert_eq!(worker.running(), 1, "the run ended");
    assert_eq!(worker.started_runs().len(), 1, "it was started again");
    entry.submit_job(2, one_task_job()).await;
    wait_until("the next job runs", || worker.running() == 2).await;
    assert_eq!(agent.worker_count(), 1);
}

/// The worker was given up for an incarnation that nobody had confirmed.
#[rstest]
#[case::later_start(|h| Heartbeat { started_ms: u64::MAX, ..h })]
#[case::other_name(|h| Heartbeat { name: "w9".to_owned(), started_ms: 2, ..h })]
#[case::other_name_without_start(|h| Heartbeat { name: "w9".to_owned(), started_ms: 0, ..h })]
#[case::other_service(|h| Heartbeat {
    name: "w9".to_owned(), started_ms: 2, service: "elsewhere".to_owned(), ..h
})]
#[case::nobody_there(|h| Heartbeat { started_ms: 2, address: address_of("nobody"), ..h })]
#[case::draining(|h| Heartbeat { draining: true, ..h })]
#[case::no_capacity(|h| Heartbeat { capacity: Resources::ZERO, ..h })]
#[case::endless_number(|h| Heartbeat { sequence: u64::MAX, ..h })]
#[case::later_number(|h: Heartbeat| Heartbeat { sequence: h.sequence + 10, ..h })]
#[tokio::test(start_paused = true)]
async fn an_odd_heartbeat_leaves_the_worker_in_service(
    #[case] change: fn(Heartbeat) -> Heartbeat,
    #[values(false, true)] hides_start: bool,
) {
    assert_in_service(hides_start, async |agent| {
        agent.apply_heartbeat(change(FakeWorker::heartbeat("w1", "w1", 1)));
    })
    .await;
}

/// A worker that crashed while an odd claim was open must come back as soon as without it.
#[rstest]
#[case::same_name("w1", |h| Heartbeat { started_ms: 7, ..h })]
#[case::other_name("w1-2", |h| Heartbeat { started_ms: 7, ..h })]
#[case::other_address("w1-2", |h| Heartbeat { address: address_of("nobody"), ..h })]
#[tokio::test(start_paused = true)]
async fn a_restart_registers_at_once_beside_an_odd_claim(
    #[case] name: &str,
    #[case] change: fn(Heartbeat) -> Heartbeat,
    #[values(false, true)] hides_start: bool,
) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    if hides_start {
        worker.hide_start();
    }
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(2)).await;
    worker.crash();
    agent.apply_heartbeat(change(FakeWorker::heartbeat("w1", "w1", 1)));
    sleep(Duration::from_millis(300)).await;
    worker.recover();
    let began = Instant::now();
    agent.apply_heartbeat(FakeWorker::heartbeat(name, "w1", 2));
    wait_until("it runs again", || worker.running() == 1).await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}

/// Each name costs reads of its orders, and each line space in the log.
#[tokio::test(start_paused = true)]
async fn names_that_nobody_confirms_are_not_managed() {
    capture_logs();
    assert_in_service(false, async |agent| {
        for number in 0..1_000 {
            agent.apply_heartbeat(Heartbeat {
                name: format!("odd-{number}-{}", "x".repeat(10_000)),
                address: address_of("nobody"),
                ..FakeWorker::heartbeat("w1", "w1", 1)
            });
        }
        sleep(Duration::from_secs(5)).await;
        assert_eq!(agent.worker_count(), 1);
    })
    .await;
    let rejected = ["event=worker_message_rejected", "cause=unanswered"];
    assert_eq!(lines_with(&rejected).len(), 1);
    let long_name = "x".repeat(200);
    assert!(lines_with(&[rejected[0], &long_name]).is_empty());
}

/// A number that is far ahead silenced the announcement that the worker leaves.
#[rstest]
#[case::endless(u64::MAX)]
#[case::later(12)]
#[tokio::test(start_paused = true)]
async fn a_worker_that_drains_after_an_odd_number_starts_nothing(
    #[case] sequence: u64,
    #[values(false, true)] first: bool,
) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let agent = Cluster::agent(cluster.log.client());
    let mut heartbeats = [1, 2, sequence];
    if first {
        heartbeats.rotate_right(1);
    }
    for sequence in heartbeats {
        agent.apply_heartbeat(Heartbeat {
            sequence,
            ..FakeWorker::heartbeat("w1", "w1", 1)
        });
        sleep(HEARTBEAT_PERIOD).await;
    }
    for sequence in 3..5 {
        agent.apply_heartbeat(Heartbeat {
            draining: true,
            sequence,
            ..FakeWorker::heartbeat("w1", "w1", 1)
        });
        sleep(HEARTBEAT_PERIOD).await;
    }
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(5)).await;
    assert!(worker.started_runs().is_empty());
}

/// Heartbeats numbered in steps of more than 16, by a clock for instance, were ignored, and tasks started on a worker that
/// had been draining for 10 s (DRAIN, second review).
#[rstest]
#[tokio::test(start_paused = true)]
async fn a_worker_that_drains_starts_nothing_whatever_the_steps_of_its_numbers(
    #[values(17, 100, 1_100, 1_000_000_000)] step: u64,
    #[values(1, 2, 5)] ready: u64,
) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let agent = Cluster::agent(cluster.log.client());
    for call in 0..ready + 3 {
        agent.apply_heartbeat(Heartbeat {
            draining: call >= ready,
            sequence: 1 + call * step,
            ..FakeWorker::heartbeat("w1", "w1", 1)
        });
        sleep(HEARTBEAT_PERIOD).await;
    }
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(10)).await;
    assert!(worker.started_runs().is_empty());
}

/// An odd heartbeat that says that the worker drains keeps it out of service until the next one in range.
#[tokio::test(start_paused = true)]
async fn a_drain_out_of_range_ends_with_the_next_heartbeat() {
    assert_in_service(false, async |agent| {
        agent.apply_heartbeat(Heartbeat {
            draining: true,
            sequence: u64::MAX,
            ..FakeWorker::heartbeat("w1", "w1", 1)
        });
    })
    .await;
}

/// Calls that were delayed arrive together, after a later one.
#[tokio::test(start_paused = true)]
async fn late_heartbeats_do_not_end_a_drain() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    sleep(HEARTBEAT_PERIOD).await;
    for (sequence, draining) in [(6, true), (3, false), (4, false), (5, false)] {
        agent.apply_heartbeat(Heartbeat {
            draining,
            sequence,
            ..FakeWorker::heartbeat("w1", "w1", 1)
        });
    }
    entry.submit_job(1, one_task_job()).await;
    sleep(Duration::from_secs(5)).await;
    assert!(worker.started_runs().is_empty());
}

fn first_task(job: u64) -> TaskKey {
    TaskKey {
        job: job_id(job),
        occurrence: 0,
        step: 0,
        index: 0,
    }
}

fn odd_end(number: u64) -> ListedEnd {
    ListedEnd {
        number,
        task: first_task(9),
        run: 1,
        cause: EndCause::Done,
        checkpoint: ListedCheckpoint::Text(String::new()),
    }
}

/// One odd answer made the renewal of the lease panic, or later ends count as recorded.
#[rstest]
#[case::clock_at_its_limit(|r: &mut LeaseReply| r.worker_ms = u64::MAX)]
#[case::clock_ahead(|r: &mut LeaseReply| r.worker_ms += 3_600_000)]
#[case::clock_back(|r: &mut LeaseReply| r.worker_ms = 0)]
#[case::other_start(|r: &mut LeaseReply| r.started_ms = Some(99))]
#[case::end_number(|r: &mut LeaseReply| r.ended.push(odd_end(u64::MAX)))]
#[case::end_number_of_a_long_life(|r: &mut LeaseReply| r.ended.push(odd_end(100_000)))]
#[case::unordered_run(|r: &mut LeaseReply| r.running.push(ListedRun { task: first_task(9), ..r.running[0].clone() }))]
#[case::gauge(|r: &mut LeaseReply| r.running[0].gauge = u64::MAX)]
#[case::percent(|r: &mut LeaseReply| r.running[0].percent = u32::MAX)]
#[case::long_checkpoint(|r: &mut LeaseReply| r.running[0].checkpoint = ListedCheckpoint::TooLong(20_000))]
#[tokio::test(start_paused = true)]
async fn an_odd_answer_leaves_the_worker_in_service(#[case] change: fn(&mut LeaseReply)) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    worker.distort(change);
    for job in 1..=2 {
        entry.submit_job(job, one_task_job()).await;
        entry
            .wait_for_answer(job, Answer::State(JobState::Completed))
            .await;
    }
    assert_eq!(worker.started_runs().len(), 2);
    worker.keep_tasks_running();
    entry.submit_job(3, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    agent.detach_all();
    sleep(MAX_LEASE).await;
    assert_eq!(worker.running(), 0, "the lease lasts too long");
}

/// A long checkpoint made the agent reject each list of its worker, which lost its lease (LOST, review/8). The run goes on,
/// and the next one resumes from the last checkpoint that could be recorded.
#[tokio::test(start_paused = true)]
async fn a_checkpoint_that_is_too_long_costs_only_itself() {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    worker.set_checkpoint(ListedCheckpoint::Text("first".to_owned()));
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    sleep(Duration::from_secs(2)).await;
    worker.set_checkpoint(ListedCheckpoint::TooLong(20_000));
    sleep(2 * MAX_LEASE).await;
    assert_eq!(worker.started_runs(), [(first_task(1), 1)], "it goes on");
    worker.set_behavior(Behavior::Stalls);
    wait_until("it is started again", || worker.started_runs().len() == 2).await;
    assert_eq!(worker.checkpoint_of(first_task(1)), "first");
}

/// The ends of a list were appended in one call. With long checkpoints the log refused it again and again, and the worker's
/// ends were never acknowledged.
#[tokio::test(start_paused = true)]
async fn ends_with_long_checkpoints_are_recorded_in_calls_that_the_log_takes() {
    const TASKS: u32 = 40;
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let worker = FakeWorker::open("w1");
    let log = cluster.log.client();
    log.set_fault(Fault::RefusesAppendsOver(400_000));
    let agent = Cluster::agent(log);
    agent.apply_heartbeat(FakeWorker::heartbeat("w1", "w1", 1));
    worker.set_checkpoint(ListedCheckpoint::Text("a".repeat(16_384)));
    let mut job = one_task_job();
    job.steps[0].tasks = TASKS;
    job.steps[0].demand = agate_core::Resources::new(50, 10, 0);
    entry.submit_job(1, job).await;
    entry
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), TASKS as usize);
}

/// A worker that answers has not left, whoever says so.
#[tokio::test(start_paused = true)]
async fn an_odd_departure_leaves_the_worker_in_service() {
    assert_in_service(false, async |agent| agent.mark_gone("w1")).await;
}

/// The runs of a worker that has left must not wait for its lease.
#[rstest]
#[case::at_once(Duration::ZERO)]
#[case::after_answers(Duration::from_secs(2))]
#[tokio::test(start_paused = true)]
async fn runs_of_a_worker_that_has_left_continue_elsewhere_at_once(#[case] lingers: Duration) {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    entry.submit_job(1, one_task_job()).await;
    wait_until("it runs", || worker.running() == 1).await;
    let (other, _agent) = cluster.worker("w2");
    other.keep_tasks_running();
    sleep(HEARTBEAT_PERIOD).await;
    agent.mark_gone("w1");
    sleep(lingers).await;
    let began = Instant::now();
    worker.crash();
    wait_until("it runs elsewhere", || other.running() == 1).await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
}
