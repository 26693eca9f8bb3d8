//! Stopping of tasks that belong to no run of this incarnation.

use std::time::Duration;

use tokio::time::sleep;

use crate::local::WorkerError;
use crate::state::Core;

/// Time between two tries.
const RETRY: Duration = Duration::from_millis(200);

/// Stops every task on the worker that the incarnation of now doesn't hold; an incarnation starts
/// with an empty worker. Does nothing beside a backend server.
pub(crate) async fn until_clear(core: &Core) {
    if !core.is_worker() {
        return;
    }
    loop {
        match clear(core).await {
            Ok(()) => return,
            Err(error) => {
                log::info!(event = "worker_not_clear", cause:% = error; "");
                sleep(RETRY).await;
            }
        }
    }
}

async fn clear(core: &Core) -> Result<(), WorkerError> {
    let open = core.worker.open_tasks().await?;
    // Read after the list, so that a run that starts meanwhile is not taken for a foreign one.
    let held = core.bound().runs.lock().table.active();
    for run in open.into_iter().filter(|run| !held.contains(run)) {
        core.worker.stop(run).await?;
        log::info!(event = "foreign_run_stopped", run:% = run; "");
    }
    Ok(())
}
