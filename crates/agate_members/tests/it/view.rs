//! Joining, replacement, leaving and loss of members.

use super::support::{active, empty_view, heartbeat, join, member, ms};
use agate_core::{Host, Incarnation, Moment};
use agate_members::{AnnounceOutcome, MemberStatus};
use agate_wire::message::{Load, Verdict};

#[test]
fn a_member_is_found_by_incarnation_and_by_address() {
    let mut view = empty_view();
    let info = member(7);
    let key = join(&mut view, info.clone(), Moment::ZERO);
    assert_eq!(view.find(info.incarnation), Some(key));
    assert_eq!(view.find_address(info.address), Some(key));
    assert_eq!(view.announce(info, ms(1)), AnnounceOutcome::Known(key));
    assert_eq!(view.len(), 1);
}

#[test]
fn new_incarnation_at_the_same_address_permanently_replaces_the_old_one() {
    let mut view = empty_view();
    let old = member(7);
    let old_key = join(&mut view, old.clone(), Moment::ZERO);
    let mut new = old.clone();
    new.incarnation = Incarnation::new(99);
    let announced = view.announce(new.clone(), ms(1));
    let AnnounceOutcome::Replaced { key, old: gone } = announced else {
        panic!("not replaced: {announced:?}");
    };
    assert_eq!(gone, old.incarnation);
    assert!(view.get(old_key).is_none());
    assert_eq!(view.find_address(new.address), Some(key));
    assert_eq!(active(&view), 1);
    assert_eq!(view.announce(old, ms(2)), AnnounceOutcome::Gone);
}

#[test]
fn lost_incarnation_cannot_rejoin() {
    let mut view = empty_view();
    let info = member(7);
    join(&mut view, info.clone(), Moment::ZERO);
    view.mark_lost(info.incarnation, ms(1));
    assert_eq!(active(&view), 0);
    assert_eq!(
        view.record_heartbeat(&heartbeat(7, 1), ms(2)),
        Verdict::Lost
    );
    assert_eq!(view.announce(info, ms(2)), AnnounceOutcome::Gone);
    assert!(view.is_empty());
}

#[test]
fn unknown_incarnation_can_be_marked_lost() {
    let mut view = empty_view();
    view.mark_lost(Incarnation::new(7), Moment::ZERO);
    assert_eq!(view.announce(member(7), ms(1)), AnnounceOutcome::Gone);
}

#[test]
fn tombstones_expire_after_a_day() {
    let mut view = empty_view();
    view.mark_lost(Incarnation::new(7), Moment::ZERO);
    assert_eq!(view.tombstone_count(), 1);
    let day = 24 * 60 * 60 * 1_000;
    view.sweep(ms(day - 1));
    assert_eq!(view.tombstone_count(), 1);
    view.sweep(ms(day));
    assert_eq!(view.tombstone_count(), 0);
}

#[test]
fn out_of_order_heartbeat_is_ignored() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    let mut newer = heartbeat(7, 5);
    newer.load.running = 3;
    let mut older = heartbeat(7, 4);
    older.load.running = 8;
    view.record_heartbeat(&newer, ms(10));
    assert_eq!(view.record_heartbeat(&older, ms(20)), Verdict::Known);
    let member = view.get(key).unwrap();
    assert_eq!(member.load_sample().load.running, 3);
    assert_eq!(member.last_heartbeat(), ms(10));
}

#[test]
fn heartbeat_of_an_unknown_member_returns_unknown() {
    let mut view = empty_view();
    assert_eq!(
        view.record_heartbeat(&heartbeat(7, 1), ms(1)),
        Verdict::Unknown
    );
}

#[test]
fn leaving_member_gets_no_new_work() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    let mut leaving = heartbeat(7, 1);
    leaving.leaving = true;
    view.record_heartbeat(&leaving, ms(10));
    assert_eq!(active(&view), 0);
    view.record_heartbeat(&heartbeat(7, 2), ms(20));
    assert_eq!(view.get(key).unwrap().status(), MemberStatus::Leaving);
    view.restore(key);
    view.reinstate(key, ms(30));
    assert_eq!(active(&view), 0);
}

#[test]
fn an_ejected_member_gets_no_new_work_until_it_is_reinstated() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    view.eject(key);
    view.eject(key);
    assert_eq!(view.get(key).unwrap().status(), MemberStatus::Ejected);
    assert_eq!((active(&view), view.ejected_count()), (0, 1));
    view.reinstate(key, ms(1));
    assert_eq!((active(&view), view.ejected_count()), (1, 0));
}

#[test]
fn totals_follow_the_latest_loads() {
    let mut view = empty_view();
    let first = join(&mut view, member(1), Moment::ZERO);
    join(&mut view, member(2), Moment::ZERO);
    let load = Load {
        running: 4,
        queued: 2,
        ..Load::default()
    };
    view.update_load(first, load, ms(1));
    let totals = view.active_occupancy(Host::Backend);
    assert_eq!((totals.members, totals.slots, totals.busy), (2, 16, 6));
    assert_eq!(totals.percent(), 37);
    view.mark_leaving(first);
    let totals = view.active_occupancy(Host::Backend);
    assert_eq!((totals.members, totals.slots, totals.busy), (1, 8, 0));
    assert_eq!(view.site_summaries()[0].known, 2);
}
