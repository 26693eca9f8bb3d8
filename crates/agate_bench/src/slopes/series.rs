//! Quantities measured at several sizes.

use crate::report::Table;

/// Values of one quantity at several sizes.
#[derive(Debug)]
pub(super) struct Series {
    name: &'static str,
    /// Unit of the sizes.
    per: &'static str,
    points: Vec<(u64, f64)>,
}

impl Series {
    /// Measures a quantity at each of `sizes`, in ascending order.
    pub(super) fn measure(
        name: &'static str,
        per: &'static str,
        sizes: &[u64],
        mut measure: impl FnMut(u64) -> f64,
    ) -> Self {
        let points = sizes.iter().map(|size| (*size, measure(*size))).collect();
        Self { name, per, points }
    }

    /// Returns the growth from the smallest to the largest size per unit of size.
    fn slope(&self) -> f64 {
        let (Some(first), Some(last)) = (self.points.first(), self.points.last()) else {
            return 0.0;
        };
        (last.1 - first.1) / (last.0 - first.0) as f64
    }

    fn cells(&self) -> Vec<String> {
        let sizes = self.points.iter().map(|(size, _)| size.to_string());
        let values = self.points.iter().map(|(_, value)| format!("{value:.2}"));
        vec![
            self.name.to_owned(),
            self.per.to_owned(),
            sizes.collect::<Vec<_>>().join(" / "),
            values.collect::<Vec<_>>().join(" / "),
            format!("{:.4}", self.slope()),
        ]
    }
}

/// Returns a table of series with the same unit of value.
pub(super) fn table(title: &str, series: &[Series]) -> Table {
    let columns = ["quantity", "per", "sizes", "values", "slope"];
    let mut table = Table::new(title, &columns);
    for one in series {
        table.add_row(one.cells());
    }
    table
}
