//! Runs both subjects and checks the bounds.

use strum::IntoEnumIterator;

use super::{Declared, Kind, Scenario, Tally, simulate};
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

/// Adds the tables of each scenario, and the bounds.
pub fn run(seed: u64, report: &mut Report) {
    let mut overcommit = 0;
    for declared in Declared::iter() {
        let scenario = Scenario { declared, seed };
        let policy = simulate(scenario, Kind::Policy);
        let baseline = simulate(scenario, Kind::FirstFit);
        overcommit += policy.overcommit;
        let title = format!("batch work, declared sizes {declared}, seed {seed}");
        let mut table = Table::new(&title, &COLUMNS);
        let mut teams = Table::new(format!("{title}, by team"), &TEAM_COLUMNS);
        for (kind, tally) in Kind::iter().zip([&policy, &baseline]) {
            table.row(cells(kind, tally));
            add_teams(kind, tally, &mut teams);
        }
        report.table(table);
        report.table(teams);
        if declared == Declared::Off {
            add_bounds(&policy, &baseline, report);
        }
    }
    report.bound(Bound {
        name: "over-commit events, batch".to_owned(),
        limit: Limit::AtMost(0.0),
        read: overcommit as f64,
    });
}

fn add_bounds(policy: &Tally, baseline: &Tally, report: &mut Report) {
    report.bound(Bound {
        name: "batch finished against first fit, declared sizes off by 3x".to_owned(),
        limit: Limit::AtLeast(1.3),
        read: policy.per_hour() / baseline.per_hour(),
    });
    report.bound(Bound {
        name: "urgent p99 against first fit, declared sizes off by 3x".to_owned(),
        limit: Limit::AtMost(1.0),
        read: policy.urgent_ms(0.99) / baseline.urgent_ms(0.99),
    });
}

fn cells(kind: Kind, tally: &Tally) -> Vec<String> {
    vec![
        kind.to_string(),
        format!("{:.0}", tally.per_hour()),
        format!("{:.0}", tally.work / 3_600.0),
        format!("{:.1}", tally.urgent_ms(0.5)),
        format!("{:.1}", tally.urgent_ms(0.99)),
        tally.throttles.to_string(),
        tally.evictions.to_string(),
        tally.killed.to_string(),
        tally.overcommit.to_string(),
        tally.given_up.to_string(),
    ]
}

fn add_teams(kind: Kind, tally: &Tally, table: &mut Table) {
    for (team, waiting) in &tally.teams {
        table.row(vec![
            kind.to_string(),
            team.to_string(),
            waiting.starts.to_string(),
            format!(
                "{:.0}",
                waiting.waited as f64 / waiting.starts.max(1) as f64
            ),
            waiting.longest_gap.to_string(),
        ]);
    }
}
