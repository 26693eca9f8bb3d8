//! Configuration of an entry, from its settings.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::names::NameError;
use agate_core::{RegionName, Site, ZoneName};
use agate_settings::{Secret, Values};
use bon::Builder;

use crate::entry::Limits;
use crate::settings::EntrySetting;

/// Configuration of an entry.
#[derive(Debug, Clone, Builder)]
pub struct EntryConfig {
    /// Listen address for callers.
    pub caller_listen: SocketAddr,
    /// Listen address for operators.
    pub operator_listen: SocketAddr,
    /// Listen address for agents and other entries.
    pub rpc_listen: SocketAddr,
    /// Address at which agents and other entries reach the RPC listener; defaults to the bound
    /// address.
    pub advertise: Option<SocketAddr>,
    /// Initial contacts.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Location of this entry.
    pub site: Site,
    /// Address of the platform's log.
    pub log: SocketAddr,
    /// Operator token.
    pub token: Secret,
    /// Endpoint for exporting spans, if any.
    pub otlp: Option<String>,
    /// Resource limits and timeouts.
    #[builder(default = Limits::builder().build())]
    pub limits: Limits,
}

impl EntryConfig {
    /// Builds the configuration from loaded settings.
    ///
    /// # Errors
    ///
    /// Returns a [`NameError`] if the region or zone is not a valid name, which loading has already
    /// ruled out.
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
        .max_body_bytes(size(EntrySetting::BodyBytes))
        .max_connections(values.number_u32(EntrySetting::Connections))
        .max_inflight(size(EntrySetting::Inflight))
        .max_unfinished(size(EntrySetting::Unfinished) << 20)
        .drain_timeout(Duration::from_secs(values.number(EntrySetting::Drain)))
        .leave_delay(values.millis(EntrySetting::Leave))
        .append_linger(values.millis(EntrySetting::Group))
        .snapshot_interval(Duration::from_secs(values.number(EntrySetting::Snapshot)))
        .build()
}
