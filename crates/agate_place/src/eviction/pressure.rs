//! The measured slowdown of one worker, and for how long it has stood where it is.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Eviction;

use crate::{ClassKey, amount};

/// Weight of a new reading in the smoothed slowdown.
const SMOOTHING: f64 = 0.5;

/// Largest factor on the time for which a worker must be calm before a step is taken back.
const MAX_BACKOFF: u32 = 16;

/// Hold times after a release within which new trouble is laid to that release.
const RELAPSE_HOLDS: u32 = 8;

/// Where the slowdown stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Zone {
    /// Below the release threshold.
    Calm,
    /// Between release and throttle: everything stays as it is.
    Steady,
    /// At the throttle threshold or above.
    Slow,
    /// At the eviction threshold or above.
    Severe,
}

/// One urgent class on the worker.
#[derive(Debug, Clone, Copy)]
struct Reading {
    class: ClassKey,
    measured: Moment,
    slowdown: f64,
}

/// The pressure on one worker.
#[derive(Debug)]
pub(crate) struct Pressure {
    readings: Vec<Reading>,
    zone: Zone,
    /// Since when the slowdown has been this high or higher, for the three upper zones.
    calm_since: Option<Moment>,
    slow_since: Option<Moment>,
    severe_since: Option<Moment>,
    latest: Moment,
    /// Readings from before the last step say nothing of its effect.
    stepped: Moment,
    released: Option<Moment>,
    backoff: u32,
}

impl Pressure {
    pub(crate) fn new() -> Self {
        Self {
            readings: Vec::new(),
            zone: Zone::Steady,
            calm_since: None,
            slow_since: None,
            severe_since: None,
            latest: Moment::ZERO,
            stepped: Moment::ZERO,
            released: None,
            backoff: 1,
        }
    }

    /// Takes a reading in. One that was taken before the last step is ignored.
    pub(crate) fn observe(
        &mut self,
        class: ClassKey,
        measured: Moment,
        slowdown: f64,
        policy: &Eviction,
    ) {
        if measured < self.stepped || measured < self.latest {
            return;
        }
        self.latest = measured;
        self.smooth(class, measured, slowdown);
        let stale = amount::millis(policy.hold_ms) * 4;
        self.readings
            .retain(|reading| measured.since(reading.measured) <= stale);
        self.zone = zone_of(self.slowdown(), policy);
        let zone = self.zone;
        mark(&mut self.calm_since, zone == Zone::Calm, measured);
        mark(&mut self.slow_since, zone >= Zone::Slow, measured);
        mark(&mut self.severe_since, zone >= Zone::Severe, measured);
    }

    /// The zone, if the slowdown has been in it, or above it, for the hold time.
    pub(crate) fn held_zone(&self, policy: &Eviction) -> Zone {
        let hold = amount::millis(policy.hold_ms);
        let lasted = |since: Option<Moment>, hold: Duration| {
            since.is_some_and(|since| self.latest.since(since) >= hold)
        };
        if lasted(self.severe_since, hold) {
            Zone::Severe
        } else if lasted(self.slow_since, hold) {
            Zone::Slow
        } else if lasted(self.calm_since, hold * self.backoff) {
            Zone::Calm
        } else {
            Zone::Steady
        }
    }

    /// Whether the slowdown is at the throttle threshold or above, or not known since the last step.
    pub(crate) fn is_strained(&self) -> bool {
        self.zone >= Zone::Slow || (self.readings.is_empty() && self.stepped > Moment::ZERO)
    }

    /// The urgent class that suffers most.
    pub(crate) fn worst(&self) -> Option<ClassKey> {
        let worst = self
            .readings
            .iter()
            .max_by(|a, b| a.slowdown.total_cmp(&b.slowdown));
        worst.map(|reading| reading.class)
    }

    /// Notes a step against batch work.
    pub(crate) fn step_up(&mut self, now: Moment, policy: &Eviction) {
        let relapse = amount::millis(policy.hold_ms) * RELAPSE_HOLDS * self.backoff;
        if let Some(released) = self.released.take()
            && now.since(released) <= relapse
        {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
        self.restart(now);
    }

    /// Notes that a step was taken back.
    pub(crate) fn step_down(&mut self, now: Moment) {
        self.released = Some(now);
        self.restart(now);
    }

    fn restart(&mut self, now: Moment) {
        self.stepped = now;
        self.readings.clear();
        self.zone = Zone::Steady;
        self.calm_since = None;
        self.slow_since = None;
        self.severe_since = None;
    }

    fn smooth(&mut self, class: ClassKey, measured: Moment, slowdown: f64) {
        let known = self.readings.iter_mut().find(|r| r.class == class);
        let Some(reading) = known else {
            self.readings.push(Reading {
                class,
                measured,
                slowdown,
            });
            return;
        };
        reading.measured = measured;
        reading.slowdown += SMOOTHING * (slowdown - reading.slowdown);
    }

    /// The smoothed slowdown of the urgent class that suffers most.
    pub(crate) fn slowdown(&self) -> f64 {
        let slowdowns = self.readings.iter().map(|reading| reading.slowdown);
        slowdowns.fold(0.0, f64::max)
    }
}

fn zone_of(slowdown: f64, policy: &Eviction) -> Zone {
    let is_at_least = |percent| slowdown >= amount::ratio(percent);
    if is_at_least(policy.evict_percent) {
        Zone::Severe
    } else if is_at_least(policy.throttle_percent) {
        Zone::Slow
    } else if is_at_least(policy.release_percent) {
        Zone::Steady
    } else {
        Zone::Calm
    }
}

/// Keeps the start of an unbroken stretch.
fn mark(since: &mut Option<Moment>, holds: bool, at: Moment) {
    if !holds {
        *since = None;
    } else if since.is_none() {
        *since = Some(at);
    }
}
