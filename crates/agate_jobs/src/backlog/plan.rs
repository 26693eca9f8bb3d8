//! The plan of a backlog.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::backlog::{OpenJob, Standing, Summary, select};
use crate::table::{JobState, JobTable};

/// Time for which a plan is kept.
pub const PERIOD: Duration = Duration::from_millis(200);

/// Weight of the newest count in the moving average of the active runs.
const RATE_WEIGHT: f64 = 0.3;

/// Share of the time of a bound run that isn't spent on waiting for an order or its end, nor lost
/// at a return.
const USEFUL_SHARE: f64 = 0.65;

/// Jobs that compete: the best-effort jobs of a service and priority.
#[derive(Debug, Default)]
pub struct Group<'a> {
    /// The jobs.
    pub jobs: Vec<OpenJob<'a>>,
    /// Number of their bound tasks.
    pub bound: usize,
}

/// Service and priority of a group.
pub type GroupKey = (String, u32);

/// Place of a job in a plan.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Rank {
    /// Class of the job.
    pub standing: Standing,
    /// Position among the jobs of its group.
    pub position: usize,
    /// Whether jobs of its group had to be left out of the selection.
    pub exceeded: bool,
}

/// The newest plan and the measured rates.
#[derive(Debug, Default)]
pub struct Plan {
    made_at: Option<Moment>,
    /// Number of plans made.
    pub(crate) made: u64,
    ranks: HashMap<JobId, Rank>,
    /// Moving average of the active runs of each group.
    rates: HashMap<GroupKey, f64>,
    /// Predicted end of the jobs that have been selected, on the wall clock.
    predicted_ms: HashMap<JobId, f64>,
    summary: Summary,
    /// Whether a summary waits to be taken.
    is_new: bool,
}

impl Plan {
    /// Returns whether the plan is older than [`PERIOD`].
    pub fn is_due(&self, now: Moment) -> bool {
        self.made_at.is_none_or(|at| now.since(at) >= PERIOD)
    }

    /// Replaces the plan by one for the given groups.
    pub fn update(&mut self, groups: &BTreeMap<GroupKey, Group<'_>>, now: Moment, wall_ms: u64) {
        self.made_at = Some(now);
        self.made += 1;
        let earlier = std::mem::take(&mut self.ranks);
        self.summary.begin_plan();
        self.is_new = true;
        self.rates.retain(|key, _| groups.contains_key(key));
        for (key, group) in groups {
            let rate = self.rate(key, group.bound);
            self.rank(group, rate, wall_ms);
            self.summarize(group, &earlier, wall_ms);
        }
    }

    /// Compares the predicted ends of the jobs that are no longer open with the current time.
    pub fn settle(&mut self, table: &JobTable, wall_ms: u64) {
        let errors_ms = &mut self.summary.end_errors_ms;
        self.predicted_ms.retain(|id, predicted_ms| {
            let state = table.state(*id);
            if state == Some(JobState::Completed) {
                errors_ms.push(wall_ms as f64 - *predicted_ms);
            }
            state.is_some_and(|state| !state.is_final())
        });
    }

    /// Returns the summary of a plan that hasn't been taken yet.
    pub fn take_summary(&mut self) -> Option<Summary> {
        std::mem::take(&mut self.is_new).then(|| self.summary.take())
    }

    /// Returns the class of each job.
    pub fn standings(&self) -> BTreeMap<JobId, Standing> {
        let ranks = self.ranks.iter();
        ranks.map(|(id, rank)| (*id, rank.standing)).collect()
    }

    /// Returns the rank of a job. A job that is newer than the plan follows the selected ones.
    pub fn rank_of(&self, job: JobId) -> Rank {
        self.ranks.get(&job).copied().unwrap_or(Rank {
            standing: Standing::Late,
            position: 0,
            exceeded: false,
        })
    }

    fn rate(&mut self, key: &GroupKey, bound: usize) -> f64 {
        let newest = bound as f64;
        let rate = self.rates.entry(key.clone()).or_insert(newest);
        *rate += RATE_WEIGHT * (newest - *rate);
        (*rate * USEFUL_SHARE).max(1.0)
    }

    fn rank(&mut self, group: &Group<'_>, rate: f64, wall_ms: u64) {
        let order = select(&group.jobs, rate, wall_ms);
        let is_left_out = |(_, standing): &(JobId, Standing)| *standing > Standing::Selected;
        let exceeded = order.iter().any(is_left_out);
        let jobs: HashMap<JobId, &OpenJob<'_>> =
            group.jobs.iter().map(|job| (job.id, job)).collect();
        let mut ahead_ms = 0.0;
        for (position, (id, standing)) in order.into_iter().enumerate() {
            let job = jobs[&id];
            ahead_ms += job.left_ms;
            if standing == Standing::Selected {
                let end_ms = wall_ms as f64 + job.path_ms.max(ahead_ms / rate);
                self.predicted_ms.entry(id).or_insert(end_ms);
            }
            let rank = Rank {
                standing,
                position,
                exceeded,
            };
            self.ranks.insert(id, rank);
        }
    }

    fn summarize(&mut self, group: &Group<'_>, earlier: &HashMap<JobId, Rank>, wall_ms: u64) {
        for job in &group.jobs {
            let standing = self.ranks[&job.id].standing;
            self.summary.add_job(job, standing);
            let before = earlier.get(&job.id).map(|rank| rank.standing);
            if before != Some(standing) && standing != Standing::Late {
                self.summary.add_change(job, standing, wall_ms);
            }
        }
    }
}
