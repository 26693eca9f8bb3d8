//! Submitters of batch jobs.

use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_core::JobId;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use standin_worker::Payload;
use tokio::sync::watch;

use super::directory::Directory;
use crate::work::{Submission, submit};

/// Pause between two jobs.
const PAUSE: Duration = Duration::from_millis(700);

/// Tasks of a job.
const TASKS: u32 = 4;

/// Jobs that were accepted.
#[derive(Debug, Clone, Default)]
pub(crate) struct Accepted(Arc<Mutex<Vec<JobId>>>);

impl Accepted {
    /// Every accepted job.
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

/// Submits jobs until `stop`.
pub(crate) async fn submitter(
    seed: u64,
    directory: Directory,
    accepted: Accepted,
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
            .tasks(TASKS)
            .payload(payload)
            .build();
        if submit(directory.any(&mut rng).callers, &submission).await {
            accepted.add(job);
        }
        let _ = tokio::time::timeout(PAUSE, stop.changed()).await;
    }
}
