//! Learned sizes, and tasks that are too large for any worker.

use agate_core::{ClassName, JobId, Resources};
use agate_place::impossible::Reason;
use agate_place::queue::Queue;
use agate_place::sizing::{RunUsage, Sizing};
use agate_place::{ClassKey, Disposition, GiveUpReason, Policy, RunOutcome, Scheduler};
use rand::Rng;
use rstest::rstest;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::support::{at, class, job, join, rng, scheduler};

fn key(name: &ClassName) -> ClassKey {
    Queue::new(BTreeMap::new(), Duration::from_secs(1)).class(name)
}

/// Learns from 200 runs of about 2 cores and 4 GiB, declared as `factor` times that size.
fn learn(factor: f64) -> (Sizing, Resources) {
    let mut sizing = Sizing::new(95);
    let mut rng = rng(5);
    let declared = Resources::new((2_000.0 * factor) as u32, (4_096.0 * factor) as u32, 0);
    for run in 0..200 {
        let used = rng.random_range(0.8..1.2);
        let peak = Resources::new((2_000.0 * used) as u32, (4_096.0 * used) as u32, 0);
        let given = Resources::new(20_000, 40_960, 0);
        let usage = RunUsage {
            declared,
            given,
            peak,
        };
        sizing.observe(at(run), key(&class("rebalance")), usage);
    }
    (sizing, declared)
}

#[rstest]
#[case::third(1.0 / 3.0)]
#[case::right(1.0)]
#[case::thrice(3.0)]
fn demand_follows_usage_whatever_is_declared(#[case] factor: f64) {
    let (sizing, declared) = learn(factor);
    let class = key(&class("rebalance"));
    let demand = sizing.demand(at(200), class, declared, Resources::ZERO);
    assert!((2_200..=2_800).contains(&demand.millicores), "{demand}");
    assert!((4_700..=5_800).contains(&demand.memory_mib), "{demand}");
}

#[test]
fn without_runs_the_declared_size_is_used() {
    let declared = Resources::new(1_500, 3_000, 1);
    let demand = Sizing::new(95).demand(at(0), ClassKey(0), declared, Resources::ZERO);
    assert_eq!(demand, declared);
}

#[test]
fn varying_but_accurate_declarations_are_followed() {
    let mut sizing = Sizing::new(95);
    let mut rng = rng(5);
    for run in 0..300 {
        let cores = rng.random_range(500..8_000);
        let declared = Resources::new(cores, cores, 0);
        let peak = Resources::new(cores / 2, cores / 2, 0);
        let usage = RunUsage {
            declared,
            given: declared,
            peak,
        };
        sizing.observe(at(run), ClassKey(0), usage);
    }
    let small = sizing.demand(
        at(300),
        ClassKey(0),
        Resources::new(600, 600, 0),
        Resources::ZERO,
    );
    let large = sizing.demand(
        at(300),
        ClassKey(0),
        Resources::new(6_000, 6_000, 0),
        Resources::ZERO,
    );
    assert!((270..=400).contains(&small.millicores), "{small}");
    assert!((2_700..=3_600).contains(&large.millicores), "{large}");
}

#[test]
fn readings_at_the_limit_let_a_size_grow() {
    let mut sizing = Sizing::new(95);
    let declared = Resources::new(500, 512, 0);
    let need = 4_000;
    for run in 0..60 {
        let given = sizing.demand(at(run), ClassKey(0), declared, Resources::ZERO);
        let peak = Resources::new(given.millicores.min(need), 300, 0);
        let usage = RunUsage {
            declared,
            given,
            peak,
        };
        sizing.observe(at(run), ClassKey(0), usage);
    }
    let given = sizing.demand(at(60), ClassKey(0), declared, Resources::ZERO);
    assert!(given.millicores >= need, "{given}");
}

/// Runs one task to its end. Workers kill a run that uses more memory than it was given.
fn run_to_end(s: &mut Scheduler, needs: u32) -> (u32, Disposition) {
    let mut rng = rng(1);
    let mut runs = 0;
    for secs in 100..1_000 {
        let Some(placement) = s.next(at(secs), &mut rng) else {
            continue;
        };
        runs += 1;
        let given = placement.demand;
        let peak = Resources::new(500, needs.min(given.memory_mib), 0);
        let end = if needs > given.memory_mib {
            RunOutcome::Exhausted
        } else {
            RunOutcome::Finished
        };
        let ended = s.ended(at(secs), placement.task, end, peak);
        if !matches!(ended, Disposition::Retry(_)) {
            return (runs, ended);
        }
    }
    panic!("the task never ended");
}

#[test]
fn an_under_declared_task_finishes_after_growing() {
    let mut s = scheduler(Policy::default(), 2);
    s.push(at(0), &job(1, 1));
    let (runs, ended) = run_to_end(&mut s, 10_000);
    assert_eq!(ended, Disposition::Done);
    assert!(runs <= 6, "{runs} runs");
}

#[test]
fn a_task_killed_at_the_largest_size_is_given_up_as_exhausted() {
    let mut s = scheduler(Policy::default(), 2);
    s.push(at(0), &job(1, 1));
    let (_, ended) = run_to_end(&mut s, 100_000);
    assert_eq!(ended, Disposition::GivenUp);
    let GiveUpReason::Impossible(Reason::Exhausted { given, largest }) =
        s.take_given_up()[0].reason
    else {
        panic!("unexpected reason");
    };
    assert_eq!(given.memory_mib, 55_296);
    assert_eq!(largest, Resources::new(14_400, 55_296, 0));
}

#[test]
fn the_reason_for_giving_up_is_a_sentence() {
    let reason = Reason::Exhausted {
        given: Resources::new(1_000, 55_296, 0),
        largest: Resources::new(14_400, 55_296, 0),
    };
    assert_eq!(
        GiveUpReason::Impossible(reason).to_string(),
        "a task ran out of memory with 1000m/55296MiB/0acc, \
         and no worker (14400m/55296MiB/0acc) offers more"
    );
}

#[rstest]
#[case::memory(Resources::new(1_000, 70_000, 0), "memory")]
#[case::processors(Resources::new(20_000, 1_000, 0), "processors")]
#[case::accelerators(Resources::new(1_000, 1_000, 1), "accelerators")]
fn a_job_larger_than_any_worker_is_given_up_with_the_missing_resource(
    #[case] declared: Resources,
    #[case] missing: &str,
) {
    let mut s = scheduler(Policy::default(), 2);
    let mut spec = job(1, 1_000);
    spec.declared = declared;
    s.push(at(0), &spec);
    s.push(at(0), &job(2, 1));
    let mut rng = rng(1);
    // Larger workers may still announce themselves.
    assert!(
        s.next(at(1), &mut rng)
            .is_some_and(|p| p.task.job == JobId(2))
    );
    assert_eq!(s.next(at(20), &mut rng), None);
    assert_eq!(s.take_given_up(), []);
    assert_eq!(s.next(at(40), &mut rng), None);
    let given_up = s.take_given_up();
    assert_eq!(given_up.len(), 1);
    assert_eq!((given_up[0].job, given_up[0].task), (JobId(1), None));
    let message = given_up[0].reason.to_string();
    assert!(
        message.contains(missing) && message.contains("16000m/61440MiB"),
        "{message}"
    );
    assert!(matches!(given_up[0].reason, GiveUpReason::Impossible(_)));
}

#[test]
fn a_large_worker_that_joins_in_time_takes_the_job() {
    let mut s = scheduler(Policy::default(), 2);
    let mut spec = job(1, 1);
    spec.declared = Resources::new(1_000, 70_000, 0);
    s.push(at(0), &spec);
    let mut rng = rng(1);
    assert_eq!(s.next(at(20), &mut rng), None);
    join(&mut s, 50, Resources::new(16_000, 250_000, 0));
    let placed = s.next(at(22), &mut rng);
    assert_eq!(placed.map(|p| p.worker.get()), Some(50));
    assert_eq!(s.take_given_up(), []);
}

#[test]
fn runs_without_a_usage_reading_do_not_change_the_learned_size() {
    let mut scheduler = scheduler(Policy::default(), 3);
    let mut rng = rng(1);
    scheduler.push(at(0), &job(1, 400));
    for secs in 0..100 {
        let mut placed = Vec::new();
        while let Some(placement) = scheduler.next(at(secs), &mut rng) {
            scheduler.started(at(secs), placement.task);
            placed.push(placement);
        }
        for placement in placed {
            assert_eq!(placement.demand, job(1, 1).declared, "after {secs} s");
            scheduler.ended(
                at(secs),
                placement.task,
                RunOutcome::Finished,
                Resources::ZERO,
            );
        }
    }
    assert_eq!(scheduler.waiting_count(JobId(1)), 0);
}
