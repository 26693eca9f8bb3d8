//! Claims that a worker runs at an address.
//!
//! A heartbeat may come from another writer. So a heartbeat that names another worker or incarnation
//! than the known one is a claim, and the answer at its address is the evidence: a worker rejects calls
//! that name another one, and its lists carry its start. Nothing known is given up before that.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::WorkerIncarnation;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::client::{CallError, Heartbeat, WorkerClient};

/// Maximum number of claims that are checked at a time. A worker confirms its own within milliseconds, so
/// that claims without an answer don't displace it.
const MAX_PENDING: usize = 32;

/// Timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(700);

/// Pause after a call that got no answer.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Time for which a claim without an answer is checked. Heartbeats repeat it about every second.
const CHECK_TIME: Duration = Duration::from_millis(1_500);

/// What a heartbeat claims: an incarnation of a worker at an address.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct Claim {
    pub name: String,
    pub started_ms: u64,
    pub address: SocketAddr,
}

/// What the address has answered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// The claimed worker answered.
    Confirmed(Evidence),
    /// Another worker or incarnation answered.
    Refuted,
    /// Nobody answered.
    Unanswered,
}

/// An answer that confirms a claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) struct Evidence {
    /// Time at which the call began.
    pub asked_at: Instant,
    /// The worker's clock in milliseconds.
    pub worker_ms: u64,
    /// Whether the answer carried the start of the incarnation.
    pub names_start: bool,
}

impl Evidence {
    /// Returns the latest moment at which the incarnation may have started.
    pub fn started_at(&self) -> Instant {
        let now = Instant::now();
        let age = Duration::from_millis(self.worker_ms);
        now.checked_sub(age).unwrap_or(now)
    }
}

/// The claims that are being checked, the oldest first.
#[derive(Debug, Default)]
pub(super) struct PendingClaims(Vec<PendingClaim>);

#[derive(Debug)]
struct PendingClaim {
    heartbeat: Heartbeat,
    /// Cancelled when the check is given up.
    displaced: CancellationToken,
}

impl Claim {
    pub fn of(heartbeat: &Heartbeat) -> Self {
        Self {
            name: heartbeat.name.clone(),
            started_ms: heartbeat.started_ms,
            address: heartbeat.address,
        }
    }

    /// Asks the worker at the address by a call that changes nothing, until it answers or
    /// [`CHECK_TIME`] is over.
    pub async fn check(&self, client: &Arc<dyn WorkerClient>) -> Verdict {
        let incarnation = WorkerIncarnation {
            name: self.name.clone(),
            started_ms: self.started_ms,
            term: 0,
        };
        let until = Instant::now() + CHECK_TIME;
        loop {
            let asked_at = Instant::now();
            let call = client.renew_lease(&incarnation, None, 0, Duration::ZERO);
            match timeout(CALL_TIMEOUT, call).await {
                Ok(Ok(reply)) if reply.started_ms.is_none_or(|ms| ms == self.started_ms) => {
                    return Verdict::Confirmed(Evidence {
                        asked_at,
                        worker_ms: reply.worker_ms,
                        names_start: reply.started_ms.is_some(),
                    });
                }
                Ok(Ok(_) | Err(CallError::OtherLife)) => return Verdict::Refuted,
                Ok(Err(_)) | Err(_) => {}
            }
            if Instant::now() >= until {
                return Verdict::Unanswered;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

impl PendingClaims {
    /// Adds the claim of a heartbeat. Returns the token that ends its check, or `None` if the claim is
    /// being checked already. The oldest claim makes room for a new one.
    pub fn add(&mut self, heartbeat: Heartbeat) -> Option<CancellationToken> {
        let claim = Claim::of(&heartbeat);
        if let Some(pending) = self.0.iter_mut().find(|p| p.is_of(&claim)) {
            if heartbeat.sequence > pending.heartbeat.sequence {
                pending.heartbeat = heartbeat;
            }
            return None;
        }
        if self.0.len() >= MAX_PENDING {
            self.0.remove(0).displaced.cancel();
        }
        let displaced = CancellationToken::new();
        self.0.push(PendingClaim {
            heartbeat,
            displaced: displaced.clone(),
        });
        Some(displaced)
    }

    /// Removes a claim, and returns its newest heartbeat.
    pub fn take(&mut self, claim: &Claim) -> Option<Heartbeat> {
        let at = self.0.iter().position(|pending| pending.is_of(claim))?;
        Some(self.0.remove(at).heartbeat)
    }

    /// Ends all checks.
    pub fn clear(&mut self) {
        for pending in self.0.drain(..) {
            pending.displaced.cancel();
        }
    }
}

impl PendingClaim {
    fn is_of(&self, claim: &Claim) -> bool {
        Claim::of(&self.heartbeat) == *claim
    }
}
