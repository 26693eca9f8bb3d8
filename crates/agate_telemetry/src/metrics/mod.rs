//! Metrics in the `OpenMetrics` text format.

use prometheus_client::encoding::text::encode;
use prometheus_client::registry::Registry;

/// Media type of the output of [`text`].
pub const MEDIA_TYPE: &str = "application/openmetrics-text; version=1.0.0; charset=utf-8";

/// Returns all metrics of `registry` as text.
///
/// # Errors
///
/// Fails if a metric cannot be formatted.
pub fn text(registry: &Registry) -> Result<String, std::fmt::Error> {
    let mut text = String::new();
    encode(&mut text, registry)?;
    Ok(text)
}
