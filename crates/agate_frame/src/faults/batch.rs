//! Submission of batch jobs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_core::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin_worker::Payload;
use tokio::sync::watch;

use super::directory::Directory;
use crate::work::{Submission, submit};

/// Interval between two job submissions.
const SUBMIT_INTERVAL: Duration = Duration::from_millis(700);

/// Number of tasks of each job.
const TASKS_PER_JOB: u32 = 4;

/// Ids of the accepted jobs.
#[derive(Debug, Clone, Default)]
pub(crate) struct AcceptedJobs(Arc<Mutex<Vec<JobId>>>);

impl AcceptedJobs {
    /// Returns the ids of all accepted jobs.
    pub(crate) fn all(&self) -> Vec<JobId> {
        self.0
            .lock()
            .expect("no holder of this lock panics")
            .clone()
    }

    fn add(&self, job: JobId) {
        self.0
            .lock()
            .expect("no holder of this lock panics")
            .push(job);
    }
}

/// Submits jobs until `stop` is set.
pub(crate) async fn submit_jobs(
    seed: u64,
    directory: Directory,
    accepted: AcceptedJobs,
    mut stop: watch::Receiver<bool>,
) {
    let mut rng = StdRng::seed_from_u64(seed);
    while !*stop.borrow() {
        let job = JobId(rng.random());
        let class = if rng.random_bool(0.5) {
            "rebalance"
        } else {
            "rerating"
        };
        let payload = Payload {
            duration_ms: rng.random_range(100..1_500),
            ..Payload::default()
        };
        let submission = Submission::builder()
            .job(job)
            .class(class)
            .tasks(TASKS_PER_JOB)
            .payload(payload)
            .build();
        if submit(directory.pick(&mut rng).callers, &submission).await {
            accepted.add(job);
        }
        let _ = tokio::time::timeout(SUBMIT_INTERVAL, stop.changed()).await;
    }
}
