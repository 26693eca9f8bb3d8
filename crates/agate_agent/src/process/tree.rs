//! The supervisor tree of the agent's tasks.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use agate_super::{ChildError, Policy, Restart, Supervisor};
use tokio_util::sync::CancellationToken;

use super::{observe, rpc};
use crate::state::Core;
use crate::{batch, entries, urgent};

/// Listening sockets and addresses, which survive restarts of the tasks that serve them.
#[derive(Debug)]
pub(crate) struct Listeners {
    pub(crate) rpc: TcpListener,
    pub(crate) metrics: SocketAddr,
}

/// Builds the supervisor tree with the servers and the periodic tasks.
pub(crate) fn build_tree(core: &Arc<Core>, listeners: Listeners) -> Supervisor {
    let mut root = Supervisor::new("agent", Policy::default());
    let Listeners { rpc, metrics } = listeners;
    let shared = Arc::clone(core);
    root.child("rpc", Restart::Permanent, move |stop| {
        let core = Arc::clone(&shared);
        let listener = rpc.try_clone();
        async move { serve_rpc(core, listener, stop).await }
    });
    let shared = Arc::clone(core);
    root.child("metrics", Restart::Permanent, move |stop| {
        let core = Arc::clone(&shared);
        async move { serve_metrics(core, metrics, stop).await }
    });
    add_task(&mut root, core, "gate", urgent::run_admission_ticks);
    add_task(&mut root, core, "slowdown", urgent::sample_slowdown);
    add_task(&mut root, core, "policy", batch::apply_config_changes);
    add_task(&mut root, core, "links", entries::maintain_links);
    add_task(&mut root, core, "announce", announce);
    if core.is_worker() {
        add_task(&mut root, core, "usage", batch::poll_usage);
    }
    root
}

/// Adds a task that runs until the supervisor stops it.
fn add_task<F, Fut>(root: &mut Supervisor, core: &Arc<Core>, name: &'static str, task: F)
where
    F: Fn(Arc<Core>) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let shared = Arc::clone(core);
    root.child(name, Restart::Permanent, move |stop| {
        let run = task(Arc::clone(&shared));
        async move {
            tokio::select! {
                () = run => {}
                () = stop.cancelled() => {}
            }
            Ok(())
        }
    });
}

/// Announces the agent once the worker has no tasks of an earlier incarnation.
async fn announce(core: Arc<Core>) {
    batch::clear_worker(&core).await;
    entries::maintain_registration(core).await;
}

async fn serve_rpc(
    core: Arc<Core>,
    listener: std::io::Result<TcpListener>,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let listener = listener.map_err(|error| ChildError::from_error(&error))?;
    let handle = rpc::serve(core, listener).map_err(ChildError)?;
    tokio::select! {
        () = handle.clone().stopped() => Err(ChildError("the server ended".to_owned())),
        () = stop.cancelled() => {
            // Fails only if the server has already stopped.
            let _ = handle.stop();
            handle.stopped().await;
            Ok(())
        }
    }
}

async fn serve_metrics(
    core: Arc<Core>,
    address: SocketAddr,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    let server = observe::serve(core, address).map_err(ChildError)?;
    log::info!(event = "metrics_listening", address:% = server.local_addr(); "");
    stop.cancelled().await;
    server.close().await.map_err(ChildError)
}
