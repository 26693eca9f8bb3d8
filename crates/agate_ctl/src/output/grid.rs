//! Text tables with aligned columns.

use std::fmt::Write as _;

/// Formats rows below a heading, with two spaces between columns.
pub(crate) fn grid<const N: usize>(heading: [&str; N], rows: &[[String; N]]) -> String {
    let mut widths = heading.map(str::len);
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let mut text = format_row(heading, widths);
    for row in rows {
        text.push_str(&format_row(row.each_ref().map(String::as_str), widths));
    }
    text
}

fn format_row<const N: usize>(cells: [&str; N], widths: [usize; N]) -> String {
    let mut text = String::new();
    for (cell, width) in cells.iter().zip(widths) {
        // Writing to a string cannot fail.
        let _ = write!(text, "{cell:<width$}  ");
    }
    format!("{}\n", text.trim_end())
}
