//! Selection of the jobs that can finish in time together.

use std::collections::{BinaryHeap, HashMap};

use agate_core::JobId;

use crate::backlog::{OpenJob, Standing};

/// Part of a job's worth that doesn't depend on its work.
const FIXED_WORTH: f64 = 0.3;

/// Factor on the cost of a job that has begun, so that it isn't left out for a small gain.
const BEGUN_FACTOR: f64 = 0.7;

/// Time for which the work of overdue jobs may fill the overdue share, in milliseconds.
const OVERDUE_HORIZON_MS: f64 = 5_000.0;

/// Share of the rate that overdue jobs may take. All of it would leave none to jobs that can still
/// be in time, which then become overdue too.
const OVERDUE_SHARE: f64 = 0.25;

/// Returns the jobs in the order in which they are served, each with its class.
///
/// `rate` is the number of runs that are active at once, in milliseconds of expected run time per
/// millisecond.
pub fn select(jobs: &[OpenJob<'_>], rate: f64, wall_ms: u64) -> Vec<(JobId, Standing)> {
    let worth = worths(jobs);
    let costs: Vec<f64> = jobs
        .iter()
        .zip(&worth)
        .map(|(job, worth)| cost(job, *worth))
        .collect();
    let mut open: Vec<usize> = (0..jobs.len()).collect();
    open.sort_unstable_by_key(|at| (jobs[*at].at_ms, jobs[*at].id));
    let (overdue, open, overdue_ms) = take_overdue(jobs, open, rate, wall_ms);
    let mut schedule = Schedule {
        jobs,
        costs: &costs,
        rate,
        wall_ms,
        taken_ms: overdue_ms * OVERDUE_SHARE,
        ready_ms: 0.0,
    };
    let (selected, open) = schedule.fit(open, OpenJob::objective_ms);
    let (late, postponed) = schedule.fit(open, OpenJob::late_ms);
    let classes = [
        (Standing::Overdue, overdue),
        (Standing::Selected, selected),
        (Standing::Late, late),
        (Standing::Postponed, postponed),
    ];
    let classes = classes.into_iter();
    classes
        .flat_map(|(standing, members)| members.into_iter().map(move |at| (jobs[at].id, standing)))
        .collect()
}

/// Returns the worth of each job: a fixed part, and a part by its work relative to its queue.
fn worths(jobs: &[OpenJob<'_>]) -> Vec<f64> {
    let mut queues: HashMap<&str, (f64, f64)> = HashMap::new();
    for job in jobs {
        let (sum, count) = queues.entry(job.queue).or_default();
        *sum += job.work_ms;
        *count += 1.0;
    }
    let worth = |job: &OpenJob<'_>| {
        let (sum, count) = queues[job.queue];
        FIXED_WORTH + (1.0 - FIXED_WORTH) * job.work_ms * count / sum.max(1.0)
    };
    jobs.iter().map(worth).collect()
}

/// Returns the work that a job costs for its worth.
fn cost(job: &OpenJob<'_>, worth: f64) -> f64 {
    let factor = if job.begun { BEGUN_FACTOR } else { 1.0 };
    factor * job.left_ms / worth
}

/// Splits the jobs, ordered by age, into the overdue ones that fill the overdue share and the
/// others. Also returns the work of the former.
fn take_overdue(
    jobs: &[OpenJob<'_>],
    open: Vec<usize>,
    rate: f64,
    wall_ms: u64,
) -> (Vec<usize>, Vec<usize>, f64) {
    let most_ms = OVERDUE_SHARE * rate * OVERDUE_HORIZON_MS;
    let mut taken_ms = 0.0;
    let (overdue, others) = open.into_iter().partition(|at| {
        let takes = jobs[*at].is_overdue(wall_ms) && taken_ms < most_ms;
        if takes {
            taken_ms += jobs[*at].left_ms;
        }
        takes
    });
    (overdue, others, taken_ms)
}

struct Schedule<'a> {
    jobs: &'a [OpenJob<'a>],
    costs: &'a [f64],
    rate: f64,
    wall_ms: u64,
    /// Work that precedes that of the next jobs.
    taken_ms: f64,
    /// Part of it that is ready to run.
    ready_ms: f64,
}

impl<'a> Schedule<'a> {
    /// Splits jobs into those that can finish within their limits, ordered by limit, and the
    /// others, ordered by age.
    fn fit(
        &mut self,
        open: Vec<usize>,
        limit: impl Fn(&OpenJob<'a>) -> u64,
    ) -> (Vec<usize>, Vec<usize>) {
        let mut by_limit = open.clone();
        by_limit.sort_by_key(|at| limit(&self.jobs[*at]));
        let mut fitting = vec![false; self.jobs.len()];
        // The bits of floating-point numbers that are not negative have the order of the numbers.
        let mut most_costly: BinaryHeap<(u64, JobId, usize)> = BinaryHeap::new();
        for at in &by_limit {
            let job = &self.jobs[*at];
            let time_left_ms = limit(job).saturating_sub(self.wall_ms) as f64;
            if job.path_ms > time_left_ms {
                continue;
            }
            fitting[*at] = true;
            most_costly.push((self.costs[*at].to_bits(), job.id, *at));
            self.taken_ms += job.left_ms;
            self.ready_ms += job.ready_ms;
            while self.taken_ms > time_left_ms * self.rate
                || (fitting[*at]
                    && self.ready_ms - job.ready_ms > (time_left_ms - job.path_ms) * self.rate)
            {
                let Some((_, _, removed)) = most_costly.pop() else {
                    break;
                };
                fitting[removed] = false;
                self.taken_ms -= self.jobs[removed].left_ms;
                self.ready_ms -= self.jobs[removed].ready_ms;
            }
        }
        by_limit.retain(|at| fitting[*at]);
        let others = open.into_iter().filter(|at| !fitting[*at]).collect();
        (by_limit, others)
    }
}
