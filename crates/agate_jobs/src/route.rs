//! Routing of requests to queues.

use crate::spec::QueuePolicy;

/// Maps a host and a path prefix to a queue.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Host of the request, in lower case.
    pub host: String,
    /// Prefix of the request path.
    pub prefix: String,
    /// Policy of the queue.
    pub policy: QueuePolicy,
}

/// The routes of one version of the configuration.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct RouteTable {
    /// Version of the configuration; a higher version replaces a lower one.
    pub version: u64,
    /// The routes, in no particular order.
    pub routes: Vec<Route>,
    /// Maximum size of a request body, in bytes.
    pub body_limit: usize,
    /// Maximum size of a request's head, in bytes, if the configuration has one.
    pub head_limit: Option<usize>,
}

impl RouteTable {
    /// Returns the route of `host` with the longest prefix of `path`.
    pub fn find(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.split(':').next().unwrap_or(host);
        self.routes
            .iter()
            .filter(|route| route.host.eq_ignore_ascii_case(host))
            .filter(|route| path.starts_with(&route.prefix))
            .max_by_key(|route| route.prefix.len())
    }
}
