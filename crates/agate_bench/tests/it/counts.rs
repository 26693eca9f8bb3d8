//! Instruction counts and their bounds.

use std::process::ExitCode;

use agate_bench::cost::budget::DecisionBudget;
use agate_bench::cost::urgent::{COSTS, GROWTH};
use agate_bench::cost::{InstructionCounts, check};
use agate_bench::report::Report;

#[test]
fn missing_count_misses_its_bounds() {
    let mut report = Report::default();
    check(
        "costs",
        &InstructionCounts::default(),
        &COSTS,
        &GROWTH,
        &mut report,
    );
    assert_eq!(report.exit_code(), ExitCode::FAILURE);
    let missed = report.to_string().matches("MISSED").count();
    assert_eq!(missed, COSTS.len() + GROWTH.len());
}

#[test]
fn limits_are_derived_from_the_node_budget() {
    assert_eq!(DecisionBudget::new(1_000, 100).limit(), 54_000);
    assert_eq!(DecisionBudget::CHOOSE.limit(), 12_000);
}
