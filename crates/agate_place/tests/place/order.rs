//! Placement order: quotas, borrowing, ageing and starvation.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{JobId, Moment, Resources};
use agate_place::{Placement, Policy, RunOutcome, Scheduler};
use agate_preset::TeamQuota;
use rstest::rstest;

use crate::support::{at, class, job, join, rng, scheduler, team};

fn quota(cores: u32, borrow: bool) -> TeamQuota {
    TeamQuota {
        guaranteed: Resources::new(cores * 1_000, cores * 4_096, 0),
        borrow,
    }
}

fn policy(teams: &[(&str, TeamQuota)]) -> Policy {
    Policy {
        teams: teams.iter().map(|(n, q)| (team(n), *q)).collect(),
        ..Policy::default()
    }
}

fn place_all(scheduler: &mut Scheduler, now: Moment) -> Vec<Placement> {
    let mut rng = rng(7);
    std::iter::from_fn(|| scheduler.next(now, &mut rng)).collect()
}

fn count_by_job(placed: &[Placement]) -> BTreeMap<u64, usize> {
    let mut counts = BTreeMap::new();
    for placement in placed {
        *counts.entry(placement.task.job.0).or_default() += 1;
    }
    counts
}

#[test]
fn teams_share_in_proportion_to_their_quotas() {
    let mut s = scheduler(
        policy(&[("kehilla", quota(30, true)), ("kattegatt", quota(10, true))]),
        4,
    );
    s.push(at(0), &job(1, 1_000));
    let mut other = job(2, 1_000);
    other.team = team("kattegatt");
    s.push(at(0), &other);
    let counts = count_by_job(&place_all(&mut s, at(1)));
    let ratio = counts[&1] as f64 / counts[&2] as f64;
    assert!((2.5..3.5).contains(&ratio), "{counts:?}");
}

#[test]
fn a_team_borrows_idle_capacity_only_if_allowed() {
    let teams = [("kehilla", quota(4, false)), ("kattegatt", quota(4, true))];
    let mut s = scheduler(policy(&teams), 2);
    s.push(at(0), &job(1, 100));
    assert_eq!(place_all(&mut s, at(1)).len(), 4);
    let mut other = job(2, 100);
    other.team = team("kattegatt");
    s.push(at(1), &other);
    assert!(place_all(&mut s, at(2)).len() > 10);
}

#[test]
fn an_old_backlog_does_not_starve_a_new_team() {
    let mut s = scheduler(policy(&[("kehilla", quota(20, true))]), 2);
    s.push(at(0), &job(1, 10_000));
    let mut running = place_all(&mut s, at(1));
    let mut new_job = job(2, 5);
    new_job.team = team("kattegatt");
    s.push(at(3_000), &new_job);
    let mut first = None;
    for secs in 3_000..4_000 {
        if !running.is_empty() {
            let ended = running.remove(0);
            s.ended(at(secs), ended.task, RunOutcome::Finished, ended.demand);
        }
        let placed = place_all(&mut s, at(secs));
        if placed.iter().any(|p| p.task.job.0 == 2) {
            first = Some(secs);
            break;
        }
        running.extend(placed);
    }
    let waited = first.expect("the new job is placed") - 3_000;
    // The new team holds nothing. It waits at most one ageing time per whole quota that it is
    // behind.
    assert!(waited <= 300, "waited {waited} s");
}

#[test]
fn a_large_task_is_not_starved_by_small_ones() {
    let mut s = scheduler(Policy::default(), 2);
    s.push(at(0), &job(1, 100_000));
    let mut running = place_all(&mut s, at(1));
    let mut large = job(2, 1);
    large.class = class("export");
    large.declared = Resources::new(14_000, 40_000, 0);
    s.push(at(1), &large);
    let mut first = None;
    for secs in 2..2_000 {
        // Small tasks end one at a time, so enough capacity for the large one is never free without
        // a reservation.
        if !running.is_empty() {
            let ended = running.remove(0);
            s.ended(
                at(secs),
                ended.task,
                RunOutcome::Finished,
                Resources::new(900, 900, 0),
            );
        }
        let placed = place_all(&mut s, at(secs));
        if placed.iter().any(|p| p.task.job.0 == 2) {
            first = Some(secs);
            break;
        }
        running.extend(placed);
    }
    let waited = Duration::from_secs(first.expect("the large task is placed"));
    assert!(waited <= Duration::from_mins(5 + 1), "waited {waited:?}");
}

/// The reservation bypasses the admission of other work, and eviction frees the capacity that the job
/// waits for.
#[test]
fn a_waiting_job_loses_its_reservation_when_the_worker_leaves() {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(1, 100));
    let running = place_all(&mut s, at(1));
    let mut large = job(2, 1);
    large.declared = Resources::new(14_000, 40_000, 0);
    s.push(at(1), &large);
    for secs in 2..400 {
        assert!(place_all(&mut s, at(secs)).is_empty());
    }
    s.mark_leaving(running[0].worker);
    for run in running {
        s.ended(at(400), run.task, RunOutcome::Evicted, Resources::ZERO);
    }
    assert!(
        place_all(&mut s, at(401)).is_empty(),
        "placed on a leaving worker"
    );
    s.cancel(JobId(1));
    join(&mut s, 100, Resources::new(16_000, 61_440, 0));
    let placed = place_all(&mut s, at(403));
    assert_eq!(count_by_job(&placed), BTreeMap::from([(2, 1)]));
}

#[test]
fn a_task_without_accelerators_leaves_accelerator_workers_free() {
    let mut s = scheduler(Policy::default(), 3);
    join(&mut s, 100, Resources::new(16_000, 61_440, 4));
    s.push(at(0), &job(1, 30));
    let placed = place_all(&mut s, at(1));
    assert_eq!(placed.len(), 30);
    assert!(placed.iter().all(|p| p.worker.get() != 100));
}

/// Returns the seconds from `secs` on in which tasks of job 3 are placed, while a run of the team goes on.
fn place_small(s: &mut Scheduler, secs: std::ops::Range<u64>) -> Vec<u64> {
    let mut found = Vec::new();
    for now in secs {
        let placed = place_all(s, at(now));
        found.extend(placed.iter().filter(|p| p.task.job.0 == 3).map(|_| now));
    }
    found
}

/// A team whose head task exceeded the rest of its quota started nothing until one of its runs ended.
#[test]
fn small_tasks_of_a_team_pass_one_that_exceeds_the_rest_of_its_quota() {
    let mut s = scheduler(policy(&[("kehilla", quota(8, false))]), 1);
    s.push(at(0), &job(1, 1));
    assert_eq!(place_all(&mut s, at(0)).len(), 1);
    s.push(at(1), &all_of_quota(2));
    s.push(at(2), &job(3, 4));
    assert_eq!(place_small(&mut s, 2..12).len(), 4);
}

/// Small tasks that pass a large one of their team could take its quota for good.
#[test]
fn a_task_of_the_whole_quota_starts_among_small_ones() {
    let mut s = scheduler(policy(&[("kehilla", quota(8, false))]), 1);
    s.push(at(0), &job(3, 100_000));
    let mut running = place_all(&mut s, at(0));
    s.push(at(1), &all_of_quota(2));
    let mut first = None;
    for secs in 2..2_000 {
        if secs % 20 == 0 && !running.is_empty() {
            let ended = running.remove(0);
            s.ended(at(secs), ended.task, RunOutcome::Finished, Resources::ZERO);
        }
        let placed = place_all(&mut s, at(secs));
        if placed.iter().any(|p| p.task.job.0 == 2) {
            first = Some(secs);
            break;
        }
        running.extend(placed);
    }
    // Runs take 160 s, and the team is held back after 300 s.
    let waited = first.expect("the large task is placed");
    assert!(waited <= 300 + 160 + 60, "waited {waited} s");
}

/// Large tasks one after another, each with a hold of its own, held back small ones of their team for good.
#[test]
fn a_series_of_large_tasks_holds_a_team_back_no_longer_than_one() {
    let mut s = scheduler(policy(&[("kehilla", quota(8, false))]), 1);
    s.push(at(0), &job(1, 1));
    assert_eq!(place_all(&mut s, at(0)).len(), 1);
    let mut small = Vec::new();
    for step in 0..20 {
        s.push(at(step * 100), &all_of_quota(10 + step));
        if step == 5 {
            s.push(at(500), &job(3, 1));
        }
        small.extend(place_small(&mut s, step * 100..step * 100 + 100));
    }
    // The first hold begins after 300 s and lasts as long.
    assert!(matches!(small[..], [500..=602]), "{small:?}");
}

/// A job that waited for a worker's runs kept all others from it until they ended, however long that took.
#[rstest]
#[case::one_worker(1)]
#[case::two_workers(2)]
fn a_reservation_of_a_small_fleet_lets_others_pass(#[case] workers: u64) {
    let mut s = scheduler(Policy::default(), workers);
    let mut wide = job(1, workers as u32);
    wide.declared = Resources::new(9_000, 1_024, 0);
    s.push(at(0), &wide);
    assert_eq!(place_all(&mut s, at(0)).len(), workers as usize);
    for id in 10..20 {
        s.push(at(0), &all_of_quota(id));
    }
    assert_eq!(place_small(&mut s, 0..500), [0; 0]);
    s.push(at(500), &job(3, 4 * workers as u32));
    let small = place_small(&mut s, 500..700);
    assert_eq!(small.len(), 4 * workers as usize);
    // The first hold begins after 300 s and lasts as long.
    assert!(small.iter().all(|secs| *secs <= 602), "{small:?}");
}

/// Small tasks that pass between the holds could keep the only worker from a large one for good.
#[test]
fn a_task_of_a_whole_worker_starts_among_small_ones_that_take_longer_than_a_hold() {
    let mut s = scheduler(Policy::default(), 1);
    s.push(at(0), &job(3, 100_000));
    let mut running: Vec<_> = place_all(&mut s, at(0))
        .into_iter()
        .map(|p| (0, p))
        .collect();
    let mut large = all_of_quota(2);
    large.declared = Resources::new(14_000, 1_024, 0);
    s.push(at(1), &large);
    let run_secs = 700;
    let mut first = None;
    for secs in 2..10_000 {
        for (_, ended) in running.extract_if(.., |(since, _)| secs - *since >= run_secs) {
            s.ended(at(secs), ended.task, RunOutcome::Finished, Resources::ZERO);
        }
        let placed = place_all(&mut s, at(secs));
        if placed.iter().any(|p| p.task.job.0 == 2) {
            first = Some(secs);
            break;
        }
        running.extend(placed.into_iter().map(|p| (secs, p)));
    }
    let waited = first.expect("the large task is placed");
    assert!(waited <= 5 * run_secs, "waited {waited} s");
}

/// Returns a job with a task that needs the whole quota of 8 cores.
fn all_of_quota(id: u64) -> agate_place::JobSpec {
    let mut large = job(id, 1);
    large.class = class("export");
    large.declared = Resources::new(8_000, 1_024, 0);
    large
}
