//! Holding of one run, from its start on the worker to its recorded end.

use std::sync::Arc;
use std::time::Duration;

use agate_bind::{Pace, RunState, RunStep};
use agate_core::{Moment, RunId};
use agate_telemetry::spans::Hop;
use agate_wire::message::{RunResult, StartReply, StartRun};
use tokio::sync::watch;
use tokio::time::{Instant, sleep};

use super::{report, status};
use crate::local::{TaskStart, TaskStatus, WorkerError};
use crate::state::{Bound, Core, Phase};

/// Time between two looks at a run.
const POLL: Duration = Duration::from_millis(200);

/// Time past a lease's deadline after which the worker has paused the run beyond doubt, even if it
/// is slow to notice.
const LAPSE_MARGIN: Duration = Duration::from_secs(1);

/// One run and what the worker was told about it.
struct Holder {
    core: Arc<Core>,
    bound: Arc<Bound>,
    run: RunId,
    /// The latest lease deadline that the worker may have been told.
    told: Moment,
    pace: Pace,
    contact: Contact,
    begun: Instant,
}

/// Whether the worker answered the last call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    Answered,
    Silent,
}

/// How a run left its holder.
enum Left {
    /// It ended.
    Ended(RunResult),
    /// The worker may hold it still, paused for good.
    GivenUp,
    /// It never started.
    Refused(String),
    /// The incarnation was lost.
    Lost,
}

/// Holds a run that was just bound, in a task of its own.
pub(crate) fn spawn(
    core: &Arc<Core>,
    bound: &Arc<Bound>,
    request: StartRun,
    reply: watch::Sender<Option<StartReply>>,
) {
    let holder = Holder {
        core: Arc::clone(core),
        bound: Arc::clone(bound),
        run: request.run,
        told: Moment::ZERO,
        pace: Pace::Full,
        contact: Contact::Answered,
        begun: Instant::now(),
    };
    let held = bound.holders.track_future(holder.hold(request, reply));
    core.work.spawn(held);
}

impl Holder {
    async fn hold(mut self, request: StartRun, reply: watch::Sender<Option<StartReply>>) {
        let mut span = self.core.tracer.start(Hop::AgentRun, Some(request.trace));
        span.note("run", self.run);
        let left = match self.start(request).await {
            Ok(()) => {
                reply.send_replace(Some(StartReply::Started));
                log::info!(event = "run_started", run:% = self.run; "");
                self.watch().await
            }
            Err(left) => left,
        };
        let result = match left {
            Left::Lost => {
                self.stop_for_good().await;
                return;
            }
            Left::Refused(reason) => {
                reply.send_replace(Some(StartReply::Refused {
                    reason: reason.clone(),
                }));
                RunResult::NotStarted { reason }
            }
            Left::GivenUp => {
                self.bound.runs.lock().leftovers.insert(self.run);
                RunResult::Stopped
            }
            Left::Ended(result) => result,
        };
        reply.send_if_modified(|reply| {
            reply.get_or_insert(StartReply::Started);
            true
        });
        span.note("result", report::name(&result));
        self.end(result).await;
    }

    /// Asks the worker to start the run until it is known whether it did.
    async fn start(&mut self, request: StartRun) -> Result<(), Left> {
        loop {
            if self.contact == Contact::Answered {
                self.told = self.told.max(self.lease_until());
            }
            let task = TaskStart {
                run: self.run,
                demand: request.demand,
                checkpoint: request.checkpoint.clone(),
                payload: request.payload.clone(),
                deadline_us: self.told.as_micros(),
            };
            match self.core.worker.start(&task).await {
                Ok(_) => {
                    // A stop that crossed the start is seen by the first look at the run.
                    let _ = self.bound.runs.lock().table.start(self.run);
                    return Ok(());
                }
                Err(WorkerError::Refused(reason)) => return Err(Left::Refused(reason)),
                Err(WorkerError::Unknown) => {
                    return Err(Left::Refused("the worker doesn't know runs".to_owned()));
                }
                Err(WorkerError::Unreachable(cause)) => self.unreachable(&cause)?,
            }
            self.pause().await;
            if self.bound.lost.is_cancelled() {
                return Err(Left::Lost);
            }
        }
    }

    /// Looks at the run until it leaves.
    async fn watch(&mut self) -> Left {
        loop {
            if self.bound.lost.is_cancelled() {
                return Left::Lost;
            }
            match self.look().await {
                Ok(status) => {
                    self.contact = Contact::Answered;
                    if let Some(result) = status::result(status) {
                        return Left::Ended(result);
                    }
                }
                Err(WorkerError::Unknown) => return Left::Ended(RunResult::Stopped),
                Err(WorkerError::Refused(cause)) => {
                    log::warn!(event = "worker_refused", run:% = self.run, cause = cause.as_str(); "");
                }
                Err(WorkerError::Unreachable(cause)) => {
                    if let Err(left) = self.unreachable(&cause) {
                        return left;
                    }
                }
            }
            self.pause().await;
        }
    }

    /// Takes the step that is in force against the run, or else hands on the lease.
    async fn look(&mut self) -> Result<TaskStatus, WorkerError> {
        let worker = &self.core.worker;
        if self.core.phase() == Phase::Ending {
            return worker.stop(self.run).await;
        }
        let state = self.bound.runs.lock().table.state(self.run);
        match state {
            Some(RunState::Stopping(RunStep::Evict)) => self.checkpoint().await,
            Some(RunState::Stopping(_)) => worker.stop(self.run).await,
            Some(RunState::Running(pace)) if pace != self.pace => {
                let status = match pace {
                    Pace::Full => worker.release(self.run).await?,
                    Pace::Throttled => worker.throttle(self.run).await?,
                };
                self.pace = pace;
                Ok(status)
            }
            _ => self.renew().await,
        }
    }

    async fn renew(&mut self) -> Result<TaskStatus, WorkerError> {
        // The call may take effect even if its answer is lost. A silent worker is told nothing new,
        // so that there comes a time at which its lease has lapsed whatever it has heard.
        if self.contact == Contact::Answered {
            self.told = self.told.max(self.lease_until());
        }
        self.core.worker.renew(self.run, self.told).await
    }

    /// Checkpoints the run; one that takes too long is stopped without.
    async fn checkpoint(&self) -> Result<TaskStatus, WorkerError> {
        let limit = self.core.policy.held().preset.eviction.checkpoint_ms;
        let limit = Duration::from_millis(u64::from(limit));
        let worker = &self.core.worker;
        let result = tokio::select! {
            result = worker.checkpoint(self.run, limit) => result,
            () = self.core.reached(Phase::Ending) => return worker.stop(self.run).await,
            () = self.bound.lost.cancelled() => return worker.stop(self.run).await,
        };
        let Err(WorkerError::Unreachable(cause)) = result else {
            return result;
        };
        log::warn!(event = "checkpoint_failed", run:% = self.run, cause = cause.as_str(); "");
        worker.stop(self.run).await
    }

    /// Gives the run up once the worker has paused it beyond doubt.
    fn unreachable(&mut self, cause: &str) -> Result<(), Left> {
        self.contact = Contact::Silent;
        let now = self.core.time.boot();
        log::warn!(event = "worker_unreachable", run:% = self.run, cause; "");
        let lapsed = now > self.told + LAPSE_MARGIN;
        let ending = self.core.phase() == Phase::Ending;
        if lapsed && (ending || self.begun.elapsed() > LAPSE_MARGIN) {
            return Err(Left::GivenUp);
        }
        Ok(())
    }

    /// Waits until there may be something to do.
    async fn pause(&self) {
        tokio::select! {
            () = sleep(POLL) => {}
            () = self.bound.runs.changed.notified() => {}
            () = self.bound.lost.cancelled() => {}
        }
    }

    /// Stops the task of a lost incarnation, until the worker says that it has.
    async fn stop_for_good(&self) {
        while let Err(WorkerError::Unreachable(cause)) = self.core.worker.stop(self.run).await {
            log::warn!(event = "worker_unreachable", run:% = self.run, cause = cause.as_str(); "");
            sleep(POLL).await;
        }
    }

    /// Records the end here and reports it until an entry has recorded it.
    async fn end(&self, result: RunResult) {
        let peak = {
            let mut runs = self.bound.runs.lock();
            let ended = match &result {
                RunResult::NotStarted { .. } => runs.table.refuse(self.run),
                _ => runs.table.end(self.run, status::end(&result)),
            };
            if ended.is_err() {
                // A stop crossed a start that the worker refused; nothing runs either way.
                let _ = runs.table.end(self.run, status::end(&result));
            }
            runs.details.remove(&self.run).map(|detail| detail.peak)
        };
        let report = agate_wire::message::RunReport {
            run: self.run,
            incarnation: self.bound.incarnation,
            result,
            peak: peak.unwrap_or_default(),
            ran_ms: u64::try_from(self.begun.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        report::until_recorded(&self.core, &self.bound, report).await;
    }

    fn lease_until(&self) -> Moment {
        self.bound.runs.lock().table.lease().expires_at()
    }
}
