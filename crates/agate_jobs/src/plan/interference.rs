//! What filling images add to the use of serving images, as all workers report it.

use std::collections::HashMap;

use crate::pace::{DEFAULT_INTERFERENCE, Interference};

/// Weight of a new report of a pair that is known.
const WEIGHT: f64 = 0.3;

/// Added use by serving and filling image.
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

    /// What is known of the pairs of `filling` with each of the images in `serving`.
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

    /// Use that one task of `filling` adds to a task of `serving` at full speed.
    pub fn added(&self, serving: &str, best_effort: &str) -> f64 {
        let by_best_effort = self.0.get(serving);
        let known = by_best_effort.and_then(|by_best_effort| by_best_effort.get(best_effort));
        known.copied().unwrap_or(DEFAULT_INTERFERENCE)
    }
}
