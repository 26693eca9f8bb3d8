//! Arrivals that don't wait for answers.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::report::LoadStats;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Sends requests at `rate` a second for `time`, each at its own instant whether or not the ones
/// before were answered. A latency counts from that instant, so that a late start counts too.
pub(crate) async fn arrive<F, Fut>(
    rate: f64,
    time: Duration,
    rng: &mut StdRng,
    send: F,
) -> LoadStats
where
    F: Fn(u64) -> Fut,
    Fut: Future<Output = bool> + Send + 'static,
{
    let (start, mut at) = (Instant::now(), Duration::ZERO);
    let mut calls = JoinSet::new();
    let mut number = 0;
    while at < time {
        let due = start + at;
        sleep_until(due).await;
        let call = send(number);
        calls.spawn(async move { (call.await, due.elapsed()) });
        number += 1;
        at += pause(rate, rng);
    }
    collect(calls).await
}

/// A pause of a Poisson process.
fn pause(rate: f64, rng: &mut StdRng) -> Duration {
    let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-draw.ln() / rate)
}

async fn collect(mut calls: JoinSet<(bool, Duration)>) -> LoadStats {
    let mut figures = LoadStats {
        sent: 0,
        complete: 0,
        latency_us: histogram(),
    };
    while let Some(call) = calls.join_next().await {
        let Ok((complete, latency)) = call else {
            continue;
        };
        figures.sent += 1;
        figures.complete += u64::from(complete);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        figures.latency_us.saturating_record(us);
    }
    figures
}

fn histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}
