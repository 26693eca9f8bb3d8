//! Pace of tasks that fill.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::pace::{BestEffortTask, Interference, Pacer, ServingTask};

use crate::support::task;

/// Tail latency of the idle serving task, in milliseconds.
const IDLE_MS: f64 = 4.0;
const TARGET_MS: f64 = 18.0;

/// A worker as the platform describes it: use adds up, the tail grows as it nears one.
struct Rig {
    pacer: Pacer,
    load: f64,
    added: Vec<f64>,
    shares: Vec<f64>,
    now: Moment,
}

impl Rig {
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

    /// Half a second: the figures are read, the pace is set.
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
                task: task(2, 0, u32::try_from(at).expect("it is small")),
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

    /// Highest tail after `settle` steps.
    fn worst_after(&mut self, settle: usize, steps: usize) -> f64 {
        let tails: Vec<f64> = (0..steps).map(|_| self.step()).collect();
        tails[settle..].iter().copied().fold(0.0, f64::max)
    }
}

#[test]
fn harmless_tasks_run_at_full_speed() {
    let mut rig = Rig::new(0.4, &[0.05, 0.05, 0.05]);
    rig.worst_after(0, 10);
    assert!(
        rig.shares.iter().all(|share| *share > 0.95),
        "{:?}",
        rig.shares
    );
}

#[test]
fn a_heavy_task_is_slowed_until_the_target_is_kept() {
    let mut rig = Rig::new(0.4, &[0.9]);
    assert!(rig.worst_after(6, 30) <= TARGET_MS);
    assert!(rig.shares[0] > 0.1, "it still works: {:?}", rig.shares);
}

#[test]
fn the_task_that_adds_most_is_slowed_first() {
    let mut rig = Rig::new(0.4, &[0.8, 0.04]);
    // The light task works alone at times, so that the two can be told apart.
    for turn in 0..40 {
        rig.step();
        if turn % 4 == 0 {
            rig.shares[0] = 0.0;
        }
    }
    rig.step();
    assert!(rig.shares[0] < rig.shares[1], "{:?}", rig.shares);
}

#[test]
fn a_task_over_its_target_for_long_stops_all_beside_it() {
    let mut rig = Rig::new(0.4, &[1.5]);
    rig.pacer = Pacer::default();
    let mut stopped = false;
    for _ in 0..4 {
        rig.step();
        stopped |= rig.shares[0] < 0.01;
        // The pace doesn't take effect.
        rig.shares[0] = 1.0;
    }
    assert!(stopped);
}

#[test]
fn a_task_that_is_over_its_target_alone_stops_nobody_for_good() {
    let mut rig = Rig::new(0.95, &[0.01]);
    let mut last = 0.0;
    for _ in 0..14 {
        rig.step();
        last = rig.shares[0];
    }
    assert!(last > 0.9, "nothing beside it is the cause: {last}");
}
/// A worker whose figures are what workers give: averages over half a second, renewed every quarter
/// and rounded, of tasks whose own load swings by half within ten seconds.
struct Swinging {
    pacer: Pacer,
    added: Vec<f64>,
    shares: Vec<f64>,
    sample: f64,
    steps: u32,
}

impl Swinging {
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

    /// A quarter of a second; returns the tail at its end. A pace takes effect with the next one.
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
                task: task(2, 0, u32::try_from(at).expect("it is small")),
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

    /// Share of `steps` in which the tail is over its target, and mean work.
    fn run(&mut self, steps: u32) -> (f64, f64) {
        let (mut over, mut work) = (0_u32, 0.0);
        for _ in 0..steps {
            over += u32::from(self.step() > TARGET_MS);
            work += self.shares.iter().sum::<f64>();
        }
        (f64::from(over) / f64::from(steps), work / f64::from(steps))
    }
}

/// Time over the target counts four times, so a twentieth of the time costs a fifth of the worth.
const MOST_OVER: f64 = 0.05;

#[rstest::rstest]
#[case::one_heavy(&[0.33], 0.7)]
#[case::heavy_and_light(&[0.25, 0.01, 0.01, 0.02], 3.3)]
#[case::several_heavy(&[0.2, 0.2, 0.2, 0.2], 1.1)]
#[case::all_light(&[0.01, 0.01, 0.01, 0.01], 3.9)]
fn a_load_that_swings_is_followed(#[case] added: &[f64], #[case] least_work: f64) {
    let mut worker = Swinging::new(added);
    worker.run(40);
    let (over, work) = worker.run(160);
    assert!(over <= MOST_OVER, "over its target for {over} of the time");
    assert!(work >= least_work, "only {work} tasks' work is done");
}

/// Well below the shortest time over its target that counts as harm, four seconds.
const LONGEST_OVER: usize = 8;

#[test]
fn unknown_heavy_tasks_are_found_out_soon() {
    let mut worker = Swinging::new(&[0.2, 0.2, 0.2, 0.2]);
    worker.shares = Vec::new();
    let added = std::mem::take(&mut worker.added);
    worker.run(40);
    worker.shares = vec![0.0; added.len()];
    worker.added = added;
    let tails: Vec<f64> = (0..40).map(|_| worker.step()).collect();
    let over = tails.split(|tail| *tail <= TARGET_MS).map(<[f64]>::len);
    assert!(over.max() <= Some(LONGEST_OVER), "{tails:?}");
}

#[test]
fn what_others_tell_is_not_reported_again() {
    let mut pacer = Pacer::default();
    pacer.import(&[Interference::new("serves", "fills", 0.3)]);
    assert!(pacer.interference().is_empty());
}
