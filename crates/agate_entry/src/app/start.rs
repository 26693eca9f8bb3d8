//! Startup of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_log::Stream;
use agate_super::{ChildError, Policy, Restart, Supervisor};
use dropshot::{ApiDescription, ApiDescriptionRegisterError};
use tokio_util::sync::CancellationToken;

use super::running::{Addresses, Running};
use super::shared;
use super::{EntryConfig, StartError};
use crate::entry::Entry;
use crate::http::{self, Listener};
use crate::ledger::Writer;
use crate::rpc::{self, RpcListener};
use crate::{batch, config as configuration, keys, ledger, members};

/// Starts an entry and returns once its listeners are open.
///
/// # Errors
///
/// Returns [`StartError`] if a listener can't be opened or the span exporter can't be set up.
pub async fn start(config: EntryConfig) -> Result<Running, StartError> {
    let listen = |address: SocketAddr| move |cause: String| StartError::Listen { address, cause };
    let rpc = RpcListener::bind(config.rpc_listen)
        .await
        .map_err(|error| listen(config.rpc_listen)(error.to_string()))?;
    let bound = rpc
        .address()
        .map_err(|error| listen(config.rpc_listen)(error.to_string()))?;
    let entry = shared::build(&config, config.advertise.unwrap_or(bound))?;
    let callers = http::serve(&entry, api(http::caller::api())?, config.caller_listen)
        .map_err(|error| listen(config.caller_listen)(error.to_string()))?;
    let operators = http::serve(&entry, api(http::operator::api())?, config.operator_listen)
        .map_err(|error| listen(config.operator_listen)(error.to_string()))?;
    let addresses = Addresses {
        caller: callers.local_addr(),
        operator: operators.local_addr(),
        rpc: bound,
    };
    log::info!(
        event = "entry_started", incarnation:% = entry.me.incarnation, site:% = entry.me.site,
        caller:% = addresses.caller, operator:% = addresses.operator, rpc:% = addresses.rpc;
        ""
    );
    let front = front(&entry, callers);
    let back = back(&entry, operators, rpc, &config);
    Ok(Running::new(entry, addresses, front, back))
}

type Api = ApiDescription<Arc<Entry>>;

fn api(built: Result<Api, ApiDescriptionRegisterError>) -> Result<Api, StartError> {
    built.map_err(|error| StartError::Api(error.to_string()))
}

/// Supervises the caller listener, which is the first to stop in a shutdown.
fn front(entry: &Arc<Entry>, callers: Listener) -> Supervisor {
    let mut front = Supervisor::new("front", policy(entry));
    add_listener(&mut front, "callers", entry, callers, http::caller::api);
    front
}

/// Supervises everything that runs until the last request is answered.
fn back(
    entry: &Arc<Entry>,
    operators: Listener,
    rpc: RpcListener,
    config: &EntryConfig,
) -> Supervisor {
    let mut back = Supervisor::new("back", policy(entry));
    add_listener(
        &mut back,
        "operators",
        entry,
        operators,
        http::operator::api,
    );
    add(&mut back, "rpc", entry, move |entry, stop| {
        rpc::serve(entry, rpc.clone(), stop)
    });
    let seeds: Arc<[SocketAddr]> = config.seeds.clone().into();
    add(&mut back, "hello", entry, move |entry, stop| {
        rpc::announce(entry, Arc::clone(&seeds), stop)
    });
    add(&mut back, "sweep", entry, members::sweep);
    add(&mut back, "intake", entry, check_intake);
    add(&mut back, "redial", entry, members::redial);
    add(&mut back, "config-push", entry, configuration::push);
    add_log(&mut back, entry);
    add(&mut back, "place", entry, batch::place);
    add(&mut back, "dispatch", entry, batch::dispatch);
    add(&mut back, "rehome", entry, batch::rehome);
    add(&mut back, "refill", entry, batch::refill);
    add(&mut back, "reap", entry, batch::reap);
    back
}

/// Refuses requests whose bodies stall, and logs how many were refused for others.
async fn check_intake(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let checks = entry.intake.clone().run(|census| {
        for (cause, count) in &census.closed {
            log::warn!(
                event = "bodies_given_up", cause:% = cause, count = *count,
                open = census.connections, held_bytes = census.held; ""
            );
        }
    });
    stop.run_until_cancelled(checks).await;
    Ok(())
}

/// Adds the tasks that read and write the log.
fn add_log(back: &mut Supervisor, entry: &Arc<Entry>) {
    let snapshots = Writer::new(
        Arc::clone(&entry.store),
        Stream::Snap,
        entry.limits.append_linger,
    );
    let appender = snapshots.appender.clone();
    add(back, "main-writer", entry, |entry, stop| {
        ledger::append(entry.writer.clone(), stop)
    });
    add(back, "key-writer", entry, |entry, stop| {
        ledger::append(entry.key_writer.clone(), stop)
    });
    add(back, "snapshot-writer", entry, move |_entry, stop| {
        ledger::append(snapshots.clone(), stop)
    });
    add(back, "snapshots", entry, move |entry, stop| {
        ledger::write_snapshots(entry, appender.clone(), stop)
    });
    add(back, "main-follower", entry, ledger::follow);
    add(back, "key-follower", entry, keys::follow);
}

/// Adds a task that is restarted whenever it ends.
fn add<F, Fut>(supervisor: &mut Supervisor, name: &'static str, entry: &Arc<Entry>, mut run: F)
where
    F: FnMut(Arc<Entry>, CancellationToken) -> Fut + Send + 'static,
    Fut: Future<Output = Result<(), ChildError>> + Send + 'static,
{
    let entry = Arc::clone(entry);
    supervisor.child(name, Restart::Permanent, move |stop| {
        run(Arc::clone(&entry), stop)
    });
}

/// Adds an HTTP listener that is bound to the same address again if its task fails.
fn add_listener(
    supervisor: &mut Supervisor,
    name: &'static str,
    entry: &Arc<Entry>,
    first: Listener,
    build: fn() -> Result<Api, ApiDescriptionRegisterError>,
) {
    let address = first.local_addr();
    let entry = Arc::clone(entry);
    let mut first = Some(first);
    supervisor.child(name, Restart::Permanent, move |stop| {
        let (first, entry) = (first.take(), Arc::clone(&entry));
        async move {
            let server = if let Some(server) = first {
                server
            } else {
                let api = build().map_err(|error| ChildError::from_error(&error))?;
                http::serve(&entry, api, address)?
            };
            http::run(server, stop).await
        }
    });
}

fn policy(entry: &Entry) -> Policy {
    // Open requests are answered at the drain deadline; the grace period lets them end.
    let grace = entry.limits.drain_timeout + std::time::Duration::from_secs(5);
    Policy::builder().grace(grace).build()
}
