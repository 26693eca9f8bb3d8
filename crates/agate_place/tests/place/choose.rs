//! Choice of a worker: interference, limits and exploration.

use std::time::Duration;

use agate_core::{Incarnation, JobId, Resources, TaskId};
use agate_place::ClassKey;
use agate_place::choose::{NoWorker, PlacementRequest, Rules, choose};
use agate_place::interference::{Band, Model, Sample};
use agate_place::workers::{Allocation, Mix, UrgentState, WorkerKey, Workers};
use agate_preset::policy::{Eviction, Interference, Weights};
use rstest::rstest;

use crate::support::{at, rng};

const SEAT_CHECK: ClassKey = ClassKey(0);
const QUOTE: ClassKey = ClassKey(1);
const NOISY: ClassKey = ClassKey(2);
const TASK: Resources = Resources::new(500, 512, 0);

fn rules(explore_percent: u32) -> Rules {
    Rules {
        candidates: 8,
        interference: Interference {
            explore_percent,
            ..Interference::default()
        },
        eviction: Eviction::default(),
        weights: Weights {
            evictions: 0,
            ..Weights::default()
        },
    }
}

/// Returns a model in which the noisy class slows quotes but not seat checks, and load alone slows
/// neither.
fn model() -> Model {
    let mut model = Model::new(Duration::from_hours(1));
    for secs in 1..2_000 {
        for (urgent, strength) in [(SEAT_CHECK, 0.0), (QUOTE, 2.0)] {
            let mut mix = Mix::default();
            let share = 0.1 + 0.01 * f64::from(secs % 30);
            mix.add(NOISY, share);
            let sample = Sample {
                urgent,
                band: Band::Medium,
                measured_at: at(1),
                slowdown: (strength * share).exp(),
            };
            model.learn(at(1), sample, &mix);
        }
    }
    model
}

/// Returns one worker per urgent class, on which the noisy class uses the given number of cores.
fn workers(classes: &[(ClassKey, u32)]) -> (Workers, Vec<WorkerKey>) {
    let mut workers = Workers::new(0);
    let mut keys = Vec::new();
    for (id, &(class, cores)) in (0..).zip(classes) {
        let capacity = Resources::new(16_000, 65_536, 0);
        let key = workers.join(at(0), Incarnation::new(id), capacity);
        workers.record_urgent(
            key,
            UrgentState {
                class,
                band: Band::Medium,
                measured_at: at(1),
            },
        );
        let task = TaskId {
            job: JobId(id),
            index: 0,
        };
        let amount = Resources::new(cores * 1_000, 1_024, 0);
        let allocation = Allocation {
            task,
            class: NOISY,
            amount,
        };
        workers.allocate(at(0), key, allocation);
        keys.push(key);
    }
    (workers, keys)
}

fn pick(
    workers: &Workers,
    model: &Model,
    explore_percent: u32,
    seed: u64,
) -> Result<WorkerKey, NoWorker> {
    let request = PlacementRequest {
        class: NOISY,
        demand: TASK,
        avoid: &[],
    };
    let rules = rules(explore_percent);
    choose(at(2), request, workers, model, &rules, &mut rng(seed))
}

#[test]
fn work_goes_to_the_worker_whose_urgent_class_it_slows_least() {
    let (workers, keys) = workers(&[(QUOTE, 0), (SEAT_CHECK, 0), (QUOTE, 0)]);
    let model = model();
    for seed in 0..50 {
        assert_eq!(pick(&workers, &model, 0, seed), Ok(keys[1]));
    }
}

#[test]
fn work_is_not_placed_where_it_would_slow_urgent_work_beyond_the_limit() {
    let (workers, _) = workers(&[(QUOTE, 2), (QUOTE, 3)]);
    let model = model();
    for seed in 0..50 {
        assert_eq!(pick(&workers, &model, 0, seed), Err(NoWorker::SlowsUrgent));
    }
}

#[rstest]
#[case::never(0, 0..=0)]
#[case::some(10, 40..=160)]
fn exploration_ignores_the_prediction_at_the_configured_rate(
    #[case] percent: u32,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let (workers, _) = workers(&[(QUOTE, 3)]);
    let model = model();
    let explored = (0..1_000).filter(|seed| pick(&workers, &model, percent, *seed).is_ok());
    let count = explored.count();
    assert!(expected.contains(&count), "{count} of 1000");
}
