//! A run of the fault driver.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use displaydoc::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::batch::{AcceptedJobs, submit_jobs};
use super::check::{check_batch, check_urgent};
use super::directory::Directory;
use super::fault::Fault;
use super::inject::Injector;
use super::operators::{history, in_force, switch_presets, watch_presets};
use super::urgent::{RequestHistory, send_requests};
use crate::client::CallError;
use crate::demo::{ordinary_day, peak_day};
use crate::records::gather_records;
use crate::site::{Cluster, ClusterError, Layout, wait_until};
use crate::table::{Checks, Outcome};
use crate::work::{job_state, publish, switch};

/// Number of concurrent callers.
const CALLER_COUNT: u64 = 12;

/// Longest wait for the jobs to end once every fault is healed.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(90);

/// the fault driver was aborted: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct DriveError(pub String);

impl std::error::Error for DriveError {}

impl From<ClusterError> for DriveError {
    fn from(error: ClusterError) -> Self {
        Self(error.to_string())
    }
}

impl From<CallError> for DriveError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

/// The tasks that use the system while faults are injected.
struct Workload {
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<Vec<RequestHistory>>>,
    submitter: JoinHandle<()>,
    operators: Vec<JoinHandle<usize>>,
    observer: JoinHandle<(usize, Vec<String>)>,
}

/// Runs load and faults for `time`, heals every fault and checks the invariants.
///
/// # Errors
///
/// Fails if the cluster can't be started or a stand-in does not respond.
pub async fn drive(seed: u64, time: Duration, logs: &Path) -> Result<Outcome<Fault>, DriveError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(Layout::faults(), logs).await?;
    activate_preset(&cluster).await?;
    let (directory, accepted) = (Directory::default(), AcceptedJobs::default());
    let mut injector = Injector {
        cluster: &mut cluster,
        directory: directory.clone(),
        accepted: accepted.clone(),
        failed_stops: Vec::new(),
    };
    injector.publish_directory();
    let workload = start_workload(&mut rng, &directory, &accepted);
    let faults = inject_faults(&mut injector, time, &mut rng).await?;
    for class in ["rebalance", "rerating"] {
        injector.resume(class, &mut rng).await;
    }
    let failed_stops = injector.failed_stops;
    let mut outcome = Outcome::new(faults);
    finish_and_check(
        &cluster,
        &mut outcome.checks,
        workload,
        &directory,
        &accepted,
    )
    .await?;
    outcome
        .checks
        .none("planned stops that did not end with 0", &failed_stops);
    Ok(outcome)
}

async fn activate_preset(cluster: &Cluster) -> Result<(), DriveError> {
    let published = publish(cluster, 0, "ordinary-day", &ordinary_day()).await
        && publish(cluster, 0, "peak-day", &peak_day()).await;
    if published && switch(cluster, 0, "ordinary-day", "0+0").await {
        return Ok(());
    }
    Err(DriveError(
        "failed to put the first preset in force".to_owned(),
    ))
}

fn start_workload(rng: &mut StdRng, directory: &Directory, accepted: &AcceptedJobs) -> Workload {
    let stop = watch::Sender::new(false);
    let callers = (0..CALLER_COUNT).map(|_| {
        tokio::spawn(send_requests(
            rng.random(),
            directory.clone(),
            stop.subscribe(),
        ))
    });
    let callers = callers.collect();
    let submitter = tokio::spawn(submit_jobs(
        rng.random(),
        directory.clone(),
        accepted.clone(),
        stop.subscribe(),
    ));
    let operators = (0..2).map(|_| {
        tokio::spawn(switch_presets(
            rng.random(),
            directory.clone(),
            stop.subscribe(),
        ))
    });
    let operators = operators.collect();
    let observer = tokio::spawn(watch_presets(directory.clone(), stop.subscribe()));
    Workload {
        stop,
        callers,
        submitter,
        operators,
        observer,
    }
}

/// Injects faults in sequence until `time` has passed. Half of the stand-in faults overlap with a
/// second fault.
async fn inject_faults(
    injector: &mut Injector<'_>,
    time: Duration,
    rng: &mut StdRng,
) -> Result<BTreeMap<Fault, usize>, DriveError> {
    let end = Instant::now() + time;
    let mut counts = BTreeMap::new();
    let mut sequence = Fault::sequence(StdRng::from_rng(rng));
    while Instant::now() < end {
        let Some(fault) = sequence.next() else { break };
        *counts.entry(fault).or_default() += 1;
        let duration = Duration::from_millis(rng.random_range(300..1_500));
        if rng.random_bool(0.5)
            && let Some(standin_fault) = injector.standin_fault(fault, duration, rng)
            && let Some(second) = sequence.next()
        {
            *counts.entry(second).or_default() += 1;
            let first = tokio::spawn(standin_fault);
            injector.inject(second, duration, rng).await?;
            join(first).await??;
        } else {
            injector.inject(fault, duration, rng).await?;
        }
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
    }
    Ok(counts)
}

async fn finish_and_check(
    cluster: &Cluster,
    checks: &mut Checks,
    workload: Workload,
    directory: &Directory,
    accepted: &AcceptedJobs,
) -> Result<(), DriveError> {
    workload.stop.send_replace(true);
    let mut histories = Vec::new();
    for caller in workload.callers {
        histories.extend(join(caller).await?);
    }
    join(workload.submitter).await?;
    let mut switches = 0;
    for operator in workload.operators {
        switches += join(operator).await?;
    }
    let (reads, reverts) = join(workload.observer).await?;
    let open = settle(directory, accepted).await;
    let records = gather_records(cluster).await?;
    check_urgent(checks, &histories, &records);
    checks.at_least("jobs accepted", 1, accepted.all().len());
    checks.none("accepted jobs that are not over", &open);
    check_batch(checks, &records, &cluster.layout);
    checks.at_least("switches of the preset that counted", 1, switches);
    checks.at_least("looks at the preset in force", 1, reads);
    checks.none("steps backwards of the preset in force", &reverts);
    checks.none(
        "entries with another history of presets",
        &find_differences(directory).await,
    );
    Ok(())
}

async fn join<T>(task: JoinHandle<T>) -> Result<T, DriveError> {
    task.await.map_err(|error| DriveError(error.to_string()))
}

/// Waits until every accepted job has ended. Returns the states of those that have not in time.
async fn settle(directory: &Directory, accepted: &AcceptedJobs) -> Vec<String> {
    let mut open = accepted.all();
    let entry = directory.all()[0].callers;
    wait_until(SETTLE_TIMEOUT, async || {
        let mut remaining = Vec::new();
        for job in &open {
            if !job_state(entry, *job)
                .await
                .is_some_and(|job| job.is_over())
            {
                remaining.push(*job);
            }
        }
        open = remaining;
        open.is_empty()
    })
    .await;
    let mut states = Vec::new();
    for job in open {
        states.push(format!("{:?}", job_state(entry, job).await));
    }
    states
}

async fn find_differences(directory: &Directory) -> Vec<String> {
    let entries = directory.all();
    let first = (in_force(entries[0]).await, history(entries[0]).await);
    let mut differences = Vec::new();
    for entry in &entries[1..] {
        let other = (in_force(*entry).await, history(*entry).await);
        if other != first || other.1.is_none() {
            differences.push(format!("{other:?} in place of {first:?}"));
        }
    }
    differences
}
