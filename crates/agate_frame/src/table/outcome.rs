//! Result of a run with faults.

use std::collections::BTreeMap;
use std::fmt;
use std::process::ExitCode;

use super::Checks;

/// The injected faults and the checks of a run.
#[derive(Debug, Clone)]
pub struct Outcome<F> {
    /// Number of times that each fault was injected.
    pub faults: BTreeMap<F, usize>,
    /// Checks made at the end.
    pub checks: Checks,
}

impl<F> Outcome<F> {
    /// Creates an outcome without checks.
    pub fn new(faults: BTreeMap<F, usize>) -> Self {
        Self {
            faults,
            checks: Checks::default(),
        }
    }

    /// Returns whether faults were injected and every check holds.
    pub fn holds(&self) -> bool {
        !self.faults.is_empty() && self.checks.all_hold()
    }
}

/// Prints the result of a run and returns the exit code: success only if faults were injected and
/// every check holds.
pub fn conclude<F: fmt::Display, E: fmt::Display>(result: Result<Outcome<F>, E>) -> ExitCode {
    match result {
        Ok(outcome) => {
            println!("{outcome}");
            if outcome.holds() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}

impl<F: fmt::Display> fmt::Display for Outcome<F> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{:<24} {:>8}", "fault", "injected")?;
        for (fault, count) in &self.faults {
            writeln!(f, "{:<24} {count:>8}", fault.to_string())?;
        }
        writeln!(f, "\n{}", self.checks)
    }
}
