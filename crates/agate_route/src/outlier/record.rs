//! What is known of one member's answers.

use std::time::Duration;

use agate_core::Moment;

use crate::smoothed::Smoothed;

/// Answers needed before a member can be found slow.
const MIN_SAMPLES: u32 = 10;

/// Failures in a row at which a member is ejected.
const MAX_FAILURES: u32 = 5;

/// Good answers to probes after which a member is back.
const GOOD_PROBES: u32 = 3;

/// Doublings of the ejection time at most.
const MAX_DOUBLINGS: u32 = 6;

/// Ejection times of good service after which earlier ejections are forgotten.
const PAROLE: u32 = 10;

/// Most that one answer can count against a member, in percent of the median.
const MAX_RATIO: f64 = 1_000.0;

/// Share of the mean that each answer replaces.
const WEIGHT: f64 = 0.125;

#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) enum Phase {
    #[default]
    Serving,
    /// Out until the moment.
    Ejected(Moment),
    /// Ready for probes since the moment, with some answered well.
    Probing {
        since: Moment,
        good: u32,
        probe: Probe,
    },
}

/// Whether a probe is under way.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Probe {
    None,
    Sent,
}

/// What an answer means for a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Finding {
    Nothing,
    /// It serves too badly.
    Bad,
    /// It has answered enough probes well.
    Recovered,
}

/// One member's answers.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Record {
    pub(super) phase: Phase,
    /// Smoothed latency in percent of the median.
    ratio: f64,
    samples: u32,
    failures: u32,
    repeats: u32,
    back: Moment,
    /// Smoothed latency.
    pub(super) latency: Smoothed,
}

impl Record {
    /// Takes an answer whose latency was `ratio` percent of the median.
    pub(super) fn answered(&mut self, latency: Duration, ratio: f64, limit: u32) -> Finding {
        self.failures = 0;
        self.latency.add(latency);
        match &mut self.phase {
            Phase::Serving => self.judge(ratio, limit),
            // Sent before the ejection.
            Phase::Ejected(_)
            | Phase::Probing {
                probe: Probe::None, ..
            } => Finding::Nothing,
            Phase::Probing { .. } if ratio >= f64::from(limit) => Finding::Bad,
            Phase::Probing { good, .. } => {
                *good += 1;
                if *good >= GOOD_PROBES {
                    Finding::Recovered
                } else {
                    Finding::Nothing
                }
            }
        }
    }

    /// Notes that a probe is sent.
    pub(super) const fn probe_sent(&mut self) {
        if let Phase::Probing { probe, .. } = &mut self.phase {
            *probe = Probe::Sent;
        }
    }

    /// Notes that a probe has ended without changing the phase; tells whether one was under way.
    pub(super) const fn probe_ended(&mut self) -> bool {
        match &mut self.phase {
            Phase::Probing { probe, .. } if matches!(probe, Probe::Sent) => {
                *probe = Probe::None;
                true
            }
            _ => false,
        }
    }

    /// Takes a failure.
    pub(super) fn failed(&mut self) -> Finding {
        self.failures = self.failures.saturating_add(1);
        match self.phase {
            Phase::Serving if self.failures >= MAX_FAILURES => Finding::Bad,
            Phase::Probing {
                probe: Probe::Sent, ..
            } => Finding::Bad,
            Phase::Serving | Phase::Ejected(_) | Phase::Probing { .. } => Finding::Nothing,
        }
    }

    /// Ejects the member and returns until when.
    pub(super) fn eject(&mut self, ejection: Duration, now: Moment) -> Moment {
        let served_well = now.since(self.back) > ejection * PAROLE;
        if self.phase == Phase::Serving && served_well {
            self.repeats = 0;
        }
        let until = now + ejection * 2_u32.pow(self.repeats.min(MAX_DOUBLINGS));
        self.repeats = self.repeats.saturating_add(1);
        self.phase = Phase::Ejected(until);
        until
    }

    /// Takes the member back; what came before no longer counts, the ejections aside.
    pub(super) fn take_back(&mut self, now: Moment) {
        *self = Self {
            repeats: self.repeats,
            back: now,
            ..Self::default()
        };
    }

    fn judge(&mut self, ratio: f64, limit: u32) -> Finding {
        let ratio = ratio.min(MAX_RATIO);
        self.samples = self.samples.saturating_add(1);
        self.ratio = if self.samples == 1 {
            ratio
        } else {
            self.ratio + (ratio - self.ratio) * WEIGHT
        };
        if self.samples >= MIN_SAMPLES && self.ratio >= f64::from(limit) {
            Finding::Bad
        } else {
            Finding::Nothing
        }
    }
}
