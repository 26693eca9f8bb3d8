//! The RPC server for agents and other entries.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{Host, Incarnation, Version};
use agate_members::AnnounceOutcome;
use agate_super::ChildError;
use agate_wire::message::{
    Heartbeat, HeartbeatAck, Hello, MemberInfo, ReportAck, RunReport, Verdict, Welcome,
};
use agate_wire::rpc::{EntryRpcServer, MAX_MESSAGE_BYTES};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{BatchRequestConfig, PingConfig, Server, ServerConfig};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use super::confirm::answers_as;
use crate::batch;
use crate::entry::Entry;

/// Interval between pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(2);

/// Silence after which a connection is closed.
const INACTIVE_LIMIT: Duration = Duration::from_secs(6);

/// The listening socket, kept open across restarts of the server so that the port is not lost.
#[derive(Debug, Clone)]
pub(crate) struct RpcListener(Arc<std::net::TcpListener>);

impl RpcListener {
    /// Listens on `address`.
    ///
    /// # Errors
    ///
    /// Fails if the address can't be bound.
    pub(crate) async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind(address).await?.into_std()?;
        Ok(Self(Arc::new(listener)))
    }

    /// Returns the local address.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Serves agents and other entries until `stop` is cancelled.
pub(crate) async fn serve(
    entry: Arc<Entry>,
    listener: RpcListener,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let failed = |error: std::io::Error| ChildError::from_error(&error);
    let config = ServerConfig::builder()
        .max_connections(entry.limits.max_connections)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .enable_ws_ping(
            PingConfig::new()
                .ping_interval(PING_INTERVAL)
                .inactive_limit(INACTIVE_LIMIT),
        )
        .ws_only()
        .build();
    let socket = listener.0.try_clone().map_err(failed)?;
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(socket)
        .map_err(failed)?;
    let handle = server.start(EntryMethods(entry).into_rpc());
    let stopped = handle.clone().stopped();
    if stop.run_until_cancelled(stopped).await.is_some() {
        return Err(ChildError("the RPC server ended unexpectedly".to_owned()));
    }
    // Stopping fails only if the server has already stopped.
    let _ = handle.stop();
    handle.stopped().await;
    Ok(())
}

struct EntryMethods(Arc<Entry>);

#[async_trait]
impl EntryRpcServer for EntryMethods {
    async fn hello(&self, hello: Hello) -> RpcResult<Welcome> {
        if let Some(member) = hello.member {
            self.record_announcement(member).await;
        }
        if let Some(peer) = hello.entry {
            if hello.leaving {
                self.0.peers.record_leaving(peer);
            } else {
                self.0.peers.record_contact(peer);
            }
        }
        Ok(Welcome {
            entry: self.0.me.clone(),
            peers: self.0.peers.list(),
            config: self.0.config.newer_than(Version::default()),
        })
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAck> {
        let verdict = self.0.members.record_heartbeat(&heartbeat);
        if heartbeat.leaving {
            log::debug!(event = "member_leaving", incarnation:% = heartbeat.incarnation; "");
        }
        if verdict == Verdict::Known {
            batch::reconcile(&self.0, &heartbeat);
        }
        let lease = batch::lease(&self.0, heartbeat.incarnation, verdict);
        let refuted = self.0.config.refute(heartbeat.config);
        let config = match refuted {
            None => self.0.config.newer_than(heartbeat.config),
            Some(_) => self.0.config.newer_than(Version::default()),
        };
        self.0.peers.record_mentions(heartbeat.entries);
        Ok(HeartbeatAck {
            verdict,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            config,
            refuted,
            entries: self.0.entries(),
        })
    }

    async fn report(&self, report: RunReport) -> RpcResult<ReportAck> {
        Ok(batch::report(&self.0, report).await)
    }
}

impl EntryMethods {
    async fn record_announcement(&self, member: MemberInfo) {
        let (incarnation, address) = (member.incarnation, member.address);
        let host = member.host;
        if self.0.members.would_replace(&member) && !answers_as(address, incarnation).await {
            log::warn!(event = "member_unconfirmed", incarnation:%, address:%; "another agent is known at this address, which doesn't answer as this one");
            return;
        }
        match self.0.members.announce(member.clone()) {
            AnnounceOutcome::Joined(_) => {
                log::info!(event = "member_joined", incarnation:%, address:%, host:%; "");
            }
            AnnounceOutcome::Replaced { old, .. } => {
                self.remove_replaced(old);
                log::info!(event = "member_replaced", incarnation:%, address:%, old:%; "");
            }
            AnnounceOutcome::Known(_) => {}
            AnnounceOutcome::Contradicted(_) => {
                log::warn!(event = "member_contradicted", incarnation:%, address:%; "the incarnation is known with other information");
                return;
            }
            AnnounceOutcome::Gone => {
                log::warn!(event = "member_refused", incarnation:%, address:%; "the incarnation is recorded as lost");
                return;
            }
        }
        if host == Host::Worker {
            batch::add_worker(&self.0, &member);
        }
    }

    /// Removes an incarnation whose address has been taken over by another.
    fn remove_replaced(&self, old: Incarnation) {
        self.0.links.retain(|linked| linked != old);
        batch::remove_worker(&self.0, old);
        self.0
            .batch
            .without_wake(|inner| inner.replaced.insert(old));
    }
}
