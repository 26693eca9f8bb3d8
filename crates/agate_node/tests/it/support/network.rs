//! A network between relays.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_node::metrics::Metrics;
use agate_node::relay::{
    Relay, RelayRequest, RelayResponse, RelayServer, RelaySettings, Transport, TransportError,
    build,
};
use async_trait::async_trait;
use tokio::time::sleep;

use super::log::FakeLog;

/// Duration of a request in each direction.
const LINK_TIME: Duration = Duration::from_millis(2);

/// What happens to requests to a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) enum Link {
    /// They are answered.
    #[default]
    Up,
    /// Connections are refused.
    Refuses,
    /// They get lost.
    LosesRequests,
    /// They are processed, but the responses get lost. A paused relay looks the same.
    LosesResponses,
    /// They are processed, and the connection is then closed without a response.
    DiesBeforeResponse,
}

#[derive(Debug)]
struct Node {
    server: Arc<RelayServer>,
    link: Link,
    requests: Vec<RelayRequest>,
}

/// The relays of all machines.
#[derive(Debug, Clone, Default)]
pub(crate) struct Network(Arc<Mutex<HashMap<SocketAddr, Node>>>);

/// Returns the relay address of a machine.
pub(crate) fn address(machine: u8) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(10, 0, 0, machine), 7_001))
}

impl Network {
    /// Adds a machine that uses `log` and the given seeds.
    pub(crate) fn machine(
        &self,
        machine: u8,
        log: &FakeLog,
        seeds: &[u8],
    ) -> (Relay, Arc<Metrics>) {
        let metrics = Arc::new(Metrics::default());
        let settings = RelaySettings {
            name: format!("m{machine}"),
            listener: address(machine),
            seeds: seeds.iter().map(|seed| address(*seed)).collect(),
        };
        let (log, transport) = (Arc::new(log.clone()), Arc::new(self.clone()));
        let relay = build(&settings, log, transport, Arc::clone(&metrics));
        let node = Node {
            server: Arc::clone(&relay.server),
            link: Link::Up,
            requests: Vec::new(),
        };
        self.nodes().insert(address(machine), node);
        (relay, metrics)
    }

    pub(crate) fn set_link(&self, machine: u8, link: Link) {
        self.nodes()
            .get_mut(&address(machine))
            .expect("it exists")
            .link = link;
    }

    /// Returns the requests that were sent to a machine.
    pub(crate) fn requests(&self, machine: u8) -> Vec<RelayRequest> {
        self.nodes()[&address(machine)].requests.clone()
    }

    fn nodes(&self) -> std::sync::MutexGuard<'_, HashMap<SocketAddr, Node>> {
        self.0.lock().expect("the lock is not poisoned")
    }
}

#[async_trait]
impl Transport for Network {
    async fn call(
        &self,
        peer: SocketAddr,
        request: RelayRequest,
        limit: Duration,
    ) -> Result<RelayResponse, TransportError> {
        let (relay, link) = {
            let mut nodes = self.nodes();
            let node = nodes.get_mut(&peer).expect("the peer exists");
            node.requests.push(request.clone());
            (Arc::clone(&node.server), node.link)
        };
        sleep(LINK_TIME).await;
        let served = tokio::spawn(async move {
            match link {
                Link::Refuses | Link::LosesRequests => None,
                _ => Some(relay.handle(&request).await),
            }
        });
        let unanswered = |cause: &str| TransportError::Unanswered(cause.to_owned());
        match link {
            Link::Up => {
                let response = tokio::time::timeout(limit, served).await;
                let response = response.map_err(|_elapsed| unanswered("timed out"))?;
                sleep(LINK_TIME).await;
                Ok(response.expect("no panic").expect("it was processed"))
            }
            Link::Refuses => Err(TransportError::NotSent("connection refused".to_owned())),
            Link::LosesRequests | Link::LosesResponses => {
                sleep(limit).await;
                Err(unanswered("timed out"))
            }
            Link::DiesBeforeResponse => {
                served.await.expect("no panic");
                Err(unanswered("connection reset"))
            }
        }
    }
}
