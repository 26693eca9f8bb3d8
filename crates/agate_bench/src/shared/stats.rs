//! Results of a simulation.

use std::time::Duration;

/// What callers and serving tasks got.
#[derive(Debug, Clone, Default)]
pub struct Stats {
    /// Best-effort runs that were started.
    pub runs: u32,
    /// Best-effort runs that were given back to continue elsewhere.
    pub given_back: u32,
    /// Best-effort jobs whose objective passed within the simulation.
    pub jobs: u32,
    /// Those that finished within their objective.
    pub in_time: u32,
    /// Work of the finished best-effort tasks, as time at full speed.
    pub work: Duration,
    /// Time from submission to end of the counted jobs, up to the end of the simulation for those
    /// that are still open.
    pub ends: Vec<Duration>,
    /// Time for which serving tasks exceeded their target, summed over the tasks.
    pub over_target: Duration,
    /// Time for which serving tasks ran, summed over the tasks.
    pub served: Duration,
}

impl Stats {
    /// Returns the share of runs that were given back.
    pub fn given_back_share(&self) -> f64 {
        f64::from(self.given_back) / f64::from(self.runs.max(1))
    }

    /// Returns a percentile of the time from submission to end.
    pub fn end_percentile(&self, percent: usize) -> Duration {
        let mut ends = self.ends.clone();
        ends.sort_unstable();
        let last = ends.len().saturating_sub(1);
        ends.get(last * percent / 100).copied().unwrap_or_default()
    }

    /// Returns the share of jobs that finished within their objective.
    pub fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.jobs.max(1))
    }

    /// Returns the share of time for which serving tasks exceeded their target.
    pub fn over_target_share(&self) -> f64 {
        self.over_target.as_secs_f64() / self.served.as_secs_f64().max(1.0)
    }
}
