//! One run of the fault driver.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use displaydoc::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::sync::watch;
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use super::batch::{Accepted, submitter};
use super::check::{check_batch, check_urgent};
use super::directory::Directory;
use super::fault::Fault;
use super::inject::Injector;
use super::operators::{history, in_force, observer, operator};
use super::urgent::{RequestHistory, caller};
use crate::client::CallError;
use crate::demo::{ordinary_day, peak_day};
use crate::records::gather_records;
use crate::site::{Cluster, ClusterError, Layout, wait_until};
use crate::table::{Checks, Outcome};
use crate::work::{job_state, publish, switch};

/// Callers at once.
const CALLERS: u64 = 12;

/// Longest wait for the jobs to be over once every fault is healed.
const SETTLE_TIME: Duration = Duration::from_secs(90);

/// the fault driver broke off: {0}
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

/// Everybody who uses the system while it fails.
struct Users {
    stop: watch::Sender<bool>,
    callers: Vec<JoinHandle<Vec<RequestHistory>>>,
    submitter: JoinHandle<()>,
    operators: Vec<JoinHandle<usize>>,
    observer: JoinHandle<(usize, Vec<String>)>,
}

/// Runs load and faults for `time`, heals everything and checks what must hold.
///
/// # Errors
///
/// Fails if the frame can't be started or a stand-in can't be asked.
pub async fn drive(seed: u64, time: Duration, logs: &Path) -> Result<Outcome<Fault>, DriveError> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut cluster = Cluster::start(Layout::faults(), logs).await?;
    put_in_force(&cluster).await?;
    let (directory, accepted) = (Directory::default(), Accepted::default());
    let mut injector = Injector {
        cluster: &mut cluster,
        directory: directory.clone(),
        accepted: accepted.clone(),
        bad_stops: Vec::new(),
    };
    injector.publish_directory();
    let users = start_users(&mut rng, &directory, &accepted);
    let faults = inject_for(&mut injector, time, &mut rng).await?;
    for class in ["rebalance", "rerating"] {
        injector.resume(class, &mut rng).await;
    }
    let bad_stops = injector.bad_stops;
    let mut outcome = Outcome::new(faults);
    finish(&cluster, &mut outcome.checks, users, &directory, &accepted).await?;
    outcome
        .checks
        .none("planned stops that did not end with 0", &bad_stops);
    Ok(outcome)
}

async fn put_in_force(cluster: &Cluster) -> Result<(), DriveError> {
    let published = publish(cluster, 0, "ordinary-day", &ordinary_day()).await
        && publish(cluster, 0, "peak-day", &peak_day()).await;
    if published && switch(cluster, 0, "ordinary-day", "0+0").await {
        return Ok(());
    }
    Err(DriveError(
        "the first preset could not be put in force".to_owned(),
    ))
}

fn start_users(rng: &mut StdRng, directory: &Directory, accepted: &Accepted) -> Users {
    let stop = watch::Sender::new(false);
    let callers = (0..CALLERS)
        .map(|_| tokio::spawn(caller(rng.random(), directory.clone(), stop.subscribe())));
    let callers = callers.collect();
    let submitter = tokio::spawn(submitter(
        rng.random(),
        directory.clone(),
        accepted.clone(),
        stop.subscribe(),
    ));
    let operators =
        (0..2).map(|_| tokio::spawn(operator(rng.random(), directory.clone(), stop.subscribe())));
    let operators = operators.collect();
    let observer = tokio::spawn(observer(directory.clone(), stop.subscribe()));
    Users {
        stop,
        callers,
        submitter,
        operators,
        observer,
    }
}

/// Injects faults one after another; half of them while a fault of a stand-in lasts.
async fn inject_for(
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
        let lasts = Duration::from_millis(rng.random_range(300..1_500));
        if rng.random_bool(0.5)
            && let Some(lasting) = injector.lasting(fault, lasts, rng)
            && let Some(second) = sequence.next()
        {
            *counts.entry(second).or_default() += 1;
            let first = tokio::spawn(lasting);
            injector.inject(second, lasts, rng).await?;
            joined(first).await??;
        } else {
            injector.inject(fault, lasts, rng).await?;
        }
        sleep(Duration::from_millis(rng.random_range(0..400))).await;
    }
    Ok(counts)
}

async fn finish(
    cluster: &Cluster,
    checks: &mut Checks,
    users: Users,
    directory: &Directory,
    accepted: &Accepted,
) -> Result<(), DriveError> {
    users.stop.send_replace(true);
    let mut stories = Vec::new();
    for caller in users.callers {
        stories.extend(joined(caller).await?);
    }
    joined(users.submitter).await?;
    let mut counted = 0;
    for operator in users.operators {
        counted += joined(operator).await?;
    }
    let (looks, reverts) = joined(users.observer).await?;
    let open = settle(directory, accepted).await;
    let records = gather_records(cluster).await?;
    check_urgent(checks, &stories, &records);
    checks.at_least("jobs accepted", 1, accepted.all().len());
    checks.none("accepted jobs that are not over", &open);
    check_batch(checks, &records, &cluster.layout);
    checks.at_least("switches of the preset that counted", 1, counted);
    checks.at_least("looks at the preset in force", 1, looks);
    checks.none("steps backwards of the preset in force", &reverts);
    checks.none(
        "entries with another history of presets",
        &differences(directory).await,
    );
    Ok(())
}

async fn joined<T>(task: JoinHandle<T>) -> Result<T, DriveError> {
    task.await.map_err(|error| DriveError(error.to_string()))
}

/// Waits until every accepted job is over; returns those that are not.
async fn settle(directory: &Directory, accepted: &Accepted) -> Vec<String> {
    let mut open = accepted.all();
    let entry = directory.all()[0].callers;
    wait_until(SETTLE_TIME, async || {
        let mut still = Vec::new();
        for job in &open {
            if !job_state(entry, *job)
                .await
                .is_some_and(|job| job.is_over())
            {
                still.push(*job);
            }
        }
        open = still;
        open.is_empty()
    })
    .await;
    let mut views = Vec::new();
    for job in open {
        views.push(format!("{:?}", job_state(entry, job).await));
    }
    views
}

async fn differences(directory: &Directory) -> Vec<String> {
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
