//! Results of a load run.

use std::fmt;

use hdrhistogram::Histogram;

/// Results of the requests that were sent in one way.
#[derive(Debug, Clone)]
pub struct LoadStats {
    /// Number of requests sent.
    pub sent: u64,
    /// Number of requests with a complete and successful response.
    pub complete: u64,
    /// Latency from the planned time to the end of the response.
    pub latency_us: Histogram<u64>,
}

impl LoadStats {
    /// Returns the latency at a quantile, in milliseconds.
    pub fn millis(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1_000.0
    }
}

/// Results of a load run.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// Requests sent directly to the backend servers, round-robin.
    pub direct: LoadStats,
    /// Requests sent through the entries.
    pub product: LoadStats,
    /// Number of batch tasks that finished while requests were sent through the entries.
    pub tasks: usize,
    /// Number of batch runs that were checkpointed and evicted in that time.
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
        for (way, stats) in [("direct", &self.direct), ("product", &self.product)] {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|quantile| stats.millis(quantile));
            writeln!(
                f,
                "{way:<10} {:>9} {:>9} {p50:>9.1} {p99:>9.1} {p999:>9.1}",
                stats.sent, stats.complete
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
