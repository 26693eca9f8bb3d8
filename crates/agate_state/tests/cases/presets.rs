//! Presets: published whole, switched by compare-and-set, never reverting.

use agate_core::Version;
use agate_records::PresetPublished;
use agate_state::{Effect, Event, RejectReason, StateLimits};

use crate::support::{Folded, class, publish, resume, switch, withdraw};

fn attempts(log: &Folded) -> u32 {
    let config = log.state.config();
    let in_force = config.preset.as_ref().expect("a preset is in force");
    in_force.preset.placement.attempts
}

#[test]
fn the_first_of_two_racing_switches_wins_and_the_loser_is_told() {
    let mut log = Folded::new();
    log.apply(publish("day", 2));
    log.apply(publish("peak", 3));
    let seen = Version::default();
    let first = log.apply(switch("peak", seen));
    let version = log.version();
    assert_eq!(
        first,
        Effect::Applied(vec![Event::PresetSwitched { version }])
    );
    let reason = RejectReason::NotInForce {
        name: "peak".to_owned(),
        version,
    };
    assert_eq!(log.apply(switch("day", seen)), Effect::Rejected(reason));
    assert_eq!(attempts(&log), 3);
}

#[test]
fn a_switch_to_the_same_preset_and_back_is_seen_as_a_change() {
    let mut log = Folded::new();
    log.apply(publish("day", 2));
    log.apply(publish("peak", 3));
    log.apply(switch("day", Version::default()));
    let seen = log.version();
    log.apply(switch("peak", seen));
    log.apply(switch("day", log.version()));
    assert!(matches!(
        log.apply(switch("peak", seen)),
        Effect::Rejected(_)
    ));
    assert_eq!(attempts(&log), 2);
}

#[test]
fn publishing_anew_does_not_change_what_is_in_force() {
    let mut log = Folded::new();
    log.apply(publish("day", 2));
    log.apply(switch("day", Version::default()));
    let in_force = log.state.config();
    log.apply(publish("day", 9));
    assert_eq!(log.state.config(), in_force);
    log.apply(switch("day", in_force.version));
    assert_eq!(attempts(&log), 9);
}

#[test]
fn an_invalid_document_in_the_log_is_void_with_its_findings() {
    let mut log = Folded::new();
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
fn names_of_presets_are_bounded() {
    let limits = StateLimits::builder().presets(1).build();
    let mut log = Folded::with_limits(limits);
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
    let mut log = Folded::with_limits(limits);
    log.apply(publish("day", 1));
    let mut seen = Version::default();
    for _ in 0..3 {
        log.apply(switch("day", seen));
        seen = log.version();
    }
    let versions: Vec<Version> = log.state.switches().map(|switch| switch.version).collect();
    assert_eq!(versions.len(), 2);
    assert_eq!(versions[0], seen);
}

#[test]
fn a_newer_configuration_of_a_peer_is_shown_until_the_fold_overtakes_it() {
    let mut ahead = Folded::new();
    ahead.apply(publish("day", 2));
    ahead.apply(switch("day", Version::default()));
    ahead.apply(withdraw(class("rebalance")));
    let config = ahead.state.config();

    let mut late = Folded::new();
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
fn an_older_configuration_of_a_peer_is_not_taken_over() {
    let mut log = Folded::new();
    log.apply(withdraw(class("rebalance")));
    let old = log.state.config();
    log.apply(resume(class("rebalance")));
    assert!(!log.state.adopt((*old).clone()));
    assert_eq!(log.state.config().withdrawals, []);
}
