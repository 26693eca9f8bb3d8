//! Appends of the scheduling entry, one writer for each lane.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_jobs::Record;
use agate_jobs::record::Body;
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout_at};

use super::Entry;
use crate::store::{AppendError, Fence, Stream};
use crate::watch::Watch;

/// Pause before an append is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(40);

/// Longest time for which the removal of an order waits for another record of its lane. Each append
/// wakes the agents that read the lane, and none of them needs a removal soon.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Records in one append at most; keeps a call well below the log's limit on its size.
const GROUP: usize = 200;

/// What became of appends.
#[derive(Debug)]
pub(super) enum Outcome {
    /// The standing of a worker with this suspicion is on record.
    Standing(String, u64),
    /// Signs of life are on record.
    Beat,
    /// Another entry has taken over.
    Deposed(Stream),
}

/// Writers of the lanes that only the scheduling entry writes, and of its records in the main lane.
#[derive(Debug)]
pub(super) struct Writers {
    entry: Arc<Entry>,
    epoch: u64,
    lanes: HashMap<Stream, UnboundedSender<Record>>,
    tasks: JoinSet<()>,
    outcomes: UnboundedSender<Outcome>,
}

impl Writers {
    pub fn new(entry: Arc<Entry>, epoch: u64) -> (Self, UnboundedReceiver<Outcome>) {
        let (outcomes, receiver) = mpsc::unbounded_channel();
        let writers = Self {
            entry,
            epoch,
            lanes: HashMap::new(),
            tasks: JoinSet::new(),
            outcomes,
        };
        (writers, receiver)
    }

    /// Opens a lane whose last append under this epoch had the number `sequence`.
    pub fn open(&mut self, lane: Stream, sequence: u64) {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.lanes.insert(lane, sender);
        let writer = Writer {
            entry: Arc::clone(&self.entry),
            lane,
            fence: Fence {
                epoch: self.epoch,
                sequence,
            },
            watch: Watch::new(lane, "append"),
            outcomes: self.outcomes.clone(),
        };
        self.tasks.spawn(writer.run(receiver));
    }

    /// Queues a record; records of one lane keep their order.
    pub fn write(&self, lane: Stream, record: Record) {
        let sender = self.lanes.get(&lane);
        if sender.is_none_or(|sender| sender.send(record).is_err()) {
            log::error!(event = "lane_closed", lane:% = lane; "a record was not written");
        }
    }

    /// Waits until everything queued has been appended, or the writers have given up.
    pub async fn finish(mut self) {
        self.lanes.clear();
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended {
                log::error!(event = "writer_failed", cause:% = error; "");
            }
        }
    }
}

struct Writer {
    entry: Arc<Entry>,
    lane: Stream,
    fence: Fence,
    watch: Watch,
    outcomes: UnboundedSender<Outcome>,
}

impl Writer {
    async fn run(mut self, mut records: UnboundedReceiver<Record>) {
        while let Some(group) = self.next_group(&mut records).await {
            if !self.append(&group).await {
                self.tell(Outcome::Deposed(self.lane));
                return;
            }
            self.tell_recorded(&group);
        }
    }

    /// Waits for a record that has to be appended at once, and takes what has gathered until then.
    async fn next_group(&self, records: &mut UnboundedReceiver<Record>) -> Option<Vec<Record>> {
        let mut group = Vec::new();
        let mut due = None;
        while group.len() < GROUP {
            let next = match due {
                None => records.recv().await,
                Some(due) => match timeout_at(due, records.recv()).await {
                    Ok(next) => next,
                    Err(_elapsed) => return Some(group),
                },
            };
            let Some(record) = next else { break };
            let waits = record.body.is_none() && matches!(self.lane, Stream::Orders(_));
            group.push(record);
            let latest = if waits {
                Instant::now() + REMOVAL_DELAY
            } else {
                Instant::now()
            };
            due = Some(due.map_or(latest, |due: Instant| due.min(latest)));
        }
        (!group.is_empty()).then_some(group)
    }

    /// Appends until the log has confirmed it. Returns whether this entry still schedules.
    async fn append(&mut self, group: &[Record]) -> bool {
        let mut encoded = Vec::with_capacity(group.len());
        for record in group {
            match record.value() {
                Ok(value) => encoded.push((record.key.clone(), value)),
                Err(error) => log::error!(event = "record_unwritable", cause:% = error; ""),
            }
        }
        let mut uncertain = false;
        self.fence.sequence += 1;
        loop {
            let log = &self.entry.context.log;
            match log.append(self.lane, &encoded, Some(self.fence)).await {
                Ok(_) => {
                    self.watch
                        .take(&self.entry.context.metrics, None::<&AppendError>);
                    return true;
                }
                Err(AppendError::Fenced) => return false,
                Err(AppendError::OutOfSequence(next)) => {
                    if uncertain && next == self.fence.sequence + 1 {
                        return true;
                    }
                    if next == self.fence.sequence || uncertain {
                        return false;
                    }
                    self.fence.sequence = next;
                    uncertain = true;
                }
                Err(error) => {
                    uncertain |= matches!(error, AppendError::Unknown(_));
                    self.watch.take(&self.entry.context.metrics, Some(&error));
                    sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    fn tell_recorded(&self, group: &[Record]) {
        for record in group {
            match &record.body {
                Some(Body::Standing(standing)) => self.tell(Outcome::Standing(
                    standing.life.name.clone(),
                    standing.suspicion,
                )),
                Some(Body::Leader(_)) => self.tell(Outcome::Beat),
                _ => {}
            }
        }
    }

    fn tell(&self, outcome: Outcome) {
        if self.outcomes.send(outcome).is_err() {
            log::debug!(event = "outcome_unclaimed", lane:% = self.lane; "no longer scheduling");
        }
    }
}
