//! What was measured.

use std::fmt;

use hdrhistogram::Histogram;

/// Figures of one way of sending.
#[derive(Debug, Clone)]
pub struct LoadStats {
    /// Requests sent.
    pub sent: u64,
    /// Requests answered whole.
    pub complete: u64,
    /// Latency from the planned instant to the end of the answer, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl LoadStats {
    /// Latency at a quantile, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Figures of one run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests sent straight to the backend servers, in turn.
    pub direct: LoadStats,
    /// Requests sent through the entries.
    pub product: LoadStats,
    /// Batch tasks finished while requests went through the entries.
    pub tasks: usize,
    /// Batch runs that were checkpointed and evicted in that time.
    pub evictions: usize,
    /// Length of that time in seconds.
    pub seconds: u64,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:>9} {:>9} {:>9} {:>9} {:>9}",
            "way", "sent", "whole", "p50 ms", "p99 ms", "p99.9 ms"
        )?;
        for (way, figures) in [("direct", &self.direct), ("product", &self.product)] {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| figures.millis(quantile));
            writeln!(
                f,
                "{way:<10} {:>9} {:>9} {p50:>9.1} {p99:>9.1} {p999:>9.1}",
                figures.sent, figures.complete
            )?;
        }
        let ratio = |quantile| self.product.millis(quantile) / self.direct.millis(quantile);
        let [p50, p99, p999] = [0.5, 0.99, 0.999].map(ratio);
        writeln!(
            f,
            "{:<10} {:>9} {:>9} {p50:>9.2} {p99:>9.2} {p999:>9.2}",
            "ratio", "", ""
        )?;
        let hourly = self.tasks as f64 * 3_600.0 / self.seconds.max(1) as f64;
        writeln!(
            f,
            "batch tasks finished an hour: {hourly:.0}; evictions: {}",
            self.evictions
        )
    }
}
