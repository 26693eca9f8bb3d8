//! What a run counts.

use std::collections::BTreeMap;

use agate_core::TeamName;
use hdrhistogram::Histogram;

use super::scenario::LENGTH_SECS;

/// The longest urgent service that is told apart, in microseconds.
const MAX_SERVICE_US: u64 = 60_000_000;

/// One team's waiting.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamStats {
    /// First starts of tasks.
    pub starts: u64,
    /// Seconds between arrival and first start, over all of those.
    pub wait_secs: u64,
    /// The longest time in seconds without a start while work waited.
    pub longest_gap_secs: u64,
    pub(super) last_start: u64,
    pub(super) pending: u64,
}

/// Counts of one run.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Service times of urgent requests in microseconds.
    pub urgent_service_us: Histogram<u64>,
    /// Tasks finished.
    pub finished: u64,
    /// Core-seconds of the tasks finished.
    pub core_secs: f64,
    /// Runs evicted.
    pub evictions: u64,
    /// Runs throttled.
    pub throttles: u64,
    /// Runs ended because they outgrew their memory.
    pub killed: u64,
    /// Times that more was set aside on a machine than it has.
    pub overcommit: u64,
    /// Jobs and tasks given up; none of the workload is hopeless.
    pub given_up: u64,
    /// Waiting by team.
    pub teams: BTreeMap<TeamName, TeamStats>,
}

impl Default for Stats {
    fn default() -> Self {
        Self {
            urgent_service_us: Histogram::new_with_max(MAX_SERVICE_US, 3)
                .expect("the bounds are valid"),
            finished: 0,
            core_secs: 0.0,
            evictions: 0,
            throttles: 0,
            killed: 0,
            overcommit: 0,
            given_up: 0,
            teams: BTreeMap::new(),
        }
    }
}

impl Stats {
    /// Tasks finished in an hour.
    pub fn tasks_per_hour(&self) -> f64 {
        self.finished as f64 * 3_600.0 / LENGTH_SECS as f64
    }

    /// A quantile of urgent service times in milliseconds.
    pub fn urgent_quantile_ms(&self, quantile: f64) -> f64 {
        self.urgent_service_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(super) fn serve(&mut self, service_us: f64) {
        let us = u64::from(super::scenario::whole(service_us));
        self.urgent_service_us.saturating_record(us);
    }
}

impl TeamStats {
    pub(super) fn start(&mut self, now: u64, wait_secs: u64) {
        self.starts += 1;
        self.wait_secs += wait_secs;
        self.close_gap(now);
        self.last_start = now;
        self.pending -= 1;
    }

    /// Counts the time since the last start if work waits.
    pub(super) fn close_gap(&mut self, now: u64) {
        if self.pending > 0 {
            self.longest_gap_secs = self.longest_gap_secs.max(now - self.last_start);
        }
    }

    pub(super) fn arrive(&mut self, now: u64, tasks: u64) {
        if self.pending == 0 {
            self.last_start = now;
        }
        self.pending += tasks;
    }
}
