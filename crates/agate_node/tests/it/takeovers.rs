//! Tests of changes of the leader while a worker is lost, a claim is in flight, or the log is loaded.

use std::sync::Arc;
use std::time::Duration;

use agate_core::Resources;
use agate_jobs::record::Body;
use agate_jobs::{
    AgentState, JobSpec, JobState, Order, OrderKind, QueuePolicy, Record, StepSpec, TaskKey,
    WorkerIncarnation, WorkerReport, WorkerState,
};
use agate_node::entry::{Answer, Entry};
use agate_node::metrics::Event;
use agate_node::store::{KeyedLog as _, Stream, order_stream};
use tokio::task::yield_now;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::support::{
    Behavior, Caller as _, Cluster, FakeLog, Fault, MAX_REPLACE_TIME, job_id, one_task_job,
    wait_until,
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

/// Time for which a claim or takeover lasts before the entry is told to stop.
const CLAIM_TIME: Duration = Duration::from_millis(300);

fn heartbeats(cluster: &Cluster) -> usize {
    let keys = cluster.log.keys(Stream::Main);
    keys.iter().filter(|key| *key == "l").count()
}

/// Waits until the first claim is recorded. Polls in less time than a takeover takes.
async fn wait_for_claim(cluster: &Cluster) {
    while heartbeats(cluster) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
}

/// Two entries in a row were told to stop while they took over and left without resigning, so the
/// others waited for the heartbeat timeout each time.
#[rstest::rstest]
#[case::during_the_takeover(Fault::None, Fault::RefusesAppends)]
#[case::with_an_unanswered_claim(Fault::LosesAppendReplies, Fault::LosesAppendReplies)]
#[tokio::test(start_paused = true)]
async fn an_entry_stopped_before_it_schedules_hands_over_at_once(
    #[case] at_claim: Fault,
    #[case] at_takeover: Fault,
) {
    let cluster = Cluster::new();
    let (_worker, _agent) = cluster.worker("w1");
    sleep(Duration::from_secs(1)).await;
    let (log, stop) = (cluster.log.client(), CancellationToken::new());
    log.set_fault(at_claim);
    let starting = cluster.draining_entry("e1", log.clone(), &stop);
    let (first, ()) = tokio::join!(starting, async {
        wait_for_claim(&cluster).await;
        log.set_fault(at_takeover);
    });
    let second = cluster.entry("e2", cluster.log.client()).await;
    sleep(CLAIM_TIME).await;
    assert!(!leads(&first), "it has not taken over yet");
    let began = Instant::now();
    if at_takeover == Fault::RefusesAppends {
        log.set_fault(Fault::None);
    }
    stop.cancel();
    wait_until("the other schedules", || leads(&second)).await;
    assert!(
        began.elapsed() < Duration::from_secs(1),
        "{:?}",
        began.elapsed()
    );
    assert!(!leads(&first));
}

/// A claim that was dropped while it was in flight could still be recorded after the entry has left.
/// One that was certainly refused must leave no trace, since a resignation would depose a leader.
#[rstest::rstest]
#[case::in_flight(Fault::Silent, 1)]
#[case::refused(Fault::RefusesAppends, 0)]
#[tokio::test(start_paused = true)]
async fn a_stopped_entry_resigns_only_a_claim_that_may_be_recorded(
    #[case] fault: Fault,
    #[case] recorded: usize,
) {
    let cluster = Cluster::new();
    let (log, stop) = (cluster.log.client(), CancellationToken::new());
    log.set_fault(fault);
    let entry = cluster.draining_entry("e1", log.clone(), &stop).await;
    wait_until("it claims", || log.append_attempts() > 0).await;
    // Between two attempts, if they are refused.
    sleep(Duration::from_millis(30)).await;
    log.set_fault(Fault::None);
    stop.cancel();
    sleep(Duration::from_secs(5)).await;
    assert_eq!(heartbeats(&cluster), recorded);
    assert_eq!(
        entry.metrics().event_count(Event::ClaimResigned),
        recorded as u64
    );
}

/// A claim by an entry that is about to leave costs the others another change of leader.
#[tokio::test(start_paused = true)]
async fn a_draining_entry_does_not_claim() {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let leader = cluster.entry("e1", log.clone()).await;
    wait_until("it schedules", || leads(&leader)).await;
    let stop = CancellationToken::new();
    let draining = cluster
        .draining_entry("e2", cluster.log.client(), &stop)
        .await;
    log.set_fault(Fault::RefusesAll);
    sleep(Duration::from_millis(1_600)).await;
    stop.cancel();
    sleep(Duration::from_secs(3)).await;
    assert!(!leads(&draining));
    assert_eq!(draining.metrics().event_count(Event::ClaimResigned), 0);
}

/// Returns an entry that has the configuration but can't load the main stream, and its log.
async fn unloaded_entry(cluster: &Cluster) -> (Arc<Entry>, FakeLog) {
    let log = cluster.log.client();
    log.set_fault(Fault::RefusesMainReads);
    let entry = cluster.start_entry("starting", log.clone());
    wait_until("it has a configuration", || entry.routes().version > 0).await;
    (entry, log)
}

/// Submissions were refused for up to 0.9 s after a loss of power while the entries loaded the log.
#[tokio::test(start_paused = true)]
async fn a_job_submitted_before_the_load_and_after_it_runs_once() {
    let cluster = Cluster::new();
    cluster.entry("e1", cluster.log.client()).await;
    let (worker, _agent) = cluster.worker("w1");
    let (entry, log) = unloaded_entry(&cluster).await;
    assert_eq!(entry.submit_job(1, one_task_job()).await, Answer::Accepted);
    assert_eq!(entry.submit_job(1, one_task_job()).await, Answer::Accepted);
    assert_eq!(entry.query_state(1).await, Answer::Refused);
    assert_eq!(entry.query_state(2).await, Answer::Refused, "it may exist");
    assert_eq!(entry.cancel_job(1).await, Answer::Refused);
    assert_eq!(entry.count_pending(), Answer::Refused);
    assert!(!entry.is_ready());
    log.set_fault(Fault::None);
    wait_until("it has loaded", || entry.is_ready()).await;
    assert_eq!(entry.submit_job(1, one_task_job()).await, Answer::Accepted);
    let completed = Answer::State(JobState::Completed);
    entry.wait_for_answer(1, completed).await;
    assert_eq!(entry.query_state(2).await, Answer::NoJob);
    sleep(Duration::from_secs(5)).await;
    assert_eq!(worker.started_runs().len(), 1);
}

/// A submission that is recorded after its job was closed would start the job again once the record
/// of the close has been dropped and an entry loads the log.
#[tokio::test(start_paused = true)]
async fn a_job_that_had_ended_and_is_submitted_before_the_load_does_not_run() {
    let cluster = Cluster::new();
    let closed = Record::new(Body::Closed {
        job: job_id(1),
        queue: "q0".to_owned(),
        state: JobState::Completed,
        at_ms: 1,
    });
    let value = closed.value().expect("it is writable");
    cluster.log.put(Stream::Main, &closed.key, &value);
    let (worker, _agent) = cluster.worker("w1");
    let (entry, log) = unloaded_entry(&cluster).await;
    assert_eq!(entry.submit_job(1, one_task_job()).await, Answer::Accepted);
    log.set_fault(Fault::None);
    wait_until("it schedules", || leads(&entry)).await;
    sleep(Duration::from_secs(5)).await;
    let newest = cluster.log.newest(Stream::Main).await;
    let records = newest.expect("the log answers").records.into_iter();
    let keys: Vec<_> = records.map(|record| record.key).collect();
    assert!(!keys.iter().any(|key| key.starts_with("d/")), "{keys:?}");
    assert!(!keys.iter().any(|key| key.starts_with("j/")), "{keys:?}");
    assert_eq!(worker.started_runs().len(), 0);
}

/// Starts a leader and then entries with shares of a processor, in thousandths, and makes the log
/// refuse the leader. Returns the entries and the time until one of them leads.
async fn replace_leader_by(shares: &[u64]) -> (Vec<Arc<Entry>>, Duration) {
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let leader = cluster.entry("e0", log.clone()).await;
    wait_until("it schedules", || leads(&leader)).await;
    let mut entries = Vec::new();
    for (number, share) in shares.iter().enumerate() {
        let name = format!("e{}", number + 1);
        let client = cluster.log.client();
        entries.push(cluster.entry_with_share(&name, client, *share).await);
        sleep(Duration::from_millis(70)).await;
    }
    let began = Instant::now();
    log.set_fault(Fault::RefusesAll);
    wait_until("another schedules", || entries.iter().any(|e| leads(e))).await;
    (entries, began.elapsed())
}

/// A takeover takes up to 1.5 s on an entry with 0.12 of a processor.
#[rstest::rstest]
#[case::first(&[500, 120, 120, 120], 0)]
#[case::in_between(&[120, 120, 500, 120], 2)]
#[case::just_a_quarter(&[249, 249, 249, 250], 3)]
#[tokio::test(start_paused = true)]
async fn an_entry_with_more_processor_claims_sooner(#[case] shares: &[u64], #[case] larger: usize) {
    for _ in 0..20 {
        let (entries, _) = replace_leader_by(shares).await;
        let taken: Vec<bool> = entries.iter().map(|entry| leads(entry)).collect();
        assert!(taken[larger], "{taken:?}");
    }
}

/// The time without a leader must not grow where all entries are small: a heartbeat may be 0.5 s old,
/// the timeout is 1.7 s, the delay at most 0.3 s, and the takeover of an empty log takes 0.1 s.
#[rstest::rstest]
#[case::one(&[120])]
#[case::three(&[120, 120, 120])]
#[tokio::test(start_paused = true)]
async fn small_entries_claim_within_the_usual_delay(#[case] shares: &[u64]) {
    for _ in 0..20 {
        let (_, took) = replace_leader_by(shares).await;
        assert!(took < Duration::from_millis(2_600), "{took:?}");
    }
}

/// An entry with more processor may be cut off from the log, or slower to notice the silence.
#[tokio::test(start_paused = true)]
async fn a_small_entry_leads_if_no_larger_one_can_claim() {
    let cluster = Cluster::new();
    let (first, second) = (cluster.log.client(), cluster.log.client());
    let leader = cluster.entry("e0", first.clone()).await;
    wait_until("it schedules", || leads(&leader)).await;
    let large = cluster.entry_with_share("e1", second.clone(), 500).await;
    let small = cluster
        .entry_with_share("e2", cluster.log.client(), 120)
        .await;
    let (worker, _agent) = cluster.worker("w1");
    second.set_fault(Fault::RefusesAppends);
    first.set_fault(Fault::RefusesAll);
    wait_until("another schedules", || leads(&small)).await;
    second.set_fault(Fault::None);
    assert_eq!(large.submit_job(1, one_task_job()).await, Answer::Accepted);
    large
        .wait_for_answer(1, Answer::State(JobState::Completed))
        .await;
    assert_eq!(worker.started_runs().len(), 1);
    assert!(!leads(&large), "it doesn't depose a working leader");
}

/// The first placement may take over a second on a slow machine. A leader whose last heartbeat was
/// from before was deposed meanwhile, and its orders were rejected.
#[rstest::rstest]
#[case::of_a_quick_takeover(Duration::ZERO)]
#[case::of_one_that_sent_heartbeats(Duration::from_millis(700))]
#[tokio::test(start_paused = true)]
async fn a_new_leader_places_nothing_before_its_heartbeat_is_recorded(#[case] takeover: Duration) {
    let cluster = Cluster::new();
    let (worker, _agent) = cluster.worker("w1");
    let (unloaded, _) = unloaded_entry(&cluster).await;
    let accepted = unloaded.submit_job(1, one_task_job()).await;
    assert_eq!(accepted, Answer::Accepted);
    let log = cluster.log.client();
    let starting = cluster.entry("e1", log.clone());
    let (entry, ()) = tokio::join!(starting, async {
        wait_for_claim(&cluster).await;
        log.set_fault(Fault::RefusesOrderAppends);
        sleep(takeover).await;
        log.set_fault(Fault::RefusesMainAppends);
    });
    wait_until("it has restored its state", || leads(&entry)).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(worker.started_runs().len(), 0);
    log.set_fault(Fault::None);
    wait_until("it runs", || worker.started_runs().len() == 1).await;
}

/// A lost worker was suspected only after the log had recorded a heartbeat of the new leader, which
/// delayed its tasks where appends to the main stream are slow.
#[tokio::test(start_paused = true)]
async fn a_new_leader_suspects_workers_before_its_heartbeat_is_recorded() {
    let cluster = Cluster::new();
    let (first, second) = (cluster.log.client(), cluster.log.client());
    let leader = cluster.entry("e1", first.clone()).await;
    wait_until("it schedules", || leads(&leader)).await;
    let (worker, agent) = cluster.worker("w1");
    worker.keep_tasks_running();
    let accepted = leader.submit_job(1, one_task_job()).await;
    assert_eq!(accepted, Answer::Accepted);
    wait_until("it runs", || worker.running() == 1).await;
    let successor = cluster.entry("e2", second.clone()).await;
    first.set_fault(Fault::RefusesAll);
    agent.detach_all();
    worker.set_behavior(Behavior::Unreachable);
    sleep(Duration::from_millis(100)).await;
    let before = heartbeats(&cluster);
    while heartbeats(&cluster) == before {
        sleep(Duration::from_millis(1)).await;
    }
    second.set_fault(Fault::RefusesMainAppends);
    wait_until("the other schedules", || leads(&successor)).await;
    sleep(Duration::from_secs(1)).await;
    let suspected = successor.metrics().event_count(Event::WorkerSuspected);
    assert_eq!(suspected, 1);
}

/// A heartbeat of the takeover may be recorded only after the restore. Taken for one that follows
/// the restore, it let a leader place whose last heartbeat was already old.
#[tokio::test(start_paused = true)]
async fn a_pending_heartbeat_of_the_takeover_does_not_permit_placement() {
    let cluster = Cluster::new();
    let (worker, _agent) = cluster.worker("w1");
    let (unloaded, _) = unloaded_entry(&cluster).await;
    let accepted = unloaded.submit_job(1, one_task_job()).await;
    assert_eq!(accepted, Answer::Accepted);
    let log = cluster.log.client();
    let starting = cluster.entry("e1", log.clone());
    let (entry, ()) = tokio::join!(starting, async {
        wait_for_claim(&cluster).await;
        log.set_fault(Fault::RefusesAppends);
        sleep(Duration::from_millis(700)).await;
        log.set_fault(Fault::RefusesMainAppends);
    });
    wait_until("it has restored its state", || leads(&entry)).await;
    log.set_fault(Fault::None);
    while heartbeats(&cluster) < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    log.set_fault(Fault::RefusesMainAppends);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(heartbeats(&cluster), 2, "only that of the takeover");
    assert_eq!(worker.started_runs().len(), 0);
    log.set_fault(Fault::None);
    wait_until("it runs", || worker.started_runs().len() == 1).await;
}

/// An entry may read its first heartbeat before the log has confirmed it. Its first placement then
/// waited for the next scheduling period, up to 100 ms.
#[tokio::test(start_paused = true)]
async fn a_new_leader_places_as_soon_as_its_heartbeat_is_confirmed() {
    let cluster = Cluster::new();
    let (_worker, _agent) = cluster.worker("w1");
    let (unloaded, _) = unloaded_entry(&cluster).await;
    let accepted = unloaded.submit_job(1, one_task_job()).await;
    assert_eq!(accepted, Answer::Accepted);
    let log = cluster.log.client();
    let entry = cluster.start_entry("e1", log.clone());
    while !leads(&entry) {
        sleep(Duration::from_millis(1)).await;
    }
    log.set_fault(Fault::LosesAppendReplies);
    while heartbeats(&cluster) < 2 {
        sleep(Duration::from_millis(1)).await;
    }
    let attempts = log.append_attempts();
    while log.append_attempts() == attempts {
        sleep(Duration::from_millis(1)).await;
    }
    log.set_fault(Fault::None);
    let retried = Instant::now();
    while entry.metrics().event_count(Event::TaskBound) == 0 {
        sleep(Duration::from_millis(1)).await;
    }
    let took = retried.elapsed();
    assert!(took < Duration::from_millis(15), "{took:?}");
}

/// After a loss of power, the orders of all tasks were written at once, and the leader's heartbeats
/// waited behind them until another entry took over (flyttelaget-booking-grown trouble-1).
#[tokio::test(start_paused = true)]
async fn tasks_are_placed_no_faster_than_their_orders_are_recorded() {
    const TASKS: u32 = 600;
    const MOST_IN_FLIGHT: u64 = 200;
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let (worker, _agent) = cluster.worker("w1");
    entry.submit_job(2, one_task_job()).await;
    wait_until("the worker is known", || worker.started_runs().len() == 1).await;
    let before = entry.metrics().event_count(Event::TaskBound);
    let mut job = one_task_job();
    job.steps[0].tasks = TASKS;
    job.steps[0].demand = agate_core::Resources::new(1, 1, 0);
    let other = cluster.entry("e2", cluster.log.client()).await;
    log.set_fault(Fault::Silent);
    other.submit_job(1, job).await;
    sleep(Duration::from_millis(500)).await;
    let bound = entry.metrics().event_count(Event::TaskBound) - before;
    assert!((1..=MOST_IN_FLIGHT).contains(&bound), "{bound} bound");
    log.set_fault(Fault::None);
    wait_until("all tasks have started", || {
        worker.started_runs().len() > TASKS as usize
    })
    .await;
}

/// A stream that the log doesn't take must not hold up the orders of other workers. As many as may be in
/// flight are bound to the one whose stream fails, and none after them.
#[tokio::test(start_paused = true)]
async fn orders_that_the_log_refuses_do_not_hold_up_placement() {
    const TASKS: u32 = 600;
    let cluster = Cluster::new();
    let log = cluster.log.client();
    let entry = cluster.entry("e1", log.clone()).await;
    let (worker, _agent) = cluster.worker("w1");
    entry.submit_job(2, one_task_job()).await;
    wait_until("the worker is known", || worker.started_runs().len() == 1).await;
    let mut job = one_task_job();
    job.steps[0].tasks = TASKS;
    job.steps[0].demand = agate_core::Resources::new(1, 1, 0);
    let stream = order_stream("w1", cluster.log.order_streams());
    log.set_fault(Fault::RefusesAppendsTo(stream));
    entry.submit_job(1, job).await;
    let bound = || entry.metrics().event_count(Event::TaskBound) - 1;
    wait_until("as many as may be in flight are bound", || bound() == 200).await;
    sleep(Duration::from_secs(1)).await;
    assert_eq!(bound(), 200, "more are bound to a worker without orders");
    let (other, _agent) = cluster.worker("w2");
    wait_until("all tasks are placed", || bound() == u64::from(TASKS)).await;
    wait_until("the others run", || other.started_runs().len() == 400).await;
    assert_eq!(worker.started_runs().len(), 1);
}

/// Stores the records of a job of `tasks` long-running tasks that run on `workers` workers.
fn store_runs(log: &FakeLog, workers: u32, tasks: u32) {
    let put = |stream: Stream, record: &Record| {
        let value = record.value().expect("it is writable");
        log.put(stream, &record.key, &value);
    };
    let worker = |number: u32| WorkerIncarnation {
        name: format!("w{number}"),
        started_ms: 1,
        term: 0,
    };
    let demand = Resources::new(1, 1, 0);
    let step = StepSpec {
        tasks,
        demand,
        long_running: true,
        ..StepSpec::default()
    };
    let submitted = Record::new(Body::Submitted {
        job: job_id(1),
        spec: JobSpec {
            payload: String::new(),
            steps: vec![step],
            repeat: None,
        },
        policy: QueuePolicy {
            queue: "q0".to_owned(),
            service: "other".to_owned(),
            priority: 0,
            max_attempts: 3,
            stretch_milli: 1_500,
            slack_ms: 0,
        },
        at_ms: 1,
    });
    put(Stream::Main, &submitted);
    for number in 0..workers {
        let report = WorkerReport {
            incarnation: worker(number),
            state: WorkerState::Ready,
            service: "other".to_owned(),
            capacity: Resources::new(64_000, 64_000, 0),
            labels: Vec::new(),
            address: format!("w{number}:1"),
            zone: String::new(),
            acked_suspicion: 0,
            headroom: Vec::new(),
            interference: Vec::new(),
            cold_ms: 0,
            unreachable: false,
            start_block: None,
            agent: AgentState::Serving,
            heartbeat: 0,
            started_jobs: Vec::new(),
            not_started: Vec::new(),
        };
        put(Stream::Main, &Record::new(Body::Worker(report)));
    }
    let streams = log.order_streams();
    for index in 0..tasks {
        let incarnation = worker(index % workers);
        let stream = order_stream(&incarnation.name, streams);
        let order = Order {
            incarnation,
            task: TaskKey {
                job: job_id(1),
                occurrence: 0,
                step: 0,
                index,
            },
            run: 1,
            kind: OrderKind::Stop {
                demand,
                best_effort: false,
            },
        };
        put(stream, &Record::new(Body::Order(order)));
    }
}

/// A restore ran without a break, so that the new leader sent no heartbeat meanwhile and was deposed
/// (incident 7). The clock runs here, as a paused one doesn't advance while a task yields.
#[tokio::test]
async fn other_tasks_run_while_a_new_leader_restores_its_state() {
    let cluster = Cluster::new();
    store_runs(&cluster.log, 100, 1_000);
    let log = cluster.log.client();
    let entry = cluster.start_entry("e1", log.clone());
    wait_until("it reads orders", || log.order_reads() > 0).await;
    let (mut reads, mut turns) = (0, 0);
    while !leads(&entry) {
        if reads == log.order_reads() {
            turns += 1;
        } else {
            (reads, turns) = (log.order_reads(), 0);
        }
        yield_now().await;
    }
    assert_eq!(reads, log.order_reads(), "no turn since the last read");
    // The state consists of 100 workers and 1,000 orders.
    assert!(turns > 20, "{turns} turns since the last read");
}
