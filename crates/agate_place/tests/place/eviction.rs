//! Steps against batch work that slows urgent work.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{Incarnation, Resources, TaskId};
use agate_place::eviction::{Candidate, choose_victim};
use agate_place::{Placement, Policy, RunOutcome, Scheduler, Step, StepKind, UrgentReading};
use agate_preset::policy::Weights;
use rand::Rng;

use crate::support::{at, class, job, rng, scheduler};

const LAG: Duration = Duration::from_secs(2);

fn read(s: &mut Scheduler, secs: u64, slowdown_percent: u32) {
    let reading = UrgentReading {
        worker: Incarnation::new(0),
        class: class("seat-check"),
        age: LAG,
        slowdown_percent,
        load_percent: 40,
    };
    s.observe_urgent(at(secs), &reading);
}

fn start(s: &mut Scheduler) -> Vec<Placement> {
    let mut rng = rng(1);
    let placed: Vec<Placement> = std::iter::from_fn(|| s.next(at(1), &mut rng)).collect();
    for placement in &placed {
        s.started(at(1), placement.task);
    }
    placed
}

/// Runs one task on half a machine. Readings show the slowdown `free` until the task is throttled,
/// then `throttled`.
fn steps_under(free: u32, throttled: u32, secs: u64) -> Vec<(u64, StepKind)> {
    let mut s = scheduler(Policy::default(), 1);
    let mut spec = job(1, 1);
    spec.declared = Resources::new(8_000, 8_192, 0);
    s.push(at(0), &spec);
    assert_eq!(start(&mut s).len(), 1);
    let mut kinds: Vec<(u64, StepKind)> = Vec::new();
    for now in 10..10 + secs {
        let measured_at = now - LAG.as_secs();
        let is_throttled = kinds.first().is_some_and(|(at, _)| *at <= measured_at);
        read(&mut s, now, if is_throttled { throttled } else { free });
        kinds.extend(s.steps(at(now)).iter().map(|step| (now, step.kind)));
    }
    kinds
}

#[test]
fn steps_escalate_from_throttle_to_evict_to_stop() {
    let steps = steps_under(300, 220, 40);
    let kinds: Vec<StepKind> = steps.iter().map(|(_, kind)| *kind).collect();
    assert_eq!(
        kinds[..3],
        [StepKind::Throttle, StepKind::Evict, StepKind::Stop]
    );
}

#[test]
fn a_slowdown_below_the_eviction_threshold_only_throttles() {
    let kinds = steps_under(150, 140, 60);
    assert!(!kinds.is_empty());
    assert!(kinds.iter().all(|(_, kind)| *kind == StepKind::Throttle));
}

#[test]
fn no_step_is_taken_within_the_hysteresis_band() {
    assert_eq!(steps_under(120, 120, 60), []);
}

#[test]
fn a_throttle_is_not_released_within_the_hysteresis_band() {
    let steps = steps_under(150, 120, 120);
    let kinds: Vec<StepKind> = steps.iter().map(|(_, kind)| *kind).collect();
    assert_eq!(kinds, [StepKind::Throttle]);
}

/// The running class is known to have no effect, so a slowdown caused by load alone must not lead
/// to a step against it.
#[test]
fn a_harmless_class_is_not_throttled() {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(1, 8));
    assert_eq!(start(&mut s).len(), 8);
    for now in 10..400 {
        read(&mut s, now, 100);
        assert_eq!(s.steps(at(now)), []);
    }
    for now in 400..420 {
        read(&mut s, now, 160);
        assert_eq!(s.steps(at(now)), [], "at {now} s");
    }
}

/// A throttled run keeps the slowdown just below the threshold, so the rest of the worker stays in
/// use.
#[test]
fn a_worker_under_pressure_takes_no_tasks_until_throttling_relieves_it() {
    let mut s = scheduler(Policy::default(), 1);
    let mut rng = rng(1);
    let mut noisy = job(1, 1);
    noisy.declared = Resources::new(4_000, 4_096, 0);
    s.push(at(0), &noisy);
    start(&mut s);
    let mut throttled = None;
    for now in 10..60 {
        let is_past = throttled.is_some_and(|at| at + LAG.as_secs() <= now);
        read(&mut s, now, if is_past { 115 } else { 132 });
        let steps = s.steps(at(now));
        if steps.iter().any(|step| step.kind == StepKind::Throttle) {
            throttled = Some(now);
            let mut quiet = job(2, 4);
            quiet.class = class("export");
            s.push(at(now), &quiet);
        }
        let placed = s.next(at(now), &mut rng);
        assert!(is_past || placed.is_none(), "placed at {now} s");
    }
    assert_eq!(s.run_count(), 5);
}

#[test]
fn a_step_waits_for_readings_taken_after_the_last_step() {
    let steps = steps_under(300, 220, 40);
    let hold = 3;
    for pair in steps.windows(2) {
        let [(first, _), (second, kind)] = pair else {
            continue;
        };
        if *kind != StepKind::Stop {
            let apart = second - first;
            assert!(apart >= hold + LAG.as_secs(), "steps {apart} s apart");
        }
    }
}

/// One noisy run causes a slowdown that ends when the run is throttled. Without a backoff, throttle
/// and release would alternate forever.
#[test]
fn throttle_and_release_do_not_flap() {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(1, 1));
    start(&mut s);
    let mut rng = rng(5);
    let mut is_throttled = false;
    let mut past = vec![false; 2];
    let mut steps = Vec::new();
    for now in 10..1_800 {
        past.push(is_throttled);
        let was_throttled = past[past.len() - 3];
        let slowdown = if was_throttled { 100 } else { 150 };
        read(&mut s, now, slowdown + rng.random_range(0..8));
        for step in s.steps(at(now)) {
            is_throttled = step.kind == StepKind::Throttle;
            steps.push(now);
        }
    }
    let late = steps.iter().filter(|at| **at >= 900).count();
    assert!(late <= 40, "{late} steps in the last 900 s");
    assert!(steps.len() <= 110, "{} steps in all", steps.len());
}

#[test]
fn concurrent_evictions_are_capped() {
    let mut s = scheduler(Policy::default(), 20);
    s.push(at(0), &job(1, 200));
    start(&mut s);
    let mut throttled: BTreeMap<Incarnation, usize> = BTreeMap::new();
    let mut evicting: Vec<TaskId> = Vec::new();
    let mut evicted = 0;
    for now in 10..200 {
        for worker in (0..20).map(Incarnation::new) {
            let key = s.workers().key(worker).unwrap();
            let runs = s.workers().get(key).unwrap().runs.len();
            let slow = throttled.get(&worker).copied().unwrap_or(0);
            let reading = UrgentReading {
                worker,
                class: class("seat-check"),
                age: Duration::ZERO,
                slowdown_percent: noisy_percent(runs - slow, slow),
                load_percent: 40,
            };
            s.observe_urgent(at(now), &reading);
        }
        for step in s.steps(at(now)) {
            match step.kind {
                StepKind::Throttle => *throttled.entry(step.worker).or_default() += 1,
                StepKind::Evict => evicting.push(step.task),
                StepKind::Release | StepKind::Stop => {}
            }
        }
        assert!(evicting.len() <= 2, "{} at once", evicting.len());
        if now % 10 == 0
            && let Some(task) = evicting.pop()
        {
            *throttled.get_mut(&s.worker_of(task).unwrap()).unwrap() -= 1;
            s.ended(at(now), task, RunOutcome::Evicted, Resources::ZERO);
            evicted += 1;
        }
    }
    assert!(evicted >= 4, "{evicted} evicted");
}

fn candidate(index: u32, slowdown_ln: f64, since_checkpoint: u64, evictions: u32) -> Candidate {
    Candidate {
        task: TaskId {
            job: agate_core::JobId(1),
            index,
        },
        slowdown_ln,
        share: 0.1,
        since_checkpoint: Duration::from_secs(since_checkpoint),
        evictions,
    }
}

#[rstest::rstest]
#[case::most_blamed([candidate(0, 0.1, 10, 0), candidate(1, 0.5, 10, 0)], 1)]
#[case::least_lost([candidate(0, 0.2, 600, 0), candidate(1, 0.2, 10, 0)], 1)]
#[case::not_again([candidate(0, 0.2, 10, 3), candidate(1, 0.2, 10, 0)], 1)]
#[case::unknown([candidate(0, 0.0, 60, 0), candidate(1, 0.0, 10, 0)], 1)]
fn the_victim_has_the_best_balance_of_benefit_and_cost(
    #[case] candidates: [Candidate; 2],
    #[case] expected: u32,
) {
    let victim = choose_victim(&candidates, &Weights::default());
    assert_eq!(victim.map(|task| task.index), Some(expected));
}

/// Returns the slowdown in percent caused by noisy runs of one core, some of them throttled.
fn noisy_percent(free: usize, throttled: usize) -> u32 {
    let share = (free as f64 + 0.3 * throttled as f64) / 16.0;
    ((3.0 * share).exp() * 100.0) as u32
}

#[test]
fn only_the_noisy_class_is_throttled_or_evicted() {
    let mut s = scheduler(Policy::default(), 1);
    let mut rng = rng(2);
    let mut quiet = job(2, 8);
    quiet.class = class("export");
    s.push(at(0), &quiet);
    let mut slowed: Vec<u32> = vec![100; 2];
    let mut noisy = (0, 0);
    let mut steps: Vec<Step> = Vec::new();
    for now in 1..200 {
        if now == 60 {
            s.push(at(now), &job(1, 4));
        }
        while let Some(p) = s.next(at(now), &mut rng) {
            s.started(at(now), p.task);
            noisy.0 += usize::from(p.task.job.0 == 1);
        }
        slowed.push(noisy_percent(noisy.0, noisy.1));
        let late = slowed[slowed.len() - 3];
        read(&mut s, now, late);
        for step in s.steps(at(now)) {
            if step.kind == StepKind::Throttle {
                noisy = (noisy.0 - 1, noisy.1 + 1);
            }
            steps.push(step);
        }
    }
    assert!(!steps.is_empty());
    assert!(steps.iter().all(|step| step.task.job.0 == 1), "{steps:?}");
}
