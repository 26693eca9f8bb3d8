//! Weighted sampling of candidates.

use std::collections::BTreeMap;
use std::time::Duration;

use super::support::{class, empty_view, join, member, ms, site, zone_query};
use agate_core::{ClassName, Moment};
use agate_members::{FillState, MemberKey, MemberStatus, Scope, View};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Returns how often each member is sampled, as a fraction of `rounds` samples of one member.
fn shares(view: &View, warmup: Duration, now: Moment, rounds: u32) -> BTreeMap<MemberKey, f64> {
    let class = class();
    let mut query = zone_query(&class);
    query.warmup = warmup;
    let mut rng = SmallRng::seed_from_u64(1);
    let mut counts = BTreeMap::new();
    for _ in 0..rounds {
        let mut out = Vec::new();
        view.sample(&query, 1, &mut out, now, &mut rng);
        *counts.entry(out[0]).or_insert(0.0) += 1.0 / f64::from(rounds);
    }
    counts
}

#[test]
fn members_are_sampled_in_proportion_to_slots() {
    let mut view = empty_view();
    let small = join(&mut view, member(1), Moment::ZERO);
    let mut info = member(2);
    info.capacity.slots *= 3;
    join(&mut view, info, Moment::ZERO);
    let shares = shares(&view, Duration::ZERO, ms(60_000), 10_000);
    assert!((shares[&small] - 0.25).abs() < 0.03, "{shares:?}");
}

#[test]
fn share_of_a_new_member_rises_over_the_warmup() {
    let mut view = empty_view();
    for id in 1..=9 {
        join(&mut view, member(id), Moment::ZERO);
    }
    let newcomer = join(&mut view, member(10), ms(60_000));
    let warmup = Duration::from_secs(10);
    let share = |at| shares(&view, warmup, ms(at), 10_000)[&newcomer];
    assert!(share(60_500) < 0.03);
    assert!((share(65_000) - 0.05).abs() < 0.02);
    assert!((share(70_000) - 0.1).abs() < 0.02);
}

#[test]
fn members_have_equal_weight_while_the_view_is_filling() {
    let mut view = empty_view();
    let warmup = Duration::from_secs(10);
    for id in 1..=4 {
        let mut info = member(id);
        info.capacity.slots *= u32::from(id);
        join(&mut view, info, ms(u64::from(id) * 400));
    }
    assert_eq!(view.fill_state(ms(1_600)), FillState::Filling);
    let filling = shares(&view, warmup, ms(1_600), 10_000);
    let even = filling.values().all(|share| (share - 0.25).abs() < 0.03);
    assert!(even && filling.len() == 4, "{filling:?}");
    let full = shares(&view, warmup, ms(2_500), 10_000);
    let largest = full.values().fold(0.0_f64, |a, b| a.max(*b));
    assert!((largest - 0.4).abs() < 0.03, "{full:?}");
}

#[test]
fn view_with_fewer_members_than_a_peer_is_filling() {
    let mut view = empty_view();
    join(&mut view, member(1), Moment::ZERO);
    assert_eq!(view.fill_state(ms(2_000)), FillState::Full);
    view.record_peer_size(10);
    assert_eq!(view.fill_state(ms(2_000)), FillState::Filling);
    assert_eq!(view.fill_state(ms(3_000)), FillState::Full);
}

#[test]
fn only_members_that_serve_the_class_are_sampled() {
    let mut view = empty_view();
    let any = join(&mut view, member(1), Moment::ZERO);
    let mut info = member(2);
    info.classes = vec![ClassName::new("quote").unwrap(), class()];
    let both = join(&mut view, info, Moment::ZERO);
    let mut info = member(3);
    info.classes = vec![ClassName::new("quote").unwrap()];
    join(&mut view, info, Moment::ZERO);
    let class = class();
    let mut out = Vec::new();
    let mut rng = SmallRng::seed_from_u64(1);
    view.sample(&zone_query(&class), 3, &mut out, ms(1), &mut rng);
    out.sort_unstable();
    assert_eq!(out, [any, both]);
}

/// A random change of a view.
#[derive(Debug, Clone, Copy)]
enum Step {
    Join(u16),
    Replace(u16),
    Leave(u16),
    Condemn(u16),
    Restore(u16),
    Eject(u16),
    Reinstate(u16),
    Lose(u16),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let id = 1_u16..12;
    prop_oneof![
        4 => id.clone().prop_map(Step::Join),
        1 => id.clone().prop_map(Step::Replace),
        1 => id.clone().prop_map(Step::Leave),
        1 => id.clone().prop_map(Step::Condemn),
        1 => id.clone().prop_map(Step::Restore),
        1 => id.clone().prop_map(Step::Eject),
        1 => id.clone().prop_map(Step::Reinstate),
        1 => id.prop_map(Step::Lose),
        1 => (1_u64..2_000).prop_map(Step::Advance),
    ]
}

fn apply(view: &mut View, step: Step, generation: u64, now: &mut Moment) {
    let find = |view: &View, id| view.find_address(member(id).address);
    match step {
        Step::Join(id) => {
            let mut info = member(id);
            info.classes = match id % 3 {
                0 => Vec::new(),
                1 => vec![class()],
                _ => vec![ClassName::new("quote").expect("the name is valid"), class()],
            };
            info.site = site("khomas", if id % 2 == 0 { "a" } else { "b" });
            view.announce(info, *now);
        }
        Step::Replace(id) => {
            let mut info = member(id);
            info.incarnation = agate_core::Incarnation::new(1_000 + generation);
            view.announce(info, *now);
        }
        Step::Advance(millis) => {
            *now = *now + Duration::from_millis(millis);
            view.sweep(*now);
        }
        Step::Leave(id) => drop(find(view, id).map(|key| view.mark_leaving(key))),
        Step::Condemn(id) => drop(find(view, id).map(|key| view.condemn(key))),
        Step::Restore(id) => drop(find(view, id).map(|key| view.restore(key))),
        Step::Eject(id) => drop(find(view, id).map(|key| view.eject(key))),
        Step::Reinstate(id) => drop(find(view, id).map(|key| view.reinstate(key, *now))),
        Step::Lose(id) => {
            if let Some(key) = find(view, id) {
                let incarnation = view
                    .get(key)
                    .expect("the member is known")
                    .info()
                    .incarnation;
                view.mark_lost(incarnation, *now);
            }
        }
    }
}

proptest! {
    #[test]
    fn exactly_the_active_members_are_sampled(
        steps in proptest::collection::vec(step(), 1..80),
        seed in any::<u64>(),
    ) {
        let mut view = empty_view();
        let mut now = Moment::ZERO;
        let class = class();
        let mut rng = SmallRng::seed_from_u64(seed);
        for (generation, step) in (0..).zip(steps) {
            apply(&mut view, step, generation, &mut now);
            for scope in [Scope::Zone, Scope::Region] {
                let mut query = zone_query(&class);
                query.scope = scope;
                let mut sampled = Vec::new();
                view.sample(&query, 100, &mut sampled, now, &mut rng);
                sampled.sort_unstable();
                let mut expected: Vec<MemberKey> = view
                    .iter()
                    .filter(|(_, m)| m.status() == MemberStatus::Active && m.scope() == scope)
                    .map(|(key, _)| key)
                    .collect();
                expected.sort_unstable();
                prop_assert_eq!(&sampled, &expected);
                let totals = view.occupancy(&query);
                prop_assert_eq!(totals.members, expected.len());
            }
        }
    }

    #[test]
    fn sample_returns_distinct_members_up_to_the_wanted_number(
        members in 1_u16..200,
        wanted in 1_usize..10,
        seed in any::<u64>(),
    ) {
        let mut view = empty_view();
        for id in 1..=members {
            join(&mut view, member(id), Moment::ZERO);
        }
        let class = class();
        let mut sampled = Vec::new();
        let mut rng = SmallRng::seed_from_u64(seed);
        view.sample(&zone_query(&class), wanted, &mut sampled, ms(60_000), &mut rng);
        let count = sampled.len();
        sampled.sort_unstable();
        sampled.dedup();
        prop_assert_eq!(sampled.len(), count);
        prop_assert!(count <= wanted);
        prop_assert!(count >= 1);
    }
}
