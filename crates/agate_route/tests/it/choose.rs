//! Choice of a backend server by an entry.

use std::collections::BTreeMap;

use agate_core::Moment;
use agate_members::{MemberKey, Scope, View};
use agate_preset::policy::{Link, Routing};
use agate_route::budget::Deadline;
use agate_route::choose::{Choice, Chooser, RefusalReason, Request};
use agate_route::outlier::OutlierDetector;
use rand::rngs::SmallRng;
use rstest::rstest;

use super::support::{SLOTS, at, class, join, join_at, load, ms, rng, served_in, view};

/// Time of most choices, long after the view was created.
const NOW: Moment = Moment::from_millis(60_000);

const OWN_ZONE: (&str, &str) = ("khomas", "a");
const NEXT_ZONE: (&str, &str) = ("khomas", "b");
const OTHER_REGION: (&str, &str) = ("erongo", "c");

struct Entry {
    view: View,
    chooser: Chooser,
    detector: OutlierDetector,
    rng: SmallRng,
}

impl Entry {
    fn new() -> Self {
        Self::with_link(Link::default())
    }

    fn with_link(link: Link) -> Self {
        let routing = Routing::default();
        Self {
            view: view(),
            chooser: Chooser::new(routing, link, Moment::ZERO),
            detector: OutlierDetector::new(routing),
            rng: rng(),
        }
    }

    fn choose(&mut self, budget_ms: u64, tried: &[MemberKey], now: Moment) -> Choice {
        let class = class();
        let request = Request {
            class: &class,
            deadline: Deadline::after(now, ms(budget_ms)),
            bytes: 1_000,
            tried,
        };
        let (view, detector) = (&self.view, &mut self.detector);
        self.chooser
            .choose(&request, view, detector, now, &mut self.rng)
    }

    /// Chooses and sends `count` times. Returns the number of requests per member.
    fn send(&mut self, count: u32, now: Moment) -> BTreeMap<MemberKey, u32> {
        let mut sent = BTreeMap::new();
        for _ in 0..count {
            if let Choice::Send { key, .. } = self.choose(1_000, &[], now) {
                self.chooser.record_sent(key, 1_000, &self.view, now);
                *sent.entry(key).or_insert(0) += 1;
            }
        }
        sent
    }
}

fn reason(choice: Choice) -> RefusalReason {
    match choice {
        Choice::Refuse {
            reason,
            retry_after,
        } => {
            assert!(retry_after >= ms(100));
            reason
        }
        other => panic!("not refused: {other:?}"),
    }
}

#[rstest]
#[case(0, Scope::Zone)]
#[case(6, Scope::Zone)]
#[case(8, Scope::Region)]
fn own_zone_is_preferred_until_it_is_full(#[case] running: u32, #[case] expected: Scope) {
    let mut entry = Entry::new();
    for id in 1..=3 {
        join(&mut entry.view, id, OWN_ZONE, load(running));
    }
    for id in 4..=6 {
        join(&mut entry.view, id, NEXT_ZONE, load(0));
    }
    let Choice::Send { scope, .. } = entry.choose(1_000, &[], NOW) else {
        panic!("no member was chosen");
    };
    assert_eq!(scope, expected);
}

#[rstest]
#[case::enough_time(1_000, 1_000_000, Ok(Scope::Remote))]
#[case::no_time_for_the_delay(20, 1_000_000, Err(RefusalReason::NoMember))]
#[case::no_bytes_left(1_000, 500, Err(RefusalReason::Link))]
fn another_region_is_chosen_only_with_enough_time_and_link_budget(
    #[case] budget_ms: u64,
    #[case] burst_bytes: u32,
    #[case] expected: Result<Scope, RefusalReason>,
) {
    let mut entry = Entry::with_link(Link {
        rate_bytes: 100,
        burst_bytes,
    });
    join(&mut entry.view, 1, OTHER_REGION, load(0));
    let found = match entry.choose(budget_ms, &[], NOW) {
        Choice::Send { scope, .. } => Ok(scope),
        Choice::Refuse { reason, .. } => Err(reason),
        Choice::Probe(_) => panic!("no member is ejected"),
    };
    assert_eq!(found, expected);
}

#[test]
fn requests_to_another_region_use_up_the_link_budget() {
    let mut entry = Entry::with_link(Link {
        rate_bytes: 0,
        burst_bytes: 3_000,
    });
    join(&mut entry.view, 1, OTHER_REGION, load(0));
    let sent = entry.send(10, NOW);
    assert_eq!(sent.values().sum::<u32>(), 3);
    assert_eq!(reason(entry.choose(1_000, &[], NOW)), RefusalReason::Link);
}

#[test]
fn own_region_is_preferred_if_it_can_answer_in_time() {
    let mut entry = Entry::new();
    join(&mut entry.view, 1, OWN_ZONE, load(8));
    join(&mut entry.view, 2, OTHER_REGION, load(0));
    assert!(matches!(
        entry.choose(1_000, &[], NOW),
        Choice::Send {
            scope: Scope::Zone,
            ..
        }
    ));
}

#[test]
fn leaving_condemned_and_ejected_members_are_never_chosen() {
    let mut entry = Entry::new();
    let keys: Vec<MemberKey> = (1..=4)
        .map(|id| join(&mut entry.view, id, OWN_ZONE, load(0)))
        .collect();
    entry.view.mark_leaving(keys[0]);
    entry.view.condemn(keys[1]);
    entry.view.eject(keys[2]);
    let sent = entry.send(8, NOW);
    assert_eq!(sent.keys().collect::<Vec<_>>(), [&keys[3]]);
    entry.view.mark_leaving(keys[3]);
    assert_eq!(
        reason(entry.choose(1_000, &[], NOW)),
        RefusalReason::NoMember
    );
}

#[test]
fn a_member_that_was_tried_is_not_chosen_again() {
    let mut entry = Entry::new();
    let first = join(&mut entry.view, 1, OWN_ZONE, load(0));
    let second = join(&mut entry.view, 2, OWN_ZONE, load(8));
    let choice = entry.choose(1_000, &[first], NOW);
    assert!(matches!(choice, Choice::Send { key, .. } if key == second));
    let choice = entry.choose(1_000, &[first, second], NOW);
    assert_eq!(reason(choice), RefusalReason::Busy);
}

#[test]
fn slow_member_is_chosen_only_when_the_others_are_full() {
    let mut entry = Entry::new();
    let slow = join(&mut entry.view, 1, OWN_ZONE, served_in(0, 100));
    for id in 2..=3 {
        join(&mut entry.view, id, OWN_ZONE, load(0));
    }
    let sent = entry.send(2 * SLOTS, NOW);
    assert_eq!(sent.get(&slow), None);
}

#[test]
fn requests_sent_since_a_load_reading_count_as_load() {
    let mut entry = Entry::new();
    for id in 1..=3 {
        join(&mut entry.view, id, OWN_ZONE, load(0));
    }
    let sent = entry.send(3 * SLOTS, NOW);
    assert!(sent.values().all(|&count| count == SLOTS), "{sent:?}");
}

#[test]
fn old_load_reading_is_drawn_towards_the_mean() {
    let mut entry = Entry::new();
    let later = at(70_000);
    let stale = join(&mut entry.view, 1, OWN_ZONE, load(8));
    for id in 2..=3 {
        let key = join(&mut entry.view, id, OWN_ZONE, load(4));
        entry.view.update_load(key, load(4), later);
    }
    let sent = entry.send(8, later);
    assert!(sent.contains_key(&stale), "{sent:?}");
}

#[test]
fn a_filling_view_gives_no_member_more_than_its_slots() {
    let mut entry = Entry::new();
    for id in 1..=2 {
        join(&mut entry.view, id, OWN_ZONE, load(0));
    }
    let sent = entry.send(100, at(500));
    assert_eq!(sent.values().sum::<u32>(), 2 * SLOTS);
    assert_eq!(
        reason(entry.choose(1_000, &[], at(500))),
        RefusalReason::Busy
    );
}

#[test]
fn warming_up_member_gets_few_requests_even_among_few_members() {
    let mut entry = Entry::new();
    join(&mut entry.view, 1, OWN_ZONE, load(7));
    join(&mut entry.view, 2, OWN_ZONE, load(7));
    let joined = join_at(&mut entry.view, 3, OWN_ZONE, load(0), NOW);
    let sent = entry.send(6, at(60_500));
    assert_eq!(sent[&joined], 1);
}

#[test]
fn a_request_that_no_member_can_answer_in_time_is_refused_at_once() {
    let mut entry = Entry::new();
    join(&mut entry.view, 1, OWN_ZONE, load(0));
    let sent = entry.send(100, NOW);
    assert_eq!(sent.values().sum::<u32>(), 100);
    assert_eq!(reason(entry.choose(50, &[], NOW)), RefusalReason::Late);
}
