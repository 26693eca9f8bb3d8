//! Checks with their expected and actual values.

use std::fmt;

/// A check and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// Description of the check.
    pub name: String,
    /// Expected value.
    pub expected: String,
    /// Actual value.
    pub seen: String,
    /// Whether the check holds.
    pub holds: bool,
}

/// Checks, in the order in which they were made.
#[derive(Debug, Clone, Default)]
pub struct Checks(Vec<Check>);

impl Checks {
    /// Checks that two values are equal.
    pub fn equal<T: PartialEq + fmt::Display + ?Sized>(
        &mut self,
        name: &str,
        expected: &T,
        seen: &T,
    ) {
        let holds = expected == seen;
        self.add(name, expected.to_string(), seen.to_string(), holds);
    }

    /// Checks that a number is at least `least`.
    pub fn at_least(&mut self, name: &str, least: usize, seen: usize) {
        self.add(
            name,
            format!("at least {least}"),
            seen.to_string(),
            seen >= least,
        );
    }

    /// Checks that a list of violations is empty. Shows their number and the first of them.
    pub fn none(&mut self, name: &str, violations: &[String]) {
        let seen = match violations {
            [] => "none".to_owned(),
            [first, ..] => format!("{}: {first}", violations.len()),
        };
        self.add(name, "none".to_owned(), seen, violations.is_empty());
    }

    fn add(&mut self, name: &str, expected: String, seen: String, holds: bool) {
        self.0.push(Check {
            name: name.to_owned(),
            expected,
            seen,
            holds,
        });
    }

    /// Returns whether there is at least one check and all of them hold.
    pub fn all_hold(&self) -> bool {
        !self.0.is_empty() && self.0.iter().all(|check| check.holds)
    }

    /// Returns the checks.
    pub fn as_slice(&self) -> &[Check] {
        &self.0
    }
}

impl fmt::Display for Checks {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<58} {:>14} {:>14}  verdict",
            "check", "expected", "seen"
        )?;
        for check in &self.0 {
            let verdict = if check.holds { "ok" } else { "WRONG" };
            writeln!(
                f,
                "{:<58} {:>14} {:>14}  {verdict}",
                check.name, check.expected, check.seen
            )?;
        }
        Ok(())
    }
}
