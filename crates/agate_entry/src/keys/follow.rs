//! Follows the stream of bindings.

use std::sync::Arc;

use agate_core::Offset;
use agate_log::{FollowEvent, FollowSettings, Follower, Stream};
use agate_super::ChildError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// Follows the stream of bindings until `stop` is cancelled.
///
/// It is read from its oldest record. The log keeps records for longer than keys are remembered, so
/// a gap before the first read hides no binding that still counts.
pub(crate) async fn follow(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut rng = StdRng::from_os_rng();
    let store = Arc::clone(&entry.store);
    let settings = FollowSettings::default();
    let mut follower = Follower::new(store, Stream::Keys, Offset(1), settings);
    entry.keys.begin(follower.caught_up_at());
    let mut reading = Reading::Start;
    while let Some(followed) = stop.run_until_cancelled(follower.next(&mut rng)).await {
        match followed {
            FollowEvent::Batches(batches) => {
                for batch in &batches {
                    entry.keys.apply(batch);
                }
                reading = Reading::Begun;
            }
            FollowEvent::Gap { wanted, earliest } => {
                if reading == Reading::Begun {
                    log::error!(event = "keys_gap", wanted:%, earliest:%; "bindings were missed");
                    entry.keys.missed();
                }
                follower.seek(earliest);
            }
            FollowEvent::Rewound { wanted, end } => {
                log::error!(event = "keys_rewound", wanted:%, end:%; "the log has lost appends");
                entry.keys.missed();
                follower.seek(Offset(1));
            }
        }
    }
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Reading {
    Start,
    Begun,
}
