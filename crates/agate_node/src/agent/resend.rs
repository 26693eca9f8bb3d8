//! Sends starts again that got no answer.
//!
//! A worker carries out a run at most once in an incarnation, however often it is sent, and answers 200
//! if the run is already there. So the same run is sent again, with the deadline of the first attempt, to
//! the same incarnation. Copies without an answer may still be carried out until that deadline, so no
//! answer but one that proves the contrary ends the run (design note 19).

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::{Order, OrderKind, TaskKey, WorkerIncarnation, WorkerState};
use futures::future::select_ok;
use tokio::time::{Instant, sleep_until, timeout};

use super::client::{CallError, LeaseReply, Rejection, StartOrder, StartReply};
use super::execute;
use super::grants::Grant;
use super::identity::Identity;
use super::managed::{ManagedWorker, State};
use super::run::{Phase, Run};
use super::zones::{self, Verdict};
use crate::clock;
use crate::metrics::Event;

/// Number of times that a start is sent again. With a timeout of 0.25 s that fills its window of 1.5 s.
const MAX_RESENDS: u32 = 5;

/// Number of lists that are requested at a time, each on a connection of its own. If half of all calls
/// get no answer, three of four rounds do.
const REQUESTS: usize = 2;

/// Time limit of the first round of requests. A worker that answers does so within milliseconds.
const FIRST_LIMIT: Duration = Duration::from_millis(100);

/// Time limit of later rounds: each one that gets no answer doubles it up to this.
const MAX_LIMIT: Duration = Duration::from_millis(800);

/// Shortest time between two attempts. If each connection is reset, they would all be over within
/// milliseconds.
const SPACING: Duration = Duration::from_millis(50);

/// Time between checks whether a start may be sent again.
const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// Starts that may be sent again at once to a worker that lists its runs but answers no starts.
const BURST: f64 = 16.0;

/// The same for each second after that.
const RATE: f64 = 10.0;

/// Time for which a start without an answer is remembered. The platform carries out late calls within
/// 12 s.
const LATE_TIME: Duration = Duration::from_secs(30);

/// What limits the resends of starts to a worker.
#[derive(Debug)]
pub(super) struct Resends {
    /// Boot time at which the newest list that this incarnation has answered was requested.
    listed_from: Duration,
    /// Whether lists have been requested and not answered.
    asking: bool,
    /// Time limit of the next round of requests.
    limit: Duration,
    tokens: f64,
    filled_at: Instant,
}

impl Default for Resends {
    fn default() -> Self {
        Self {
            listed_from: Duration::ZERO,
            asking: false,
            limit: FIRST_LIMIT,
            tokens: BURST,
            filled_at: Instant::now(),
        }
    }
}

impl Resends {
    /// Records that the incarnation has answered a list that was requested at the boot time `began`.
    pub fn record_list(&mut self, began: Duration) {
        self.listed_from = self.listed_from.max(began);
        self.limit = FIRST_LIMIT;
    }

    /// Takes a token. Returns whether there was one.
    fn take_token(&mut self) -> bool {
        let refill = self.filled_at.elapsed().as_secs_f64() * RATE;
        self.tokens = (self.tokens + refill).min(BURST);
        self.filled_at = Instant::now();
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}

/// Starts that may still be carried out, also by the next incarnation under the worker's name, whose clock
/// starts anew and does not reject them as late.
#[derive(Debug, Clone, Default)]
pub(super) struct LateStarts(HashMap<(TaskKey, u32), Instant>);

impl LateStarts {
    /// Records that a start is being sent at `now`.
    pub fn record(&mut self, task: TaskKey, run: u32, now: Instant) {
        self.0
            .retain(|_, sent_at| now.duration_since(*sent_at) < LATE_TIME);
        self.0.insert((task, run), now);
    }

    /// Forgets a start all of whose attempts were answered.
    pub fn forget(&mut self, task: TaskKey, run: u32) {
        self.0.remove(&(task, run));
    }

    /// Returns the runs whose starts may still be carried out.
    pub fn runs(&self) -> impl Iterator<Item = (TaskKey, u32)> {
        let recent = |sent_at: &Instant| sent_at.elapsed() < LATE_TIME;
        let runs = self.0.iter();
        runs.filter(move |(_, sent_at)| recent(sent_at))
            .map(|(run, _)| *run)
    }
}

/// Whether a start may be sent again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Step {
    /// It may be sent now.
    Send,
    /// It may be sent once the incarnation has answered a list that was requested after the last attempt.
    Wait,
    /// It may not be sent any more.
    GiveUp,
}

/// Sends a start again whose first attempt got no answer. Returns whether the worker has answered that the
/// run is there.
pub(super) async fn run(
    worker: &Arc<ManagedWorker>,
    order: &Order,
    call: &StartOrder,
    grant: Grant,
) -> bool {
    let deadline_ms = grant.deadline_ms;
    let mut sent_at = set_resending(worker, order);
    for attempt in 1..=MAX_RESENDS {
        sleep_until(sent_at + SPACING).await;
        if !wait_for_list(worker, order, deadline_ms).await {
            break;
        }
        worker.context.metrics.count(Event::StartResent);
        sent_at = Instant::now();
        log::info!(
            event = "start_resent", task:% = order.task, run = order.run,
            worker:% = order.incarnation, attempt = attempt, deadline_ms = deadline_ms; ""
        );
        let reply = execute::send(worker, &order.incarnation, call, grant).await;
        match reply {
            Ok(StartReply::Started) => return confirm(worker, order),
            Ok(StartReply::Rejected(Rejection::Old)) => {
                leave_to_lists(worker, order, Phase::Started(clock::boottime()));
                return false;
            }
            Ok(StartReply::Rejected(_)) | Err(CallError::Refused(_)) => {
                worker.context.metrics.count(Event::StartRejected);
                break;
            }
            Err(CallError::OtherLife) => break,
            Err(CallError::Unknown(_)) => worker.context.metrics.count(Event::OrderUnanswered),
            Err(CallError::NotSent(_)) => {}
        }
    }
    // An earlier copy may run, or may still start: the next lists and a stop decide.
    leave_to_lists(worker, order, Phase::Unconfirmed(clock::boottime()));
    false
}

/// Records that the first attempt has got no answer, and returns when it was sent.
fn set_resending(worker: &ManagedWorker, order: &Order) -> Instant {
    worker.context.metrics.count(Event::OrderUnanswered);
    let mut state = worker.state();
    let Some(run) = run_in(&mut state, order, Phase::Starting) else {
        return Instant::now();
    };
    run.phase = Phase::Resending;
    run.unanswered = Some(run.since);
    run.since
}

/// Returns the run of an order if it is in `phase`. Any other phase means that a list, a stop or the end
/// of the term has decided about it meanwhile.
fn run_in<'a>(state: &'a mut State, order: &Order, phase: Phase) -> Option<&'a mut Run> {
    let run = state.runs.get_mut(&order.task);
    run.filter(|run| run.number == order.run && run.phase == phase)
}

fn confirm(worker: &ManagedWorker, order: &Order) -> bool {
    let mut state = worker.state();
    let Some(run) = run_in(&mut state, order, Phase::Resending) else {
        return false;
    };
    run.phase = Phase::Started(clock::boottime());
    run.missing_lists = 0;
    record_settled(worker, order.task, run);
    worker.context.metrics.count(Event::TaskStarted);
    state.confirm_start(order.task, order.run);
    drop(state);
    worker.changed.notify_waiters();
    true
}

fn leave_to_lists(worker: &ManagedWorker, order: &Order, phase: Phase) {
    let mut state = worker.state();
    if let Some(run) = run_in(&mut state, order, Phase::Resending) {
        run.phase = phase;
        run.missing_lists = 0;
    }
    drop(state);
    worker.changed.notify_waiters();
}

/// Records that it is known what became of a start without an answer.
pub(super) fn record_settled(worker: &ManagedWorker, task: TaskKey, run: &mut Run) {
    let Some(sent_at) = run.unanswered.take() else {
        return;
    };
    let took = sent_at.elapsed();
    let seconds = &worker.context.metrics.start_settled_seconds;
    seconds.observe(took.as_secs_f64());
    log::info!(
        event = "start_settled", task:% = task, run = run.number, took_ms = clock::millis(took),
        ended = run.phase == Phase::Ended; ""
    );
}

/// Waits until a start may be sent again, and takes a token for it. Returns false if it may not.
async fn wait_for_list(worker: &Arc<ManagedWorker>, order: &Order, deadline_ms: u64) -> bool {
    let failed_at = clock::boottime();
    loop {
        let listed = worker.listed.notified();
        match next_step(worker, order, deadline_ms, failed_at) {
            Step::Send => return true,
            Step::GiveUp => return false,
            Step::Wait => ask(worker),
        }
        // Whether notified or timed out, the state is checked again.
        let _ = timeout(CHECK_PERIOD, listed).await;
    }
}

fn next_step(worker: &ManagedWorker, order: &Order, deadline_ms: u64, failed_at: Duration) -> Step {
    let mut state = worker.state();
    let is_open = run_in(&mut state, order, Phase::Resending).is_some();
    if !is_open || !may_start(worker, &state, order, deadline_ms) {
        return Step::GiveUp;
    }
    if state.resends.listed_from <= failed_at {
        return Step::Wait;
    }
    if !state.resends.take_token() {
        return Step::GiveUp;
    }
    if let Some(run) = run_in(&mut state, order, Phase::Resending) {
        // The list lacks the run, so no earlier copy had started it, and a crash is timed from this one.
        run.since = Instant::now();
    }
    Step::Send
}

/// Returns whether everything that allowed the first attempt still holds.
fn may_start(worker: &ManagedWorker, state: &State, order: &Order, deadline_ms: u64) -> bool {
    let now = clock::boottime();
    let known = state.orders.get(&order.task);
    let is_start = known.is_some_and(|known| matches!(known.kind, OrderKind::Start { .. }));
    let reading = state.clock;
    let is_in_time = reading.is_some_and(|reading| reading.deadline(now) < deadline_ms);
    let limit = worker.lease_limit(state);
    let has_lease = limit.is_some_and(|until| until >= now + execute::MIN_LEASE);
    is_start
        && state.is_ordered(order.task, order.run)
        && state.status == WorkerState::Ready
        && state.agent.is_serving()
        && state.identity != Identity::Other
        && is_in_time
        && has_lease
        && state.has_room(order)
        && zones::check_start(worker, state, order, now) == Ok(Verdict::Start)
}

/// Requests lists unless that is being done. They prove that the same incarnation is up, and renew and
/// acknowledge nothing, so that it doesn't matter if they are carried out late.
fn ask(worker: &Arc<ManagedWorker>) {
    let (incarnation, limit) = {
        let mut state = worker.state();
        if state.resends.asking {
            return;
        }
        state.resends.asking = true;
        (state.incarnation.clone(), state.resends.limit)
    };
    let worker = Arc::clone(worker);
    tokio::spawn(async move {
        let (began, until) = (clock::boottime(), Instant::now() + limit);
        let request = || {
            worker
                .client
                .renew_lease(&incarnation, None, 0, Duration::ZERO)
        };
        let requests = (0..REQUESTS).map(|_| request());
        let reply = timeout(limit, select_ok(requests)).await;
        let is_listed = match reply {
            Ok(Ok((reply, _))) => apply(&worker, &incarnation, &reply, began),
            _ => false,
        };
        if !is_listed {
            // Refused connections fail at once; the next round waits all the same.
            sleep_until(until).await;
            let mut state = worker.state();
            state.resends.limit = (limit * 2).min(MAX_LIMIT);
        }
        worker.state().resends.asking = false;
        worker.listed.notify_waiters();
    });
}

/// Applies a list, unless another incarnation has answered. Runs that it contains have started.
fn apply(
    worker: &ManagedWorker,
    asked: &WorkerIncarnation,
    reply: &LeaseReply,
    began: Duration,
) -> bool {
    let mut state = worker.state();
    let is_same = match reply.started_ms {
        Some(started_ms) => started_ms == asked.started_ms,
        None => state
            .clock
            .is_none_or(|clock| reply.worker_ms >= clock.worker_ms),
    };
    if !is_same {
        return false;
    }
    state.resends.record_list(began);
    for row in &reply.running {
        if confirm_listed(worker, &mut state, row.task, row.run) {
            state.confirm_start(row.task, row.run);
        }
    }
    true
}

/// Confirms the start of a run that a list contains if it got no answer. Returns whether that was so.
pub(super) fn confirm_listed(
    worker: &ManagedWorker,
    state: &mut State,
    task: TaskKey,
    number: u32,
) -> bool {
    let run = state.runs.get_mut(&task);
    let Some(run) = run.filter(|run| run.number == number && run.unanswered.is_some()) else {
        return false;
    };
    if matches!(run.phase, Phase::Resending | Phase::Unconfirmed(_)) {
        run.phase = Phase::Started(clock::boottime());
    }
    run.missing_lists = 0;
    record_settled(worker, task, run);
    true
}
