//! Report of one run: tables and bounds.

mod bound;
mod table;

use std::fmt;
use std::process::ExitCode;

pub use bound::{Bound, Limit};
pub use table::Table;

/// Results of one run.
#[derive(Debug, Clone, Default)]
pub struct Report {
    tables: Vec<Table>,
    bounds: Vec<Bound>,
}

impl Report {
    /// Adds a table.
    pub fn add_table(&mut self, table: Table) {
        self.tables.push(table);
    }

    /// Adds a bound with its measured value.
    pub fn add_bound(&mut self, bound: Bound) {
        self.bounds.push(bound);
    }

    /// Returns failure if a bound is missed or none was checked.
    pub fn exit_code(&self) -> ExitCode {
        let met = self.bounds.iter().all(Bound::is_met);
        if met && !self.bounds.is_empty() {
            ExitCode::SUCCESS
        } else {
            ExitCode::FAILURE
        }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for table in &self.tables {
            writeln!(f, "{table}")?;
        }
        let mut bounds = Table::new("bounds", &["bound", "limit", "read", "result"]);
        for bound in &self.bounds {
            bounds.add_row(bound.cells());
        }
        writeln!(f, "{bounds}")
    }
}
