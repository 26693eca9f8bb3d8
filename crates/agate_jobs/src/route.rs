//! Queues and the requests that belong to them.

use crate::spec::QueuePolicy;

/// A queue and the requests that belong to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Host that callers name, in lower case.
    pub host: String,
    /// Start of the paths that belong to the queue.
    pub prefix: String,
    /// What the queue fixes for its jobs.
    pub policy: QueuePolicy,
}

/// Every queue of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// Version; higher ones replace lower ones.
    pub version: u64,
    /// The queues, in no order.
    pub routes: Vec<Route>,
    /// Largest request body that callers may send, in bytes.
    pub body_limit: usize,
}

impl RouteTable {
    /// The queue with the longest prefix of `path` on `host`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
