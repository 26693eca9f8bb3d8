//! Restoring the scheduler's state without holding up heartbeats.

use agate_jobs::Record;
use agate_jobs::plan::{Known, Restore, Scheduler};
use tokio::task::yield_now;

use crate::clock;
use crate::entry::Entry;
use crate::store::AppendError;

/// Number of workers, orders or jobs that are restored before other tasks of the process run.
const ITEMS_PER_STEP: usize = 50;

/// Restores the scheduler's state from what this entry has read and from the current orders. Collects
/// the changes that are read meanwhile, which [`Leadership`](super::Leadership) applies.
///
/// # Errors
///
/// Fails if another entry has taken over, or if the main stream has been loaded again, since changes are
/// missing then.
pub(super) async fn restore(
    entry: &Entry,
    epoch: u64,
    orders: Vec<Record>,
) -> Result<Scheduler, AppendError> {
    let mut restore = {
        let mut view = entry.view();
        let view = &mut *view;
        view.is_leader = true;
        view.pending_changes.clear();
        view.last_contact.prune(&view.job_table);
        view.suspicion_times.prune(&view.job_table);
        Restore::new(&view.job_table, orders)
    };
    while !step(entry, epoch, &mut restore)? {
        yield_now().await;
    }
    Ok(restore.finish(clock::now()))
}

/// Returns whether everything is restored.
fn step(entry: &Entry, epoch: u64, restore: &mut Restore) -> Result<bool, AppendError> {
    let view = entry.view();
    if view.job_table.leader().epoch > epoch {
        return Err(AppendError::Fenced);
    }
    if !view.is_leader {
        let cause = "the main stream was loaded again";
        return Err(AppendError::NotDone(cause.to_owned()));
    }
    let known = Known {
        table: &view.job_table,
        last_contact: &view.last_contact,
        suspicion_times: &view.suspicion_times,
    };
    Ok(restore.step(ITEMS_PER_STEP, known, clock::now()))
}
