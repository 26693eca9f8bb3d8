//! The HTTP API for callers.

mod job_body;
pub(crate) mod jobs;
mod requests;
mod tickets;

use std::sync::Arc;

use dropshot::{ApiDescription, ApiDescriptionRegisterError};

use crate::entry::Entry;

/// Returns the caller API.
///
/// # Errors
///
/// Fails if two endpoints clash, which is a bug that shows at the first start.
pub(crate) fn api() -> Result<ApiDescription<Arc<Entry>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(requests::serve_request)?;
    api.register(requests::request_fate)?;
    api.register(requests::withhold_request)?;
    api.register(tickets::issue_ticket)?;
    api.register(jobs::submit_job)?;
    api.register(jobs::list_jobs)?;
    api.register(jobs::show_job)?;
    api.register(jobs::cancel_job)?;
    Ok(api)
}
