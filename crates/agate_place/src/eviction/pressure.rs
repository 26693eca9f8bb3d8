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
pub enum PressureLevel {
    /// Below the release threshold.
    Low,
    /// Between release and throttle: everything stays as it is.
    Moderate,
    /// At the throttle threshold or above.
    High,
    /// At the eviction threshold or above.
    Critical,
}

/// One urgent class on the worker.
#[derive(Debug, Clone, Copy)]
struct Reading {
    class: ClassKey,
    measured_at: Moment,
    slowdown: f64,
}

/// The pressure on one worker.
#[derive(Debug)]
pub(crate) struct Pressure {
    readings: Vec<Reading>,
    zone: PressureLevel,
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
            zone: PressureLevel::Moderate,
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
        measured_at: Moment,
        slowdown: f64,
        policy: &Eviction,
    ) {
        if measured_at < self.stepped || measured_at < self.latest {
            return;
        }
        self.latest = measured_at;
        self.smooth(class, measured_at, slowdown);
        let stale = amount::millis(policy.hold_ms) * 4;
        self.readings
            .retain(|reading| measured_at.since(reading.measured_at) <= stale);
        self.zone = zone_of(self.slowdown(), policy);
        let zone = self.zone;
        mark(
            &mut self.calm_since,
            zone == PressureLevel::Low,
            measured_at,
        );
        mark(
            &mut self.slow_since,
            zone >= PressureLevel::High,
            measured_at,
        );
        mark(
            &mut self.severe_since,
            zone >= PressureLevel::Critical,
            measured_at,
        );
    }

    /// The zone, if the slowdown has been in it, or above it, for the hold time.
    pub(crate) fn held_zone(&self, policy: &Eviction) -> PressureLevel {
        let hold = amount::millis(policy.hold_ms);
        let lasted = |since: Option<Moment>, hold: Duration| {
            since.is_some_and(|since| self.latest.since(since) >= hold)
        };
        if lasted(self.severe_since, hold) {
            PressureLevel::Critical
        } else if lasted(self.slow_since, hold) {
            PressureLevel::High
        } else if lasted(self.calm_since, hold * self.backoff) {
            PressureLevel::Low
        } else {
            PressureLevel::Moderate
        }
    }

    /// Whether the slowdown is at the throttle threshold or above, or not known since the last step.
    pub(crate) fn is_strained(&self) -> bool {
        self.zone >= PressureLevel::High
            || (self.readings.is_empty() && self.stepped > Moment::ZERO)
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
        self.zone = PressureLevel::Moderate;
        self.calm_since = None;
        self.slow_since = None;
        self.severe_since = None;
    }

    fn smooth(&mut self, class: ClassKey, measured_at: Moment, slowdown: f64) {
        let known = self.readings.iter_mut().find(|r| r.class == class);
        let Some(reading) = known else {
            self.readings.push(Reading {
                class,
                measured_at,
                slowdown,
            });
            return;
        };
        reading.measured_at = measured_at;
        reading.slowdown += SMOOTHING * (slowdown - reading.slowdown);
    }

    /// The smoothed slowdown of the urgent class that suffers most.
    pub(crate) fn slowdown(&self) -> f64 {
        let slowdowns = self.readings.iter().map(|reading| reading.slowdown);
        slowdowns.fold(0.0, f64::max)
    }
}

fn zone_of(slowdown: f64, policy: &Eviction) -> PressureLevel {
    let is_at_least = |percent| slowdown >= amount::ratio(percent);
    if is_at_least(policy.evict_percent) {
        PressureLevel::Critical
    } else if is_at_least(policy.throttle_percent) {
        PressureLevel::High
    } else if is_at_least(policy.release_percent) {
        PressureLevel::Moderate
    } else {
        PressureLevel::Low
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
