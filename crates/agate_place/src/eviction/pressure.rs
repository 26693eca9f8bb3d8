//! Tracks the slowdown of urgent work on one worker and how long it has lasted.

use std::time::Duration;

use agate_core::Moment;
use agate_preset::policy::Eviction;

use crate::workers::MAX_READING_AGE;
use crate::{ClassKey, amount};

/// Weight of a new reading in the smoothed slowdown.
const SMOOTHING: f64 = 0.5;

/// Maximum factor on the time below the release threshold before a throttle is released.
const MAX_BACKOFF: u32 = 16;

/// Number of hold times after a release within which a new slowdown is attributed to it.
const RELAPSE_HOLDS: u32 = 8;

/// Slowdown relative to the thresholds of the preset.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum PressureLevel {
    /// Below the release threshold.
    Low,
    /// Between the release and throttle thresholds: no step is taken.
    Moderate,
    /// At or above the throttle threshold.
    High,
    /// At or above the eviction threshold.
    Critical,
}

/// What the readings tell.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Evidence {
    /// The present state, or that there has been no urgent work.
    Current,
    /// Nothing yet about the effect of the last step.
    Awaited,
    /// Nothing, since the last one is too old: the urgent work has ended.
    Expired,
}

/// Latest reading of one urgent class.
#[derive(Debug, Clone, Copy)]
struct Reading {
    class: ClassKey,
    measured_at: Moment,
    slowdown: f64,
}

/// Slowdown of urgent work on one worker.
#[derive(Debug)]
pub(crate) struct Pressure {
    readings: Vec<Reading>,
    level: PressureLevel,
    evidence: Evidence,
    /// Start of the current unbroken stretch at [`PressureLevel::Low`], at or above `High`, and at
    /// or above `Critical`.
    low_since: Option<Moment>,
    high_since: Option<Moment>,
    critical_since: Option<Moment>,
    latest_reading: Moment,
    /// Time of the last step. Earlier readings don't show its effect.
    last_step: Moment,
    last_release: Option<Moment>,
    backoff: u32,
}

impl Pressure {
    pub(crate) fn new() -> Self {
        Self {
            readings: Vec::new(),
            level: PressureLevel::Moderate,
            evidence: Evidence::Current,
            low_since: None,
            high_since: None,
            critical_since: None,
            latest_reading: Moment::ZERO,
            last_step: Moment::ZERO,
            last_release: None,
            backoff: 1,
        }
    }

    /// Records a reading. Readings taken before the last step are ignored.
    pub(crate) fn observe(
        &mut self,
        class: ClassKey,
        measured_at: Moment,
        slowdown: f64,
        policy: &Eviction,
    ) {
        if measured_at < self.last_step || measured_at < self.latest_reading {
            return;
        }
        self.latest_reading = measured_at;
        self.evidence = Evidence::Current;
        self.smooth(class, measured_at, slowdown);
        let max_age = amount::millis(policy.hold_ms) * 4;
        self.readings
            .retain(|reading| measured_at.since(reading.measured_at) <= max_age);
        self.level = level_of(self.slowdown(), policy);
        let level = self.level;
        track_since(
            &mut self.low_since,
            level == PressureLevel::Low,
            measured_at,
        );
        track_since(
            &mut self.high_since,
            level >= PressureLevel::High,
            measured_at,
        );
        track_since(
            &mut self.critical_since,
            level >= PressureLevel::Critical,
            measured_at,
        );
    }

    /// Forgets the readings if none has been taken for so long that they tell nothing of the present.
    pub(crate) fn expire(&mut self, now: Moment) {
        if now.since(self.latest_reading.max(self.last_step)) > MAX_READING_AGE {
            self.clear(Evidence::Expired);
        }
    }

    /// Returns the level that has lasted for the hold time, times the backoff for `Low`; otherwise
    /// `Moderate`. Without urgent work, it is `Low`.
    pub(crate) fn sustained_level(&self, policy: &Eviction) -> PressureLevel {
        if self.evidence == Evidence::Expired {
            return PressureLevel::Low;
        }
        let hold = amount::millis(policy.hold_ms);
        let lasted = |since: Option<Moment>, hold: Duration| {
            since.is_some_and(|since| self.latest_reading.since(since) >= hold)
        };
        if lasted(self.critical_since, hold) {
            PressureLevel::Critical
        } else if lasted(self.high_since, hold) {
            PressureLevel::High
        } else if lasted(self.low_since, hold * self.backoff) {
            PressureLevel::Low
        } else {
            PressureLevel::Moderate
        }
    }

    /// Whether the slowdown is at or above the throttle threshold, or unknown since the last step.
    pub(crate) fn is_under_pressure(&self) -> bool {
        self.level >= PressureLevel::High || self.evidence == Evidence::Awaited
    }

    /// Returns the most slowed urgent class.
    pub(crate) fn worst(&self) -> Option<ClassKey> {
        let worst = self
            .readings
            .iter()
            .max_by(|a, b| a.slowdown.total_cmp(&b.slowdown));
        worst.map(|reading| reading.class)
    }

    /// Records a step against batch work.
    pub(crate) fn record_step(&mut self, now: Moment, policy: &Eviction) {
        let relapse_window = amount::millis(policy.hold_ms) * RELAPSE_HOLDS * self.backoff;
        if let Some(last_release) = self.last_release.take()
            && now.since(last_release) <= relapse_window
        {
            self.backoff = (self.backoff * 2).min(MAX_BACKOFF);
        }
        self.reset(now);
    }

    /// Records that a throttle was released.
    pub(crate) fn record_release(&mut self, now: Moment) {
        self.last_release = Some(now);
        if self.evidence != Evidence::Expired {
            self.reset(now);
        }
    }

    fn reset(&mut self, now: Moment) {
        self.last_step = now;
        self.clear(Evidence::Awaited);
    }

    fn clear(&mut self, evidence: Evidence) {
        self.evidence = evidence;
        self.readings.clear();
        self.level = PressureLevel::Moderate;
        self.low_since = None;
        self.high_since = None;
        self.critical_since = None;
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

    /// Returns the smoothed slowdown of the most slowed urgent class.
    pub(crate) fn slowdown(&self) -> f64 {
        let slowdowns = self.readings.iter().map(|reading| reading.slowdown);
        slowdowns.fold(0.0, f64::max)
    }
}

fn level_of(slowdown: f64, policy: &Eviction) -> PressureLevel {
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

/// Keeps the start of an unbroken stretch of `is_active`.
fn track_since(since: &mut Option<Moment>, is_active: bool, at: Moment) {
    if !is_active {
        *since = None;
    } else if since.is_none() {
        *since = Some(at);
    }
}
