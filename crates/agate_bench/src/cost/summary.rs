//! Checks instruction counts against their bounds.

use super::InstructionCounts;
use super::budget::DecisionBudget;
use crate::report::{Bound, Limit, Report, Table};

/// One benchmark and what bounds it.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// The benchmark's function.
    pub function: &'static str,
    /// The benchmark's id within the function.
    pub id: &'static str,
    /// How often the decision is taken, and the share of the budget that it may use.
    pub budget: DecisionBudget,
}

/// Two sizes of one benchmark, and how much dearer the larger may be.
#[derive(Debug, Clone, Copy)]
pub struct Growth {
    /// The benchmark's function.
    pub function: &'static str,
    /// Id of the small size.
    pub small: &'static str,
    /// Id of the large size.
    pub large: &'static str,
    /// The largest factor between them.
    pub max_factor: f64,
}

/// Adds a table of instruction counts, and their bounds. A count that is missing misses its bound.
pub fn check(
    title: &str,
    counts: &InstructionCounts,
    costs: &[Cost],
    growth: &[Growth],
    report: &mut Report,
) {
    let mut table = Table::new(title, &["decision", "size", "instructions", "limit"]);
    for cost in costs {
        let measured = count(counts, cost.function, cost.id);
        let limit = cost.budget.limit();
        table.add_row(vec![
            cost.function.to_owned(),
            cost.id.to_owned(),
            measured.to_string(),
            limit.to_string(),
        ]);
        report.add_bound(Bound {
            name: format!("instructions, {} {}", cost.function, cost.id),
            limit: Limit::AtMost(limit as f64),
            measured,
        });
    }
    report.add_table(table);
    for growth in growth {
        let small = count(counts, growth.function, growth.small);
        let large = count(counts, growth.function, growth.large);
        report.add_bound(Bound {
            name: format!(
                "growth, {} from {} to {}",
                growth.function, growth.small, growth.large
            ),
            limit: Limit::AtMost(growth.max_factor),
            measured: large / small,
        });
    }
}

/// A count, or no number if it is missing.
fn count(counts: &InstructionCounts, function: &str, id: &str) -> f64 {
    let count = counts.get(function, id);
    count.map_or(f64::NAN, |count| count as f64)
}
