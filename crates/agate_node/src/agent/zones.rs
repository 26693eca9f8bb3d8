//! Follows the withdrawn zones and checks starts against them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_jobs::Order;
use agate_jobs::zones::{StartCheck, ZoneGate};
use tokio::time::sleep;

use super::AgentContext;
use super::managed::{ManagedWorker, State};
use super::waiting::WaitReason;
use crate::clock;
use crate::metrics::Event;
use crate::outage::OutageMonitor;
use crate::store::{ReadError, Stream};
use crate::zones::{self, ParseZone};

/// Pause after a failed read.
const RETRY_DELAY: Duration = Duration::from_millis(150);

/// Time after the start of an agent for which orders are not returned. Within it, the worker may carry
/// out a start that the agent's predecessor sent (1.5 s, and 2 % for the worker's clock), and then has to
/// list it (0.5 s).
pub(super) const PREDECESSOR_START_WAIT: Duration = Duration::from_millis(2_500);

/// Settings of the check against withdrawn zones.
#[derive(Debug, Clone, Copy)]
pub struct WithdrawalSettings {
    /// Time from the acknowledgement of a withdrawal until nothing may start in the zone.
    pub bound: Duration,
    /// Parses requests about zones.
    pub parse_zone: ParseZone,
}

/// The withdrawn zones as this agent has read them.
#[derive(Debug)]
pub(super) struct ZoneWatch {
    parse_zone: ParseZone,
    /// Boot time at which the agent started.
    created_at: Duration,
    gate: Mutex<ZoneGate>,
}

/// Whether a start may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Verdict {
    /// It may be sent.
    Start,
    /// The order is returned to the scheduler.
    Return,
}

impl ZoneWatch {
    pub fn new(settings: WithdrawalSettings) -> Self {
        Self {
            parse_zone: settings.parse_zone,
            created_at: clock::boottime(),
            gate: Mutex::new(ZoneGate::new(settings.bound)),
        }
    }

    fn gate(&self) -> MutexGuard<'_, ZoneGate> {
        self.gate.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Checks whether a start may be sent to the worker at the boot time `now`.
///
/// # Errors
///
/// Returns the reason if the order has to wait.
pub(super) fn check_start(
    worker: &ManagedWorker,
    state: &State,
    order: &Order,
    now: Duration,
) -> Result<Verdict, WaitReason> {
    let Some(zones) = &worker.zones else {
        return Ok(Verdict::Start);
    };
    let zone = state.heartbeat.zone.as_str();
    match zones.gate().check(zone, now) {
        StartCheck::Allowed => Ok(Verdict::Start),
        StartCheck::NotLoaded => Err(WaitReason::ZonesNotLoaded),
        StartCheck::Stale => Err(WaitReason::ZonesStale),
        StartCheck::Withdrawn if now < zones.created_at + PREDECESSOR_START_WAIT => {
            Err(WaitReason::EarlierStart)
        }
        StartCheck::Withdrawn => {
            worker.context.metrics.count(Event::ZoneRefused);
            log::info!(
                event = "start_withheld", task:% = order.task, run = order.run,
                worker:% = state.incarnation, zone = zone; "the zone is withdrawn"
            );
            Ok(Verdict::Return)
        }
    }
}

/// Loads the newest requests and follows the stream until the process ends.
pub(super) async fn follow(context: AgentContext, watch: Arc<ZoneWatch>) {
    loop {
        let next = load(&context, &watch).await;
        follow_from(&context, &watch, next).await;
    }
}

async fn load(context: &AgentContext, watch: &ZoneWatch) -> u64 {
    let mut monitor = OutageMonitor::new(Stream::Config, "newest");
    loop {
        match context.log.newest(Stream::Config).await {
            Ok(newest) => {
                let mut gate = watch.gate();
                let requests = zones::requests(watch.parse_zone, &newest.records, gate.table());
                gate.apply_load(requests, newest.end);
                zones::set_gauges(&context.metrics, gate.table());
                log::info!(
                    event = "zones_loaded", offset = newest.end,
                    withdrawn = gate.table().withdrawn().count(); ""
                );
                return newest.end;
            }
            Err(error) => {
                monitor.record_result(&context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn follow_from(context: &AgentContext, watch: &ZoneWatch, mut next: u64) {
    let mut monitor = OutageMonitor::new(Stream::Config, "read");
    let poll_wait = watch.gate().poll_wait();
    // Starts wait for the first complete read, and after a failure for the next one.
    let mut wait = Duration::ZERO;
    loop {
        let began = clock::boottime();
        match context.log.read(Stream::Config, next, wait).await {
            Ok(page) => {
                monitor.record_result(&context.metrics, None::<&ReadError>);
                next += page.records.len() as u64;
                let mut gate = watch.gate();
                let requests = zones::requests(watch.parse_zone, &page.records, gate.table());
                gate.apply_page(requests, next, next >= page.end, began);
                if !page.records.is_empty() {
                    zones::set_gauges(&context.metrics, gate.table());
                }
                wait = poll_wait;
            }
            Err(ReadError::Deleted) => {
                log::warn!(event = "records_deleted", lane:% = Stream::Config, offset = next; "");
                return;
            }
            Err(error) => {
                monitor.record_result(&context.metrics, Some(&error));
                wait = Duration::ZERO;
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
