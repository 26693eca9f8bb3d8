//! Steps of the demo.

use std::collections::BTreeMap;
use std::path::Path;
use std::time::Duration;

use agate_core::JobId;
use displaydoc::Display;
use rand::Rng;
use rand::rngs::StdRng;
use standin_worker::Payload;

use super::{ordinary_day, peak_day};
use crate::client::CallError;
use crate::process::Signal;
use crate::records::{
    count_finished_tasks, count_runs_by_body, count_runs_by_key, find_overlaps, find_repeated_runs,
    gather_records,
};
use crate::site::{Cluster, ClusterError, Layout, wait_until};
use crate::table::Checks;
use crate::work::{
    Binding, CallOutcome, Submission, UrgentRequest, in_force, job_state, new_key, publish, resume,
    send, send_with_retries, submit, switch, withdraw,
};

/// Repeatable requests sent at once in each wave. More than slots and queues hold, so that some are
/// rejected and retried by their callers.
const WAVE_REQUESTS: usize = 100;

/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 40;

/// Longest wait for a job to end.
const JOB_TIMEOUT: Duration = Duration::from_mins(1);

/// Longest wait for a preset to be in force in every entry.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(12);

/// the demo was aborted: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct DemoError(pub String);

impl std::error::Error for DemoError {}

impl From<ClusterError> for DemoError {
    fn from(error: ClusterError) -> Self {
        Self(error.to_string())
    }
}

impl From<CallError> for DemoError {
    fn from(error: CallError) -> Self {
        Self(error.to_string())
    }
}

/// Runs the demo and returns its checks.
///
/// # Errors
///
/// Fails if the cluster can't be started or a record can't be read.
pub async fn run_demo(logs: &Path, rng: &mut StdRng) -> Result<Checks, DemoError> {
    let mut cluster = Cluster::start(Layout::demo(), logs).await?;
    let mut checks = Checks::default();
    check_preset_switch(&cluster, &mut checks, "ordinary-day", &ordinary_day()).await;
    check_urgent_wave(&cluster, &mut checks, "urgent requests answered whole", rng).await;
    check_key_runs_once(&cluster, &mut checks, rng).await?;
    let rebalance = submit_job(&cluster, &mut checks, "rebalance", rng).await;
    check_preset_switch(&cluster, &mut checks, "peak-day", &peak_day()).await;
    check_killed_agents(&mut cluster, &mut checks, rng).await?;
    let rerating = check_withdrawal(&cluster, &mut checks, rng).await?;
    check_jobs_finish(&cluster, &mut checks, &[rebalance, rerating]).await?;
    check_planned_stop(&mut cluster, &mut checks).await?;
    Ok(checks)
}

async fn check_preset_switch(
    cluster: &Cluster,
    checks: &mut Checks,
    name: &str,
    preset: &serde_json::Value,
) {
    let published = publish(cluster, 0, name, preset).await;
    checks.equal(&format!("preset {name} published"), &true, &published);
    let before = in_force(cluster, 0)
        .await
        .map_or_else(|| "0+0".to_owned(), |preset| preset.version);
    let won = switch(cluster, 0, name, &before).await;
    checks.equal(&format!("switch to {name} counted"), &true, &won);
    let lost = switch(cluster, 1, name, &before).await;
    checks.equal(
        &format!("second switch from the same version to {name} counted"),
        &false,
        &lost,
    );
    let everywhere = wait_until(PROPAGATION_TIMEOUT, async || {
        for entry in 0..cluster.entries.len() {
            let held = in_force(cluster, entry)
                .await
                .and_then(|preset| preset.name);
            if held.as_deref() != Some(name) {
                return false;
            }
        }
        true
    });
    checks.equal(
        &format!("preset {name} in force in every entry"),
        &true,
        &everywhere.await,
    );
}

async fn check_urgent_wave(cluster: &Cluster, checks: &mut Checks, name: &str, rng: &mut StdRng) {
    let mut calls = Vec::new();
    for index in 0..WAVE_REQUESTS {
        let entry = cluster.entries[index % cluster.entries.len()].callers;
        let urgent = UrgentRequest::builder()
            .class("seat-check")
            .body(format!("family {}", rng.random::<u64>()))
            .build();
        calls.push(tokio::spawn(async move {
            send_with_retries(entry, &urgent).await
        }));
    }
    let mut outcome_counts: BTreeMap<String, usize> = BTreeMap::new();
    for call in calls {
        let outcome = call.await.unwrap_or(CallOutcome::Nothing);
        *outcome_counts.entry(outcome.to_string()).or_default() += 1;
    }
    let seen: Vec<String> = outcome_counts
        .into_iter()
        .map(|(outcome, count)| format!("{count} {outcome}"))
        .collect();
    checks.equal(
        name,
        format!("{WAVE_REQUESTS} done").as_str(),
        seen.join(", ").as_str(),
    );
}

async fn check_key_runs_once(
    cluster: &Cluster,
    checks: &mut Checks,
    rng: &mut StdRng,
) -> Result<(), DemoError> {
    let key = new_key(rng);
    let body = format!("bench 7 for household {}", rng.random::<u64>());
    let urgent = UrgentRequest::builder()
        .class("seat-assign")
        .body(body.clone())
        .binding(Binding::Key(key))
        .build();
    for entry in &cluster.entries {
        let outcome = send(entry.callers, &urgent).await;
        checks.equal(
            "the same key through each entry",
            &CallOutcome::Done,
            &outcome,
        );
    }
    let records = gather_records(cluster).await?;
    checks.equal(
        "runs of that key on all backend servers",
        &1,
        &count_runs_by_body(&records, &body),
    );
    Ok(())
}

async fn submit_job(
    cluster: &Cluster,
    checks: &mut Checks,
    class: &str,
    rng: &mut StdRng,
) -> JobId {
    let job = JobId(rng.random());
    let payload = Payload {
        duration_ms: 1_500,
        ..Payload::default()
    };
    let submission = Submission::builder()
        .job(job)
        .class(class)
        .tasks(TASKS_PER_JOB)
        .payload(payload)
        .build();
    let accepted = submit(cluster.entries[0].callers, &submission).await;
    checks.equal(&format!("{class} job accepted"), &true, &accepted);
    job
}

/// Kills the agent of a backend server and that of a worker, checks urgent requests, and starts
/// replacements.
async fn check_killed_agents(
    cluster: &mut Cluster,
    checks: &mut Checks,
    rng: &mut StdRng,
) -> Result<(), DemoError> {
    tokio::time::sleep(Duration::from_millis(500)).await;
    cluster.workers[0].agent.signal(Signal::Kill);
    cluster.backends[0].agent.signal(Signal::Kill);
    check_urgent_wave(
        cluster,
        checks,
        "urgent requests answered whole after two agents were killed",
        rng,
    )
    .await;
    let (zone, local) = (cluster.workers[0].zone, cluster.workers[0].address);
    (cluster.workers[0].agent, cluster.workers[0].relay) =
        cluster.start_worker_agent(zone, local)?;
    let (zone, local) = (cluster.backends[0].zone, cluster.backends[0].address);
    (cluster.backends[0].agent, cluster.backends[0].relay) =
        cluster.start_backend_agent(zone, local)?;
    Ok(())
}

async fn check_withdrawal(
    cluster: &Cluster,
    checks: &mut Checks,
    rng: &mut StdRng,
) -> Result<JobId, DemoError> {
    checks.equal(
        "rerating withdrawn",
        &true,
        &withdraw(cluster, 1, "rerating").await,
    );
    let job = submit_job(cluster, checks, "rerating", rng).await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = count_started(cluster, job).await?;
    checks.equal("rerating tasks started while withdrawn", &0, &started);
    checks.equal(
        "rerating resumed",
        &true,
        &resume(cluster, 0, "rerating").await,
    );
    Ok(job)
}

async fn count_started(cluster: &Cluster, job: JobId) -> Result<usize, DemoError> {
    let records = gather_records(cluster).await?;
    let prefix = format!("{job}.");
    let tasks = records.workers.iter().flat_map(|record| &record.tasks);
    Ok(tasks.filter(|task| task.run.starts_with(&prefix)).count())
}

async fn check_jobs_finish(
    cluster: &Cluster,
    checks: &mut Checks,
    jobs: &[JobId],
) -> Result<(), DemoError> {
    for job in jobs {
        wait_until(JOB_TIMEOUT, async || {
            job_state(cluster.entries[1].callers, *job)
                .await
                .is_some_and(|job| job.is_over())
        })
        .await;
        let finished = job_state(cluster.entries[1].callers, *job)
            .await
            .map_or(0, |job| job.finished);
        checks.equal(
            "tasks of the job finished by the log",
            &TASKS_PER_JOB,
            &finished,
        );
    }
    let records = gather_records(cluster).await?;
    for job in jobs {
        let wanted = usize::try_from(TASKS_PER_JOB).unwrap_or(usize::MAX);
        checks.at_least(
            "tasks of the job finished by the workers",
            wanted,
            count_finished_tasks(&records, *job),
        );
    }
    checks.none(
        "tasks that ran in two places at once",
        &find_overlaps(&records),
    );
    checks.none("runs that started twice", &find_repeated_runs(&records));
    let repeated = count_runs_by_key(&records)
        .into_iter()
        .filter(|(_, runs)| *runs > 1);
    checks.none(
        "keys that ran twice",
        &repeated.map(|(key, _)| key).collect::<Vec<_>>(),
    );
    Ok(())
}

async fn check_planned_stop(cluster: &mut Cluster, checks: &mut Checks) -> Result<(), DemoError> {
    const STOP_TIMEOUT: Duration = Duration::from_secs(20);
    let mut codes = Vec::new();
    let entries = cluster.entries.iter_mut().map(|entry| &mut entry.process);
    let backends = cluster.backends.iter_mut().map(|node| &mut node.agent);
    let workers = cluster.workers.iter_mut().map(|node| &mut node.agent);
    let mut processes: Vec<_> = backends.chain(workers).chain(entries).collect();
    for process in &processes {
        process.signal(Signal::Terminate);
    }
    for process in &mut processes {
        let status = process
            .wait(STOP_TIMEOUT)
            .await
            .map_err(|error| DemoError(error.to_string()))?;
        codes.push(
            status
                .code()
                .map_or_else(|| "signal".to_owned(), |code| code.to_string()),
        );
    }
    let bad: Vec<String> = codes.into_iter().filter(|code| code != "0").collect();
    checks.none("processes whose planned stop did not end with 0", &bad);
    Ok(())
}
