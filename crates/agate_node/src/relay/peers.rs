//! Selection of a peer.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Moment;
use agate_core::hash::stable_hash;

/// Time for which a peer that failed is not used.
const EXCLUSION: Duration = Duration::from_secs(2);

#[derive(Debug)]
struct Peer {
    address: SocketAddr,
    excluded_until: Moment,
    failing: bool,
}

/// The peers of a process in the order in which it uses them. The order depends on the names of
/// both, so that the load spreads over the peers.
#[derive(Debug)]
pub struct Peers(Vec<Peer>);

impl Peers {
    /// Creates the peers of the process `name`, which relays calls at `listener`. All relays have
    /// the same port; a process is not its own peer.
    pub fn new(name: &str, listener: SocketAddr, seeds: &[SocketAddr]) -> Self {
        let mut ips: Vec<_> = seeds.iter().map(SocketAddr::ip).collect();
        ips.retain(|ip| *ip != listener.ip());
        ips.sort_by_key(|ip| stable_hash(&[name.as_bytes(), ip.to_string().as_bytes()]));
        ips.dedup();
        let peer = |ip| Peer {
            address: SocketAddr::new(ip, listener.port()),
            excluded_until: Moment::ZERO,
            failing: false,
        };
        Self(ips.into_iter().map(peer).collect())
    }

    /// Returns the first peer that is not excluded.
    pub fn choose(&self, now: Moment) -> Option<SocketAddr> {
        let usable = self.0.iter().find(|peer| peer.excluded_until <= now);
        usable.map(|peer| peer.address)
    }

    /// Excludes a peer that failed. Returns whether it had served the call before.
    pub fn exclude(&mut self, address: SocketAddr, now: Moment) -> bool {
        let Some(peer) = self.find(address) else {
            return false;
        };
        peer.excluded_until = now + EXCLUSION;
        !std::mem::replace(&mut peer.failing, true)
    }

    /// Records that a peer served a call.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(peer) = self.find(address) {
            peer.failing = false;
        }
    }

    fn find(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.0.iter_mut().find(|peer| peer.address == address)
    }
}
