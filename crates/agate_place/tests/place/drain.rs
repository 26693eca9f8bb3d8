//! All work is done once the faults are over, whatever has happened before.

use agate_core::{Incarnation, JobId, Moment, Resources, TaskId};
use agate_place::{
    AdoptedRun, JobSpec, Placement, Policy, RunOutcome, Scheduler, Selector, UrgentReading,
    ViewState, WorkerSpec,
};
use agate_preset::TeamQuota;
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::RngSeed;
use rand::rngs::SmallRng;
use std::time::Duration;

use crate::support::{class, job, rng, tag, team};

const CLASSES: [&str; 2] = ["rebalance", "export"];
const TEAMS: [&str; 2] = ["kehilla", "kattegatt"];
const TAG: &str = "nightly";

/// Time of a run after the faults.
const RUN_TIME: Duration = Duration::from_secs(10);

/// Time within which all work is done: the longest backoffs, quarantines and the ageing time, several
/// times over.
const DRAIN_TIME: Duration = Duration::from_hours(1);

/// Something that happens. Indices are taken modulo the number of items.
#[derive(Debug, Clone)]
enum Event {
    Push {
        tasks: u32,
        declared: (u32, u32),
        team: usize,
        class: usize,
        tagged: bool,
    },
    Next(usize),
    End(usize, RunOutcome),
    Refuse(usize, Option<u32>),
    Join(u32),
    MarkLeaving(usize),
    Remove(usize),
    Withdraw(usize, bool),
    Cancel(u64),
    Urgent(usize, u32),
    Adopt(u64, u32, usize),
    Held(usize, u32),
    Configure,
    Pass(u64),
}

fn event() -> impl Strategy<Value = Event> {
    let declared = (
        select(vec![500, 1_000, 4_000, 14_000]),
        select(vec![512, 8_192, 40_000]),
    );
    let push = (1_u32..6, declared, 0_usize..2, 0_usize..2, any::<bool>());
    let push = push.prop_map(|(tasks, declared, team, class, tagged)| Event::Push {
        tasks,
        declared,
        team,
        class,
        tagged,
    });
    let outcomes = vec![
        RunOutcome::Finished,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Failed,
        RunOutcome::Exhausted,
        RunOutcome::Evicted,
        RunOutcome::Stopped,
        RunOutcome::NotStarted,
        RunOutcome::Lost,
    ];
    let end = (0_usize..32, select(outcomes)).prop_map(|(run, outcome)| Event::End(run, outcome));
    let held = prop::option::of(select(vec![0, 8_000, 15_000]));
    prop_oneof![
        6 => push,
        6 => (1_usize..12).prop_map(Event::Next),
        10 => end,
        1 => (0_usize..32, held).prop_map(|(run, held)| Event::Refuse(run, held)),
        2 => select(vec![2_000, 8_000, 16_000]).prop_map(Event::Join),
        1 => (0_usize..8).prop_map(Event::MarkLeaving),
        1 => (0_usize..8).prop_map(Event::Remove),
        2 => (0_usize..3, any::<bool>()).prop_map(|(at, on)| Event::Withdraw(at, on)),
        1 => (1_u64..12).prop_map(Event::Cancel),
        3 => (0_usize..8, select(vec![90, 150, 300])).prop_map(|(at, by)| Event::Urgent(at, by)),
        1 => (1_u64..12, 0_u32..6, 0_usize..8).prop_map(|(j, t, w)| Event::Adopt(j, t, w)),
        1 => (0_usize..8, select(vec![0, 15_000])).prop_map(|(at, held)| Event::Held(at, held)),
        1 => Just(Event::Configure),
        5 => select(vec![100, 1_000, 4_000, 40_000, 400_000]).prop_map(Event::Pass),
    ]
}

struct Simulation {
    s: Scheduler,
    rng: SmallRng,
    now: Moment,
    running: Vec<(Moment, TaskId)>,
    workers: Vec<Incarnation>,
    leaving: Vec<Incarnation>,
    joined: u64,
    jobs: u64,
    withdrawn: [bool; 3],
}

fn policy() -> Policy {
    let quota = TeamQuota {
        guaranteed: Resources::new(6_000, 50_000, 0),
        borrow: false,
    };
    Policy {
        teams: std::iter::once((team(TEAMS[1]), quota)).collect(),
        ..Policy::default()
    }
}

fn selector(at: usize) -> Selector {
    CLASSES.get(at).map_or_else(
        || Selector::Tag(tag(TAG)),
        |name| Selector::Class(class(name)),
    )
}

impl Simulation {
    fn new() -> Self {
        Self {
            s: Scheduler::new(policy()),
            rng: rng(5),
            now: Moment::ZERO + Duration::from_secs(1),
            running: Vec::new(),
            workers: Vec::new(),
            leaving: Vec::new(),
            joined: 0,
            jobs: 0,
            withdrawn: [false; 3],
        }
    }

    fn worker(&self, at: usize) -> Option<Incarnation> {
        self.workers.get(at % self.workers.len().max(1)).copied()
    }

    fn join(&mut self, millicores: u32) {
        self.joined += 1;
        let id = Incarnation::new(self.joined);
        let capacity = Resources::new(millicores, millicores * 4, 0);
        self.workers.push(id);
        self.s.join(self.now, WorkerSpec { id, capacity });
    }

    fn place(&mut self, limit: usize) {
        for _ in 0..limit {
            let Some(Placement { task, .. }) = self.s.next(self.now, &mut self.rng) else {
                return;
            };
            self.s.started(self.now, task);
            self.running.push((self.now + RUN_TIME, task));
        }
    }

    fn end(&mut self, at: usize, outcome: RunOutcome) {
        if self.running.is_empty() {
            return;
        }
        let (_, task) = self.running.remove(at % self.running.len());
        self.s
            .ended(self.now, task, outcome, Resources::new(400, 400, 0));
    }

    fn set_withdrawn(&mut self, at: usize, withdrawn: bool) {
        self.withdrawn[at] = withdrawn;
        if withdrawn {
            self.s.withdraw(&selector(at));
        } else {
            self.s.resume(&selector(at));
        }
    }

    fn apply(&mut self, event: &Event) {
        match *event {
            Event::Push {
                tasks,
                declared,
                team: at,
                class: of,
                tagged,
            } => {
                self.jobs += 1;
                let spec = JobSpec {
                    team: team(TEAMS[at]),
                    class: class(CLASSES[of]),
                    tags: tagged.then(|| tag(TAG)).into_iter().collect(),
                    declared: Resources::new(declared.0, declared.1, 0),
                    ..job(self.jobs, tasks)
                };
                self.s.push(self.now, &spec);
            }
            Event::Next(limit) => self.place(limit),
            Event::End(at, outcome) => self.end(at, outcome),
            Event::Refuse(at, held) => {
                if !self.running.is_empty() {
                    let (_, task) = self.running.remove(at % self.running.len());
                    let held = held.map(|held| Resources::new(held, held, 0));
                    self.s.refused(self.now, task, held);
                }
            }
            Event::Join(millicores) => self.join(millicores),
            Event::MarkLeaving(at) => {
                if let Some(worker) = self.worker(at) {
                    self.s.mark_leaving(worker);
                    self.leaving.push(worker);
                }
            }
            Event::Remove(at) => {
                if let Some(worker) = self.worker(at) {
                    self.workers.retain(|known| *known != worker);
                    self.s.remove(self.now, worker);
                }
            }
            Event::Withdraw(at, withdrawn) => self.set_withdrawn(at, withdrawn),
            Event::Cancel(job) => {
                self.s.cancel(JobId(job));
            }
            Event::Urgent(at, slowdown_percent) => {
                if let Some(worker) = self.worker(at) {
                    let reading = UrgentReading {
                        worker,
                        class: class("seat-check"),
                        age: Duration::from_millis(500),
                        slowdown_percent,
                        load_percent: 40,
                    };
                    self.s.observe_urgent(self.now, &reading);
                    self.s.steps(self.now);
                }
            }
            Event::Adopt(job, index, at) => self.adopt(JobId(job), index, at),
            Event::Held(at, held) => {
                if let Some(worker) = self.worker(at) {
                    self.s.report_held(worker, Resources::new(held, held, 0));
                }
            }
            Event::Configure => self.s.configure(self.now, policy()),
            Event::Pass(ms) => self.now = self.now + Duration::from_millis(ms),
        }
    }

    fn adopt(&mut self, job: JobId, index: u32, at: usize) {
        let task = TaskId { job, index };
        let is_running = self.running.iter().any(|(_, known)| *known == task);
        let Some(worker) = self.worker(at).filter(|_| !is_running) else {
            return;
        };
        let demand = Resources::new(1_000, 1_000, 0);
        let run = AdoptedRun {
            task,
            worker,
            demand,
            declared: demand,
            team: team(TEAMS[0]),
            class: class(CLASSES[0]),
        };
        self.s.adopt(self.now, &run);
        self.running.push((self.now + RUN_TIME, task));
    }

    fn is_done(&self) -> bool {
        (1..=self.jobs).all(|job| self.s.waiting_count(JobId(job)) == 0)
    }

    /// Ends the faults, and lets time pass up to each next wake or end of a run. Returns whether all
    /// work is done in time.
    fn drain(&mut self) -> bool {
        for at in 0..self.withdrawn.len() {
            self.set_withdrawn(at, false);
        }
        for worker in self.workers.clone() {
            self.s.report_held(worker, Resources::ZERO);
        }
        for worker in std::mem::take(&mut self.leaving) {
            self.workers.retain(|known| *known != worker);
            self.s.remove(self.now, worker);
        }
        if self.workers.is_empty() {
            self.join(20_000);
        }
        self.s.set_view(self.now, ViewState::Complete);
        let until = self.now + DRAIN_TIME;
        while self.now < until {
            self.s.steps(self.now);
            self.place(usize::MAX);
            self.s.take_given_up();
            if self.is_done() {
                return true;
            }
            let ends = self.running.iter().map(|(at, _)| *at);
            let Some(next) = ends.chain(self.s.next_wake(self.now)).min() else {
                return false;
            };
            self.now = next.max(self.now + Duration::from_millis(1));
            while let Some(at) = self.running.iter().position(|(at, _)| *at <= self.now) {
                self.end(at, RunOutcome::Finished);
            }
        }
        false
    }
}

/// Returns the number of cases: `PROPTEST_CASES`, or as many as take some seconds.
fn case_count() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(300)
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(41),
        max_shrink_iters: 20_000,
        ..crate::support::cases(case_count())
    })]

    /// State that a series of faults left behind kept tasks from workers with room for good, or nothing
    /// woke the caller to place them.
    #[test]
    fn all_work_is_done_after_any_series(events in vec(event(), 1..50)) {
        let mut simulation = Simulation::new();
        for event in &events {
            simulation.apply(event);
        }
        prop_assert!(simulation.drain(), "tasks wait for good");
    }
}
