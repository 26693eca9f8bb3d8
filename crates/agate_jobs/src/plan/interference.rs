//! Interference of best-effort with serving images, averaged over the reports of all workers.

use std::collections::HashMap;

use crate::pace::{DEFAULT_INTERFERENCE, Interference};

/// Weight of a new report in the moving average of a pair.
const WEIGHT: f64 = 0.3;

/// Added utilization by serving image and best-effort image.
#[derive(Debug, Default)]
pub(super) struct InterferenceTable(HashMap<String, HashMap<String, f64>>);

impl InterferenceTable {
    pub fn learn(&mut self, reports: &[Interference]) {
        for report in reports {
            let added = f64::from(report.milli) / 1_000.0;
            let by_best_effort = self.0.entry(report.serving.clone()).or_default();
            let known = by_best_effort
                .entry(report.best_effort.clone())
                .or_insert(added);
            *known += WEIGHT * (added - *known);
        }
    }

    /// Returns the known interference of `best_effort` with each image in `serving`.
    pub fn known<'a>(
        &self,
        serving: impl Iterator<Item = &'a String>,
        best_effort: &str,
    ) -> Vec<Interference> {
        let known = serving.filter_map(|serving| {
            let added = self.0.get(serving)?.get(best_effort)?;
            Some(Interference::new(serving, best_effort, *added))
        });
        known.collect()
    }

    /// Returns the interference of best-effort images with a serving image.
    pub fn with(&self, serving: &str) -> WithServing<'_> {
        WithServing(self.0.get(serving))
    }
}

/// Interference with one serving image. The image is looked up once for all best-effort images of a
/// worker, which takes most of the time of a choice.
#[derive(Debug, Clone, Copy)]
pub(super) struct WithServing<'a>(Option<&'a HashMap<String, f64>>);

impl WithServing<'_> {
    /// Returns the utilization that one task of `best_effort` at full speed adds to a serving task,
    /// or a default if the pair is unknown.
    pub fn added(self, best_effort: &str) -> f64 {
        let known = self.0.and_then(|known| known.get(best_effort));
        known.copied().unwrap_or(DEFAULT_INTERFERENCE)
    }
}
