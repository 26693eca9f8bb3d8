//! Start of an entry.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_super::{ChildError, Policy, Restart, Supervisor};
use dropshot::{ApiDescription, ApiDescriptionRegisterError};

use super::parts;
use super::running::{Addresses, Running};
use super::{EntryConfig, StartError};
use crate::entry::Entry;
use crate::http::{self, Listener};
use crate::rpc::{self, RpcListener};
use crate::{config as configuration, members};

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
    let entry = parts::build(&config, config.advertise.unwrap_or(bound))?;
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

/// What ends first in a shutdown: the listener for callers.
fn front(entry: &Arc<Entry>, callers: Listener) -> Supervisor {
    let mut front = Supervisor::new("front", policy(entry));
    add_listener(&mut front, "callers", entry, callers, http::caller::api);
    front
}

/// What goes on until every request is answered.
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
    let shared = Arc::clone(entry);
    back.child("rpc", Restart::Permanent, move |stop| {
        rpc::serve(Arc::clone(&shared), rpc.clone(), stop)
    });
    let shared = Arc::clone(entry);
    let seeds: Arc<[SocketAddr]> = config.seeds.clone().into();
    back.child("hello", Restart::Permanent, move |stop| {
        rpc::announce(Arc::clone(&shared), Arc::clone(&seeds), stop)
    });
    let shared = Arc::clone(entry);
    back.child("sweep", Restart::Permanent, move |stop| {
        members::sweep(Arc::clone(&shared), stop)
    });
    let shared = Arc::clone(entry);
    back.child("config-push", Restart::Permanent, move |stop| {
        configuration::push(Arc::clone(&shared), stop)
    });
    back
}

/// Adds an HTTP listener that is bound again to the same address if its task fails.
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
    // Open requests are answered at the drain deadline, so a little more time lets them end.
    let grace = entry.limits.drain + std::time::Duration::from_secs(5);
    Policy::builder().grace(grace).build()
}
