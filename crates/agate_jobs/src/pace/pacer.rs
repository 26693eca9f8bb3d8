//! The pace of filling tasks that keeps serving tasks below their targets.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::pace::figure;
use crate::pace::learned::{Learned, Work};
use crate::pace::strain::Strains;
use crate::pace::{Filling, Headroom, Pressure, Serving, milli, percent};

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
    learned: Learned,
    strains: Strains,
}

impl Pacer {
    /// Takes over what others have learned, for pairs that are not known here.
    pub fn adopt(&mut self, pressures: &[Pressure]) {
        self.learned.adopt(pressures);
    }

    /// Learns from one set of figures.
    pub fn observe(&mut self, serving: &[Serving], filling: &[Filling], now: Moment) {
        let work = work(filling);
        self.learned.advance(serving, &work, now);
        let mut tails = HashMap::new();
        for task in serving.iter().filter(|task| task.tail_ms > 0.0) {
            let reading = self.learned.observe(task, &work, now);
            tails.insert(task.task, reading.tail_ms);
        }
        self.strains.observe(serving, &tails, filling, now);
    }

    /// The pace of each filling task, in percent, that keeps every serving task below its target.
    pub fn plan(&self, serving: &[Serving], filling: &[Filling], now: Moment) -> Vec<u32> {
        if self.strains.is_long(now) {
            return vec![0; filling.len()];
        }
        let mut shares = vec![1.0; filling.len()];
        let affected = serving.iter().filter(|s| !self.strains.is_own(s.task));
        for task in affected {
            let load = self.learned.load_ahead(task.task, LEAD);
            let room = (self.aim(task) - load).max(0.0);
            self.fit(task, filling, room, &mut shares);
        }
        shares.into_iter().map(percent).collect()
    }

    /// The use that each serving image leaves to filling tasks.
    pub fn headroom(&self, serving: &[Serving]) -> Vec<Headroom> {
        let mut rooms: Vec<Headroom> = Vec::new();
        for task in serving {
            let load = self.learned.load(task.task);
            let load = load.max(self.learned.usual_load(task.task));
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
    pub fn pressures(&self) -> Vec<Pressure> {
        let mut pairs = self.learned.pressures();
        pairs.sort_by(|a, b| (&a.serving, &a.filling).cmp(&(&b.serving, &b.filling)));
        pairs.truncate(PAIRS);
        pairs
    }

    /// Slows the tasks that add most until the added use of all fits into `room`.
    fn fit(&self, task: &Serving, filling: &[Filling], room: f64, shares: &mut [f64]) {
        let added: Vec<f64> = filling
            .iter()
            .map(|filling| self.learned.pair(&task.image, &filling.image).mean)
            .collect();
        let mut order: Vec<usize> = (0..filling.len()).collect();
        order.sort_by(|a, b| added[*b].total_cmp(&added[*a]));
        let mut excess: f64 = order.iter().map(|at| added[*at] * shares[*at]).sum::<f64>() - room;
        let mut probing = false;
        for at in order {
            if excess <= 0.0 {
                return;
            }
            let image = filling[at].image.as_str();
            let probes = !probing && !self.learned.is_known(&task.image, image);
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
    fn aim(&self, task: &Serving) -> f64 {
        figure::use_of(task.target_ms * AIM, self.learned.idle(task))
    }
}

/// Work of filling tasks by image.
fn work(filling: &[Filling]) -> Work {
    let mut work = Work::new();
    for task in filling {
        *work.entry(task.image.clone()).or_default() += task.share;
    }
    work
}
