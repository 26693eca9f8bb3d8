//! Plain-text tables.

use std::fmt;

/// A table with a title and a header row.
#[derive(Debug, Clone, Default)]
pub struct Table {
    title: String,
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Creates a table without rows below its header.
    pub fn new(title: impl Into<String>, columns: &[&str]) -> Self {
        let header = columns.iter().map(|&name| name.to_owned()).collect();
        Self {
            title: title.into(),
            rows: vec![header],
        }
    }

    /// Adds a row.
    pub fn add_row(&mut self, cells: Vec<String>) {
        self.rows.push(cells);
    }

    fn column_width(&self, column: usize) -> usize {
        let cells = self.rows.iter().filter_map(|row| row.get(column));
        cells.map(String::len).max().unwrap_or(0)
    }
}

impl fmt::Display for Table {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "{}", self.title)?;
        for row in &self.rows {
            for (column, cell) in row.iter().enumerate() {
                let width = self.column_width(column);
                match column {
                    0 => write!(f, "  {cell:<width$}")?,
                    _ => write!(f, "  {cell:>width$}")?,
                }
            }
            writeln!(f)?;
        }
        Ok(())
    }
}
