//! Failure detection of silent members.

use super::support::{active, empty_view, heartbeat, join, member, ms, site};
use agate_core::Moment;
use agate_members::{MemberKey, MemberStatus, MembershipChange, View};
use rstest::rstest;

/// Sweeps every 250 ms from `from` to `to` and collects the changes and their times.
fn sweep_between(view: &mut View, from: u64, to: u64) -> Vec<(u64, MembershipChange)> {
    let times = (from..=to).step_by(250);
    times
        .flat_map(|at| {
            view.sweep(ms(at))
                .into_iter()
                .map(move |change| (at, change))
        })
        .collect()
}

fn status(view: &View, key: MemberKey) -> MemberStatus {
    view.get(key).expect("the member is known").status()
}

#[rstest]
#[case("khomas", 3_000)]
#[case("erongo", 9_000)]
fn missing_heartbeats_make_a_member_suspect(#[case] region: &str, #[case] after: u64) {
    let mut view = empty_view();
    let mut info = member(7);
    info.site = site(region, "b");
    let key = join(&mut view, info, Moment::ZERO);
    let changes = sweep_between(&mut view, 0, 10_000);
    assert_eq!(changes, [(after, MembershipChange::Suspected(key))]);
    view.record_heartbeat(&heartbeat(7, 1), ms(10_000));
    assert_eq!(status(&view, key), MemberStatus::Active);
}

#[test]
fn silent_connection_is_condemned_while_heartbeats_arrive() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    let mut found = Vec::new();
    for tick in 1..=20 {
        let now = ms(tick * 250);
        view.record_heartbeat(&heartbeat(7, tick), now);
        view.record_ping(key, now);
        found.extend(
            view.sweep(now)
                .into_iter()
                .map(|change| (tick * 250, change)),
        );
    }
    assert_eq!(found, [(2_250, MembershipChange::Condemned(key))]);
    assert_eq!(active(&view), 0);
    view.restore(key);
    assert_eq!(status(&view, key), MemberStatus::Active);
}

#[test]
fn connection_that_answers_pings_is_not_condemned() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    for tick in 1..=40 {
        let now = ms(tick * 250);
        view.record_heartbeat(&heartbeat(7, tick), now);
        view.record_ping(key, now);
        assert_eq!(view.sweep(now), []);
        if tick % 4 == 0 {
            view.record_receive(key);
        }
    }
    assert_eq!(status(&view, key), MemberStatus::Active);
}

#[test]
fn a_restored_connection_can_be_condemned_again() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    view.condemn(key);
    view.restore(key);
    view.record_ping(key, ms(500));
    let changes = sweep_between(&mut view, 500, 2_750);
    assert_eq!(changes, [(2_500, MembershipChange::Condemned(key))]);
}

#[test]
fn member_silent_past_the_forget_timeout_is_removed_and_may_rejoin() {
    let mut view = empty_view();
    let info = member(7);
    let key = join(&mut view, info.clone(), Moment::ZERO);
    let changes = sweep_between(&mut view, 0, 60_000);
    let expected = [
        (3_000, MembershipChange::Suspected(key)),
        (60_000, MembershipChange::Forgotten(info.incarnation)),
    ];
    assert_eq!(changes, expected);
    assert!(view.is_empty());
    join(&mut view, info, ms(61_000));
    assert_eq!(active(&view), 1);
}

#[test]
fn silence_while_this_process_was_paused_does_not_count() {
    let mut view = empty_view();
    let key = join(&mut view, member(7), Moment::ZERO);
    view.record_ping(key, Moment::ZERO);
    view.sweep(Moment::ZERO);
    assert_eq!(view.sweep(ms(300_000)), []);
    assert_eq!(status(&view, key), MemberStatus::Active);
    let changes = sweep_between(&mut view, 300_250, 304_000);
    let expected = [
        (302_000, MembershipChange::Condemned(key)),
        (303_000, MembershipChange::Suspected(key)),
    ];
    assert_eq!(changes, expected);
}
