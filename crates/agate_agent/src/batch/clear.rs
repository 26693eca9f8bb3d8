//! Stops worker tasks that belong to no run of the current incarnation.

use std::time::Duration;

use tokio::time::sleep;

use crate::local::WorkerError;
use crate::state::Core;

/// Delay between attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Stops every task on the worker that the current incarnation doesn't hold, and retries until that
/// succeeds, since an incarnation must start with an empty worker. Does nothing beside a backend
/// server.
pub(crate) async fn clear_worker(core: &Core) {
    if !core.is_worker() {
        return;
    }
    loop {
        match stop_foreign_tasks(core).await {
            Ok(()) => return,
            Err(error) => {
                log::info!(event = "worker_not_clear", cause:% = error; "");
                sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

async fn stop_foreign_tasks(core: &Core) -> Result<(), WorkerError> {
    let unfinished = core.worker.list_unfinished().await?;
    // Read after the list, so that a run that starts in between is not treated as foreign.
    let held = core.bindings().runs.lock().table.active();
    for run in unfinished.into_iter().filter(|run| !held.contains(run)) {
        core.worker.stop(run).await?;
        log::info!(event = "foreign_run_stopped", run:% = run; "");
    }
    Ok(())
}
