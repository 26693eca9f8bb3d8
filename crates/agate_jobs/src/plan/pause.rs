//! Steps of the leader that place nothing at all.

use std::time::Duration;

use agate_core::Moment;
use strum::Display;

/// Duration from which on a pause is reported.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Why a step of the leader places nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Pause {
    /// The leader's own reads of the log are behind.
    LogUnread,
    /// The newest heartbeat of the leader was recorded too long ago.
    HeartbeatOld,
    /// The first heartbeat of the leader has not been recorded.
    HeartbeatUnrecorded,
    /// The requests about zones have not been read.
    ZonesUnread,
    /// Too many records are in flight.
    RecordsInFlight,
}

/// How long nothing has been placed.
#[derive(Debug, Default)]
pub struct Pauses {
    since: Option<Moment>,
    reported_at: Option<Moment>,
}

impl Pauses {
    /// Notes whether a step places nothing. Returns the reason and the duration of the pause if it is due
    /// for a report.
    pub fn update(&mut self, pause: Option<Pause>, now: Moment) -> Option<(Pause, Duration)> {
        let Some(pause) = pause else {
            self.since = None;
            return None;
        };
        let lasted = now.since(*self.since.get_or_insert(now));
        let recent = |at: Moment| now.since(at) < REPORT_PERIOD;
        if lasted < REPORT_AFTER || self.reported_at.is_some_and(recent) {
            return None;
        }
        self.reported_at = Some(now);
        Some((pause, lasted))
    }
}
