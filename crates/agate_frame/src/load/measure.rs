//! One run: the same arrivals directly and through the product.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use agate_core::JobId;
use bon::Builder;
use displaydoc::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin_worker::{Payload, TaskStatus};

use super::arrivals::arrive;
use super::figures::{Figures, LoadReport};
use crate::client::{Call, CallError, Method, call};
use crate::demo::ordinary_day;
use crate::site::{Frame, FrameError, Layout};
use crate::truth::{Truth, gather};
use crate::work::{Submission, Told, Urgent, publish, send, submit, switch};

/// Tasks of the batch job that runs beside the requests; more than can finish in time.
const TASKS: u32 = 100_000;

/// Work of one batch task in milliseconds at full speed.
const TASK_MS: u64 = 500;

/// the load run broke off: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct LoadError(pub String);

impl std::error::Error for LoadError {}

impl From<FrameError> for LoadError {
    fn from(error: FrameError) -> Self {
        Self(error.to_string())
    }
}

impl From<CallError> for LoadError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

/// What to run.
#[derive(Debug, Clone, Builder)]
pub struct LoadPlan {
    /// The site.
    pub layout: Layout,
    /// Requests a second.
    pub rate: f64,
    /// Length of each of the two parts.
    pub time: Duration,
    /// Seed of the arrivals.
    pub seed: u64,
}

/// Sends the planned requests straight to the backend servers, then through the entries beside a
/// batch job.
///
/// # Errors
///
/// Fails if the site can't be started or a record can't be read.
pub async fn run(plan: &LoadPlan, logs: &Path) -> Result<LoadReport, LoadError> {
    let frame = Frame::start(plan.layout.clone(), logs).await?;
    let published = publish(&frame, 0, "ordinary-day", &ordinary_day()).await;
    if !(published && switch(&frame, 0, "ordinary-day", "0+0").await) {
        return Err(LoadError("the preset could not be put in force".to_owned()));
    }
    let direct = direct(&frame, plan).await;
    start_batch(&frame).await?;
    let before = gather(&frame).await?;
    let product = through(&frame, plan).await;
    let after = gather(&frame).await?;
    let count = |truth: &Truth, judge: fn(&TaskStatus) -> bool| -> usize {
        truth
            .workers
            .iter()
            .flat_map(|ran| &ran.tasks)
            .filter(|task| judge(&task.status))
            .count()
    };
    let grown = |judge| count(&after, judge).saturating_sub(count(&before, judge));
    Ok(LoadReport {
        direct,
        product,
        tasks: grown(|status| *status == TaskStatus::Finished),
        evictions: grown(|status| matches!(status, TaskStatus::Checkpointed { .. })),
        seconds: plan.time.as_secs(),
    })
}

async fn direct(frame: &Frame, plan: &LoadPlan) -> Figures {
    let backends: Vec<SocketAddr> = frame.backends.iter().map(|node| node.address).collect();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    arrive(plan.rate, plan.time, &mut rng, move |number| {
        let to = in_turn(&backends, number);
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

async fn through(frame: &Frame, plan: &LoadPlan) -> Figures {
    let entries: Vec<SocketAddr> = frame.entries.iter().map(|entry| entry.callers).collect();
    let mut rng = StdRng::seed_from_u64(plan.seed);
    arrive(plan.rate, plan.time, &mut rng, move |number| {
        let to = in_turn(&entries, number);
        let urgent = Urgent::builder()
            .class("seat-check")
            .body(format!("family {number}"))
            .build();
        async move { send(to, &urgent).await == Told::Done }
    })
    .await
}

fn in_turn(addresses: &[SocketAddr], number: u64) -> SocketAddr {
    let count = addresses.len() as u64;
    addresses[usize::try_from(number % count).unwrap_or(0)]
}

async fn start_batch(frame: &Frame) -> Result<(), LoadError> {
    let payload = Payload {
        duration_ms: TASK_MS,
        ..Payload::default()
    };
    let job = JobId(rand::rng().random());
    let job = Submission::builder()
        .job(job)
        .class("rebalance")
        .tasks(TASKS)
        .payload(payload)
        .build();
    if submit(frame.entries[0].callers, &job).await {
        return Ok(());
    }
    Err(LoadError("the batch job was not accepted".to_owned()))
}
