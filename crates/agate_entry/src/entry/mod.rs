//! State shared by all tasks of an entry.

mod drain;
mod limits;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use agate_core::Incarnation;
use agate_log::LogStore;
use agate_preset::Preset;
use agate_settings::Secret;
use agate_telemetry::spans::Tracer;
use agate_wire::message::EntryInfo;
use bon::Builder;

use crate::batch::Batch;
use agate_intake::Intake;

use crate::clock::ProcessClock;
use crate::config::CurrentConfig;
use crate::keys::KeyTable;
use crate::ledger::{Commit, Folded, Writer};
use crate::members::{Members, Peers};
use crate::metrics::Metrics;
use crate::rpc::{Link, Links};
use crate::urgent::{Router, TicketSigner};

pub(crate) use drain::Drain;
pub use limits::Limits;

/// Period for which all processes remember idempotency keys.
pub(crate) const KEY_WINDOW: Duration = Duration::from_mins(15);

/// State shared by all tasks of an entry.
#[derive(Debug, Builder)]
pub(crate) struct Entry {
    pub(crate) me: EntryInfo,
    pub(crate) clock: ProcessClock,
    pub(crate) limits: Limits,
    pub(crate) token: Secret,
    pub(crate) signer: TicketSigner,
    pub(crate) members: Members,
    pub(crate) peers: Peers,
    pub(crate) router: Router,
    pub(crate) tracer: Tracer,
    pub(crate) metrics: Metrics,
    pub(crate) drain: Drain,
    /// Limits of what unfinished requests may hold.
    pub(crate) intake: Intake,
    pub(crate) store: Arc<dyn LogStore>,
    pub(crate) writer: Writer,
    pub(crate) key_writer: Writer,
    pub(crate) batch: Batch,
    #[builder(default = Folded::new())]
    pub(crate) folded: Folded,
    #[builder(default = KeyTable::new())]
    pub(crate) keys: KeyTable,
    #[builder(default)]
    pub(crate) links: Links,
    #[builder(default = CurrentConfig::new())]
    pub(crate) config: CurrentConfig,
    #[builder(skip)]
    attempts: AtomicU64,
}

impl Entry {
    /// Returns the preset in force.
    pub(crate) fn preset(&self) -> Arc<Preset> {
        self.config.get().preset
    }

    /// Returns the link to an agent.
    pub(crate) fn link(&self, incarnation: Incarnation, address: SocketAddr) -> Arc<Link> {
        let inactive_limit = Duration::from_millis(u64::from(self.preset().membership.silent_ms));
        self.links
            .get_or_create(incarnation, address, inactive_limit)
    }

    /// Returns a writer to the main stream.
    pub(crate) const fn commit(&self) -> Commit<'_> {
        Commit {
            appender: &self.writer.appender,
            folded: &self.folded,
        }
    }

    /// Returns an attempt id, unique within this entry.
    pub(crate) fn next_attempt(&self) -> u64 {
        self.attempts.fetch_add(1, Ordering::Relaxed)
    }

    /// Returns this entry and all confirmed peers.
    pub(crate) fn entries(&self) -> Vec<EntryInfo> {
        let mut entries = self.peers.list();
        entries.push(self.me.clone());
        entries
    }
}
