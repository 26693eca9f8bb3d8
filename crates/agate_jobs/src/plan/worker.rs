//! The scheduler's view of a worker.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{JobId, Moment, Resources};

use crate::crash::Crash;
use crate::plan::choose::Yield;
use crate::plan::health::Health;
use crate::plan::obstacle::Obstacle;
use crate::record::SuspicionRecord;
use crate::spec::StepSpec;
use crate::task::TaskKey;
use crate::worker::{StartBlock, WorkerReport, WorkerState};

/// Share of their processor demand that long-running tasks leave idle on average, in percent.
const LONG_RUNNING_IDLE_PERCENT: u32 = 60;

/// Time for which later long-running tasks leave room to one that waits for short tasks to end. Most short
/// tasks have ended by then; the later tasks would otherwise wait beside room for as long as it does.
const FIRST_TIME: Duration = Duration::from_millis(2_500);

/// Wait up to which a long-running task leaves reserved room to one that has waited longer. It has to be back within
/// 6 s after its last run, which ended about a second before the wait began. With 2.5 s, smaller tasks took nearly all
/// room that was reserved while a service was full; without a limit, room stood empty beside tasks that had waited
/// for 13 s.
pub(super) const YIELD_TIME: Duration = Duration::from_secs(5);

/// Longest time for which suspects, one after the other, close a worker to other tasks. Tasks that are ready
/// would otherwise wait beside room for as long as there are suspects that have to survive their start.
const MAX_CLOSED: Duration = Duration::from_millis(2_500);

/// Time after a suspect has survived its start within which the next one continues to close the worker.
const NEXT_PROBE: Duration = Duration::from_millis(200);

/// Longest time between a contact that is read after a gap and the end of the gap. Reads of 1.6 s count as a gap,
/// so a contact from before it is older.
const CATCH_UP_TIME: Duration = Duration::from_millis(1_500);

/// Headroom assumed for serving tasks until their worker reports one.
const DEFAULT_HEADROOM: f64 = 0.3;

/// A run that is bound to a worker and whose end has not been recorded.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Binding {
    pub run: u32,
    pub worker: usize,
    pub term: (u64, u32),
    pub demand: Resources,
    pub best_effort: bool,
    /// Image of a task with a latency target; empty for other tasks.
    pub serving_image: String,
    /// Image of a best-effort task; empty for other tasks.
    pub best_effort_image: String,
    pub long_running: bool,
    pub estimate_ms: u64,
    pub stopping: bool,
    /// Time of the binding; a restored one counts as bound at the takeover.
    pub bound_at: Moment,
    /// Time until which nothing else is started beside the run, because its task may have crashed a
    /// worker; `None` for other tasks.
    pub probe_until: Option<Moment>,
}

impl Binding {
    /// Returns the demand that counts against the capacity of the worker.
    pub const fn counted(&self) -> Resources {
        if self.best_effort {
            without_cpu(self.demand)
        } else {
            self.demand
        }
    }
}

/// A worker and the tasks bound to it.
#[derive(Debug)]
pub(super) struct Worker {
    pub report: WorkerReport,
    pub suspicion: SuspicionRecord,
    /// Time at which the open suspicion was recorded; `None` if there is none or it is not yet
    /// recorded.
    pub suspected_at: Option<Moment>,
    pub last_contact: Moment,
    /// Time since which the agent has reported that it can't read its orders; `None` while it can.
    pub unread_since: Option<Moment>,
    /// Time since which the main stream has been read to its end without a gap.
    pub reading_since: Moment,
    /// Demand that counts against the capacity. Excludes the processor demand of best-effort tasks.
    pub used: Resources,
    /// Processor demand of best-effort tasks.
    pub best_effort_millicores: u32,
    /// Demand of long-running tasks.
    pub long_running: Resources,
    /// Resources reserved in the current placement round for long-running tasks that wait until
    /// others have ended.
    pub reserved: Resources,
    /// Part of them that was reserved recently, which later long-running tasks don't take, either.
    pub reserved_first: Resources,
    /// The tasks that they are reserved for.
    pub reservations: Vec<TaskKey>,
    /// Resources held for tasks that are being moved here and still run elsewhere.
    pub held: Resources,
    /// Whether the worker's records have been dropped because it left.
    pub records_dropped: bool,
    /// Whether the operator has withdrawn the worker's zone.
    pub withdrawn: bool,
    /// Whether the log doesn't take orders for the worker at present.
    pub orders_held: bool,
    /// Time until which the worker is slow after its start.
    pub cold_until: Moment,
    pub health: Health,
    /// Number of tasks with a latency target, by image.
    pub serving_images: BTreeMap<String, u32>,
    /// Number of best-effort tasks, by image.
    pub best_effort_images: BTreeMap<String, u32>,
    /// Runs whose tasks may have crashed a worker, and until when they have to survive their start.
    pub probes: BTreeMap<TaskKey, Moment>,
    /// Times since and until which such runs have closed the worker, one after the other.
    closed: (Moment, Moment),
    /// The bound tasks.
    pub tasks: BTreeSet<TaskKey>,
    /// Number of bound tasks, by job, occurrence and step.
    pub step_tasks: BTreeMap<(JobId, u32, u32), u32>,
}

impl Worker {
    pub fn new(report: WorkerReport, suspicion: SuspicionRecord, now: Moment) -> Self {
        Self {
            report,
            suspicion,
            suspected_at: None,
            last_contact: now,
            unread_since: None,
            reading_since: Moment::ZERO,
            used: Resources::ZERO,
            best_effort_millicores: 0,
            long_running: Resources::ZERO,
            reserved: Resources::ZERO,
            reserved_first: Resources::ZERO,
            reservations: Vec::new(),
            held: Resources::ZERO,
            records_dropped: false,
            withdrawn: false,
            orders_held: false,
            cold_until: Moment::ZERO,
            health: Health::default(),
            serving_images: BTreeMap::new(),
            best_effort_images: BTreeMap::new(),
            probes: BTreeMap::new(),
            closed: (Moment::ZERO, Moment::ZERO),
            tasks: BTreeSet::new(),
            step_tasks: BTreeMap::new(),
        }
    }

    /// Returns whether the worker has left. A report of an earlier incarnation, recorded late, says
    /// nothing about the current one.
    pub fn is_gone(&self) -> bool {
        let reported = self.report.incarnation.started_ms;
        self.report.state == WorkerState::Gone && reported >= self.suspicion.incarnation.started_ms
    }

    /// Replaces the report, which was read at `now`.
    pub fn set_report(&mut self, report: &WorkerReport, now: Moment) {
        self.cold_until = now + Duration::from_millis(report.cold_ms);
        let is_unread = report.start_block == Some(StartBlock::OrdersStale);
        self.unread_since = is_unread.then(|| self.unread_since.unwrap_or(now));
        self.report = report.clone();
        self.records_dropped = false;
    }

    /// Returns whether any run is bound to the worker.
    pub fn has_runs(&self) -> bool {
        !self.tasks.is_empty()
    }

    /// Returns whether the worker answers and is neither about to leave nor suspected, and its agent
    /// executes orders.
    pub fn is_in_service(&self) -> bool {
        self.report.state == WorkerState::Ready
            && self.report.agent.is_serving()
            && !self.report.unreachable
            && self.report.incarnation == self.suspicion.incarnation
            && !self.suspicion.suspected
    }

    /// Returns whether orders reach the worker's agent and are executed there.
    pub fn executes_orders(&self) -> bool {
        self.report.start_block.is_none() && !self.orders_held && !self.is_unheard()
    }

    /// Returns whether the last contact was before the newest gap in the reading. The agent may have stopped
    /// while its reports couldn't be stored or read.
    pub fn is_unheard(&self) -> bool {
        self.reading_since.since(self.last_contact) > CATCH_UP_TIME
    }

    /// Returns whether a run must survive its start before anything else is started. Runs for which that
    /// takes long don't close the worker for longer than [`MAX_CLOSED`].
    pub fn is_probing(&self, now: Moment) -> bool {
        now.since(self.closed.0) < MAX_CLOSED && self.probes.values().any(|until| now < *until)
    }

    /// Returns whether nothing runs but tasks that may have crashed a worker.
    pub fn is_idle(&self) -> bool {
        self.runs() == self.probes.len()
    }

    /// Returns why a task of a step doesn't fit beside the bound tasks and what it leaves of the reserved room.
    #[inline]
    pub fn shortage(&self, step: &StepSpec, yields: Yield) -> Option<Obstacle> {
        let room = self.room_for(step);
        let reserved = self.reserved_from(step, yields);
        let unreserved = room.saturating_sub(reserved);
        if step.demand.fits_in(unreserved) {
            None
        } else if step.demand.fits_in(room) {
            Some(Obstacle::Reserved)
        } else if step.best_effort && without_cpu(step.demand).fits_in(unreserved) {
            Some(Obstacle::Busy)
        } else {
            Some(Obstacle::NoRoom)
        }
    }

    /// Returns what the bound tasks leave to a task of a step.
    fn room_for(&self, step: &StepSpec) -> Resources {
        let room = self.report.capacity.saturating_sub(self.used);
        if step.long_running || !step.best_effort {
            return room;
        }
        let idle = self.long_running.millicores / 100 * LONG_RUNNING_IDLE_PERCENT;
        // More may be in use than the worker has, if it has shrunk.
        let capacity = self.report.capacity.millicores.saturating_add(idle);
        Resources {
            millicores: capacity.saturating_sub(self.busy_millicores()),
            ..room
        }
    }

    /// Returns what is kept from a task of a step.
    fn reserved_from(&self, step: &StepSpec, yields: Yield) -> Resources {
        let reserved = match yields {
            Yield::Nothing => Resources::ZERO,
            Yield::Recent => self.reserved_first,
            Yield::All => self.reserved,
        };
        let kept = reserved + self.held;
        if step.best_effort {
            without_cpu(kept)
        } else {
            kept
        }
    }

    /// Returns the processor demand of all bound tasks.
    pub const fn busy_millicores(&self) -> u32 {
        let best_effort = self.best_effort_millicores;
        self.used.millicores.saturating_add(best_effort)
    }

    /// Returns what a long-running task still lacks, beside the reservations and the room held for
    /// moves, as a sum of permilles of the capacity, or `None` if the task won't fit even after all
    /// short tasks have ended.
    pub fn missing_permille(&self, demand: Resources) -> Option<u64> {
        let capacity = self.report.capacity;
        let wanted = self.reserved + self.held + demand;
        let fits = (self.long_running + wanted).fits_in(capacity);
        fits.then(|| excess_permille(self.used + wanted, capacity, capacity))
    }

    /// Returns by how much a demand exceeds a room, as a sum of permilles of the capacity.
    pub fn lack_permille(&self, room: Resources, demand: Resources) -> u64 {
        excess_permille(demand, room, self.report.capacity)
    }

    /// Reserves resources for a long-running task for which this has been done without a break for
    /// `reserved_for`.
    pub fn reserve(&mut self, task: TaskKey, demand: Resources, reserved_for: Duration) {
        self.reserved += demand;
        if reserved_for < FIRST_TIME {
            self.reserved_first += demand;
        }
        self.reservations.push(task);
    }

    pub fn clear_reservations(&mut self) {
        self.reserved = Resources::ZERO;
        self.reserved_first = Resources::ZERO;
        self.reservations.clear();
    }

    pub fn bind(&mut self, task: TaskKey, binding: &Binding) {
        self.tasks.insert(task);
        *self.step_tasks.entry(step_of(task)).or_default() += 1;
        if let Some(until) = binding.probe_until {
            self.probes.insert(task, until);
            self.close(binding.bound_at, until);
        }
        let demand = binding.demand;
        if binding.best_effort {
            let millicores = self.best_effort_millicores;
            self.best_effort_millicores = millicores.saturating_add(demand.millicores);
        }
        self.used += binding.counted();
        if binding.long_running {
            self.long_running += demand;
        }
        if !binding.best_effort_image.is_empty() {
            *self
                .best_effort_images
                .entry(binding.best_effort_image.clone())
                .or_default() += 1;
        }
        if !binding.serving_image.is_empty() {
            *self
                .serving_images
                .entry(binding.serving_image.clone())
                .or_default() += 1;
        }
    }

    /// Closes the worker to other tasks from `since` to `until`.
    fn close(&mut self, since: Moment, until: Moment) {
        if since > self.closed.1 + NEXT_PROBE {
            self.closed.0 = since;
        }
        self.closed.1 = self.closed.1.max(until);
    }

    pub fn release(&mut self, task: TaskKey, binding: &Binding) {
        self.tasks.remove(&task);
        decrement(&mut self.step_tasks, &step_of(task));
        self.probes.remove(&task);
        self.health.record_release(task);
        decrement(&mut self.serving_images, &binding.serving_image);
        decrement(&mut self.best_effort_images, &binding.best_effort_image);
        let demand = binding.demand;
        if binding.best_effort {
            self.best_effort_millicores = self
                .best_effort_millicores
                .saturating_sub(demand.millicores);
        }
        self.used = self.used.saturating_sub(binding.counted());
        if binding.long_running {
            self.long_running = self.long_running.saturating_sub(demand);
        }
    }

    /// Returns the utilization that serving tasks of an image leave to best-effort tasks.
    pub fn headroom(&self, serving: &str) -> f64 {
        let mut rooms = self.report.headroom.iter();
        let room = rooms.find(|room| room.serving == serving);
        room.map_or(DEFAULT_HEADROOM, |room| f64::from(room.milli) / 1_000.0)
    }

    /// Returns what the scheduler knows of a crash under a run. It can't tell which of the `bound` runs
    /// had been started.
    pub fn crash_under(&self, binding: &Binding, bound: usize) -> Crash {
        let ran = self.last_contact.since(binding.bound_at).as_millis();
        Crash {
            address: self.report.address.clone(),
            ran_ms: u64::try_from(ran).unwrap_or(u64::MAX),
            within_ms: u64::MAX,
            peers: u32::try_from(bound).unwrap_or(u32::MAX),
            unstable: false,
        }
    }

    /// Returns the number of runs that are bound to the worker.
    pub fn runs(&self) -> usize {
        self.tasks.len()
    }

    /// Returns how many tasks of a step the idle worker would have room for.
    pub fn max_tasks(&self, step: &StepSpec) -> u32 {
        let (capacity, demand) = (self.report.capacity, step.demand);
        let tasks = |total: u32, each: u32| total.checked_div(each).unwrap_or(u32::MAX);
        let fitting = tasks(capacity.millicores, demand.millicores)
            .min(tasks(capacity.memory_mib, demand.memory_mib))
            .min(tasks(capacity.accelerators, demand.accelerators));
        if step.per_worker == 0 {
            return fitting;
        }
        fitting.min(step.per_worker)
    }

    /// Returns the number of tasks of the same step that are bound to this worker.
    pub fn siblings(&self, task: TaskKey) -> u32 {
        self.step_tasks.get(&step_of(task)).copied().unwrap_or(0)
    }

    /// Returns the number of tasks of the same step for which room is reserved.
    pub fn reserved_siblings(&self, task: TaskKey) -> u32 {
        let reservations = self.reservations.iter();
        let siblings = reservations.filter(|other| step_of(**other) == step_of(task));
        u32::try_from(siblings.count()).unwrap_or(u32::MAX)
    }
}

fn decrement<K: Ord>(counts: &mut BTreeMap<K, u32>, key: &K) {
    if let Some(count) = counts.get_mut(key) {
        *count -= 1;
        if *count == 0 {
            counts.remove(key);
        }
    }
}

const fn step_of(task: TaskKey) -> (JobId, u32, u32) {
    (task.job, task.occurrence, task.step)
}

/// Returns by how much an amount exceeds a room, as a sum of permilles of the capacity.
fn excess_permille(amount: Resources, room: Resources, capacity: Resources) -> u64 {
    let excess = amount.saturating_sub(room);
    let part = |excess: u32, capacity: u32| u64::from(excess) * 1_000 / u64::from(capacity.max(1));
    part(excess.millicores, capacity.millicores)
        + part(excess.memory_mib, capacity.memory_mib)
        + part(excess.accelerators, capacity.accelerators)
}

const fn without_cpu(demand: Resources) -> Resources {
    Resources {
        millicores: 0,
        ..demand
    }
}
