//! Bindings of idempotency keys.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Key, Offset, Position};
use agate_records::KeyBound;
use agate_state::{KeyBindings, KeyEffect};
use rstest::rstest;

use crate::support::{A, B};

const WINDOW: Duration = Duration::from_mins(15);
const NOW_MS: u64 = 10_000_000;

fn key(made_ms: u64, id: u8) -> Key {
    Key::from_parts(made_ms, [id; 10])
}

fn bound(key: Key, incarnation: Incarnation) -> KeyBound {
    KeyBound {
        key,
        incarnation,
        address: SocketAddr::from(([127, 0, 0, 1], 7000)),
    }
}

fn position(offset: u64) -> Position {
    Position::new(Offset(offset), 0)
}

#[test]
fn the_first_binding_in_log_order_wins() {
    let mut bindings = KeyBindings::new(WINDOW);
    let key = key(NOW_MS, 1);
    let first = bindings.apply(position(1), &bound(key, A), NOW_MS);
    assert_eq!(first, KeyEffect::Bound);
    let KeyEffect::AlreadyBound(holder) = bindings.apply(position(2), &bound(key, B), NOW_MS)
    else {
        panic!("the key is bound");
    };
    assert_eq!((holder.incarnation, holder.position), (A, position(1)));
    assert_eq!(bindings.get(key), Some(holder));
}

#[rstest]
#[case::young(NOW_MS - 1_000, true)]
#[case::at_the_end_of_the_window(NOW_MS - 900_000, true)]
#[case::within_the_skew(NOW_MS - 960_000, true)]
#[case::past_window_and_skew(NOW_MS - 960_001, false)]
#[case::from_the_future(NOW_MS + 60_001, false)]
fn key_is_bound_only_within_the_window_plus_clock_skew(#[case] made_ms: u64, #[case] held: bool) {
    let mut bindings = KeyBindings::new(WINDOW);
    let effect = bindings.apply(position(1), &bound(key(made_ms, 1), A), NOW_MS);
    assert_eq!(effect == KeyEffect::Bound, held);
}

#[test]
fn pruning_removes_only_keys_past_the_window() {
    let mut bindings = KeyBindings::new(WINDOW);
    for second in 0..10 {
        let key = key(NOW_MS + second * 1_000, 1);
        bindings.apply(position(second), &bound(key, A), NOW_MS);
    }
    bindings.prune(NOW_MS + 960_000 + 4_000);
    assert_eq!(bindings.len(), 6);
    bindings.prune(u64::MAX);
    assert!(bindings.is_empty());
}
