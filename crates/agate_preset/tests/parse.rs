//! Parsing and validation of preset documents.

use agate_core::{ClassName, Urgency};
use agate_preset::{DayKind, Preset};
use proptest::prelude::*;
use rstest::rstest;

fn findings(json: &str) -> Vec<String> {
    let findings = Preset::parse(json).expect_err("the document is invalid");
    findings
        .as_slice()
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn missing_fields_have_default_values() {
    let preset = Preset::parse(r#"{"kind": "peak"}"#).expect("the document is valid");
    assert_eq!(
        preset,
        Preset {
            kind: DayKind::Peak,
            ..Preset::default()
        }
    );
}

#[test]
fn given_fields_replace_default_values() {
    let json = r#"{
        "kind": "ordinary",
        "routing": {"candidates": 5},
        "classes": {"rebalance": {"urgency": "batch"}},
        "teams": {"seats": {"millicores": 4000, "borrow": false}}
    }"#;
    let preset = Preset::parse(json).expect("the document is valid");
    assert_eq!(preset.routing.candidates, 5);
    let class: ClassName = "rebalance".parse().expect("the name is valid");
    assert_eq!(preset.class(&class).urgency, Urgency::Batch);
    let team = preset
        .teams
        .values()
        .next()
        .expect("the document has a team");
    assert_eq!((team.guaranteed.millicores, team.borrow), (4_000, false));
}

#[test]
fn every_problem_is_reported_with_its_place() {
    let json = r#"{
        "routing": {"candidates": 0, "candidate": 3},
        "weights": 7,
        "classes": {"Seat Check": {}, "quote": {"urgency": "soon", "repeatable": 1}},
        "eviction": {"release_percent": 200},
        "extra": null
    }"#;
    insta::assert_snapshot!(findings(json).join("\n"), @r#"
    kind: missing; expected one of ordinary, peak, maintenance
    routing.candidates: expected a whole number from 1 to 16, found 0
    routing.candidate: unknown field; remove it or correct its spelling
    weights: expected an object, found a number
    classes.Seat Check: a name holds only lower-case letters, digits and the characters "-", "_", "." and ":"
    classes.quote.urgency: expected one of urgent, batch, found "soon"
    classes.quote.repeatable: expected true or false, found 1
    extra: unknown field; remove it or correct its spelling
    eviction.release_percent: must be below eviction.throttle_percent
    "#);
}

#[rstest]
#[case::not_json("{", "document: not valid JSON")]
#[case::not_an_object("[]", "document: expected an object, found an array")]
#[case::no_weight(
    r#"{"kind": "peak", "weights": {"latency": 0, "throughput": 0, "evictions": 0}}"#,
    "weights: at least one weight must be above zero"
)]
#[case::suspicion_too_early(
    r#"{"kind": "peak", "membership": {"heartbeat_ms": 2000, "suspect_ms": 3000}}"#,
    "membership.suspect_ms: must be at least twice membership.heartbeat_ms"
)]
#[case::negative(
    r#"{"kind": "peak", "routing": {"candidates": -1}}"#,
    "routing.candidates: expected a whole number"
)]
#[case::fraction(
    r#"{"kind": "peak", "routing": {"candidates": 1.5}}"#,
    "routing.candidates: expected a whole number"
)]
fn invalid_document_is_reported_with_place_and_expectation(
    #[case] json: &str,
    #[case] expected: &str,
) {
    let found = findings(json);
    assert!(
        found.iter().any(|finding| finding.starts_with(expected)),
        "{found:?}"
    );
}

#[test]
fn oversized_document_is_refused_before_parsing() {
    let json = " ".repeat(agate_preset::MAX_PRESET_BYTES + 1);
    assert_eq!(
        findings(&json),
        ["document: a preset has at most 262144 bytes"]
    );
}

proptest! {
    #[test]
    fn parsing_arbitrary_text_never_panics(text in "\\PC{0,200}") {
        let _ = Preset::parse(&text);
    }

    #[test]
    fn every_number_within_its_range_is_accepted(section in 0usize..10, field in 0usize..8, per_mille in 0u64..=1_000) {
        let sections = Preset::sections();
        let section = &sections[section % sections.len()];
        let field = &section.fields[field % section.fields.len()];
        let (low, high) = (*field.range.start(), *field.range.end());
        let value = u64::from(low) + u64::from(high - low) * per_mille / 1_000;
        let json = format!(r#"{{"kind": "peak", "{}": {{"{}": {value}}}}}"#, section.name, field.name);
        if let Err(findings) = Preset::parse(&json) {
            // A number within its range can only fail a check between fields.
            prop_assert!(findings.as_slice().iter().all(|f| f.message.starts_with("must be")), "{findings}");
        }
    }
}
