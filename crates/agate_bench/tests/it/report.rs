//! Bounds and the exit code.

use std::process::ExitCode;

use agate_bench::report::{Bound, Limit, Report};
use rstest::rstest;

fn bound(limit: Limit, measured: f64) -> Bound {
    let name = "bound".to_owned();
    Bound {
        name,
        limit,
        measured,
    }
}

#[rstest]
#[case(Limit::AtMost(2.0), 2.0, true)]
#[case(Limit::AtMost(2.0), 2.1, false)]
#[case(Limit::Below(2.0), 1.9, true)]
#[case(Limit::Below(2.0), 2.0, false)]
#[case(Limit::AtLeast(2.0), 2.0, true)]
#[case(Limit::AtLeast(2.0), 1.9, false)]
#[case::not_a_number(Limit::AtMost(2.0), f64::NAN, false)]
fn bound_is_met_within_its_limit(#[case] limit: Limit, #[case] measured: f64, #[case] met: bool) {
    assert_eq!(bound(limit, measured).is_met(), met);
}

#[test]
fn run_fails_with_a_missed_bound_or_no_bounds() {
    let mut report = Report::default();
    assert_eq!(report.exit_code(), ExitCode::FAILURE);
    report.add_bound(bound(Limit::AtMost(1.0), 1.0));
    assert_eq!(report.exit_code(), ExitCode::SUCCESS);
    report.add_bound(bound(Limit::AtMost(1.0), 2.0));
    assert_eq!(report.exit_code(), ExitCode::FAILURE);
    assert!(report.to_string().contains("MISSED"));
}
