//! Appends of the leader, with one writer for each stream.

use std::collections::{HashMap, HashSet};
use std::pin::pin;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_jobs::record::Body;
use agate_jobs::{Order, Record, SuspicionRecord};
use tokio::sync::mpsc::{self, UnboundedReceiver, UnboundedSender};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout, timeout_at};

use super::Entry;
use super::refusals::{self, Refusals};
use crate::outage::OutageMonitor;
use crate::store::{AppendError, Fence, Stream};

/// Pause before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Longest time for which the removal of an order waits for another record of its stream. Each
/// append wakes the agents that read the stream, and none of them needs a removal soon.
const REMOVAL_DELAY: Duration = Duration::from_secs(1);

/// Time without an answer after which nothing more is ordered through a stream. An append that gets none
/// fails after 0.8 s, and what is bound until then waits for the log. Without a fault it takes some
/// milliseconds; those of a slow log are followed by the orders that were held meanwhile.
const HOLD_AFTER: Duration = Duration::from_millis(300);

/// Most records in one append, well below the log's limit on the size of a call.
const MAX_GROUP_RECORDS: usize = 200;

/// Results of appends.
#[derive(Debug)]
pub(super) enum Outcome {
    /// A suspicion record is stored.
    SuspicionRecorded(SuspicionRecord),
    /// A heartbeat is recorded.
    HeartbeatRecorded,
    /// Orders to start runs that the log has refused and that won't be appended again.
    OrdersRefused(Vec<Order>),
    /// Another entry has taken over this stream.
    Deposed(Stream),
}

/// Streams whose newest append has failed so far or has had no answer for [`HOLD_AFTER`].
#[derive(Debug, Clone, Default)]
struct HeldStreams(Arc<Mutex<HashSet<Stream>>>);

impl HeldStreams {
    fn streams(&self) -> MutexGuard<'_, HashSet<Stream>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Writers of the streams that only the leader writes, and of its records on the main stream.
#[derive(Debug)]
pub(super) struct StreamWriters {
    entry: Arc<Entry>,
    epoch: u64,
    senders: HashMap<Stream, UnboundedSender<Record>>,
    tasks: JoinSet<()>,
    outcomes: UnboundedSender<Outcome>,
    in_flight: Arc<AtomicUsize>,
    held: HeldStreams,
}

impl StreamWriters {
    pub fn new(entry: Arc<Entry>, epoch: u64) -> (Self, UnboundedReceiver<Outcome>) {
        let (outcomes, receiver) = mpsc::unbounded_channel();
        let writers = Self {
            entry,
            epoch,
            senders: HashMap::new(),
            tasks: JoinSet::new(),
            outcomes,
            in_flight: Arc::default(),
            held: HeldStreams::default(),
        };
        (writers, receiver)
    }

    /// Opens a stream whose last append under this epoch had the number `sequence`. The first append
    /// of a higher epoch may have any number.
    pub fn open(&mut self, stream: Stream, sequence: u64) {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.senders.insert(stream, sender);
        let writer = StreamWriter {
            entry: Arc::clone(&self.entry),
            stream,
            fence: Fence {
                epoch: self.epoch,
                sequence,
            },
            monitor: OutageMonitor::new(stream, "append"),
            outcomes: self.outcomes.clone(),
            in_flight: Arc::clone(&self.in_flight),
            held: self.held.clone(),
        };
        self.tasks.spawn(writer.run(receiver));
    }

    /// Queues a record. Records of one stream keep their order. A stream that is not open yet is
    /// opened.
    pub fn write(&mut self, stream: Stream, record: Record) {
        if !self.senders.contains_key(&stream) {
            self.open(stream, 0);
        }
        let sender = self.senders.get(&stream);
        if sender.is_none_or(|sender| sender.send(record).is_err()) {
            log::error!(event = "lane_closed", lane:% = stream; "record not written");
        }
    }

    /// Returns the number of records, without removals, in appends that have not failed so far. The
    /// records of a stream that the log doesn't take hold up no others.
    pub fn in_flight(&self) -> usize {
        self.in_flight.load(Ordering::Relaxed)
    }

    /// Returns the streams whose newest append has failed so far or has had no answer for a while.
    pub fn held(&self) -> HashSet<Stream> {
        self.held.streams().clone()
    }

    /// Waits until every queued record has been appended or the writers have given up.
    pub async fn finish(mut self) {
        self.senders.clear();
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(error) = ended {
                log::error!(event = "writer_failed", cause:% = error; "");
            }
        }
    }
}

/// Records counted as in flight until it is dropped.
struct InFlight {
    total: Arc<AtomicUsize>,
    records: usize,
}

impl InFlight {
    fn new(total: &Arc<AtomicUsize>, group: &[Record]) -> Self {
        let records = group.iter().filter(|record| record.body.is_some()).count();
        total.fetch_add(records, Ordering::Relaxed);
        Self {
            total: Arc::clone(total),
            records,
        }
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.total.fetch_sub(self.records, Ordering::Relaxed);
    }
}

/// Returns the keys and values of records.
fn encode(group: &[Record]) -> Vec<(String, Vec<u8>)> {
    let mut encoded = Vec::with_capacity(group.len());
    for record in group {
        match record.value() {
            Ok(value) => encoded.push((record.key.clone(), value)),
            Err(error) => log::error!(event = "record_unwritable", cause:% = error; ""),
        }
    }
    encoded
}

struct StreamWriter {
    entry: Arc<Entry>,
    stream: Stream,
    fence: Fence,
    monitor: OutageMonitor,
    outcomes: UnboundedSender<Outcome>,
    in_flight: Arc<AtomicUsize>,
    held: HeldStreams,
}

impl StreamWriter {
    async fn run(mut self, mut records: UnboundedReceiver<Record>) {
        while let Some(mut group) = self.next_group(&mut records).await {
            if !self.append(&mut group, &mut records).await {
                self.notify(Outcome::Deposed(self.stream));
                return;
            }
            self.held.streams().remove(&self.stream);
            self.notify_recorded(&group);
        }
    }

    /// Collects records until one of them can't be delayed any longer.
    async fn next_group(&self, records: &mut UnboundedReceiver<Record>) -> Option<Vec<Record>> {
        let mut group = Vec::new();
        let mut due = None;
        while group.len() < MAX_GROUP_RECORDS {
            let next = match due {
                None => records.recv().await,
                Some(due) => match timeout_at(due, records.recv()).await {
                    Ok(next) => next,
                    Err(_elapsed) => return Some(group),
                },
            };
            let Some(record) = next else { break };
            let can_wait = record.body.is_none() && matches!(self.stream, Stream::Orders(_));
            group.push(record);
            let deadline = if can_wait {
                Instant::now() + REMOVAL_DELAY
            } else {
                Instant::now()
            };
            due = Some(due.map_or(deadline, |due: Instant| due.min(deadline)));
        }
        (!group.is_empty()).then_some(group)
    }

    /// Appends until the log has confirmed it. Returns whether this entry still leads. Orders that the log
    /// refuses for long are given back, also those in `records`.
    async fn append(
        &mut self,
        group: &mut Vec<Record>,
        records: &mut UnboundedReceiver<Record>,
    ) -> bool {
        let mut encoded = encode(group);
        let mut in_flight = Some(InFlight::new(&self.in_flight, group));
        let mut refusals = Refusals::default();
        self.fence.sequence += 1;
        loop {
            match self.append_once(&encoded).await {
                Ok(_) => {
                    self.monitor
                        .record_result(&self.entry.context.metrics, None::<&AppendError>);
                    return true;
                }
                Err(AppendError::Fenced) => return false,
                Err(error @ AppendError::OutOfSequence(next)) => {
                    let uncertain = refusals.is_uncertain();
                    if uncertain && next == self.fence.sequence + 1 {
                        return true;
                    }
                    if next == self.fence.sequence || uncertain {
                        return false;
                    }
                    self.fence.sequence = next;
                    refusals.record(&error);
                }
                Err(error) => {
                    drop(in_flight.take());
                    self.held.streams().insert(self.stream);
                    refusals.record(&error);
                    self.monitor
                        .record_result(&self.entry.context.metrics, Some(&error));
                    if refusals.allow_return() && self.return_starts(group, records) {
                        encoded = encode(group);
                    }
                    sleep(RETRY_DELAY).await;
                }
            }
        }
    }

    /// Gives back the orders to start runs in a group that certainly was not appended, and in those queued
    /// behind it, unless the ends of their runs couldn't be recorded. Returns whether the group has changed.
    fn return_starts(
        &self,
        group: &mut Vec<Record>,
        records: &mut UnboundedReceiver<Record>,
    ) -> bool {
        if self.held.streams().contains(&Stream::Main) {
            return false;
        }
        let queued = group.len();
        while group.len() < MAX_GROUP_RECORDS
            && let Ok(record) = records.try_recv()
        {
            group.push(record);
        }
        let starts = refusals::take_starts(group);
        let has_changed = group.len() > queued || !starts.is_empty();
        if !starts.is_empty() {
            self.notify(Outcome::OrdersRefused(starts));
        }
        has_changed
    }

    /// Makes one attempt at an append. The stream is held while it has no answer for long.
    async fn append_once(&self, encoded: &[(String, Vec<u8>)]) -> Result<u64, AppendError> {
        let log = &self.entry.context.log;
        let mut append = pin!(log.append(self.stream, encoded, Some(self.fence)));
        if let Ok(answer) = timeout(HOLD_AFTER, append.as_mut()).await {
            return answer;
        }
        self.held.streams().insert(self.stream);
        append.await
    }

    fn notify_recorded(&self, group: &[Record]) {
        for record in group {
            match &record.body {
                Some(Body::Suspicion(suspicion)) => {
                    self.notify(Outcome::SuspicionRecorded(suspicion.clone()));
                }
                Some(Body::Leader(_)) => self.notify(Outcome::HeartbeatRecorded),
                _ => {}
            }
        }
    }

    fn notify(&self, outcome: Outcome) {
        if self.outcomes.send(outcome).is_err() {
            log::debug!(event = "outcome_unclaimed", lane:% = self.stream; "no longer the leader");
        }
    }
}
