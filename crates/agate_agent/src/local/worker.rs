//! The worker's API, as the platform offers it on the same machine.

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

/// Connections kept to the worker.
const MAX_CONNECTIONS: u32 = 16;

/// Longest time for a call that only changes the worker's memory.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// A task to start. Starting the same run twice starts it once.
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
    /// It runs.
    Running,
    /// Its lease has lapsed and it waits for a new one.
    Paused,
    /// It is finished.
    Finished,
    /// It failed.
    Failed {
        /// What went wrong.
        reason: String,
        /// Whether it ran out of a resource.
        exhausted: bool,
    },
    /// It was checkpointed and ended.
    Checkpointed {
        /// Where it resumes from.
        checkpoint: String,
    },
    /// It was ended without a checkpoint.
    Stopped,
}

/// One lagging reading.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
pub(crate) struct WorkerUsage {
    pub(crate) run: RunId,
    /// When it was measured, in microseconds of the boot clock.
    pub(crate) measured_us: u64,
    pub(crate) used: Resources,
}

#[derive(Debug, Serialize)]
struct Deadline {
    deadline_us: u64,
}

/// Why a call on the worker gave no result.
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

/// Calls on the worker. Each call may be repeated.
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

    /// Every task that the worker has not ended.
    pub(crate) async fn list_unfinished(&self) -> Result<Vec<RunId>, WorkerError> {
        self.call(Method::GET, "/tasks", NO_BODY, CALL_TIMEOUT)
            .await
    }

    /// Hands on the lease and tells how the task is.
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

    /// Checkpoints the task and ends it; answers once that is done.
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
        let reply = exchanged.keep_connection(&self.pool);
        match reply.status {
            status if status.is_success() => serde_json::from_slice(&reply.body)
                .map_err(|error| WorkerError::Unreachable(format!("bad answer: {error}"))),
            StatusCode::NOT_FOUND => Err(WorkerError::Unknown),
            status if status.is_client_error() => Err(WorkerError::Refused(
                String::from_utf8_lossy(&reply.body).into_owned(),
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

/// No body, of any type that could be one.
const NO_BODY: Option<&()> = None;
