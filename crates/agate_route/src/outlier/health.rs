//! Health of one member.

use std::time::Duration;

use agate_core::Moment;

use crate::ewma::EwmaDuration;

/// Number of answers required before a member can be found slow.
const MIN_SAMPLES: u32 = 10;

/// Number of consecutive failures at which a member is ejected.
const FAILURE_LIMIT: u32 = 5;

/// Number of successful probes after which a member is reinstated.
const REQUIRED_PROBES: u32 = 3;

/// Maximum number of times that the ejection time doubles.
const MAX_DOUBLINGS: u32 = 6;

/// Multiple of the ejection time that a reinstated member must serve well until its earlier
/// ejections are forgotten.
const RESET_MULTIPLE: u32 = 10;

/// Cap on the latency of a single answer, in percent of the median.
const MAX_RATIO: f64 = 1_000.0;

/// Weight of a new sample in the moving average.
const EWMA_WEIGHT: f64 = 0.125;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Phase {
    #[default]
    Serving,
    /// Ejected until this time.
    Ejected(Moment),
    /// Probed since `since`, with `successes` successful probes so far.
    Probing {
        since: Moment,
        successes: u32,
        probe: ProbeState,
    },
}

/// Whether a probe is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum ProbeState {
    Idle,
    InFlight,
}

/// Effect of an answer or failure on a member's health.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Finding {
    NoChange,
    /// The member is slow or failing.
    Unhealthy,
    /// The member has answered enough probes well.
    Recovered,
}

/// Health of one member.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MemberHealth {
    pub(super) phase: Phase,
    /// Moving average of the latency, in percent of the median.
    latency_ratio: f64,
    samples: u32,
    failures: u32,
    ejections: u32,
    reinstated_at: Moment,
    /// Moving average of the latency.
    pub(super) latency: EwmaDuration,
}

impl MemberHealth {
    /// Records an answer whose latency was `ratio` percent of the median.
    pub(super) fn record_answer(&mut self, latency: Duration, ratio: f64, limit: u32) -> Finding {
        self.failures = 0;
        self.latency.add(latency);
        match &mut self.phase {
            Phase::Serving => self.assess_latency(ratio, limit),
            // The request was sent before the ejection.
            Phase::Ejected(_)
            | Phase::Probing {
                probe: ProbeState::Idle,
                ..
            } => Finding::NoChange,
            Phase::Probing { .. } if ratio >= f64::from(limit) => Finding::Unhealthy,
            Phase::Probing { successes, .. } => {
                *successes += 1;
                if *successes >= REQUIRED_PROBES {
                    Finding::Recovered
                } else {
                    Finding::NoChange
                }
            }
        }
    }

    /// Records that a probe is sent.
    pub(super) const fn probe_sent(&mut self) {
        if let Phase::Probing { probe, .. } = &mut self.phase {
            *probe = ProbeState::InFlight;
        }
    }

    /// Records that a probe has ended without a phase change. Returns whether one was in flight.
    pub(super) const fn probe_ended(&mut self) -> bool {
        match &mut self.phase {
            Phase::Probing { probe, .. } if matches!(probe, ProbeState::InFlight) => {
                *probe = ProbeState::Idle;
                true
            }
            _ => false,
        }
    }

    /// Records a failure.
    pub(super) fn record_failure(&mut self) -> Finding {
        self.failures = self.failures.saturating_add(1);
        match self.phase {
            Phase::Serving if self.failures >= FAILURE_LIMIT => Finding::Unhealthy,
            Phase::Probing {
                probe: ProbeState::InFlight,
                ..
            } => Finding::Unhealthy,
            Phase::Serving | Phase::Ejected(_) | Phase::Probing { .. } => Finding::NoChange,
        }
    }

    /// Ejects the member and returns when the ejection ends.
    pub(super) fn eject(&mut self, ejection_time: Duration, now: Moment) -> Moment {
        let served_well = now.since(self.reinstated_at) > ejection_time * RESET_MULTIPLE;
        if self.phase == Phase::Serving && served_well {
            self.ejections = 0;
        }
        let until = now + ejection_time * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections = self.ejections.saturating_add(1);
        self.phase = Phase::Ejected(until);
        until
    }

    /// Marks the member as reinstated and resets everything but its number of ejections.
    pub(super) fn mark_reinstated(&mut self, now: Moment) {
        *self = Self {
            ejections: self.ejections,
            reinstated_at: now,
            ..Self::default()
        };
    }

    fn assess_latency(&mut self, ratio: f64, limit: u32) -> Finding {
        let ratio = ratio.min(MAX_RATIO);
        self.samples = self.samples.saturating_add(1);
        self.latency_ratio = if self.samples == 1 {
            ratio
        } else {
            self.latency_ratio + (ratio - self.latency_ratio) * EWMA_WEIGHT
        };
        if self.samples >= MIN_SAMPLES && self.latency_ratio >= f64::from(limit) {
            Finding::Unhealthy
        } else {
            Finding::NoChange
        }
    }
}
