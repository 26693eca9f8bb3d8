//! Simulates every scenario with every strategy and checks the bounds.

use strum::IntoEnumIterator;

use super::scenario::{DURATION, WARMUP};
use super::{Fault, Scenario, Stats, Strategy, simulate};
use crate::report::{Bound, Limit, Report, Table};

const COLUMNS: [&str; 12] = [
    "routing/repeats",
    "requests",
    "p50 ms",
    "p99 ms",
    "p99.9 ms",
    "in time",
    "late",
    "refused",
    "failed",
    "extra",
    "wasted",
    "over-commit",
];

/// Adds a table for each scenario and the bounds to the report.
pub fn run(seed: u64, report: &mut Report) {
    let mut overcommit = 0;
    for fault in Fault::iter() {
        let scenario = Scenario { fault, seed };
        let stats_by_strategy = Strategy::ALL.map(|strategy| simulate(scenario, strategy));
        overcommit += stats_by_strategy
            .iter()
            .map(|stats| stats.overcommit)
            .sum::<u64>();
        let title = format!("urgent requests, fault {fault}, seed {seed}");
        let mut table = Table::new(title, &COLUMNS);
        for (strategy, stats) in Strategy::ALL.iter().zip(&stats_by_strategy) {
            table.add_row(cells(*strategy, stats));
        }
        report.add_table(table);
        if let Some(bound) = bound(fault, &stats_by_strategy) {
            report.add_bound(bound);
        }
    }
    report.add_bound(Bound {
        name: "over-commit events, all runs".to_owned(),
        limit: Limit::AtMost(0.0),
        measured: overcommit as f64,
    });
}

/// Returns the bound of a scenario from the counts in the order of [`Strategy::ALL`].
fn bound(fault: Fault, stats_by_strategy: &[Stats; 4]) -> Option<Bound> {
    let [policy, _, least_loaded, _] = stats_by_strategy;
    let (name, limit, measured) = match fault {
        Fault::None => return None,
        Fault::SlowMember => (
            "p99 against least-loaded, one member in ten five times slower",
            Limit::AtMost(0.5),
            policy.quantile_ms(0.99) / least_loaded.quantile_ms(0.99),
        ),
        Fault::ZoneReset => (
            "extra attempts for each request, zone lost, connections reset",
            Limit::Below(0.2),
            policy.extra_ratio(),
        ),
        Fault::ZoneSilent => (
            "extra attempts for each request, zone lost, connections silent",
            Limit::Below(0.2),
            policy.extra_ratio(),
        ),
        Fault::ZoneFailing => (
            "extra attempts for each request, zone's backend servers fail",
            Limit::Below(0.2),
            policy.extra_ratio(),
        ),
        Fault::Overload => (
            "goodput at 3x overload, as a share of capacity",
            Limit::AtLeast(0.9),
            goodput(policy) / Scenario::capacity(),
        ),
    };
    let name = name.to_owned();
    Some(Bound {
        name,
        limit,
        measured,
    })
}

/// Returns the answers in time per second.
fn goodput(stats: &Stats) -> f64 {
    stats.in_time as f64 / DURATION.saturating_sub(WARMUP).as_secs_f64()
}

fn cells(strategy: Strategy, stats: &Stats) -> Vec<String> {
    vec![
        format!("{}/{}", strategy.routing, strategy.retry),
        stats.requests.to_string(),
        format!("{:.1}", stats.quantile_ms(0.5)),
        format!("{:.1}", stats.quantile_ms(0.99)),
        format!("{:.1}", stats.quantile_ms(0.999)),
        stats.in_time.to_string(),
        stats.late.to_string(),
        stats.refused.to_string(),
        stats.failed.to_string(),
        stats.extra.to_string(),
        stats.wasted.to_string(),
        stats.overcommit.to_string(),
    ]
}
