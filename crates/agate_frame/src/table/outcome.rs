//! The result of a run with faults.

use std::collections::BTreeMap;
use std::fmt;
use std::process::ExitCode;

use super::Checks;

/// Faults that were injected, and what was checked.
#[derive(Debug, Clone)]
pub struct Outcome<F> {
    /// How often each fault was injected.
    pub faults: BTreeMap<F, usize>,
    /// What was checked.
    pub checks: Checks,
}

impl<F> Outcome<F> {
    /// A run whose checks are still to be made.
    pub fn new(faults: BTreeMap<F, usize>) -> Self {
        Self {
            faults,
            checks: Checks::default(),
        }
    }

    /// Whether faults were injected and every check holds.
    pub fn holds(&self) -> bool {
        !self.faults.is_empty() && self.checks.all_hold()
    }
}

/// Prints the result of a run and says how the program ends: well only if faults were injected and
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
