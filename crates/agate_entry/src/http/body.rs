//! Reading of request bodies within a bound.

use agate_core::Findings;
use dropshot::StreamingBody;
use futures::StreamExt;

/// Reads a whole body of at most `limit` bytes.
///
/// A longer or broken body is reported as a finding, so that it is listed together with the
/// problems of the headers.
pub(crate) async fn read(body: StreamingBody, limit: usize, findings: &mut Findings) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut stream = std::pin::pin!(body.into_stream());
    while let Some(chunk) = stream.next().await {
        let Ok(chunk) = chunk else {
            findings.add(
                "body",
                format!("must arrive whole and hold at most {limit} bytes"),
            );
            return Vec::new();
        };
        if bytes.len() + chunk.len() > limit {
            findings.add("body", format!("must hold at most {limit} bytes"));
            return Vec::new();
        }
        bytes.extend_from_slice(&chunk);
    }
    bytes
}
