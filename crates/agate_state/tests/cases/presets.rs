//! Presets are published whole, switched by compare-and-set and never revert to an older version.

use agate_core::Version;
use agate_records::PresetPublished;
use agate_state::{Effect, Event, RejectReason, StateLimits};

use crate::support::{TestLog, class, publish, resume, switch, withdraw};

fn attempts(log: &TestLog) -> u32 {
    let config = log.state.config();
    let in_force = config.preset.as_ref().expect("a preset is in force");
    in_force.preset.placement.attempts
}

#[test]
fn first_of_two_concurrent_switches_wins_and_the_other_is_rejected() {
    let mut log = TestLog::new();
    log.apply(publish("day", 2));
    log.apply(publish("peak", 3));
    let expected = Version::default();
    let first = log.apply(switch("peak", expected));
    let version = log.version();
    assert_eq!(
        first,
        Effect::Applied(vec![Event::PresetSwitched { version }])
    );
    let reason = RejectReason::NotInForce {
        name: "peak".to_owned(),
        version,
    };
    assert_eq!(log.apply(switch("day", expected)), Effect::Rejected(reason));
    assert_eq!(attempts(&log), 3);
}

#[test]
fn switching_away_and_back_invalidates_an_older_expected_version() {
    let mut log = TestLog::new();
    log.apply(publish("day", 2));
    log.apply(publish("peak", 3));
    log.apply(switch("day", Version::default()));
    let expected = log.version();
    log.apply(switch("peak", expected));
    log.apply(switch("day", log.version()));
    assert!(matches!(
        log.apply(switch("peak", expected)),
        Effect::Rejected(_)
    ));
    assert_eq!(attempts(&log), 2);
}

#[test]
fn republishing_does_not_change_the_preset_in_force() {
    let mut log = TestLog::new();
    log.apply(publish("day", 2));
    log.apply(switch("day", Version::default()));
    let in_force = log.state.config();
    log.apply(publish("day", 9));
    assert_eq!(log.state.config(), in_force);
    log.apply(switch("day", in_force.version));
    assert_eq!(attempts(&log), 9);
}

#[test]
fn invalid_document_in_the_log_is_rejected_with_its_findings() {
    let mut log = TestLog::new();
    let record = PresetPublished {
        json: r#"{"kind": "ordinary", "placement": {"attempts": 0, "colour": 1}}"#.to_owned(),
        ..publish("day", 1)
    };
    let Effect::Rejected(RejectReason::BadPreset(findings)) = log.apply(record) else {
        panic!("the document is invalid");
    };
    assert_eq!(findings.as_slice().len(), 2);
    let effect = log.apply(switch("day", Version::default()));
    assert_eq!(effect, Effect::Rejected(RejectReason::UnknownPreset));
    assert_eq!(log.state.config().preset, None);
}

#[test]
fn number_of_published_presets_is_limited() {
    let limits = StateLimits::builder().presets(1).build();
    let mut log = TestLog::with_limits(limits);
    log.apply(publish("day", 1));
    assert_eq!(
        log.apply(publish("peak", 1)),
        Effect::Rejected(RejectReason::TooManyPresets)
    );
    assert!(matches!(log.apply(publish("day", 2)), Effect::Applied(_)));
}

#[test]
fn the_history_lists_the_newest_switch_first() {
    let limits = StateLimits::builder().switches(2).build();
    let mut log = TestLog::with_limits(limits);
    log.apply(publish("day", 1));
    let mut expected = Version::default();
    for _ in 0..3 {
        log.apply(switch("day", expected));
        expected = log.version();
    }
    let versions: Vec<Version> = log.state.switches().map(|switch| switch.version).collect();
    assert_eq!(versions.len(), 2);
    assert_eq!(versions[0], expected);
}

#[test]
fn newer_peer_configuration_is_used_until_the_fold_passes_it() {
    let mut ahead = TestLog::new();
    ahead.apply(publish("day", 2));
    ahead.apply(switch("day", Version::default()));
    ahead.apply(withdraw(class("rebalance")));
    let config = ahead.state.config();

    let mut late = TestLog::new();
    assert!(late.state.adopt((*config).clone()));
    assert!(!late.state.adopt((*config).clone()));
    late.apply(publish("day", 2));
    late.apply(switch("day", Version::default()));
    assert_eq!(
        late.state.config(),
        config,
        "an older version must not come back"
    );
    late.apply(withdraw(class("rebalance")));
    late.apply(resume(class("rebalance")));
    assert_eq!(late.state.config().withdrawals, []);
}

#[test]
fn older_peer_configuration_is_not_adopted() {
    let mut log = TestLog::new();
    log.apply(withdraw(class("rebalance")));
    let old = log.state.config();
    log.apply(resume(class("rebalance")));
    assert!(!log.state.adopt((*old).clone()));
    assert_eq!(log.state.config().withdrawals, []);
}
