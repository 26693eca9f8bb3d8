//! Simulates both placers and checks the bounds.

use strum::IntoEnumIterator;

use super::{DeclaredSizes, PlacerKind, Scenario, Stats, simulate};
use crate::report::{Bound, Limit, Report, Table};

const COLUMNS: [&str; 10] = [
    "placement",
    "tasks/h",
    "core-hours",
    "urgent p50 ms",
    "urgent p99 ms",
    "throttled",
    "evicted",
    "killed",
    "over-commit",
    "given up",
];

const TEAM_COLUMNS: [&str; 5] = [
    "placement",
    "team",
    "started",
    "mean wait s",
    "longest gap s",
];

/// Adds the tables of each scenario and the bounds to the report.
pub fn run(seed: u64, report: &mut Report) {
    let mut overcommit = 0;
    for declared in DeclaredSizes::iter() {
        let scenario = Scenario { declared, seed };
        let policy = simulate(scenario, PlacerKind::Policy);
        let baseline = simulate(scenario, PlacerKind::FirstFit);
        overcommit += policy.overcommit;
        let title = format!("batch work, declared sizes {declared}, seed {seed}");
        let mut table = Table::new(&title, &COLUMNS);
        let mut teams = Table::new(format!("{title}, by team"), &TEAM_COLUMNS);
        for (kind, stats) in PlacerKind::iter().zip([&policy, &baseline]) {
            table.add_row(cells(kind, stats));
            add_team_rows(kind, stats, &mut teams);
        }
        report.add_table(table);
        report.add_table(teams);
        if declared == DeclaredSizes::Off {
            add_bounds(&policy, &baseline, report);
        }
    }
    report.add_bound(Bound {
        name: "over-commit events, batch".to_owned(),
        limit: Limit::AtMost(0.0),
        measured: overcommit as f64,
    });
}

fn add_bounds(policy: &Stats, baseline: &Stats, report: &mut Report) {
    report.add_bound(Bound {
        name: "batch finished against first fit, declared sizes off by 3x".to_owned(),
        limit: Limit::AtLeast(1.3),
        measured: policy.tasks_per_hour() / baseline.tasks_per_hour(),
    });
    report.add_bound(Bound {
        name: "urgent p99 against first fit, declared sizes off by 3x".to_owned(),
        limit: Limit::AtMost(1.0),
        measured: policy.urgent_quantile_ms(0.99) / baseline.urgent_quantile_ms(0.99),
    });
}

fn cells(kind: PlacerKind, stats: &Stats) -> Vec<String> {
    vec![
        kind.to_string(),
        format!("{:.0}", stats.tasks_per_hour()),
        format!("{:.0}", stats.core_secs / 3_600.0),
        format!("{:.1}", stats.urgent_quantile_ms(0.5)),
        format!("{:.1}", stats.urgent_quantile_ms(0.99)),
        stats.throttles.to_string(),
        stats.evictions.to_string(),
        stats.killed.to_string(),
        stats.overcommit.to_string(),
        stats.given_up.to_string(),
    ]
}

fn add_team_rows(kind: PlacerKind, stats: &Stats, table: &mut Table) {
    for (team, team_stats) in &stats.teams {
        table.add_row(vec![
            kind.to_string(),
            team.to_string(),
            team_stats.starts.to_string(),
            format!(
                "{:.0}",
                team_stats.wait_secs as f64 / team_stats.starts.max(1) as f64
            ),
            team_stats.longest_gap_secs.to_string(),
        ]);
    }
}
