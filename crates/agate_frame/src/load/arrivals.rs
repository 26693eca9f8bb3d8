//! Open-loop arrivals, which don't wait for responses.

use std::time::Duration;

use hdrhistogram::Histogram;
use rand::Rng;
use rand::rngs::StdRng;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};

use super::report::LoadStats;

/// Upper bound of the latency histogram.
const MAX_LATENCY_US: u64 = 60_000_000;

/// Sends `rate` requests per second for `time`, each at its planned time whether or not earlier
/// ones were answered. Latency counts from the planned time, so that it includes a late start.
pub(crate) async fn send_open_loop<F, Fut>(
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
        at += draw_interval(rate, rng);
    }
    collect(calls).await
}

/// Returns a random interval between two arrivals of a Poisson process.
fn draw_interval(rate: f64, rng: &mut StdRng) -> Duration {
    let draw: f64 = rng.random_range(f64::MIN_POSITIVE..1.0);
    Duration::from_secs_f64(-draw.ln() / rate)
}

async fn collect(mut calls: JoinSet<(bool, Duration)>) -> LoadStats {
    let mut stats = LoadStats {
        sent: 0,
        complete: 0,
        latency_us: new_histogram(),
    };
    while let Some(call) = calls.join_next().await {
        let Ok((complete, latency)) = call else {
            continue;
        };
        stats.sent += 1;
        stats.complete += u64::from(complete);
        let us = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        stats.latency_us.saturating_record(us);
    }
    stats
}

fn new_histogram() -> Histogram<u64> {
    const SIGNIFICANT_DIGITS: u8 = 3;
    Histogram::new_with_bounds(1, MAX_LATENCY_US, SIGNIFICANT_DIGITS).expect("the bounds are valid")
}
