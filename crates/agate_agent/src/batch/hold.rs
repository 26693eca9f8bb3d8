//! Supervision of one run, from its start on the worker to its recorded end.

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
use crate::state::{Bindings, Core, Phase};

/// Interval between polls of a run.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Time after a lease's deadline by which even a slow worker has paused the run.
const LEASE_LAPSE_MARGIN: Duration = Duration::from_secs(1);

/// Time after its start within which a run that its restarted worker doesn't know counts as failed. A
/// longer one was surely running, so the worker more likely restarted for another reason.
const CRASH_WINDOW: Duration = Duration::from_secs(1);

/// Supervises one run and tracks what was sent to the worker.
struct RunHolder {
    core: Arc<Core>,
    bindings: Arc<Bindings>,
    run: RunId,
    /// Latest lease deadline that the worker may have received.
    sent_deadline: Moment,
    pace: Pace,
    worker_contact: Contact,
    started_at: Instant,
    /// Time for which the run is known to have run.
    ran: Duration,
}

/// Whether the worker answered the last call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Contact {
    Answered,
    Silent,
}

/// Reason why the supervision of a run ends.
enum RunExit {
    /// The run ended.
    Ended(RunResult),
    /// The worker is unreachable and may still hold the run, permanently paused.
    Abandoned,
    /// The run never started.
    Refused(String),
    /// The incarnation was lost.
    Lost,
}

/// Supervises a newly bound run in a separate task.
pub(crate) fn spawn(
    core: &Arc<Core>,
    bindings: &Arc<Bindings>,
    request: StartRun,
    reply: watch::Sender<Option<StartReply>>,
) {
    let holder = RunHolder {
        core: Arc::clone(core),
        bindings: Arc::clone(bindings),
        run: request.run,
        sent_deadline: Moment::ZERO,
        pace: Pace::Full,
        worker_contact: Contact::Answered,
        started_at: Instant::now(),
        ran: Duration::ZERO,
    };
    let holding = bindings.holders.track_future(holder.hold(request, reply));
    core.tasks.spawn(holding);
}

impl RunHolder {
    async fn hold(mut self, request: StartRun, reply: watch::Sender<Option<StartReply>>) {
        let mut span = self.core.tracer.start(Hop::AgentRun, Some(request.trace));
        span.note("run", self.run);
        let exit = match self.start(request).await {
            Ok(()) => {
                reply.send_replace(Some(StartReply::Started));
                log::info!(event = "run_started", run:% = self.run; "");
                self.supervise().await
            }
            Err(exit) => exit,
        };
        let result = match exit {
            RunExit::Lost => {
                self.stop_until_confirmed().await;
                return;
            }
            RunExit::Refused(reason) => {
                reply.send_replace(Some(StartReply::Refused {
                    reason: reason.clone(),
                }));
                RunResult::NotStarted { reason }
            }
            RunExit::Abandoned => {
                self.bindings.runs.lock().abandoned.insert(self.run);
                RunResult::Stopped
            }
            RunExit::Ended(result) => result,
        };
        reply.send_if_modified(|reply| {
            reply.get_or_insert(StartReply::Started);
            true
        });
        span.note("result", report::result_name(&result));
        self.record_end(result).await;
    }

    /// Asks the worker to start the run, and retries until the result is known.
    async fn start(&mut self, request: StartRun) -> Result<(), RunExit> {
        loop {
            if self.worker_contact == Contact::Answered {
                self.sent_deadline = self.sent_deadline.max(self.lease_expiry());
            }
            let task = TaskStart {
                run: self.run,
                demand: request.demand,
                checkpoint: request.checkpoint.clone(),
                payload: request.payload.clone(),
                deadline_us: self.sent_deadline.as_micros(),
            };
            match self.core.worker.start(&task).await {
                Ok(_) => {
                    // If a stop arrived during the start, the first poll handles it.
                    let _ = self.bindings.runs.lock().table.start(self.run);
                    return Ok(());
                }
                Err(WorkerError::Refused(reason)) => return Err(RunExit::Refused(reason)),
                Err(WorkerError::Unknown) => {
                    return Err(RunExit::Refused("the worker doesn't know runs".to_owned()));
                }
                Err(WorkerError::Unreachable(cause)) => self.handle_unreachable(&cause)?,
            }
            self.wait_for_change().await;
            if self.bindings.lost.is_cancelled() {
                return Err(RunExit::Lost);
            }
        }
    }

    /// Polls the run until its supervision ends.
    async fn supervise(&mut self) -> RunExit {
        loop {
            if self.bindings.lost.is_cancelled() {
                return RunExit::Lost;
            }
            match self.poll().await {
                Ok(status) => {
                    self.worker_contact = Contact::Answered;
                    self.ran = self.started_at.elapsed();
                    if let Some(result) = status::to_result(status) {
                        return RunExit::Ended(result);
                    }
                }
                Err(WorkerError::Unknown) => return RunExit::Ended(self.crash_result()),
                Err(WorkerError::Refused(cause)) => {
                    log::warn!(event = "worker_refused", run:% = self.run, cause = cause.as_str(); "");
                }
                Err(WorkerError::Unreachable(cause)) => {
                    if let Err(exit) = self.handle_unreachable(&cause) {
                        return exit;
                    }
                }
            }
            self.wait_for_change().await;
        }
    }

    /// Returns the result of a run that its worker has forgotten, as a restarted one has. Without the
    /// failure, a task that crashes each worker would be started without a limit.
    fn crash_result(&self) -> RunResult {
        let is_ending = self.core.phase() == Phase::Ending;
        if is_ending || self.ran > CRASH_WINDOW {
            return RunResult::Stopped;
        }
        log::warn!(
            event = "worker_restarted", run:% = self.run,
            ran_ms = u64::try_from(self.ran.as_millis()).unwrap_or(u64::MAX); ""
        );
        RunResult::Failed {
            reason: "the worker restarted right after the start".to_owned(),
            exhausted: false,
        }
    }

    /// Applies the step in force for the run or, without one, renews the lease.
    async fn poll(&mut self) -> Result<TaskStatus, WorkerError> {
        let worker = &self.core.worker;
        if self.core.phase() == Phase::Ending {
            return worker.stop(self.run).await;
        }
        let state = self.bindings.runs.lock().table.state(self.run);
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
            _ => self.renew_lease().await,
        }
    }

    async fn renew_lease(&mut self) -> Result<TaskStatus, WorkerError> {
        // The call may take effect even if its answer is lost. A silent worker gets no later
        // deadline, so that its lease has certainly lapsed after the last deadline sent.
        if self.worker_contact == Contact::Answered {
            self.sent_deadline = self.sent_deadline.max(self.lease_expiry());
        }
        self.core
            .worker
            .renew_lease(self.run, self.sent_deadline)
            .await
    }

    /// Checkpoints the run; if that takes too long, stops it without a checkpoint.
    async fn checkpoint(&self) -> Result<TaskStatus, WorkerError> {
        let limit = self.core.policy.current().preset.eviction.checkpoint_ms;
        let limit = Duration::from_millis(u64::from(limit));
        let worker = &self.core.worker;
        let result = tokio::select! {
            result = worker.checkpoint(self.run, limit) => result,
            () = self.core.wait_for_phase(Phase::Ending) => return worker.stop(self.run).await,
            () = self.bindings.lost.cancelled() => return worker.stop(self.run).await,
        };
        let Err(WorkerError::Unreachable(cause)) = result else {
            return result;
        };
        log::warn!(event = "checkpoint_failed", run:% = self.run, cause = cause.as_str(); "");
        worker.stop(self.run).await
    }

    /// Records that the worker did not answer, and abandons the run once the worker must have
    /// paused it.
    fn handle_unreachable(&mut self, cause: &str) -> Result<(), RunExit> {
        self.worker_contact = Contact::Silent;
        let now = self.core.clock.boot_now();
        log::warn!(event = "worker_unreachable", run:% = self.run, cause; "");
        let is_lapsed = now > self.sent_deadline + LEASE_LAPSE_MARGIN;
        let is_ending = self.core.phase() == Phase::Ending;
        if is_lapsed && (is_ending || self.started_at.elapsed() > LEASE_LAPSE_MARGIN) {
            return Err(RunExit::Abandoned);
        }
        Ok(())
    }

    /// Waits for the next poll, a change of the runs or the loss of the incarnation.
    async fn wait_for_change(&self) {
        tokio::select! {
            () = sleep(POLL_INTERVAL) => {}
            () = self.bindings.runs.changed.notified() => {}
            () = self.bindings.lost.cancelled() => {}
        }
    }

    /// Stops the task of a lost incarnation, and retries until the worker answers.
    async fn stop_until_confirmed(&self) {
        while let Err(WorkerError::Unreachable(cause)) = self.core.worker.stop(self.run).await {
            log::warn!(event = "worker_unreachable", run:% = self.run, cause = cause.as_str(); "");
            sleep(POLL_INTERVAL).await;
        }
    }

    /// Records the end locally and reports it until an entry has recorded it.
    async fn record_end(&self, result: RunResult) {
        let peak = {
            let mut runs = self.bindings.runs.lock();
            let recorded = match &result {
                RunResult::NotStarted { .. } => runs.table.refuse(self.run),
                _ => runs.table.end(self.run, status::to_run_end(&result)),
            };
            if recorded.is_err() {
                // A stop arrived before the worker refused the start; nothing runs in either case.
                let _ = runs.table.end(self.run, status::to_run_end(&result));
            }
            runs.details.remove(&self.run).map(|detail| detail.peak)
        };
        let report = agate_wire::message::RunReport {
            run: self.run,
            incarnation: self.bindings.incarnation,
            result,
            peak: peak.unwrap_or_default(),
            ran_ms: u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        };
        report::report_until_recorded(&self.core, &self.bindings, report).await;
    }

    fn lease_expiry(&self) -> Moment {
        self.bindings.runs.lock().table.lease().expires_at()
    }
}
