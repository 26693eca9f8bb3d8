//! Reading of request bodies up to a size limit.

use std::time::Duration;

use agate_core::Findings;
use dropshot::StreamingBody;
use futures::StreamExt;
use tokio::time::timeout;

/// Place of findings about the whole body.
pub(crate) const PLACE: &str = "body";

/// Time limit for receiving a body.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Reads a complete body of at most `limit` bytes.
///
/// A body that is too large, broken or late is reported as a finding, so that it is listed together
/// with invalid headers.
pub(crate) async fn read(body: StreamingBody, limit: usize, findings: &mut Findings) -> Vec<u8> {
    let collected = timeout(READ_TIMEOUT, collect(body, limit)).await;
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
