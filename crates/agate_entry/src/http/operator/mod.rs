//! The HTTP API for operators, served on its own listener.

mod auth;
mod jobs;
mod members;
mod presets;
mod state;
mod withdrawals;

use std::sync::Arc;

use dropshot::{ApiDescription, ApiDescriptionRegisterError};

use crate::entry::Entry;

/// Returns the operator API.
///
/// # Errors
///
/// Fails if two endpoints clash, which is a bug that shows at the first start.
pub(crate) fn api() -> Result<ApiDescription<Arc<Entry>>, ApiDescriptionRegisterError> {
    let mut api = ApiDescription::new();
    api.register(state::health)?;
    api.register(state::metrics)?;
    api.register(members::list_members)?;
    api.register(presets::publish_preset)?;
    api.register(presets::list_presets)?;
    api.register(presets::switch_preset)?;
    api.register(presets::preset_in_force)?;
    api.register(presets::preset_history)?;
    api.register(withdrawals::withdraw)?;
    api.register(withdrawals::resume)?;
    api.register(withdrawals::list_withdrawals)?;
    api.register(jobs::operator_submits_job)?;
    api.register(jobs::operator_lists_jobs)?;
    api.register(jobs::operator_shows_job)?;
    api.register(jobs::operator_cancels_job)?;
    Ok(api)
}
