//! Client for the API of the worker on the same machine.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Moment, Resources, RunId};
use bytes::Bytes;
use displaydoc::Display;
use http::header::{CONTENT_TYPE, HOST};
use http::{Method, Request, StatusCode};
use http_body_util::Full;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::exchange::{ExchangeError, exchange};
use super::pool::Pool;

/// Maximum number of connections to the worker.
const MAX_CONNECTIONS: u32 = 16;

/// Timeout of a call that only changes the worker's memory, which is any call but a checkpoint.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A task to start. The call is idempotent for each run.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub(crate) struct TaskStart {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
    pub(crate) checkpoint: Option<String>,
    pub(crate) payload: String,
    /// Lease deadline in microseconds of the boot clock.
    pub(crate) deadline_us: u64,
}

/// State of a task on the worker.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "state")]
pub(crate) enum TaskStatus {
    /// The task is running.
    Running,
    /// The lease has lapsed; the task waits for a renewal.
    Paused,
    /// The task finished.
    Finished,
    /// The task failed.
    Failed {
        /// Cause of the failure.
        reason: String,
        /// Whether the task ran out of a resource.
        exhausted: bool,
    },
    /// The task was checkpointed and ended.
    Checkpointed {
        /// Checkpoint to resume from.
        checkpoint: String,
    },
    /// The task was stopped without a checkpoint.
    Stopped,
}

/// Resource usage of a run, which the worker reports with a delay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct WorkerUsage {
    pub(crate) run: RunId,
    /// Time of the measurement, in microseconds of the boot clock.
    pub(crate) measured_us: u64,
    pub(crate) used: Resources,
}

#[derive(Debug, Serialize)]
struct Deadline {
    deadline_us: u64,
}

/// Reason why a call to the worker failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) enum WorkerError {
    /// the worker refused: {0}
    Refused(String),
    /// the worker does not know the run
    Unknown,
    /// the worker can't be reached: {0}
    Unreachable(String),
}

impl From<ExchangeError> for WorkerError {
    fn from(error: ExchangeError) -> Self {
        Self::Unreachable(error.to_string())
    }
}

/// Client for the worker. All calls are idempotent.
#[derive(Debug)]
pub(crate) struct WorkerClient {
    pool: Pool,
}

impl WorkerClient {
    pub(crate) fn new(address: SocketAddr) -> Self {
        Self {
            pool: Pool::new(address, MAX_CONNECTIONS),
        }
    }

    pub(crate) async fn start(&self, task: &TaskStart) -> Result<TaskStatus, WorkerError> {
        self.call(Method::POST, "/tasks", Some(task), CALL_TIMEOUT)
            .await
    }

    /// Lists the runs whose tasks have not ended.
    pub(crate) async fn list_unfinished(&self) -> Result<Vec<RunId>, WorkerError> {
        self.call(Method::GET, "/tasks", NO_BODY, CALL_TIMEOUT)
            .await
    }

    /// Renews the task's lease and returns its state.
    pub(crate) async fn renew_lease(
        &self,
        run: RunId,
        until: Moment,
    ) -> Result<TaskStatus, WorkerError> {
        let deadline = Deadline {
            deadline_us: until.as_micros(),
        };
        let path = format!("/tasks/{run}/lease");
        self.call(Method::POST, &path, Some(&deadline), CALL_TIMEOUT)
            .await
    }

    pub(crate) async fn throttle(&self, run: RunId) -> Result<TaskStatus, WorkerError> {
        self.post_action(run, "throttle", CALL_TIMEOUT).await
    }

    pub(crate) async fn release(&self, run: RunId) -> Result<TaskStatus, WorkerError> {
        self.post_action(run, "release", CALL_TIMEOUT).await
    }

    pub(crate) async fn stop(&self, run: RunId) -> Result<TaskStatus, WorkerError> {
        self.post_action(run, "stop", CALL_TIMEOUT).await
    }

    /// Checkpoints and ends the task. Returns once that is done.
    pub(crate) async fn checkpoint(
        &self,
        run: RunId,
        limit: Duration,
    ) -> Result<TaskStatus, WorkerError> {
        self.post_action(run, "checkpoint", limit).await
    }

    pub(crate) async fn usage(&self) -> Result<Vec<WorkerUsage>, WorkerError> {
        self.call(Method::GET, "/usage", NO_BODY, CALL_TIMEOUT)
            .await
    }

    async fn post_action(
        &self,
        run: RunId,
        action: &str,
        limit: Duration,
    ) -> Result<TaskStatus, WorkerError> {
        let path = format!("/tasks/{run}/{action}");
        self.call(Method::POST, &path, NO_BODY, limit).await
    }

    async fn call<T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
        limit: Duration,
    ) -> Result<T, WorkerError> {
        let request = self.request(method, path, body)?;
        let exchanged = exchange(&self.pool, request, limit).await?;
        let response = exchanged.keep_connection(&self.pool);
        match response.status {
            status if status.is_success() => serde_json::from_slice(&response.body)
                .map_err(|error| WorkerError::Unreachable(format!("bad answer: {error}"))),
            StatusCode::NOT_FOUND => Err(WorkerError::Unknown),
            status if status.is_client_error() => Err(WorkerError::Refused(
                String::from_utf8_lossy(&response.body).into_owned(),
            )),
            status => Err(WorkerError::Unreachable(format!("status {status}"))),
        }
    }

    fn request(
        &self,
        method: Method,
        path: &str,
        body: Option<&impl Serialize>,
    ) -> Result<Request<Full<Bytes>>, WorkerError> {
        let bytes = match body {
            Some(body) => {
                serde_json::to_vec(body).map_err(|error| WorkerError::Refused(error.to_string()))?
            }
            None => Vec::new(),
        };
        Request::builder()
            .method(method)
            .uri(path)
            .header(HOST, self.pool.address().to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(bytes)))
            .map_err(|error| WorkerError::Refused(error.to_string()))
    }
}

/// An absent request body.
const NO_BODY: Option<&()> = None;
