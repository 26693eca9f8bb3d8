//! Prints the mean time of a scheduling round with a plan at 300 open jobs.

use std::time::Instant;

use agate_bench::cost::round::RoundFixture;

/// Number of rounds.
const ROUNDS: u32 = 20;

fn main() {
    let mut fixture = RoundFixture::with_jobs(300);
    let began = Instant::now();
    for _ in 0..ROUNDS {
        fixture.place();
    }
    println!("{:?} per round", began.elapsed() / ROUNDS);
}
