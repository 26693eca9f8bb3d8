//! What this entry offers to agents and to other entries.

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

use crate::batch;
use crate::entry::Entry;

/// Time between two pings on a connection.
const PING: Duration = Duration::from_secs(2);

/// Time without a sign of life after which a connection is closed.
const SILENCE: Duration = Duration::from_secs(6);

/// The listener, kept open across restarts of the server so that its port is not lost.
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

    /// The address listened on.
    pub(crate) fn address(&self) -> std::io::Result<SocketAddr> {
        self.0.local_addr()
    }
}

/// Answers agents and other entries until `stop` is cancelled.
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
                .ping_interval(PING)
                .inactive_limit(SILENCE),
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
        return Err(ChildError("the RPC server ended by itself".to_owned()));
    }
    // Stopping fails only if the server has stopped already.
    let _ = handle.stop();
    handle.stopped().await;
    Ok(())
}

struct EntryMethods(Arc<Entry>);

#[async_trait]
impl EntryRpcServer for EntryMethods {
    async fn hello(&self, hello: Hello) -> RpcResult<Welcome> {
        if let Some(member) = hello.member {
            self.announced(member);
        }
        if let Some(peer) = hello.entry {
            self.0.peers.heard(peer);
        }
        Ok(Welcome {
            entry: self.0.me.clone(),
            peers: self.0.peers.list(),
            config: self.0.config.newer_than(Version::default()),
        })
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAck> {
        let verdict = self.0.members.heartbeat(&heartbeat);
        if heartbeat.leaving {
            log::debug!(event = "member_leaving", incarnation:% = heartbeat.incarnation; "");
        }
        if verdict == Verdict::Known {
            batch::reconcile(&self.0, &heartbeat);
        }
        let lease = batch::lease(&self.0, heartbeat.incarnation, verdict);
        let config = self.0.config.newer_than(heartbeat.config);
        self.0.peers.mentioned(heartbeat.entries);
        Ok(HeartbeatAck {
            verdict,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            config,
            entries: self.0.entries(),
        })
    }

    async fn report(&self, report: RunReport) -> RpcResult<ReportAck> {
        Ok(batch::report(&self.0, report).await)
    }
}

impl EntryMethods {
    fn announced(&self, member: MemberInfo) {
        let (incarnation, address) = (member.incarnation, member.address);
        let host = member.host;
        if host == Host::Worker {
            batch::joined(&self.0, &member);
        }
        match self.0.members.announce(member) {
            AnnounceOutcome::Joined(_) => {
                log::info!(event = "member_joined", incarnation:%, address:%, host:%; "");
            }
            AnnounceOutcome::Replaced { old, .. } => {
                self.replaced(old);
                log::info!(event = "member_replaced", incarnation:%, address:%, old:%; "");
            }
            AnnounceOutcome::Known(_) => {}
            AnnounceOutcome::Gone => {
                log::warn!(event = "member_refused", incarnation:%, address:%; "recorded as lost");
            }
        }
    }

    /// Forgets an incarnation whose address another one has taken.
    fn replaced(&self, old: Incarnation) {
        self.0.links.retain(|held| held != old);
        batch::left(&self.0, old);
        self.0.batch.quietly(|inner| inner.replaced.insert(old));
    }
}
