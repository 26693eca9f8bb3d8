//! Withdrawn zones while this entry leads.

use agate_jobs::plan::{Scheduler, ZoneChange};

use crate::entry::Entry;
use crate::metrics::Event;

/// Passes the zones that this entry has read to the scheduler.
pub(super) fn update(entry: &Entry, scheduler: &mut Scheduler) {
    if let Some(zones) = &entry.zones {
        scheduler.set_withdrawn_zones(&zones.table());
    }
}

/// Logs what has changed about withdrawn zones, and sets the gauges of their runs.
pub(super) fn report(entry: &Entry, scheduler: &mut Scheduler, epoch: u64) {
    for change in scheduler.take_zone_changes() {
        log_change(&change, epoch);
        match &change {
            ZoneChange::Returned { zone, .. } => entry.context.metrics.remove_zone_runs(zone),
            ZoneChange::TaskMoves { .. } => entry.context.metrics.count(Event::TaskMoved),
            ZoneChange::Withdrawn { .. }
            | ZoneChange::Empty { .. }
            | ZoneChange::StepWaits { .. } => {}
        }
    }
    for left in scheduler.zone_runs() {
        entry.context.metrics.set_zone_runs(&left.zone, left.runs);
    }
}

fn log_change(change: &ZoneChange, epoch: u64) {
    match change {
        ZoneChange::Withdrawn { zone, offset, runs } => log::info!(
            event = "zone_withdrawn", zone = zone.as_str(), offset = offset, runs = runs,
            epoch = epoch; "nothing more is placed there"
        ),
        ZoneChange::Empty { zone, offset } => log::info!(
            event = "zone_empty", zone = zone.as_str(), offset = offset, runs = 0, epoch = epoch; ""
        ),
        ZoneChange::Returned { zone, offset, runs } => log::info!(
            event = "zone_returned", zone = zone.as_str(), offset = offset, runs = runs,
            epoch = epoch; ""
        ),
        ZoneChange::StepWaits { task } => log::warn!(
            event = "step_needs_zone", task:% = task, epoch = epoch;
            "only workers of withdrawn zones could run its step"
        ),
        ZoneChange::TaskMoves {
            task,
            run,
            zone,
            worker,
            room_on,
        } => log::info!(
            event = "task_moves", task:% = task, run = run, zone = zone.as_str(),
            worker = worker.as_str(), room_on = room_on.as_str(), epoch = epoch;
            "it is stopped, to be started elsewhere"
        ),
    }
}
