//! Checks with what was expected and what was seen.

use std::fmt;

/// One check.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Check {
    /// What is checked.
    pub name: String,
    /// What must be seen.
    pub expected: String,
    /// What was seen.
    pub seen: String,
    /// Whether it holds.
    pub holds: bool,
}

/// Checks in the order in which they were made.
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

    /// Checks that a list of offenders is empty, and shows the first of them.
    pub fn none(&mut self, name: &str, offenders: &[String]) {
        let seen = match offenders {
            [] => "none".to_owned(),
            [first, ..] => format!("{}: {first}", offenders.len()),
        };
        self.add(name, "none".to_owned(), seen, offenders.is_empty());
    }

    fn add(&mut self, name: &str, expected: String, seen: String, holds: bool) {
        self.0.push(Check {
            name: name.to_owned(),
            expected,
            seen,
            holds,
        });
    }

    /// Whether there is at least one check and each holds.
    pub fn all_hold(&self) -> bool {
        !self.0.is_empty() && self.0.iter().all(|check| check.holds)
    }

    /// The checks made.
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
