//! Slowdown of urgent classes relative to their baseline.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_core::ClassName;
use agate_wire::message::UrgentSample;

use crate::state::Core;

/// Interval that one sample covers.
const SAMPLE_INTERVAL: Duration = Duration::from_secs(1);

/// Minimum number of requests of a class per sample.
const MIN_REQUESTS: usize = 3;

/// Increase of a baseline with each sample, in parts per thousand, so that a class that has become
/// permanently slower is not reported as slowed down forever.
const BASELINE_RISE_PERMILLE: u32 = 2;

/// Service times since the last sample and the baseline, for each class.
#[derive(Debug)]
pub(crate) struct SlowdownTracker(Mutex<HashMap<ClassName, ClassTimes>>);

#[derive(Debug, Default)]
struct ClassTimes {
    times: Vec<Duration>,
    max_running: u32,
    baseline: Option<Duration>,
}

impl SlowdownTracker {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(HashMap::new()))
    }

    /// Records the service time of an answered request, sent while `running` requests were in
    /// progress.
    pub(crate) fn record(&self, class: &ClassName, time: Duration, running: u32) {
        let mut classes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if !classes.contains_key(class) {
            classes.insert(class.clone(), ClassTimes::default());
        }
        if let Some(class_times) = classes.get_mut(class) {
            class_times.times.push(time);
            class_times.max_running = class_times.max_running.max(running);
        }
    }

    /// Returns a sample for each class with enough requests since its last sample.
    fn samples(&self, slots: u32) -> Vec<UrgentSample> {
        let mut classes = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let samples = classes.iter_mut().filter_map(|(class, class_times)| {
            let load = u64::from(class_times.max_running) * 100 / u64::from(slots.max(1));
            Some(UrgentSample {
                class: class.clone(),
                age_ms: 0,
                slowdown_percent: class_times.take_slowdown()?,
                load_percent: u32::try_from(load).unwrap_or(u32::MAX),
            })
        });
        samples.collect()
    }
}

impl ClassTimes {
    /// Returns the median service time in percent of the baseline and clears the recorded times, or
    /// returns `None` if there were too few requests.
    fn take_slowdown(&mut self) -> Option<u32> {
        if self.times.len() < MIN_REQUESTS {
            return None;
        }
        self.times.sort_unstable();
        let median = self.times[self.times.len() / 2];
        self.times.clear();
        self.max_running = 0;
        let risen = self
            .baseline
            .map(|best| best + best * BASELINE_RISE_PERMILLE / 1_000);
        let baseline = risen.map_or(median, |best| best.min(median));
        self.baseline = Some(baseline);
        let percent = median.as_micros() * 100 / baseline.as_micros().max(1);
        Some(u32::try_from(percent).unwrap_or(u32::MAX))
    }
}

/// Samples the slowdown of each class in a loop.
pub(crate) async fn sample_slowdown(core: Arc<Core>) {
    let mut interval = tokio::time::interval(SAMPLE_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let measured_at = core.clock.boot_now();
        for sample in core.slowdown.samples(core.config.capacity.slots) {
            core.urgent_samples.push(measured_at, sample);
        }
    }
}
