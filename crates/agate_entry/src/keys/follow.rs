//! Follows the stream of key bindings.

use std::sync::Arc;

use agate_core::Offset;
use agate_log::{FollowEvent, FollowSettings, Follower, Stream};
use agate_super::ChildError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// Follows the stream of key bindings until `stop` is cancelled.
///
/// Reading starts at the oldest record. The log retains records for longer than keys are
/// remembered, so a gap before the first read hides no valid binding.
pub(crate) async fn follow(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut rng = StdRng::from_os_rng();
    let store = Arc::clone(&entry.store);
    let settings = FollowSettings::default();
    let mut follower = Follower::new(store, Stream::Keys, Offset(1), settings);
    entry.keys.set_tip(follower.caught_up_at());
    let mut progress = Progress::NotStarted;
    while let Some(followed) = stop.run_until_cancelled(follower.next(&mut rng)).await {
        match followed {
            FollowEvent::Batches(batches) => {
                for batch in &batches {
                    entry.keys.apply(batch);
                }
                progress = Progress::Started;
            }
            FollowEvent::Gap { wanted, earliest } => {
                if progress == Progress::Started {
                    log::error!(event = "keys_gap", wanted:%, earliest:%; "bindings were missed");
                    entry.keys.mark_gap();
                }
                follower.seek(earliest);
            }
            FollowEvent::Rewound { wanted, end } => {
                log::error!(event = "keys_rewound", wanted:%, end:%; "the log has lost appends");
                entry.keys.mark_gap();
                follower.seek(Offset(1));
            }
        }
    }
    Ok(())
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Progress {
    NotStarted,
    Started,
}
