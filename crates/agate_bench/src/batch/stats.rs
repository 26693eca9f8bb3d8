//! Counts of one simulation.

use std::collections::BTreeMap;

use agate_core::TeamName;
use hdrhistogram::Histogram;

use super::scenario::DURATION_SECS;

/// Largest service time that the histogram distinguishes, in microseconds.
const MAX_SERVICE_US: u64 = 60_000_000;

/// Waiting times of one team.
#[derive(Debug, Clone, Copy, Default)]
pub struct TeamStats {
    /// First starts of tasks.
    pub starts: u64,
    /// Total time in seconds from arrival to first start.
    pub wait_secs: u64,
    /// Longest time in seconds without a start while tasks were queued.
    pub longest_gap_secs: u64,
    pub(super) last_start: u64,
    pub(super) pending: u64,
}

/// Counts of one simulation.
#[derive(Debug, Clone)]
pub struct Stats {
    /// Service times of urgent requests in microseconds.
    pub urgent_service_us: Histogram<u64>,
    /// Finished tasks.
    pub finished: u64,
    /// Core-seconds of the finished tasks.
    pub core_secs: f64,
    /// Evicted runs.
    pub evictions: u64,
    /// Throttled runs.
    pub throttles: u64,
    /// Runs killed for exceeding their reserved memory.
    pub killed: u64,
    /// Starts after which more was reserved on a machine than its capacity.
    pub overcommit: u64,
    /// Jobs and tasks given up, although all of them can be finished.
    pub given_up: u64,
    /// Waiting times by team.
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
    /// Returns the number of tasks finished per hour.
    pub fn tasks_per_hour(&self) -> f64 {
        self.finished as f64 * 3_600.0 / DURATION_SECS as f64
    }

    /// Returns a quantile of the urgent service times in milliseconds.
    pub fn urgent_quantile_ms(&self, quantile: f64) -> f64 {
        self.urgent_service_us.value_at_quantile(quantile) as f64 / 1_000.0
    }

    pub(super) fn record_service(&mut self, service_us: f64) {
        let us = u64::from(super::scenario::round_u32(service_us));
        self.urgent_service_us.saturating_record(us);
    }
}

impl TeamStats {
    pub(super) fn record_start(&mut self, now: u64, wait_secs: u64) {
        self.starts += 1;
        self.wait_secs += wait_secs;
        self.update_gap(now);
        self.last_start = now;
        self.pending -= 1;
    }

    /// Updates the longest gap if tasks are queued.
    pub(super) fn update_gap(&mut self, now: u64) {
        if self.pending > 0 {
            self.longest_gap_secs = self.longest_gap_secs.max(now - self.last_start);
        }
    }

    pub(super) fn record_arrival(&mut self, now: u64, tasks: u64) {
        if self.pending == 0 {
            self.last_start = now;
        }
        self.pending += tasks;
    }
}
