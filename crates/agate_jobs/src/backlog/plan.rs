//! The plan of a backlog.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::backlog::{OpenJob, Standing, select};

/// Time for which a plan is kept.
pub const PERIOD: Duration = Duration::from_millis(200);

/// Weight of the newest count in the moving average of the active runs.
const RATE_WEIGHT: f64 = 0.3;

/// Share of the time of a bound run that isn't spent on waiting for an order or its end, nor lost
/// at a return.
const USEFUL_SHARE: f64 = 0.8;

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
        self.ranks.clear();
        self.rates.retain(|key, _| groups.contains_key(key));
        for (key, group) in groups {
            let rate = self.rate(key, group.bound);
            self.rank(group, rate, wall_ms);
        }
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
        for (position, (id, standing)) in order.into_iter().enumerate() {
            let rank = Rank {
                standing,
                position,
                exceeded,
            };
            self.ranks.insert(id, rank);
        }
    }
}
