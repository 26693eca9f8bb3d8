//! Intervals between heartbeats.

use std::time::Duration;

use agate_members::{Scope, first_heartbeat_delay, next_heartbeat_delay};
use agate_preset::policy::Membership;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rstest::rstest;

#[rstest]
#[case(Scope::Zone, 1_000)]
#[case(Scope::Region, 1_000)]
#[case(Scope::Remote, 3_000)]
fn heartbeat_delays_have_ten_percent_jitter(#[case] scope: Scope, #[case] mean_ms: u64) {
    let policy = Membership::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mean = Duration::from_millis(mean_ms);
    let waits: Vec<Duration> = (0..1_000)
        .map(|_| next_heartbeat_delay(&policy, scope, &mut rng))
        .collect();
    let (least, most) = (waits.iter().min().unwrap(), waits.iter().max().unwrap());
    assert!(*least >= mean.mul_f64(0.9) && *least < mean.mul_f64(0.91));
    assert!(*most <= mean.mul_f64(1.1) && *most > mean.mul_f64(1.09));
}

#[test]
fn first_heartbeats_are_spread_over_one_interval() {
    let policy = Membership::default();
    let mut rng = SmallRng::seed_from_u64(1);
    let mut tenths = [0_u32; 10];
    for _ in 0..10_000 {
        let wait = first_heartbeat_delay(&policy, Scope::Zone, &mut rng);
        tenths[usize::try_from(wait.as_millis() / 100).unwrap()] += 1;
    }
    assert!(tenths.iter().all(|&count| count > 800), "{tenths:?}");
}
