//! Rebuilds the state from the newest snapshot and what came after it.

use std::sync::Arc;

use agate_core::Offset;
use agate_state::{BatchEffect, SnapshotLoader, State, StateLimits};
use displaydoc::Display;
use rand::Rng;

use agate_records::{Body, DecodedBatch, MalformedRecord};

use crate::{FollowSettings, Followed, Follower, LogStore, Stream};

/// Times that recovery begins anew if retention overtakes it.
const MAX_ROUNDS: u32 = 3;

/// A state that has been read to the end of the log.
#[derive(Debug)]
pub struct Recovered {
    /// The state.
    pub state: State,
    /// The follower of the main stream that goes on from the state.
    pub follower: Follower,
    /// Records that were malformed and skipped.
    pub malformed: u64,
}

/// Why the state can't be rebuilt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum RecoverError {
    /// the log has forgotten records up to {earliest}, and no snapshot holds them; the state can't be rebuilt
    NoSnapshot {
        /// The oldest append still kept.
        earliest: Offset,
    },
    /// the log has lost appends: it ends at {end}, before {wanted}
    Rewound {
        /// What was to be read next.
        wanted: Offset,
        /// The newest append that the log holds.
        end: Offset,
    },
}

impl std::error::Error for RecoverError {}

/// Loads the newest complete snapshot and folds the main stream from there to its end.
///
/// While the log is down this waits for it.
///
/// # Errors
///
/// Returns [`RecoverError`] if the log no longer holds what is needed.
pub async fn recover(
    store: Arc<dyn LogStore>,
    limits: StateLimits,
    settings: FollowSettings,
    rng: &mut impl Rng,
) -> Result<Recovered, RecoverError> {
    let mut rounds = 0;
    loop {
        rounds += 1;
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
            Err(RecoverError::NoSnapshot { .. }) if rounds < MAX_ROUNDS => {}
            Err(error) => return Err(error),
            Ok(()) => return Ok(recovered),
        }
    }
}

/// The state of the newest complete snapshot, or the empty state.
async fn load_snapshot(store: Arc<dyn LogStore>, limits: StateLimits, rng: &mut impl Rng) -> State {
    let mut loader = SnapshotLoader::new(limits);
    let settings = FollowSettings::builder()
        .wait(std::time::Duration::ZERO)
        .build();
    let mut follower = Follower::new(store, Stream::Snap, Offset(1), settings);
    loop {
        match follower.next(rng).await {
            Followed::Batches(batches) if batches.is_empty() => break,
            Followed::Batches(batches) => batches
                .into_iter()
                .for_each(|batch| add(&mut loader, batch)),
            Followed::Gap { earliest, .. } => follower.seek(earliest),
            Followed::Rewound { .. } => break,
        }
    }
    for failure in loader.failures() {
        log::error!(event = "snapshot_unusable", cause:% = failure; "");
    }
    loader.finish().unwrap_or_else(|| State::new(limits))
}

fn add(loader: &mut SnapshotLoader, batch: DecodedBatch) {
    for placed in batch.records {
        if let Body::SnapshotPart(part) = placed.record.body {
            loader.add(part);
        }
    }
}

impl Recovered {
    /// Folds the main stream until its end is reached.
    async fn catch_up(&mut self, rng: &mut impl Rng) -> Result<(), RecoverError> {
        while !self.follower.has_reached_end() {
            match self.follower.next(rng).await {
                Followed::Batches(batches) => self.fold(&batches),
                Followed::Gap { earliest, .. } => {
                    return Err(RecoverError::NoSnapshot { earliest });
                }
                Followed::Rewound { wanted, end } => {
                    return Err(RecoverError::Rewound { wanted, end });
                }
            }
        }
        Ok(())
    }

    fn fold(&mut self, batches: &[DecodedBatch]) {
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
