//! Announcements and heartbeats that a sound agent never sends.

use agate_core::{ClassName, Host, Moment, Resources};
use agate_members::{AnnounceOutcome, Member, MemberStatus};
use agate_wire::message::{Capacity, Load, MemberInfo};
use rstest::rstest;

use super::support::{active, class, empty_view, heartbeat, join, member, ms, site};

fn classes(count: usize) -> Vec<ClassName> {
    vec![class(); count]
}

// Guards against pools with two entries of one member, which end the process when it leaves them.
#[rstest]
#[case::twice(classes(2))]
#[case::often(classes(500))]
#[case::apart(vec![class(), ClassName::new("other").expect("a valid name"), class()])]
fn a_class_announced_twice_must_not_corrupt_the_pools(#[case] classes: Vec<ClassName>) {
    let mut view = empty_view();
    let odd = MemberInfo {
        classes,
        ..member(1)
    };
    let key = join(&mut view, odd.clone(), Moment::ZERO);
    let sound = MemberInfo {
        classes: vec![class()],
        ..member(2)
    };
    join(&mut view, sound, Moment::ZERO);
    assert_eq!(active(&view), 2);
    view.announce(odd, ms(1));
    view.mark_leaving(key);
    assert_eq!(active(&view), 1);
    view.mark_lost(member(2).incarnation, ms(2));
    assert_eq!(active(&view), 0);
}

// Guards against an announcement that moves a sound member or changes its capacity.
#[rstest]
#[case::address(MemberInfo { address: member(2).address, ..member(1) })]
#[case::capacity(MemberInfo { capacity: Capacity::default(), ..member(1) })]
#[case::host(MemberInfo { host: Host::Worker, ..member(1) })]
#[case::site(MemberInfo { site: site("khomas", "b"), ..member(1) })]
#[case::classes(MemberInfo { classes: classes(1), ..member(1) })]
fn a_contradicting_announcement_must_not_change_a_member(#[case] odd: MemberInfo) {
    let mut view = empty_view();
    let key = join(&mut view, member(1), Moment::ZERO);
    let other = join(&mut view, member(2), Moment::ZERO);
    assert_eq!(
        view.announce(odd, ms(1)),
        AnnounceOutcome::Contradicted(key)
    );
    for (key, info) in [(key, member(1)), (other, member(2))] {
        assert_eq!(view.get(key).map(Member::info), Some(&info));
        assert_eq!(view.find_address(info.address), Some(key));
    }
    assert_eq!((active(&view), view.tombstone_count()), (2, 0));
}

// Guards against a sequence number that hides every later heartbeat of a sound agent.
#[rstest]
#[case::ahead(1_000)]
#[case::last(u64::MAX)]
fn an_odd_sequence_must_not_hide_later_heartbeats(#[case] sequence: u64) {
    let mut view = empty_view();
    let key = join(&mut view, member(1), Moment::ZERO);
    view.record_heartbeat(&heartbeat(1, 1), ms(1_000));
    view.record_heartbeat(&heartbeat(1, sequence), ms(1_500));
    for second in 2..=10 {
        view.record_heartbeat(&heartbeat(1, second), ms(second * 1_000));
        view.sweep(ms(second * 1_000));
        assert_eq!(
            view.get(key).map(Member::status),
            Some(MemberStatus::Active)
        );
    }
    assert_eq!(view.get(key).map(Member::last_heartbeat), Some(ms(10_000)));
}

// Guards against overflow in the totals of a pool.
#[test]
fn loads_and_capacities_at_the_limit_must_not_overflow() {
    let mut view = empty_view();
    let load = Load {
        running: u32::MAX,
        queued: u32::MAX,
        service_us: u64::MAX,
        held: Resources::new(u32::MAX, u32::MAX, u32::MAX),
    };
    for id in 1..=3 {
        let capacity = Capacity {
            slots: u32::MAX,
            connections: u32::MAX,
            resources: load.held,
        };
        let info = MemberInfo {
            capacity,
            ..member(id)
        };
        let key = join(&mut view, info, Moment::ZERO);
        view.update_load(key, load, ms(1));
    }
    assert_eq!(view.active_occupancy(Host::Backend).percent(), 200);
}
