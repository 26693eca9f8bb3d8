//! An in-memory worker that honors leases.

use std::collections::{HashMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash as _, Hasher as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use agate_core::{JobId, Resources};
use agate_jobs::{EndCause, TaskKey, WorkerIncarnation};
use agate_node::agent::{
    CallError, Heartbeat, LeaseReply, ListedCheckpoint, ListedEnd, ListedRun, Rejection,
    StartOrder, StartReply, WorkerClient,
};
use async_trait::async_trait;
use tokio::time::{Instant, sleep};

/// Duration of a call.
const CALL_TIME: Duration = Duration::from_millis(1);

/// Duration of a task.
const TASK_TIME: Duration = Duration::from_secs(1);

/// Duration of a slow stop.
const STOP_TIME: Duration = Duration::from_millis(400);

/// Delay of a late start, longer than its deadline allows.
const LATE_START_TIME: Duration = Duration::from_secs(2);

/// Delay of a slow start, shorter than its deadline allows.
const SLOW_START_TIME: Duration = Duration::from_millis(1_300);

/// Time after which a call that gets no answer fails.
const SILENT_CALL_TIME: Duration = Duration::from_millis(1_200);

/// Time after which a start that gets no answer fails.
const START_TIMEOUT: Duration = Duration::from_millis(250);

/// What becomes of a single start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum StartOutcome {
    /// It gets no answer, and is carried out after this time, whichever incarnation is there by then.
    Late(Duration),
    /// It is rejected.
    Rejected(Rejection),
    /// It is not sent.
    NotSent,
}

/// A start that reached the worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct SentStart {
    pub task: TaskKey,
    pub run: u32,
    pub deadline_ms: u64,
}

/// How the worker behaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Behavior {
    /// Answers every call.
    #[default]
    Healthy,
    /// Refuses connections.
    Unreachable,
    /// Answers no call.
    Silent,
    /// Executes every call, but answers none.
    LosesReplies,
    /// Neither executes nor answers starts; answers all other calls.
    IgnoresStarts,
    /// Executes starts, but doesn't answer them.
    LosesStartReplies,
    /// Executes starts only after [`LATE_START_TIME`].
    StartsLate,
    /// Executes starts only after [`SLOW_START_TIME`].
    StartsSlowly,
    /// Tasks use processor time without making progress.
    Stalls,
    /// Takes long to answer stops.
    SlowStops,
}

#[derive(Debug)]
struct Running {
    run: u32,
    /// Checkpoint that it was started from.
    checkpoint: String,
    since: Instant,
}

#[derive(Debug)]
struct State {
    behavior: Behavior,
    /// Name of its incarnation. Calls that name another one are rejected.
    name: String,
    /// Number of its incarnation.
    incarnation: u64,
    started_at: Instant,
    running: HashMap<TaskKey, Running>,
    ended: Vec<ListedEnd>,
    /// Most ends in a list.
    max_listed: usize,
    number: u64,
    highest: HashMap<TaskKey, u32>,
    lease_ms: u64,
    until_stopped: bool,
    /// What becomes of the next starts, before the behavior applies.
    outcomes: VecDeque<StartOutcome>,
    /// Starts that were attempted, also while no connection is accepted.
    sent_starts: Vec<SentStart>,
    /// Every run that was started.
    started_runs: Vec<(TaskKey, u32)>,
    finished_tasks: HashSet<TaskKey>,
    /// Job whose tasks crash the worker as soon as they have started.
    crashing_job: Option<JobId>,
    /// Number of crashes.
    crashes: u32,
    /// Number of heartbeats that were sent.
    heartbeats: u64,
    /// Number of lists that were answered.
    lists: u32,
    /// Checkpoint of each run in its lists.
    checkpoint: ListedCheckpoint,
    /// Whether lists lack the start of the incarnation.
    hides_start: bool,
    /// Changes the next list.
    distortion: Option<fn(&mut LeaseReply)>,
}

/// A worker. Clones share its state.
#[derive(Debug, Clone)]
pub(crate) struct FakeWorker(Arc<Mutex<State>>);

/// Workers of this process by address, for the clients of agents.
static WORKERS: OnceLock<Mutex<HashMap<SocketAddr, FakeWorker>>> = OnceLock::new();

/// Returns the address that stands for a name.
pub(crate) fn address_of(name: &str) -> SocketAddr {
    let mut hasher = DefaultHasher::new();
    name.hash(&mut hasher);
    let host = (hasher.finish() & 0xff_ffff) as u32;
    SocketAddr::from((Ipv4Addr::from_bits(10 << 24 | host), 8_080))
}

impl FakeWorker {
    /// Registers a worker at `address`.
    pub(crate) fn open(address: &str) -> Self {
        let worker = Self::create(address);
        let workers = WORKERS.get_or_init(Mutex::default);
        let mut workers = workers.lock().expect("the lock is not poisoned");
        workers.insert(address_of(address), worker.clone());
        worker
    }

    fn create(name: &str) -> Self {
        Self(Arc::new(Mutex::new(State {
            behavior: Behavior::default(),
            name: name.to_owned(),
            incarnation: 1,
            started_at: Instant::now(),
            running: HashMap::new(),
            ended: Vec::new(),
            max_listed: usize::MAX,
            number: 0,
            highest: HashMap::new(),
            lease_ms: 0,
            until_stopped: false,
            outcomes: VecDeque::new(),
            sent_starts: Vec::new(),
            started_runs: Vec::new(),
            finished_tasks: HashSet::new(),
            crashing_job: None,
            crashes: 0,
            heartbeats: 0,
            lists: 0,
            checkpoint: ListedCheckpoint::Text("half".to_owned()),
            hides_start: false,
            distortion: None,
        })))
    }

    /// Returns a client of the worker at `address`; without one, connections are refused.
    pub(crate) fn dial(address: SocketAddr) -> Arc<dyn WorkerClient> {
        let workers = WORKERS.get_or_init(Mutex::default);
        let workers = workers.lock().expect("the lock is not poisoned");
        let worker = workers.get(&address).cloned();
        let worker = worker.unwrap_or_else(|| {
            let nobody = Self::create("");
            nobody.set_behavior(Behavior::Unreachable);
            nobody
        });
        Arc::new(worker)
    }

    /// Returns a heartbeat of the worker at `address`, which is at least in incarnation
    /// `started_ms` from then on, and called `name` unless it is in a later one.
    pub(crate) fn heartbeat(name: &str, address: &str, started_ms: u64) -> Heartbeat {
        let workers = WORKERS.get_or_init(Mutex::default);
        let mut sequence = 1;
        if let Some(worker) = workers
            .lock()
            .expect("the lock is not poisoned")
            .get(&address_of(address))
        {
            let mut state = worker.state();
            if started_ms >= state.incarnation {
                state.incarnation = started_ms;
                name.clone_into(&mut state.name);
            }
            state.heartbeats += 1;
            sequence = state.heartbeats;
        }
        Heartbeat {
            name: name.to_owned(),
            started_ms,
            sequence,
            draining: false,
            service: "seatbook".to_owned(),
            zone: "north".to_owned(),
            address: address_of(address),
            capacity: Resources::new(4_000, 1_000, 0),
            labels: vec!["a".to_owned()],
            cold_ms: 0,
        }
    }

    /// Restarts the worker under its name, without its previous state.
    pub(crate) fn restart(&self) {
        let mut state = self.state();
        state.incarnation += 1;
        state.started_at = Instant::now();
        state.lease_ms = 0;
        state.running.clear();
        state.ended.clear();
        state.highest.clear();
        state.number = 0;
    }

    pub(crate) fn set_behavior(&self, behavior: Behavior) {
        self.state().behavior = behavior;
    }

    /// Makes tasks run until they are stopped.
    pub(crate) fn keep_tasks_running(&self) {
        self.state().until_stopped = true;
    }

    /// Limits the ends in a list.
    pub(crate) fn limit_listed_ends(&self, most: usize) {
        self.state().max_listed = most;
    }

    /// Sets the checkpoint of each run in the lists.
    pub(crate) fn set_checkpoint(&self, checkpoint: ListedCheckpoint) {
        self.state().checkpoint = checkpoint;
    }

    /// Makes lists lack the start of the incarnation.
    pub(crate) fn hide_start(&self) {
        self.state().hides_start = true;
    }

    /// Changes the next list.
    pub(crate) fn distort(&self, change: fn(&mut LeaseReply)) {
        self.state().distortion = Some(change);
    }

    /// Makes the worker crash as soon as a task of `job` has started.
    pub(crate) fn crash_under(&self, job: JobId) {
        self.state().crashing_job = Some(job);
    }

    /// Ends the worker's process, with everything that runs.
    pub(crate) fn crash(&self) {
        let mut state = self.state();
        state.crashes += 1;
        state.running.clear();
        state.behavior = Behavior::Unreachable;
    }

    /// Restarts a worker that has crashed.
    pub(crate) fn recover(&self) {
        self.restart();
        self.set_behavior(Behavior::Healthy);
    }

    /// Returns whether the worker has crashed and not been restarted.
    pub(crate) fn is_down(&self) -> bool {
        self.state().behavior == Behavior::Unreachable
    }

    /// Returns the number of crashes.
    pub(crate) fn crashes(&self) -> u32 {
        self.state().crashes
    }

    pub(crate) fn start_attempts(&self) -> u32 {
        u32::try_from(self.state().sent_starts.len()).expect("tests are short")
    }

    /// Returns the starts that were attempted.
    pub(crate) fn sent_starts(&self) -> Vec<SentStart> {
        self.state().sent_starts.clone()
    }

    /// Sets what becomes of the next starts.
    pub(crate) fn set_outcomes(&self, outcomes: impl IntoIterator<Item = StartOutcome>) {
        self.state().outcomes = outcomes.into_iter().collect();
    }

    /// Carries out a start after `delay`, if the worker is up by then.
    fn start_late(&self, name: String, order: StartOrder, deadline_ms: u64, delay: Duration) {
        let worker = self.clone();
        tokio::spawn(async move {
            sleep(delay).await;
            let mut state = worker.state();
            if state.behavior != Behavior::Unreachable && state.name == name {
                state.advance();
                state.start(&order, deadline_ms);
            }
        });
    }

    /// Returns the number of lists that were answered.
    pub(crate) fn listed(&self) -> u32 {
        self.state().lists
    }

    pub(crate) fn started_runs(&self) -> Vec<(TaskKey, u32)> {
        self.state().started_runs.clone()
    }

    /// Returns the checkpoint that a running task was started from.
    pub(crate) fn checkpoint_of(&self, task: TaskKey) -> String {
        let state = self.state();
        let running = state.running.get(&task).expect("it runs");
        running.checkpoint.clone()
    }

    pub(crate) fn running(&self) -> usize {
        let mut state = self.state();
        state.advance();
        state.running.len()
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.0.lock().expect("the lock is not poisoned")
    }

    async fn ensure_reachable(&self, incarnation: &WorkerIncarnation) -> Result<(), CallError> {
        sleep(CALL_TIME).await;
        let behavior = self.state().behavior;
        match behavior {
            Behavior::Unreachable => Err(CallError::NotSent("refused".to_owned())),
            Behavior::Silent => {
                sleep(SILENT_CALL_TIME).await;
                Err(CallError::Unknown("timed out".to_owned()))
            }
            _ if self.state().name != incarnation.name => Err(CallError::OtherLife),
            _ => Ok(()),
        }
    }

    /// Waits until a call that gets no answer fails: at its time limit, or once its connection breaks.
    async fn wait_without_answer(&self) -> CallError {
        let limit = Instant::now() + SILENT_CALL_TIME;
        while Instant::now() < limit {
            if self.is_down() {
                return CallError::Unknown("connection reset".to_owned());
            }
            sleep(Duration::from_millis(20)).await;
        }
        CallError::Unknown("timed out".to_owned())
    }
}

impl State {
    fn clock_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).expect("tests are short")
    }

    /// Ends finished runs, and all runs once the lease has lapsed.
    fn advance(&mut self) {
        let lapsed = self.clock_ms() > self.lease_ms;
        let until_stopped = self.until_stopped || self.behavior == Behavior::Stalls;
        let finished = |running: &Running| !until_stopped && running.since.elapsed() >= TASK_TIME;
        let over: Vec<(TaskKey, EndCause)> = self
            .running
            .iter()
            .filter(|(_, running)| lapsed || finished(running))
            .map(|(task, running)| {
                let cause = if finished(running) {
                    EndCause::Done
                } else {
                    EndCause::Lapsed
                };
                (*task, cause)
            })
            .collect();
        for (task, cause) in over {
            self.end(task, cause);
        }
    }

    fn end(&mut self, task: TaskKey, cause: EndCause) {
        let Some(running) = self.running.remove(&task) else {
            return;
        };
        self.number += 1;
        if cause == EndCause::Done {
            assert!(
                self.finished_tasks.insert(task),
                "{task} was finished twice"
            );
        }
        self.ended.push(ListedEnd {
            number: self.number,
            task,
            run: running.run,
            cause,
            checkpoint: self.checkpoint.clone(),
        });
    }

    fn start(&mut self, order: &StartOrder, deadline_ms: u64) -> StartReply {
        self.lease_ms = self.lease_ms.max(deadline_ms);
        let highest = self.highest.get(&order.task).copied().unwrap_or(0);
        if let Some(running) = self.running.get(&order.task)
            && running.run == order.run
        {
            return StartReply::Started;
        }
        if order.run <= highest {
            return StartReply::Rejected(Rejection::Old);
        }
        if self.clock_ms() > deadline_ms {
            return StartReply::Rejected(Rejection::Late);
        }
        let other = self.running.get(&order.task).map(|running| running.run);
        assert_eq!(other, None, "two runs of {} at the same time", order.task);
        self.highest.insert(order.task, order.run);
        self.started_runs.push((order.task, order.run));
        self.running.insert(
            order.task,
            Running {
                run: order.run,
                checkpoint: order.checkpoint.clone(),
                since: Instant::now(),
            },
        );
        StartReply::Started
    }
}

#[async_trait]
impl WorkerClient for FakeWorker {
    async fn start(
        &self,
        incarnation: &WorkerIncarnation,
        order: &StartOrder,
        deadline_ms: u64,
    ) -> Result<StartReply, CallError> {
        let outcome = {
            let mut state = self.state();
            state.sent_starts.push(SentStart {
                task: order.task,
                run: order.run,
                deadline_ms,
            });
            state.outcomes.pop_front()
        };
        if outcome == Some(StartOutcome::NotSent) {
            return Err(CallError::NotSent("refused".to_owned()));
        }
        self.ensure_reachable(incarnation).await?;
        match outcome {
            Some(StartOutcome::Late(delay)) => {
                let name = incarnation.name.clone();
                self.start_late(name, order.clone(), deadline_ms, delay);
                sleep(START_TIMEOUT).await;
                return Err(CallError::Unknown("timed out".to_owned()));
            }
            Some(StartOutcome::Rejected(rejection)) => return Ok(StartReply::Rejected(rejection)),
            Some(StartOutcome::NotSent) | None => {}
        }
        let behavior = self.state().behavior;
        match behavior {
            Behavior::StartsLate => sleep(LATE_START_TIME).await,
            Behavior::StartsSlowly => sleep(SLOW_START_TIME).await,
            _ => {}
        }
        let mut state = self.state();
        state.advance();
        match state.behavior {
            Behavior::IgnoresStarts => Err(CallError::Unknown("no answer".to_owned())),
            Behavior::LosesStartReplies => {
                state.start(order, deadline_ms);
                Err(CallError::Unknown("no answer".to_owned()))
            }
            _ => {
                let reply = state.start(order, deadline_ms);
                let crashes = state.crashing_job == Some(order.task.job);
                drop(state);
                if crashes && reply == StartReply::Started {
                    self.crash();
                    return Err(CallError::Unknown("connection reset".to_owned()));
                }
                Ok(reply)
            }
        }
    }

    async fn stop(
        &self,
        incarnation: &WorkerIncarnation,
        task: TaskKey,
        run: u32,
    ) -> Result<(), CallError> {
        self.ensure_reachable(incarnation).await?;
        if self.state().behavior == Behavior::SlowStops {
            sleep(STOP_TIME).await;
        }
        let mut state = self.state();
        let highest = state.highest.entry(task).or_insert(0);
        *highest = run.max(*highest);
        if state
            .running
            .get(&task)
            .is_some_and(|known| known.run == run)
        {
            state.end(task, EndCause::Stopped);
        }
        Ok(())
    }

    async fn renew_lease(
        &self,
        incarnation: &WorkerIncarnation,
        deadline_ms: Option<u64>,
        acknowledged: u64,
        wait: Duration,
    ) -> Result<LeaseReply, CallError> {
        self.ensure_reachable(incarnation).await?;
        if let Some(deadline) = deadline_ms {
            let mut state = self.state();
            state.lease_ms = state.lease_ms.max(deadline);
        }
        let answer_by = Instant::now() + wait;
        loop {
            if matches!(
                self.state().behavior,
                Behavior::Silent | Behavior::LosesReplies
            ) {
                return Err(self.wait_without_answer().await);
            }
            {
                let mut state = self.state();
                if state.behavior == Behavior::Unreachable {
                    return Err(CallError::Unknown("connection reset".to_owned()));
                }
                state.advance();
                state.ended.retain(|end| end.number > acknowledged);
                if !state.ended.is_empty() || Instant::now() >= answer_by {
                    state.lists += 1;
                    return Ok(reply(&mut state));
                }
            }
            sleep(Duration::from_millis(20)).await;
        }
    }

    async fn set_pace(
        &self,
        incarnation: &WorkerIncarnation,
        _task: TaskKey,
        _run: u32,
        _percent: u32,
    ) -> Result<(), CallError> {
        self.ensure_reachable(incarnation).await
    }
}

/// Returns the progress of a run. With tasks that run until they are stopped, it wraps around.
fn percent(state: &State, running: &Running) -> u32 {
    if state.behavior == Behavior::Stalls {
        return 50;
    }
    let finished_tasks = running.since.elapsed().as_millis() % TASK_TIME.as_millis();
    u32::try_from(finished_tasks * 100 / TASK_TIME.as_millis()).expect("it is a percentage")
}

fn reply(state: &mut State) -> LeaseReply {
    let running = state.running.iter().map(|(task, running)| ListedRun {
        task: *task,
        run: running.run,
        checkpoint: state.checkpoint.clone(),
        percent: percent(state, running),
        gauge: 1_000,
    });
    let mut reply = LeaseReply {
        started_ms: (!state.hides_start).then_some(state.incarnation),
        worker_ms: state.clock_ms(),
        running: running.collect(),
        ended: state.ended.iter().take(state.max_listed).cloned().collect(),
        more_ended: state.ended.len() >= state.max_listed,
    };
    if let Some(change) = state.distortion.take() {
        change(&mut reply);
    }
    reply
}
