//! Ejection and reinstatement of slow or failing members.

use agate_core::Moment;
use agate_members::{MemberKey, MemberStatus, View};
use agate_preset::policy::Routing;
use agate_route::budget::Deadline;
use agate_route::choose::Request;
use agate_route::outlier::OutlierDetector;
use rstest::rstest;

use super::support::{at, class, join, load, ms, view};

const OWN_ZONE: (&str, &str) = ("khomas", "a");

struct Entry {
    view: View,
    detector: OutlierDetector,
    keys: Vec<MemberKey>,
}

impl Entry {
    fn new(members: u16) -> Self {
        let mut view = view();
        let keys = (1..=members)
            .map(|id| join(&mut view, id, OWN_ZONE, load(0)))
            .collect();
        Self {
            view,
            detector: OutlierDetector::new(Routing::default()),
            keys,
        }
    }

    fn answer(&mut self, index: usize, latency_ms: u64, now: Moment) {
        let (key, view) = (self.keys[index], &mut self.view);
        self.detector
            .record_answer(key, &class(), ms(latency_ms), view, now);
    }

    /// Records `rounds` answers of every active member: 100 ms for the first `slow` members, 20 ms
    /// for the others.
    fn serve(&mut self, rounds: u32, slow: usize, now: Moment) {
        for _ in 0..rounds {
            for index in 0..self.keys.len() {
                if self.standing(index) == MemberStatus::Active {
                    self.answer(index, if index < slow { 100 } else { 20 }, now);
                }
            }
        }
    }

    fn fail(&mut self, index: usize, times: u32, now: Moment) {
        for _ in 0..times {
            self.detector
                .record_failure(self.keys[index], &mut self.view, now);
        }
    }

    fn probe(&mut self, budget_ms: u64, now: Moment) -> Option<MemberKey> {
        let class = class();
        let request = Request {
            class: &class,
            deadline: Deadline::after(now, ms(budget_ms)),
            bytes: 0,
            tried: &[],
        };
        self.detector.pick_probe(&self.view, &request, now)
    }

    fn standing(&self, index: usize) -> MemberStatus {
        let member = self.view.get(self.keys[index]);
        member.expect("the member is known").status()
    }
}

#[test]
fn a_slow_member_is_ejected_and_the_others_are_not() {
    let mut entry = Entry::new(10);
    entry.serve(40, 1, at(1_000));
    assert_eq!(entry.standing(0), MemberStatus::Ejected);
    assert_eq!(entry.view.ejected_count(), 1);
}

#[test]
fn one_very_slow_answer_ejects_no_member() {
    let mut entry = Entry::new(10);
    entry.serve(40, 0, at(1_000));
    entry.answer(0, 60_000, at(1_000));
    assert_eq!(entry.standing(0), MemberStatus::Active);
}

#[rstest]
#[case(4, MemberStatus::Active)]
#[case(5, MemberStatus::Ejected)]
fn consecutive_failures_eject_a_member(#[case] failures: u32, #[case] expected: MemberStatus) {
    let mut entry = Entry::new(10);
    entry.fail(0, failures, at(1_000));
    assert_eq!(entry.standing(0), expected);
}

#[test]
fn answer_resets_the_count_of_consecutive_failures() {
    let mut entry = Entry::new(10);
    for _ in 0..10 {
        entry.fail(0, 4, at(1_000));
        entry.answer(0, 20, at(1_000));
    }
    assert_eq!(entry.standing(0), MemberStatus::Active);
}

#[test]
fn no_more_than_the_configured_share_is_ejected() {
    let mut entry = Entry::new(10);
    for index in 0..10 {
        entry.fail(index, 20, at(1_000));
    }
    assert_eq!(entry.view.ejected_count(), 3);
}

#[test]
fn ejected_member_is_reinstated_after_successful_probes() {
    let mut entry = Entry::new(10);
    entry.fail(0, 5, at(1_000));
    assert_eq!(entry.probe(1_000, at(5_999)), None);
    entry.serve(2, 0, at(5_999));
    for _ in 0..3 {
        assert_eq!(entry.standing(0), MemberStatus::Ejected);
        assert_eq!(entry.probe(1_000, at(6_000)), Some(entry.keys[0]));
        assert_eq!(entry.probe(1_000, at(6_000)), None, "one probe at a time");
        entry.answer(0, 20, at(6_020));
    }
    assert_eq!(entry.standing(0), MemberStatus::Active);
    assert_eq!(entry.view.ejected_count(), 0);
}

#[test]
fn each_failed_probe_doubles_the_ejection_time() {
    let mut entry = Entry::new(10);
    entry.fail(0, 5, at(0));
    let mut now = 5_000;
    for wait in [10_000, 20_000, 40_000] {
        assert_eq!(entry.probe(1_000, at(now)), Some(entry.keys[0]));
        entry.fail(0, 1, at(now));
        assert_eq!(entry.probe(1_000, at(now + wait - 1)), None);
        now += wait;
    }
}

#[test]
fn a_refused_probe_is_sent_again() {
    let mut entry = Entry::new(10);
    entry.fail(0, 5, at(0));
    assert_eq!(entry.probe(1_000, at(5_000)), Some(entry.keys[0]));
    entry.detector.record_refusal(entry.keys[0]);
    assert_eq!(entry.probe(1_000, at(5_001)), Some(entry.keys[0]));
}

#[test]
fn probe_needs_time_for_a_slow_answer_until_an_ejection_time_has_passed() {
    let mut entry = Entry::new(10);
    entry.serve(40, 1, at(0));
    assert_eq!(entry.standing(0), MemberStatus::Ejected);
    assert_eq!(entry.probe(150, at(5_000)), None);
    assert_eq!(entry.probe(150, at(9_999)), None);
    assert_eq!(entry.probe(150, at(10_000)), Some(entry.keys[0]));
}

#[test]
fn lost_member_is_not_probed() {
    let mut entry = Entry::new(10);
    entry.fail(0, 5, at(0));
    let incarnation = entry.view.get(entry.keys[0]).unwrap().info().incarnation;
    entry.view.mark_lost(incarnation, at(1_000));
    assert_eq!(entry.probe(1_000, at(5_000)), None);
    assert_eq!(entry.view.ejected_count(), 0);
}

#[test]
fn requests_sent_before_an_ejection_do_not_count_as_probes() {
    let mut entry = Entry::new(10);
    entry.serve(2, 0, at(0));
    entry.fail(0, 5, at(0));
    assert_eq!(entry.probe(1_000, at(5_000)), Some(entry.keys[0]));
    entry.answer(0, 20, at(5_001));
    for _ in 0..5 {
        entry.answer(0, 20, at(5_002));
        entry.detector.record_refusal(entry.keys[0]);
    }
    assert_eq!(entry.standing(0), MemberStatus::Ejected);
    assert_eq!(entry.probe(1_000, at(5_003)), Some(entry.keys[0]));
    assert_eq!(entry.probe(1_000, at(5_003)), None, "one probe at a time");
}

#[test]
fn reinstated_member_can_be_ejected_again() {
    let mut entry = Entry::new(10);
    entry.serve(2, 0, at(0));
    entry.fail(0, 5, at(0));
    for _ in 0..3 {
        entry.probe(1_000, at(5_000));
        entry.answer(0, 20, at(5_000));
    }
    assert_eq!(entry.standing(0), MemberStatus::Active);
    assert_eq!(entry.probe(1_000, at(60_000)), None);
    entry.fail(0, 5, at(60_000));
    assert_eq!(entry.standing(0), MemberStatus::Ejected);
}
