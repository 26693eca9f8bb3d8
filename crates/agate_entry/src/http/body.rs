//! Reading of request bodies within a bound.

use std::time::Duration;

use agate_core::Findings;
use dropshot::StreamingBody;
use futures::StreamExt;
use tokio::time::timeout;

/// Place of findings about a body as a whole.
pub(crate) const PLACE: &str = "body";

/// Time within which a body must have arrived.
const PATIENCE: Duration = Duration::from_secs(30);

/// Reads a whole body of at most `limit` bytes.
///
/// A body that is longer, broken or late is reported as a finding, so that it is listed together
/// with the problems of the headers.
pub(crate) async fn read(body: StreamingBody, limit: usize, findings: &mut Findings) -> Vec<u8> {
    let collected = timeout(PATIENCE, collect(body, limit)).await;
    let Ok(Some(bytes)) = collected else {
        findings.add(
            PLACE,
            format!("must arrive whole within 30 seconds and hold at most {limit} bytes"),
        );
        return Vec::new();
    };
    bytes
}

async fn collect(body: StreamingBody, limit: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut stream = std::pin::pin!(body.into_stream());
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.ok()?;
        if bytes.len() + chunk.len() > limit {
            return None;
        }
        bytes.extend_from_slice(&chunk);
    }
    Some(bytes)
}
