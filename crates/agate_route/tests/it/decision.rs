//! Descriptions and preset sections of the decisions.

use agate_preset::Preset;
use agate_route::Decision;
use strum::IntoEnumIterator;

#[test]
fn each_decision_is_described_and_names_a_section_that_exists() {
    let sections: Vec<&str> = Preset::sections()
        .iter()
        .map(|section| section.name)
        .collect();
    for decision in Decision::iter() {
        assert!(decision.about().ends_with('.'), "{decision}");
        let section = decision.section();
        assert!(
            section.is_none_or(|name| sections.contains(&name)),
            "{decision}"
        );
    }
}
