//! Compares the orders of jobs under loads beyond the capacity.

use std::time::Duration;

use agate_jobs::BatchOrder;

use super::{Knowledge, Load, Scenario, Stats, simulate};
use crate::report::{Bound, Limit, Report, Table};

/// Number of workers.
const WORKERS: u32 = 67;

/// Simulated time.
const DURATION: Duration = Duration::from_mins(1);

/// Load that saturates the workers, in runs per worker.
const SATURATING_RUNS: f64 = 20.0;

/// Loads relative to the capacity.
const FACTORS: [f64; 4] = [1.0, 1.5, 2.5, 4.0];

/// Load from which on the plan has to gain.
const OVERLOAD: f64 = 1.5;

/// Least gain in jobs in time from [`OVERLOAD`] on, from the requirements.
const LEAST_GAIN: f64 = 1.3;

const COLUMNS: [&str; 7] = [
    "load",
    "order",
    "jobs",
    "jobs in time",
    "median end",
    "99 % end",
    "given back",
];

/// Adds a table of all loads and the bounds to the report.
pub fn run(seed: u64, report: &mut Report) {
    let title = format!("backlog on {WORKERS} shared workers, seed {seed}");
    let mut table = Table::new(&title, &COLUMNS);
    let capacity = capacity(seed);
    for factor in FACTORS {
        let runs = factor * capacity;
        let orders = [BatchOrder::Urgency, BatchOrder::Backlog];
        let [urgency, backlog] = orders.map(|order| {
            let stats = simulate(scenario(runs, order, seed));
            table.add_row(cells(factor, order, &stats));
            stats
        });
        let least = if factor < OVERLOAD { 1.0 } else { LEAST_GAIN };
        report.add_bound(Bound {
            name: format!("jobs in time by plan against urgency, {factor} times the capacity"),
            limit: Limit::AtLeast(least),
            measured: f64::from(backlog.in_time) / f64::from(urgency.in_time.max(1)),
        });
    }
    report.add_table(table);
}

/// Returns the work that the workers do under a saturating load, in milliseconds at full speed per
/// millisecond.
pub fn capacity(seed: u64) -> f64 {
    let runs = f64::from(WORKERS) * SATURATING_RUNS;
    let stats = simulate(scenario(runs, BatchOrder::Urgency, seed));
    stats.work.as_secs_f64() / DURATION.as_secs_f64()
}

const fn scenario(runs: f64, order: BatchOrder, seed: u64) -> Scenario {
    Scenario {
        workers: WORKERS,
        duration: DURATION,
        knowledge: Knowledge::Reported,
        load: Load::Backlog { runs },
        order,
        seed,
    }
}

fn cells(factor: f64, order: BatchOrder, stats: &Stats) -> Vec<String> {
    let seconds = |percent| format!("{:.1} s", stats.end_percentile(percent).as_secs_f64());
    vec![
        format!("{factor:.1}"),
        order.to_string(),
        stats.jobs.to_string(),
        stats.in_time.to_string(),
        seconds(50),
        seconds(99),
        format!("{:.1} %", 100.0 * stats.given_back_share()),
    ]
}
