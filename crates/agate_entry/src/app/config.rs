//! Configuration of one entry, as the settings give it.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::names::NameError;
use agate_core::{RegionName, Site, ZoneName};
use agate_settings::{Secret, Values};
use bon::Builder;

use crate::entry::Limits;
use crate::settings::EntrySetting;

/// Configuration of one entry.
#[derive(Debug, Clone, Builder)]
pub struct EntryConfig {
    /// Where callers connect.
    pub caller_listen: SocketAddr,
    /// Where operators connect.
    pub operator_listen: SocketAddr,
    /// Where agents and other entries connect.
    pub rpc_listen: SocketAddr,
    /// Address under which agents and other entries reach the RPC listener; the address that was
    /// bound if left out.
    pub advertise: Option<SocketAddr>,
    /// First contacts.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where this entry runs.
    pub site: Site,
    /// The platform's log.
    pub log: SocketAddr,
    /// Token of operators.
    pub token: Secret,
    /// Endpoint that spans are exported to, if any.
    pub otlp: Option<String>,
    /// Bounds.
    #[builder(default = Limits::builder().build())]
    pub limits: Limits,
}

impl EntryConfig {
    /// Takes over checked settings.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the region or zone is no name, which loading has excluded.
    pub fn from_settings(values: &Values<EntrySetting>) -> Result<Self, NameError> {
        let otlp = values.text(EntrySetting::Otlp);
        let site = Site {
            region: RegionName::new(values.text(EntrySetting::Region))?,
            zone: ZoneName::new(values.text(EntrySetting::Zone))?,
        };
        Ok(Self {
            caller_listen: values.address(EntrySetting::CallerListen),
            operator_listen: values.address(EntrySetting::OperatorListen),
            rpc_listen: values.address(EntrySetting::RpcListen),
            advertise: Some(values.address(EntrySetting::Advertise)),
            seeds: values.addresses(EntrySetting::Seeds).to_vec(),
            site,
            log: values.address(EntrySetting::Log),
            token: values.secret(EntrySetting::Token).clone(),
            otlp: (!otlp.is_empty()).then(|| otlp.to_owned()),
            limits: limits(values),
        })
    }
}

fn limits(values: &Values<EntrySetting>) -> Limits {
    let size = |setting| usize::try_from(values.number(setting)).unwrap_or(usize::MAX);
    Limits::builder()
        .body_bytes(size(EntrySetting::BodyBytes))
        .connections(values.number_u32(EntrySetting::Connections))
        .inflight(size(EntrySetting::Inflight))
        .drain(Duration::from_secs(values.number(EntrySetting::Drain)))
        .leave(values.millis(EntrySetting::Leave))
        .group(values.millis(EntrySetting::Group))
        .snapshot(Duration::from_secs(values.number(EntrySetting::Snapshot)))
        .build()
}
