//! Series of odd heartbeats and departures among the heartbeats of two workers, with a fixed seed.

use std::time::Duration;

use agate_core::Resources;
use agate_jobs::{JobSpec, StepSpec};
use agate_node::agent::{Heartbeat, WorkerRegistry};
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};
use tokio::time::sleep;

use crate::support::{Caller as _, Cluster, FakeWorker, address_of, one_task_job, wait_until};

const WORKERS: [&str; 2] = ["w1", "w2"];

/// One message to the agent, or a pause.
#[derive(Debug, Clone)]
enum Message {
    True,
    Odd(OddHeartbeat),
    Gone(&'static str),
    Pause(u64),
}

#[derive(Debug, Clone)]
struct OddHeartbeat {
    name: &'static str,
    address: &'static str,
    service: &'static str,
    started_ms: u64,
    sequence: u64,
    draining: bool,
    millicores: u32,
    cold_ms: u64,
}

fn names() -> impl Strategy<Value = &'static str> {
    proptest::sample::select(vec!["w1", "w2", "w9", "nobody"])
}

fn odd_heartbeats() -> impl Strategy<Value = OddHeartbeat> {
    let numbers = || {
        let known = proptest::sample::select(vec![0, 1, 2, u64::MAX - 1, u64::MAX]);
        prop_oneof![known, 0_u64..40, any::<u64>()]
    };
    let places = (
        names(),
        names(),
        proptest::sample::select(vec!["seatbook", "x"]),
    );
    let amounts = proptest::sample::select(vec![0, 4_000, 100_000_000]);
    (
        places,
        numbers(),
        numbers(),
        any::<bool>(),
        amounts,
        0_u64..3_600_000,
    )
        .prop_map(
            |((name, address, service), started_ms, sequence, draining, millicores, cold_ms)| {
                OddHeartbeat {
                    name,
                    address,
                    service,
                    started_ms,
                    sequence,
                    draining,
                    millicores,
                    cold_ms,
                }
            },
        )
}

fn series() -> impl Strategy<Value = Vec<Message>> {
    let message = prop_oneof![
        2 => Just(Message::True),
        4 => odd_heartbeats().prop_map(Message::Odd),
        1 => names().prop_map(Message::Gone),
        2 => (0_u64..900).prop_map(Message::Pause),
    ];
    proptest::collection::vec(message, 1..40)
}

fn send_true(agent: &WorkerRegistry) {
    for name in WORKERS {
        agent.apply_heartbeat(FakeWorker::heartbeat(name, name, 1));
    }
}

async fn send(agent: &WorkerRegistry, message: &Message) {
    match message {
        Message::True => send_true(agent),
        Message::Gone(name) => agent.mark_gone(name),
        Message::Pause(ms) => sleep(Duration::from_millis(*ms)).await,
        Message::Odd(odd) => agent.apply_heartbeat(Heartbeat {
            name: odd.name.to_owned(),
            address: address_of(odd.address),
            service: odd.service.to_owned(),
            started_ms: odd.started_ms,
            sequence: odd.sequence,
            draining: odd.draining,
            capacity: Resources::new(odd.millicores, 1_000, 0),
            cold_ms: odd.cold_ms,
            zone: "elsewhere".to_owned(),
            labels: Vec::new(),
        }),
    }
}

/// Returns a job of which a worker has room for one.
fn large_job() -> JobSpec {
    let job = one_task_job();
    let demand = Resources::new(3_000, 100, 0);
    let steps = job.steps.iter().cloned();
    let steps = steps.map(|step| StepSpec { demand, ..step }).collect();
    JobSpec { steps, ..job }
}

async fn check(series: Vec<Message>) -> Result<(), TestCaseError> {
    let cluster = Cluster::new();
    let entry = cluster.entry("e1", cluster.log.client()).await;
    let agent = Cluster::agent(cluster.log.client());
    let workers = WORKERS.map(FakeWorker::open);
    for worker in &workers {
        worker.keep_tasks_running();
    }
    send_true(&agent);
    for job in 1..=2 {
        entry.submit_job(job, large_job()).await;
    }
    wait_until("both run", || {
        workers.iter().all(|worker| worker.running() == 1)
    })
    .await;
    for message in &series {
        send(&agent, message).await;
    }
    for _ in 0..15 {
        sleep(Duration::from_secs(1)).await;
        send_true(&agent);
    }
    for worker in &workers {
        prop_assert_eq!(worker.running(), 1, "a run ended");
        prop_assert_eq!(worker.started_runs().len(), 1, "it was started again");
    }
    prop_assert_eq!(agent.worker_count(), 2);
    for job in 3..=4 {
        entry.submit_job(job, one_task_job()).await;
    }
    wait_until("both run more", || {
        workers.iter().all(|worker| worker.running() == 2)
    })
    .await;
    agent.detach_all();
    Ok(())
}

/// Any of them may give up a worker for good, or let its lease lapse.
#[test]
fn no_series_of_odd_messages_takes_a_worker_out_of_service() {
    let config = ProptestConfig {
        cases: 40,
        rng_seed: RngSeed::Fixed(38),
        failure_persistence: None,
        max_shrink_iters: 60,
        ..ProptestConfig::default()
    };
    let outcome = TestRunner::new(config).run(&series(), |series| {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .start_paused(true)
            .build()
            .expect("build a runtime");
        runtime.block_on(check(series))
    });
    outcome.expect("both workers stay in service");
}
