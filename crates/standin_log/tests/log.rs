//! Offsets, retention and the append rate limit of the log.

use std::time::Duration;

use agate_core::{Moment, Offset};
use bytes::Bytes;
use rstest::rstest;
use standin_log::{AppendError, Limits, Log};

fn log(retention_s: u64, appends_per_second: u32) -> Log {
    Log::new(Limits {
        retention: Duration::from_secs(retention_s),
        appends_per_second,
    })
}

fn filled() -> Log {
    let mut log = log(10, 1_000);
    for second in 1..=5 {
        let now = Moment::from_millis(second * 1_000);
        log.append("main", Bytes::from(vec![b'x'; 10]), now)
            .expect("within the limit");
    }
    log
}

#[rstest]
#[case::from_the_start(0, 1_000, 5_000, 1, vec![1, 2, 3, 4, 5])]
#[case::from_the_middle(3, 1_000, 5_000, 1, vec![3, 4, 5])]
#[case::past_the_end(6, 1_000, 5_000, 1, vec![])]
#[case::at_least_one(2, 1, 5_000, 1, vec![2])]
#[case::as_many_as_fit(1, 29, 5_000, 1, vec![1, 2])]
#[case::oldest_expired(1, 1_000, 12_001, 3, vec![3, 4, 5])]
#[case::all_expired(1, 1_000, 60_000, 6, vec![])]
fn read_returns_retained_appends(
    #[case] from: u64,
    #[case] max_bytes: usize,
    #[case] now_ms: u64,
    #[case] earliest: u64,
    #[case] offsets: Vec<u64>,
) {
    let page = filled().read("main", Offset(from), max_bytes, Moment::from_millis(now_ms));
    let read: Vec<u64> = page.entries.iter().map(|entry| entry.offset.0).collect();
    assert_eq!(page.earliest, Offset(earliest));
    assert_eq!(page.end, Offset(5));
    assert_eq!(read, offsets);
}

#[test]
fn offsets_continue_after_all_appends_expire() {
    let mut log = filled();
    log.read("main", Offset(1), 1, Moment::from_millis(60_000));
    let offset = log.append("main", Bytes::new(), Moment::from_millis(60_001));
    assert_eq!(offset, Ok(Offset(6)));
}

#[test]
fn streams_have_separate_offsets() {
    let mut log = filled();
    let offset = log.append("keys", Bytes::new(), Moment::from_millis(6_000));
    assert_eq!(offset, Ok(Offset(1)));
}

#[test]
fn append_over_the_limit_returns_the_wait() {
    let mut log = log(10, 100);
    let now = Moment::from_millis(5_000);
    let accepted = (0..150)
        .filter(|_| log.append("main", Bytes::new(), now).is_ok())
        .count();
    assert_eq!(accepted, 100);
    let Err(AppendError::OverLimit { wait }) = log.append("main", Bytes::new(), now) else {
        panic!("an append over the limit was accepted");
    };
    assert_eq!(wait, Duration::from_millis(10));
    let offset = log.append("main", Bytes::new(), now + wait);
    assert_eq!(offset, Ok(Offset(101)));
}
