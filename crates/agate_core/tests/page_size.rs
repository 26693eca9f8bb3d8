//! Sizes of pages.

use std::time::Duration;

use agate_core::{PageResult, PageSize};
use rstest::rstest;

const KIB: usize = 1_024;

const QUICK: PageResult = PageResult::Full(Duration::from_millis(50));
const SLOW: PageResult = PageResult::Full(Duration::from_millis(201));

/// Readers that kept requesting the same large page after a timeout filled a shared link for good.
#[rstest]
#[case::first(&[], 256)]
#[case::timed_out(&[PageResult::TimedOut], 128)]
#[case::floor(&[PageResult::TimedOut; 9], 32)]
#[case::quick(&[QUICK], 320)]
#[case::ceiling(&[QUICK; 99], 1_024)]
#[case::slow(&[SLOW; 9], 256)]
#[case::last(&[PageResult::Last; 9], 256)]
#[case::grows_again(&[PageResult::TimedOut, PageResult::TimedOut, QUICK], 128)]
#[case::ceiling_timed_out(&[[QUICK; 99].as_slice(), &[PageResult::TimedOut]].concat(), 512)]
fn the_size_halves_with_timeouts_and_grows_by_steps(
    #[case] results: &[PageResult],
    #[case] expected_kib: usize,
) {
    let mut size = PageSize::default();
    for result in results {
        size.record(*result);
    }
    assert_eq!(size.bytes(), expected_kib * KIB);
}
