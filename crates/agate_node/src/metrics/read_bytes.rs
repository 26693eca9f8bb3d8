//! Bytes read from the log, by kind of stream.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::store::Stream;

/// A kind of stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum StreamKind {
    /// The main stream.
    Main,
    /// A stream of orders.
    Orders,
    /// The operator's configuration.
    Config,
}

impl From<Stream> for StreamKind {
    fn from(stream: Stream) -> Self {
        match stream {
            Stream::Main => Self::Main,
            Stream::Orders(_) => Self::Orders,
            Stream::Config => Self::Config,
        }
    }
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StreamLabel {
    stream: StreamKind,
}

/// Counters of the keys and values that were read.
#[derive(Debug, Default)]
pub struct ReadBytes(Family<StreamLabel, Counter>);

impl ReadBytes {
    pub(super) fn count(&self, stream: StreamKind, bytes: usize) {
        let bytes = u64::try_from(bytes).unwrap_or(u64::MAX);
        self.0.get_or_create(&StreamLabel { stream }).inc_by(bytes);
    }

    pub(super) fn total(&self, stream: StreamKind) -> u64 {
        self.0.get_or_create(&StreamLabel { stream }).get()
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "log_read_bytes",
            "Bytes of keys and values read from the log",
            self.0.clone(),
        );
    }
}
