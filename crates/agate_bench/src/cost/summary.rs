//! Checks instruction counts against their bounds.

use super::InstructionCounts;
use super::budget::DecisionBudget;
use crate::report::{Bound, Limit, Report, Table};

/// A benchmark and its instruction budget.
#[derive(Debug, Clone, Copy)]
pub struct Cost {
    /// Function of the benchmark.
    pub function: &'static str,
    /// Id of the benchmark within the function.
    pub id: &'static str,
    /// Budget that the count is checked against.
    pub decision_budget: DecisionBudget,
}

/// Two sizes of one benchmark, and the allowed growth between them.
#[derive(Debug, Clone, Copy)]
pub struct Growth {
    /// Function of the benchmark.
    pub function: &'static str,
    /// Id of the smaller size.
    pub small: &'static str,
    /// Id of the larger size.
    pub large: &'static str,
    /// Largest allowed ratio of the two counts.
    pub max_factor: f64,
}

/// Adds a table of instruction counts and their bounds to the report. A missing count misses its
/// bounds.
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
        let limit = cost.decision_budget.limit();
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

/// Returns an instruction count, or NaN if it is missing.
fn count(counts: &InstructionCounts, function: &str, id: &str) -> f64 {
    let count = counts.get(function, id);
    count.map_or(f64::NAN, |count| count as f64)
}
