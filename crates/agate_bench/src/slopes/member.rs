//! Members, their heartbeats and their configuration.

use agate_core::names::NameError;
use agate_core::{
    Host, Incarnation, JobId, Offset, Position, Resources, RunId, Site, TaskId, Version,
};
use agate_preset::{Preset, TeamQuota};
use agate_wire::message::{
    Capacity, ConfigState, EntryInfo, Heartbeat, Load, MemberInfo, PresetInForce, RunStatus,
    Selector, StopMode, UrgentSample, UsageSample, Withdrawal,
};

/// Multiplier that spreads small numbers over the whole range, like random ids.
const ID_MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;
/// Availability zones at large scale.
const ZONES: u64 = 21;
/// Log offset after a year of 300 appends per second.
const LOG_OFFSET: u64 = 9_460_800_000;

pub(super) fn name<T: TryFrom<String, Error = NameError>>(text: impl Into<String>) -> T {
    T::try_from(text.into()).expect("a valid name")
}

pub(super) const fn id(number: u64) -> u64 {
    number.wrapping_mul(ID_MULTIPLIER)
}

pub(super) const fn run(number: u64) -> RunId {
    let task = TaskId {
        job: JobId(id(number)),
        index: 12,
    };
    RunId { task, epoch: 1 }
}

fn site(number: u64) -> Site {
    let zone = number % ZONES;
    Site {
        region: name(format!("region-{}", zone / 2)),
        zone: name(format!("zone-{zone}")),
    }
}

/// Returns a member on a worker.
pub(super) fn member(number: u64) -> MemberInfo {
    MemberInfo {
        incarnation: Incarnation::new(id(number)),
        host: Host::Worker,
        address: ([10, 0, 0, 0], u16::try_from(number).unwrap_or(u16::MAX)).into(),
        site: site(number),
        capacity: Capacity {
            slots: 0,
            connections: 0,
            resources: Resources::new(16_000, 61_440, 2),
        },
        classes: Vec::new(),
    }
}

/// Returns entries as sent in heartbeats and acknowledgements.
pub(super) fn entries(count: u64) -> Vec<EntryInfo> {
    let entry = |number| EntryInfo {
        incarnation: Incarnation::new(id(number)),
        address: ([10, 0, 0, 1], 7_420).into(),
        site: site(number),
    };
    (1..=count).map(entry).collect()
}

/// Returns a heartbeat of a member that holds `runs` runs, each with a new usage sample, and knows
/// one entry.
pub(super) fn heartbeat(number: u64, runs: u64) -> Heartbeat {
    let used = Resources::new(870, 1_900, 0);
    let usage = |number| UsageSample {
        run: run(number),
        class: name("rebalance"),
        age_ms: 2_150,
        used,
    };
    let status = |number| RunStatus {
        run: run(number),
        step: None,
    };
    let urgent = UrgentSample {
        class: name("seat-check"),
        age_ms: 2_150,
        slowdown_percent: 112,
        load_percent: 40,
    };
    Heartbeat {
        incarnation: Incarnation::new(id(number)),
        sequence: 86_400,
        leaving: false,
        load: Load {
            running: 7,
            queued: 2,
            service_us: 20_150,
            held: used,
        },
        config: version(),
        runs: (1..=runs).map(status).collect(),
        usage: (1..=runs).map(usage).collect(),
        urgent: vec![urgent],
        entries: entries(1),
    }
}

/// Returns a configuration with the quotas of `teams` teams and `withdrawals` withdrawals in force.
pub(super) fn config(teams: u64, withdrawals: u64) -> ConfigState {
    let quota = TeamQuota {
        guaranteed: Resources::new(1_600_000, 6_144_000, 480),
        borrow: true,
    };
    let teams = (0..teams).map(|number| (name(format!("team-{number}")), quota));
    let withdrawal = |number| Withdrawal {
        selector: Selector::Tag(name(format!("season:{}", 1_000 + number))),
        mode: StopMode::Checkpoint,
        version: version(),
    };
    let preset = Preset {
        teams: teams.collect(),
        ..Preset::default()
    };
    ConfigState {
        version: version(),
        preset: Some(PresetInForce {
            name: "season".to_owned(),
            version: version(),
            preset,
        }),
        withdrawals: (0..withdrawals).map(withdrawal).collect(),
    }
}

/// Returns a version as after a year of appends.
pub(super) const fn version() -> Version {
    Version(Position::new(Offset(LOG_OFFSET), 17))
}
