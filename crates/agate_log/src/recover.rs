//! Rebuilds the state from the newest snapshot and the records after it.

use std::sync::Arc;

use agate_core::Offset;
use agate_state::{BatchEffect, SnapshotLoader, State, StateLimits};
use displaydoc::Display;
use rand::Rng;

use agate_records::{Body, DecodedBatch, MalformedRecord};

use crate::{FollowEvent, FollowSettings, Follower, LogStore, Stream};

/// Number of appends to the snapshot stream that are read first, besides those of a whole snapshot.
const SPARE_APPENDS: u64 = 16;

/// Number of attempts if records expire during recovery.
const MAX_ATTEMPTS: u32 = 3;

/// A state that is caught up with the end of the log.
#[derive(Debug)]
pub struct Recovered {
    /// The state.
    pub state: State,
    /// Follower of the main stream that continues after the state.
    pub follower: Follower,
    /// Number of malformed records that were skipped.
    pub malformed: u64,
}

/// Why the state can't be rebuilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecoverError {
    /// records before offset {earliest} have expired and no snapshot contains them; the state can't be rebuilt
    NoSnapshot {
        /// Offset of the oldest retained append.
        earliest: Offset,
    },
    /// the log has lost appends: it ends at {end}, before {wanted}
    Rewound {
        /// Offset that was to be read next.
        wanted: Offset,
        /// Offset of the newest append in the log.
        end: Offset,
    },
}

impl std::error::Error for RecoverError {}

/// Loads the newest complete snapshot and folds the main stream from there to its end.
///
/// Waits while the log is down.
///
/// # Errors
///
/// Returns [`RecoverError`] if required records have expired or were lost.
pub async fn recover(
    store: Arc<dyn LogStore>,
    limits: StateLimits,
    settings: FollowSettings,
    rng: &mut impl Rng,
) -> Result<Recovered, RecoverError> {
    let mut attempts = 0;
    loop {
        attempts += 1;
        let state = load_snapshot(Arc::clone(&store), limits, rng).await;
        let next = state.last_applied().next();
        let follower = Follower::new(Arc::clone(&store), Stream::Main, next, settings);
        let mut recovered = Recovered {
            state,
            follower,
            malformed: 0,
        };
        match recovered.catch_up(rng).await {
            // A newer snapshot may have been written in the meantime.
            Err(RecoverError::NoSnapshot { .. }) if attempts < MAX_ATTEMPTS => {}
            Err(error) => return Err(error),
            Ok(()) => return Ok(recovered),
        }
    }
}

/// Returns the state of the newest complete snapshot, or an empty state.
async fn load_snapshot(store: Arc<dyn LogStore>, limits: StateLimits, rng: &mut impl Rng) -> State {
    let mut end = read_end(&store, Stream::Main, rng).await;
    let loader = loop {
        let new_loader = || SnapshotLoader::new(limits).up_to(end);
        let loader = load_newest(&store, new_loader, rng).await;
        let newer = read_end(&store, Stream::Main, rng).await;
        // A snapshot of later records may have been written since `end` was read.
        if !loader.failures().iter().any(|f| f.is_within(end, newer)) {
            break loader;
        }
        end = newer;
    };
    for failure in loader.failures() {
        log::error!(event = "snapshot_unusable", cause:% = failure; "");
    }
    loader.finish().unwrap_or_else(|| State::new(limits))
}

/// Reads the snapshot stream from as near to its end as a complete snapshot needs.
async fn load_newest(
    store: &Arc<dyn LogStore>,
    new_loader: impl Fn() -> SnapshotLoader,
    rng: &mut impl Rng,
) -> SnapshotLoader {
    let end = read_end(store, Stream::Snap, rng).await;
    let mut span = newest_parts(store, end, rng).await + SPARE_APPENDS;
    loop {
        let from = Offset(end.0.saturating_sub(span).max(1));
        let mut loader = new_loader();
        let has_expired = read_parts(store, from, &mut loader, rng).await;
        if loader.is_loaded() || has_expired || from == Offset(1) {
            return loader;
        }
        span = span.saturating_mul(4);
    }
}

/// Returns the number of parts of the snapshot to which the last append belongs.
async fn newest_parts(store: &Arc<dyn LogStore>, end: Offset, rng: &mut impl Rng) -> u64 {
    let mut follower = snapshot_follower(store, end.max(Offset(1)));
    let FollowEvent::Batches(batches) = follower.next(rng).await else {
        return 0;
    };
    let records = batches.into_iter().flat_map(|batch| batch.records);
    let parts = records.map(|positioned| match positioned.record.body {
        Body::SnapshotPart(part) => u64::from(part.parts),
        _ => 0,
    });
    parts.max().unwrap_or(0)
}

fn snapshot_follower(store: &Arc<dyn LogStore>, from: Offset) -> Follower {
    let settings = FollowSettings::builder()
        .poll_timeout(std::time::Duration::ZERO)
        .build();
    Follower::new(Arc::clone(store), Stream::Snap, from, settings)
}

/// Reads the snapshot stream from an offset on. Returns whether appends after it have expired.
async fn read_parts(
    store: &Arc<dyn LogStore>,
    from: Offset,
    loader: &mut SnapshotLoader,
    rng: &mut impl Rng,
) -> bool {
    let mut has_expired = false;
    let mut follower = snapshot_follower(store, from);
    loop {
        match follower.next(rng).await {
            FollowEvent::Batches(batches) if batches.is_empty() => return has_expired,
            FollowEvent::Batches(batches) => batches
                .into_iter()
                .for_each(|batch| add_parts(loader, batch)),
            FollowEvent::Gap { earliest, .. } => {
                has_expired = true;
                follower.seek(earliest);
            }
            FollowEvent::Rewound { .. } => return has_expired,
        }
    }
}

/// Returns the offset of the newest append of a stream.
async fn read_end(store: &Arc<dyn LogStore>, stream: Stream, rng: &mut impl Rng) -> Offset {
    let settings = FollowSettings::default();
    let store = Arc::clone(store);
    let mut follower = Follower::new(store, stream, Offset(u64::MAX), settings);
    loop {
        // A read past every append returns the end of the stream.
        if let FollowEvent::Rewound { end, .. } = follower.next(rng).await {
            return end;
        }
    }
}

fn add_parts(loader: &mut SnapshotLoader, batch: DecodedBatch) {
    for positioned in batch.records {
        if let Body::SnapshotPart(part) = positioned.record.body {
            loader.add(part);
        }
    }
}

impl Recovered {
    /// Folds the main stream up to its end.
    async fn catch_up(&mut self, rng: &mut impl Rng) -> Result<(), RecoverError> {
        while !self.follower.has_reached_end() {
            match self.follower.next(rng).await {
                FollowEvent::Batches(batches) => self.apply(&batches),
                FollowEvent::Gap { earliest, .. } => {
                    return Err(RecoverError::NoSnapshot { earliest });
                }
                FollowEvent::Rewound { wanted, end } => {
                    return Err(RecoverError::Rewound { wanted, end });
                }
            }
        }
        Ok(())
    }

    fn apply(&mut self, batches: &[DecodedBatch]) {
        for batch in batches {
            if self.state.apply_batch(batch) == BatchEffect::AlreadyFolded {
                continue;
            }
            for malformed in &batch.malformed {
                let MalformedRecord { position, error } = malformed;
                log::error!(event = "record_malformed", place:% = position, cause:% = error; "");
                self.malformed += 1;
            }
        }
    }
}
