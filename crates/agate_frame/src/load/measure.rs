//! A load run: the same arrivals, sent directly and through the product.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use agate_core::JobId;
use bon::Builder;
use displaydoc::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin_worker::{Payload, TaskStatus};

use super::arrivals::send_open_loop;
use super::report::{LoadReport, LoadStats};
use crate::client::{Call, CallError, Method, call};
use crate::demo::ordinary_day;
use crate::records::{RunRecords, gather_records};
use crate::site::{Cluster, ClusterError, Layout};
use crate::work::{CallOutcome, Submission, UrgentRequest, publish, send, submit, switch};

/// Number of tasks of the batch job that runs beside the requests. More than can finish in time.
const BATCH_TASKS: u32 = 100_000;

/// Work of one batch task in milliseconds at full speed.
const TASK_MS: u64 = 500;

/// the load run was aborted: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct LoadError(pub String);

impl std::error::Error for LoadError {}

impl From<ClusterError> for LoadError {
    fn from(error: ClusterError) -> Self {
        Self(error.to_string())
    }
}

impl From<CallError> for LoadError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

/// Parameters of a load run.
#[derive(Debug, Clone, Builder)]
pub struct LoadPlan {
    /// Layout of the site.
    pub layout: Layout,
    /// Requests per second.
    pub rate: f64,
    /// Duration of each of the two parts.
    pub duration: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Sends the planned requests directly to the backend servers, then through the entries while a
/// batch job runs.
///
/// # Errors
///
/// Fails if the site can't be started or a record can't be read.
pub async fn run(plan: &LoadPlan, logs: &Path) -> Result<LoadReport, LoadError> {
    let cluster = Cluster::start(plan.layout.clone(), logs).await?;
    let published = publish(&cluster, 0, "ordinary-day", &ordinary_day()).await;
    if !(published && switch(&cluster, 0, "ordinary-day", "0+0").await) {
        return Err(LoadError("failed to put the preset in force".to_owned()));
    }
    let direct = measure_direct(&cluster, plan).await;
    start_batch(&cluster).await?;
    let before = gather_records(&cluster).await?;
    let product = measure_product(&cluster, plan).await;
    let after = gather_records(&cluster).await?;
    let count = |records: &RunRecords, predicate: fn(&TaskStatus) -> bool| -> usize {
        records
            .workers
            .iter()
            .flat_map(|record| &record.tasks)
            .filter(|task| predicate(&task.status))
            .count()
    };
    let count_new = |predicate| count(&after, predicate).saturating_sub(count(&before, predicate));
    Ok(LoadReport {
        direct,
        product,
        tasks: count_new(|status| *status == TaskStatus::Finished),
        evictions: count_new(|status| matches!(status, TaskStatus::Checkpointed { .. })),
        seconds: plan.duration.as_secs(),
    })
}

async fn measure_direct(cluster: &Cluster, plan: &LoadPlan) -> LoadStats {
    let backends: Vec<SocketAddr> = cluster.backends.iter().map(|node| node.address).collect();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    send_open_loop(plan.rate, plan.duration, &mut rng, move |number| {
        let to = pick_round_robin(&backends, number);
        let headers = vec![("agate-request", number.to_string())];
        let request = Call::builder()
            .to(to)
            .method(Method::Post)
            .path("/work/seat-check")
            .headers(headers);
        let request = request.body(format!("family {number}")).build();
        async move {
            call(request)
                .await
                .is_ok_and(|reply| reply.status.is_success())
        }
    })
    .await
}

async fn measure_product(cluster: &Cluster, plan: &LoadPlan) -> LoadStats {
    let entries: Vec<SocketAddr> = cluster.entries.iter().map(|entry| entry.callers).collect();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    send_open_loop(plan.rate, plan.duration, &mut rng, move |number| {
        let to = pick_round_robin(&entries, number);
        let urgent = UrgentRequest::builder()
            .class("seat-check")
            .body(format!("family {number}"))
            .build();
        async move { send(to, &urgent).await == CallOutcome::Done }
    })
    .await
}

fn pick_round_robin(addresses: &[SocketAddr], number: u64) -> SocketAddr {
    let count = addresses.len() as u64;
    addresses[usize::try_from(number % count).unwrap_or(0)]
}

async fn start_batch(cluster: &Cluster) -> Result<(), LoadError> {
    let payload = Payload {
        duration_ms: TASK_MS,
        ..Payload::default()
    };
    let job = JobId(rand::rng().random());
    let job = Submission::builder()
        .job(job)
        .class("rebalance")
        .tasks(BATCH_TASKS)
        .payload(payload)
        .build();
    if submit(cluster.entries[0].callers, &job).await {
        return Ok(());
    }
    Err(LoadError("the batch job was not accepted".to_owned()))
}
