//! Stopping of tasks that belong to no run of this incarnation.

use std::time::Duration;

use tokio::time::sleep;

use crate::local::WorkerError;
use crate::state::Core;

/// Time between two tries.
const RETRY_INTERVAL: Duration = Duration::from_millis(200);

/// Stops every task on the worker that the incarnation of now doesn't hold; an incarnation starts
/// with an empty worker. Does nothing beside a backend server.
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
    // Read after the list, so that a run that starts meanwhile is not taken for a foreign one.
    let held = core.bindings().runs.lock().table.active();
    for run in unfinished.into_iter().filter(|run| !held.contains(run)) {
        core.worker.stop(run).await?;
        log::info!(event = "foreign_run_stopped", run:% = run; "");
    }
    Ok(())
}
