//! The pace of filling tasks that keeps serving tasks below their targets.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::pace::model::{Learned, Work};
use crate::pace::sample;
use crate::pace::violation::Strains;
use crate::pace::{BestEffortTask, Headroom, Interference, ServingTask, milli, percent};

/// Share of the target at which the tail latency is aimed.
const AIM: f64 = 0.93;

/// Time until the next change of the pace takes effect, for which the load is looked ahead.
const LEAD: Duration = Duration::from_millis(500);

/// Least share of full speed at which one task of an unknown image works, to show what it adds.
const PROBE: f64 = 0.2;

/// Most pairs that are reported.
const PAIRS: usize = 64;

/// What is learned of the tasks on one worker, and the pace that follows from it.
#[derive(Debug, Default)]
pub struct Pacer {
    model: Learned,
    strains: Strains,
}

impl Pacer {
    /// Takes over what others have learned, for pairs that are not known here.
    pub fn import(&mut self, interference: &[Interference]) {
        self.model.import(interference);
    }

    /// Learns from one set of figures.
    pub fn observe(
        &mut self,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
        now: Moment,
    ) {
        let work = work(best_effort);
        self.model.advance(serving, &work, now);
        let mut tails = HashMap::new();
        for task in serving.iter().filter(|task| task.tail_ms > 0.0) {
            let reading = self.model.observe(task, &work, now);
            tails.insert(task.task, reading.tail_ms);
        }
        self.strains.observe(serving, &tails, best_effort, now);
    }

    /// The pace of each filling task, in percent, that keeps every serving task below its target.
    pub fn plan(
        &self,
        serving: &[ServingTask],
        best_effort: &[BestEffortTask],
        now: Moment,
    ) -> Vec<u32> {
        if self.strains.is_long(now) {
            return vec![0; best_effort.len()];
        }
        let mut shares = vec![1.0; best_effort.len()];
        let affected = serving.iter().filter(|s| !self.strains.is_own(s.task));
        for task in affected {
            let load = self.model.load_ahead(task.task, LEAD);
            let room = (self.aim(task) - load).max(0.0);
            self.fit(task, best_effort, room, &mut shares);
        }
        shares.into_iter().map(percent).collect()
    }

    /// The use that each serving image leaves to filling tasks.
    pub fn headroom(&self, serving: &[ServingTask]) -> Vec<Headroom> {
        let mut rooms: Vec<Headroom> = Vec::new();
        for task in serving {
            let load = self.model.load(task.task);
            let load = load.max(self.model.usual_load(task.task));
            let room = milli(self.aim(task) - load);
            match rooms.iter_mut().find(|known| known.serving == task.image) {
                Some(known) => known.milli = known.milli.min(room),
                None => rooms.push(Headroom {
                    serving: task.image.clone(),
                    milli: room,
                }),
            }
        }
        rooms
    }

    /// The pairs of images of which this worker's figures have told.
    pub fn interference(&self) -> Vec<Interference> {
        let mut pairs = self.model.interference();
        pairs.sort_by(|a, b| (&a.serving, &a.best_effort).cmp(&(&b.serving, &b.best_effort)));
        pairs.truncate(PAIRS);
        pairs
    }

    /// Slows the tasks that add most until the added use of all fits into `room`.
    fn fit(
        &self,
        task: &ServingTask,
        best_effort: &[BestEffortTask],
        room: f64,
        shares: &mut [f64],
    ) {
        let added: Vec<f64> = best_effort
            .iter()
            .map(|best_effort| self.model.pair(&task.image, &best_effort.image).mean)
            .collect();
        let mut order: Vec<usize> = (0..best_effort.len()).collect();
        order.sort_by(|a, b| added[*b].total_cmp(&added[*a]));
        let mut excess: f64 = order.iter().map(|at| added[*at] * shares[*at]).sum::<f64>() - room;
        let mut probing = false;
        for at in order {
            if excess <= 0.0 {
                return;
            }
            let image = best_effort[at].image.as_str();
            let probes = !probing && !self.model.is_known(&task.image, image);
            let least = if probes { PROBE } else { 0.0 };
            probing |= probes;
            let part = added[at] * (shares[at] - least).max(0.0);
            if part <= 0.0 {
                continue;
            }
            let cut = part.min(excess);
            shares[at] -= cut / added[at];
            excess -= cut;
        }
    }

    /// Use at which the tail latency comes to the aimed share of its target.
    fn aim(&self, task: &ServingTask) -> f64 {
        sample::use_of(task.target_ms * AIM, self.model.idle(task))
    }
}

/// Work of filling tasks by image.
fn work(best_effort: &[BestEffortTask]) -> Work {
    let mut work = Work::new();
    for task in best_effort {
        *work.entry(task.image.clone()).or_default() += task.share;
    }
    work
}
