//! Runs every scenario under every plan and checks the bounds.

use strum::IntoEnumIterator;

use super::scenario::{LENGTH, WARMUP};
use super::{Fault, Plan, Scenario, Tally, simulate};
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

/// Adds one table for each scenario, and the bounds.
pub fn run(seed: u64, report: &mut Report) {
    let mut overcommit = 0;
    for fault in Fault::iter() {
        let scenario = Scenario { fault, seed };
        let tallies = Plan::ALL.map(|plan| simulate(scenario, plan));
        overcommit += tallies.iter().map(|tally| tally.overcommit).sum::<u64>();
        let title = format!("urgent requests, fault {fault}, seed {seed}");
        let mut table = Table::new(title, &COLUMNS);
        for (plan, tally) in Plan::ALL.iter().zip(&tallies) {
            table.row(cells(*plan, tally));
        }
        report.table(table);
        if let Some(bound) = bound(fault, &tallies) {
            report.bound(bound);
        }
    }
    report.bound(Bound {
        name: "over-commit events, all runs".to_owned(),
        limit: Limit::AtMost(0.0),
        read: overcommit as f64,
    });
}

/// The bound of a scenario; the policy under test comes first, least-loaded third.
fn bound(fault: Fault, tallies: &[Tally; 4]) -> Option<Bound> {
    let [policy, _, least_loaded, _] = tallies;
    let (name, limit, read) = match fault {
        Fault::None => return None,
        Fault::SlowMember => (
            "p99 against least-loaded, one member in ten five times slower",
            Limit::AtMost(0.5),
            policy.quantile_ms(0.99) / least_loaded.quantile_ms(0.99),
        ),
        Fault::ZoneReset => (
            "extra attempts for each request, zone lost, connections reset",
            Limit::Below(0.2),
            policy.extra_share(),
        ),
        Fault::ZoneSilent => (
            "extra attempts for each request, zone lost, connections silent",
            Limit::Below(0.2),
            policy.extra_share(),
        ),
        Fault::ZoneFailing => (
            "extra attempts for each request, zone's backend servers fail",
            Limit::Below(0.2),
            policy.extra_share(),
        ),
        Fault::Overload => (
            "goodput at 3x overload, as a share of capacity",
            Limit::AtLeast(0.9),
            goodput(policy) / Scenario::capacity(),
        ),
    };
    let name = name.to_owned();
    Some(Bound { name, limit, read })
}

/// Answers in time for each second.
fn goodput(tally: &Tally) -> f64 {
    tally.good as f64 / LENGTH.saturating_sub(WARMUP).as_secs_f64()
}

fn cells(plan: Plan, tally: &Tally) -> Vec<String> {
    vec![
        format!("{}/{}", plan.routing, plan.repeats),
        tally.requests.to_string(),
        format!("{:.1}", tally.quantile_ms(0.5)),
        format!("{:.1}", tally.quantile_ms(0.99)),
        format!("{:.1}", tally.quantile_ms(0.999)),
        tally.good.to_string(),
        tally.late.to_string(),
        tally.refused.to_string(),
        tally.failed.to_string(),
        tally.extra.to_string(),
        tally.wasted.to_string(),
        tally.overcommit.to_string(),
    ]
}
