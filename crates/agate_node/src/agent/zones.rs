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
use crate::store::{NewestRecords, ReadError, Stream};
use crate::zones::{self, ParseZone};

/// Pause after a failed load.
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
    /// Start of the keys of requests about zones.
    pub key_prefix: &'static str,
    /// Parses requests about zones.
    pub parse_zone: ParseZone,
}

/// The withdrawn zones as this agent has read them.
#[derive(Debug)]
pub(super) struct ZoneWatch {
    key_prefix: &'static str,
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
            key_prefix: settings.key_prefix,
            parse_zone: settings.parse_zone,
            created_at: clock::boottime(),
            gate: Mutex::new(ZoneGate::new(settings.bound)),
        }
    }

    /// Checks a start on a worker in `zone` at the boot time `now`.
    pub fn check(&self, zone: &str, now: Duration) -> StartCheck {
        self.gate().check(zone, now)
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
    match zones.check(zone, now) {
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

/// Loads the newest requests again and again until the process ends. The stream also has the routes, which
/// agents don't need: if each of them follows it, a large configuration saturates the link between two
/// regions.
pub(super) async fn keep_loaded(context: AgentContext, watch: Arc<ZoneWatch>) {
    let mut monitor = OutageMonitor::new(Stream::Config, "newest");
    let period = watch.gate().load_period();
    loop {
        let began = clock::boottime();
        let prefix = watch.key_prefix;
        let loaded = context.log.newest_with_prefix(Stream::Config, prefix);
        match loaded.await {
            Ok(newest) => {
                monitor.record_result(&context.metrics, None::<&ReadError>);
                apply(&context, &watch, &newest, began);
                sleep(period).await;
            }
            Err(error) => {
                monitor.record_result(&context.metrics, Some(&error));
                sleep(RETRY_DELAY).await;
            }
        }
    }
}

fn apply(context: &AgentContext, watch: &ZoneWatch, newest: &NewestRecords, began: Duration) {
    let mut gate = watch.gate();
    let requests = zones::requests(watch.parse_zone, &newest.records, gate.table());
    let known = gate.table().clone();
    gate.apply_load(requests, newest.end, began);
    if known.is_loaded() && gate.table().withdrawn().eq(known.withdrawn()) {
        return;
    }
    zones::set_gauges(&context.metrics, gate.table());
    log::info!(
        event = "zones_loaded", offset = newest.end,
        withdrawn = gate.table().withdrawn().count(); ""
    );
}
