//! Tests of the pacing of best-effort tasks.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::pace::{BestEffortTask, GiveBack, Interference, Pacer, ServingTask, StopCost};
use rstest::rstest;

use crate::support::task;

/// Tail latency of the idle serving task, in milliseconds.
const IDLE_MS: f64 = 4.0;
const TARGET_MS: f64 = 18.0;

/// A worker with a constant load. Utilization is additive, and the tail latency grows without bound
/// as it approaches one.
struct SteadyWorker {
    pacer: Pacer,
    load: f64,
    added: Vec<f64>,
    shares: Vec<f64>,
    now: Moment,
}

impl SteadyWorker {
    fn new(load: f64, added: &[f64]) -> Self {
        Self {
            pacer: Pacer::default(),
            load,
            added: added.to_vec(),
            shares: vec![1.0; added.len()],
            now: Moment::ZERO,
        }
    }

    fn tail(&self) -> f64 {
        let added = self.added.iter().zip(&self.shares);
        let used = self.load + added.map(|(added, share)| added * share).sum::<f64>();
        IDLE_MS / (1.0 - used.min(0.99))
    }

    /// Advances by half a second: reads the samples and sets the pace.
    fn step(&mut self) -> f64 {
        let tail = self.tail();
        let serving = [ServingTask {
            task: task(1, 0, 0),
            image: "serves".to_owned(),
            target_ms: TARGET_MS,
            tail_ms: tail.round(),
        }];
        let best_effort: Vec<BestEffortTask> = (0..self.shares.len())
            .map(|at| BestEffortTask {
                task: task(2, 0, u32::try_from(at).expect("the index fits")),
                image: format!("fills-{at}"),
                share: self.shares[at],
            })
            .collect();
        self.now = self.now + Duration::from_millis(500);
        self.pacer.observe(&serving, &best_effort, self.now);
        let plan = self.pacer.plan(&serving, &best_effort, self.now);
        self.shares = plan
            .into_iter()
            .map(|percent| f64::from(percent) / 100.0)
            .collect();
        tail
    }

    /// Returns the highest tail latency, without the first `skipped` steps.
    fn worst_after(&mut self, skipped: usize, steps: usize) -> f64 {
        let tails: Vec<f64> = (0..steps).map(|_| self.step()).collect();
        tails[skipped..].iter().copied().fold(0.0, f64::max)
    }
}

#[test]
fn tasks_with_little_interference_run_at_full_speed() {
    let mut worker = SteadyWorker::new(0.4, &[0.05, 0.05, 0.05]);
    worker.worst_after(0, 10);
    assert!(
        worker.shares.iter().all(|share| *share > 0.95),
        "{:?}",
        worker.shares
    );
}

#[test]
fn a_task_with_much_interference_is_slowed_until_the_target_is_met() {
    let mut worker = SteadyWorker::new(0.4, &[0.9]);
    assert!(worker.worst_after(6, 30) <= TARGET_MS);
    assert!(
        worker.shares[0] > 0.1,
        "the task was stopped: {:?}",
        worker.shares
    );
}

#[test]
fn the_task_with_the_most_interference_is_slowed_first() {
    let mut worker = SteadyWorker::new(0.4, &[0.8, 0.04]);
    // The second task runs alone at times, so that the two can be told apart.
    for i in 0..40 {
        worker.step();
        if i % 4 == 0 {
            worker.shares[0] = 0.0;
        }
    }
    worker.step();
    assert!(worker.shares[0] < worker.shares[1], "{:?}", worker.shares);
}

#[test]
fn a_prolonged_violation_stops_all_best_effort_tasks() {
    let mut worker = SteadyWorker::new(0.4, &[1.5]);
    worker.pacer = Pacer::default();
    let mut stopped = false;
    for _ in 0..4 {
        worker.step();
        stopped |= worker.shares[0] < 0.01;
        // Simulates a pace that doesn't take effect.
        worker.shares[0] = 1.0;
    }
    assert!(stopped);
}

#[test]
fn a_self_caused_violation_does_not_stop_best_effort_tasks_for_good() {
    let mut worker = SteadyWorker::new(0.95, &[0.01]);
    let mut last_share = 0.0;
    for _ in 0..14 {
        worker.step();
        last_share = worker.shares[0];
    }
    assert!(
        last_share > 0.9,
        "slowed to {last_share} although it isn't the cause"
    );
}

/// A worker whose load swings by half within 10 s. As on real workers, samples are rounded averages
/// over half a second that are renewed every quarter of a second.
struct SwingingWorker {
    pacer: Pacer,
    added: Vec<f64>,
    shares: Vec<f64>,
    sample: f64,
    steps: u32,
}

impl SwingingWorker {
    const STEP: Duration = Duration::from_millis(250);

    fn new(added: &[f64]) -> Self {
        Self {
            pacer: Pacer::default(),
            added: added.to_vec(),
            shares: vec![0.0; added.len()],
            sample: 0.0,
            steps: 0,
        }
    }

    fn tail(&self) -> f64 {
        let seconds = Self::STEP.as_secs_f64() * f64::from(self.steps);
        let load = 0.42 + 0.21 * (std::f64::consts::TAU * seconds / 10.0).sin();
        let added = self.added.iter().zip(&self.shares);
        let used = load + added.map(|(added, share)| added * share).sum::<f64>();
        IDLE_MS / (1.0 - used.min(0.987))
    }

    /// Advances by a quarter of a second and returns the tail latency at its end. A pace takes
    /// effect with the next step.
    fn step(&mut self) -> f64 {
        self.steps += 1;
        let tail = self.tail();
        self.sample = f64::midpoint(self.sample, tail);
        let serving = [ServingTask {
            task: task(1, 0, 0),
            image: "serves".to_owned(),
            target_ms: TARGET_MS,
            tail_ms: self.sample.round(),
        }];
        let best_effort: Vec<BestEffortTask> = (0..self.shares.len())
            .map(|at| BestEffortTask {
                task: task(2, 0, u32::try_from(at).expect("the index fits")),
                image: format!("fills-{at}"),
                share: self.shares[at],
            })
            .collect();
        let now = Moment::ZERO + Self::STEP * self.steps;
        self.pacer.observe(&serving, &best_effort, now);
        let plan = self.pacer.plan(&serving, &best_effort, now);
        self.shares = plan
            .into_iter()
            .map(|percent| f64::from(percent) / 100.0)
            .collect();
        tail
    }

    /// Returns the share of `steps` in which the tail latency exceeds its target, and the mean
    /// work.
    fn run(&mut self, steps: u32) -> (f64, f64) {
        let (mut over, mut work) = (0_u32, 0.0);
        for _ in 0..steps {
            over += u32::from(self.step() > TARGET_MS);
            work += self.shares.iter().sum::<f64>();
        }
        (f64::from(over) / f64::from(steps), work / f64::from(steps))
    }
}

/// Time over the target counts four times, so a twentieth of the time costs a fifth of the value.
const MAX_OVER_SHARE: f64 = 0.05;

#[rstest::rstest]
#[case::one_high(&[0.33], 0.7)]
#[case::high_and_low(&[0.25, 0.01, 0.01, 0.02], 3.3)]
#[case::several_high(&[0.2, 0.2, 0.2, 0.2], 1.1)]
#[case::all_low(&[0.01, 0.01, 0.01, 0.01], 3.9)]
fn a_swinging_load_is_tracked(#[case] added: &[f64], #[case] least_work: f64) {
    let mut worker = SwingingWorker::new(added);
    worker.run(40);
    let (over, work) = worker.run(160);
    assert!(
        over <= MAX_OVER_SHARE,
        "over the target for {over} of the time"
    );
    assert!(work >= least_work, "only the work of {work} tasks was done");
}

/// Two seconds, well below the 4 s over the target that count as harm.
const MAX_STEPS_OVER: usize = 8;

#[test]
fn unknown_tasks_with_much_interference_are_slowed_soon() {
    let mut worker = SwingingWorker::new(&[0.2, 0.2, 0.2, 0.2]);
    worker.shares = Vec::new();
    let added = std::mem::take(&mut worker.added);
    worker.run(40);
    worker.shares = vec![0.0; added.len()];
    worker.added = added;
    let tails: Vec<f64> = (0..40).map(|_| worker.step()).collect();
    let over = tails.split(|tail| *tail <= TARGET_MS).map(<[f64]>::len);
    assert!(over.max() <= Some(MAX_STEPS_OVER), "{tails:?}");
}

#[test]
fn imported_interference_is_not_reported_again() {
    let mut pacer = Pacer::default();
    pacer.import(&[Interference::new("serves", "fills", 0.3)]);
    assert!(pacer.interference().is_empty());
}

/// When the load of the serving tasks rose, all best-effort tasks of a worker were stopped within
/// one sample, although the first stop already left room for the others.
#[test]
fn slow_tasks_are_given_back_one_at_a_time() {
    let mut give_back = GiveBack::default();
    let little = |_: &_| Some(StopCost::Little);
    let mut now = Moment::ZERO;
    let runs = [0, 1, 2].map(|index| (crate::support::task(1, 0, index), 1));
    for (at, run) in runs.iter().enumerate() {
        give_back.record_pace(*run, [0, 40, 41][at], now);
        now = now + Duration::from_millis(10);
    }
    assert_eq!(give_back.choose(little, now), None, "not slow for long");
    now = now + Duration::from_millis(600);
    assert_eq!(
        give_back.choose(|run| (*run != runs[0]).then_some(StopCost::Little), now),
        Some(runs[1])
    );
    give_back.retain(|run| *run != runs[1]);
    now = now + Duration::from_millis(250);
    assert_eq!(
        give_back.choose(little, now),
        None,
        "one has just been stopped"
    );
    now = now + Duration::from_millis(250);
    assert_eq!(give_back.choose(little, now), Some(runs[0]));
    give_back.record_pace(runs[0], 100, now);
    now = now + Duration::from_secs(1);
    assert_eq!(give_back.choose(little, now), None, "it is fast again");
}

/// A task without checkpoints was never given back. On thistle-orders-grown one stood still for 14 s
/// beside serving tasks, and its job of 33 tasks waited for it.
#[rstest]
#[case::after_a_short_run(300, 599, false)]
#[case::as_soon_as_others(300, 600, true)]
#[case::slow_for_less_than_it_ran(2_000, 1_999, false)]
#[case::slow_for_as_long_as_it_ran(2_000, 2_000, true)]
fn a_run_that_loses_its_progress_is_given_back(
    #[case] ran_ms: u64,
    #[case] slow_ms: u64,
    #[case] expected: bool,
) {
    let mut give_back = GiveBack::default();
    let run = (task(1, 0, 0), 1);
    let slow_since = Moment::ZERO;
    give_back.record_pace(run, 0, slow_since);
    let ran_for = Duration::from_millis(ran_ms + slow_ms);
    let chosen = give_back.choose(
        |_| Some(StopCost::Everything(ran_for)),
        slow_since + Duration::from_millis(slow_ms),
    );
    assert_eq!(chosen.is_some(), expected);
}
