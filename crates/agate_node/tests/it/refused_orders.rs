//! Orders that the log refuses while it takes those to other workers.

use std::sync::Arc;
use std::time::Duration;

use agate_jobs::JobState;
use agate_node::agent::WorkerRegistry;
use agate_node::entry::{Answer, Entry};
use agate_node::store::{ORDER_STREAMS, Stream, order_stream};
use rstest::rstest;
use tokio::time::{Instant, sleep, timeout};

use crate::diagnosis::{capture_logs, lines_with};
use crate::support::{Caller as _, Cluster, FakeLog, FakeWorker, Fault, one_task_job, wait_until};

/// Time within which a task runs elsewhere after its order has been refused: well below the time that an
/// outage of a part of the log lasts.
const MAX_RETURN_TIME: Duration = Duration::from_secs(1);

/// Time for which refusals last that may be returned.
const OUTAGE: Duration = Duration::from_secs(3);

/// A leader with one worker, of whose stream of orders the log has a fault.
struct Faulty {
    cluster: Cluster,
    /// The leader's client of the log.
    log: FakeLog,
    entry: Arc<Entry>,
    worker: FakeWorker,
    /// Keeps the worker's agent running.
    _agent: WorkerRegistry,
}

impl Faulty {
    /// Submits a job of one task once the log has a fault.
    async fn open(fault: Fault) -> Self {
        capture_logs();
        let cluster = Cluster::new();
        let log = cluster.log.client();
        let entry = cluster.entry("e1", log.clone()).await;
        let (worker, agent) = cluster.worker("w1");
        sleep(Duration::from_secs(1)).await;
        log.set_fault(fault);
        entry.submit_job(1, one_task_job()).await;
        wait_until("it is bound", || bound_to("w1") == 1).await;
        Self {
            cluster,
            log,
            entry,
            worker,
            _agent: agent,
        }
    }

    /// Ends the fault and returns how many times each worker was told to start the task, which completes.
    async fn finish(self, other: &FakeWorker) -> (usize, usize) {
        self.log.set_fault(Fault::None);
        self.entry
            .wait_for_answer(1, Answer::State(JobState::Completed))
            .await;
        // Time for an order that would still be carried out.
        sleep(Duration::from_secs(2)).await;
        (self.worker.started_runs().len(), other.started_runs().len())
    }
}

/// Returns the stream of the first worker's orders.
fn refused_stream() -> Stream {
    order_stream("w1", ORDER_STREAMS)
}

fn bound_to(worker: &str) -> usize {
    lines_with(&["event=task_bound", &format!("worker={worker}")]).len()
}

/// What was bound as an outage of a part of the log began waited for its end beside idle workers.
#[tokio::test(start_paused = true)]
async fn a_task_whose_order_is_refused_runs_elsewhere() {
    let faulty = Faulty::open(Fault::RefusesAppendsTo(refused_stream())).await;
    let (other, _agent) = faulty.cluster.worker("w2");
    let began = Instant::now();
    let started = wait_until("it runs elsewhere", || other.started_runs().len() == 1);
    timeout(MAX_RETURN_TIME, started)
        .await
        .expect("it runs elsewhere before the outage ends");
    assert!(began.elapsed() < MAX_RETURN_TIME);
    assert_eq!(faulty.finish(&other).await, (0, 1));
    assert_eq!(lines_with(&["event=run_lost", "order_refused"]).len(), 1);
}

/// What was bound after the first refused order and before the leader knew of it waited as well.
#[tokio::test(start_paused = true)]
async fn orders_behind_a_refused_one_are_returned_with_it() {
    let faulty = Faulty::open(Fault::RefusesAppendsTo(refused_stream())).await;
    faulty.entry.submit_job(2, one_task_job()).await;
    faulty.entry.submit_job(3, one_task_job()).await;
    let (other, _agent) = faulty.cluster.worker("w2");
    timeout(
        OUTAGE,
        wait_until("all run elsewhere", || other.started_runs().len() == 3),
    )
    .await
    .expect("they run elsewhere before the outage ends");
    assert_eq!(faulty.finish(&other).await, (0, 3));
}

/// An order that may be stored must not be given back: its run and the next one would run at the same time.
#[rstest]
#[case::first_attempt_unanswered(Fault::SilentTo(refused_stream()), Duration::from_millis(500))]
#[case::first_attempt_stored(Fault::LosesAppendReplies, Duration::from_millis(10))]
#[tokio::test(start_paused = true)]
async fn an_order_that_may_be_stored_is_not_returned(
    #[case] first: Fault,
    #[case] after: Duration,
) {
    let faulty = Faulty::open(first).await;
    let (other, _agent) = faulty.cluster.worker("w2");
    sleep(after).await;
    faulty
        .log
        .set_fault(Fault::RefusesAppendsTo(refused_stream()));
    sleep(OUTAGE).await;
    assert_eq!(faulty.finish(&other).await, (1, 0));
    assert!(lines_with(&["event=run_lost"]).is_empty());
}

/// While the log refuses everything, no end can be recorded and nothing bound elsewhere, so that a return only
/// costs records.
#[tokio::test(start_paused = true)]
async fn nothing_is_returned_while_the_log_refuses_the_main_stream() {
    let faulty = Faulty::open(Fault::RefusesOrderAppends).await;
    faulty.log.set_fault(Fault::RefusesAppends);
    let (other, _agent) = faulty.cluster.worker("w2");
    // Shorter than the silence after which another entry would lead.
    sleep(Duration::from_millis(1_200)).await;
    faulty.log.set_fault(Fault::None);
    assert_eq!(faulty.finish(&other).await, (1, 0));
    assert!(lines_with(&["event=run_lost"]).is_empty());
}

/// Refusals that end soon cost less than a return.
#[tokio::test(start_paused = true)]
async fn an_order_that_is_refused_for_a_short_time_is_not_returned() {
    let faulty = Faulty::open(Fault::RefusesAppendsTo(refused_stream())).await;
    let (other, _agent) = faulty.cluster.worker("w2");
    sleep(Duration::from_millis(400)).await;
    assert_eq!(faulty.finish(&other).await, (1, 0));
    assert!(lines_with(&["event=run_lost"]).is_empty());
}
