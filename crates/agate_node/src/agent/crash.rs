//! What ran on a worker when it crashed.
//!
//! A worker has crashed if it comes back in another incarnation without having announced that it
//! leaves. Only its agent knows which orders had been executed by then.

use std::collections::HashMap;
use std::time::Duration;

use agate_jobs::crash::{Crash, PROMPT_CRASH, RECENT_START};
use agate_jobs::{EndCause, LossReason, RunEnd, TaskKey};
use tokio::time::Instant;

use super::managed::{ManagedWorker, State};
use super::run::{Phase, Run};
use crate::clock;
use crate::metrics::Event;

/// Number of calls in a row that fail before the worker counts as unreachable. A single connection may
/// be reset.
const UNREACHABLE_FAILURES: u32 = 2;

/// When the worker was last known to be alive.
#[derive(Debug, Clone, Copy)]
pub(super) struct Contact {
    answered_at: Instant,
    /// Time of the first call since then that failed.
    failed_at: Option<Instant>,
    /// Number of calls since then that failed.
    failures: u32,
}

impl Default for Contact {
    fn default() -> Self {
        Self {
            answered_at: Instant::now(),
            failed_at: None,
            failures: 0,
        }
    }
}

impl Contact {
    /// Records that the worker has answered a call.
    pub fn record_answer(&mut self) {
        *self = Self::default();
    }

    /// Records that a call has failed.
    pub fn record_failure(&mut self) {
        self.failed_at.get_or_insert_with(Instant::now);
        self.failures = self.failures.saturating_add(1);
    }

    /// Returns whether the worker has answered a call after `time`.
    pub fn answered_since(&self, time: Instant) -> bool {
        self.answered_at > time
    }

    /// Returns whether the last call has failed.
    pub const fn has_failed(&self) -> bool {
        self.failures > 0
    }

    /// Returns whether the worker doesn't answer, so that nothing should be started on it.
    pub const fn is_unreachable(&self) -> bool {
        self.failures >= UNREACHABLE_FAILURES
    }
}

/// Longest time from a worker's last answer to the first failure if the crash broke a connection. A lease
/// renewal waits for half a second at most; one that gets no answer fails after 0.7 s or more.
const PROMPT_NOTICE: Duration = Duration::from_millis(600);

/// Time for which a crash without a start right before it makes a machine unstable.
const UNSTABLE_FOR: Duration = Duration::from_mins(1);

/// Machines that crash by themselves, by address, with the time of the newest such crash.
#[derive(Debug, Default)]
pub(super) struct UnstableMachines(HashMap<String, Instant>);

impl UnstableMachines {
    fn contains(&self, address: &str) -> bool {
        let newest = self.0.get(address);
        newest.is_some_and(|at| at.elapsed() < UNSTABLE_FOR)
    }

    /// Records a crash under `runs`, unless one of them was started right before it.
    fn record(&mut self, address: &str, runs: &[CrashedRun]) {
        self.0.retain(|_, at| at.elapsed() < UNSTABLE_FOR);
        if runs.iter().all(|run| run.ran > PROMPT_CRASH) {
            self.0.insert(address.to_owned(), Instant::now());
        }
    }
}

/// A run that was in progress when its worker crashed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct CrashedRun {
    pub task: TaskKey,
    pub run: u32,
    /// Time for which it ran, by the best estimate of the time of the crash.
    pub ran: Duration,
    /// Time from its start within which the worker crashed.
    pub within: Duration,
    /// Newest checkpoint that the worker has listed; empty if there is none.
    pub checkpoint: String,
    /// Number of other runs that had not been running for noticeably longer; at least one if the worker
    /// may have been down before this one was started.
    pub peers: usize,
}

/// Returns the runs that may have been in progress when the worker crashed, before `successor_at`.
pub(super) fn crashed_runs(state: &State, successor_at: Instant) -> Vec<CrashedRun> {
    let before = runs_before_failure(state);
    let after = runs_after_failure(state, successor_at);
    let younger = |limit: Duration| before.iter().filter(|run| run.ran <= limit).count();
    let peers = |known: &Candidate<'_>| younger(known.ran + RECENT_START) - 1;
    let first = before.iter().map(|known| known.crashed(peers(known)));
    // The worker may have been down already, so none of the later ones counts as a lone start.
    let later_peers = (younger(RECENT_START) + after.len()).max(2) - 1;
    let later = after.iter().map(|known| known.crashed(later_peers));
    first.chain(later).collect()
}

/// A run that may have caused a crash, before it is compared with the others.
struct Candidate<'a> {
    task: TaskKey,
    run: &'a Run,
    ran: Duration,
    within: Duration,
}

impl Candidate<'_> {
    fn crashed(&self, peers: usize) -> CrashedRun {
        CrashedRun {
            task: self.task,
            run: self.run.number,
            ran: self.ran,
            within: self.within,
            checkpoint: self.run.checkpoint.clone(),
            peers,
        }
    }
}

/// Returns the runs that were in progress when a call failed first. Of the starts since the worker's last
/// answer only the first ones may have reached it: if they did not crash it, it was down already.
fn runs_before_failure(state: &State) -> Vec<Candidate<'_>> {
    let answered_at = state.contact.answered_at;
    let failed_at = state.contact.failed_at.unwrap_or_else(Instant::now);
    let in_progress = |run: &Run| run.phase != Phase::Ended && run.since <= failed_at;
    let runs = || state.runs.iter().filter(|(_, run)| in_progress(run));
    let unanswered = runs().map(|(_, run)| run.since);
    let first_unanswered = unanswered.filter(|since| *since > answered_at).min();
    let noticed_at_once = failed_at.duration_since(answered_at) <= PROMPT_NOTICE;
    let crashed_at = if noticed_at_once {
        failed_at
    } else {
        first_unanswered.unwrap_or(answered_at)
    };
    let latest = first_unanswered.map_or(failed_at, |first| first + RECENT_START);
    let known = runs().filter(|(_, run)| run.since <= latest);
    known
        .map(|(task, run)| Candidate {
            task: *task,
            run,
            ran: crashed_at.saturating_duration_since(run.since),
            within: failed_at.duration_since(run.since),
        })
        .collect()
}

/// Returns the runs whose starts were sent after a call had failed. The worker may have been only silent
/// then, and have executed them. The crash is only known to have happened before the next incarnation
/// started.
fn runs_after_failure(state: &State, successor_at: Instant) -> Vec<Candidate<'_>> {
    let Some(failed_at) = state.contact.failed_at else {
        return Vec::new();
    };
    let was_sent = |run: &Run| run.since > failed_at && run.may_have_started();
    let runs = state.runs.iter().filter(|(_, run)| was_sent(run));
    let reached = runs.filter(|(_, run)| run.since < successor_at);
    reached
        .map(|(task, run)| Candidate {
            task: *task,
            run,
            ran: Duration::ZERO,
            within: successor_at.duration_since(run.since),
        })
        .collect()
}

/// Logs the crash of a worker whose next incarnation started at `successor_at`, and returns the ends of
/// the runs that were in progress. Returns none if the worker had announced that it leaves.
pub(super) fn end_runs(
    worker: &ManagedWorker,
    reason: LossReason,
    successor_at: Instant,
    machines: &mut UnstableMachines,
) -> Vec<RunEnd> {
    let mut state = worker.state();
    if state.is_leaving() {
        return Vec::new();
    }
    let address = state.heartbeat.address.to_string();
    let runs = crashed_runs(&state, successor_at);
    let unstable = machines.contains(&address);
    machines.record(&address, &runs);
    worker.context.metrics.count(Event::WorkerCrashed);
    log::warn!(
        event = "worker_crashed", worker:% = state.incarnation, address = address.as_str(),
        runs = runs.len(), unstable = unstable; ""
    );
    let ends = runs.into_iter().map(|run| {
        log::info!(
            event = "run_crashed", task:% = run.task, run = run.run, worker:% = state.incarnation,
            ran_ms = clock::millis(run.ran), within_ms = clock::millis(run.within),
            peers = run.peers; ""
        );
        if let Some(known) = state.runs.get_mut(&run.task) {
            known.phase = Phase::Ended;
        }
        let ran_ms = clock::millis(run.ran).max(1);
        RunEnd {
            task: run.task,
            run: run.run,
            cause: EndCause::Lost,
            checkpoint: run.checkpoint,
            worker: state.incarnation.name.clone(),
            ran_ms,
            loss: Some(reason),
            crash: Some(Crash {
                address: address.clone(),
                ran_ms,
                within_ms: clock::millis(run.within),
                peers: u32::try_from(run.peers).unwrap_or(u32::MAX),
                unstable,
            }),
        }
    });
    ends.collect()
}
