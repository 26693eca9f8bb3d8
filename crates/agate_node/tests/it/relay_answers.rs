//! Answers of peers that contradict what a read returns.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_node::metrics::Metrics;
use agate_node::relay::{
    RelayRequest, RelayResponse, RelaySettings, Transport, TransportError, build, read_response,
};
use agate_node::store::{StoredRecord, Stream};
use async_trait::async_trait;
use rstest::rstest;

use crate::support::{FakeLog, Fault, address};

/// A peer that gives the same answer to every request.
#[derive(Debug)]
struct FixedPeer(RelayResponse);

#[async_trait]
impl Transport for FixedPeer {
    async fn call(
        &self,
        _peer: SocketAddr,
        _request: RelayRequest,
        _limit: Duration,
    ) -> Result<RelayResponse, TransportError> {
        Ok(self.0.clone())
    }
}

/// Records out of order hide newer ones behind older ones, and a reader that goes on behind a false end
/// misses records or reads some twice. A load may have a record with an odd key twice.
#[rstest]
#[case::sound(&[2, 5], 9, true)]
#[case::empty(&[], 9, true)]
#[case::out_of_order(&[5, 2], 9, false)]
#[case::repeated(&[2, 2], 9, true)]
#[case::past_the_end(&[2, 9], 9, false)]
#[tokio::test(start_paused = true)]
async fn a_load_through_a_peer_has_ordered_offsets_before_its_end(
    #[case] offsets: &[u64],
    #[case] end: u64,
    #[case] is_believed: bool,
) {
    let record = |offset: &u64| StoredRecord {
        offset: *offset,
        key: format!("z/{offset}"),
        value: b"value".to_vec(),
    };
    let records: Vec<_> = offsets.iter().map(record).collect();
    let peer = FixedPeer(read_response(Ok((&records, end))));
    let settings = RelaySettings {
        name: "m9".to_owned(),
        listener: address(9),
        seeds: vec![address(1)],
    };
    let own = FakeLog::default();
    own.set_fault(Fault::RefusesAll);
    let metrics = Arc::new(Metrics::default());
    let log = build(&settings, own.into(), Arc::new(peer), metrics).log;
    let newest = log.newest(Stream::Main).await;
    assert_eq!(newest.is_ok(), is_believed, "{newest:?}");
    let zones = log.newest_with_prefix(Stream::Config, "z/").await;
    assert_eq!(zones.is_ok(), is_believed, "{zones:?}");
}
